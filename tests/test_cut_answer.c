/*
 * A truncated answer is never forwarded as complete, whatever its framing and
 * wherever it is cut.
 */
#include "tests/lib_gateway.h"
#include "tests/lib_suite.h"

#define HEAD "HTTP/1.1 200 OK\r\nX-Attempt-Id: @\r\nX-Server-Seal: seal\r\n"
#define EVENT_STREAM "Content-Type: text/event-stream\r\n"
#define EVENT "id: 1\ndata: x\n\n"

typedef struct framing {
	const char *what;
	const char *path;
	const char *bytes; /* a complete answer */
	/* A stream closed with FIN between two events counts as complete. */
	bool ends_by_closing;
} framing_t;

static const framing_t framings[] = {
	{ "length", "/once/", HEAD "Content-Length: 12\r\n\r\nhello, world",
	  false },
	{ "chunks", "/once/",
	  HEAD "Transfer-Encoding: chunked\r\n\r\n"
	       "5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n",
	  false },
	{ "chunks with a trailer", "/once/",
	  HEAD "Transfer-Encoding: chunked\r\n\r\n"
	       "5\r\nhello\r\n0\r\nX-End: 1\r\n\r\n",
	  false },
	{ "until close", "/once/", HEAD "\r\nhello, world", true },
	{ "events in chunks", "/fixed/",
	  HEAD EVENT_STREAM "Transfer-Encoding: chunked\r\n\r\n"
			    "f\r\n" EVENT "\r\n0\r\n\r\n",
	  false },
	{ "events with a length", "/fixed/",
	  HEAD EVENT_STREAM "Content-Length: 15\r\n\r\n" EVENT, false },
	{ "events until close", "/fixed/", HEAD EVENT_STREAM "\r\n" EVENT EVENT,
	  true },
};

/* Whether the caller takes the answer for a complete, successful one. */
static bool looks_complete(const gateway_fixture_t *fixture)
{
	const char *text = fixture->callers[0].received->str;
	const char *body = strstr(text, "\r\n\r\n");

	if (!strstr(text, "200 OK") || !body)
		return false;
	if (strstr(text, "Transfer-Encoding: chunked"))
		return strstr(body, "\r\n0\r\n\r\n") != NULL;
	return true;
}

/* Sends N bytes of an answer; true if the caller took it as complete. */
static bool taken_as_complete(const framing_t *f, size_t n, reply_end_t end)
{
	g_autofree char *cut = g_strndup(f->bytes, n);
	g_autofree char *ask =
		g_strdup_printf("POST %s HTTP/1.1\r\nHost: h\r\n"
				"X-Attempt-Id: a\r\nX-Key: key\r\n"
				"X-Deadline-Ms: 5000\r\nContent-Length: 2"
				"\r\n\r\nhi",
				f->path);
	const reply_t replies[] = { { cut, end } };
	gateway_fixture_t fixture;
	bool is_complete;
	int ended;

	gateway_fixture_init(&fixture);
	gateway_fixture_configure(&fixture);
	fixture.runners[0].replies = replies;
	gateway_send(&fixture, 0, ask);
	gateway_await_count(&fixture, &fixture.dones, 1);
	ended = fixture.callers[0].is_closed;
	for (int i = 0; i < 20 && !ended; i++) {
		gateway_run(&fixture, 1);
		ended = fixture.callers[0].is_closed ||
			looks_complete(&fixture) ||
			strstr(fixture.callers[0].received->str, "502 ");
	}
	ck_assert_msg(ended, "%s, %zu bytes: no end seen", f->what, n);
	is_complete = looks_complete(&fixture);
	gateway_fixture_finish(&fixture);
	return is_complete;
}

static size_t head_len(const framing_t *f)
{
	return (size_t)(strstr(f->bytes, "\r\n\r\n") - f->bytes) + 4;
}

START_TEST(a_cut_answer_is_never_complete)
{
	for (size_t i = 0; i < G_N_ELEMENTS(framings); i++) {
		const framing_t *f = &framings[i];
		size_t len = strlen(f->bytes);

		ck_assert_msg(taken_as_complete(f, len, REPLY_CLOSE),
			      "%s: not complete", f->what);
		for (size_t n = 1; n < len; n += n < head_len(f) ? 29 : 1) {
			/* Without a length, only a reset reveals the cut. */
			if (!f->ends_by_closing || n < head_len(f))
				ck_assert_msg(
					!taken_as_complete(f, n, REPLY_CLOSE),
					"%s, closed after %zu bytes", f->what,
					n);
			ck_assert_msg(!taken_as_complete(f, n, REPLY_RESET),
				      "%s, reset after %zu bytes", f->what, n);
		}
	}
}
END_TEST

static void check_head(const char *what)
{
	const framing_t *f = framings;

	while (strcmp(f->what, what) != 0)
		f++;
	for (size_t n = 1; n < head_len(f); n++) {
		ck_assert_msg(!taken_as_complete(f, n, REPLY_CLOSE),
			      "%s, closed after %zu bytes", what, n);
		ck_assert_msg(!taken_as_complete(f, n, REPLY_RESET),
			      "%s, reset after %zu bytes", what, n);
	}
}

/* Guard against an answer that ends within its head and looks whole. */
START_TEST(a_head_that_breaks_off_is_no_answer)
{
	check_head("length");
}
END_TEST

START_TEST(a_head_without_length_that_breaks_off_is_no_answer)
{
	check_head("until close");
}
END_TEST

START_TEST(a_streams_head_that_breaks_off_is_no_answer)
{
	check_head("events until close");
}
END_TEST

/*
 * A stream that ends within an event, or before its first one, is incomplete
 * even if the connection is closed by a FIN.
 */
START_TEST(a_stream_that_ends_within_an_event_is_not_complete)
{
	const framing_t *f = &framings[G_N_ELEMENTS(framings) - 1];
	size_t event = strlen(EVENT);

	for (size_t n = 0; n < event; n++)
		ck_assert_msg(
			!taken_as_complete(f, head_len(f) + n, REPLY_CLOSE),
			"%zu bytes of an event", n);
	ck_assert(taken_as_complete(f, head_len(f) + event, REPLY_CLOSE));
}
END_TEST

SUITE_MAIN("cut_answer", a_cut_answer_is_never_complete,
	   a_head_that_breaks_off_is_no_answer,
	   a_head_without_length_that_breaks_off_is_no_answer,
	   a_streams_head_that_breaks_off_is_no_answer,
	   a_stream_that_ends_within_an_event_is_not_complete)
