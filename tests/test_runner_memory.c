/*
 * Long prompts fill the memory of engines before their slots are taken. An
 * engine that holds more than its memory ends, or reads a request again from
 * its beginning; outputs are often longer than estimated.
 */
#include "core/runner_model.h"
#include "tests/lib_fixture.h"
#include "tests/lib_suite.h"

enum {
	MEMORY = 10000, /* tokens */
	SLOTS = 16,
	PROMPT = 1500,
	OUTPUT = 400, /* as estimated */
	LONGEST = OUTPUT * 5 / 4, /* that is still planned for */
	WANTS = 40,
};

static void begin(fixture_t *f, bool bounds_memory)
{
	*f = (fixture_t){ .config = {
				  .window_tokens = MEMORY,
				  .engine_slots = SLOTS,
				  .bounds_memory = bounds_memory,
			  } };
	fixture_init(f, true);
	fixture_set_runner(f, "r", false);
}

/* Submits a want of tier 1; returns whether it was granted. */
static bool submit(fixture_t *f, uint64_t attempt, uint32_t prompt,
		   uint32_t output)
{
	want_t want = fixture_make_want(f, attempt, 1, prompt);

	want.output_tokens = output;
	dispatcher_want(&f->d, &want, f->now);
	if (fixture_answer_kind(f, attempt) != ANSWER_GRANT)
		return false;
	dispatcher_first_token(&f->d, want.id, f->now);
	return true;
}

static uint32_t fill(fixture_t *f)
{
	uint32_t n = 0;

	for (uint64_t a = 1; a <= WANTS; a++)
		n += submit(f, a, PROMPT, OUTPUT);
	return n;
}

START_TEST(what_a_runner_holds_stays_below_its_memory)
{
	static fixture_t f;
	uint32_t n;

	begin(&f, true);
	n = fill(&f);
	/* Even if all outputs are as long as is planned for. */
	ck_assert_uint_eq(n, MEMORY / (PROMPT + LONGEST));
	ck_assert_double_gt(
		dispatcher_memory_part(&f.d, (want_id_t){ OWNER, 1 }), 0.9);
	dispatcher_finish(&f.d);
}
END_TEST

START_TEST(what_does_not_fit_waits_until_it_does)
{
	static fixture_t f;
	uint32_t n;

	begin(&f, true);
	n = fill(&f);
	ck_assert_int_eq(fixture_answer_kind(&f, n + 1), ANSWER_NONE);
	fixture_done(&f, 1, DONE_COMPLETED);
	ck_assert_int_eq(fixture_answer_kind(&f, n + 1), ANSWER_GRANT);
	ck_assert_int_eq(fixture_answer_kind(&f, n + 2), ANSWER_NONE);
	dispatcher_finish(&f.d);
}
END_TEST

START_TEST(what_exceeds_the_memory_is_refused_at_once)
{
	static fixture_t f;

	begin(&f, true);
	ck_assert(!submit(&f, 1, MEMORY, OUTPUT));
	ck_assert_int_eq(fixture_answer_kind(&f, 1), ANSWER_REFUSE);
	ck_assert_int_eq(f.answers[1].reason, REFUSE_TOO_LARGE);
	dispatcher_finish(&f.d);
}
END_TEST

START_TEST(an_idle_runner_takes_what_just_fits)
{
	static fixture_t f;

	begin(&f, true);
	ck_assert(submit(&f, 1, MEMORY - OUTPUT, OUTPUT));
	dispatcher_finish(&f.d);
}
END_TEST

START_TEST(a_long_estimate_alone_is_no_reason_to_refuse)
{
	static fixture_t f;

	begin(&f, true);
	ck_assert(submit(&f, 1, MEMORY / 2, MEMORY));
	dispatcher_finish(&f.d);
}
END_TEST

START_TEST(small_work_passes_large_work_that_does_not_fit)
{
	static fixture_t f;

	begin(&f, true);
	ck_assert(submit(&f, 1, MEMORY / 2, OUTPUT));
	ck_assert(!submit(&f, 2, MEMORY / 2, OUTPUT));
	for (uint64_t a = 3; a < 6; a++)
		ck_assert(submit(&f, a, PROMPT / 10, OUTPUT / 10));
	dispatcher_finish(&f.d);
}
END_TEST

/* Small work keeps coming and ending, but doesn't take the place for good. */
START_TEST(a_runner_is_kept_for_large_work_in_the_end)
{
	static fixture_t f;
	uint64_t newest = 10, oldest = 10;

	begin(&f, true);
	while (submit(&f, newest, PROMPT, OUTPUT))
		newest++;
	submit(&f, 1, MEMORY / 2, OUTPUT);
	while (fixture_answer_kind(&f, 1) == ANSWER_NONE && newest < 100) {
		fixture_tick(&f, 20 * MS);
		submit(&f, ++newest, PROMPT, OUTPUT);
		if (fixture_answer_kind(&f, oldest) == ANSWER_GRANT)
			fixture_done(&f, oldest++, DONE_COMPLETED);
	}
	ck_assert_int_eq(fixture_answer_kind(&f, 1), ANSWER_GRANT);
	dispatcher_finish(&f.d);
}
END_TEST

/* The memory of a service changes while its runners are at work. */
START_TEST(a_smaller_memory_holds_at_once)
{
	static fixture_t f;

	begin(&f, true);
	ck_assert(submit(&f, 1, PROMPT, OUTPUT));
	dispatcher_set_window(&f.d, 2 * (PROMPT + LONGEST), f.now);
	ck_assert(submit(&f, 2, PROMPT, OUTPUT));
	ck_assert(!submit(&f, 3, PROMPT, OUTPUT));
	dispatcher_finish(&f.d);
}
END_TEST

START_TEST(without_the_bound_the_window_may_be_passed_by_one)
{
	static fixture_t f;

	begin(&f, false);
	ck_assert_uint_gt(fill(&f), MEMORY / (PROMPT + OUTPUT));
	dispatcher_finish(&f.d);
}
END_TEST

SUITE_MAIN("runner_memory", what_a_runner_holds_stays_below_its_memory,
	   what_does_not_fit_waits_until_it_does,
	   what_exceeds_the_memory_is_refused_at_once,
	   an_idle_runner_takes_what_just_fits,
	   a_long_estimate_alone_is_no_reason_to_refuse,
	   small_work_passes_large_work_that_does_not_fit,
	   a_runner_is_kept_for_large_work_in_the_end,
	   a_smaller_memory_holds_at_once,
	   without_the_bound_the_window_may_be_passed_by_one)
