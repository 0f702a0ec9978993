#include "core/rollout.h"

#include <string.h>

enum {
	US_PER_MS = 1000,
	MAX_LEFT_MS = INT32_MAX, /* some weeks */
	LONGEST_DIVISOR = 8, /* per look, of what requests took */
	LOOK_US = 400 * US_PER_MS, /* between runs of the judge */
	MIN_SLOT_US = 500 * US_PER_MS, /* width of the judge's time slots */
	READ_US = 1000 * US_PER_MS, /* between confirmations of the term */
	MAX_UNCONFIRMED_US = 2500 * US_PER_MS,
	/* Until a conductor that took over has heard of all daemons. */
	ACQUAINT_US = 1500 * US_PER_MS,
	MISSING_US = 1500 * US_PER_MS, /* until runners count as lost */
	ORDERS_LAG_US =
		300 * US_PER_MS, /* until others' reads are known here */
	/* After another process took it over, until this one may. */
	RETAKE_US = 2000 * US_PER_MS,
	CALL_GAP_US = 100 * US_PER_MS, /* after a call that failed */
	WRITE_GAP_US = 250 * US_PER_MS, /* between larger reservations */
	OWNER_LIVE_US = 2 * ROLLOUT_LEASE_US, /* from its last report */
	/* A daemon's earlier report may be outdated once its lease ended. */
	FRESH_US = 2 * ROLLOUT_REPORT_MS * US_PER_MS + 100 * US_PER_MS,
	/* Before the end, for the last messages and the store. */
	MESSAGES_US = 1000 * US_PER_MS, /* for steps to reach all daemons */
	MAX_CLOSING_US = 1500 * US_PER_MS,
	CLOSING_DIVISOR = 8, /* of the duration */
	MIN_ANSWERS = 10, /* that a release must have to be used */
};

/*
 * The move takes time, for requests that run on other releases to end, but no
 * more: until then the target's share is bounded. Parts of the duration.
 */
static const double max_move = 0.4;
static const double usual_move = 0.3; /* if no request's time is known */

/* A share of the target's budget that is used from a part of the time on. */
typedef struct step {
	double from;
	double probability; /* that a request goes to the target */
	double part; /* of the budget earned so far */
} step_t;

static const step_t steps[] = {
	{ 0, 0.05, 0.3 },
	{ 0.1, 0.1, 0.5 },
	{ 0.3, 0.15, 0.65 },
	/* All at once, for a short time: some are bad only under load. */
	{ 0.45, 1, 1 },
};

typedef struct rollout_daemon {
	int64_t heard_at;
	rollout_stage_t stage;
	uint64_t term;
	uint32_t running; /* on other releases */
} rollout_daemon_t;

uint64_t rollout_order_id(const rollout_order_t *order)
{
	g_autofree char *text =
		g_strdup_printf("%s\n%s\n%" G_GINT64_FORMAT, order->service,
				order->target, order->duration_ms);
	uint64_t id = str_hash(str_from(text));

	return id ? id : 1;
}

const char *rollout_phase_name(rollout_phase_t phase)
{
	static const char *const names[] = { "in progress", "completed",
					     "reverted" };

	return names[phase];
}

const char *rollout_stage_name(rollout_stage_t stage)
{
	static const char *const names[] = { "held",  "trying",	   "moving",
					     "moved", "completed", "reverted" };

	return names[stage];
}

