/*
 * A runner sends a second copy of an answer late, when its connection is
 * already reused. The next caller must get its own answer or an error, and a
 * request that may run only once must not use such a connection.
 */
#include "tests/lib_gateway.h"
#include "tests/lib_suite.h"

#define ANSWER(id, body)                       \
	"HTTP/1.1 200 OK\r\nX-Attempt-Id: " id \
	"\r\nX-Server-Seal: seal\r\nContent-Length: 3\r\n\r\n" body

enum { COPY_MS = 60, AFTER_COPY_MS = 3 * COPY_MS };

/* The copy of the answer to "a" arrives while "b" waits for its own answer. */
START_TEST(a_late_copy_is_no_answer_to_the_next_request)
{
	static const reply_t first[] = { { ANSWER("@", "aaa"), REPLY_KEEP },
					 { "", REPLY_MUTE } };
	static const reply_t second[] = { { ANSWER("@", "bbb"), REPLY_KEEP } };
	gateway_fixture_t fixture;

	gateway_fixture_init(&fixture);
	gateway_fixture_configure(&fixture);
	fixture.runners[0].replies = first;
	fixture.runners[0].trail =
		(trail_t){ STR_LIT(ANSWER("a", "aaa")), COPY_MS, 1 };
	fixture.runners[1].replies = second;
	gateway_send(&fixture, 0, REQUEST("/safe/", "a"));
	gateway_await(&fixture, 0, "aaa");
	fixture.wants = 0;
	gateway_send(&fixture, 1, REQUEST("/safe/", "b"));
	gateway_await_count(&fixture, &fixture.runners[0].n_requests, 2);
	ck_assert_int_eq(fixture.runners[0].n_connects, 1);
	gateway_await(&fixture, 1, "bbb");
	ck_assert_int_eq(gateway_count(&fixture, 1, "aaa"), 0);
	ck_assert_int_eq(gateway_count(&fixture, 0, "aaa"), 1);
	gateway_fixture_finish(&fixture);
}
END_TEST

START_TEST(a_copy_on_an_idle_connection_closes_it)
{
	static const reply_t twice[] = { { ANSWER("@", "aaa"), REPLY_KEEP },
					 { ANSWER("@", "bbb"), REPLY_KEEP } };
	gateway_fixture_t fixture;

	gateway_fixture_init(&fixture);
	gateway_fixture_configure(&fixture);
	fixture.runners[0].replies = twice;
	fixture.runners[0].trail =
		(trail_t){ STR_LIT(ANSWER("a", "aaa")), COPY_MS, 1 };
	gateway_send(&fixture, 0, REQUEST("/safe/", "a"));
	gateway_await(&fixture, 0, "aaa");
	gateway_run(&fixture, AFTER_COPY_MS);
	fixture.runners[0].trail.bytes.len = 0;
	fixture.wants = 0;
	gateway_send(&fixture, 0, REQUEST("/safe/", "b"));
	gateway_await(&fixture, 0, "bbb");
	ck_assert_int_eq(gateway_count(&fixture, 0, "aaa"), 1);
	ck_assert_int_eq(fixture.runners[0].n_connects, 2);
	gateway_fixture_finish(&fixture);
}
END_TEST

START_TEST(unsafe_requests_never_reuse_a_connection)
{
	static const reply_t both[] = { { ANSWER("@", "aaa"), REPLY_KEEP },
					{ ANSWER("@", "bbb"), REPLY_KEEP } };
	gateway_fixture_t fixture;

	gateway_fixture_init(&fixture);
	gateway_fixture_configure(&fixture);
	fixture.runners[0].replies = both;
	fixture.runners[0].trail =
		(trail_t){ STR_LIT(ANSWER("a", "aaa")), COPY_MS, 1 };
	gateway_send(&fixture, 0, REQUEST("/safe/", "a"));
	gateway_await(&fixture, 0, "aaa");
	fixture.wants = 0;
	gateway_send(&fixture, 1, REQUEST("/once/", "b"));
	gateway_await(&fixture, 1, "bbb");
	ck_assert_int_eq(fixture.runners[0].n_connects, 2);
	gateway_fixture_finish(&fixture);
}
END_TEST

SUITE_MAIN("late_copy", a_late_copy_is_no_answer_to_the_next_request,
	   a_copy_on_an_idle_connection_closes_it,
	   unsafe_requests_never_reuse_a_connection)
