#include <glib.h>

#include "core/line_fit.h"
#include "tests/lib_suite.h"

enum { SAMPLES = 200 };

static double difference(double a, double b)
{
	return a > b ? a - b : b - a;
}

START_TEST(finds_slope_and_intercept)
{
	static const struct {
		double slope, intercept;
	} cases[] = { { 2, 5 }, { 0, 3 }, { 4, 0 }, { 0.001, 0.02 } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		line_fit_t f = { 0 };

		for (int n = 0; n < SAMPLES; n++)
			line_fit_learn(&f, 1 + n % 3, n % 20,
				       cases[i].intercept +
					       cases[i].slope * (n % 20));
		for (int x = 0; x < 40; x++)
			ck_assert(difference(line_fit_at(&f, LINE_FLAT, x),
					     cases[i].intercept +
						     cases[i].slope * x) <
				  1e-6);
	}
}
END_TEST

START_TEST(samples_at_one_x_take_the_shape_given)
{
	line_fit_t f = { 0 };

	ck_assert(line_fit_at(&f, LINE_FLAT, 1) == 0);
	for (int n = 0; n < SAMPLES; n++)
		line_fit_learn(&f, 1, 10, 4);
	ck_assert(difference(line_fit_at(&f, LINE_FLAT, 20), 4) < 1e-6);
	ck_assert(difference(line_fit_at(&f, LINE_PROPORTIONAL, 20), 8) < 1e-6);
}
END_TEST

START_TEST(small_prompts_do_not_hide_the_speed)
{
	line_fit_t f = { 0 };

	/* Each has 15 ms of overhead; one prompt in twenty is long. */
	for (int n = 0; n < SAMPLES; n++) {
		double tokens = n % 20 == 10 ? 3000 : 20;

		line_fit_learn(&f, 1, tokens, 0.015 + tokens / 2000);
	}
	ck_assert(difference(line_fit_at(&f, LINE_PROPORTIONAL, 3000), 1.515) <
		  0.01);
	ck_assert(difference(line_fit_at(&f, LINE_PROPORTIONAL, 20), 0.025) <
		  0.01);
}
END_TEST

START_TEST(never_falls_with_x_nor_below_zero)
{
	line_fit_t falling = { 0 }, steep = { 0 };

	for (int n = 0; n < SAMPLES; n++) {
		line_fit_learn(&falling, 1, n % 10, 10 - n % 10);
		line_fit_learn(&steep, 1, 5 + n % 10, (n % 10) * 3);
	}
	ck_assert(line_fit_at(&falling, LINE_FLAT, 20) >=
		  line_fit_at(&falling, LINE_FLAT, 0));
	ck_assert(line_fit_at(&steep, LINE_FLAT, 0) >= 0);
}
END_TEST

START_TEST(scaled_down_fit_follows_a_change_faster)
{
	line_fit_t f = { 0 }, lighter;

	for (int n = 0; n < SAMPLES; n++)
		line_fit_learn(&f, 1, n % 10, 1);
	lighter = line_fit_scaled(&f, 0.1);
	line_fit_learn(&f, 1, 5, 11);
	line_fit_learn(&lighter, 1, 5, 11);
	ck_assert(line_fit_at(&lighter, LINE_FLAT, 5) >
		  line_fit_at(&f, LINE_FLAT, 5));
	for (int n = 0; n < SAMPLES; n++)
		line_fit_learn(&f, 1, n % 10, 7);
	ck_assert(difference(line_fit_at(&f, LINE_FLAT, 5), 7) < 0.01);
}
END_TEST

SUITE_MAIN("line_fit", finds_slope_and_intercept,
	   samples_at_one_x_take_the_shape_given,
	   small_prompts_do_not_hide_the_speed,
	   never_falls_with_x_nor_below_zero,
	   scaled_down_fit_follows_a_change_faster)
