#include "core/runner_watch.h"
#include "tests/lib_suite.h"

enum { MEMORY = 60 };

/* Lists runners by name; one that begins with '-' is leaving. */
static void list(runner_watch_t *w, const char *const *names, int64_t now)
{
	runner_watch_begin(w);
	for (; *names; names++)
		runner_watch_add(w, *names + (**names == '-'), **names == '-');
	runner_watch_end(w, now);
}

START_TEST(a_dispatcher_that_is_behind_grants_a_leaving_runner)
{
	static const char *const all[] = { "a", "b", NULL };
	static const char *const leaves[] = { "a", "-b", NULL };
	static const char *const gone[] = { "a", NULL };
	runner_watch_t w;

	runner_watch_init(&w, MEMORY);
	ck_assert(runner_watch_may_use(&w, "b"));
	list(&w, all, 1);
	ck_assert(runner_watch_may_use(&w, "b"));
	list(&w, leaves, 2);
	ck_assert(!runner_watch_may_use(&w, "b"));
	list(&w, gone, 3);
	ck_assert(!runner_watch_may_use(&w, "b"));
	ck_assert(runner_watch_may_use(&w, "a"));
	ck_assert(runner_watch_may_use(&w, "new"));
	list(&w, all, 4);
	ck_assert(runner_watch_may_use(&w, "b"));
	runner_watch_finish(&w);
}
END_TEST

START_TEST(gone_runners_are_forgotten_in_time)
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

SUITE_MAIN("runner_watch", a_dispatcher_that_is_behind_grants_a_leaving_runner,
	   gone_runners_are_forgotten_in_time)
