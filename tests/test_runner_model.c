#include "tests/lib_bed.h"
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
		bed_t bed = { 0 };
		want_t want;

		bed_init(&bed, true);
		bed_set_runner(&bed, "r", false);
		bed_teach(&bed, 1, 500, 500 * MS, 10, 10 * MS);
		want = bed_make_want(&bed, 2, 1, cases[i].tokens);
		want.deadline = bed.now + cases[i].need;
		dispatcher_want(&bed.d, &want, bed.now);
		ck_assert_msg(bed_kind(&bed, 2) == cases[i].expected,
			      "case %zu", i);
		if (bed_kind(&bed, 2) == ANSWER_REFUSE)
			ck_assert_int_eq(bed.answers[2].reason,
					 REFUSE_DEADLINE);
		dispatcher_finish(&bed.d);
	}
}
END_TEST

START_TEST(work_ahead_at_the_runner_counts_in_the_prediction)
{
	static const struct {
		uint32_t ahead;
		answer_kind_t expected;
	} cases[] = { { 300, ANSWER_GRANT }, { 900, ANSWER_REFUSE } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		bed_t bed = { .config = { .window_tokens = 5000 } };
		want_t want;

		bed_init(&bed, true);
		bed_set_runner(&bed, "r", false);
		bed_teach(&bed, 1, 500, 500 * MS, 10, 10 * MS);
		bed_ask(&bed, 2, 0, cases[i].ahead);
		want = bed_make_want(&bed, 3, 0, 500);
		want.deadline = bed.now + SECOND;
		dispatcher_want(&bed.d, &want, bed.now);
		ck_assert_int_eq(bed_kind(&bed, 3), cases[i].expected);
		dispatcher_finish(&bed.d);
	}
}
END_TEST

START_TEST(window_shrinks_when_a_runner_slows_without_a_report)
{
	static const bool is_decoding[] = { false, true };

	for (size_t i = 0; i < G_N_ELEMENTS(is_decoding); i++) {
		bed_t bed = { 0 };
		want_t want;
		uint32_t before;

		bed_init(&bed, true);
		bed_set_runner(&bed, "r", false);
		bed_teach(&bed, 0, 500, 50 * MS, 10, 100 * MS);
		before = bed_fill(&bed, 1);
		for (uint64_t a = 1; a <= before; a++)
			bed_done(&bed, a, DONE_BROKEN);
		ck_assert_int_eq(bed_stats(&bed).running, 0);
		want = bed_make_want(&bed, 30, 1, 100);
		want.output_tokens = 10;
		dispatcher_want(&bed.d, &want, bed.now);
		if (is_decoding[i])
			dispatcher_first_token(&bed.d, want.id, bed.now);
		bed_tick(&bed, SECOND); /* no other event for a long time */
		bed_tick(&bed, 2 * SECOND);
		ck_assert_int_eq(before, 10);
		ck_assert_int_le(bed_fill(&bed, 40), before / 2);
		dispatcher_finish(&bed.d);
	}
}
END_TEST

START_TEST(reports_count_work_that_others_granted)
{
	bed_t bed = { 0 };
	dispatcher_report_t report = { .running = 40 };

	bed_init(&bed, true);
	bed_set_runner(&bed, "r", false);
	bed_ask(&bed, 1, 1, 100);
	dispatcher_first_token(&bed.d, (want_id_t){ OWNER, 1 }, bed.now);
	report.as_of = bed.now;
	dispatcher_report(&bed.d, STR_LIT("r"), &report, bed.now);
	bed_ask(&bed, 2, 1, 100);
	ck_assert_int_eq(bed_kind(&bed, 2), ANSWER_NONE);
	bed_tick(&bed, 6 * SECOND); /* the report is too old to count */
	ck_assert_int_eq(bed_kind(&bed, 2), ANSWER_GRANT);
	dispatcher_finish(&bed.d);
}
END_TEST

