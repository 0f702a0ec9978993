#include "tests/lib_gateway.h"
#include "tests/lib_suite.h"

#define FAILED                                                         \
	"HTTP/1.1 500 Error\r\nX-Attempt-Id: @\r\nX-Server-Seal: seal" \
	"\r\nContent-Length: 3\r\n\r\nbad"
#define FULL                                                          \
	"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0" \
	"\r\n\r\n"
#define OTHER_INSTANCE                                                  \
	"HTTP/1.1 421 Other\r\nX-Instance-Id: i-9\r\nContent-Length: 0" \
	"\r\n\r\n"
#define EVENT_1 "c\r\nid: 1\ndata\n\n\r\n"
#define EVENT_2 "c\r\nid: 2\ndata\n\n\r\n"

typedef struct exchange_case {
	const char *what;
	const char *request;
	reply_t first[2], second[2]; /* of the two runners */
	const char *answer; /* text that the caller must receive */
	int runs[FIXTURE_RUNNERS]; /* requests that reached each */
} exchange_case_t;

static void check_exchange(const exchange_case_t *c)
{
	gateway_fixture_t fixture;

	gateway_fixture_init(&fixture);
	gateway_fixture_configure(&fixture);
	fixture.runners[0].replies = c->first;
	fixture.runners[1].replies = c->second;
	gateway_send(&fixture, 0, c->request);
	gateway_await(&fixture, 0, c->answer);
	gateway_run(&fixture, 20);
	for (int i = 0; i < FIXTURE_RUNNERS; i++)
		ck_assert_msg(fixture.runners[i].n_requests == c->runs[i],
			      "%s: runner %d got %d requests", c->what, i,
			      fixture.runners[i].n_requests);
	ck_assert_msg(fixture.dones == c->runs[0] + c->runs[1],
		      "%s: %d grants were reported as done", c->what,
		      fixture.dones);
	gateway_fixture_finish(&fixture);
}

