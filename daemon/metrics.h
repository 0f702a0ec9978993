/* Counters, gauges and histograms, printed in the Prometheus text format. */
#ifndef DAEMON_METRICS_H
#define DAEMON_METRICS_H

#include <glib.h>
#include <stdint.h>

typedef struct metrics {
	GHashTable *values; /* "name{labels}" to uint64_t */
} metrics_t;

void metrics_init(metrics_t *m);
void metrics_finish(metrics_t *m);
/* Adds N to a counter. LABELS is like `a="b"`, or NULL. */
void metrics_add(metrics_t *m, const char *name, const char *labels,
		 uint64_t n);
void metrics_set(metrics_t *m, const char *name, const char *labels,
		 uint64_t n);
uint64_t metrics_get(const metrics_t *m, const char *name, const char *labels);
/* Adds a duration in milliseconds to the histogram NAME. */
void metrics_observe(metrics_t *m, const char *name, const char *labels,
		     int64_t ms);
/* Appends all metrics to TEXT, sorted by name. */
void metrics_print(const metrics_t *m, GString *text);

#endif
