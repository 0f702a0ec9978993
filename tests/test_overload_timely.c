/*
 * While runners are overloaded, requests that can still meet their target are
 * granted before those that have missed it. Late ones are granted once no
 * timely ones are queued, or refused at their deadline.
 */
#include "tests/lib_fixture.h"
#include "tests/lib_suite.h"

static want_t want_with_target(fixture_t *fixture, uint64_t attempt,
			       int64_t target, int64_t deadline)
{
	want_t want = fixture_make_want(fixture, attempt, 1, 1);

	want.target = fixture->now + target;
	want.deadline = fixture->now + deadline;
	return want;
}

START_TEST(work_in_time_goes_before_late_work)
{
	fixture_t fixture = { 0 };
	want_t early, fresh;

	fixture_init_busy(&fixture);
	early = want_with_target(&fixture, 2, 100 * MS, 5 * SECOND);
	dispatcher_want(&fixture.d, &early, fixture.now);
	fixture_tick(&fixture, 200 * MS);
	fresh = want_with_target(&fixture, 3, 500 * MS, 5 * SECOND);
	dispatcher_want(&fixture.d, &fresh, fixture.now);
	fixture_done(&fixture, 1, DONE_COMPLETED);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 3), ANSWER_GRANT);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 2), ANSWER_NONE);
	fixture_done(&fixture, 3, DONE_COMPLETED);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 2), ANSWER_GRANT);
	dispatcher_finish(&fixture.d);
}
END_TEST

START_TEST(late_work_is_refused_at_its_deadline)
{
	fixture_t fixture = { 0 };
	want_t want;

	fixture_init_busy(&fixture);
	want = want_with_target(&fixture, 2, 100 * MS, 500 * MS);
	dispatcher_want(&fixture.d, &want, fixture.now);
	fixture_tick(&fixture, 300 * MS);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 2), ANSWER_NONE);
	fixture_tick(&fixture, 300 * MS);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 2), ANSWER_REFUSE);
	dispatcher_finish(&fixture.d);
}
END_TEST

START_TEST(want_that_arrives_after_its_target_is_late)
{
	fixture_t fixture = { 0 };
	want_t late, fresh;

	fixture_init_busy(&fixture);
	late = want_with_target(&fixture, 2, -100 * MS, 5 * SECOND);
	dispatcher_want(&fixture.d, &late, fixture.now);
	fresh = want_with_target(&fixture, 3, 900 * MS, 6 * SECOND);
	dispatcher_want(&fixture.d, &fresh, fixture.now);
	fixture_done(&fixture, 1, DONE_COMPLETED);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 3), ANSWER_GRANT);
	dispatcher_finish(&fixture.d);
}
END_TEST

SUITE_MAIN("overload_timely", work_in_time_goes_before_late_work,
	   late_work_is_refused_at_its_deadline,
	   want_that_arrives_after_its_target_is_late)
