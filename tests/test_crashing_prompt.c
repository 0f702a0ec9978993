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

/* Starts both runners anew, as other incarnations that answer with REPLIES. */
static void restart_runners(gateway_fixture_t *fixture, const reply_t *replies)
{
	static int n;

	for (int i = 0; i < FIXTURE_RUNNERS; i++) {
		raw_runner_t *r = &fixture->runners[i];

		g_snprintf(r->name, sizeof(r->name), "i-%d", ++n);
		r->replies = replies;
		r->n_requests = 0;
	}
}

static int count_arrivals(const gateway_fixture_t *fixture)
{
	return fixture->runners[0].n_requests + fixture->runners[1].n_requests;
}

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
			       "Content-Length: 2\r\n\r\nhi",
			       n, parts, n);
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
	for (int n = 0; n < CRASHES; n += count_arrivals(fixture)) {
		restart_runners(fixture, crash);
		send_prompt(fixture, is_other ? other_parts : parts);
		gateway_run(fixture, 100);
		gateway_close_caller(fixture, 0);
		is_other = !is_other;
		if (!count_arrivals(fixture))
			break;
	}
}

/* Guards against requests that crash one runner after the other. */
START_TEST(a_part_that_crashes_runners_is_kept_from_them)
{
	gateway_fixture_t fixture;

	crash_runners(&fixture, "a1:60,dead:800", "b2:60,dead:800");
	restart_runners(&fixture, crash);
	for (int i = 0; i < MORE_REQUESTS; i++) {
		send_prompt(&fixture, i % 2 ? "c3:60,dead:800" : "dead:800");
		gateway_run(&fixture, 100);
		gateway_close_caller(&fixture, 0);
	}
	ck_assert_int_eq(count_arrivals(&fixture), 0);
	gateway_fixture_finish(&fixture);
}
END_TEST

/* Guards against refusing whoever shares a part with the crashing requests. */
START_TEST(requests_with_their_other_parts_are_served)
{
	gateway_fixture_t fixture;

	crash_runners(&fixture, "a1:60,dead:800", "a1:60,dead:800");
	restart_runners(&fixture, sound);
	for (int i = 0; i < MORE_REQUESTS; i++) {
		send_prompt(&fixture, "a1:60,c3:800");
		gateway_await(&fixture, 0, "id: 1");
		gateway_close_caller(&fixture, 0);
	}
	gateway_fixture_finish(&fixture);
}
END_TEST

SUITE_MAIN("crashing_prompt", a_part_that_crashes_runners_is_kept_from_them,
	   requests_with_their_other_parts_are_served)
