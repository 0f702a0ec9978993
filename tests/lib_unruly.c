#define _GNU_SOURCE
#include "tests/lib_unruly.h"

#include <check.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "platform/names.h"
#include "standin/lib_fetch.h"
#include "tests/lib_cluster.h"
#include "tests/lib_run_dir.h"
#include "tests/lib_tcp.h"

enum {
	PLATFORM_PORT = 7000,
	RUNNER_PORT = 9000,
	READY_MS = 15000,
	CALL_MS = 20000,
	STOP_MS = 3000,
	HEAD_BYTES = 32 * 1024,
	PAUSE_US = 20000,
};

#define TOKEN "0123456789abcdef"

static int64_t now_ms(void)
{
	return g_get_monotonic_time() / 1000;
}

/* The fleet's runner: one thread a connection, any number of requests. */

static size_t body_length(const char *head)
{
	const char *at = strcasestr(head, "\r\nContent-Length: ");

	return at ? strtoul(at + strlen("\r\nContent-Length: "), NULL, 10) : 0;
}

/* Reads a whole message; false at the end of the connection. */
static bool read_message(int fd, char *head)
{
	char *end = NULL;
	size_t n = 0, left;

	while (!end && n + 1 < HEAD_BYTES) {
		ssize_t got = tcp_receive(fd, head + n, HEAD_BYTES - 1 - n,
					  10 * CALL_MS);

		if (got <= 0)
			return false;
		n += (size_t)got;
		head[n] = '\0';
		end = strstr(head, "\r\n\r\n");
	}
	if (!end)
		return false;
	left = body_length(head) + (size_t)(end + 4 - head);
	left = left > n ? left - n : 0;
	while (left) {
		char bytes[HEAD_BYTES];
		ssize_t got = tcp_receive(fd, bytes, MIN(left, sizeof(bytes)),
					  CALL_MS);

		if (got <= 0)
			return false;
		left -= (size_t)got;
	}
	return true;
}

static void *serve(void *arg)
{
	int fd = GPOINTER_TO_INT(arg);
	g_autofree char *head = g_malloc(HEAD_BYTES);

	while (read_message(fd, head)) {
		bool is_large = strstr(head, " /desk/large") != NULL;
		g_autofree char *body =
			g_strnfill(is_large ? UNRULY_LARGE_ANSWER : 2, 'o');
		const char *id = strstr(head, HEADER_ATTEMPT_ID ": ");
		g_autofree char *answer = g_strdup_printf(
			"HTTP/1.1 200 OK\r\n%.*s\r\n" HEADER_SEAL
			": seal\r\nContent-Length: %zu\r\n\r\n%s",
			(int)(id ? strcspn(id, "\r") : 0), id ? id : "",
			strlen(body), body);

		if (!tcp_send_all(fd, answer, strlen(answer)))
			break;
	}
	close(fd);
	return NULL;
}

static void *accept_all(void *arg)
{
	int fd;

	while ((fd = accept(GPOINTER_TO_INT(arg), NULL, NULL)) >= 0)
		g_thread_unref(
			g_thread_new("serve", serve, GINT_TO_POINTER(fd)));
	return NULL;
}

static void put(const unruly_t *u, const char *topic, const char *key,
		const char *value)
{
	g_autofree char *path =
		g_strdup_printf("/standin/put?topic=%s&key=%s", topic, key);
	fetch_t f = { .method = EVHTTP_REQ_POST,
		      .address = u->platform.address,
		      .path = path,
		      .body = value };

	ck_assert(fetch_run(&f) && f.status == HTTP_OK);
	free(f.text);
}

static void start_fleet(unruly_t *u)
{
	g_autofree char *listen =
		g_strdup_printf("127.%d.0.1:%d", u->net, PLATFORM_PORT);
	g_autofree char *runner_ip = g_strdup_printf("127.%d.1.100", u->net);
	g_autofree char *entry = g_strdup_printf(
		"{\"service\":\"desk\",\"address\":\"%s:%d\",\"zone\":\"z\","
		"\"version\":\"1\",\"slots\":900,\"state\":\"ready\","
		"\"warmup_left_ms\":0,\"sequence\":1,\"born\":1}",
		runner_ip, RUNNER_PORT);

	ck_assert(process_start_standin(
		&u->platform, "standin-store",
		(const char *const[]){ "--listen", listen, "--entry-ms",
				       "600000", NULL }));
	put(u, TOPIC_OPERATOR, KEY_CONFIG,
	    "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
	    "\"path_prefix\":\"/desk/\",\"route_type\":\"safe\","
	    "\"timeout_ms\":15000,\"service\":\"desk\",\"max_attempts\":1}],"
	    "\"services\":[{\"name\":\"desk\",\"max_conns\":900}],"
	    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
	    "\"header_timeout_ms\":15000,\"idle_timeout_ms\":15000},"
	    "\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"key\"]}]}");
	put(u, TOPIC_RUNNERS, "i-0", entry);
	u->listener = tcp_listen_on(runner_ip, RUNNER_PORT);
	ck_assert_int_ge(u->listener, 0);
	g_thread_unref(g_thread_new("accept", accept_all,
				    GINT_TO_POINTER(u->listener)));
}

