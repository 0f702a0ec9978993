/*
 * Two releases of a service's runners are in service. What they write doesn't
 * fit together, so a stream that broke off goes on only on a runner of the
 * release that began it: within its answer, and when its caller takes it up.
 */
#include "tests/lib_gateway.h"
#include "tests/lib_suite.h"

#define EVENT "c\r\nid: 1\ndata\n\n\r\n"
#define REST "c\r\nid: 2\ndata\n\n\r\n0\r\n\r\n"
#define REST_AFTER_60 "d\r\nid: 61\ndata\n\n\r\n0\r\n\r\n"
#define TAKE_UP(id, resumes)                                          \
	"POST /stream/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " id      \
	"\r\nX-Key: key\r\nX-Deadline-Ms: 1500\r\nLast-Event-Id: 1\r" \
	"\nResumes: " resumes "\r\nContent-Length: 2\r\n\r\nhi"

enum { OLD_RELEASE = 1, NEW_RELEASE };

static const reply_t breaks_off[FIXTURE_REPLIES] = {
	{ STREAM_HEAD EVENT, REPLY_CLOSE },
	{ STREAM_HEAD EVENT, REPLY_CLOSE },
};
static const reply_t resumes[FIXTURE_REPLIES] = {
	{ STREAM_HEAD REST, REPLY_KEEP },
	{ STREAM_HEAD REST, REPLY_KEEP },
	{ STREAM_HEAD REST, REPLY_KEEP },
};
/* To a caller that has 60 events: runners go on after those. */
static const reply_t resumes_after_60[FIXTURE_REPLIES] = {
	{ STREAM_HEAD REST_AFTER_60, REPLY_KEEP },
};

/* The first runner is of the old release, the second of the new one. */
static void begin(gateway_fixture_t *fixture, const reply_t *old_replies,
		  const reply_t *new_replies)
{
	gateway_fixture_begin(fixture, old_replies, new_replies);
	fixture->runners[0].release = OLD_RELEASE;
	fixture->runners[1].release = NEW_RELEASE;
}

/* Guards against an answer with events of two releases. */
START_TEST(a_broken_stream_resumes_on_its_release_only)
{
	static const reply_t once[FIXTURE_REPLIES] = {
		{ STREAM_HEAD EVENT, REPLY_CLOSE },
		{ STREAM_HEAD REST, REPLY_KEEP },
	};
	gateway_fixture_t fixture;

	begin(&fixture, once, resumes);
	gateway_send(&fixture, 0, REQUEST("/stream/", "a"));
	gateway_await(&fixture, 0, "id: 2");
	ck_assert_int_eq(fixture.runners[1].n_requests, 0);
	ck_assert_uint_eq(fixture.last_want.capacity.want.release, OLD_RELEASE);
	gateway_fixture_finish(&fixture);
}
END_TEST

/* Guards against events of two releases over a caller's attempts. */
START_TEST(a_take_up_goes_to_the_release_that_began_the_stream)
{
	gateway_fixture_t fixture;

	begin(&fixture, breaks_off, resumes);
	gateway_send(&fixture, 0, REQUEST("/stream/", "a"));
	gateway_await_close(&fixture, 0);
	gateway_close_caller(&fixture, 0);
	fixture.runners[0].replies = resumes;
	fixture.runners[0].n_requests = 0;
	gateway_send(&fixture, 0, TAKE_UP("b", "a"));
	gateway_await(&fixture, 0, "id: 2");
	ck_assert_int_eq(fixture.runners[1].n_requests, 0);
	ck_assert_uint_eq(fixture.last_want.capacity.want.release, OLD_RELEASE);
	gateway_fixture_finish(&fixture);
}
END_TEST

/* Takes up a stream that began at another daemon; the recorder is asked. */
static void take_up_unknown(gateway_fixture_t *fixture)
{
	begin(fixture, resumes, resumes);
	gateway_send(fixture, 0, TAKE_UP("b", "a"));
	gateway_await_count(fixture, &fixture->stream_asks, 1);
	ck_assert_int_eq(fixture->wants, 0);
	ck_assert(!fixture->was_ask_from_memory);
}

