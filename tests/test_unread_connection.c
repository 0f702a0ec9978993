/*
 * A peer that is alive but doesn't read for some seconds is not dead: a runner
 * that takes a long body later, a caller or a tunnel that stands still. What it
 * acknowledges by its closed window must not end the connection.
 */
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/tcp.h"
#include "tests/lib_suite.h"

enum {
	UNREAD_S = 6,
	CHUNK_BYTES = 64 * 1024,
	BUFFER_BYTES = 32 * 1024,
};

static void connect_pair(int pair[2])
{
	struct sockaddr_in name = { .sin_family = AF_INET };
	socklen_t len = sizeof(name);
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	int size = BUFFER_BYTES;

	name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	ck_assert_int_eq(bind(listener, (struct sockaddr *)&name, len), 0);
	ck_assert_int_eq(listen(listener, 1), 0);
	getsockname(listener, (struct sockaddr *)&name, &len);
	pair[0] = socket(AF_INET, SOCK_STREAM, 0);
	ck_assert_int_eq(connect(pair[0], (struct sockaddr *)&name, len), 0);
	pair[1] = accept(listener, NULL, NULL);
	close(listener);
}

static ssize_t fill(int fd)
{
	static const char bytes[CHUNK_BYTES];
	ssize_t n, all = 0;

	while ((n = send(fd, bytes, sizeof(bytes), MSG_DONTWAIT)) > 0)
		all += n;
	return all;
}

START_TEST(peer_that_does_not_read_for_seconds_keeps_its_connection)
{
	static char bytes[CHUNK_BYTES];
	ssize_t n, sent, got = 0;
	int pair[2];

	connect_pair(pair);
	tcp_detect_dead_peer(pair[0]);
	sent = fill(pair[0]);
	sleep(UNREAD_S);
	shutdown(pair[0], SHUT_WR);
	while ((n = recv(pair[1], bytes, sizeof(bytes), 0)) > 0)
		got += n;
	ck_assert_int_eq(n, 0);
	ck_assert_int_eq(got, sent);
	close(pair[0]);
	close(pair[1]);
}
END_TEST

SUITE_MAIN("unread_connection",
	   peer_that_does_not_read_for_seconds_keeps_its_connection)
