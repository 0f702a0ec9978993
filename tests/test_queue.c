#include "tests/lib_bed.h"
#include "tests/lib_suite.h"

START_TEST(protected_tier_goes_first)
{
	bed_t bed = { 0 };

	bed_init(&bed, true);
	bed_set_runner(&bed, "r", false);
	bed_ask(&bed, 1, 1, 2000); /* fills the window */
	bed_ask(&bed, 2, 2, 10);
	bed_ask(&bed, 3, 1, 10);
	bed_ask(&bed, 4, 0, 10);
	ck_assert_int_eq(bed_kind(&bed, 4), ANSWER_NONE);
	bed_done(&bed, 1, DONE_COMPLETED);
	ck_assert_int_eq(bed.answers[4].order, 1);
	ck_assert_int_eq(bed_kind(&bed, 3), ANSWER_GRANT);
	dispatcher_finish(&bed.d);
}
END_TEST

START_TEST(protected_tier_goes_first_wherever_it_is_listed)
{
	static const dispatcher_tier_t reversed[] = {
		{ .is_protected = false, .weight = 9 },
		{ .is_protected = true, .weight = 1 },
	};
	bed_t bed = { 0 };

	bed_init(&bed, true);
	dispatcher_set_tiers(&bed.d, reversed, G_N_ELEMENTS(reversed));
	bed_set_runner(&bed, "r", false);
	bed_ask(&bed, 1, 0, 2000);
	bed_ask(&bed, 2, 0, 2000);
	bed_ask(&bed, 3, 1, 2000);
	bed_done(&bed, 1, DONE_COMPLETED);
	ck_assert_int_eq(bed_kind(&bed, 3), ANSWER_GRANT);
	ck_assert_int_eq(bed_kind(&bed, 2), ANSWER_NONE);
	dispatcher_finish(&bed.d);
}
END_TEST

START_TEST(earliest_deadline_goes_first_in_a_tier)
{
	bed_t bed = { 0 };
	want_t late, early;

	bed_init(&bed, true);
	bed_set_runner(&bed, "r", false);
	bed_ask(&bed, 1, 0, 2000);
	late = bed_make_want(&bed, 2, 0, 2000);
	early = bed_make_want(&bed, 3, 0, 2000);
	early.deadline -= SECOND;
	dispatcher_want(&bed.d, &late, bed.now);
	dispatcher_want(&bed.d, &early, bed.now);
	bed_done(&bed, 1, DONE_COMPLETED);
	ck_assert_int_eq(bed_kind(&bed, 3), ANSWER_GRANT);
	ck_assert_int_eq(bed_kind(&bed, 2), ANSWER_NONE);
	dispatcher_finish(&bed.d);
}
END_TEST

/* Completes the wants one by one and adds up the tokens of each class. */
static void serve(bed_t *bed, uint32_t n, const uint32_t *class_of,
		  uint64_t *tokens_of_class, uint32_t rounds,
		  const uint32_t *tokens)
{
	uint64_t running = 0;

	for (uint32_t i = 0; i < rounds; i++) {
		bed_done(bed, running, DONE_COMPLETED);
		for (uint64_t a = 1; a <= n; a++)
			if (bed_kind(bed, a) == ANSWER_GRANT &&
			    bed->answers[a].order == i + 1) {
				running = a;
				tokens_of_class[class_of[a]] += tokens[a];
			}
	}
}

START_TEST(no_weighted_tier_starves)
{
	bed_t bed = { 0 };
	uint32_t class_of[401] = { 0 }, tokens[401] = { 0 };
	uint64_t served[3] = { 0 };

	bed_init(&bed, true);
	bed_set_runner(&bed, "r", false);
	bed_ask(&bed, 0, 1, 2000);
	for (uint64_t a = 1; a <= 400; a++) {
		class_of[a] = 1 + (a & 1);
		tokens[a] = 2000;
		bed_ask(&bed, a, class_of[a], tokens[a]);
	}
	serve(&bed, 400, class_of, served, 200, tokens);
	ck_assert_int_ge(served[1], 2 * served[2]);
	ck_assert_int_le(served[1], 4 * served[2]);
	dispatcher_finish(&bed.d);
}
END_TEST

