#include "platform/fleet_json.h"
#include "tests/lib_suite.h"

static const char config[] =
	"{\"version\":7,\"routes\":["
	"{\"name\":\"r1\",\"host\":\"A.example\",\"path_prefix\":\"/a/\","
	"\"route_type\":\"streaming\",\"timeout_ms\":12000,"
	"\"latency_target_ms\":800,\"priority\":1,\"service\":\"s1\","
	"\"max_attempts\":2,\"anonymous\":false,\"resumable\":true,"
	"\"itl_target_ms\":400},"
	"{\"name\":\"r2\",\"host\":\"a.example\",\"path_prefix\":\"/a/b/\","
	"\"route_type\":\"unsafe\",\"timeout_ms\":600,\"priority\":0,"
	"\"anonymous\":true,\"traffic_split\":["
	"{\"service\":\"s1\",\"weight\":90},{\"service\":\"s2\",\"weight\":10}"
	"]}],\"services\":["
	"{\"name\":\"s1\",\"health_path\":\"/health\",\"max_conns\":822,"
	"\"inference_engine\":{\"slots\":8,\"kv_capacity\":488995}},"
	"{\"name\":\"s2\",\"health_path\":\"/health\",\"max_conns\":244}],"
	"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
	"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
	"\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"k1\",\"k2\"],"
	"\"priority\":1,\"unit\":\"tokens\",\"uncached_tokens\":200,"
	"\"rate_per_s\":146227,\"burst\":146227}]}";

START_TEST(a_configuration_is_read)
{
	fleet_t *f = fleet_json_parse_config(str_from(config), NULL);
	const fleet_route_t *route;
	const fleet_team_t *team;

	ck_assert_ptr_nonnull(f);
	ck_assert_uint_eq(f->version, 7);
	ck_assert_uint_eq(f->limits.max_header_bytes, 16384);
	ck_assert_int_eq(f->limits.idle_timeout_ms, 15000);
	route = fleet_find_route(f, STR_LIT("a.example"), STR_LIT("/a/x"));
	ck_assert_str_eq(route->name, "r1");
	ck_assert_int_eq(route->kind, FLEET_STREAM);
	ck_assert(fleet_may_repeat(route));
	ck_assert_uint_eq(route->max_attempts, 2);
	team = fleet_find_team_by_key(f, STR_LIT("k2"));
	ck_assert_str_eq(team->name, "t1");
	ck_assert(team->counts_tokens);
	ck_assert_uint_eq(team->default_tokens, 200);
	ck_assert(fleet_find_service(f, "s1")->is_engine);
	ck_assert_uint_eq(fleet_find_service(f, "s1")->slots, 8);
	ck_assert(!fleet_find_service(f, "s2")->is_engine);
	fleet_unref(f);
}
END_TEST

START_TEST(the_longest_prefix_of_the_host_wins)
{
	static const struct {
		const char *host, *path, *route;
	} cases[] = {
		{ "a.example", "/a/b/c", "r2" },
		{ "A.Example:8080", "/a/b/", "r2" },
		{ "a.example", "/a/b", "r1" },
		{ "a.example", "/a/", "r1" },
		{ "a.example", "/ab/", NULL },
		{ "b.example", "/a/", NULL },
	};
	fleet_t *f = fleet_json_parse_config(str_from(config), NULL);

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const fleet_route_t *route = fleet_find_route(
			f, str_from(cases[i].host), str_from(cases[i].path));

		ck_assert_msg(
			!g_strcmp0(route ? route->name : NULL, cases[i].route),
			"case %zu", i);
	}
	fleet_unref(f);
}
END_TEST

START_TEST(a_split_follows_its_weights)
{
	fleet_t *f = fleet_json_parse_config(str_from(config), NULL);
	const fleet_route_t *route =
		fleet_find_route(f, STR_LIT("a.example"), STR_LIT("/a/b/"));
	int second = 0;

	for (uint64_t i = 0; i < 1000; i++)
		second += !strcmp(fleet_pick_service(route, i), "s2");
	ck_assert_int_eq(second, 100);
	fleet_unref(f);
}
END_TEST

START_TEST(callers_wait_by_the_targets_of_the_route)
{
	static const struct {
		int64_t target_ms, pause_ms, wait_ms;
	} cases[] = { { 800, 400, 3200 },
		      { 1500, 400, 6000 },
		      { 100, 400, 3200 },
		      { 100, 50, 2000 } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		fleet_route_t route = { .target_ms = cases[i].target_ms,
					.pause_ms = cases[i].pause_ms };

		ck_assert_int_eq(fleet_caller_wait_ms(&route),
				 cases[i].wait_ms);
	}
}
END_TEST

START_TEST(less_urgent_routes_reserve_more_of_a_limit)
{
	fleet_t *f = fleet_json_parse_config(str_from(config), NULL);

	/* r1 has priority 1, r2 has 0. */
	ck_assert_double_eq(fleet_reserved_share(f, f->routes->pdata[1]), 0);
	ck_assert_double_eq(fleet_reserved_share(f, f->routes->pdata[0]), 0.5);
	fleet_unref(f);
}
END_TEST

