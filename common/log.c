#include "common/log.h"

#include <errno.h>
#include <limits.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "common/log_buffer.h"

enum {
	MESSAGE_SIZE = 1024, /* bytes, with the NUL */
	LINE_SIZE = 1400, /* bytes, with the NUL */
	MAX_BUFFER = 256 * 1024, /* bytes */
	FLUSH_MS = 100,
	FLUSH_BYTES = 8 * 1024, /* flushed without waiting for the timer */
	/*
	 * Bytes per call: writes of up to PIPE_BUF to a pipe are atomic, so
	 * that no line is split by other writers or the end of this process.
	 */
	MAX_WRITE = PIPE_BUF,
};

static GLogLevelFlags threshold = G_LOG_LEVEL_INFO;

/*
 * Output set by log_attach(). While TIMER is NULL, lines are written to
 * standard error.
 */
static struct {
	struct event *timer;
	int fd;
	log_buffer_t buffer;
} sink;

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

static void flush(void)
{
	log_buffer_t *b = &sink.buffer;
	size_t done = 0;
	ssize_t n;

	while (done < b->text->len) {
		n = write(sink.fd, b->text->str + done,
			  log_buffer_chunk(b, done, MAX_WRITE));
		if (n < 0 && errno == EINTR)
			continue;
		/* Keep the rest: a slow or closed reader must not block. */
		if (n <= 0)
			break;
		done += (size_t)n;
	}
	if (done)
		log_buffer_written(b, done);
}

static void log_drops(int64_t now)
{
	uint64_t n = log_buffer_take_dropped(&sink.buffer, now);

	if (n)
		log_event_write(G_LOG_LEVEL_WARNING, LOG_CLASS_KEEP, "log",
				"lines-dropped",
				"count=%" G_GUINT64_FORMAT
				" kept_class=%" G_GUINT64_FORMAT
				" sample_class=%" G_GUINT64_FORMAT,
				n, log_dropped(LOG_CLASS_KEEP),
				log_dropped(LOG_CLASS_SAMPLE));
}

/* Texts of other writers must not break a line, or begin one of their own. */
static void replace_controls(char *line)
{
	for (; *line; line++)
		if (g_ascii_iscntrl(*line))
			*line = '?';
}

static void write_or_buffer(log_class_t class, const char *line)
{
	int64_t now = g_get_monotonic_time();

	if (!sink.timer) {
		fprintf(stderr, "%s\n", line);
		return;
	}
	log_buffer_add(&sink.buffer, class, line, now);
	if (sink.buffer.text->len >= FLUSH_BYTES)
		flush();
}

static GLogWriterOutput write_line(GLogLevelFlags level,
				   const GLogField *fields, gsize n_fields,
				   gpointer user_data)
{
	const char *class = field(fields, n_fields, "PAPAYA_CLASS");
	struct timespec now;
	struct tm tm;
	char stamp[32];
	char line[LINE_SIZE];

	if ((level & G_LOG_LEVEL_MASK) > threshold)
		return G_LOG_WRITER_HANDLED;
	clock_gettime(CLOCK_REALTIME, &now);
	gmtime_r(&now.tv_sec, &tm);
	strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &tm);
	g_snprintf(line, sizeof(line), "time=%s.%03ldZ level=%s part=%s %s",
		   stamp, now.tv_nsec / 1000000, level_name(level),
		   field(fields, n_fields, "PAPAYA_PART"),
		   field(fields, n_fields, "MESSAGE"));
	replace_controls(line);
	write_or_buffer(class[0] == 's' ? LOG_CLASS_SAMPLE : LOG_CLASS_KEEP,
			line);
	return G_LOG_WRITER_HANDLED;
}

bool log_init(const char *level)
{
	/* GLib allows only one call of g_log_set_writer_func() per process. */
	static bool is_writer_set;

	for (size_t i = 0; i < G_N_ELEMENTS(levels); i++) {
		if (strcmp(level, levels[i].name) != 0)
			continue;
		threshold = levels[i].flag;
		if (!is_writer_set)
			g_log_set_writer_func(write_line, NULL, NULL);
		is_writer_set = true;
		return true;
	}
	return false;
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	log_drops(g_get_monotonic_time());
	flush();
}

void log_attach(struct event_base *base, int fd)
{
	static const struct timeval period = { .tv_usec = FLUSH_MS * 1000L };

	evutil_make_socket_nonblocking(fd);
	log_buffer_init(&sink.buffer, MAX_BUFFER);
	sink.fd = fd;
	sink.timer = event_new(base, -1, EV_PERSIST, on_timer, NULL);
	event_add(sink.timer, &period);
}

void log_detach(void)
{
	if (!sink.timer)
		return;
	flush();
	event_free(sink.timer);
	sink.timer = NULL;
	log_buffer_finish(&sink.buffer);
}

uint64_t log_dropped(log_class_t class)
{
	return sink.buffer.rates[class].dropped;
}

static void send_to_glib(GLogLevelFlags level, log_class_t class,
			 const char *part, const char *message)
{
	g_log_structured("papayabank", level, "PAPAYA_PART", part,
			 "PAPAYA_CLASS",
			 class == LOG_CLASS_SAMPLE ? "sample" : "keep",
			 "MESSAGE", "%s", message);
}

void log_write(GLogLevelFlags level, const char *part, const char *fmt, ...)
{
	char text[MESSAGE_SIZE];
	char message[MESSAGE_SIZE + 8];
	va_list ap;

	if ((level & G_LOG_LEVEL_MASK) > threshold)
		return;
	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	/* A quote inside the value would end it for parsers of the log. */
	g_strdelimit(text, "\"\n", '\'');
	g_snprintf(message, sizeof(message), "msg=\"%s\"", text);
	send_to_glib(level, LOG_CLASS_KEEP, part, message);
}

void log_event_write(GLogLevelFlags level, log_class_t class, const char *part,
		     const char *event, const char *fmt, ...)
{
	char message[MESSAGE_SIZE];
	va_list ap;
	int n;

	if ((level & G_LOG_LEVEL_MASK) > threshold)
		return;
	n = g_snprintf(message, sizeof(message), "event=%s ", event);
	va_start(ap, fmt);
	vsnprintf(message + n, sizeof(message) - (size_t)n, fmt, ap);
	va_end(ap);
	send_to_glib(level, class, part, message);
}
