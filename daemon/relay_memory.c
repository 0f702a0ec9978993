/*
 * Bound on the bytes of answers that this daemon holds: received in part, or
 * waiting for a caller that reads slowly.
 */
#define LOG_PART "relay"

#include <inttypes.h>

#include "common/log.h"
#include "daemon/relay.h"

static uint64_t held_by(const relay_t *r)
{
	uint64_t backlog = r->caller ? ingress_backlog(r->caller) : 0;

	return evbuffer_get_length(r->answer_body) + r->held_event + backlog;
}

/* Returns the request whose answer is given up first, or NULL. */
static relay_t *find_victim(const gateway_t *g)
{
	g_autoptr(GArray) holders =
		g_array_new(FALSE, FALSE, sizeof(byte_holder_t));
	g_autoptr(GPtrArray) relays = g_ptr_array_new();
	GHashTableIter iter;
	relay_t *r;
	size_t i;

	g_hash_table_iter_init(&iter, g->relays);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&r)) {
		byte_holder_t holder = { r->runner.name, held_by(r) };

		if (!r->upstream)
			continue;
		g_array_append_val(holders, holder);
		g_ptr_array_add(relays, r);
	}
	i = byte_budget_victim((const byte_holder_t *)(void *)holders->data,
			       holders->len);
	return i < relays->len ? g_ptr_array_index(relays, i) : NULL;
}

static void log_given_up(const relay_t *r)
{
	const byte_budget_t *b = &r->gateway->answers;

	log_event("answer-given-up",
		  "request=%s runner=%s bytes=%" PRIu64 " held=%" PRIu64
		  " limit=%" PRIu64
		  " why=\"answers take up the memory that they may\"",
		  r->id, r->runner.name, held_by(r), b->held, b->limit);
	metrics_add(&r->gateway->sup->metrics, "papaya_answers_given_up_total",
		    NULL, 1);
}

bool relay_make_room(relay_t *r, size_t n)
{
	gateway_t *g = r->gateway;

	while (!byte_budget_fits(&g->answers, n)) {
		relay_t *victim = find_victim(g);

		log_given_up(victim ? victim : r);
		if (!victim || victim == r)
			return false;
		relay_cancel_exchange(victim);
		relay_on_attempt_lost(victim, "its answer takes up too much "
					      "memory");
	}
	return true;
}

void relay_count_event(relay_t *r)
{
	size_t now = r->sse.partial->len;

	byte_budget_add(&r->gateway->answers, now);
	byte_budget_remove(&r->gateway->answers, r->held_event);
	r->held_event = now;
}