/*
 * Guards against streams joined from two releases at a VM that stood still or
 * was cut off while the second one joined: it knows the first only.
 */
START_TEST(a_vm_out_of_step_asks_again_before_it_goes_on)
{
	enum { WHILE_MS = 150 };
	gateway_fixture_t fixture;

	begin(&fixture, resumes, resumes);
	gateway_set_only_release(&fixture, OLD_RELEASE);
	fixture.is_list_old = true;
	gateway_send(&fixture, 0, TAKE_UP("b", "a"));
	gateway_await_count(&fixture, &fixture.stream_asks, 1);
	/* It is the stream's recorder itself, and has not read its notes. */
	gateway_answer_ask(&fixture, 0);
	gateway_run(&fixture, WHILE_MS);
	ck_assert_int_eq(fixture.wants, 0);
	gateway_set_only_release(&fixture, 0);
	fixture.is_list_old = false;
	gateway_await_count(&fixture, &fixture.stream_asks, 2);
	gateway_answer_ask(&fixture, NEW_RELEASE);
	gateway_await(&fixture, 0, "id: 2");
	ck_assert_uint_eq(fixture.last_want.capacity.want.release, NEW_RELEASE);
	gateway_fixture_finish(&fixture);
}
END_TEST

/* The same, where no recorder can be asked: refused rather than joined. */
START_TEST(a_vm_that_stays_out_of_step_refuses_take_ups)
{
	gateway_fixture_t fixture;

	begin(&fixture, resumes, resumes);
	gateway_set_only_release(&fixture, OLD_RELEASE);
	fixture.is_list_old = true;
	gateway_send(&fixture, 0, TAKE_UP("b", "a"));
	gateway_await(&fixture, 0, "HTTP/1.1 503 ");
	ck_assert_int_eq(fixture.wants, 0);
	gateway_fixture_finish(&fixture);
}
END_TEST

/*
 * A zone is cut off, and a second release joins outside. A caller that reaches
 * both sides takes a stream of it up inside, FOR_MS later; the recorder there
 * knows no more than this daemon, which has or hasn't noticed the cut.
 */
static void take_up_while_cut_off(int for_ms, bool has_noticed)
{
	message_t cut = { .type = MESSAGE_ZONE_PARTITION };
	message_t m = { .type = MESSAGE_STREAM_ANSWER };
	gateway_fixture_t fixture;

	begin(&fixture, resumes, resumes);
	gateway_set_only_release(&fixture, OLD_RELEASE);
	fixture.is_list_old = true;
	gateway_run(&fixture, for_ms);
	g_strlcpy(cut.contact.name, "another", sizeof(cut.contact.name));
	cut.contact.is_lost = true;
	if (has_noticed)
		supervisor_post(&fixture.sup, TASK_FRONT, &cut);
	gateway_send(&fixture, 0, TAKE_UP("b", "a"));
	gateway_await_count(&fixture, &fixture.stream_asks, 1);
	m.streams.stream = fixture.last_ask;
	m.streams.stream.release = 0;
	g_strlcpy(m.streams.peer, "d-9", sizeof(m.streams.peer));
	supervisor_post(&fixture.sup, TASK_FRONT, &m);
	gateway_await(&fixture, 0, "HTTP/1.1 503 ");
	ck_assert_int_eq(fixture.wants, 0);
	gateway_fixture_finish(&fixture);
}

/* Guards against streams joined in a zone that has just been cut off. */
START_TEST(a_recorder_that_is_cut_off_too_has_a_stream_joined)
{
	take_up_while_cut_off(0, false);
}
END_TEST

/* Guards against such streams before the cut is noticed. */
START_TEST(a_recorder_that_is_cut_off_for_long_has_a_stream_joined)
{
	take_up_while_cut_off(2000, false);
}
END_TEST