START_TEST(errors_name_the_location)
{
	static const struct {
		const char *from, *to, *location;
	} cases[] = {
		{ "\"version\":7", "\"version\":\"7\"", "version" },
		{ "\"streaming\"", "\"stream\"", "routes[0].route_type" },
		{ "\"timeout_ms\":600", "\"timeout_ms\":-1",
		  "routes[1].timeout_ms" },
		{ "\"name\":\"s2\"", "\"name\":\"\"", "services[1].name" },
		{ "\"k2\"", "2", "tenants[0].api_keys" },
		{ "\"max_header_bytes\":16384", "\"max_header_bytes\":[]",
		  "limits.max_header_bytes" },
		{ "]}", "", "line 1" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_auto(GStrv) parts = g_strsplit(config, cases[i].from, 2);
		g_autofree char *text = g_strjoinv(cases[i].to, parts);
		err_t err = { 0 };

		ck_assert_ptr_null(
			fleet_json_parse_config(str_from(text), &err));
		ck_assert_msg(strstr(err.detail, cases[i].location) != NULL,
			      "%s: %s", cases[i].location, err.detail);
	}
}
END_TEST

#define RUNNER                                                            \
	"{\"service\":\"s1\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\"," \
	"\"version\":\"1\",\"slots\":8,\"warmup_left_ms\":0,"             \
	"\"sequence\":1,\"state\":\"%s\",\"born\":%s}"

/* Fields of a runner's entry, and values that they can't have. */
typedef struct entry_field {
	const char *key, *sound;
	const char *odd[4];
} entry_field_t;

static const entry_field_t entry_fields[] = {
	{ "service", "\"s1\"", { "1", "\"\"", "{}", "null" } },
	{ "address",
	  "\"10.0.0.9:80\"",
	  { "80", "\"10.0.0.9\"", "[]", "null" } },
	{ "zone", "\"z\"", { "1", "\"\"", "[\"z\"]", "null" } },
	{ "version", "\"1\"", { "1", "\"\"", "{}", "null" } },
	{ "slots", "8", { "\"8\"", "-1", "1e99", "null" } },
	{ "warmup_left_ms", "0", { "\"0\"", "-1", "1e99", "null" } },
	{ "state", "\"ready\"", { "1", "\"gone\"", "true", "null" } },
	{ "sequence", "1", { "\"1\"", "-1", "1.5", "null" } },
};

/* Returns an entry whose field ODD has VALUE; NULL leaves the field out. */
static char *entry_with(size_t odd, const char *value)
{
	GString *text = g_string_new("{\"born\":7");

	for (size_t i = 0; i < G_N_ELEMENTS(entry_fields); i++) {
		const entry_field_t *f = &entry_fields[i];

		if (i != odd || value)
			g_string_append_printf(text, ",\"%s\":%s", f->key,
					       i == odd ? value : f->sound);
	}
	g_string_append_c(text, '}');
	return g_string_free(text, FALSE);
}

static bool is_runner(const char *text)
{
	listed_runner_t runner;

	return fleet_json_parse_runner(STR_LIT("i-1"), str_from(text), &runner,
				       NULL);
}

/* Guards against requests to what an entry of another writer names (review/2). */
START_TEST(an_entry_with_a_field_missing_or_odd_is_no_runner)
{
	g_autofree char *whole = entry_with(G_N_ELEMENTS(entry_fields), NULL);

	ck_assert(is_runner(whole));
	for (size_t i = 0; i < G_N_ELEMENTS(entry_fields); i++) {
		const entry_field_t *f = &entry_fields[i];
		g_autofree char *without = entry_with(i, NULL);

		ck_assert_msg(!is_runner(without), "%s", without);
		for (size_t k = 0; k < G_N_ELEMENTS(f->odd); k++) {
			g_autofree char *text = entry_with(i, f->odd[k]);

			ck_assert_msg(!is_runner(text), "%s", text);
		}
	}
}
END_TEST

START_TEST(runner_entries_are_validated)
{
	static const struct {
		const char *state, *born;
		bool is_ok, is_leaving;
	} cases[] = {
		{ "ready", "1700000000000", true, false },
		{ "draining", "1700000000000", true, true },
		{ "resting", "1700000000000", false, false },
		{ "ready", "\"soon\"", false, false },
		{ "ready", "1.5", false, false },
	};
	listed_runner_t runner;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *text =
			g_strdup_printf(RUNNER, cases[i].state, cases[i].born);

		ck_assert_msg(fleet_json_parse_runner(STR_LIT("i-1"),
						      str_from(text), &runner,
						      NULL) == cases[i].is_ok,
			      "case %zu", i);
		ck_assert_int_eq(runner.is_leaving && cases[i].is_ok,
				 cases[i].is_leaving);
	}
	ck_assert(!fleet_json_parse_runner(STR_LIT("i-1"), STR_LIT("\xff\x00{"),
					   &runner, NULL));
	ck_assert(!fleet_json_parse_runner(STR_LIT("i-1"), STR_LIT("{}"),
					   &runner, NULL));
}
END_TEST

START_TEST(a_daemons_entry_is_read_as_written)
{
	listed_daemon_t out = { .zone = "z",
				.address = "10.0.0.1:1",
				.peer_address = "10.0.0.1:2" };
	g_autofree char *text = fleet_json_write_daemon(&out);
	listed_daemon_t in;

	ck_assert(fleet_json_parse_daemon(STR_LIT("d"), str_from(text), &in,
					  NULL));
	ck_assert_str_eq(in.name, "d");
	ck_assert_str_eq(in.zone, "z");
	ck_assert_str_eq(in.peer_address, "10.0.0.1:2");
}
END_TEST

SUITE_MAIN("fleet_json", a_configuration_is_read,
	   the_longest_prefix_of_the_host_wins, a_split_follows_its_weights,
	   callers_wait_by_the_targets_of_the_route,
	   less_urgent_routes_reserve_more_of_a_limit, errors_name_the_location,
	   an_entry_with_a_field_missing_or_odd_is_no_runner,
	   runner_entries_are_validated, a_daemons_entry_is_read_as_written)
