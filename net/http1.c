#include "net/http1.h"

#include <string.h>

enum {
	MAX_LEADING_BREAKS = 4, /* bytes of empty lines before a request */
	KEPT_HEAD_BYTES = 4 * 1024, /* memory kept for the next head */
};

static int on_url(http_parser *p, const char *at, size_t len)
{
	http1_reader_t *r = p->data;

	r->head.target = (str_t){ at, len };
	return 0;
}

static int on_field(http_parser *p, const char *at, size_t len)
{
	http1_reader_t *r = p->data;

	/* The parser reports trailer fields as headers; they are dropped. */
	if (!r->has_head)
		r->field = (str_t){ at, len };
	return 0;
}

static str_t trim(str_t s)
{
	while (s.len && strchr(" \t", s.ptr[0])) {
		s.ptr++;
		s.len--;
	}
	while (s.len && strchr(" \t", s.ptr[s.len - 1]))
		s.len--;
	return s;
}

static int on_value(http_parser *p, const char *at, size_t len)
{
	http1_reader_t *r = p->data;
	http1_header_t h = { r->field, trim((str_t){ at, len }) };

	if (!r->has_head)
		g_array_append_val(r->head.headers, h);
	return 0;
}

static bool is_token_char(char c)
{
	return g_ascii_isalnum(c) || (c && strchr("!#$%&'*+-.^_`|~", c));
}

static bool is_token(str_t s)
{
	for (size_t i = 0; i < s.len; i++)
		if (!is_token_char(s.ptr[i]))
			return false;
	return s.len > 0;
}

bool http1_name_equal(str_t a, str_t b)
{
	return a.len == b.len && !g_ascii_strncasecmp(a.ptr, b.ptr, a.len);
}

const http1_header_t *http1_find_header(const http1_head_t *head, str_t name)
{
	for (guint i = 0; i < head->headers->len; i++) {
		const http1_header_t *h =
			&g_array_index(head->headers, http1_header_t, i);

		if (http1_name_equal(h->name, name))
			return h;
	}
	return NULL;
}

size_t http1_count_headers(const http1_head_t *head, str_t name)
{
	size_t n = 0;

	for (guint i = 0; i < head->headers->len; i++)
		n += http1_name_equal(
			g_array_index(head->headers, http1_header_t, i).name,
			name);
	return n;
}

/* True when the comma-separated LIST contains NAME. */
static bool list_contains(str_t list, str_t name)
{
	while (list.len) {
		const char *comma = memchr(list.ptr, ',', list.len);
		size_t n = comma ? (size_t)(comma - list.ptr) : list.len;

		if (http1_name_equal(trim((str_t){ list.ptr, n }), name))
			return true;
		n = MIN(n + 1, list.len);
		list.ptr += n;
		list.len -= n;
	}
	return false;
}

bool http1_is_hop_by_hop(const http1_head_t *head, str_t name)
{
	static const char *const always[] = {
		"connection",
		"keep-alive",
		"proxy-connection",
		"proxy-authenticate",
		"proxy-authorization",
		"te",
		"trailer",
		"transfer-encoding",
		"upgrade",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(always); i++)
		if (http1_name_equal(name, str_from(always[i])))
			return true;
	for (guint i = 0; i < head->headers->len; i++) {
		const http1_header_t *h =
			&g_array_index(head->headers, http1_header_t, i);

		if (http1_name_equal(h->name, STR_LIT("connection")) &&
		    list_contains(h->value, name))
			return true;
	}
	return false;
}

/*
 * Rejects heads that leave the length of the body ambiguous, such as any
 * transfer coding other than a single chunked.
 */
