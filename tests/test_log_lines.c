#include "ctl/log_lines.h"
#include "tests/lib_suite.h"

#define LINE(time, rest) "time=" time " level=info part=relay " rest "\n"

START_TEST(values_are_found_by_their_key)
{
	static const char text[] =
		"time=1 part=relay event=answered request=ab why=\"the time is "
		"up\" sent=2";
	static const struct {
		const char *key, *value;
	} cases[] = { { "time", "1" },
		      { "request", "ab" },
		      { "why", "the time is up" },
		      { "sent", "2" },
		      { "up", NULL },
		      { "quest", NULL } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *value = log_lines_value(text, cases[i].key);

		ck_assert_msg(!g_strcmp0(value, cases[i].value), "%s: %s",
			      cases[i].key, value);
	}
}
END_TEST

START_TEST(lines_of_several_daemons_are_merged_by_time)
{
	static const char *const lines[][2] = {
		{ "b.log", LINE("3", "event=answered request=r status=503") },
		{ "a.log", LINE("1", "event=granted request=r runner=x") },
		{ "a.log", LINE("2", "event=attempt-lost request=r") },
		{ "a.log", LINE("2", "event=granted request=other") },
		{ "a.log", LINE("9", "event=attempt-lost request=rr") },
	};
	log_lines_t l;

	log_lines_init(&l);
	for (size_t i = 0; i < G_N_ELEMENTS(lines); i++)
		log_lines_add(&l, lines[i][0], lines[i][1], "r");
	log_lines_sort(&l);
	ck_assert_uint_eq(l.lines->len, 3);
	ck_assert_str_eq(((log_line_t *)l.lines->pdata[0])->time, "1");
	ck_assert_str_eq(((log_line_t *)l.lines->pdata[2])->source, "b.log");
	ck_assert_int_eq(log_lines_find_end(&l), 2);
	log_lines_finish(&l);
}
END_TEST

START_TEST(damaged_lines_are_counted_and_skipped)
{
	static const char *const lines[] = {
		"",
		"\n",
		"request=r\n",
		"time=1 request=r\n",
		"\xff\xfe binary request=r\n",
	};
	log_lines_t l;

	log_lines_init(&l);
	for (size_t i = 0; i < G_N_ELEMENTS(lines); i++)
		log_lines_add(&l, "f", lines[i], "r");
	log_lines_add(&l, "f", LINE("1", "event=answered request=r why=\"cut"),
		      "r");
	ck_assert_uint_eq(l.n_damaged, G_N_ELEMENTS(lines));
	ck_assert_uint_eq(l.lines->len, 1);
	ck_assert_int_eq(log_lines_find_end(&l), 0);
	log_lines_finish(&l);
}
END_TEST

START_TEST(the_prefix_of_a_line_names_its_source)
{
	log_lines_t l;

	log_lines_init(&l);
	log_lines_add(&l, "day", "  3.21 edge-1 " LINE("1", "request=r"), "r");
	ck_assert_str_eq(((log_line_t *)l.lines->pdata[0])->source,
			 "day 3.21 edge-1");
	ck_assert_int_eq(log_lines_find_end(&l), -1);
	log_lines_finish(&l);
}
END_TEST

SUITE_MAIN("log_lines", values_are_found_by_their_key,
	   lines_of_several_daemons_are_merged_by_time,
	   damaged_lines_are_counted_and_skipped,
	   the_prefix_of_a_line_names_its_source)
