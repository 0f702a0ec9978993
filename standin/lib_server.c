#define _GNU_SOURCE
#include "standin/lib_server.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>

enum {
	IDLE_TIMEOUT_S = 600,
	MAX_BODY = 16 << 20, /* bytes */
};

int64_t clock_wall_ms(void)
{
	return g_get_real_time() / 1000;
}

int64_t clock_now_us(void)
{
	return g_get_monotonic_time();
}

/* Returns the start of ID in a text that ends in "call=ID;", or NULL. */
static const char *id_at_end(str_t text)
{
	const char *equals = memrchr(text.ptr, '=', text.len);

	if (text.ptr[text.len - 1] != ';' || !equals || equals - text.ptr < 4 ||
	    memcmp(equals - 4, "call", 4))
		return NULL;
	return equals + 1;
}

bool call_id_of(str_t text, char *id, size_t size)
{
	const char *start = text.ptr + strlen("call=");
	const char *end;

	if (text.len < strlen("call=;"))
		return false;
	if (memcmp(text.ptr, "call=", strlen("call=")))
		start = id_at_end(text);
	if (!start)
		return false;
	end = memchr(start, ';', text.ptr + text.len - start);
	return end && str_copy(id, size, (str_t){ start, end - start });
}

void answer_hash(str_t text, char hex[9])
{
	g_autofree char *sum = g_compute_checksum_for_data(
		G_CHECKSUM_SHA256, (const guchar *)text.ptr, text.len);

	g_strlcpy(hex, sum, 9);
}

int64_t json_increment(json_t *object, const char *key)
{
	int64_t n = json_integer_value(json_object_get(object, key)) + 1;

	json_object_set_new(object, key, json_integer(n));
	return n;
}

bool server_fault_on(const server_t *s, const char *name)
{
	return json_is_true(json_object_get(s->faults, name));
}

double server_fault_number(const server_t *s, const char *name, double def)
{
	json_t *value = json_object_get(s->faults, name);

	return json_is_number(value) ? json_number_value(value) : def;
}

enum evhttp_cmd_type exchange_method(const exchange_t *x)
{
	return evhttp_request_get_command(x->req);
}

const char *exchange_path(const exchange_t *x)
{
	const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(x->req);
	const char *path = uri ? evhttp_uri_get_path(uri) : NULL;

	return path ? path : "";
}

str_t exchange_body(const exchange_t *x)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(x->req);
	size_t len = evbuffer_get_length(in);
	const char *ptr = (const char *)evbuffer_pullup(in, -1);

	return (str_t){ ptr ? ptr : "", len };
}

const char *exchange_header(const exchange_t *x, const char *name)
{
	return evhttp_find_header(evhttp_request_get_input_headers(x->req),
				  name);
}

int64_t exchange_query(const exchange_t *x, const char *name, int64_t def)
{
	const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(x->req);
	const char *query = uri ? evhttp_uri_get_query(uri) : NULL;
	struct evkeyvalq params = { 0 };
	const char *value;

	if (!query || evhttp_parse_query_str(query, &params))
		return def;
	value = evhttp_find_header(&params, name);
	if (value)
		def = g_ascii_strtoll(value, NULL, 10);
	evhttp_clear_headers(&params);
	return def;
}

bool exchange_query_text(const exchange_t *x, const char *name, char *out,
			 size_t size)
{
	const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(x->req);
	const char *query = uri ? evhttp_uri_get_query(uri) : NULL;
	struct evkeyvalq params = { 0 };
	const char *value;
	bool ok;

	if (!query || evhttp_parse_query_str(query, &params))
		return false;
	value = evhttp_find_header(&params, name);
	ok = value && str_copy(out, size, str_from(value));
	evhttp_clear_headers(&params);
	return ok;
}

bool exchange_is(const exchange_t *x, enum evhttp_cmd_type method,
		 const char *path)
{
	return exchange_method(x) == method && !strcmp(exchange_path(x), path);
}

