#include "common/sequence.h"
#include "core/dispatcher_state.h"

enum {
	US_PER_MS = 1000,
	RECHECK_US = 20 * US_PER_MS, /* interval for late protected wants */
	EXPIRY_DELAY_US = 1000 * US_PER_MS, /* after the deadline */
};

/* For a late protected want: cancels lower work, exceeds the window. */
static void expedite(struct dispatcher_state *s, want_state_t *item,
		     int64_t now)
{
	runner_t *runner = NULL;
	int64_t finish = 0;

	if (now >= item->latest_start && s->n_running < s->config.max_running)
		runner = dispatcher_choose(s, item, ROOM_FORCED, now, &finish);
	dispatcher_cancel_for(s, item);
	if (runner)
		dispatcher_grant(s, item, runner, now);
	else
		queue_set_due(&s->queue, &item->entry,
			      MIN(now + RECHECK_US, item->want.deadline));
}

/* Moves an item that can't meet its target behind those that can. */
static void demote(struct dispatcher_state *s, want_state_t *item, int64_t now)
{
	queue_remove(&s->queue, &item->entry);
	dispatcher_set_order(item, now);
	item->entry.due = item->latest_start;
	queue_push(&s->queue, &item->entry);
}

static void check_due(struct dispatcher_state *s, want_state_t *item,
		      int64_t now)
{
	if (now >= item->want.deadline)
		dispatcher_refuse(s, item, REFUSE_EXPIRED);
	else if (!dispatcher_may_refuse(s, item->entry.tier))
		expedite(s, item, now);
	else if (now < item->latest_start && item->latest_on_time)
		demote(s, item, now);
	else if (now < item->latest_start)
		queue_set_due(&s->queue, &item->entry, item->latest_start);
	else
		dispatcher_refuse(s, item, REFUSE_DEADLINE);
}

static void check_queue(struct dispatcher_state *s, int64_t now)
{
	queue_entry_t *entry;

	while ((entry = queue_first_due(&s->queue)) && entry->due <= now)
		check_due(s, (want_state_t *)entry, now);
}

/* Ends an overdue item whose unreachable owner can't report its end. */
static void end_unreported(struct dispatcher_state *s, want_state_t *item,
			   int64_t now)
{
	s->stats.expired++;
	dispatcher_end_item(s, item, NULL, now);
}

static void check_overdue(struct dispatcher_state *s, int64_t now)
{
	want_state_t *item;

	while ((item = sequence_first(s->by_due)) &&
	       item->work.overdue_at <= now) {
		if (dispatcher_owner_unreachable(s, item->want.id.owner))
			end_unreported(s, item, now);
		else
			dispatcher_note_overdue(s, item, now);
	}
}

/*
 * Ends items some time after their deadline. The owner has stopped them by
 * then; its message, or the grant, was lost.
 */
static void end_expired(struct dispatcher_state *s, int64_t now)
{
	GList *next;

	for (GList *link = s->by_last_event.head; link; link = next) {
		want_state_t *item = link->data;

		next = link->next;
		if (now < item->want.deadline + EXPIRY_DELAY_US)
			continue;
		s->stats.expired++;
		dispatcher_end_item(s, item, NULL, now);
	}
}

/* Ends items without an event for grant_timeout. */
static void check_timeouts(struct dispatcher_state *s, int64_t now)
{
	want_state_t *item;

	while ((item = g_queue_peek_head(&s->by_last_event)) &&
	       item->last_event_at + s->config.grant_timeout <= now)
		dispatcher_end_item(s, item, NULL, now);
}

void dispatcher_tick(dispatcher_t *d, int64_t now)
{
	struct dispatcher_state *s = d->state;

	/* Events from callbacks are handled by dispatcher_decide below. */
	s->is_deciding = true;
	check_timeouts(s, now);
	if (s->config.expires_grants)
		end_expired(s, now);
	dispatcher_resume_suspended(s, now);
	if (dispatcher_uses_ledger(s)) {
		check_overdue(s, now);
		check_queue(s, now);
	}
	s->is_deciding = false;
	dispatcher_decide(s, now);
}
