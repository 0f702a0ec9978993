#include "tests/lib_stream_caller.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "net/http1.h"
#include "platform/names.h"
#include "tests/lib_stream_runner.h"
#include "tests/lib_tcp.h"

enum {
	MAX_HEAD = 16384,
	TIMEOUT_MS = 5000, /* the route's and the caller's */
	SILENCE_MS = 3000, /* after which the caller gives up */
	MAX_TAKE_UPS = 8,
	PAUSE_US = 50 * 1000, /* after a failure */
	STREAM_PERCENT = 70, /* of all requests */
	ATTEMPT_SIZE = 64,
};

/* A stream over all attempts, and one attempt at it. */
typedef struct stream {
	stream_caller_t *caller;
	bool is_plain, is_wide;
	char key[32];
	char first_attempt[ATTEMPT_SIZE]; /* that brought the first event */
	char attempt[ATTEMPT_SIZE];
	char release[8]; /* of the first event */
	int last_piece, last_id;
	bool is_broken; /* a finding was counted */
	int status;
	GString *text; /* of the body, not yet parsed */
} stream_t;

static int64_t now_ms(void)
{
	return g_get_monotonic_time() / 1000;
}

static void count_finding(stream_t *s, int *counter, const char *what)
{
	stream_results_t *r = s->caller->results;

	if (s->is_broken)
		return;
	s->is_broken = true;
	g_mutex_lock(&r->lock);
	++*counter;
	fprintf(r->log, "%" PRId64 " %s: %s after piece %d: %s\n", now_ms(),
		s->attempt, what, s->last_piece, s->text->str);
	fflush(r->log);
	g_mutex_unlock(&r->lock);
}

static void check_piece(stream_t *s, const char *release, int piece)
{
	stream_results_t *r = s->caller->results;

	if (piece != s->last_piece + 1)
		count_finding(s, &r->out_of_order, "ORDER");
	if (!s->release[0]) {
		g_strlcpy(s->release, release, sizeof(s->release));
		g_strlcpy(s->first_attempt, s->attempt,
			  sizeof(s->first_attempt));
	}
	if (strcmp(release, s->release) != 0)
		count_finding(s, &r->joined, "JOINED");
	s->last_piece = piece;
}

/* Checks one event: the lines before its empty one. */
static void check_event(stream_t *s, const char *event)
{
	const char *data = strstr(event, "data: ");
	const char *id = strstr(event, "id: ");
	char key[32], release[8];
	int piece;

	if (!data)
		return;
	if (sscanf(data, "data: %31s %7s %d", key, release, &piece) != 3 ||
	    strcmp(key, s->key) != 0) {
		count_finding(s, &s->caller->results->mixed, "MIXED");
		return;
	}
	check_piece(s, release, piece);
	if (id)
		s->last_id = atoi(id + strlen("id: "));
}

static bool on_head(void *ctx, const http1_head_t *head)
{
	((stream_t *)ctx)->status = head->status;
	return true;
}

static bool on_body(void *ctx, str_t bytes)
{
	stream_t *s = ctx;
	char *end;

	g_string_append_len(s->text, bytes.ptr, (gssize)bytes.len);
	if (s->is_plain || s->status != 200)
		return true;
	while ((end = strstr(s->text->str, "\n\n"))) {
		*end = '\0';
		check_event(s, s->text->str);
		g_string_erase(s->text, 0, end + 2 - s->text->str);
	}
	return true;
}

static bool send_request(stream_t *s, int fd)
{
	g_autoptr(GString) text = g_string_new(NULL);

	g_string_printf(text,
			"POST /%s/%s HTTP/1.1\r\nHost: h\r\n" HEADER_ATTEMPT_ID
			": %s\r\n" HEADER_API_KEY ": key\r\n",
			s->is_plain ? "plain" :
			s->is_wide  ? "wide" :
				      "sheet",
			s->key, s->attempt);
	if (!s->caller->no_deadline ||
	    g_random_int_range(0, 100) >= s->caller->no_deadline)
		g_string_append_printf(text, HEADER_DEADLINE ": %d\r\n",
				       TIMEOUT_MS);
	if (!s->is_plain)
		g_string_append(text, HEADER_TOKENS ": 60,24\r\n");
	if (s->last_id)
		g_string_append_printf(text,
				       HEADER_LAST_EVENT_ID
				       ": %d\r\n" HEADER_RESUMES ": %s\r\n",
				       s->last_id, s->first_attempt);
	g_string_append(text, "Content-Length: 2\r\n\r\n{}");
	return tcp_send_all(fd, text->str, text->len);
}

