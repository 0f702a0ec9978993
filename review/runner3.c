/*
 * Stand-in for a runner of the users' platform, as our pages describe it: it
 * keeps its entry in the store, serves one request at a time on a connection
 * and keeps connections open. With --deadly TEXT a request whose body holds
 * TEXT crashes it as soon as it begins to run that request: the process ends,
 * and is back --down-ms later under the same id with another "born". A stream
 * (--events N) writes its head together with its first event.
 *
 * Appends to --record, one line each, with the Unix time in ms:
 *   TIME run ATTEMPT RUNNER INCARNATION
 *   TIME crash ATTEMPT RUNNER INCARNATION
 *   TIME done ATTEMPT RUNNER INCARNATION
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

enum {
	HEAD_SIZE = 16 * 1024, /* bytes */
	BODY_SIZE = 256 * 1024, /* bytes */
	BEAT_MS = 1200, /* between writes of the entry */
	IDLE_S = 15, /* an idle connection is closed then */
	QUEUE = 24, /* requests beyond the slots */
	CRASH_STATUS = 42,
};

static const char *listen_at, *store_at, *id, *service, *zone, *deadly;
static const char *deadly_part, *dies = "begin";
static int slots = 6, work_ms = 30, down_ms = 2000, n_events, event_ms = 40;
static int record_fd, incarnation;
static int64_t born_ms;
static atomic_int active;

static int64_t now_ms(void)
{
	struct timeval t;

	gettimeofday(&t, NULL);
	return (int64_t)t.tv_sec * 1000 + t.tv_usec / 1000;
}

static void sleep_ms(int ms)
{
	struct timespec t = { ms / 1000, ms % 1000 * 1000000L };

	nanosleep(&t, NULL);
}

