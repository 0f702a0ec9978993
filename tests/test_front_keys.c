/*
 * Idempotency keys and tickets: each is dispatched at most once, and only a
 * daemon that knows that a request did not run may answer not-run.
 */
#include "tests/lib_front.h"
#include "tests/lib_suite.h"
#include "tests/lib_task_fixture.h"

START_TEST(a_key_runs_once_and_repeats_get_its_answer)
{
	front_fixture_t fixture;
	front_client_t *a, *b;

	front_fixture_init(&fixture);
	a = front_send(&fixture, 0, EVHTTP_REQ_POST, HOLDS,
		       "Idempotency-Key: k", "x");
	b = front_send(&fixture, 1, EVHTTP_REQ_POST, HOLDS,
		       "Idempotency-Key: k", "x");
	front_run_until(&fixture, &a->is_ended);
	front_run_until(&fixture, &b->is_ended);
	ck_assert_int_eq(a->outcome, OUTCOME_COMPLETED);
	ck_assert_str_eq(b->body->str, "ok");
	a = front_request(&fixture, 2, EVHTTP_REQ_POST, HOLDS,
			  "Idempotency-Key: k", "x");
	ck_assert_int_eq(a->outcome, OUTCOME_COMPLETED);
	ck_assert_str_eq(a->body->str, "ok");
	a = front_request(&fixture, 2, EVHTTP_REQ_POST, HOLDS,
			  "Idempotency-Key: k", "y");
	ck_assert_int_eq(a->status, 422);
	ck_assert_int_eq(fixture.runner.requests, 1);
	a = front_request(&fixture, 2, EVHTTP_REQ_POST, HOLDS,
			  "Idempotency-Key: k\nPapaya-Team: other", "x");
	ck_assert_int_eq(a->outcome, OUTCOME_COMPLETED);
	ck_assert_int_eq(fixture.runner.requests, 2);
	front_fixture_finish(&fixture);
}
END_TEST

START_TEST(a_key_with_an_unknown_outcome_is_never_sent_again)
{
	front_fixture_t fixture;
	front_client_t *c;

	front_fixture_init(&fixture);
	fixture.runner_answer = NULL;
	for (int i = 0; i < 3; i++) {
		c = front_request(&fixture, 0, EVHTTP_REQ_POST, HOLDS,
				  "Idempotency-Key: k", "x");
		ck_assert_int_eq(c->outcome, OUTCOME_UNKNOWN);
	}
	ck_assert_int_eq(fixture.runner.requests, 1);
	front_fixture_finish(&fixture);
}
END_TEST

