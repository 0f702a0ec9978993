#include "tests/lib_fixture.h"
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
		fixture_t fixture = { 0 };
		str_t name = STR_LIT("r");

		fixture_init(&fixture, true);
		fixture_set_runner(&fixture, "r", false);
		if (cases[i].by_list)
			fixture_set_runner(&fixture, "r", true);
		if (cases[i].by_report) {
			dispatcher_report(&fixture.d, name, &leaving,
					  fixture.now);
			dispatcher_report(&fixture.d, name, &stale,
					  fixture.now);
		}
		if (cases[i].is_relisted)
			fixture_set_runner(&fixture, "r", false);
		if (cases[i].is_removed)
			dispatcher_remove_runner(&fixture.d, name, fixture.now);
		if (cases[i].is_suspended)
			dispatcher_suspend_runner(&fixture.d, name,
						  fixture.now);
		fixture_submit(&fixture, 1, 0, 10);
		ck_assert_msg(fixture_answer_kind(&fixture, 1) ==
				      cases[i].expected,
			      "case %zu", i);
		dispatcher_finish(&fixture.d);
	}
}
END_TEST

START_TEST(leaving_runner_gets_no_grant_beside_others)
{
	static const bool by_report[] = { false, true };

	for (size_t i = 0; i < G_N_ELEMENTS(by_report); i++) {
		dispatcher_report_t leaving = { .as_of = 2,
						.is_leaving = true };
		fixture_t fixture = { 0 };

		fixture_init(&fixture, true);
		fixture_set_runner(&fixture, "stays", false);
		fixture_set_runner(&fixture, "leaves", !by_report[i]);
		if (by_report[i])
			dispatcher_report(&fixture.d, STR_LIT("leaves"),
					  &leaving, fixture.now);
		for (uint64_t a = 1; a <= 50; a++)
			fixture_submit(&fixture, a, a % 3, 100);
		for (uint64_t a = 1; a <= 50; a++)
			ck_assert_str_ne(fixture.answers[a].runner, "leaves");
		ck_assert_int_ge(fixture_stats(&fixture).running, 10);
		dispatcher_finish(&fixture.d);
	}
}
END_TEST

START_TEST(queued_wants_are_refused_when_the_last_runner_leaves)
{
	fixture_t fixture = { 0 };

	fixture_init(&fixture, true);
	fixture_set_runner(&fixture, "r", false);
	fixture_submit(&fixture, 1, 1, 2000);
	fixture_submit(&fixture, 2, 1, 10);
	fixture_submit(&fixture, 3, 0, 10);
	fixture_set_runner(&fixture, "r", true);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 2), ANSWER_REFUSE);
	ck_assert_int_eq(fixture.answers[3].reason, REFUSE_NO_RUNNER);
	ck_assert_int_eq(fixture_stats(&fixture).running, 1);
	dispatcher_finish(&fixture.d);
}
END_TEST

START_TEST(suspended_runner_gets_grants_again)
{
	fixture_t fixture = { 0 };

	fixture_init(&fixture, true);
	fixture_set_runner(&fixture, "r", false);
	dispatcher_suspend_runner(&fixture.d, STR_LIT("r"), fixture.now);
	fixture_submit(&fixture, 1, 0, 10);
	fixture_tick(&fixture, 500 * MS);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 1), ANSWER_NONE);
	fixture_tick(&fixture, 600 * MS);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 1), ANSWER_GRANT);
	dispatcher_finish(&fixture.d);
}
END_TEST

