#include "core/team_retry.h"
#include "tests/lib_suite.h"

static uint32_t take_all(team_retry_t *r, str_t team, uint32_t tier)
{
	uint32_t n = 0;

	while (n < 10000 && team_retry_take(r, team, tier))
		n++;
	return n;
}

START_TEST(budget_is_a_ratio_of_first_attempts_with_a_floor)
{
	static const struct {
		uint32_t first_attempts, retries;
	} cases[] = { { 0, 3 }, { 4, 4 }, { 20, 8 }, { 100000, 50 } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		team_retry_t r;

		team_retry_init(&r, 0.25, 8, 1);
		for (uint32_t n = 0; n < cases[i].first_attempts; n++)
			team_retry_count_first(&r, STR_LIT("t"), 0);
		ck_assert_int_eq(take_all(&r, STR_LIT("t"), 0),
				 cases[i].retries);
		team_retry_finish(&r);
	}
}
END_TEST

START_TEST(teams_and_tiers_have_separate_budgets)
{
	team_retry_t r;

	team_retry_init(&r, 0, 8, 1);
	take_all(&r, STR_LIT("a"), 0);
	ck_assert(!team_retry_take(&r, STR_LIT("a"), 0));
	ck_assert(team_retry_take(&r, STR_LIT("a"), 1));
	ck_assert(team_retry_take(&r, STR_LIT("b"), 0));
	team_retry_set_ratio(&r, STR_LIT("a"), 0, 1);
	team_retry_count_first(&r, STR_LIT("a"), 0);
	ck_assert(team_retry_take(&r, STR_LIT("a"), 0));
	team_retry_finish(&r);
}
END_TEST

START_TEST(table_is_bounded)
{
	team_retry_t r;

	team_retry_init(&r, 0, 4, 1);
	for (uint32_t i = 0; i < 100; i++) {
		team_retry_count_first(&r, STR_LIT("t"), i);
		ck_assert_int_le(g_hash_table_size(r.budgets), 4);
	}
	team_retry_finish(&r);
}
END_TEST

START_TEST(retry_after_grows_with_backlog_and_is_jittered)
{
	static const struct {
		uint32_t backlog, least, below;
	} cases[] = {
		{ 0, 100, 200 },
		{ 1000, 1000, 2000 },
		{ 5000, 5000, 10000 },
		{ UINT32_MAX, 60000, 120000 },
	};
	team_retry_t r;

	team_retry_init(&r, 0, 4, 1);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		bool differs = false;
		uint32_t first = retry_after_ms(&r, cases[i].backlog);

		for (int n = 0; n < 100; n++) {
			uint32_t ms = retry_after_ms(&r, cases[i].backlog);

			ck_assert_int_ge(ms, cases[i].least);
			ck_assert_int_lt(ms, cases[i].below);
			differs |= ms != first;
		}
		ck_assert(differs);
	}
	team_retry_finish(&r);
}
END_TEST

SUITE_MAIN("team_retry", budget_is_a_ratio_of_first_attempts_with_a_floor,
	   teams_and_tiers_have_separate_budgets, table_is_bounded,
	   retry_after_grows_with_backlog_and_is_jittered)
