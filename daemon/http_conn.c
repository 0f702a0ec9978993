#define LOG_PART "intake"

#include "daemon/http_conn.h"

#include <sys/socket.h>

#include "common/log.h"
#include "common/timeval.h"
#include "daemon/held_bytes.h"
#include "net/tcp.h"

enum {
	US_PER_MS = 1000,
	READ_AHEAD_BYTES = 64 * 1024, /* input buffered during a request */
	/* Input buffered until a request's answer is written. */
	SERVED_AHEAD_BYTES = 4 * 1024,
	SHORT_HEAD_BYTES = 4 * 1024,
	CONN_BYTES = 2 * 1024, /* of the structures of a connection */
	LINGER_MS = 1000, /* from shutdown to close, to deliver the answer */
	STATUS_CONTINUE = 100,
};

static http_limits_t limits(const http_conn_t *c)
{
	return c->server->ops->limits(c->server->ctx);
}

static intake_state_t state(const http_conn_t *c)
{
	return c->intake.state;
}

static bool is_idle(const http_conn_t *c)
{
	return !c->is_closing && state(c) != INTAKE_READING &&
	       state(c) != INTAKE_SERVED;
}

static struct evbuffer *input(const http_conn_t *c)
{
	return bufferevent_get_input(c->bev);
}

static void enter(http_conn_t *c, intake_state_t next)
{
	bool is_waiting = next == INTAKE_SERVED || next == INTAKE_WRITING;
	size_t ahead = is_waiting ? SERVED_AHEAD_BYTES : READ_AHEAD_BYTES;

	if (c->closed)
		event_free(c->closed);
	c->closed = NULL;
	intake_budget_enter(&c->server->intake, &c->intake, next, now_us());
	bufferevent_setwatermark(c->bev, EV_READ, 0, ahead);
	bufferevent_enable(c->bev, EV_READ);
}

/* Sets how many bytes the request takes up until it is answered. */
static void count_request(http_conn_t *c, size_t bytes)
{
	byte_budget_remove(&c->server->requests, c->counted);
	byte_budget_add(&c->server->requests, bytes);
	c->counted = bytes;
}

static size_t head_bytes(const http_conn_t *c)
{
	const http1_head_t *head = &c->reader.head;

	return head->text->allocated_len +
	       head->headers->len * sizeof(http1_header_t);
}

/* Updates what the request that is being read takes up. */
static void count_intake(http_conn_t *c)
{
	size_t bytes = head_bytes(c) + c->body->len;

	count_request(c, bytes);
	intake_budget_hold(&c->server->intake, &c->intake,
			   CONN_BYTES + bytes + evbuffer_get_length(input(c)),
			   now_us());
}

static void drop_body(http_conn_t *c)
{
	g_byte_array_unref(c->body);
	c->body = g_byte_array_new();
}

void http_conn_free(http_conn_t *c)
{
	http_server_t *s = c->server;

	count_request(c, 0);
	intake_budget_remove(&s->intake, &c->intake);
	if (s->answers)
		held_bytes_forget(s->answers, http_conn_output(c));
	/* libevent would close it later, when the event loop turns. */
	bufferevent_disable(c->bev, EV_READ | EV_WRITE);
	evutil_closesocket(bufferevent_getfd(c->bev));
	bufferevent_setfd(c->bev, -1);
	bufferevent_free(c->bev);
	if (c->closed)
		event_free(c->closed);
	event_free(c->timer);
	http1_reader_finish(&c->reader);
	g_byte_array_unref(c->body);
	g_free(c);
}

void http_conn_set_user(http_conn_t *c, void *user)
{
	c->user = user;
}

void *http_conn_user(const http_conn_t *c)
{
	return c->user;
}

const http1_head_t *http_conn_head(const http_conn_t *c)
{
	return c->reader.has_head ? &c->reader.head : NULL;
}

bool http_conn_is_head_request(const http_conn_t *c)
{
	const http1_head_t *head = http_conn_head(c);

	return head && str_eq(head->method, STR_LIT("HEAD"));
}

struct evbuffer *http_conn_output(http_conn_t *c)
{
	return bufferevent_get_output(c->bev);
}