static void record(const char *what, const char *attempt)
{
	char line[512];
	int n = snprintf(line, sizeof(line), "%lld %s %s %s %d\n",
			 (long long)now_ms(), what, attempt, id, incarnation);

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

static int send_all(int fd, const char *p, size_t n)
{
	while (n) {
		ssize_t k = send(fd, p, n, MSG_NOSIGNAL);

		if (k <= 0)
			return -1;
		p += k;
		n -= (size_t)k;
	}
	return 0;
}

static int send_text(int fd, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

static int send_text(int fd, const char *fmt, ...)
{
	char text[2048];
	va_list args;
	int n;

	va_start(args, fmt);
	n = vsnprintf(text, sizeof(text), fmt, args);
	va_end(args);
	return send_all(fd, text, (size_t)n);
}

/* Writes the entry once; errors are tried again with the next beat. */
static void put_entry(int sequence)
{
	struct sockaddr_in a = address(store_at);
	struct timeval limit = { 1, 0 };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	char body[1024], answer[1024];
	int n = snprintf(body, sizeof(body),
			 "{\"service\":\"%s\",\"address\":\"%s\","
			 "\"zone\":\"%s\",\"version\":\"1\",\"slots\":%d,"
			 "\"state\":\"ready\",\"warmup_left_ms\":0,"
			 "\"born\":%lld,\"sequence\":%d}",
			 service, listen_at, zone, slots, (long long)born_ms,
			 sequence);

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	if (!connect(fd, (struct sockaddr *)&a, sizeof(a)) &&
	    !send_text(fd,
		       "POST /standin/put?topic=keyed.servers&key=%s HTTP/1.1"
		       "\r\nHost: store\r\nConnection: close\r\n"
		       "Content-Length: %d\r\n\r\n%s",
		       id, n, body))
		while (recv(fd, answer, sizeof(answer), 0) > 0)
			;
	close(fd);
}

static void *beat(void *arg)
{
	for (int sequence = 1;; sequence++) {
		put_entry(sequence);
		sleep_ms(BEAT_MS);
	}
	return arg;
}

static int header(const char *head, const char *name, char *out, size_t size)
{
	size_t len = strlen(name);

	out[0] = '\0';
	for (const char *line = strstr(head, "\r\n"); line;
	     line = strstr(line, "\r\n")) {
		line += 2;
		if (strncasecmp(line, name, len) || line[len] != ':')
			continue;
		line += len + 1;
		line += strspn(line, " ");
		snprintf(out, size, "%.*s", (int)strcspn(line, "\r"), line);
		return 1;
	}
	return 0;
}

/* Reads one request; returns 0 when the connection ended. */
static int read_request(int fd, char *head, char *body)
{
	size_t n = 0, length, rest;
	char text[64], *end = NULL;
	ssize_t k;

	while (!end) {
		if (n >= HEAD_SIZE - 1)
			return 0;
		k = recv(fd, head + n, HEAD_SIZE - 1 - n, 0);
		if (k <= 0)
			return 0;
		n += (size_t)k;
		head[n] = '\0';
		end = strstr(head, "\r\n\r\n");
	}
	header(head, "content-length", text, sizeof(text));
	length = (size_t)atol(text);
	if (length >= BODY_SIZE)
		return 0;
	rest = n - (size_t)(end + 4 - head);
	memcpy(body, end + 4, rest);
	end[2] = '\0';
	for (; rest < length; rest += (size_t)k) {
		k = recv(fd, body + rest, length - rest, 0);
		if (k <= 0)
			return 0;
	}
	body[rest] = '\0';
	return 1;
}

static int refuse(int fd, int status, const char *attempt)
{
	return send_text(fd,
			 "HTTP/1.1 %d Refused\r\nX-Attempt-Id: %s\r\n"
			 "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
			 status, attempt);
}

static int answer_plain(int fd, const char *attempt)
{
	char body[256];
	int n = snprintf(body, sizeof(body), "ran %s", attempt);

	sleep_ms(work_ms);
	return send_text(fd,
			 "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
			 "X-Server-Seal: %s.%s\r\nX-Server-Load: %d,0,%d\r\n"
			 "Keep-Alive: timeout=%d\r\nContent-Length: %d\r\n\r\n"
			 "%s",
			 attempt, id, attempt, atomic_load(&active), slots,
			 IDLE_S, n, body);
}

static void crash(const char *attempt)
{
	record("crash", attempt);
	_exit(CRASH_STATUS);
}

/* CRASHES_AT is when the runner crashes, or NULL. */
static int answer_stream(int fd, const char *attempt, int from,
			 const char *crashes_at)
{
	char event[64];
	int n;

	sleep_ms(work_ms);
	if (send_text(fd,
		      "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
		      "X-Server-Seal: %s.%s\r\nX-Server-Load: %d,0,%d\r\n"
		      "Keep-Alive: timeout=%d\r\n"
		      "Content-Type: text/event-stream\r\n"
		      "Transfer-Encoding: chunked\r\n\r\n",
		      attempt, id, attempt, atomic_load(&active), slots,
		      IDLE_S))
		return -1;
	if (crashes_at && !strcmp(crashes_at, "head"))
		crash(attempt);
	for (int i = from + 1; i <= n_events; i++) {
		n = snprintf(event, sizeof(event), "id: %d\ndata: e%d\n\n", i,
			     i);
		if (send_text(fd, "%x\r\n%s\r\n", n, event))
			return -1;
		if (crashes_at)
			crash(attempt);
		sleep_ms(event_ms);
	}
	return send_text(fd, "0\r\n\r\n");
}

/* Returns -1 when the connection has to be closed. */
static int serve(int fd, const char *head, const char *body)
{
	char attempt[128], expected[128], last[32], parts[4096];
	const char *crashes_at = NULL;
	int result;

	if (!strncmp(head, "GET /health ", 12))
		return send_text(fd,
				 "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\n"
				 "Content-Length: 0\r\n\r\n",
				 id);
	if (!header(head, "x-attempt-id", attempt, sizeof(attempt)))
		return refuse(fd, 400, "-");
	if (header(head, "x-expect-instance", expected, sizeof(expected)) &&
	    strcmp(expected, id))
		return refuse(fd, 421, attempt);
	if (atomic_load(&active) >= slots + QUEUE)
		return refuse(fd, 503, attempt);
	header(head, "last-event-id", last, sizeof(last));
	atomic_fetch_add(&active, 1);
	record("run", attempt);
	if (deadly && strstr(body, deadly))
		crashes_at = dies;
	if (crashes_at && !strcmp(crashes_at, "begin"))
		crash(attempt);
	header(head, "x-prefix-hash", parts, sizeof(parts));
	if (deadly_part && strstr(parts, deadly_part))
		crashes_at = "head";
	result = n_events ? answer_stream(fd, attempt, atoi(last),
					 crashes_at) :
			    answer_plain(fd, attempt);
	atomic_fetch_sub(&active, 1);
	if (!result)
		record("done", attempt);
	return result;
}

static void *connection(void *arg)
{
	int fd = (int)(intptr_t)arg;
	struct timeval limit = { IDLE_S, 0 };
	char *head = malloc(HEAD_SIZE), *body = malloc(BODY_SIZE);

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	while (read_request(fd, head, body) && !serve(fd, head, body))
		;
	close(fd);
	free(head);
	free(body);
	return NULL;
}

static void run_incarnation(void)
{
	struct sockaddr_in a = address(listen_at);
	int on = 1, fd = socket(AF_INET, SOCK_STREAM, 0);
	pthread_t thread;

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	born_ms = now_ms();
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&a, sizeof(a)) || listen(fd, 128)) {
		perror("runner3: listen");
		_exit(1);
	}
	pthread_create(&thread, NULL, beat, NULL);
	for (;;) {
		int client = accept(fd, NULL, NULL);

		if (client < 0)
			continue;
		pthread_create(&thread, NULL, connection,
			       (void *)(intptr_t)client);
		pthread_detach(thread);
	}
}

int main(int argc, char **argv)
{
	for (int i = 1; i + 1 < argc; i += 2) {
		const char *name = argv[i], *value = argv[i + 1];

		if (!strcmp(name, "--listen"))
			listen_at = value;
		else if (!strcmp(name, "--store"))
			store_at = value;
		else if (!strcmp(name, "--id"))
			id = value;
		else if (!strcmp(name, "--service"))
			service = value;
		else if (!strcmp(name, "--zone"))
			zone = value;
		else if (!strcmp(name, "--deadly"))
			deadly = value;
		else if (!strcmp(name, "--dies"))
			dies = value;
		else if (!strcmp(name, "--deadly-part"))
			deadly_part = value;
		else if (!strcmp(name, "--slots"))
			slots = atoi(value);
		else if (!strcmp(name, "--work-ms"))
			work_ms = atoi(value);
		else if (!strcmp(name, "--down-ms"))
			down_ms = atoi(value);
		else if (!strcmp(name, "--events"))
			n_events = atoi(value);
		else if (!strcmp(name, "--event-ms"))
			event_ms = atoi(value);
		else if (!strcmp(name, "--record"))
			record_fd = open(value, O_WRONLY | O_APPEND | O_CREAT,
					 0644);
	}
	signal(SIGPIPE, SIG_IGN);
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	for (incarnation = 1;; incarnation++) {
		int status;
		pid_t pid = fork();

		if (!pid)
			run_incarnation();
		waitpid(pid, &status, 0);
		if (!WIFEXITED(status) || WEXITSTATUS(status) != CRASH_STATUS)
			return 1;
		sleep_ms(down_ms);
	}
}
