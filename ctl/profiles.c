#include "ctl/args.h"
#include "ctl/ctl.h"

#include <glib.h>

#include "ctl/config_log.h"

enum { MAX_TIMEOUT_MS = 600000 };

static void print_doc(void *ctx, const config_doc_t *doc)
{
	ctl_t *ctl = ctx;

	fprintf(ctl->out,
		"%-40s %8" G_GUINT64_FORMAT " %8" G_GUINT64_FORMAT "\n",
		doc->name, doc->version, doc->offset);
}

static int print_body(ctl_t *ctl, const config_docs_t *docs, const char *name)
{
	const config_doc_t *doc = config_docs_find(docs, str_from(name));
	gsize len;
	const char *text;
	err_t err;

	if (!doc) {
		err_set(&err, ERR_UNAVAILABLE, "profiles", "",
			"%s was never published", name);
		return ctl_fail(ctl, &err);
	}
	text = g_bytes_get_data(doc->body, &len);
	fprintf(ctl->out, "%.*s\n", (int)len, text);
	return CTL_OK;
}

static int list(ctl_t *ctl, const char *platform, int timeout_ms,
		const char *doc)
{
	remote_t remote;
	config_log_t log;
	int code = CTL_OK;
	err_t err;

	remote_init(&remote, ctl, platform, timeout_ms);
	config_log_init(&log, &remote);
	if (!config_log_read(&log, &err)) {
		code = ctl_fail(ctl, &err);
		goto out;
	}
	if (!config_docs_is_complete(&log.docs))
		fputs("papayactl: some records expired and no snapshot "
		      "covers them; the list may be out of date\n",
		      ctl->err);
	if (doc) {
		code = print_body(ctl, &log.docs, doc);
	} else {
		fprintf(ctl->out, "%-40s %8s %8s\n", "DOCUMENT", "VERSION",
			"OFFSET");
		config_docs_each(&log.docs, print_doc, ctl);
	}
out:
	config_log_finish(&log);
	remote_finish(&remote);
	return code;
}

int ctl_profiles(ctl_t *ctl, int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_str *platform = args_platform_option();
	struct arg_str *doc = arg_str0(NULL, "doc", "KIND/NAME",
				       "print this document's body");
	struct arg_int *timeout = args_timeout_option();
	struct arg_end *end = arg_end(ARGS_MAX_ERRORS);
	void *table[] = { help, platform, doc, timeout, end };
	int code;

	if (args_parse(ctl, table, G_N_ELEMENTS(table),
		       "Lists the documents in force, or prints one of them.",
		       argc, argv, &code))
		code = list(
			ctl, platform->sval[0],
			args_int(timeout, ARGS_TIMEOUT_MS, 1, MAX_TIMEOUT_MS),
			args_str(doc, NULL));
	arg_freetable(table, G_N_ELEMENTS(table));
	return code;
}
