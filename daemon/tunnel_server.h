/*
 * Connects other daemons, which are cut off from runners, to these: the proxy's
 * side of net/tunnel.h. A tunnel belongs to one connection of another daemon and
 * ends with it. The number of tunnels and the bytes that each holds are bounded.
 */
#ifndef DAEMON_TUNNEL_SERVER_H
#define DAEMON_TUNNEL_SERVER_H

#include <event2/event.h>
#include <event2/listener.h>
#include <glib.h>
#include <stdbool.h>

#include "common/err.h"
#include "common/str.h"

/* What a proxy can say of a runner before it tries. */
typedef enum tunnel_reach {
	TUNNEL_REACH_TRY,
	TUNNEL_REACH_NO, /* it reaches others, but not this one */
	TUNNEL_REACH_UNKNOWN, /* it reaches none, or doesn't know the runner */
} tunnel_reach_t;

typedef struct tunnel_server_ops {
	tunnel_reach_t (*reach)(void *ctx, const char *address);
	/* A connection to the runner was established, or failed. */
	void (*result)(void *ctx, const char *address, bool is_connected);
} tunnel_server_ops_t;

typedef struct tunnel_server {
	struct event_base *base;
	struct evconnlistener *listener; /* NULL: tunnels are switched off */
	str_t secret; /* must outlive the server */
	const tunnel_server_ops_t *ops;
	void *ctx;
	GQueue tunnels;
	bool is_leaving;
	uint64_t n_opened, n_refused;
} tunnel_server_t;

/* Listens on ADDRESS, IP:port; NULL: tunnels are switched off. */
bool tunnel_server_init(tunnel_server_t *s, struct event_base *base,
			const char *address, str_t secret,
			const tunnel_server_ops_t *ops, void *ctx, err_t *err);
/* Closes all tunnels. */
void tunnel_server_finish(tunnel_server_t *s);
/* Opens no more tunnels, and has those without a request closed. */
void tunnel_server_leave(tunnel_server_t *s);
/* Returns the number of open tunnels. */
uint32_t tunnel_server_count(const tunnel_server_t *s);

#endif