static bool has_unambiguous_framing(const http1_reader_t *r)
{
	const http1_head_t *head = &r->head;
	const http1_header_t *coding =
		http1_find_header(head, STR_LIT("transfer-encoding"));

	for (guint i = 0; i < head->headers->len; i++) {
		const http1_header_t *h =
			&g_array_index(head->headers, http1_header_t, i);

		if (!is_token(h->name))
			return false;
	}
	if (http1_count_headers(head, STR_LIT("content-length")) > 1 ||
	    http1_count_headers(head, STR_LIT("transfer-encoding")) > 1)
		return false;
	if (!coding)
		return true;
	return http1_name_equal(coding->value, STR_LIT("chunked")) &&
	       !http1_find_header(head, STR_LIT("content-length"));
}

static bool has_valid_status(const http1_reader_t *r)
{
	return r->kind == HTTP1_REQUEST ||
	       (r->head.status >= HTTP1_MIN_STATUS &&
		r->head.status <= HTTP1_MAX_STATUS);
}

static int on_headers(http_parser *p)
{
	http1_reader_t *r = p->data;
	const http1_header_t *length;

	r->has_head = true;
	r->head.status = p->status_code;
	r->head.method = str_from(http_method_str(p->method));
	r->head.is_chunked =
		http1_find_header(&r->head, STR_LIT("transfer-encoding"));
	length = http1_find_header(&r->head, STR_LIT("content-length"));
	r->head.content_length =
		length ? (int64_t)p->content_length : HTTP1_NO_LENGTH;
	r->head.keeps_alive = http_should_keep_alive(p);
	r->head.takes_chunks = p->http_minor > 0;
	p->upgrade = 0;
	if (!has_valid_status(r) || !has_unambiguous_framing(r) ||
	    p->http_major != 1 ||
	    (r->kind == HTTP1_REQUEST && p->method == HTTP_CONNECT))
		return -1;
	if (!r->ops.head(r->ctx, &r->head)) {
		r->has_stopped = true;
		return -1;
	}
	return r->is_head_response ? 1 : 0;
}

static int on_body(http_parser *p, const char *at, size_t len)
{
	http1_reader_t *r = p->data;

	r->framing_bytes = 0;
	if (r->ops.body(r->ctx, (str_t){ at, len }))
		return 0;
	r->has_stopped = true;
	return -1;
}

