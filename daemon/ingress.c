#define LOG_PART "ingress"

#include <inttypes.h>
#include <sys/socket.h>

#include "common/log.h"
#include "common/timeval.h"
#include "daemon/gateway.h"
#include "daemon/held_bytes.h"
#include "net/tcp.h"

enum {
	/* Limits where the configuration states none. */
	DEFAULT_MAX_HEADER_BYTES = 16 * 1024,
	DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024,
	DEFAULT_TIMEOUT_MS = 5000,

	READ_AHEAD_BYTES = 64 * 1024, /* input buffered during a request */
	LINGER_MS = 1000, /* from shutdown to close, to deliver the answer */
	STATUS_CONTINUE = 100,
	NO_MEMORY_RETRY_MS = 500, /* other requests will have ended */
};

typedef enum ingress_state {
	INGRESS_IDLE, /* no byte of a request was received */
	INGRESS_READING,
	INGRESS_RELAYING, /* a relay serves the request */
	INGRESS_STREAMING, /* a streamed answer has begun */
	INGRESS_CLOSING, /* closed once the last answer is written */
} ingress_state_t;

struct ingress {
	gateway_t *gateway;
	struct bufferevent *bev;
	struct event *timer;
	http1_reader_t reader;
	GByteArray *body;
	relay_t *relay;
	ingress_state_t state;
	bool closes_after_answer;
	bool is_write_shut; /* the sending side is shut down */
	size_t unsent; /* bytes of the answer, as the timer last saw it */
	bool lacks_memory; /* for the body of the request that is read */
};

static const fleet_limits_t default_limits = {
	.max_header_bytes = DEFAULT_MAX_HEADER_BYTES,
	.max_body_bytes = DEFAULT_MAX_BODY_BYTES,
	.header_timeout_ms = DEFAULT_TIMEOUT_MS,
	.idle_timeout_ms = DEFAULT_TIMEOUT_MS,
};

static fleet_limits_t limits(const ingress_t *c)
{
	fleet_limits_t l =
		c->gateway->fleet ? c->gateway->fleet->limits : default_limits;

	if (!l.max_header_bytes)
		l.max_header_bytes = DEFAULT_MAX_HEADER_BYTES;
	if (!l.max_body_bytes)
		l.max_body_bytes = DEFAULT_MAX_BODY_BYTES;
	if (!l.header_timeout_ms)
		l.header_timeout_ms = DEFAULT_TIMEOUT_MS;
	if (!l.idle_timeout_ms)
		l.idle_timeout_ms = DEFAULT_TIMEOUT_MS;
	return l;
}

static void discard_body(ingress_t *c)
{
	byte_budget_remove(&c->gateway->bodies, c->body->len);
	g_byte_array_set_size(c->body, 0);
}

void ingress_free(ingress_t *c)
{
	g_hash_table_remove(c->gateway->callers, c);
	discard_body(c);
	held_bytes_forget(&c->gateway->answers, bufferevent_get_output(c->bev));
	bufferevent_free(c->bev);
	event_free(c->timer);
	http1_reader_finish(&c->reader);
	g_byte_array_unref(c->body);
	g_free(c);
}

static void set_timer(ingress_t *c, int64_t ms)
{
	struct timeval limit = timeval_from_ms(ms);

	event_add(c->timer, &limit);
}

/*
 * Shuts down the sending side once all output is written. Closing the socket
 * instead, while received bytes are unread, would send a TCP reset, and the
 * caller could lose the end of the answer.
 */
static void shut_down_write(ingress_t *c)
{
	if (c->is_write_shut ||
	    evbuffer_get_length(bufferevent_get_output(c->bev)))
		return;
	c->is_write_shut = true;
	shutdown(bufferevent_getfd(c->bev), SHUT_WR);
	set_timer(c, LINGER_MS);
}

/* The answer is in the output buffer: awaits the next request, or closes. */
static void finish_answer(ingress_t *c)
{
	c->relay = NULL;
	/* A further request might not be completed before the daemon exits. */
	c->closes_after_answer |= c->gateway->drain_since != 0;
	c->unsent = SIZE_MAX;
	if (c->closes_after_answer) {
		c->state = INGRESS_CLOSING;
		set_timer(c, limits(c).idle_timeout_ms);
		shut_down_write(c);
		return;
	}
	c->state = INGRESS_IDLE;
	http1_reader_reset(&c->reader);
	discard_body(c);
	set_timer(c, limits(c).idle_timeout_ms);
	/* Bytes that are already buffered are parsed from the event loop. */
	if (evbuffer_get_length(bufferevent_get_input(c->bev)))
		bufferevent_trigger(c->bev, EV_READ, BEV_TRIG_DEFER_CALLBACKS);
}

/* Returns whether the connection closes after the answer to this request. */
static bool update_close_after_answer(ingress_t *c)
{
	c->closes_after_answer |=
		!c->reader.head.keeps_alive || c->gateway->drain_since;
	return c->closes_after_answer;
}

