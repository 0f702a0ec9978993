/*
 * Real daemons beside planned work alone: changes of the configuration in quick
 * succession, a key that is revoked while its requests run, SIGHUP, SIGTERM of
 * single daemons. Answers take long: streams in small pieces, plain answers in
 * pieces, long bodies, callers that read slowly. From outside, no request that
 * was sent whole may end without a complete answer.
 */
#define _GNU_SOURCE
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
	DAEMONS = 3,
	ZONES = 2,
	RUNNERS = 2,
	SLOTS = 400, /* of a runner */
	CALLERS = 60,
	PORT = 8000, /* of daemons, for callers */
	RUNNER_PORT = 9000,
	STORE_PORT = 7000,
	READY_MS = 15000,
	POLL_US = 50 * 1000,
	STOP_MS = 3000,
	TIMEOUT_MS = 10000, /* the routes' and the callers' */
	SILENCE_MS = 12000, /* after which a caller gives up */
	GRACE_MS = 3600, /* of a stop */
	LATE_MS = 3000, /* after SIGTERM; requests sent later always count */
	SLACK_MS = 2000, /* until a request that was sent has been read */
	WARM_US = 500 * 1000, /* of calls before the planned work */
	CUT_US = 200 * 1000, /* until the daemon is cut off */
	CHANGES = 6,
	CHANGE_US = 100 * 1000,
	REVOCATIONS = 2,
	REVOKED_US = 400 * 1000,
	HANGUPS = 6,
	PAUSE_US = 20 * 1000,
	PIECES = 40, /* of an answer */
	PIECE_US = 25 * 1000,
	PIECE_BYTES = 64,
	LARGE_BYTES = 2 * 1000 * 1000, /* of an answer or a request's body */
	SMALL_BYTES = 2,
	BUFFER_BYTES = 65536, /* of the sockets of slow callers */
	SLOW_READ = 60000, /* bytes */
	SLOW_READ_US = 20 * 1000,
	BLOCK = 65536,
};

typedef enum call_kind {
	CALL_STREAM,
	CALL_PIECES,
	CALL_BODY,
	CALL_SLOW,
	CALL_KINDS,
} call_kind_t;

static const char *const paths[CALL_KINDS] = { "/events/", "/pieces/", "/body/",
					       "/large/" };

typedef struct scene {
	char *dir;
	int net, lock;
	process_t store;
	process_t daemons[DAEMONS];
	int listeners[RUNNERS];
	GThread *runners[RUNNERS];
	int version; /* of the configuration */
	const char *work; /* under way, for messages */
	gint is_over;
	GMutex lock_of_counts;
	GHashTable *arrived; /* numbers of requests that reached a runner */
	int64_t stopped_ms[DAEMONS]; /* when SIGTERM was sent; 0: never */
	int n_calls;
	int served[DAEMONS][CALL_KINDS];
	int refused;
	int by_grace; /* without an answer, as a stop's grace ended */
	GString *lost; /* a line for each loss */
} scene_t;

typedef struct caller {
	scene_t *scene;
	GThread *thread;
	call_kind_t kind;
	bool keeps, has_second_key;
	int daemon;
	int fd; /* kept; -1: none */
} caller_t;

typedef struct call {
	int number, daemon;
	bool is_new; /* the first request on its connection */
	int64_t sent_ms;
	GString *answer;
	bool is_whole;
	int status;
} call_t;

static scene_t *scene; /* for the runners' threads */

static int64_t now_ms(void)
{
	return g_get_monotonic_time() / 1000;
}

/* Runners */

static void note_arrival(int number)
{
	g_mutex_lock(&scene->lock_of_counts);
	g_hash_table_add(scene->arrived, GINT_TO_POINTER(number));
	g_mutex_unlock(&scene->lock_of_counts);
}

