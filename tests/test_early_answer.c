/*
 * Runners that answer a long upload at once and break the connection while most
 * of it is unsent. The part that they sent must not reach a caller as a whole
 * answer, whatever its framing and the kind of the request.
 */
#include <string.h>

#include "tests/lib_gateway.h"
#include "tests/lib_suite.h"

#define HEAD "HTTP/1.1 200 OK\r\nX-Attempt-Id: @\r\nX-Server-Seal: seal\r\n"
#define OLD_HEAD "HTTP/1.0 200 OK\r\nX-Attempt-Id: @\r\nX-Server-Seal: seal\r\n"
#define SSE "Content-Type: text/event-stream\r\n"
#define EVENT_1 "id: 1\ndata: one\n\n"
#define EVENT_2 "id: 2\ndata: two\n\n"
#define CHUNK_1 "11\r\n" EVENT_1 "\r\n"
#define CHUNK_2 "11\r\n" EVENT_2 "\r\n"
#define LAST_CHUNK "\r\n0\r\n\r\n"

enum {
	SHORT_UPLOAD = 300000, /* bytes; a socket may hold all of it */
	LONG_UPLOAD = 3000000, /* far more than sockets hold */
	ROUNDS = 5, /* which error is reported first differs */
};

static const int uploads[] = { SHORT_UPLOAD, LONG_UPLOAD };

/* Parts of a plain answer, each cut by its END. */
static const reply_t parts[] = {
	{ HEAD "\r\npart", REPLY_RESET },
	{ HEAD "Connection: close\r\n\r\npart", REPLY_RESET },
	{ OLD_HEAD "\r\npart", REPLY_RESET },
	{ HEAD "Content-Length: 9\r\n\r\npart", REPLY_RESET },
	{ HEAD "Content-Length: 9\r\n\r\npart", REPLY_CLOSE },
	{ OLD_HEAD "Content-Length: 9\r\n\r\npart", REPLY_CLOSE },
	{ HEAD "Connection: close\r\nContent-Length: 9\r\n\r\npart",
	  REPLY_CLOSE },
	{ HEAD "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", REPLY_RESET },
	{ HEAD "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", REPLY_CLOSE },
};

/* Parts of a stream, cut between two events. */
static const reply_t stream_parts[] = {
	{ HEAD SSE "\r\n" EVENT_1, REPLY_RESET },
	{ HEAD SSE "Connection: close\r\n\r\n" EVENT_1, REPLY_RESET },
	{ HEAD SSE "Content-Length: 34\r\n\r\n" EVENT_1, REPLY_RESET },
	{ HEAD SSE "Content-Length: 34\r\n\r\n" EVENT_1, REPLY_CLOSE },
	{ HEAD SSE "Transfer-Encoding: chunked\r\n\r\n" CHUNK_1, REPLY_RESET },
	{ HEAD SSE "Transfer-Encoding: chunked\r\n\r\n" CHUNK_1, REPLY_CLOSE },
};

static void begin(gateway_fixture_t *fixture, const reply_t *first,
		  const reply_t *second)
{
	gateway_fixture_init(fixture);
	fixture->max_body_bytes = LONG_UPLOAD;
	gateway_fixture_configure(fixture);
	fixture->runners[0].replies = first;
	fixture->runners[1].replies = second;
}

static void send_upload(gateway_fixture_t *fixture, const char *path, int bytes)
{
	g_autofree char *body = g_strnfill((gsize)bytes, 'x');
	g_autofree char *text = g_strdup_printf(
		"POST %s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\nX-Key: key"
		"\r\nX-Deadline-Ms: 5000\r\nContent-Length: %d\r\n\r\n%s",
		path, bytes, body);

	gateway_send(fixture, 0, text);
}

/* Plays each of PARTS as the first runner's answer to an upload to PATH. */
static void play_each(const reply_t *cuts, size_t n, const char *path,
		      const char *second,
		      void (*check)(gateway_fixture_t *fixture))
{
	for (size_t i = 0; i < n * G_N_ELEMENTS(uploads) * ROUNDS; i++) {
		const reply_t first[] = { cuts[i % n], {} };
		const reply_t other[] = { { second, REPLY_KEEP }, {} };
		gateway_fixture_t fixture;

		begin(&fixture, first, other);
		send_upload(&fixture, path, uploads[i / n / ROUNDS]);
		check(&fixture);
		gateway_fixture_finish(&fixture);
	}
}

