#include "ctl/args.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

enum { MAX_FILE_BYTES = 1 << 20 };

static void print_help(ctl_t *ctl, void **table, const char *name,
		       const char *purpose)
{
	fprintf(ctl->out, "usage: papayactl %s", name);
	arg_print_syntax(ctl->out, table, "\n\n");
	fprintf(ctl->out, "%s\n\n", purpose);
	arg_print_glossary(ctl->out, table, "  %-28s %s\n");
}

bool args_parse(ctl_t *ctl, void **table, size_t n, const char *purpose,
		int argc, char **argv, int *code)
{
	struct arg_lit *help = table[0];
	struct arg_end *end = table[n - 1];
	int errors;

	*code = CTL_ERROR;
	if (arg_nullcheck(table)) {
		fputs("papayactl: out of memory\n", ctl->err);
		return false;
	}
	errors = arg_parse(argc, argv, table);
	if (help->count) {
		print_help(ctl, table, argv[0], purpose);
		*code = CTL_OK;
		return false;
	}
	if (errors) {
		arg_print_errors(ctl->err, end, argv[0]);
		fprintf(ctl->err, "usage: papayactl %s", argv[0]);
		arg_print_syntax(ctl->err, table, "\n");
		*code = CTL_USAGE;
		return false;
	}
	return true;
}

const char *args_str(const struct arg_str *arg, const char *def)
{
	return arg->count ? arg->sval[0] : def;
}

int args_int(const struct arg_int *arg, int def, int min, int max)
{
	return CLAMP(arg->count ? arg->ival[0] : def, min, max);
}

const char *args_token(const struct arg_str *arg)
{
	const char *token = getenv("PAPAYA_TOKEN");

	return args_str(arg, token ? token : "");
}

bool args_time(const struct arg_str *arg, int64_t def, int64_t *out, err_t *err)
{
	g_autoptr(GDateTime) time = NULL;
	const char *s = args_str(arg, NULL);
	char *end;

	*out = def;
	if (!s)
		return true;
	*out = g_ascii_strtoll(s, &end, 10);
	if (end != s && !*end)
		return true;
	time = g_date_time_new_from_iso8601(s, NULL);
	if (!time)
		return err_set(err, ERR_INVALID, "time", "",
			       "\"%s\" is neither milliseconds since 1970 nor "
			       "a time like 2026-12-04T03:00:00Z",
			       s);
	*out = g_date_time_to_unix(time) * 1000;
	return true;
}

char *args_read_file(const char *path, size_t *len, err_t *err)
{
	g_autoptr(GError) gerr = NULL;
	char *text;

	if (!g_file_get_contents(path, &text, len, &gerr)) {
		err_set(err, ERR_SYSTEM, "read file", "", "%s", gerr->message);
		return NULL;
	}
	if (*len > MAX_FILE_BYTES) {
		g_free(text);
		err_set(err, ERR_LIMIT, "read file", "",
			"%s is longer than 1 MiB", path);
		return NULL;
	}
	return text;
}

struct arg_str *args_platform_option(void)
{
	return arg_str1(NULL, "platform", "IP:PORT", "the platform's address");
}

struct arg_str *args_token_option(void)
{
	return arg_str0(NULL, "token", "TOKEN",
			"the operator's token (default: $PAPAYA_TOKEN)");
}

struct arg_int *args_timeout_option(void)
{
	return arg_int0(NULL, "timeout-ms", "MS",
			"limit on one HTTP exchange (default: 2000)");
}
