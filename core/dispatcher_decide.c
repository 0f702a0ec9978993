/* Grants, refuses or defers the wants in the queue. */
#include "core/dispatcher_state.h"

enum {
	US_PER_MS = 1000,
	/*
	 * Wants deferred in one round of decisions: after a crash many streams
	 * wait for the runners of one release, and must not block the others.
	 */
	MAX_DEFERRED = 64,
	FINISH_MARGIN_DIVISOR = 3, /* safety margin: predicted time / 3 */
	REFUSAL_MARGIN_DIVISOR = 6, /* the same for refusals: / 6 */
	/* All wants are refused after this long without an available runner. */
	NO_RUNNER_TIMEOUT_US = 1500 * US_PER_MS,
};

static void refuse_all_queued(struct dispatcher_state *s)
{
	queue_entry_t *entry;

	while ((entry = queue_first_due(&s->queue)))
		dispatcher_refuse(s, (attempt_t *)entry, REFUSE_NO_RUNNER);
}

/*
 * Chooses a runner for protected work. If the work would be late on the best
 * runner with room, one that is full only with lower work is used instead.
 */
static runner_t *choose_for_protected(struct dispatcher_state *s,
				      const attempt_t *attempt, int64_t now,
				      int64_t *finish)
{
	int64_t forced_finish = 0;
	runner_t *forced, *runner;

	runner = dispatcher_choose(s, attempt, ROOM_PROTECTED, now, finish);
	if (!runner || *finish + (*finish - now) / FINISH_MARGIN_DIVISOR <=
			       attempt->want.deadline)
		return runner;
	forced =
		dispatcher_choose(s, attempt, ROOM_FORCED, now, &forced_finish);
	if (!forced || forced_finish >= *finish)
		return runner;
	*finish = forced_finish;
	return forced;
}

runner_t *dispatcher_choose_for_tier(struct dispatcher_state *s,
				     const attempt_t *attempt, int64_t now,
				     int64_t *finish)
{
	if (queue_is_protected(&s->queue, attempt->entry.tier))
		return choose_for_protected(s, attempt, now, finish);
	return dispatcher_choose(s, attempt, ROOM_UNPROTECTED, now, finish);
}

/* Returns whether a predicted finish, plus margin, misses the deadline. */
static bool is_late(const attempt_t *attempt, int64_t finish, int64_t now)
{
	return finish + (finish - now) / REFUSAL_MARGIN_DIVISOR >
	       attempt->want.deadline;
}

bool dispatcher_is_refusable(const struct dispatcher_state *s,
			     const attempt_t *attempt, const runner_t *runner,
			     int64_t finish, int64_t now)
{
	if (s->config.grants_if_idle &&
	    (!s->config.is_engine || !runner->model.running))
		return false;
	return is_late(attempt, finish, now) &&
	       dispatcher_may_refuse(s, attempt->entry.tier);
}

/* Defers a want to the next round so that others may use the room. */
static bool defer(struct dispatcher_state *s, attempt_t *attempt)
{
	if (s->deferred.length >= MAX_DEFERRED)
		return false;
	queue_remove(&s->queue, &attempt->entry);
	g_queue_push_tail(&s->deferred, attempt);
	return true;
}

/* Returns whether any runner, even a full one, would meet the deadline. */
static bool can_meet_deadline(struct dispatcher_state *s,
			      const attempt_t *attempt, int64_t now)
{
	int64_t finish = 0;

	return dispatcher_choose(s, attempt, ROOM_ANY, now, &finish) &&
	       !is_late(attempt, finish, now);
}

static void requeue_deferred(struct dispatcher_state *s)
{
	attempt_t *attempt;

	while ((attempt = g_queue_pop_head(&s->deferred)))
		queue_push(&s->queue, &attempt->entry);
}

bool dispatcher_has_release(const struct dispatcher_state *s,
			    const attempt_t *attempt)
{
	GHashTableIter iter;
	runner_t *runner;

	if (!attempt->want.release ||
	    (s->config.awaits_list && !s->has_runner_list))
		return true;
	g_hash_table_iter_init(&iter, s->runners);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&runner))
		if (runner->is_serving &&
		    dispatcher_is_of_release(attempt, runner))
			return true;
	return false;
}

/*
 * Decides a want that no runner has room for now. One that waits for the end of
 * a pause, for a runner of its release or for memory must not block others.
 */
static bool decide_without_room(struct dispatcher_state *s, attempt_t *attempt,
				int64_t now)
{
	if (!dispatcher_has_release(s, attempt)) {
		dispatcher_refuse(s, attempt, REFUSE_NO_RELEASE);
		return true;
	}
	if (dispatcher_never_fits(s, &attempt->want)) {
		dispatcher_refuse(s, attempt, REFUSE_TOO_LARGE);
		return true;
	}
	if (s->lacks_memory)
		dispatcher_await_memory(s, attempt, now);
	else
		attempt->unfit_since = 0;
	if (!attempt->want.release && !s->lacks_memory &&
	    !dispatcher_has_pauses(s, attempt->want.id.owner, now))
		return false;
	return defer(s, attempt);
}

/* Grants, refuses or defers the next want; false if none can be decided. */
static bool decide_next(struct dispatcher_state *s, int64_t now)
{
	attempt_t *attempt = (attempt_t *)queue_head(&s->queue);
	runner_t *runner;
	int64_t finish = 0;

	if (!attempt || s->n_running >= s->config.max_running)
		return false;
	runner = dispatcher_choose_for_tier(s, attempt, now, &finish);
	if (!runner)
		return decide_without_room(s, attempt, now);
	if (!dispatcher_is_refusable(s, attempt, runner, finish, now))
		dispatcher_grant(s, attempt, runner, now);
	else if (!can_meet_deadline(s, attempt, now) || !defer(s, attempt))
		dispatcher_refuse(s, attempt, REFUSE_DEADLINE);
	return true;
}

bool dispatcher_has_runner(struct dispatcher_state *s, int64_t now)
{
	if (!s->n_serving)
		return s->config.awaits_list && !s->has_runner_list;
	if (s->available->len || s->n_running) {
		s->unavailable_since = 0;
		return true;
	}
	if (!s->unavailable_since)
		s->unavailable_since = now;
	return now - s->unavailable_since < NO_RUNNER_TIMEOUT_US;
}

void dispatcher_decide(struct dispatcher_state *s, int64_t now)
{
	s->decide_again = true;
	if (s->is_deciding)
		return;
	s->is_deciding = true;
	while (s->decide_again) {
		s->decide_again = false;
		if (!dispatcher_has_runner(s, now))
			refuse_all_queued(s);
		while (decide_next(s, now))
			;
		requeue_deferred(s);
	}
	s->is_deciding = false;
}
