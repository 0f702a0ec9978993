#include "ctl/svg.h"

#include <math.h>
#include <stdbool.h>
#include <string.h>

/* Geometry, in user units of the SVG viewport. */
enum {
	WIDTH = 760,
	HEIGHT = 220,
	MARGIN_LEFT = 64,
	MARGIN_RIGHT = 12,
	MARGIN_TOP = 30,
	MARGIN_BOTTOM = 44,
	GRID_LINES = 4,
	LEGEND_STEP = 116,
	LABEL_SIZE = 32, /* bytes, including the NUL */
};

static const char *const colours[SVG_MAX_SERIES] = {
	"#0072b2", "#d55e00", "#009e73", "#cc79a7",
	"#e69f00", "#56b4e9", "#555555", "#000000",
};

static void free_series(void *p)
{
	svg_series_t *s = p;

	g_free(s->name);
	g_free(s->values);
}

void svg_plot_init(svg_plot_t *p, const char *title, const char *unit,
		   int64_t from_ms, int64_t step_ms, size_t n_steps)
{
	*p = (svg_plot_t){ title,   unit, from_ms, step_ms,
			   n_steps, NULL, NAN,	   NAN };
	p->series = g_array_new(FALSE, TRUE, sizeof(svg_series_t));
	g_array_set_clear_func(p->series, free_series);
}

void svg_plot_finish(svg_plot_t *p)
{
	g_clear_pointer(&p->series, g_array_unref);
}

static svg_series_t *series_at(const svg_plot_t *p, guint i)
{
	return &g_array_index(p->series, svg_series_t, i);
}

double *svg_plot_values(svg_plot_t *p, const char *name, double def)
{
	svg_series_t new_series;

	for (guint i = 0; i < p->series->len; i++)
		if (!strcmp(series_at(p, i)->name, name))
			return series_at(p, i)->values;
	if (p->series->len == SVG_MAX_SERIES)
		return series_at(p, SVG_MAX_SERIES - 1)->values;
	new_series.name = g_strdup(name);
	new_series.values = g_new(double, p->n_steps + 1);
	for (size_t i = 0; i < p->n_steps; i++)
		new_series.values[i] = def;
	g_array_append_val(p->series, new_series);
	return new_series.values;
}

void html_escape(GString *out, const char *text)
{
	g_autofree char *escaped = g_markup_escape_text(text, -1);

	g_string_append(out, escaped);
}

/* SVG needs locale-independent numbers; g_string_printf follows the locale. */
static void put_number(GString *out, const char *before, double value,
		       const char *after)
{
	char text[G_ASCII_DTOSTR_BUF_SIZE];

	g_ascii_formatd(text, sizeof(text), "%.2f", value);
	g_string_append(out, before);
	g_string_append(out, text);
	g_string_append(out, after);
}

static void format_label(char *out, double value)
{
	if (value >= 1e6)
		g_snprintf(out, LABEL_SIZE, "%.1fM", value / 1e6);
	else if (value >= 1e4)
		g_snprintf(out, LABEL_SIZE, "%.0fk", value / 1e3);
	else
		g_snprintf(out, LABEL_SIZE, "%.4g", value);
}

static double x_of(const svg_plot_t *p, double step)
{
	double n = p->n_steps ? (double)p->n_steps : 1;

	return MARGIN_LEFT + (WIDTH - MARGIN_LEFT - MARGIN_RIGHT) * step / n;
}

static double y_of(double value, double top)
{
	double fraction = CLAMP(value / top, 0, 1);

	return HEIGHT - MARGIN_BOTTOM -
	       (HEIGHT - MARGIN_TOP - MARGIN_BOTTOM) * fraction;
}

static double value_at(const svg_plot_t *p, guint series, size_t step)
{
	return series_at(p, series)->values[step];
}

static double stack_height(const svg_plot_t *p, size_t step)
{
	double sum = 0;

	for (guint i = 0; i < p->series->len; i++)
		sum += value_at(p, i, step);
	return sum;
}

static double scale_top(const svg_plot_t *p, bool is_stacked)
{
	double top = isnan(p->reference_value) ? 0 : p->reference_value;

	if (!isnan(p->y_max))
		return p->y_max;
	for (size_t k = 0; k < p->n_steps; k++) {
		if (is_stacked)
			top = MAX(top, stack_height(p, k));
		for (guint i = 0; !is_stacked && i < p->series->len; i++)
			if (value_at(p, i, k) > top)
				top = value_at(p, i, k);
	}
	return top > 0 ? top * 1.05 : 1;
}

static void draw_text(GString *out, double x, double y, const char *anchor,
		      const char *text)
{
	put_number(out, "<text x=\"", x, "\"");
	put_number(out, " y=\"", y, "\" text-anchor=\"");
	g_string_append_printf(out, "%s\">", anchor);
	html_escape(out, text);
	g_string_append(out, "</text>\n");
}

