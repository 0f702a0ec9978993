/*
 * A caller reads its stream slowly or not at all, while the runner sends on.
 * That pauses this runner's stream before it is given up, costs nobody else
 * anything, and the stream goes on once the caller reads.
 */
#include "tests/lib_gateway.h"
#include "tests/lib_suite.h"

enum {
	EVENT_BYTES = 8192, /* 2000 in hexadecimal */
	BACKLOG_KIB = 64,
	EVENTS = 16, /* sent at a time */
	EVERY_MS = 1,
	CHECK_MS = 50,
	MAX_CHECKS = 20, /* within the route's timeout */
	/* More than the sockets on the way hold together. */
	MAX_SENT = 64 * 1000 * 1000,
};

/* Returns events of EVENT_BYTES, each as one chunk. */
static char *make_events(void)
{
	GString *events = g_string_new(NULL);
	static const char begin[] = "2000\r\nid: 1\ndata: ";
	static const char end[] = "\n\n\r\n";
	size_t fill = EVENT_BYTES - (sizeof(begin) - 1 - 6) - 2;
	g_autofree char *data = g_strnfill(fill, 'd');

	for (int i = 0; i < EVENTS; i++)
		g_string_append_printf(events, "%s%s%s", begin, data, end);
	return g_string_free(events, FALSE);
}

/* Runs until the runner's stream stands still; returns the bytes sent. */
static uint64_t await_standstill(gateway_fixture_t *f)
{
	const raw_runner_t *r = &f->runners[0];
	uint64_t sent;
	int n = 0;

	do {
		sent = r->n_trailed;
		gateway_run(f, CHECK_MS);
	} while ((r->n_trailed != sent || !sent) && ++n < MAX_CHECKS);
	return sent;
}

START_TEST(an_unread_stream_is_paused_and_goes_on_when_read)
{
	static const reply_t stream[] = { { STREAM_HEAD, REPLY_KEEP } };
	static const reply_t plain[] = { { OK, REPLY_KEEP },
					 { OK, REPLY_KEEP } };
	g_autofree char *events = make_events();
	gateway_fixture_t f;
	uint64_t sent;

	gateway_fixture_init(&f);
	f.settings.caller_backlog_kib = BACKLOG_KIB;
	gateway_fixture_configure(&f);
	f.runners[0].replies = stream;
	f.runners[0].trail = (trail_t){ str_from(events), EVERY_MS, 0 };
	f.runners[1].replies = plain;
	gateway_send(&f, 0, REQUEST("/fixed/", "a"));
	gateway_await(&f, 0, "id: 1");
	bufferevent_disable(f.callers[0].bev, EV_READ);
	sent = await_standstill(&f);
	ck_assert_uint_lt(sent, MAX_SENT);
	ck_assert_int_eq(f.dones, 0);
	/* Others are served meanwhile. */
	gateway_send(&f, 1, REQUEST("/safe/", "b"));
	gateway_await(&f, 1, "\r\n\r\nok");
	/* The runner isn't cut off, and goes on. */
	g_string_truncate(f.callers[0].received, 0);
	bufferevent_enable(f.callers[0].bev, EV_READ);
	gateway_await(&f, 0, "id: 1");
	gateway_run(&f, CHECK_MS);
	ck_assert_uint_gt(f.runners[0].n_trailed, sent);
	ck_assert_int_eq(f.runners[0].n_closed, 0);
	gateway_fixture_finish(&f);
}
END_TEST

SUITE_MAIN("slow_reader", an_unread_stream_is_paused_and_goes_on_when_read)