START_TEST(idle_suspended_runners_count_as_no_runner)
{
	for (int has_work = 0; has_work <= 1; has_work++) {
		fixture_t fixture = { 0 };

		fixture_init(&fixture, true);
		fixture_set_runner(&fixture, "r", false);
		if (has_work)
			fixture_submit(&fixture, 9, 1, 10);
		for (int i = 0; i < 4; i++) {
			dispatcher_suspend_runner(&fixture.d, STR_LIT("r"),
						  fixture.now);
			if (!i)
				fixture_submit(&fixture, 1, 0, 10);
			fixture_tick(&fixture, 500 * MS);
		}
		ck_assert_int_eq(fixture_answer_kind(&fixture, 1),
				 has_work ? ANSWER_NONE : ANSWER_REFUSE);
		if (!has_work) {
			fixture_submit(&fixture, 2, 0, 10);
			ck_assert_int_eq(fixture_answer_kind(&fixture, 2),
					 ANSWER_REFUSE);
			ck_assert_uint_eq(fixture_stats(&fixture)
						  .refusals[REFUSE_NO_RUNNER],
					  2);
		}
		/* Its suspension has ended, so it may get grants again. */
		fixture_tick(&fixture, 1100 * MS);
		fixture_submit(&fixture, 3, 0, 10);
		ck_assert_int_eq(fixture_answer_kind(&fixture, 3),
				 ANSWER_GRANT);
		dispatcher_finish(&fixture.d);
	}
}
END_TEST

START_TEST(want_that_is_sent_again_gets_no_leaving_runner)
{
	fixture_t fixture = { 0 };
	want_t want;

	fixture_init(&fixture, true);
	fixture_set_runner(&fixture, "r", false);
	want = fixture_make_want(&fixture, 1, 0, 10);
	dispatcher_want(&fixture.d, &want, fixture.now);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 1), ANSWER_GRANT);
	fixture_set_runner(&fixture, "r", true);
	dispatcher_want_again(&fixture.d, &want, fixture.now);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 1), ANSWER_REFUSE);
	ck_assert_uint_eq(fixture_stats(&fixture).running, 0);
	dispatcher_finish(&fixture.d);
}
END_TEST

START_TEST(grants_in_use_are_bounded)
{
	fixture_t fixture = { .config = { .max_running = 5,
					  .window_tokens = 100000 } };

	fixture_init(&fixture, true);
	fixture_set_runner(&fixture, "r", false);
	for (uint64_t a = 1; a <= 10; a++)
		fixture_submit(&fixture, a, 1, 1);
	ck_assert_int_eq(fixture_stats(&fixture).running, 5);
	fixture_done(&fixture, 1, DONE_COMPLETED);
	ck_assert_int_eq(fixture_stats(&fixture).running, 5);
	ck_assert_int_eq(fixture_stats(&fixture).queued, 4);
	dispatcher_finish(&fixture.d);
}
END_TEST

START_TEST(queued_want_expires_with_one_answer)
{
	fixture_t fixture = { 0 };

	fixture_init(&fixture, true);
	fixture_set_runner(&fixture, "r", false);
	fixture_submit(&fixture, 1, 0, 2000);
	fixture_submit(&fixture, 2, 0, 2000);
	fixture_tick(&fixture, 11 * SECOND);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 2), ANSWER_REFUSE);
	ck_assert_int_eq(fixture.answers[2].reason, REFUSE_EXPIRED);
	fixture_done(&fixture, 1, DONE_COMPLETED);
	fixture_tick(&fixture, SECOND);
	ck_assert_int_eq(fixture.answers[2].answers, 1);
	ck_assert_int_eq(fixture_stats(&fixture).queued, 0);
	dispatcher_finish(&fixture.d);
}
END_TEST

START_TEST(protected_want_is_not_refused_while_lower_work_runs)
{
	fixture_t fixture = { .config = { .max_wants = 2 } };

	fixture_init(&fixture, true);
	fixture_set_runner(&fixture, "r", false);
	fixture_calibrate(&fixture, 1, 500, 500 * MS, 10, 10 * MS);
	fixture_submit(&fixture, 2, 1, 2000);
	/* Too long for their deadlines, and more wants than max_wants. */
	for (uint64_t a = 3; a <= 6; a++) {
		want_t want = fixture_make_want(&fixture, a, 0, 5000);

		want.deadline = fixture.now + 3 * SECOND;
		dispatcher_want(&fixture.d, &want, fixture.now);
		ck_assert_int_ne(fixture_answer_kind(&fixture, a),
				 ANSWER_REFUSE);
	}
	for (int i = 0; i < 290; i++) {
		fixture_tick(&fixture, 10 * MS);
		for (uint64_t a = 3; a <= 6; a++)
			ck_assert_int_ne(fixture_answer_kind(&fixture, a),
					 ANSWER_REFUSE);
	}
	/* The number of queued wants is bounded even so. */
	for (uint64_t a = 10; a <= 20; a++)
		fixture_submit(&fixture, a, 0, 5000);
	ck_assert_int_le(fixture_stats(&fixture).queued, 4);
	dispatcher_finish(&fixture.d);
}
END_TEST

