/*
 * Co-located work slows a runner for some hundred milliseconds at a time, and
 * its answers say so. Few runners with few slots serve short calls with a short
 * latency target.
 */
#include "core/runner_load.h"
#include "core/runner_model.h"
#include "tests/lib_fixture.h"
#include "tests/lib_suite.h"

enum {
	SLOTS = 6,
	WORK = 20 * MS, /* of a call at pace 1 */
	USUAL = RUNNER_PACE_PERCENT,
	SLOW = 250,
	WARM_UP = 12, /* calls that make the speeds known */
	GAP = 10 * MS, /* between two statements */
};

static runner_load_t load_at(int64_t at, uint32_t running, uint32_t pace)
{
	return (runner_load_t){ at, running, 0, SLOTS, pace };
}

START_TEST(a_statement_fades_with_its_age)
{
	runner_statements_t s = { .n_paces = 0 };
	runner_load_t usual = load_at(SECOND, 0, USUAL);
	runner_load_t slow = load_at(2 * SECOND, 0, SLOW);
	double before = 3;

	ck_assert_double_eq(runner_load_pace(&s, SECOND), 1);
	for (int i = 0; i < WARM_UP; i++, usual.at += GAP)
		ck_assert(runner_load_hear(&s, &usual));
	ck_assert(runner_load_hear(&s, &slow));
	for (int64_t age = 0; age <= 3 * SECOND; age += 100 * MS) {
		double pace = runner_load_pace(&s, slow.at + age);

		ck_assert_double_lt(pace, before);
		before = pace + 1e-9;
	}
	ck_assert_double_eq_tol(runner_load_pace(&s, slow.at), 2.5, 0.01);
	ck_assert_double_eq(before - 1e-9, runner_load_usual(&s));
}
END_TEST

START_TEST(an_older_statement_is_ignored)
{
	runner_statements_t s = { .n_paces = 0 };
	runner_load_t first = load_at(SECOND, 3, SLOW);
	runner_load_t older = load_at(SECOND - MS, 9, USUAL);
	runner_load_t none = { .at = 0 };

	ck_assert(runner_load_hear(&s, &first));
	ck_assert(!runner_load_hear(&s, &older));
	ck_assert(!runner_load_hear(&s, &none));
	ck_assert_uint_eq(s.last.running, 3);
	/* The same once more, its age rounded. */
	first.at += MS;
	ck_assert(!runner_load_hear(&s, &first));
	ck_assert_uint_eq(s.n_paces, 1);
}
END_TEST

/* Long work outlasts a slow time; only its beginning takes longer. */
START_TEST(a_slow_time_adds_little_to_long_work)
{
	runner_statements_t s = { .n_paces = 0 };
	runner_load_t l = load_at(SECOND, 0, USUAL);
	int64_t brief, lengthy;

	for (int i = 0; i < 100; i++, l.at += GAP)
		runner_load_hear(&s, &l);
	l.pace = SLOW;
	runner_load_hear(&s, &l);
	brief = runner_load_slowed(&s, WORK, l.at);
	lengthy = runner_load_slowed(&s, 10 * SECOND, l.at);
	ck_assert_int_gt(brief, INT64_C(2) * WORK);
	ck_assert_int_gt(lengthy, 10 * SECOND);
	ck_assert_int_le(lengthy, 10 * SECOND + 300 * MS);
}
END_TEST

START_TEST(work_of_others_counts_beyond_the_ledger)
{
	runner_statements_t s = { .n_paces = 0 };
	runner_load_t l = { SECOND, 5, 2, SLOTS, 0 };

	runner_load_hear(&s, &l);
	ck_assert_double_eq(runner_load_external(&s, 3, SECOND), 4);
	ck_assert_double_eq(runner_load_external(&s, 9, SECOND), 0);
	ck_assert_double_lt(runner_load_external(&s, 3, SECOND + SECOND), 1);
}
END_TEST

static void begin(fixture_t *f, bool uses_stated_load)
{
	static const dispatcher_tier_t unprotected[] = { { .weight = 1 } };

	*f = (fixture_t){ .config = {
				  .plain_slots = SLOTS,
				  .uses_stated_load = uses_stated_load,
			  } };
	fixture_init(f, false);
	dispatcher_set_tiers(&f->d, unprotected, G_N_ELEMENTS(unprotected));
	fixture_set_runner(f, "a", false);
	fixture_set_runner(f, "b", false);
}

/* Ends a call, whose answer states RUNNING and PACE. */
static void end_call(fixture_t *f, uint64_t attempt, uint32_t running,
		     uint32_t pace)
{
	want_id_t id = { OWNER, attempt };
	runner_load_t load = load_at(f->now, running, pace);

	dispatcher_runner_load(&f->d, id, &load, f->now);
	fixture_done(f, attempt, DONE_COMPLETED);
}

