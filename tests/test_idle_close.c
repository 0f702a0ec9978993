/*
 * Connections of callers are closed when they are idle, and only then: not with
 * a request in them that was not looked at yet, nor with an answer that is still
 * being read.
 */
#include <sys/socket.h>

#include "tests/lib_gateway.h"
#include "tests/lib_suite.h"

enum {
	STALL_US =
		900 * 1000, /* the event loop; longer than the idle timeout */
	LONG_BYTES = 12 * 1000 * 1000, /* more than the sockets hold */
	READ_BYTES = 1000 * 1000, /* by the caller at a time */
	READ_GAP_MS = 120,
};

static const reply_t two[] = { { OK, REPLY_KEEP }, { OK, REPLY_KEEP }, {} };
static const reply_t none[] = { {} };

/* Guards against a request that is dropped after the event loop was late. */
START_TEST(a_request_that_waits_in_an_idle_connection_is_served)
{
	static const char again[] = REQUEST("/safe/", "b");
	gateway_fixture_t fixture;
	int fd;

	gateway_fixture_begin(&fixture, two, two);
	gateway_send(&fixture, 0, REQUEST("/safe/", "a"));
	gateway_await(&fixture, 0, "\r\n\r\nok");
	g_string_truncate(fixture.callers[0].received, 0);
	fd = bufferevent_getfd(fixture.callers[0].bev);
	ck_assert(send(fd, again, sizeof(again) - 1, 0) > 0);
	g_usleep(STALL_US);
	gateway_await(&fixture, 0, "\r\n\r\nok");
	gateway_fixture_finish(&fixture);
}
END_TEST

/* Reads the whole answer slowly; returns the number of its bytes. */
static size_t read_slowly(gateway_fixture_t *fixture, int fd, size_t most)
{
	g_autofree char *buf = g_malloc(READ_BYTES);
	size_t n = 0;
	ssize_t got = 1;

	while (got != 0 && n < most) {
		got = recv(fd, buf, READ_BYTES, MSG_DONTWAIT);
		n += got > 0 ? (size_t)got : 0;
		gateway_run(fixture, READ_GAP_MS);
	}
	return n;
}

/* Guards against an answer that is cut since its caller reads for long. */
START_TEST(an_answer_that_is_still_read_is_not_cut)
{
	g_autofree char *body = g_strnfill(LONG_BYTES, 'b');
	g_autofree char *answer =
		g_strdup_printf("HTTP/1.1 200 OK\r\nX-Attempt-Id: @\r\n"
				"X-Server-Seal: seal\r\nContent-Length: %d"
				"\r\n\r\n%s",
				LONG_BYTES, body);
	const reply_t long_answer[] = { { answer, REPLY_KEEP }, {} };
	gateway_fixture_t fixture;
	size_t n;

	gateway_fixture_begin(&fixture, long_answer, none);
	fixture.settings.max_answer_kib = LONG_BYTES / 1000;
	gateway_send(&fixture, 0, REQUEST("/safe/", "a"));
	gateway_await_count(&fixture, &fixture.runners[0].n_requests, 1);
	bufferevent_disable(fixture.callers[0].bev, EV_READ);
	gateway_await_count(&fixture, &fixture.dones, 1);
	n = read_slowly(&fixture, bufferevent_getfd(fixture.callers[0].bev),
			LONG_BYTES);
	ck_assert_uint_ge(n, LONG_BYTES);
	gateway_fixture_finish(&fixture);
}
END_TEST

SUITE_MAIN("idle_close", a_request_that_waits_in_an_idle_connection_is_served,
	   an_answer_that_is_still_read_is_not_cut)