size_t http_conn_backlog(const http_conn_t *c)
{
	return evbuffer_get_length(bufferevent_get_output(c->bev));
}

void http_conn_set_last(http_conn_t *c)
{
	c->closes_after_answer = true;
}

/*
 * While the daemon stops, a further request might not be completed before it
 * exits. One that was received behind the present one is answered all the same.
 */
static bool ends_for_drain(const http_conn_t *c)
{
	return c->server->is_draining && !evbuffer_get_length(input(c));
}

bool http_conn_is_last(const http_conn_t *c)
{
	return c->closes_after_answer || ends_for_drain(c) ||
	       !c->reader.head.keeps_alive;
}

static void set_timer(http_conn_t *c, int64_t ms)
{
	struct timeval limit = timeval_from_ms(MAX(ms, 0));

	event_add(c->timer, &limit);
}

/*
 * Shuts down the sending side once all output is written. Closing the socket
 * instead, while received bytes are unread, would send a TCP reset, and the
 * caller could lose the end of the answer.
 */
static void shut_down_write(http_conn_t *c)
{
	if (c->is_write_shut || http_conn_backlog(c))
		return;
	c->is_write_shut = true;
	shutdown(bufferevent_getfd(c->bev), SHUT_WR);
	set_timer(c, LINGER_MS);
}

/*
 * The answer is complete; a part of it may still have to be written. The next
 * request is read afterwards: else the answers to a caller that reads slowly
 * would pile up.
 */
static void enter_answered(http_conn_t *c)
{
	if (http_conn_backlog(c))
		enter(c, INTAKE_WRITING);
	else
		enter(c, c->is_closing ? INTAKE_CLOSING : INTAKE_KEPT);
	if (c->is_closing)
		shut_down_write(c);
	/* Bytes that are already buffered are parsed from the event loop. */
	if (state(c) == INTAKE_KEPT && evbuffer_get_length(input(c)))
		bufferevent_trigger(c->bev, EV_READ, BEV_TRIG_DEFER_CALLBACKS);
}

void http_conn_end(http_conn_t *c)
{
	c->closes_after_answer |=
		ends_for_drain(c) ||
		(http_conn_head(c) && !c->reader.head.keeps_alive);
	c->user = NULL;
	c->unsent = SIZE_MAX;
	drop_body(c);
	http1_reader_reset(&c->reader);
	http1_reader_shrink(&c->reader);
	count_request(c, 0);
	set_timer(c, limits(c).idle_timeout_ms);
	c->is_closing = c->closes_after_answer;
	enter_answered(c);
}

void http_conn_reject(http_conn_t *c, int status, int64_t retry_after_ms,
		      const char *why)
{
	http_server_t *s = c->server;

	log_debug("request of %s refused with %d: %s", c->peer, status, why);
	metrics_add(&s->sup->metrics, "papaya_rejected_total", NULL, 1);
	http_conn_set_last(c);
	s->ops->refuse(s->ctx, c, status, retry_after_ms, why);
	http_conn_end(c);
}

static bool on_head(void *ctx, const http1_head_t *head)
{
	http_conn_t *c = ctx;
	const http1_header_t *expect =
		http1_find_header(head, STR_LIT("expect"));
	int64_t length = head->content_length;

	if (length != HTTP1_NO_LENGTH &&
	    length > (int64_t)limits(c).max_body_bytes)
		return false;
	if (length != HTTP1_NO_LENGTH) {
		c->lacks_memory = !http_server_may_take(c, (uint64_t)length);
		c->intake.expected = (uint64_t)length;
	}
	if (c->lacks_memory)
		return false;
	if (expect && http1_name_equal(expect->value, STR_LIT("100-continue")))
		evbuffer_add_printf(http_conn_output(c),
				    "HTTP/1.1 %d Continue\r\n\r\n",
				    STATUS_CONTINUE);
	return true;
}

static bool on_body(void *ctx, str_t bytes)
{
	http_conn_t *c = ctx;

	if (c->body->len + bytes.len > limits(c).max_body_bytes ||
	    !http_server_make_room(c, bytes.len, false))
		return false;
	g_byte_array_append(c->body, (const guint8 *)bytes.ptr,
			    (guint)bytes.len);
	count_intake(c);
	return true;
}

