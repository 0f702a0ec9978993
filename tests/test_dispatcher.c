#include "tests/lib_bed.h"
#include "tests/lib_suite.h"

START_TEST(leaving_runner_gets_no_grant)
{
	static const struct {
		bool by_list, by_report, is_relisted, is_removed, is_suspended;
		answer_kind_t expected;
	} cases[] = {
		{ .expected = ANSWER_GRANT },
		{ .by_list = true, .expected = ANSWER_REFUSE },
		{ .by_report = true, .expected = ANSWER_REFUSE },
		/*
		 * A list that lags must not override the runner's own report.
		 */
		{ .by_report = true,
		  .is_relisted = true,
		  .expected = ANSWER_REFUSE },
		{ .is_removed = true, .expected = ANSWER_REFUSE },
		{ .is_suspended = true, .expected = ANSWER_NONE },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		dispatcher_report_t leaving = { .as_of = 2,
						.is_leaving = true };
		dispatcher_report_t stale = { .as_of = 1 };
		bed_t bed = { 0 };
		str_t name = STR_LIT("r");

		bed_init(&bed, true);
		bed_set_runner(&bed, "r", false);
		if (cases[i].by_list)
			bed_set_runner(&bed, "r", true);
		if (cases[i].by_report) {
			dispatcher_report(&bed.d, name, &leaving, bed.now);
			dispatcher_report(&bed.d, name, &stale, bed.now);
		}
		if (cases[i].is_relisted)
			bed_set_runner(&bed, "r", false);
		if (cases[i].is_removed)
			dispatcher_remove_runner(&bed.d, name, bed.now);
		if (cases[i].is_suspended)
			dispatcher_suspend_runner(&bed.d, name, bed.now);
		bed_ask(&bed, 1, 0, 10);
		ck_assert_msg(bed_kind(&bed, 1) == cases[i].expected,
			      "case %zu", i);
		dispatcher_finish(&bed.d);
	}
}
END_TEST

START_TEST(leaving_runner_gets_no_grant_beside_others)
{
	static const bool by_report[] = { false, true };

	for (size_t i = 0; i < G_N_ELEMENTS(by_report); i++) {
		dispatcher_report_t leaving = { .as_of = 2,
						.is_leaving = true };
		bed_t bed = { 0 };

		bed_init(&bed, true);
		bed_set_runner(&bed, "stays", false);
		bed_set_runner(&bed, "leaves", !by_report[i]);
		if (by_report[i])
			dispatcher_report(&bed.d, STR_LIT("leaves"), &leaving,
					  bed.now);
		for (uint64_t a = 1; a <= 50; a++)
			bed_ask(&bed, a, a % 3, 100);
		for (uint64_t a = 1; a <= 50; a++)
			ck_assert_str_ne(bed.answers[a].runner, "leaves");
		ck_assert_int_ge(bed_stats(&bed).running, 10);
		dispatcher_finish(&bed.d);
	}
}
END_TEST

START_TEST(queued_wants_are_refused_when_the_last_runner_leaves)
{
	bed_t bed = { 0 };

	bed_init(&bed, true);
	bed_set_runner(&bed, "r", false);
	bed_ask(&bed, 1, 1, 2000);
	bed_ask(&bed, 2, 1, 10);
	bed_ask(&bed, 3, 0, 10);
	bed_set_runner(&bed, "r", true);
	ck_assert_int_eq(bed_kind(&bed, 2), ANSWER_REFUSE);
	ck_assert_int_eq(bed.answers[3].reason, REFUSE_NO_RUNNER);
	ck_assert_int_eq(bed_stats(&bed).running, 1);
	dispatcher_finish(&bed.d);
}
END_TEST

START_TEST(suspended_runner_gets_grants_again)
{
	bed_t bed = { 0 };

	bed_init(&bed, true);
	bed_set_runner(&bed, "r", false);
	dispatcher_suspend_runner(&bed.d, STR_LIT("r"), bed.now);
	bed_ask(&bed, 1, 0, 10);
	bed_tick(&bed, 500 * MS);
	ck_assert_int_eq(bed_kind(&bed, 1), ANSWER_NONE);
	bed_tick(&bed, 600 * MS);
	ck_assert_int_eq(bed_kind(&bed, 1), ANSWER_GRANT);
	dispatcher_finish(&bed.d);
}
END_TEST

