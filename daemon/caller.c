#include "daemon/caller.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <glib.h>
#include <jansson.h>
#include <stdlib.h>

#include "common/clock.h"

static void stop_watching(caller_t *c)
{
	struct evhttp_connection *conn = evhttp_request_get_connection(c->req);

	if (conn)
		evhttp_connection_set_closecb(conn, NULL, NULL);
	if (c->closed)
		event_free(c->closed);
	c->closed = NULL;
	c->req = NULL;
}

/* Called by evhttp when it closes the connection itself. */
static void on_close(struct evhttp_connection *conn, void *arg)
{
	caller_t *c = arg;

	stop_watching(c);
	c->ops->disconnected(c->ctx, c);
}

/*
 * evhttp does not read from the socket while a request is processed, so it
 * would miss a disconnect; EV_CLOSED reports it.
 */
static void on_socket_closed(evutil_socket_t fd, short what, void *arg)
{
	caller_t *c = arg;

	caller_finish(c);
	c->ops->disconnected(c->ctx, c);
}

void caller_init(caller_t *c, struct event_base *base,
		 struct evhttp_request *req, const caller_ops_t *ops, void *ctx)
{
	struct evhttp_connection *conn = evhttp_request_get_connection(req);
	evutil_socket_t fd =
		bufferevent_getfd(evhttp_connection_get_bufferevent(conn));

	*c = (caller_t){ .req = req, .ops = ops, .ctx = ctx };
	evhttp_connection_set_closecb(conn, on_close, c);
	c->closed = event_new(base, fd, EV_CLOSED, on_socket_closed, c);
	event_add(c->closed, NULL);
}

void caller_finish(caller_t *c)
{
	struct evhttp_connection *conn;

	if (!c->req)
		return;
	conn = evhttp_request_get_connection(c->req);
	stop_watching(c);
	if (conn)
		evhttp_connection_free(conn);
}

static void add_header(caller_t *c, const char *name, const char *value)
{
	if (value)
		evhttp_add_header(evhttp_request_get_output_headers(c->req),
				  name, value);
}

static void add_head(caller_t *c, const response_head_t *head)
{
	char seconds[16];

	add_header(c, "Content-Type", head->content_type);
	add_header(c, "Papaya-Request-Id", head->request_id);
	if (head->outcome != OUTCOME_NONE)
		add_header(c, "Papaya-Outcome", outcome_name(head->outcome));
	if (!head->retry_after_ms)
		return;
	/* The header holds whole seconds; round up, never retry too early. */
	g_snprintf(seconds, sizeof(seconds), "%u",
		   (head->retry_after_ms + 999) / 1000);
	add_header(c, "Retry-After", seconds);
}

void caller_reply(caller_t *c, const response_head_t *head, str_t body)
{
	struct evhttp_request *req = c->req;
	struct evbuffer *out;

	if (!req)
		return;
	add_head(c, head);
	stop_watching(c);
	out = evbuffer_new();
	evbuffer_add(out, body.ptr, body.len);
	evhttp_send_reply(req, head->status, NULL, out);
	evbuffer_free(out);
}

char *caller_error_json(const char *message, const char *field,
			outcome_t outcome, const char *request_id)
{
	json_t *error = json_pack("{s:s, s:s, s:s*, s:s*}", "message", message,
				  "outcome", outcome_name(outcome), "field",
				  field, "request_id", request_id);
	json_t *root = json_pack("{s:o}", "error", error);
	char *text = json_dumps(root, JSON_COMPACT);
	char *copy = g_strdup(text);

	free(text);
	json_decref(root);
	return copy;
}

void caller_reply_error(caller_t *c, const response_head_t *head,
			const char *field, const char *message)
{
	g_autofree char *text = caller_error_json(message, field, head->outcome,
						  head->request_id);
	response_head_t json_head = *head;

	json_head.content_type = "application/json";
	caller_reply(c, &json_head, str_from(text));
}

void caller_begin_stream(caller_t *c, const response_head_t *head)
{
	if (!c->req || c->is_started)
		return;
	c->is_started = true;
	add_head(c, head);
	add_header(c, "Cache-Control", "no-store");
	evhttp_send_reply_start(c->req, head->status, NULL);
}

static void on_drained(struct evhttp_connection *conn, void *arg)
{
	caller_t *c = arg;

	if (!c->req)
		return;
	c->unwritten_since = 0;
	c->ops->drained(c->ctx, c);
}

void caller_write_chunk(caller_t *c, str_t bytes)
{
	struct evbuffer *out;

	if (!c->req)
		return;
	out = evbuffer_new();
	evbuffer_add(out, bytes.ptr, bytes.len);
	evhttp_send_reply_chunk_with_cb(c->req, out, on_drained, c);
	evbuffer_free(out);
	if (!c->unwritten_since)
		c->unwritten_since = clock_boottime_us();
}

void caller_end_stream(caller_t *c)
{
	struct evhttp_request *req = c->req;

	if (!req)
		return;
	stop_watching(c);
	evhttp_send_reply_end(req);
}

size_t caller_backlog(const caller_t *c)
{
	struct evhttp_connection *conn;

	if (!c->req)
		return 0;
	conn = evhttp_request_get_connection(c->req);
	return evbuffer_get_length(bufferevent_get_output(
		evhttp_connection_get_bufferevent(conn)));
}
