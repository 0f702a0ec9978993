/*
 * A part of prompts crashes each runner that begins to answer on it, whatever
 * else the request has. Requests with that part must soon be kept from the
 * runners; others with the same other parts must not.
 */
#include "tests/lib_gateway.h"
#include "tests/lib_suite.h"

#define EVENT "c\r\nid: 1\ndata\n\n\r\n"
#define STREAM STREAM_HEAD EVENT "0\r\n\r\n"

enum {
	CRASHES = 5, /* after these, no request with the part is sent */
	MORE_REQUESTS = 4,
	MINUTE_US = 60 * 1000 * 1000,
};

static const reply_t crash[FIXTURE_REPLIES] = {
	{ STREAM_HEAD, REPLY_RESET }, { STREAM_HEAD, REPLY_RESET },
	{ STREAM_HEAD, REPLY_RESET }, { STREAM_HEAD, REPLY_RESET },
	{ STREAM_HEAD, REPLY_RESET }, { STREAM_HEAD, REPLY_RESET },
	{ STREAM_HEAD, REPLY_RESET },
};
static const reply_t sound[FIXTURE_REPLIES] = {
	{ STREAM, REPLY_KEEP }, { STREAM, REPLY_KEEP }, { STREAM, REPLY_KEEP },
	{ STREAM, REPLY_KEEP }, { STREAM, REPLY_KEEP }, { STREAM, REPLY_KEEP },
	{ STREAM, REPLY_KEEP },
};

/* Sends a request with the prompt parts PARTS and one of its own. */
static void send_prompt(gateway_fixture_t *fixture, const char *parts)
{
	static int n;
	g_autofree char *text = NULL;

	n++;
	text = g_strdup_printf("POST /stream/ HTTP/1.1\r\nHost: h\r\n"
			       "X-Attempt-Id: r%d\r\nX-Key: key\r\n"
			       "X-Deadline-Ms: 1500\r\n"
			       "X-Prefix-Hash: %s,%x:9\r\n"
			       "Content-Length: 4\r\n\r\n%04d",
			       n, parts, n, n);
	gateway_send(fixture, 0, text);
}

/*
 * Sends requests with the crashing part, in turn with PARTS and OTHER_PARTS,
 * until CRASHES runners have crashed.
 */
static void crash_runners(gateway_fixture_t *fixture, const char *parts,
			  const char *other_parts)
{
	bool is_other = false;

	gateway_fixture_init(fixture);
	gateway_fixture_configure(fixture);
	for (int n = 0; n < CRASHES; n += gateway_count_arrivals(fixture)) {
		gateway_restart_runners(fixture, crash);
		send_prompt(fixture, is_other ? other_parts : parts);
		gateway_await_close(fixture, 0);
		gateway_await_verdict(fixture);
		gateway_close_caller(fixture, 0);
		is_other = !is_other;
		if (!gateway_count_arrivals(fixture))
			break;
	}
}

/* Guards against requests that crash one runner after the other. */
START_TEST(a_part_that_crashes_runners_is_kept_from_them)
{
	gateway_fixture_t fixture;

	crash_runners(&fixture, "a1:60,dead:800", "b2:60,dead:800");
	gateway_restart_runners(&fixture, crash);
	for (int i = 0; i < MORE_REQUESTS; i++) {
		send_prompt(&fixture, i % 2 ? "c3:60,dead:800" : "dead:800");
		gateway_run(&fixture, 100);
		gateway_close_caller(&fixture, 0);
	}
	ck_assert_int_eq(gateway_count_arrivals(&fixture), 0);
	gateway_fixture_finish(&fixture);
}
END_TEST

/* Guards against refusing whoever shares a part with the crashing requests. */
START_TEST(requests_with_their_other_parts_are_served)
{
	gateway_fixture_t fixture;

	crash_runners(&fixture, "a1:60,dead:800", "a1:60,dead:800");
	gateway_restart_runners(&fixture, sound);
	for (int i = 0; i < MORE_REQUESTS; i++) {
		send_prompt(&fixture, "a1:60,c3:800");
		gateway_await(&fixture, 0, "id: 1");
		gateway_close_caller(&fixture, 0);
	}
	gateway_fixture_finish(&fixture);
}
END_TEST

