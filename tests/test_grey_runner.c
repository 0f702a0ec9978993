/*
 * One of several runners accepts work and reports that it is healthy, but loses
 * most of its answers. It must get little work, but all runners of a service
 * must never be suspended at the same time.
 */
#include "tests/lib_fixture.h"
#include "tests/lib_suite.h"

enum { RUNNERS = 4, CALLS = 400 };

static void add_runners(fixture_t *fixture)
{
	fixture_init(fixture, false);
	for (int i = 0; i < RUNNERS; i++) {
		g_autofree char *name = g_strdup_printf("r%d", i);

		fixture_set_runner(fixture, name, false);
	}
}

/*
 * Runs calls one after the other; those on the first N_LOSING runners fail.
 * Returns how many failed.
 */
static int run_calls(fixture_t *fixture, int n_losing)
{
	int lost = 0;

	for (uint64_t a = 1; a <= CALLS; a++) {
		int runner;

		fixture_submit(fixture, a, 1, 1);
		ck_assert_int_eq(fixture_answer_kind(fixture, a), ANSWER_GRANT);
		runner = fixture->answers[a].runner[1] - '0';
		lost += runner < n_losing;
		fixture_tick(fixture, 20 * MS);
		fixture_done(fixture, a,
			     runner < n_losing ? DONE_BROKEN : DONE_COMPLETED);
	}
	return lost;
}

START_TEST(a_runner_that_loses_answers_is_suspended)
{
	static fixture_t fixture;
	int lost;

	fixture = (fixture_t){ 0 };
	add_runners(&fixture);
	lost = run_calls(&fixture, 1);
	/* An equal share would be a quarter. */
	ck_assert_int_le(lost, CALLS / 20);
	dispatcher_finish(&fixture.d);
}
END_TEST

START_TEST(work_continues_when_all_runners_lose_answers)
{
	static fixture_t fixture;

	fixture = (fixture_t){ 0 };
	add_runners(&fixture);
	ck_assert_int_eq(run_calls(&fixture, RUNNERS), CALLS);
	dispatcher_finish(&fixture.d);
}
END_TEST

/* The owner was partitioned and declined because of its outdated list. */
START_TEST(runner_that_an_owner_declined_is_tried_again)
{
	static fixture_t fixture;
	int n_grants = 0;

	fixture = (fixture_t){ 0 };
	fixture_init(&fixture, false);
	fixture_set_runner(&fixture, "r0", false);
	fixture_submit(&fixture, 1, 1, 1);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 1), ANSWER_GRANT);
	fixture_done(&fixture, 1, DONE_LEAVING);
	fixture_submit(&fixture, 2, 1, 1);
	ck_assert_int_ne(fixture_answer_kind(&fixture, 2), ANSWER_GRANT);
	for (uint64_t a = 3; a < 8; a++) {
		fixture_tick(&fixture, 300 * MS);
		fixture_submit(&fixture, a, 1, 1);
	}
	for (uint64_t a = 2; a < 8; a++)
		n_grants += fixture_answer_kind(&fixture, a) == ANSWER_GRANT;
	ck_assert_int_ge(n_grants, 1);
	dispatcher_finish(&fixture.d);
}
END_TEST

/*
 * The message that a call ended is lost: the grant ends some time after the
 * deadline and no longer occupies the slot.
 */
START_TEST(grant_without_a_reported_end_expires)
{
	static fixture_t fixture;
	want_t want;

	fixture = (fixture_t){ .config.expires_grants = true,
			       .config.plain_slots = 1 };
	fixture_init(&fixture, false);
	fixture_set_runner(&fixture, "r0", false);
	want = fixture_make_want(&fixture, 1, 1, 1);
	want.deadline = fixture.now + 2 * SECOND;
	dispatcher_want(&fixture.d, &want, fixture.now);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 1), ANSWER_GRANT);
	fixture_submit(&fixture, 2, 1, 1);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 2), ANSWER_NONE);
	for (int i = 0; i < 60; i++)
		fixture_tick(&fixture, 100 * MS);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 2), ANSWER_GRANT);
	dispatcher_finish(&fixture.d);
}
END_TEST

/*
 * In a small service, a runner that loses some answers is better than none: of
 * three runners, two stay in use although only one completes its calls.
 */
START_TEST(two_of_three_runners_stay_in_use)
{
	static fixture_t fixture;
	bool is_used[3] = { false };

	fixture = (fixture_t){ 0 };
	fixture_init(&fixture, false);
	for (int i = 0; i < 3; i++) {
		g_autofree char *name = g_strdup_printf("r%d", i);

		fixture_set_runner(&fixture, name, false);
	}
	/* Two of them lose all their answers. */
	for (uint64_t a = 1; a <= 20; a++) {
		fixture_submit(&fixture, a, 1, 1);
		fixture_done(&fixture, a,
			     fixture.answers[a].runner[1] == '2' ?
				     DONE_COMPLETED :
				     DONE_BROKEN);
	}
	for (uint64_t a = 100; a < 106; a++) {
		fixture_submit(&fixture, a, 1, 1);
		ck_assert_int_eq(fixture_answer_kind(&fixture, a),
				 ANSWER_GRANT);
		is_used[fixture.answers[a].runner[1] - '0'] = true;
	}
	ck_assert_int_eq(is_used[0] + is_used[1] + is_used[2], 2);
	dispatcher_finish(&fixture.d);
}
END_TEST

SUITE_MAIN("grey_runner", a_runner_that_loses_answers_is_suspended,
	   work_continues_when_all_runners_lose_answers,
	   runner_that_an_owner_declined_is_tried_again,
	   grant_without_a_reported_end_expires,
	   two_of_three_runners_stay_in_use)
