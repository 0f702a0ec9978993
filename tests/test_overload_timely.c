/*
 * More work than the runners can do for a while: what can still be of full
 * use goes before what has missed its target, and what is late is served
 * when that ebbs away, or refused at its deadline.
 */
#include "tests/lib_bed.h"
#include "tests/lib_suite.h"

static want_t timed(bed_t *bed, uint64_t attempt, int64_t target,
		    int64_t deadline)
{
	want_t want = bed_make_want(bed, attempt, 1, 1);

	want.target = bed->now + target;
	want.deadline = bed->now + deadline;
	return want;
}

START_TEST(work_in_time_goes_before_late_work)
{
	bed_t bed = { 0 };
	want_t early, fresh;

	bed_init_taken(&bed);
	early = timed(&bed, 2, 100 * MS, 5 * SECOND);
	dispatcher_want(&bed.d, &early, bed.now);
	bed_tick(&bed, 200 * MS);
	fresh = timed(&bed, 3, 500 * MS, 5 * SECOND);
	dispatcher_want(&bed.d, &fresh, bed.now);
	bed_done(&bed, 1, DONE_COMPLETED);
	ck_assert_int_eq(bed_kind(&bed, 3), ANSWER_GRANT);
	ck_assert_int_eq(bed_kind(&bed, 2), ANSWER_NONE);
	bed_done(&bed, 3, DONE_COMPLETED);
	ck_assert_int_eq(bed_kind(&bed, 2), ANSWER_GRANT);
	dispatcher_finish(&bed.d);
}
END_TEST

START_TEST(late_work_is_refused_at_its_deadline)
{
	bed_t bed = { 0 };
	want_t want;

	bed_init_taken(&bed);
	want = timed(&bed, 2, 100 * MS, 500 * MS);
	dispatcher_want(&bed.d, &want, bed.now);
	bed_tick(&bed, 300 * MS);
	ck_assert_int_eq(bed_kind(&bed, 2), ANSWER_NONE);
	bed_tick(&bed, 300 * MS);
	ck_assert_int_eq(bed_kind(&bed, 2), ANSWER_REFUSE);
	dispatcher_finish(&bed.d);
}
END_TEST

START_TEST(a_target_that_is_over_at_arrival)
{
	bed_t bed = { 0 };
	want_t late, fresh;

	bed_init_taken(&bed);
	late = timed(&bed, 2, -100 * MS, 5 * SECOND);
	dispatcher_want(&bed.d, &late, bed.now);
	fresh = timed(&bed, 3, 900 * MS, 6 * SECOND);
	dispatcher_want(&bed.d, &fresh, bed.now);
	bed_done(&bed, 1, DONE_COMPLETED);
	ck_assert_int_eq(bed_kind(&bed, 3), ANSWER_GRANT);
	dispatcher_finish(&bed.d);
}
END_TEST

SUITE_MAIN("overload_timely", work_in_time_goes_before_late_work,
	   late_work_is_refused_at_its_deadline,
	   a_target_that_is_over_at_arrival)