/* Reads one request; its head goes to HEAD. */
static bool read_request(int fd, GString *head)
{
	char block[BLOCK];
	const char *end, *length;
	size_t left;

	g_string_truncate(head, 0);
	while (!(end = strstr(head->str, "\r\n\r\n"))) {
		ssize_t n = recv(fd, block, sizeof(block), 0);

		if (n <= 0)
			return false;
		g_string_append_len(head, block, n);
	}
	length = strcasestr(head->str, "\r\nContent-Length: ");
	left = length ? strtoul(strchr(length, ':') + 1, NULL, 10) : 0;
	left -= MIN(left, head->len - (size_t)(end + 4 - head->str));
	while (left) {
		ssize_t n = recv(fd, block, MIN(left, sizeof(block)), 0);

		if (n <= 0)
			return false;
		left -= (size_t)n;
	}
	return true;
}

static bool send_head(int fd, const char *request, const char *more)
{
	const char *at = strcasestr(request, HEADER_ATTEMPT_ID ": ");
	int len = at ? (int)strcspn(at, "\r") : 0;
	g_autofree char *head = g_strdup_printf(
		"HTTP/1.1 200 OK\r\n%.*s\r\n" HEADER_SEAL ": seal\r\n%s\r\n",
		len, at ? at : "", more);

	return tcp_send_all(fd, head, strlen(head));
}

static bool send_stream(int fd, const char *request)
{
	bool is_ok = send_head(fd, request,
			       "Content-Type: text/event-stream\r\n"
			       "Transfer-Encoding: chunked\r\n");

	for (int i = 1; is_ok && i <= PIECES; i++) {
		g_autofree char *event =
			g_strdup_printf("id: %d\ndata: piece %d\n\n", i, i);
		g_autofree char *chunk =
			g_strdup_printf("%zx\r\n%s\r\n", strlen(event), event);

		g_usleep(PIECE_US);
		is_ok = tcp_send_all(fd, chunk, strlen(chunk));
	}
	return is_ok && tcp_send_all(fd, "0\r\n\r\n", 5);
}

static bool send_pieces(int fd, const char *request)
{
	g_autofree char *more =
		g_strdup_printf("Content-Length: %d\r\n", PIECES * PIECE_BYTES);
	g_autofree char *piece = g_strnfill(PIECE_BYTES, 'p');
	bool is_ok = send_head(fd, request, more);

	for (int i = 0; is_ok && i < PIECES; i++) {
		g_usleep(PIECE_US);
		is_ok = tcp_send_all(fd, piece, PIECE_BYTES);
	}
	return is_ok;
}

static bool send_large(int fd, const char *request)
{
	g_autofree char *more =
		g_strdup_printf("Content-Length: %d\r\n", LARGE_BYTES);
	g_autofree char *body = g_strnfill(LARGE_BYTES, 'l');

	return send_head(fd, request, more) &&
	       tcp_send_all(fd, body, LARGE_BYTES);
}

