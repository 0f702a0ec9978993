#include <glib.h>

#include "core/weight_budget.h"
#include "tests/lib_suite.h"

static const int64_t SECOND = 1000000; /* us */

START_TEST(load_may_begin_after_its_wait)
{
	static const struct {
		double store_rate;
		uint32_t zones;
		uint32_t daemons;
		int64_t wait; /* us, of the first load */
	} cases[] = {
		{ 1, 1, 1, 1000001 }, { 6, 3, 1, 500001 }, { 6, 3, 4, 2000001 },
		{ 6, 0, 0, 166667 },  { 0, 3, 1, -1 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		weight_budget_t b;
		int64_t wait;

		weight_budget_init(&b, cases[i].store_rate, cases[i].zones, 7);
		weight_budget_set_daemons(&b, cases[i].daemons, 7);
		wait = weight_budget_wait(&b, 7);
		ck_assert_int_eq(wait, cases[i].wait);
		ck_assert(!weight_budget_take(&b, 7));
		if (wait < 0)
			continue;
		ck_assert(!weight_budget_take(&b, 7 + wait - 2));
		ck_assert(weight_budget_take(&b, 7 + wait));
		ck_assert(!weight_budget_take(&b, 7 + wait));
	}
}
END_TEST

START_TEST(idle_time_saves_one_load_at_most)
{
	weight_budget_t b;

	weight_budget_init(&b, 10, 1, 0);
	ck_assert(weight_budget_take(&b, 100 * SECOND));
	ck_assert(!weight_budget_take(&b, 100 * SECOND));
	/* A clock that stops or steps back allows no load. */
	ck_assert(!weight_budget_take(&b, 50 * SECOND));
}
END_TEST

START_TEST(all_zones_together_stay_within_the_store_rate)
{
	enum {
		ZONES = 3,
		DAEMONS = 5,
		SECONDS = 60,
		RATE = 8,
		MAX_LOADS = SECONDS * RATE,
	};

	for (uint32_t seed = 1; seed <= 20; seed++) {
		g_autoptr(GRand) rand = g_rand_new_with_seed(seed);
		weight_budget_t b[ZONES * DAEMONS];
		int64_t now = 0;
		int loads = 0;

		for (int i = 0; i < ZONES * DAEMONS; i++) {
			weight_budget_init(&b[i], RATE, ZONES, 0);
			weight_budget_set_daemons(&b[i], DAEMONS, 0);
		}
		while (now < SECONDS * SECOND) {
			now += g_rand_int_range(rand, 1, 20000);
			loads += weight_budget_take(
				&b[g_rand_int_range(rand, 0, ZONES * DAEMONS)],
				now);
		}
		ck_assert_int_le(loads, MAX_LOADS);
		ck_assert_int_ge(loads, MAX_LOADS * 9 / 10);
	}
}
END_TEST

SUITE_MAIN("weight_budget", load_may_begin_after_its_wait,
	   idle_time_saves_one_load_at_most,
	   all_zones_together_stay_within_the_store_rate)
