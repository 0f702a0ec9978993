/*
 * A runner writes an earlier refusal once more on a connection that is in use
 * again. "Not run" must not be believed of a request that the runner has.
 */
#include "tests/lib_gateway.h"
#include "tests/lib_suite.h"

#define REFUSAL_HEAD "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n"
#define REFUSAL(id) \
	REFUSAL_HEAD "X-Attempt-Id: " id "\r\nContent-Length: 0\r\n\r\n"
#define REFUSAL_WITHOUT_ID REFUSAL_HEAD "Content-Length: 0\r\n\r\n"

enum { COPY_MS = 60 };

static const reply_t refusals[FIXTURE_REPLIES] = {
	{ REFUSAL("@"), REPLY_KEEP }, { REFUSAL("@"), REPLY_KEEP },
	{ REFUSAL("@"), REPLY_KEEP }, { REFUSAL("@"), REPLY_KEEP },
	{ REFUSAL("@"), REPLY_KEEP }, { REFUSAL("@"), REPLY_KEEP },
};

static bool is_told_not_run(const gateway_fixture_t *fixture, int i)
{
	return gateway_count(fixture, i, "HTTP/1.1 503 ") ||
	       gateway_count(fixture, i, "HTTP/1.1 429 ");
}

/*
 * The request that was refused is sent to the same runner again, which runs it
 * when the copy arrives. The copy has the request's id.
 */
START_TEST(a_copy_of_its_own_refusal_is_not_believed)
{
	static const reply_t then_runs[] = { { REFUSAL("@"), REPLY_KEEP },
					     { "", REPLY_MUTE },
					     { "", REPLY_MUTE },
					     {} };
	gateway_fixture_t fixture;

	gateway_fixture_begin(&fixture, then_runs, refusals);
	fixture.runners[0].trails_first_only = true;
	fixture.runners[0].trail =
		(trail_t){ STR_LIT(REFUSAL("a")), COPY_MS, 1 };
	gateway_send(&fixture, 0, REQUEST("/safe/", "a"));
	gateway_await_count(&fixture, &fixture.runners[0].n_requests, 2);
	gateway_await(&fixture, 0, "HTTP/1.1 ");
	ck_assert(!is_told_not_run(&fixture, 0));
	gateway_fixture_finish(&fixture);
}
END_TEST

/* The copy is of another request's refusal, and doesn't say whose. */
START_TEST(a_copy_without_an_id_is_not_believed)
{
	static const reply_t then_runs[] = { { REFUSAL_WITHOUT_ID, REPLY_KEEP },
					     { "", REPLY_MUTE },
					     { REFUSAL("@"), REPLY_KEEP },
					     { REFUSAL("@"), REPLY_KEEP },
					     {} };
	static const reply_t serves[] = { { OK, REPLY_KEEP } };
	gateway_fixture_t fixture;

	gateway_fixture_begin(&fixture, then_runs, serves);
	fixture.runners[0].trails_first_only = true;
	fixture.runners[0].trail =
		(trail_t){ STR_LIT(REFUSAL_WITHOUT_ID), COPY_MS, 1 };
	gateway_send(&fixture, 0, REQUEST("/safe/", "a"));
	gateway_await(&fixture, 0, "ok");
	fixture.runners[1].replies = refusals;
	fixture.runners[1].n_requests = 0;
	fixture.wants = 0;
	gateway_send(&fixture, 1, REQUEST("/safe/", "b"));
	gateway_await_count(&fixture, &fixture.runners[0].n_requests, 2);
	gateway_await(&fixture, 1, "HTTP/1.1 ");
	ck_assert(!is_told_not_run(&fixture, 1));
	gateway_fixture_finish(&fixture);
}
END_TEST

/* Runners don't always repeat the id: on a new connection it is the answer. */
START_TEST(a_refusal_without_an_id_is_believed_on_a_new_connection)
{
	static const reply_t refuses[FIXTURE_REPLIES] = {
		{ REFUSAL_WITHOUT_ID, REPLY_KEEP },
		{ REFUSAL_WITHOUT_ID, REPLY_KEEP },
		{ REFUSAL_WITHOUT_ID, REPLY_KEEP },
		{ REFUSAL_WITHOUT_ID, REPLY_KEEP },
	};
	gateway_fixture_t fixture;

	gateway_fixture_begin(&fixture, refuses, refuses);
	gateway_send(&fixture, 0, REQUEST("/once/", "a"));
	gateway_await(&fixture, 0, "HTTP/1.1 503 ");
	gateway_fixture_finish(&fixture);
}
END_TEST

/*
 * Guards against requests to a runner that asked for a pause: the answer says
 * so of the runner, whichever request it is for.
 */
START_TEST(a_pause_in_an_answer_without_an_id_is_kept)
{
	static const reply_t then_pauses[] = {
		{ OK, REPLY_KEEP },
		{ REFUSAL_HEAD "Retry-After: 2\r\nContent-Length: 0\r\n\r\n",
		  REPLY_KEEP },
		{},
	};
	gateway_fixture_t fixture;

	gateway_fixture_begin(&fixture, then_pauses, refusals);
	gateway_send(&fixture, 0, REQUEST("/safe/", "a"));
	gateway_await(&fixture, 0, "ok");
	fixture.wants = 0;
	gateway_send(&fixture, 1, REQUEST("/safe/", "b"));
	gateway_await(&fixture, 1, "HTTP/1.1 ");
	ck_assert_int_eq(fixture.runners[0].n_connects, 1);
	ck_assert_uint_eq(fixture.first_pause_ms, 2000);
	/* Later grants of that runner are declined with what is left. */
	ck_assert_uint_gt(fixture.last_pause_ms, 0);
	ck_assert_uint_le(fixture.last_pause_ms, 2000);
	gateway_fixture_finish(&fixture);
}
END_TEST

SUITE_MAIN("late_refusal", a_copy_of_its_own_refusal_is_not_believed,
	   a_copy_without_an_id_is_not_believed,
	   a_refusal_without_an_id_is_believed_on_a_new_connection,
	   a_pause_in_an_answer_without_an_id_is_kept)