void rollout_init(rollout_t *r, const rollout_order_t *order, uint64_t self,
		  double share, double slack, int64_t now)
{
	int64_t duration = order->duration_ms * US_PER_MS;

	*r = (rollout_t){ .order = *order, .self = self };
	r->order_id = rollout_order_id(order);
	r->began_at = now;
	r->ends_at = now + duration;
	rollout_budget_init(&r->budget, self, share, slack);
	rollout_judge_init(&r->judge,
			   MAX(duration / (ROLLOUT_SLOTS / 2), MIN_SLOT_US),
			   now);
	r->owners =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void rollout_finish(rollout_t *r)
{
	rollout_budget_finish(&r->budget);
	rollout_judge_finish(&r->judge);
	g_clear_pointer(&r->owners, g_hash_table_destroy);
}

bool rollout_is_settled(const rollout_t *r)
{
	return r->stored.order == r->order_id &&
	       r->stored.phase != ROLLOUT_IN_PROGRESS;
}

static void set_stage(rollout_t *r, rollout_stage_t stage, int64_t now)
{
	if (r->stage == stage)
		return;
	r->stage = stage;
	r->stage_at = now;
}

/* Decides to revert; daemons learn it before the store has confirmed it. */
static void revert(rollout_t *r, const char *why, int64_t now)
{
	if (r->must_revert || rollout_is_settled(r))
		return;
	r->must_revert = true;
	r->must_move = r->must_complete = false;
	g_strlcpy(r->why, why, sizeof(r->why));
	set_stage(r, ROLLOUT_TAKEN_BACK, now);
}

void rollout_refuse(rollout_t *r, const char *why, int64_t now)
{
	revert(r, why, now);
}

void rollout_withdraw(rollout_t *r)
{
	r->is_withdrawn = true;
}

static bool is_of_order(const rollout_t *r)
{
	return r->stored.term && r->stored.order == r->order_id;
}

/* Another process may have seen when the order was written. */
static void correct_end(rollout_t *r, int64_t now, int64_t wall_ms)
{
	int64_t duration = r->order.duration_ms * US_PER_MS;
	int64_t left_ms =
		CLAMP(r->stored.ends_ms, 0, wall_ms + MAX_LEFT_MS) - wall_ms;
	int64_t left = left_ms * US_PER_MS;

	/* A step of the wall clock must not end it at once. */
	if (left_ms <= 0 || left > duration || now + left >= r->ends_at)
		return;
	r->ends_at = now + left;
	r->began_at = r->ends_at - duration;
}

static void settle(rollout_t *r, int64_t now)
{
	bool is_completed = r->stored.phase == ROLLOUT_COMPLETED;

	r->is_conducting = false;
	r->must_move = r->must_complete = r->must_revert = false;
	g_strlcpy(r->why, r->stored.why, sizeof(r->why));
	set_stage(r, is_completed ? ROLLOUT_DONE : ROLLOUT_TAKEN_BACK, now);
}

static void lose(rollout_t *r, int64_t now)
{
	if (r->is_conducting)
		r->lost_at = now;
	r->is_conducting = false;
	if (!r->must_revert)
		set_stage(r, ROLLOUT_HELD, now);
	r->must_move = r->must_complete = false;
}

static void take_over(rollout_t *r, uint64_t budget, uint64_t counted,
		      int64_t now)
{
	rollout_budget_begin(&r->budget, budget, counted);
	r->is_conducting = true;
	r->took_over_at = now;
}

/* The store has this process's term. */
static void confirm(rollout_t *r, int64_t now)
{
	if (!r->is_conducting)
		take_over(r, r->stored.budget, r->stored.counted, now);
	r->confirmed_at = now;
	rollout_budget_set_reserved(&r->budget, r->stored.budget);
}

void rollout_on_record(rollout_t *r, const rollout_record_t *record,
		       bool knows_begin, int64_t now, int64_t wall_ms)
{
	r->is_read = true;
	r->read_at = now;
	if (record && record->term != r->stored.term)
		r->stored_at = now;
	r->stored = record ? *record : (rollout_record_t){ .term = 0 };
	if (is_of_order(r) && !knows_begin)
		correct_end(r, now, wall_ms);
	if (rollout_is_settled(r))
		settle(r, now);
	else if (is_of_order(r) && r->stored.conductor == r->self)
		confirm(r, now);
	else
		lose(r, now);
}

void rollout_on_store_lost(rollout_t *r, int64_t now)
{
	r->is_read = false;
	r->lost_store_at = now;
}

bool rollout_needs_read(const rollout_t *r, int64_t now)
{
	if (!r->is_read)
		return now - r->lost_store_at > CALL_GAP_US;
	if (rollout_is_settled(r))
		return false;
	return now - r->read_at > READ_US;
}

/* Fills in what the record says in any phase. */
static void fill_record(const rollout_t *r, rollout_record_t *out, int64_t now,
			int64_t wall_ms)
{
	*out = (rollout_record_t){ .order = r->order_id, .conductor = r->self };
	g_strlcpy(out->service, r->order.service, sizeof(out->service));
	g_strlcpy(out->target, r->order.target, sizeof(out->target));
	out->ends_ms = wall_ms + (r->ends_at - now) / US_PER_MS;
	out->term = r->stored.term + !r->is_conducting;
	g_strlcpy(out->why,
		  r->why[0] || !is_of_order(r) ? r->why : r->stored.why,
		  sizeof(out->why));
	if (is_of_order(r)) {
		out->budget = r->stored.budget;
		out->counted = r->stored.counted;
		out->is_moving = r->stored.is_moving;
		out->ends_ms = r->stored.ends_ms;
	}
	if (r->is_conducting)
		out->counted = r->budget.counted;
	out->is_moving |= r->must_move;
}

/* Returns the part of the order's duration that is over. */
static double part_done(const rollout_t *r, int64_t now)
{
	return (double)(now - r->began_at) /
	       (double)MAX(r->ends_at - r->began_at, 1);
}

static const step_t *current_step(const rollout_t *r, int64_t now)
{
	double done = part_done(r, now);
	const step_t *step = steps;

	for (size_t n = 0; n < G_N_ELEMENTS(steps); n++)
		if (done >= steps[n].from)
			step = &steps[n];
	return step;
}

/* Reserves more of the budget, if daemons may be leased some. */
static void enlarge_budget(const rollout_t *r, rollout_record_t *out,
			   int64_t now)
{
	if (r->stage == ROLLOUT_TRYING && !r->must_move)
		out->budget = rollout_budget_wanted(&r->budget,
						    current_step(r, now)->part);
}

/*
 * A record of another order may be of a newer one: this process must have read
 * the orders after the record.
 */
static bool may_take_over(const rollout_t *r, int64_t now)
{
	if (r->lost_at && now - r->lost_at < RETAKE_US)
		return false;
	return !r->stored.term || is_of_order(r) ||
	       r->orders_at > r->stored_at + ORDERS_LAG_US;
}

void rollout_set_orders_read(rollout_t *r, int64_t at)
{
	r->orders_at = MAX(r->orders_at, at);
}

bool rollout_next_record(rollout_t *r, rollout_record_t *out, int64_t now,
			 int64_t wall_ms)
{
	if (!r->is_read || rollout_is_settled(r))
		return false;
	if (!r->is_conducting && !may_take_over(r, now))
		return false;
	fill_record(r, out, now, wall_ms);
	if (r->must_revert)
		out->phase = ROLLOUT_REVERTED;
	else if (r->must_complete && r->is_conducting)
		out->phase = ROLLOUT_COMPLETED;
	else if (r->is_conducting)
		enlarge_budget(r, out, now);
	if (out->phase != ROLLOUT_IN_PROGRESS)
		out->decided_ms = wall_ms;
	if (!r->is_conducting || out->phase != ROLLOUT_IN_PROGRESS ||
	    out->is_moving != r->stored.is_moving)
		return true;
	return out->budget > r->stored.budget &&
	       now - r->written_at > WRITE_GAP_US;
}

void rollout_on_written(rollout_t *r, const rollout_record_t *record,
			int64_t now)
{
	uint64_t before = is_of_order(r) ? r->stored.budget : 0;
	uint64_t counted = is_of_order(r) ? r->stored.counted : 0;

	r->written_at = r->read_at = now;
	r->stored = *record;
	if (rollout_is_settled(r)) {
		settle(r, now);
		return;
	}
	if (!r->is_conducting)
		take_over(r, before, counted, now);
	confirm(r, now);
}

static bool is_live(const rollout_daemon_t *d, int64_t now)
{
	return now - d->heard_at < OWNER_LIVE_US;
}

/*
 * Returns how many daemons have not said that they act on this stage, and that
 * nothing of theirs runs on other releases.
 */
static uint32_t count_waited_for(const rollout_t *r, const rollout_view_t *view,
				 int64_t now)
{
	uint32_t ready = 0, others = 0;
	GHashTableIter iter;
	rollout_daemon_t *d;

	g_hash_table_iter_init(&iter, r->owners);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&d)) {
		if (!is_live(d, now))
			continue;
		if (now - d->heard_at < FRESH_US && d->stage == r->stage &&
		    d->term == r->stored.term && !d->running)
			ready++;
		else
			others++;
	}
	if (now - r->took_over_at < ACQUAINT_US)
		others++;
	return MAX(others, view->daemons > ready ? view->daemons - ready : 0);
}

