/*
 * A conductor of roll-outs, its store and some daemons in simulated time, with
 * one failure that a scenario names. Checks on the way that a decision is never
 * replaced and that a bad target gets no more than its share.
 */
#ifndef TESTS_LIB_ROLLOUT_H
#define TESTS_LIB_ROLLOUT_H

#include "core/rollout.h"

#define MS INT64_C(1000)
#define SERVICE_US (120 * MS) /* of a usual request */
#define ROLLOUT_SHARE 0.1
#define ROLLOUT_SLACK 50

enum {
	DAEMONS = 8,
	CONDUCTORS = 2,
	TICK_US = 10 * 1000,
	DURATION_MS = 12000,
	END_US = 16000 * MS,
	REQUESTS_PER_TICK = 8, /* one a daemon; 800 a second */
	RUNNERS = 10, /* of each release */
	MAX_RUNNING = 4096,
	BAD_ANSWERS = 50, /* after these, the target must soon get none */
	REVERT_US = 5000 * MS,
	STORE_US = 20 * MS, /* of a call */
};

/* What happens to a roll-out, at a stage or a time. */
typedef struct story {
	const char *name;
	double failing, slow; /* shares of the target's answers */
	int64_t bad_from; /* of the time, in ms */
	rollout_stage_t kill_at; /* the conductor, in this stage; HELD: no */
	rollout_stage_t freeze_at; /* the conductor, for 3 s; HELD: no */
	int64_t store_away_from, store_away_to; /* ms */
	double lost_answers; /* share of the store's */
	double late_writes; /* take effect 300 ms after their answer is lost */
	int64_t restart_at; /* ms: all daemons and conductors at once */
	int64_t cut_at; /* ms: daemon 0 is cut off for 3 s */
	bool is_unbounded; /* it turns bad when all requests go there */
} story_t;

/* A request that runs. */
typedef struct run {
	int64_t ends_at;
	int64_t began_at;
	int daemon;
	uint64_t runner;
	bool is_target, will_fail;
	bool is_used;
} run_t;

typedef struct daemon_model {
	char name[8];
	rollout_counts_t counts;
	rollout_lease_t lease;
	rollout_stage_t stage;
	uint64_t term;
	int64_t heard_at;
	int64_t cut_until;
} daemon_model_t;

typedef struct conductor_model {
	rollout_t rollout;
	bool is_up;
	int64_t frozen_until;
	int64_t up_at;
	/* The call to the store that is under way. */
	bool is_calling, is_writing;
	int64_t call_ends_at;
	rollout_record_t record; /* to be written */
	uint64_t at; /* the version that it must follow */
	uint64_t known; /* version, as last read or written */
	bool knows_begin;
} conductor_model_t;

typedef struct world {
	const story_t *story;
	GRand *rand;
	int64_t now;
	rollout_order_t order;
	conductor_model_t conductors[CONDUCTORS];
	daemon_model_t daemons[DAEMONS];
	run_t runs[MAX_RUNNING];
	/* The store. */
	rollout_record_t record;
	bool has_record;
	uint64_t version;
	rollout_record_t late; /* to be written later */
	uint64_t late_at; /* under this condition */
	int64_t late_due; /* 0: none */

	uint64_t next_id;
	uint64_t requests, to_target, bad_answers;
	int64_t fiftieth_at; /* bad answer; 0: not yet */
	int64_t decided_at;
	uint32_t running_at_end; /* on other releases, at the completion */
	bool was_killed, was_restarted;
} world_t;

/* Plays a roll-out from its order to some time after its end. */
void rollout_play(world_t *w, const story_t *story, guint32 seed);
/* Tells whether the target is bad at some time. */
bool rollout_world_is_bad(const world_t *w);

#endif
