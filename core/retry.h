/*
 * Retry budgets: a team's retries in a tier are at most a ratio of its first
 * attempts, with a small floor, so that retries can't multiply an overload.
 * Pure; the random numbers are seeded.
 */
#ifndef CORE_RETRY_H
#define CORE_RETRY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"

enum { RETRY_NAME_SIZE = 64 }; /* bytes, with the NUL */

typedef struct retry {
	GHashTable *budgets;
	GQueue recent; /* least recently used first */
	uint32_t max_budgets;
	double ratio; /* retries a first attempt */
	GRand *rand;
} retry_t;

/* MAX_BUDGETS pairs of team and tier are kept; the least used one goes. */
void retry_init(retry_t *r, double ratio, uint32_t max_budgets, uint32_t seed);
void retry_finish(retry_t *r);
/* Sets a team's own ratio in a tier. */
void retry_set(retry_t *r, str_t team, uint32_t tier, double ratio);

/* Counts a first attempt. */
void retry_first(retry_t *r, str_t team, uint32_t tier);
/* Takes one retry of the budget; false when it is used up. */
bool retry_take(retry_t *r, str_t team, uint32_t tier);
/*
 * Returns the Retry-After for work that would wait BACKLOG_MS: it grows with
 * the backlog and is jittered so that callers don't come back together.
 */
uint32_t retry_after_ms(retry_t *r, uint32_t backlog_ms);
/* The same with a generator of the caller's. */
uint32_t retry_after_jittered(GRand *rand, uint32_t backlog_ms);

#endif
