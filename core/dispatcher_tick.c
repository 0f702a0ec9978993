#include "common/sequence.h"
#include "core/dispatcher_state.h"

enum {
	US_PER_MS = 1000,
	RECHECK_US = 20 * US_PER_MS, /* interval for late protected wants */
	EXPIRY_DELAY_US = 1000 * US_PER_MS, /* after the deadline */
};

/*
 * Cancels lower work for a protected want that may miss its deadline. From
 * latest_start on, grants it a runner even beyond the runner's window.
 */
static void expedite(struct dispatcher_state *s, attempt_t *attempt,
		     int64_t now)
{
	runner_t *runner = NULL;
	int64_t finish = 0;

	if (now >= attempt->latest_start &&
	    s->n_running < s->config.max_running)
		runner = dispatcher_choose(s, attempt, ROOM_FORCED, now,
					   &finish);
	dispatcher_cancel_for(s, attempt);
	if (runner)
		dispatcher_grant(s, attempt, runner, now);
	else
		queue_set_due(&s->queue, &attempt->entry,
			      MIN(now + RECHECK_US, attempt->want.deadline));
}

/* Moves a want that can't meet its target behind those that can. */
static void demote(struct dispatcher_state *s, attempt_t *attempt, int64_t now)
{
	queue_remove(&s->queue, &attempt->entry);
	dispatcher_set_order(attempt, now);
	attempt->entry.due = attempt->latest_start;
	queue_push(&s->queue, &attempt->entry);
}

static void check_due(struct dispatcher_state *s, attempt_t *attempt,
		      int64_t now)
{
	if (now >= attempt->want.deadline)
		dispatcher_refuse(s, attempt, REFUSE_EXPIRED);
	else if (!dispatcher_may_refuse(s, attempt->entry.tier))
		expedite(s, attempt, now);
	else if (now < attempt->latest_start && attempt->latest_on_time)
		demote(s, attempt, now);
	else if (now < attempt->latest_start)
		queue_set_due(&s->queue, &attempt->entry,
			      attempt->latest_start);
	else
		dispatcher_refuse(s, attempt, REFUSE_DEADLINE);
}

static void check_queue(struct dispatcher_state *s, int64_t now)
{
	queue_entry_t *entry;

	while ((entry = queue_first_due(&s->queue)) && entry->due <= now)
		check_due(s, (attempt_t *)entry, now);
}

/* Ends an overdue grant whose unresponsive owner can't report its end. */
static void end_unreported(struct dispatcher_state *s, attempt_t *attempt,
			   int64_t now)
{
	s->stats.expired++;
	dispatcher_end_attempt(s, attempt, NULL, now);
}

static void check_overdue(struct dispatcher_state *s, int64_t now)
{
	attempt_t *attempt;

	while ((attempt = sequence_first(s->by_overdue)) &&
	       attempt->work.overdue_at <= now) {
		if (dispatcher_is_owner_unresponsive(s, attempt->want.id.owner))
			end_unreported(s, attempt, now);
		else
			dispatcher_record_overdue(s, attempt, now);
	}
}

/*
 * Some time after the deadline the owner has stopped the work; its message, or
 * the grant, was lost.
 */
static bool is_expired(const attempt_t *attempt, int64_t now)
{
	return now >= attempt->want.deadline + EXPIRY_DELAY_US ||
	       (attempt->confirm_by && now >= attempt->confirm_by);
}

static void end_expired(struct dispatcher_state *s, int64_t now)
{
	GList *next;

	for (GList *link = s->by_last_event.head; link; link = next) {
		attempt_t *attempt = link->data;

		next = link->next;
		if (!is_expired(attempt, now))
			continue;
		s->stats.expired++;
		dispatcher_end_attempt(s, attempt, NULL, now);
	}
}

/* Ends grants without an event for grant_timeout. */
static void check_timeouts(struct dispatcher_state *s, int64_t now)
{
	attempt_t *attempt;

	while ((attempt = g_queue_peek_head(&s->by_last_event)) &&
	       attempt->last_event_at + s->config.grant_timeout <= now)
		dispatcher_end_attempt(s, attempt, NULL, now);
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