static int64_t closing_time(const rollout_t *r)
{
	return MIN(r->order.duration_ms * US_PER_MS / CLOSING_DIVISOR,
		   MAX_CLOSING_US);
}

static void write_why(const rollout_finding_t *f, const char *what, char *out)
{
	g_snprintf(out, ROLLOUT_WHY_SIZE,
		   "%s: answers %u, bad %u, excess %.2f, score %.1f", what,
		   f->answers, f->bad, f->excess, f->score);
}

/* Returns how long before the end all requests must begin to move. */
static int64_t move_time(const rollout_t *r)
{
	double duration = (double)(r->ends_at - r->began_at);
	int64_t longest = r->longest + r->longest / 2;

	if (!r->longest)
		return (int64_t)(usual_move * duration);
	return (int64_t)MIN((double)(longest + closing_time(r) + MESSAGES_US),
			    max_move * duration);
}

/* A list of runners that is read anew may lack some for a moment. */
static void check_missing(rollout_t *r, int64_t now)
{
	if (!r->no_target_since)
		r->no_target_since = now;
	if (now - r->no_target_since > MISSING_US)
		revert(r, "the target has no runner", now);
}

static void check_tried(rollout_t *r, const rollout_view_t *view, int64_t now)
{
	bool is_sound = r->finding.verdict == ROLLOUT_SOUND;
	int64_t left = r->ends_at - now;
	int64_t move = move_time(r);

	if (r->stored.is_moving) {
		set_stage(r, ROLLOUT_MOVING, now);
	} else if (!view->target_runners) {
		if (left <= move)
			check_missing(r, now);
	} else if (left <= move && is_sound) {
		r->must_move = true;
		write_why(&r->finding, "as good as the current release",
			  r->why);
	} else if (left <= move * 3 / 4) {
		/* Few answers, none of which shows that it is worse. */
		if (r->finding.answers < MIN_ANSWERS) {
			revert(r, "too few answers to judge the target", now);
			return;
		}
		r->must_move = true;
		write_why(&r->finding,
			  "not found worse than the current release", r->why);
	}
}

