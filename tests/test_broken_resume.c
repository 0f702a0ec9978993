/*
 * A stream has begun and breaks off, and the next runner doesn't take it up but
 * answers something else. Nothing of that may reach the caller, and its stream
 * must not end as if it were complete.
 */
#include "tests/lib_gateway.h"
#include "tests/lib_suite.h"

#define EVENT "c\r\nid: 1\ndata\n\n\r\n"
#define LAST_CHUNK "\r\n0\r\n\r\n"
#define ANSWER(status, rest) "HTTP/1.1 " status "\r\nX-Attempt-Id: @\r\n" rest
#define SEAL "X-Server-Seal: seal\r\n"
#define SSE "Content-Type: text/event-stream\r\n"
#define TEXT "Content-Length: 5\r\n\r\nwrong"
#define TEXT_IN_CHUNKS \
	"Transfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n"

enum { ANSWERS = 3 };

/* Answers that are no continuation of the stream. */
static const reply_t others[] = {
	{ ANSWER("500 Failed", SEAL TEXT), REPLY_KEEP },
	{ ANSWER("500 Failed", SEAL TEXT_IN_CHUNKS), REPLY_KEEP },
	{ ANSWER("500 Failed", SEAL SSE "\r\ndata: wrong\n\n"), REPLY_CLOSE },
	{ ANSWER("504 Late", TEXT), REPLY_KEEP },
	{ ANSWER("400 Bad", SEAL TEXT), REPLY_KEEP },
	{ ANSWER("404 None", TEXT), REPLY_KEEP },
	{ ANSWER("302 Found", "Location: /wrong\r\n" TEXT), REPLY_KEEP },
	{ ANSWER("503 Busy", "X-Not-Executed: 1\r\n" TEXT), REPLY_KEEP },
	{ ANSWER("421 Other", TEXT), REPLY_KEEP },
	{ ANSWER("200 OK", SEAL TEXT), REPLY_KEEP },
	{ ANSWER("200 OK", TEXT), REPLY_KEEP },
	{ ANSWER("200 OK", SEAL "\r\n"), REPLY_CLOSE },
	{ ANSWER("200 OK", SEAL SSE "\r\n"), REPLY_CLOSE },
	{ ANSWER("204 None", SEAL "\r\n"), REPLY_KEEP },
	{ ANSWER("200 OK", SEAL SSE "\r\n"), REPLY_RESET },
	{ "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n" SEAL TEXT, REPLY_KEEP },
	{ "wrong\r\n\r\n", REPLY_CLOSE },
	{ "", REPLY_CLOSE },
};

static void check(const reply_t *other, size_t number)
{
	static const reply_t breaks_off[] = { { STREAM_HEAD EVENT,
						REPLY_CLOSE },
					      { "", REPLY_CLOSE },
					      { "", REPLY_CLOSE },
					      {} };
	const reply_t answers[ANSWERS + 1] = { *other, *other, *other };
	gateway_fixture_t fixture;

	gateway_fixture_begin(&fixture, breaks_off, answers);
	gateway_send(&fixture, 0, REQUEST("/stream/", "a"));
	gateway_await_close(&fixture, 0);
	ck_assert_msg(fixture.runners[1].n_requests > 0, "answer %zu", number);
	ck_assert_int_eq(gateway_count(&fixture, 0, "id: 1"), 1);
	ck_assert_msg(!gateway_count(&fixture, 0, "wrong"),
		      "answer %zu: its text is in the stream", number);
	ck_assert_msg(gateway_count(&fixture, 0, "HTTP/1.1 ") == 1,
		      "answer %zu: its head is in the stream", number);
	ck_assert_msg(!gateway_count(&fixture, 0, LAST_CHUNK),
		      "answer %zu: the stream ends as complete", number);
	gateway_fixture_finish(&fixture);
}

/* Guards against an error's text in a stream, and against a false end. */
START_TEST(another_answer_is_not_part_of_the_stream)
{
	for (size_t i = 0; i < G_N_ELEMENTS(others); i++)
		check(&others[i], i);
}
END_TEST

/* Guards against breaking off what the next runner completes. */
START_TEST(a_stream_that_lacks_only_its_end_is_completed)
{
	static const reply_t breaks_off[] = { { STREAM_HEAD EVENT,
						REPLY_CLOSE } };
	static const reply_t ends[] = { { STREAM_HEAD "0\r\n\r\n",
					  REPLY_KEEP } };
	gateway_fixture_t fixture;

	gateway_fixture_begin(&fixture, breaks_off, ends);
	gateway_send(&fixture, 0, REQUEST("/stream/", "a"));
	gateway_await(&fixture, 0, LAST_CHUNK);
	gateway_fixture_finish(&fixture);
}
END_TEST

SUITE_MAIN("broken_resume", another_answer_is_not_part_of_the_stream,
	   a_stream_that_lacks_only_its_end_is_completed)
