/*
 * HTTP/1.1 server for untrusted callers, used by the gateway and by the own
 * interface. It reads whole requests, one at a time per connection, and bounds
 * the bytes that it holds for them, the time that they take to arrive, and the
 * number of connections (core/intake_budget.h, docs/design/intake.md).
 */
#ifndef DAEMON_HTTP_SERVER_H
#define DAEMON_HTTP_SERVER_H

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/err.h"
#include "core/byte_budget.h"
#include "core/intake_budget.h"
#include "daemon/supervisor.h"
#include "net/http1.h"

/* One caller's connection. */
typedef struct http_conn http_conn_t;

/* What a request may be, and how long it may take. */
typedef struct http_limits {
	uint64_t max_header_bytes;
	uint64_t max_body_bytes;
	int64_t header_timeout_ms; /* of a whole head; 0: not bounded */
	int64_t idle_timeout_ms; /* without any byte */
} http_limits_t;

typedef struct http_server_ops {
	http_limits_t (*limits)(void *ctx);
	/*
	 * A request is complete. It is answered through CONN, possibly before
	 * this returns; HEAD is valid until then. BODY counts in requests until
	 * its last reference is dropped, so the server must outlive it.
	 */
	void (*request)(void *ctx, http_conn_t *conn, const http1_head_t *head,
			GBytes *body);
	/* Writes the answer to a request that can't be read to its end. */
	void (*refuse)(void *ctx, http_conn_t *conn, int status,
		       int64_t retry_after_ms, const char *why);
	/*
	 * The connection ended before its answer, as WHY says; CONN is invalid
	 * afterwards.
	 */
	void (*left)(void *ctx, http_conn_t *conn, const char *why);
	/* All output was written. */
	void (*written)(void *ctx, http_conn_t *conn);
	/* Returns how many connections are open towards upstreams. */
	uint32_t (*upstreams)(void *ctx);
} http_server_ops_t;

typedef struct http_server {
	supervisor_t *sup;
	struct evconnlistener *listener; /* NULL: accepts nothing new */
	struct event *resume; /* accepts again after a lack of descriptors */
	const http_server_ops_t *ops;
	void *ctx;
	uint64_t memory; /* of the process, in bytes */
	intake_budget_t intake; /* of requests that are not complete */
	byte_budget_t requests; /* of all requests until they are answered */
	byte_budget_t *answers; /* counts the output; NULL: not counted */
	bool is_draining; /* connections close after their answer */
} http_server_t;

/* Listens on the settings' address for callers. ANSWERS may be NULL. */
bool http_server_init(http_server_t *s, supervisor_t *sup,
		      const http_server_ops_t *ops, void *ctx,
		      byte_budget_t *answers, err_t *err);
/* Closes all connections, without a callback. */
void http_server_finish(http_server_t *s);
/* Accepts no more connections; open ones stay. */
void http_server_stop_listening(http_server_t *s);
/* Closes the connections without a request that is read or answered. */
void http_server_close_idle(http_server_t *s);
/* Returns the number of open connections. */
uint32_t http_server_connections(const http_server_t *s);
/* Sets the server's metrics. */
void http_server_export(const http_server_t *s);

/* The user of a request's connection; NULL at the start of each request. */
void http_conn_set_user(http_conn_t *c, void *user);
void *http_conn_user(const http_conn_t *c);
/* Head of the request that is being read or answered; NULL: not received. */
const http1_head_t *http_conn_head(const http_conn_t *c);
/* True while a HEAD request is answered: its answer has no body. */
bool http_conn_is_head_request(const http_conn_t *c);
/* Where answers are written. */
struct evbuffer *http_conn_output(http_conn_t *c);
/* Bytes of answers that are not written to the socket yet. */
size_t http_conn_backlog(const http_conn_t *c);
/* Closes the connection after its answer. */
void http_conn_set_last(http_conn_t *c);
/* Returns whether the connection closes after the answer to this request. */
bool http_conn_is_last(const http_conn_t *c);
/* The whole answer is in the output: awaits the next request, or closes. */
void http_conn_end(http_conn_t *c);
/* Closes at once, without a callback. */
void http_conn_free(http_conn_t *c);

#endif
