#include "ctl/ctl.h"

#include <glib.h>
#include <string.h>

static const ctl_command_t commands[] = {
	{ "check", "check a document or a daemon's settings, offline",
	  ctl_check },
	{ "publish", "publish a profile or service", ctl_publish },
	{ "profiles", "list the documents in force", ctl_profiles },
	{ "status", "show the state of every daemon", ctl_status },
	{ "rollouts", "show the roll-outs that a daemon follows, and why",
	  ctl_rollouts },
	{ "drain", "tell a daemon to finish and exit", ctl_drain },
	{ "report", "sum up useful work and waste", ctl_report },
	{ "summarize", "keep the accounts' sums past the log's retention",
	  ctl_summarize },
	{ "explain", "show a request's way through the daemons' logs",
	  ctl_explain },
	{ "route", "ask a daemon where a request would go now", ctl_route },
	{ "burn", "tell how fast the objectives' budgets burn", ctl_burn },
};

static void print_help(FILE *out)
{
	fputs("usage: papayactl COMMAND [OPTIONS]\n\n", out);
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		fprintf(out, "  %-10s %s\n", commands[i].name,
			commands[i].help);
	fputs("\npapayactl COMMAND --help lists a command's options.\n", out);
}

int ctl_run(ctl_t *ctl, int argc, char **argv)
{
	const char *name = argc > 1 ? argv[1] : "";

	if (!strcmp(name, "--help") || !strcmp(name, "-h")) {
		print_help(ctl->out);
		return CTL_OK;
	}
	if (!strcmp(name, "--version")) {
		fputs("papayactl 0.1.0\n", ctl->out);
		return CTL_OK;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		if (!strcmp(commands[i].name, name))
			return commands[i].run(ctl, argc - 1, argv + 1);
	if (name[0])
		fprintf(ctl->err, "papayactl: unknown command \"%s\"\n", name);
	print_help(ctl->err);
	return CTL_USAGE;
}

int ctl_fail(ctl_t *ctl, const err_t *err)
{
	char text[ERR_DETAIL_SIZE + ERR_PEER_SIZE + 64];

	fprintf(ctl->err, "papayactl: %s\n", err_text(err, text, sizeof(text)));
	return CTL_ERROR;
}
