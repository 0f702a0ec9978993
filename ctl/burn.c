#include "ctl/args.h"
#include "ctl/ctl.h"

#include "ctl/accounts_log.h"
#include "ctl/burn_page.h"
#include "ctl/burn_rows.h"
#include "ctl/config_log.h"

enum {
	MAX_TIMEOUT_MS = 600000,
	DEFAULT_SHORT_S = 300,
	DEFAULT_LONG_S = 3600,
	MAX_WINDOW_S = 90 * 24 * 3600,
	DEFAULT_MIN_REQUESTS = 10,
};

/* This rate uses up a month's error budget in two days. */
static const double DEFAULT_THRESHOLD = 14.4;

static void print_window(FILE *out, const burn_row_t *row,
			 const burn_window_t *w)
{
	fprintf(out, " %8" G_GUINT64_FORMAT " %8" G_GUINT64_FORMAT, w->bad,
		w->ended);
	if (row->has_objective)
		fprintf(out, " %8.2f", w->rate);
	else
		fprintf(out, " %8s", "-");
}

static void print_row(FILE *out, const burn_row_t *row)
{
	fprintf(out, "%-16s %-12s %-12s ", row->key.service, row->key.tier,
		row->key.team[0] ? row->key.team : "(all)");
	if (row->has_objective)
		fprintf(out, "%9.5g", row->objective);
	else
		fprintf(out, "%9s", "-");
	print_window(out, row, &row->short_window);
	print_window(out, row, &row->long_window);
	fprintf(out, "  %s\n", row->is_alert ? "ALERT" : "");
}

static int print_rows(ctl_t *ctl, const GArray *rows)
{
	int code = CTL_OK;

	fprintf(ctl->out, "%-16s %-12s %-12s %9s %8s %8s %8s %8s %8s %8s\n",
		"SERVICE", "TIER", "TEAM", "OBJECTIVE", "BAD", "OF", "SHORT",
		"BAD", "OF", "LONG");
	for (guint i = 0; i < rows->len; i++) {
		const burn_row_t *row = &g_array_index(rows, burn_row_t, i);

		print_row(ctl->out, row);
		if (row->is_alert)
			code = CTL_ALERT;
	}
	return code;
}

static bool write_page(ctl_t *ctl, const char *path, burn_page_t *page,
		       err_t *err)
{
	g_autoptr(GError) gerr = NULL;
	GString *text;
	bool ok;

	accounts_reader_get_counts(page->reader, page->query->at_ms,
				   ACCOUNTS_SILENCE_MS, &page->missing);
	text = burn_page_write(page);
	ok = g_file_set_contents(path, text->str, (gssize)text->len, &gerr);
	g_string_free(text, TRUE);
	if (!ok)
		return err_set(err, ERR_SYSTEM, "write page", "", "%s",
			       gerr->message);
	return true;
}

/* Computes the burn rates from the records read, and prints them. */
static int report_rates(ctl_t *ctl, const accounts_reader_t *reader,
			const config_docs_t *docs, const burn_query_t *query,
			const char *page_path)
{
	g_autoptr(GArray) rows = NULL;
	burn_objectives_t objectives;
	int code;
	err_t err;

	burn_objectives_init(&objectives, docs);
	rows = burn_rows(reader, &objectives, query);
	code = print_rows(ctl, rows);
	if (page_path) {
		burn_page_t page = { reader, &objectives, query, rows, { 0 } };

		if (!write_page(ctl, page_path, &page, &err))
			code = ctl_fail(ctl, &err);
	}
	burn_objectives_finish(&objectives);
	return code;
}

static int burn(ctl_t *ctl, const char *platform, int timeout_ms,
		const burn_query_t *query, const char *page_path)
{
	accounts_reader_t reader;
	config_log_t config;
	remote_t remote;
	int code;
	err_t err;

	accounts_reader_init(&reader);
	remote_init(&remote, ctl, platform, timeout_ms);
	config_log_init(&config, &remote);
	if (config_log_read(&config, &err) &&
	    accounts_log_read(&reader, &remote, 0, NULL, &err))
		code = report_rates(ctl, &reader, &config.docs, query,
				    page_path);
	else
		code = ctl_fail(ctl, &err);
	config_log_finish(&config);
	remote_finish(&remote);
	accounts_reader_finish(&reader);
	return code;
}

int ctl_burn(ctl_t *ctl, int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_str *platform = args_platform_option();
	struct arg_str *at = arg_str0(NULL, "at", "TIME",
				      "end of both windows (default: now)");
	struct arg_int *short_s =
		arg_int0(NULL, "short-s", "S",
			 "length of the short window (default: 300)");
	struct arg_int *long_s =
		arg_int0(NULL, "long-s", "S",
			 "length of the long window (default: 3600)");
	struct arg_dbl *threshold =
		arg_dbl0(NULL, "threshold", "RATE",
			 "alert if the burn rate reaches this in "
			 "both windows (default: 14.4)");
	struct arg_int *min_requests = arg_int0(
		NULL, "min-requests", "N",
		"no alert if a window has fewer requests (default: 10)");
	struct arg_str *page = arg_str0(NULL, "html", "FILE",
					"also write an HTML page with plots");
	struct arg_int *timeout = args_timeout_option();
	struct arg_end *end = arg_end(ARGS_MAX_ERRORS);
	void *table[] = { help,	     platform,	   at,	 short_s, long_s,
			  threshold, min_requests, page, timeout, end };
	burn_query_t query;
	int code;
	err_t err;

	if (!args_parse(ctl, table, G_N_ELEMENTS(table),
			"Tells how fast the objectives' budgets burn. Exits "
			"with 5 when one burns too fast.",
			argc, argv, &code))
		goto out;
	query.short_ms =
		1000LL * args_int(short_s, DEFAULT_SHORT_S, 1, MAX_WINDOW_S);
	query.long_ms =
		1000LL * args_int(long_s, DEFAULT_LONG_S, 1, MAX_WINDOW_S);
	query.threshold =
		threshold->count ? threshold->dval[0] : DEFAULT_THRESHOLD;
	query.min_requests = (uint64_t)args_int(
		min_requests, DEFAULT_MIN_REQUESTS, 1, G_MAXINT);
	if (!args_time(at, ctl->now_ms(), &query.at_ms, &err)) {
		ctl_fail(ctl, &err);
		code = CTL_USAGE;
		goto out;
	}
	code = burn(ctl, platform->sval[0],
		    args_int(timeout, ARGS_TIMEOUT_MS, 1, MAX_TIMEOUT_MS),
		    &query, args_str(page, NULL));
out:
	arg_freetable(table, G_N_ELEMENTS(table));
	return code;
}
