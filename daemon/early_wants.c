#include "daemon/early_wants.h"

typedef struct kept {
	message_capacity_t want;
	int64_t since;
} kept_t;

void early_wants_init(early_wants_t *e)
{
	g_queue_init(&e->running);
	g_queue_init(&e->waiting);
}

void early_wants_finish(early_wants_t *e)
{
	g_queue_clear_full(&e->running, g_free);
	g_queue_clear_full(&e->waiting, g_free);
}

static GList *find(const GQueue *wants, want_id_t id)
{
	for (GList *l = wants->head; l; l = l->next) {
		const kept_t *kept = l->data;

		if (kept->want.want.id.owner == id.owner &&
		    kept->want.want.id.attempt == id.attempt)
			return l;
	}
	return NULL;
}

static void remove_id(GQueue *wants, want_id_t id)
{
	GList *known = find(wants, id);

	if (!known)
		return;
	g_free(known->data);
	g_queue_delete_link(wants, known);
}

bool early_wants_add(early_wants_t *e, const message_capacity_t *want,
		     int64_t now)
{
	GQueue *wants = want->running_on[0] ? &e->running : &e->waiting;
	GList *known = find(wants, want->want.id);
	kept_t *kept;

	if (known) {
		kept = known->data;
		kept->want = *want;
		return true;
	}
	if (want->running_on[0])
		remove_id(&e->waiting, want->want.id);
	if (wants->length >= EARLY_WANTS_MAX)
		return false;
	kept = g_new(kept_t, 1);
	*kept = (kept_t){ *want, now };
	g_queue_push_tail(wants, kept);
	return true;
}

void early_wants_remove(early_wants_t *e, want_id_t id)
{
	remove_id(&e->running, id);
	remove_id(&e->waiting, id);
}

static void remove_of(GQueue *wants, const char *peer)
{
	GList *next;

	for (GList *l = wants->head; l; l = next) {
		const kept_t *kept = l->data;

		next = l->next;
		if (strcmp(kept->want.peer, peer) != 0)
			continue;
		g_free(l->data);
		g_queue_delete_link(wants, l);
	}
}

void early_wants_remove_peer(early_wants_t *e, const char *peer)
{
	remove_of(&e->running, peer);
	remove_of(&e->waiting, peer);
}

static bool pop(GQueue *wants, message_capacity_t *out)
{
	g_autofree kept_t *kept = g_queue_pop_head(wants);

	if (kept)
		*out = kept->want;
	return kept != NULL;
}

bool early_wants_pop(early_wants_t *e, message_capacity_t *out)
{
	return pop(&e->running, out) || pop(&e->waiting, out);
}

bool early_wants_pop_late(early_wants_t *e, int64_t now,
			  message_capacity_t *out)
{
	const kept_t *oldest = g_queue_peek_head(&e->waiting);

	return oldest && now - oldest->since > EARLY_WANTS_LIMIT_US &&
	       pop(&e->waiting, out);
}

uint32_t early_wants_count(const early_wants_t *e)
{
	return e->running.length + e->waiting.length;
}
