#include "ctl/burn_page.h"

#include <math.h>
#include <string.h>

#include "ctl/report_rows.h"
#include "ctl/svg.h"

enum { PLOT_STEPS = 60, MAX_TABLE_ROWS = 100 };

static const char style[] =
	"body{font:14px sans-serif;margin:1em auto;max-width:64em;"
	"padding:0 1em;color:#222}"
	"h1{font-size:1.3em}h2{font-size:1.05em;margin:1.2em 0 .4em}"
	".tiles{display:flex;flex-wrap:wrap;gap:.8em}"
	".tile{flex:1 1 14em;border:1px solid #ccc;padding:.6em .8em}"
	".tile b{display:block;font-size:1.7em}"
	".alert{border-color:#c00;color:#c00}"
	"table{border-collapse:collapse;width:100%}"
	"td,th{padding:.2em .5em;border-bottom:1px solid #ddd;"
	"text-align:right;font-variant-numeric:tabular-nums}"
	"td.n,th.n{text-align:left}"
	"svg{width:100%;font:11px sans-serif}";

/* The page being written, with the sums of its period and of each time step. */
typedef struct view {
	const burn_page_t *page;
	GString *out;
	int64_t from_ms;
	int64_t step_ms;
	GArray *key_rows; /* report_row_t by service, tier, team */
	GArray *step_rows; /* report_row_t by time, service, tier */
	accounts_sum_t total;
} view_t;

static void write_text(const view_t *v, const char *s)
{
	g_string_append(v->out, s);
}

static void write_escaped(const view_t *v, const char *s)
{
	html_escape(v->out, s);
}

static void write_count(const view_t *v, uint64_t n)
{
	g_string_append_printf(v->out, "%" G_GUINT64_FORMAT, n);
}

static void write_number(const view_t *v, const char *format, double value)
{
	char s[G_ASCII_DTOSTR_BUF_SIZE];

	g_ascii_formatd(s, sizeof(s), format, value);
	write_text(v, s);
}

static const report_row_t *row_at(const GArray *rows, guint i)
{
	return &g_array_index(rows, report_row_t, i);
}

static bool is_protected(const view_t *v, const accounts_key_t *key)
{
	double objective;
	bool result = false;

	burn_objectives_find(v->page->objectives, key->service, key->tier,
			     &objective, &result);
	return result;
}

/* Sums over the protected tiers. */
static accounts_sum_t protected_sum(const view_t *v)
{
	accounts_sum_t sum = { 0 };

	for (guint i = 0; i < v->key_rows->len; i++)
		if (is_protected(v, &row_at(v->key_rows, i)->key))
			accounts_sum_add(&sum, &row_at(v->key_rows, i)->sum);
	return sum;
}

static void open_tile(const view_t *v, bool is_alert, const char *title)
{
	write_text(v, is_alert ? "<div class=\"tile alert\">" :
				 "<div class=\"tile\">");
	write_text(v, title);
	write_text(v, "<b>");
}

static void write_waste_tile(const view_t *v)
{
	uint64_t wasted = accounts_prompt_wasted(&v->total);

	open_tile(v, false, "Wasted prompt tokens");
	write_count(v, wasted);
	write_text(v, "</b>");
	write_number(v, "%.2f",
		     report_percent(wasted, wasted + v->total.prompt_useful));
	write_text(v, "% of all prompt tokens");
	for (int i = 0; i < WASTE_CAUSES; i++) {
		if (!v->total.prompt_wasted[i])
			continue;
		write_text(v, "<br>");
		write_text(v, waste_cause_name(i));
		write_text(v, ": ");
		write_count(v, v->total.prompt_wasted[i]);
	}
	write_text(v, "</div>\n");
}

static void write_unmet_tile(const view_t *v)
{
	accounts_sum_t sum = protected_sum(v);

	open_tile(v, report_count_bad(&sum) > 0,
		  "Protected tiers: not within need");
	write_count(v, report_count_bad(&sum));
	write_text(v, "</b>of ");
	write_count(v, report_count_ended(&sum));
	write_text(v, " requests<br>late: ");
	write_count(v, sum.late);
	write_text(v, ", not run: ");
	write_count(v, sum.not_run);
	write_text(v, ", failed: ");
	write_count(v, sum.failed);
	write_text(v, ", unknown: ");
	write_count(v, sum.unknown);
	write_text(v, "</div>\n");
}

static void write_burn_tile(const view_t *v)
{
	const GArray *rows = v->page->rows;
	const burn_row_t *worst = NULL;
	guint alerts = 0;

	for (guint i = 0; i < rows->len; i++) {
		const burn_row_t *row = &g_array_index(rows, burn_row_t, i);

		alerts += row->is_alert;
		if (row->has_objective &&
		    (!worst || row->long_window.rate > worst->long_window.rate))
			worst = row;
	}
	open_tile(v, alerts > 0, "Error budgets that burn too fast");
	write_count(v, alerts);
	write_text(v, "</b>");
	if (worst) {
		write_text(v, "fastest: ");
		write_escaped(v, worst->key.service);
		write_text(v, " ");
		write_escaped(v, worst->key.tier);
		write_text(v, " ");
		write_escaped(v, worst->key.team);
		write_text(v, " at ");
		write_number(v, "%.2f", worst->long_window.rate);
	}
	write_text(v, "</div>\n");
}