START_TEST(faster_runner_is_chosen_and_the_avoided_is_not)
{
	bed_t bed = { 0 };
	want_t want;

	bed_init(&bed, true);
	bed_set_runner(&bed, "slow", false);
	bed_teach(&bed, 0, 500, 500 * MS, 10, 100 * MS);
	bed_set_runner(&bed, "slow", true);
	bed_set_runner(&bed, "fast", false);
	bed_teach(&bed, 1, 500, 50 * MS, 10, 10 * MS);
	bed_set_runner(&bed, "slow", false);
	bed_ask(&bed, 2, 1, 100);
	ck_assert_str_eq(bed.answers[2].runner, "fast");
	want = bed_make_want(&bed, 3, 1, 100);
	g_strlcpy(want.avoid, "fast", sizeof(want.avoid));
	dispatcher_want(&bed.d, &want, bed.now);
	ck_assert_str_eq(bed.answers[3].runner, "slow");
	bed_set_runner(&bed, "slow", true);
	want.id.attempt = 4; /* the avoided one is used if it is the only one */
	dispatcher_want(&bed.d, &want, bed.now);
	ck_assert_str_eq(bed.answers[4].runner, "fast");
	dispatcher_finish(&bed.d);
}
END_TEST

START_TEST(protected_want_exceeds_the_window_to_meet_its_deadline)
{
	bed_t bed = { 0 };
	want_t want;

	bed_init(&bed, true);
	bed_set_runner(&bed, "slow", false);
	bed_teach(&bed, 0, 500, 500 * MS, 10, 100 * MS);
	bed_set_runner(&bed, "slow", true);
	bed_set_runner(&bed, "fast", false);
	bed_teach(&bed, 1, 500, 50 * MS, 10, 10 * MS);
	bed_ask(&bed, 2, 1, 2000); /* work of a lower tier fills "fast" */
	dispatcher_first_token(&bed.d, (want_id_t){ OWNER, 2 }, bed.now);
	bed_set_runner(&bed, "slow", false);
	want = bed_make_want(&bed, 3, 0, 500);
	want.deadline = bed.now + 400 * MS;
	dispatcher_want(&bed.d, &want, bed.now);
	ck_assert_str_eq(bed.answers[3].runner, "fast");
	want = bed_make_want(&bed, 4, 0, 500); /* has time for "slow" */
	dispatcher_want(&bed.d, &want, bed.now);
	ck_assert_str_eq(bed.answers[4].runner, "slow");
	dispatcher_finish(&bed.d);
}
END_TEST

START_TEST(late_want_waits_for_a_better_runner_and_lets_others_pass)
{
	bed_t bed = { 0 };
	want_t want;

	bed_init(&bed, true);
	bed_set_runner(&bed, "slow", false);
	bed_teach(&bed, 0, 500, 500 * MS, 10, 100 * MS);
	bed_set_runner(&bed, "slow", true);
	bed_set_runner(&bed, "fast", false);
	bed_teach(&bed, 1, 500, 50 * MS, 10, 10 * MS);
	bed_ask(&bed, 2, 1, 2000);
	dispatcher_first_token(&bed.d, (want_id_t){ OWNER, 2 }, bed.now);
	bed_set_runner(&bed, "slow", false);
	want = bed_make_want(&bed, 3, 1, 900);
	want.deadline = bed.now + 600 * MS;
	dispatcher_want(&bed.d, &want, bed.now);
	ck_assert_int_eq(bed_kind(&bed, 3), ANSWER_NONE);
	bed_ask(&bed, 4, 1, 100);
	ck_assert_str_eq(bed.answers[4].runner, "slow");
	want.id.attempt = 5;
	want.deadline = bed.now + 50 * MS; /* no runner can meet it */
	dispatcher_want(&bed.d, &want, bed.now);
	ck_assert_int_eq(bed.answers[5].reason, REFUSE_DEADLINE);
	bed_done(&bed, 2, DONE_COMPLETED);
	ck_assert_str_eq(bed.answers[3].runner, "fast");
	ck_assert_int_eq(bed_stats(&bed).queued, 0);
	dispatcher_finish(&bed.d);
}
END_TEST

START_TEST(runners_of_unknown_speed_share_the_work)
{
	static const char *const names[] = { "a", "b", "c", "d" };
	static const bool is_one_known[] = { false, true };

	for (size_t c = 0; c < G_N_ELEMENTS(is_one_known); c++) {
		bed_t bed = { .config = { .window_tokens = 10000 } };
		uint32_t counts[4] = { 0 };

		bed_init(&bed, true);
		for (size_t i = 0; i < 4; i++) {
			dispatcher_runner_t r = { .generation = (uint32_t)i };

			g_strlcpy(r.name, names[i], sizeof(r.name));
			dispatcher_set_runner(&bed.d, &r, bed.now);
		}
		if (is_one_known[c])
			bed_teach(&bed, 0, 500, 50 * MS, 10, 10 * MS);
		for (uint64_t a = 1; a <= 16; a++) {
			want_t want = bed_make_want(&bed, a, 0, 100);

			want.output_tokens = 10;
			dispatcher_want(&bed.d, &want, bed.now);
			for (size_t i = 0; i < 4; i++)
				counts[i] += !strcmp(bed.answers[a].runner,
						     names[i]);
		}
		for (size_t i = 0; i < 4; i++)
			ck_assert_int_ge(counts[i], 2);
		dispatcher_finish(&bed.d);
	}
}
END_TEST

