#include "net/http.h"

#include <event2/bufferevent.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>

#include "common/timeval.h"
#include "net/http1.h"
#include "net/tcp.h"

enum { MAX_HEADER_BYTES = 64 * 1024 /* bytes */ };

struct http_exchange {
	http_call_t *call; /* NULL after http_call_finish */
	struct evhttp_connection *conn;
	struct event *timer; /* connect timeout; later the deferred end */
	http_call_ops_t ops;
	void *ctx;
	err_t err;
	int status;
	int depth; /* evhttp callbacks on the call stack */
	bool is_sent; /* the first byte was queued on the connection */
	bool is_ended;
	char peer[ERR_PEER_SIZE];
};

/*
 * What the peer has not received of an exchange that failed, or was given up,
 * must not reach it later.
 */
static void close_connection(struct http_exchange *ex)
{
	struct bufferevent *bev;

	if (!ex->conn)
		return;
	bev = evhttp_connection_get_bufferevent(ex->conn);
	if (!ex->is_ended || ex->err.code != ERR_NONE)
		tcp_reset_on_close(bufferevent_getfd(bev));
	evhttp_connection_free(ex->conn);
	ex->conn = NULL;
}

static void free_exchange(struct http_exchange *ex)
{
	close_connection(ex);
	if (ex->timer)
		event_free(ex->timer);
	g_free(ex);
}

/*
 * Ends the exchange from the event loop instead of from inside evhttp, so that
 * the end callback may free the connection.
 */
static void end_deferred(struct http_exchange *ex)
{
	ex->is_ended = true;
	event_del(ex->timer);
	event_active(ex->timer, EV_TIMEOUT, 0);
}

static void fail(struct http_exchange *ex, err_code_t code, const char *step,
		 const char *detail)
{
	if (ex->is_ended)
		return;
	err_set(&ex->err, code, step, ex->peer, "%s", detail);
	end_deferred(ex);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct http_exchange *ex = arg;

	if (!ex->call) {
		free_exchange(ex);
		return;
	}
	if (!ex->is_ended) {
		if (ex->is_sent)
			return;
		err_set(&ex->err, ERR_TIMEOUT, "connect", ex->peer,
			"no connection in time");
		ex->is_ended = true;
	}
	/* Free it first: no evhttp callback may follow the end callback. */
	close_connection(ex);
	ex->ops.end(ex->ctx, ex->status,
		    ex->err.code == ERR_NONE ? NULL : &ex->err);
}

static void on_error(enum evhttp_request_error error, void *arg)
{
	struct http_exchange *ex = arg;

	switch (error) {
	case EVREQ_HTTP_TIMEOUT:
		fail(ex, ERR_TIMEOUT, "exchange", "no data in time");
		break;
	case EVREQ_HTTP_INVALID_HEADER:
		fail(ex, ERR_INVALID, "read headers", "malformed headers");
		break;
	case EVREQ_HTTP_DATA_TOO_LONG:
		fail(ex, ERR_LIMIT, "read body", "the answer is too long");
		break;
	default:
		fail(ex, ERR_CLOSED, "exchange", "the connection broke");
		break;
	}
}

static void on_done(struct evhttp_request *req, void *arg)
{
	struct http_exchange *ex = arg;

	if (!req)
		fail(ex, ERR_CLOSED, "exchange", "the connection broke");
	else if (!evhttp_request_get_response_code(req))
		fail(ex, ex->is_sent ? ERR_CLOSED : ERR_REFUSED, "connect",
		     ex->is_sent ? "the connection broke" :
				   "the connection was refused");
	else if (!ex->is_ended)
		end_deferred(ex);
}

/* Whether STATUS may be that of an answer, or precede it (100). */
static bool is_usable(int status)
{
	return status == HTTP_STATUS_CONTINUE ||
	       (status >= HTTP_OK && status <= HTTP1_MAX_STATUS);
}

static int on_head(struct evhttp_request *req, void *arg)
{
	struct http_exchange *ex = arg;
	int status = evhttp_request_get_response_code(req);

	if (!is_usable(status)) {
		fail(ex, ERR_INVALID, "read head",
		     "the status code is invalid");
		return -1;
	}
	/* evhttp reads on after it. */
	if (status == HTTP_STATUS_CONTINUE)
		return 0;
	ex->status = status;
	ex->depth++;
	if (ex->call && ex->ops.head)
		ex->ops.head(ex->ctx, ex->status,
			     evhttp_request_get_input_headers(req));
	ex->depth--;
	return 0;
}

static void on_data(struct evhttp_request *req, void *arg)
{
	struct http_exchange *ex = arg;
	struct evbuffer *body = evhttp_request_get_input_buffer(req);

	ex->depth++;
	if (ex->call && ex->ops.data)
		ex->ops.data(ex->ctx, body);
	ex->depth--;
	evbuffer_drain(body, evbuffer_get_length(body));
}