/* Another daemon tells that the part dead, with a1, is in quarantine. */
static void receive_quarantine(gateway_fixture_t *fixture)
{
	message_t m = { .type = MESSAGE_PART_NOTICE };

	m.part.kind = PART_NOTICE_QUARANTINE;
	m.part.entry.part = 0xdead;
	m.part.entry.times = 1;
	m.part.entry.until = now_us() + MINUTE_US;
	prompt_parts_add(&m.part.entry.common, 0xa1);
	prompt_parts_add(&m.part.entry.common, 0xdead);
	supervisor_post(&fixture->sup, TASK_FRONT, &m);
}

static void begin(gateway_fixture_t *fixture, const reply_t *replies)
{
	gateway_fixture_init(fixture);
	gateway_fixture_configure(fixture);
	gateway_restart_runners(fixture, replies);
}

/* Guards against crashes at daemons that saw none themselves. */
START_TEST(a_part_that_others_quarantined_is_refused)
{
	gateway_fixture_t fixture;

	begin(&fixture, sound);
	receive_quarantine(&fixture);
	send_prompt(&fixture, "a1:60,dead:800");
	gateway_await(&fixture, 0, "HTTP/1.1 503 ");
	gateway_await(&fixture, 0, "Retry-After: ");
	ck_assert_int_eq(gateway_count_arrivals(&fixture), 0);
	/* Nobody but the runners can tell it apart from these. */
	gateway_close_caller(&fixture, 0);
	send_prompt(&fixture, "a1:60");
	gateway_await(&fixture, 0, "id: 1");
	gateway_fixture_finish(&fixture);
}
END_TEST

/* Guards against a crash by a request that waited while others crashed. */
START_TEST(a_waiting_request_is_refused_when_its_part_is_quarantined)
{
	gateway_fixture_t fixture;

	begin(&fixture, sound);
	fixture.is_mute = true;
	send_prompt(&fixture, "a1:60,dead:800");
	gateway_await_count(&fixture, &fixture.wants, 1);
	receive_quarantine(&fixture);
	gateway_await(&fixture, 0, "HTTP/1.1 503 ");
	ck_assert_int_ge(fixture.withdraws, 1);
	ck_assert_int_eq(gateway_count_arrivals(&fixture), 0);
	gateway_fixture_finish(&fixture);
}
END_TEST

/* Guards against a crash by a request that waits in a runner's queue. */
START_TEST(a_sent_request_is_cancelled_when_its_part_is_quarantined)
{
	static const reply_t mute[] = { { "", REPLY_MUTE },
					{ "", REPLY_MUTE },
					{} };
	gateway_fixture_t fixture;

	begin(&fixture, mute);
	send_prompt(&fixture, "a1:60,dead:800");
	gateway_await_count(&fixture, &fixture.runners[0].n_requests, 1);
	receive_quarantine(&fixture);
	/* It may have run, so it isn't said to be unexecuted. */
	gateway_await(&fixture, 0, "HTTP/1.1 502 ");
	gateway_await_count(&fixture, &fixture.runners[0].n_closed, 1);
	ck_assert_int_eq(gateway_count_arrivals(&fixture), 1);
	gateway_fixture_finish(&fixture);
}
END_TEST

/* Guards against ending streams whose parts are sound. */
START_TEST(a_stream_that_has_begun_goes_on)
{
	static const reply_t open_stream[] = {
		{ STREAM_HEAD EVENT, REPLY_MUTE }, {}
	};
	gateway_fixture_t fixture;

	begin(&fixture, open_stream);
	send_prompt(&fixture, "a1:60,dead:800");
	gateway_await(&fixture, 0, "id: 1");
	receive_quarantine(&fixture);
	gateway_run(&fixture, 200);
	ck_assert_int_eq(fixture.runners[0].n_closed, 0);
	ck_assert(!fixture.callers[0].is_closed);
	gateway_fixture_finish(&fixture);
}
END_TEST