static void check_moving(rollout_t *r, const rollout_view_t *view, int64_t now)
{
	r->waiting_for = count_waited_for(r, view, now);
	if (!view->target_runners)
		check_missing(r, now);
	else if (!r->waiting_for || now >= r->ends_at - closing_time(r))
		set_stage(r, ROLLOUT_MOVED, now);
}

static void check_moved(rollout_t *r, const rollout_view_t *view, int64_t now)
{
	r->waiting_for = count_waited_for(r, view, now);
	if (!r->waiting_for || now >= r->ends_at - closing_time(r) / 2)
		r->must_complete = true;
}

static void judge(rollout_t *r, int64_t now)
{
	const rollout_finding_t *f = &r->finding;
	char why[ROLLOUT_WHY_SIZE];

	if (now - r->looked_at < LOOK_US)
		return;
	r->looked_at = now;
	/* Decays, so that a single long request has no lasting effect. */
	r->longest -= r->longest / LONGEST_DIVISOR;
	if (!r->has_answers)
		return;
	r->has_answers = false;
	r->finding = rollout_judge_find(&r->judge);
	if (f->verdict != ROLLOUT_BAD || r->must_complete)
		return;
	write_why(f,
		  f->by_time ? "slower than the current release" :
			       "fails more often than the current release",
		  why);
	revert(r, why, now);
}