/* A complete body; it counts until the last reference to it is dropped. */
typedef struct counted_body {
	GBytes *bytes;
	byte_budget_t *budget;
} counted_body_t;

static void free_counted_body(void *data)
{
	counted_body_t *b = data;

	byte_budget_remove(b->budget, g_bytes_get_size(b->bytes));
	g_bytes_unref(b->bytes);
	g_free(b);
}

static GBytes *take_body(http_conn_t *c)
{
	counted_body_t *b = g_new0(counted_body_t, 1);
	const void *data;
	gsize len;

	b->budget = &c->server->requests;
	b->bytes = g_byte_array_free_to_bytes(c->body);
	c->body = g_byte_array_new();
	data = g_bytes_get_data(b->bytes, &len);
	byte_budget_add(b->budget, len);
	return g_bytes_new_with_free_func(data, len, free_counted_body, b);
}

static void start_request(http_conn_t *c)
{
	http_server_t *s = c->server;
	GBytes *body = take_body(c);

	count_request(c, head_bytes(c));
	event_del(c->timer);
	enter(c, INTAKE_SERVED);
	s->ops->request(s->ctx, c, &c->reader.head, body);
	g_bytes_unref(body);
}

static void handle_result(http_conn_t *c, http1_result_t result)
{
	switch (result) {
	case HTTP1_END:
		start_request(c);
		break;
	case HTTP1_STOPPED:
		if (c->lacks_memory)
			http_conn_reject(c, 503, HTTP_NO_MEMORY_RETRY_MS,
					 "the daemon holds too many requests");
		else
			http_conn_reject(c, 413, 0, "the body is too long");
		break;
	case HTTP1_OVERSIZED:
		http_conn_reject(c, 431, 0, "the headers are too long");
		break;
	case HTTP1_MALFORMED:
		http_conn_reject(c, 400, 0, "the request can't be read");
		break;
	case HTTP1_MORE:
		break;
	}
}

static void begin_request(http_conn_t *c)
{
	if (!is_idle(c))
		return;
	enter(c, INTAKE_READING);
	c->lacks_memory = false;
	http1_reader_set_limit(&c->reader, limits(c).max_header_bytes);
}

/*
 * Each part of a body restarts the timer, as a slow body is allowed, up to the
 * time that follows from its size.
 */
static void await_more(http_conn_t *c)
{
	http_limits_t l = limits(c);
	int64_t now = now_us();
	int64_t end = now + l.idle_timeout_ms * US_PER_MS;

	if (!c->reader.has_head && l.header_timeout_ms)
		end = c->intake.since + l.header_timeout_ms * US_PER_MS;
	end = MIN(end, intake_budget_due(&c->server->intake, &c->intake,
					 c->body->len));
	set_timer(c, (end - now) / US_PER_MS + 1);
}

static http1_result_t feed(http_conn_t *c)
{
	struct evbuffer *in = input(c);
	size_t n = evbuffer_get_contiguous_space(in);
	str_t bytes = { (char *)evbuffer_pullup(in, (ev_ssize_t)n), n };
	http1_result_t result;
	size_t consumed;

	begin_request(c);
	if (!c->reader.has_head &&
	    !http_server_make_room(
		    c, n, c->reader.head.text->len + n <= SHORT_HEAD_BYTES))
		return HTTP1_STOPPED;
	result = http1_reader_feed(&c->reader, bytes, &consumed);
	evbuffer_drain(in, consumed);
	return result;
}

static void read_request(http_conn_t *c)
{
	http1_result_t result = HTTP1_MORE;

	while (result == HTTP1_MORE && evbuffer_get_length(input(c)))
		result = feed(c);
	if (state(c) == INTAKE_READING)
		count_intake(c);
	if (result == HTTP1_MORE && state(c) == INTAKE_READING)
		await_more(c);
	handle_result(c, result);
}

/* Closes the connection; its request, if one is served, has no caller then. */
static void drop(http_conn_t *c, const char *why)
{
	http_server_t *s = c->server;

	if (state(c) == INTAKE_SERVED)
		s->ops->left(s->ctx, c, why);
	http_conn_free(c);
}

