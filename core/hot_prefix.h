/*
 * Detects hot prompt prefixes: those that a large part of the recent requests
 * start with. Many runners have such a prefix cached anyway, and its requests
 * would overload a single group of runners. Does no I/O.
 */
#ifndef CORE_HOT_PREFIX_H
#define CORE_HOT_PREFIX_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum { HOT_PREFIX_WINDOW = 128 }; /* number of recent requests */

typedef struct hot_prefix {
	uint64_t recent[HOT_PREFIX_WINDOW];
	uint32_t n; /* requests in recent */
	uint32_t next_index; /* next index to write; the oldest if full */
} hot_prefix_t;

/*
 * Records a request with the prefix HASH. Returns whether the prefix is hot:
 * its part of the recent requests is more than twice the equal share of one of
 * GROUPS groups, and it has enough requests to be significant.
 */
bool hot_prefix_record(hot_prefix_t *p, uint64_t hash, uint32_t groups);

#endif
