#include "tests/lib_fixture.h"
#include "tests/lib_suite.h"

START_TEST(protected_tier_goes_first)
{
	fixture_t fixture = { 0 };

	fixture_init(&fixture, true);
	fixture_set_runner(&fixture, "r", false);
	fixture_submit(&fixture, 1, 1, 2000); /* fills the window */
	fixture_submit(&fixture, 2, 2, 10);
	fixture_submit(&fixture, 3, 1, 10);
	fixture_submit(&fixture, 4, 0, 10);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 4), ANSWER_NONE);
	fixture_done(&fixture, 1, DONE_COMPLETED);
	ck_assert_int_eq(fixture.answers[4].order, 1);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 3), ANSWER_GRANT);
	dispatcher_finish(&fixture.d);
}
END_TEST

START_TEST(protected_tier_goes_first_wherever_it_is_listed)
{
	static const dispatcher_tier_t reversed[] = {
		{ .is_protected = false, .weight = 9 },
		{ .is_protected = true, .weight = 1 },
	};
	fixture_t fixture = { 0 };

	fixture_init(&fixture, true);
	dispatcher_set_tiers(&fixture.d, reversed, G_N_ELEMENTS(reversed));
	fixture_set_runner(&fixture, "r", false);
	fixture_submit(&fixture, 1, 0, 2000);
	fixture_submit(&fixture, 2, 0, 2000);
	fixture_submit(&fixture, 3, 1, 2000);
	fixture_done(&fixture, 1, DONE_COMPLETED);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 3), ANSWER_GRANT);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 2), ANSWER_NONE);
	dispatcher_finish(&fixture.d);
}
END_TEST

START_TEST(earliest_deadline_goes_first_in_a_tier)
{
	fixture_t fixture = { 0 };
	want_t late, early;

	fixture_init(&fixture, true);
	fixture_set_runner(&fixture, "r", false);
	fixture_submit(&fixture, 1, 0, 2000);
	late = fixture_make_want(&fixture, 2, 0, 2000);
	early = fixture_make_want(&fixture, 3, 0, 2000);
	early.deadline -= SECOND;
	dispatcher_want(&fixture.d, &late, fixture.now);
	dispatcher_want(&fixture.d, &early, fixture.now);
	fixture_done(&fixture, 1, DONE_COMPLETED);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 3), ANSWER_GRANT);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 2), ANSWER_NONE);
	dispatcher_finish(&fixture.d);
}
END_TEST

/* Completes the wants one by one and adds up the tokens of each class. */
static void serve(fixture_t *fixture, uint32_t n, const uint32_t *class_of,
		  uint64_t *tokens_of_class, uint32_t rounds,
		  const uint32_t *tokens)
{
	uint64_t running = 0;

	for (uint32_t i = 0; i < rounds; i++) {
		fixture_done(fixture, running, DONE_COMPLETED);
		for (uint64_t a = 1; a <= n; a++)
			if (fixture_answer_kind(fixture, a) == ANSWER_GRANT &&
			    fixture->answers[a].order == i + 1) {
				running = a;
				tokens_of_class[class_of[a]] += tokens[a];
			}
	}
}

START_TEST(no_weighted_tier_starves)
{
	fixture_t fixture = { 0 };
	uint32_t class_of[401] = { 0 }, tokens[401] = { 0 };
	uint64_t served[3] = { 0 };

	fixture_init(&fixture, true);
	fixture_set_runner(&fixture, "r", false);
	fixture_submit(&fixture, 0, 1, 2000);
	for (uint64_t a = 1; a <= 400; a++) {
		class_of[a] = 1 + (a & 1);
		tokens[a] = 2000;
		fixture_submit(&fixture, a, class_of[a], tokens[a]);
	}
	serve(&fixture, 400, class_of, served, 200, tokens);
	ck_assert_int_ge(served[1], 2 * served[2]);
	ck_assert_int_le(served[1], 4 * served[2]);
	dispatcher_finish(&fixture.d);
}
END_TEST

