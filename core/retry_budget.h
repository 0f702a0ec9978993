/*
 * This daemon's share of the retry budget of each service. The budget is shared
 * by all daemons: in any window the retries are at most a ratio of the first
 * attempts plus a fixed slack. Each first attempt earns a ratio of a retry, and
 * what is earned is kept up to this daemon's share of the slack. A process
 * begins with nothing, so the sum holds however often daemons restart: in any
 * interval a daemon and its successors retry the ratio of their first attempts
 * and what the first of them had kept. Does no I/O and needs no clock. The
 * budgets of teams are in core/team_retry.h.
 */
#ifndef CORE_RETRY_BUDGET_H
#define CORE_RETRY_BUDGET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct retry_quota {
	double ratio; /* retries per first attempt */
	double slack; /* retries per window, of all daemons together */
	uint32_t daemons; /* that share the slack; 0: not known yet */
} retry_quota_t;

typedef struct retry_budget {
	GHashTable *services; /* service name to the retries that it may have */
	retry_quota_t quota;
} retry_budget_t;

void retry_budget_init(retry_budget_t *b, const retry_quota_t *quota);
void retry_budget_finish(retry_budget_t *b);
void retry_budget_set(retry_budget_t *b, const retry_quota_t *quota);
/* Counts a first attempt to send a request to the service. */
void retry_budget_count_first(retry_budget_t *b, const char *service);
/* Takes one retry from the budget; false when it is exhausted. */
bool retry_budget_take(retry_budget_t *b, const char *service);
/* Returns how many retries may be sent now; below 1: none. */
double retry_budget_left(retry_budget_t *b, const char *service);
/*
 * Returns how many retries a service can keep: this daemon's share of the
 * slack. At least 1, or a daemon of a large fleet could never retry.
 */
double retry_budget_most(const retry_budget_t *b);

#endif
