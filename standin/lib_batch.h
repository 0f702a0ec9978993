/*
 * Continuous batching, as a model engine does it: prompts are prefilled in
 * chunks in order of arrival, decoding sequences share the engine, slots
 * and KV tokens are limited. It has no clock: the caller advances the time.
 */
#ifndef STANDIN_LIB_BATCH_H
#define STANDIN_LIB_BATCH_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct batch_config {
	double prefill_rate; /* prompt tokens per second, whole engine */
	double decode_rate; /* tokens per second of a single sequence */
	/* Other sequences that halve the decoding rate of each one. */
	double half_batch;
	uint32_t slots;
	uint32_t kv_tokens;
} batch_config_t;

/* One request; the caller owns its memory. */
typedef struct batch_item {
	GList link;
	uint32_t prompt_tokens;
	uint32_t cached_tokens; /* of the prompt, found in the cache */
	uint32_t max_tokens;
	double prefilled; /* prompt tokens, without the cached ones */
	double decoded; /* output tokens */
	bool is_running;
	bool is_listed; /* waiting or running */
	void *user;
} batch_item_t;

typedef struct batch_ops {
	/* The item got a slot; the callee sets its cached_tokens. */
	void (*admitted)(void *ctx, batch_item_t *item);
	/* The prompt is prefilled. */
	void (*prefilled)(void *ctx, batch_item_t *item);
	/* decoded grew by at least one whole token, or reached the end. */
	void (*decoded)(void *ctx, batch_item_t *item);
} batch_ops_t;

typedef struct batch {
	batch_config_t config;
	batch_ops_t ops;
	void *ctx;
	GQueue waiting;
	GQueue running;
	uint32_t kv_used;
} batch_t;

void batch_init(batch_t *b, const batch_config_t *config,
		const batch_ops_t *ops, void *ctx);
void batch_add(batch_t *b, batch_item_t *item);
/* Removes a waiting or running item; safe in callbacks and if called twice. */
void batch_remove(batch_t *b, batch_item_t *item);
/* Advances by SECONDS of engine time. */
void batch_step(batch_t *b, double seconds);
/* Prompt tokens not prefilled yet, of waiting items. */
uint32_t batch_waiting_tokens(const batch_t *b);
/* True once all output tokens are decoded. */
bool batch_item_is_complete(const batch_item_t *item);

#endif
