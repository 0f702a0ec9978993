#include "ctl/args.h"
#include "ctl/ctl.h"

#include <jansson.h>
#include <stdlib.h>

#include "ctl/accounts_log.h"
#include "ctl/report_rows.h"

enum {
	MAX_TIMEOUT_MS = 600000,
	DEFAULT_STEP_S = 60,
	MAX_STEP_S = 7 * 24 * 3600,
	MAX_STEPS = 10000,
	TIME_SIZE = 32,
};

static const char default_by[] = "service,tier,team";

/* State shared by the printing functions. */
typedef struct report {
	ctl_t *ctl;
	report_query_t query;
	GArray *rows;
	accounts_counts_t missing;
} report_t;

static void format_time(int64_t ms, char *out)
{
	g_autoptr(GDateTime) time = g_date_time_new_from_unix_utc(ms / 1000);
	g_autofree char *text =
		time ? g_date_time_format(time, "%Y-%m-%dT%H:%M:%SZ") : NULL;

	g_strlcpy(out, text ? text : "-", TIME_SIZE);
}

static void print_head(const report_t *r)
{
	FILE *out = r->ctl->out;

	if (r->query.by & REPORT_BY_TIME)
		fprintf(out, "%-20s ", "TIME");
	if (r->query.by & REPORT_BY_SERVICE)
		fprintf(out, "%-16s ", "SERVICE");
	if (r->query.by & REPORT_BY_TIER)
		fprintf(out, "%-12s ", "TIER");
	if (r->query.by & REPORT_BY_TEAM)
		fprintf(out, "%-12s ", "TEAM");
	fprintf(out, "%8s %8s %7s %7s %7s %7s %7s %9s %11s %11s %8s  %s\n",
		"OFFERED", "IN-NEED", "LATE", "NOT-RUN", "FAILED", "UNKNOWN",
		"LEFT", "GOODPUT%", "PROMPT-USE", "PROMPT-LOST", "LOST%",
		"CAUSES");
}

/* Prints the prompt tokens wasted by each cause, or "-" if there are none. */
static void print_causes(FILE *out, const accounts_sum_t *sum)
{
	const char *separator = "";

	for (int i = 0; i < WASTE_CAUSES; i++) {
		if (!sum->prompt_wasted[i])
			continue;
		fprintf(out, "%s%s=%" G_GUINT64_FORMAT, separator,
			waste_cause_name(i), sum->prompt_wasted[i]);
		separator = " ";
	}
	fputs(separator[0] ? "\n" : "-\n", out);
}

static void print_sum(FILE *out, const accounts_sum_t *sum)
{
	uint64_t wasted = accounts_prompt_wasted(sum);

	fprintf(out,
		"%8" G_GUINT64_FORMAT " %8" G_GUINT64_FORMAT
		" %7" G_GUINT64_FORMAT " %7" G_GUINT64_FORMAT
		" %7" G_GUINT64_FORMAT " %7" G_GUINT64_FORMAT
		" %7" G_GUINT64_FORMAT " %9.2f %11" G_GUINT64_FORMAT
		" %11" G_GUINT64_FORMAT " %8.2f  ",
		sum->offered, sum->in_need, sum->late, sum->not_run,
		sum->failed, sum->unknown, sum->cancelled,
		report_percent(sum->in_need, sum->offered), sum->prompt_useful,
		wasted, report_percent(wasted, wasted + sum->prompt_useful));
	print_causes(out, sum);
}

static void print_row(const report_t *r, const report_row_t *row)
{
	FILE *out = r->ctl->out;
	char time[TIME_SIZE];

	format_time(row->time_ms, time);
	if (r->query.by & REPORT_BY_TIME)
		fprintf(out, "%-20s ", time);
	if (r->query.by & REPORT_BY_SERVICE)
		fprintf(out, "%-16s ", row->key.service);
	if (r->query.by & REPORT_BY_TIER)
		fprintf(out, "%-12s ", row->key.tier);
	if (r->query.by & REPORT_BY_TEAM)
		fprintf(out, "%-12s ", row->key.team);
	print_sum(out, &row->sum);
}

static void print_missing(FILE *out, const accounts_counts_t *m)
{
	fprintf(out,
		"\nbatches: %" G_GUINT64_FORMAT " read, %" G_GUINT64_FORMAT
		" missing in between, %" G_GUINT64_FORMAT
		" expired before, %" G_GUINT64_FORMAT
		" damaged, %" G_GUINT64_FORMAT " repeated\n"
		"daemons that ended without a last batch: %" G_GUINT64_FORMAT
		"; running, or lost within the last minute: %" G_GUINT64_FORMAT
		"\n"
		"records that expired before any summary: %" G_GUINT64_FORMAT
		"\n",
		m->batches, m->gaps, m->expired, m->damaged, m->repeats,
		m->unended, m->running, m->unread);
}

static void print_table(const report_t *r)
{
	accounts_sum_t total = report_total(r->rows);

	print_head(r);
	for (guint i = 0; i < r->rows->len; i++)
		print_row(r, &g_array_index(r->rows, report_row_t, i));
	fputs("\ntotal: ", r->ctl->out);
	print_sum(r->ctl->out, &total);
	print_missing(r->ctl->out, &r->missing);
}

static json_t *sum_json(const accounts_sum_t *sum)
{
	json_t *json = json_object();

	for (size_t i = 0; i < accounts_field_count(); i++)
		json_object_set_new(
			json, accounts_field_name(i),
			json_integer((json_int_t)accounts_field_get(sum, i)));
	return json;
}

