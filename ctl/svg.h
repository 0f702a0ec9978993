/* Plots over time as inline SVG, for self-contained HTML pages. */
#ifndef CTL_SVG_H
#define CTL_SVG_H

#include <glib.h>
#include <stdint.h>

enum { SVG_MAX_SERIES = 8 };

/* A series: one value for each time step. */
typedef struct svg_series {
	char *name; /* owned */
	double *values; /* owned; NAN where a value is missing */
} svg_series_t;

typedef struct svg_plot {
	const char *title;
	const char *unit; /* of the values */
	int64_t from_ms; /* wall clock */
	int64_t step_ms;
	size_t n_steps;
	GArray *series; /* of svg_series_t */
	double reference_value; /* value of a reference line; NAN for none */
	double y_max; /* upper end of the scale; NAN: data's maximum */
} svg_plot_t;

void svg_plot_init(svg_plot_t *p, const char *title, const char *unit,
		   int64_t from_ms, int64_t step_ms, size_t n_steps);
void svg_plot_finish(svg_plot_t *p);
/*
 * Returns the values of a series, one for each time step. A new name adds a
 * series filled with DEF, or shares the last one if there are SVG_MAX_SERIES.
 */
double *svg_plot_values(svg_plot_t *p, const char *name, double def);
/* Writes the plot as lines, or as stacked bars. */
void svg_plot_lines(const svg_plot_t *p, GString *out);
void svg_plot_bars(const svg_plot_t *p, GString *out);

/* Appends text with the special characters of HTML escaped. */
void html_escape(GString *out, const char *text);

#endif