static void warm_up(fixture_t *f)
{
	for (uint64_t a = 1; a <= WARM_UP; a += 2) {
		fixture_submit(f, a, 0, 1);
		fixture_submit(f, a + 1, 0, 1);
		f->now += WORK;
		end_call(f, a, 1, USUAL);
		end_call(f, a + 1, 1, USUAL);
	}
}

static bool runs_on(const fixture_t *f, uint64_t attempt, const char *runner)
{
	return !strcmp(f->answers[attempt].runner, runner);
}

/*
 * A call ends and says that its machine has turned slow just now; returns how
 * many of the next three calls are granted there.
 */
static int granted_to_slow(bool uses_stated_load)
{
	static fixture_t f;
	const char *slow_runner;
	int n = 0;

	begin(&f, uses_stated_load);
	warm_up(&f);
	fixture_submit(&f, 20, 0, 1);
	slow_runner = f.answers[20].runner;
	f.now += WORK;
	end_call(&f, 20, 1, SLOW);
	f.now += 5 * MS;
	for (uint64_t a = 30; a < 33; a++) {
		fixture_submit(&f, a, 0, 1);
		n += runs_on(&f, a, slow_runner);
	}
	dispatcher_finish(&f.d);
	return n;
}

START_TEST(a_machine_that_says_it_is_slow_gets_less)
{
	ck_assert_int_eq(granted_to_slow(true), 0);
	ck_assert_int_ge(granted_to_slow(false), 1);
}
END_TEST

START_TEST(a_machine_that_was_slow_long_ago_is_used)
{
	static fixture_t f;
	const char *slow_runner;
	int n = 0;

	begin(&f, true);
	warm_up(&f);
	fixture_submit(&f, 20, 0, 1);
	slow_runner = f.answers[20].runner;
	f.now += WORK * SLOW / USUAL;
	end_call(&f, 20, 1, SLOW);
	fixture_tick(&f, 3 * SECOND);
	for (uint64_t a = 30; a < 30 + 2 * SLOTS; a++) {
		fixture_submit(&f, a, 0, 1);
		n += runs_on(&f, a, slow_runner);
	}
	/* The mean of all paces so far makes it the second choice. */
	ck_assert_int_ge(n, SLOTS - 1);
	dispatcher_finish(&f.d);
}
END_TEST

/* A runner that is full of others' requests, and has none of this ledger. */
START_TEST(a_slot_that_others_hold_has_no_predicted_end)
{
	static const runner_room_t rooms[] = { ROOM_UNPROTECTED,
					       ROOM_PROTECTED };
	runner_model_t m;
	runner_load_t full = load_at(SECOND, SLOTS, USUAL);

	runner_model_init(&m, true, 100000, NULL);
	m.slots = SLOTS;
	runner_model_hear(&m, &full);
	for (size_t i = 0; i < G_N_ELEMENTS(rooms); i++)
		ck_assert_int_eq(runner_model_place_wait(&m, rooms[i], SECOND),
				 INT64_MAX);
}
END_TEST

/* A free slot is better than a queue, if the runner isn't much slower. */
START_TEST(no_call_waits_beside_a_free_slot)
{
	static fixture_t f;
	uint32_t at_first = 0;

	begin(&f, true);
	warm_up(&f);
	/* One of them is a little slower. */
	fixture_submit(&f, 20, 0, 1);
	f.now += WORK + WORK / 20;
	end_call(&f, 20, 1, USUAL);
	for (uint64_t a = 100; a < 100 + 2 * SLOTS; a++) {
		fixture_submit(&f, a, 0, 1);
		at_first += runs_on(&f, a, f.answers[100].runner);
	}
	ck_assert_uint_eq(at_first, SLOTS);
	dispatcher_finish(&f.d);
}
END_TEST

/* All places of the runners are taken, and a call waits at each besides. */
START_TEST(no_place_stays_empty_in_overload)
{
	static fixture_t f;
	uint32_t granted = 0;

	begin(&f, true);
	warm_up(&f);
	for (uint64_t a = 100; a < 140; a++) {
		fixture_submit(&f, a, 0, 1);
		granted += fixture_answer_kind(&f, a) == ANSWER_GRANT;
	}
	ck_assert_uint_ge(granted, 2 * SLOTS + 2);
	ck_assert_uint_le(granted, 2 * SLOTS + 4);
	dispatcher_finish(&f.d);
}
END_TEST

/*
 * All calls in progress are overdue at once, while one that ends says why. That
 * must not close the runner's window, as a silent runner's is.
 */
