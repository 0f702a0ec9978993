/* papayad: the daemon that runs on every entry VM. */
#define LOG_PART "main"

#include <argtable2.h>
#include <event2/event.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "common/log.h"
#include "daemon/supervisor.h"

#define VERSION "0.1.0"

enum { EXIT_USAGE = 2 };

/* Serves the daemon's own interface by the published profiles. */
static const task_spec_t *const profile_tasks[TASK_COUNT] = {
	[TASK_PLATFORM] = &platform_task, [TASK_PEERS] = &peers_task,
	[TASK_CAPACITY] = &capacity_task, [TASK_LIMITS] = &limits_task,
	[TASK_FRONT] = &front_task,	  [TASK_ACCOUNTS] = &accounts_task,
	[TASK_ADMIN] = &admin_task,
};

/* Fleet: serves the routes configured by the platform's operators. */
static const task_spec_t *const fleet_tasks[TASK_COUNT] = {
	[TASK_PLATFORM] = &store_task,	  [TASK_PEERS] = &peers_task,
	[TASK_CAPACITY] = &capacity_task, [TASK_LIMITS] = &limits_task,
	[TASK_FRONT] = &gateway_task,	  [TASK_ACCOUNTS] = &accounts_task,
	[TASK_ADMIN] = &admin_task,
};

static void on_terminate(evutil_socket_t fd, short what, void *arg)
{
	supervisor_drain(arg);
}

/*
 * Validates the settings file and logs the result, so that an error is found
 * before the next start, when the settings take effect. The running daemon
 * keeps its settings.
 */
static void on_sighup(evutil_socket_t fd, short what, void *arg)
{
	const char *path = arg;
	char text[ERR_DETAIL_SIZE * 2];
	settings_t settings;
	err_t err = { 0 };

	if (!settings_load(&settings, path, &err)) {
		log_event("reload", "path=%s sound=no why=\"%s\"", path,
			  err_text(&err, text, sizeof(text)));
		return;
	}
	log_event("reload", "path=%s sound=yes in_force=\"at the next start\"",
		  path);
	settings_finish(&settings);
}

static int run_daemon(const settings_t *settings, const char *path)
{
	struct event_base *base = event_base_new();
	struct event *term, *intr, *hup;
	supervisor_t sup;
	char text[ERR_DETAIL_SIZE * 2];
	err_t err = { 0 };
	int status = EXIT_FAILURE;

	signal(SIGPIPE, SIG_IGN);
	log_attach(base, STDOUT_FILENO);
	supervisor_init(&sup, base, settings);
	term = evsignal_new(base, SIGTERM, on_terminate, &sup);
	intr = evsignal_new(base, SIGINT, on_terminate, &sup);
	hup = evsignal_new(base, SIGHUP, on_sighup, (void *)path);
	event_add(term, NULL);
	event_add(intr, NULL);
	event_add(hup, NULL);
	if (!supervisor_start(&sup,
			      settings->fleet ? fleet_tasks : profile_tasks,
			      &err)) {
		log_error("%s", err_text(&err, text, sizeof(text)));
		goto out;
	}
	log_event("start", "name=%s zone=%s listen=%s version=%s",
		  settings->name, settings->zone, settings->listen, VERSION);
	event_base_dispatch(base);
	status = supervisor_has_failed(&sup) ? EXIT_FAILURE : EXIT_SUCCESS;
	log_event("stop", "name=%s status=%d", settings->name, status);
out:
	supervisor_finish(&sup);
	log_detach();
	event_free(term);
	event_free(intr);
	event_free(hup);
	event_base_free(base);
	return status;
}

static int load_and_run(const char *path, bool check_only)
{
	settings_t settings;
	char text[ERR_DETAIL_SIZE * 2];
	err_t err = { 0 };
	int status;

	if (!settings_load(&settings, path, &err)) {
		fprintf(stderr, "papayad: %s\n",
			err_text(&err, text, sizeof(text)));
		return EXIT_USAGE;
	}
	if (check_only) {
		printf("%s: settings are valid\n", path);
		status = EXIT_SUCCESS;
	} else {
		log_init(settings.log_level);
		status = run_daemon(&settings, path);
	}
	settings_finish(&settings);
	return status;
}

int main(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_lit *version = arg_lit0("V", "version", "print the version");
	struct arg_lit *check =
		arg_lit0(NULL, "check-settings", "check the settings and exit");
	struct arg_lit *print = arg_lit0(NULL, "print-settings",
					 "print every setting as Markdown");
	struct arg_file *file = arg_file0(NULL, NULL, "SETTINGS",
					  "settings, JSON with comments");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, version, check, print, file, end };
	int n_errors = arg_parse(argc, argv, table);
	int status = EXIT_SUCCESS;

	if (help->count) {
		printf("usage: papayad");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-20s %s\n");
	} else if (version->count) {
		printf("papayad %s\n", VERSION);
	} else if (print->count) {
		settings_print_markdown(stdout);
	} else if (n_errors || !file->count) {
		arg_print_errors(stderr, end, "papayad");
		fprintf(stderr, "papayad: a settings file is needed; "
				"see papayad --help\n");
		status = EXIT_USAGE;
	} else {
		status = load_and_run(file->filename[0], check->count);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return status;
}
