/*
 * A VM that was only unreachable for a while keeps its running requests. No
 * dispatcher may start them again elsewhere or drop them, neither when the
 * link to their owner broke nor when a runner does not report.
 */
#include <string.h>

#include "tests/lib_fixture.h"
#include "tests/lib_suite.h"

enum { TOKENS = 100, WINDOW = 5000, LARGE = 1000, SILENCE_TICKS = 400 };

static void tick_many(fixture_t *fixture, int ticks)
{
	for (int i = 0; i < ticks; i++)
		fixture_tick(fixture, 10 * MS);
}

START_TEST(a_runner_that_does_not_report_keeps_its_work)
{
	fixture_t fixture = { .config = { .window_tokens = WINDOW,
					  .grants_if_idle = true,
					  .expires_grants = true } };

	fixture_init(&fixture, true);
	fixture_set_runner(&fixture, "a", false);
	fixture_set_runner(&fixture, "b", false);
	fixture_submit(&fixture, 1, 0, TOKENS);
	dispatcher_suspend_runner(
		&fixture.d, str_from(fixture.answers[1].runner), fixture.now);
	tick_many(&fixture, SILENCE_TICKS);
	ck_assert_uint_eq(fixture.answers[1].answers, 1);
	ck_assert(!fixture.answers[1].is_cancelled);
	ck_assert_uint_eq(fixture_stats(&fixture).running, 1);
	fixture_done(&fixture, 1, DONE_COMPLETED);
	ck_assert_uint_eq(fixture_stats(&fixture).unknown, 0);
	dispatcher_finish(&fixture.d);
}
END_TEST

/* The owner's link broke; its request continues and is reported again. */
START_TEST(an_owner_that_was_unreachable_reports_its_work_again)
{
	fixture_t fixture = { .config = { .window_tokens = WINDOW,
					  .grants_if_idle = true,
					  .expires_grants = true } };
	want_t want;
	char runner[DISPATCHER_NAME_SIZE];

	fixture_init(&fixture, true);
	fixture_set_runner(&fixture, "a", false);
	fixture_set_runner(&fixture, "b", false);
	want = fixture_make_want(&fixture, 1, 0, TOKENS);
	dispatcher_want(&fixture.d, &want, fixture.now);
	g_strlcpy(runner, fixture.answers[1].runner, sizeof(runner));
	dispatcher_owner_lost(&fixture.d, OWNER, fixture.now);
	tick_many(&fixture, SILENCE_TICKS / 4);
	ck_assert(!fixture.answers[1].is_cancelled);
	dispatcher_adopt(&fixture.d, &want, str_from(runner), fixture.now);
	ck_assert_uint_eq(fixture_stats(&fixture).running, 1);
	ck_assert_uint_eq(fixture.answers[1].answers, 1);
	ck_assert_str_eq(fixture.answers[1].runner, runner);
	fixture_done(&fixture, 1, DONE_COMPLETED);
	ck_assert_uint_eq(fixture_stats(&fixture).running, 0);
	dispatcher_finish(&fixture.d);
}
END_TEST

/*
 * Guards against places that stay taken, and against runners that are taken to
 * be slow, when the dispatcher itself was paused and missed what ended.
 */
START_TEST(a_dispatcher_that_was_paused_keeps_only_confirmed_grants)
{
	fixture_t fixture = { .config = { .window_tokens = WINDOW,
					  .grants_if_idle = true,
					  .expires_grants = true } };
	want_t want;

	fixture_init(&fixture, true);
	fixture_set_runner(&fixture, "a", false);
	fixture_calibrate(&fixture, 1, TOKENS, MS, TOKENS, 100 * MS);
	want = fixture_make_want(&fixture, 2, 0, TOKENS);
	dispatcher_want(&fixture.d, &want, fixture.now);
	fixture_submit(&fixture, 3, 0, TOKENS);
	fixture.now += 4 * SECOND;
	dispatcher_doubt_grants(&fixture.d, OWNER, fixture.now);
	dispatcher_adopt(&fixture.d, &want, STR_LIT("a"), fixture.now);
	tick_many(&fixture, 10);
	ck_assert_uint_eq(fixture_stats(&fixture).running, 2);
	tick_many(&fixture, 100);
	ck_assert_uint_eq(fixture_stats(&fixture).running, 1);
	ck_assert_uint_eq(fixture_stats(&fixture).expired, 1);
	fixture_done(&fixture, 2, DONE_COMPLETED);
	ck_assert_uint_eq(fixture_stats(&fixture).unknown, 0);
	/* The runner's whole window is in use again. */
	for (uint32_t i = 0; i < WINDOW / LARGE; i++)
		fixture_submit(&fixture, 100 + i, 0, LARGE);
	ck_assert_uint_eq(fixture_stats(&fixture).running, WINDOW / LARGE);
	dispatcher_finish(&fixture.d);
}
END_TEST

SUITE_MAIN("silent_vm", a_runner_that_does_not_report_keeps_its_work,
	   an_owner_that_was_unreachable_reports_its_work_again,
	   a_dispatcher_that_was_paused_keeps_only_confirmed_grants)