START_TEST(protected_want_cancels_lower_work_and_takes_its_slot)
{
	static const bool ends_in_on_cancel[] = { false, true };

	for (size_t i = 0; i < G_N_ELEMENTS(ends_in_on_cancel); i++) {
		fixture_t fixture = { .ends_in_on_cancel =
					      ends_in_on_cancel[i] };
		want_t want;

		fixture_init(&fixture, true);
		fixture_set_runner(&fixture, "r", false);
		fixture_submit(&fixture, 1, 1, 2000);
		want = fixture_make_want(&fixture, 2, 0, 100);
		want.deadline = fixture.now + SECOND;
		dispatcher_want(&fixture.d, &want, fixture.now);
		fixture_tick(&fixture, 800 * MS);
		ck_assert(!fixture.answers[1].is_cancelled);
		fixture_tick(&fixture, 150 * MS);
		ck_assert(fixture.answers[1].is_cancelled);
		if (!ends_in_on_cancel[i])
			fixture_done(&fixture, 1, DONE_CANCELLED);
		ck_assert_int_eq(fixture_answer_kind(&fixture, 2),
				 ANSWER_GRANT);
		ck_assert_int_eq(fixture_stats(&fixture).running, 1);
		dispatcher_finish(&fixture.d);
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
	fixture_t fixture = { .config = { .window_tokens = 600 } };
	want_t want;

	fixture_init(&fixture, true);
	fixture_set_runner(&fixture, "r", false);
	for (uint64_t a = 0; a < G_N_ELEMENTS(cases); a++) {
		want_id_t id = { OWNER, a };

		fixture_submit(&fixture, a, cases[a].tier, cases[a].tokens);
		ck_assert_int_eq(fixture_answer_kind(&fixture, a),
				 ANSWER_GRANT);
		if (cases[a].is_prefilled)
			dispatcher_first_token(&fixture.d, id, fixture.now);
	}
	want = fixture_make_want(&fixture, 9, 0, 150);
	want.deadline = fixture.now + SECOND;
	dispatcher_want(&fixture.d, &want, fixture.now);
	fixture_tick(&fixture, 950 * MS);
	for (uint64_t a = 0; a < G_N_ELEMENTS(cases); a++)
		ck_assert_msg(fixture.answers[a].is_cancelled ==
				      cases[a].is_expected,
			      "case %d", (int)a);
	dispatcher_finish(&fixture.d);
}
END_TEST

START_TEST(plain_calls_are_never_cancelled)
{
	fixture_t fixture = { .config = { .plain_slots = 4, .max_wants = 2 } };

	fixture_init(&fixture, false);
	fixture_set_runner(&fixture, "r", false);
	for (uint64_t a = 1; a <= 5; a++)
		fixture_submit(&fixture, a, 1, 1);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 3), ANSWER_GRANT);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 4), ANSWER_NONE);
	/* One slot is reserved for protected work. */
	fixture_submit(&fixture, 6, 0, 1);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 6), ANSWER_GRANT);
	fixture_submit(&fixture, 7, 0, 1);
	ck_assert_int_eq(fixture.answers[5].reason, REFUSE_SHED);
	fixture_submit(&fixture, 8, 0, 1);
	ck_assert_int_eq(fixture.answers[4].reason, REFUSE_SHED);
	fixture_tick(&fixture, 9950 * MS);
	for (uint64_t a = 1; a <= 3; a++)
		ck_assert(!fixture.answers[a].is_cancelled);
	fixture_done(&fixture, 1, DONE_COMPLETED);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 7), ANSWER_GRANT);
	dispatcher_finish(&fixture.d);
}
END_TEST

