#include "tests/lib_rollout.h"

#include <check.h>
#include <string.h>

static bool chance(world_t *w, double p)
{
	return g_rand_double(w->rand) < p;
}

bool rollout_world_is_bad(const world_t *w)
{
	return w->story->failing > 0 || w->story->slow > 0;
}

static void start_conductor(world_t *w, int i)
{
	conductor_model_t *c = &w->conductors[i];
	bool knows_begin = !w->now;

	if (c->is_up)
		rollout_finish(&c->rollout);
	*c = (conductor_model_t){ .is_up = true,
				  .knows_begin = knows_begin,
				  .up_at = w->now };
	rollout_init(&c->rollout, &w->order, ++w->next_id, ROLLOUT_SHARE,
		     ROLLOUT_SLACK, w->now);
}

static void start_daemon(world_t *w, int i)
{
	daemon_model_t *d = &w->daemons[i];

	*d = (daemon_model_t){ .counts.process = ++w->next_id };
	g_snprintf(d->name, sizeof(d->name), "d%d", i);
	for (int k = 0; k < MAX_RUNNING; k++)
		if (w->runs[k].daemon == i)
			w->runs[k].is_used = false;
}

static bool is_store_away(const world_t *w)
{
	return w->now >= w->story->store_away_from * MS &&
	       w->now < w->story->store_away_to * MS;
}

/* The first one that is up conducts. */
static conductor_model_t *host(world_t *w)
{
	for (int i = 0; i < CONDUCTORS; i++)
		if (w->conductors[i].is_up &&
		    w->now - w->conductors[i].up_at >= 500 * MS * !!w->now &&
		    w->now >= w->conductors[i].frozen_until)
			return &w->conductors[i];
	return NULL;
}

static uint32_t count_running(const world_t *w, int daemon)
{
	uint32_t n = 0;

	for (int k = 0; k < MAX_RUNNING; k++)
		n += w->runs[k].is_used && !w->runs[k].is_target &&
		     w->runs[k].daemon == daemon;
	return n;
}

/*
 * A daemon that is cut off for longer than its lease doesn't hear that others
 * have moved.
 */
static uint32_t count_running_in_touch(const world_t *w)
{
	uint32_t n = 0;

	for (int i = 0; i < DAEMONS; i++)
		if (w->now >= w->daemons[i].cut_until ||
		    w->now < w->story->cut_at * MS + ROLLOUT_LEASE_US)
			n += count_running(w, i);
	return n;
}

/* Writes under the condition; a decision must never be replaced. */
static bool write_record(world_t *w, const rollout_record_t *record,
			 uint64_t at)
{
	if (at != w->version)
		return false;
	ck_assert(!w->has_record || w->record.phase == ROLLOUT_IN_PROGRESS);
	ck_assert(!w->has_record || record->budget >= w->record.budget);
	w->record = *record;
	w->has_record = true;
	w->version++;
	if (record->phase != ROLLOUT_IN_PROGRESS)
		w->decided_at = w->now;
	if (record->phase == ROLLOUT_COMPLETED)
		w->running_at_end = count_running_in_touch(w);
	return true;
}

static int64_t wall_ms(const world_t *w)
{
	return 1700000000000 + w->now / MS;
}

static void end_read(world_t *w, conductor_model_t *c)
{
	if (is_store_away(w) || chance(w, w->story->lost_answers)) {
		rollout_on_store_lost(&c->rollout, w->now);
		return;
	}
	c->known = w->version;
	rollout_on_record(&c->rollout, w->has_record ? &w->record : NULL,
			  c->knows_begin, w->now, wall_ms(w));
}

static void end_write(world_t *w, conductor_model_t *c)
{
	if (is_store_away(w)) {
		rollout_on_store_lost(&c->rollout, w->now);
		return;
	}
	if (chance(w, w->story->late_writes) && !w->late_due) {
		w->late = c->record;
		w->late_at = c->at;
		w->late_due = w->now + 300 * MS;
		rollout_on_store_lost(&c->rollout, w->now);
		return;
	}
	if (!write_record(w, &c->record, c->at) ||
	    chance(w, w->story->lost_answers)) {
		rollout_on_store_lost(&c->rollout, w->now);
		return;
	}
	c->known = w->version;
	rollout_on_written(&c->rollout, &c->record, w->now);
}

static void run_conductor(world_t *w, conductor_model_t *c)
{
	rollout_view_t view = { DAEMONS, RUNNERS, RUNNERS };
	rollout_t *r = &c->rollout;

	if (c->is_calling && w->now >= c->call_ends_at) {
		c->is_calling = false;
		if (c->is_writing)
			end_write(w, c);
		else
			end_read(w, c);
	}
	rollout_tick(r, &view, w->now);
	if (c->is_calling)
		return;
	c->is_writing = false;
	if (rollout_needs_read(r, w->now)) {
		c->is_calling = true;
	} else if (rollout_next_record(r, &c->record, w->now, wall_ms(w))) {
		c->is_calling = c->is_writing = true;
		c->at = c->known;
	}
	c->call_ends_at = w->now + STORE_US;
}

static bool goes_to_target(world_t *w, daemon_model_t *d)
{
	bool is_live = rollout_lease_is_live(&d->lease, w->now);

	switch (d->stage) {
	case ROLLOUT_TRYING:
		return rollout_lease_take(&d->lease, w->now);
	case ROLLOUT_MOVING:
		return is_live;
	case ROLLOUT_MOVED:
	case ROLLOUT_DONE:
		return true;
	default:
		return false;
	}
}

