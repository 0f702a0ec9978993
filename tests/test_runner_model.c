#include "tests/lib_fixture.h"
#include "tests/lib_suite.h"

START_TEST(predicted_finish_past_the_deadline_is_refused_at_once)
{
	static const struct {
		uint32_t tokens;
		int64_t need;
		answer_kind_t expected;
	} cases[] = {
		/* The measured speed is a thousand prompt tokens a second. */
		{ 800, SECOND, ANSWER_GRANT },
		{ 900, SECOND, ANSWER_REFUSE }, /* too close to be sure */
		{ 1100, SECOND, ANSWER_REFUSE },
		{ 100, 90 * MS, ANSWER_REFUSE },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		fixture_t fixture = { 0 };
		want_t want;

		fixture_init(&fixture, true);
		fixture_set_runner(&fixture, "r", false);
		fixture_calibrate(&fixture, 1, 500, 500 * MS, 10, 10 * MS);
		want = fixture_make_want(&fixture, 2, 1, cases[i].tokens);
		want.deadline = fixture.now + cases[i].need;
		dispatcher_want(&fixture.d, &want, fixture.now);
		ck_assert_msg(fixture_answer_kind(&fixture, 2) ==
				      cases[i].expected,
			      "case %zu", i);
		if (fixture_answer_kind(&fixture, 2) == ANSWER_REFUSE)
			ck_assert_int_eq(fixture.answers[2].reason,
					 REFUSE_DEADLINE);
		dispatcher_finish(&fixture.d);
	}
}
END_TEST

START_TEST(work_ahead_at_the_runner_counts_in_the_prediction)
{
	static const struct {
		uint32_t running_tokens;
		answer_kind_t expected;
	} cases[] = { { 300, ANSWER_GRANT }, { 900, ANSWER_REFUSE } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		fixture_t fixture = { .config = { .window_tokens = 5000 } };
		want_t want;

		fixture_init(&fixture, true);
		fixture_set_runner(&fixture, "r", false);
		fixture_calibrate(&fixture, 1, 500, 500 * MS, 10, 10 * MS);
		fixture_submit(&fixture, 2, 0, cases[i].running_tokens);
		want = fixture_make_want(&fixture, 3, 0, 500);
		want.deadline = fixture.now + SECOND;
		dispatcher_want(&fixture.d, &want, fixture.now);
		ck_assert_int_eq(fixture_answer_kind(&fixture, 3),
				 cases[i].expected);
		dispatcher_finish(&fixture.d);
	}
}
END_TEST

START_TEST(window_shrinks_when_a_runner_slows_without_a_report)
{
	static const bool is_decoding[] = { false, true };

	for (size_t i = 0; i < G_N_ELEMENTS(is_decoding); i++) {
		fixture_t fixture = { 0 };
		want_t want;
		uint32_t before;

		fixture_init(&fixture, true);
		fixture_set_runner(&fixture, "r", false);
		fixture_calibrate(&fixture, 0, 500, 50 * MS, 10, 100 * MS);
		before = fixture_fill_runners(&fixture, 1);
		for (uint64_t a = 1; a <= before; a++)
			fixture_done(&fixture, a, DONE_BROKEN);
		ck_assert_int_eq(fixture_stats(&fixture).running, 0);
		want = fixture_make_want(&fixture, 30, 1, 100);
		want.output_tokens = 10;
		dispatcher_want(&fixture.d, &want, fixture.now);
		if (is_decoding[i])
			dispatcher_first_token(&fixture.d, want.id,
					       fixture.now);
		/* No other event for a long time. */
		fixture_tick(&fixture, SECOND);
		fixture_tick(&fixture, 2 * SECOND);
		ck_assert_int_eq(before, 10);
		ck_assert_int_le(fixture_fill_runners(&fixture, 40),
				 before / 2);
		dispatcher_finish(&fixture.d);
	}
}
END_TEST

START_TEST(reports_count_work_that_others_granted)
{
	fixture_t fixture = { 0 };
	dispatcher_report_t report = { .running = 40 };

	fixture_init(&fixture, true);
	fixture_set_runner(&fixture, "r", false);
	fixture_submit(&fixture, 1, 1, 100);
	dispatcher_first_token(&fixture.d, (want_id_t){ OWNER, 1 },
			       fixture.now);
	report.as_of = fixture.now;
	dispatcher_report(&fixture.d, STR_LIT("r"), &report, fixture.now);
	fixture_submit(&fixture, 2, 1, 100);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 2), ANSWER_NONE);
	fixture_tick(&fixture, 6 * SECOND); /* the report is too old to count */
	ck_assert_int_eq(fixture_answer_kind(&fixture, 2), ANSWER_GRANT);
	dispatcher_finish(&fixture.d);
}
END_TEST

