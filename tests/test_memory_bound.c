/*
 * A real daemon with little memory, before a runner whose answers have no end,
 * callers that send long bodies, and callers that don't read. Its memory must
 * stay within what it was given, and calls to a sound runner be served.
 */
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "platform/names.h"
#include "standin/lib_fetch.h"
#include "tests/lib_cluster.h"
#include "tests/lib_run_dir.h"
#include "tests/lib_suite.h"
#include "tests/lib_tcp.h"

enum {
	MEMORY_MB = 112, /* of the smallest VMs */
	CALLERS = 120,
	RUN_MS = 4000,
	CALL_MS = 2500,
	UNREAD_US = 2500 * 1000, /* by callers that don't read */
	PROBE_US = 100 * 1000, /* between sound calls */
	READY_MS = 10000,
	PORT = 8000, /* of the daemon */
	RUNNER_PORT = 9000,
	STORE_PORT = 7000,
	BODY_BYTES = 4 * 1000 * 1000,
	BLOCK = 16384,
	STOP_MS = 3000,
};

typedef struct scene {
	char *dir;
	int net, lock;
	process_t store, daemon;
	char ip[32];
	int listeners[2];
	GThread *runners[2];
	gint is_over;
	int probes, probes_served;

} scene_t;

/* What the callers of a scene do. */
typedef struct calls {
	const char *path;
	size_t body; /* bytes */
	bool reads;
} calls_t;

static int64_t now_ms(void)
{
	return g_get_monotonic_time() / 1000;
}

/* Reads up to the end of a request's head, which holds no body beyond it. */
static bool read_head(int fd, char *head, size_t size)
{
	size_t n = 0;

	head[0] = '\0';
	while (!strstr(head, "\r\n\r\n") && n + 1 < size) {
		ssize_t got = tcp_receive(fd, head + n, size - 1 - n, CALL_MS);

		if (got <= 0)
			return false;
		n += (size_t)got;
		head[n] = '\0';
	}
	return true;
}

static char *head_of(const char *request, const char *more)
{
	const char *at = strstr(request, HEADER_ATTEMPT_ID ": ");
	size_t len = at ? strcspn(at, "\r") : 0;

	return g_strdup_printf("HTTP/1.1 200 OK\r\n%.*s\r\n" HEADER_SEAL
			       ": seal\r\n%s\r\n",
			       (int)len, at ? at : "", more);
}

/* Answers without an end, until the daemon closes. */
static void *serve_endless(void *arg)
{
	int fd = GPOINTER_TO_INT(arg);
	char block[BLOCK], request[BLOCK];

	memset(block, 'b', BLOCK);
	if (read_head(fd, request, sizeof(request))) {
		g_autofree char *head = head_of(
			request, strstr(request, " /events/") ?
					 "Content-Type: text/event-stream\r\n" :
					 "");

		if (strstr(request, " /events/"))
			for (int i = 0; i + 100 < BLOCK; i += 100)
				block[i] = block[i + 1] = '\n';
		tcp_send_all(fd, head, strlen(head));
		while (tcp_send_all(fd, block, BLOCK))
			continue;
	}
	close(fd);
	return NULL;
}

static void *serve_sound(void *arg)
{
	int fd = GPOINTER_TO_INT(arg);
	char request[BLOCK];

	while (read_head(fd, request, sizeof(request))) {
		g_autofree char *head =
			head_of(request, "Content-Length: 2\r\n");

		if (!tcp_send_all(fd, head, strlen(head)) ||
		    !tcp_send_all(fd, "ok", 2))
			break;
	}
	close(fd);
	return NULL;
}

static void *accept_endless(void *arg)
{
	int fd;

	while ((fd = accept(GPOINTER_TO_INT(arg), NULL, NULL)) >= 0)
		g_thread_unref(g_thread_new("endless", serve_endless,
					    GINT_TO_POINTER(fd)));
	return NULL;
}

static void *accept_sound(void *arg)
{
	int fd;

	while ((fd = accept(GPOINTER_TO_INT(arg), NULL, NULL)) >= 0)
		g_thread_unref(g_thread_new("sound", serve_sound,
					    GINT_TO_POINTER(fd)));
	return NULL;
}

static void put(const scene_t *s, const char *topic, const char *key,
		const char *value)
{
	g_autofree char *path =
		g_strdup_printf("/standin/put?topic=%s&key=%s", topic, key);
	fetch_t f = { .method = EVHTTP_REQ_POST,
		      .address = s->store.address,
		      .path = path,
		      .body = value };

	ck_assert(fetch_run(&f) && f.status == HTTP_OK);
	free(f.text);
}

