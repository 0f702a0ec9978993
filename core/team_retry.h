/*
 * Retry budgets per team and tier: a team's retries in a tier are limited to a
 * ratio of its first attempts, plus a small initial allowance, so that retries
 * can't amplify an overload. Does no I/O; the random numbers come from a given
 * seed. The budget of a service over all daemons is in core/retry_budget.h.
 */
#ifndef CORE_TEAM_RETRY_H
#define CORE_TEAM_RETRY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"

enum { TEAM_RETRY_NAME_SIZE = 64 }; /* bytes, with the NUL */

typedef struct team_retry {
	GHashTable *budgets; /* by team and tier */
	GQueue recent; /* budgets, least recently used first */
	uint32_t max_budgets;
	double ratio; /* default: retries per first attempt */
	GRand *rand;
} team_retry_t;

/*
 * Keeps a budget for each of up to MAX_BUDGETS pairs of team and tier, and
 * evicts the least recently used one.
 */
void team_retry_init(team_retry_t *r, double ratio, uint32_t max_budgets,
		     uint32_t seed);
void team_retry_finish(team_retry_t *r);
/* Overrides the ratio of a team in a tier. */
void team_retry_set_ratio(team_retry_t *r, str_t team, uint32_t tier,
			  double ratio);

/* Counts a first attempt. */
void team_retry_count_first(team_retry_t *r, str_t team, uint32_t tier);
/* Takes one retry from the budget; false when it is exhausted. */
bool team_retry_take(team_retry_t *r, str_t team, uint32_t tier);
/*
 * Returns the Retry-After for a request that would wait BACKLOG_MS. It grows
 * with the backlog and has jitter, so that callers don't retry all at once.
 */
uint32_t retry_after_ms(team_retry_t *r, uint32_t backlog_ms);
/* Like retry_after_ms(), with the caller's random number generator. */
uint32_t retry_after_jittered(GRand *rand, uint32_t backlog_ms);

#endif