START_TEST(teams_share_by_tokens_not_by_requests)
{
	fixture_t fixture = { 0 };
	uint32_t class_of[1501] = { 0 }, tokens[1501] = { 0 };
	uint64_t served[2] = { 0 };

	fixture.config.max_wants = 2000;
	fixture_init(&fixture, true);
	fixture_set_runner(&fixture, "r", false);
	fixture_submit(&fixture, 0, 1, 2000);
	for (uint64_t a = 1; a <= 1500; a++) {
		want_t want;

		class_of[a] = a > 1000;
		tokens[a] = class_of[a] ? 200000 : 2000;
		want = fixture_make_want(&fixture, a, 1, tokens[a]);
		g_strlcpy(want.team, class_of[a] ? "long" : "short",
			  sizeof(want.team));
		dispatcher_want(&fixture.d, &want, fixture.now);
	}
	serve(&fixture, 1500, class_of, served, 505, tokens);
	ck_assert_int_gt(served[0], 0);
	ck_assert_int_gt(served[1], 0);
	ck_assert_int_ge(served[0] * 2, served[1]);
	ck_assert_int_ge(served[1] * 2, served[0]);
	dispatcher_finish(&fixture.d);
}
END_TEST

START_TEST(full_queue_sheds_the_lowest_tier_first)
{
	fixture_t fixture = { .config = { .max_wants = 3 } };

	fixture_init(&fixture, true);
	fixture_set_runner(&fixture, "r", false);
	fixture_submit(&fixture, 9, 0, 2000);
	fixture_submit(&fixture, 1, 1, 10);
	fixture_submit(&fixture, 2, 2, 10);
	fixture_submit(&fixture, 3, 1, 10);
	fixture_submit(&fixture, 4, 0, 10);
	ck_assert_int_eq(fixture.answers[2].reason, REFUSE_SHED);
	fixture_submit(&fixture, 5, 2, 10);
	ck_assert_int_eq(fixture.answers[5].reason, REFUSE_QUEUE_FULL);
	fixture_submit(&fixture, 6, 0, 10);
	fixture_submit(&fixture, 7, 0, 10);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 1), ANSWER_REFUSE);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 3), ANSWER_REFUSE);
	fixture_submit(&fixture, 8, 0, 10);
	ck_assert_int_eq(fixture.answers[8].reason, REFUSE_QUEUE_FULL);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 4), ANSWER_NONE);
	ck_assert_int_eq(fixture_stats(&fixture).queued, 3);
	dispatcher_finish(&fixture.d);
}
END_TEST

START_TEST(full_queue_sheds_the_team_with_most_queued)
{
	fixture_t fixture = { .config = { .max_wants = 3 } };
	want_t other;

	fixture_init(&fixture, true);
	fixture_set_runner(&fixture, "r", false);
	for (uint64_t a = 1; a <= 4; a++)
		fixture_submit(&fixture, a, 1, 2000);
	other = fixture_make_want(&fixture, 5, 1, 100);
	g_strlcpy(other.team, "small", sizeof(other.team));
	dispatcher_want(&fixture.d, &other, fixture.now);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 5), ANSWER_NONE);
	ck_assert_int_eq(fixture.answers[4].reason, REFUSE_SHED);
	dispatcher_finish(&fixture.d);
}
END_TEST

START_TEST(tiers_may_change_under_queued_wants)
{
	static const dispatcher_tier_t only = { .is_protected = true,
						.weight = 1 };
	fixture_t fixture = { 0 };

	fixture_init(&fixture, true);
	fixture_set_runner(&fixture, "r", false);
	fixture_submit(&fixture, 1, 2, 2000);
	for (uint64_t a = 2; a <= 10; a++)
		fixture_submit(&fixture, a, a % 3, 10);
	dispatcher_set_tiers(&fixture.d, &only, 1);
	ck_assert_int_eq(fixture_stats(&fixture).queued, 9);
	fixture_done(&fixture, 1, DONE_COMPLETED);
	for (uint64_t a = 1; a <= 10; a++)
		ck_assert_int_eq(fixture.answers[a].answers, 1);
	dispatcher_finish(&fixture.d);
}
END_TEST

SUITE_MAIN("queue", protected_tier_goes_first,
	   protected_tier_goes_first_wherever_it_is_listed,
	   earliest_deadline_goes_first_in_a_tier, no_weighted_tier_starves,
	   teams_share_by_tokens_not_by_requests,
	   full_queue_sheds_the_lowest_tier_first,
	   full_queue_sheds_the_team_with_most_queued,
	   tiers_may_change_under_queued_wants)
