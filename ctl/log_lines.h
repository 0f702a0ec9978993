/*
 * Parses the structured log lines of daemons: key=value pairs, values with
 * spaces in double quotes. Other lines are skipped and counted.
 */
#ifndef CTL_LOG_LINES_H
#define CTL_LOG_LINES_H

#include <glib.h>
#include <stdbool.h>

#include "common/str.h"

enum { LOG_LINES_MAX = 1000000 /* lines kept of one request */ };

typedef struct log_line {
	char *source; /* file name, and any text before time= */
	char *text; /* the line from time= on */
	char *time; /* as written; string order is time order */
	char *event; /* "" for plain messages */
	guint order; /* position among all lines read */
} log_line_t;

typedef struct log_lines {
	GPtrArray *lines; /* log_line_t of the request, as read */
	guint n_read;
	guint n_damaged; /* without time= or part=, for example cut off */
} log_lines_t;

void log_lines_init(log_lines_t *l);
void log_lines_finish(log_lines_t *l);
/* Parses one line of a file, and keeps it if it names the request. */
void log_lines_add(log_lines_t *l, const char *file, const char *line,
		   const char *request);
/* Sorts the kept lines by time; equal times keep the order of reading. */
void log_lines_sort(log_lines_t *l);
/* Returns the index of the line that reports the request's end, or -1. */
int log_lines_find_end(const log_lines_t *l);
/* Returns KEY's value in a line, or NULL; the caller frees it. */
char *log_lines_value(const char *text, const char *key);

#endif