START_TEST(suspended_runners_without_work_do_not_count)
{
	for (int works = 0; works <= 1; works++) {
		bed_t bed = { 0 };

		bed_init(&bed, true);
		bed_set_runner(&bed, "r", false);
		if (works)
			bed_ask(&bed, 9, 1, 10);
		for (int i = 0; i < 4; i++) {
			dispatcher_suspend_runner(&bed.d, STR_LIT("r"),
						  bed.now);
			if (!i)
				bed_ask(&bed, 1, 0, 10);
			bed_tick(&bed, 500 * MS);
		}
		ck_assert_int_eq(bed_kind(&bed, 1),
				 works ? ANSWER_NONE : ANSWER_REFUSE);
		if (!works) {
			bed_ask(&bed, 2, 0, 10);
			ck_assert_int_eq(bed_kind(&bed, 2), ANSWER_REFUSE);
			ck_assert_uint_eq(
				bed_stats(&bed).refusals[REFUSE_NO_RUNNER], 2);
		}
		/* Its suspension ends: it may be granted again. */
		bed_tick(&bed, 1100 * MS);
		bed_ask(&bed, 3, 0, 10);
		ck_assert_int_eq(bed_kind(&bed, 3), ANSWER_GRANT);
		dispatcher_finish(&bed.d);
	}
}
END_TEST

START_TEST(want_that_is_sent_again_gets_no_leaving_runner)
{
	bed_t bed = { 0 };
	want_t want;

	bed_init(&bed, true);
	bed_set_runner(&bed, "r", false);
	want = bed_make_want(&bed, 1, 0, 10);
	dispatcher_want(&bed.d, &want, bed.now);
	ck_assert_int_eq(bed_kind(&bed, 1), ANSWER_GRANT);
	bed_set_runner(&bed, "r", true);
	dispatcher_want_again(&bed.d, &want, bed.now);
	ck_assert_int_eq(bed_kind(&bed, 1), ANSWER_REFUSE);
	ck_assert_uint_eq(bed_stats(&bed).running, 0);
	dispatcher_finish(&bed.d);
}
END_TEST

START_TEST(grants_in_use_are_bounded)
{
	bed_t bed = { .config = { .max_running = 5, .window_tokens = 100000 } };

	bed_init(&bed, true);
	bed_set_runner(&bed, "r", false);
	for (uint64_t a = 1; a <= 10; a++)
		bed_ask(&bed, a, 1, 1);
	ck_assert_int_eq(bed_stats(&bed).running, 5);
	bed_done(&bed, 1, DONE_COMPLETED);
	ck_assert_int_eq(bed_stats(&bed).running, 5);
	ck_assert_int_eq(bed_stats(&bed).queued, 4);
	dispatcher_finish(&bed.d);
}
END_TEST

START_TEST(queued_want_expires_with_one_answer)
{
	bed_t bed = { 0 };

	bed_init(&bed, true);
	bed_set_runner(&bed, "r", false);
	bed_ask(&bed, 1, 0, 2000);
	bed_ask(&bed, 2, 0, 2000);
	bed_tick(&bed, 11 * SECOND);
	ck_assert_int_eq(bed_kind(&bed, 2), ANSWER_REFUSE);
	ck_assert_int_eq(bed.answers[2].reason, REFUSE_EXPIRED);
	bed_done(&bed, 1, DONE_COMPLETED);
	bed_tick(&bed, SECOND);
	ck_assert_int_eq(bed.answers[2].answers, 1);
	ck_assert_int_eq(bed_stats(&bed).queued, 0);
	dispatcher_finish(&bed.d);
}
END_TEST

