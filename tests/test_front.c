/* Tests the validation, limits, grants and answers of the front task. */
#include "tests/lib_front.h"
#include "tests/lib_suite.h"
#include "tests/lib_task_fixture.h"

START_TEST(malformed_requests_are_refused_without_dispatch)
{
	static const struct {
		enum evhttp_cmd_type method;
		const char *path, *headers, *body;
		int status;
		const char *field;
	} cases[] = {
		{ EVHTTP_REQ_GET, "/nowhere", "", "", 404, "path" },
		{ EVHTTP_REQ_GET, COMPLETIONS, "", "", 405, "method" },
		{ EVHTTP_REQ_POST, COMPLETIONS, "", "", 400, "body" },
		{ EVHTTP_REQ_POST, COMPLETIONS, "", "[]", 400, "body" },
		{ EVHTTP_REQ_POST, COMPLETIONS, "", "{\"prompt\":\"x\"}", 400,
		  "model" },
		{ EVHTTP_REQ_POST, COMPLETIONS, "",
		  "{\"model\":\"model\",\"prompt\":7}", 400, "prompt" },
		{ EVHTTP_REQ_POST, COMPLETIONS, "",
		  "{\"model\":\"model\",\"prompt\":\"x\",\"max_tokens\":0}",
		  400, "max_tokens" },
		{ EVHTTP_REQ_POST, COMPLETIONS, "",
		  "{\"model\":\"model\",\"prompt\":\"x\",\"stream\":1}", 400,
		  "stream" },
		{ EVHTTP_REQ_POST, COMPLETIONS, "",
		  "{\"model\":\"model\",\"model\":\"model\"}", 400, "body" },
		{ EVHTTP_REQ_POST, COMPLETIONS, "",
		  "{\"model\":\"none\",\"prompt\":\"x\"}", 404, "service" },
		{ EVHTTP_REQ_POST, COMPLETIONS, "",
		  "{\"model\":\"desk\",\"prompt\":\"x\"}", 400, "model" },
		{ EVHTTP_REQ_GET, "/v1/services/model/x", "", "", 400, "path" },
		{ EVHTTP_REQ_GET, "/v1/services/", "", "", 400, "path" },
		{ EVHTTP_REQ_POST, COMPLETIONS, "Papaya-Tier: gold", PROMPT,
		  400, "Papaya-Tier" },
		{ EVHTTP_REQ_POST, COMPLETIONS, "Papaya-Team: a/b", PROMPT, 400,
		  "Papaya-Team" },
		{ EVHTTP_REQ_POST, COMPLETIONS, "Papaya-Deadline-Ms: soon",
		  PROMPT, 400, "Papaya-Deadline-Ms" },
		{ EVHTTP_REQ_POST, COMPLETIONS, "Papaya-Deadline-Ms: 0", PROMPT,
		  400, "Papaya-Deadline-Ms" },
		{ EVHTTP_REQ_POST, COMPLETIONS, "Papaya-Team: agents", PROMPT,
		  401, "Authorization" },
		{ EVHTTP_REQ_POST, COMPLETIONS,
		  "Papaya-Team: agents\nAuthorization: Bearer wrong", PROMPT,
		  401, "Authorization" },
		{ EVHTTP_REQ_POST, COMPLETIONS, "Authorization: Basic x",
		  PROMPT, 401, "Authorization" },
		{ EVHTTP_REQ_POST, HOLDS, "", "x", 428, "Idempotency-Key" },
		{ EVHTTP_REQ_POST, HOLDS,
		  "Idempotency-Key: k\nPapaya-Ticket: t", "x", 400,
		  "Papaya-Ticket" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *field =
			g_strdup_printf("\"field\":\"%s\"", cases[i].field);
		front_fixture_t fixture;
		front_client_t *c;

		front_fixture_init(&fixture);
		c = front_request(&fixture, 0, cases[i].method, cases[i].path,
				  cases[i].headers, cases[i].body);
		ck_assert_msg(c->status == cases[i].status, "case %zu: %d %s",
			      i, c->status, c->body->str);
		ck_assert_msg(strstr(c->body->str, field) != NULL,
			      "case %zu: %s", i, c->body->str);
		ck_assert_int_eq(c->outcome, OUTCOME_NOT_RUN);
		ck_assert_int_eq(fixture.runner.requests, 0);
		ck_assert_int_eq(fixture.wants, 0);
		front_fixture_finish(&fixture);
	}
}
END_TEST

START_TEST(each_end_of_an_exchange_is_reported)
{
	static const struct {
		const char *body, *answer, *resume;
		fake_end_t end;
		int status;
		outcome_t outcome;
		const char *text;
		done_result_t done;
		int requests;
	} cases[] = {
		{ PROMPT, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		  NULL, FAKE_CLOSE, 200, OUTCOME_COMPLETED, "ok",
		  DONE_COMPLETED, 1 },
		{ PROMPT, "HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\nno",
		  NULL, FAKE_CLOSE, 500, OUTCOME_FAILED, "no", DONE_FAILED, 1 },
		{ PROMPT, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
		  NULL, FAKE_CLOSE, 502, OUTCOME_UNKNOWN, "unknown",
		  DONE_BROKEN, 1 },
		{ PROMPT, NULL, NULL, FAKE_CLOSE, 502, OUTCOME_UNKNOWN,
		  "unknown", DONE_BROKEN, 1 },
		{ PROMPT, "HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\nlong",
		  NULL, FAKE_CLOSE, 502, OUTCOME_FAILED, "too long",
		  DONE_CANCELLED, 1 },
		{ STREAM_PROMPT, SSE_HEAD "data: {\"a\":1}\n\ndata: [DONE]\n\n",
		  NULL, FAKE_CLOSE, 200, OUTCOME_NONE,
		  "data: {\"a\":1}\n\ndata: [DONE]\n\n", DONE_COMPLETED, 1 },
		{ STREAM_PROMPT, SSE_HEAD "data: {\"a\":1}\n\ndata: {\"b",
		  SSE_HEAD "data: {\"b\":2}\n\ndata: [DONE]\n\n", FAKE_CLOSE,
		  200, OUTCOME_NONE,
		  "data: {\"a\":1}\n\ndata: {\"b\":2}\n\ndata: [DONE]\n\n",
		  DONE_COMPLETED, 2 },
		{ STREAM_PROMPT, SSE_HEAD "data: {\"a\":1}\n\n",
		  "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n", FAKE_CLOSE,
		  200, OUTCOME_NONE, "\"outcome\":\"unknown\"", DONE_BROKEN,
		  0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		front_fixture_t fixture;
		front_client_t *c;

		front_fixture_init(&fixture);
		fixture.runner_answer = cases[i].answer;
		fixture.resume_answer = cases[i].resume;
		fixture.runner_end = cases[i].end;
		c = front_request(&fixture, 0, EVHTTP_REQ_POST, COMPLETIONS, "",
				  cases[i].body);
		ck_assert_msg(c->status == cases[i].status, "case %zu: %d %s",
			      i, c->status, c->body->str);
		ck_assert_msg(c->outcome == cases[i].outcome, "case %zu: %s", i,
			      outcome_name(c->outcome));
		ck_assert_msg(strstr(c->body->str, cases[i].text) != NULL,
			      "case %zu: %s", i, c->body->str);
		ck_assert_int_eq(c->err.code, ERR_NONE);
		event_base_loop(fixture.base, EVLOOP_NONBLOCK);
		ck_assert_int_eq(fixture.dones, 1);
		ck_assert_int_eq(fixture.last_done, cases[i].done);
		ck_assert_uint_eq(fixture.sum.offered, 1);
		if (cases[i].resume)
			ck_assert(g_str_has_suffix(fixture.resume_path,
						   "/stream?from=1"));
		if (cases[i].requests)
			ck_assert_int_eq(fixture.runner.requests,
					 cases[i].requests);
		front_fixture_finish(&fixture);
	}
}
END_TEST

/*
 * Guards against: a caller gets an answer of a runner in trouble, whose status
 * is none.
 */
START_TEST(an_answer_whose_status_is_none_is_not_passed_on)
{
	static const char *const answers[] = {
		"HTTP/1.1 000 Odd\r\nContent-Length: 5\r\n\r\nwrong",
		"HTTP/1.1 099 Odd\r\nContent-Length: 5\r\n\r\nwrong",
		"HTTP/1.1 101 Odd\r\nUpgrade: x\r\n\r\nwrong",
		"HTTP/1.1 600 Odd\r\nContent-Length: 5\r\n\r\nwrong",
		"HTTP/1.1 999 Odd\r\n\r\nwrong",
		"HTTP/1.1 1000 Odd\r\nContent-Length: 5\r\n\r\nwrong",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(answers) * 2; i++) {
		front_fixture_t fixture;
		front_client_t *c;

		front_fixture_init(&fixture);
		fixture.runner_answer = answers[i / 2];
		fixture.runner_end = FAKE_CLOSE;
		c = front_request(&fixture, 0, EVHTTP_REQ_POST, COMPLETIONS, "",
				  i % 2 ? STREAM_PROMPT : PROMPT);
		ck_assert_msg(c->status == 502, "%s: %d %s", answers[i / 2],
			      c->status, c->body->str);
		ck_assert_int_eq(c->outcome, OUTCOME_UNKNOWN);
		ck_assert_ptr_null(strstr(c->body->str, "wrong"));
		event_base_loop(fixture.base, EVLOOP_NONBLOCK);
		ck_assert_int_eq(fixture.last_done, DONE_BROKEN);
		ck_assert_int_eq(fixture.runner.requests, 1);
		front_fixture_finish(&fixture);
	}
}
END_TEST

START_TEST(a_complete_stream_gets_no_error_at_its_deadline)
{
	front_fixture_t fixture;
	front_client_t *c;

	front_fixture_init(&fixture);
	fixture.runner_answer = SSE_HEAD "data: {\"a\":1}\n\ndata: [DONE]\n\n";
	fixture.runner_end = FAKE_HOLD;
	c = front_request(&fixture, 0, EVHTTP_REQ_POST, COMPLETIONS,
			  "Papaya-Deadline-Ms: 300", STREAM_PROMPT);
	ck_assert_int_eq(c->status, 200);
	ck_assert_ptr_eq(strstr(c->body->str, "error"), NULL);
	event_base_loop(fixture.base, EVLOOP_NONBLOCK);
	ck_assert_int_eq(fixture.last_done, DONE_COMPLETED);
	front_fixture_finish(&fixture);
}
END_TEST

START_TEST(a_silent_stream_is_kept_alive)
{
	front_fixture_t fixture;
	front_client_t *c;

	front_fixture_init(&fixture);
	fixture.runner_answer = SSE_HEAD "data: {\"a\":1}\n\n";
	fixture.runner_end = FAKE_HOLD;
	c = front_send(&fixture, 0, EVHTTP_REQ_POST, COMPLETIONS, "",
		       STREAM_PROMPT);
	while (!strstr(c->body->str, ": keep-alive\n\n"))
		event_base_loop(fixture.base, EVLOOP_ONCE);
	ck_assert(!c->is_ended);
	front_fixture_finish(&fixture);
}
END_TEST

START_TEST(a_stream_to_a_stalled_caller_is_bounded_and_cancelled)
{
	enum { EVENT_BYTES = 64 * 1024, EVENTS = 256 };
	front_fixture_t fixture;
	front_client_t *c;
	g_autoptr(GString) answer = g_string_new(SSE_HEAD);
	g_autofree char *filler = g_strnfill(EVENT_BYTES, 'x');

	for (int i = 0; i < EVENTS; i++)
		g_string_append_printf(answer, "data: %s\n\n", filler);
	front_fixture_init(&fixture);
	fixture.runner_answer = answer->str;
	fixture.runner_end = FAKE_HOLD;
	c = front_send(&fixture, 0, EVHTTP_REQ_POST, COMPLETIONS, "",
		       STREAM_PROMPT);
	while (!c->body->len)
		event_base_loop(fixture.base, EVLOOP_ONCE);
	http_call_pause(&c->call, true);
	while (!fixture.dones)
		event_base_loop(fixture.base, EVLOOP_ONCE);
	ck_assert_int_eq(fixture.last_done, DONE_CANCELLED);
	ck_assert_uint_eq(fixture.sum.cancelled, 1);
	/*
	 * The front did not read the whole stream for a caller who reads
	 * nothing.
	 */
	ck_assert_uint_lt(fixture.last_output, EVENTS);
	front_fixture_finish(&fixture);
}
END_TEST

START_TEST(a_refused_want_is_answered_not_run_with_retry_after)
{
	front_fixture_t fixture;
	front_client_t *c;

	front_fixture_init(&fixture);
	fixture.refuses = true;
	fixture.refuse = REFUSE_DEADLINE;
	c = front_request(&fixture, 0, EVHTTP_REQ_POST, COMPLETIONS, "",
			  STREAM_PROMPT);
	ck_assert_int_eq(c->status, 503);
	ck_assert_int_eq(c->outcome, OUTCOME_NOT_RUN);
	ck_assert_str_eq(c->retry_after, "2");
	ck_assert_int_eq(fixture.runner.requests, 0);
	front_fixture_finish(&fixture);
}
END_TEST

START_TEST(a_refused_connection_is_not_counted_as_a_dispatch)
{
	front_fixture_t fixture;
	front_client_t *c;
	g_autofree char *closed = NULL;

	front_fixture_init(&fixture);
	closed = g_strdup_printf("127.0.0.1:%d", task_fixture_free_port());
	fixture.grant_address = closed;
	c = front_request(&fixture, 0, EVHTTP_REQ_POST, HOLDS,
			  "Idempotency-Key: k", "x");
	ck_assert_int_eq(c->outcome, OUTCOME_NOT_RUN);
	ck_assert_int_eq(fixture.last_done, DONE_UNREACHABLE);
	ck_assert_int_ge(fixture.wants, 2);
	/* The key can still be dispatched. */
	fixture.grant_address = NULL;
	c = front_request(&fixture, 0, EVHTTP_REQ_POST, HOLDS,
			  "Idempotency-Key: k", "x");
	ck_assert_int_eq(c->outcome, OUTCOME_COMPLETED);
	ck_assert_int_eq(fixture.runner.requests, 1);
	front_fixture_finish(&fixture);
}
END_TEST

START_TEST(a_queued_request_of_a_disconnected_caller_is_dropped)
{
	front_fixture_t fixture;

	front_fixture_init(&fixture);
	fixture.is_mute = true;
	front_send(&fixture, 0, EVHTTP_REQ_POST, COMPLETIONS, "", PROMPT);
	front_await_wants(&fixture, 1);
	http_call_finish(&fixture.clients[0].call);
	while (!fixture.withdraws)
		event_base_loop(fixture.base, EVLOOP_ONCE);
	event_base_loop(fixture.base, EVLOOP_NONBLOCK);
	ck_assert_uint_eq(fixture.sum.cancelled, 1);
	ck_assert_int_eq(fixture.runner.requests, 0);
	front_fixture_finish(&fixture);
}
END_TEST

START_TEST(late_and_foreign_answers_are_dropped_and_counted)
{
	front_fixture_t fixture;
	front_client_t *c;
	message_t foreign = { .type = MESSAGE_GRANT };

	front_fixture_init(&fixture);
	foreign.capacity.want.id = (want_id_t){ fixture.sup.boot_id, 77 };
	supervisor_post(&fixture.sup, TASK_FRONT, &foreign);
	foreign.capacity.want.id = (want_id_t){ fixture.sup.boot_id + 1, 1 };
	supervisor_post(&fixture.sup, TASK_FRONT, &foreign);
	c = front_request(&fixture, 0, EVHTTP_REQ_POST, COMPLETIONS, "",
			  PROMPT);
	ck_assert_int_eq(c->outcome, OUTCOME_COMPLETED);
	ck_assert_int_eq(fixture.runner.requests, 1);
	ck_assert_uint_eq(metrics_get(&fixture.sup.metrics,
				      "papaya_foreign_answers_total", NULL),
			  2);
	front_fixture_finish(&fixture);
}
END_TEST

START_TEST(draining_refuses_new_work_and_finishes_the_old)
{
	front_fixture_t fixture;
	front_client_t *c;

	front_fixture_init(&fixture);
	fixture.is_mute = true;
	c = front_send(&fixture, 0, EVHTTP_REQ_POST, COMPLETIONS, "", PROMPT);
	front_await_wants(&fixture, 1);
	supervisor_drain(&fixture.sup);
	fixture.is_mute = false;
	supervisor_post(&fixture.sup, TASK_FRONT,
			&(message_t){ .type = MESSAGE_VIEW_CHANGED });
	front_run_until(&fixture, &c->is_ended);
	ck_assert_int_eq(c->outcome, OUTCOME_COMPLETED);
	c = front_request(&fixture, 1, EVHTTP_REQ_POST, COMPLETIONS, "",
			  PROMPT);
	ck_assert_int_eq(c->err.code, ERR_REFUSED);
	front_fixture_finish(&fixture);
}
END_TEST

START_TEST(a_teams_concurrency_is_bounded)
{
	front_fixture_t fixture;
	front_client_t *c;

	front_fixture_init(&fixture);
	fixture.is_mute = true;
	front_send(&fixture, 0, EVHTTP_REQ_POST, COMPLETIONS,
		   "Papaya-Team: small", PROMPT);
	front_await_wants(&fixture, 1);
	c = front_request(&fixture, 1, EVHTTP_REQ_POST, COMPLETIONS,
			  "Papaya-Team: small", PROMPT);
	ck_assert_int_eq(c->status, 429);
	ck_assert_int_eq(c->outcome, OUTCOME_NOT_RUN);
	ck_assert_str_ne(c->retry_after, "");
	front_fixture_finish(&fixture);
}
END_TEST

START_TEST(a_silent_limiter_is_replaced_by_a_local_share)
{
	front_fixture_t fixture;
	front_client_t *c;

	front_fixture_init(&fixture);
	fixture.is_limiter_mute = true;
	fixture.is_mute = true;
	front_send(&fixture, 0, EVHTTP_REQ_POST, COMPLETIONS,
		   "Papaya-Team: small", PROMPT);
	front_await_wants(&fixture, 1);
	c = front_request(&fixture, 1, EVHTTP_REQ_POST, COMPLETIONS,
			  "Papaya-Team: small", PROMPT);
	ck_assert_int_eq(c->status, 429);
	front_fixture_finish(&fixture);
}
END_TEST

START_TEST(an_unused_grant_is_withdrawn)
{
	front_fixture_t fixture;
	front_client_t *c;
	message_t late = { .type = MESSAGE_GRANT };

	front_fixture_init(&fixture);
	late.capacity.want.id = (want_id_t){ fixture.sup.boot_id, 77 };
	g_strlcpy(late.capacity.peer, "d2", MEMBER_NAME_SIZE);
	supervisor_post(&fixture.sup, TASK_FRONT, &late);
	c = front_request(&fixture, 0, EVHTTP_REQ_POST, COMPLETIONS, "",
			  PROMPT);
	ck_assert_int_eq(c->outcome, OUTCOME_COMPLETED);
	ck_assert_int_eq(fixture.withdraws, 1);
	/* A grant from a dispatcher to which no want was sent. */
	fixture.is_mute = true;
	front_send(&fixture, 0, EVHTTP_REQ_POST, COMPLETIONS, "", PROMPT);
	front_await_wants(&fixture, 2);
	late.capacity.want.id.attempt = 2;
	g_strlcpy(late.capacity.runner.address, fixture.runner.address,
		  DISPATCHER_NAME_SIZE);
	supervisor_post(&fixture.sup, TASK_FRONT, &late);
	/* A grant for an attempt of another daemon with the same number. */
	late.capacity.peer[0] = '\0';
	late.capacity.want.id.owner++;
	supervisor_post(&fixture.sup, TASK_FRONT, &late);
	while (fixture.withdraws < 3)
		event_base_loop(fixture.base, EVLOOP_ONCE);
	ck_assert_int_eq(fixture.runner.requests, 1);
	front_fixture_finish(&fixture);
}
END_TEST

SUITE_MAIN("front", malformed_requests_are_refused_without_dispatch,
	   each_end_of_an_exchange_is_reported,
	   an_answer_whose_status_is_none_is_not_passed_on,
	   a_complete_stream_gets_no_error_at_its_deadline,
	   a_silent_stream_is_kept_alive,
	   a_stream_to_a_stalled_caller_is_bounded_and_cancelled,
	   a_refused_want_is_answered_not_run_with_retry_after,
	   a_refused_connection_is_not_counted_as_a_dispatch,
	   a_queued_request_of_a_disconnected_caller_is_dropped,
	   late_and_foreign_answers_are_dropped_and_counted,
	   draining_refuses_new_work_and_finishes_the_old,
	   a_teams_concurrency_is_bounded,
	   a_silent_limiter_is_replaced_by_a_local_share,
	   an_unused_grant_is_withdrawn)