static void exchange_clear(exchange_t *x)
{
	if (x->timer)
		event_free(x->timer);
	if (x->held)
		evbuffer_free(x->held);
	g_free(x);
}

static void exchange_free(exchange_t *x)
{
	g_queue_unlink(&x->server->exchanges, &x->link);
	exchange_clear(x);
}

static void on_close(struct evhttp_connection *conn, void *ctx)
{
	exchange_t *x = ctx;

	if (!x->is_done)
		x->server->ops.closed(x->server->ctx, x);
	evhttp_request_free(x->req);
	exchange_free(x);
}

static struct evhttp_connection *conn_of(const exchange_t *x)
{
	return evhttp_request_get_connection(x->req);
}

void exchange_set_header(exchange_t *x, const char *name, const char *value)
{
	evhttp_add_header(evhttp_request_get_output_headers(x->req), name,
			  value);
}

/* Passes the complete answer to evhttp. */
static void send_reply(exchange_t *x)
{
	exchange_set_header(x, "Content-Type", "application/json");
	evhttp_connection_set_closecb(conn_of(x), NULL, NULL);
	evhttp_send_reply(x->req, x->status, NULL, x->held);
	exchange_free(x);
}

static void start_stream(exchange_t *x)
{
	exchange_set_header(x, "Content-Type", "text/event-stream");
	evhttp_send_reply_start(x->req, HTTP_OK, NULL);
	x->is_started = true;
	if (evbuffer_get_length(x->held))
		evhttp_send_reply_chunk(x->req, x->held);
}

static void end_stream(exchange_t *x)
{
	evhttp_connection_set_closecb(conn_of(x), NULL, NULL);
	evhttp_send_reply_end(x->req);
	exchange_free(x);
}

/* Sends the head and half of the body, then closes. */
static void send_half(exchange_t *x)
{
	struct bufferevent *bev = evhttp_connection_get_bufferevent(conn_of(x));
	size_t len = evbuffer_get_length(x->held);
	const char *body = (const char *)evbuffer_pullup(x->held, -1);
	g_autofree char *text = g_strdup_printf(
		"HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%.*s", len,
		(int)(len / 2), body ? body : "");

	send(bufferevent_getfd(bev), text, strlen(text), MSG_NOSIGNAL);
}

static void close_now(exchange_t *x)
{
	struct evhttp_connection *conn = conn_of(x);

	evhttp_connection_set_closecb(conn, NULL, NULL);
	evhttp_connection_free(conn);
	exchange_free(x);
}

static void on_timer(evutil_socket_t fd, short what, void *ctx)
{
	exchange_t *x = ctx;

	if (x->is_silent)
		return;
	if (x->is_cut) {
		close_now(x);
		return;
	}
	if (!x->is_stream) {
		send_reply(x);
		return;
	}
	start_stream(x);
	if (x->is_done)
		end_stream(x);
}

static void set_timer(exchange_t *x, double ms)
{
	struct timeval tv = { (time_t)(ms / 1000),
			      (suseconds_t)((int64_t)ms % 1000 * 1000) };

	if (!x->timer)
		x->timer = evtimer_new(x->server->base, on_timer, x);
	evtimer_add(x->timer, &tv);
}

void exchange_cut(exchange_t *x)
{
	x->is_done = true;
	x->is_cut = true;
	x->user = NULL;
	/* Deferred, as evhttp's callback still uses the connection. */
	if (!x->is_silent)
		set_timer(x, 0);
}

static void finish_reply(exchange_t *x)
{
	double delay = server_fault_number(x->server, "delay_ms", 0);

	x->is_done = true;
	x->user = NULL;
	if (x->is_silent)
		return;
	if (x->cut_after && !x->is_control) {
		send_half(x);
		exchange_cut(x);
	} else if (delay > 0 && !x->is_control) {
		set_timer(x, delay);
	} else {
		send_reply(x);
	}
}

