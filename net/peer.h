/*
 * Links between daemons: protobuf-c frames over TCP, each with a 4-byte length
 * prefix that is checked before anything is allocated. A link starts with a
 * handshake: both sides send their version, name, zone and incarnation and
 * prove that they know the peer secret. It then carries frames such as
 * heartbeats. A link that breaks is reconnected with jitter. Owns its sockets;
 * callbacks run on the event base's thread.
 */
#ifndef NET_PEER_H
#define NET_PEER_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/err.h"
#include "common/str.h"
#include "core/member.h"
#include "net/peer.pb-c.h"

enum {
	PEER_PROTOCOL_VERSION = 1,
	PEER_MAX_FRAME = 1 << 20, /* bytes */
};

typedef struct peer_config {
	member_vm_t self;
	uint64_t incarnation;
	str_t secret; /* shared by all daemons; must outlive the peer_t */
	int64_t connect_timeout_ms;
	/* A link is closed after this time without input. */
	int64_t silence_timeout_ms;
	int64_t max_backlog; /* limit of unsent bytes per link */
	uint64_t seed; /* of the reconnect jitter */
} peer_config_t;

typedef struct peer_ops {
	/* A handshake is done; VM is the peer's description of itself. */
	void (*up)(void *ctx, const member_vm_t *vm, uint64_t incarnation);
	/*
	 * A link was closed, but not by peer_drop. A link that is kept is
	 * reconnected automatically. A newer connection from the same peer
	 * replaces the link, which causes down() followed by up().
	 */
	void (*down)(void *ctx, const char *name, const err_t *err);
	/* Receives all but hello and proof; FRAME is freed on return. */
	void (*frame)(void *ctx, const char *name, const Papaya__Frame *frame);
	/* The result of peer_probe(). */
	void (*probed)(void *ctx, const char *name, bool is_ok);
} peer_ops_t;

typedef struct peer_stats {
	uint64_t frames_in, frames_out, bytes_in, bytes_out;
	/* Refused connections count as refused frames. */
	uint64_t connects, refused_frames, dropped_backlog;
	uint32_t links_up;
} peer_stats_t;

struct peer_table;

typedef struct peer {
	struct peer_table *table;
} peer_t;

/*
 * Listens on the peer address of CONFIG's self. On failure returns false with
 * ERR set.
 */
bool peer_init(peer_t *p, struct event_base *base, const peer_config_t *config,
	       const peer_ops_t *ops, void *ctx, err_t *err);
/* Closes all links without callbacks; must not be called from a callback. */
void peer_finish(peer_t *p);

/*
 * Keeps a link to a daemon. Of each pair, the daemon with the lesser name
 * connects. The other one makes short probe connections until then, which
 * cause the lesser-named daemon to connect, so that a new daemon need not be
 * listed everywhere first. Links from daemons that aren't kept here are
 * accepted too.
 */
void peer_keep(peer_t *p, const member_vm_t *vm);
/*
 * Stops keeping a link without closing it, since the peer may still keep it.
 * It isn't reconnected from here once it is closed.
 */
void peer_release(peer_t *p, str_t name);
/* Stops keeping a link and closes it. */
void peer_drop(peer_t *p, str_t name);
/*
 * Tests whether an unreachable peer is running, by a handshake on a new
 * connection. ops->probed gets the result and may be called before this
 * returns; the probe succeeds when the peer proves that it knows the secret.
 */
void peer_probe(peer_t *p, const member_vm_t *vm);
/*
 * Changes the incarnation. All links are closed, and those that are kept are
 * connected again, so that each handshake carries the new incarnation.
 */
void peer_set_incarnation(peer_t *p, uint64_t incarnation);
/*
 * Sends a frame on the link to NAME. Returns false, with nothing sent, when
 * there is no link, the frame is too large or the backlog is full.
 */
bool peer_send(peer_t *p, str_t name, const Papaya__Frame *frame);
/* Sends a frame on every link. Returns the number of links it was sent on. */
uint32_t peer_send_all(peer_t *p, const Papaya__Frame *frame);
/*
 * Like peer_send_all, but only on links to the peers for which FILTER returns
 * true.
 */
uint32_t peer_send_where(peer_t *p, const Papaya__Frame *frame,
			 bool (*filter)(void *ctx, const char *name),
			 void *ctx);
/*
 * Picks one of the peers whose links are up at random. Returns false when
 * there is none.
 */
bool peer_pick_random(peer_t *p, char name[MEMBER_NAME_SIZE]);
bool peer_is_up(const peer_t *p, str_t name);
void peer_stats(const peer_t *p, peer_stats_t *out);

#endif
