/*
 * Links between daemons: protobuf-c frames over TCP, each behind a 4-byte
 * length that is checked before anything is allocated. A link is greeted
 * with version, name, zone and incarnation, proves the peer secret, carries
 * heartbeats, and reconnects with jitter. Owns its sockets; talks through
 * callbacks on the event base's thread.
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
	str_t secret; /* shared by all daemons; views stay valid */
	int64_t connect_timeout_ms;
	int64_t silence_timeout_ms; /* a link silent for so long is closed */
	int64_t max_backlog; /* bytes waiting to be written, at most */
	uint64_t seed; /* of the reconnect jitter */
} peer_config_t;

typedef struct peer_ops {
	/* A link is greeted and proved; VM is as the peer names itself. */
	void (*up)(void *ctx, const member_vm_t *vm, uint64_t incarnation);
	/*
	 * The link of a peer is gone, other than by peer_drop; it is tried
	 * again by itself. A newer connection of the same name replaces the
	 * link: down and up follow each other.
	 */
	void (*down)(void *ctx, const char *name, const err_t *err);
	/* A frame other than hello and proof; FRAME is freed afterwards. */
	void (*frame)(void *ctx, const char *name, const Papaya__Frame *frame);
	/* How a probe by a new connection went. */
	void (*probed)(void *ctx, const char *name, bool is_ok);
} peer_ops_t;

typedef struct peer_stats {
	uint64_t frames_in, frames_out, bytes_in, bytes_out;
	uint64_t connects, refused_frames, dropped_backlog;
	uint32_t links_up;
} peer_stats_t;

struct peer_table;

typedef struct peer {
	struct peer_table *table;
} peer_t;

/* Listens on the own peer address. Returns false with ERR set. */
bool peer_init(peer_t *p, struct event_base *base, const peer_config_t *config,
	       const peer_ops_t *ops, void *ctx, err_t *err);
/* Closes everything without callbacks; not to be called from one. */
void peer_finish(peer_t *p);

/*
 * Names a daemon that a link is to be kept to. Of each pair the daemon with
 * the lesser name connects; the other waits for it, and meanwhile asks it
 * to by short probe connections, so that a new daemon need not be listed
 * everywhere first. Links of daemons that were not named are accepted too.
 */
void peer_keep(peer_t *p, const member_vm_t *vm);
/*
 * Stops keeping a link without closing it, since the peer may still keep
 * it; once closed it is not tried again.
 */
void peer_release(peer_t *p, str_t name);
/* Stops keeping a link and closes it. */
void peer_drop(peer_t *p, str_t name);
/*
 * Tests a silent peer with a new connection; answered by ops->probed, which
 * may be called at once. The peer lives when it proves the secret there.
 */
void peer_probe(peer_t *p, const member_vm_t *vm);
/* Changes the incarnation; all links are greeted anew. */
void peer_set_incarnation(peer_t *p, uint64_t incarnation);
/*
 * Sends a frame on the link of NAME. Returns false when there is no link or
 * its backlog is full; nothing was sent then.
 */
bool peer_send(peer_t *p, str_t name, const Papaya__Frame *frame);
/* Sends a frame on every link; returns on how many. */
uint32_t peer_send_all(peer_t *p, const Papaya__Frame *frame);
/* The same on the links of those names for which WANTS is true. */
uint32_t peer_send_where(peer_t *p, const Papaya__Frame *frame,
			 bool (*wants)(void *ctx, const char *name), void *ctx);
/* Draws one of the peers whose links are up; false when there is none. */
bool peer_draw(peer_t *p, char name[MEMBER_NAME_SIZE]);
bool peer_is_up(const peer_t *p, str_t name);
void peer_stats(const peer_t *p, peer_stats_t *out);

#endif