/* Guards against such streams as long as the cut lasts. */
START_TEST(a_recorder_that_is_cut_off_too_is_not_believed)
{
	take_up_while_cut_off(0, true);
}
END_TEST

START_TEST(a_recorder_tells_the_release_of_another_daemons_stream)
{
	gateway_fixture_t fixture;

	take_up_unknown(&fixture);
	gateway_answer_ask(&fixture, NEW_RELEASE);
	gateway_await(&fixture, 0, "id: 2");
	ck_assert_uint_eq(fixture.last_want.capacity.want.release, NEW_RELEASE);
	ck_assert_int_eq(fixture.runners[0].n_requests, 0);
	gateway_fixture_finish(&fixture);
}
END_TEST

/* Guards against going on somewhere when nobody knows the stream. */
START_TEST(a_stream_of_an_unknown_release_is_not_taken_up)
{
	gateway_fixture_t fixture;

	take_up_unknown(&fixture);
	gateway_answer_ask(&fixture, 0);
	gateway_await(&fixture, 0, "HTTP/1.1 503 ");
	ck_assert_int_eq(gateway_count_arrivals(&fixture), 0);
	gateway_fixture_finish(&fixture);
}
END_TEST

START_TEST(a_recorder_that_is_silent_is_asked_again_and_given_up)
{
	gateway_fixture_t fixture;

	take_up_unknown(&fixture);
	gateway_await(&fixture, 0, "HTTP/1.1 503 ");
	ck_assert_int_ge(fixture.stream_asks, 2);
	ck_assert_int_eq(gateway_count_arrivals(&fixture), 0);
	gateway_fixture_finish(&fixture);
}
END_TEST

/* Guards against refusing take-ups while there is no skew. */
START_TEST(a_stream_of_the_only_release_is_taken_up)
{
	static const uint64_t answers[] = { 0, OLD_RELEASE };

	for (size_t i = 0; i < G_N_ELEMENTS(answers); i++) {
		gateway_fixture_t fixture;

		begin(&fixture, resumes, resumes);
		gateway_set_only_release(&fixture, OLD_RELEASE);
		gateway_send(&fixture, 0, TAKE_UP("b", "a"));
		gateway_await_count(&fixture, &fixture.stream_asks, 1);
		ck_assert(fixture.was_ask_from_memory);
		gateway_answer_ask(&fixture, answers[i]);
		gateway_await(&fixture, 0, "id: 2");
		ck_assert_int_eq(fixture.runners[1].n_requests, 0);
		gateway_fixture_finish(&fixture);
	}
}
END_TEST

/* Guards against a daemon that learns of a new release after the others. */
START_TEST(a_recorder_knows_better_than_the_own_list)
{
	gateway_fixture_t fixture;

	begin(&fixture, resumes, resumes);
	gateway_set_only_release(&fixture, OLD_RELEASE);
	gateway_send(&fixture, 0, TAKE_UP("b", "a"));
	gateway_await_count(&fixture, &fixture.stream_asks, 1);
	gateway_answer_ask(&fixture, NEW_RELEASE);
	gateway_await(&fixture, 0, "id: 2");
	ck_assert_int_eq(fixture.runners[0].n_requests, 0);
	gateway_fixture_finish(&fixture);
}
END_TEST

/* Guards against a frame and a record for each stream in ordinary times. */
START_TEST(streams_are_recorded_only_beside_another_release)
{
	static const reply_t whole[FIXTURE_REPLIES] = {
		{ STREAM_HEAD EVENT "0\r\n\r\n", REPLY_KEEP },
		{ STREAM_HEAD EVENT "0\r\n\r\n", REPLY_KEEP },
	};
	gateway_fixture_t fixture;

	begin(&fixture, whole, whole);
	gateway_set_only_release(&fixture, OLD_RELEASE);
	gateway_send(&fixture, 0, REQUEST("/stream/", "a"));
	gateway_await(&fixture, 0, "0\r\n\r\n");
	gateway_run(&fixture, 100);
	ck_assert_int_eq(fixture.streams_noted, 0);
	/* It may have broken off for its caller; now it must be known. */
	gateway_set_only_release(&fixture, 0);
	gateway_await_count(&fixture, &fixture.streams_noted, 1);
	gateway_send(&fixture, 1, REQUEST("/stream/", "c"));
	gateway_await_count(&fixture, &fixture.streams_noted, 2);
	gateway_fixture_finish(&fixture);
}
END_TEST

