#include <glib.h>

#include "common/option.h"
#include "tests/lib_suite.h"

typedef struct sample {
	int64_t port;
	bool on;
	char *zone;
	char **seeds;
	int64_t wait_ms;
} sample_t;

static const char *const zones[] = { "north", "south", NULL };

static const option_t table[] = {
	{ "port", OPTION_INT, "", 1, 65535, "80", offsetof(sample_t, port),
	  "port", NULL },
	{ "on", OPTION_BOOL, "", 0, 0, "true", offsetof(sample_t, on), "on",
	  NULL },
	{ "zone", OPTION_STRING, "", 1, 32, NULL, offsetof(sample_t, zone),
	  "zone", zones },
	{ "seeds", OPTION_LIST, "", 0, 3, "", offsetof(sample_t, seeds),
	  "seeds", NULL },
	{ "wait_ms", OPTION_DURATION, "ms", 10, 86400000, "500",
	  offsetof(sample_t, wait_ms), "wait", NULL },
};

enum { N_OPTIONS = G_N_ELEMENTS(table) };

START_TEST(reads_values_comments_and_defaults)
{
	sample_t s = { 0 };
	err_t err = { 0 };
	str_t text = STR_LIT("{ // comment \" {\n"
			     "/* block\n */ \"zone\": \"north\",\n"
			     "\"seeds\": [\"a//b\"] }");

	ck_assert(option_parse(table, N_OPTIONS, &s, text, "f", &err));
	ck_assert_int_eq(s.port, 80);
	ck_assert(s.on);
	ck_assert_str_eq(s.zone, "north");
	ck_assert_str_eq(s.seeds[0], "a//b");
	option_free(table, N_OPTIONS, &s);
}
END_TEST

START_TEST(durations_are_numbers_or_carry_a_unit)
{
	static const struct {
		const char *value;
		int64_t ms;
	} cases[] = {
		{ "250", 250 },		  { "12.6", 13 },
		{ "\"8 s\"", 8000 },	  { "\"7.5 s\"", 7500 },
		{ "\"9.4s\"", 9400 },	  { "\"90 ms\"", 90 },
		{ "\"1.5 min\"", 90000 }, { "\"24 h\"", 86400000 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *text = g_strdup_printf(
			"{\"zone\":\"north\",\"wait_ms\":%s}", cases[i].value);
		sample_t s = { 0 };
		err_t err = { 0 };

		ck_assert_msg(option_parse(table, N_OPTIONS, &s, str_from(text),
					   "f", &err),
			      "%s", err.detail);
		ck_assert_int_eq(s.wait_ms, cases[i].ms);
		option_free(table, N_OPTIONS, &s);
	}
}
END_TEST

START_TEST(invalid_settings_are_refused_with_their_position)
{
	static const struct {
		const char *text;
		const char *message;
	} cases[] = {
		{ "{\"zone\":\"north\",\n \"prot\": 1}", "f:2:2: prot: unk" },
		{ "{\"zone\":\"north\",\n \"port\": 0}",
		  "f:2:2: port: a whole number from 1 to 65535" },
		{ "{\"zone\":\"north\", \"port\": \"1\"}", "f:1:18: port" },
		{ "{\"zone\":\"east\"}", "one of north, south" },
		{ "{}", "zone: this key is required" },
		{ "{\"zone\":\"north\",\n\"zone\":\"south\"}",
		  "f:2:6: duplicate" },
		{ "{\"zone\":\"north\", \"seeds\":[1]}", "must be a string" },
		{ "{\"zone\":\"north\", \"on\":1}", "true or false" },
		{ "{\"zone\":\"north\", \"wait_ms\":9.9}",
		  "f:1:18: wait_ms: a duration from 10 to 86400000 ms" },
		{ "{\"zone\":\"north\", \"wait_ms\":\"1 day\"}", "duration" },
		{ "{\"zone\":\"north\", \"wait_ms\":\"25 h\"}", "duration" },
		{ "{\"zone\":\"north\", \"wait_ms\":\"20\"}", "duration" },
		{ "{\"zone\":\"north\", \"wait_ms\":\"true s\"}", "duration" },
		{ "{\"zone\":\"north\", \"wait_ms\":true}", "duration" },
		{ "[]", "an object" },
		{ "{\"zone\":", "f:1:8" },
		{ "", "f:1:0" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sample_t s = { 0 };
		err_t err = { 0 };

		ck_assert(!option_parse(table, N_OPTIONS, &s,
					str_from(cases[i].text), "f", &err));
		ck_assert_msg(strstr(err.detail, cases[i].message) != NULL,
			      "case %zu: %s", i, err.detail);
		option_free(table, N_OPTIONS, &s);
	}
}
END_TEST

SUITE_MAIN("option", reads_values_comments_and_defaults,
	   durations_are_numbers_or_carry_a_unit,
	   invalid_settings_are_refused_with_their_position)
