#include "common/log.h"

#include <stdio.h>
#include <string.h>
#include <time.h>

enum { MESSAGE_SIZE = 1024 };

static GLogLevelFlags threshold = G_LOG_LEVEL_INFO;

static const struct {
	const char *name;
	GLogLevelFlags flag;
} levels[] = {
	{ "error", G_LOG_LEVEL_CRITICAL },
	{ "warning", G_LOG_LEVEL_WARNING },
	{ "info", G_LOG_LEVEL_INFO },
	{ "debug", G_LOG_LEVEL_DEBUG },
};

static const char *field(const GLogField *fields, gsize n, const char *key)
{
	for (gsize i = 0; i < n; i++)
		if (!strcmp(fields[i].key, key))
			return fields[i].value;
	return "";
}

static const char *level_name(GLogLevelFlags level)
{
	for (size_t i = 0; i < G_N_ELEMENTS(levels); i++)
		if (level & levels[i].flag)
			return levels[i].name;
	return "error";
}

static GLogWriterOutput write_line(GLogLevelFlags level,
				   const GLogField *fields, gsize n_fields,
				   gpointer user_data)
{
	struct timespec now;
	struct tm tm;
	char stamp[32];

	if ((level & G_LOG_LEVEL_MASK) > threshold)
		return G_LOG_WRITER_HANDLED;
	clock_gettime(CLOCK_REALTIME, &now);
	gmtime_r(&now.tv_sec, &tm);
	strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &tm);
	fprintf(stderr, "%s.%03ldZ %s %s: %s\n", stamp, now.tv_nsec / 1000000,
		level_name(level), field(fields, n_fields, "PAPAYA_PART"),
		field(fields, n_fields, "MESSAGE"));
	return G_LOG_WRITER_HANDLED;
}

bool log_init(const char *level)
{
	/* GLib takes a writer once in a process's life. */
	static bool has_writer;

	for (size_t i = 0; i < G_N_ELEMENTS(levels); i++) {
		if (strcmp(level, levels[i].name))
			continue;
		threshold = levels[i].flag;
		if (!has_writer)
			g_log_set_writer_func(write_line, NULL, NULL);
		has_writer = true;
		return true;
	}
	return false;
}

void log_write(GLogLevelFlags level, const char *part, const char *fmt, ...)
{
	char message[MESSAGE_SIZE];
	va_list ap;

	if ((level & G_LOG_LEVEL_MASK) > threshold)
		return;
	va_start(ap, fmt);
	vsnprintf(message, sizeof(message), fmt, ap);
	va_end(ap);
	g_log_structured("papayabank", level, "PAPAYA_PART", part, "MESSAGE",
			 "%s", message);
}