START_TEST(grants_expire_and_late_events_are_ignored)
{
	fixture_t fixture = { .config = { .grant_timeout = SECOND } };

	fixture_init(&fixture, true);
	fixture_set_runner(&fixture, "r", false);
	fixture_submit(&fixture, 1, 1, 2000);
	fixture_tick(&fixture, 900 * MS);
	ck_assert_int_eq(fixture_stats(&fixture).running, 1);
	fixture_tick(&fixture, 200 * MS);
	ck_assert_int_eq(fixture_stats(&fixture).running, 0);
	dispatcher_first_token(&fixture.d, (want_id_t){ OWNER, 1 },
			       fixture.now);
	fixture_done(&fixture, 1, DONE_COMPLETED);
	ck_assert_int_eq(fixture_stats(&fixture).unknown, 2);
	ck_assert_int_eq(fixture.answers[1].answers, 1);
	dispatcher_finish(&fixture.d);
}
END_TEST

START_TEST(adopted_work_counts_in_the_window)
{
	fixture_t fixture = { 0 };
	want_t want;

	fixture_init(&fixture, true);
	fixture_set_runner(&fixture, "r", false);
	want = fixture_make_want(&fixture, 1, 1, 2000);
	dispatcher_adopt(&fixture.d, &want, STR_LIT("r"), fixture.now);
	dispatcher_adopt(&fixture.d, &want, STR_LIT("r"), fixture.now);
	dispatcher_adopt(&fixture.d, &want, STR_LIT("unknown"), fixture.now);
	ck_assert_int_eq(fixture_stats(&fixture).running, 1);
	fixture_submit(&fixture, 2, 1, 10);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 1), ANSWER_NONE);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 2), ANSWER_NONE);
	fixture_done(&fixture, 1, DONE_COMPLETED);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 2), ANSWER_GRANT);
	dispatcher_finish(&fixture.d);
}
END_TEST

START_TEST(withdrawn_and_lost_wants_get_no_answer_and_free_the_window)
{
	fixture_t fixture = { 0 };

	fixture_init(&fixture, true);
	fixture_set_runner(&fixture, "r", false);
	fixture_submit(&fixture, 1, 1, 2000);
	fixture_submit(&fixture, 2, 1, 2000);
	fixture_submit(&fixture, 3, 1, 2000);
	dispatcher_withdraw(&fixture.d, (want_id_t){ OWNER, 2 }, fixture.now);
	dispatcher_withdraw(&fixture.d, (want_id_t){ OWNER, 1 }, fixture.now);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 2), ANSWER_NONE);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 3), ANSWER_GRANT);
	fixture_submit(&fixture, 4, 1, 2000);
	dispatcher_owner_lost(&fixture.d, OWNER, fixture.now);
	ck_assert_int_eq(fixture_stats(&fixture).queued, 0);
	ck_assert_int_eq(fixture_stats(&fixture).running, 0);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 4), ANSWER_NONE);
	dispatcher_finish(&fixture.d);
}
END_TEST

START_TEST(repeated_want_gets_no_second_answer)
{
	fixture_t fixture = { 0 };

	fixture_init(&fixture, true);
	fixture_set_runner(&fixture, "r", false);
	fixture_submit(&fixture, 1, 1, 2000);
	fixture_submit(&fixture, 1, 1, 2000);
	fixture_submit(&fixture, 2, 1, 2000);
	fixture_submit(&fixture, 2, 1, 2000);
	fixture_done(&fixture, 1, DONE_COMPLETED);
	ck_assert_int_eq(fixture.answers[1].answers, 1);
	ck_assert_int_eq(fixture.answers[2].answers, 1);
	ck_assert_int_eq(fixture_stats(&fixture).unknown, 2);
	dispatcher_finish(&fixture.d);
}
END_TEST

