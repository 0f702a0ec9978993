/* Command-line parsing shared by the subcommands, over argtable2. */
#ifndef CTL_ARGS_H
#define CTL_ARGS_H

#include <argtable2.h>
#include <stdbool.h>

#include "ctl/ctl.h"

enum {
	ARGS_MAX_ERRORS = 10,
	ARGS_TIMEOUT_MS = 2000, /* default of --timeout-ms */
};

/*
 * Parses ARGV by TABLE, whose first entry is --help and whose last of N is
 * the arg_end. Returns true to go on; otherwise help or errors have been
 * printed, and CODE is the exit code. The caller frees the table with
 * arg_freetable in either case.
 */
bool args_parse(ctl_t *ctl, void **table, size_t n, const char *purpose,
		int argc, char **argv, int *code);

/* The value given, or DEF. */
const char *args_str(const struct arg_str *arg, const char *def);
/* The value given, or DEF; clamped to MIN and MAX. */
int args_int(const struct arg_int *arg, int def, int min, int max);
/* The operator's token: --token, or PAPAYA_TOKEN of the environment, or "". */
const char *args_token(const struct arg_str *arg);
/*
 * Reads a time: milliseconds since 1970, or ISO 8601 with a time zone.
 * Returns false with ERR set when it is neither; DEF when not given.
 */
bool args_time(const struct arg_str *arg, int64_t def, int64_t *out,
	       err_t *err);

/* Reads a whole file of up to 1 MiB. NULL with ERR set, or g_free it. */
char *args_read_file(const char *path, size_t *len, err_t *err);

/* The options that several commands share. */
struct arg_str *args_platform_option(void);
struct arg_str *args_token_option(void);
struct arg_int *args_timeout_option(void);

#endif
