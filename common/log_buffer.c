#include "common/log_buffer.h"

enum {
	KEEP_PER_S = 400, /* lines */
	KEEP_BURST = 2000, /* lines */
	SAMPLE_PER_S = 20, /* lines */
	SAMPLE_BURST = 100, /* lines */
	US_PER_S = 1000000,
};

void log_buffer_init(log_buffer_t *b, size_t max)
{
	*b = (log_buffer_t){ .max = max, .max_samples = max / 2 };
	b->text = g_string_new(NULL);
	b->rates[LOG_CLASS_KEEP] = (log_rate_t){ .per_s = KEEP_PER_S,
						 .burst = KEEP_BURST,
						 .left = KEEP_BURST };
	b->rates[LOG_CLASS_SAMPLE] = (log_rate_t){
		.per_s = SAMPLE_PER_S,
		.burst = SAMPLE_BURST,
		.left = SAMPLE_BURST,
	};
}

void log_buffer_finish(log_buffer_t *b)
{
	g_string_free(b->text, TRUE);
	b->text = NULL;
}

static bool take_token(log_rate_t *r, int64_t now)
{
	double seconds = (double)(now - r->filled) / US_PER_S;

	r->filled = now;
	r->left = MIN(r->left + MAX(seconds, 0) * r->per_s, r->burst);
	if (r->left < 1)
		return false;
	r->left--;
	return true;
}

bool log_buffer_add(log_buffer_t *b, log_class_t class, const char *line,
		    int64_t now)
{
	size_t room = class == LOG_CLASS_SAMPLE ? b->max_samples : b->max;
	size_t len = strlen(line);

	if (b->text->len + len + 1 > room ||
	    !take_token(&b->rates[class], now)) {
		b->rates[class].dropped++;
		return false;
	}
	g_string_append_len(b->text, line, (gssize)len);
	g_string_append_c(b->text, '\n');
	return true;
}

uint64_t log_buffer_take_dropped(log_buffer_t *b, int64_t now)
{
	uint64_t all = 0;
	uint64_t unreported;

	for (int i = 0; i < LOG_CLASSES; i++)
		all += b->rates[i].dropped;
	unreported = all - b->reported;
	if (!unreported || now - b->reported_at < US_PER_S)
		return 0;
	b->reported = all;
	b->reported_at = now;
	return unreported;
}

size_t log_buffer_chunk(const log_buffer_t *b, size_t at, size_t max)
{
	const char *text = b->text->str + at;
	size_t len = b->text->len - at;
	const char *end;

	if (len <= max)
		return len;
	end = g_strrstr_len(text, (gssize)max, "\n");
	if (!end)
		end = memchr(text, '\n', len);
	return (size_t)(end - text) + 1;
}

void log_buffer_written(log_buffer_t *b, size_t n)
{
	g_string_erase(b->text, 0, (gssize)n);
}
