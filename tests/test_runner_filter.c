#include "core/runner_filter.h"
#include "tests/lib_suite.h"

enum { RETENTION = 60, INCARNATION = 1000 };

#define MS INT64_C(1000)
#define SECOND INT64_C(1000000)

/* Lists runners by name; one that begins with '-' is leaving. */
static void list(runner_filter_t *f, const char *const *names, int64_t now)
{
	runner_filter_begin(f);
	for (; *names; names++)
		runner_filter_add(f, *names + (**names == '-'), INCARNATION,
				  **names == '-');
	runner_filter_end(f, now);
}

static runner_use_t use_at(const runner_filter_t *f, const char *name,
			   int64_t now)
{
	return runner_filter_status(f, name, now).use;
}

static bool may_use(const runner_filter_t *f, const char *name)
{
	return use_at(f, name, 0) == RUNNER_USABLE;
}

static const char *const all[] = { "a", "b", NULL };

START_TEST(leaving_runner_is_not_used_even_if_granted)
{
	static const char *const leaves[] = { "a", "-b", NULL };
	static const char *const without[] = { "a", NULL };
	runner_filter_t f;

	runner_filter_init(&f, RETENTION);
	ck_assert(may_use(&f, "b"));
	list(&f, all, 1);
	ck_assert(may_use(&f, "b"));
	list(&f, leaves, 2);
	ck_assert(!may_use(&f, "b"));
	list(&f, without, 3);
	ck_assert(!may_use(&f, "b"));
	ck_assert(may_use(&f, "a"));
	ck_assert(may_use(&f, "new"));
	list(&f, all, 4);
	ck_assert(may_use(&f, "b"));
	runner_filter_finish(&f);
}
END_TEST

START_TEST(removed_runners_expire)
{
	static const char *const one[] = { "a", NULL };
	static const char *const none[] = { NULL };
	runner_filter_t f;

	runner_filter_init(&f, RETENTION);
	list(&f, one, 1);
	list(&f, none, 2);
	list(&f, none, 2 + RETENTION);
	ck_assert_uint_eq(g_hash_table_size(f.runners), 1);
	list(&f, none, 3 + RETENTION);
	ck_assert_uint_eq(g_hash_table_size(f.runners), 0);
	runner_filter_finish(&f);
}
END_TEST

/* The store may lag, or drop the entry and list it again. */
START_TEST(runner_that_reported_leaving_stays_refused)
{
	static const char *const without[] = { "a", NULL };
	runner_filter_t f;

	runner_filter_init(&f, 100 * SECOND);
	list(&f, all, 1);
	runner_filter_set_leaving(&f, "b", INCARNATION, 5);
	for (int64_t now = 6; now < 9; now++) {
		list(&f, all, now);
		ck_assert_int_eq(use_at(&f, "b", now), RUNNER_REPORTED_LEAVING);
	}
	list(&f, without, 10);
	list(&f, all, 11);
	ck_assert_int_eq(use_at(&f, "b", 11), RUNNER_REPORTED_LEAVING);
	ck_assert_int_eq(runner_filter_status(&f, "b", 11).reported_at, 5);
	ck_assert_int_eq(use_at(&f, "a", 11), RUNNER_USABLE);
	runner_filter_finish(&f);
}
END_TEST

START_TEST(next_incarnation_of_a_runner_is_usable)
{
	runner_filter_t f;

	runner_filter_init(&f, RETENTION);
	list(&f, all, 1);
	runner_filter_set_leaving(&f, "a", INCARNATION, 2);
	runner_filter_pause(&f, "b", INCARNATION, 5000, 2);
	runner_filter_begin(&f);
	runner_filter_add(&f, "a", INCARNATION + 1, false);
	runner_filter_add(&f, "b", INCARNATION + 1, false);
	runner_filter_end(&f, 3);
	ck_assert_int_eq(use_at(&f, "a", 3), RUNNER_USABLE);
	ck_assert_int_eq(use_at(&f, "b", 3), RUNNER_USABLE);
	/*
	 * A late answer of the previous incarnation does not affect this one.
	 */
	runner_filter_set_leaving(&f, "a", INCARNATION, 4);
	runner_filter_pause(&f, "b", INCARNATION, 5000, 4);
	ck_assert_int_eq(use_at(&f, "a", 5), RUNNER_USABLE);
	ck_assert_int_eq(use_at(&f, "b", 5), RUNNER_USABLE);
	runner_filter_finish(&f);
}
END_TEST

START_TEST(a_pause_holds_until_the_latest_end)
{
	static const char *const without[] = { "a", NULL };
	runner_filter_t f;

	runner_filter_init(&f, 100 * SECOND);
	list(&f, all, 1);
	ck_assert_int_eq(runner_filter_pause(&f, "b", INCARNATION, 3000, 0),
			 3000);
	ck_assert_int_eq(
		runner_filter_pause(&f, "b", INCARNATION, 200, 1 * SECOND),
		200);
	ck_assert_int_eq(use_at(&f, "b", 2999 * MS), RUNNER_PAUSED);
	ck_assert_int_eq(runner_filter_status(&f, "b", MS).paused_until,
			 3 * SECOND);
	/* An entry that expires and is listed again ends no pause. */
	list(&f, without, 1500 * MS);
	list(&f, all, 1600 * MS);
	ck_assert_int_eq(use_at(&f, "b", 1700 * MS), RUNNER_PAUSED);
	ck_assert_int_eq(use_at(&f, "b", 3 * SECOND), RUNNER_USABLE);
	ck_assert_int_eq(use_at(&f, "a", MS), RUNNER_USABLE);
	runner_filter_finish(&f);
}
END_TEST

START_TEST(invalid_pause_is_bounded)
{
	static const struct {
		int64_t requested_ms, applied_ms;
	} cases[] = {
		{ -1, RUNNER_PAUSE_DEFAULT_MS },
		{ 1, 1 },
		{ RUNNER_PAUSE_MAX_MS, RUNNER_PAUSE_MAX_MS },
		{ INT64_C(365) * 24 * 3600 * 1000, RUNNER_PAUSE_MAX_MS },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		int64_t end = cases[i].applied_ms * MS;
		runner_filter_t f;

		runner_filter_init(&f, RETENTION);
		list(&f, all, 1);
		ck_assert_int_eq(runner_filter_pause(&f, "a", INCARNATION,
						     cases[i].requested_ms, 0),
				 cases[i].applied_ms);
		ck_assert_int_eq(use_at(&f, "a", end - 1), RUNNER_PAUSED);
		ck_assert_int_eq(use_at(&f, "a", end), RUNNER_USABLE);
		runner_filter_finish(&f);
	}
}
END_TEST

/* A runner may answer before the list contains it. */
START_TEST(reports_of_an_unlisted_runner_apply)
{
	runner_filter_t f;

	runner_filter_init(&f, RETENTION);
	runner_filter_set_leaving(&f, "x", 0, 1);
	runner_filter_pause(&f, "y", 0, 1000, 1);
	ck_assert_int_eq(use_at(&f, "x", 2), RUNNER_REPORTED_LEAVING);
	ck_assert_int_eq(use_at(&f, "y", 2), RUNNER_PAUSED);
	runner_filter_finish(&f);
}
END_TEST

SUITE_MAIN("runner_filter", leaving_runner_is_not_used_even_if_granted,
	   removed_runners_expire, runner_that_reported_leaving_stays_refused,
	   next_incarnation_of_a_runner_is_usable,
	   a_pause_holds_until_the_latest_end, invalid_pause_is_bounded,
	   reports_of_an_unlisted_runner_apply)