START_TEST(faster_runner_is_chosen_unless_it_is_to_be_avoided)
{
	fixture_t fixture = { 0 };
	want_t want;

	fixture_init(&fixture, true);
	fixture_set_runner(&fixture, "slow", false);
	fixture_calibrate(&fixture, 0, 500, 500 * MS, 10, 100 * MS);
	fixture_set_runner(&fixture, "slow", true);
	fixture_set_runner(&fixture, "fast", false);
	fixture_calibrate(&fixture, 1, 500, 50 * MS, 10, 10 * MS);
	fixture_set_runner(&fixture, "slow", false);
	fixture_submit(&fixture, 2, 1, 100);
	ck_assert_str_eq(fixture.answers[2].runner, "fast");
	want = fixture_make_want(&fixture, 3, 1, 100);
	g_strlcpy(want.avoid, "fast", sizeof(want.avoid));
	dispatcher_want(&fixture.d, &want, fixture.now);
	ck_assert_str_eq(fixture.answers[3].runner, "slow");
	fixture_set_runner(&fixture, "slow", true);
	/* The runner to avoid is used if it is the only one. */
	want.id.attempt = 4;
	dispatcher_want(&fixture.d, &want, fixture.now);
	ck_assert_str_eq(fixture.answers[4].runner, "fast");
	dispatcher_finish(&fixture.d);
}
END_TEST

START_TEST(protected_want_exceeds_the_window_to_meet_its_deadline)
{
	fixture_t fixture = { 0 };
	want_t want;

	fixture_init(&fixture, true);
	fixture_set_runner(&fixture, "slow", false);
	fixture_calibrate(&fixture, 0, 500, 500 * MS, 10, 100 * MS);
	fixture_set_runner(&fixture, "slow", true);
	fixture_set_runner(&fixture, "fast", false);
	fixture_calibrate(&fixture, 1, 500, 50 * MS, 10, 10 * MS);
	/* Work of a lower tier fills "fast". */
	fixture_submit(&fixture, 2, 1, 2000);
	dispatcher_first_token(&fixture.d, (want_id_t){ OWNER, 2 },
			       fixture.now);
	fixture_set_runner(&fixture, "slow", false);
	want = fixture_make_want(&fixture, 3, 0, 500);
	want.deadline = fixture.now + 400 * MS;
	dispatcher_want(&fixture.d, &want, fixture.now);
	ck_assert_str_eq(fixture.answers[3].runner, "fast");
	want = fixture_make_want(&fixture, 4, 0, 500); /* has time for "slow" */
	dispatcher_want(&fixture.d, &want, fixture.now);
	ck_assert_str_eq(fixture.answers[4].runner, "slow");
	dispatcher_finish(&fixture.d);
}
END_TEST

START_TEST(late_want_waits_for_a_better_runner_and_lets_others_pass)
{
	fixture_t fixture = { 0 };
	want_t want;

	fixture_init(&fixture, true);
	fixture_set_runner(&fixture, "slow", false);
	fixture_calibrate(&fixture, 0, 500, 500 * MS, 10, 100 * MS);
	fixture_set_runner(&fixture, "slow", true);
	fixture_set_runner(&fixture, "fast", false);
	fixture_calibrate(&fixture, 1, 500, 50 * MS, 10, 10 * MS);
	fixture_submit(&fixture, 2, 1, 2000);
	dispatcher_first_token(&fixture.d, (want_id_t){ OWNER, 2 },
			       fixture.now);
	fixture_set_runner(&fixture, "slow", false);
	want = fixture_make_want(&fixture, 3, 1, 900);
	want.deadline = fixture.now + 600 * MS;
	dispatcher_want(&fixture.d, &want, fixture.now);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 3), ANSWER_NONE);
	fixture_submit(&fixture, 4, 1, 100);
	ck_assert_str_eq(fixture.answers[4].runner, "slow");
	want.id.attempt = 5;
	want.deadline = fixture.now + 50 * MS; /* no runner can meet it */
	dispatcher_want(&fixture.d, &want, fixture.now);
	ck_assert_int_eq(fixture.answers[5].reason, REFUSE_DEADLINE);
	fixture_done(&fixture, 2, DONE_COMPLETED);
	ck_assert_str_eq(fixture.answers[3].runner, "fast");
	ck_assert_int_eq(fixture_stats(&fixture).queued, 0);
	dispatcher_finish(&fixture.d);
}
END_TEST

START_TEST(runners_of_unknown_speed_share_the_work)
{
	static const char *const names[] = { "a", "b", "c", "d" };
	static const bool is_one_known[] = { false, true };

	for (size_t c = 0; c < G_N_ELEMENTS(is_one_known); c++) {
		fixture_t fixture = { .config = { .window_tokens = 10000 } };
		uint32_t counts[4] = { 0 };

		fixture_init(&fixture, true);
		for (size_t i = 0; i < 4; i++) {
			dispatcher_runner_t r = { .generation = (uint32_t)i };

			g_strlcpy(r.name, names[i], sizeof(r.name));
			dispatcher_set_runner(&fixture.d, &r, fixture.now);
		}
		if (is_one_known[c])
			fixture_calibrate(&fixture, 0, 500, 50 * MS, 10,
					  10 * MS);
		for (uint64_t a = 1; a <= 16; a++) {
			want_t want = fixture_make_want(&fixture, a, 0, 100);

			want.output_tokens = 10;
			dispatcher_want(&fixture.d, &want, fixture.now);
			for (size_t i = 0; i < 4; i++)
				counts[i] += !strcmp(fixture.answers[a].runner,
						     names[i]);
		}
		for (size_t i = 0; i < 4; i++)
			ck_assert_int_ge(counts[i], 2);
		dispatcher_finish(&fixture.d);
	}
}
END_TEST