static int on_end(http_parser *p)
{
	http1_reader_t *r = p->data;

	r->is_whole = true;
	http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings callbacks = {
	.on_url = on_url,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_headers,
	.on_body = on_body,
	.on_message_complete = on_end,
};

void http1_reader_init(http1_reader_t *r, http1_kind_t kind, size_t max_head,
		       const http1_ops_t *ops, void *ctx)
{
	*r = (http1_reader_t){
		.kind = kind,
		.max_head = max_head,
		.ops = *ops,
		.ctx = ctx,
	};
	r->head.text = g_string_new(NULL);
	r->head.headers = g_array_new(FALSE, FALSE, sizeof(http1_header_t));
	http1_reader_reset(r);
}

void http1_reader_finish(http1_reader_t *r)
{
	if (!r->head.text)
		return;
	g_string_free(r->head.text, TRUE);
	g_array_unref(r->head.headers);
	r->head.text = NULL;
}

void http1_reader_reset(http1_reader_t *r)
{
	http_parser_init(&r->parser, r->kind == HTTP1_REQUEST ? HTTP_REQUEST :
								HTTP_RESPONSE);
	r->parser.data = r;
	g_string_truncate(r->head.text, 0);
	g_array_set_size(r->head.headers, 0);
	r->has_head = false;
	r->is_whole = false;
	r->has_stopped = false;
	r->framing_bytes = 0;
	r->is_head_response = false;
}

void http1_reader_shrink(http1_reader_t *r)
{
	if (r->head.text->allocated_len <= KEPT_HEAD_BYTES)
		return;
	g_string_free(r->head.text, TRUE);
	g_array_unref(r->head.headers);
	r->head.text = g_string_new(NULL);
	r->head.headers = g_array_new(FALSE, FALSE, sizeof(http1_header_t));
}

void http1_reader_set_limit(http1_reader_t *r, size_t max_head)
{
	r->max_head = max_head;
}

bool http1_reader_is_idle(const http1_reader_t *r)
{
	return !r->has_head && !r->head.text->len;
}

/*
 * Rejects line folding (a line that begins with a blank continues the previous
 * one), bare line feeds and bare carriage returns, since parsers differ on
 * them, and NUL bytes.
 */
static bool has_valid_line_breaks(const GString *text)
{
	for (size_t i = 0; i < text->len; i++) {
		char c = text->str[i];

		if (!c)
			return false;
		if (c == '\n' && (!i || text->str[i - 1] != '\r'))
			return false;
		if (c == '\n' && i + 1 < text->len &&
		    strchr(" \t", text->str[i + 1]))
			return false;
		if (c == '\r' && i + 1 < text->len && text->str[i + 1] != '\n')
			return false;
	}
	return true;
}

static http1_result_t parse(http1_reader_t *r, str_t bytes, size_t *taken)
{
	enum http_errno error;

	r->framing_bytes += bytes.len;
	*taken = http_parser_execute(&r->parser, &callbacks, bytes.ptr,
				     bytes.len);
	error = HTTP_PARSER_ERRNO(&r->parser);
	if (r->is_whole)
		return HTTP1_END;
	if (r->has_stopped)
		return HTTP1_STOPPED;
	return error == HPE_OK ? HTTP1_MORE : HTTP1_MALFORMED;
}

/* Skips empty lines before a request, as HTTP recommends for servers. */
static size_t skip_breaks(const http1_reader_t *r, str_t bytes)
{
	size_t n = 0;

	if (r->kind != HTTP1_REQUEST || r->head.text->len)
		return 0;
	while (n < bytes.len && n < MAX_LEADING_BREAKS &&
	       strchr("\r\n", bytes.ptr[n]) && bytes.ptr[n])
		n++;
	return n;
}

/* Buffers the head up to its empty line, then parses it at once. */
static http1_result_t feed_head(http1_reader_t *r, str_t bytes, size_t *taken)
{
	GString *text = r->head.text;
	size_t skipped = skip_breaks(r, bytes);
	size_t before = text->len;
	size_t from = before > 3 ? before - 3 : 0;
	const char *end;
	http1_result_t result;
	size_t parsed;

	g_string_append_len(
		text, bytes.ptr + skipped,
		(gssize)MIN(bytes.len - skipped,
			    r->max_head + 1 - MIN(before, r->max_head)));
	end = g_strstr_len(text->str + from, (gssize)(text->len - from),
			   "\r\n\r\n");
	*taken = skipped + text->len - before;
	if (!end)
		return text->len > r->max_head ? HTTP1_OVERSIZED : HTTP1_MORE;
	g_string_truncate(text, (gsize)(end + 4 - text->str));
	*taken = skipped + text->len - before;
	if (text->len > r->max_head)
		return HTTP1_OVERSIZED;
	if (!has_valid_line_breaks(text))
		return HTTP1_MALFORMED;
	result = parse(r, (str_t){ text->str, text->len }, &parsed);
	return result;
}

http1_result_t http1_reader_feed(http1_reader_t *r, str_t bytes, size_t *taken)
{
	http1_result_t result = HTTP1_MORE;
	size_t n;

	*taken = 0;
	if (!r->has_head) {
		result = feed_head(r, bytes, taken);
		if (result != HTTP1_MORE || !r->has_head)
			return result;
	}
	while (*taken < bytes.len) {
		result = parse(
			r, (str_t){ bytes.ptr + *taken, bytes.len - *taken },
			&n);
		*taken += n;
		if (result != HTTP1_MORE)
			return result;
		/* Chunk extensions and trailers have no length limit. */
		if (r->framing_bytes > HTTP1_MAX_FRAMING)
			return HTTP1_OVERSIZED;
	}
	return result;
}

http1_result_t http1_reader_eof(http1_reader_t *r)
{
	size_t taken;

	if (!r->has_head)
		return HTTP1_MALFORMED;
	return parse(r, (str_t){ "", 0 }, &taken) == HTTP1_END ?
		       HTTP1_END :
		       HTTP1_MALFORMED;
}
