#include "ctl/args.h"
#include "ctl/ctl.h"

#include <glib.h>

#include "ctl/accounts_log.h"

enum {
	MAX_TIMEOUT_MS = 600000,
	DEFAULT_OLDER_S = 3600,
	MAX_OLDER_S = 90 * 24 * 3600,
};

static int summarize(ctl_t *ctl, const char *platform, int timeout_ms,
		     int64_t cutoff_ms)
{
	g_autofree char *text = NULL;
	accounts_reader_t reader;
	remote_t remote;
	uint64_t as_of = 0;
	uint64_t offset;
	int code = CTL_OK;
	err_t err;

	accounts_reader_init(&reader);
	remote_init(&remote, ctl, platform, timeout_ms);
	if (!accounts_log_read(&reader, &remote, cutoff_ms, &as_of, &err)) {
		code = ctl_fail(ctl, &err);
		goto out;
	}
	text = accounts_reader_summary(&reader, as_of);
	if (!text) {
		fputs("nothing to summarize\n", ctl->out);
		goto out;
	}
	/* A duplicate summary as of the same offset has no effect. */
	if (!remote_append_log(&remote, ACCOUNTS_LOG, str_from(text), &offset,
			       &err)) {
		code = ctl_fail(ctl, &err);
		goto out;
	}
	fprintf(ctl->out,
		"appended a summary of all records before offset "
		"%" G_GUINT64_FORMAT " at offset %" G_GUINT64_FORMAT "\n",
		as_of, offset);
out:
	remote_finish(&remote);
	accounts_reader_finish(&reader);
	return code;
}

int ctl_summarize(ctl_t *ctl, int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_str *platform = args_platform_option();
	struct arg_int *older_than_s =
		arg_int0(NULL, "older-than-s", "S",
			 "summarize records older than this; younger "
			 "ones keep their detail (default: 3600)");
	struct arg_int *timeout = args_timeout_option();
	struct arg_end *end = arg_end(ARGS_MAX_ERRORS);
	void *table[] = { help, platform, older_than_s, timeout, end };
	int64_t age_ms;
	int code;

	if (args_parse(
		    ctl, table, G_N_ELEMENTS(table),
		    "Appends a summary of the accounts, so that sums outlive "
		    "the log's retention.\nRun it at intervals well "
		    "below the retention.",
		    argc, argv, &code)) {
		age_ms = 1000LL * args_int(older_than_s, DEFAULT_OLDER_S, 0,
					   MAX_OLDER_S);
		code = summarize(
			ctl, platform->sval[0],
			args_int(timeout, ARGS_TIMEOUT_MS, 1, MAX_TIMEOUT_MS),
			ctl->now_ms() - age_ms);
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return code;
}
