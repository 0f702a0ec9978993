#include "net/sse.h"

void sse_init(sse_t *s, size_t max_event, sse_event_fn fn, void *ctx)
{
	s->partial = g_string_new("");
	s->max_event = max_event;
	s->fn = fn;
	s->ctx = ctx;
}

void sse_finish(sse_t *s)
{
	g_string_free(s->partial, TRUE);
	s->partial = NULL;
}

void sse_reset(sse_t *s)
{
	g_string_truncate(s->partial, 0);
}

/*
 * Returns the length of the first complete event in TEXT, with the empty line
 * that ends it, or 0 when there is none. The search for that line starts at
 * FROM.
 */
static size_t event_length(const char *text, size_t len, size_t from)
{
	for (size_t i = from; i + 1 < len; i++) {
		if (text[i] != '\n')
			continue;
		if (text[i + 1] == '\n')
			return i + 2;
		if (text[i + 1] == '\r' && i + 2 < len && text[i + 2] == '\n')
			return i + 3;
	}
	return 0;
}

/*
 * Returns the rest of the first line that begins with PREFIX, without one
 * leading space, or an empty string when there is no such line.
 */
static str_t field_value(str_t raw, str_t prefix)
{
	const char *line = raw.ptr;
	const char *end = raw.ptr + raw.len;

	while (line < end) {
		const char *stop = memchr(line, '\n', end - line);
		size_t n = (stop ? stop : end) - line;

		if (n >= prefix.len && !memcmp(line, prefix.ptr, prefix.len)) {
			str_t data = { line + prefix.len, n - prefix.len };

			if (data.len && data.ptr[data.len - 1] == '\r')
				data.len--;
			if (data.len && data.ptr[0] == ' ') {
				data.ptr++;
				data.len--;
			}
			return data;
		}
		if (!stop)
			break;
		line = stop + 1;
	}
	return (str_t){ end, 0 };
}

static str_t data_value(str_t raw)
{
	return field_value(raw, STR_LIT("data:"));
}

str_t sse_id(str_t raw)
{
	str_t id = field_value(raw, STR_LIT("id:"));
	const char *end = raw.ptr + raw.len;
	str_t next = id;

	while (next.ptr < end) {
		id = next;
		next = field_value((str_t){ id.ptr + id.len,
					    (size_t)(end - id.ptr) - id.len },
				   STR_LIT("id:"));
	}
	return id;
}

bool sse_feed(sse_t *s, str_t bytes)
{
	/* The end of an event may be split between old and new bytes. */
	size_t from = s->partial->len > 2 ? s->partial->len - 2 : 0;
	size_t start = 0;
	size_t len;

	g_string_append_len(s->partial, bytes.ptr, (gssize)bytes.len);
	while ((len = event_length(s->partial->str + start,
				   s->partial->len - start, from))) {
		str_t raw = { s->partial->str + start, len };

		s->fn(s->ctx, raw, data_value(raw));
		start += len;
		from = 0;
	}
	g_string_erase(s->partial, 0, (gssize)start);
	return s->partial->len <= s->max_event;
}