/* Reads the answer; true if it is complete. */
static bool read_answer(stream_t *s, int fd)
{
	static const http1_ops_t ops = { on_head, on_body };
	http1_result_t result = HTTP1_MORE;
	http1_reader_t reader;
	char buf[4096];
	size_t taken;

	s->status = 0;
	g_string_truncate(s->text, 0);
	http1_reader_init(&reader, HTTP1_RESPONSE, MAX_HEAD, &ops, s);
	while (result == HTTP1_MORE) {
		ssize_t n = tcp_receive(fd, buf, sizeof(buf), SILENCE_MS);

		if (n <= 0)
			break;
		result = http1_reader_feed(&reader, (str_t){ buf, (size_t)n },
					   &taken);
		if (result == HTTP1_END && taken < (size_t)n)
			count_finding(s, &s->caller->results->mixed,
				      "BYTES AFTER THE ANSWER");
	}
	http1_reader_finish(&reader);
	return result == HTTP1_END;
}

/* Takes the connection kept to a daemon, or opens one; -1 if that fails. */
static int take_connection(stream_caller_t *c, int daemon)
{
	int fd = c->fds[daemon];

	c->fds[daemon] = 0;
	return fd ? fd : tcp_connect_to(c->daemons[daemon], STREAM_CALLER_PORT);
}

static void give_back(stream_caller_t *c, int daemon, int fd, bool is_whole)
{
	if (c->keeps_connections && is_whole)
		c->fds[daemon] = fd;
	else
		close(fd);
}

/* Sends one attempt; true if its answer is a complete success. */
static bool try_once(stream_t *s)
{
	stream_caller_t *c = s->caller;
	int daemon = g_random_int_range(0, c->n_daemons);
	int fd = take_connection(c, daemon);
	bool is_whole;

	if (fd < 0)
		return false;
	g_snprintf(s->attempt, sizeof(s->attempt), "a-%d-%d", c->number,
		   c->n_sent++);
	retry_ledger_on_request(s->is_plain ? c->desk : c->writer, s->attempt,
				now_ms() + TIMEOUT_MS, now_ms());
	is_whole = send_request(s, fd) && read_answer(s, fd);
	give_back(c, daemon, fd, is_whole);
	return is_whole && s->status == 200;
}

static void check_end(stream_t *s)
{
	stream_results_t *r = s->caller->results;

	if (s->is_plain && strcmp(s->text->str, s->key) != 0)
		count_finding(s, &r->mixed, "MIXED");
	if (!s->is_plain && s->last_piece < STREAM_PIECES)
		count_finding(s, &r->cut_short, "CUT SHORT");
}

static void count_end(const stream_t *s, bool is_whole, int take_ups)
{
	stream_results_t *r = s->caller->results;

	g_mutex_lock(&r->lock);
	if (s->is_plain) {
		r->plain++;
		r->plain_whole += is_whole;
	} else {
		r->streams++;
		r->whole += is_whole;
		r->taken_up += take_ups > 0;
	}
	g_mutex_unlock(&r->lock);
}

static void run_one(stream_caller_t *c)
{
	stream_t s = { .caller = c };
	bool is_whole = false;
	int tries = 0, take_ups = 0;

	s.is_plain = g_random_int_range(0, 100) >= STREAM_PERCENT;
	s.is_wide = g_random_int_range(0, 2);
	s.text = g_string_new(NULL);
	g_snprintf(s.key, sizeof(s.key), "k%d.%d", c->number, c->n_sent);
	while (!is_whole && tries++ < MAX_TAKE_UPS) {
		if (tries > 1)
			g_usleep(PAUSE_US);
		take_ups += s.last_id > 0;
		is_whole = try_once(&s);
		/* It has the last piece, and only the end was lost. */
		if (s.last_piece == STREAM_PIECES)
			break;
	}
	if (is_whole)
		check_end(&s);
	count_end(&s, is_whole, take_ups);
	g_string_free(s.text, TRUE);
}

void *stream_caller_run(void *data)
{
	stream_caller_t *c = data;

	while (now_ms() < c->until_ms)
		run_one(c);
	for (int i = 0; i < c->n_daemons; i++)
		if (c->fds[i])
			close(c->fds[i]);
	return NULL;
}
