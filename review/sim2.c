#include "sim2.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

enum {
	MS_PER_S = 1000,
	NS_PER_MS = 1000000,
	CONNECT_MS = 2000,
	BACKLOG = 512,
	LINE_SIZE = 256,
};

int64_t sim_now(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (int64_t)now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS;
}

void sim_sleep(int64_t ms)
{
	struct timespec left = { ms / MS_PER_S, ms % MS_PER_S * NS_PER_MS };

	while (ms > 0 && nanosleep(&left, &left) && errno == EINTR)
		;
}

static bool parse(const char *address, struct sockaddr_in *out)
{
	char ip[LINE_SIZE];
	const char *colon = strchr(address, ':');

	*out = (struct sockaddr_in){ .sin_family = AF_INET };
	if (!colon || (size_t)(colon - address) >= sizeof(ip))
		return false;
	snprintf(ip, sizeof(ip), "%.*s", (int)(colon - address), address);
	out->sin_port = htons((uint16_t)atoi(colon + 1));
	return inet_pton(AF_INET, ip, &out->sin_addr) == 1;
}

static bool wait_for(int fd, short what, int64_t ms)
{
	struct pollfd p = { .fd = fd, .events = what };

	return ms >= 0 && poll(&p, 1, (int)ms) > 0;
}

int sim_connect(const char *address, int receive_buffer)
{
	struct sockaddr_in to;
	socklen_t len = sizeof(int);
	int error = 0, on = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

	if (fd < 0 || !parse(address, &to))
		return -1;
	if (receive_buffer)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
			   sizeof(receive_buffer));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (!connect(fd, (struct sockaddr *)&to, sizeof(to)))
		return fd;
	if (errno == EINPROGRESS && wait_for(fd, POLLOUT, CONNECT_MS) &&
	    !getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) && !error)
		return fd;
	close(fd);
	return -1;
}

int sim_listen(const char *address)
{
	struct sockaddr_in at;
	int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (fd < 0 || !parse(address, &at))
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (!bind(fd, (struct sockaddr *)&at, sizeof(at)) &&
	    !listen(fd, BACKLOG))
		return fd;
	close(fd);
	return -1;
}

bool sim_send(int fd, const void *bytes, size_t len, int64_t ms)
{
	const char *at = bytes;
	int64_t until = sim_now() + ms;

	while (len) {
		ssize_t n = send(fd, at, len, MSG_NOSIGNAL | MSG_DONTWAIT);

		if (n < 0 && errno != EAGAIN && errno != EINTR)
			return false;
		if (n < 0 && !wait_for(fd, POLLOUT, until - sim_now()))
			return false;
		if (n > 0) {
			at += n;
			len -= (size_t)n;
		}
	}
	return true;
}

void sim_input_init(sim_input_t *in, int fd)
{
	in->fd = fd;
	in->len = 0;
	in->has_ended = false;
}

bool sim_receive(sim_input_t *in, int64_t ms)
{
	ssize_t n;

	if (in->has_ended || in->len == sizeof(in->bytes) ||
	    !wait_for(in->fd, POLLIN, ms))
		return false;
	n = recv(in->fd, in->bytes + in->len, sizeof(in->bytes) - in->len,
		 MSG_DONTWAIT);
	if (n > 0)
		in->len += (size_t)n;
	else if (!n || (errno != EAGAIN && errno != EINTR))
		in->has_ended = true;
	return n > 0;
}

void sim_consume(sim_input_t *in, size_t len)
{
	in->len -= len;
	memmove(in->bytes, in->bytes + len, in->len);
}

bool sim_read_head(sim_input_t *in, char *out, int64_t until)
{
	for (;;) {
		char *end = memmem(in->bytes, in->len, "\r\n\r\n", 4);
		size_t len = end ? (size_t)(end + 4 - in->bytes) : 0;

		if (end && len >= SIM_HEAD)
			return false;
		if (end) {
			memcpy(out, in->bytes, len);
			out[len] = '\0';
			sim_consume(in, len);
			return true;
		}
		if (!sim_receive(in, until - sim_now()))
			return false;
	}
}

bool sim_skip(sim_input_t *in, size_t len, int64_t until)
{
	while (len) {
		size_t n = in->len < len ? in->len : len;

		sim_consume(in, n);
		len -= n;
		if (len && !sim_receive(in, until - sim_now()))
			return false;
	}
	return true;
}

bool sim_header(const char *head, const char *name, char *out, size_t size)
{
	size_t n = strlen(name);
	const char *line = head;

	out[0] = '\0';
	while ((line = strstr(line, "\r\n"))) {
		const char *end;

		line += 2;
		if (strncasecmp(line, name, n) || line[n] != ':')
			continue;
		line += n + 1;
		while (*line == ' ')
			line++;
		end = strstr(line, "\r\n");
		snprintf(out, size, "%.*s", (int)(end - line), line);
		return true;
	}
	return false;
}

int sim_status(const char *head)
{
	return strncmp(head, "HTTP/1.1 ", 9) ? 0 : atoi(head + 9);
}

int sim_call(const char *address, const char *request, int64_t ms)
{
	static __thread sim_input_t in;
	char head[SIM_HEAD], length[LINE_SIZE];
	int64_t until = sim_now() + ms;
	int fd = sim_connect(address, 0);
	int status = 0;

	if (fd < 0)
		return 0;
	sim_input_init(&in, fd);
	if (sim_send(fd, request, strlen(request), ms) &&
	    sim_read_head(&in, head, until) &&
	    sim_header(head, "Content-Length", length, sizeof(length)) &&
	    sim_skip(&in, strtoul(length, NULL, 10), until))
		status = sim_status(head);
	close(fd);
	return status;
}

void sim_log(const char *format, ...)
{
	static int64_t start;
	char line[4096];
	va_list args;

	if (!start)
		start = sim_now();
	va_start(args, format);
	vsnprintf(line, sizeof(line), format, args);
	va_end(args);
	printf("%7.2f %s\n", (double)(sim_now() - start) / MS_PER_S, line);
	fflush(stdout);
}

long sim_resident(int pid)
{
	char path[LINE_SIZE], line[LINE_SIZE];
	long kib = 0;
	FILE *f;

	snprintf(path, sizeof(path), "/proc/%d/status", pid);
	f = fopen(path, "r");
	while (f && fgets(line, sizeof(line), f))
		if (sscanf(line, "VmRSS: %ld", &kib) == 1)
			break;
	if (f)
		fclose(f);
	return kib;
}