static void draw_line(GString *out, double x1, double y1, double x2, double y2,
		      const char *style)
{
	put_number(out, "<line x1=\"", x1, "\"");
	put_number(out, " y1=\"", y1, "\"");
	put_number(out, " x2=\"", x2, "\"");
	put_number(out, " y2=\"", y2, "\" ");
	g_string_append_printf(out, "%s/>\n", style);
}

static void draw_time(const svg_plot_t *p, GString *out, size_t step,
		      const char *anchor)
{
	g_autoptr(GDateTime) time = g_date_time_new_from_unix_utc(
		(p->from_ms + (int64_t)step * p->step_ms) / 1000);
	g_autofree char *text =
		time ? g_date_time_format(time, "%H:%M:%S") : g_strdup("-");

	draw_text(out, x_of(p, (double)step), HEIGHT - MARGIN_BOTTOM + 14,
		  anchor, text);
}

static void draw_frame(const svg_plot_t *p, GString *out, double top)
{
	g_string_append_printf(out,
			       "<svg viewBox=\"0 0 %d %d\" role=\"img\">\n",
			       WIDTH, HEIGHT);
	draw_text(out, MARGIN_LEFT, 16, "start", p->title);
	draw_text(out, WIDTH - MARGIN_RIGHT, 16, "end", p->unit);
	for (int i = 0; i <= GRID_LINES; i++) {
		double value = top * i / GRID_LINES;
		double y = y_of(value, top);
		char text[LABEL_SIZE];

		format_label(text, value);
		draw_line(out, MARGIN_LEFT, y, WIDTH - MARGIN_RIGHT, y,
			  "stroke=\"#ddd\"");
		draw_text(out, MARGIN_LEFT - 6, y + 4, "end", text);
	}
	draw_time(p, out, 0, "start");
	draw_time(p, out, p->n_steps / 2, "middle");
	draw_time(p, out, p->n_steps, "end");
	if (!isnan(p->reference_value))
		draw_line(out, MARGIN_LEFT, y_of(p->reference_value, top),
			  WIDTH - MARGIN_RIGHT, y_of(p->reference_value, top),
			  "stroke=\"#c00\" stroke-dasharray=\"4 3\"");
}

static void draw_legend(const svg_plot_t *p, GString *out)
{
	double step = MIN(LEGEND_STEP, (WIDTH - MARGIN_LEFT) /
					       (double)MAX(p->series->len, 1));

	for (guint i = 0; i < p->series->len; i++) {
		double x = MARGIN_LEFT + i * step;

		put_number(out, "<rect x=\"", x, "\"");
		g_string_append_printf(out,
				       " y=\"%d\" width=\"10\" height=\"10\" "
				       "fill=\"%s\"/>\n",
				       HEIGHT - 18, colours[i]);
		draw_text(out, x + 14, HEIGHT - 9, "start",
			  series_at(p, i)->name);
	}
	if (!p->series->len)
		draw_text(out, WIDTH / 2.0, HEIGHT / 2.0, "middle",
			  "no data in this period");
	g_string_append(out, "</svg>\n");
}

/* Draws one series as a line, interrupted where a value is missing. */
static void draw_series(const svg_plot_t *p, GString *out, guint i, double top)
{
	const char *command = "M";

	g_string_append(out, "<path fill=\"none\" stroke-width=\"2\" ");
	g_string_append_printf(out, "stroke=\"%s\" d=\"", colours[i]);
	for (size_t k = 0; k < p->n_steps; k++) {
		double value = value_at(p, i, k);

		if (isnan(value)) {
			command = "M";
			continue;
		}
		put_number(out, command, x_of(p, (double)k + 0.5), "");
		put_number(out, " ", y_of(value, top), " ");
		/* A short line makes an isolated point visible. */
		if (command[0] == 'M')
			g_string_append(out, "h1 ");
		command = "L";
	}
	g_string_append(out, "\"/>\n");
}

void svg_plot_lines(const svg_plot_t *p, GString *out)
{
	double top = scale_top(p, false);

	draw_frame(p, out, top);
	for (guint i = 0; i < p->series->len; i++)
		draw_series(p, out, i, top);
	draw_legend(p, out);
}

static void draw_bar(const svg_plot_t *p, GString *out, guint i, size_t step,
		     double from, double top)
{
	double value = value_at(p, i, step);
	double x = x_of(p, (double)step);
	double y = y_of(from + value, top);

	if (!(value > 0))
		return;
	put_number(out, "<rect x=\"", x, "\"");
	put_number(out, " y=\"", y, "\"");
	put_number(out, " width=\"", MAX(x_of(p, (double)step + 0.9) - x, 0.5),
		   "\"");
	put_number(out, " height=\"", y_of(from, top) - y, "\" fill=\"");
	g_string_append_printf(out, "%s\"/>\n", colours[i]);
}

void svg_plot_bars(const svg_plot_t *p, GString *out)
{
	double top = scale_top(p, true);

	draw_frame(p, out, top);
	for (size_t k = 0; k < p->n_steps; k++) {
		double from = 0;

		for (guint i = 0; i < p->series->len; i++) {
			draw_bar(p, out, i, k, from, top);
			from += value_at(p, i, k);
		}
	}
	draw_legend(p, out);
}
