/*
 * A request to a plain service crashes each runner that begins to run it, and
 * callers send it again, with other attempt IDs and at any daemon. It must soon
 * be kept from the runners; other requests must not.
 */
#include "tests/lib_gateway.h"
#include "tests/lib_suite.h"

enum {
	CRASHES = 3, /* after these, the request is not sent */
	MORE_REQUESTS = 4,
};

#define CRASH                   \
	{                       \
		"", REPLY_RESET \
	}
#define ANSWER                 \
	{                      \
		OK, REPLY_KEEP \
	}
static const reply_t crash[FIXTURE_REPLIES] = { CRASH, CRASH, CRASH, CRASH,
						CRASH, CRASH, CRASH };
static const reply_t sound[FIXTURE_REPLIES] = { ANSWER, ANSWER, ANSWER, ANSWER,
						ANSWER, ANSWER, ANSWER };

/* Sends a request as a new attempt. */
static void send_request(gateway_fixture_t *fixture, const char *path,
			 const char *key, const char *body)
{
	static int n;
	g_autofree char *text = g_strdup_printf(
		"POST %s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r%d\r\n"
		"X-Key: %s\r\nX-Deadline-Ms: 1500\r\nContent-Length: %zu\r\n"
		"\r\n%s",
		path, ++n, key, strlen(body), body);

	gateway_send(fixture, 0, text);
}

/*
 * Sends the same request until CRASHES runners have crashed on it, or until it
 * reaches no runner.
 */
static void crash_runners(gateway_fixture_t *fixture, const char *path)
{
	int arrivals;

	gateway_fixture_init(fixture);
	gateway_fixture_configure(fixture);
	for (int n = 0; n < CRASHES; n += arrivals) {
		gateway_restart_runners(fixture, crash);
		send_request(fixture, path, "key", "x");
		gateway_await(fixture, 0, "\r\n\r\n");
		gateway_await_verdict(fixture);
		gateway_close_caller(fixture, 0);
		arrivals = gateway_count_arrivals(fixture);
		if (!arrivals)
			break;
	}
}

static void assert_refused(const char *path)
{
	gateway_fixture_t fixture;

	crash_runners(&fixture, path);
	gateway_restart_runners(&fixture, crash);
	for (int i = 0; i < MORE_REQUESTS; i++) {
		send_request(&fixture, path, "key", "x");
		gateway_await(&fixture, 0, "HTTP/1.1 503 ");
		gateway_await(&fixture, 0, "Retry-After: ");
		gateway_close_caller(&fixture, 0);
	}
	ck_assert_int_eq(gateway_count_arrivals(&fixture), 0);
	gateway_fixture_finish(&fixture);
}

/* Guards against callers' repeats that crash one runner after the other. */
START_TEST(an_unsafe_request_that_crashes_runners_is_kept_from_them)
{
	assert_refused("/once/x");
}
END_TEST

/* Guards against daemons' retries that crash one runner after the other. */
START_TEST(a_safe_request_that_crashes_runners_is_kept_from_them)
{
	assert_refused("/safe/x");
}
END_TEST

/* Guards against refusing whoever shares its route, team or body. */
START_TEST(other_requests_are_served)
{
	static const char *const others[][3] = { { "/once/x", "key", "y" },
						 { "/once/x?y", "key", "x" },
						 { "/safe/x", "key", "x" },
						 { "/once/x", "low", "x" } };
	gateway_fixture_t fixture;

	crash_runners(&fixture, "/once/x");
	gateway_restart_runners(&fixture, sound);
	for (size_t i = 0; i < G_N_ELEMENTS(others); i++) {
		send_request(&fixture, others[i][0], others[i][1],
			     others[i][2]);
		gateway_await(&fixture, 0, "HTTP/1.1 200 ");
		gateway_close_caller(&fixture, 0);
	}
	gateway_fixture_finish(&fixture);
}
END_TEST

/* Sends a request that no other one equals, and awaits its answer. */
static void send_once(gateway_fixture_t *fixture, const char *path)
{
	static int n;
	g_autofree char *body = g_strdup_printf("%d", ++n);

	send_request(fixture, path, "key", body);
	gateway_await(fixture, 0, "\r\n\r\n");
	gateway_close_caller(fixture, 0);
}

static void begin(gateway_fixture_t *fixture, const reply_t *replies)
{
	gateway_fixture_init(fixture);
	gateway_fixture_configure(fixture);
	gateway_restart_runners(fixture, replies);
}

/* Guards against a request that takes down all runners of a small service. */
START_TEST(one_attempt_crashes_two_runners_at_most)
{
	gateway_fixture_t fixture;

	begin(&fixture, crash);
	send_once(&fixture, "/thrice/x");
	ck_assert_int_eq(gateway_count_arrivals(&fixture), 2);
	gateway_fixture_finish(&fixture);
}
END_TEST

/* Guards against a frame to all daemons for each request that is reset. */
START_TEST(resets_of_a_live_runner_are_reported_once)
{
	static const reply_t grey[FIXTURE_REPLIES] = { CRASH, ANSWER, CRASH,
						       CRASH, CRASH };
	const int n = 5 * FIXTURE_RUNNERS;
	/* A report for each runner, and the answer that disproves it. */
	const int n_notices = 2 * FIXTURE_RUNNERS;
	gateway_fixture_t fixture;

	begin(&fixture, grey);
	for (int i = 0; i < n; i++)
		send_once(&fixture, "/once/x");
	ck_assert_int_eq(gateway_count_arrivals(&fixture), n);
	ck_assert_int_eq(fixture.notices_of[PART_NOTICE_CRASH],
			 FIXTURE_RUNNERS);
	ck_assert_int_eq(fixture.notices_of[PART_NOTICE_ALIVE],
			 FIXTURE_RUNNERS);
	ck_assert_int_eq(fixture.part_notices, n_notices);
	gateway_fixture_finish(&fixture);
}
END_TEST

/* Guards against a crash that isn't counted, on a connection kept open. */
START_TEST(a_crash_on_a_used_connection_is_reported)
{
	static const reply_t late[FIXTURE_REPLIES] = { ANSWER, CRASH };
	gateway_fixture_t fixture;

	gateway_fixture_begin(&fixture, late, sound);
	for (int i = 0; i < 3; i++)
		send_once(&fixture, "/safe/x");
	ck_assert_int_eq(fixture.runners[0].n_connects, 1);
	/* The second runner answers: the crash, and the sound request. */
	ck_assert_int_eq(fixture.part_notices, 2);
	ck_assert_int_eq(fixture.last_part_notice.kind, PART_NOTICE_SOUND);
	gateway_fixture_finish(&fixture);
}
END_TEST

SUITE_MAIN("crashing_request",
	   an_unsafe_request_that_crashes_runners_is_kept_from_them,
	   a_safe_request_that_crashes_runners_is_kept_from_them,
	   other_requests_are_served, one_attempt_crashes_two_runners_at_most,
	   resets_of_a_live_runner_are_reported_once,
	   a_crash_on_a_used_connection_is_reported)
