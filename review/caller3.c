/*
 * Stand-in for callers of the users' platform: sends requests at a steady rate
 * to the daemons in turn, each on a connection of its own, and waits for the
 * answer until its deadline. An unsafe request is not tried again.
 *
 * Appends to --record, one line each, with the Unix time in ms:
 *   TIME sent ATTEMPT ADDRESS
 *   TIME answered ATTEMPT STATUS whole|cut
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

enum { MAX_TO = 16, ANSWER_SIZE = 64 * 1024 };

static const char *to[MAX_TO], *host = "h.example", *path = "/", *key = "";
static const char *body = "", *name = "a", *headers = "";
static int n_to, deadline_ms = 1500, every_ms = 1000, total = 1;
static int record_fd;

static int64_t now_ms(void)
{
	struct timeval t;

	gettimeofday(&t, NULL);
	return (int64_t)t.tv_sec * 1000 + t.tv_usec / 1000;
}

static void record(const char *fmt, const char *attempt, const char *a,
		   const char *b)
{
	char line[512];
	int n = snprintf(line, sizeof(line), fmt, (long long)now_ms(), attempt,
			 a, b);

	if (write(record_fd, line, (size_t)n) != n)
		_exit(1);
}

static struct sockaddr_in address(const char *text)
{
	struct sockaddr_in a = { .sin_family = AF_INET };
	const char *colon = strrchr(text, ':');
	char ip[64];

	snprintf(ip, sizeof(ip), "%.*s", (int)(colon - text), text);
	inet_pton(AF_INET, ip, &a.sin_addr);
	a.sin_port = htons((uint16_t)atoi(colon + 1));
	return a;
}

static int is_whole(const char *answer, size_t n)
{
	const char *end = strstr(answer, "\r\n\r\n");
	const char *length = strcasestr(answer, "\r\ncontent-length:");

	if (!end)
		return 0;
	if (length && length < end)
		return n - (size_t)(end + 4 - answer) >=
		       (size_t)atol(length + 17);
	return n >= 5 && !memcmp(answer + n - 5, "0\r\n\r\n", 5);
}

static void *request(void *arg)
{
	int number = (int)(intptr_t)arg;
	const char *where = to[number % n_to];
	struct sockaddr_in a = address(where);
	struct timeval limit = { deadline_ms / 1000,
				 deadline_ms % 1000 * 1000 };
	int64_t until = now_ms() + deadline_ms;
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	char *answer = calloc(1, ANSWER_SIZE);
	char attempt[64], status[16] = "-", head[4096];
	size_t n = 0;
	int len;

	snprintf(attempt, sizeof(attempt), "%s-%d", name, number);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	len = snprintf(head, sizeof(head),
		       "POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\n"
		       "X-Deadline-Ms: %d\r\nX-Key: %s\r\n%s"
		       "Content-Length: %zu\r\n\r\n%s",
		       path, host, attempt, deadline_ms, key, headers,
		       strlen(body), body);
	record("%lld sent %s %s%s\n", attempt, where, "");
	if (!connect(fd, (struct sockaddr *)&a, sizeof(a)) &&
	    send(fd, head, (size_t)len, MSG_NOSIGNAL) == len) {
		while (!is_whole(answer, n) && n < ANSWER_SIZE - 1 &&
		       now_ms() < until) {
			ssize_t k =
				recv(fd, answer + n, ANSWER_SIZE - 1 - n, 0);

			if (k <= 0)
				break;
			n += (size_t)k;
		}
	}
	close(fd);
	if (n > 12)
		snprintf(status, sizeof(status), "%.3s", answer + 9);
	record("%lld answered %s %s %s\n", attempt, status,
	       is_whole(answer, n) ? "whole" : "cut");
	free(answer);
	return NULL;
}

int main(int argc, char **argv)
{
	pthread_attr_t small;
	pthread_t thread;

	for (int i = 1; i + 1 < argc; i += 2) {
		const char *option = argv[i], *value = argv[i + 1];

		if (!strcmp(option, "--to"))
			to[n_to++ % MAX_TO] = value;
		else if (!strcmp(option, "--path"))
			path = value;
		else if (!strcmp(option, "--key"))
			key = value;
		else if (!strcmp(option, "--body"))
			body = value;
		else if (!strcmp(option, "--headers"))
			headers = value;
		else if (!strcmp(option, "--name"))
			name = value;
		else if (!strcmp(option, "--deadline-ms"))
			deadline_ms = atoi(value);
		else if (!strcmp(option, "--every-ms"))
			every_ms = atoi(value);
		else if (!strcmp(option, "--total"))
			total = atoi(value);
		else if (!strcmp(option, "--record"))
			record_fd = open(value, O_WRONLY | O_APPEND | O_CREAT,
					 0644);
	}
	signal(SIGPIPE, SIG_IGN);
	pthread_attr_init(&small);
	pthread_attr_setstacksize(&small, 64 * 1024);
	for (int i = 0; i < total; i++) {
		struct timespec pause = { every_ms / 1000,
					  every_ms % 1000 * 1000000L };

		if (pthread_create(&thread, &small, request,
				   (void *)(intptr_t)i))
			return 1;
		pthread_detach(thread);
		nanosleep(&pause, NULL);
	}
	/* The last answers. */
	usleep((useconds_t)deadline_ms * 1000 + 200000);
	return 0;
}
