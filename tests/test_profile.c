#include <glib.h>

#include "core/profile.h"
#include "tests/lib_suite.h"

#define TIERS "\"tiers\":[{\"name\":\"a\",\"need_ms\":1}]"

START_TEST(reads_a_profile)
{
	str_t text = STR_LIT(
		"{ // urgency\n\"tiers\":["
		"{\"name\":\"holds\",\"protected\":true,\"need_ms\":2000,"
		"\"objective\":0.999},"
		"{\"name\":\"drafts\",\"weight\":3,\"need_ms\":60000}],"
		"\"teams\":{\"z\":{\"rate_per_s\":5},"
		"\"b\":{\"weight\":4,\"rate_per_s\":0.5,\"concurrency\":9}},"
		"\"other_teams\":{\"rate_per_s\":20,\"burst\":40}}");
	profile_t p;
	err_t err;

	ck_assert(profile_parse(&p, STR_LIT("profile/x"), 7, text, &err));
	ck_assert_str_eq(p.name, "x");
	ck_assert_uint_eq(p.version, 7);
	ck_assert_uint_eq(p.n_tiers, 2);
	ck_assert(p.tiers[0].is_protected);
	ck_assert_int_eq(p.tiers[0].need_ms, 2000);
	ck_assert_uint_eq(p.tiers[1].weight, 3);
	ck_assert_int_eq(profile_tier_index(&p, STR_LIT("drafts")), 1);
	ck_assert_int_eq(profile_tier_index(&p, STR_LIT("draft")), -1);
	ck_assert_uint_eq(profile_find_team(&p, STR_LIT("b"))->weight, 4);
	ck_assert_double_eq(profile_find_team(&p, STR_LIT("b"))->burst, 1);
	ck_assert_double_eq(profile_find_team(&p, STR_LIT("z"))->burst, 5);
	ck_assert_double_eq(profile_find_team(&p, STR_LIT("q"))->burst, 40);
	profile_finish(&p);
}
END_TEST

START_TEST(closed_profile_has_only_the_teams_it_names)
{
	profile_t p;
	err_t err;

	ck_assert(profile_parse(&p, STR_LIT("profile/x"), 1,
				STR_LIT("{" TIERS ",\"closed\":true,"
					"\"teams\":{\"b\":{}}}"),
				&err));
	ck_assert_ptr_null(profile_find_team(&p, STR_LIT("q")));
	ck_assert_ptr_nonnull(profile_find_team(&p, STR_LIT("b")));
	profile_finish(&p);
}
END_TEST

START_TEST(reads_services)
{
	profile_service_t s;
	err_t err;

	ck_assert(profile_service_parse(
		&s, STR_LIT("service/desk"), 2,
		STR_LIT("{\"profile\":\"p\",\"kind\":\"plain\","
			"\"default_tier\":\"holds\",\"slots\":4}"),
		&err));
	ck_assert_str_eq(s.name, "desk");
	ck_assert(!s.is_engine && !s.is_idempotent);
	ck_assert_uint_eq(s.slots, 4);
}
END_TEST