static void write_file(const unruly_t *u, const char *name, const char *text)
{
	g_autofree char *path = g_build_filename(u->dir, name, NULL);

	ck_assert(g_file_set_contents(path, text, -1, NULL));
}

static void publish(const unruly_t *u, const char *doc, const char *text)
{
	g_autofree char *path = g_build_filename(u->dir, "doc.json", NULL);
	const char *const args[] = {
		"publish",   "--platform", u->platform.address,
		"--doc",     doc,	   "--by",
		"tests",     "--token",	   TOKEN,
		"--wait-ms", "10000",	   path,
		NULL
	};
	g_autofree char *log = g_build_filename(u->dir, "ctl.log", NULL);
	process_t p;

	write_file(u, "doc.json", text);
	ck_assert(process_start(&p, "papayactl", args, log, false));
	ck_assert_int_eq(process_wait(&p, CALL_MS), 0);
}

static void start_profiles(unruly_t *u)
{
	g_autofree char *listen =
		g_strdup_printf("127.%d.0.1:%d", u->net, PLATFORM_PORT);
	g_autofree char *desk =
		g_strdup_printf("127.%d.1.100:%d", u->net, RUNNER_PORT);
	g_autofree char *path = g_build_filename(u->dir, "vms.json", NULL);
	g_autofree char *vms = g_strdup_printf(
		"[{\"name\":\"d\",\"kind\":\"entry\",\"region\":\"r\","
		"\"zone\":\"z\",\"state\":\"live\",\"address\":\"%s:8000\","
		"\"peer_address\":\"%s:8001\",\"admin_address\":\"%s:8002\"},"
		"{\"name\":\"desk\",\"kind\":\"runner\",\"region\":\"r\","
		"\"zone\":\"z\",\"state\":\"live\",\"service\":\"desk\","
		"\"address\":\"%s\",\"generation\":1,\"fencing\":true}]",
		u->ip, u->ip, u->ip, desk);

	write_file(u, "vms.json", vms);
	ck_assert(process_start_standin(&u->desk, "standin-desk",
					(const char *const[]){ "--listen", desk,
							       "--slots", "64",
							       NULL }));
	ck_assert(process_start_standin(&u->platform, "standin-platform",
					(const char *const[]){ "--listen",
							       listen, "--vms",
							       path, NULL }));
}

static void publish_profiles(const unruly_t *u)
{
	publish(u, "profile/p",
		"{\"tiers\":[{\"name\":\"t\",\"need_ms\":15000}],"
		"\"other_teams\":{}}");
	publish(u, "service/desk",
		"{\"profile\":\"p\",\"kind\":\"plain\",\"idempotent\":true,"
		"\"default_tier\":\"t\",\"slots\":64}");
}

/* The daemon inherits the limit of this process. */
static void start_daemon(unruly_t *u, const char *more)
{
	g_autofree char *settings = g_build_filename(u->dir, "s.json", NULL);
	g_autofree char *log = g_build_filename(u->dir, "log", NULL);
	g_autofree char *text = g_strdup_printf(
		"{\"name\":\"d\",\"zone\":\"z\",\"zones\":[\"z\"],"
		"\"fleet\":%s,\"listen\":\"%s:%d\","
		"\"peer_listen\":\"%s:8001\",\"admin_listen\":\"%s:8002\","
		"\"platform\":\"%s\",\"peer_secret\":\"" TOKEN "\","
		"\"operator_token\":\"" TOKEN "\",\"load_poll_ms\":0,"
		"\"caller_idle_ms\":15000,\"max_body_kib\":1024,"
		"\"memory_mb\":%d%s}",
		u->is_fleet ? "true" : "false", u->ip, UNRULY_PORT, u->ip,
		u->ip, u->platform.address, UNRULY_MEMORY_MB, more);
	const char *const args[] = { settings, NULL };
	struct rlimit before, lowered;

	write_file(u, "s.json", text);
	getrlimit(RLIMIT_NOFILE, &before);
	lowered = before;
	lowered.rlim_cur = UNRULY_DESCRIPTORS;
	ck_assert(!setrlimit(RLIMIT_NOFILE, &lowered));
	ck_assert(process_start(&u->daemon, "papayad", args, log, false));
	ck_assert(!setrlimit(RLIMIT_NOFILE, &before));
}