static void write_missing(const view_t *v)
{
	const accounts_counts_t *m = &v->page->missing;

	write_text(v, "<p>Batches read: ");
	write_count(v, m->batches);
	write_text(v, ". Missing in between: ");
	write_count(v, m->gaps);
	write_text(v, ", expired before: ");
	write_count(v, m->expired);
	write_text(v, ", damaged: ");
	write_count(v, m->damaged);
	write_text(v, ", daemons that ended without a last batch: ");
	write_count(v, m->unended);
	write_text(v, ", running, or lost within the last minute: ");
	write_count(v, m->running);
	write_text(v, ", records that expired before any summary: ");
	write_count(v, m->unread);
	write_text(v, ".</p>\n");
}

static void write_rate_cells(const view_t *v, const burn_row_t *row)
{
	const burn_window_t *const windows[] = { &row->short_window,
						 &row->long_window };

	for (size_t i = 0; i < G_N_ELEMENTS(windows); i++) {
		write_text(v, "<td>");
		write_count(v, windows[i]->bad);
		write_text(v, " of ");
		write_count(v, windows[i]->ended);
		write_text(v, "</td><td>");
		if (row->has_objective)
			write_number(v, "%.2f", windows[i]->rate);
		write_text(v, "</td>");
	}
}

static void write_name_cells(const view_t *v, const accounts_key_t *key)
{
	write_text(v, "<td class=\"n\">");
	write_escaped(v, key->service);
	write_text(v, "</td><td class=\"n\">");
	write_escaped(v, key->tier);
	write_text(v, "</td><td class=\"n\">");
	write_escaped(v, key->team[0] ? key->team : "(all)");
	write_text(v, "</td>");
}

static void write_burn_table(const view_t *v)
{
	const GArray *rows = v->page->rows;

	write_text(v,
		   "<h2>Burn of objectives</h2>\n<table><tr><th class=\"n\">"
		   "service</th><th class=\"n\">tier</th><th class=\"n\">team"
		   "</th><th>objective</th><th>bad, short</th><th>rate</th>"
		   "<th>bad, long</th><th>rate</th><th></th></tr>\n");
	for (guint i = 0; i < MIN(rows->len, MAX_TABLE_ROWS); i++) {
		const burn_row_t *row = &g_array_index(rows, burn_row_t, i);

		write_text(v, row->is_alert ? "<tr class=\"alert\">" : "<tr>");
		write_name_cells(v, &row->key);
		write_text(v, "<td>");
		if (row->has_objective)
			write_number(v, "%.5g", row->objective);
		write_text(v, "</td>");
		write_rate_cells(v, row);
		write_text(v, row->is_alert ? "<td>alert</td></tr>\n" :
					      "<td></td></tr>\n");
	}
	write_text(v, "</table>\n");
}

static int compare_waste(const void *a, const void *b)
{
	const report_row_t *x = a;
	const report_row_t *y = b;
	uint64_t left = accounts_prompt_wasted(&x->sum);
	uint64_t right = accounts_prompt_wasted(&y->sum);

	return left == right ? 0 : left > right ? -1 : 1;
}

static void write_waste_table(const view_t *v)
{
	g_autoptr(GArray) rows = g_array_copy(v->key_rows);

	g_array_sort(rows, compare_waste);
	write_text(v,
		   "<h2>Wasted prompt tokens by team</h2>\n<table><tr>"
		   "<th class=\"n\">service</th><th class=\"n\">tier</th>"
		   "<th class=\"n\">team</th><th>useful</th><th>wasted</th>");
	for (int k = 0; k < WASTE_CAUSES; k++) {
		write_text(v, "<th>");
		write_text(v, waste_cause_name(k));
		write_text(v, "</th>");
	}
	write_text(v, "</tr>\n");
	for (guint i = 0; i < MIN(rows->len, MAX_TABLE_ROWS); i++) {
		const accounts_sum_t *sum = &row_at(rows, i)->sum;

		write_text(v, "<tr>");
		write_name_cells(v, &row_at(rows, i)->key);
		write_text(v, "<td>");
		write_count(v, sum->prompt_useful);
		write_text(v, "</td><td>");
		write_count(v, accounts_prompt_wasted(sum));
		write_text(v, "</td>");
		for (int k = 0; k < WASTE_CAUSES; k++) {
			write_text(v, "<td>");
			write_count(v, sum->prompt_wasted[k]);
			write_text(v, "</td>");
		}
		write_text(v, "</tr>\n");
	}
	write_text(v, "</table>\n");
}

static size_t step_of(const view_t *v, const report_row_t *row)
{
	return (size_t)((row->time_ms - v->from_ms) / v->step_ms);
}

