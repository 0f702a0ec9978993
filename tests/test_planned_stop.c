/*
 * A planned stop under load must not cut off accepted requests. A request gets
 * its complete answer whatever state it is in when the drain begins, and also
 * if it arrives during the drain while the load balancer still sends callers.
 */
#include "tests/lib_gateway.h"
#include "tests/lib_suite.h"

#define EVENT "c\r\nid: 1\ndata\n\n\r\n"
#define REST "c\r\nid: 2\ndata\n\n\r\n0\r\n\r\n"

enum {
	ROUNDS = 10, /* further callers during the drain */
	ROUND_MS = 200, /* in all shorter than the listener stays open */
	STREAM_MS = 300,
	LATE_ROUNDS = 13, /* the fixture's daemon accepts for 2.6 s */
	ARRIVAL_US = 8 * 1000 * 1000, /* in which a request is passed on */
};

static const reply_t whole[] = { { OK, REPLY_KEEP }, { OK, REPLY_KEEP },
				 { OK, REPLY_KEEP }, { OK, REPLY_KEEP },
				 { OK, REPLY_KEEP }, { OK, REPLY_KEEP },
				 { OK, REPLY_KEEP }, { OK, REPLY_KEEP },
				 { OK, REPLY_KEEP }, { OK, REPLY_KEEP },
				 { OK, REPLY_KEEP }, { OK, REPLY_KEEP },
				 { OK, REPLY_KEEP }, { OK, REPLY_KEEP },
				 { OK, REPLY_KEEP }, { OK, REPLY_KEEP } };

static void begin(gateway_fixture_t *fixture)
{
	gateway_fixture_init(fixture);
	gateway_fixture_configure(fixture);
	fixture->runners[0].replies = whole;
	fixture->runners[1].replies = whole;
}

static void drain(gateway_fixture_t *fixture)
{
	message_t m = { .type = MESSAGE_DRAIN };

	supervisor_post(&fixture->sup, TASK_FRONT, &m);
	gateway_run(fixture, 20);
}

START_TEST(requests_in_every_state_are_answered)
{
	gateway_fixture_t fixture;

	begin(&fixture);
	/* One idle connection, one request half sent, one not granted. */
	gateway_send(&fixture, 0, REQUEST("/safe/", "a"));
	gateway_await(&fixture, 0, "\r\n\r\nok");
	gateway_send(&fixture, 1, REQUEST_HEAD("/once/", "a"));
	fixture.is_mute = true;
	gateway_send(&fixture, 2, REQUEST("/once/", "a"));
	gateway_await_count(&fixture, &fixture.wants, 2);
	drain(&fixture);
	fixture.is_mute = false;
	gateway_grant_last(&fixture);
	gateway_await(&fixture, 2, "\r\n\r\nok");
	gateway_send(&fixture, 1, "hi");
	gateway_await(&fixture, 1, "\r\n\r\nok");
	g_string_truncate(fixture.callers[0].received, 0);
	gateway_send(&fixture, 0, REQUEST("/once/", "a"));
	gateway_await(&fixture, 0, "\r\n\r\nok");
	/* Each answer announced that the connection closes. */
	for (int i = 0; i < 3; i++) {
		ck_assert_int_eq(
			gateway_count(&fixture, i, "Connection: close"), 1);
		gateway_await_close(&fixture, i);
	}
	gateway_fixture_finish(&fixture);
}
END_TEST

/* Guards against: requests that wait behind an answer are dropped by a stop. */
START_TEST(requests_received_behind_another_are_answered)
{
	gateway_fixture_t fixture;

	begin(&fixture);
	fixture.is_mute = true;
	gateway_send(&fixture, 0,
		     REQUEST("/safe/", "a") REQUEST("/safe/", "b")
			     REQUEST("/safe/", "c"));
	gateway_await_count(&fixture, &fixture.wants, 1);
	drain(&fixture);
	fixture.is_mute = false;
	gateway_grant_last(&fixture);
	gateway_await_close(&fixture, 0);
	ck_assert_int_eq(gateway_count(&fixture, 0, "\r\n\r\nok"), 3);
	ck_assert_int_eq(gateway_count(&fixture, 0, "Connection: close"), 1);
	gateway_fixture_finish(&fixture);
}
END_TEST

