/*
 * A body that trickles: each byte restarts the time of silence, and yet it ends
 * at the time that follows from its size. At both interfaces of a real daemon.
 */
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "tests/lib_suite.h"
#include "tests/lib_tcp.h"
#include "tests/lib_unruly.h"

enum {
	ANSWER_BYTES = 1024,
	PIECE_MS = 20, /* between two bytes */
	MOST_BYTES = 1000, /* sent until an answer must have come */
};

/* Sends a byte at a time until there is an answer; returns its status. */
static int trickle(int fd)
{
	char answer[ANSWER_BYTES] = "";
	int status = 0;

	for (int i = 0; i < MOST_BYTES && !status; i++) {
		ssize_t n;

		tcp_send_all(fd, "b", 1);
		n = tcp_receive(fd, answer, sizeof(answer) - 1, PIECE_MS);
		answer[MAX(n, 0)] = '\0';
		sscanf(answer, "HTTP/1.1 %d", &status);
	}
	return status;
}

static void check(bool is_fleet)
{
	g_autofree char *head = NULL;
	unruly_t u;
	int fd;

	unruly_init_with(&u, is_fleet,
			 ",\"intake_grace_ms\":1000,\"intake_rate\":1000000");
	head = g_strdup_printf("%sContent-Length: 100000\r\n\r\n",
			       unruly_head(&u));
	fd = tcp_connect_to(u.ip, UNRULY_PORT);
	ck_assert_int_ge(fd, 0);
	ck_assert(tcp_send_all(fd, head, strlen(head)));
	ck_assert_int_eq(trickle(fd), 408);
	close(fd);
	unruly_finish(&u);
}

START_TEST(a_trickled_body_ends_at_the_own_interface)
{
	check(false);
}
END_TEST

START_TEST(a_trickled_body_ends_at_a_fleets_interface)
{
	check(true);
}
END_TEST

SUITE_MAIN("slow_request", a_trickled_body_ends_at_the_own_interface,
	   a_trickled_body_ends_at_a_fleets_interface)
