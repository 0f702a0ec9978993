/*
 * Table of settings with one row per setting. Validation, defaults and
 * docs/SETTINGS.md are derived from it.
 */
#ifndef COMMON_OPTION_H
#define COMMON_OPTION_H

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include "common/err.h"
#include "common/str.h"

typedef enum option_type {
	OPTION_INT, /* int64_t, within min and max */
	OPTION_REAL, /* double, within min and max */
	/* int64_t, milliseconds; given as a number or a text like "7.5 s" */
	OPTION_DURATION,
	OPTION_BOOL, /* bool */
	OPTION_STRING, /* char *, owned by the settings */
	OPTION_LIST, /* char **, NULL-terminated, owned by the settings */
} option_type_t;

typedef struct option {
	const char *name;
	option_type_t type;
	const char *unit; /* "": none */
	int64_t min; /* numbers: least value; strings, lists: least length */
	int64_t max; /* greatest value or length */
	const char *def; /* default as text; NULL when the key is required */
	size_t offset; /* of the field in the settings struct */
	const char *help;
	const char *const *choices; /* strings: allowed values; NULL: any */
} option_t;

/*
 * Sets every field of SETTINGS to its default, then overrides it from TEXT. At
 * the first unknown, duplicate, missing or out-of-range key it returns false,
 * with ERR naming file, line, column and the accepted range. In either case
 * free the fields with option_free().
 */
bool option_parse(const option_t *table, size_t n, void *settings, str_t text,
		  const char *name, err_t *err);

/* Frees the strings and lists that option_parse allocated. */
void option_free(const option_t *table, size_t n, void *settings);

/* Writes the table as a Markdown table. */
void option_print_markdown(const option_t *table, size_t n, FILE *out);

#endif
