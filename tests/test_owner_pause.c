/*
 * A runner rejects an owner's requests and asks it for a pause, or reports that
 * it is leaving. The dispatcher must grant that owner other runners, must not
 * delay the wants of other owners, and must tell callers when to retry.
 */
#include "tests/lib_fixture.h"
#include "tests/lib_suite.h"

enum { OTHER_OWNER = 8, PAUSE_MS = 3000 };

static void init(fixture_t *fixture, int runners)
{
	*fixture = (fixture_t){ 0 };
	fixture_init(fixture, false);
	for (int i = 0; i < runners; i++) {
		g_autofree char *name = g_strdup_printf("r%d", i);

		fixture_set_runner(fixture, name, false);
	}
}

/* The runner of the attempt rejects it and asks the owner for a pause. */
static void reject_attempt(fixture_t *fixture, uint64_t attempt,
			   uint32_t pause_ms)
{
	done_t done = { .result = DONE_FAILED, .pause_ms = pause_ms };

	dispatcher_done(&fixture->d, (want_id_t){ OWNER, attempt }, &done,
			fixture->now);
}

static void submit_as(fixture_t *fixture, uint64_t owner, uint64_t attempt)
{
	want_t want = fixture_make_want(fixture, attempt, 1, 1);

	want.id.owner = owner;
	dispatcher_want(&fixture->d, &want, fixture->now);
}

START_TEST(paused_runner_gets_no_work_of_that_owner)
{
	static fixture_t fixture;

	init(&fixture, 2);
	fixture_submit(&fixture, 1, 1, 1);
	reject_attempt(&fixture, 1, PAUSE_MS);
	for (uint64_t a = 2; a < 40; a++) {
		fixture_submit(&fixture, a, 1, 1);
		ck_assert_int_eq(fixture_answer_kind(&fixture, a),
				 ANSWER_GRANT);
		ck_assert_str_ne(fixture.answers[a].runner,
				 fixture.answers[1].runner);
		fixture_done(&fixture, a, DONE_COMPLETED);
	}
	fixture_tick(&fixture, PAUSE_MS * MS);
	for (uint64_t a = 40; a < 44; a++)
		fixture_submit(&fixture, a, 1, 1);
	ck_assert(
		!strcmp(fixture.answers[40].runner,
			fixture.answers[1].runner) ||
		!strcmp(fixture.answers[41].runner, fixture.answers[1].runner));
	dispatcher_finish(&fixture.d);
}
END_TEST

START_TEST(other_owners_use_a_paused_runner)
{
	static fixture_t fixture;

	init(&fixture, 1);
	fixture_submit(&fixture, 1, 1, 1);
	reject_attempt(&fixture, 1, PAUSE_MS);
	fixture_submit(&fixture, 2, 1, 1);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 2), ANSWER_NONE);
	/* The want waits for the end of the pause and delays no other owner. */
	submit_as(&fixture, OTHER_OWNER, 3);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 3), ANSWER_GRANT);
	fixture_tick(&fixture, PAUSE_MS * MS);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 2), ANSWER_GRANT);
	dispatcher_finish(&fixture.d);
}
END_TEST

START_TEST(retry_after_is_the_end_of_the_first_pause)
{
	static fixture_t fixture;
	want_t want;

	init(&fixture, 2);
	fixture_submit(&fixture, 1, 1, 1);
	fixture_submit(&fixture, 2, 1, 1);
	reject_attempt(&fixture, 1, 20000);
	reject_attempt(&fixture, 2, 15000);
	/* The later, shorter pause does not end the longer one. */
	want = fixture_make_want(&fixture, 3, 1, 1);
	dispatcher_want(&fixture.d, &want, fixture.now);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 3), ANSWER_REFUSE);
	ck_assert_int_eq(fixture.answers[3].reason, REFUSE_PAUSED);
	ck_assert_uint_ge(fixture.answers[3].retry_after_ms, 15000);
	ck_assert_uint_lt(fixture.answers[3].retry_after_ms, 20000);
	dispatcher_finish(&fixture.d);
}
END_TEST

START_TEST(queued_wants_are_refused_when_the_last_runner_pauses)
{
	static fixture_t fixture;

	init(&fixture, 1);
	fixture.config.plain_slots = 1;
	fixture_fill_runners(&fixture, 100);
	fixture_submit(&fixture, 1, 1, 1);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 1), ANSWER_NONE);
	reject_attempt(&fixture, 100, 30000);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 1), ANSWER_REFUSE);
	ck_assert_int_eq(fixture.answers[1].reason, REFUSE_PAUSED);
	dispatcher_finish(&fixture.d);
}
END_TEST

START_TEST(runner_that_reports_leaving_gets_no_grants)
{
	static fixture_t fixture;
	done_t done = { .result = DONE_COMPLETED, .says_leaving = true };
	dispatcher_runner_t restarted = { .name = "r0", .address = "a" };

	init(&fixture, 1);
	fixture_submit(&fixture, 1, 1, 1);
	fixture_submit(&fixture, 2, 1, 1);
	/* A stream reports this with its first event, long before its end. */
	dispatcher_runner_leaves(&fixture.d, (want_id_t){ OWNER, 1 },
				 fixture.now);
	fixture_submit(&fixture, 3, 1, 1);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 3), ANSWER_REFUSE);
	ck_assert_int_eq(fixture.answers[3].reason, REFUSE_NO_RUNNER);
	dispatcher_done(&fixture.d, (want_id_t){ OWNER, 2 }, &done,
			fixture.now);
	/* The runner list doesn't show yet that it is leaving. */
	fixture_set_runner(&fixture, "r0", false);
	fixture_submit(&fixture, 4, 1, 1);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 4), ANSWER_REFUSE);
	/* Its next incarnation gets grants. */
	restarted.born_ms = 1;
	dispatcher_set_runner(&fixture.d, &restarted, fixture.now);
	fixture_submit(&fixture, 5, 1, 1);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 5), ANSWER_GRANT);
	dispatcher_finish(&fixture.d);
}
END_TEST

START_TEST(next_incarnation_is_not_paused)
{
	static fixture_t fixture;
	dispatcher_runner_t restarted = { .name = "r0", .address = "a" };

	init(&fixture, 1);
	fixture_submit(&fixture, 1, 1, 1);
	reject_attempt(&fixture, 1, 60000);
	restarted.born_ms = 1;
	dispatcher_set_runner(&fixture.d, &restarted, fixture.now);
	fixture_submit(&fixture, 2, 1, 1);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 2), ANSWER_GRANT);
	dispatcher_finish(&fixture.d);
}
END_TEST

SUITE_MAIN("owner_pause", paused_runner_gets_no_work_of_that_owner,
	   other_owners_use_a_paused_runner,
	   retry_after_is_the_end_of_the_first_pause,
	   queued_wants_are_refused_when_the_last_runner_pauses,
	   runner_that_reports_leaving_gets_no_grants,
	   next_incarnation_is_not_paused)
