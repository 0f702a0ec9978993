#include "core/runner_group.h"
#include "tests/lib_suite.h"

#include <glib.h>

START_TEST(number_of_groups_is_a_power_of_two)
{
	static const struct {
		uint32_t runners, groups;
	} cases[] = { { 0, 1 },	   { 12, 1 },	 { 16, 1 },
		      { 17, 2 },   { 32, 2 },	 { 90, 8 },
		      { 140, 16 }, { 1000, 64 }, { 256, 16 } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		ck_assert_uint_eq(runner_group_count(cases[i].runners),
				  cases[i].groups);
}
END_TEST

START_TEST(names_round_trip)
{
	static const runner_group_t groups[] = { { "s", 0, 1, false },
						 { "s", 0, 2, false },
						 { "s#x", 15, 16, false },
						 { "s", 0, 1, true },
						 { "s#1/2", 0, 1, true } };

	for (size_t i = 0; i < G_N_ELEMENTS(groups); i++) {
		runner_group_t out;
		char name[64];

		runner_group_name(&groups[i], name, sizeof(name));
		ck_assert(runner_group_parse(name, &out));
		ck_assert_str_eq(out.service, groups[i].service);
		ck_assert_uint_eq(out.index, groups[i].index);
		ck_assert_uint_eq(out.count, groups[i].count);
		ck_assert(out.is_regional == groups[i].is_regional);
	}
}
END_TEST

START_TEST(malformed_names_are_refused)
{
	static const char *const names[] = { "",      "#0/2",  "s#2/2",
					     "s#0/1", "s#x/2", "s#1/9999999",
					     "@" };
	runner_group_t out;

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		ck_assert_msg(!runner_group_parse(names[i], &out), "%s",
			      names[i]);
}
END_TEST

START_TEST(every_group_of_a_large_service_has_runners)
{
	enum { RUNNERS = 140 };
	uint32_t count = runner_group_count(RUNNERS);
	int sizes[64] = { 0 };

	for (int i = 0; i < RUNNERS; i++) {
		g_autofree char *name = g_strdup_printf("i-%08x", i * 7919);

		sizes[runner_group_index(str_from(name), count)]++;
	}
	for (uint32_t i = 0; i < count; i++)
		ck_assert_int_ge(sizes[i], 2);
}
END_TEST

SUITE_MAIN("runner_group", number_of_groups_is_a_power_of_two, names_round_trip,
	   malformed_names_are_refused,
	   every_group_of_a_large_service_has_runners)