/*
 * Guards against streams joined from two releases: a request was sent to both,
 * its recorder knew of the first send only, and told that one's release.
 */
START_TEST(each_note_of_a_stream_names_the_release_that_began_it)
{
	enum { WHILE_MS = 100 };
	static const reply_t fails[FIXTURE_REPLIES] = {
		{ "no answer\r\n\r\n", REPLY_CLOSE },
	};
	static const reply_t whole[FIXTURE_REPLIES] = {
		{ STREAM_HEAD EVENT "0\r\n\r\n", REPLY_KEEP },
	};
	gateway_fixture_t fixture;

	begin(&fixture, fails, whole);
	gateway_send(&fixture, 0, REQUEST("/stream/", "a"));
	gateway_await(&fixture, 0, "0\r\n\r\n");
	gateway_run(&fixture, WHILE_MS);
	ck_assert_int_eq(fixture.streams_noted, 1);
	ck_assert_uint_eq(fixture.noted[0].release, NEW_RELEASE);
	ck_assert_uint_eq(fixture.noted[0].stream,
			  stream_releases_key(str_hash(STR_LIT("a")),
					      STREAM_RELEASES_BEGUN));
	gateway_fixture_finish(&fixture);
}
END_TEST

/*
 * Guards against a stream that nobody else knows: it began on a release that the
 * dispatcher knew of before this daemon did.
 */
START_TEST(a_stream_of_a_release_that_is_not_listed_yet_is_noted)
{
	static const reply_t whole[FIXTURE_REPLIES] = {
		{ STREAM_HEAD EVENT "0\r\n\r\n", REPLY_KEEP },
	};
	gateway_fixture_t fixture;

	begin(&fixture, whole, whole);
	gateway_set_only_release(&fixture, NEW_RELEASE);
	gateway_send(&fixture, 0, REQUEST("/stream/", "a"));
	gateway_await(&fixture, 0, "0\r\n\r\n");
	gateway_await_count(&fixture, &fixture.streams_noted, 1);
	ck_assert_uint_eq(fixture.noted[0].release, OLD_RELEASE);
	gateway_fixture_finish(&fixture);
}
END_TEST

/* Guards against a stream that goes on at another service of its route. */
START_TEST(a_take_up_goes_to_the_service_that_began_the_stream)
{
	for (int i = 0; i < 8; i++) {
		g_autofree char *first = g_strdup_printf(
			"POST /split/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a%d"
			"\r\nX-Key: key\r\nContent-Length: 2\r\n\r\nhi",
			i);
		g_autofree char *again = g_strdup_printf(
			"POST /split/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: b%d"
			"\r\nX-Key: key\r\nLast-Event-Id: 1\r\nResumes: a%d"
			"\r\nContent-Length: 2\r\n\r\nhi",
			i, i);
		char service[MEMBER_NAME_SIZE];
		gateway_fixture_t fixture;

		begin(&fixture, breaks_off, resumes);
		gateway_send(&fixture, 0, first);
		gateway_await_close(&fixture, 0);
		g_strlcpy(service, fixture.last_want.capacity.service,
			  sizeof(service));
		gateway_close_caller(&fixture, 0);
		fixture.wants = 0;
		gateway_send(&fixture, 0, again);
		gateway_await_count(&fixture, &fixture.wants, 1);
		ck_assert_str_eq(fixture.last_want.capacity.service, service);
		gateway_fixture_finish(&fixture);
	}
}
END_TEST

