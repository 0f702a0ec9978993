/*
 * The callers of the soak: they keep connections open, send requests of all
 * kinds to the daemons, and write a line of JSON for each call that ended. An
 * answer that is never allowed, whatever fault is active, adds "violation" to
 * the line of its call.
 */
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <inttypes.h>
#include <jansson.h>
#include <signal.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/timeval.h"
#include "net/http1.h"
#include "platform/names.h"
#include "standin/lib_args.h"
#include "standin/lib_server.h"
#include "tests/lib_soak_plan.h"

enum {
	MAX_HEAD = 16384, /* bytes of an answer's head */
	MAX_IDLE = 4, /* idle connections kept open per daemon */
	TIMEOUT_SLACK_MS = 3000, /* beyond the route's timeout */
	REUSE_PERCENT = 80, /* of the calls reuse an open connection */
	STATUS_OK = 200,
};

typedef struct conn {
	GList link; /* in target->idle */
	struct load *load;
	struct target *target;
	struct bufferevent *bev;
	http1_reader_t reader;
	struct call *call; /* NULL: idle */
	bool is_reused;
} conn_t;

typedef struct target {
	char *address;
	GQueue idle; /* conn_t */
} target_t;

typedef struct call {
	conn_t *conn;
	const soak_kind_t *kind;
	const soak_key_t *key;
	struct event *timer;
	char attempt[32];
	int64_t begin_ms; /* monotonic, as all times of the soak */
	int status;
	char runner[64];
	char retry_after[16];
	GString *body;
	bool has_seal;
	bool keeps_alive;
} call_t;

typedef struct load {
	struct event_base *base;
	target_t *targets;
	guint n_targets;
	GRand *rand;
	FILE *out;
	struct event *arrivals;
	uint64_t n_calls, n_open;
	int64_t end_ms;
	double rate;
	guint32 seed;
} load_t;

static int64_t now_ms(void)
{
	return clock_now_us() / 1000;
}

static void close_conn(conn_t *c)
{
	if (c->link.data)
		g_queue_unlink(&c->target->idle, &c->link);
	http1_reader_finish(&c->reader);
	bufferevent_free(c->bev);
	g_free(c);
}

/* Returns the body of a complete answer: a stream's events or plain text. */
static char *whole_body(const call_t *call)
{
	GString *text = g_string_new(NULL);

	if (call->kind->is_stream)
		for (int i = 1; i <= SOAK_EVENTS; i++)
			g_string_append_printf(text, "id: %d\ndata: %s %d\n\n",
					       i, call->attempt, i);
	else
		g_string_printf(text, "{\"attempt\":\"%s\",\"runner\":\"%s\"}",
				call->attempt, call->runner);
	return g_string_free(text, FALSE);
}

/* Returns what is never allowed in the answer, or NULL. */
static const char *find_violation(const call_t *call, bool is_whole)
{
	g_autofree char *whole = whole_body(call);

	if (call->status == STATUS_OK && !call->has_seal)
		return "status 200 without a runner's seal";
	if (call->status != STATUS_OK)
		return NULL;
	if (is_whole)
		return strcmp(whole, call->body->str) ?
			       "a complete answer with a wrong body" :
			       NULL;
	return g_str_has_prefix(whole, call->body->str) ?
		       NULL :
		       "part of an answer with a wrong body";
}

static void write_line(load_t *l, const call_t *call, const char *how,
		       const char *violation)
{
	json_t *line = json_pack(
		"{s:s,s:s,s:s,s:s,s:I,s:I,s:i,s:s,s:s,s:b,s:s}", "id",
		call->attempt, "kind", call->kind->name, "key", call->key->name,
		"daemon", call->conn->target->address, "begin",
		(json_int_t)call->begin_ms, "end", (json_int_t)now_ms(),
		"status", call->status, "how", how, "retry_after",
		call->retry_after, "reused", call->conn->is_reused, "runner",
		call->runner);

	if (violation)
		json_object_set_new(line, "violation", json_string(violation));
	json_dumpf(line, l->out, JSON_COMPACT);
	fputc('\n', l->out);
	fflush(l->out);
	json_decref(line);
}

