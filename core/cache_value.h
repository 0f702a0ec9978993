/*
 * Weighs what a runner saves by still having a prompt's beginning in its cache
 * against the wait there. Times are microseconds. Does no I/O and reads no
 * clock.
 */
#ifndef CORE_CACHE_VALUE_H
#define CORE_CACHE_VALUE_H

#include <stdbool.h>
#include <stdint.h>

/* What is known of one cached beginning at one runner. */
typedef struct cached_prefix {
	uint32_t tokens; /* length */
	int64_t age; /* since the runner last used it */
	uint64_t tokens_since; /* that took room in its cache since then */
	uint64_t capacity; /* of its cache in tokens; 0: not stated */
} cached_prefix_t;

/* Returns the probability, 0 to 1, that the runner still has it. */
double cache_value_certainty(const cached_prefix_t *p);
/*
 * Returns the expected time saved there, if the runner takes TOKENS_TIME to
 * read the beginning.
 */
int64_t cache_value_saving(const cached_prefix_t *p, int64_t tokens_time);
/*
 * Returns whether to use the runner that has the beginning, where a request
 * ends after CACHED_WAIT if nothing is saved, rather than one where it ends
 * after OTHER_WAIT.
 */
bool cache_value_prefers(int64_t saving, int64_t cached_wait,
			 int64_t other_wait);

#endif