static uint32_t granted_after_slow_time(uint32_t pace)
{
	static fixture_t f;
	uint32_t granted = 0;

	begin(&f, true);
	warm_up(&f);
	for (uint64_t a = 20; a < 20 + 2 * SLOTS; a++)
		fixture_submit(&f, a, 0, 1);
	f.now += INT64_C(2) * WORK;
	for (uint64_t a = 20; a < 22; a++)
		end_call(&f, a, SLOTS, pace);
	for (int i = 0; i < 30; i++)
		fixture_tick(&f, 10 * MS);
	for (uint64_t a = 22; a < 20 + 2 * SLOTS; a++)
		fixture_done(&f, a, DONE_CANCELLED);
	for (uint64_t a = 100; a < 140; a++) {
		fixture_submit(&f, a, 0, 1);
		granted += fixture_answer_kind(&f, a) == ANSWER_GRANT;
	}
	dispatcher_finish(&f.d);
	return granted;
}

START_TEST(a_slow_time_does_not_close_the_window)
{
	ck_assert_uint_ge(granted_after_slow_time(SLOW), UINT64_C(2) * SLOTS);
	/* It isn't slow by its own account, but calls hang. */
	ck_assert_uint_le(granted_after_slow_time(USUAL), SLOTS);
}
END_TEST

/* Another dispatcher has filled a runner; its answers show it. */
START_TEST(work_that_others_put_there_takes_its_room)
{
	static fixture_t f;
	const char *full;
	uint32_t there = 0;

	begin(&f, true);
	warm_up(&f);
	fixture_submit(&f, 20, 0, 1);
	full = f.answers[20].runner;
	f.now += WORK;
	end_call(&f, 20, SLOTS + 3, USUAL);
	for (uint64_t a = 100; a < 140; a++) {
		fixture_submit(&f, a, 0, 1);
		there += fixture_answer_kind(&f, a) == ANSWER_GRANT &&
			 runs_on(&f, a, full);
	}
	ck_assert_uint_eq(there, 0);
	dispatcher_finish(&f.d);
}
END_TEST

/* What a runner had when it wrote its answer may have ended since. */
START_TEST(work_of_the_ledger_that_ended_since_is_not_others)
{
	static fixture_t f;
	uint32_t granted = 0;

	begin(&f, true);
	warm_up(&f);
	for (uint64_t a = 20; a < 20 + 2 * SLOTS; a++)
		fixture_submit(&f, a, 0, 1);
	f.now += WORK;
	/* All write their heads at once; the first to be heard ends last. */
	for (uint64_t a = 20; a < 20 + 2 * SLOTS; a++)
		if (a % SLOTS)
			fixture_done(&f, a, DONE_COMPLETED);
	for (uint64_t a = 20; a < 20 + 2 * SLOTS; a++)
		if (!(a % SLOTS))
			end_call(&f, a, SLOTS, USUAL);
	for (uint64_t a = 100; a < 140; a++) {
		fixture_submit(&f, a, 0, 1);
		granted += fixture_answer_kind(&f, a) == ANSWER_GRANT;
	}
	ck_assert_uint_ge(granted, UINT64_C(2) * SLOTS);
	dispatcher_finish(&f.d);
}
END_TEST

/* A runner of unknown speed that says that it is slow is taken at its word. */
START_TEST(the_stated_pace_tells_the_speed_of_an_unknown_runner)
{
	runner_model_t known, unknown;
	runner_work_t work = { .prompt_tokens = 1000, .output_tokens = 1 };
	done_t done = { .result = DONE_COMPLETED,
			.prompt_tokens = 1000,
			.output_tokens = 1 };
	runner_load_t fast = load_at(SECOND, 1, 50);
	runner_load_t slow = load_at(SECOND, 1, 300);
	double ratio;

	runner_model_init(&known, true, 100000, NULL);
	runner_model_hear(&known, &fast);
	runner_model_grant(&known, &work, SECOND);
	runner_model_first_token(&known, &work, SECOND + 50 * MS);
	runner_model_end(&known, &work, &done, SECOND + 60 * MS);
	runner_model_init(&unknown, true, 100000, &known.speed);
	runner_model_hear(&unknown, &slow);
	ratio = (double)runner_model_predict(&unknown, 1000, 1, 0) /
		(double)runner_model_predict(&known, 1000, 1, 0);
	ck_assert_double_eq_tol(ratio, 6, 0.1);
}
END_TEST

SUITE_MAIN("noisy_machine", a_statement_fades_with_its_age,
	   an_older_statement_is_ignored, a_slow_time_adds_little_to_long_work,
	   work_of_others_counts_beyond_the_ledger,
	   a_machine_that_says_it_is_slow_gets_less,
	   a_machine_that_was_slow_long_ago_is_used,
	   a_slot_that_others_hold_has_no_predicted_end,
	   no_call_waits_beside_a_free_slot, no_place_stays_empty_in_overload,
	   a_slow_time_does_not_close_the_window,
	   work_that_others_put_there_takes_its_room,
	   work_of_the_ledger_that_ended_since_is_not_others,
	   the_stated_pace_tells_the_speed_of_an_unknown_runner)