START_TEST(keys_that_cannot_be_looked_up_are_answered_unknown)
{
	static const struct {
		member_owner_kind_t kind;
		const char *headers;
	} cases[] = {
		{ MEMBER_OWNER_HOLDOFF, "Idempotency-Key: k" },
		{ MEMBER_OWNER_NONE, "Idempotency-Key: k" },
		{ MEMBER_OWNER_PEER, "Idempotency-Key: k" },
		{ MEMBER_OWNER_PEER, "Idempotency-Key: k\nPapaya-Hops: 1" },
		{ MEMBER_OWNER_NONE, "Papaya-Ticket: d9:1:2" },
		{ MEMBER_OWNER_SELF, "Papaya-Ticket: d1:1:2" },
		{ MEMBER_OWNER_SELF, "Papaya-Ticket: nonsense" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		front_fixture_t fixture;
		front_client_t *c;

		front_fixture_init(&fixture);
		fixture.owner.kind = cases[i].kind;
		g_snprintf(fixture.owner.vm.address,
			   sizeof(fixture.owner.vm.address), "127.0.0.1:%d",
			   task_fixture_free_port());
		c = front_request(&fixture, 0, EVHTTP_REQ_POST, HOLDS,
				  cases[i].headers, "x");
		ck_assert_msg(c->outcome == OUTCOME_UNKNOWN, "case %zu: %s", i,
			      c->body->str);
		ck_assert_int_eq(fixture.runner.requests, 0);
		front_fixture_finish(&fixture);
	}
}
END_TEST

START_TEST(a_key_is_forwarded_at_most_twice)
{
	static const struct {
		const char *headers;
		outcome_t outcome;
		int requests;
	} cases[] = {
		{ "Idempotency-Key: k", OUTCOME_COMPLETED, 1 },
		{ "Idempotency-Key: k\nPapaya-Hops: 1", OUTCOME_COMPLETED, 1 },
		{ "Idempotency-Key: k\nPapaya-Hops: 2", OUTCOME_UNKNOWN, 0 },
		{ "Idempotency-Key: k\nPapaya-Hops: x", OUTCOME_COMPLETED, 1 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		front_fixture_t fixture;
		front_client_t *c;

		front_fixture_init(&fixture);
		fixture.owner.kind = MEMBER_OWNER_PEER;
		fixture.runner_answer =
			"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
			"Papaya-Outcome: completed\r\n\r\nok";
		g_strlcpy(fixture.owner.vm.address, fixture.runner.address,
			  sizeof(fixture.owner.vm.address));
		c = front_request(&fixture, 0, EVHTTP_REQ_POST, HOLDS,
				  cases[i].headers, "x");
		ck_assert_msg(c->outcome == cases[i].outcome, "case %zu: %s", i,
			      c->body->str);
		ck_assert_int_eq(fixture.runner.requests, cases[i].requests);
		ck_assert(fixture.is_last_hop == (i == 1 || i == 3));
		front_fixture_finish(&fixture);
	}
}
END_TEST

START_TEST(a_ticket_runs_once_for_its_team)
{
	front_fixture_t fixture;
	front_client_t *c;
	g_autofree char *header = NULL;
	g_autofree char *foreign = NULL;
	char *end;

	front_fixture_init(&fixture);
	c = front_request(&fixture, 0, EVHTTP_REQ_POST, "/v1/tickets", "", "");
	ck_assert_int_eq(c->status, 200);
	c->body->str[c->body->len - 2] = '\0';
	end = c->body->str + strlen("{\"ticket\":\"");
	header = g_strconcat("Papaya-Ticket: ", end, NULL);
	foreign = g_strconcat(header, "\nPapaya-Team: other", NULL);
	c = front_request(&fixture, 1, EVHTTP_REQ_POST, HOLDS, foreign, "x");
	ck_assert_int_eq(c->outcome, OUTCOME_UNKNOWN);
	ck_assert_int_eq(fixture.runner.requests, 0);
	for (int i = 0; i < 2; i++) {
		c = front_request(&fixture, 1, EVHTTP_REQ_POST, HOLDS, header,
				  "x");
		ck_assert_int_eq(c->outcome, OUTCOME_COMPLETED);
	}
	ck_assert_int_eq(fixture.runner.requests, 1);
	front_fixture_finish(&fixture);
}
END_TEST

START_TEST(a_key_that_waited_through_a_stall_is_not_sent)
{
	front_fixture_t fixture;
	front_client_t *c;

	front_fixture_init(&fixture);
	fixture.is_mute = true;
	c = front_send(&fixture, 0, EVHTTP_REQ_POST, HOLDS,
		       "Idempotency-Key: k", "x");
	front_await_wants(&fixture, 1);
	supervisor_count_stall(&fixture.sup);
	fixture.is_mute = false;
	supervisor_post(&fixture.sup, TASK_FRONT,
			&(message_t){ .type = MESSAGE_VIEW_CHANGED });
	front_run_until(&fixture, &c->is_ended);
	ck_assert_int_eq(c->outcome, OUTCOME_UNKNOWN);
	ck_assert_int_eq(fixture.runner.requests, 0);
	front_fixture_finish(&fixture);
}
END_TEST

START_TEST(a_keys_owner_applies_the_limit_and_repeats_join)
{
	front_fixture_t fixture;
	front_client_t *a, *b, *c;

	front_fixture_init(&fixture);
	fixture.is_mute = true;
	a = front_send(&fixture, 0, EVHTTP_REQ_POST, HOLDS,
		       "Papaya-Team: small\nIdempotency-Key: one", "x");
	front_await_wants(&fixture, 1);
	b = front_request(&fixture, 1, EVHTTP_REQ_POST, HOLDS,
			  "Papaya-Team: small\nIdempotency-Key: two", "x");
	ck_assert_int_eq(b->status, 429);
	ck_assert_int_eq(b->outcome, OUTCOME_NOT_RUN);
	c = front_send(&fixture, 2, EVHTTP_REQ_POST, HOLDS,
		       "Papaya-Team: small\nIdempotency-Key: one", "x");
	fixture.is_mute = false;
	supervisor_post(&fixture.sup, TASK_FRONT,
			&(message_t){ .type = MESSAGE_VIEW_CHANGED });
	front_run_until(&fixture, &a->is_ended);
	front_run_until(&fixture, &c->is_ended);
	ck_assert_int_eq(a->outcome, OUTCOME_COMPLETED);
	ck_assert_int_eq(c->outcome, OUTCOME_COMPLETED);
	b = front_request(&fixture, 1, EVHTTP_REQ_POST, HOLDS,
			  "Papaya-Team: small\nIdempotency-Key: two", "x");
	ck_assert_int_eq(b->outcome, OUTCOME_COMPLETED);
	ck_assert_int_eq(fixture.runner.requests, 2);
	front_fixture_finish(&fixture);
}
END_TEST

START_TEST(a_daemon_without_a_configuration_never_answers_not_run)
{
	front_fixture_t fixture;
	front_client_t *c;
	config_view_t *empty;
	message_t m = { .type = MESSAGE_CONFIG };

	front_fixture_init(&fixture);
	empty = config_view_new();
	m.config = empty;
	supervisor_post(&fixture.sup, TASK_FRONT, &m);
	event_base_loop(fixture.base, EVLOOP_NONBLOCK);
	c = front_request(&fixture, 0, EVHTTP_REQ_POST, HOLDS,
			  "Idempotency-Key: k", "x");
	ck_assert_int_eq(c->status, 404);
	ck_assert_int_eq(c->outcome, OUTCOME_UNKNOWN);
	front_fixture_finish(&fixture);
}
END_TEST

START_TEST(a_call_whose_owner_was_not_found_in_time_is_unknown)
{
	front_fixture_t fixture;
	front_client_t *c;

	front_fixture_init(&fixture);
	fixture.is_locate_mute = true;
	c = front_request(&fixture, 0, EVHTTP_REQ_POST, HOLDS,
			  "Idempotency-Key: k\nPapaya-Deadline-Ms: 100", "x");
	ck_assert_int_eq(c->outcome, OUTCOME_UNKNOWN);
	front_fixture_finish(&fixture);
}
END_TEST

START_TEST(a_claim_that_arrives_late_is_released)
{
	front_fixture_t fixture;
	front_client_t *c;
	message_t late = { .type = MESSAGE_LOCATED };

	front_fixture_init(&fixture);
	fixture.is_locate_mute = true;
	c = front_request(&fixture, 0, EVHTTP_REQ_POST, HOLDS,
			  "Idempotency-Key: k\nPapaya-Deadline-Ms: 100", "x");
	ck_assert_int_eq(c->status, 503);
	late.locate = fixture.last_locate;
	front_answer_locate(&fixture, &late.locate);
	for (int i = 0; i < 5; i++)
		event_base_loop(fixture.base, EVLOOP_ONCE);
	ck_assert_uint_eq(g_hash_table_size(fixture.keys.entries), 0);
	fixture.is_locate_mute = false;
	c = front_request(&fixture, 0, EVHTTP_REQ_POST, HOLDS,
			  "Idempotency-Key: k", "x");
	ck_assert_int_eq(c->outcome, OUTCOME_COMPLETED);
	g_bytes_unref(fixture.last_locate.scoped);
	front_fixture_finish(&fixture);
}
END_TEST

START_TEST(a_keyed_call_read_just_after_a_stall_is_not_dispatched)
{
	front_fixture_t fixture;
	front_client_t *c;

	front_fixture_init(&fixture);
	supervisor_count_stall(&fixture.sup);
	c = front_request(&fixture, 0, EVHTTP_REQ_POST, HOLDS,
			  "Idempotency-Key: k", "x");
	ck_assert_int_eq(c->outcome, OUTCOME_UNKNOWN);
	ck_assert_int_eq(fixture.wants, 0);
	c = front_request(&fixture, 0, EVHTTP_REQ_POST, COMPLETIONS, "",
			  PROMPT);
	ck_assert_int_eq(c->outcome, OUTCOME_COMPLETED);
	front_fixture_finish(&fixture);
}
END_TEST

START_TEST(a_call_that_waited_through_a_stall_is_not_forwarded)
{
	front_fixture_t fixture;
	front_client_t *c;

	front_fixture_init(&fixture);
	fixture.is_locate_mute = true;
	fixture.owner.kind = MEMBER_OWNER_PEER;
	g_strlcpy(fixture.owner.vm.address, fixture.runner.address,
		  sizeof(fixture.owner.vm.address));
	c = front_send(&fixture, 0, EVHTTP_REQ_POST, HOLDS,
		       "Idempotency-Key: k", "x");
	while (!fixture.last_locate.attempt)
		event_base_loop(fixture.base, EVLOOP_ONCE);
	supervisor_count_stall(&fixture.sup);
	front_answer_locate(&fixture, &fixture.last_locate);
	front_run_until(&fixture, &c->is_ended);
	ck_assert_int_eq(c->outcome, OUTCOME_UNKNOWN);
	ck_assert_int_eq(fixture.runner.requests, 0);
	g_bytes_unref(fixture.last_locate.scoped);
	front_fixture_finish(&fixture);
}
END_TEST

SUITE_MAIN("front_keys", a_key_runs_once_and_repeats_get_its_answer,
	   a_key_with_an_unknown_outcome_is_never_sent_again,
	   keys_that_cannot_be_looked_up_are_answered_unknown,
	   a_key_is_forwarded_at_most_twice, a_ticket_runs_once_for_its_team,
	   a_key_that_waited_through_a_stall_is_not_sent,
	   a_keys_owner_applies_the_limit_and_repeats_join,
	   a_daemon_without_a_configuration_never_answers_not_run,
	   a_call_whose_owner_was_not_found_in_time_is_unknown,
	   a_claim_that_arrives_late_is_released,
	   a_keyed_call_read_just_after_a_stall_is_not_dispatched,
	   a_call_that_waited_through_a_stall_is_not_forwarded)