START_TEST(protected_want_is_not_refused_while_lower_work_runs)
{
	bed_t bed = { .config = { .max_wants = 2 } };

	bed_init(&bed, true);
	bed_set_runner(&bed, "r", false);
	bed_teach(&bed, 1, 500, 500 * MS, 10, 10 * MS);
	bed_ask(&bed, 2, 1, 2000);
	/* Too long for their deadlines, and more than max_wants. */
	for (uint64_t a = 3; a <= 6; a++) {
		want_t want = bed_make_want(&bed, a, 0, 5000);

		want.deadline = bed.now + 3 * SECOND;
		dispatcher_want(&bed.d, &want, bed.now);
		ck_assert_int_ne(bed_kind(&bed, a), ANSWER_REFUSE);
	}
	for (int i = 0; i < 290; i++) {
		bed_tick(&bed, 10 * MS);
		for (uint64_t a = 3; a <= 6; a++)
			ck_assert_int_ne(bed_kind(&bed, a), ANSWER_REFUSE);
	}
	/* The number of queued wants is bounded even so. */
	for (uint64_t a = 10; a <= 20; a++)
		bed_ask(&bed, a, 0, 5000);
	ck_assert_int_le(bed_stats(&bed).queued, 4);
	dispatcher_finish(&bed.d);
}
END_TEST

START_TEST(protected_want_cancels_lower_work_and_takes_its_slot)
{
	static const bool ends_at_once[] = { false, true };

	for (size_t i = 0; i < G_N_ELEMENTS(ends_at_once); i++) {
		bed_t bed = { .ends_at_once = ends_at_once[i] };
		want_t want;

		bed_init(&bed, true);
		bed_set_runner(&bed, "r", false);
		bed_ask(&bed, 1, 1, 2000);
		want = bed_make_want(&bed, 2, 0, 100);
		want.deadline = bed.now + SECOND;
		dispatcher_want(&bed.d, &want, bed.now);
		bed_tick(&bed, 800 * MS);
		ck_assert(!bed.answers[1].is_cancelled);
		bed_tick(&bed, 150 * MS);
		ck_assert(bed.answers[1].is_cancelled);
		if (!ends_at_once[i])
			bed_done(&bed, 1, DONE_CANCELLED);
		ck_assert_int_eq(bed_kind(&bed, 2), ANSWER_GRANT);
		ck_assert_int_eq(bed_stats(&bed).running, 1);
		dispatcher_finish(&bed.d);
	}
}
END_TEST

START_TEST(cancels_the_lowest_tier_and_in_it_the_least_prompt_work)
{
	static const struct {
		uint32_t tier, tokens;
		bool is_prefilled, is_expected;
	} cases[] = {
		{ 2, 300, true, false },
		{ 2, 200, true, true },
		{ 1, 100, false, false },
		{ 0, 900, false, false },
	};
	bed_t bed = { .config = { .window_tokens = 600 } };
	want_t want;

	bed_init(&bed, true);
	bed_set_runner(&bed, "r", false);
	for (uint64_t a = 0; a < G_N_ELEMENTS(cases); a++) {
		want_id_t id = { OWNER, a };

		bed_ask(&bed, a, cases[a].tier, cases[a].tokens);
		ck_assert_int_eq(bed_kind(&bed, a), ANSWER_GRANT);
		if (cases[a].is_prefilled)
			dispatcher_first_token(&bed.d, id, bed.now);
	}
	want = bed_make_want(&bed, 9, 0, 150);
	want.deadline = bed.now + SECOND;
	dispatcher_want(&bed.d, &want, bed.now);
	bed_tick(&bed, 950 * MS);
	for (uint64_t a = 0; a < G_N_ELEMENTS(cases); a++)
		ck_assert_msg(bed.answers[a].is_cancelled ==
				      cases[a].is_expected,
			      "case %d", (int)a);
	dispatcher_finish(&bed.d);
}
END_TEST

START_TEST(plain_calls_are_never_cancelled)
{
	bed_t bed = { .config = { .plain_slots = 4, .max_wants = 2 } };

	bed_init(&bed, false);
	bed_set_runner(&bed, "r", false);
	for (uint64_t a = 1; a <= 5; a++)
		bed_ask(&bed, a, 1, 1);
	ck_assert_int_eq(bed_kind(&bed, 3), ANSWER_GRANT);
	ck_assert_int_eq(bed_kind(&bed, 4), ANSWER_NONE);
	/* One slot is reserved for protected work. */
	bed_ask(&bed, 6, 0, 1);
	ck_assert_int_eq(bed_kind(&bed, 6), ANSWER_GRANT);
	bed_ask(&bed, 7, 0, 1);
	ck_assert_int_eq(bed.answers[5].reason, REFUSE_SHED);
	bed_ask(&bed, 8, 0, 1);
	ck_assert_int_eq(bed.answers[4].reason, REFUSE_SHED);
	bed_tick(&bed, 9950 * MS);
	for (uint64_t a = 1; a <= 3; a++)
		ck_assert(!bed.answers[a].is_cancelled);
	bed_done(&bed, 1, DONE_COMPLETED);
	ck_assert_int_eq(bed_kind(&bed, 7), ANSWER_GRANT);
	dispatcher_finish(&bed.d);
}
END_TEST

