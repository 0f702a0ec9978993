/* A prefix common to all requests must not send them all to one group. */
#include "core/hot_prefix.h"
#include "tests/lib_suite.h"

enum { GROUPS = 10, REQUESTS = 1000 };

START_TEST(a_prefix_that_all_share_is_spread)
{
	hot_prefix_t p = { .n = 0 };
	int n_affine = 0;

	for (int i = 0; i < REQUESTS; i++)
		n_affine += !hot_prefix_record(&p, 7, GROUPS);
	ck_assert_int_lt(n_affine, 5);
}
END_TEST

START_TEST(many_prefixes_keep_their_owner_groups)
{
	hot_prefix_t p = { .n = 0 };
	int spread = 0;

	for (int i = 0; i < REQUESTS; i++)
		spread +=
			hot_prefix_record(&p, (uint64_t)(i * 7) % 150, GROUPS);
	ck_assert_int_eq(spread, 0);
}
END_TEST

/* One prefix becomes popular, then no longer is. */
START_TEST(hot_prefix_is_detected_and_expires)
{
	hot_prefix_t p = { .n = 0 };
	bool is_hot = false;

	for (int i = 0; i < HOT_PREFIX_WINDOW; i++)
		hot_prefix_record(&p, (uint64_t)i + 100, GROUPS);
	for (int i = 0; i < HOT_PREFIX_WINDOW; i++)
		is_hot = hot_prefix_record(&p, i % 2 ? 7 : (uint64_t)i + 500,
					   GROUPS);
	ck_assert(is_hot);
	for (int i = 0; i < HOT_PREFIX_WINDOW; i++)
		hot_prefix_record(&p, (uint64_t)i + 100, GROUPS);
	ck_assert(!hot_prefix_record(&p, 7, GROUPS));
}
END_TEST

SUITE_MAIN("hot_prefix", a_prefix_that_all_share_is_spread,
	   many_prefixes_keep_their_owner_groups,
	   hot_prefix_is_detected_and_expires)
