#include "daemon/early_wants.h"

void early_wants_init(early_wants_t *e)
{
	g_queue_init(&e->wants);
}

void early_wants_finish(early_wants_t *e)
{
	g_queue_clear_full(&e->wants, g_free);
}

static GList *find(early_wants_t *e, want_id_t id)
{
	for (GList *l = e->wants.head; l; l = l->next) {
		const message_capacity_t *kept = l->data;

		if (kept->want.id.owner == id.owner &&
		    kept->want.id.attempt == id.attempt)
			return l;
	}
	return NULL;
}

bool early_wants_add(early_wants_t *e, const message_capacity_t *want)
{
	GList *known = find(e, want->want.id);

	if (known) {
		*(message_capacity_t *)known->data = *want;
		return true;
	}
	if (e->wants.length >= EARLY_WANTS_MAX)
		return false;
	g_queue_push_tail(&e->wants, g_memdup2(want, sizeof(*want)));
	return true;
}

static void remove_link(early_wants_t *e, GList *link)
{
	g_free(link->data);
	g_queue_delete_link(&e->wants, link);
}

void early_wants_remove(early_wants_t *e, want_id_t id)
{
	GList *known = find(e, id);

	if (known)
		remove_link(e, known);
}

void early_wants_remove_peer(early_wants_t *e, const char *peer)
{
	GList *next;

	for (GList *l = e->wants.head; l; l = next) {
		const message_capacity_t *kept = l->data;

		next = l->next;
		if (!strcmp(kept->peer, peer))
			remove_link(e, l);
	}
}

message_capacity_t *early_wants_pop(early_wants_t *e)
{
	return g_queue_pop_head(&e->wants);
}
