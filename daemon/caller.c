#include "daemon/caller.h"

#include <event2/http.h>
#include <glib.h>
#include <jansson.h>
#include <stdlib.h>

#include "common/clock.h"

enum { DATE_SIZE = 40 };

static void stop_watching(caller_t *c)
{
	if (c->conn)
		http_conn_set_user(c->conn, NULL);
	c->conn = NULL;
}

void caller_init(caller_t *c, http_conn_t *conn, const caller_ops_t *ops,
		 void *ctx)
{
	*c = (caller_t){ .conn = conn, .ops = ops, .ctx = ctx };
	http_conn_set_user(conn, c);
}

void caller_on_left(http_conn_t *conn)
{
	caller_t *c = http_conn_user(conn);

	if (!c)
		return;
	stop_watching(c);
	c->ops->disconnected(c->ctx, c);
}

void caller_on_written(http_conn_t *conn)
{
	caller_t *c = http_conn_user(conn);

	if (!c || !c->unwritten_since)
		return;
	c->unwritten_since = 0;
	c->ops->drained(c->ctx, c);
}

void caller_finish(caller_t *c)
{
	http_conn_t *conn = c->conn;

	stop_watching(c);
	if (conn)
		http_conn_free(conn);
}

static void add_header(struct evbuffer *out, const char *name,
		       const char *value)
{
	if (value)
		evbuffer_add_printf(out, "%s: %s\r\n", name, value);
}

/* Writes status line and headers, without those of the body's framing. */
static void add_head(struct evbuffer *out, const response_head_t *head)
{
	char date[DATE_SIZE];
	char seconds[16];

	evutil_date_rfc1123(date, sizeof(date), NULL);
	evbuffer_add_printf(out, "HTTP/1.1 %d %s\r\n", head->status,
			    http_status_str((enum http_status)head->status));
	add_header(out, "Date", date);
	add_header(out, "Content-Type", head->content_type);
	add_header(out, "Papaya-Request-Id", head->request_id);
	if (head->outcome != OUTCOME_NONE)
		add_header(out, "Papaya-Outcome", outcome_name(head->outcome));
	if (!head->retry_after_ms)
		return;
	/* The header holds whole seconds; round up, never retry too early. */
	g_snprintf(seconds, sizeof(seconds), "%u",
		   (head->retry_after_ms + 999) / 1000);
	add_header(out, "Retry-After", seconds);
}

static void end_head(http_conn_t *conn)
{
	struct evbuffer *out = http_conn_output(conn);

	if (http_conn_is_last(conn)) {
		/* The head announces the close, so it must follow. */
		http_conn_set_last(conn);
		add_header(out, "Connection", "close");
	} else if (!http_conn_head(conn)->takes_chunks) {
		/* Asked for by a caller of HTTP/1.0, whose default is close. */
		add_header(out, "Connection", "keep-alive");
	}
	evbuffer_add(out, "\r\n", 2);
}

void caller_write_reply(http_conn_t *conn, const response_head_t *head,
			str_t body)
{
	struct evbuffer *out = http_conn_output(conn);

	add_head(out, head);
	if (head->status != HTTP_NOCONTENT && head->status != HTTP_NOTMODIFIED)
		evbuffer_add_printf(out, "Content-Length: %zu\r\n", body.len);
	end_head(conn);
	if (!http_conn_is_head_request(conn))
		evbuffer_add(out, body.ptr, body.len);
}

void caller_reply(caller_t *c, const response_head_t *head, str_t body)
{
	http_conn_t *conn = c->conn;

	if (!conn)
		return;
	stop_watching(c);
	caller_write_reply(conn, head, body);
	http_conn_end(conn);
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
	if (!c->conn || c->is_started)
		return;
	c->is_started = true;
	c->is_chunked = http_conn_head(c->conn)->takes_chunks;
	if (!c->is_chunked)
		http_conn_set_last(c->conn);
	add_head(http_conn_output(c->conn), head);
	add_header(http_conn_output(c->conn), "Cache-Control", "no-store");
	if (c->is_chunked)
		add_header(http_conn_output(c->conn), "Transfer-Encoding",
			   "chunked");
	end_head(c->conn);
}

void caller_write_chunk(caller_t *c, str_t bytes)
{
	struct evbuffer *out;

	if (!c->conn || !bytes.len)
		return;
	out = http_conn_output(c->conn);
	if (c->is_chunked)
		evbuffer_add_printf(out, "%zx\r\n", bytes.len);
	evbuffer_add(out, bytes.ptr, bytes.len);
	if (c->is_chunked)
		evbuffer_add(out, "\r\n", 2);
	if (!c->unwritten_since)
		c->unwritten_since = clock_boottime_us();
}

void caller_end_stream(caller_t *c)
{
	http_conn_t *conn = c->conn;

	if (!conn)
		return;
	stop_watching(c);
	if (c->is_chunked)
		evbuffer_add(http_conn_output(conn), "0\r\n\r\n", 5);
	http_conn_end(conn);
}

size_t caller_backlog(const caller_t *c)
{
	return c->conn ? http_conn_backlog(c->conn) : 0;
}