START_TEST(lower_work_keeps_time_per_token_of_protected_work)
{
	static const struct {
		int64_t need; /* of the protected want */
		uint32_t granted; /* wants of lower tiers beside it */
	} cases[] = { { 10 * SECOND, 19 }, { 450 * MS, 1 } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		bed_t bed = { .config = { .window_tokens = 2000 } };
		done_t end = { .result = DONE_COMPLETED,
			       .prompt_tokens = 100,
			       .output_tokens = 11 };
		want_t want;

		bed_init(&bed, true);
		bed_set_runner(&bed, "r", false);
		/*
		 * 10 ms per token for one request, about 80 ms for eight at
		 * once.
		 */
		bed_teach(&bed, 0, 500, 50 * MS, 10, 100 * MS);
		for (uint64_t a = 1; a <= 8; a++) {
			bed_ask(&bed, a, 1, 100);
			bed.now += 10 * MS;
			dispatcher_first_token(&bed.d, (want_id_t){ OWNER, a },
					       bed.now);
		}
		bed.now += 720 * MS;
		for (uint64_t a = 1; a <= 8; a++)
			dispatcher_done(&bed.d, (want_id_t){ OWNER, a }, &end,
					bed.now);
		want = bed_make_want(&bed, 5, 0, 100);
		want.output_tokens = 10;
		want.deadline = bed.now + cases[i].need;
		dispatcher_want(&bed.d, &want, bed.now);
		dispatcher_first_token(&bed.d, want.id, bed.now);
		ck_assert_int_eq(bed_fill(&bed, 20), cases[i].granted);
		dispatcher_finish(&bed.d);
	}
}
END_TEST

START_TEST(prefix_returns_to_its_runner_but_never_past_a_deadline)
{
	static const struct {
		uint32_t load; /* prompt tokens waiting on the known runner */
		const char *expected;
	} cases[] = { { 0, "a" }, { 900, "b" } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		bed_t bed = { .config = { .window_tokens = 5000 } };
		want_t want;

		bed_init(&bed, true);
		bed_set_runner(&bed, "a", false);
		bed_teach(&bed, 0, 500, 500 * MS, 10, 10 * MS);
		want = bed_make_want(&bed, 1, 1, 500);
		want.prefix_hash = 99;
		dispatcher_want(&bed.d, &want, bed.now);
		bed_done(&bed, 1, DONE_COMPLETED);
		if (cases[i].load)
			bed_ask(&bed, 2, 0, cases[i].load);
		bed_set_runner(&bed, "b", false);
		want.id.attempt = 3;
		want.tier = 0;
		want.deadline = bed.now + SECOND;
		dispatcher_want(&bed.d, &want, bed.now);
		ck_assert_str_eq(bed.answers[3].runner, cases[i].expected);
		dispatcher_finish(&bed.d);
	}
}
END_TEST

START_TEST(window_follows_the_service_document)
{
	bed_t bed = { 0 };

	bed.config.plain_slots = 1;
	bed_init(&bed, false);
	bed_set_runner(&bed, "r", false);
	for (uint64_t attempt = 1; attempt <= 3; attempt++)
		bed_ask(&bed, attempt, 0, 1);
	ck_assert_uint_eq(bed_stats(&bed).running, 1);
	dispatcher_set_window(&bed.d, 3, bed.now);
	ck_assert_uint_eq(bed_stats(&bed).running, 3);
	dispatcher_finish(&bed.d);
}
END_TEST

SUITE_MAIN("runner_model",
	   predicted_finish_past_the_deadline_is_refused_at_once,
	   work_ahead_at_the_runner_counts_in_the_prediction,
	   window_shrinks_when_a_runner_slows_without_a_report,
	   reports_count_work_that_others_granted,
	   faster_runner_is_chosen_and_the_avoided_is_not,
	   protected_want_exceeds_the_window_to_meet_its_deadline,
	   late_want_waits_for_a_better_runner_and_lets_others_pass,
	   runners_of_unknown_speed_share_the_work,
	   lower_work_keeps_time_per_token_of_protected_work,
	   prefix_returns_to_its_runner_but_never_past_a_deadline,
	   window_follows_the_service_document)