/* Ends a call; keeps its connection open when it can be reused. */
static void end_call(call_t *call, bool is_whole, const char *how,
		     const char *violation)
{
	conn_t *c = call->conn;
	load_t *l = c->load;

	if (!violation)
		violation = find_violation(call, is_whole);
	write_line(l, call, how, violation);
	c->call = NULL;
	l->n_open--;
	if (is_whole && call->keeps_alive &&
	    c->target->idle.length < MAX_IDLE) {
		http1_reader_reset(&c->reader);
		c->link.data = c;
		g_queue_push_tail_link(&c->target->idle, &c->link);
	} else {
		close_conn(c);
	}
	event_free(call->timer);
	g_string_free(call->body, TRUE);
	g_free(call);
}

static void copy_header(const http1_head_t *head, const char *name, char *out,
			size_t size)
{
	const http1_header_t *h = http1_find_header(head, str_from(name));

	out[0] = '\0';
	if (h)
		str_copy(out, size, h->value);
}

static bool on_head(void *ctx, const http1_head_t *head)
{
	conn_t *c = ctx;
	call_t *call = c->call;

	if (!call)
		return false;
	call->status = head->status;
	call->keeps_alive = head->keeps_alive;
	copy_header(head, HEADER_SEAL, call->runner, sizeof(call->runner));
	copy_header(head, "Retry-After", call->retry_after,
		    sizeof(call->retry_after));
	call->has_seal = call->runner[0] != '\0';
	return true;
}

static bool on_body(void *ctx, str_t bytes)
{
	const conn_t *c = ctx;

	if (!c->call)
		return false;
	g_string_append_len(c->call->body, bytes.ptr, (gssize)bytes.len);
	return true;
}

static void report_unexpected(conn_t *c, str_t bytes)
{
	fprintf(c->load->out,
		"{\"how\":\"unasked\",\"daemon\":\"%s\",\"end\":%" PRId64
		",\"violation\":\"%zu bytes without a request\"}\n",
		c->target->address, now_ms(), bytes.len);
	fflush(c->load->out);
	close_conn(c);
}

static void on_read(struct bufferevent *bev, void *ctx)
{
	conn_t *c = ctx;
	struct evbuffer *in = bufferevent_get_input(bev);
	size_t len = evbuffer_get_length(in), taken = 0;
	str_t bytes = { (const char *)evbuffer_pullup(in, -1), len };
	http1_result_t result;

	if (!c->call) {
		report_unexpected(c, bytes);
		return;
	}
	result = http1_reader_feed(&c->reader, bytes, &taken);
	evbuffer_drain(in, taken);
	if (result == HTTP1_END)
		end_call(c->call, true, "whole",
			 taken < len ? "bytes after the answer" : NULL);
	else if (result != HTTP1_MORE)
		end_call(c->call, false, "malformed", "a malformed answer");
}

static void on_event(struct bufferevent *bev, short what, void *ctx)
{
	conn_t *c = ctx;

	if (what & BEV_EVENT_CONNECTED)
		return;
	if (c->call)
		end_call(c->call, false,
			 what & BEV_EVENT_EOF ? "closed" : "reset", NULL);
	else
		close_conn(c);
}

static void on_timeout(evutil_socket_t fd, short what, void *ctx)
{
	end_call(ctx, false, "timeout", NULL);
}

static conn_t *connect_to(load_t *l, target_t *t)
{
	static const http1_ops_t ops = { on_head, on_body };
	struct sockaddr_storage addr;
	int len = sizeof(addr);
	conn_t *c = g_new0(conn_t, 1);

	c->load = l;
	c->target = t;
	c->bev = bufferevent_socket_new(l->base, -1, BEV_OPT_CLOSE_ON_FREE);
	http1_reader_init(&c->reader, HTTP1_RESPONSE, MAX_HEAD, &ops, c);
	bufferevent_setcb(c->bev, on_read, NULL, on_event, c);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
	evutil_parse_sockaddr_port(t->address, (struct sockaddr *)&addr, &len);
	/* A failure to connect is reported to on_event. */
	bufferevent_socket_connect(c->bev, (struct sockaddr *)&addr, len);
	return c;
}

static conn_t *pick_conn(load_t *l, target_t *t)
{
	conn_t *c;

	if (t->idle.length &&
	    g_rand_int_range(l->rand, 0, 100) < REUSE_PERCENT) {
		c = t->idle.head->data;
		g_queue_unlink(&t->idle, &c->link);
		c->link.data = NULL;
		c->is_reused = true;
		return c;
	}
	return connect_to(l, t);
}

