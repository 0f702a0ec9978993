/*
 * A runner of the users' platform for the second review's cases. It registers
 * in the project's stand-in of the store and keeps its entry, answers each
 * request once, names the attempt and seals its answers, and drops a request
 * whose connection closes. It writes a line for each run: "run METHOD PATH ID
 * MS", in milliseconds of the monotonic clock.
 *
 * runner2 ADDRESS ID SERVICE ZONE STORE WORK_MS BYTES EVENTS
 *
 * EVENTS 0: a plain answer of BYTES bytes after WORK_MS. Otherwise a stream of
 * so many events of BYTES bytes, one each WORK_MS.
 */
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "sim2.h"

enum {
	BEAT_MS = 1000,
	CALL_MS = 1000,
	IDLE_MS = 30000,
	SEND_MS = 20000,
	TEXT = 1024,
	SLOTS = 6,
};

static const char *address, *id, *service, *zone, *store;
static int work_ms, n_bytes, n_events;
static long long born;

static void *keep_entry(void *unused)
{
	char body[TEXT], request[2 * TEXT];

	for (int sequence = 1;; sequence++) {
		snprintf(body, sizeof(body),
			 "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":"
			 "\"%s\",\"version\":\"v1\",\"slots\":%d,\"state\":"
			 "\"ready\",\"warmup_left_ms\":0,\"sequence\":%d,"
			 "\"born\":%lld}",
			 service, address, zone, SLOTS, sequence, born);
		snprintf(request, sizeof(request),
			 "POST /standin/put?topic=keyed.servers&key=%s "
			 "HTTP/1.1\r\nHost: store\r\nContent-Length: %zu\r\n"
			 "Connection: close\r\n\r\n%s",
			 id, strlen(body), body);
		sim_call(store, request, CALL_MS);
		sim_sleep(BEAT_MS);
	}
	return unused;
}

static bool send_text(int fd, const char *text)
{
	return sim_send(fd, text, strlen(text), SEND_MS);
}

static bool has_left(int fd)
{
	char byte;

	return !recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
}

static bool send_events(int fd)
{
	char *text = calloc(1, (size_t)n_bytes + TEXT);
	bool is_sent = true;

	for (int i = 1; i <= n_events && is_sent; i++) {
		char event[TEXT];
		size_t len;

		sim_sleep(work_ms);
		if (has_left(fd)) {
			is_sent = false;
			break;
		}
		snprintf(event, sizeof(event), "id: %d\ndata: ", i);
		len = strlen(event) + (size_t)n_bytes + 2;
		sprintf(text, "%zx\r\n%s", len, event);
		memset(text + strlen(text), 'e', (size_t)n_bytes);
		strcat(text, "\n\n\r\n");
		is_sent = send_text(fd, text);
		memset(text, 0, (size_t)n_bytes + TEXT);
	}
	free(text);
	return is_sent && send_text(fd, "0\r\n\r\n");
}

static bool answer(int fd, const char *head)
{
	bool has_body = strncmp(head, "HEAD ", 5) != 0;
	char attempt[SIM_HEAD], out[SIM_HEAD + TEXT];
	char method[32], path[TEXT];
	char *body;
	bool is_sent;

	sscanf(head, "%31s %1023s", method, path);
	sim_header(head, "X-Attempt-Id", attempt, sizeof(attempt));
	printf("run %s %s %.60s %lld\n", method, path, attempt,
	       (long long)sim_now());
	fflush(stdout);
	snprintf(out, sizeof(out),
		 "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
		 "X-Server-Seal: seal.%.60s\r\nX-Instance-Id: %s\r\n",
		 attempt, attempt, id);
	if (n_events)
		return strcat(out, "Content-Type: text/event-stream\r\n"
				   "Transfer-Encoding: chunked\r\n\r\n") &&
		       send_text(fd, out) && send_events(fd);
	sim_sleep(work_ms);
	if (has_left(fd))
		return false;
	sprintf(out + strlen(out), "Content-Length: %d\r\n\r\n", n_bytes);
	if (!has_body)
		return send_text(fd, out);
	body = malloc((size_t)n_bytes + 1);
	memset(body, 'b', (size_t)n_bytes);
	is_sent = send_text(fd, out) &&
		  sim_send(fd, body, (size_t)n_bytes, SEND_MS);
	free(body);
	return is_sent;
}

static void *serve(void *arg)
{
	int fd = (int)(intptr_t)arg;
	sim_input_t *in = malloc(sizeof(*in));
	char head[SIM_HEAD], length[TEXT], expected[TEXT];

	sim_input_init(in, fd);
	while (sim_read_head(in, head, sim_now() + IDLE_MS)) {
		sim_header(head, "Content-Length", length, sizeof(length));
		if (!sim_skip(in, strtoul(length, NULL, 10),
			      sim_now() + IDLE_MS))
			break;
		if (sim_header(head, "X-Expect-Instance", expected,
			       sizeof(expected)) &&
		    strcmp(expected, id)) {
			send_text(fd, "HTTP/1.1 421 Misdirected Request\r\n"
				      "Content-Length: 0\r\n\r\n");
			continue;
		}
		if (!answer(fd, head))
			break;
	}
	close(fd);
	free(in);
	return NULL;
}

int main(int argc, char **argv)
{
	pthread_t thread;
	int listener, on = 1;

	if (argc != 9)
		return 2;
	address = argv[1];
	id = argv[2];
	service = argv[3];
	zone = argv[4];
	store = argv[5];
	work_ms = atoi(argv[6]);
	n_bytes = atoi(argv[7]);
	n_events = atoi(argv[8]);
	born = (long long)time(NULL) * 1000;
	listener = sim_listen(address);
	if (listener < 0)
		return 2;
	if (strcmp(store, "-"))
		pthread_create(&thread, NULL, keep_entry, NULL);
	for (;;) {
		int fd = accept(listener, NULL, NULL);

		if (fd < 0)
			continue;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		pthread_create(&thread, NULL, serve, (void *)(intptr_t)fd);
		pthread_detach(thread);
	}
}
