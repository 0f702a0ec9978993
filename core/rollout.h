/*
 * One roll-out: moves a service's traffic to the runners of a target release,
 * and reverts it if that release is worse than the current ones. One daemon is
 * the conductor. Each step is a record in the platform's store, written by
 * compare-and-set; so a conductor that was replaced can't undo what another one
 * decided, and the next conductor continues from the record.
 *
 * 1. The conductor takes the roll-out over, with a term of its own.
 * 2. A small, growing share of the requests goes to the target
 *    (core/rollout_share.h), and its answers are judged
 *    (core/rollout_judge.h). Near the end of this step it gets many at once, as
 *    some defects only show under load.
 * 3. If it is sound, all requests go to it, while nothing is cancelled on the
 *    current releases' runners.
 * 4. Once nothing runs there, or the time is up, it is completed.
 *
 * As soon as it is found bad, or can't be judged in time, it is reverted. While
 * the conductor can't confirm its term in the store, no request goes to the
 * target, except in step 4: the store may have the completion already.
 *
 * Does no I/O and reads no clock; times are microseconds of the monotonic clock
 * but for those of records, which are milliseconds of the wall clock.
 */
#ifndef CORE_ROLLOUT_H
#define CORE_ROLLOUT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/fleet.h"
#include "core/rollout_judge.h"
#include "core/rollout_share.h"

enum {
	ROLLOUT_WHY_SIZE = 128, /* bytes, with the NUL */
	ROLLOUT_POOL_SIZE = FLEET_NAME_SIZE,
};

typedef enum rollout_phase {
	ROLLOUT_IN_PROGRESS,
	ROLLOUT_COMPLETED, /* only the target's runners are used */
	ROLLOUT_REVERTED, /* the target's runners are not used */
	ROLLOUT_PHASES,
} rollout_phase_t;

/* How daemons route requests; the conductor sends it to them. */
typedef enum rollout_stage {
	ROLLOUT_HELD, /* none goes to the target */
	ROLLOUT_TRYING, /* as many as they were leased */
	ROLLOUT_MOVING, /* all, while the conductor answers */
	ROLLOUT_MOVED, /* all; the completion may be in the store */
	ROLLOUT_DONE, /* completed: all */
	ROLLOUT_TAKEN_BACK, /* reverted: none goes to the target */
	ROLLOUT_STAGES,
} rollout_stage_t;

/* What an operator asked for. */
typedef struct rollout_order {
	char service[FLEET_NAME_SIZE];
	char target[FLEET_NAME_SIZE]; /* release */
	int64_t duration_ms; /* to be decided within it, from its write */
} rollout_order_t;

/* A roll-out's record in the platform's store. */
typedef struct rollout_record {
	char service[FLEET_NAME_SIZE];
	char target[FLEET_NAME_SIZE];
	uint64_t order; /* rollout_order_id() of the order that it follows */
	rollout_phase_t phase;
	bool is_moving; /* IN_PROGRESS: the target was found sound */
	uint64_t term; /* of the conductor; a lower one is outdated */
	uint64_t conductor; /* unique id of its process */
	uint64_t budget; /* requests that the target may get in all so far */
	uint64_t counted; /* requests of the service since the order */
	int64_t ends_ms; /* to be decided by then; wall clock */
	int64_t decided_ms; /* completed or reverted; wall clock */
	char why[ROLLOUT_WHY_SIZE];
} rollout_record_t;

/* Identifies an order by what it says; never 0. */
uint64_t rollout_order_id(const rollout_order_t *order);
/*
 * Returns the name under which the target's runners are dispatched apart from
 * the service's other ones, in OUT of ROLLOUT_POOL_SIZE bytes.
 */
void rollout_pool_name(const char *service, const char *target, char *out);
/*
 * Returns the service of a pool's name in OUT of FLEET_NAME_SIZE bytes; false
 * when it is no such name. A service's name may be cut off in it.
 */
bool rollout_pool_service(const char *pool, char *out);
/* Return the names for output. */
const char *rollout_phase_name(rollout_phase_t phase);
const char *rollout_stage_name(rollout_stage_t stage);

/* What a daemon reports to the conductor. */
typedef struct rollout_report {
	uint64_t order;
	rollout_counts_t counts;
	rollout_stage_t stage; /* that it acts on */
	uint64_t term; /* whose it is */
	uint32_t running; /* requests on runners of other releases */
	int64_t longest; /* time of a request that ended there lately */
	int64_t stamp; /* of its clock; returned in the answer */
} rollout_report_t;

