/*
 * How often a daemon may send requests once more, by service: a share of a
 * budget that all daemons keep together, so that in any window the repeats
 * are at most a ratio of the first sends and a fixed slack. Pure; times are
 * microseconds of the monotonic clock.
 */
#ifndef CORE_RETRY_BUDGET_H
#define CORE_RETRY_BUDGET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct retry_terms {
	double ratio; /* repeats a first send */
	double slack; /* repeats a window, of all daemons */
	int64_t window; /* microseconds */
	uint32_t daemons; /* that share the slack, at least 1 */
} retry_terms_t;

typedef struct retry_budget {
	GHashTable *services; /* name to account */
	retry_terms_t terms;
} retry_budget_t;

void retry_budget_init(retry_budget_t *b, const retry_terms_t *terms);
void retry_budget_finish(retry_budget_t *b);
void retry_budget_set(retry_budget_t *b, const retry_terms_t *terms);
/* Counts a first send to a service. */
void retry_budget_first(retry_budget_t *b, const char *service, int64_t now);
/* Takes one repeat; false when the budget is used up. */
bool retry_budget_take(retry_budget_t *b, const char *service, int64_t now);
/* Repeats that may be sent now. */
double retry_budget_left(retry_budget_t *b, const char *service, int64_t now);

#endif
