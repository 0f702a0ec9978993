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
 * Parses ARGV by TABLE, whose N entries start with --help and end with the
 * arg_end. Returns true if the command is to run. Otherwise the help or the
 * errors have been printed, and *CODE is the exit code. The caller frees the
 * table with arg_freetable in either case.
 */
bool args_parse(ctl_t *ctl, void **table, size_t n, const char *purpose,
		int argc, char **argv, int *code);

/* Returns the value given, or DEF. */
const char *args_str(const struct arg_str *arg, const char *def);
/* Returns the value given, or DEF, clamped to MIN and MAX. */
int args_int(const struct arg_int *arg, int def, int min, int max);
/*
 * Returns the operator's token: --token, else the environment variable
 * PAPAYA_TOKEN, else "".
 */
const char *args_token(const struct arg_str *arg);
/*
 * Parses a time: milliseconds since 1970, or ISO 8601 with a time zone. Sets
 * *OUT to it, or to DEF if none was given. Returns false with ERR set if the
 * value is neither.
 */
bool args_time(const struct arg_str *arg, int64_t def, int64_t *out,
	       err_t *err);

/*
 * Reads a whole file of up to 1 MiB; the caller frees it with g_free. Returns
 * NULL with ERR set on failure.
 */
char *args_read_file(const char *path, size_t *len, err_t *err);

/* The options that several commands share. */
struct arg_str *args_platform_option(void);
struct arg_str *args_token_option(void);
struct arg_int *args_timeout_option(void);

#endif
