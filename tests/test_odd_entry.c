/*
 * Another writer leaves an odd entry among those of the runners. It names no
 * runner to use, the other entries hold, and changes that follow are taken.
 */
#include <string.h>

#include "platform/fleet_json.h"
#include "tests/lib_store_fixture.h"
#include "tests/lib_suite.h"

#define OTHERS "\"version\":\"1\",\"warmup_left_ms\":0,\"sequence\":1,"
#define ENTRY(field)                                                            \
	"{\"service\":\"s\",\"address\":\"127.0.0.1:9\",\"zone\":\"z\"," OTHERS \
	"\"slots\":4,\"state\":\"ready\",\"born\":7," field "}"
#define ADDRESS(address)                            \
	"{\"service\":\"s\",\"address\":\"" address \
	"\",\"zone\":\"z\"," OTHERS                 \
	"\"slots\":4,\"state\":\"ready\",\"born\":7}"

enum { DEPTH = 20 * 1000 };

/* Entries that name no runner. */
static const char *const odd[] = {
	ADDRESS("127.0.0.1:99999"),
	ADDRESS("127.0.0.1:65536"),
	ADDRESS("127.0.0.1:0"),
	ADDRESS("127.0.0.1:-9"),
	ADDRESS("127.0.0.1:9x"),
	ADDRESS("127.0.0.1"),
	ADDRESS("127.0.0.1:"),
	ADDRESS("127.0.0.999:9"),
	ADDRESS(":9"),
	ADDRESS("host:9"),
	ADDRESS(""),
	ENTRY("\"slots\":1e99"),
	"{\"service\":\"s\",\"address\":\"127.0.0.1:9\",\"zone\":\"z\"," OTHERS
	"\"slots\":1e999,\"state\":\"ready\"}",
	"{\"service\":\"s\",\"address\":\"127.0.0.1:9\",\"zone\":\"z\"," OTHERS
	"\"slots\":99999999999999999999,\"state\":\"ready\"}",
	"{\"service\":\"s\",\"address\":\"127.0.0.1:9\",\"zone\":\"z\"," OTHERS
	"\"slots\":4,\"state\":\"ready\",\"born\":9999999999999999999999}",
	"{\"service\":\"s\",\"address\":\"127.0.0.1:9\",\"zone\":\"z\"," OTHERS
	"\"slots\":4,\"state\":\"ready\",\"born\":1e300}",
	"{\"service\":\"s\",\"address\":\"127.0.0.1:9\",\"zone\":\"z\","
	"\"version\":\"1\",\"warmup_left_ms\":0,"
	"\"slots\":4,\"state\":\"ready\",\"sequence\":-1}",
	"{\"service\":{},\"address\":[],\"zone\":1,\"slots\":\"\",\"state\":0}",
	"[]",
	"null",
	"\xff\xfe",
	"\x01",
};

/* Returns an entry with a field in which OPEN and CLOSE nest deeply. */
static char *nested_entry(const char *open, const char *close)
{
	g_autoptr(GString) text = g_string_new(
		"{\"service\":\"s\",\"address\":\"127.0.0.1:9\",\"zone\":"
		"\"z\"," OTHERS "\"slots\":4,\"state\":\"ready\",\"x\":");

	for (int i = 0; i < DEPTH; i++)
		g_string_append(text, open);
	g_string_append_c(text, '0');
	for (int i = 0; i < DEPTH; i++)
		g_string_append(text, close);
	g_string_append_c(text, '}');
	return g_strdup(text->str);
}

static bool is_runner(const char *text)
{
	listed_runner_t runner;
	err_t err = { 0 };

	return fleet_json_parse_runner(STR_LIT("i-1"), str_from(text), &runner,
				       &err);
}

/* Guards against runners without a usable address, and ends of the process. */
START_TEST(an_odd_entry_names_no_runner)
{
	g_autofree char *lists = nested_entry("[", "]");
	g_autofree char *objects = nested_entry("{\"a\":", "}");

	for (size_t i = 0; i < G_N_ELEMENTS(odd); i++)
		ck_assert_msg(!is_runner(odd[i]), "entry %zu", i);
	ck_assert(!is_runner(lists));
	ck_assert(!is_runner(objects));
	/* Large but sound. */
	ck_assert(is_runner(ADDRESS("127.0.0.1:65535")));
	ck_assert(is_runner(ENTRY("\"load\":1e300")));
}
END_TEST

/* Follows three runners, with all odd entries beside them. */
static void follow(bool is_listed)
{
	static char keys[G_N_ELEMENTS(odd)][16];
	store_fixture_t f;

	store_fixture_init(&f);
	if (!is_listed)
		store_fixture_run(&f, STORE_FIXTURE_LIMIT_US / 15);
	store_fixture_put_runner(&f, "i-1", 1, "ready");
	for (size_t i = 0; i < G_N_ELEMENTS(odd); i++) {
		g_snprintf(keys[i], sizeof(keys[i]), "odd-%zu", i);
		store_fixture_put(&f, STORE_RUNNERS, keys[i], g_strdup(odd[i]));
	}
	store_fixture_put(&f, STORE_RUNNERS, "lists", nested_entry("[", "]"));
	store_fixture_put(&f, STORE_RUNNERS, "objects",
			  nested_entry("{\"a\":", "}"));
	store_fixture_put_runner(&f, "i-2", 1, "ready");
	ck_assert(store_fixture_await(&f, &f.runners, 2));
	store_fixture_put_runner(&f, "i-3", 1, "ready");
	store_fixture_put_runner(&f, "i-1", 2, "draining");
	ck_assert(store_fixture_await(&f, &f.runners, 3));
	ck_assert(store_fixture_await(&f, &f.leaving, 1));
	store_fixture_finish(&f);
}

/* Guards against daemons that end, or stop following the runners. */
START_TEST(the_other_runners_are_followed)
{
	follow(true);
	follow(false);
}
END_TEST

/* Guards against a runner that goes on being used under an odd entry. */
START_TEST(a_runner_is_removed_by_an_odd_entry)
{
	store_fixture_t f;

	store_fixture_init(&f);
	store_fixture_put_runner(&f, "i-1", 1, "ready");
	store_fixture_put_runner(&f, "i-2", 1, "ready");
	ck_assert(store_fixture_await(&f, &f.runners, 2));
	store_fixture_put(&f, STORE_RUNNERS, "i-1", g_strdup(odd[0]));
	ck_assert(store_fixture_await(&f, &f.runners, 1));
	store_fixture_finish(&f);
}
END_TEST

/*
 * Guards against daemons without any list after a stop of all of them: an odd
 * key in one entry made the whole list unreadable.
 */
START_TEST(a_list_with_an_odd_key_is_read)
{
	/* As JSON has them; the last isn't the key of runner i-1. */
	static const char *const keys[] = { "\\u0000\\u0001", "",
					    "i-1\\u0000x" };
	store_fixture_t f;

	store_fixture_init(&f);
	store_fixture_put_runner(&f, "i-1", 1, "ready");
	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++)
		store_fixture_put(&f, STORE_RUNNERS, keys[i], g_strdup(odd[0]));
	store_fixture_put_runner(&f, "i-2", 1, "ready");
	ck_assert(store_fixture_await(&f, &f.runners, 2));
	store_fixture_finish(&f);
}
END_TEST

SUITE_MAIN("odd_entry", an_odd_entry_names_no_runner,
	   the_other_runners_are_followed, a_runner_is_removed_by_an_odd_entry,
	   a_list_with_an_odd_key_is_read)
