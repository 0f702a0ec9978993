/*
 * A runner sends endless bytes until the connection is closed: in a head, in
 * interim answers, in chunk extensions and trailers, or in a body. The gateway
 * must close each within a limit of bytes and serve other callers meanwhile.
 */
#include "net/http1.h"
#include "tests/lib_gateway.h"
#include "tests/lib_suite.h"

#define SEAL "X-Attempt-Id: @\r\nX-Server-Seal: seal\r\n"
#define CHUNKED "HTTP/1.1 200 OK\r\n" SEAL "Transfer-Encoding: chunked\r\n\r\n"
#define FOUR(x) x x x x
#define TEN(x) x x x x x x x x x x
#define HUNDRED(x) TEN(TEN(x))

enum {
	MAX_ANSWER_KIB = 1024, /* setting of the gateway */
	/* Well before the route's timeout of 700 ms. */
	MAX_RETRY_US = 450 * 1000,
	/*
	 * Bytes that may be sent until both connections are closed: the
	 * gateway's limits for two answers, and what is in socket buffers.
	 */
	BODY_BYTES = 8 * 1024 * 1024,
	HEAD_BYTES = 2 * (64 + 32) * 1024,
	FRAMING_BYTES = 2 * (HTTP1_MAX_FRAMING + 32 * 1024),
	MAX_HEAD = 1024,
	FEED_LIMIT = 4 * HTTP1_MAX_FRAMING,
};

typedef struct endless_case {
	const char *what;
	const char *begin;
	const char *more;
	const char *path;
	uint64_t max_bytes;
} endless_case_t;

/*
 * The runner sends MORE at each tick of a timer, which may take 4 ms. MORE is
 * long enough for the gateway's limit in bytes to be reached in 33 ticks.
 */
static const endless_case_t cases[] = {
	{ "bytes that are not HTTP", "", HUNDRED(TEN("garbage ")), "/safe/",
	  HEAD_BYTES },
	{ "a head", "HTTP/1.1 200 OK\r\n", HUNDRED(TEN("X-A: b\r\n")), "/safe/",
	  HEAD_BYTES },
	{ "one header", "HTTP/1.1 200 OK\r\nX-A: ", HUNDRED(TEN("bbbbbbbb")),
	  "/safe/", HEAD_BYTES },
	{ "interim answers", "", TEN("HTTP/1.1 103 Early\r\nX-A: b\r\n\r\n"),
	  "/safe/", HEAD_BYTES },
	{ "a chunk's extension", CHUNKED "2;a=", HUNDRED(TEN("bbbbbbbb")),
	  "/safe/", FRAMING_BYTES },
	{ "trailers", CHUNKED "2\r\nok\r\n0\r\n", HUNDRED(TEN("X-A: b\r\n")),
	  "/safe/", FRAMING_BYTES },
	{ "a body", "HTTP/1.1 200 OK\r\n" SEAL "\r\n",
	  FOUR(HUNDRED(TEN("bbbbbbbb"))), "/safe/", BODY_BYTES },
	{ "a chunked body", CHUNKED, FOUR(HUNDRED(TEN("8\r\nbbbbbbbb\r\n"))),
	  "/safe/", BODY_BYTES },
	{ "one event", CHUNKED, HUNDRED(TEN("8\r\nbbbbbbbb\r\n")), "/stream/",
	  BODY_BYTES },
};

