/*
 * Every runner was slow once, under some load. Predictions learned then must
 * not refuse work forever, since only the results of new work correct them.
 */
#include "tests/lib_fixture.h"
#include "tests/lib_suite.h"

/* One call that takes far longer than later calls' deadlines. */
static void run_slow_call(fixture_t *fixture, uint64_t attempt)
{
	fixture_submit(fixture, attempt, 1, 1);
	ck_assert_int_eq(fixture_answer_kind(fixture, attempt), ANSWER_GRANT);
	fixture_tick(fixture, 2 * SECOND);
	fixture_done(fixture, attempt, DONE_COMPLETED);
}

static void submit_with_deadline(fixture_t *fixture, uint64_t attempt,
				 int64_t timeout)
{
	want_t want = fixture_make_want(fixture, attempt, 1, 1);

	want.deadline = fixture->now + timeout;
	dispatcher_want(&fixture->d, &want, fixture->now);
}

START_TEST(plain_calls_are_granted_while_slots_are_free)
{
	fixture_t fixture = { .config.grants_if_idle = true };

	fixture_init(&fixture, false);
	fixture_set_runner(&fixture, "r", false);
	run_slow_call(&fixture, 1);
	for (uint64_t a = 2; a <= 20; a++) {
		submit_with_deadline(&fixture, a, 600 * MS);
		ck_assert_int_eq(fixture_answer_kind(&fixture, a),
				 ANSWER_GRANT);
		fixture_tick(&fixture, 15 * MS);
		fixture_done(&fixture, a, DONE_COMPLETED);
	}
	dispatcher_finish(&fixture.d);
}
END_TEST

START_TEST(idle_engine_gets_work_predicted_to_be_late)
{
	fixture_t fixture = { .config.grants_if_idle = true };

	fixture_init(&fixture, true);
	fixture_set_runner(&fixture, "r", false);
	fixture_calibrate(&fixture, 1, 100, 2 * SECOND, 10, 2 * SECOND);
	submit_with_deadline(&fixture, 2, 600 * MS);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 2), ANSWER_GRANT);
	dispatcher_finish(&fixture.d);
}
END_TEST

START_TEST(slots_stated_by_a_runner_override_its_service)
{
	dispatcher_runner_t runner = { .name = "r", .slots = 2 };
	fixture_t fixture = { .config.engine_slots = 5 };

	fixture_init(&fixture, true);
	dispatcher_set_runner(&fixture.d, &runner, fixture.now);
	for (uint64_t a = 1; a <= 3; a++) {
		fixture_submit(&fixture, a, 1, 1);
		dispatcher_first_token(&fixture.d, (want_id_t){ OWNER, a },
				       fixture.now);
	}
	ck_assert_int_eq(fixture_answer_kind(&fixture, 2), ANSWER_GRANT);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 3), ANSWER_NONE);
	dispatcher_finish(&fixture.d);
}
END_TEST

SUITE_MAIN("stale_prediction", plain_calls_are_granted_while_slots_are_free,
	   idle_engine_gets_work_predicted_to_be_late,
	   slots_stated_by_a_runner_override_its_service)
