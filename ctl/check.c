#include "ctl/args.h"
#include "ctl/ctl.h"

#include <glib.h>

#include "core/profile.h"
#include "daemon/settings.h"

static int check_document(ctl_t *ctl, const char *doc, const char *path)
{
	g_autofree char *text = NULL;
	size_t len;
	err_t err;

	text = args_read_file(path, &len, &err);
	if (!text || !profile_check(str_from(doc), (str_t){ text, len }, &err))
		return ctl_fail(ctl, &err);
	fprintf(ctl->out, "%s: %s is sound\n", path, doc);
	return CTL_OK;
}

static int check_settings(ctl_t *ctl, const char *path)
{
	settings_t settings;
	err_t err;

	if (!settings_load(&settings, path, &err))
		return ctl_fail(ctl, &err);
	settings_finish(&settings);
	fprintf(ctl->out, "%s: the settings are sound\n", path);
	return CTL_OK;
}

int ctl_check(ctl_t *ctl, int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_str *doc =
		arg_str0(NULL, "doc", "KIND/NAME",
			 "check FILE as document profile/NAME or service/NAME");
	struct arg_lit *settings =
		arg_lit0(NULL, "settings", "check FILE as a daemon's settings");
	struct arg_str *file = arg_str1(NULL, NULL, "FILE",
					"JSON, with "
					"comments");
	struct arg_end *end = arg_end(ARGS_MAX_ERRORS);
	void *table[] = { help, doc, settings, file, end };
	int code;

	if (!args_parse(ctl, table, G_N_ELEMENTS(table),
			"Checks a file without sending anything.", argc, argv,
			&code))
		goto out;
	if (doc->count + settings->count != 1) {
		fputs("papayactl: give exactly one of --doc or --settings\n",
		      ctl->err);
		code = CTL_USAGE;
	} else if (settings->count) {
		code = check_settings(ctl, file->sval[0]);
	} else {
		code = check_document(ctl, doc->sval[0], file->sval[0]);
	}
out:
	arg_freetable(table, G_N_ELEMENTS(table));
	return code;
}
