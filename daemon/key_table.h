/*
 * The idempotency keys that this daemon owns: claims, stored responses, and
 * their hand-over to and from other daemons. Runs in the peers task, because
 * the lookup of a key's owner and the claim of the key must be atomic.
 */
#ifndef DAEMON_KEY_TABLE_H
#define DAEMON_KEY_TABLE_H

#include "core/handover.h"
#include "core/dedup.h"
#include "daemon/supervisor.h"
#include "net/peer.h"

typedef struct key_table {
	supervisor_t *sup;
	member_t *member; /* owned by the peers task, as is peer */
	peer_t *peer;
	dedup_t dedup;
	handover_t handover;
	int64_t started; /* microseconds, monotonic */
} key_table_t;

void key_table_init(key_table_t *k, supervisor_t *sup, member_t *member,
		    peer_t *peer);
void key_table_finish(key_table_t *k);
/*
 * Handles MESSAGE_LOCATE: looks up the owner of a key, and claims the key if
 * this daemon owns it. Fills OUT, a MESSAGE_LOCATED.
 */
void key_table_locate(key_table_t *k, const message_locate_t *request,
		      message_t *out);
/*
 * Handles the end of a claimed request: stores its response, or releases the
 * claim if the request was not dispatched.
 */
void key_table_on_request_end(key_table_t *k, const message_claim_t *ended);
/* Handles HAND_OVER and HAND_OVER_ACK frames; returns false for others. */
bool key_table_receive(key_table_t *k, const char *from,
		       const Papaya__Frame *frame);
/* Continues hand-overs and drops expired keys; call at every heartbeat. */
void key_table_tick(key_table_t *k);
/* Restarts hand-overs after the daemon took a new incarnation number. */
void key_table_reset(key_table_t *k);
/* True when a leaving daemon has handed over all its keys. */
bool key_table_is_handed_over(const key_table_t *k);

#endif
