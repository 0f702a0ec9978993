#include "core/line_fit.h"

#include <glib.h>

static const double decay = 0.95; /* per sample */
static const double min_spread =
	0.04; /* least variance / mean^2 to fit a slope */

void line_fit_learn(line_fit_t *f, double weight, double x, double y)
{
	f->weight = f->weight * decay + weight;
	f->x = f->x * decay + weight * x;
	f->y = f->y * decay + weight * y;
	f->xx = f->xx * decay + weight * x * x;
	f->xy = f->xy * decay + weight * x * y;
}

double line_fit_at(const line_fit_t *f, line_shape_t shape, double x)
{
	double mean_x, mean_y, variance, steepest, slope;

	if (f->weight <= 0)
		return 0;
	mean_x = f->x / f->weight;
	mean_y = f->y / f->weight;
	variance = f->xx / f->weight - mean_x * mean_x;
	/* A steeper line would be negative at x = 0. */
	steepest = mean_x > 0 ? mean_y / mean_x : 0;
	if (variance > min_spread * mean_x * mean_x)
		slope = (f->xy / f->weight - mean_x * mean_y) / variance;
	else
		slope = shape == LINE_FLAT ? 0 : steepest;
	slope = CLAMP(slope, 0, steepest);
	return mean_y + slope * (x - mean_x);
}

line_fit_t line_fit_scaled(const line_fit_t *f, double factor)
{
	return (line_fit_t){ f->weight * factor, f->x * factor, f->y * factor,
			     f->xx * factor, f->xy * factor };
}