START_TEST(want_that_is_sent_again_gets_its_lost_grant)
{
	fixture_t fixture = { 0 };
	want_t want;

	fixture_init(&fixture, true);
	fixture_set_runner(&fixture, "r", false);
	for (uint64_t attempt = 1; attempt <= 3; attempt++) {
		want = fixture_make_want(&fixture, attempt, 1, 900);
		if (attempt < 3)
			dispatcher_want(&fixture.d, &want, fixture.now);
		dispatcher_want_again(&fixture.d, &want, fixture.now);
	}
	/* A granted, a queued and a new want. */
	ck_assert_int_eq(fixture.answers[1].answers, 2);
	ck_assert_int_eq(fixture.answers[2].answers,
			 fixture_answer_kind(&fixture, 2) == ANSWER_NONE ? 0 :
									   2);
	ck_assert_uint_eq(fixture_stats(&fixture).wants, 3);
	fixture_done(&fixture, 1, DONE_COMPLETED);
	fixture_done(&fixture, 2, DONE_COMPLETED);
	fixture_done(&fixture, 3, DONE_COMPLETED);
	ck_assert_uint_eq(fixture_stats(&fixture).running +
				  fixture_stats(&fixture).queued,
			  0);
	dispatcher_finish(&fixture.d);
}
END_TEST

START_TEST(protected_want_is_not_refused_in_an_unstable_view)
{
	for (int is_stable = 0; is_stable <= 1; is_stable++) {
		fixture_t fixture = { .config.plain_slots = 1 };

		fixture_init(&fixture, false);
		fixture_set_runner(&fixture, "r", false);
		dispatcher_set_view_stable(&fixture.d, is_stable, fixture.now);
		for (uint64_t attempt = 1; attempt <= 2; attempt++)
			fixture_submit(&fixture, attempt, 0, 1);
		/* The dispatcher measures six seconds for a call. */
		fixture.now += 6 * SECOND;
		fixture_done(&fixture, 1, DONE_COMPLETED);
		for (uint64_t attempt = 3; attempt <= 9; attempt++)
			fixture_submit(&fixture, attempt, 0, 1);
		ck_assert_int_eq(
			fixture_stats(&fixture).refusals[REFUSE_DEADLINE] > 0,
			is_stable);
		/* Every want has an answer by its deadline. */
		fixture_tick(&fixture, 10 * SECOND);
		for (uint64_t attempt = 1; attempt <= 9; attempt++)
			ck_assert_int_ne(fixture_answer_kind(&fixture, attempt),
					 ANSWER_NONE);
		dispatcher_finish(&fixture.d);
	}
}
END_TEST

START_TEST(retry_after_grows_with_the_backlog)
{
	fixture_t fixture = { .config = { .max_wants = 50 } };
	uint32_t retry_after;

	fixture_init(&fixture, true);
	fixture_set_runner(&fixture, "r", false);
	fixture_submit(&fixture, 0, 1, 2000);
	for (uint64_t a = 1; a <= 50; a++)
		fixture_submit(&fixture, a, 1, 2000);
	fixture_submit(&fixture, 99, 1, 2000);
	retry_after = fixture.answers[99].retry_after_ms;
	/* The dispatcher now measures two seconds for a want. */
	for (uint64_t a = 0; a < 3; a++) {
		fixture.now += 2 * SECOND;
		fixture_done(&fixture, a, DONE_BROKEN);
	}
	fixture.config.max_wants = 50;
	for (uint64_t a = 100; a < 110; a++)
		fixture_submit(&fixture, a, 1, 2000);
	ck_assert_int_ge(retry_after, 100);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 109), ANSWER_REFUSE);
	ck_assert_int_gt(fixture.answers[109].retry_after_ms / 10, retry_after);
	dispatcher_finish(&fixture.d);
}
END_TEST