static json_t *row_json(const report_t *r, const report_row_t *row)
{
	json_t *json = sum_json(&row->sum);

	if (r->query.by & REPORT_BY_TIME)
		json_object_set_new(json, "time_ms",
				    json_integer(row->time_ms));
	if (r->query.by & REPORT_BY_SERVICE)
		json_object_set_new(json, "service",
				    json_string(row->key.service));
	if (r->query.by & REPORT_BY_TIER)
		json_object_set_new(json, "tier", json_string(row->key.tier));
	if (r->query.by & REPORT_BY_TEAM)
		json_object_set_new(json, "team", json_string(row->key.team));
	return json;
}

static json_t *missing_json(const accounts_counts_t *m)
{
	return json_pack("{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I}",
			 "batches", (json_int_t)m->batches, "gaps",
			 (json_int_t)m->gaps, "expired", (json_int_t)m->expired,
			 "unended", (json_int_t)m->unended, "damaged",
			 (json_int_t)m->damaged, "repeats",
			 (json_int_t)m->repeats, "merged",
			 (json_int_t)m->merged, "unread", (json_int_t)m->unread,
			 "running", (json_int_t)m->running);
}

static void print_json(const report_t *r)
{
	accounts_sum_t total = report_total(r->rows);
	json_t *rows = json_array();
	json_t *root;

	for (guint i = 0; i < r->rows->len; i++)
		json_array_append_new(
			rows,
			row_json(r, &g_array_index(r->rows, report_row_t, i)));
	root = json_pack("{s:I, s:I, s:o, s:o, s:o}", "from_ms",
			 (json_int_t)r->query.from_ms, "until_ms",
			 (json_int_t)r->query.until_ms, "rows", rows, "total",
			 sum_json(&total), "missing",
			 missing_json(&r->missing));
	json_dumpf(root, r->ctl->out, JSON_INDENT(1));
	fputc('\n', r->ctl->out);
	json_decref(root);
}

/* Limits the query to the time span of the records read. */
static bool clamp_query(const accounts_reader_t *reader, report_query_t *query,
			err_t *err)
{
	int64_t first;
	int64_t last;
	int64_t step = query->step_ms;

	if (!accounts_reader_span(reader, &first, &last)) {
		query->until_ms = query->from_ms;
		return true;
	}
	query->from_ms = MAX(query->from_ms, first - first % step);
	query->until_ms = MIN(query->until_ms, last + 1);
	if ((query->until_ms - query->from_ms) / step > MAX_STEPS)
		return err_set(err, ERR_LIMIT, "report", "",
			       "more than %d time steps; give a longer "
			       "--step-s",
			       MAX_STEPS);
	return true;
}

static int report(report_t *r, const char *platform, int timeout_ms,
		  bool is_json)
{
	accounts_reader_t reader;
	remote_t remote;
	int code = CTL_OK;
	err_t err;

	accounts_reader_init(&reader);
	remote_init(&remote, r->ctl, platform, timeout_ms);
	if (!accounts_log_read(&reader, &remote, 0, NULL, &err) ||
	    !clamp_query(&reader, &r->query, &err)) {
		code = ctl_fail(r->ctl, &err);
		goto out;
	}
	r->rows = report_rows(&reader, &r->query);
	accounts_reader_get_counts(&reader, r->ctl->now_ms(),
				   ACCOUNTS_SILENCE_MS, &r->missing);
	if (is_json)
		print_json(r);
	else
		print_table(r);
	g_array_unref(r->rows);
out:
	remote_finish(&remote);
	accounts_reader_finish(&reader);
	return code;
}

int ctl_report(ctl_t *ctl, int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_str *platform = args_platform_option();
	struct arg_str *by = arg_str0(NULL, "by", "LIST",
				      "group by any of time,service,tier,team "
				      "(default: service,tier,team)");
	struct arg_str *from = arg_str0(NULL, "from", "TIME",
					"start: ISO 8601, or ms since 1970");
	struct arg_str *until = arg_str0(NULL, "until", "TIME", "likewise");
	struct arg_int *step =
		arg_int0(NULL, "step-s", "S",
			 "length of a time step of --by time (default: 60)");
	struct arg_lit *json = arg_lit0(NULL, "json", "print JSON");
	struct arg_int *timeout = args_timeout_option();
	struct arg_end *end = arg_end(ARGS_MAX_ERRORS);
	void *table[] = { help, platform, by,	   from, until,
			  step, json,	  timeout, end };
	report_t r = { .ctl = ctl };
	int code;
	err_t err;

	if (!args_parse(ctl, table, G_N_ELEMENTS(table),
			"Sums up useful work and waste. Batches count at the "
			"time they were closed.",
			argc, argv, &code))
		goto out;
	r.query.by = report_by_parse(args_str(by, default_by), &err);
	r.query.step_ms =
		1000LL * args_int(step, DEFAULT_STEP_S, 1, MAX_STEP_S);
	if (!r.query.by || !args_time(from, 0, &r.query.from_ms, &err) ||
	    !args_time(until, INT64_MAX, &r.query.until_ms, &err)) {
		ctl_fail(ctl, &err);
		code = CTL_USAGE;
		goto out;
	}
	code = report(&r, platform->sval[0],
		      args_int(timeout, ARGS_TIMEOUT_MS, 1, MAX_TIMEOUT_MS),
		      json->count > 0);
out:
	arg_freetable(table, G_N_ELEMENTS(table));
	return code;
}
