/*
 * Fits a straight line to samples by least squares with exponential decay of
 * old samples. Slope and intercept are constrained to be non-negative.
 */
#ifndef CORE_LINE_FIT_H
#define CORE_LINE_FIT_H

/* Decaying weighted sums; all zero without samples. */
typedef struct line_fit {
	double weight;
	double x, y, xx, xy;
} line_fit_t;

/* The line to use while the samples' x values hardly differ. */
typedef enum line_shape {
	LINE_FLAT, /* horizontal, at the mean */
	LINE_PROPORTIONAL, /* through the origin and the mean */
} line_shape_t;

void line_fit_learn(line_fit_t *f, double weight, double x, double y);
/* Returns the line's value at X; 0 without samples. */
double line_fit_at(const line_fit_t *f, line_shape_t shape, double x);
/* Returns the same line with its weight multiplied by FACTOR. */
line_fit_t line_fit_scaled(const line_fit_t *f, double factor);

#endif
