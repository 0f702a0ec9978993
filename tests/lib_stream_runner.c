#define _GNU_SOURCE
#include "tests/lib_stream_runner.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "platform/names.h"
#include "standin/lib_fetch.h"
#include "tests/lib_tcp.h"

enum {
	HEARTBEAT_US = 600 * 1000,
	STORE_MS = 600, /* limit of a write of the entry */
	PIECE_US = 8000, /* between two pieces */
	WORK_US = 20000,
	HEAD_SIZE = 8192,
	IDLE_MS = 4000,
	STALL_US = 700 * 1000,
};

typedef struct request {
	stream_runner_t *runner;
	char id[32],
		release[8]; /* of the incarnation that took the connection */
	int start; /* its number */
	int fd;
	char attempt[64], key[64], head[HEAD_SIZE];
	bool is_wide, is_chunked;
	bool owes_copy; /* of its last answer, before the next one */
	int from; /* last piece that the caller has */
} request_t;

/* Attempts of streams that some runner got. */
static struct {
	GMutex lock;
	GHashTable *ids;
} seen;

static int64_t now_ms(void)
{
	return g_get_monotonic_time() / 1000;
}

static bool is_drawn(int percent)
{
	return g_random_int_range(0, 100) < percent;
}

static bool find_header(const char *head, const char *name, char *out,
			size_t size)
{
	g_autofree char *line = g_strdup_printf("\r\n%s: ", name);
	const char *at = strcasestr(head, line);
	size_t len;

	out[0] = '\0';
	if (!at)
		return false;
	at += strlen(line);
	len = strcspn(at, "\r\n");
	g_strlcpy(out, at, MIN(size, len + 1));
	return true;
}

/* Reads a request's head and body; false at the end of the connection. */
static bool read_request(request_t *q)
{
	char value[32], body[HEAD_SIZE];
	size_t n = 0, left;
	char *end = NULL;

	while (!end && n + 1 < sizeof(q->head)) {
		ssize_t got = tcp_receive(q->fd, q->head + n,
					  sizeof(q->head) - 1 - n, IDLE_MS);

		if (got <= 0)
			return false;
		n += (size_t)got;
		q->head[n] = '\0';
		end = strstr(q->head, "\r\n\r\n");
	}
	if (!end)
		return false;
	left = find_header(q->head, "Content-Length", value, sizeof(value)) ?
		       strtoul(value, NULL, 10) :
		       0;
	left -= MIN(left, n - (size_t)(end + 4 - q->head));
	while (left) {
		ssize_t got = tcp_receive(q->fd, body, MIN(left, sizeof(body)),
					  IDLE_MS);

		if (got <= 0)
			return false;
		left -= (size_t)got;
	}
	return true;
}

static bool send_text(int fd, const char *text)
{
	return tcp_send_all(fd, text, strlen(text));
}

static bool send_head(const request_t *q, int status, const char *more)
{
	g_autofree char *head =
		g_strdup_printf("HTTP/1.1 %d Status\r\n" HEADER_ATTEMPT_ID
				": %s\r\n" HEADER_SEAL ": %s.%s\r\n%s\r\n",
				status, q->attempt, q->id, q->attempt, more);

	return send_text(q->fd, head);
}

/* Sends TEXT as a chunk; only its first half, without an end, if IS_CUT. */
static bool send_chunk(const request_t *q, const char *text, bool is_cut)
{
	size_t len = strlen(text);
	g_autofree char *chunk = g_strdup_printf("%zx\r\n%.*s%s", len,
						 (int)(is_cut ? len / 2 : len),
						 text, is_cut ? "" : "\r\n");

	if (!q->is_chunked)
		return tcp_send_all(q->fd, text, is_cut ? len / 2 : len);
	return send_text(q->fd, chunk);
}

static bool send_piece(const request_t *q, int piece, bool is_cut)
{
	int step = q->is_wide ? STREAM_WIDE_STEP : 1;
	g_autofree char *event =
		g_strdup_printf("id: %d\n%sdata: %s %s %d\n\n", piece * step,
				is_drawn(10) ? "retry: 500\n: remark\n" : "",
				q->key, q->release, piece);

	return send_chunk(q, event, is_cut);
}

static bool end_connection(int fd, bool resets)
{
	if (resets)
		tcp_reset(fd);
	else
		close(fd);
	return false;
}

static bool send_stream_head(const request_t *q)
{
	return send_head(q, 200,
			 q->is_chunked ? "Content-Type: text/event-stream\r\n"
					 "Transfer-Encoding: chunked\r\n" :
					 "Content-Type: text/event-stream\r\n");
}

/* Ends a whole stream; false if the connection is closed. */
static bool end_stream(const request_t *q)
{
	return q->is_chunked ? send_text(q->fd, "0\r\n\r\n") :
			       end_connection(q->fd, false);
}

/*
 * Breaks a stream off. Without a length, an end in order between two events
 * would look like that of a whole stream: there it is a reset.
 */