START_TEST(grants_expire_and_late_events_are_ignored)
{
	bed_t bed = { .config = { .grant_timeout = SECOND } };

	bed_init(&bed, true);
	bed_set_runner(&bed, "r", false);
	bed_ask(&bed, 1, 1, 2000);
	bed_tick(&bed, 900 * MS);
	ck_assert_int_eq(bed_stats(&bed).running, 1);
	bed_tick(&bed, 200 * MS);
	ck_assert_int_eq(bed_stats(&bed).running, 0);
	dispatcher_first_token(&bed.d, (want_id_t){ OWNER, 1 }, bed.now);
	bed_done(&bed, 1, DONE_COMPLETED);
	ck_assert_int_eq(bed_stats(&bed).unknown, 2);
	ck_assert_int_eq(bed.answers[1].answers, 1);
	dispatcher_finish(&bed.d);
}
END_TEST

START_TEST(adopted_work_counts_in_the_window)
{
	bed_t bed = { 0 };
	want_t want;

	bed_init(&bed, true);
	bed_set_runner(&bed, "r", false);
	want = bed_make_want(&bed, 1, 1, 2000);
	dispatcher_adopt(&bed.d, &want, STR_LIT("r"), bed.now);
	dispatcher_adopt(&bed.d, &want, STR_LIT("r"), bed.now);
	dispatcher_adopt(&bed.d, &want, STR_LIT("unknown"), bed.now);
	ck_assert_int_eq(bed_stats(&bed).running, 1);
	bed_ask(&bed, 2, 1, 10);
	ck_assert_int_eq(bed_kind(&bed, 1), ANSWER_NONE);
	ck_assert_int_eq(bed_kind(&bed, 2), ANSWER_NONE);
	bed_done(&bed, 1, DONE_COMPLETED);
	ck_assert_int_eq(bed_kind(&bed, 2), ANSWER_GRANT);
	dispatcher_finish(&bed.d);
}
END_TEST

START_TEST(withdrawn_and_lost_wants_get_no_answer_and_free_the_window)
{
	bed_t bed = { 0 };

	bed_init(&bed, true);
	bed_set_runner(&bed, "r", false);
	bed_ask(&bed, 1, 1, 2000);
	bed_ask(&bed, 2, 1, 2000);
	bed_ask(&bed, 3, 1, 2000);
	dispatcher_withdraw(&bed.d, (want_id_t){ OWNER, 2 }, bed.now);
	dispatcher_withdraw(&bed.d, (want_id_t){ OWNER, 1 }, bed.now);
	ck_assert_int_eq(bed_kind(&bed, 2), ANSWER_NONE);
	ck_assert_int_eq(bed_kind(&bed, 3), ANSWER_GRANT);
	bed_ask(&bed, 4, 1, 2000);
	dispatcher_owner_lost(&bed.d, OWNER, bed.now);
	ck_assert_int_eq(bed_stats(&bed).queued, 0);
	ck_assert_int_eq(bed_stats(&bed).running, 0);
	ck_assert_int_eq(bed_kind(&bed, 4), ANSWER_NONE);
	dispatcher_finish(&bed.d);
}
END_TEST

START_TEST(repeated_want_gets_no_second_answer)
{
	bed_t bed = { 0 };

	bed_init(&bed, true);
	bed_set_runner(&bed, "r", false);
	bed_ask(&bed, 1, 1, 2000);
	bed_ask(&bed, 1, 1, 2000);
	bed_ask(&bed, 2, 1, 2000);
	bed_ask(&bed, 2, 1, 2000);
	bed_done(&bed, 1, DONE_COMPLETED);
	ck_assert_int_eq(bed.answers[1].answers, 1);
	ck_assert_int_eq(bed.answers[2].answers, 1);
	ck_assert_int_eq(bed_stats(&bed).unknown, 2);
	dispatcher_finish(&bed.d);
}
END_TEST

