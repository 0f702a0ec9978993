/*
 * Streams of the own interface: every caller gets each event once and in order,
 * and sees whether the stream is whole, whatever way it took.
 */
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "tests/lib_front.h"
#include "tests/lib_suite.h"
#include "tests/lib_task_fixture.h"
#include "tests/lib_tcp.h"

#define KEY "Idempotency-Key: k"
#define FIRST "data: {\"n\":1}\n\n"
#define SECOND "data: {\"n\":2}\n\n"
#define THIRD "data: {\"n\":3}\n\n"
#define DONE "data: [DONE]\n\n"

enum {
	LIMIT_US = 5 * G_USEC_PER_SEC,
	JOIN_US = 200 * 1000, /* for a repeat to join */
	LONG_EVENT_BYTES = 5000, /* more than the fixture keeps of an answer */
};

/* A runner, or the owner of a key, whose answer the test sends by parts. */
typedef struct peer {
	int listener, fd;
	char address[32];
} peer_t;

static void peer_init(peer_t *p)
{
	int port = task_fixture_free_port();

	p->listener = tcp_listen_on("127.0.0.1", port);
	p->fd = -1;
	ck_assert_int_ge(p->listener, 0);
	fcntl(p->listener, F_SETFL, O_NONBLOCK);
	g_snprintf(p->address, sizeof(p->address), "127.0.0.1:%d", port);
}

static void peer_finish(peer_t *p)
{
	close(p->listener);
	if (p->fd >= 0)
		close(p->fd);
}

static void run_once(front_fixture_t *fixture)
{
	event_base_loop(fixture->base, EVLOOP_NONBLOCK);
	g_usleep(500);
}

/* Waits for a request and reads it. */
static void peer_accept(peer_t *p, front_fixture_t *fixture)
{
	int64_t end = g_get_monotonic_time() + LIMIT_US;
	char buf[4096];
	ssize_t n = -1;

	while (p->fd < 0 && g_get_monotonic_time() < end) {
		run_once(fixture);
		p->fd = accept(p->listener, NULL, NULL);
	}
	ck_assert_int_ge(p->fd, 0);
	while (n <= 0 && g_get_monotonic_time() < end) {
		run_once(fixture);
		n = recv(p->fd, buf, sizeof(buf), MSG_DONTWAIT);
	}
	ck_assert_int_gt(n, 0);
}

static void peer_send(peer_t *p, const char *text)
{
	ck_assert(tcp_send_all(p->fd, text, strlen(text)));
}

static void peer_close(peer_t *p)
{
	close(p->fd);
	p->fd = -1;
}

static void peer_reset(peer_t *p)
{
	tcp_reset(p->fd);
	p->fd = -1;
}

static front_client_t *send_stream(front_fixture_t *fixture, int i,
				   const char *headers)
{
	return front_send(fixture, i, EVHTTP_REQ_POST, COMPLETIONS, headers,
			  STREAM_PROMPT);
}

static void await_text(front_fixture_t *fixture, const front_client_t *c,
		       const char *text)
{
	int64_t end = g_get_monotonic_time() + LIMIT_US;

	while (!strstr(c->body->str, text) && g_get_monotonic_time() < end)
		run_once(fixture);
	ck_assert_msg(strstr(c->body->str, text) != NULL, "%s", c->body->str);
}

/* Lets what was sent arrive; ends sooner if C is answered. */
static void run_for(front_fixture_t *fixture, const front_client_t *c)
{
	int64_t end = g_get_monotonic_time() + JOIN_US;

	while (!c->is_ended && g_get_monotonic_time() < end)
		run_once(fixture);
}

static void begin(front_fixture_t *fixture, peer_t *runner)
{
	front_fixture_init(fixture);
	peer_init(runner);
	fixture->grant_address = runner->address;
}

static void finish(front_fixture_t *fixture, peer_t *runner)
{
	front_fixture_finish(fixture);
	peer_finish(runner);
}

/* Guards against a repeat that gets a running stream without its beginning. */
START_TEST(a_repeat_gets_a_running_stream_from_its_first_event)
{
	front_fixture_t fixture;
	front_client_t *a, *b, *c;
	peer_t runner;

	begin(&fixture, &runner);
	a = send_stream(&fixture, 0, KEY);
	peer_accept(&runner, &fixture);
	peer_send(&runner, SSE_HEAD FIRST SECOND);
	await_text(&fixture, a, SECOND);
	b = send_stream(&fixture, 1, KEY);
	await_text(&fixture, b, SECOND);
	peer_send(&runner, THIRD DONE);
	peer_close(&runner);
	front_run_until(&fixture, &a->is_ended);
	front_run_until(&fixture, &b->is_ended);
	c = front_request(&fixture, 2, EVHTTP_REQ_POST, COMPLETIONS, KEY,
			  STREAM_PROMPT);
	ck_assert_str_eq(a->body->str, FIRST SECOND THIRD DONE);
	ck_assert_str_eq(b->body->str, FIRST SECOND THIRD DONE);
	ck_assert_str_eq(c->body->str, FIRST SECOND THIRD DONE);
	ck_assert_int_eq(fixture.wants, 1);
	finish(&fixture, &runner);
}
END_TEST

