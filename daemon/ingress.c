#include "daemon/gateway.h"

enum {
	/* Limits where the configuration states none. */
	DEFAULT_MAX_HEADER_BYTES = 16 * 1024,
	DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024,
	DEFAULT_TIMEOUT_MS = 5000,
};

static uint64_t or_default(uint64_t stated, uint64_t fallback)
{
	return stated ? stated : fallback;
}

static http_limits_t limits(void *ctx)
{
	const gateway_t *g = ctx;
	fleet_limits_t l = { 0 };

	if (g->fleet)
		l = g->fleet->limits;
	return (http_limits_t){
		.max_header_bytes = or_default(l.max_header_bytes,
					       DEFAULT_MAX_HEADER_BYTES),
		.max_body_bytes =
			or_default(l.max_body_bytes, DEFAULT_MAX_BODY_BYTES),
		.header_timeout_ms = (int64_t)or_default(
			(uint64_t)l.header_timeout_ms, DEFAULT_TIMEOUT_MS),
		.idle_timeout_ms = (int64_t)or_default(
			(uint64_t)l.idle_timeout_ms, DEFAULT_TIMEOUT_MS),
	};
}

static void write_error(http_conn_t *conn, int status, int64_t retry_after_ms,
			const char *why)
{
	g_autofree char *body =
		g_strdup_printf("{\"error\":{\"message\":\"%s\"}}", why);
	const http1_head_t *head = http_conn_head(conn);
	str_t id = { "", 0 };
	call_head_t call;

	if (head && call_head_read(head, &call, NULL))
		id = call.attempt_id;
	answer_own_write(http_conn_output(conn), status, id, retry_after_ms,
			 str_from(body), http_conn_is_head_request(conn),
			 http_conn_is_last(conn));
}

static void on_refusal(void *ctx, http_conn_t *conn, int status,
		       int64_t retry_after_ms, const char *why)
{
	write_error(conn, status, retry_after_ms, why);
}

static void on_request(void *ctx, http_conn_t *conn, const http1_head_t *head,
		       GBytes *body)
{
	relay_start(ctx, conn, head, body);
}

static void on_left(void *ctx, http_conn_t *conn, const char *why)
{
	relay_t *relay = http_conn_user(conn);

	http_conn_set_user(conn, NULL);
	if (relay)
		relay_cancel(relay, why);
}

static void on_written(void *ctx, http_conn_t *conn)
{
	relay_t *relay = http_conn_user(conn);

	if (relay)
		relay_resume(relay);
}

void ingress_answer_error(ingress_t *c, int status, int64_t retry_after_ms,
			  const char *why)
{
	write_error(c, status, retry_after_ms, why);
	http_conn_end(c);
}

void ingress_answer(ingress_t *c, const http1_head_t *head,
		    struct evbuffer *body)
{
	struct evbuffer *out = http_conn_output(c);

	answer_head_write(out, head, (int64_t)evbuffer_get_length(body),
			  http_conn_is_last(c));
	evbuffer_add_buffer(out, body);
	http_conn_end(c);
}

void ingress_begin_stream(ingress_t *c, const http1_head_t *head)
{
	bool is_last = http_conn_is_last(c);

	/* If the head announces the close, it must follow. */
	if (is_last)
		http_conn_set_last(c);
	answer_head_write(http_conn_output(c), head, -1, is_last);
}

void ingress_write_chunk(ingress_t *c, str_t bytes)
{
	struct evbuffer *out = http_conn_output(c);

	if (http_conn_is_head_request(c))
		return;
	evbuffer_add_printf(out, "%zx\r\n", bytes.len);
	evbuffer_add(out, bytes.ptr, bytes.len);
	evbuffer_add(out, "\r\n", 2);
}

void ingress_end_stream(ingress_t *c, bool is_whole)
{
	if (is_whole && !http_conn_is_head_request(c))
		evbuffer_add(http_conn_output(c), "0\r\n\r\n", 5);
	else if (!is_whole)
		/* Without the last chunk, the answer is visibly incomplete. */
		http_conn_set_last(c);
	http_conn_end(c);
}

size_t ingress_backlog(const ingress_t *c)
{
	return http_conn_backlog(c);
}

void ingress_set_relay(ingress_t *c, relay_t *relay)
{
	http_conn_set_user(c, relay);
}

static uint32_t count_upstreams(void *ctx)
{
	const gateway_t *g = ctx;
	/* A tunnel has two connections. */
	uint32_t n = g_hash_table_size(g->pool.busy) +
		     2 * tunnel_server_count(&g->tunnels);
	GHashTableIter iter;
	GQueue *idle;

	g_hash_table_iter_init(&iter, g->pool.idle);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&idle))
		n += idle->length;
	return n;
}

const http_server_ops_t ingress_ops = {
	.limits = limits,
	.request = on_request,
	.refuse = on_refusal,
	.left = on_left,
	.written = on_written,
	.upstreams = count_upstreams,
};
