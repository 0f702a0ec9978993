/*
 * Runners that fail if they have to refuse more requests in a second than they
 * name: nothing may wait at them, and a dispatcher that is refused stops short
 * of that number.
 */
#include "core/runner_brittle.h"
#include "tests/lib_fixture.h"
#include "tests/lib_suite.h"

enum { BORNE = 6, SLOTS = 4, CALLS = 12 };

START_TEST(refusals_and_grants_stay_below_what_it_bears)
{
	runner_brittle_t b = { 0 };
	int granted = 0;

	runner_brittle_state(&b, BORNE, SECOND);
	ck_assert(runner_brittle_has_room(&b, SECOND));
	runner_brittle_on_refusal(&b, SECOND);
	for (int i = 0; i < BORNE && runner_brittle_has_room(&b, SECOND); i++) {
		runner_brittle_take(&b, SECOND);
		granted++;
	}
	/* Two dispatchers that know nothing of each other are borne. */
	ck_assert_int_le(1 + granted, BORNE / 2);
	ck_assert_int_ge(granted, 1);
	ck_assert(!runner_brittle_has_room(&b, 2 * SECOND));
	ck_assert(runner_brittle_has_room(&b, 2 * SECOND + 300 * MS));
}
END_TEST

START_TEST(a_runner_that_bears_nothing_is_left_alone_after_a_refusal)
{
	runner_brittle_t b = { 0 };

	runner_brittle_state(&b, 0, SECOND);
	ck_assert(runner_brittle_has_room(&b, SECOND));
	runner_brittle_on_refusal(&b, SECOND);
	ck_assert(!runner_brittle_has_room(&b, SECOND + 900 * MS));
}
END_TEST

START_TEST(others_may_refuse_without_end)
{
	runner_brittle_t b = { 0 };

	for (int i = 0; i < 100; i++)
		runner_brittle_on_refusal(&b, SECOND);
	ck_assert(runner_brittle_has_room(&b, SECOND));
	/* What it said some time ago holds no longer. */
	runner_brittle_state(&b, 2, SECOND);
	ck_assert(!runner_brittle_has_room(&b, SECOND));
	ck_assert(!runner_brittle_is_stated(&b, 7 * SECOND));
}
END_TEST

static void begin(fixture_t *fixture)
{
	dispatcher_runner_t runner = { .name = "r0", .slots = SLOTS };

	*fixture = (fixture_t){ .config.uses_stated_load = true };
	fixture_init(fixture, false);
	dispatcher_set_runner(&fixture->d, &runner, fixture->now);
}

/* Has the runner state its load, and whether it is brittle, in an answer. */
static void run_one(fixture_t *fixture, uint64_t attempt, bool is_brittle)
{
	want_id_t id = { OWNER, attempt };
	runner_load_t load = { .at = fixture->now, .slots = SLOTS };

	fixture_submit(fixture, attempt, 0, 1);
	ck_assert_int_eq(fixture_answer_kind(fixture, attempt), ANSWER_GRANT);
	fixture_tick(fixture, 20 * MS);
	load.at = fixture->now;
	dispatcher_runner_load(&fixture->d, id, &load, fixture->now);
	if (is_brittle)
		ck_assert(dispatcher_runner_brittle(&fixture->d, id, BORNE,
						    fixture->now));
	fixture_done(fixture, attempt, DONE_COMPLETED);
}

static int fill(fixture_t *fixture, uint64_t from)
{
	int granted = 0;

	for (uint64_t a = from; a < from + CALLS; a++) {
		fixture_submit(fixture, a, 0, 1);
		granted += fixture_answer_kind(fixture, a) == ANSWER_GRANT;
	}
	return granted;
}

START_TEST(no_call_waits_at_a_brittle_runner)
{
	static fixture_t fixture;

	begin(&fixture);
	run_one(&fixture, 1, false);
	ck_assert_int_gt(fill(&fixture, 10), SLOTS);
	dispatcher_finish(&fixture.d);
	begin(&fixture);
	run_one(&fixture, 1, true);
	ck_assert_int_le(fill(&fixture, 10), SLOTS);
	dispatcher_finish(&fixture.d);
}
END_TEST

/* Guards against: a full brittle runner is asked again and again, and falls. */
START_TEST(a_brittle_runner_that_refuses_is_asked_no_further)
{
	static fixture_t fixture;
	done_t refused = { .result = DONE_FAILED,
			   .is_refused = true,
			   .is_brittle = true,
			   .refusals_borne = BORNE };
	int n_refused = 0;

	begin(&fixture);
	run_one(&fixture, 1, true);
	for (uint64_t a = 10; a < 60; a++) {
		fixture_submit(&fixture, a, 0, 1);
		for (uint64_t k = 10; k <= a; k++) {
			if (fixture_answer_kind(&fixture, k) != ANSWER_GRANT)
				continue;
			n_refused++;
			fixture.answers[k].kind = ANSWER_NONE;
			dispatcher_done(&fixture.d, (want_id_t){ OWNER, k },
					&refused, fixture.now);
		}
		fixture_tick(&fixture, 10 * MS);
	}
	ck_assert_int_ge(n_refused, 1);
	ck_assert_int_le(n_refused, BORNE / 2);
	dispatcher_finish(&fixture.d);
}
END_TEST

SUITE_MAIN("runner brittle", refusals_and_grants_stay_below_what_it_bears,
	   a_runner_that_bears_nothing_is_left_alone_after_a_refusal,
	   others_may_refuse_without_end, no_call_waits_at_a_brittle_runner,
	   a_brittle_runner_that_refuses_is_asked_no_further)