/* Guards against a repeat that lacks an event too long to be kept. */
START_TEST(a_repeat_does_not_join_after_a_first_event_that_is_not_kept)
{
	g_autofree char *filler = g_strnfill(LONG_EVENT_BYTES, 'x');
	g_autofree char *event = g_strdup_printf("data: %s\n\n", filler);
	front_fixture_t fixture;
	front_client_t *a, *b;
	peer_t runner;

	begin(&fixture, &runner);
	a = send_stream(&fixture, 0, KEY);
	peer_accept(&runner, &fixture);
	peer_send(&runner, SSE_HEAD);
	peer_send(&runner, event);
	await_text(&fixture, a, event);
	b = send_stream(&fixture, 1, KEY);
	run_for(&fixture, b);
	peer_send(&runner, SECOND DONE);
	peer_close(&runner);
	front_run_until(&fixture, &a->is_ended);
	front_run_until(&fixture, &b->is_ended);
	ck_assert(g_str_has_suffix(a->body->str, SECOND DONE));
	ck_assert_msg(b->status == 409, "%d %s", b->status, b->body->str);
	ck_assert_int_eq(b->outcome, OUTCOME_UNKNOWN);
	finish(&fixture, &runner);
}
END_TEST

/* Guards against another answer's text in a stream, and against a false end. */
START_TEST(an_answer_that_does_not_resume_is_not_part_of_the_stream)
{
	static const char *const answers[] = {
		"HTTP/1.1 404 No\r\nContent-Type: text/event-stream\r\n\r\n"
		"data: other\n\n" DONE,
		"HTTP/1.1 503 No\r\nContent-Type: application/json\r\n\r\n"
		"{\"other\":1}\n\n" DONE,
		"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"
		"data: other\n\n" DONE,
	};

	for (size_t i = 0; i < G_N_ELEMENTS(answers); i++) {
		front_fixture_t fixture;
		front_client_t *c;

		front_fixture_init(&fixture);
		fixture.runner_answer = SSE_HEAD FIRST;
		fixture.resume_answer = answers[i];
		c = front_request(&fixture, 0, EVHTTP_REQ_POST, COMPLETIONS, "",
				  STREAM_PROMPT);
		ck_assert_msg(g_str_has_prefix(c->body->str, FIRST) &&
				      !strstr(c->body->str, "other") &&
				      !strstr(c->body->str, DONE),
			      "answer %zu: %s", i, c->body->str);
		ck_assert_ptr_nonnull(
			strstr(c->body->str, "\"outcome\":\"unknown\""));
		front_fixture_finish(&fixture);
	}
}
END_TEST

/* Guards against an event of a broken connection that comes twice, or never. */
START_TEST(a_stream_resumes_on_its_runner_after_the_last_whole_event)
{
	static const char *const heads[] = {
		SSE_HEAD FIRST ": note\n\n" SECOND,
		SSE_HEAD FIRST ": note\n\n" SECOND "data: {\"n\":3",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(heads) * 2; i++) {
		front_fixture_t fixture;
		front_client_t *a, *b;
		peer_t runner;

		begin(&fixture, &runner);
		a = send_stream(&fixture, 0, KEY);
		peer_accept(&runner, &fixture);
		peer_send(&runner, heads[i / 2]);
		await_text(&fixture, a, SECOND);
		if (i % 2)
			peer_close(&runner);
		else
			peer_reset(&runner);
		peer_accept(&runner, &fixture);
		b = send_stream(&fixture, 1, KEY);
		await_text(&fixture, b, SECOND);
		peer_send(&runner, SSE_HEAD THIRD DONE);
		peer_close(&runner);
		front_run_until(&fixture, &a->is_ended);
		front_run_until(&fixture, &b->is_ended);
		ck_assert_str_eq(a->body->str,
				 FIRST ": note\n\n" SECOND THIRD DONE);
		ck_assert_str_eq(b->body->str, a->body->str);
		finish(&fixture, &runner);
	}
}
END_TEST

static void begin_forward(front_fixture_t *fixture, peer_t *owner)
{
	begin(fixture, owner);
	fixture->owner.kind = MEMBER_OWNER_PEER;
	g_strlcpy(fixture->owner.vm.address, owner->address,
		  sizeof(fixture->owner.vm.address));
}