void exchange_reply_bytes(exchange_t *x, int status, str_t body)
{
	x->status = status;
	evbuffer_add(x->held, body.ptr, body.len);
	finish_reply(x);
}

void exchange_reply_text(exchange_t *x, int status, const char *text)
{
	exchange_reply_bytes(x, status, str_from(text));
}

void exchange_reply(exchange_t *x, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	json_decref(body);
	exchange_reply_text(x, status, text ? text : "{}");
	free(text);
}

void exchange_stream(exchange_t *x)
{
	double delay = server_fault_number(x->server, "delay_ms", 0);

	x->is_stream = true;
	if (x->is_silent)
		return;
	if (delay > 0)
		set_timer(x, delay);
	else
		start_stream(x);
}

bool exchange_chunk(exchange_t *x, str_t data)
{
	x->chunks++;
	if (x->is_silent)
		return true;
	if (x->cut_after && x->chunks > x->cut_after) {
		exchange_cut(x);
		return false;
	}
	evbuffer_add(x->held, data.ptr, data.len);
	if (x->is_started)
		evhttp_send_reply_chunk(x->req, x->held);
	return true;
}

void exchange_end(exchange_t *x)
{
	x->is_done = true;
	x->user = NULL;
	if (x->is_started && !x->is_silent)
		end_stream(x);
}

/* Stops I/O on connections with open requests, so closes go unnoticed, too. */
static void silence_connections(server_t *s)
{
	for (GList *l = s->exchanges.head; l; l = l->next) {
		exchange_t *x = l->data;

		x->is_silent = true;
		bufferevent_disable(
			evhttp_connection_get_bufferevent(conn_of(x)),
			EV_READ | EV_WRITE);
	}
}

static void rebind(evutil_socket_t fd, short what, void *ctx)
{
	server_t *s = ctx;

	s->bound = evhttp_bind_socket_with_handle(s->http, s->ip, s->port);
}

static void refuse_connections(server_t *s, double ms)
{
	struct timeval tv = { (time_t)(ms / 1000),
			      (suseconds_t)((int64_t)ms % 1000 * 1000) };

	if (!s->bound)
		return;
	evhttp_del_accept_socket(s->http, s->bound);
	s->bound = NULL;
	evtimer_add(s->rebind_timer, &tv);
}

static void set_faults(exchange_t *x)
{
	server_t *s = x->server;
	str_t body = exchange_body(x);
	json_t *set = json_loadb(body.ptr, body.len, 0, NULL);

	if (!json_is_object(set)) {
		json_decref(set);
		exchange_reply_text(x, HTTP_BADREQUEST, "{}");
		return;
	}
	json_object_update(s->faults, set);
	json_decref(set);
	x->status = HTTP_OK;
	evbuffer_add(x->held, "{}", 2);
	send_reply(x);
	if (server_fault_on(s, "silence"))
		silence_connections(s);
	if (server_fault_number(s, "refuse_ms", 0) > 0)
		refuse_connections(s, server_fault_number(s, "refuse_ms", 0));
	if (s->ops.faults)
		s->ops.faults(s->ctx);
	json_object_del(s->faults, "silence");
	json_object_del(s->faults, "refuse_ms");
}

static void reply_oracle(exchange_t *x)
{
	json_t *oracle = x->server->ops.oracle(x->server->ctx);
	char *text = json_dumps(oracle, JSON_COMPACT);

	json_decref(oracle);
	x->status = HTTP_OK;
	evbuffer_add(x->held, text, strlen(text));
	free(text);
	send_reply(x);
}

static void handle_control(exchange_t *x)
{
	server_t *s = x->server;

	x->is_control = true;
	if (exchange_is(x, EVHTTP_REQ_POST, "/standin/faults"))
		set_faults(x);
	else if (exchange_is(x, EVHTTP_REQ_GET, "/standin/oracle"))
		reply_oracle(x);
	else if (!s->ops.control || !s->ops.control(s->ctx, x))
		exchange_reply_text(x, HTTP_NOTFOUND, "{}");
}