void unruly_init(unruly_t *u, bool is_fleet)
{
	unruly_init_with(u, is_fleet, "");
}

void unruly_init_with(unruly_t *u, bool is_fleet, const char *settings)
{
	int64_t give_up = now_ms() + READY_MS;

	signal(SIGPIPE, SIG_IGN);
	/* What a sanitizer keeps of freed memory would count as well. */
	g_setenv("ASAN_OPTIONS",
		 "quarantine_size_mb=1:thread_local_quarantine_size_kb=64",
		 TRUE);
	*u = (unruly_t){ .is_fleet = is_fleet, .listener = -1 };
	u->dir = g_dir_make_tmp("papaya-unruly-XXXXXX", NULL);
	u->net = cluster_claim_net(&u->lock);
	ck_assert_int_ne(u->net, 0);
	g_snprintf(u->ip, sizeof(u->ip), "127.%d.1.10", u->net);
	if (is_fleet)
		start_fleet(u);
	else
		start_profiles(u);
	start_daemon(u, settings);
	if (!is_fleet)
		publish_profiles(u);
	while (unruly_call(u, 2) != HTTP_OK) {
		ck_assert_msg(now_ms() < give_up, "the daemon doesn't serve");
		g_usleep(PAUSE_US);
	}
}

void unruly_finish(unruly_t *u)
{
	process_kill(&u->daemon);
	if (u->listener >= 0) {
		shutdown(u->listener, SHUT_RDWR);
		close(u->listener);
	}
	process_stop(&u->desk, STOP_MS);
	process_stop(&u->platform, STOP_MS);
	run_dir_remove(u->dir);
	close(u->lock);
	g_free(u->dir);
}

const char *unruly_head(const unruly_t *u)
{
	if (u->is_fleet)
		return "POST /desk/x HTTP/1.1\r\nHost: h\r\n" HEADER_ATTEMPT_ID
		       ": a1\r\n" HEADER_API_KEY ": key\r\n" HEADER_DEADLINE
		       ": 15000\r\n";
	return "POST /v1/services/desk/x HTTP/1.1\r\nHost: h\r\n";
}

/* Reads an answer to its end; returns its status, 0 if it is not whole. */
static int read_answer(int fd)
{
	g_autofree char *head = g_malloc0(HEAD_BYTES);
	int status = 0;

	if (read_message(fd, head))
		sscanf(head, "HTTP/1.1 %d", &status);
	return status;
}

int unruly_connect(const unruly_t *u)
{
	struct timeval limit = { CALL_MS / 1000, 0 };
	int fd = tcp_connect_to(u->ip, UNRULY_PORT);

	if (fd >= 0)
		setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
	return fd;
}

int unruly_call(const unruly_t *u, size_t len)
{
	int fd = unruly_connect(u);
	g_autofree char *body = g_strnfill(len, 'b');
	g_autofree char *head = g_strdup_printf("%sContent-Length: %zu\r\n\r\n",
						unruly_head(u), len);
	int status;

	if (fd < 0)
		return 0;
	tcp_send_all(fd, head, strlen(head));
	tcp_send_all(fd, body, len);
	status = read_answer(fd);
	close(fd);
	return status;
}

void unruly_watch(void *ctx)
{
	unruly_t *u = ctx;
	g_autofree char *path =
		g_strdup_printf("/proc/%d/fd", (int)u->daemon.pid);
	GDir *dir = g_dir_open(path, 0, NULL);
	int n = 0;

	if (!dir)
		return;
	while (g_dir_read_name(dir))
		n++;
	g_dir_close(dir);
	u->most_descriptors = MAX(u->most_descriptors, n);
}

bool unruly_is_alive(unruly_t *u)
{
	return process_wait(&u->daemon, 0) < 0;
}

int unruly_peak_mb(const unruly_t *u)
{
	g_autofree char *path =
		g_strdup_printf("/proc/%d/status", (int)u->daemon.pid);
	g_autofree char *text = NULL;
	const char *at;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		return -1;
	at = strstr(text, "VmHWM:");
	return at ? atoi(at + strlen("VmHWM:")) / 1000 : 0;
}
