#include "net/http1.h"
#include "tests/lib_suite.h"

enum { MAX_HEAD = 512 };

/* One message under test and the results of its reader. */
typedef struct sample {
	http1_reader_t reader;
	GString *body;
	char *target;
	size_t n_heads;
	bool refuses_body;
} sample_t;

static bool on_head(void *ctx, const http1_head_t *head)
{
	sample_t *s = ctx;

	s->n_heads++;
	g_free(s->target);
	s->target = g_strndup(head->target.ptr, head->target.len);
	return true;
}

static bool on_body(void *ctx, str_t bytes)
{
	sample_t *s = ctx;

	g_string_append_len(s->body, bytes.ptr, (gssize)bytes.len);
	return !s->refuses_body;
}

static void sample_init(sample_t *s, http1_kind_t kind)
{
	static const http1_ops_t ops = { on_head, on_body };

	*s = (sample_t){ .body = g_string_new("") };
	http1_reader_init(&s->reader, kind, MAX_HEAD, &ops, s);
}

static void sample_finish(sample_t *s)
{
	http1_reader_finish(&s->reader);
	g_string_free(s->body, TRUE);
	g_free(s->target);
}

/* Feeds a text in pieces of STEP bytes; returns the last result. */
static http1_result_t feed(sample_t *s, const char *text, size_t step,
			   size_t *total)
{
	http1_result_t result = HTTP1_MORE;
	size_t len = strlen(text);

	*total = 0;
	while (result == HTTP1_MORE && *total < len) {
		size_t n = MIN(step, len - *total);
		size_t taken;

		result = http1_reader_feed(&s->reader,
					   (str_t){ text + *total, n }, &taken);
		*total += taken;
	}
	return result;
}

#define HOST "Host: h\r\n"

/*
 * Two HTTP implementations could disagree on the end of such a request, which
 * would allow request smuggling.
 */
