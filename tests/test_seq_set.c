#include <glib.h>

#include "core/seq_set.h"
#include "tests/lib_suite.h"

START_TEST(ranges_join_and_count_holes)
{
	static const struct {
		uint64_t seq;
		bool is_new;
		guint ranges;
		uint64_t holes;
	} steps[] = {
		{ 5, true, 1, 0 },  { 5, false, 1, 0 }, { 6, true, 1, 0 },
		{ 9, true, 2, 2 },  { 8, true, 2, 1 },	{ 7, true, 1, 0 },
		{ 1, true, 2, 3 },  { 3, true, 3, 2 },	{ 2, true, 2, 1 },
		{ 7, false, 2, 1 }, { 4, true, 1, 0 },
	};
	seq_set_t s;

	seq_set_init(&s);
	ck_assert(seq_set_is_empty(&s));
	for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
		ck_assert_msg(seq_set_add(&s, steps[i].seq) == steps[i].is_new,
			      "step %zu", i);
		ck_assert_msg(s.ranges->len == steps[i].ranges, "step %zu", i);
		ck_assert_uint_eq(seq_set_holes(&s), steps[i].holes);
	}
	ck_assert_uint_eq(seq_set_least(&s), 1);
	seq_set_finish(&s);
}
END_TEST

START_TEST(appended_ranges_must_ascend)
{
	seq_set_t s;

	seq_set_init(&s);
	ck_assert(seq_set_append(&s, (seq_range_t){ 2, 4 }));
	ck_assert(!seq_set_append(&s, (seq_range_t){ 4, 6 }));
	ck_assert(!seq_set_append(&s, (seq_range_t){ 8, 7 }));
	ck_assert(seq_set_append(&s, (seq_range_t){ 6, 6 }));
	ck_assert(seq_set_has(&s, 3));
	ck_assert(!seq_set_has(&s, 5));
	seq_set_finish(&s);
}
END_TEST

START_TEST(set_agrees_with_a_reference_table)
{
	enum { NUMBERS = 64, STEPS = 40 };

	for (uint32_t seed = 0; seed < 200; seed++) {
		g_autoptr(GRand) rand = g_rand_new_with_seed(seed);
		bool has[NUMBERS] = { false };
		seq_set_t s;

		seq_set_init(&s);
		for (int i = 0; i < STEPS; i++) {
			int seq = g_rand_int_range(rand, 0, NUMBERS);

			ck_assert(seq_set_add(&s, (uint64_t)seq) == !has[seq]);
			has[seq] = true;
		}
		for (int i = 0; i < NUMBERS; i++)
			ck_assert(seq_set_has(&s, (uint64_t)i) == has[i]);
		for (guint i = 1; i < s.ranges->len; i++)
			ck_assert(
				g_array_index(s.ranges, seq_range_t, i).first >
				g_array_index(s.ranges, seq_range_t, i - 1)
						.last +
					1);
		seq_set_finish(&s);
	}
}
END_TEST

SUITE_MAIN("seq_set", ranges_join_and_count_holes, appended_ranges_must_ascend,
	   set_agrees_with_a_reference_table)
