/* HTTP of the own interface, byte by byte, at a real daemon. */
#include <glib.h>
#include <string.h>
#include <unistd.h>

#include "tests/lib_suite.h"
#include "tests/lib_tcp.h"
#include "tests/lib_unruly.h"

enum { ANSWER_BYTES = 8192, WAIT_MS = 10000, QUIET_MS = 300 };

#define PATH "/v1/services/desk/x"

/* Sends TEXT and returns what came until the daemon closed or fell silent. */
static char *exchange(const unruly_t *u, const char *text)
{
	int fd = tcp_connect_to(u->ip, UNRULY_PORT);
	char *answer = g_malloc0(ANSWER_BYTES);
	size_t n = 0;
	ssize_t got;

	ck_assert_int_ge(fd, 0);
	ck_assert(tcp_send_all(fd, text, strlen(text)));
	while ((got = tcp_receive(fd, answer + n, ANSWER_BYTES - 1 - n,
				  n ? QUIET_MS : WAIT_MS)) > 0)
		n += (size_t)got;
	close(fd);
	return answer;
}

static int count(const char *text, const char *wanted)
{
	int n = 0;

	for (; (text = strstr(text, wanted)); text += strlen(wanted))
		n++;
	return n;
}

START_TEST(requests_that_are_not_served_get_a_status)
{
	g_autofree char *filler = g_strnfill(40000, 'a');
	g_autofree char *long_head = g_strdup_printf(
		"GET " PATH " HTTP/1.1\r\nHost: h\r\nX: %s\r\n\r\n", filler);
	const struct {
		const char *text, *status, *outcome;
	} cases[] = {
		{ "POST " PATH " HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
		  "Content-Length: 2\r\n\r\nab",
		  "HTTP/1.1 400 ", "not-run" },
		{ "POST " PATH " HTTP/1.1\r\nHost: h\r\nX : y\r\n\r\n",
		  "HTTP/1.1 400 ", "not-run" },
		{ "nonsense\r\n\r\n", "HTTP/1.1 400 ", "not-run" },
		{ "TRACE " PATH " HTTP/1.1\r\nHost: h\r\n\r\n", "HTTP/1.1 501 ",
		  "not-run" },
		{ "POST " PATH " HTTP/1.1\r\nHost: h\r\nContent-Length: "
		  "9999999\r\n\r\n",
		  "HTTP/1.1 413 ", "not-run" },
		{ "POST " PATH " HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k\r\n"
		  "Content-Length: 9999999\r\n\r\n",
		  "HTTP/1.1 413 ", "unknown" },
		{ long_head, "HTTP/1.1 431 ", "not-run" },
	};
	unruly_t u;

	unruly_init(&u, false);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *answer = exchange(&u, cases[i].text);
		g_autofree char *outcome = g_strdup_printf(
			"Papaya-Outcome: %s\r\n", cases[i].outcome);

		ck_assert_msg(g_str_has_prefix(answer, cases[i].status),
			      "case %zu: %s", i, answer);
		ck_assert_msg(count(answer, outcome) == 1, "case %zu: %s", i,
			      answer);
	}
	unruly_finish(&u);
}
END_TEST

START_TEST(one_connection_serves_several_requests)
{
	static const char twice[] =
		"GET " PATH " HTTP/1.1\r\nHost: h\r\n\r\n"
		"POST " PATH " HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
		"chunked\r\n\r\n1\r\na\r\n0\r\n\r\n";
	static const char last[] =
		"GET " PATH " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
		"GET " PATH " HTTP/1.1\r\nHost: h\r\n\r\n";
	g_autofree char *both = NULL, *first = NULL;
	unruly_t u;

	unruly_init(&u, false);
	both = exchange(&u, twice);
	ck_assert_int_eq(count(both, "HTTP/1.1 200 OK"), 2);
	ck_assert_int_eq(count(both, "Papaya-Outcome: completed"), 2);
	first = exchange(&u, last);
	ck_assert_int_eq(count(first, "HTTP/1.1 200 OK"), 1);
	ck_assert_int_eq(count(first, "Connection: close"), 1);
	unruly_finish(&u);
}
END_TEST

START_TEST(older_and_bodyless_requests_are_answered_as_they_can_read)
{
	g_autofree char *old = NULL, *kept = NULL, *head = NULL;
	unruly_t u;

	unruly_init(&u, false);
	old = exchange(&u, "GET " PATH " HTTP/1.0\r\nHost: h\r\n\r\n");
	ck_assert_int_eq(count(old, "Connection: close"), 1);
	kept = exchange(&u, "GET " PATH " HTTP/1.0\r\nHost: h\r\n"
			    "Connection: keep-alive\r\n\r\n");
	ck_assert_int_eq(count(kept, "Connection: keep-alive"), 1);
	head = exchange(&u, "HEAD /nowhere HTTP/1.1\r\nHost: h\r\n\r\n");
	ck_assert(g_str_has_prefix(head, "HTTP/1.1 404 "));
	ck_assert(g_str_has_suffix(head, "\r\n\r\n"));
	unruly_finish(&u);
}
END_TEST

START_TEST(a_body_that_is_announced_may_be_asked_for)
{
	g_autofree char *answer = NULL;
	unruly_t u;

	unruly_init(&u, false);
	answer = exchange(&u, "POST " PATH " HTTP/1.1\r\nHost: h\r\nExpect: "
			      "100-continue\r\nContent-Length: 2\r\n\r\nhi");
	ck_assert(g_str_has_prefix(answer, "HTTP/1.1 100 Continue\r\n\r\n"));
	ck_assert_int_eq(count(answer, "HTTP/1.1 200 OK"), 1);
	unruly_finish(&u);
}
END_TEST

SUITE_MAIN("own_interface", requests_that_are_not_served_get_a_status,
	   one_connection_serves_several_requests,
	   older_and_bodyless_requests_are_answered_as_they_can_read,
	   a_body_that_is_announced_may_be_asked_for)
