/*
 * A load under which every runner was once slow: predictions learned then
 * must not refuse work for good, since only new work can unlearn them.
 */
#include "tests/lib_bed.h"
#include "tests/lib_suite.h"

/* One call that takes far longer than later calls' deadlines. */
static void hiccup(bed_t *bed, uint64_t attempt)
{
	bed_ask(bed, attempt, 1, 1);
	ck_assert_int_eq(bed_kind(bed, attempt), ANSWER_GRANT);
	bed_tick(bed, 2 * SECOND);
	bed_done(bed, attempt, DONE_COMPLETED);
}

static void ask_within(bed_t *bed, uint64_t attempt, int64_t allowed)
{
	want_t want = bed_make_want(bed, attempt, 1, 1);

	want.deadline = bed->now + allowed;
	dispatcher_want(&bed->d, &want, bed->now);
}

START_TEST(plain_calls_are_granted_while_there_is_room)
{
	bed_t bed = { .config.grants_if_idle = true };

	bed_init(&bed, false);
	bed_set_runner(&bed, "r", false);
	hiccup(&bed, 1);
	for (uint64_t a = 2; a <= 20; a++) {
		ask_within(&bed, a, 600 * MS);
		ck_assert_int_eq(bed_kind(&bed, a), ANSWER_GRANT);
		bed_tick(&bed, 15 * MS);
		bed_done(&bed, a, DONE_COMPLETED);
	}
	dispatcher_finish(&bed.d);
}
END_TEST

START_TEST(an_idle_engine_gets_work_that_looks_late)
{
	bed_t bed = { .config.grants_if_idle = true };

	bed_init(&bed, true);
	bed_set_runner(&bed, "r", false);
	bed_teach(&bed, 1, 100, 2 * SECOND, 10, 2 * SECOND);
	ask_within(&bed, 2, 600 * MS);
	ck_assert_int_eq(bed_kind(&bed, 2), ANSWER_GRANT);
	dispatcher_finish(&bed.d);
}
END_TEST

START_TEST(what_a_runner_states_goes_before_its_service)
{
	dispatcher_runner_t stated = { .name = "r", .slots = 2 };
	bed_t bed = { .config.engine_slots = 5 };

	bed_init(&bed, true);
	dispatcher_set_runner(&bed.d, &stated, bed.now);
	for (uint64_t a = 1; a <= 3; a++) {
		bed_ask(&bed, a, 1, 1);
		dispatcher_first_token(&bed.d, (want_id_t){ OWNER, a },
				       bed.now);
	}
	ck_assert_int_eq(bed_kind(&bed, 2), ANSWER_GRANT);
	ck_assert_int_eq(bed_kind(&bed, 3), ANSWER_NONE);
	dispatcher_finish(&bed.d);
}
END_TEST

SUITE_MAIN("stale_prediction", plain_calls_are_granted_while_there_is_room,
	   an_idle_engine_gets_work_that_looks_late,
	   what_a_runner_states_goes_before_its_service)