/* Takes up an own stream of the team "limited", whose limiter refuses. */
static void take_up_at_limit(gateway_fixture_t *fixture, const char *id)
{
	g_autofree char *text = g_strdup_printf(
		"POST /stream/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: t\r\n"
		"X-Key: low\r\nX-Deadline-Ms: 5000\r\n%s"
		"Content-Length: 2\r\n\r\nhi",
		id);

	begin(fixture, resumes_after_60, resumes_after_60);
	gateway_set_only_release(fixture, OLD_RELEASE);
	fixture->limit_refuses = true;
	gateway_send(fixture, 0, text);
}

/*
 * Guards against streams that nobody takes up since new ones used the limit:
 * after a restart of all daemons it begins empty.
 */
START_TEST(a_take_up_waits_at_its_teams_limit)
{
	gateway_fixture_t fixture;

	take_up_at_limit(&fixture, "Last-Event-Id: 60\r\n");
	gateway_await_count(&fixture, &fixture.limits, 2);
	ck_assert_uint_eq(fixture.last_limit.limit.reserve, 0);
	fixture.limit_refuses = false;
	gateway_await(&fixture, 0, "id: 61");
	gateway_fixture_finish(&fixture);
}
END_TEST

/* Guards against refusing what could be finished: a part is there already. */
START_TEST(only_what_is_left_of_a_stream_is_estimated)
{
	gateway_fixture_t fixture;

	begin(&fixture, resumes_after_60, resumes_after_60);
	gateway_send(&fixture, 0,
		     "POST /engine/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: t\r\n"
		     "X-Key: key\r\nX-Deadline-Ms: 5000\r\n"
		     "Last-Event-Id: 60\r\nResumes: a\r\n"
		     "X-Token-Usage: 10,100\r\nX-Length-Hint: 80\r\n"
		     "Content-Length: 2\r\n\r\nhi");
	gateway_await_count(&fixture, &fixture.stream_asks, 1);
	gateway_answer_ask(&fixture, OLD_RELEASE);
	gateway_await(&fixture, 0, "id: 61");
	ck_assert_uint_eq(fixture.last_want.capacity.want.output_tokens, 20);
	gateway_fixture_finish(&fixture);
}
END_TEST

START_TEST(a_new_stream_is_refused_at_its_teams_limit_at_once)
{
	gateway_fixture_t fixture;

	take_up_at_limit(&fixture, "");
	gateway_await(&fixture, 0, "HTTP/1.1 429 ");
	ck_assert_int_eq(fixture.limits, 1);
	gateway_fixture_finish(&fixture);
}
END_TEST

SUITE_MAIN("version_skew", a_broken_stream_resumes_on_its_release_only,
	   a_take_up_goes_to_the_release_that_began_the_stream,
	   a_vm_out_of_step_asks_again_before_it_goes_on,
	   a_vm_that_stays_out_of_step_refuses_take_ups,
	   a_recorder_that_is_cut_off_too_is_not_believed,
	   a_recorder_that_is_cut_off_too_has_a_stream_joined,
	   a_recorder_that_is_cut_off_for_long_has_a_stream_joined,
	   a_recorder_tells_the_release_of_another_daemons_stream,
	   a_stream_of_an_unknown_release_is_not_taken_up,
	   a_recorder_that_is_silent_is_asked_again_and_given_up,
	   a_stream_of_the_only_release_is_taken_up,
	   a_recorder_knows_better_than_the_own_list,
	   streams_are_recorded_only_beside_another_release,
	   each_note_of_a_stream_names_the_release_that_began_it,
	   a_stream_of_a_release_that_is_not_listed_yet_is_noted,
	   a_take_up_goes_to_the_service_that_began_the_stream,
	   a_take_up_waits_at_its_teams_limit,
	   only_what_is_left_of_a_stream_is_estimated,
	   a_new_stream_is_refused_at_its_teams_limit_at_once)