START_TEST(callers_that_arrive_during_a_drain_are_served)
{
	gateway_fixture_t fixture;

	begin(&fixture);
	drain(&fixture);
	for (int i = 0; i < ROUNDS; i++) {
		gateway_send(&fixture, i % FIXTURE_CALLERS,
			     REQUEST("/once/", "a"));
		gateway_await(&fixture, i % FIXTURE_CALLERS, "\r\n\r\nok");
		gateway_close_caller(&fixture, i % FIXTURE_CALLERS);
		gateway_run(&fixture, ROUND_MS);
	}
	gateway_fixture_finish(&fixture);
}
END_TEST

START_TEST(a_running_stream_continues_to_its_end)
{
	static const reply_t first_event[] = { { STREAM_HEAD EVENT,
						 REPLY_KEEP } };
	gateway_fixture_t fixture;

	begin(&fixture);
	fixture.runners[0].replies = first_event;
	fixture.runners[0].trail = (trail_t){ STR_LIT(REST), STREAM_MS, 1 };
	gateway_send(&fixture, 0, REQUEST("/fixed/", "a"));
	gateway_await(&fixture, 0, "id: 1");
	drain(&fixture);
	gateway_await(&fixture, 0, "0\r\n\r\n");
	ck_assert_int_eq(gateway_count(&fixture, 0, "id: 2"), 1);
	gateway_fixture_finish(&fixture);
}
END_TEST

/*
 * Guards against a request that is read late in a drain, passed on, and cut at
 * the end without an answer.
 */
START_TEST(a_request_that_comes_too_late_is_refused)
{
	static const reply_t mute[] = { { "", REPLY_MUTE }, {} };
	gateway_fixture_t fixture;

	begin(&fixture);
	fixture.runners[0].replies = mute;
	gateway_send(&fixture, 0,
		     "POST /once/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\n"
		     "X-Key: key\r\nX-Deadline-Ms: 5000\r\n"
		     "Content-Length: 15\r\n\r\n");
	drain(&fixture);
	for (int i = 0; i < LATE_ROUNDS; i++) {
		gateway_send(&fixture, 0, "x");
		gateway_run(&fixture, ROUND_MS);
	}
	gateway_send(&fixture, 0, "xx");
	gateway_await(&fixture, 0, "HTTP/1.1 503 ");
	gateway_await(&fixture, 0, "Retry-After: ");
	gateway_await_close(&fixture, 0);
	ck_assert_int_eq(fixture.runners[0].n_requests, 0);
	gateway_fixture_finish(&fixture);
}
END_TEST

/*
 * Caller 0 sends a request whose own time ends long after the daemon's. The
 * drain begins anew until it has reached a runner, so that it arrives while
 * the daemon still accepts, however long this process is held up.
 */
static void drain_while_it_arrives(gateway_fixture_t *fixture)
{
	const message_t m = { .type = MESSAGE_DRAIN };
	gint64 limit = g_get_monotonic_time() + ARRIVAL_US;

	gateway_send(fixture, 0,
		     "POST /patient/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\n"
		     "X-Key: key\r\nX-Deadline-Ms: 60000\r\n"
		     "Content-Length: 2\r\n\r\nhi");
	while (!gateway_count_arrivals(fixture) &&
	       g_get_monotonic_time() < limit) {
		supervisor_post(&fixture->sup, TASK_FRONT, &m);
		event_base_loop(fixture->base, EVLOOP_ONCE);
	}
	ck_assert_int_eq(gateway_count_arrivals(fixture), 1);
}

/* Guards against an exit that leaves a caller without any answer. */
START_TEST(what_still_runs_at_the_end_is_answered)
{
	static const reply_t mute[] = { { "", REPLY_MUTE }, {} };
	gateway_fixture_t fixture;

	begin(&fixture);
	fixture.runners[0].replies = mute;
	fixture.runners[1].replies = mute;
	drain_while_it_arrives(&fixture);
	gateway_await(&fixture, 0, "HTTP/1.1 504 ");
	gateway_await(&fixture, 0, "the daemon is stopping");
	gateway_await_close(&fixture, 0);
	ck_assert_int_eq(gateway_count_arrivals(&fixture), 1);
	gateway_fixture_finish(&fixture);
}
END_TEST

SUITE_MAIN("planned_stop", requests_in_every_state_are_answered,
	   requests_received_behind_another_are_answered,
	   callers_that_arrive_during_a_drain_are_served,
	   a_running_stream_continues_to_its_end,
	   a_request_that_comes_too_late_is_refused,
	   what_still_runs_at_the_end_is_answered)
