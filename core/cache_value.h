/*
 * Weighs the prefill time that a prefix-cache hit at a runner saves against the
 * wait there. Times are microseconds. Does no I/O and reads no clock.
 */
#ifndef CORE_CACHE_VALUE_H
#define CORE_CACHE_VALUE_H

#include <stdbool.h>
#include <stdint.h>

/* A prompt prefix that one runner has had in its cache. */
typedef struct cached_prefix {
	uint32_t tokens; /* length */
	int64_t age; /* since the runner last used it */
	uint64_t tokens_since; /* added to its cache since then */
	uint64_t capacity; /* of its cache in tokens; 0: not stated */
} cached_prefix_t;

/* Returns the probability, 0 to 1, that the runner has not evicted it. */
double cache_value_certainty(const cached_prefix_t *p);
/*
 * Returns the expected time saved there, if the runner takes TOKENS_TIME to
 * prefill the prefix.
 */
int64_t cache_value_saving(const cached_prefix_t *p, int64_t tokens_time);
/*
 * Returns whether to prefer the runner with the cached prefix, where a request
 * would end after CACHED_WAIT without a cache hit, to one where it would end
 * after OTHER_WAIT.
 */
bool cache_value_prefers(int64_t saving, int64_t cached_wait,
			 int64_t other_wait);

#endif