static bool cut_stream(const request_t *q, int last)
{
	bool is_within = is_drawn(70);

	if (is_within)
		send_piece(q, last + 1, true);
	return end_connection(q->fd,
			      is_drawn(50) || (!q->is_chunked && !is_within));
}

/* Streams what the caller lacks; false if the connection is closed. */
static bool answer_stream(const request_t *q)
{
	bool is_cut = is_drawn(q->runner->faults->cuts);
	int last = is_cut ? g_random_int_range(q->from, STREAM_PIECES + 1) :
			    STREAM_PIECES;

	if (!send_stream_head(q))
		return end_connection(q->fd, false);
	if (is_drawn(25) && !send_chunk(q, ": keep-alive\n\n", false))
		return end_connection(q->fd, false);
	for (int i = q->from + 1; i <= last; i++) {
		g_usleep(is_drawn(1) ? STALL_US : PIECE_US);
		if (!send_piece(q, i, false))
			return end_connection(q->fd, false);
		if (is_drawn(3) && !send_chunk(q, ": remark\n\n", false))
			return end_connection(q->fd, false);
	}
	return is_cut ? cut_stream(q, last) : end_stream(q);
}

/* How a request fails. */
typedef enum failure {
	FAIL_REFUSED, /* and not run */
	FAIL_STATUS,
	FAIL_GARBAGE,
	FAIL_WITHIN_HEAD,
	FAIL_RESET,
	FAILURES, /* number of those above, at any send; none of them */
	FAIL_AFTER_HEAD,
} failure_t;

static bool is_first_send(const request_t *q)
{
	bool is_new;

	g_mutex_lock(&seen.lock);
	if (!seen.ids)
		seen.ids = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, NULL);
	is_new = g_hash_table_add(seen.ids, g_strdup(q->attempt));
	g_mutex_unlock(&seen.lock);
	return is_new;
}

static failure_t draw_first_failure(void)
{
	static const failure_t failures[] = { FAIL_REFUSED, FAIL_GARBAGE,
					      FAIL_AFTER_HEAD };

	return failures[g_random_int_range(0, G_N_ELEMENTS(failures))];
}

static failure_t draw_failure(const request_t *q)
{
	const stream_runner_t *r = q->runner;
	bool is_stream = !strcmp(r->service, "writer");

	if (is_stream && r->faults->first_failures && is_first_send(q) &&
	    is_drawn(r->faults->first_failures))
		return draw_first_failure();
	if (!is_drawn(is_stream ? r->faults->failures :
				  r->faults->plain_failures))
		return FAILURES;
	return g_random_int_range(0, FAILURES);
}

/* Answers with something that is no success; false if the fd is closed. */
static bool fail_request(const request_t *q, failure_t failure)
{
	switch (failure) {
	case FAIL_REFUSED:
		return send_head(q, 503,
				 HEADER_NOT_RUN ": 1\r\nContent-Length: 0\r\n");
	case FAIL_STATUS:
		return send_head(q, 500, "Content-Length: 0\r\n");
	case FAIL_GARBAGE:
		send_text(q->fd, "\001\002 no answer\r\n\r\n");
		return end_connection(q->fd, false);
	case FAIL_WITHIN_HEAD:
		send_text(q->fd, "HTTP/1.1 200 OK\r\n" HEADER_ATTEMPT_ID ": ");
		return end_connection(q->fd, false);
	case FAIL_AFTER_HEAD:
		send_stream_head(q);
		return end_connection(q->fd, true);
	default:
		return end_connection(q->fd, true);
	}
}

static bool answer_plain(const request_t *q)
{
	g_autofree char *more =
		g_strdup_printf("Content-Length: %zu\r\n", strlen(q->key));

	return send_head(q, 200, more) && send_text(q->fd, q->key);
}

/* Sends the whole answer to the last request once more, without pauses. */
static bool answer_again(const request_t *q)
{
	if (strcmp(q->runner->service, "writer") != 0)
		return answer_plain(q);
	if (!send_stream_head(q))
		return false;
	for (int i = q->from + 1; i <= STREAM_PIECES; i++)
		if (!send_piece(q, i, false))
			return false;
	return end_stream(q);
}

static bool answer(request_t *q)
{
	const stream_faults_t *f = q->runner->faults;

	if (!strcmp(q->runner->service, "writer")) {
		if (!answer_stream(q))
			return false;
	} else {
		g_usleep(WORK_US);
		if (!answer_plain(q))
			return false;
	}
	q->owes_copy = f->late_copies && is_drawn(f->late_copies);
	if (f->second_answers && is_drawn(f->second_answers))
		answer_again(q);
	return true;
}

static void note_arrival(const request_t *q, bool runs)
{
	char deadline[32];
	int64_t now = now_ms();

	find_header(q->head, HEADER_DEADLINE, deadline, sizeof(deadline));
	retry_ledger_on_arrival(
		q->runner->ledger, q->attempt,
		deadline[0] ? now + strtoll(deadline, NULL, 10) : INT64_MAX,
		now);
	if (runs)
		retry_ledger_on_run(q->runner->ledger, q->attempt, q->id);
}

