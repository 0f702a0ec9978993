/* Command lines of the stand-ins, parsed by argtable2: one row per option. */
#ifndef STANDIN_LIB_ARGS_H
#define STANDIN_LIB_ARGS_H

#include <stdbool.h>
#include <stddef.h>

typedef enum arg_kind {
	ARG_NUMBER, /* double */
	ARG_TEXT, /* const char *, into argv */
	ARG_FLAG, /* bool */
} arg_kind_t;

typedef struct arg_row {
	const char *name;
	arg_kind_t kind;
	void *value; /* in: the default; out: the value given */
	const char *help;
} arg_row_t;

/* Parses the command line; prints help or errors and exits when needed. */
void args_read(int argc, char **argv, const arg_row_t *rows, size_t n);

#endif
