/*
 * The keys of callers that this daemon owns: claims, kept answers, and their
 * hand-over to and from other daemons. Part of the peers task, because a
 * claim and the question who owns the key must be one step.
 */
#ifndef DAEMON_KEYS_H
#define DAEMON_KEYS_H

#include "core/handover.h"
#include "core/rights.h"
#include "daemon/supervisor.h"
#include "net/peer.h"

typedef struct keys {
	supervisor_t *sup;
	member_t *member; /* the peers task's, as is peer */
	peer_t *peer;
	rights_t rights;
	handover_t handover;
	int64_t started; /* microseconds, monotonic */
} keys_t;

void keys_init(keys_t *k, supervisor_t *sup, member_t *member, peer_t *peer);
void keys_finish(keys_t *k);
/* Answers LOCATE: claims the key when it is this daemon's; fills OUT. */
void keys_locate(keys_t *k, const message_locate_t *asked, message_t *out);
/* A claimed request ended, or was given up before its dispatch. */
void keys_ended(keys_t *k, const message_key_t *ended);
/* Takes HAND_OVER and HAND_OVER_ACK; false for other frames. */
bool keys_receive(keys_t *k, const char *from, const Papaya__Frame *frame);
/* Continues hand-overs and drops what expired; call it every heartbeat. */
void keys_tick(keys_t *k);
/* The daemon took a new incarnation. */
void keys_reset(keys_t *k);
/* True when a leaving daemon has nothing more to hand over. */
bool keys_is_handed_over(const keys_t *k);

#endif
