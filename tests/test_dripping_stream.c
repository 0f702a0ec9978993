/*
 * Slow streams that keep sending events run to their end. Stalled streams
 * that only send a byte or a comment now and then are ended, because only
 * complete events count as progress.
 */
#include "tests/lib_gateway.h"
#include "tests/lib_suite.h"

#define LONG_REQUEST(path)                                         \
	"POST " path " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\n" \
	"X-Key: key\r\nX-Deadline-Ms: 60000\r\nContent-Length: 2"  \
	"\r\n\r\nhi"
#define EVENT "c\r\nid: 1\ndata\n\n\r\n"
#define END "0\r\n\r\n"

enum {
	IDLE_MS = 400, /* longest time without an event */
	TIMEOUT_MS = 2000, /* the route's timeout */
};

typedef struct drip_case {
	const char *what;
	const char *bytes;
	int64_t every_ms;
	bool makes_progress;
} drip_case_t;

static void check_stream(const drip_case_t *c)
{
	static const reply_t first_event[] = { { STREAM_HEAD EVENT,
						 REPLY_KEEP } };
	gateway_fixture_t fixture;
	gint64 begin = g_get_monotonic_time();
	int64_t took_ms;

	gateway_fixture_init(&fixture);
	fixture.settings.upstream_idle_ms = IDLE_MS;
	gateway_fixture_configure(&fixture);
	fixture.runners[0].replies = first_event;
	fixture.runners[0].trail =
		(trail_t){ str_from(c->bytes), c->every_ms, 0 };
	gateway_send(&fixture, 0, LONG_REQUEST("/fixed/"));
	gateway_await_close(&fixture, 0);
	took_ms = (g_get_monotonic_time() - begin) / 1000;
	/* Only a stream that makes progress lasts until the route's timeout. */
	ck_assert_msg(c->makes_progress == (took_ms >= TIMEOUT_MS - IDLE_MS),
		      "%s: ended after %" G_GINT64_FORMAT " ms", c->what,
		      took_ms);
	ck_assert_int_eq(gateway_count(&fixture, 0, "\r\n" END), 0);
	gateway_fixture_finish(&fixture);
}

START_TEST(stalled_streams_end_and_slow_ones_run_on)
{
	static const drip_case_t cases[] = {
		{ "slow events", EVENT, IDLE_MS / 2, true },
		{ "a byte of an event", "1\r\nb\r\n", IDLE_MS / 8, false },
		{ "comments", "3\r\n:\n\n\r\n", IDLE_MS / 8, false },
		{ "nothing", "", IDLE_MS, false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		check_stream(&cases[i]);
}
END_TEST

START_TEST(a_stalled_resumable_stream_resumes_elsewhere)
{
	static const reply_t first_event[] = { { STREAM_HEAD EVENT,
						 REPLY_KEEP } };
	static const reply_t rest[] = {
		{ STREAM_HEAD "c\r\nid: 2\ndata\n\n\r\n" END, REPLY_KEEP }
	};
	gateway_fixture_t fixture;

	gateway_fixture_init(&fixture);
	fixture.settings.upstream_idle_ms = IDLE_MS;
	gateway_fixture_configure(&fixture);
	fixture.runners[0].replies = first_event;
	fixture.runners[0].trail = (trail_t){ STR_LIT("1\r\nb\r\n"), 20, 0 };
	fixture.runners[1].replies = rest;
	gateway_send(&fixture, 0, LONG_REQUEST("/stream/"));
	gateway_await(&fixture, 0, "id: 2");
	ck_assert_int_eq(gateway_count(&fixture, 0, "id: 1"), 1);
	/* The first runner's connection was closed before the resume. */
	ck_assert_int_eq(fixture.runners[0].n_closed, 1);
	gateway_fixture_finish(&fixture);
}
END_TEST

SUITE_MAIN("dripping_stream", stalled_streams_end_and_slow_ones_run_on,
	   a_stalled_resumable_stream_resumes_elsewhere)