static void plot_init(const view_t *v, svg_plot_t *p, const char *title,
		      const char *unit)
{
	svg_plot_init(p, title, unit, v->from_ms, v->step_ms, PLOT_STEPS);
}

/* Plots goodput or burn rate of each service's tiers over time. */
static void write_tier_plot(const view_t *v, bool is_burn)
{
	svg_plot_t p;

	plot_init(v, &p,
		  is_burn ? "Burn rate by tier (dashed: alert)" :
			    "Goodput by tier",
		  is_burn ? "times what the objective allows" :
			    "% of requests within need");
	if (is_burn)
		p.reference_value = v->page->query->threshold;
	else
		p.y_max = 100;
	for (guint i = 0; i < v->step_rows->len; i++) {
		const report_row_t *row = row_at(v->step_rows, i);
		g_autofree char *name = g_strdup_printf(
			"%s %s", row->key.service, row->key.tier);
		double objective;
		bool unused;

		if (!is_burn)
			svg_plot_values(&p, name, NAN)[step_of(v, row)] =
				report_percent(row->sum.in_need,
					       report_count_ended(&row->sum));
		else if (burn_objectives_find(v->page->objectives,
					      row->key.service, row->key.tier,
					      &objective, &unused))
			svg_plot_values(&p, name, NAN)[step_of(v, row)] =
				burn_rate(&row->sum, objective);
	}
	svg_plot_lines(&p, v->out);
	svg_plot_finish(&p);
}

static void write_waste_plot(const view_t *v)
{
	svg_plot_t p;

	plot_init(v, &p, "Wasted prompt tokens by cause", "tokens a step");
	for (guint i = 0; i < v->step_rows->len; i++) {
		const report_row_t *row = row_at(v->step_rows, i);

		for (int k = 0; k < WASTE_CAUSES; k++)
			if (row->sum.prompt_wasted[k])
				svg_plot_values(&p, waste_cause_name(k),
						0)[step_of(v, row)] +=
					(double)row->sum.prompt_wasted[k];
	}
	svg_plot_bars(&p, v->out);
	svg_plot_finish(&p);
}

/*
 * Plots, by tier, the requests of protected tiers that were late, not run,
 * failed or unknown.
 */
static void write_unmet_plot(const view_t *v)
{
	svg_plot_t p;

	plot_init(v, &p, "Protected tiers: requests not within need",
		  "requests a step");
	for (guint i = 0; i < v->step_rows->len; i++) {
		const report_row_t *row = row_at(v->step_rows, i);
		g_autofree char *name = g_strdup_printf(
			"%s %s", row->key.service, row->key.tier);

		if (is_protected(v, &row->key) && report_count_bad(&row->sum))
			svg_plot_values(&p, name, 0)[step_of(v, row)] +=
				(double)report_count_bad(&row->sum);
	}
	svg_plot_bars(&p, v->out);
	svg_plot_finish(&p);
}

static void view_init(view_t *v, const burn_page_t *page)
{
	const burn_query_t *q = page->query;
	report_query_t query = {
		.by = REPORT_BY_SERVICE | REPORT_BY_TIER | REPORT_BY_TEAM,
		.until_ms = q->at_ms,
	};

	v->page = page;
	v->out = g_string_new("");
	v->step_ms = MAX((q->long_ms + PLOT_STEPS - 1) / PLOT_STEPS, 1);
	v->from_ms = q->at_ms - v->step_ms * PLOT_STEPS;
	query.from_ms = v->from_ms;
	query.step_ms = v->step_ms;
	v->key_rows = report_rows(page->reader, &query);
	query.by = REPORT_BY_TIME | REPORT_BY_SERVICE | REPORT_BY_TIER;
	v->step_rows = report_rows(page->reader, &query);
	v->total = report_total(v->key_rows);
}

static void write_head(const view_t *v)
{
	g_autoptr(GDateTime) time =
		g_date_time_new_from_unix_utc(v->page->query->at_ms / 1000);
	g_autofree char *at =
		time ? g_date_time_format_iso8601(time) : g_strdup("-");

	write_text(v,
		   "<!DOCTYPE html>\n<html lang=\"en\"><meta charset=\"utf-8\">"
		   "<title>papayabank: burn report</title>\n<style>");
	write_text(v, style);
	write_text(v, "</style>\n<h1>Burn report until ");
	write_escaped(v, at);
	write_text(v, "</h1>\n<div class=\"tiles\">\n");
}

GString *burn_page_write(const burn_page_t *page)
{
	view_t v = { 0 };

	view_init(&v, page);
	write_head(&v);
	write_unmet_tile(&v);
	write_waste_tile(&v);
	write_burn_tile(&v);
	write_text(&v, "</div>\n");
	write_unmet_plot(&v);
	write_waste_plot(&v);
	write_tier_plot(&v, false);
	write_tier_plot(&v, true);
	write_burn_table(&v);
	write_waste_table(&v);
	write_missing(&v);
	write_text(&v, "</html>\n");
	g_array_unref(v.key_rows);
	g_array_unref(v.step_rows);
	return v.out;
}