START_TEST(exchanges_with_runners_are_answered_correctly)
{
	static const exchange_case_t cases[] = {
		{ "once, complete",
		  REQUEST("/once/", "a"),
		  { { OK, REPLY_KEEP } },
		  {},
		  "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nX-Server-Seal: seal",
		  { 1, 0 } },
		{ "safe, closed unanswered",
		  REQUEST("/safe/", "a"),
		  { { "", REPLY_CLOSE } },
		  { { OK, REPLY_KEEP } },
		  "200 OK",
		  { 1, 1 } },
		{ "safe, reset in the answer",
		  REQUEST("/safe/", "a"),
		  { { "HTTP/1.1 200 OK\r\nX-Att", REPLY_RESET } },
		  { { OK, REPLY_KEEP } },
		  "200 OK",
		  { 1, 1 } },
		{ "once, closed unanswered",
		  REQUEST("/once/", "a"),
		  { { "", REPLY_CLOSE } },
		  {},
		  "502 ",
		  { 1, 0 } },
		{ "once, reset",
		  REQUEST("/once/", "a"),
		  { { "", REPLY_RESET } },
		  {},
		  "502 ",
		  { 1, 0 } },
		{ "once, cut in its body",
		  REQUEST("/once/", "a"),
		  { { "HTTP/1.1 200 OK\r\nX-Attempt-Id: @\r\n"
		      "X-Server-Seal: s\r\nContent-Length: 9\r\n\r\nok",
		      REPLY_CLOSE } },
		  {},
		  "502 ",
		  { 1, 0 } },
		{ "once, an answer that is not HTTP",
		  REQUEST("/once/", "a"),
		  { { "garbage\r\n\r\n", REPLY_KEEP } },
		  {},
		  "502 ",
		  { 1, 0 } },
		{ "once, another request's answer",
		  REQUEST("/once/", "a"),
		  { { "HTTP/1.1 200 OK\r\nX-Attempt-Id: b\r\n"
		      "X-Server-Seal: s\r\nContent-Length: 2\r\n\r\nno",
		      REPLY_KEEP } },
		  {},
		  "502 ",
		  { 1, 0 } },
		{ "once, a success without a seal",
		  REQUEST("/once/", "a"),
		  { { "HTTP/1.1 200 OK\r\nX-Attempt-Id: @\r\n"
		      "Content-Length: 2\r\n\r\nno",
		      REPLY_KEEP } },
		  {},
		  "502 ",
		  { 1, 0 } },
		{ "once, with a Content-Encoding",
		  REQUEST("/once/", "a"),
		  { { "HTTP/1.1 200 OK\r\nX-Attempt-Id: @\r\n"
		      "X-Server-Seal: s\r\nContent-Encoding: gzip\r\n"
		      "Content-Length: 2\r\n\r\nno",
		      REPLY_KEEP } },
		  {},
		  "502 ",
		  { 1, 0 } },
		{ "once, an interim answer first",
		  REQUEST("/once/", "a"),
		  { { "HTTP/1.1 103 Early\r\n\r\n" OK, REPLY_KEEP } },
		  {},
		  "200 OK",
		  { 1, 0 } },
		{ "once, no length",
		  REQUEST("/once/", "a"),
		  { { "HTTP/1.1 200 OK\r\nX-Attempt-Id: @\r\n"
		      "X-Server-Seal: s\r\nConnection: keep-alive\r\n\r\nall",
		      REPLY_CLOSE } },
		  {},
		  "Content-Length: 3\r\n\r\nall",
		  { 1, 0 } },
		{ "once, no length and reset",
		  REQUEST("/once/", "a"),
		  { { "HTTP/1.1 200 OK\r\nX-Attempt-Id: @\r\n"
		      "X-Server-Seal: s\r\n\r\nall",
		      REPLY_RESET } },
		  {},
		  "502 ",
		  { 1, 0 } },
		{ "once, a failure reported by the runner",
		  REQUEST("/once/", "a"),
		  { { FAILED, REPLY_KEEP } },
		  {},
		  "HTTP/1.1 500 Internal Server Error\r\nX-Attempt-Id: a\r\n"
		  "X-Server-Seal: seal",
		  { 1, 0 } },
		{ "safe, a failure reported by the runner",
		  REQUEST("/safe/", "a"),
		  { { FAILED, REPLY_KEEP } },
		  { { OK, REPLY_KEEP } },
		  "200 OK",
		  { 1, 1 } },
		{ "once, refused and run elsewhere",
		  REQUEST("/once/", "a"),
		  { { FULL, REPLY_KEEP } },
		  { { OK, REPLY_KEEP } },
		  "200 OK",
		  { 1, 1 } },
		{ "once, another runner has the address",
		  REQUEST("/once/", "a"),
		  { { OTHER_INSTANCE, REPLY_KEEP } },
		  { { OK, REPLY_KEEP } },
		  "200 OK",
		  { 1, 1 } },
		{ "fixed stream, cut before its first event",
		  REQUEST("/fixed/", "a"),
		  { { STREAM_HEAD, REPLY_CLOSE } },
		  {},
		  "200 OK",
		  { 1, 0 } },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		check_exchange(&cases[i]);
}
END_TEST

/* Checks what a caller gets of an answer with STATUS, which HTTP lacks. */
static void check_odd_status(const char *status)
{
	g_autofree char *odd = g_strdup_printf(
		"HTTP/1.1 %s Odd\r\nX-Attempt-Id: @\r\nX-Server-Seal: s\r\n"
		"Content-Length: 5\r\n\r\nwrong",
		status);
	g_autofree char *and_ok = g_strconcat(odd, OK, NULL);
	const reply_t alone[] = { { odd, REPLY_KEEP }, {} };
	const reply_t followed[] = { { and_ok, REPLY_KEEP }, {} };
	static const reply_t ok[] = { { OK, REPLY_KEEP }, {} };
	const struct {
		const char *request;
		const reply_t *first;
		const char *wanted;
	} cases[] = {
		{ REQUEST("/once/", "a"), alone, "HTTP/1.1 502 " },
		{ REQUEST("/once/", "a"), followed, "HTTP/1.1 502 " },
		{ REQUEST("/safe/", "a"), alone, "HTTP/1.1 200 OK" },
		{ REQUEST("/stream/", "a"), alone, "HTTP/1.1 200 OK" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		gateway_fixture_t fixture;

		gateway_fixture_begin(&fixture, cases[i].first, ok);
		gateway_send(&fixture, 0, cases[i].request);
		gateway_await(&fixture, 0, "HTTP/1.1 ");
		gateway_run(&fixture, 20);
		ck_assert_msg(gateway_count(&fixture, 0, cases[i].wanted) == 1,
			      "status %s, case %zu: %s", status, i,
			      fixture.callers[0].received->str);
		ck_assert_int_eq(gateway_count(&fixture, 0, "HTTP/1.1 "), 1);
		ck_assert_int_eq(gateway_count(&fixture, 0, "wrong"), 0);
		gateway_fixture_finish(&fixture);
	}
}

/*
 * Guards against: a caller gets an answer of a runner in trouble, whose status
 * is none.
 */
START_TEST(an_answer_whose_status_is_none_is_not_passed_on)
{
	static const char *const statuses[] = { "000", "0",   "20",   "099",
						"600", "999", "1000", "101" };

	for (size_t i = 0; i < G_N_ELEMENTS(statuses); i++)
		check_odd_status(statuses[i]);
}
END_TEST

START_TEST(a_refusal_is_given_only_where_nothing_ran)
{
	static const reply_t full[] = { { FULL, REPLY_KEEP },
					{ FULL, REPLY_KEEP },
					{ FULL, REPLY_KEEP } };
	static const reply_t lost[] = { { "", REPLY_CLOSE },
					{ "", REPLY_CLOSE } };
	gateway_fixture_t fixture;

	gateway_fixture_init(&fixture);
	gateway_fixture_configure(&fixture);
	fixture.runners[0].replies = full;
	fixture.runners[1].replies = full;
	gateway_send(&fixture, 0, REQUEST("/once/", "a"));
	gateway_await(&fixture, 0, "503 ");
	gateway_await(&fixture, 0, "Retry-After: ");
	gateway_fixture_finish(&fixture);
	gateway_fixture_init(&fixture);
	gateway_fixture_configure(&fixture);
	fixture.runners[0].replies = lost;
	fixture.runners[1].replies = full;
	gateway_send(&fixture, 1, REQUEST("/safe/", "b"));
	gateway_await(&fixture, 1, "502 ");
	ck_assert_int_eq(gateway_count(&fixture, 1, "Retry-After"), 0);
	gateway_fixture_finish(&fixture);
}
END_TEST

START_TEST(a_stream_resumes_after_the_last_event_forwarded)
{
	static const reply_t cut[] = { { STREAM_HEAD EVENT_1 "5\r\nid: 2",
					 REPLY_CLOSE } };
	static const reply_t rest[] = { { STREAM_HEAD EVENT_2 "0\r\n\r\n",
					  REPLY_KEEP } };
	gateway_fixture_t fixture;

	gateway_fixture_init(&fixture);
	gateway_fixture_configure(&fixture);
	fixture.runners[0].replies = cut;
	fixture.runners[1].replies = rest;
	gateway_send(&fixture, 0, REQUEST("/stream/", "a"));
	gateway_await(&fixture, 0, "0\r\n\r\n");
	ck_assert_int_eq(gateway_count(&fixture, 0, "HTTP/1.1"), 1);
	ck_assert_int_eq(gateway_count(&fixture, 0, "id: 1"), 1);
	ck_assert_int_eq(gateway_count(&fixture, 0, "id: 2"), 1);
	ck_assert_ptr_nonnull(
		strstr(fixture.runners[1].heads->str, "Last-Event-Id: 1\r\n"));
	gateway_fixture_finish(&fixture);
}
END_TEST

/*
 * The dispatcher of one group or of all zones is not named like the service,
 * and the report must give that name.
 */
START_TEST(a_first_event_is_reported_to_the_granting_dispatcher)
{
	static const reply_t whole[] = { { STREAM_HEAD EVENT_1 "0\r\n\r\n",
					   REPLY_KEEP } };
	gateway_fixture_t fixture;

	gateway_fixture_init(&fixture);
	gateway_fixture_configure(&fixture);
	fixture.runners[0].replies = whole;
	gateway_send(&fixture, 0, REQUEST("/stream/", "a"));
	gateway_await(&fixture, 0, "0\r\n\r\n");
	ck_assert_int_eq(fixture.first_tokens, 1);
	ck_assert_str_eq(fixture.last_first_token.capacity.service,
			 fixture.last_want.capacity.service);
	ck_assert_uint_eq(fixture.last_first_token.capacity.want.id.attempt,
			  fixture.last_want.capacity.want.id.attempt);
	gateway_fixture_finish(&fixture);
}
END_TEST

START_TEST(a_cut_stream_that_may_not_resume_gets_no_last_chunk)
{
	static const reply_t cut[] = { { STREAM_HEAD EVENT_1, REPLY_CLOSE } };
	gateway_fixture_t fixture;

	gateway_fixture_init(&fixture);
	gateway_fixture_configure(&fixture);
	fixture.runners[0].replies = cut;
	gateway_send(&fixture, 0, REQUEST("/fixed/", "a"));
	gateway_await_close(&fixture, 0);
	ck_assert_int_eq(gateway_count(&fixture, 0, "id: 1"), 1);
	ck_assert_int_eq(gateway_count(&fixture, 0, "\r\n0\r\n\r\n"), 0);
	ck_assert_int_eq(fixture.runners[1].n_requests, 0);
	gateway_fixture_finish(&fixture);
}
END_TEST

START_TEST(a_second_answer_is_discarded)
{
	static const reply_t twice[] = { { OK OK, REPLY_KEEP },
					 { OK, REPLY_KEEP } };
	gateway_fixture_t fixture;

	gateway_fixture_init(&fixture);
	gateway_fixture_configure(&fixture);
	fixture.runners[0].replies = twice;
	gateway_send(&fixture, 0, REQUEST("/safe/", "a"));
	gateway_await(&fixture, 0, "\r\n\r\nok");
	fixture.wants = 0;
	gateway_send(&fixture, 1, REQUEST("/safe/", "b"));
	gateway_await(&fixture, 1, "X-Attempt-Id: b\r\n");
	ck_assert_int_eq(gateway_count(&fixture, 0, "HTTP/1.1"), 1);
	ck_assert_int_eq(fixture.runners[0].n_connects, 2);
	gateway_fixture_finish(&fixture);
}
END_TEST

START_TEST(connections_are_reused_but_not_for_unsafe_requests)
{
	static const reply_t three[] = { { OK, REPLY_KEEP },
					 { OK, REPLY_KEEP },
					 { OK, REPLY_KEEP } };
	gateway_fixture_t fixture;

	gateway_fixture_init(&fixture);
	gateway_fixture_configure(&fixture);
	fixture.runners[0].replies = three;
	for (int i = 0; i < 3; i++) {
		fixture.wants = 0;
		gateway_send(&fixture, i,
			     i < 2 ? REQUEST("/safe/", "a") :
				     REQUEST("/once/", "a"));
		gateway_await(&fixture, i, "\r\n\r\nok");
	}
	ck_assert_int_eq(fixture.runners[0].n_connects, 2);
	gateway_fixture_finish(&fixture);
}
END_TEST

START_TEST(answers_that_the_daemon_generates)
{
	static const struct {
		const char *request, *answer;
		bool closes;
	} cases[] = {
		{ "GET /none/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\n"
		  "X-Key: key\r\n\r\n",
		  "404 ", false },
		{ "GET /safe/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\n"
		  "X-Key: no\r\n\r\n",
		  "401 ", false },
		{ "GET /safe/ HTTP/1.1\r\nX-Attempt-Id: a\r\n\r\n", "400 ",
		  false },
		{ "GET /safe/ HTTP/1.1\r\nHost : h\r\n\r\n", "400 ", true },
		{ "POST /safe/ HTTP/1.1\r\nHost: h\r\nX-Key: key\r\n"
		  "Content-Length: 4000\r\n\r\n",
		  "413 ", true },
		{ "POST /safe/ HTTP/1.1\r\nHost: h\r\nX-Key: key\r\n"
		  "Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
		  "400 ", true },
		{ "GET /safe/ HTTP/1.1\r\nHost: h\r\n", "408 ", true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		gateway_fixture_t fixture;

		gateway_fixture_init(&fixture);
		gateway_fixture_configure(&fixture);
		gateway_send(&fixture, 0, cases[i].request);
		gateway_await(&fixture, 0, cases[i].answer);
		if (cases[i].closes)
			gateway_await_close(&fixture, 0);
		ck_assert_int_eq(fixture.wants, 0);
		gateway_fixture_finish(&fixture);
	}
}
END_TEST

START_TEST(requests_before_a_configuration_get_503)
{
	gateway_fixture_t fixture;

	gateway_fixture_init(&fixture);
	gateway_send(&fixture, 0, REQUEST("/safe/", "a"));
	gateway_await(&fixture, 0, "503 ");
	gateway_await(&fixture, 0, "Retry-After: ");
	gateway_fixture_finish(&fixture);
}
END_TEST

START_TEST(refusals_by_dispatcher_and_limit_have_retry_after)
{
	gateway_fixture_t fixture;

	gateway_fixture_init(&fixture);
	gateway_fixture_configure(&fixture);
	fixture.refuses = true;
	gateway_send(&fixture, 0, REQUEST("/safe/", "a"));
	gateway_await(&fixture, 0, "503 ");
	gateway_await(&fixture, 0, "Retry-After: 1.500\r\n");
	fixture.limit_refuses = true;
	gateway_send(&fixture, 1,
		     "GET /safe/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\n"
		     "X-Key: low\r\n\r\n");
	gateway_await(&fixture, 1, "429 ");
	gateway_await(&fixture, 1, "Retry-After: 2.500\r\n");
	ck_assert_int_eq(fixture.limits, 1);
	gateway_fixture_finish(&fixture);
}
END_TEST

START_TEST(a_request_of_a_disconnected_caller_is_cancelled)
{
	static const reply_t mute[] = { { "", REPLY_MUTE } };
	gateway_fixture_t fixture;

	gateway_fixture_init(&fixture);
	gateway_fixture_configure(&fixture);
	fixture.runners[0].replies = mute;
	gateway_send(&fixture, 0, REQUEST("/safe/", "a"));
	gateway_await_count(&fixture, &fixture.runners[0].n_requests, 1);
	gateway_close_caller(&fixture, 0);
	gateway_await_count(&fixture, &fixture.runners[0].n_closed, 1);
	ck_assert_int_eq(fixture.dones, 1);
	ck_assert_int_eq(fixture.last_done, DONE_CANCELLED);
	fixture.is_mute = true;
	gateway_send(&fixture, 1, REQUEST("/safe/", "b"));
	gateway_await_count(&fixture, &fixture.wants, 2);
	gateway_close_caller(&fixture, 1);
	gateway_await_count(&fixture, &fixture.withdraws, 1);
	gateway_fixture_finish(&fixture);
}
END_TEST

START_TEST(a_routes_timeout_ends_a_request)
{
	static const reply_t mute[] = { { "", REPLY_MUTE } };
	gateway_fixture_t fixture;

	gateway_fixture_init(&fixture);
	gateway_fixture_configure(&fixture);
	fixture.runners[0].replies = mute;
	gateway_send(&fixture, 0, REQUEST("/once/", "a"));
	fixture.is_mute = false;
	gateway_await(&fixture, 0, "504 ");
	fixture.is_mute = true;
	gateway_send(&fixture, 1, REQUEST("/once/", "b"));
	gateway_await(&fixture, 1, "503 ");
	gateway_fixture_finish(&fixture);
}
END_TEST

START_TEST(a_drain_finishes_requests_and_closes_connections)
{
	static const reply_t slow[] = { { STREAM_HEAD EVENT_1 "0\r\n\r\n",
					  REPLY_KEEP } };
	gateway_fixture_t fixture;
	message_t drain = { .type = MESSAGE_DRAIN };

	gateway_fixture_init(&fixture);
	gateway_fixture_configure(&fixture);
	fixture.runners[0].replies = slow;
	gateway_send(&fixture, 0, "GET /sa");
	gateway_run(&fixture, 20);
	supervisor_post(&fixture.sup, TASK_FRONT, &drain);
	gateway_send(&fixture, 1, REQUEST("/stream/", "a"));
	gateway_await(&fixture, 1, "Connection: close\r\n");
	gateway_await(&fixture, 1, "0\r\n\r\n");
	gateway_await_close(&fixture, 1);
	gateway_fixture_finish(&fixture);
}
END_TEST

/*
 * The answer's head was sent before the drain and announced that the connection
 * stays open.
 */
START_TEST(a_stream_that_ends_in_a_drain_closes_its_connection)
{
	static const reply_t slow[] = { { STREAM_HEAD EVENT_1, REPLY_KEEP } };
	gateway_fixture_t fixture;
	message_t drain = { .type = MESSAGE_DRAIN };
	GHashTableIter iter;
	void *conn;

	gateway_fixture_init(&fixture);
	gateway_fixture_configure(&fixture);
	fixture.runners[0].replies = slow;
	gateway_send(&fixture, 0, REQUEST("/stream/", "a"));
	gateway_await(&fixture, 0, EVENT_1);
	supervisor_post(&fixture.sup, TASK_FRONT, &drain);
	gateway_run(&fixture, 20);
	g_hash_table_iter_init(&iter, fixture.runners[0].conns);
	while (g_hash_table_iter_next(&iter, &conn, NULL))
		bufferevent_write(conn, "0\r\n\r\n", 5);
	gateway_await(&fixture, 0, "0\r\n\r\n");
	gateway_run(&fixture, 20);
	ck_assert(fixture.callers[0].is_closed);
	gateway_fixture_finish(&fixture);
}
END_TEST

/* A request on a late connection could not be completed before the exit. */
START_TEST(a_drain_accepts_new_connections_only_for_a_while)
{
	static const reply_t whole[] = { { OK, REPLY_KEEP } };
	gateway_fixture_t fixture;
	message_t drain = { .type = MESSAGE_DRAIN };

	gateway_fixture_init(&fixture);
	gateway_fixture_configure(&fixture);
	fixture.runners[0].replies = whole;
	fixture.runners[1].replies = whole;
	supervisor_post(&fixture.sup, TASK_FRONT, &drain);
	gateway_run(&fixture, 2000);
	gateway_send(&fixture, 0, REQUEST("/safe/", "a"));
	gateway_await(&fixture, 0, "200 OK");
	gateway_run(&fixture, 1000);
	gateway_send(&fixture, 1, REQUEST("/safe/", "b"));
	gateway_await_close(&fixture, 1);
	ck_assert_uint_eq(fixture.callers[1].received->len, 0);
	gateway_fixture_finish(&fixture);
}
END_TEST

#define HEAD_REQUEST(path, id)                                   \
	"HEAD " path " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " id \
	"\r\nX-Key: key\r\nX-Deadline-Ms: 5000\r\n\r\n"

/* Guards against: the body of an own answer to HEAD stands before the next. */
START_TEST(own_answers_to_head_have_no_body)
{
	static const reply_t streams[] = {
		{ "HTTP/1.1 200 OK\r\nX-Attempt-Id: @\r\n"
		  "X-Server-Seal: seal\r\nContent-Type: text/event-stream\r\n"
		  "Transfer-Encoding: chunked\r\n\r\n",
		  REPLY_KEEP },
		{ OK, REPLY_KEEP },
		{}
	};
	static gateway_fixture_t fixture;

	gateway_fixture_begin(&fixture, streams, streams);
	gateway_send(&fixture, 0, HEAD_REQUEST("/nowhere/", "h1"));
	gateway_await(&fixture, 0, "404 Not Found");
	gateway_run(&fixture, 100);
	ck_assert_int_eq(gateway_count(&fixture, 0, "\r\n\r\n"), 1);
	ck_assert_int_eq(gateway_count(&fixture, 0, "{"), 0);
	gateway_send(&fixture, 0, HEAD_REQUEST("/stream/", "h2"));
	gateway_await(&fixture, 0, "200 OK");
	gateway_run(&fixture, 100);
	ck_assert_int_eq(gateway_count(&fixture, 0, "\r\n\r\n"), 2);
	ck_assert_int_eq(gateway_count(&fixture, 0, "\r\n0\r\n"), 0);
	gateway_fixture_finish(&fixture);
}
END_TEST

SUITE_MAIN("gateway", own_answers_to_head_have_no_body,
	   exchanges_with_runners_are_answered_correctly,
	   an_answer_whose_status_is_none_is_not_passed_on,
	   a_refusal_is_given_only_where_nothing_ran,
	   a_stream_resumes_after_the_last_event_forwarded,
	   a_first_event_is_reported_to_the_granting_dispatcher,
	   a_cut_stream_that_may_not_resume_gets_no_last_chunk,
	   a_second_answer_is_discarded,
	   connections_are_reused_but_not_for_unsafe_requests,
	   answers_that_the_daemon_generates,
	   requests_before_a_configuration_get_503,
	   refusals_by_dispatcher_and_limit_have_retry_after,
	   a_request_of_a_disconnected_caller_is_cancelled,
	   a_routes_timeout_ends_a_request,
	   a_drain_finishes_requests_and_closes_connections,
	   a_stream_that_ends_in_a_drain_closes_its_connection,
	   a_drain_accepts_new_connections_only_for_a_while)
