/*
 * Logging through GLib's structured logs: one line per message, of key=value
 * pairs that docs/OPERATIONS.md lists. Each source file defines LOG_PART, the
 * value of the key part, before it includes this header.
 *
 * A daemon writes its lines to standard output through a bounded buffer and
 * never blocks. Lines that don't fit, or exceed the rate of their class, are
 * dropped and counted, and the count is logged. A tool writes its lines to
 * standard error immediately.
 */
#ifndef COMMON_LOG_H
#define COMMON_LOG_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* The priority of a line when lines have to be dropped. */
typedef enum log_class {
	LOG_CLASS_KEEP, /* refusals, errors, changes of state */
	LOG_CLASS_SAMPLE, /* normal operation */
	LOG_CLASSES,
} log_class_t;

/*
 * Writes GLib's log to standard error. LEVEL is the least severe level that is
 * printed: "error", "warning", "info" or "debug". Returns false for an
 * unknown level.
 */
bool log_init(const char *level);
/*
 * Writes the log to the descriptor FD instead, from the event loop of BASE. FD
 * becomes non-blocking. Call log_detach() before freeing BASE.
 */
void log_attach(struct event_base *base, int fd);
/* Writes what FD accepts without blocking, then reverts to standard error. */
void log_detach(void);
/* Returns the number of lines of a class dropped so far. */
uint64_t log_dropped(log_class_t class);

/* Writes one message; use the macros below. */
void log_write(GLogLevelFlags level, const char *part, const char *fmt, ...)
	G_GNUC_PRINTF(3, 4);
/* Writes an event: EVENT is its name, FMT has further key=value pairs. */
void log_event_write(GLogLevelFlags level, log_class_t class, const char *part,
		     const char *event, const char *fmt, ...)
	G_GNUC_PRINTF(5, 6);

#define log_error(...) log_write(G_LOG_LEVEL_CRITICAL, LOG_PART, __VA_ARGS__)
#define log_warn(...) log_write(G_LOG_LEVEL_WARNING, LOG_PART, __VA_ARGS__)
#define log_info(...) log_write(G_LOG_LEVEL_INFO, LOG_PART, __VA_ARGS__)
#define log_debug(...) log_write(G_LOG_LEVEL_DEBUG, LOG_PART, __VA_ARGS__)

/* log_event() writes events of LOG_CLASS_KEEP, log_sample() samples. */
#define log_event(event, ...)                                              \
	log_event_write(G_LOG_LEVEL_INFO, LOG_CLASS_KEEP, LOG_PART, event, \
			__VA_ARGS__)
#define log_sample(event, ...)                                               \
	log_event_write(G_LOG_LEVEL_INFO, LOG_CLASS_SAMPLE, LOG_PART, event, \
			__VA_ARGS__)

#endif
