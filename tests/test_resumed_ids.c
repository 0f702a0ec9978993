/*
 * Where a stream goes on when another runner continues it: right after the last
 * event that the caller has, which may be one that it stated in its request.
 */
#include "tests/lib_gateway.h"
#include "tests/lib_suite.h"

#define TAKE_UP                                                      \
	"POST /stream/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: b\r\n"   \
	"X-Key: key\r\nX-Deadline-Ms: 5000\r\nLast-Event-Id: 12\r\n" \
	"Content-Length: 2\r\n\r\nhi"
#define CHUNK(size, event) size "\r\n" event "\r\n"
#define EVENT_12 CHUNK("10", "id: 12\ndata: x\n\n")
#define EVENT_13 CHUNK("10", "id: 13\ndata: x\n\n")
#define NO_ID CHUNK("d", "data: loose\n\n")
#define REMARK CHUNK("8", ": note\n\n")
#define TWO_IDS CHUNK("16", "id: 1\ndata: x\nid: 13\n\n")
#define LAST "0\r\n\r\n"

static const reply_t rest[] = { { STREAM_HEAD EVENT_13 LAST, REPLY_KEEP }, {} };

/* Begins with a service of one release, of which the stream is. */
static void begin(gateway_fixture_t *fixture, const reply_t *first,
		  const reply_t *second)
{
	gateway_fixture_begin(fixture, first, second);
	for (int i = 0; i < FIXTURE_RUNNERS; i++)
		fixture->runners[i].release = 1;
	gateway_set_only_release(fixture, 1);
}

/* Guards against a stream that begins again after a comment (review/5). */
START_TEST(a_comment_does_not_replace_the_callers_last_id)
{
	static const reply_t breaks_off[] = {
		{ STREAM_HEAD REMARK, REPLY_RESET }, {}
	};
	gateway_fixture_t fixture;

	begin(&fixture, breaks_off, rest);
	gateway_send(&fixture, 0, TAKE_UP);
	gateway_await(&fixture, 0, LAST);
	ck_assert(strstr(fixture.runners[1].heads->str,
			 "Last-Event-Id: 12\r\n") != NULL);
	gateway_fixture_finish(&fixture);
}
END_TEST

/* Guards against events that come twice from a runner that begins again. */
START_TEST(an_event_that_the_caller_has_is_not_sent_again)
{
	static const reply_t repeats[] = {
		{ STREAM_HEAD EVENT_12 EVENT_13 LAST, REPLY_KEEP }, {}
	};
	gateway_fixture_t fixture;

	begin(&fixture, repeats, rest);
	gateway_send(&fixture, 0, TAKE_UP);
	gateway_await(&fixture, 0, LAST);
	ck_assert_int_eq(gateway_count(&fixture, 0, "id: 12"), 0);
	ck_assert_int_eq(gateway_count(&fixture, 0, "id: 13"), 1);
	ck_assert_int_eq(fixture.runners[1].n_requests, 1);
	gateway_fixture_finish(&fixture);
}
END_TEST

/* Guards against an event without an id that comes twice. */
START_TEST(a_stream_is_not_resumed_after_an_event_without_id)
{
	static const reply_t breaks_off[] = {
		{ STREAM_HEAD EVENT_13 NO_ID REMARK, REPLY_RESET }, {}
	};
	gateway_fixture_t fixture;

	begin(&fixture, breaks_off, rest);
	gateway_send(&fixture, 0, TAKE_UP);
	gateway_await_close(&fixture, 0);
	ck_assert_int_eq(gateway_count(&fixture, 0, "loose"), 1);
	ck_assert_int_eq(gateway_count(&fixture, 0, LAST), 0);
	ck_assert_int_eq(fixture.runners[1].n_requests, 0);
	gateway_fixture_finish(&fixture);
}
END_TEST

/* Guards against an event that comes twice as its first id line is used. */
START_TEST(the_last_id_of_an_event_holds)
{
	static const reply_t breaks_off[] = {
		{ STREAM_HEAD TWO_IDS, REPLY_RESET }, {}
	};
	static const reply_t ends[] = { { STREAM_HEAD LAST, REPLY_KEEP }, {} };
	gateway_fixture_t fixture;

	begin(&fixture, breaks_off, ends);
	gateway_send(&fixture, 0, TAKE_UP);
	gateway_await(&fixture, 0, LAST);
	ck_assert(strstr(fixture.runners[1].heads->str,
			 "Last-Event-Id: 13\r\n") != NULL);
	gateway_fixture_finish(&fixture);
}
END_TEST

SUITE_MAIN("resumed_ids", a_comment_does_not_replace_the_callers_last_id,
	   an_event_that_the_caller_has_is_not_sent_again,
	   a_stream_is_not_resumed_after_an_event_without_id,
	   the_last_id_of_an_event_holds)