static void on_output(struct evbuffer *out, const struct evbuffer_cb_info *info,
		      void *arg)
{
	struct http_exchange *ex = arg;

	if (ex->is_sent || ex->is_ended || !ex->call || !info->n_added)
		return;
	if (ex->ops.may_send && !ex->ops.may_send(ex->ctx)) {
		/*
		 * libevent would otherwise still write the request in this
		 * iteration of the event loop.
		 */
		shutdown(bufferevent_getfd(
				 evhttp_connection_get_bufferevent(ex->conn)),
			 SHUT_RDWR);
		fail(ex, ERR_REFUSED, "send",
		     "cancelled before anything was sent");
		return;
	}
	ex->is_sent = true;
	event_del(ex->timer);
}

bool http_split_address(const char *address, char *ip, size_t ip_size,
			uint16_t *port, err_t *err)
{
	const char *colon = strrchr(address, ':');
	char *end;
	unsigned long n;

	if (!colon ||
	    !str_copy(ip, ip_size, (str_t){ address, colon - address }))
		goto bad;
	n = strtoul(colon + 1, &end, 10);
	if (end == colon + 1 || *end || n == 0 || n > UINT16_MAX)
		goto bad;
	*port = n;
	return true;
bad:
	return err_set(err, ERR_INVALID, "address", "", "\"%s\" is not IP:port",
		       address);
}

static struct evhttp_request *make_request(struct http_exchange *ex,
					   const http_request_t *request)
{
	struct evhttp_request *req = evhttp_request_new(on_done, ex);
	struct evkeyvalq *headers;

	if (!req)
		return NULL;
	evhttp_request_set_error_cb(req, on_error);
	evhttp_request_set_header_cb(req, on_head);
	evhttp_request_set_chunked_cb(req, on_data);
	headers = evhttp_request_get_output_headers(req);
	for (size_t i = 0; i < request->n_headers; i++)
		evhttp_add_header(headers, request->headers[i].name,
				  request->headers[i].value);
	/* evhttp does not add it, though HTTP/1.1 requires it. */
	if (!evhttp_find_header(headers, "Host"))
		evhttp_add_header(headers, "Host", request->address);
	evhttp_add_header(headers, "Connection", "close");
	evbuffer_add(evhttp_request_get_output_buffer(req), request->body.ptr,
		     request->body.len);
	return req;
}

static bool open_connection(struct http_exchange *ex, struct event_base *base,
			    const http_request_t *request, err_t *err)
{
	struct timeval idle = timeval_from_ms(request->idle_timeout_ms);
	char ip[ERR_PEER_SIZE];
	uint16_t port;

	if (!http_split_address(request->address, ip, sizeof(ip), &port, err))
		return false;
	ex->conn = evhttp_connection_base_new(base, NULL, ip, port);
	if (!ex->conn)
		return err_set(err, ERR_SYSTEM, "connect", ex->peer,
			       "no memory for a connection");
	evhttp_connection_set_timeout_tv(ex->conn, &idle);
	evhttp_connection_set_max_headers_size(ex->conn, MAX_HEADER_BYTES);
	if (request->max_body)
		evhttp_connection_set_max_body_size(
			ex->conn, (ev_ssize_t)request->max_body);
	evbuffer_add_cb(bufferevent_get_output(
				evhttp_connection_get_bufferevent(ex->conn)),
			on_output, ex);
	return true;
}

bool http_call_start(http_call_t *call, struct event_base *base,
		     const http_request_t *request, const http_call_ops_t *ops,
		     void *ctx, err_t *err)
{
	struct http_exchange *ex = g_new0(struct http_exchange, 1);
	struct timeval limit = timeval_from_ms(request->connect_timeout_ms);
	struct evhttp_request *req;

	call->exchange = NULL;
	ex->call = call;
	ex->ops = *ops;
	ex->ctx = ctx;
	g_strlcpy(ex->peer, request->address, sizeof(ex->peer));
	ex->timer = evtimer_new(base, on_timer, ex);
	if (!open_connection(ex, base, request, err))
		goto fail;
	req = make_request(ex, request);
	event_add(ex->timer, &limit);
	ex->depth++;
	if (!req || evhttp_make_request(ex->conn, req, request->method,
					request->path)) {
		err_set(err, ERR_SYSTEM, "connect", ex->peer,
			"the request could not be made");
		goto fail;
	}
	ex->depth--;
	call->exchange = ex;
	return true;
fail:
	free_exchange(ex);
	return false;
}

void http_call_finish(http_call_t *call)
{
	static const struct timeval at_once;
	struct http_exchange *ex = call->exchange;

	call->exchange = NULL;
	if (!ex)
		return;
	ex->call = NULL;
	/* The connection must not be freed inside an evhttp callback. */
	if (ex->depth)
		event_add(ex->timer, &at_once);
	else
		free_exchange(ex);
}

void http_call_pause(http_call_t *call, bool is_paused)
{
	struct http_exchange *ex = call->exchange;
	struct bufferevent *bev;

	if (!ex || !ex->conn)
		return;
	bev = evhttp_connection_get_bufferevent(ex->conn);
	if (is_paused)
		bufferevent_disable(bev, EV_READ);
	else
		bufferevent_enable(bev, EV_READ);
}

bool http_call_is_sent(const http_call_t *call)
{
	return call->exchange && call->exchange->is_sent;
}