/* Whether a stream states that it is whole, or that it was cut. */
static bool states_its_end(const front_client_t *c)
{
	return g_str_has_suffix(c->body->str, DONE) ||
	       strstr(c->body->str, "\"outcome\":") != NULL;
}

/* Guards against a cut stream that ends as if it were whole. */
START_TEST(a_forwarded_stream_that_is_cut_says_so)
{
	static const char *const parts[] = {
		SSE_HEAD FIRST,
		SSE_HEAD FIRST "data: {\"n\"",
		SSE_HEAD FIRST "data: [DONE]\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(parts) * 2; i++) {
		front_fixture_t fixture;
		front_client_t *c;
		peer_t owner;

		begin_forward(&fixture, &owner);
		c = send_stream(&fixture, 0, KEY);
		peer_accept(&owner, &fixture);
		peer_send(&owner, parts[i / 2]);
		await_text(&fixture, c, FIRST);
		if (i % 2)
			peer_close(&owner);
		else
			peer_reset(&owner);
		front_run_until(&fixture, &c->is_ended);
		ck_assert_msg(states_its_end(c) &&
				      !strstr(c->body->str, "[DONE]"),
			      "part %zu: %s", i, c->body->str);
		finish(&fixture, &owner);
	}
}
END_TEST

/* Guards against a cut stream that looks whole as its text names an error. */
START_TEST(a_forwarded_stream_whose_text_names_an_error_is_cut_nevertheless)
{
	static const char *const events[] = {
		"data: {\"text\":\"error\"}\n\n",
		"data: {\"n\":1,\"error\":null}\n\n",
		"data: {\"error\":{\"message\":\"m\"}}\n\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(events); i++) {
		front_fixture_t fixture;
		front_client_t *c;
		peer_t owner;

		begin_forward(&fixture, &owner);
		c = send_stream(&fixture, 0, KEY);
		peer_accept(&owner, &fixture);
		peer_send(&owner, SSE_HEAD);
		peer_send(&owner, events[i]);
		await_text(&fixture, c, events[i]);
		peer_close(&owner);
		front_run_until(&fixture, &c->is_ended);
		ck_assert_msg(states_its_end(c), "event %zu: %s", i,
			      c->body->str);
		finish(&fixture, &owner);
	}
}
END_TEST

/* Guards against a second error behind the one that the key's owner sent. */
START_TEST(a_forwarded_stream_that_its_owner_ends_with_an_error_has_one)
{
	static const char error[] =
		"data: {\"error\":{\"message\":\"m\",\"outcome\":\"unknown\"}}"
		"\n\n";
	front_fixture_t fixture;
	front_client_t *c;
	peer_t owner;

	begin_forward(&fixture, &owner);
	c = send_stream(&fixture, 0, KEY);
	peer_accept(&owner, &fixture);
	peer_send(&owner, SSE_HEAD FIRST);
	peer_send(&owner, error);
	peer_close(&owner);
	front_run_until(&fixture, &c->is_ended);
	ck_assert(g_str_has_prefix(c->body->str, FIRST));
	ck_assert_str_eq(c->body->str + strlen(FIRST), error);
	finish(&fixture, &owner);
}
END_TEST

/* Guards against a kept answer of a cut stream that looks whole. */
START_TEST(a_repeat_of_a_cut_stream_gets_its_error)
{
	front_fixture_t fixture;
	front_client_t *a, *b;

	front_fixture_init(&fixture);
	fixture.runner_answer = SSE_HEAD FIRST;
	fixture.resume_answer = NULL;
	a = front_request(&fixture, 0, EVHTTP_REQ_POST, COMPLETIONS, KEY,
			  STREAM_PROMPT);
	ck_assert_ptr_nonnull(strstr(a->body->str, "\"outcome\":\"unknown\""));
	b = front_request(&fixture, 1, EVHTTP_REQ_POST, COMPLETIONS, KEY,
			  STREAM_PROMPT);
	ck_assert_int_eq(b->status, 502);
	ck_assert_int_eq(b->outcome, OUTCOME_UNKNOWN);
	ck_assert_ptr_null(strstr(b->body->str, FIRST));
	front_fixture_finish(&fixture);
}
END_TEST

