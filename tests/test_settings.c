#include <glib.h>

#include "daemon/settings.h"
#include "tests/lib_suite.h"

#define BASE                                                               \
	"{\"name\":\"d\",\"zone\":\"a\",\"zones\":[\"a\",\"b\"],\n"        \
	"\"listen\":\"127.0.0.1:1\",\"peer_listen\":\"127.0.0.1:2\",\n"    \
	"\"admin_listen\":\"127.0.0.1:3\",\"platform\":\"127.0.0.1:4\",\n" \
	"\"peer_secret\":\"0123456789abcdef\",\n"                          \
	"\"operator_token\":\"0123456789abcdef\""

START_TEST(parses_a_file_and_fills_in_defaults)
{
	settings_t s;
	err_t err = { 0 };
	member_vm_t self, seed;

	ck_assert_msg(settings_parse(&s, STR_LIT(BASE "}"), "f", &err), "%s",
		      err.detail);
	ck_assert_int_eq(s.heartbeat_timeout_ms, 3000);
	ck_assert_str_eq(s.policy, "ledger");
	/*
	 * A copy of a call may wait unread for one heartbeat timeout in each of
	 * three daemons.
	 */
	ck_assert_int_eq(settings_key_ttl_ms(&s), 60000 + 3 * 3000);
	settings_own_vm(&s, &self);
	ck_assert_str_eq(self.peer_address, "127.0.0.1:2");
	ck_assert(settings_parse_seed("e a 127.0.0.1:9", &seed, &err));
	ck_assert_str_eq(seed.zone, "a");
	settings_finish(&s);
}
END_TEST

START_TEST(invalid_settings_are_refused_with_a_cause)
{
	static const struct {
		const char *text;
		const char *message;
	} cases[] = {
		{ BASE ",\n\"heartbeat_ms\":1}",
		  "f:6:1: heartbeat_ms: a duration from 20 to 60000 ms" },
		{ BASE ",\n \"hartbeat_ms\":100}", "f:6:2: hartbeat_ms: unk" },
		{ BASE ",\"name\":\"e\"}", "duplicate" },
		{ BASE ",\"log_level\":\"loud\"}", "one of error, warning" },
		{ BASE ",\"policy\":\"best\"}", "one of ledger" },
		{ BASE ",\"seeds\":[\"e a\"]}", "NAME ZONE IP:PORT" },
		{ BASE ",\"alone\":0}", "true or false" },
		{ "{\"name\":\"d\"}", "this key is required" },
		{ "{\"name\":\"\"}", "a string with a length from 1 to 63" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		settings_t s;
		err_t err = { 0 };

		ck_assert(!settings_parse(&s, str_from(cases[i].text), "f",
					  &err));
		ck_assert_msg(strstr(err.detail, cases[i].message) != NULL,
			      "case %zu: %s", i, err.detail);
	}
}
END_TEST

START_TEST(refuses_a_zone_outside_the_list_and_bad_addresses)
{
	static const char *const replaced[][2] = {
		{ "\"zone\":\"a\"", "\"zone\":\"c\"" },
		{ "127.0.0.1:1", "127.0.0.1" },
		{ "127.0.0.1:4", "127.0.0.1:0" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(replaced); i++) {
		g_autoptr(GString) text = g_string_new(BASE "}");
		settings_t s;
		err_t err = { 0 };

		g_string_replace(text, replaced[i][0], replaced[i][1], 1);
		ck_assert(!settings_parse(&s, str_from(text->str), "f", &err));
		ck_assert_int_eq(err.code, ERR_INVALID);
	}
}
END_TEST

SUITE_MAIN("settings", parses_a_file_and_fills_in_defaults,
	   invalid_settings_are_refused_with_a_cause,
	   refuses_a_zone_outside_the_list_and_bad_addresses)
