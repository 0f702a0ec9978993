/*
 * Few daemons before many runners open a connection for nearly each request,
 * unless they use those again that they have: also for requests that may run
 * only once, where a closed connection or another request's answer would lose
 * the request.
 */
#include "core/connected_owners.h"
#include "tests/lib_fixture.h"
#include "tests/lib_gateway.h"
#include "tests/lib_suite.h"

#define ANSWER(id, body)                       \
	"HTTP/1.1 200 OK\r\nX-Attempt-Id: " id \
	"\r\nX-Server-Seal: seal\r\nContent-Length: 3\r\n\r\n" body

enum {
	HALF_IDLE_MS = 1100, /* over half of the default idle timeout */
	OTHER_OWNER = OWNER + 1,
};

static void begin(gateway_fixture_t *f, const reply_t *replies)
{
	gateway_fixture_init(f);
	f->settings.reuse_connections = true;
	gateway_fixture_configure(f);
	f->runners[0].replies = replies;
	f->runners[1].replies = replies;
	gateway_send(f, 0, REQUEST("/safe/", "a"));
	gateway_await(f, 0, "aaa");
	f->wants = 0;
}

START_TEST(requests_that_may_run_once_use_a_connection_again)
{
	static const reply_t both[] = { { ANSWER("@", "aaa"), REPLY_KEEP },
					{ ANSWER("@", "bbb"), REPLY_KEEP } };
	gateway_fixture_t f;

	begin(&f, both);
	gateway_send(&f, 1, REQUEST("/once/", "b"));
	gateway_await(&f, 1, "bbb");
	ck_assert_int_eq(f.runners[0].n_connects, 1);
	gateway_fixture_finish(&f);
}
END_TEST

START_TEST(an_answer_to_an_earlier_request_is_skipped)
{
	static const reply_t late_copy[] = {
		{ ANSWER("@", "aaa"), REPLY_KEEP },
		{ ANSWER("a", "aaa") ANSWER("@", "bbb"), REPLY_KEEP },
	};
	gateway_fixture_t f;

	begin(&f, late_copy);
	gateway_send(&f, 1, REQUEST("/once/", "b"));
	gateway_await(&f, 1, "bbb");
	ck_assert_int_eq(gateway_count(&f, 1, "aaa"), 0);
	ck_assert_int_eq(f.runners[0].n_requests, 2);
	gateway_fixture_finish(&f);
}
END_TEST

/* How long a copy of an answer to HEAD is can't be told. */
START_TEST(after_a_head_request_no_answer_is_skipped)
{
	static const reply_t replies[] = {
		{ "HTTP/1.1 200 OK\r\nX-Attempt-Id: @\r\n"
		  "X-Server-Seal: seal\r\nContent-Length: 3\r\n\r\n",
		  REPLY_KEEP },
		{ ANSWER("a", "aaa") ANSWER("@", "bbb"), REPLY_KEEP },
	};
	gateway_fixture_t f;

	gateway_fixture_init(&f);
	f.settings.reuse_connections = true;
	gateway_fixture_configure(&f);
	f.runners[0].replies = replies;
	gateway_send(&f, 0,
		     "HEAD /safe/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\n"
		     "X-Key: key\r\nX-Deadline-Ms: 5000\r\n\r\n");
	gateway_await(&f, 0, "X-Server-Seal");
	f.wants = 0;
	gateway_send(&f, 1, REQUEST("/once/", "b"));
	gateway_await(&f, 1, "HTTP/1.1 502");
	ck_assert_int_eq(gateway_count(&f, 1, "aaa"), 0);
	gateway_fixture_finish(&f);
}
END_TEST

START_TEST(a_connection_that_may_be_closed_soon_is_not_used)
{
	static const reply_t both[] = { { ANSWER("@", "aaa"), REPLY_KEEP },
					{ ANSWER("@", "bbb"), REPLY_KEEP } };
	gateway_fixture_t f;

	begin(&f, both);
	gateway_run(&f, HALF_IDLE_MS);
	gateway_send(&f, 1, REQUEST("/once/", "b"));
	gateway_await_count(&f, &f.runners[0].n_requests, 2);
	ck_assert_int_eq(f.runners[0].n_connects, 2);
	gateway_fixture_finish(&f);
}
END_TEST

START_TEST(a_closed_connection_is_not_used)
{
	static const reply_t closing[] = { { ANSWER("@", "aaa"), REPLY_CLOSE },
					   { ANSWER("@", "bbb"), REPLY_KEEP } };
	gateway_fixture_t f;

	begin(&f, closing);
	gateway_send(&f, 1, REQUEST("/once/", "b"));
	gateway_await_count(&f, &f.runners[0].n_requests, 2);
	ck_assert_int_eq(f.runners[0].n_connects, 2);
	gateway_fixture_finish(&f);
}
END_TEST