START_TEST(want_that_is_sent_again_gets_its_lost_grant)
{
	bed_t bed = { 0 };
	want_t want;

	bed_init(&bed, true);
	bed_set_runner(&bed, "r", false);
	for (uint64_t attempt = 1; attempt <= 3; attempt++) {
		want = bed_make_want(&bed, attempt, 1, 900);
		if (attempt < 3)
			dispatcher_want(&bed.d, &want, bed.now);
		dispatcher_want_again(&bed.d, &want, bed.now);
	}
	/* A granted, a queued and a new want. */
	ck_assert_int_eq(bed.answers[1].answers, 2);
	ck_assert_int_eq(bed.answers[2].answers,
			 bed_kind(&bed, 2) == ANSWER_NONE ? 0 : 2);
	ck_assert_uint_eq(bed_stats(&bed).wants, 3);
	bed_done(&bed, 1, DONE_COMPLETED);
	bed_done(&bed, 2, DONE_COMPLETED);
	bed_done(&bed, 3, DONE_COMPLETED);
	ck_assert_uint_eq(bed_stats(&bed).running + bed_stats(&bed).queued, 0);
	dispatcher_finish(&bed.d);
}
END_TEST

START_TEST(protected_want_is_not_refused_in_an_unstable_view)
{
	for (int is_stable = 0; is_stable <= 1; is_stable++) {
		bed_t bed = { .config.plain_slots = 1 };

		bed_init(&bed, false);
		bed_set_runner(&bed, "r", false);
		dispatcher_set_view_stable(&bed.d, is_stable, bed.now);
		for (uint64_t attempt = 1; attempt <= 2; attempt++)
			bed_ask(&bed, attempt, 0, 1);
		/* The dispatcher measures six seconds for a call. */
		bed.now += 6 * SECOND;
		bed_done(&bed, 1, DONE_COMPLETED);
		for (uint64_t attempt = 3; attempt <= 9; attempt++)
			bed_ask(&bed, attempt, 0, 1);
		ck_assert_int_eq(bed_stats(&bed).refusals[REFUSE_DEADLINE] > 0,
				 is_stable);
		/* Every want has an answer by its deadline. */
		bed_tick(&bed, 10 * SECOND);
		for (uint64_t attempt = 1; attempt <= 9; attempt++)
			ck_assert_int_ne(bed_kind(&bed, attempt), ANSWER_NONE);
		dispatcher_finish(&bed.d);
	}
}
END_TEST

START_TEST(retry_after_grows_with_the_backlog)
{
	bed_t bed = { .config = { .max_wants = 50 } };
	uint32_t small;

	bed_init(&bed, true);
	bed_set_runner(&bed, "r", false);
	bed_ask(&bed, 0, 1, 2000);
	for (uint64_t a = 1; a <= 50; a++)
		bed_ask(&bed, a, 1, 2000);
	bed_ask(&bed, 99, 1, 2000);
	small = bed.answers[99].retry_after_ms;
	/* The dispatcher now measures two seconds for a want. */
	for (uint64_t a = 0; a < 3; a++) {
		bed.now += 2 * SECOND;
		bed_done(&bed, a, DONE_BROKEN);
	}
	bed.config.max_wants = 50;
	for (uint64_t a = 100; a < 110; a++)
		bed_ask(&bed, a, 1, 2000);
	ck_assert_int_ge(small, 100);
	ck_assert_int_eq(bed_kind(&bed, 109), ANSWER_REFUSE);
	ck_assert_int_gt(bed.answers[109].retry_after_ms / 10, small);
	dispatcher_finish(&bed.d);
}
END_TEST

