/*
 * Runners turn an owner's requests away and want nothing from it for a while,
 * or say that they leave: their dispatcher sends that owner's work elsewhere,
 * lets nobody else wait for it, and tells callers when to come back.
 */
#include "tests/lib_fixture.h"
#include "tests/lib_suite.h"

enum { OTHER_OWNER = 8, PAUSE_MS = 3000 };

static void begin(fixture_t *fixture, int runners)
{
	*fixture = (fixture_t){ 0 };
	fixture_init(fixture, false);
	for (int i = 0; i < runners; i++) {
		g_autofree char *name = g_strdup_printf("r%d", i);

		fixture_set_runner(fixture, name, false);
	}
}

/* The runner that has the attempt turns it away. */
static void turn_away(fixture_t *fixture, uint64_t attempt, uint32_t pause_ms)
{
	done_t done = { .result = DONE_FAILED, .pause_ms = pause_ms };

	dispatcher_done(&fixture->d, (want_id_t){ OWNER, attempt }, &done,
			fixture->now);
}

static void ask_as(fixture_t *fixture, uint64_t owner, uint64_t attempt)
{
	want_t want = fixture_make_want(fixture, attempt, 1, 1);

	want.id.owner = owner;
	dispatcher_want(&fixture->d, &want, fixture->now);
}

START_TEST(a_paused_runner_gets_nothing_of_its_owner)
{
	static fixture_t fixture;

	begin(&fixture, 2);
	fixture_submit(&fixture, 1, 1, 1);
	turn_away(&fixture, 1, PAUSE_MS);
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

START_TEST(other_owners_go_on_using_it)
{
	static fixture_t fixture;

	begin(&fixture, 1);
	fixture_submit(&fixture, 1, 1, 1);
	turn_away(&fixture, 1, PAUSE_MS);
	fixture_submit(&fixture, 2, 1, 1);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 2), ANSWER_NONE);
	/* It waits for the pause to end, and holds up nobody. */
	ask_as(&fixture, OTHER_OWNER, 3);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 3), ANSWER_GRANT);
	fixture_tick(&fixture, PAUSE_MS * MS);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 2), ANSWER_GRANT);
	dispatcher_finish(&fixture.d);
}
END_TEST

START_TEST(callers_learn_when_the_first_pause_ends)
{
	static fixture_t fixture;
	want_t want;

	begin(&fixture, 2);
	fixture_submit(&fixture, 1, 1, 1);
	fixture_submit(&fixture, 2, 1, 1);
	turn_away(&fixture, 1, 20000);
	turn_away(&fixture, 2, 15000);
	/* A shorter one that is asked for later ends no longer one. */
	want = fixture_make_want(&fixture, 3, 1, 1);
	dispatcher_want(&fixture.d, &want, fixture.now);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 3), ANSWER_REFUSE);
	ck_assert_int_eq(fixture.answers[3].reason, REFUSE_PAUSED);
	ck_assert_uint_ge(fixture.answers[3].retry_after_ms, 15000);
	ck_assert_uint_lt(fixture.answers[3].retry_after_ms, 20000);
	dispatcher_finish(&fixture.d);
}
END_TEST

START_TEST(what_waits_is_told_at_once_when_the_last_runner_pauses)
{
	static fixture_t fixture;

	begin(&fixture, 1);
	fixture.config.plain_slots = 1;
	fixture_fill_runners(&fixture, 100);
	fixture_submit(&fixture, 1, 1, 1);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 1), ANSWER_NONE);
	turn_away(&fixture, 100, 30000);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 1), ANSWER_REFUSE);
	ck_assert_int_eq(fixture.answers[1].reason, REFUSE_PAUSED);
	dispatcher_finish(&fixture.d);
}
END_TEST

START_TEST(a_runner_that_says_it_leaves_gets_no_grants)
{
	static fixture_t fixture;
	done_t done = { .result = DONE_COMPLETED, .says_leaving = true };
	dispatcher_runner_t back = { .name = "r0", .address = "a" };

	begin(&fixture, 1);
	fixture_submit(&fixture, 1, 1, 1);
	fixture_submit(&fixture, 2, 1, 1);
	/* A stream says so with its first event, long before its end. */
	dispatcher_runner_leaves(&fixture.d, (want_id_t){ OWNER, 1 },
				 fixture.now);
	fixture_submit(&fixture, 3, 1, 1);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 3), ANSWER_REFUSE);
	ck_assert_int_eq(fixture.answers[3].reason, REFUSE_NO_RUNNER);
	dispatcher_done(&fixture.d, (want_id_t){ OWNER, 2 }, &done,
			fixture.now);
	/* The list still says that it is ready. */
	fixture_set_runner(&fixture, "r0", false);
	fixture_submit(&fixture, 4, 1, 1);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 4), ANSWER_REFUSE);
	/* Its next incarnation is served. */
	back.born_ms = 1;
	dispatcher_set_runner(&fixture.d, &back, fixture.now);
	fixture_submit(&fixture, 5, 1, 1);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 5), ANSWER_GRANT);
	dispatcher_finish(&fixture.d);
}
END_TEST

START_TEST(the_next_incarnation_is_not_paused)
{
	static fixture_t fixture;
	dispatcher_runner_t back = { .name = "r0", .address = "a" };

	begin(&fixture, 1);
	fixture_submit(&fixture, 1, 1, 1);
	turn_away(&fixture, 1, 60000);
	back.born_ms = 1;
	dispatcher_set_runner(&fixture.d, &back, fixture.now);
	fixture_submit(&fixture, 2, 1, 1);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 2), ANSWER_GRANT);
	dispatcher_finish(&fixture.d);
}
END_TEST

SUITE_MAIN("owner_pause", a_paused_runner_gets_nothing_of_its_owner,
	   other_owners_go_on_using_it, callers_learn_when_the_first_pause_ends,
	   what_waits_is_told_at_once_when_the_last_runner_pauses,
	   a_runner_that_says_it_leaves_gets_no_grants,
	   the_next_incarnation_is_not_paused)
