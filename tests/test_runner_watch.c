#include "core/runner_watch.h"
#include "tests/lib_suite.h"

enum { MEMORY = 60, INCARNATION = 1000 };

#define MS INT64_C(1000)
#define SECOND INT64_C(1000000)

/* Lists runners by name; one that begins with '-' is leaving. */
static void list(runner_watch_t *w, const char *const *names, int64_t now)
{
	runner_watch_begin(w);
	for (; *names; names++)
		runner_watch_add(w, *names + (**names == '-'), INCARNATION,
				 **names == '-');
	runner_watch_end(w, now);
}

static runner_use_t use_at(const runner_watch_t *w, const char *name,
			   int64_t now)
{
	return runner_watch_status(w, name, now).use;
}

static bool may_use(const runner_watch_t *w, const char *name)
{
	return use_at(w, name, 0) == RUNNER_USABLE;
}

static const char *const all[] = { "a", "b", NULL };

START_TEST(leaving_runner_is_not_used_even_if_granted)
{
	static const char *const leaves[] = { "a", "-b", NULL };
	static const char *const without[] = { "a", NULL };
	runner_watch_t w;

	runner_watch_init(&w, MEMORY);
	ck_assert(may_use(&w, "b"));
	list(&w, all, 1);
	ck_assert(may_use(&w, "b"));
	list(&w, leaves, 2);
	ck_assert(!may_use(&w, "b"));
	list(&w, without, 3);
	ck_assert(!may_use(&w, "b"));
	ck_assert(may_use(&w, "a"));
	ck_assert(may_use(&w, "new"));
	list(&w, all, 4);
	ck_assert(may_use(&w, "b"));
	runner_watch_finish(&w);
}
END_TEST

START_TEST(removed_runners_expire)
{
	static const char *const one[] = { "a", NULL };
	static const char *const none[] = { NULL };
	runner_watch_t w;

	runner_watch_init(&w, MEMORY);
	list(&w, one, 1);
	list(&w, none, 2);
	list(&w, none, 2 + MEMORY);
	ck_assert_uint_eq(g_hash_table_size(w.runners), 1);
	list(&w, none, 3 + MEMORY);
	ck_assert_uint_eq(g_hash_table_size(w.runners), 0);
	runner_watch_finish(&w);
}
END_TEST

/* The store may lag, or drop the entry and list it again. */
START_TEST(runner_that_reported_leaving_stays_refused)
{
	static const char *const without[] = { "a", NULL };
	runner_watch_t w;

	runner_watch_init(&w, 100 * SECOND);
	list(&w, all, 1);
	runner_watch_set_leaving(&w, "b", INCARNATION, 5);
	for (int64_t now = 6; now < 9; now++) {
		list(&w, all, now);
		ck_assert_int_eq(use_at(&w, "b", now), RUNNER_REPORTED_LEAVING);
	}
	list(&w, without, 10);
	list(&w, all, 11);
	ck_assert_int_eq(use_at(&w, "b", 11), RUNNER_REPORTED_LEAVING);
	ck_assert_int_eq(runner_watch_status(&w, "b", 11).reported_at, 5);
	ck_assert_int_eq(use_at(&w, "a", 11), RUNNER_USABLE);
	runner_watch_finish(&w);
}
END_TEST

START_TEST(the_next_incarnation_of_a_name_is_served)
{
	runner_watch_t w;

	runner_watch_init(&w, MEMORY);
	list(&w, all, 1);
	runner_watch_set_leaving(&w, "a", INCARNATION, 2);
	runner_watch_pause(&w, "b", INCARNATION, 5000, 2);
	runner_watch_begin(&w);
	runner_watch_add(&w, "a", INCARNATION + 1, false);
	runner_watch_add(&w, "b", INCARNATION + 1, false);
	runner_watch_end(&w, 3);
	ck_assert_int_eq(use_at(&w, "a", 3), RUNNER_USABLE);
	ck_assert_int_eq(use_at(&w, "b", 3), RUNNER_USABLE);
	/*
	 * A late answer of the previous incarnation does not affect this one.
	 */
	runner_watch_set_leaving(&w, "a", INCARNATION, 4);
	runner_watch_pause(&w, "b", INCARNATION, 5000, 4);
	ck_assert_int_eq(use_at(&w, "a", 5), RUNNER_USABLE);
	ck_assert_int_eq(use_at(&w, "b", 5), RUNNER_USABLE);
	runner_watch_finish(&w);
}
END_TEST

START_TEST(a_pause_holds_until_the_latest_end)
{
	static const char *const without[] = { "a", NULL };
	runner_watch_t w;

	runner_watch_init(&w, 100 * SECOND);
	list(&w, all, 1);
	ck_assert_int_eq(runner_watch_pause(&w, "b", INCARNATION, 3000, 0),
			 3000);
	ck_assert_int_eq(
		runner_watch_pause(&w, "b", INCARNATION, 200, 1 * SECOND), 200);
	ck_assert_int_eq(use_at(&w, "b", 2999 * MS), RUNNER_PAUSED);
	ck_assert_int_eq(runner_watch_status(&w, "b", MS).paused_until,
			 3 * SECOND);
	/* An entry that expires and is listed again ends no pause. */
	list(&w, without, 1500 * MS);
	list(&w, all, 1600 * MS);
	ck_assert_int_eq(use_at(&w, "b", 1700 * MS), RUNNER_PAUSED);
	ck_assert_int_eq(use_at(&w, "b", 3 * SECOND), RUNNER_USABLE);
	ck_assert_int_eq(use_at(&w, "a", MS), RUNNER_USABLE);
	runner_watch_finish(&w);
}
END_TEST

START_TEST(invalid_pause_is_bounded)
{
	static const struct {
		int64_t stated_ms, noted_ms;
	} cases[] = {
		{ -1, RUNNER_PAUSE_DEFAULT_MS },
		{ 1, 1 },
		{ RUNNER_PAUSE_MAX_MS, RUNNER_PAUSE_MAX_MS },
		{ INT64_C(365) * 24 * 3600 * 1000, RUNNER_PAUSE_MAX_MS },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		int64_t end = cases[i].noted_ms * MS;
		runner_watch_t w;

		runner_watch_init(&w, MEMORY);
		list(&w, all, 1);
		ck_assert_int_eq(runner_watch_pause(&w, "a", INCARNATION,
						    cases[i].stated_ms, 0),
				 cases[i].noted_ms);
		ck_assert_int_eq(use_at(&w, "a", end - 1), RUNNER_PAUSED);
		ck_assert_int_eq(use_at(&w, "a", end), RUNNER_USABLE);
		runner_watch_finish(&w);
	}
}
END_TEST

/* A runner may answer before the list contains it. */
START_TEST(reports_of_an_unlisted_runner_apply)
{
	runner_watch_t w;

	runner_watch_init(&w, MEMORY);
	runner_watch_set_leaving(&w, "x", 0, 1);
	runner_watch_pause(&w, "y", 0, 1000, 1);
	ck_assert_int_eq(use_at(&w, "x", 2), RUNNER_REPORTED_LEAVING);
	ck_assert_int_eq(use_at(&w, "y", 2), RUNNER_PAUSED);
	runner_watch_finish(&w);
}
END_TEST

SUITE_MAIN("runner_watch", leaving_runner_is_not_used_even_if_granted,
	   removed_runners_expire, runner_that_reported_leaving_stays_refused,
	   the_next_incarnation_of_a_name_is_served,
	   a_pause_holds_until_the_latest_end, invalid_pause_is_bounded,
	   reports_of_an_unlisted_runner_apply)