static void check_refused(gateway_fixture_t *fixture)
{
	gateway_await(fixture, 0, "HTTP/1.1 502 ");
	ck_assert_int_eq(gateway_count(fixture, 0, "part"), 0);
	ck_assert_int_eq(gateway_count(fixture, 0, "HTTP/1.1 "), 1);
	ck_assert_int_eq(fixture->runners[1].n_requests, 0);
}

/* Guards against a part of an answer that a caller gets as the whole. */
START_TEST(a_part_of_an_early_answer_is_never_the_whole)
{
	play_each(parts, G_N_ELEMENTS(parts), "/once/", OK, check_refused);
}
END_TEST

static void check_repeated(gateway_fixture_t *fixture)
{
	gateway_await(fixture, 0, "\r\n\r\nok");
	ck_assert_int_eq(gateway_count(fixture, 0, "200 OK"), 1);
	ck_assert_int_eq(gateway_count(fixture, 0, "part"), 0);
	ck_assert_int_eq(fixture->runners[1].n_requests, 1);
}

/* Guards against the same where another runner may give the whole. */
START_TEST(a_part_of_an_early_answer_is_replaced_where_the_request_may_repeat)
{
	play_each(parts, G_N_ELEMENTS(parts), "/safe/", OK, check_repeated);
}
END_TEST

static void check_broken_off(gateway_fixture_t *fixture)
{
	gateway_await_close(fixture, 0);
	ck_assert_int_le(gateway_count(fixture, 0, "id: 1"), 1);
	ck_assert_int_eq(gateway_count(fixture, 0, LAST_CHUNK), 0);
	ck_assert_int_eq(fixture->runners[1].n_requests, 0);
}

/* Guards against a stream that is reset between two events and looks whole. */
START_TEST(an_early_stream_that_is_cut_between_events_is_not_whole)
{
	play_each(stream_parts, G_N_ELEMENTS(stream_parts), "/fixed/", OK,
		  check_broken_off);
}
END_TEST

static void check_resumed(gateway_fixture_t *fixture)
{
	gateway_await(fixture, 0, LAST_CHUNK);
	ck_assert_int_eq(gateway_count(fixture, 0, "HTTP/1.1 "), 1);
	ck_assert_int_eq(gateway_count(fixture, 0, "id: 1"), 1);
	ck_assert_int_eq(gateway_count(fixture, 0, "id: 2"), 1);
	ck_assert_ptr_nonnull(
		strstr(fixture->runners[1].heads->str, "Last-Event-Id: 1\r\n"));
}

/* Guards against the same where another runner may go on with the stream. */
START_TEST(an_early_stream_that_is_cut_between_events_goes_on_elsewhere)
{
	play_each(stream_parts, G_N_ELEMENTS(stream_parts), "/stream/",
		  HEAD SSE "Transfer-Encoding: chunked\r\n\r\n" CHUNK_2
			   "0\r\n\r\n",
		  check_resumed);
}
END_TEST

static void check_new_connection(gateway_fixture_t *fixture)
{
	gateway_await(fixture, 0, "\r\n\r\nok");
	fixture->wants = 0; /* the same runner again */
	gateway_send(fixture, 1, REQUEST("/safe/", "b"));
	gateway_await(fixture, 1, "X-Attempt-Id: b");
	ck_assert_int_eq(gateway_count(fixture, 1, "200 OK"), 1);
	ck_assert_int_eq(fixture->runners[0].n_connects, 2);
}

/*
 * Guards against a request that follows the unsent rest of an upload on a kept
 * connection, and so gets the answer to something else.
 */
START_TEST(after_an_early_answer_the_connection_is_not_used_again)
{
	for (int i = 0; i < ROUNDS; i++) {
		static const reply_t early[] = { { OK, REPLY_KEEP },
						 { OK, REPLY_KEEP },
						 {} };
		gateway_fixture_t fixture;

		begin(&fixture, early, early);
		fixture.settings.reuse_connections = true;
		send_upload(&fixture, "/once/", LONG_UPLOAD);
		check_new_connection(&fixture);
		gateway_fixture_finish(&fixture);
	}
}
END_TEST

SUITE_MAIN("early_answer", a_part_of_an_early_answer_is_never_the_whole,
	   a_part_of_an_early_answer_is_replaced_where_the_request_may_repeat,
	   an_early_stream_that_is_cut_between_events_is_not_whole,
	   an_early_stream_that_is_cut_between_events_goes_on_elsewhere,
	   after_an_early_answer_the_connection_is_not_used_again)
