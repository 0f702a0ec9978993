/*
 * Simulates peers for the tests of core/member. Daemon "a" of zone z1 is under
 * test; peers "b" to "w" of the same zone and "x" to "z" of z2 start and stop
 * sending heartbeats as a script says. Times are in ticks.
 */
#ifndef TESTS_LIB_MEMBER_H
#define TESTS_LIB_MEMBER_H

#include <glib.h>

#include "core/member.h"

enum {
	HEARTBEAT_TIMEOUT = 10,
	HOLDOFF_PERIOD = 100,
	KEY_AGE_MARGIN = 12,
	MAX_PEERS = 26,
};

typedef enum op {
	OP_BEAT, /* sends heartbeats from now on, as incarnation ARG */
	OP_DRAIN, /* its heartbeats report that it is draining */
	OP_STOP, /* sends no more heartbeats; probes fail */
	OP_MUTE, /* sends no more heartbeats; probes succeed */
	OP_HANG, /* sends no more heartbeats; probes get no answer */
	OP_MUM, /* does not report which peers' heartbeats it misses */
	OP_REPORTED, /* "c" reports that it gets heartbeats of incarnation ARG */
	OP_HANDED, /* incarnation ARG hands over, complete from SINCE on */
	OP_CALLED_DEAD, /* a peer declares its incarnation ARG dead */
	OP_REINCARNATE, /* "a" begins incarnation ARG */
	OP_STALL, /* the event loop of "a" stalled until now */
	OP_LEAVE, /* "a" is draining (ARG 1) or no longer is (ARG 0) */
} op_t;

typedef struct step {
	int at;
	op_t op;
	char name;
	int arg, since;
} step_t;

typedef struct peer_sim {
	uint64_t incarnation;
	bool sends_heartbeats, drains, reported, probe_ok, probe_hangs, mum;
} peer_sim_t;

typedef struct member_sim {
	member_t m;
	peer_sim_t peers[MAX_PEERS];
	int64_t now;
	int probes, changes; /* numbers of callbacks so far */
	int pending; /* index of the peer being probed, or -1 */
} member_sim_t;

member_vm_t member_sim_vm_of(char name);
str_t member_sim_name_of(const char *c);
void member_sim_init(member_sim_t *s);
/* Exchanges heartbeats, gossip and probe results up to tick TO. */
void member_sim_tick_to(member_sim_t *s, int64_t to);
/* Plays a script of "TIME OP DAEMON [ARG [SINCE]], ..." */
void member_sim_play(member_sim_t *s, const char *script);
/*
 * Finds a key for which the daemons of ORDER have the highest rendezvous
 * weights, in that order.
 */
const char *member_sim_key_for(const char *order, char *buf);

#endif
