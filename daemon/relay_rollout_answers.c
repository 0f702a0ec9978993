/*
 * Counts how the runners of both releases answer while a service is being
 * rolled out, for the reports to the conductor.
 */
#define LOG_PART "relay"

#include "daemon/relay_rollout.h"

enum {
	US_PER_MS = 1000,
	MAX_TALLIES = 512, /* of one report; further answers don't count */
	/* After its latency target * this, a request counts before its end. */
	LATE_FACTOR = 4,
	/* In place of the latency target of routes without one. */
	NO_TARGET_US = 1000 * US_PER_MS,
};

void relay_on_sent(relay_t *r)
{
	gateway_rollout_t *o = gateway_find_rollout(r);

	r->rollout.sent_at = now_us();
	r->rollout.first_at = 0;
	r->rollout.is_timed = false;
	if (!o || r->rollout.is_counted)
		return;
	r->rollout.is_counted = true;
	o->requests++;
}

static bool is_alike(const rollout_answer_t *a, const rollout_answer_t *b)
{
	return a->route == b->route && a->runner == b->runner &&
	       a->timing == b->timing && a->bucket == b->bucket &&
	       a->is_target == b->is_target && a->has_failed == b->has_failed;
}

static void tally(gateway_rollout_t *o, const rollout_answer_t *answer)
{
	rollout_tally_t one = { *answer, 1 };

	for (guint i = 0; i < o->tallies->len; i++) {
		rollout_tally_t *t =
			&g_array_index(o->tallies, rollout_tally_t, i);

		if (!is_alike(&t->answer, answer))
			continue;
		t->n++;
		return;
	}
	if (o->tallies->len < MAX_TALLIES)
		g_array_append_val(o->tallies, one);
}

/* Adds an answer of the runner that the request was sent to. */
static void add_answer(const relay_t *r, rollout_timing_t timing, int64_t time,
		       bool has_failed)
{
	gateway_rollout_t *o = gateway_find_rollout(r);
	rollout_answer_t answer = {
		.route = str_hash(str_from(r->route->name)),
		.timing = timing,
		.bucket = rollout_time_bucket(time),
		.has_failed = has_failed,
	};

	if (!o)
		return;
	answer.is_target = gateway_is_target(o, r->runner.release);
	/* Never 0, which stands for runners of other releases. */
	if (answer.is_target)
		answer.runner = str_hash(str_from(r->runner.name)) | 1;
	tally(o, &answer);
}

static rollout_timing_t first_timing(const relay_t *r)
{
	return r->route->kind == FLEET_STREAM ? ROLLOUT_FIRST_EVENT :
						ROLLOUT_WHOLE;
}

/* Each send's first answer counts once. */
static void add_first(relay_t *r, int64_t now, bool has_failed)
{
	if (r->rollout.is_timed && !has_failed)
		return;
	r->rollout.is_timed = true;
	add_answer(r, first_timing(r), now - r->rollout.sent_at, has_failed);
}

void relay_on_first_event(relay_t *r)
{
	r->rollout.first_at = now_us();
	add_first(r, r->rollout.first_at, false);
}

/* Time above which a request without an answer is late. */
static int64_t late_limit(const relay_t *r)
{
	return r->route->target_ms ? r->route->target_ms * US_PER_MS :
				     NO_TARGET_US;
}

/* Stopped without an answer: the time so far counts if it is late. */
static void add_stopped(relay_t *r, int64_t now)
{
	if (!r->rollout.first_at && now - r->rollout.sent_at > late_limit(r))
		add_first(r, now, false);
}

static void add_complete(relay_t *r, int64_t now)
{
	uint64_t n = r->n_events - r->events_before;

	add_first(r, now, false);
	if (r->rollout.first_at && n > 1)
		add_answer(r, ROLLOUT_PACE,
			   (now - r->rollout.first_at) / (int64_t)(n - 1),
			   false);
}

/* The runners of other releases may need as long to end what they have. */
static void note_time(const relay_t *r, int64_t time)
{
	gateway_rollout_t *o = gateway_find_rollout(r);

	if (o && !gateway_is_target(o, r->runner.release))
		o->longest = MAX(o->longest, time);
}

void relay_on_done(relay_t *r, done_result_t result)
{
	int64_t now = now_us();

	if (!r->rollout.sent_at)
		return;
	switch (result) {
	case DONE_COMPLETED:
		add_complete(r, now);
		break;
	case DONE_FAILED:
		if (r->answer.status >= 500 && !r->answer.is_not_run)
			add_first(r, now, true);
		break;
	case DONE_BROKEN:
		add_first(r, now, true);
		break;
	case DONE_CANCELLED:
		add_stopped(r, now);
		break;
	default:
		break;
	}
	note_time(r, now - r->rollout.sent_at);
	/* The share is used up, unless nothing was sent. */
	if (result != DONE_UNREACHABLE && result != DONE_LEAVING)
		r->rollout.has_share = false;
	r->rollout.sent_at = 0;
}

void relay_check_late(relay_t *r, int64_t now)
{
	if (r->state == RELAY_GRANTED && r->rollout.sent_at &&
	    now - r->rollout.sent_at > LATE_FACTOR * late_limit(r))
		add_first(r, now, false);
}