static void write_error(ingress_t *c, int status, int64_t retry_after_ms,
			const char *why)
{
	g_autofree char *body =
		g_strdup_printf("{\"error\":{\"message\":\"%s\"}}", why);
	str_t id = { "", 0 };
	call_head_t call;

	if (c->reader.has_head && call_head_read(&c->reader.head, &call, NULL))
		id = call.attempt_id;
	answer_own_write(bufferevent_get_output(c->bev), status, id,
			 retry_after_ms, str_from(body),
			 update_close_after_answer(c));
}

void ingress_answer_error(ingress_t *c, int status, int64_t retry_after_ms,
			  const char *why)
{
	write_error(c, status, retry_after_ms, why);
	finish_answer(c);
}

void ingress_answer(ingress_t *c, const http1_head_t *head,
		    struct evbuffer *body)
{
	struct evbuffer *out = bufferevent_get_output(c->bev);

	answer_head_write(out, head, (int64_t)evbuffer_get_length(body),
			  update_close_after_answer(c));
	evbuffer_add_buffer(out, body);
	finish_answer(c);
}

void ingress_begin_stream(ingress_t *c, const http1_head_t *head)
{
	c->state = INGRESS_STREAMING;
	answer_head_write(bufferevent_get_output(c->bev), head, -1,
			  update_close_after_answer(c));
}

void ingress_write_chunk(ingress_t *c, str_t bytes)
{
	struct evbuffer *out = bufferevent_get_output(c->bev);

	evbuffer_add_printf(out, "%zx\r\n", bytes.len);
	evbuffer_add(out, bytes.ptr, bytes.len);
	evbuffer_add(out, "\r\n", 2);
}

void ingress_end_stream(ingress_t *c, bool is_whole)
{
	if (is_whole) {
		evbuffer_add(bufferevent_get_output(c->bev), "0\r\n\r\n", 5);
		finish_answer(c);
		return;
	}
	/* Without the last chunk, the answer is visibly incomplete. */
	c->closes_after_answer = true;
	finish_answer(c);
}

size_t ingress_backlog(const ingress_t *c)
{
	return evbuffer_get_length(bufferevent_get_output(c->bev));
}

/* Refuses a request that can't be read to its end, and closes. */
static void reject(ingress_t *c, int status, int64_t retry_after_ms,
		   const char *why)
{
	log_debug("request refused with %d: %s", status, why);
	metrics_add(&c->gateway->sup->metrics, "papaya_rejected_total", NULL,
		    1);
	c->closes_after_answer = true;
	ingress_answer_error(c, status, retry_after_ms, why);
}

/* Tells whether N more bytes of a body may be held. */
static bool has_memory(ingress_t *c, size_t n)
{
	const byte_budget_t *b = &c->gateway->bodies;

	c->lacks_memory = !byte_budget_fits(b, n);
	if (c->lacks_memory)
		log_event("body-refused",
			  "bytes=%zu held=%" PRIu64 " limit=%" PRIu64
			  " why=\"bodies take up the memory that they may\"",
			  n, b->held, b->limit);
	return !c->lacks_memory;
}

static bool on_head(void *ctx, const http1_head_t *head)
{
	ingress_t *c = ctx;
	const http1_header_t *expect =
		http1_find_header(head, STR_LIT("expect"));
	int64_t length = head->content_length;

	if (length != HTTP1_NO_LENGTH &&
	    length > (int64_t)limits(c).max_body_bytes)
		return false;
	if (length != HTTP1_NO_LENGTH && !has_memory(c, (size_t)length))
		return false;
	if (expect && http1_name_equal(expect->value, STR_LIT("100-continue")))
		evbuffer_add_printf(bufferevent_get_output(c->bev),
				    "HTTP/1.1 %d Continue\r\n\r\n",
				    STATUS_CONTINUE);
	return true;
}

static bool on_body(void *ctx, str_t bytes)
{
	ingress_t *c = ctx;

	if (c->body->len + bytes.len > limits(c).max_body_bytes ||
	    !has_memory(c, bytes.len))
		return false;
	byte_budget_add(&c->gateway->bodies, bytes.len);
	g_byte_array_append(c->body, (const guint8 *)bytes.ptr,
			    (guint)bytes.len);
	return true;
}

static void start_relay(ingress_t *c)
{
	/* The relay counts it from now on. */
	GBytes *body = g_byte_array_free_to_bytes(c->body);

	c->body = g_byte_array_new();
	event_del(c->timer);
	c->state = INGRESS_RELAYING;
	relay_start(c->gateway, c, &c->reader.head, body);
	g_bytes_unref(body);
}

