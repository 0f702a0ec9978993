/*
 * Pool of persistent connections to upstreams; an upstream_conn_t is one
 * connection, the upstream's own or a tunnel through another daemon, a proxy
 * (net/tunnel.h). It carries one request at a time, and requests are never retried
 * here. A connection that received data outside of an answer is closed, not
 * reused.
 */
#ifndef DAEMON_UPSTREAM_H
#define DAEMON_UPSTREAM_H

#include <event2/buffer.h>
#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

#include "net/http1.h"

typedef enum upstream_end {
	UPSTREAM_COMPLETE, /* the answer is complete */
	UPSTREAM_UNSENT, /* no connection; no byte was sent */
	UPSTREAM_BROKEN, /* the connection broke after sending began */
	UPSTREAM_MALFORMED, /* invalid answer, or a callback returned false */
} upstream_end_t;

/* What failed, after UPSTREAM_UNSENT or UPSTREAM_BROKEN. */
typedef enum upstream_way {
	UPSTREAM_WAY_DIRECT, /* the connection to the upstream */
	UPSTREAM_WAY_REMOTE, /* the same, as its proxy says */
	UPSTREAM_WAY_PROXY, /* the proxy, or the connection to it */
} upstream_way_t;

/* Which idle connection a request may use; else it gets a new one. */
typedef enum upstream_reuse {
	UPSTREAM_REUSE_NONE,
	/*
	 * One that the upstream is far from closing for being idle, and that it
	 * has sent nothing on since its last answer.
	 */
	UPSTREAM_REUSE_FRESH,
	UPSTREAM_REUSE_ANY, /* the upstream may have closed it unnoticed */
} upstream_reuse_t;

typedef struct upstream_ops {
	/* The answer's head; not called for 1xx. False aborts the exchange. */
	bool (*head)(void *ctx, const http1_head_t *head);
	/* Bytes of the body, without framing. False aborts the exchange. */
	bool (*body)(void *ctx, str_t bytes);
	/* The exchange ended; the last callback, called once. */
	void (*end)(void *ctx, upstream_end_t end);
} upstream_ops_t;

typedef struct upstream_stats {
	/* Connections attempted, reused, and with data outside of an answer. */
	uint64_t connects, reuses, unexpected_data;
	uint64_t skipped; /* dropped answers to earlier requests */
} upstream_stats_t;

typedef struct upstream_conn upstream_conn_t;

typedef struct upstream_pool {
	struct event_base *base;
	str_t secret; /* of the daemons, for tunnels; must outlive the pool */
	GHashTable *idle; /* address, and proxy, to GQueue of upstream_conn_t */
	GHashTable *busy; /* set of upstream_conn_t */
	/* closed upstream_conn_t; the reaper will free them */
	GPtrArray *retired;
	/* timer; frees retired connections, closes expired idle ones */
	struct event *reaper;
	upstream_stats_t stats;
} upstream_pool_t;

void upstream_pool_init(upstream_pool_t *p, struct event_base *base,
			str_t secret);
/* Closes all connections; no callback is called. */
void upstream_pool_finish(upstream_pool_t *p);

/*
 * Sends REQUEST to ADDRESS, IP:port, and drains it; through the tunnel of a
 * daemon if PROXY, its IP:port, isn't NULL. Returns NULL when no connection can
 * be attempted; no callback is called then.
 */
upstream_conn_t *upstream_conn_start(upstream_pool_t *p, const char *address,
				     const char *proxy, upstream_reuse_t reuse,
				     bool is_head_request,
				     struct evbuffer *request,
				     const upstream_ops_t *ops, void *ctx);
/*
 * The head is of an answer to an earlier request: drops that answer and waits
 * for the next head. Call it in the head callback, on a connection that had an
 * exchange before, and return its result.
 */
bool upstream_conn_skip_answer(upstream_conn_t *u);
/*
 * Returns, in the end callback, for how many milliseconds UPSTREAM_REUSE_FRESH
 * will find the connection; 0: it was closed.
 */
uint32_t upstream_conn_fresh_ms(const upstream_conn_t *u);
/* Closes the connection at once; no callback is called. */
void upstream_conn_cancel(upstream_conn_t *u);
/* Closes the idle connections to ADDRESS that have no proxy. */
void upstream_pool_drop_idle(upstream_pool_t *p, const char *address);
/* Returns, in the end callback, what failed. */
upstream_way_t upstream_conn_way(const upstream_conn_t *u);
/* Stops or resumes reading, for a slow caller. */
void upstream_conn_pause(upstream_conn_t *u, bool is_paused);
/* True once the first byte may have been sent. */
bool upstream_conn_is_sent(const upstream_conn_t *u);
/* Returns when the connection was begun; microseconds, monotonic clock. */
int64_t upstream_conn_opened_at(const upstream_conn_t *u);
/*
 * True when the connection had an exchange before this one, so that a late copy
 * of an earlier answer may arrive on it.
 */
bool upstream_conn_is_reused(const upstream_conn_t *u);

#endif
