/*
 * A process that stalled, or whose VM was suspended, must not use a grant from
 * before the pause, because the grant may have expired. The test advances the
 * clock that counts suspended time; the monotonic clock does not count it.
 */
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include "tests/lib_gateway.h"
#include "tests/lib_suite.h"

#define REQUEST_WITH_KEY(path, key)                                  \
	"POST " path " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\n"   \
	"X-Key: " key "\r\nX-Deadline-Ms: 5000\r\nContent-Length: 2" \
	"\r\n\r\nhi"

enum {
	TIMEOUT_MS = 200, /* after which other daemons take over */
	LONG_PAUSE_MS = 1000, /* past the route's timeout of 700 ms too */
	SHORT_PAUSE_MS = 300,
	MS_PER_S = 1000,
	NS_PER_MS = 1000 * 1000,
	NS_PER_S = 1000 * 1000 * 1000,
};

static int64_t suspended_ms;

/* Replaces the C library's function and uses its parameter names. */
int clock_gettime(clockid_t __clock_id, struct timespec *__tp)
{
	struct timespec *t = __tp;
	int status = (int)syscall(SYS_clock_gettime, __clock_id, t);

	if (status || __clock_id != CLOCK_BOOTTIME)
		return status;
	t->tv_sec += suspended_ms / MS_PER_S;
	t->tv_nsec += suspended_ms % MS_PER_S * NS_PER_MS;
	if (t->tv_nsec >= NS_PER_S) {
		t->tv_nsec -= NS_PER_S;
		t->tv_sec++;
	}
	return 0;
}

static const reply_t whole[] = { { OK, REPLY_KEEP }, { OK, REPLY_KEEP } };

static void begin(gateway_fixture_t *fixture)
{
	suspended_ms = 0;
	gateway_fixture_init(fixture);
	fixture->settings.heartbeat_timeout_ms = TIMEOUT_MS;
	gateway_fixture_configure(fixture);
	fixture->runners[0].replies = whole;
	fixture->runners[1].replies = whole;
}

START_TEST(suspended_time_is_counted_as_a_stall)
{
	gateway_fixture_t fixture;
	uint64_t epoch;

	begin(&fixture);
	epoch = supervisor_stall_epoch(&fixture.sup);
	ck_assert_uint_eq(supervisor_stall_epoch(&fixture.sup), epoch);
	suspended_ms += SHORT_PAUSE_MS;
	ck_assert_uint_eq(supervisor_stall_epoch(&fixture.sup), epoch + 1);
	gateway_fixture_finish(&fixture);
}
END_TEST

/* The grant is returned and a new one requested: the request runs once. */
START_TEST(a_grant_from_before_the_pause_is_not_used)
{
	gateway_fixture_t fixture;

	begin(&fixture);
	fixture.is_mute = true;
	gateway_send(&fixture, 0, REQUEST_WITH_KEY("/once/", "key"));
	gateway_await_count(&fixture, &fixture.wants, 1);
	suspended_ms += SHORT_PAUSE_MS;
	gateway_grant_last(&fixture);
	gateway_await_count(&fixture, &fixture.withdraws, 1);
	ck_assert_int_eq(fixture.runners[0].n_requests, 0);
	ck_assert_int_eq(fixture.runners[1].n_requests, 0);
	gateway_grant_last(&fixture);
	gateway_await(&fixture, 0, "200 OK");
	ck_assert_int_eq(fixture.runners[0].n_requests +
				 fixture.runners[1].n_requests,
			 1);
	gateway_fixture_finish(&fixture);
}
END_TEST

/*
 * No caller waits past the deadline: the request must not run, and is answered
 * with 503.
 */
START_TEST(a_grant_past_the_deadline_is_not_used)
{
	gateway_fixture_t fixture;

	begin(&fixture);
	fixture.is_mute = true;
	gateway_send(&fixture, 0, REQUEST_WITH_KEY("/once/", "key"));
	gateway_await_count(&fixture, &fixture.wants, 1);
	suspended_ms += LONG_PAUSE_MS;
	gateway_grant_last(&fixture);
	gateway_await(&fixture, 0, "503 ");
	gateway_run(&fixture, 50);
	ck_assert_int_eq(fixture.runners[0].n_requests +
				 fixture.runners[1].n_requests,
			 0);
	gateway_fixture_finish(&fixture);
}
END_TEST

START_TEST(a_limit_allowed_before_the_pause_is_requested_again)
{
	gateway_fixture_t fixture;

	begin(&fixture);
	fixture.is_limiter_mute = true;
	gateway_send(&fixture, 0, REQUEST_WITH_KEY("/once/", "low"));
	gateway_await_count(&fixture, &fixture.limits, 1);
	suspended_ms += SHORT_PAUSE_MS;
	gateway_allow_last(&fixture);
	gateway_await_count(&fixture, &fixture.limits, 3);
	ck_assert_int_eq(fixture.wants, 0);
	gateway_allow_last(&fixture);
	gateway_await(&fixture, 0, "200 OK");
	gateway_fixture_finish(&fixture);
}
END_TEST

SUITE_MAIN("paused_process", suspended_time_is_counted_as_a_stall,
	   a_grant_from_before_the_pause_is_not_used,
	   a_grant_past_the_deadline_is_not_used,
	   a_limit_allowed_before_the_pause_is_requested_again)