START_TEST(baselines_grant_at_once)
{
	static const dispatcher_policy_t policies[] = {
		DISPATCHER_POLICY_ROUND_ROBIN,
		DISPATCHER_POLICY_TWO_CHOICES,
	};

	for (size_t i = 0; i < G_N_ELEMENTS(policies); i++) {
		fixture_t fixture = { .config = { .policy = policies[i] } };
		dispatcher_report_t busy = { .as_of = 1, .running = 50 };
		uint32_t on_b = 0;

		fixture_init(&fixture, true);
		fixture_set_runner(&fixture, "a", false);
		fixture_set_runner(&fixture, "b", false);
		dispatcher_report(&fixture.d, STR_LIT("b"), &busy, fixture.now);
		for (uint64_t a = 0; a < 100; a++) {
			fixture_submit(&fixture, a, 1, 500);
			ck_assert_int_eq(fixture_answer_kind(&fixture, a),
					 ANSWER_GRANT);
			on_b += !strcmp(fixture.answers[a].runner, "b");
		}
		if (policies[i] == DISPATCHER_POLICY_ROUND_ROBIN)
			ck_assert_int_eq(on_b, 50);
		else
			ck_assert_int_lt(on_b, 40);
		dispatcher_finish(&fixture.d);
	}
}
END_TEST

/* Random events lead to no second answer and exceed no limit. */
START_TEST(random_events_give_one_answer_within_limits)
{
	fixture_t fixture = { .config = { .max_wants = 40,
					  .max_running = 30,
					  .grant_timeout = SECOND } };
	GRand *rand = g_rand_new_with_seed(5);
	static const char *const names[] = { "a", "b", "c" };

	fixture_init(&fixture, true);
	for (uint64_t step = 0, next = 0; step < 20000; step++) {
		uint64_t earlier = next ? (uint64_t)g_rand_int_range(
						  rand, 0, (gint32)next) :
					  0;
		const char *name = names[g_rand_int_range(rand, 0, 3)];
		dispatcher_report_t report = { .as_of = fixture.now,
					       .running =
						       (uint32_t)(step % 20) };

		switch (g_rand_int_range(rand, 0, 9)) {
		case 0:
		case 1:
		case 2:
			if (next < MAX_ANSWERS)
				fixture_submit(&fixture, next++,
					       (uint32_t)(step % 4),
					       (uint32_t)g_rand_int_range(
						       rand, 1, 900));
			break;
		case 3:
			dispatcher_first_token(&fixture.d,
					       (want_id_t){ OWNER, earlier },
					       fixture.now);
			break;
		case 4:
			fixture_done(&fixture, earlier,
				     (done_result_t)(step % 5));
			break;
		case 5:
			dispatcher_withdraw(&fixture.d,
					    (want_id_t){ OWNER, earlier },
					    fixture.now);
			break;
		case 6:
			fixture_set_runner(&fixture, name, step % 3 == 0);
			break;
		case 7:
			dispatcher_report(&fixture.d, str_from(name), &report,
					  fixture.now);
			if (step % 5 == 0)
				dispatcher_remove_runner(&fixture.d,
							 str_from(name),
							 fixture.now);
			break;
		default:
			fixture_tick(&fixture, 20 * MS);
		}
		ck_assert_int_le(fixture_stats(&fixture).queued, 80);
		ck_assert_int_le(fixture_stats(&fixture).running, 30);
	}
	for (uint64_t a = 0; a < MAX_ANSWERS; a++)
		ck_assert_int_le(fixture.answers[a].answers, 1);
	g_rand_free(rand);
	dispatcher_finish(&fixture.d);
}
END_TEST

SUITE_MAIN("dispatcher", leaving_runner_gets_no_grant,
	   leaving_runner_gets_no_grant_beside_others,
	   queued_wants_are_refused_when_the_last_runner_leaves,
	   suspended_runner_gets_grants_again,
	   idle_suspended_runners_count_as_no_runner,
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
	   random_events_give_one_answer_within_limits)