static void on_closed(evutil_socket_t fd, short what, void *arg)
{
	drop(arg, "the caller closed it");
}

/*
 * Reads no more until the state changes. libevent would call back for as long as
 * the input stays at its watermark. The end of the input would go unnoticed, so
 * that is awaited.
 */
static void stop_reading(http_conn_t *c)
{
	bufferevent_disable(c->bev, EV_READ);
	if (c->closed)
		return;
	c->closed = event_new(c->server->sup->base, bufferevent_getfd(c->bev),
			      EV_CLOSED, on_closed, c);
	event_add(c->closed, NULL);
}

static void on_read(struct bufferevent *bev, void *arg)
{
	http_conn_t *c = arg;

	if (c->is_closing)
		evbuffer_drain(input(c), evbuffer_get_length(input(c)));
	else if (state(c) != INTAKE_SERVED && state(c) != INTAKE_WRITING)
		read_request(c);
	else if (evbuffer_get_length(input(c)) >= SERVED_AHEAD_BYTES)
		stop_reading(c);
}

static void on_written(struct bufferevent *bev, void *arg)
{
	http_conn_t *c = arg;

	if (state(c) == INTAKE_WRITING)
		enter_answered(c);
	else if (state(c) == INTAKE_SERVED)
		c->server->ops->written(c->server->ctx, c);
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	int error = EVUTIL_SOCKET_ERROR();

	if (what & BEV_EVENT_EOF)
		drop(arg, "the caller closed it");
	else if (what & BEV_EVENT_ERROR)
		drop(arg, evutil_socket_error_to_string(error));
}

/* Tells whether the caller has read more of its answer since the last call. */
static bool is_still_read(http_conn_t *c)
{
	size_t unsent = http_conn_backlog(c);
	bool is_less = unsent && unsent < c->unsent;

	c->unsent = unsent;
	return is_less;
}

/*
 * A kept connection may have a request in its input, if the event loop was late,
 * and one that is written the rest of an answer in its output.
 */
static bool is_in_use(http_conn_t *c)
{
	if (is_idle(c) && state(c) != INTAKE_WRITING &&
	    evbuffer_get_length(input(c)))
		return true;
	return is_still_read(c);
}

static void end_late_request(http_conn_t *c)
{
	int64_t due =
		intake_budget_due(&c->server->intake, &c->intake, c->body->len);

	if (now_us() >= due)
		http_server_log_given_up(c, "slow",
					 "the request came too slowly");
	http_conn_reject(c, 408, 0, "the request did not come in time");
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	http_conn_t *c = arg;

	if (state(c) == INTAKE_READING)
		end_late_request(c);
	else if (state(c) == INTAKE_SERVED)
		return;
	else if (is_in_use(c))
		set_timer(c, limits(c).idle_timeout_ms);
	else
		drop(c, "it was idle");
}

void http_conn_new(http_server_t *s, evutil_socket_t fd, const char *peer)
{
	static const http1_ops_t ops = { on_head, on_body };
	http_conn_t *c = g_new0(http_conn_t, 1);

	tcp_detect_dead_peer(fd);
	c->server = s;
	c->body = g_byte_array_new();
	c->bev = bufferevent_socket_new(s->sup->base, fd,
					BEV_OPT_CLOSE_ON_FREE |
						BEV_OPT_DEFER_CALLBACKS);
	g_strlcpy(c->peer, peer, sizeof(c->peer));
	if (s->answers)
		held_bytes_watch(s->answers, http_conn_output(c));
	c->timer = evtimer_new(s->sup->base, on_timer, c);
	intake_budget_add(&s->intake, &c->intake, c, now_us());
	http1_reader_init(&c->reader, HTTP1_REQUEST, limits(c).max_header_bytes,
			  &ops, c);
	bufferevent_setcb(c->bev, on_read, on_written, on_event, c);
	bufferevent_setwatermark(c->bev, EV_READ, 0, READ_AHEAD_BYTES);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
	set_timer(c, limits(c).idle_timeout_ms);
}

void http_conn_close_idle(http_conn_t *c)
{
	if (!is_idle(c) || evbuffer_get_length(input(c)))
		return;
	http_conn_set_last(c);
	http_conn_end(c);
}
