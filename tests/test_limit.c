#include "core/limit.h"
#include "tests/lib_suite.h"

#define SECOND INT64_C(1000000)

START_TEST(rate_is_limited_with_burst)
{
	static const struct {
		int64_t at;
		bool is_taken;
	} cases[] = {
		{ 0, true },
		{ 0, true },
		{ 0, false },
		{ SECOND / 4, false },
		{ SECOND / 2, true },
		{ SECOND / 2, false },
		{ 100 * SECOND, true },
		{ 100 * SECOND, true },
		{ 100 * SECOND, false },
		{ 99 * SECOND, false }, /* the clock steps back */
	};
	limit_t l;
	uint32_t retry_ms;

	limit_init(&l, 4, 0);
	ck_assert(limit_set(&l, STR_LIT("t"), 2, 2, 0));
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		bool is_taken =
			limit_take(&l, STR_LIT("t"), cases[i].at, &retry_ms);

		ck_assert_msg(is_taken == cases[i].is_taken, "case %zu", i);
		ck_assert_int_eq(retry_ms == 0, is_taken);
		ck_assert_int_le(retry_ms, 501);
	}
	limit_finish(&l);
}
END_TEST

START_TEST(concurrency_is_limited_until_release)
{
	limit_t l;
	uint32_t retry_ms;

	limit_init(&l, 4, 0);
	limit_set(&l, STR_LIT("t"), 0, 0, 1);
	ck_assert(limit_take(&l, STR_LIT("t"), 0, &retry_ms));
	ck_assert(!limit_take(&l, STR_LIT("t"), SECOND, &retry_ms));
	ck_assert_int_gt(retry_ms, 0);
	limit_release(&l, STR_LIT("t"));
	limit_release(&l, STR_LIT("t")); /* a surplus release changes nothing */
	ck_assert(limit_take(&l, STR_LIT("t"), SECOND, &retry_ms));
	ck_assert(!limit_take(&l, STR_LIT("t"), SECOND, &retry_ms));
	limit_finish(&l);
}
END_TEST

START_TEST(unnamed_teams_get_the_default_quota)
{
	limit_t l;
	uint32_t retry_ms;

	limit_init(&l, 4, 0);
	limit_set(&l, STR_LIT("named"), 0, 0, 0);
	limit_set_default(&l, 1, 1, 0);
	ck_assert(limit_take(&l, STR_LIT("x"), 0, &retry_ms));
	ck_assert(!limit_take(&l, STR_LIT("x"), 0, &retry_ms));
	ck_assert(limit_take(&l, STR_LIT("y"), 0, &retry_ms));
	for (int i = 0; i < 5; i++)
		ck_assert(limit_take(&l, STR_LIT("named"), 0, &retry_ms));
	limit_finish(&l);
}
END_TEST

START_TEST(table_is_bounded)
{
	limit_t l;
	uint32_t retry_ms;
	char name[LIMIT_NAME_SIZE + 1];

	limit_init(&l, 2, 0);
	for (int i = 0; i < 100; i++) {
		g_snprintf(name, sizeof(name), "team-%d", i);
		ck_assert(limit_take(&l, str_from(name), 0, &retry_ms));
		limit_release(&l, str_from(name));
		ck_assert_int_le(g_hash_table_size(l.teams), 2);
	}
	ck_assert(limit_take(&l, STR_LIT("a"), 0, &retry_ms));
	ck_assert(limit_take(&l, STR_LIT("b"), 0, &retry_ms));
	ck_assert(!limit_take(&l, STR_LIT("c"), 0, &retry_ms));
	ck_assert_int_gt(retry_ms, 0);
	memset(name, 'x', sizeof(name));
	ck_assert(!limit_set(&l, (str_t){ name, sizeof(name) }, 1, 1, 1));
	limit_finish(&l);
}
END_TEST

START_TEST(new_quota_keeps_requests_in_progress)
{
	limit_t l;
	uint32_t retry_ms;

	limit_init(&l, 2, 0);
	limit_set(&l, STR_LIT("t"), 0, 0, 2);
	ck_assert(limit_take(&l, STR_LIT("t"), 0, &retry_ms));
	limit_set(&l, STR_LIT("t"), 0, 0, 1);
	ck_assert(!limit_take(&l, STR_LIT("t"), 0, &retry_ms));
	limit_finish(&l);
}
END_TEST

START_TEST(zone_shares_do_not_exceed_the_whole_quota)
{
	limit_quota_t whole = { 10, 9, 30 };
	double rate = 0;
	uint32_t concurrency = 0;

	for (uint32_t weight = 1; weight <= 4; weight++) {
		limit_quota_t part = limit_share(whole, weight, 10);

		rate += part.rate;
		concurrency += part.concurrency;
	}
	ck_assert(rate <= whole.rate + 1e-9);
	ck_assert_int_le(concurrency, whole.concurrency);
	ck_assert_int_eq(limit_share(whole, 1, 100).concurrency, 1);
}
END_TEST

SUITE_MAIN("limit", rate_is_limited_with_burst,
	   concurrency_is_limited_until_release,
	   unnamed_teams_get_the_default_quota, table_is_bounded,
	   new_quota_keeps_requests_in_progress,
	   zone_shares_do_not_exceed_the_whole_quota)