static void handle_result(ingress_t *c, http1_result_t result)
{
	switch (result) {
	case HTTP1_END:
		start_relay(c);
		break;
	case HTTP1_STOPPED:
		if (c->lacks_memory)
			reject(c, 503, NO_MEMORY_RETRY_MS,
			       "the daemon holds too many requests");
		else
			reject(c, 413, 0, "the body is too long");
		break;
	case HTTP1_OVERSIZED:
		reject(c, 431, 0, "the headers are too long");
		break;
	case HTTP1_MALFORMED:
		reject(c, 400, 0, "the request can't be read");
		break;
	case HTTP1_MORE:
		break;
	}
}

static void begin_request(ingress_t *c)
{
	if (c->state != INGRESS_IDLE)
		return;
	c->state = INGRESS_READING;
	http1_reader_set_limit(&c->reader, limits(c).max_header_bytes);
	set_timer(c, limits(c).header_timeout_ms);
}

static void read_request(ingress_t *c)
{
	struct evbuffer *in = bufferevent_get_input(c->bev);
	http1_result_t result = HTTP1_MORE;

	while (result == HTTP1_MORE && evbuffer_get_length(in)) {
		size_t n = evbuffer_get_contiguous_space(in);
		str_t bytes = { (char *)evbuffer_pullup(in, (ev_ssize_t)n), n };
		size_t consumed;

		begin_request(c);
		result = http1_reader_feed(&c->reader, bytes, &consumed);
		evbuffer_drain(in, consumed);
	}
	/* A slow body is allowed: each part that arrives restarts the timer. */
	if (result == HTTP1_MORE && c->reader.has_head)
		set_timer(c, limits(c).idle_timeout_ms);
	handle_result(c, result);
}

static void on_read(struct bufferevent *bev, void *arg)
{
	ingress_t *c = arg;
	struct evbuffer *in = bufferevent_get_input(bev);

	if (c->state == INGRESS_CLOSING)
		evbuffer_drain(in, evbuffer_get_length(in));
	else if (c->state <= INGRESS_READING)
		read_request(c);
}

static void on_written(struct bufferevent *bev, void *arg)
{
	ingress_t *c = arg;

	if (c->state == INGRESS_CLOSING)
		shut_down_write(c);
	else if (c->relay)
		relay_resume(c->relay);
}

/* Closes the connection; cancels its request, if a relay serves one. */
static void drop_caller(ingress_t *c)
{
	relay_t *relay = c->relay;

	c->relay = NULL;
	if (relay)
		relay_cancel(relay);
	ingress_free(c);
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		drop_caller(arg);
}

/* Tells whether the caller has read of its last answer since the last time. */
static bool is_still_read(ingress_t *c)
{
	size_t unsent = ingress_backlog(c);
	bool is_less = unsent && unsent < c->unsent;

	c->unsent = unsent;
	return is_less;
}

/*
 * An idle connection may have a request in its input, if the event loop was
 * late, and the rest of an answer in its output.
 */
static bool is_in_use(ingress_t *c)
{
	if (c->state == INGRESS_IDLE &&
	    evbuffer_get_length(bufferevent_get_input(c->bev)))
		return true;
	return is_still_read(c);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	ingress_t *c = arg;

	if (c->state == INGRESS_READING)
		reject(c, 408, 0, "the request did not come in time");
	else if (c->state == INGRESS_RELAYING || c->state == INGRESS_STREAMING)
		return;
	else if (is_in_use(c))
		set_timer(c, limits(c).idle_timeout_ms);
	else
		drop_caller(c);
}

void ingress_close_idle(ingress_t *c)
{
	if (c->state == INGRESS_IDLE &&
	    !evbuffer_get_length(bufferevent_get_input(c->bev))) {
		c->closes_after_answer = true;
		finish_answer(c);
	}
}

void ingress_set_relay(ingress_t *c, relay_t *relay)
{
	c->relay = relay;
}

void ingress_accept(gateway_t *g, evutil_socket_t fd)
{
	static const http1_ops_t ops = { on_head, on_body };
	ingress_t *c = g_new0(ingress_t, 1);

	tcp_detect_dead_peer(fd);
	c->gateway = g;
	c->body = g_byte_array_new();
	c->bev = bufferevent_socket_new(g->sup->base, fd,
					BEV_OPT_CLOSE_ON_FREE |
						BEV_OPT_DEFER_CALLBACKS);
	held_bytes_watch(&g->answers, bufferevent_get_output(c->bev));
	c->timer = evtimer_new(g->sup->base, on_timer, c);
	http1_reader_init(&c->reader, HTTP1_REQUEST, DEFAULT_MAX_HEADER_BYTES,
			  &ops, c);
	bufferevent_setcb(c->bev, on_read, on_written, on_event, c);
	bufferevent_setwatermark(c->bev, EV_READ, 0, READ_AHEAD_BYTES);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
	set_timer(c, limits(c).idle_timeout_ms);
	g_hash_table_add(g->callers, c);
}