/* Without a confirmed term another daemon may conduct. */
static bool may_conduct(const rollout_t *r, int64_t now)
{
	return r->is_conducting && now - r->confirmed_at < MAX_UNCONFIRMED_US;
}

/*
 * The order names the release that all runners have already: no other was
 * listed for some time, and nobody has tried it.
 */
static bool has_nothing_to_move(rollout_t *r, const rollout_view_t *view,
				int64_t now)
{
	bool is_alone = view->target_runners && !r->had_others &&
			!r->stored.budget && !r->stored.is_moving;

	if (!is_alone || !r->alone_since)
		r->alone_since = is_alone ? now : 0;
	return is_alone && now - r->alone_since > MISSING_US;
}

static void advance(rollout_t *r, const rollout_view_t *view, int64_t now)
{
	r->had_others |= view->other_runners > 0;
	if (view->target_runners)
		r->no_target_since = 0;
	if (r->stage <= ROLLOUT_TRYING && has_nothing_to_move(r, view, now)) {
		set_stage(r, ROLLOUT_MOVED, now);
		r->must_complete = true;
		g_strlcpy(r->why, "the service has no other release",
			  sizeof(r->why));
	}
	/* Without other releases, the target can be compared with nothing. */
	if (r->stage == ROLLOUT_HELD && !r->alone_since)
		set_stage(r, ROLLOUT_TRYING, now);
	if (r->stage == ROLLOUT_TRYING)
		check_tried(r, view, now);
	else if (r->stage == ROLLOUT_MOVING)
		check_moving(r, view, now);
	else if (r->stage == ROLLOUT_MOVED)
		check_moved(r, view, now);
}

void rollout_tick(rollout_t *r, const rollout_view_t *view, int64_t now)
{
	if (rollout_is_settled(r))
		return;
	judge(r, now);
	if (r->is_withdrawn && !r->must_complete)
		revert(r, "the order was withdrawn", now);
	if (r->must_revert)
		return;
	if (now >= r->ends_at && r->stage < ROLLOUT_MOVED)
		revert(r, "it could not be moved in time", now);
	else if (may_conduct(r, now))
		advance(r, view, now);
	else if (r->stage != ROLLOUT_MOVED)
		set_stage(r, ROLLOUT_HELD, now);
}

static rollout_daemon_t *find_daemon(rollout_t *r, const char *name)
{
	rollout_daemon_t *d = g_hash_table_lookup(r->owners, name);

	if (d || g_hash_table_size(r->owners) >= ROLLOUT_MAX_OWNERS)
		return d;
	d = g_new0(rollout_daemon_t, 1);
	g_hash_table_insert(r->owners, g_strdup(name), d);
	return d;
}

rollout_told_t rollout_on_report(rollout_t *r, const char *name,
				 const rollout_report_t *report, int64_t now)
{
	rollout_daemon_t *d = find_daemon(r, name);
	const step_t *step = current_step(r, now);
	bool has_say = r->is_conducting || rollout_is_settled(r);
	rollout_told_t told = { .order = r->order_id,
				.term = has_say ? r->stored.term : 0,
				.granter = r->budget.granter,
				.stage = r->stage,
				.process = report->counts.process,
				.stamp = report->stamp,
				.decided_ms = rollout_is_settled(r) ?
						      r->stored.decided_ms :
						      0 };

	if (d)
		*d = (rollout_daemon_t){ now, report->stage, report->term,
					 report->running };
	if (report->stage == ROLLOUT_TAKEN_BACK && !r->must_complete &&
	    report->term && report->term + 1 >= r->stored.term)
		revert(r, "found bad by the conductor before", now);
	r->longest = MAX(r->longest, report->longest);
	rollout_budget_report(&r->budget, name, &report->counts);
	told.granted = rollout_budget_lease(
		&r->budget, name,
		r->stage == ROLLOUT_TRYING ? step->probability : 0, step->part);
	return told;
}

void rollout_on_answer(rollout_t *r, const rollout_answer_t *answer, uint32_t n,
		       int64_t now)
{
	rollout_judge_add(&r->judge, answer, n, now);
	r->has_answers |= answer->is_target;
}
