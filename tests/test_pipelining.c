/*
 * Callers that send further requests before they have read the answers to the
 * ones before: they cost the daemon neither memory nor processor time.
 */
#include <time.h>

#include "tests/lib_gateway.h"
#include "tests/lib_suite.h"

enum {
	LONG_BYTES = 12 * 1000 * 1000, /* more than the sockets hold */
	PIPELINED = 6,
	WAIT_MS = 400,
	WAITING_BYTES = 12 * 1000, /* of a request behind another one */
	MAX_BUSY_MS = WAIT_MS / 2,
};

static const reply_t none[] = { {} };

/* A request of WAITING_BYTES. */
static char *long_request(void)
{
	g_autofree char *body = g_strnfill(WAITING_BYTES, 'b');

	return g_strdup_printf("POST /safe/ HTTP/1.1\r\nHost: h\r\n"
			       "X-Attempt-Id: b\r\nX-Key: key\r\n"
			       "Content-Length: %d\r\n\r\n%s",
			       WAITING_BYTES, body);
}

/*
 * Guards against a daemon that goes beyond its memory: a caller that reads
 * slowly has its next requests served while their answers pile up.
 */
START_TEST(what_waits_behind_an_unread_answer_is_not_served)
{
	g_autofree char *body = g_strnfill(LONG_BYTES, 'b');
	g_autofree char *answer =
		g_strdup_printf("HTTP/1.1 200 OK\r\nX-Attempt-Id: @\r\n"
				"X-Server-Seal: seal\r\nContent-Length: %d"
				"\r\n\r\n%s",
				LONG_BYTES, body);
	const reply_t long_answers[] = { { answer, REPLY_KEEP },
					 { answer, REPLY_KEEP },
					 { answer, REPLY_KEEP },
					 {} };
	gateway_fixture_t fixture;

	gateway_fixture_begin(&fixture, long_answers, long_answers);
	fixture.settings.max_answer_kib = LONG_BYTES / 1000;
	gateway_send(&fixture, 0, REQUEST("/safe/", "a"));
	gateway_await_count(&fixture, &fixture.runners[0].n_requests, 1);
	bufferevent_disable(fixture.callers[0].bev, EV_READ);
	for (int i = 0; i < PIPELINED; i++)
		gateway_send(&fixture, 0, REQUEST("/safe/", "b"));
	gateway_await_count(&fixture, &fixture.dones, 1);
	gateway_run(&fixture, WAIT_MS);
	ck_assert_int_eq(gateway_count_arrivals(&fixture), 1);
	gateway_fixture_finish(&fixture);
}
END_TEST

/* Guards against a request that is forgotten behind an answer. */
START_TEST(what_waits_is_served_when_the_answer_was_read)
{
	static const reply_t oks[] = {
		{ OK, REPLY_KEEP }, { OK, REPLY_KEEP }, { OK, REPLY_KEEP }, {}
	};
	g_autofree char *waiting = long_request();
	gateway_fixture_t fixture;

	gateway_fixture_init(&fixture);
	fixture.max_body_bytes = WAITING_BYTES;
	gateway_fixture_configure(&fixture);
	fixture.runners[0].replies = oks;
	fixture.runners[1].replies = oks;
	gateway_send(&fixture, 0, REQUEST("/safe/", "a"));
	gateway_send(&fixture, 0, waiting);
	gateway_send(&fixture, 0, REQUEST("/safe/", "c"));
	gateway_await_count(&fixture, &fixture.dones, 3);
	gateway_run(&fixture, WAIT_MS / 8);
	ck_assert_int_eq(gateway_count(&fixture, 0, "200 OK"), 3);
	gateway_fixture_finish(&fixture);
}
END_TEST

/* Guards against a busy loop while a request waits behind another one. */
START_TEST(a_request_that_waits_takes_no_processor_time)
{
	static const reply_t mute[] = { { "", REPLY_MUTE }, {} };
	g_autofree char *waiting = long_request();
	gateway_fixture_t fixture;
	clock_t begin;

	gateway_fixture_begin(&fixture, mute, none);
	gateway_send(&fixture, 0, REQUEST("/safe/", "a"));
	gateway_await_count(&fixture, &fixture.runners[0].n_requests, 1);
	gateway_send(&fixture, 0, waiting);
	begin = clock();
	gateway_run(&fixture, WAIT_MS);
	ck_assert_int_le((clock() - begin) / (CLOCKS_PER_SEC / 1000),
			 MAX_BUSY_MS);
	gateway_fixture_finish(&fixture);
}
END_TEST

SUITE_MAIN("pipelining", what_waits_behind_an_unread_answer_is_not_served,
	   what_waits_is_served_when_the_answer_was_read,
	   a_request_that_waits_takes_no_processor_time)