static void put_config(const scene_t *s)
{
	put(s, TOPIC_OPERATOR, KEY_CONFIG,
	    "{\"version\":1,\"routes\":["
	    "{\"name\":\"endless\",\"host\":\"h\",\"path_prefix\":\"/endless/"
	    "\",\"route_type\":\"unsafe\",\"timeout_ms\":2000,\"service\":"
	    "\"faulty\",\"max_attempts\":1},"
	    "{\"name\":\"again\",\"host\":\"h\",\"path_prefix\":\"/again/"
	    "\",\"route_type\":\"safe\",\"timeout_ms\":2000,\"service\":"
	    "\"faulty\",\"max_attempts\":3},"
	    "{\"name\":\"events\",\"host\":\"h\",\"path_prefix\":\"/events/"
	    "\",\"route_type\":\"streaming\",\"timeout_ms\":2000,\"service\":"
	    "\"faulty\",\"max_attempts\":1},"
	    "{\"name\":\"sound\",\"host\":\"h\",\"path_prefix\":\"/sound/"
	    "\",\"route_type\":\"unsafe\",\"timeout_ms\":2000,\"service\":"
	    "\"sound\",\"max_attempts\":1}],"
	    "\"services\":[{\"name\":\"faulty\",\"max_conns\":900},"
	    "{\"name\":\"sound\",\"max_conns\":900}],"
	    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
	    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
	    "\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"key\"]}]}");
}

static void put_runner(const scene_t *s, int i, const char *service)
{
	g_autofree char *id = g_strdup_printf("i-%d", i);
	g_autofree char *entry = g_strdup_printf(
		"{\"service\":\"%s\",\"address\":\"127.%d.1.%d:%d\","
		"\"zone\":\"z\",\"version\":\"1\",\"slots\":%d,"
		"\"state\":\"ready\",\"warmup_left_ms\":0,\"sequence\":1,"
		"\"born\":1}",
		service, s->net, 100 + i, RUNNER_PORT, CALLERS);

	put(s, TOPIC_RUNNERS, id, entry);
}

static void start_daemon(scene_t *s)
{
	g_autofree char *settings = g_build_filename(s->dir, "s.json", NULL);
	g_autofree char *log = g_build_filename(s->dir, "log", NULL);
	g_autofree char *text = g_strdup_printf(
		"{\"name\":\"d\",\"zone\":\"z\",\"zones\":[\"z\"],"
		"\"fleet\":true,\"listen\":\"%s:%d\","
		"\"ready_listen\":\"%s:8003\",\"peer_listen\":\"%s:8001\","
		"\"admin_listen\":\"%s:8002\",\"platform\":\"%s\","
		"\"peer_secret\":\"0123456789abcdef\","
		"\"operator_token\":\"0123456789abcdef\","
		"\"load_poll_ms\":0,\"memory_mb\":%d}",
		s->ip, PORT, s->ip, s->ip, s->ip, s->store.address, MEMORY_MB);
	const char *const args[] = { settings, NULL };

	ck_assert(g_file_set_contents(settings, text, -1, NULL));
	ck_assert(process_start(&s->daemon, "papayad", args, log, false));
}

static void start_runner(scene_t *s, int i, GThreadFunc accept_fn)
{
	g_autofree char *ip = g_strdup_printf("127.%d.1.%d", s->net, 100 + i);

	s->listeners[i] = tcp_listen_on(ip, RUNNER_PORT);
	ck_assert_int_ge(s->listeners[i], 0);
	s->runners[i] = g_thread_new("accept", accept_fn,
				     GINT_TO_POINTER(s->listeners[i]));
}

/* Sends one request; returns the answer's status, 0 if none came. */
static int call(const scene_t *s, const calls_t *c)
{
	static const char body[BODY_BYTES];
	int fd = tcp_connect_to(s->ip, PORT);
	g_autofree char *head = g_strdup_printf(
		"POST %s HTTP/1.1\r\nHost: h\r\n" HEADER_ATTEMPT_ID
		": a%d\r\n" HEADER_API_KEY ": key\r\n" HEADER_DEADLINE
		": %d\r\nContent-Length: %zu\r\n\r\n",
		c->path, fd, CALL_MS, c->body);
	char answer[BLOCK] = "";
	int status = 0;
	ssize_t n;

	if (fd < 0)
		return 0;
	tcp_send_all(fd, head, strlen(head));
	tcp_send_all(fd, body, c->body);
	if (!c->reads)
		g_usleep(UNREAD_US);
	n = tcp_receive(fd, answer, sizeof(answer) - 1, CALL_MS);
	answer[MAX(n, 0)] = '\0';
	sscanf(answer, "HTTP/1.1 %d", &status);
	close(fd);
	return status;
}

/* A caller's thread. */
typedef struct caller {
	scene_t *scene;
	const calls_t *calls;
	GThread *thread;
	int refusals;
} caller_t;

static void *run_caller(void *arg)
{
	caller_t *c = arg;

	while (!g_atomic_int_get(&c->scene->is_over))
		c->refusals += call(c->scene, c->calls) == HTTP_SERVUNAVAIL;
	return NULL;
}

