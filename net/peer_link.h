/*
 * One connection between two daemons: it is made or accepted, greeted and
 * proved within the connect timeout, and then carries frames until it is
 * silent for too long. A connection that breaks any rule is closed.
 */
#ifndef NET_PEER_LINK_H
#define NET_PEER_LINK_H

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

#include "net/peer.h"
#include "net/proof.h"

enum {
	/* A frame before the proof is at most so long. */
	PEER_LINK_MAX_GREETING = 4096, /* bytes */
};

struct peer_link;

typedef struct peer_link_ops {
	/* Both sides proved the secret; the link's vm is the peer's. */
	void (*proved)(void *ctx, struct peer_link *link);
	void (*frame)(void *ctx, struct peer_link *link,
		      const Papaya__Frame *frame);
	/* Closed by the peer or for a broken rule, not by finish. */
	void (*closed)(void *ctx, struct peer_link *link, const err_t *err);
} peer_link_ops_t;

/* What all links of a daemon share; outlives them. */
typedef struct peer_link_env {
	struct event_base *base;
	const peer_config_t *config;
	const peer_link_ops_t *ops;
	void *ctx;
	peer_stats_t *stats;
} peer_link_env_t;

typedef enum peer_link_state {
	PEER_LINK_CONNECTING,
	PEER_LINK_GREETING, /* waits for the peer's hello */
	PEER_LINK_PROVING, /* waits for the peer's proof */
	PEER_LINK_UP,
	PEER_LINK_CLOSED,
} peer_link_state_t;

typedef struct peer_link {
	const peer_link_env_t *env;
	peer_link_state_t state;
	proof_side_t side;
	bool is_probe;
	member_vm_t vm; /* the peer, as expected and then as greeted */
	uint64_t incarnation; /* of the peer */
	uint64_t own_incarnation; /* as greeted */
	uint8_t challenge[PROOF_CHALLENGE_SIZE];
	Papaya__Frame *hello; /* the peer's greeting */
	struct bufferevent *bev;
	struct event *deadline; /* of the greeting */
} peer_link_t;

/*
 * Connects to VM's peer address; only the daemon of that name is accepted.
 * Returns false with ERR set, and the link closed, when it cannot even try.
 */
bool peer_link_connect(peer_link_t *l, const peer_link_env_t *env,
		       const member_vm_t *vm, bool is_probe, err_t *err);
/* Takes over an accepted socket; FROM is its address, for errors. */
bool peer_link_accept(peer_link_t *l, const peer_link_env_t *env,
		      evutil_socket_t fd, const char *from, err_t *err);
/* Closes without a callback; may be called again. */
void peer_link_finish(peer_link_t *l);
/* Returns false when the link is not up or its backlog would overflow. */
bool peer_link_send(peer_link_t *l, const Papaya__Frame *frame);

#endif
