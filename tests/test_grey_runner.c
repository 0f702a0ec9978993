/*
 * One of several runners takes work, says that it is well, and loses most of
 * its answers: it must get little work, and never may all be suspended.
 */
#include "tests/lib_bed.h"
#include "tests/lib_suite.h"

enum { RUNNERS = 4, CALLS = 400 };

static void add_runners(bed_t *bed)
{
	bed_init(bed, false);
	for (int i = 0; i < RUNNERS; i++) {
		g_autofree char *name = g_strdup_printf("r%d", i);

		bed_set_runner(bed, name, false);
	}
}

/* Runs calls one after the other; those on runners that LOSE say so fail. */
static int run_calls(bed_t *bed, int losing)
{
	int lost = 0;

	for (uint64_t a = 1; a <= CALLS; a++) {
		int runner;

		bed_ask(bed, a, 1, 1);
		ck_assert_int_eq(bed_kind(bed, a), ANSWER_GRANT);
		runner = bed->answers[a].runner[1] - '0';
		lost += runner < losing;
		bed_tick(bed, 20 * MS);
		bed_done(bed, a,
			 runner < losing ? DONE_BROKEN : DONE_COMPLETED);
	}
	return lost;
}

START_TEST(a_runner_that_loses_answers_is_suspended)
{
	static bed_t bed;
	int lost;

	bed = (bed_t){ 0 };
	add_runners(&bed);
	lost = run_calls(&bed, 1);
	/* Its even share would be a quarter. */
	ck_assert_int_le(lost, CALLS / 20);
	dispatcher_finish(&bed.d);
}
END_TEST

START_TEST(when_all_lose_answers_work_goes_on)
{
	static bed_t bed;

	bed = (bed_t){ 0 };
	add_runners(&bed);
	ck_assert_int_eq(run_calls(&bed, RUNNERS), CALLS);
	dispatcher_finish(&bed.d);
}
END_TEST

/* Who declined it was cut off, and had an old list. */
START_TEST(a_runner_that_an_owner_declines_is_tried_again)
{
	static bed_t bed;
	int again = 0;

	bed = (bed_t){ 0 };
	bed_init(&bed, false);
	bed_set_runner(&bed, "r0", false);
	bed_ask(&bed, 1, 1, 1);
	ck_assert_int_eq(bed_kind(&bed, 1), ANSWER_GRANT);
	bed_done(&bed, 1, DONE_LEAVING);
	bed_ask(&bed, 2, 1, 1);
	ck_assert_int_ne(bed_kind(&bed, 2), ANSWER_GRANT);
	for (uint64_t a = 3; a < 8; a++) {
		bed_tick(&bed, 300 * MS);
		bed_ask(&bed, a, 1, 1);
	}
	for (uint64_t a = 2; a < 8; a++)
		again += bed_kind(&bed, a) == ANSWER_GRANT;
	ck_assert_int_ge(again, 1);
	dispatcher_finish(&bed.d);
}
END_TEST

/* The word that a call ended is lost: its place is not taken for ever. */
START_TEST(a_grant_ends_with_its_deadline)
{
	static bed_t bed;
	want_t want;

	bed = (bed_t){ .config.expires_grants = true, .config.plain_slots = 1 };
	bed_init(&bed, false);
	bed_set_runner(&bed, "r0", false);
	want = bed_make_want(&bed, 1, 1, 1);
	want.deadline = bed.now + 2 * SECOND;
	dispatcher_want(&bed.d, &want, bed.now);
	ck_assert_int_eq(bed_kind(&bed, 1), ANSWER_GRANT);
	bed_ask(&bed, 2, 1, 1);
	ck_assert_int_eq(bed_kind(&bed, 2), ANSWER_NONE);
	for (int i = 0; i < 60; i++)
		bed_tick(&bed, 100 * MS);
	ck_assert_int_eq(bed_kind(&bed, 2), ANSWER_GRANT);
	dispatcher_finish(&bed.d);
}
END_TEST

/* A small service: what loses some answers is better than no runner. */
START_TEST(most_of_three_runners_stay_in_use)
{
	static bed_t bed;
	bool is_used[3] = { false };

	bed = (bed_t){ 0 };
	bed_init(&bed, false);
	for (int i = 0; i < 3; i++) {
		g_autofree char *name = g_strdup_printf("r%d", i);

		bed_set_runner(&bed, name, false);
	}
	/* Two of them lose whatever they get. */
	for (uint64_t a = 1; a <= 20; a++) {
		bed_ask(&bed, a, 1, 1);
		bed_done(&bed, a,
			 bed.answers[a].runner[1] == '2' ? DONE_COMPLETED :
							   DONE_BROKEN);
	}
	for (uint64_t a = 100; a < 106; a++) {
		bed_ask(&bed, a, 1, 1);
		ck_assert_int_eq(bed_kind(&bed, a), ANSWER_GRANT);
		is_used[bed.answers[a].runner[1] - '0'] = true;
	}
	ck_assert_int_eq(is_used[0] + is_used[1] + is_used[2], 2);
	dispatcher_finish(&bed.d);
}
END_TEST

SUITE_MAIN("grey_runner", a_runner_that_loses_answers_is_suspended,
	   when_all_lose_answers_work_goes_on,
	   a_runner_that_an_owner_declines_is_tried_again,
	   a_grant_ends_with_its_deadline, most_of_three_runners_stay_in_use)
