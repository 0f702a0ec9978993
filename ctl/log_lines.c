#include "ctl/log_lines.h"

#include <string.h>

static void free_line(void *data)
{
	log_line_t *line = data;

	g_free(line->source);
	g_free(line->text);
	g_free(line->time);
	g_free(line->event);
	g_free(line);
}

void log_lines_init(log_lines_t *l)
{
	*l = (log_lines_t){
		.lines = g_ptr_array_new_with_free_func(free_line),
	};
}

void log_lines_finish(log_lines_t *l)
{
	g_ptr_array_unref(l->lines);
}

/* Returns the end of the value at TEXT, or NULL if its quote is not closed. */
static const char *value_end(const char *text)
{
	if (text[0] == '"')
		return strchr(text + 1, '"');
	return text + strcspn(text, " \r\n");
}

char *log_lines_value(const char *text, const char *key)
{
	size_t wanted_len = strlen(key);

	while (*text) {
		size_t key_len = strcspn(text, "= ");
		const char *value = text + key_len + 1;
		const char *end;

		if (text[key_len] != '=') {
			text += key_len + (text[key_len] != '\0');
			continue;
		}
		end = value_end(value);
		if (!end)
			return NULL;
		if (key_len == wanted_len && !strncmp(text, key, wanted_len))
			return g_strndup(value + (value[0] == '"'),
					 (gsize)(end - value) -
						 (value[0] == '"'));
		text = end + (*end != '\0');
	}
	return NULL;
}

static char *source_of(const char *file, const char *line, const char *start)
{
	g_autofree char *before = g_strndup(line, (gsize)(start - line));

	g_strstrip(before);
	if (!before[0])
		return g_strdup(file);
	return g_strconcat(file, file[0] ? " " : "", before, NULL);
}

void log_lines_add(log_lines_t *l, const char *file, const char *line,
		   const char *request)
{
	const char *start = strstr(line, "time=");
	g_autofree char *line_request = NULL;
	log_line_t *kept;

	l->n_read++;
	if (!start || !strstr(start, " part=")) {
		l->n_damaged++;
		return;
	}
	line_request = log_lines_value(start, "request");
	if (g_strcmp0(line_request, request) != 0 ||
	    l->lines->len >= LOG_LINES_MAX)
		return;
	kept = g_new0(log_line_t, 1);
	kept->source = source_of(file, line, start);
	kept->text = g_strchomp(g_strdup(start));
	kept->time = log_lines_value(start, "time");
	kept->event = log_lines_value(start, "event");
	kept->order = l->n_read;
	if (!kept->event)
		kept->event = g_strdup("");
	g_ptr_array_add(l->lines, kept);
}

static gint compare_times(gconstpointer a, gconstpointer b)
{
	const log_line_t *x = *(log_line_t *const *)a;
	const log_line_t *y = *(log_line_t *const *)b;
	int order = g_strcmp0(x->time, y->time);

	if (order)
		return order;
	return x->order < y->order ? -1 : x->order > y->order;
}

void log_lines_sort(log_lines_t *l)
{
	g_ptr_array_sort(l->lines, compare_times);
}

int log_lines_find_end(const log_lines_t *l)
{
	static const char *const end_events[] = { "answered", "caller-left" };

	for (guint i = l->lines->len; i-- > 0;) {
		const log_line_t *line = l->lines->pdata[i];

		for (size_t k = 0; k < G_N_ELEMENTS(end_events); k++)
			if (!strcmp(line->event, end_events[k]))
				return (int)i;
	}
	return -1;
}
