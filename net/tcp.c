#include "net/tcp.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

enum {
	PROBE_IDLE_S = 2, /* silence before the first keep-alive probe */
	PROBE_INTERVAL_S = 1,
	PROBE_COUNT = 2,
	UNACKED_TIMEOUT_MS = 4000, /* for data sent but not acknowledged */
};

static void set(evutil_socket_t fd, int level, int option, int value)
{
	/* Ignore errors: loss is then detected later or data sent later. */
	(void)setsockopt(fd, level, option, &value, sizeof(value));
}

void tcp_reset_on_close(evutil_socket_t fd)
{
	const struct linger at_once = { .l_onoff = 1 };

	/* On an error the connection is closed in order. */
	(void)setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
}

void tcp_detect_dead_peer(evutil_socket_t fd)
{
	set(fd, IPPROTO_TCP, TCP_NODELAY, 1);
	set(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
	set(fd, IPPROTO_TCP, TCP_KEEPIDLE, PROBE_IDLE_S);
	set(fd, IPPROTO_TCP, TCP_KEEPINTVL, PROBE_INTERVAL_S);
	set(fd, IPPROTO_TCP, TCP_KEEPCNT, PROBE_COUNT);
	set(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS);
}