static void check_endless(const endless_case_t *c)
{
	const reply_t endless[] = { { c->begin, REPLY_KEEP },
				    { c->begin, REPLY_KEEP } };
	const reply_t whole[] = { { OK, REPLY_KEEP }, { OK, REPLY_KEEP } };
	gateway_fixture_t fixture;
	raw_runner_t *faulty;
	gint64 begin;

	gateway_fixture_init(&fixture);
	fixture.settings.max_answer_kib = MAX_ANSWER_KIB;
	gateway_fixture_configure(&fixture);
	faulty = &fixture.runners[0];
	faulty->replies = endless;
	faulty->trail = (trail_t){ str_from(c->more), 1, 0 };
	fixture.runners[1].replies = whole;
	gateway_send(&fixture, 0, REQUEST("/once/", "a"));
	gateway_await_count(&fixture, &fixture.wants, 1);
	/* Another caller is served by the healthy runner meanwhile. */
	gateway_send(&fixture, 1, REQUEST("/safe/", "b"));
	gateway_await(&fixture, 1, "\r\n\r\nok");
	/* This one gets the endless answer and is retried elsewhere. */
	fixture.wants = 0;
	begin = g_get_monotonic_time();
	gateway_send(&fixture, 2, REQUEST("/safe/", "c"));
	gateway_await(&fixture, 2, "\r\n\r\nok");
	ck_assert_msg(g_get_monotonic_time() - begin < MAX_RETRY_US,
		      "%s: the retry was answered too late", c->what);
	ck_assert_msg(faulty->n_trailed < c->max_bytes,
		      "%s: %" G_GUINT64_FORMAT " bytes were taken", c->what,
		      faulty->n_trailed);
	gateway_fixture_finish(&fixture);
}

START_TEST(endless_answers_are_cut_off_and_others_served)
{
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		if (!strcmp(cases[i].path, "/safe/"))
			check_endless(&cases[i]);
}
END_TEST

/*
 * The caller already has the head, so the missing last chunk must show that
 * the answer is incomplete.
 */
START_TEST(an_endless_event_ends_without_a_last_chunk)
{
	const endless_case_t *c = &cases[G_N_ELEMENTS(cases) - 1];
	const reply_t endless[] = { { c->begin, REPLY_KEEP } };
	gateway_fixture_t fixture;

	gateway_fixture_init(&fixture);
	gateway_fixture_configure(&fixture);
	fixture.runners[0].replies = endless;
	fixture.runners[0].trail = (trail_t){ str_from(c->more), 1, 0 };
	gateway_send(&fixture, 0, REQUEST("/fixed/", "a"));
	gateway_await_close(&fixture, 0);
	ck_assert_int_eq(gateway_count(&fixture, 0, "\r\n0\r\n\r\n"), 0);
	gateway_fixture_finish(&fixture);
}
END_TEST

static bool on_head(void *ctx, const http1_head_t *head)
{
	return true;
}

static bool on_body(void *ctx, str_t bytes)
{
	*(size_t *)ctx += bytes.len;
	return true;
}

/* Feeds MORE repeatedly; returns how many bytes the reader consumed. */
static size_t feed(const char *begin, const char *more, size_t *body)
{
	static const http1_ops_t ops = { on_head, on_body };
	http1_reader_t r;
	http1_result_t result;
	size_t taken, sum = 0;

	*body = 0;
	http1_reader_init(&r, HTTP1_RESPONSE, MAX_HEAD, &ops, body);
	result = http1_reader_feed(&r, str_from(begin), &taken);
	while (result == HTTP1_MORE && sum < FEED_LIMIT) {
		result = http1_reader_feed(&r, str_from(more), &taken);
		sum += taken;
	}
	http1_reader_finish(&r);
	return sum;
}

START_TEST(framing_without_a_body_is_bounded)
{
	static const char head[] = "HTTP/1.1 200 OK\r\n"
				   "Transfer-Encoding: chunked\r\n\r\n";
	g_autofree char *extension = g_strconcat(head, "2;a=", NULL);
	g_autofree char *trailer = g_strconcat(head, "2\r\nok\r\n0\r\n", NULL);
	size_t body;

	ck_assert_uint_lt(feed(extension, "bbbbbbbb", &body),
			  HTTP1_MAX_FRAMING + MAX_HEAD);
	ck_assert_uint_lt(feed(trailer, "X-A: b\r\n", &body),
			  HTTP1_MAX_FRAMING + MAX_HEAD);
	/* Many small chunks consist mostly of framing. */
	ck_assert_uint_ge(feed(head, "1\r\nb\r\n", &body), FEED_LIMIT);
	ck_assert_uint_ge(body, FEED_LIMIT / 8);
}
END_TEST

SUITE_MAIN("endless_answer", endless_answers_are_cut_off_and_others_served,
	   an_endless_event_ends_without_a_last_chunk,
	   framing_without_a_body_is_bounded)
