/* The history of releases, driven by events without a network. */
#include "core/release_history.h"
#include "tests/lib_suite.h"

#define WINDOW INT64_C(100)

static void init(release_history_t *h)
{
	release_history_init(h);
	release_history_set_window(h, WINDOW);
}

static uint64_t only(const release_history_t *h, int64_t now)
{
	return release_history_only(h, "s", now);
}

START_TEST(a_service_with_one_release_for_the_window_has_only_that)
{
	release_history_t h;

	init(&h);
	release_history_begin(&h, 1);
	release_history_see(&h, "s", "old", 1);
	/* What was there before this process isn't known yet. */
	ck_assert_uint_eq(only(&h, 2), 0);
	release_history_see(&h, "s", "old", WINDOW + 2);
	ck_assert_uint_eq(only(&h, WINDOW + 2),
			  release_history_hash("s", "old"));
	release_history_finish(&h);
}
END_TEST

/* Guards against joining a stream of a release that has just left. */
START_TEST(a_release_counts_until_its_streams_have_ended)
{
	release_history_t h;

	init(&h);
	release_history_begin(&h, 1);
	release_history_set_complete(&h, "s");
	release_history_see(&h, "s", "old", 1);
	ck_assert_uint_eq(only(&h, 1), release_history_hash("s", "old"));
	release_history_see(&h, "s", "new", 2);
	ck_assert_uint_eq(only(&h, 2), 0);
	for (int64_t now = 3; now <= 2 * WINDOW; now++)
		release_history_see(&h, "s", "new", now);
	ck_assert_uint_eq(only(&h, 1 + WINDOW), 0);
	ck_assert_uint_eq(only(&h, 2 + WINDOW),
			  release_history_hash("s", "new"));
	release_history_finish(&h);
}
END_TEST

/* Guards against a process that takes the release it sees for the only one. */
START_TEST(what_a_record_names_counts_as_seen)
{
	release_history_t h;

	init(&h);
	release_history_begin(&h, 1);
	release_history_see(&h, "s", "new", 1);
	release_history_see(&h, "s", "old", 1);
	release_history_set_complete(&h, "s");
	ck_assert_uint_eq(only(&h, 2), 0);
	ck_assert_uint_eq(release_history_only(&h, "other", 2), 0);
	release_history_finish(&h);
}
END_TEST

static void add(void *ctx, const char *service, const char *release)
{
	g_string_append_printf(ctx, "%s:%s ", service, release);
}

/* Guards against a stream that goes on at another service of its route. */
START_TEST(the_same_release_of_two_services_differs)
{
	ck_assert_uint_ne(release_history_hash("s", "v1"),
			  release_history_hash("t", "v1"));
	ck_assert_uint_ne(release_history_hash("s", "v1"),
			  release_history_hash("s", "v2"));
}
END_TEST

START_TEST(releases_are_listed_in_order_and_bounded)
{
	release_history_t h;
	g_autoptr(GString) text = g_string_new("");

	init(&h);
	release_history_see(&h, "t", "a", 1);
	release_history_see(&h, "s", "b", 1);
	release_history_see(&h, "s", "a", 1);
	release_history_each(&h, 1, add, text);
	ck_assert_str_eq(text->str, "s:a s:b t:a ");
	for (int i = 0; i < 2 * RELEASE_HISTORY_MAX; i++) {
		g_autofree char *name = g_strdup_printf("r%d", i);

		release_history_see(&h, "s", name, 2 + i);
	}
	g_string_truncate(text, 0);
	release_history_each(&h, 2, add, text);
	ck_assert_ptr_null(strstr(text->str, "s:a"));
	ck_assert_ptr_nonnull(strstr(text->str, "s:r31"));
	release_history_finish(&h);
}
END_TEST

SUITE_MAIN("release_history",
	   a_service_with_one_release_for_the_window_has_only_that,
	   a_release_counts_until_its_streams_have_ended,
	   what_a_record_names_counts_as_seen,
	   the_same_release_of_two_services_differs,
	   releases_are_listed_in_order_and_bounded)