/* Serves one request; false if the connection is closed. */
static bool serve_request(request_t *q)
{
	const stream_runner_t *r = q->runner;
	failure_t failure;
	char value[64];
	int step;

	if (q->owes_copy)
		answer_again(q);
	q->owes_copy = false;
	find_header(q->head, HEADER_ATTEMPT_ID, q->attempt, sizeof(q->attempt));
	q->is_chunked =
		!r->faults->no_length || !is_drawn(r->faults->no_length);
	find_header(q->head, HEADER_EXPECT_RUNNER, value, sizeof(value));
	if (strcmp(value, q->id) != 0)
		return send_head(q, 421,
				 HEADER_NOT_RUN ": 1\r\nContent-Length: 0\r\n");
	failure = draw_failure(q);
	note_arrival(q, failure != FAIL_REFUSED);
	sscanf(q->head, "%*s /%*[a-z]/%63s", q->key);
	q->is_wide = strstr(q->head, " /wide/") != NULL;
	step = q->is_wide ? STREAM_WIDE_STEP : 1;
	find_header(q->head, HEADER_LAST_EVENT_ID, value, sizeof(value));
	q->from = MIN(atoi(value) / step, STREAM_PIECES);
	g_usleep(WORK_US);
	if (failure != FAILURES)
		return fail_request(q, failure);
	return answer(q);
}

static bool is_serving(const request_t *q)
{
	return !g_atomic_int_get(&q->runner->has_left) &&
	       g_atomic_int_get(&q->runner->n_starts) == q->start;
}

static void *serve_connection(void *arg)
{
	g_autofree request_t *q = arg;

	while (is_serving(q)) {
		if (!read_request(q)) {
			close(q->fd);
			return NULL;
		}
		if (q->runner->faults->ends_kept && !is_serving(q))
			break;
		if (!serve_request(q))
			return NULL;
	}
	tcp_reset(q->fd);
	return NULL;
}

static void *accept_connections(void *arg)
{
	stream_runner_t *r = arg;
	int fd;

	while ((fd = accept(r->listener, NULL, NULL)) >= 0) {
		request_t *q = g_new0(request_t, 1);

		q->runner = r;
		q->start = g_atomic_int_get(&r->n_starts);
		g_strlcpy(q->id, r->id, sizeof(q->id));
		g_strlcpy(q->release, r->release, sizeof(q->release));
		q->fd = fd;
		g_thread_unref(g_thread_new("conn", serve_connection, q));
	}
	return NULL;
}

static void write_entry(stream_runner_t *r, bool is_removed)
{
	g_autofree char *path = g_strdup_printf(
		"/standin/put?topic=" TOPIC_RUNNERS "&key=%s", r->id);
	g_autofree char *entry = g_strdup_printf(
		"{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\","
		"\"version\":\"%s\",\"slots\":8,\"state\":\"%s\","
		"\"warmup_left_ms\":0,\"sequence\":%d,\"born\":%" PRId64 "}",
		r->service, r->ip, STREAM_RUNNER_PORT, r->zone, r->release,
		g_atomic_int_get(&r->is_leaving) ? "draining" : "ready",
		++r->sequence, r->born_ms);
	fetch_t f = { .method = EVHTTP_REQ_POST,
		      .address = r->store,
		      .path = path,
		      .body = is_removed ? "" : entry,
		      .timeout_ms = STORE_MS };

	fetch_run(&f);
	free(f.text);
}

static void *renew_entry(void *arg)
{
	stream_runner_t *r = arg;

	while (!g_atomic_int_get(&r->is_over)) {
		write_entry(r, false);
		g_usleep(HEARTBEAT_US);
	}
	return NULL;
}

void stream_runner_start(stream_runner_t *r, const char *release)
{
	g_strlcpy(r->release, release, sizeof(r->release));
	g_snprintf(r->id, sizeof(r->id), "i-%s-%d", r->ip, r->n_starts);
	g_atomic_int_inc(&r->n_starts);
	r->born_ms = g_get_real_time() / 1000;
	r->sequence = 0;
	g_atomic_int_set(&r->is_leaving, 0);
	g_atomic_int_set(&r->is_over, 0);
	g_atomic_int_set(&r->has_left, 0);
	r->listener = tcp_listen_on(r->ip, STREAM_RUNNER_PORT);
	if (r->listener < 0)
		g_error("cannot listen on %s", r->ip);
	r->thread = g_thread_new("runner", accept_connections, r);
	r->heartbeat = g_thread_new("heartbeat", renew_entry, r);
}

void stream_runner_stop(stream_runner_t *r)
{
	g_atomic_int_set(&r->is_over, 1);
	g_thread_join(r->heartbeat);
	shutdown(r->listener, SHUT_RDWR);
	g_thread_join(r->thread);
	close(r->listener);
	g_atomic_int_set(&r->has_left, 1);
}

void stream_runner_leave(stream_runner_t *r, int ms)
{
	g_atomic_int_set(&r->is_leaving, 1);
	g_usleep((gulong)ms * 1000);
	stream_runner_stop(r);
	write_entry(r, true);
}
