#include "standin/lib_cache.h"

#include <inttypes.h>
#include <stdio.h>

enum { BLOCK_BYTES = CACHE_BLOCK_TOKENS * CACHE_TOKEN_BYTES };

typedef struct block {
	GList link;
	uint64_t key;
} block_t;

typedef struct cache_event {
	uint64_t seq;
	uint64_t key;
	int64_t at_us;
	bool is_insert;
} cache_event_t;

void cache_init(cache_t *c, const cache_config_t *config)
{
	memset(c, 0, sizeof(*c));
	c->config = *config;
	c->blocks = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_queue_init(&c->lru);
	g_queue_init(&c->events);
	c->next_seq = 1;
}

void cache_finish(cache_t *c)
{
	block_t *block;
	cache_event_t *event;

	g_hash_table_destroy(c->blocks);
	while ((block = g_queue_peek_head(&c->lru))) {
		g_queue_unlink(&c->lru, &block->link);
		g_free(block);
	}
	while ((event = g_queue_pop_head(&c->events)))
		g_free(event);
}

/* Hashes the key of the preceding blocks together with the next block. */
static uint64_t chain_hash(uint64_t before, const char *bytes)
{
	char buf[sizeof(before) + BLOCK_BYTES];

	memcpy(buf, &before, sizeof(before));
	memcpy(buf + sizeof(before), bytes, BLOCK_BYTES);
	return str_hash((str_t){ buf, sizeof(buf) });
}

static void touch(cache_t *c, block_t *block)
{
	g_queue_unlink(&c->lru, &block->link);
	g_queue_push_tail_link(&c->lru, &block->link);
}

uint32_t cache_lookup(cache_t *c, str_t prompt)
{
	uint32_t tokens = 0;
	uint64_t key = 0;

	for (size_t at = 0; at + BLOCK_BYTES <= prompt.len; at += BLOCK_BYTES) {
		block_t *block;

		key = chain_hash(key, prompt.ptr + at);
		block = g_hash_table_lookup(c->blocks, &key);
		if (!block)
			break;
		touch(c, block);
		tokens += CACHE_BLOCK_TOKENS;
	}
	return tokens;
}

static void add_event(cache_t *c, uint64_t key, bool is_insert, int64_t now_us)
{
	cache_event_t *event = g_new(cache_event_t, 1);

	*event = (cache_event_t){ c->next_seq++, key, now_us, is_insert };
	g_queue_push_tail(&c->events, event);
	if (c->events.length > CACHE_MAX_EVENTS)
		g_free(g_queue_pop_head(&c->events));
}

static void evict_lru(cache_t *c, int64_t now_us)
{
	block_t *block = g_queue_peek_head(&c->lru);

	g_queue_unlink(&c->lru, &block->link);
	g_hash_table_remove(c->blocks, &block->key);
	add_event(c, block->key, false, now_us);
	g_free(block);
}

static void add_block(cache_t *c, uint64_t key, int64_t now_us)
{
	block_t *block = g_new0(block_t, 1);

	block->key = key;
	block->link.data = block;
	g_hash_table_insert(c->blocks, &block->key, block);
	g_queue_push_tail_link(&c->lru, &block->link);
	add_event(c, key, true, now_us);
}

void cache_insert(cache_t *c, str_t prompt, int64_t now_us)
{
	uint32_t limit = c->config.tokens / CACHE_BLOCK_TOKENS;
	uint64_t key = 0;

	for (size_t at = 0; at + BLOCK_BYTES <= prompt.len; at += BLOCK_BYTES) {
		block_t *block;

		key = chain_hash(key, prompt.ptr + at);
		block = g_hash_table_lookup(c->blocks, &key);
		if (block)
			touch(c, block);
		else
			add_block(c, key, now_us);
	}
	while (c->lru.length > limit)
		evict_lru(c, now_us);
}

static json_t *event_json(const cache_event_t *event)
{
	char hex[17];

	snprintf(hex, sizeof(hex), "%016" PRIx64, event->key);
	return json_pack("{s:I,s:s,s:s}", "seq", (json_int_t)event->seq, "op",
			 event->is_insert ? "insert" : "evict", "prefix", hex);
}

json_t *cache_events(const cache_t *c, uint64_t from, int64_t now_us)
{
	json_t *list = json_array();
	uint64_t next = from;

	for (const GList *l = c->events.head; l; l = l->next) {
		const cache_event_t *event = l->data;

		if (event->at_us + c->config.lag_us > now_us)
			break;
		if (event->seq < from)
			continue;
		next = event->seq + 1;
		if (!c->config.gap || event->seq % c->config.gap)
			json_array_append_new(list, event_json(event));
	}
	return json_pack("{s:I,s:o}", "next", (json_int_t)next, "events", list);
}