/* Guards against bytes behind an answer that come as a part of it. */
START_TEST(a_second_answer_is_no_part_of_the_first)
{
	static const char second[] =
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother";
	static const struct {
		const char *body, *first, *wanted;
	} cases[] = {
		{ PROMPT, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		  "ok" },
		{ PROMPT,
		  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		  "2\r\nok\r\n0\r\n\r\n",
		  "ok" },
		{ STREAM_PROMPT,
		  "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
		  "Transfer-Encoding: chunked\r\n\r\n"
		  "e\r\n" DONE "\r\n0\r\n\r\n",
		  DONE },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *both =
			g_strconcat(cases[i].first, second, NULL);
		front_fixture_t fixture;
		front_client_t *c;

		front_fixture_init(&fixture);
		fixture.runner_answer = both;
		c = front_request(&fixture, 0, EVHTTP_REQ_POST, COMPLETIONS, "",
				  cases[i].body);
		ck_assert_int_eq(c->status, 200);
		ck_assert_str_eq(c->body->str, cases[i].wanted);
		front_fixture_finish(&fixture);
	}
}
END_TEST

/* Guards against a repeat with a ticket that lacks a part, or gets it twice. */
START_TEST(a_ticket_is_good_for_one_stream_that_repeats_join)
{
	front_fixture_t fixture;
	front_client_t *a, *b, *c;
	g_autofree char *header = NULL;
	g_auto(GStrv) words = NULL;
	peer_t runner;

	begin(&fixture, &runner);
	a = front_request(&fixture, 0, EVHTTP_REQ_POST, "/v1/tickets", "", "");
	words = g_strsplit(a->body->str, "\"", -1);
	ck_assert_uint_ge(g_strv_length(words), 4);
	header = g_strconcat("Papaya-Ticket: ", words[3], NULL);
	a = send_stream(&fixture, 0, header);
	peer_accept(&runner, &fixture);
	peer_send(&runner, SSE_HEAD FIRST);
	await_text(&fixture, a, FIRST);
	b = send_stream(&fixture, 1, header);
	await_text(&fixture, b, FIRST);
	peer_send(&runner, SECOND DONE);
	peer_close(&runner);
	front_run_until(&fixture, &a->is_ended);
	front_run_until(&fixture, &b->is_ended);
	c = front_request(&fixture, 2, EVHTTP_REQ_POST, COMPLETIONS, header,
			  STREAM_PROMPT);
	ck_assert_str_eq(a->body->str, FIRST SECOND DONE);
	ck_assert_str_eq(b->body->str, FIRST SECOND DONE);
	ck_assert_str_eq(c->body->str, FIRST SECOND DONE);
	ck_assert_int_eq(fixture.wants, 1);
	finish(&fixture, &runner);
}
END_TEST

/* Guards against a part of a long stream that is kept as the whole. */
START_TEST(a_stream_too_long_to_be_kept_is_not_repeated_in_part)
{
	g_autofree char *filler = g_strnfill(LONG_EVENT_BYTES, 'x');
	g_autofree char *event = g_strdup_printf("data: %s\n\n", filler);
	front_fixture_t fixture;
	front_client_t *a, *b, *c;
	peer_t runner;

	begin(&fixture, &runner);
	a = send_stream(&fixture, 0, KEY);
	peer_accept(&runner, &fixture);
	peer_send(&runner, SSE_HEAD FIRST);
	peer_send(&runner, event);
	await_text(&fixture, a, event);
	b = front_request(&fixture, 1, EVHTTP_REQ_POST, COMPLETIONS, KEY,
			  STREAM_PROMPT);
	peer_send(&runner, SECOND DONE);
	peer_close(&runner);
	front_run_until(&fixture, &a->is_ended);
	c = front_request(&fixture, 2, EVHTTP_REQ_POST, COMPLETIONS, KEY,
			  STREAM_PROMPT);
	ck_assert(g_str_has_suffix(a->body->str, SECOND DONE));
	ck_assert_int_eq(b->status, 409);
	ck_assert_int_eq(c->status, 410);
	ck_assert_ptr_null(strstr(b->body->str, FIRST));
	ck_assert_ptr_null(strstr(c->body->str, FIRST));
	finish(&fixture, &runner);
}
END_TEST

SUITE_MAIN("ordered_streams",
	   a_repeat_gets_a_running_stream_from_its_first_event,
	   a_repeat_does_not_join_after_a_first_event_that_is_not_kept,
	   an_answer_that_does_not_resume_is_not_part_of_the_stream,
	   a_stream_resumes_on_its_runner_after_the_last_whole_event,
	   a_forwarded_stream_that_is_cut_says_so,
	   a_forwarded_stream_whose_text_names_an_error_is_cut_nevertheless,
	   a_forwarded_stream_that_its_owner_ends_with_an_error_has_one,
	   a_repeat_of_a_cut_stream_gets_its_error,
	   a_second_answer_is_no_part_of_the_first,
	   a_ticket_is_good_for_one_stream_that_repeats_join,
	   a_stream_too_long_to_be_kept_is_not_repeated_in_part)