static void on_request(struct evhttp_request *req, void *ctx)
{
	server_t *s = ctx;
	exchange_t *x = g_new0(exchange_t, 1);
	int status = (int)server_fault_number(s, "status", 0);

	x->server = s;
	x->req = req;
	x->held = evbuffer_new();
	x->link.data = x;
	x->cut_after = (uint32_t)server_fault_number(s, "cut_after", 0);
	g_queue_push_tail_link(&s->exchanges, &x->link);
	evhttp_connection_set_closecb(conn_of(x), on_close, x);
	if (g_str_has_prefix(exchange_path(x), "/standin/"))
		handle_control(x);
	else if (server_fault_on(s, "hang"))
		x->is_done = true;
	else if (status)
		exchange_reply_text(x, status, "{\"error\":\"fault\"}");
	else
		s->ops.request(s->ctx, x);
}

static void on_signal(evutil_socket_t fd, short what, void *ctx)
{
	event_base_loopbreak(ctx);
}

static bool parse_listen(server_t *s, const char *listen, err_t *err)
{
	const char *colon = strrchr(listen, ':');
	guint64 port;

	if (!colon ||
	    !str_copy(s->ip, sizeof(s->ip),
		      (str_t){ listen, colon - listen }) ||
	    !g_ascii_string_to_unsigned(colon + 1, 10, 0, UINT16_MAX, &port,
					NULL))
		return err_set(err, ERR_INVALID, "listen", listen,
			       "IP:port is expected");
	s->port = (uint16_t)port;
	return true;
}

static void read_port(server_t *s)
{
	struct sockaddr_in addr = { 0 };
	socklen_t len = sizeof(addr);

	getsockname(evhttp_bound_socket_get_fd(s->bound),
		    (struct sockaddr *)&addr, &len);
	s->port = ntohs(addr.sin_port);
}

bool server_init(server_t *s, const char *listen, const server_ops_t *ops,
		 void *ctx, err_t *err)
{
	const int numbers[2] = { SIGTERM, SIGINT };

	memset(s, 0, sizeof(*s));
	if (!parse_listen(s, listen, err))
		return false;
	signal(SIGPIPE, SIG_IGN);
	s->ops = *ops;
	s->ctx = ctx;
	s->faults = json_object();
	g_queue_init(&s->exchanges);
	s->base = event_base_new();
	s->http = evhttp_new(s->base);
	s->rebind_timer = evtimer_new(s->base, rebind, s);
	evhttp_set_timeout(s->http, IDLE_TIMEOUT_S);
	evhttp_set_max_body_size(s->http, MAX_BODY);
	evhttp_set_gencb(s->http, on_request, s);
	s->bound = evhttp_bind_socket_with_handle(s->http, s->ip, s->port);
	if (!s->bound) {
		server_finish(s);
		return err_set(err, ERR_SYSTEM, "listen", listen,
			       "cannot bind the address");
	}
	for (int i = 0; i < 2; i++) {
		s->signals[i] =
			evsignal_new(s->base, numbers[i], on_signal, s->base);
		evsignal_add(s->signals[i], NULL);
	}
	read_port(s);
	printf("listening %s:%u\n", s->ip, s->port);
	fflush(stdout);
	return true;
}

void server_run(server_t *s)
{
	event_base_dispatch(s->base);
}

void server_finish(server_t *s)
{
	GList *l;

	while ((l = g_queue_pop_head_link(&s->exchanges))) {
		exchange_t *x = l->data;

		evhttp_connection_set_closecb(conn_of(x), NULL, NULL);
		exchange_clear(x);
	}
	for (int i = 0; i < 2; i++)
		if (s->signals[i])
			event_free(s->signals[i]);
	event_free(s->rebind_timer);
	evhttp_free(s->http);
	event_base_free(s->base);
	json_decref(s->faults);
}