START_TEST(connections_of_owners_are_known_for_their_time)
{
	connected_owners_t w = { .idle = NULL };

	ck_assert(!connected_owners_has(&w, OWNER, 0));
	connected_owners_add(&w, OWNER, SECOND, 0);
	connected_owners_add(&w, OWNER, 2 * SECOND, 0);
	ck_assert(connected_owners_has(&w, OWNER, SECOND));
	ck_assert(!connected_owners_has(&w, OTHER_OWNER, 0));
	connected_owners_take(&w, OWNER);
	ck_assert(connected_owners_has(&w, OWNER, SECOND - 1));
	ck_assert(!connected_owners_has(&w, OWNER, SECOND));
	connected_owners_take(&w, OWNER);
	connected_owners_take(&w, OWNER);
	ck_assert(!connected_owners_has(&w, OWNER, 0));
	for (int i = 0; i < 2 * CONNECTED_OWNERS_MAX; i++)
		connected_owners_add(&w, OTHER_OWNER, SECOND + i, 0);
	ck_assert_uint_eq(w.idle->len, CONNECTED_OWNERS_MAX);
	connected_owners_finish(&w);
}
END_TEST

/* Ends an attempt; its owner keeps the connection. */
static void end_connected(fixture_t *f, uint64_t owner, uint64_t attempt)
{
	done_t done = { .result = DONE_COMPLETED,
			.prompt_tokens = 100,
			.output_tokens = 10,
			.connection_ms = 1000 };

	dispatcher_done(&f->d, (want_id_t){ owner, attempt }, &done, f->now);
}

static want_t owned_want(fixture_t *f, uint64_t owner, uint64_t attempt)
{
	want_t want = fixture_make_want(f, attempt, 1, 100);

	want.id.owner = owner;
	want.output_tokens = 10;
	return want;
}

/* Leaves owner OWNER with a connection to "b", and OTHER_OWNER to "a". */
static void connect_owners(fixture_t *f)
{
	static const struct {
		uint64_t owner;
		const char *away;
	} cases[] = { { OWNER, "a" }, { OTHER_OWNER, "b" } };

	f->config.prefers_connected = true;
	f->config.engine_slots = 4;
	f->config.window_tokens = 10000;
	fixture_init(f, true);
	fixture_set_runner(f, "a", false);
	fixture_calibrate(f, 1, 100, 100 * MS, 10, 100 * MS);
	fixture_set_runner(f, "b", false);
	for (uint64_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		want_t want = owned_want(f, cases[i].owner, 10 + i);

		fixture_set_runner(f, cases[i].away, true);
		dispatcher_want(&f->d, &want, f->now);
		fixture_set_runner(f, cases[i].away, false);
		f->now += 100 * MS;
		dispatcher_first_token(&f->d, want.id, f->now);
		f->now += 100 * MS;
		end_connected(f, cases[i].owner, 10 + i);
	}
}

START_TEST(of_equal_runners_the_connected_one_is_granted)
{
	static fixture_t f;
	want_t want;

	f = (fixture_t){ .now = 0 };
	connect_owners(&f);
	want = owned_want(&f, OWNER, 20);
	dispatcher_want(&f.d, &want, f.now);
	ck_assert_str_eq(f.answers[20].runner, "b");
	dispatcher_withdraw(&f.d, want.id, f.now);
	want = owned_want(&f, OTHER_OWNER, 21);
	dispatcher_want(&f.d, &want, f.now);
	ck_assert_str_eq(f.answers[21].runner, "a");
	dispatcher_finish(&f.d);
}
END_TEST

START_TEST(a_connection_is_not_worth_a_wait)
{
	static fixture_t f;
	want_t busy, want;

	f = (fixture_t){ .now = 0 };
	connect_owners(&f);
	busy = owned_want(&f, OTHER_OWNER + 1, 19);
	g_strlcpy(busy.avoid, "a", sizeof(busy.avoid));
	dispatcher_want(&f.d, &busy, f.now);
	ck_assert_str_eq(f.answers[19].runner, "b");
	want = owned_want(&f, OWNER, 20);
	dispatcher_want(&f.d, &want, f.now);
	ck_assert_str_eq(f.answers[20].runner, "a");
	dispatcher_finish(&f.d);
}
END_TEST

SUITE_MAIN("connection_reuse",
	   requests_that_may_run_once_use_a_connection_again,
	   an_answer_to_an_earlier_request_is_skipped,
	   after_a_head_request_no_answer_is_skipped,
	   a_connection_that_may_be_closed_soon_is_not_used,
	   a_closed_connection_is_not_used,
	   connections_of_owners_are_known_for_their_time,
	   of_equal_runners_the_connected_one_is_granted,
	   a_connection_is_not_worth_a_wait)