START_TEST(requests_with_ambiguous_framing_are_malformed)
{
	static const struct {
		const char *what;
		const char *text;
		http1_result_t expected;
	} cases[] = {
		{ "plain", "GET / HTTP/1.1\r\n" HOST "\r\n", HTTP1_END },
		{ "body",
		  "POST / HTTP/1.1\r\n" HOST "Content-Length: 2\r\n\r\nab",
		  HTTP1_END },
		{ "chunks",
		  "POST / HTTP/1.1\r\n" HOST
		  "Transfer-Encoding: chunked\r\n\r\n"
		  "2\r\nab\r\n0\r\n\r\n",
		  HTTP1_END },
		{ "two lengths",
		  "POST / HTTP/1.1\r\n" HOST
		  "Content-Length: 2\r\nContent-Length: 3\r\n"
		  "\r\nabc",
		  HTTP1_MALFORMED },
		{ "the same length twice",
		  "POST / HTTP/1.1\r\n" HOST
		  "Content-Length: 2\r\nContent-Length: 2\r\n\r\nab",
		  HTTP1_MALFORMED },
		{ "blank before the colon",
		  "POST / HTTP/1.1\r\n" HOST "Content-Length : 2\r\n\r\nab",
		  HTTP1_MALFORMED },
		{ "folded line",
		  "POST / HTTP/1.1\r\n" HOST
		  "X-A: b\r\n Content-Length: 2\r\n\r\nab",
		  HTTP1_MALFORMED },
		{ "length and chunks",
		  "POST / HTTP/1.1\r\n" HOST
		  "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n"
		  "0\r\n\r\n",
		  HTTP1_MALFORMED },
		{ "another coding",
		  "POST / HTTP/1.1\r\n" HOST
		  "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		  HTTP1_MALFORMED },
		{ "two codings",
		  "POST / HTTP/1.1\r\n" HOST "Transfer-Encoding: chunked\r\n"
		  "Transfer-Encoding: identity\r\n\r\n0\r\n\r\n",
		  HTTP1_MALFORMED },
		{ "signed length",
		  "POST / HTTP/1.1\r\n" HOST "Content-Length: +2\r\n\r\nab",
		  HTTP1_MALFORMED },
		{ "length with letters",
		  "POST / HTTP/1.1\r\n" HOST "Content-Length: 2a\r\n\r\nab",
		  HTTP1_MALFORMED },
		{ "odd chunk size",
		  "POST / HTTP/1.1\r\n" HOST
		  "Transfer-Encoding: chunked\r\n\r\n0x2\r\nab\r\n0\r\n\r\n",
		  HTTP1_MALFORMED },
		{ "bare line feeds",
		  "GET / HTTP/1.1\n"
		  "Host: h\n\r\n\r\n",
		  HTTP1_MALFORMED },
		{ "a tunnel", "CONNECT h:1 HTTP/1.1\r\n" HOST "\r\n",
		  HTTP1_MALFORMED },
		{ "another protocol", "GET / HTTP/2.0\r\n" HOST "\r\n",
		  HTTP1_MALFORMED },
		{ "no protocol", "GET /\r\n" HOST "\r\n", HTTP1_MALFORMED },
		{ "an upgrade is a plain request",
		  "GET / HTTP/1.1\r\n" HOST
		  "Connection: Upgrade\r\nUpgrade: x\r\n\r\n",
		  HTTP1_END },
	};
	static const size_t steps[] = { 1, 7, 4096 };

	for (size_t i = 0; i < G_N_ELEMENTS(cases) * 3; i++) {
		sample_t s;
		size_t total;
		http1_result_t result;

		sample_init(&s, HTTP1_REQUEST);
		result = feed(&s, cases[i / 3].text, steps[i % 3], &total);
		ck_assert_msg(result == cases[i / 3].expected, "%s: %d",
			      cases[i / 3].what, result);
		sample_finish(&s);
	}
}
END_TEST

START_TEST(a_message_consumes_only_its_own_bytes)
{
	static const char first[] =
		"POST /a HTTP/1.1\r\n" HOST "Content-Length: 2\r\n\r\nab";
	static const char next[] = "GET /b HTTP/1.1\r\n" HOST "\r\n";
	g_autofree char *both = g_strconcat(first, next, NULL);
	sample_t s;
	size_t total;

	sample_init(&s, HTTP1_REQUEST);
	ck_assert_int_eq(feed(&s, both, 4096, &total), HTTP1_END);
	ck_assert_uint_eq(total, strlen(first));
	ck_assert_str_eq(s.body->str, "ab");
	http1_reader_reset(&s.reader);
	ck_assert(http1_reader_is_idle(&s.reader));
	ck_assert_int_eq(feed(&s, both + total, 4096, &total), HTTP1_END);
	ck_assert_str_eq(s.target, "/b");
	sample_finish(&s);
}
END_TEST

START_TEST(a_head_is_bounded)
{
	g_autofree char *long_value = g_strnfill(MAX_HEAD, 'x');
	g_autofree char *text = g_strconcat("GET / HTTP/1.1\r\nX: ", long_value,
					    "\r\n\r\n", NULL);
	sample_t s;
	size_t total;

	sample_init(&s, HTTP1_REQUEST);
	ck_assert_int_eq(feed(&s, text, 100, &total), HTTP1_OVERSIZED);
	ck_assert_uint_eq(s.n_heads, 0);
	sample_finish(&s);
}
END_TEST

START_TEST(a_body_that_is_refused_stops_the_reader)
{
	sample_t s;
	size_t total;

	sample_init(&s, HTTP1_REQUEST);
	s.refuses_body = true;
	ck_assert_int_eq(feed(&s,
			      "POST / HTTP/1.1\r\n" HOST
			      "Content-Length: 4\r\n\r\nabcd",
			      4096, &total),
			 HTTP1_STOPPED);
	sample_finish(&s);
}
END_TEST

START_TEST(answers_end_as_their_framing_says)
{
	static const struct {
		const char *what;
		const char *text;
		http1_result_t expected, at_eof;
	} cases[] = {
		{ "length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
		  HTTP1_END, HTTP1_END },
		{ "cut", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab",
		  HTTP1_MORE, HTTP1_MALFORMED },
		{ "chunks cut",
		  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		  "2\r\nab\r\n",
		  HTTP1_MORE, HTTP1_MALFORMED },
		{ "no length, kept alive",
		  "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n\r\nab",
		  HTTP1_MORE, HTTP1_END },
		{ "two lengths",
		  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
		  "Content-Length: 3\r\n\r\nab",
		  HTTP1_MALFORMED, HTTP1_MALFORMED },
		{ "no content", "HTTP/1.1 204 No Content\r\n\r\n", HTTP1_END,
		  HTTP1_END },
		{ "not an answer", "hello, this is no answer\r\n\r\n",
		  HTTP1_MALFORMED, HTTP1_MALFORMED },
		{ "cut in its head", "HTTP/1.1 200 OK\r\nContent-Le",
		  HTTP1_MORE, HTTP1_MALFORMED },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		sample_t s;
		size_t total;
		http1_result_t result;

		sample_init(&s, HTTP1_RESPONSE);
		result = feed(&s, cases[i].text, 5, &total);
		ck_assert_msg(result == cases[i].expected, "%s: %d",
			      cases[i].what, result);
		if (result == HTTP1_MORE)
			result = http1_reader_eof(&s.reader);
		ck_assert_msg(result == cases[i].at_eof, "%s at its end: %d",
			      cases[i].what, result);
		sample_finish(&s);
	}
}
END_TEST

/*
 * Guards against: a status that HTTP doesn't know (100 to 599) is taken for an
 * answer.
 */
START_TEST(an_answer_whose_status_is_none_is_malformed)
{
	static const struct {
		const char *status;
		http1_result_t expected;
	} cases[] = {
		{ "000", HTTP1_MALFORMED },  { "0", HTTP1_MALFORMED },
		{ "20", HTTP1_MALFORMED },   { "099", HTTP1_MALFORMED },
		{ "100", HTTP1_END },	     { "103", HTTP1_END },
		{ "200", HTTP1_END },	     { "599", HTTP1_END },
		{ "600", HTTP1_MALFORMED },  { "999", HTTP1_MALFORMED },
		{ "1000", HTTP1_MALFORMED }, { "2000", HTTP1_MALFORMED },
		{ "-200", HTTP1_MALFORMED },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *text = g_strdup_printf(
			"HTTP/1.1 %s X\r\nContent-Length: 0\r\n\r\n",
			cases[i].status);
		http1_result_t result;
		sample_t s;
		size_t total;

		sample_init(&s, HTTP1_RESPONSE);
		result = feed(&s, text, 5, &total);
		ck_assert_msg(result == cases[i].expected, "%s: %d",
			      cases[i].status, result);
		ck_assert_uint_eq(s.n_heads, result == HTTP1_END);
		sample_finish(&s);
	}
}
END_TEST

START_TEST(hop_by_hop_headers_are_recognized)
{
	sample_t s;
	size_t total;

	sample_init(&s, HTTP1_REQUEST);
	feed(&s,
	     "GET / HTTP/1.1\r\n" HOST
	     "Connection: close, X-Mine\r\nX-Mine: 1\r\nX-Theirs: 2\r\n\r\n",
	     4096, &total);
	ck_assert(http1_is_hop_by_hop(&s.reader.head, STR_LIT("x-mine")));
	ck_assert(http1_is_hop_by_hop(&s.reader.head, STR_LIT("TE")));
	ck_assert(!http1_is_hop_by_hop(&s.reader.head, STR_LIT("X-Theirs")));
	ck_assert(!s.reader.head.keeps_alive);
	sample_finish(&s);
}
END_TEST

SUITE_MAIN("http1", requests_with_ambiguous_framing_are_malformed,
	   a_message_consumes_only_its_own_bytes, a_head_is_bounded,
	   a_body_that_is_refused_stops_the_reader,
	   answers_end_as_their_framing_says,
	   an_answer_whose_status_is_none_is_malformed,
	   hop_by_hop_headers_are_recognized)
