/* What an operator is told of a want that is not sent. */
#include <string.h>

#include "core/dispatcher_explain.h"
#include "tests/lib_fixture.h"
#include "tests/lib_suite.h"

static dispatcher_explanation_t explain(fixture_t *fixture, uint32_t tokens)
{
	want_t want = fixture_make_want(fixture, 4000, 1, tokens);
	dispatcher_explanation_t out;

	dispatcher_explain(&fixture->d, &want, fixture->now, &out);
	return out;
}

static explain_verdict_t verdict_of(const dispatcher_explanation_t *e,
				    const char *name)
{
	for (uint32_t i = 0; i < e->n; i++)
		if (!strcmp(e->runners[i].name, name))
			return e->runners[i].verdict;
	ck_abort_msg("no runner %s", name);
}

START_TEST(the_runner_named_is_the_one_that_a_want_gets)
{
	fixture_t fixture = { 0 };

	/* As a deployment's template has them. */
	fixture.config.uses_stated_load = true;
	fixture.config.weighs_prompt_cache = true;
	fixture_init(&fixture, true);
	for (uint64_t i = 0; i < 5; i++) {
		char name[] = { (char)('a' + i), '\0' };

		fixture_set_runner(&fixture, name, false);
		fixture_calibrate(&fixture, 10 + i, 100,
				  (int64_t)(5 - i) * 10 * MS, 1, MS);
	}
	for (uint64_t a = 100; a < 120; a++) {
		dispatcher_explanation_t e = explain(&fixture, 50);

		fixture_submit(&fixture, a, 1, 50);
		if (fixture_answer_kind(&fixture, a) != ANSWER_GRANT) {
			ck_assert_int_ne(e.outcome, EXPLAIN_GRANT);
			continue;
		}
		ck_assert_int_eq(e.outcome, EXPLAIN_GRANT);
		ck_assert_int_eq(e.runners[0].verdict, EXPLAIN_CHOSEN);
		ck_assert_str_eq(e.runners[0].name, fixture.answers[a].runner);
	}
	dispatcher_finish(&fixture.d);
}
END_TEST

/* Plays wants of two tiers on three runners, with QUESTIONS between them. */
static void play(fixture_t *fixture, int questions)
{
	fixture_init(fixture, true);
	for (uint64_t i = 0; i < 3; i++) {
		char name[] = { (char)('a' + i), '\0' };

		fixture_set_runner(fixture, name, false);
		fixture_calibrate(fixture, 10 + i, 100, 10 * MS, 1, MS);
	}
	for (uint64_t a = 100; a < 200; a++) {
		for (int i = 0; i < questions; i++)
			explain(fixture, 30);
		fixture_submit(fixture, a, a % 2, 30);
		if (a % 3 == 0)
			fixture_done(fixture, a - 5, DONE_COMPLETED);
		fixture_tick(fixture, MS);
	}
}

START_TEST(nothing_changes_by_asking)
{
	static fixture_t asked, not_asked;
	dispatcher_stats_t a, b;

	play(&asked, 100);
	play(&not_asked, 0);
	a = fixture_stats(&asked);
	b = fixture_stats(&not_asked);
	ck_assert_mem_eq(&a, &b, sizeof(a));
	ck_assert_mem_eq(asked.answers, not_asked.answers,
			 sizeof(asked.answers));
	dispatcher_finish(&asked.d);
	dispatcher_finish(&not_asked.d);
}
END_TEST

START_TEST(a_runner_that_is_too_slow_is_a_refusal)
{
	fixture_t fixture = { 0 };
	dispatcher_explanation_t e;
	want_t want;

	fixture_init(&fixture, true);
	fixture_set_runner(&fixture, "r", false);
	fixture_calibrate(&fixture, 10, 100, SECOND, 1, MS);
	want = fixture_make_want(&fixture, 4000, 1, 100);
	want.deadline = fixture.now + 100 * MS;
	dispatcher_explain(&fixture.d, &want, fixture.now, &e);
	dispatcher_want(&fixture.d, &want, fixture.now);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 4000), ANSWER_REFUSE);
	ck_assert_int_eq(e.outcome, EXPLAIN_REFUSE);
	ck_assert_int_eq(e.reason, fixture.answers[4000].reason);
	dispatcher_finish(&fixture.d);
}
END_TEST

START_TEST(each_runner_has_its_reason)
{
	fixture_t fixture = { 0 };
	dispatcher_explanation_t e;

	fixture_init(&fixture, true);
	fixture_set_runner(&fixture, "sound", false);
	fixture_set_runner(&fixture, "leaves", true);
	fixture_set_runner(&fixture, "failed", false);
	dispatcher_suspend_runner(&fixture.d, STR_LIT("failed"), fixture.now);
	e = explain(&fixture, 10);
	ck_assert_int_eq(e.outcome, EXPLAIN_GRANT);
	ck_assert_int_eq(verdict_of(&e, "sound"), EXPLAIN_CHOSEN);
	ck_assert_int_eq(verdict_of(&e, "leaves"), EXPLAIN_LEAVING);
	ck_assert_int_eq(verdict_of(&e, "failed"), EXPLAIN_SUSPENDED);
	ck_assert_uint_eq(e.n_runners, 3);
	dispatcher_finish(&fixture.d);
}
END_TEST

START_TEST(a_full_runner_makes_it_wait)
{
	fixture_t fixture = { 0 };
	dispatcher_explanation_t e;

	fixture_init_busy(&fixture);
	e = explain(&fixture, 10);
	ck_assert_int_eq(e.outcome, EXPLAIN_QUEUE);
	ck_assert_int_eq(verdict_of(&e, "r"), EXPLAIN_FULL);
	ck_assert_uint_eq(e.runners[0].running, 1);
	dispatcher_finish(&fixture.d);
}
END_TEST

START_TEST(a_refusal_has_its_reason)
{
	fixture_t fixture = { 0 };
	dispatcher_explanation_t e;

	fixture_init(&fixture, true);
	e = explain(&fixture, 10);
	ck_assert_int_eq(e.outcome, EXPLAIN_REFUSE);
	ck_assert_int_eq(e.reason, REFUSE_NO_RUNNER);
	ck_assert_uint_eq(e.n, 0);
	dispatcher_finish(&fixture.d);
}
END_TEST

START_TEST(a_large_fleet_is_cut_to_a_bounded_list)
{
	fixture_t fixture = { 0 };
	dispatcher_explanation_t e;

	fixture_init(&fixture, true);
	for (int i = 0; i < 3 * EXPLAIN_MAX_RUNNERS; i++) {
		char name[16];

		g_snprintf(name, sizeof(name), "r%d", i);
		fixture_set_runner(&fixture, name, false);
	}
	e = explain(&fixture, 10);
	ck_assert_uint_eq(e.n, EXPLAIN_MAX_RUNNERS);
	ck_assert_uint_eq(e.n_runners / 3, EXPLAIN_MAX_RUNNERS);
	ck_assert_int_eq(e.runners[0].verdict, EXPLAIN_CHOSEN);
	dispatcher_finish(&fixture.d);
}
END_TEST

SUITE_MAIN("dispatcher_explain", the_runner_named_is_the_one_that_a_want_gets,
	   nothing_changes_by_asking, a_runner_that_is_too_slow_is_a_refusal,
	   each_runner_has_its_reason, a_full_runner_makes_it_wait,
	   a_refusal_has_its_reason, a_large_fleet_is_cut_to_a_bounded_list)
