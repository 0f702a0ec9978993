#include "ctl/args.h"
#include "ctl/ctl.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#include "ctl/log_lines.h"

enum { MAX_FILES = 1000 };

static void read_stream(log_lines_t *lines, FILE *in, const char *name,
			const char *request)
{
	char *line = NULL;
	size_t size = 0;

	while (getline(&line, &size, in) >= 0)
		log_lines_add(lines, name, line, request);
	free(line);
}

static bool read_file(log_lines_t *lines, const char *path, const char *request,
		      err_t *err)
{
	FILE *in = fopen(path, "r");

	if (!in)
		return err_set(err, ERR_SYSTEM, "read log", path,
			       "the file can't be opened");
	read_stream(lines, in, path, request);
	fclose(in);
	return true;
}

static int print_events(ctl_t *ctl, log_lines_t *lines, const char *request)
{
	int end_line;

	log_lines_sort(lines);
	end_line = log_lines_find_end(lines);
	for (guint i = 0; i < lines->lines->len; i++) {
		const log_line_t *line = lines->lines->pdata[i];

		fprintf(ctl->out, "%s %s%s%s\n",
			(int)i == end_line ? "=>" : "  ", line->source,
			line->source[0] ? ": " : "", line->text);
	}
	if (lines->n_damaged)
		fprintf(ctl->err,
			"papayactl: skipped %u of %u lines that are not log "
			"lines\n",
			lines->n_damaged, lines->n_read);
	if (lines->lines->len)
		return CTL_OK;
	fprintf(ctl->err, "papayactl: no log line of request %s\n", request);
	return CTL_ERROR;
}

static int explain(ctl_t *ctl, const char *request,
		   const struct arg_file *files)
{
	log_lines_t lines;
	err_t err = { 0 };
	int code = CTL_OK;

	log_lines_init(&lines);
	if (!files->count)
		read_stream(&lines, stdin, "", request);
	for (int i = 0; i < files->count && code == CTL_OK; i++)
		if (!read_file(&lines, files->filename[i], request, &err))
			code = ctl_fail(ctl, &err);
	if (code == CTL_OK)
		code = print_events(ctl, &lines, request);
	log_lines_finish(&lines);
	return code;
}

int ctl_explain(ctl_t *ctl, int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_str *request =
		arg_str1(NULL, NULL, "ID", "id of the request's attempt");
	struct arg_file *files =
		arg_filen(NULL, NULL, "FILE", 0, MAX_FILES,
			  "logs of daemons (default: standard input)");
	struct arg_end *end = arg_end(ARGS_MAX_ERRORS);
	void *table[] = { help, request, files, end };
	int code;

	if (args_parse(ctl, table, G_N_ELEMENTS(table),
		       "Prints the way of one request through the daemons' "
		       "logs, by time.\n=> marks the decision that settled it. "
		       "Exits with 1 when no line names it.",
		       argc, argv, &code))
		code = explain(ctl, request->sval[0], files);
	arg_freetable(table, G_N_ELEMENTS(table));
	return code;
}