static void *serve(void *arg)
{
	int fd = GPOINTER_TO_INT(arg);
	g_autoptr(GString) head = g_string_new(NULL);
	bool is_ok = true;

	while (is_ok && read_request(fd, head)) {
		const char *last = strstr(head->str, " HTTP/1.1");

		while (last && last > head->str && last[-1] != '/')
			last--;
		note_arrival(last ? atoi(last) : 0);
		if (strstr(head->str, paths[CALL_STREAM]))
			is_ok = send_stream(fd, head->str);
		else if (strstr(head->str, paths[CALL_SLOW]))
			is_ok = send_large(fd, head->str);
		else
			is_ok = send_pieces(fd, head->str);
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

/* Callers */

static int status_of(const GString *answer)
{
	int status = 0;

	sscanf(answer->str, "HTTP/1.1 %d", &status);
	return status;
}

static int count_pieces(const char *text)
{
	int n = 0;

	while ((text = strstr(text, "data: piece "))) {
		text++;
		n++;
	}
	return n;
}

/* Whether ANSWER has all that its head promises. */
static bool is_complete(const GString *answer, call_kind_t kind)
{
	const char *end = strstr(answer->str, "\r\n\r\n");
	size_t head_len = end ? (size_t)(end - answer->str) : 0;
	g_autofree char *head = g_strndup(answer->str, head_len);
	const char *length = strcasestr(head, "\r\nContent-Length: ");

	if (!end)
		return false;
	if (length)
		return answer->len - head_len - 4 >=
		       strtoul(strchr(length, ':') + 1, NULL, 10);
	if (!strcasestr(head, "\r\nTransfer-Encoding: chunked") ||
	    !g_str_has_suffix(end, "\r\n0\r\n\r\n"))
		return false;
	return kind != CALL_STREAM || status_of(answer) != HTTP_OK ||
	       count_pieces(end) == PIECES;
}

static void read_answer(call_t *call, int fd, call_kind_t kind)
{
	char block[BLOCK];
	size_t size = kind == CALL_SLOW ? SLOW_READ : sizeof(block);
	ssize_t n;

	while (!(call->is_whole = is_complete(call->answer, kind)) &&
	       (n = tcp_receive(fd, block, size, SILENCE_MS)) > 0) {
		g_string_append_len(call->answer, block, n);
		if (kind == CALL_SLOW)
			g_usleep(SLOW_READ_US);
	}
	call->status = status_of(call->answer);
}

static bool send_call(const caller_t *c, call_t *call, int fd)
{
	static const char body[LARGE_BYTES];
	size_t len = c->kind == CALL_BODY ? LARGE_BYTES : SMALL_BYTES;
	g_autofree char *head = g_strdup_printf(
		"POST %s%d HTTP/1.1\r\nHost: h\r\n" HEADER_ATTEMPT_ID
		": a%d\r\n" HEADER_API_KEY ": %s\r\n" HEADER_DEADLINE
		": %d\r\nContent-Length: %zu\r\n\r\n",
		paths[c->kind], call->number, call->number,
		c->has_second_key ? "second" : "first", TIMEOUT_MS, len);
	bool is_ok = tcp_send_all(fd, head, strlen(head)) &&
		     tcp_send_all(fd, body, len);

	call->sent_ms = now_ms();
	return is_ok;
}

/* A runner was still at work at the end of a stop, on an early request. */
static bool is_by_grace(const scene_t *s, const call_t *call, int64_t now)
{
	int64_t stopped = s->stopped_ms[call->daemon];

	return stopped && call->sent_ms <= stopped + LATE_MS &&
	       now >= stopped + GRACE_MS * 5 / 6;
}

/*
 * A connection may end just before a request on it is read: that one reached
 * no runner, and its end comes at once.
 */
static bool is_lost(const scene_t *s, const call_t *call, int64_t now)
{
	if (call->is_whole || is_by_grace(s, call, now) ||
	    now >= call->sent_ms + TIMEOUT_MS)
		return false;
	return call->answer->len || now > call->sent_ms + SLACK_MS ||
	       g_hash_table_contains(s->arrived, GINT_TO_POINTER(call->number));
}

static void count_call(const caller_t *c, const call_t *call)
{
	scene_t *s = c->scene;
	int64_t now = now_ms();

	g_mutex_lock(&s->lock_of_counts);
	if (call->is_whole && call->status == HTTP_OK)
		s->served[call->daemon][c->kind]++;
	else if (call->is_whole)
		s->refused++;
	if (!call->is_whole && is_by_grace(s, call, now))
		s->by_grace++;
	if (is_lost(s, call, now))
		g_string_append_printf(
			s->lost,
			"%s: a%d at daemon %d%s: %s, status %d, %zu bytes, "
			"%d ms after it was sent, arrived: %d\n",
			s->work, call->number, call->daemon,
			call->is_new ? "" : " on a kept connection",
			paths[c->kind], call->status, call->answer->len,
			(int)(now - call->sent_ms),
			g_hash_table_contains(s->arrived,
					      GINT_TO_POINTER(call->number)));
	g_mutex_unlock(&s->lock_of_counts);
}

static int connect_caller(caller_t *c)
{
	g_autofree char *ip =
		g_strdup_printf("127.%d.%d.%d", c->scene->net,
				1 + c->daemon % ZONES, 10 + c->daemon);
	int fd = tcp_connect_to(ip, PORT);
	int size = BUFFER_BYTES;

	if (fd >= 0 && c->kind == CALL_SLOW)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	return fd;
}

static void run_call(caller_t *c)
{
	call_t call = { .is_new = c->fd < 0 };
	int fd = c->fd;

	c->fd = -1;
	if (call.is_new) {
		c->daemon = (c->daemon + 1) % DAEMONS;
		fd = connect_caller(c);
	}
	call.daemon = c->daemon;
	if (fd < 0) {
		g_usleep(PAUSE_US);
		return;
	}
	call.number = g_atomic_int_add(&c->scene->n_calls, 1) + 1;
	call.answer = g_string_new(NULL);
	if (send_call(c, &call, fd)) {
		read_answer(&call, fd, c->kind);
		count_call(c, &call);
	} else {
		/* An answer ahead of the whole request. */
		read_answer(&call, fd, c->kind);
	}
	if (call.is_whole && c->keeps &&
	    !strcasestr(call.answer->str, "\r\nConnection: close"))
		c->fd = fd;
	else
		close(fd);
	if (call.status != HTTP_OK)
		g_usleep(PAUSE_US);
	g_string_free(call.answer, TRUE);
}

static void *run_caller(void *arg)
{
	caller_t *c = arg;

	while (!g_atomic_int_get(&c->scene->is_over))
		run_call(c);
	if (c->fd >= 0)
		close(c->fd);
	return NULL;
}

/* Scene */

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

static void append_route(GString *text, const char *path, const char *type)
{
	g_string_append_printf(
		text,
		"{\"name\":\"r%s\",\"host\":\"h\",\"path_prefix\":\"%s\","
		"\"route_type\":\"%s\",\"timeout_ms\":%d,\"service\":\"slow\","
		"\"max_attempts\":1},",
		path, path, type, TIMEOUT_MS);
}

/* Publishes a new version; each differs in a route that nobody calls. */
static void publish(scene_t *s, bool has_second_key)
{
	g_autoptr(GString) text = g_string_new(NULL);
	g_autofree char *other = g_strdup_printf("/other-%d/", s->version + 1);

	g_string_printf(text, "{\"version\":%d,\"routes\":[", ++s->version);
	for (int i = 0; i < CALL_KINDS; i++)
		append_route(text, paths[i],
			     i == CALL_STREAM ? "streaming" : "unsafe");
	append_route(text, other, "safe");
	g_string_truncate(text, text->len - 1);
	g_string_append_printf(
		text,
		"],\"services\":[{\"name\":\"slow\",\"max_conns\":900}],"
		"\"limits\":{\"max_header_bytes\":16384,"
		"\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
		"\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"t\","
		"\"api_keys\":[\"first\"%s]}]}",
		has_second_key ? ",\"second\"" : "");
	put(s, TOPIC_OPERATOR, KEY_CONFIG, text->str);
}

static void start_runner(scene_t *s, int i)
{
	g_autofree char *ip = g_strdup_printf("127.%d.9.%d", s->net, 100 + i);
	g_autofree char *id = g_strdup_printf("i-%d", i);
	g_autofree char *entry = g_strdup_printf(
		"{\"service\":\"slow\",\"address\":\"%s:%d\",\"zone\":\"z%d\","
		"\"version\":\"1\",\"slots\":%d,\"state\":\"ready\","
		"\"warmup_left_ms\":0,\"sequence\":1,\"born\":1}",
		ip, RUNNER_PORT, i % ZONES, SLOTS);

	s->listeners[i] = tcp_listen_on(ip, RUNNER_PORT);
	ck_assert_int_ge(s->listeners[i], 0);
	s->runners[i] = g_thread_new("accept", accept_all,
				     GINT_TO_POINTER(s->listeners[i]));
	put(s, TOPIC_RUNNERS, id, entry);
}

static char *daemon_file(const scene_t *s, int i, const char *ending)
{
	return g_strdup_printf("%s/d%d%s", s->dir, i, ending);
}

static void start_daemon(scene_t *s, int i)
{
	g_autofree char *settings = daemon_file(s, i, ".json");
	g_autofree char *log = daemon_file(s, i, ".log");
	g_autofree char *ip =
		g_strdup_printf("127.%d.%d.%d", s->net, 1 + i % ZONES, 10 + i);
	g_autofree char *shim = g_build_filename(process_build_dir(), "tests",
						 "libpartition.so", NULL);
	g_autofree char *text = g_strdup_printf(
		"{\"name\":\"%s\",\"zone\":\"z%d\",\"zones\":[\"z0\",\"z1\"],"
		"\"fleet\":true,\"tunnel_port_offset\":9,\"listen\":\"%s:%d\","
		"\"ready_listen\":\"%s:8003\",\"peer_listen\":\"%s:8001\","
		"\"admin_listen\":\"%s:8002\",\"platform\":\"%s\","
		"\"seed_addresses\":[\"127.%d.1.10:%d\",\"127.%d.2.11:%d\"],"
		"\"peer_secret\":\"0123456789abcdef\","
		"\"operator_token\":\"0123456789abcdef\","
		"\"heartbeat_ms\":600,\"heartbeat_timeout_ms\":2500,"
		"\"connect_timeout_ms\":400,\"load_poll_ms\":0,"
		"\"drain_ms\":%d}",
		ip, i % ZONES, ip, PORT, ip, ip, ip, s->store.address, s->net,
		PORT, s->net, PORT, GRACE_MS);
	const char *const args[] = { settings, NULL };

	ck_assert(g_file_test(shim, G_FILE_TEST_EXISTS));
	ck_assert(g_file_set_contents(settings, text, -1, NULL));
	g_setenv("LD_PRELOAD", shim, TRUE);
	/* For a build with sanitizers, whose library wants to be the first. */
	g_setenv("ASAN_OPTIONS", "verify_asan_link_order=0", TRUE);
	ck_assert(process_start(&s->daemons[i], "papayad", args, log, false));
	g_unsetenv("ASAN_OPTIONS");
	g_unsetenv("LD_PRELOAD");
}

static void await_serving(scene_t *s, int daemon)
{
	int64_t give_up = now_ms() + READY_MS;
	caller_t c = { .scene = s, .kind = CALL_PIECES, .fd = -1 };
	int before = s->served[daemon][CALL_PIECES];

	do {
		ck_assert_msg(now_ms() < give_up, "daemon %d doesn't serve",
			      daemon);
		g_usleep(POLL_US);
		/* Each connection goes to the next daemon. */
		c.daemon = (daemon + DAEMONS - 1) % DAEMONS;
		run_call(&c);
	} while (s->served[daemon][CALL_PIECES] == before);
}

static void scene_init(scene_t *s)
{
	g_autofree char *listen = NULL;

	signal(SIGPIPE, SIG_IGN);
	*s = (scene_t){ .dir = g_dir_make_tmp("papaya-planned-XXXXXX", NULL),
			.arrived = g_hash_table_new(NULL, NULL),
			.lost = g_string_new(NULL),
			.work = "none" };
	scene = s;
	s->net = cluster_claim_net(&s->lock);
	ck_assert_int_ne(s->net, 0);
	listen = g_strdup_printf("127.%d.0.1:%d", s->net, STORE_PORT);
	ck_assert(process_start_standin(
		&s->store, "standin-store",
		(const char *const[]){ "--listen", listen, "--entry-ms",
				       "600000", NULL }));
	publish(s, true);
	for (int i = 0; i < RUNNERS; i++)
		start_runner(s, i);
	for (int i = 0; i < DAEMONS; i++)
		start_daemon(s, i);
	for (int i = 0; i < DAEMONS; i++)
		await_serving(s, i);
	memset(s->served, 0, sizeof(s->served));
}

static void scene_finish(scene_t *s)
{
	bool is_kept = s->lost->len;

	for (int i = 0; i < DAEMONS; i++)
		process_kill(&s->daemons[i]);
	for (int i = 0; i < RUNNERS; i++) {
		shutdown(s->listeners[i], SHUT_RDWR);
		g_thread_join(s->runners[i]);
		close(s->listeners[i]);
	}
	process_stop(&s->store, STOP_MS);
	close(s->lock);
	ck_assert_msg(!is_kept, "logs in %s, lost:\n%s", s->dir, s->lost->str);
	run_dir_remove(s->dir);
	g_string_free(s->lost, TRUE);
	g_free(s->dir);
}

/* Daemon I reaches no runner itself from now on, as nobody calls yet. */
static void cut_off(scene_t *s, int i)
{
	g_autofree char *cut = daemon_file(s, i, ".json.cut");

	ck_assert(g_file_set_contents(cut, "re", -1, NULL));
	g_usleep(CUT_US);
	await_serving(s, i);
	memset(s->served, 0, sizeof(s->served));
}

static void start_callers(scene_t *s, caller_t callers[CALLERS])
{
	for (int i = 0; i < CALLERS; i++) {
		callers[i] = (caller_t){ .scene = s,
					 .kind = i % CALL_KINDS,
					 .daemon = i % DAEMONS,
					 .keeps = i / CALL_KINDS % 2,
					 .has_second_key = i / 2 % 2,
					 .fd = -1 };
		callers[i].thread =
			g_thread_new("caller", run_caller, &callers[i]);
	}
	g_usleep(WARM_US);
}

static void end_callers(scene_t *s, caller_t callers[CALLERS])
{
	g_atomic_int_set(&s->is_over, 1);
	for (int i = 0; i < CALLERS; i++)
		g_thread_join(callers[i].thread);
	printf("%d calls, %d refused, %d ended by a stop's grace\n", s->n_calls,
	       s->refused, s->by_grace);
}

/* Each daemon served each kind of call, or the test would show nothing. */
static void check_served(scene_t *s)
{
	g_mutex_lock(&s->lock_of_counts);
	for (int i = 0; i < CALL_KINDS; i++)
		for (int d = 0; d < DAEMONS; d++)
			ck_assert_msg(s->served[d][i], "%s: none at daemon %d",
				      paths[i], d);
	g_mutex_unlock(&s->lock_of_counts);
}

/* Changes in quick succession. */
static void change_often(scene_t *s)
{
	s->work = "changes";
	for (int i = 0; i < CHANGES; i++) {
		publish(s, true);
		g_usleep(CHANGE_US);
	}
}

static void revoke_often(scene_t *s)
{
	s->work = "revocations";
	for (int i = 0; i < REVOCATIONS; i++) {
		publish(s, i % 2);
		g_usleep(REVOKED_US);
	}
}

static void hang_up_often(scene_t *s)
{
	s->work = "SIGHUP";
	for (int i = 0; i < HANGUPS; i++) {
		process_signal(&s->daemons[i % DAEMONS], SIGHUP);
		g_usleep(CHANGE_US);
	}
}

static void stop_daemon(scene_t *s, int i)
{
	s->work = "SIGTERM";
	g_mutex_lock(&s->lock_of_counts);
	s->stopped_ms[i] = now_ms();
	g_mutex_unlock(&s->lock_of_counts);
	process_signal(&s->daemons[i], SIGTERM);
	ck_assert_int_eq(process_wait(&s->daemons[i], GRACE_MS + STOP_MS), 0);
}

/*
 * Daemon 0 reaches the runners through others alone. It is stopped first, and
 * then one of those others.
 */
START_TEST(planned_work_loses_no_whole_request)
{
	scene_t s;
	caller_t callers[CALLERS];

	scene_init(&s);
	cut_off(&s, 0);
	start_callers(&s, callers);
	change_often(&s);
	revoke_often(&s);
	hang_up_often(&s);
	check_served(&s);
	stop_daemon(&s, 0);
	stop_daemon(&s, 1);
	end_callers(&s, callers);
	scene_finish(&s);
}
END_TEST

SUITE_MAIN("planned_changes", planned_work_loses_no_whole_request)
