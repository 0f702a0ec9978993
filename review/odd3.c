/*
 * Stand-in for a store in which another writer leaves an entry with an odd key:
 * passes all calls on to the store's stand-in, which can't keep such a key, and
 * shows the key "zz" of the runners' entries as the two bytes 0 and 1. A read of
 * the log has them as they are, a list as JSON has to write them,
 * "\u0000\u0001". Nothing else is changed, neither offsets nor values.
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <unistd.h>

enum { CALL_SIZE = 4 << 20 /* bytes */ };

static const char list_call[] = "GET /log-newest?topic=keyed.servers&part=0 ";
static const char log_call[] = "GET /log-read?topic=keyed.servers&part=0&";
/* The key in a record of the log, after its length; and in a list. */
static const char record_key[] = "\002zz", odd_record_key[] = "\002\000\001";
static const char list_key[] = "\"key\": \"zz\"", packed_key[] = "\"key\":\"zz\"";
static const char odd_list_key[] = "\"key\":\"\\u0000\\u0001\"";
static struct sockaddr_in store;

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

/* Reads a request with its body; returns its length, 0 at an end. */
static size_t read_call(int fd, char *call)
{
	size_t n = 0, length = 0;
	char *end = NULL, *header;

	while (!end || n < (size_t)(end + 4 - call) + length) {
		ssize_t k = recv(fd, call + n, CALL_SIZE - 1 - n, 0);

		if (k <= 0)
			return 0;
		n += (size_t)k;
		call[n] = '\0';
		if (end || !(end = strstr(call, "\r\n\r\n")))
			continue;
		header = strcasestr(call, "\r\ncontent-length:");
		if (header && header < end)
			length = (size_t)atol(header + 17);
	}
	return n;
}

/* Writes the list with the odd key in place of "zz". */
static void send_list(int fd, const char *answer, size_t n)
{
	const char *body = strstr(answer, "\r\n\r\n");
	const char *epoch = strcasestr(answer, "\r\nStore-Era:");
	const char *key = strstr(answer, list_key);
	size_t length = strlen(list_key), before, after;
	char head[512];

	if (!key) {
		key = strstr(answer, packed_key);
		length = strlen(packed_key);
	}
	if (!body || !key || strncmp(answer + 9, "200", 3)) {
		send_all(fd, answer, n);
		return;
	}
	body += 4;
	before = (size_t)(key - body);
	after = n - (size_t)(key + length - answer);
	snprintf(head, sizeof(head),
		 "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
		 "%.*s%sConnection: close\r\nContent-Length: %zu\r\n\r\n",
		 epoch ? (int)strcspn(epoch + 2, "\r") : 0,
		 epoch ? epoch + 2 : "", epoch ? "\r\n" : "",
		 before + strlen(odd_list_key) + after);
	send_all(fd, head, strlen(head));
	send_all(fd, body, before);
	send_all(fd, odd_list_key, strlen(odd_list_key));
	send_all(fd, key + length, after);
}

/* Writes what was read of the log with the odd key in place of "zz". */
static void send_log(int fd, char *answer, size_t n)
{
	char *at = answer;

	while ((at = memmem(at, n - (size_t)(at - answer), record_key,
			    strlen(record_key))))
		memcpy(at, odd_record_key, strlen(record_key));
	send_all(fd, answer, n);
}

static void *connection(void *arg)
{
	int fd = (int)(intptr_t)arg, out = socket(AF_INET, SOCK_STREAM, 0);
	char *call = malloc(CALL_SIZE), *answer = malloc(CALL_SIZE);
	size_t n = read_call(fd, call), got = 0;
	ssize_t k;

	if (n && !connect(out, (struct sockaddr *)&store, sizeof(store)) &&
	    !send_all(out, call, n)) {
		int is_list = !strncmp(call, list_call, strlen(list_call));
		int is_log = !strncmp(call, log_call, strlen(log_call));

		while ((k = recv(out, answer + got, CALL_SIZE - 1 - got, 0)) >
		       0) {
			if (is_list || is_log)
				got += (size_t)k;
			else if (send_all(fd, answer, (size_t)k))
				break;
		}
		answer[got] = '\0';
		if (is_list)
			send_list(fd, answer, got);
		else if (is_log)
			send_log(fd, answer, got);
	}
	close(out);
	close(fd);
	free(call);
	free(answer);
	return NULL;
}

int main(int argc, char **argv)
{
	int on = 1, fd = socket(AF_INET, SOCK_STREAM, 0);
	struct sockaddr_in a;
	pthread_t thread;

	if (argc < 3)
		return 2;
	a = address(argv[1]);
	store = address(argv[2]);
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	signal(SIGPIPE, SIG_IGN);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&a, sizeof(a)) || listen(fd, 128)) {
		perror("odd3: listen");
		return 1;
	}
	for (;;) {
		int client = accept(fd, NULL, NULL);

		if (client < 0)
			continue;
		pthread_create(&thread, NULL, connection,
			       (void *)(intptr_t)client);
		pthread_detach(thread);
	}
}
