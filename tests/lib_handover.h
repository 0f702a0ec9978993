/*
 * Simulates daemons "a" to "d" of one zone for the tests of core/handover.
 * Each has a membership, a key table and a hand-over of its own; hand-over
 * frames go over simulated links that can lose or delay them.
 */
#ifndef TESTS_LIB_HANDOVER_H
#define TESTS_LIB_HANDOVER_H

#include <glib.h>

#include "core/handover.h"

enum {
	N_DAEMONS = 4,
	TICK = 100 * 1000, /* microseconds */
	SECOND = 10 * TICK,
	HEARTBEAT_TIMEOUT = 2 * SECOND,
	HOLDOFF_PERIOD = 60 * SECOND,
	KEY_AGE_MARGIN = 4 * SECOND,
	FINGERPRINT = 77,
};

typedef enum op {
	OP_START = 1, /* starts as incarnation ARG */
	OP_KILL,
	OP_PAUSE,
	OP_RESUME,
	OP_DRAIN,
	OP_CLAIM, /* claims and dispatches the first key, which it must own */
	OP_ENDED, /* the request ends, completed */
	OP_RELEASE, /* the request is abandoned undispatched */
	OP_LOSE, /* hand-over frames to ARG are lost */
	OP_HOLD, /* hand-over frames to ARG are delayed */
	OP_PASS, /* hand-over frames to ARG are delivered again */
	OP_DEAF, /* ARG receives no more heartbeats from it */
	OP_DONE, /* checks that its drain is done (ARG 1) or not (ARG 0) */
	OP_READY, /* checks that it is ready for keys (ARG 1) or not (ARG 0) */
} op_t;

typedef struct step {
	int at; /* seconds */
	op_t op;
	char name;
	int arg;
} step_t;

typedef enum wire_link_state {
	WIRE_OK,
	WIRE_LOSES,
	WIRE_HOLDS
} wire_link_state_t;

typedef struct daemon_sim {
	struct handover_sim *sim;
	member_vm_t vm;
	member_t member;
	dedup_t dedup;
	handover_t handover;
	uint64_t incarnation;
	int64_t started;
	bool is_up, is_paused, drains;
} daemon_sim_t;

typedef struct handover_sim {
	daemon_sim_t daemons[N_DAEMONS];
	/* Frames under way, as GByteArray, by sender and receiver. */
	GQueue wire[N_DAEMONS][N_DAEMONS];
	wire_link_state_t state[N_DAEMONS][N_DAEMONS]; /* of the same links */
	bool deaf[N_DAEMONS][N_DAEMONS]; /* heartbeats are lost */
	char key[2][16]; /* OP_CLAIM claims the first */
	uint32_t max_entries;
	int64_t now;
} handover_sim_t;

/*
 * Finds the NTH key, counted from 0, for which the daemons of ORDER have the
 * highest rendezvous weights, in that order.
 */
void handover_sim_find_key(const char *order, int nth, char *buf);
void handover_sim_start_daemon(handover_sim_t *s, int i, uint64_t incarnation);
void handover_sim_stop_daemon(daemon_sim_t *d);
/* Frees undelivered frames and all daemons. */
void handover_sim_finish(handover_sim_t *s);
/* Delivers a heartbeat of daemon FROM to daemon TO. */
void handover_sim_heartbeat(handover_sim_t *s, int from, int to);
/* Exchanges heartbeats and frames and runs the timers up to time TO. */
void handover_sim_tick_to(handover_sim_t *s, int64_t to);
void handover_sim_apply(handover_sim_t *s, const step_t *step);
/* Reads the next step of a script; returns false at its end. */
bool handover_sim_next_step(const char **script, step_t *step);

#endif
