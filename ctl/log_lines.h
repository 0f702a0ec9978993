/*
 * Reads daemons' structured log lines back: key=value pairs, values with
 * blanks in double quotes. What is no such line is passed over and counted.
 */
#ifndef CTL_LOG_LINES_H
#define CTL_LOG_LINES_H

#include <glib.h>
#include <stdbool.h>

#include "common/str.h"

enum { LOG_LINES_MAX = 1000000 /* lines kept of one request */ };

typedef struct log_line {
	char *source; /* file, and what stands before the line in it */
	char *text; /* from time= on */
	char *time; /* as written; sorts by time */
	char *event; /* "" for plain messages */
	guint order; /* among all lines read */
} log_line_t;

typedef struct log_lines {
	GPtrArray *lines; /* log_line_t of the request, as they were read */
	guint n_read;
	guint n_damaged; /* no time, or cut in a value */
} log_lines_t;

void log_lines_init(log_lines_t *l);
void log_lines_finish(log_lines_t *l);
/* Takes one line of a file; it is kept when it names the request. */
void log_lines_add(log_lines_t *l, const char *file, const char *line,
		   const char *request);
/* Sorts what was kept by time, and lines of one time as they were read. */
void log_lines_sort(log_lines_t *l);
/* Index of the line that settled the request's fate, or -1. */
int log_lines_decisive(const log_lines_t *l);
/* Finds KEY's value in a line; the caller frees it. NULL when it has none. */
char *log_lines_value(const char *text, const char *key);

#endif
