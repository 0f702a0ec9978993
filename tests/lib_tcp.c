#include "tests/lib_tcp.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

enum { BACKLOG = 128 };

static struct sockaddr_in address_of(const char *ip, int port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons((uint16_t)port) };

	inet_pton(AF_INET, ip, &address.sin_addr);
	return address;
}

int tcp_listen_on(const char *ip, int port)
{
	struct sockaddr_in address = address_of(ip, port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (!bind(fd, (struct sockaddr *)&address, sizeof(address)) &&
	    !listen(fd, BACKLOG))
		return fd;
	close(fd);
	return -1;
}

int tcp_connect_to(const char *ip, int port)
{
	struct sockaddr_in address = address_of(ip, port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (!connect(fd, (struct sockaddr *)&address, sizeof(address)))
		return fd;
	close(fd);
	return -1;
}

bool tcp_send_all(int fd, const void *bytes, size_t len)
{
	const char *p = bytes;

	while (len) {
		ssize_t n = send(fd, p, len, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		p += n;
		len -= (size_t)n;
	}
	return true;
}

ssize_t tcp_receive(int fd, void *buf, size_t size, int ms)
{
	struct pollfd p = { .fd = fd, .events = POLLIN };

	if (poll(&p, 1, ms) <= 0)
		return -1;
	return recv(fd, buf, size, 0);
}

void tcp_reset(int fd)
{
	struct linger at_once = { .l_onoff = 1 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
	close(fd);
}
