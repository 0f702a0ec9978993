/*
 * Bounded buffer of log lines whose reader may be slow or closed. Each class
 * has a rate limit (token bucket), so that the volume is bounded too. Pure;
 * times are microseconds of the monotonic clock.
 */
#ifndef COMMON_LOG_BUFFER_H
#define COMMON_LOG_BUFFER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/log.h"

typedef struct log_rate {
	double per_s; /* lines per second */
	double burst; /* bucket size in lines */
	double left; /* tokens in the bucket */
	int64_t filled; /* when the bucket was last refilled */
	uint64_t dropped; /* lines */
} log_rate_t;

typedef struct log_buffer {
	GString *text; /* complete lines that are not written yet */
	size_t max; /* bytes */
	size_t max_samples; /* bytes of TEXT beyond which samples are dropped */
	log_rate_t rates[LOG_CLASSES];
	uint64_t reported; /* dropped lines that were reported */
	int64_t reported_at; /* last report */
} log_buffer_t;

void log_buffer_init(log_buffer_t *b, size_t max);
void log_buffer_finish(log_buffer_t *b);
/* Adds a line, given without its newline; false when it was dropped. */
bool log_buffer_add(log_buffer_t *b, log_class_t class, const char *line,
		    int64_t now);
/*
 * Returns how many lines were dropped since the last report, and counts them as
 * reported; 0 when there are none or the last report is less than 1 s old.
 */
uint64_t log_buffer_take_dropped(log_buffer_t *b, int64_t now);
/*
 * Returns the length of the text from byte AT on that one write may take: whole
 * lines of up to MAX bytes together, or a longer line alone.
 */
size_t log_buffer_chunk(const log_buffer_t *b, size_t at, size_t max);
/* Removes the first N bytes, which were written. */
void log_buffer_written(log_buffer_t *b, size_t n);

#endif
