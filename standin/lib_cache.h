/*
 * A prefix cache of limited memory. Prompts are split into blocks; the key
 * of a block is a hash over it and all blocks before it. Eviction is LRU.
 * Changes are reported as events, with a lag and with gaps.
 */
#ifndef STANDIN_LIB_CACHE_H
#define STANDIN_LIB_CACHE_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

#include "common/str.h"

enum {
	CACHE_BLOCK_TOKENS = 64,
	CACHE_TOKEN_BYTES = 4,
	CACHE_MAX_EVENTS = 4096, /* kept for readers */
};

typedef struct cache_config {
	uint32_t tokens; /* capacity */
	int64_t lag_us; /* delay until an event is reported */
	uint32_t gap; /* every gap-th event is omitted; 0: none */
} cache_config_t;

typedef struct cache {
	cache_config_t config;
	GHashTable *blocks; /* key -> block_t, owned by lru */
	GQueue lru; /* block_t, least recently used first */
	GQueue events; /* cache_event_t, oldest first */
	uint64_t next_seq;
} cache_t;

void cache_init(cache_t *c, const cache_config_t *config);
void cache_finish(cache_t *c);
/* Returns how many tokens of the prompt's prefix are cached. */
uint32_t cache_lookup(cache_t *c, str_t prompt);
void cache_insert(cache_t *c, str_t prompt, int64_t now_us);
/* Returns the answer to GET /v1/cache/events?from=FROM. */
json_t *cache_events(const cache_t *c, uint64_t from, int64_t now_us);

#endif
