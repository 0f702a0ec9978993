/* The daemon's own counters, written in the usual text format. */
#ifndef DAEMON_METRICS_H
#define DAEMON_METRICS_H

#include <glib.h>
#include <stdint.h>

typedef struct metrics {
	GHashTable *values; /* "name{labels}" to a uint64_t */
} metrics_t;

void metrics_init(metrics_t *m);
void metrics_finish(metrics_t *m);
/* Adds to a counter; LABELS as `a="b"` or NULL. */
void metrics_add(metrics_t *m, const char *name, const char *labels,
		 uint64_t n);
/* Sets a gauge. */
void metrics_set(metrics_t *m, const char *name, const char *labels,
		 uint64_t n);
uint64_t metrics_get(const metrics_t *m, const char *name, const char *labels);
/* Counts a duration in the histogram NAME, in milliseconds. */
void metrics_observe(metrics_t *m, const char *name, const char *labels,
		     int64_t ms);
/* Writes all of them, sorted, into TEXT. */
void metrics_print(const metrics_t *m, GString *text);

#endif
