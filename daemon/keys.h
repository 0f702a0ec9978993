/*
 * The idempotency keys that this daemon owns: claims, stored responses, and
 * their hand-over to and from other daemons. Runs in the peers task, because
 * the lookup of a key's owner and the claim of the key must be atomic.
 */
#ifndef DAEMON_KEYS_H
#define DAEMON_KEYS_H

#include "core/handover.h"
#include "core/dedup.h"
#include "daemon/supervisor.h"
#include "net/peer.h"

typedef struct keys {
	supervisor_t *sup;
	member_t *member; /* owned by the peers task, as is peer */
	peer_t *peer;
	dedup_t dedup;
	handover_t handover;
	int64_t started; /* microseconds, monotonic */
} keys_t;

void keys_init(keys_t *k, supervisor_t *sup, member_t *member, peer_t *peer);
void keys_finish(keys_t *k);
/*
 * Handles MESSAGE_LOCATE: looks up the owner of a key, and claims the key if
 * this daemon owns it. Fills OUT, a MESSAGE_LOCATED.
 */
void keys_locate(keys_t *k, const message_locate_t *request, message_t *out);
/*
 * Handles the end of a claimed request: stores its response, or releases the
 * claim if the request was not dispatched.
 */
void keys_ended(keys_t *k, const message_claim_t *ended);
/* Handles HAND_OVER and HAND_OVER_ACK frames; returns false for others. */
bool keys_receive(keys_t *k, const char *from, const Papaya__Frame *frame);
/* Continues hand-overs and drops expired keys; call at every heartbeat. */
void keys_tick(keys_t *k);
/* Restarts hand-overs after the daemon took a new incarnation number. */
void keys_reset(keys_t *k);
/* True when a leaving daemon has handed over all its keys. */
bool keys_is_handed_over(const keys_t *k);

#endif
