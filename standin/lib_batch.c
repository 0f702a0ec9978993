#include "standin/lib_batch.h"

#include <string.h>

void batch_init(batch_t *b, const batch_config_t *config,
		const batch_ops_t *ops, void *ctx)
{
	memset(b, 0, sizeof(*b));
	b->config = *config;
	b->ops = *ops;
	b->ctx = ctx;
	g_queue_init(&b->waiting);
	g_queue_init(&b->running);
}

static uint32_t kv_need(const batch_item_t *item)
{
	return item->prompt_tokens + item->max_tokens;
}

bool batch_item_is_complete(const batch_item_t *item)
{
	return item->decoded >= item->max_tokens;
}

void batch_add(batch_t *b, batch_item_t *item)
{
	item->link.data = item;
	item->is_listed = true;
	g_queue_push_tail_link(&b->waiting, &item->link);
}

void batch_remove(batch_t *b, batch_item_t *item)
{
	if (!item->is_listed)
		return;
	item->is_listed = false;
	if (item->is_running) {
		g_queue_unlink(&b->running, &item->link);
		b->kv_used -= kv_need(item);
	} else {
		g_queue_unlink(&b->waiting, &item->link);
	}
}

static void admit(batch_t *b)
{
	batch_item_t *item;

	while (b->running.length < b->config.slots &&
	       (item = g_queue_peek_head(&b->waiting))) {
		if (b->kv_used + kv_need(item) > b->config.kv_tokens)
			return;
		g_queue_unlink(&b->waiting, &item->link);
		g_queue_push_tail_link(&b->running, &item->link);
		item->is_running = true;
		b->kv_used += kv_need(item);
		b->ops.admitted(b->ctx, item);
	}
}

static double prompt_left(const batch_item_t *item)
{
	return item->prompt_tokens - item->cached_tokens - item->prefilled;
}

static void prefill(batch_t *b, double budget)
{
	for (GList *l = b->running.head, *next; l && budget > 0; l = next) {
		batch_item_t *item = l->data;
		double left = prompt_left(item);
		double part = MIN(left, budget);

		next = l->next;
		if (left <= 0)
			continue;
		item->prefilled += part;
		budget -= part;
		if (prompt_left(item) <= 0)
			b->ops.prefilled(b->ctx, item);
	}
}

static void decode(batch_t *b, double seconds)
{
	double others = b->running.length ? b->running.length - 1 : 0;
	double tokens = seconds * b->config.decode_rate /
			(1 + others / b->config.half_batch);

	for (GList *l = b->running.head, *next; l; l = next) {
		batch_item_t *item = l->data;
		uint32_t before = (uint32_t)item->decoded;

		next = l->next;
		if (prompt_left(item) > 0)
			continue;
		item->decoded = MIN(item->decoded + tokens, item->max_tokens);
		if ((uint32_t)item->decoded > before ||
		    batch_item_is_complete(item))
			b->ops.decoded(b->ctx, item);
	}
}

void batch_step(batch_t *b, double seconds)
{
	admit(b);
	prefill(b, seconds * b->config.prefill_rate);
	decode(b, seconds);
}

uint32_t batch_waiting_tokens(const batch_t *b)
{
	uint32_t sum = 0;

	for (const GList *l = b->waiting.head; l; l = l->next)
		sum += ((const batch_item_t *)l->data)->prompt_tokens;
	return sum;
}