static void probe(scene_t *s)
{
	static const calls_t sound = { "/sound/x", 2, true };

	s->probes++;
	s->probes_served += call(s, &sound) == HTTP_OK;
}

static void scene_init(scene_t *s)
{
	g_autofree char *listen = NULL;
	int64_t give_up = now_ms() + READY_MS;
	static const calls_t sound = { "/sound/x", 2, true };

	signal(SIGPIPE, SIG_IGN);
	/* What a sanitizer keeps of freed memory would count as well. */
	g_setenv("ASAN_OPTIONS",
		 "quarantine_size_mb=1:thread_local_quarantine_size_kb=64",
		 TRUE);
	*s = (scene_t){ .dir = g_dir_make_tmp("papaya-memory-XXXXXX", NULL) };
	s->net = cluster_claim_net(&s->lock);
	ck_assert_int_ne(s->net, 0);
	listen = g_strdup_printf("127.%d.0.1:%d", s->net, STORE_PORT);
	ck_assert(process_start_standin(
		&s->store, "standin-store",
		(const char *const[]){ "--listen", listen, "--entry-ms",
				       "600000", NULL }));
	g_snprintf(s->ip, sizeof(s->ip), "127.%d.1.10", s->net);
	put_config(s);
	put_runner(s, 0, "faulty");
	put_runner(s, 1, "sound");
	start_runner(s, 0, accept_endless);
	start_runner(s, 1, accept_sound);
	start_daemon(s);
	while (call(s, &sound) != HTTP_OK)
		ck_assert_msg(now_ms() < give_up, "the daemon doesn't serve");
}

static void scene_finish(scene_t *s)
{
	process_kill(&s->daemon);
	for (int i = 0; i < 2; i++) {
		shutdown(s->listeners[i], SHUT_RDWR);
		g_thread_join(s->runners[i]);
		close(s->listeners[i]);
	}
	process_stop(&s->store, STOP_MS);
	run_dir_remove(s->dir);
	close(s->lock);
	g_free(s->dir);
}

/* Peak resident size of the daemon so far, in MB. */
static int peak_mb(const scene_t *s)
{
	g_autofree char *path =
		g_strdup_printf("/proc/%d/status", (int)s->daemon.pid);
	g_autofree char *text = NULL;
	const char *at;

	ck_assert(g_file_get_contents(path, &text, NULL, NULL));
	at = strstr(text, "VmHWM:");
	return at ? atoi(at + strlen("VmHWM:")) / 1000 : 0;
}

/* Runs the callers for a while; returns the refusals that they got. */
static int play(scene_t *s, const calls_t *calls)
{
	caller_t callers[CALLERS];
	int64_t until = now_ms() + RUN_MS;
	int refusals = 0;

	for (int i = 0; i < CALLERS; i++) {
		callers[i] = (caller_t){ .scene = s, .calls = calls };
		callers[i].thread =
			g_thread_new("caller", run_caller, &callers[i]);
	}
	while (now_ms() < until) {
		probe(s);
		g_usleep(PROBE_US);
	}
	g_atomic_int_set(&s->is_over, 1);
	for (int i = 0; i < CALLERS; i++) {
		g_thread_join(callers[i].thread);
		refusals += callers[i].refusals;
	}
	return refusals;
}

static void check(const calls_t *calls)
{
	scene_t s;

	scene_init(&s);
	play(&s, calls);
	ck_assert_msg(peak_mb(&s) < MEMORY_MB, "%s: %d MB", calls->path,
		      peak_mb(&s));
	ck_assert_msg(s.probes_served == s.probes, "%s: %d of %d served",
		      calls->path, s.probes_served, s.probes);
	scene_finish(&s);
}

/* Guards against answers without an end that take up all memory together. */
START_TEST(endless_answers_stay_within_the_memory)
{
	check(&(calls_t){ "/endless/x", 2, true });
}
END_TEST

/* Guards against others that pay for answers that are awaited once more. */
START_TEST(endless_answers_that_are_retried_stay_within_the_memory)
{
	check(&(calls_t){ "/again/x", 2, true });
}
END_TEST

/* Guards against streams that fill the memory as nobody reads them. */
START_TEST(unread_streams_stay_within_the_memory)
{
	check(&(calls_t){ "/events/x", 2, false });
}
END_TEST

/* Guards against requests' bodies that take up all memory together. */
START_TEST(long_bodies_stay_within_the_memory)
{
	scene_t s;
	static const calls_t calls = { "/endless/x", BODY_BYTES, true };

	scene_init(&s);
	ck_assert_int_gt(play(&s, &calls), 0);
	ck_assert_msg(peak_mb(&s) < MEMORY_MB, "%d MB", peak_mb(&s));
	scene_finish(&s);
}
END_TEST

SUITE_MAIN("memory_bound", endless_answers_stay_within_the_memory,
	   endless_answers_that_are_retried_stay_within_the_memory,
	   unread_streams_stay_within_the_memory,
	   long_bodies_stay_within_the_memory)
