/*
 * A VM that was only unreachable for a while keeps its running requests. No
 * dispatcher may start them again elsewhere or drop them, neither when the
 * link to their owner broke nor when a runner does not report.
 */
#include <string.h>

#include "tests/lib_bed.h"
#include "tests/lib_suite.h"

enum { TOKENS = 100, SILENCE_TICKS = 400 };

static void let_pass(bed_t *bed, int ticks)
{
	for (int i = 0; i < ticks; i++)
		bed_tick(bed, 10 * MS);
}

START_TEST(a_runner_that_does_not_report_keeps_its_work)
{
	bed_t bed = { .config = { .window_tokens = 5000,
				  .grants_if_idle = true,
				  .expires_grants = true } };

	bed_init(&bed, true);
	bed_set_runner(&bed, "a", false);
	bed_set_runner(&bed, "b", false);
	bed_ask(&bed, 1, 0, TOKENS);
	dispatcher_suspend_runner(&bed.d, str_from(bed.answers[1].runner),
				  bed.now);
	let_pass(&bed, SILENCE_TICKS);
	ck_assert_uint_eq(bed.answers[1].answers, 1);
	ck_assert(!bed.answers[1].is_cancelled);
	ck_assert_uint_eq(bed_stats(&bed).running, 1);
	bed_done(&bed, 1, DONE_COMPLETED);
	ck_assert_uint_eq(bed_stats(&bed).unknown, 0);
	dispatcher_finish(&bed.d);
}
END_TEST

/* The owner's link broke; its request continues and is reported again. */
START_TEST(an_owner_that_was_unreachable_reports_its_work_again)
{
	bed_t bed = { .config = { .window_tokens = 5000,
				  .grants_if_idle = true,
				  .expires_grants = true } };
	want_t want;
	char runner[DISPATCHER_NAME_SIZE];

	bed_init(&bed, true);
	bed_set_runner(&bed, "a", false);
	bed_set_runner(&bed, "b", false);
	want = bed_make_want(&bed, 1, 0, TOKENS);
	dispatcher_want(&bed.d, &want, bed.now);
	g_strlcpy(runner, bed.answers[1].runner, sizeof(runner));
	dispatcher_owner_lost(&bed.d, OWNER, bed.now);
	let_pass(&bed, SILENCE_TICKS / 4);
	ck_assert(!bed.answers[1].is_cancelled);
	dispatcher_adopt(&bed.d, &want, str_from(runner), bed.now);
	ck_assert_uint_eq(bed_stats(&bed).running, 1);
	ck_assert_uint_eq(bed.answers[1].answers, 1);
	ck_assert_str_eq(bed.answers[1].runner, runner);
	bed_done(&bed, 1, DONE_COMPLETED);
	ck_assert_uint_eq(bed_stats(&bed).running, 0);
	dispatcher_finish(&bed.d);
}
END_TEST

SUITE_MAIN("silent_vm", a_runner_that_does_not_report_keeps_its_work,
	   an_owner_that_was_unreachable_reports_its_work_again)