START_TEST(invalid_documents_are_refused_with_position_and_range)
{
	static const struct {
		const char *doc;
		const char *text;
		const char *message;
	} cases[] = {
		{ "profile/x", "{}", "tiers: this field is required" },
		{ "profile/x", "{\"tiers\":[]}", "1 to 8 tiers" },
		{ "profile/x", "{\"tiers\":[1]}", "tiers.0: an object" },
		{ "profile/x", "{" TIERS ",\n\"teem\":1}",
		  "profile/x:2:1: teem: unknown field" },
		{ "profile/x", "{" TIERS ",\"closed\":1}", "true or false" },
		{ "profile/x", "{" TIERS ",\"closed\":true,\"closed\":true}",
		  "duplicate" },
		{ "profile/x", "{\"tiers\":[{\"name\":\"a\"}]}",
		  "tiers.0.need_ms: this field is required" },
		{ "profile/x",
		  "{\"tiers\":[{\"name\":\"a\",\"need_ms\":1},\n"
		  "{\"name\":\"b\",\n \"need_ms\":0}]}",
		  "profile/x:3:2: tiers.1.need_ms: a whole number from 1 to "
		  "86400000" },
		{ "profile/x", "{\"tiers\":[{\"name\":\"a\",\"need_ms\":1.5}]}",
		  "whole number" },
		{ "profile/x",
		  "{\"tiers\":[{\"name\":\"a\",\"need_ms\":1,"
		  "\"objective\":1}]}",
		  "a number from 0 to 0.99999" },
		{ "profile/x", "{\"tiers\":[{\"name\":\"\",\"need_ms\":1}]}",
		  "a name of 1 to 63" },
		{ "profile/x",
		  "{\"tiers\":[{\"name\":\"a\",\"need_ms\":1},\n"
		  "{\"name\":\"a\",\"need_ms\":1}]}",
		  "profile/x:2:1: tiers.1: its name is taken" },
		{ "profile/x",
		  "{\"tiers\":[{\"name\":\"a\",\"need_ms\":1},{\"name\":\"b\","
		  "\"need_ms\":1,\"protected\":true}]}",
		  "protected tiers come before" },
		{ "profile/x", "{" TIERS ",\"teams\":[]}", "24000 teams" },
		{ "profile/x", "{" TIERS ",\"teams\":{\"a b\":{}}}",
		  "a team's name" },
		{ "profile/x", "{" TIERS ",\"teams\":{\"a\":{\"weight\":0}}}",
		  "teams.a.weight: a whole number from 1 to 1000" },
		{ "profile/x",
		  "{" TIERS ",\"teams\":{\"a\":{\"rate_per_s\":-1}}}",
		  "a number from 0 to 1000000" },
		{ "profile/x",
		  "{" TIERS ",\"teams\":{\"a\":{\"rate_per_s\":1,"
		  "\"burst\":0.5}}}",
		  "teams.a.burst: a number from 1" },
		{ "profile/x",
		  "{" TIERS ",\"teams\":{\"a\":{\"key_sha256\":\"ab\"}}}",
		  "64 lower-case hex" },
		{ "profile/x", "[]", "an object is expected" },
		{ "profile/x", "{\"tiers\":", "profile/x:1:" },
		{ "profile/", "{" TIERS "}", "named profile/NAME" },
		{ "x", "{" TIERS "}", "profile/NAME or service/NAME" },
		{ "service/x", "{}", "profile: this field is required" },
		{ "service/x",
		  "{\"profile\":\"p\",\"kind\":\"x\",\"default_tier\":\"a\"}",
		  "kind: engine or plain" },
		{ "service/x",
		  "{\"profile\":\"p\",\"kind\":\"plain\",\"default_tier\":"
		  "\"a\",\"window_tokens\":300}",
		  "window_tokens: only for kind engine" },
		{ "service/x",
		  "{\"profile\":\"p\",\"kind\":\"plain\",\"default_tier\":"
		  "\"a\",\"slots\":0}",
		  "slots: a whole number from 1 to 10000" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		err_t err = { 0 };

		ck_assert_msg(!profile_check(str_from(cases[i].doc),
					     str_from(cases[i].text), &err),
			      "case %zu", i);
		ck_assert_msg(strstr(err.detail, cases[i].message) != NULL,
			      "case %zu: %s", i, err.detail);
	}
}
END_TEST

START_TEST(damaged_documents_never_exceed_limits)
{
	const char *good = "{" TIERS ",\"teams\":{\"a\":{\"weight\":3,"
			   "\"burst\":2}},\"closed\":false}";
	size_t len = strlen(good);
	g_autoptr(GRand) rand = g_rand_new_with_seed(3);

	for (int i = 0; i < 20000; i++) {
		g_autofree char *text = g_strndup(good, len);
		profile_t p;
		err_t err;

		for (int k = g_rand_int_range(rand, 1, 4); k > 0; k--)
			text[g_rand_int_range(rand, 0, (gint32)len)] =
				(char)g_rand_int_range(rand, 0, 256);
		if (!profile_parse(&p, STR_LIT("profile/x"), 1,
				   (str_t){ text, len }, &err))
			continue;
		ck_assert_uint_eq(p.n_tiers, 1);
		ck_assert(p.tiers[0].need_ms >= 1);
		for (uint32_t k = 0; k < p.n_teams; k++)
			ck_assert(p.teams[k].weight >= 1 &&
				  p.teams[k].weight <= 1000);
		profile_finish(&p);
	}
}
END_TEST

SUITE_MAIN("profile", reads_a_profile,
	   closed_profile_has_only_the_teams_it_names, reads_services,
	   invalid_documents_are_refused_with_position_and_range,
	   damaged_documents_never_exceed_limits)
