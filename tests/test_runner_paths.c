/*
 * The way by which a daemon reaches runners: its own connections, or a proxy's
 * while its own links are cut.
 */
#include "core/runner_paths.h"
#include "tests/lib_suite.h"

#define MS INT64_C(1000)
#define SECOND INT64_C(1000000)

#define NEAR "10.0.1.1:9"
#define NEAR_TOO "10.0.1.2:9"
#define FAR "10.0.2.1:9"

static void begin(runner_paths_t *p)
{
	runner_paths_init(p, "self");
	runner_paths_begin_proxies(p);
	runner_paths_add_proxy(p, "near", NEAR, true);
	runner_paths_add_proxy(p, "far", FAR, false);
	runner_paths_end_proxies(p);
}

START_TEST(a_runner_whose_link_is_cut_is_reached_through_a_proxy)
{
	runner_paths_t p;

	begin(&p);
	runner_paths_on_heard(&p, SECOND);
	ck_assert(runner_paths_is_direct(&p, "a", SECOND));
	ck_assert(runner_paths_on_failure(&p, "a", SECOND));
	ck_assert(!runner_paths_on_failure(&p, "a", SECOND));
	ck_assert(!runner_paths_is_direct(&p, "a", SECOND));
	ck_assert(runner_paths_is_direct(&p, "b", SECOND));
	ck_assert(!runner_paths_is_cut_off(&p));
	ck_assert_str_eq(runner_paths_proxy(&p, "a", SECOND), NEAR);
	runner_paths_finish(&p);
}
END_TEST

/* Guards against: each runner costs a daemon without links a failed attempt. */
START_TEST(a_daemon_that_reaches_no_runner_uses_proxies_for_all)
{
	runner_paths_t p;

	begin(&p);
	runner_paths_on_heard(&p, SECOND);
	runner_paths_on_failure(&p, "a", 2 * SECOND);
	runner_paths_on_failure(&p, "b", 2 * SECOND);
	ck_assert(runner_paths_is_cut_off(&p));
	ck_assert(!runner_paths_is_direct(&p, "c", 2 * SECOND));
	/* One that answers shows that the links work. */
	runner_paths_on_connected(&p, "c", 3 * SECOND);
	ck_assert(!runner_paths_is_cut_off(&p));
	ck_assert(runner_paths_is_direct(&p, "c", 3 * SECOND));
	ck_assert(runner_paths_is_direct(&p, "d", 3 * SECOND));
	ck_assert(!runner_paths_is_direct(&p, "a", 3 * SECOND));
	runner_paths_finish(&p);
}
END_TEST

START_TEST(a_runner_that_is_down_is_no_cut_link)
{
	runner_paths_t p;

	begin(&p);
	runner_paths_on_failure(&p, "a", SECOND);
	runner_paths_on_failure(&p, "b", SECOND);
	ck_assert(runner_paths_is_cut_off(&p));
	runner_paths_on_down(&p, "a");
	runner_paths_on_down(&p, "b");
	ck_assert(!runner_paths_is_cut_off(&p));
	ck_assert(runner_paths_is_direct(&p, "a", SECOND));
	runner_paths_finish(&p);
}
END_TEST

START_TEST(own_links_are_tried_again_while_they_are_wanted)
{
	runner_paths_t p;
	int64_t now = SECOND;
	int trials = 0;

	begin(&p);
	runner_paths_on_failure(&p, "a", now);
	ck_assert_ptr_null(runner_paths_next_trial(&p, now));
	for (; now < 6 * SECOND; now += 50 * MS)
		trials += runner_paths_next_trial(&p, now) != NULL;
	ck_assert_int_ge(trials, 8);
	ck_assert_int_le(trials, 10);
	/* Nobody asks for it any more. */
	ck_assert_ptr_null(runner_paths_next_trial(&p, 60 * SECOND));
	ck_assert(runner_paths_is_direct(&p, "a", 60 * SECOND));
	runner_paths_finish(&p);
}
END_TEST

START_TEST(proxies_of_no_use_are_passed_over)
{
	runner_paths_t p;

	begin(&p);
	runner_paths_on_proxy_failure(&p, NEAR, SECOND);
	ck_assert_str_eq(runner_paths_proxy(&p, "a", SECOND), FAR);
	runner_paths_on_proxy_failure(&p, FAR, SECOND);
	ck_assert_ptr_null(runner_paths_proxy(&p, "a", SECOND));
	/* What is known of a proxy outlives a new list. */
	runner_paths_begin_proxies(&p);
	runner_paths_add_proxy(&p, "near", NEAR, true);
	runner_paths_end_proxies(&p);
	ck_assert_ptr_null(runner_paths_proxy(&p, "a", SECOND + 500 * MS));
	ck_assert_str_eq(runner_paths_proxy(&p, "a", 3 * SECOND), NEAR);
	runner_paths_finish(&p);
}
END_TEST

START_TEST(runners_are_spread_over_the_proxies_of_the_zone)
{
	runner_paths_t p;
	int used[2] = { 0 };

	begin(&p);
	runner_paths_begin_proxies(&p);
	runner_paths_add_proxy(&p, "near", NEAR, true);
	runner_paths_add_proxy(&p, "near too", NEAR_TOO, true);
	runner_paths_add_proxy(&p, "far", FAR, false);
	runner_paths_end_proxies(&p);
	for (int i = 0; i < 100; i++) {
		g_autofree char *runner = g_strdup_printf("r%d", i);
		const char *proxy = runner_paths_proxy(&p, runner, 0);

		ck_assert_str_ne(proxy, FAR);
		used[!strcmp(proxy, NEAR)]++;
	}
	ck_assert_int_ge(MIN(used[0], used[1]), 25);
	runner_paths_finish(&p);
}
END_TEST

START_TEST(without_proxies_all_is_direct)
{
	runner_paths_t p;

	runner_paths_init(&p, "self");
	runner_paths_on_failure(&p, "a", SECOND);
	runner_paths_on_failure(&p, "b", SECOND);
	ck_assert(runner_paths_is_direct(&p, "a", SECOND));
	ck_assert_ptr_null(runner_paths_proxy(&p, "a", SECOND));
	runner_paths_finish(&p);
}
END_TEST

SUITE_MAIN("runner paths",
	   a_runner_whose_link_is_cut_is_reached_through_a_proxy,
	   a_daemon_that_reaches_no_runner_uses_proxies_for_all,
	   a_runner_that_is_down_is_no_cut_link,
	   own_links_are_tried_again_while_they_are_wanted,
	   proxies_of_no_use_are_passed_over,
	   runners_are_spread_over_the_proxies_of_the_zone,
	   without_proxies_all_is_direct)
