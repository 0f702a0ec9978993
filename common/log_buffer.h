/*
 * Lines on their way to a reader that may be slow or gone: bounded, and rated
 * by class so that the volume stays bounded too. Pure; times are
 * microseconds of the monotonic clock.
 */
#ifndef COMMON_LOG_BUFFER_H
#define COMMON_LOG_BUFFER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/log.h"

typedef struct log_rate {
	double per_s; /* lines */
	double burst; /* lines */
	double left;
	int64_t filled;
	uint64_t dropped;
} log_rate_t;

typedef struct log_buffer {
	GString *text; /* whole lines that are not written yet */
	size_t max; /* bytes */
	size_t max_samples; /* bytes; beyond it samples are dropped first */
	log_rate_t rates[LOG_CLASSES];
	uint64_t told; /* drops that were told of */
	int64_t told_at;
} log_buffer_t;

void log_buffer_init(log_buffer_t *b, size_t max);
void log_buffer_finish(log_buffer_t *b);
/* Takes a line without its end; false when it was dropped. */
bool log_buffer_add(log_buffer_t *b, log_class_t class, const char *line,
		    int64_t now);
/* Drops since the last call, told once a second at most; 0: none. */
uint64_t log_buffer_untold(log_buffer_t *b, int64_t now);
/* N bytes were written. */
void log_buffer_written(log_buffer_t *b, size_t n);

#endif