START_TEST(lower_work_leaves_protected_work_its_time_per_token)
{
	static const struct {
		int64_t need; /* of the protected want */
		uint32_t granted; /* wants of lower tiers beside it */
	} cases[] = { { 10 * SECOND, 19 }, { 450 * MS, 1 } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		fixture_t fixture = { .config = { .window_tokens = 2000 } };
		done_t end = { .result = DONE_COMPLETED,
			       .prompt_tokens = 100,
			       .output_tokens = 11 };
		want_t want;

		fixture_init(&fixture, true);
		fixture_set_runner(&fixture, "r", false);
		/*
		 * 10 ms per token for one request, about 80 ms for eight at
		 * once.
		 */
		fixture_calibrate(&fixture, 0, 500, 50 * MS, 10, 100 * MS);
		for (uint64_t a = 1; a <= 8; a++) {
			fixture_submit(&fixture, a, 1, 100);
			fixture.now += 10 * MS;
			dispatcher_first_token(&fixture.d,
					       (want_id_t){ OWNER, a },
					       fixture.now);
		}
		fixture.now += 720 * MS;
		for (uint64_t a = 1; a <= 8; a++)
			dispatcher_done(&fixture.d, (want_id_t){ OWNER, a },
					&end, fixture.now);
		want = fixture_make_want(&fixture, 5, 0, 100);
		want.output_tokens = 10;
		want.deadline = fixture.now + cases[i].need;
		dispatcher_want(&fixture.d, &want, fixture.now);
		dispatcher_first_token(&fixture.d, want.id, fixture.now);
		ck_assert_int_eq(fixture_fill_runners(&fixture, 20),
				 cases[i].granted);
		dispatcher_finish(&fixture.d);
	}
}
END_TEST

START_TEST(prefix_returns_to_its_runner_unless_that_misses_the_deadline)
{
	static const struct {
		uint32_t load; /* prompt tokens waiting on the known runner */
		const char *expected;
	} cases[] = { { 0, "a" }, { 900, "b" } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		fixture_t fixture = { .config = { .window_tokens = 5000 } };
		want_t want;

		fixture_init(&fixture, true);
		fixture_set_runner(&fixture, "a", false);
		fixture_calibrate(&fixture, 0, 500, 500 * MS, 10, 10 * MS);
		want = fixture_make_want(&fixture, 1, 1, 500);
		want.prefix_hash = 99;
		dispatcher_want(&fixture.d, &want, fixture.now);
		fixture_done(&fixture, 1, DONE_COMPLETED);
		if (cases[i].load)
			fixture_submit(&fixture, 2, 0, cases[i].load);
		fixture_set_runner(&fixture, "b", false);
		want.id.attempt = 3;
		want.tier = 0;
		want.deadline = fixture.now + SECOND;
		dispatcher_want(&fixture.d, &want, fixture.now);
		ck_assert_str_eq(fixture.answers[3].runner, cases[i].expected);
		dispatcher_finish(&fixture.d);
	}
}
END_TEST

START_TEST(window_follows_the_service_document)
{
	fixture_t fixture = { 0 };

	fixture.config.plain_slots = 1;
	fixture_init(&fixture, false);
	fixture_set_runner(&fixture, "r", false);
	for (uint64_t attempt = 1; attempt <= 3; attempt++)
		fixture_submit(&fixture, attempt, 0, 1);
	ck_assert_uint_eq(fixture_stats(&fixture).running, 1);
	dispatcher_set_window(&fixture.d, 3, fixture.now);
	ck_assert_uint_eq(fixture_stats(&fixture).running, 3);
	dispatcher_finish(&fixture.d);
}
END_TEST

SUITE_MAIN("runner_model",
	   predicted_finish_past_the_deadline_is_refused_at_once,
	   work_ahead_at_the_runner_counts_in_the_prediction,
	   window_shrinks_when_a_runner_slows_without_a_report,
	   reports_count_work_that_others_granted,
	   faster_runner_is_chosen_unless_it_is_to_be_avoided,
	   protected_want_exceeds_the_window_to_meet_its_deadline,
	   late_want_waits_for_a_better_runner_and_lets_others_pass,
	   runners_of_unknown_speed_share_the_work,
	   lower_work_leaves_protected_work_its_time_per_token,
	   prefix_returns_to_its_runner_unless_that_misses_the_deadline,
	   window_follows_the_service_document)
