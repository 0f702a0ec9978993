/* Declarations that the commands of papayactl share. */
#ifndef CTL_CTL_H
#define CTL_CTL_H

#include <event2/event.h>
#include <stdint.h>
#include <stdio.h>

#include "common/err.h"

/* Exit codes. */
enum {
	CTL_OK = 0,
	CTL_ERROR = 1, /* failed; an error message was printed */
	CTL_USAGE = 2, /* wrong command line */
	CTL_PENDING = 3, /* publish: accepted, not in force everywhere yet */
	CTL_SUPERSEDED = 4, /* publish: its base version is outdated */
	CTL_ALERT = 5, /* burn: an error budget burns too fast */
};

/* Event loop, output streams and clock of a command. */
typedef struct ctl {
	struct event_base *base;
	FILE *out;
	FILE *err;
	int64_t (*now_ms)(void); /* wall clock */
} ctl_t;

/* One subcommand; ARGV[0] is its name. Returns an exit code. */
typedef struct ctl_command {
	const char *name;
	const char *help; /* one line */
	int (*run)(ctl_t *ctl, int argc, char **argv);
} ctl_command_t;

/* Runs the command line of papayactl; ARGV[0] is the program. */
int ctl_run(ctl_t *ctl, int argc, char **argv);

int ctl_check(ctl_t *ctl, int argc, char **argv);
int ctl_publish(ctl_t *ctl, int argc, char **argv);
int ctl_profiles(ctl_t *ctl, int argc, char **argv);
int ctl_status(ctl_t *ctl, int argc, char **argv);
int ctl_rollouts(ctl_t *ctl, int argc, char **argv);
int ctl_drain(ctl_t *ctl, int argc, char **argv);
int ctl_report(ctl_t *ctl, int argc, char **argv);
int ctl_summarize(ctl_t *ctl, int argc, char **argv);
int ctl_explain(ctl_t *ctl, int argc, char **argv);
int ctl_route(ctl_t *ctl, int argc, char **argv);
int ctl_burn(ctl_t *ctl, int argc, char **argv);

/* Prints an error as "papayactl: STEP: ..." and returns CTL_ERROR. */
int ctl_fail(ctl_t *ctl, const err_t *err);

#endif
