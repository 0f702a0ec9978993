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

START_TEST(what_exceeds_the_memory_alone_is_never_sent)
{
	static fixture_t f;

	begin(&f, true);
	ck_assert(!submit(&f, 1, MEMORY, OUTPUT));
	fixture_tick(&f, 20 * SECOND);
	ck_assert_int_eq(fixture_answer_kind(&f, 1), ANSWER_REFUSE);
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
	   what_exceeds_the_memory_alone_is_never_sent,
	   a_smaller_memory_holds_at_once,
	   without_the_bound_the_window_may_be_passed_by_one)