/* Guards against quarantines that end with the last process that knows them. */
START_TEST(records_of_quarantines_are_written_and_deleted)
{
	gateway_fixture_t fixture;

	crash_runners(&fixture, "a1:60,dead:800", "a1:60,dead:800");
	ck_assert_int_eq(fixture.part_records, 2);
	ck_assert_int_eq(fixture.last_part_record.kind, PART_NOTICE_QUARANTINE);
	gateway_restart_runners(&fixture, sound);
	send_prompt(&fixture, "a1:60");
	gateway_await(&fixture, 0, "id: 1");
	gateway_await_count(&fixture, &fixture.part_records, 3);
	ck_assert_int_eq(fixture.last_part_record.kind, PART_NOTICE_SOUND);
	ck_assert_uint_eq(fixture.last_part_record.crash.parts.ids[0], 0xa1);
	/* Whoever is only told of it leaves the record to the teller. */
	receive_quarantine(&fixture);
	gateway_run(&fixture, 100);
	ck_assert_int_eq(fixture.part_records, 3);
	gateway_fixture_finish(&fixture);
}
END_TEST

/* Guards against a quarantine that outlives the word that no runner crashed. */
START_TEST(a_disproof_by_another_daemon_deletes_the_records)
{
	message_t m = { .type = MESSAGE_PART_NOTICE };
	gateway_fixture_t fixture;

	crash_runners(&fixture, "a1:60,dead:800", "a1:60,dead:800");
	ck_assert_int_eq(fixture.part_records, 2);
	m.part = fixture.last_crash_notice;
	m.part.kind = PART_NOTICE_ALIVE;
	supervisor_post(&fixture.sup, TASK_FRONT, &m);
	gateway_await_count(&fixture, &fixture.part_records, 4);
	ck_assert_int_eq(fixture.last_part_record.kind, PART_NOTICE_SOUND);
	gateway_restart_runners(&fixture, sound);
	send_prompt(&fixture, "a1:60,dead:800");
	gateway_await(&fixture, 0, "id: 1");
	/* It is not told on: its sender told all. */
	ck_assert_int_eq(fixture.notices_of[PART_NOTICE_ALIVE], 0);
	gateway_fixture_finish(&fixture);
}
END_TEST

START_TEST(crashes_and_sound_parts_are_told_to_the_others)
{
	gateway_fixture_t fixture;
	message_t m = { .type = MESSAGE_LINK_UP, .contact = { .name = "p" } };
	int told;

	crash_runners(&fixture, "a1:60,dead:800", "a1:60,dead:800");
	/* Three crashes, no second try after the last, and both parts. */
	ck_assert_int_eq(fixture.part_notices, 5);
	ck_assert_int_eq(fixture.last_part_notice.kind, PART_NOTICE_QUARANTINE);
	gateway_restart_runners(&fixture, sound);
	send_prompt(&fixture, "a1:60");
	gateway_await(&fixture, 0, "id: 1");
	ck_assert_int_eq(fixture.last_part_notice.kind, PART_NOTICE_SOUND);
	/* The request's fingerprint, and the part of its prompt. */
	ck_assert_int_eq(fixture.last_part_notice.crash.parts.n, 2);
	ck_assert_uint_eq(fixture.last_part_notice.crash.parts.ids[1], 0xa1);
	/* A daemon that starts is told what is in quarantine. */
	told = fixture.part_notices;
	supervisor_post(&fixture.sup, TASK_FRONT, &m);
	gateway_await_count(&fixture, &fixture.part_notices, told + 1);
	ck_assert_str_eq(fixture.last_part_notice.peer, "p");
	ck_assert_uint_eq(fixture.last_part_notice.entry.part, 0xdead);
	ck_assert_uint_eq(fixture.last_part_notice.entry.common.n, 1);
	gateway_fixture_finish(&fixture);
}
END_TEST

SUITE_MAIN("crashing_prompt", a_part_that_crashes_runners_is_kept_from_them,
	   requests_with_their_other_parts_are_served,
	   a_part_that_others_quarantined_is_refused,
	   a_waiting_request_is_refused_when_its_part_is_quarantined,
	   a_sent_request_is_cancelled_when_its_part_is_quarantined,
	   a_stream_that_has_begun_goes_on,
	   records_of_quarantines_are_written_and_deleted,
	   a_disproof_by_another_daemon_deletes_the_records,
	   crashes_and_sound_parts_are_told_to_the_others)
