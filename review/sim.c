#define _GNU_SOURCE
#include "sim.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

enum { MAX_PROCESSES = 64, READY_LIMIT_MS = 20000, PATH_SIZE = 512 };

static pid_t processes[MAX_PROCESSES];
static int n_processes;
static FILE *record_file;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int64_t started;
static char dir[PATH_SIZE] = "";
static int net;
static bool has_trouble;

static int64_t clock_ms(clockid_t id)
{
	struct timespec t;

	clock_gettime(id, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

int64_t sim_ms(void)
{
	return clock_ms(CLOCK_MONOTONIC) - started;
}

void sim_sleep(int ms)
{
	usleep((useconds_t)ms * 1000);
}

bool sim_has_trouble(void)
{
	return has_trouble;
}

void sim_record(const char *fmt, ...)
{
	va_list args;

	pthread_mutex_lock(&lock);
	fprintf(record_file, "%7lld ", (long long)sim_ms());
	va_start(args, fmt);
	vfprintf(record_file, fmt, args);
	va_end(args);
	fputc('\n', record_file);
	fflush(record_file);
	pthread_mutex_unlock(&lock);
}

void sim_end(int status)
{
	char command[PATH_SIZE + 16];

	sim_record("end: %s", status == SIM_HELD   ? "the rule held" :
			      status == SIM_BROKEN ? "the rule was broken" :
						     "the case could not run");
	for (int i = 0; i < n_processes; i++)
		kill(processes[i], SIGCONT), kill(processes[i], SIGKILL);
	for (int i = 0; i < n_processes; i++)
		waitpid(processes[i], NULL, 0);
	if (dir[0] && !getenv("KEEP")) {
		snprintf(command, sizeof(command), "rm -rf '%s'", dir);
		if (system(command))
			fprintf(stderr, "%s is left\n", dir);
	}
	_exit(status);
}

void sim_fail(const char *what)
{
	sim_record("could not run: %s (%s)", what, strerror(errno));
	sim_end(SIM_FAILED);
}

const char *sim_ip(int zone, int host)
{
	static __thread char text[8][32];
	static __thread int next;
	char *out = text[next++ % 8];

	snprintf(out, 32, "127.%d.%d.%d", net, zone, host);
	return out;
}

static struct sockaddr_in address_of(const char *ip, int port)
{
	struct sockaddr_in a = { .sin_family = AF_INET };

	a.sin_port = htons((uint16_t)port);
	inet_pton(AF_INET, ip, &a.sin_addr);
	return a;
}

int sim_listen(const char *ip, int port, int receive_buffer)
{
	struct sockaddr_in a = address_of(ip, port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (receive_buffer)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
			   sizeof(receive_buffer));
	if (bind(fd, (struct sockaddr *)&a, sizeof(a)) || listen(fd, 128)) {
		close(fd);
		return -1;
	}
	return fd;
}

int sim_connect(const char *ip, int port)
{
	struct sockaddr_in a = address_of(ip, port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	if (connect(fd, (struct sockaddr *)&a, sizeof(a))) {
		close(fd);
		return -1;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return fd;
}

bool sim_send(int fd, const void *data, size_t len)
{
	const char *p = data;

	while (len) {
		ssize_t n = send(fd, p, len, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		p += n;
		len -= (size_t)n;
	}
	return true;
}

void sim_reset(int fd)
{
	struct linger now = { 1, 0 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
	close(fd);
}

size_t sim_read_head(int fd, char *buf, size_t size, size_t *n_read)
{
	size_t n = *n_read;

	for (;;) {
		char *end;
		ssize_t got;

		buf[n] = '\0';
		end = strstr(buf, "\r\n\r\n");
		*n_read = n;
		if (end)
			return (size_t)(end + 4 - buf);
		if (n + 1 >= size)
			return 0;
		got = recv(fd, buf + n, size - 1 - n, 0);
		if (got <= 0)
			return 0;
		n += (size_t)got;
	}
}

bool sim_header(const char *head, const char *name, char *out, size_t size)
{
	size_t n = strlen(name);

	for (const char *p = strstr(head, "\r\n"); p; p = strstr(p, "\r\n")) {
		const char *end;

		p += 2;
		if (!strncmp(p, "\r\n", 2))
			return false;
		if (strncasecmp(p, name, n) || p[n] != ':')
			continue;
		p += n + 1;
		while (*p == ' ')
			p++;
		end = strstr(p, "\r\n");
		if (!end)
			return false;
		snprintf(out, size, "%.*s", (int)(end - p), p);
		return true;
	}
	return false;
}

/* Receives more bytes within the limit; 0 at the end, -1 on an error. */
static ssize_t receive(int fd, char *buf, size_t size, int64_t until)
{
	struct pollfd p = { fd, POLLIN, 0 };
	int64_t left = until - sim_ms();

	if (left <= 0 || poll(&p, 1, (int)left) <= 0)
		return -1;
	return recv(fd, buf, size, 0);
}

/* Decodes chunks in place; true when the last one is there. */
static bool decode_chunks(char *p, size_t n, size_t *out)
{
	size_t at = 0, to = 0;

	for (;;) {
		char *line = p + at;
		char *end = memmem(line, n - at, "\r\n", 2);
		size_t len;

		*out = to;
		if (!end)
			return false;
		len = strtoul(line, NULL, 16);
		at = (size_t)(end + 2 - p);
		if (!len)
			return n - at >= 2;
		if (n - at < len + 2) {
			len = n - at < len ? n - at : len;
			memmove(p + to, p + at, len);
			*out = to + len;
			return false;
		}
		memmove(p + to, p + at, len);
		to += len;
		at += len + 2;
	}
}

void sim_read_answer(int fd, sim_answer_t *out, int timeout_ms)
{
	int64_t until = sim_ms() + timeout_ms;
	size_t size = 1 << 16, n = 0, head = 0;
	char *buf = malloc(size);
	char value[64];
	long length = -1;
	bool is_chunked = false, at_end = false;

	memset(out, 0, sizeof(*out));
	while (!at_end) {
		ssize_t got;

		if (size - n < 4096)
			buf = realloc(buf, size *= 2);
		if (head && length >= 0 && n - head >= (size_t)length)
			break;
		if (head && is_chunked && n >= head + 5 &&
		    !memcmp(buf + n - 5, "0\r\n\r\n", 5))
			break;
		got = receive(fd, buf + n, size - 1 - n, until);
		at_end = got <= 0;
		if (got > 0)
			n += (size_t)got;
		buf[n] = '\0';
		if (!head && strstr(buf, "\r\n\r\n")) {
			head = (size_t)(strstr(buf, "\r\n\r\n") + 4 - buf);
			snprintf(out->head, sizeof(out->head), "%.*s",
				 (int)head, buf);
			sscanf(buf, "HTTP/1.1 %d", &out->status);
			sim_header(out->head, "X-Server-Seal", out->seal,
				   sizeof(out->seal));
			if (sim_header(out->head, "Content-Length", value,
				       sizeof(value)))
				length = strtol(value, NULL, 10);
			is_chunked = sim_header(out->head, "Transfer-Encoding",
						value, sizeof(value));
		}
	}
	out->body = malloc(n - head + 1);
	memcpy(out->body, buf + head, n - head);
	out->len = n - head;
	if (is_chunked)
		out->is_complete =
			decode_chunks(out->body, out->len, &out->len);
	else
		out->is_complete = head && length >= 0 &&
				   out->len >= (size_t)length;
	out->body[out->len] = '\0';
	free(buf);
}

void sim_thread(void *(*fn)(void *), void *arg)
{
	pthread_t thread;

	if (pthread_create(&thread, NULL, fn, arg))
		sim_fail("start a thread");
	pthread_detach(thread);
}

typedef struct server {
	int listener;
	sim_serve_fn fn;
	void *ctx;
} server_t;

typedef struct connection {
	int fd;
	sim_serve_fn fn;
	void *ctx;
} connection_t;

static void *serve_connection(void *arg)
{
	connection_t *c = arg;

	c->fn(c->fd, c->ctx);
	free(c);
	return NULL;
}

static void *accept_connections(void *arg)
{
	server_t *s = arg;
	int one = 1;
	int fd;

	while ((fd = accept(s->listener, NULL, NULL)) >= 0) {
		connection_t *c = malloc(sizeof(*c));

		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		*c = (connection_t){ fd, s->fn, s->ctx };
		sim_thread(serve_connection, c);
	}
	return NULL;
}

void sim_serve(const char *ip, int port, int receive_buffer, sim_serve_fn fn,
	       void *ctx)
{
	server_t *s = malloc(sizeof(*s));

	*s = (server_t){ sim_listen(ip, port, receive_buffer), fn, ctx };
	if (s->listener < 0)
		sim_fail("listen");
	sim_thread(accept_connections, s);
}

bool sim_read_request(int fd, sim_request_t *out)
{
	char value[64];
	size_t n = 0, head, left = 0;
	char rest[4096];

	memset(out, 0, sizeof(*out));
	head = sim_read_head(fd, out->head, sizeof(out->head), &n);
	if (!head)
		return false;
	sscanf(out->head, "%15s %255s", out->method, out->path);
	sim_header(out->head, "X-Attempt-Id", out->attempt,
		   sizeof(out->attempt));
	if (sim_header(out->head, "Content-Length", value, sizeof(value)))
		left = strtoul(value, NULL, 10);
	left -= n - head < left ? n - head : left;
	out->head[head] = '\0';
	while (left) {
		ssize_t got = recv(fd, rest,
				   left < sizeof(rest) ? left : sizeof(rest),
				   0);

		if (got <= 0)
			return false;
		left -= (size_t)got;
	}
	return true;
}

bool sim_reply(int fd, int status, const char *headers, const char *body)
{
	char head[1024];

	snprintf(head, sizeof(head),
		 "HTTP/1.1 %d Status\r\n%sContent-Length: %zu\r\n\r\n", status,
		 headers, strlen(body));
	return sim_send(fd, head, strlen(head)) &&
	       sim_send(fd, body, strlen(body));
}

bool sim_call(int zone, int n, const char *head, int timeout_ms,
	      sim_answer_t *out)
{
	int fd = sim_connect(sim_ip(zone, n), SIM_FRONT_PORT);

	memset(out, 0, sizeof(*out));
	if (fd < 0)
		return false;
	sim_send(fd, head, strlen(head));
	sim_read_answer(fd, out, timeout_ms);
	close(fd);
	return true;
}

static pid_t spawn(const char *log, char *const argv[])
{
	char path[PATH_SIZE + 64];
	pid_t pid;

	snprintf(path, sizeof(path), "%s/%s", dir, log);
	pid = fork();
	if (!pid) {
		int fd = open(path, O_WRONLY | O_CREAT | O_APPEND, 0600);

		/* Ends with the case, also if that is killed. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		execv(argv[0], argv);
		_exit(127);
	}
	if (pid < 0 || n_processes == MAX_PROCESSES)
		sim_fail("start a process");
	processes[n_processes++] = pid;
	return pid;
}

/* A request to the store's stand-in; returns the status. */
static int post(const char *path, const char *body)
{
	char head[PATH_SIZE + 128];
	sim_answer_t answer;
	int fd = sim_connect(sim_ip(0, 1), SIM_STORE_PORT);

	if (fd < 0)
		return 0;
	snprintf(head, sizeof(head),
		 "POST %s HTTP/1.1\r\nHost: store\r\nContent-Length: "
		 "%zu\r\nConnection: close\r\n\r\n",
		 path, strlen(body));
	if (sim_send(fd, head, strlen(head)))
		sim_send(fd, body, strlen(body));
	sim_read_answer(fd, &answer, 3000);
	free(answer.body);
	close(fd);
	return answer.status;
}

void sim_put(const char *topic, const char *key, const char *value)
{
	char path[PATH_SIZE];

	snprintf(path, sizeof(path), "/standin/put?topic=%s&key=%s", topic,
		 key);
	if (post(path, value) != 200)
		sim_fail("write to the store");
}

void sim_config(int version, const char *routes, const char *services,
		const char *tenants)
{
	static char text[65536];

	snprintf(text, sizeof(text),
		 "{\"version\":%d,\"routes\":%s,\"services\":%s,"
		 "\"limits\":{\"max_header_bytes\":16384,"
		 "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
		 "\"idle_timeout_ms\":15000},\"tenants\":%s}",
		 version, routes, services, tenants);
	sim_put("keyed.op", "config", text);
	sim_record("config %d is acknowledged", version);
}

static void start_store(void)
{
	char listen[64];
	char *argv[] = { "target/standin-store", "--listen", listen, NULL };

	for (int i = 0; i < 100; i++) {
		int fd;

		net = 20 + (getpid() + i) % 200;
		fd = sim_listen(sim_ip(0, 1), SIM_STORE_PORT, 0);
		if (fd < 0)
			continue;
		close(fd);
		break;
	}
	snprintf(listen, sizeof(listen), "%s:%d", sim_ip(0, 1), SIM_STORE_PORT);
	spawn("store.log", argv);
	for (int i = 0; i < 100; i++) {
		int fd = sim_connect(sim_ip(0, 1), SIM_STORE_PORT);

		if (fd >= 0) {
			close(fd);
			return;
		}
		sim_sleep(50);
	}
	sim_fail("start the store");
}

void sim_start(int argc, char **argv)
{
	const char *trouble = getenv("TROUBLE");

	signal(SIGPIPE, SIG_IGN);
	started = clock_ms(CLOCK_MONOTONIC);
	has_trouble = !trouble || strcmp(trouble, "0");
	record_file = fopen(argc > 1 ? argv[1] : "record.txt", "w");
	if (!record_file)
		exit(SIM_FAILED);
	snprintf(dir, sizeof(dir), "%s/papaya-review-XXXXXX",
		 getenv("TMPDIR") ? getenv("TMPDIR") : "/tmp");
	if (!mkdtemp(dir))
		exit(SIM_FAILED);
	sim_record("start: %s disruption", has_trouble ? "with" : "without");
	start_store();
}

/* Fills in deploy/papayad.json as the platform does for three small zones. */
static void write_settings(const char *path, int zone, int n)
{
	FILE *f = fopen(path, "w");
	const char *ip = sim_ip(zone, n);

	if (!f)
		sim_fail("write settings");
	fprintf(f,
		"{\"name\":\"%s\",\"zone\":\"z%d\",\"zones\":[\"z1\",\"z2\","
		"\"z3\"],\"places\":[\"z1 z1\",\"z2 z2\",\"z3 z3\"],"
		"\"fleet\":true,\"listen\":\"%s:8221\",\"ready_listen\":"
		"\"%s:8224\",\"peer_listen\":\"%s:7600\",\"admin_listen\":"
		"\"%s:7615\",\"platform\":\"%s:8225\",\"seed_addresses\":["
		"\"%s:8229\",\"%s:8229\",\"%s:8229\"],",
		ip, zone, ip, ip, ip, ip, sim_ip(0, 1), sim_ip(1, 10),
		sim_ip(2, 10), sim_ip(3, 10));
	fprintf(f,
		"\"peer_secret\":\"daemons-of-papayabank-review\","
		"\"operator_token\":\"operator-of-edge-%d-%d-0000\","
		"\"heartbeat_ms\":600,\"heartbeat_timeout_ms\":2500,"
		"\"connect_timeout_ms\":400,\"platform_timeout_ms\":800,"
		"\"drain_ms\":\"8 s\",\"limit_overrun\":0.1,"
		"\"limit_slack\":140000,\"limit_window_ms\":\"8 s\","
		"\"retry_ratio\":0.2,\"retry_slack\":113,"
		"\"retry_window_ms\":\"10 s\",\"load_poll_ms\":0}\n",
		zone, n);
	fclose(f);
}

pid_t sim_daemon(int zone, int n)
{
	char path[PATH_SIZE + 64], log[64];
	char *argv[] = { "target/papayad", path, NULL };

	snprintf(path, sizeof(path), "%s/daemon-%d-%d.json", dir, zone, n);
	snprintf(log, sizeof(log), "daemon-%d-%d.log", zone, n);
	write_settings(path, zone, n);
	return spawn(log, argv);
}

void sim_await_ready(int zone, int n)
{
	static const char request[] =
		"GET /readiness HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n";
	int64_t until = sim_ms() + READY_LIMIT_MS;

	while (sim_ms() < until) {
		int fd = sim_connect(sim_ip(zone, n), SIM_READY_PORT);
		sim_answer_t answer = { 0 };

		if (fd >= 0) {
			sim_send(fd, request, sizeof(request) - 1);
			sim_read_answer(fd, &answer, 1000);
			free(answer.body);
			close(fd);
		}
		if (answer.status == 200)
			return;
		sim_sleep(100);
	}
	sim_fail("wait until a daemon is ready");
}

void sim_runner_write(sim_runner_t *r)
{
	char text[512];

	snprintf(text, sizeof(text),
		 "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
		 "\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\","
		 "\"warmup_left_ms\":0,\"sequence\":%d,\"born\":%lld}",
		 r->service, r->address, r->zone, r->slots ? r->slots : 6,
		 r->state, r->sequence++, (long long)r->born_ms);
	sim_put("keyed.servers", r->id, text);
}

static void *renew(void *arg)
{
	sim_runner_t *r = arg;

	while (r->renews) {
		sim_sleep(SIM_HEARTBEAT_MS);
		if (r->renews)
			sim_runner_write(r);
	}
	return NULL;
}

void sim_runner_register(sim_runner_t *r)
{
	r->born_ms = clock_ms(CLOCK_REALTIME);
	r->sequence = 1;
	r->state = "ready";
	r->renews = true;
	sim_runner_write(r);
	sim_thread(renew, r);
}
