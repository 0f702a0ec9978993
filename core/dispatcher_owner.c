/* Events of the dispatcher that affect all wants of one owner. */
#include "core/dispatcher_state.h"

enum {
	US_PER_S = 1000000,
	/* Owners repeat their wants at once; the messages may be late. */
	CONFIRMATION_US = US_PER_S,
};

bool dispatcher_is_owner_unresponsive(const struct dispatcher_state *s,
				      uint64_t owner)
{
	return g_hash_table_contains(s->unresponsive_owners, &owner);
}

static void drop_all_waiting(struct dispatcher_state *s, uint64_t owner)
{
	GQueue *owned = g_hash_table_lookup(s->owners, &owner);
	GList *next;

	for (GList *link = owned ? owned->head : NULL; link; link = next) {
		attempt_t *attempt = link->data;

		/* Read first: the queue is freed with its last attempt. */
		next = link->next;
		if (!attempt->runner)
			dispatcher_drop_waiting(s, attempt);
	}
}

void dispatcher_set_owner_unresponsive(dispatcher_t *d, uint64_t owner,
				       bool is_unresponsive, int64_t now)
{
	struct dispatcher_state *s = d->state;

	if (!is_unresponsive) {
		g_hash_table_remove(s->unresponsive_owners, &owner);
		return;
	}
	g_hash_table_add(s->unresponsive_owners,
			 g_memdup2(&owner, sizeof(owner)));
	drop_all_waiting(s, owner);
	dispatcher_decide(s, now);
}

void dispatcher_refuse_all_paused(struct dispatcher_state *s, uint64_t owner,
				  int64_t now)
{
	GQueue *owned = g_hash_table_lookup(s->owners, &owner);
	g_autoptr(GPtrArray) late = g_ptr_array_new();

	for (GList *link = owned ? owned->head : NULL; link;
	     link = link->next) {
		attempt_t *attempt = link->data;

		if (attempt->entry.team_queue &&
		    dispatcher_paused_too_long(s, attempt, now))
			g_ptr_array_add(late, attempt);
	}
	for (guint i = 0; i < late->len; i++)
		dispatcher_refuse_paused(s, late->pdata[i], now);
}

void dispatcher_doubt_grants(dispatcher_t *d, uint64_t owner, int64_t now)
{
	GQueue *owned = g_hash_table_lookup(d->state->owners, &owner);

	for (GList *link = owned ? owned->head : NULL; link;
	     link = link->next) {
		attempt_t *attempt = link->data;

		if (!attempt->runner)
			continue;
		if (!attempt->confirm_by)
			attempt->confirm_by = now + CONFIRMATION_US;
		dispatcher_ignore_delay(attempt);
	}
}

void dispatcher_owner_lost(dispatcher_t *d, uint64_t owner, int64_t now)
{
	struct dispatcher_state *s = d->state;
	GQueue *owned;

	g_hash_table_remove(s->unresponsive_owners, &owner);
	owner_reach_forget(&s->reach, owner);
	while ((owned = g_hash_table_lookup(s->owners, &owner))) {
		attempt_t *attempt = g_queue_peek_head(owned);

		if (attempt->runner)
			dispatcher_end_attempt(s, attempt, NULL, now);
		else
			dispatcher_drop_waiting(s, attempt);
	}
	dispatcher_decide(s, now);
}