START_TEST(baselines_grant_at_once)
{
	static const dispatcher_policy_t policies[] = {
		DISPATCHER_POLICY_ROUND_ROBIN,
		DISPATCHER_POLICY_TWO_CHOICES,
	};

	for (size_t i = 0; i < G_N_ELEMENTS(policies); i++) {
		bed_t bed = { .config = { .policy = policies[i] } };
		dispatcher_report_t busy = { .as_of = 1, .running = 50 };
		uint32_t on_b = 0;

		bed_init(&bed, true);
		bed_set_runner(&bed, "a", false);
		bed_set_runner(&bed, "b", false);
		dispatcher_report(&bed.d, STR_LIT("b"), &busy, bed.now);
		for (uint64_t a = 0; a < 100; a++) {
			bed_ask(&bed, a, 1, 500);
			ck_assert_int_eq(bed_kind(&bed, a), ANSWER_GRANT);
			on_b += !strcmp(bed.answers[a].runner, "b");
		}
		if (policies[i] == DISPATCHER_POLICY_ROUND_ROBIN)
			ck_assert_int_eq(on_b, 50);
		else
			ck_assert_int_lt(on_b, 40);
		dispatcher_finish(&bed.d);
	}
}
END_TEST

/* Under random events, no attempt gets two answers. */
START_TEST(random_events_keep_one_answer_and_bounds)
{
	bed_t bed = { .config = { .max_wants = 40,
				  .max_running = 30,
				  .grant_timeout = SECOND } };
	GRand *rand = g_rand_new_with_seed(5);
	static const char *const names[] = { "a", "b", "c" };

	bed_init(&bed, true);
	for (uint64_t step = 0, next = 0; step < 20000; step++) {
		uint64_t some = next ? (uint64_t)g_rand_int_range(
					       rand, 0, (gint32)next) :
				       0;
		const char *name = names[g_rand_int_range(rand, 0, 3)];
		dispatcher_report_t report = { .as_of = bed.now,
					       .running =
						       (uint32_t)(step % 20) };

		switch (g_rand_int_range(rand, 0, 9)) {
		case 0:
		case 1:
		case 2:
			if (next < MAX_ANSWERS)
				bed_ask(&bed, next++, (uint32_t)(step % 4),
					(uint32_t)g_rand_int_range(rand, 1,
								   900));
			break;
		case 3:
			dispatcher_first_token(
				&bed.d, (want_id_t){ OWNER, some }, bed.now);
			break;
		case 4:
			bed_done(&bed, some, (done_result_t)(step % 5));
			break;
		case 5:
			dispatcher_withdraw(&bed.d, (want_id_t){ OWNER, some },
					    bed.now);
			break;
		case 6:
			bed_set_runner(&bed, name, step % 3 == 0);
			break;
		case 7:
			dispatcher_report(&bed.d, str_from(name), &report,
					  bed.now);
			if (step % 5 == 0)
				dispatcher_remove_runner(&bed.d, str_from(name),
							 bed.now);
			break;
		default:
			bed_tick(&bed, 20 * MS);
		}
		ck_assert_int_le(bed_stats(&bed).queued, 80);
		ck_assert_int_le(bed_stats(&bed).running, 30);
	}
	for (uint64_t a = 0; a < MAX_ANSWERS; a++)
		ck_assert_int_le(bed.answers[a].answers, 1);
	g_rand_free(rand);
	dispatcher_finish(&bed.d);
}
END_TEST

SUITE_MAIN("dispatcher", leaving_runner_gets_no_grant,
	   leaving_runner_gets_no_grant_beside_others,
	   queued_wants_are_refused_when_the_last_runner_leaves,
	   suspended_runner_gets_grants_again,
	   suspended_runners_without_work_do_not_count,
	   want_that_is_sent_again_gets_no_leaving_runner,
	   grants_in_use_are_bounded, queued_want_expires_with_one_answer,
	   protected_want_is_not_refused_while_lower_work_runs,
	   protected_want_cancels_lower_work_and_takes_its_slot,
	   cancels_the_lowest_tier_and_in_it_the_least_prompt_work,
	   plain_calls_are_never_cancelled,
	   grants_expire_and_late_events_are_ignored,
	   adopted_work_counts_in_the_window,
	   withdrawn_and_lost_wants_get_no_answer_and_free_the_window,
	   repeated_want_gets_no_second_answer,
	   want_that_is_sent_again_gets_its_lost_grant,
	   protected_want_is_not_refused_in_an_unstable_view,
	   retry_after_grows_with_the_backlog, baselines_grant_at_once,
	   random_events_keep_one_answer_and_bounds)
