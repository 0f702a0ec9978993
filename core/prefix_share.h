/*
 * Tells prompt prefixes that much of the recent traffic shares: such a prefix
 * is kept by many runners anyway, and would overload one group. Pure.
 */
#ifndef CORE_PREFIX_SHARE_H
#define CORE_PREFIX_SHARE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum { PREFIX_SHARE_WINDOW = 128 }; /* requests that are remembered */

typedef struct prefix_share {
	uint64_t recent[PREFIX_SHARE_WINDOW];
	uint32_t n; /* remembered */
	uint32_t at; /* the oldest, once the window is full */
} prefix_share_t;

/*
 * Notes a request with the prefix HASH. Returns whether the prefix has more
 * than its part of the recent requests, when these are to be spread over so
 * many GROUPS.
 */
bool prefix_share_note(prefix_share_t *p, uint64_t hash, uint32_t groups);

#endif