START_TEST(teams_share_by_tokens_not_by_requests)
{
	bed_t bed = { 0 };
	uint32_t class_of[1501] = { 0 }, tokens[1501] = { 0 };
	uint64_t served[2] = { 0 };

	bed.config.max_wants = 2000;
	bed_init(&bed, true);
	bed_set_runner(&bed, "r", false);
	bed_ask(&bed, 0, 1, 2000);
	for (uint64_t a = 1; a <= 1500; a++) {
		want_t want;

		class_of[a] = a > 1000;
		tokens[a] = class_of[a] ? 200000 : 2000;
		want = bed_make_want(&bed, a, 1, tokens[a]);
		g_strlcpy(want.team, class_of[a] ? "long" : "short",
			  sizeof(want.team));
		dispatcher_want(&bed.d, &want, bed.now);
	}
	serve(&bed, 1500, class_of, served, 505, tokens);
	ck_assert_int_gt(served[0], 0);
	ck_assert_int_gt(served[1], 0);
	ck_assert_int_ge(served[0] * 2, served[1]);
	ck_assert_int_ge(served[1] * 2, served[0]);
	dispatcher_finish(&bed.d);
}
END_TEST

START_TEST(full_queue_sheds_the_lowest_tier_first)
{
	bed_t bed = { .config = { .max_wants = 3 } };

	bed_init(&bed, true);
	bed_set_runner(&bed, "r", false);
	bed_ask(&bed, 9, 0, 2000);
	bed_ask(&bed, 1, 1, 10);
	bed_ask(&bed, 2, 2, 10);
	bed_ask(&bed, 3, 1, 10);
	bed_ask(&bed, 4, 0, 10);
	ck_assert_int_eq(bed.answers[2].reason, REFUSE_SHED);
	bed_ask(&bed, 5, 2, 10);
	ck_assert_int_eq(bed.answers[5].reason, REFUSE_QUEUE_FULL);
	bed_ask(&bed, 6, 0, 10);
	bed_ask(&bed, 7, 0, 10);
	ck_assert_int_eq(bed_kind(&bed, 1), ANSWER_REFUSE);
	ck_assert_int_eq(bed_kind(&bed, 3), ANSWER_REFUSE);
	bed_ask(&bed, 8, 0, 10);
	ck_assert_int_eq(bed.answers[8].reason, REFUSE_QUEUE_FULL);
	ck_assert_int_eq(bed_kind(&bed, 4), ANSWER_NONE);
	ck_assert_int_eq(bed_stats(&bed).queued, 3);
	dispatcher_finish(&bed.d);
}
END_TEST

START_TEST(full_queue_sheds_the_team_with_most_queued)
{
	bed_t bed = { .config = { .max_wants = 3 } };
	want_t other;

	bed_init(&bed, true);
	bed_set_runner(&bed, "r", false);
	for (uint64_t a = 1; a <= 4; a++)
		bed_ask(&bed, a, 1, 2000);
	other = bed_make_want(&bed, 5, 1, 100);
	g_strlcpy(other.team, "small", sizeof(other.team));
	dispatcher_want(&bed.d, &other, bed.now);
	ck_assert_int_eq(bed_kind(&bed, 5), ANSWER_NONE);
	ck_assert_int_eq(bed.answers[4].reason, REFUSE_SHED);
	dispatcher_finish(&bed.d);
}
END_TEST

START_TEST(tiers_may_change_under_queued_wants)
{
	static const dispatcher_tier_t only = { .is_protected = true,
						.weight = 1 };
	bed_t bed = { 0 };

	bed_init(&bed, true);
	bed_set_runner(&bed, "r", false);
	bed_ask(&bed, 1, 2, 2000);
	for (uint64_t a = 2; a <= 10; a++)
		bed_ask(&bed, a, a % 3, 10);
	dispatcher_set_tiers(&bed.d, &only, 1);
	ck_assert_int_eq(bed_stats(&bed).queued, 9);
	bed_done(&bed, 1, DONE_COMPLETED);
	for (uint64_t a = 1; a <= 10; a++)
		ck_assert_int_eq(bed.answers[a].answers, 1);
	dispatcher_finish(&bed.d);
}
END_TEST

SUITE_MAIN("queue", protected_tier_goes_first,
	   protected_tier_goes_first_wherever_it_is_listed,
	   earliest_deadline_goes_first_in_a_tier, no_weighted_tier_starves,
	   teams_share_by_tokens_not_by_requests,
	   full_queue_sheds_the_lowest_tier_first,
	   full_queue_sheds_the_team_with_most_queued,
	   tiers_may_change_under_queued_wants)
