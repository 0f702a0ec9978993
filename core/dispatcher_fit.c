/*
 * Chooses which queued want is granted a runner with room. Runners differ in
 * speed: on a slow one, long prompts start late and stall the runner's other
 * streams, and short answers miss a tight deadline, while other wants would be
 * in time there. No slot is left idle: if no other want fits, the next one gets
 * it.
 */
#include <float.h>

#include "core/dispatcher_state.h"

enum {
	US_PER_MS = 1000,
	LOOK_AHEAD = 16, /* queued wants considered per tier */
	MAX_TIMES_PASSED = 64, /* overtaken so often, a want goes first */
	FEW_DIVISOR = 4, /* fast slots are scarce if less than 1/4 is free */
	SHORT_DIVISOR = 2, /* a prompt is short at 1/2 of the usual length */
	MARGIN_DIVISOR = 6, /* safety margin: predicted time / 6 */
};

/* Runners whose pace is above this multiple of the lowest one are slow. */
static const double slow_factor = 1.5;

/* Predicts the microseconds until the first event. */
static int64_t time_to_start(const runner_t *runner, const want_t *want,
			     int64_t now)
{
	want_t first = *want;

	first.output_tokens = 1;
	return dispatcher_predict(runner, &first, 0, now);
}

/*
 * Returns whether prefilling the want's prompt, after all prompts pending at
 * the runner, stalls other streams no longer than half of the want's own limit
 * on pauses. Streams on the same runner are assumed to have the same limit.
 */
static bool keeps_pause(const want_t *want, int64_t start)
{
	return !want->max_pause_ms ||
	       start <= (int64_t)want->max_pause_ms * US_PER_MS / 2;
}

static int64_t with_margin(int64_t time)
{
	return time + time / MARGIN_DIVISOR;
}

/* A target that has passed is missed on any runner, so it is ignored. */
static bool is_in_time(const runner_t *runner, const want_t *want, int64_t now)
{
	int64_t start = time_to_start(runner, want, now);
	int64_t end = dispatcher_predict(runner, want, 0, now);

	if (want->target > now && now + with_margin(start) > want->target)
		return false;
	return now + with_margin(end) <= want->deadline &&
	       keeps_pause(want, start);
}

/* Returns whether the runner may be granted to this want instead. */
static bool may_use(struct dispatcher_state *s, const attempt_t *attempt,
		    runner_t *runner, int64_t now)
{
	runner_room_t room =
		queue_is_protected(&s->queue, attempt->entry.tier) ?
			ROOM_PROTECTED :
			ROOM_UNPROTECTED;

	return dispatcher_is_of_release(attempt, runner) &&
	       !dispatcher_is_excluded(s, attempt, runner, now) &&
	       runner_model_has_room(&runner->model, room, now) &&
	       dispatcher_fits(s, &attempt->want, runner, now);
}

/* A want that already misses its target must not overtake one in time. */
static bool is_worth_it(const attempt_t *attempt, int64_t now)
{
	return !attempt->latest_on_time || now < attempt->want.target;
}

/* Finds another queued want that would be in time on the runner. */
static attempt_t *find_fit(struct dispatcher_state *s, const attempt_t *next,
			   runner_t *runner, int64_t now)
{
	queue_entry_t *waiting[LOOK_AHEAD * DISPATCHER_MAX_TIERS];
	uint32_t n = queue_peek(&s->queue, LOOK_AHEAD, waiting);

	for (uint32_t i = 0; i < n; i++) {
		attempt_t *other = (attempt_t *)waiting[i];

		if (other != next && is_worth_it(other, now) &&
		    is_in_time(runner, &other->want, now) &&
		    may_use(s, other, runner, now))
			return other;
	}
	return NULL;
}

static double usual_pace(const runner_t *runner)
{
	return runner_load_usual(&runner->model.stated);
}

/* Returns the pace from which on a runner counts as slow. */
static double slow_pace(const struct dispatcher_state *s)
{
	double least = DBL_MAX;

	for (guint i = 0; i < s->available->len; i++)
		least = MIN(least,
			    usual_pace(g_ptr_array_index(s->available, i)));
	return least * slow_factor;
}

/* Returns whether speeds count: without stated paces, none is known as slow. */
static bool is_used(const struct dispatcher_state *s)
{
	return s->config.fits_work && s->config.is_engine && s->has_stated_pace;
}

attempt_t *dispatcher_fit(struct dispatcher_state *s, attempt_t *next,
			  runner_t *runner, int64_t now)
{
	attempt_t *other = NULL;

	if (!is_used(s) || is_in_time(runner, &next->want, now) ||
	    usual_pace(runner) <= slow_pace(s))
		return next;
	if (next->times_passed < MAX_TIMES_PASSED)
		other = find_fit(s, next, runner, now);
	if (!other) {
		s->stats.fit_misses++;
		return next;
	}
	next->times_passed++;
	s->stats.fit_choices++;
	return other;
}

/* Returns whether few slots of the fast runners are free. */
static bool are_fast_places_few(const struct dispatcher_state *s, double slow)
{
	uint32_t places = 0, taken = 0;

	for (guint i = 0; i < s->available->len; i++) {
		const runner_t *r = g_ptr_array_index(s->available, i);

		if (usual_pace(r) > slow)
			continue;
		places += r->model.slots;
		taken += r->model.running;
	}
	return (places - MIN(taken, places)) * FEW_DIVISOR < places;
}

/* Returns whether the want would be in time even if it took twice as long. */
static bool is_easy(const runner_t *runner, const want_t *want, int64_t now)
{
	int64_t start = time_to_start(runner, want, now);
	int64_t end = dispatcher_predict(runner, want, 0, now);

	return want->target > now + 2 * start &&
	       now + 2 * end <= want->deadline && keeps_pause(want, start);
}

runner_t *dispatcher_spare_fast(struct dispatcher_state *s,
				const attempt_t *attempt, runner_t *fast,
				int64_t now)
{
	runner_t *best = NULL;
	double slow;

	if (!is_used(s) ||
	    attempt->want.prompt_tokens * SHORT_DIVISOR > s->typical_prompt)
		return fast;
	slow = slow_pace(s);
	if (usual_pace(fast) > slow || !are_fast_places_few(s, slow))
		return fast;
	for (guint i = 0; i < s->available->len; i++) {
		runner_t *r = g_ptr_array_index(s->available, i);

		if ((!best || r->model.running < best->model.running) &&
		    usual_pace(r) > slow && is_easy(r, &attempt->want, now) &&
		    may_use(s, attempt, r, now))
			best = r;
	}
	if (!best)
		return fast;
	s->stats.spare_choices++;
	return best;
}
