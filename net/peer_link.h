/*
 * One connection between two daemons. It is made or accepted and must complete
 * the handshake (hello and proof from both sides) within the connect timeout.
 * It then carries frames until nothing is received for the silence timeout. A
 * connection whose peer violates the protocol is closed.
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
	/* The longest frame accepted before the handshake is done. */
	PEER_LINK_MAX_HANDSHAKE = 4096, /* bytes */
};

struct peer_link;

typedef struct peer_link_ops {
	/* The handshake is done; the link's vm is what the peer sent. */
	void (*authenticated)(void *ctx, struct peer_link *link);
	void (*frame)(void *ctx, struct peer_link *link,
		      const Papaya__Frame *frame);
	/* Closed by the peer, an error or a timeout, but not by finish. */
	void (*closed)(void *ctx, struct peer_link *link, const err_t *err);
} peer_link_ops_t;

/* Shared by all links of a daemon; must outlive them. */
typedef struct peer_link_env {
	struct event_base *base;
	const peer_config_t *config;
	const peer_link_ops_t *ops;
	void *ctx;
	peer_stats_t *stats;
} peer_link_env_t;

typedef enum peer_link_state {
	PEER_LINK_CONNECTING,
	PEER_LINK_AWAIT_HELLO, /* waits for the peer's hello */
	PEER_LINK_AWAIT_PROOF, /* waits for the peer's proof */
	PEER_LINK_UP,
	PEER_LINK_CLOSED,
} peer_link_state_t;

typedef struct peer_link {
	const peer_link_env_t *env;
	peer_link_state_t state;
	proof_side_t side;
	bool is_probe;
	member_vm_t vm; /* the peer: as expected, then as in its hello */
	uint64_t incarnation; /* of the peer */
	uint64_t own_incarnation; /* as sent in the own hello */
	uint8_t challenge[PROOF_CHALLENGE_SIZE];
	Papaya__Frame *hello; /* the peer's hello */
	struct bufferevent *bev;
	struct event *handshake_timer; /* closes the link at timeout */
} peer_link_t;

/*
 * Starts to connect to VM's peer address; only a peer with VM's name is
 * accepted. Returns false with ERR set, and the link closed, when the attempt
 * can't be started.
 */
bool peer_link_connect(peer_link_t *l, const peer_link_env_t *env,
		       const member_vm_t *vm, bool is_probe, err_t *err);
/*
 * Takes over an accepted socket; FROM is the peer's address, for errors.
 * Returns false with ERR set when out of memory.
 */
bool peer_link_accept(peer_link_t *l, const peer_link_env_t *env,
		      evutil_socket_t fd, const char *from, err_t *err);
/* Closes the link without a callback; may be called more than once. */
void peer_link_finish(peer_link_t *l);
/*
 * Sends a frame. Returns false, with nothing sent, when the link isn't up, the
 * frame is too large or the backlog would overflow.
 */
bool peer_link_send(peer_link_t *l, const Papaya__Frame *frame);

#endif
