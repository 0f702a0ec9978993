/*
 * Connections to upstreams, kept for further requests. One request is on a
 * connection at a time; nothing is ever sent again by itself. A connection
 * on which anything came out of turn is closed and never used again.
 */
#ifndef DAEMON_UPSTREAM_H
#define DAEMON_UPSTREAM_H

#include <event2/buffer.h>
#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

#include "net/http1.h"

typedef enum upstream_end {
	UPSTREAM_WHOLE, /* the answer is complete */
	UPSTREAM_UNSENT, /* no connection: not a byte was sent */
	UPSTREAM_BROKEN, /* broke after the first byte was sent */
	UPSTREAM_MALFORMED, /* what came is no answer */
} upstream_end_t;

typedef struct upstream_ops {
	/* The answer's head, other than 1xx. False gives the answer up. */
	bool (*head)(void *ctx, const http1_head_t *head);
	bool (*body)(void *ctx, str_t bytes);
	/* The exchange is over; called once, and nothing follows. */
	void (*end)(void *ctx, upstream_end_t end);
} upstream_ops_t;

typedef struct upstream_stats {
	uint64_t connects, reuses, out_of_turn;
} upstream_stats_t;

typedef struct upstream upstream_t;

typedef struct upstream_pool {
	struct event_base *base;
	GHashTable *idle; /* address to GQueue of upstream_t */
	GHashTable *busy; /* set of upstream_t */
	GPtrArray *ended; /* to be freed from the event loop */
	struct event *reaper;
	upstream_stats_t stats;
} upstream_pool_t;

void upstream_pool_init(upstream_pool_t *p, struct event_base *base);
/* Closes all connections without callbacks. */
void upstream_pool_finish(upstream_pool_t *p);

/*
 * Sends REQUEST, whose bytes are taken, to IP:port. MAY_REUSE allows a
 * connection that was used before, which the upstream may have closed
 * unnoticed. NULL when no connection can be tried; nothing follows then.
 */
upstream_t *upstream_start(upstream_pool_t *p, const char *address,
			   bool may_reuse, bool is_head_request,
			   struct evbuffer *request, const upstream_ops_t *ops,
			   void *ctx);
/* Closes the connection at once; no callback follows. */
void upstream_cancel(upstream_t *u);
/* Stops or resumes reading, for a slow caller. */
void upstream_pause(upstream_t *u, bool is_paused);
/* True once the first byte may have left. */
bool upstream_is_sent(const upstream_t *u);

#endif