static void send_request(call_t *call)
{
	const soak_kind_t *k = call->kind;
	struct evbuffer *out = bufferevent_get_output(call->conn->bev);
	bool has_body = !strcmp(k->method, "POST");

	evbuffer_add_printf(out,
			    "%s %s HTTP/1.1\r\nHost: " SOAK_HOST "\r\n"
			    "" HEADER_ATTEMPT_ID ": %s\r\n" HEADER_DEADLINE
			    ": %d\r\n" HEADER_API_KEY ": %s\r\n",
			    k->method, k->path, call->attempt, k->timeout_ms,
			    call->key->key);
	if (k->is_stream)
		evbuffer_add_printf(out, HEADER_TOKENS ": 60,%d\r\n",
				    SOAK_EVENTS);
	if (has_body)
		evbuffer_add_printf(out, "Content-Length: %zu\r\n\r\n%s",
				    strlen(call->attempt), call->attempt);
	else
		evbuffer_add_printf(out, "\r\n");
}

static void start_call(load_t *l)
{
	target_t *t =
		&l->targets[g_rand_int_range(l->rand, 0, (gint32)l->n_targets)];
	call_t *call = g_new0(call_t, 1);
	struct timeval tv;
	int ms;

	call->kind = soak_pick_kind(l->rand);
	call->key = soak_pick_key(l->rand);
	call->conn = pick_conn(l, t);
	call->conn->call = call;
	call->body = g_string_new(NULL);
	call->begin_ms = now_ms();
	g_snprintf(call->attempt, sizeof(call->attempt), "%08x-%06" PRIu64,
		   l->seed, ++l->n_calls);
	call->timer = evtimer_new(l->base, on_timeout, call);
	ms = call->kind->timeout_ms + TIMEOUT_SLACK_MS;
	tv = timeval_from_ms(ms);
	evtimer_add(call->timer, &tv);
	l->n_open++;
	send_request(call);
}

static void schedule_arrival(load_t *l)
{
	double ms = -log(1 - g_rand_double(l->rand)) * 1000 / l->rate;
	struct timeval tv = { (time_t)(ms / 1000),
			      (suseconds_t)((int64_t)(ms * 1000) % 1000000) };

	evtimer_add(l->arrivals, &tv);
}

static void on_arrival(evutil_socket_t fd, short what, void *ctx)
{
	load_t *l = ctx;

	if (now_ms() < l->end_ms)
		start_call(l);
	else if (!l->n_open)
		event_base_loopbreak(l->base);
	schedule_arrival(l);
}

static void close_idle(target_t *t)
{
	conn_t *c;

	while ((c = g_queue_peek_head(&t->idle)))
		close_conn(c);
}

static void load_run(load_t *l, const char *daemons)
{
	g_auto(GStrv) addresses = g_strsplit(daemons, ",", -1);

	signal(SIGPIPE, SIG_IGN);
	l->base = event_base_new();
	l->rand = g_rand_new_with_seed(l->seed);
	l->n_targets = g_strv_length(addresses);
	l->targets = g_new0(target_t, l->n_targets);
	for (guint i = 0; i < l->n_targets; i++) {
		l->targets[i].address = addresses[i];
		g_queue_init(&l->targets[i].idle);
	}
	l->arrivals = evtimer_new(l->base, on_arrival, l);
	schedule_arrival(l);
	event_base_dispatch(l->base);
	for (guint i = 0; i < l->n_targets; i++)
		close_idle(&l->targets[i]);
	event_free(l->arrivals);
	event_base_free(l->base);
	g_rand_free(l->rand);
	g_free(l->targets);
}

int main(int argc, char **argv)
{
	load_t l = { .rate = 60 };
	const char *daemons = "", *out = NULL;
	double seconds = 10, seed = 1;
	const arg_row_t rows[] = {
		{ "daemons", ARG_TEXT, &daemons,
		  "addresses of daemons, IP:port,..." },
		{ "out", ARG_TEXT, &out, "file for the results" },
		{ "rate", ARG_NUMBER, &l.rate, "calls per second" },
		{ "seconds", ARG_NUMBER, &seconds, "duration of the arrivals" },
		{ "seed", ARG_NUMBER, &seed,
		  "seed of the calls and their times" },
	};

	args_read(argc, argv, rows, G_N_ELEMENTS(rows));
	l.seed = (guint32)seed;
	l.end_ms = now_ms() + (int64_t)(seconds * 1000);
	l.out = out ? fopen(out, "w") : NULL;
	if (!l.out || !daemons[0]) {
		fprintf(stderr,
			"soak_load: --daemons is missing, or --out is missing or not writable\n");
		return EXIT_FAILURE;
	}
	load_run(&l, daemons);
	fclose(l.out);
	return EXIT_SUCCESS;
}
