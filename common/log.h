/*
 * Logging: GLib structured logs, one line a message, as key=value pairs that
 * docs/OPERATIONS.md lists. Each source file sets LOG_PART, a fixed prefix,
 * before it includes this header.
 *
 * A daemon's lines go to standard output through a bounded buffer that never
 * blocks; what does not fit, or comes too fast, is dropped by class and
 * counted, and the count is itself logged. A tool's lines go to standard
 * error as they come.
 */
#ifndef COMMON_LOG_H
#define COMMON_LOG_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* How much a line is worth when not all can be kept. */
typedef enum log_class {
	LOG_CLASS_KEEP, /* refusals, errors, changes of what is believed */
	LOG_CLASS_SAMPLE, /* what went well */
	LOG_CLASSES,
} log_class_t;

/*
 * Sends GLib's log to standard error. LEVEL is the least severe level
 * printed: "error", "warning", "info" or "debug". Returns false for an
 * unknown level.
 */
bool log_init(const char *level);
/*
 * Sends the log to the descriptor FD instead, which becomes non-blocking,
 * from the loop of BASE. To be ended before the base.
 */
void log_attach(struct event_base *base, int fd);
/* Writes what can be written at once, and goes back to standard error. */
void log_detach(void);
/* Lines dropped so far, of one class. */
uint64_t log_dropped(log_class_t class);

/* Writes one message; use the macros below. */
void log_write(GLogLevelFlags level, const char *part, const char *fmt, ...)
	G_GNUC_PRINTF(3, 4);
/* Writes one decision: EVENT names it, FMT holds further key=value pairs. */
void log_event_write(GLogLevelFlags level, log_class_t class, const char *part,
		     const char *event, const char *fmt, ...)
	G_GNUC_PRINTF(5, 6);

#define log_error(...) log_write(G_LOG_LEVEL_CRITICAL, LOG_PART, __VA_ARGS__)
#define log_warn(...) log_write(G_LOG_LEVEL_WARNING, LOG_PART, __VA_ARGS__)
#define log_info(...) log_write(G_LOG_LEVEL_INFO, LOG_PART, __VA_ARGS__)
#define log_debug(...) log_write(G_LOG_LEVEL_DEBUG, LOG_PART, __VA_ARGS__)

/* A decision that must not be lost; a decision of which samples do. */
#define log_event(event, ...)                                              \
	log_event_write(G_LOG_LEVEL_INFO, LOG_CLASS_KEEP, LOG_PART, event, \
			__VA_ARGS__)
#define log_sample(event, ...)                                               \
	log_event_write(G_LOG_LEVEL_INFO, LOG_CLASS_SAMPLE, LOG_PART, event, \
			__VA_ARGS__)

#endif
