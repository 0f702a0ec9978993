/*
 * Logging: GLib structured logs, one line a message on standard error, with
 * a fixed prefix for each part. Each source file sets LOG_PART before it
 * includes this header.
 */
#ifndef COMMON_LOG_H
#define COMMON_LOG_H

#include <glib.h>
#include <stdbool.h>

/*
 * Sends GLib's log to standard error as "TIME LEVEL part: message". LEVEL
 * is the least severe level printed: "error", "warning", "info" or "debug".
 * Returns false for an unknown level.
 */
bool log_init(const char *level);

/* Writes one message; use the macros below. */
void log_write(GLogLevelFlags level, const char *part, const char *fmt, ...)
	G_GNUC_PRINTF(3, 4);

#define log_error(...) log_write(G_LOG_LEVEL_CRITICAL, LOG_PART, __VA_ARGS__)
#define log_warn(...) log_write(G_LOG_LEVEL_WARNING, LOG_PART, __VA_ARGS__)
#define log_info(...) log_write(G_LOG_LEVEL_INFO, LOG_PART, __VA_ARGS__)
#define log_debug(...) log_write(G_LOG_LEVEL_DEBUG, LOG_PART, __VA_ARGS__)

#endif
