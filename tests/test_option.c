#include <glib.h>

#include "common/option.h"
#include "tests/lib_suite.h"

typedef struct sample {
	int64_t port;
	bool on;
	char *zone;
	char **seeds;
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
};

START_TEST(reads_values_comments_and_defaults)
{
	sample_t s = { 0 };
	err_t err = { 0 };
	str_t text = STR_LIT("{ // comment \" {\n"
			     "/* block\n */ \"zone\": \"north\",\n"
			     "\"seeds\": [\"a//b\"] }");

	ck_assert(option_parse(table, 4, &s, text, "f", &err));
	ck_assert_int_eq(s.port, 80);
	ck_assert(s.on);
	ck_assert_str_eq(s.zone, "north");
	ck_assert_str_eq(s.seeds[0], "a//b");
	option_free(table, 4, &s);
}
END_TEST

START_TEST(refuses_bad_settings_with_their_place)
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
		{ "[]", "an object" },
		{ "{\"zone\":", "f:1:8" },
		{ "", "f:1:0" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sample_t s = { 0 };
		err_t err = { 0 };

		ck_assert(!option_parse(table, 4, &s, str_from(cases[i].text),
					"f", &err));
		ck_assert_msg(strstr(err.detail, cases[i].message) != NULL,
			      "case %zu: %s", i, err.detail);
		option_free(table, 4, &s);
	}
}
END_TEST

SUITE_MAIN("option", reads_values_comments_and_defaults,
	   refuses_bad_settings_with_their_place)