static void check_exposure(const world_t *w)
{
	if (!rollout_world_is_bad(w))
		return;
	if (!w->story->is_unbounded)
		ck_assert_double_le((double)w->to_target,
				    ROLLOUT_SHARE * (double)w->requests +
					    ROLLOUT_SLACK);
	ck_assert(!w->fiftieth_at || w->now - w->fiftieth_at < REVERT_US);
}

static void send_request(world_t *w, int i)
{
	daemon_model_t *d = &w->daemons[i];
	run_t *run = NULL;
	bool is_target = goes_to_target(w, d);
	double time = SERVICE_US * (0.5 + g_rand_double(w->rand));

	d->counts.requests++;
	w->requests++;
	for (int k = 0; k < MAX_RUNNING && !run; k++)
		if (!w->runs[k].is_used)
			run = &w->runs[k];
	ck_assert_ptr_nonnull(run);
	*run = (run_t){ .is_used = true,
			.began_at = w->now,
			.daemon = i,
			.is_target = is_target };
	run->runner = (uint64_t)g_rand_int_range(w->rand, 1, RUNNERS + 1);
	if (is_target) {
		w->to_target++;
		check_exposure(w);
		if (w->now >= w->story->bad_from * MS) {
			run->will_fail = chance(w, w->story->failing);
			time *= chance(w, w->story->slow) ? 5 : 1;
		}
	}
	run->ends_at = w->now + (int64_t)time;
}

static void end_run(world_t *w, run_t *run)
{
	int64_t time = w->now - run->began_at;
	rollout_answer_t answer = {
		.route = 1,
		.runner = run->runner,
		.is_target = run->is_target,
		.has_failed = run->will_fail,
		.bucket = rollout_time_bucket(time),
	};
	conductor_model_t *c = host(w);

	run->is_used = false;
	w->bad_answers +=
		run->is_target && (run->will_fail || time > 2 * SERVICE_US);
	if (w->bad_answers >= BAD_ANSWERS && !w->fiftieth_at)
		w->fiftieth_at = w->now;
	if (c && w->now >= w->daemons[run->daemon].cut_until)
		rollout_on_answer(&c->rollout, &answer, 1, w->now);
}

static void take_told(world_t *w, daemon_model_t *d, const rollout_told_t *told)
{
	if (!told->term || told->term < d->term)
		return;
	d->term = told->term;
	d->stage = told->stage;
	rollout_lease_set(&d->lease, told->granter, told->granted, told->stamp,
			  w->now);
	if (d->stage != ROLLOUT_TRYING)
		rollout_lease_drop(&d->lease);
}

static void report(world_t *w, int i)
{
	daemon_model_t *d = &w->daemons[i];
	conductor_model_t *c = host(w);
	rollout_report_t report = { .stage = d->stage,
				    .term = d->term,
				    .running = count_running(w, i),
				    .longest = 2 * SERVICE_US,
				    .stamp = w->now };
	rollout_told_t told;

	rollout_lease_tick(&d->lease, w->now);
	d->counts.granter = d->lease.granter;
	d->counts.used = d->lease.used;
	d->counts.returned = d->lease.returned;
	if (!c || w->now < d->cut_until)
		return;
	report.counts = d->counts;
	report.order = c->rollout.order_id;
	told = rollout_on_report(&c->rollout, d->name, &report, w->now);
	take_told(w, d, &told);
}

static void disturb(world_t *w)
{
	const story_t *s = w->story;
	conductor_model_t *c = host(w);
	rollout_stage_t stage = c ? c->rollout.stage : ROLLOUT_HELD;

	if (s->kill_at && stage == s->kill_at && !w->was_killed) {
		w->was_killed = true;
		start_conductor(w, c == &w->conductors[1]);
	}
	if (s->freeze_at && stage == s->freeze_at && !w->was_killed) {
		w->was_killed = true;
		c->frozen_until = w->now + 3000 * MS;
	}
	if (s->restart_at && w->now >= s->restart_at * MS &&
	    !w->was_restarted) {
		w->was_restarted = true;
		for (int i = 0; i < CONDUCTORS; i++)
			start_conductor(w, i);
		for (int i = 0; i < DAEMONS; i++)
			start_daemon(w, i);
	}
	if (s->cut_at && w->now == s->cut_at * MS)
		w->daemons[0].cut_until = w->now + 3000 * MS;
	if (w->late_due && w->now >= w->late_due) {
		w->late_due = 0;
		write_record(w, &w->late, w->late_at);
	}
}

static void step(world_t *w)
{
	disturb(w);
	for (int i = 0; i < CONDUCTORS; i++)
		if (host(w) == &w->conductors[i])
			run_conductor(w, &w->conductors[i]);
	for (int k = 0; k < MAX_RUNNING; k++)
		if (w->runs[k].is_used && w->now >= w->runs[k].ends_at)
			end_run(w, &w->runs[k]);
	for (int i = 0; i < DAEMONS; i++) {
		send_request(w, i);
		if ((w->now / TICK_US) % (ROLLOUT_REPORT_MS * MS / TICK_US) ==
		    2 * (int64_t)i)
			report(w, i);
	}
}

void rollout_play(world_t *w, const story_t *story, guint32 seed)
{
	memset(w, 0, sizeof(*w));
	w->story = story;
	w->rand = g_rand_new_with_seed(seed);
	w->order = (rollout_order_t){ "s", "v2", DURATION_MS };
	for (int i = 0; i < CONDUCTORS; i++)
		start_conductor(w, i);
	for (int i = 0; i < DAEMONS; i++)
		start_daemon(w, i);
	for (w->now = 0; w->now < END_US; w->now += TICK_US)
		step(w);
	for (int i = 0; i < CONDUCTORS; i++)
		rollout_finish(&w->conductors[i].rollout);
	g_rand_free(w->rand);
}