/* The conductor's answer to a report. */
typedef struct rollout_told {
	uint64_t order;
	uint64_t term; /* 0: nothing, another process may conduct */
	uint64_t granter; /* id of the leases */
	rollout_stage_t stage;
	uint64_t granted; /* to the daemon's process PROCESS, in all */
	uint64_t process;
	int64_t stamp; /* of the report that is answered */
	int64_t decided_ms; /* wall clock; 0: it is in progress */
} rollout_told_t;

/* The fleet's state, as the conductor's daemon sees it. */
typedef struct rollout_view {
	uint32_t daemons; /* live members */
	uint32_t target_runners; /* listed, and not leaving */
	uint32_t other_runners; /* likewise, of other releases */
} rollout_view_t;

typedef struct rollout {
	rollout_order_t order;
	uint64_t order_id;
	uint64_t self; /* unique id of this process */
	rollout_stage_t stage;
	rollout_record_t stored; /* as last read or written; term 0: none */
	int64_t stored_at; /* when this record was first read */
	bool is_read; /* the store's record is known */
	bool is_conducting; /* the store has this process's term */
	bool is_withdrawn;
	bool had_others; /* other releases were listed since the order */
	/* Decided, but not confirmed by the store yet. */
	bool must_move, must_complete, must_revert;
	int64_t began_at, ends_at;
	int64_t read_at; /* the record, or its write confirmed */
	int64_t took_over_at;
	int64_t confirmed_at; /* the store had this process's term */
	int64_t lost_at; /* another process took it over; 0: none */
	int64_t lost_store_at; /* the last call failed; 0: none did */
	int64_t written_at;
	int64_t alone_since; /* only the target had runners; 0: no */
	int64_t no_target_since; /* the target has no runner; 0: it has */
	int64_t orders_at; /* when the operators' topic was read to its end */
	int64_t stage_at;
	int64_t looked_at; /* when the judge last ran */
	bool has_answers; /* of the target, since then */
	uint32_t waiting_for; /* daemons, before the next stage */
	rollout_budget_t budget;
	rollout_judge_t judge;
	rollout_finding_t finding;
	int64_t longest; /* request on other releases that daemons reported */
	GHashTable *owners; /* name to rollout_daemon_t */
	char why[ROLLOUT_WHY_SIZE]; /* of the last decision */
} rollout_t;

/* SHARE and SLACK: see core/rollout_share.h. The order was seen at NOW. */
void rollout_init(rollout_t *r, const rollout_order_t *order, uint64_t self,
		  double share, double slack, int64_t now);
/* Frees what the roll-out holds. */
void rollout_finish(rollout_t *r);
/* The operator withdrew the order. */
void rollout_withdraw(rollout_t *r);
/* The order can't be followed, for the reason given: nothing is tried. */
void rollout_refuse(rollout_t *r, const char *why, int64_t now);
/* The operators' topic was known to its end at AT: there was no newer order. */
void rollout_set_orders_read(rollout_t *r, int64_t at);
/*
 * The store's record was read; NULL: there is none. Records of other orders
 * only show the term. KNOWS_BEGIN: this process saw when the order was written.
 */
void rollout_on_record(rollout_t *r, const rollout_record_t *record,
		       bool knows_begin, int64_t now, int64_t wall_ms);
/* It could not be read, or a write's outcome is not known. */
void rollout_on_store_lost(rollout_t *r, int64_t now);
/*
 * Returns true with the record to be written now, under the condition that the
 * store has nothing newer than what was last read.
 */
bool rollout_next_record(rollout_t *r, rollout_record_t *out, int64_t now,
			 int64_t wall_ms);
/* The store has confirmed the record. */
void rollout_on_written(rollout_t *r, const rollout_record_t *record,
			int64_t now);
/* Tells whether the record should be read again. */
bool rollout_needs_read(const rollout_t *r, int64_t now);
/* Judges and decides; call it some times a second while conducting. */
void rollout_tick(rollout_t *r, const rollout_view_t *view, int64_t now);

/* Handles the report of the daemon NAME, and returns the answer. */
rollout_told_t rollout_on_report(rollout_t *r, const char *name,
				 const rollout_report_t *report, int64_t now);
/* Adds N equal answers that a daemon reported. */
void rollout_on_answer(rollout_t *r, const rollout_answer_t *answer, uint32_t n,
		       int64_t now);
/* Tells whether it is completed or reverted, and the store has that. */
bool rollout_is_settled(const rollout_t *r);

#endif
