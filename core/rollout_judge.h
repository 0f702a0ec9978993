/*
 * Judges the target release of a roll-out by its answers: compares failures and
 * slowness with those of the current releases, on the same routes and in the
 * same time. So what slows or fails both, such as an overload or lost answers,
 * doesn't count against the target, nor does what only one of its runners does.
 *
 * Answers are grouped by route, by what was timed, and by time slot. Over these
 * groups, the Mantel-Haenszel statistic tests whether the target's answers are
 * bad more often. An answer is bad if it failed, or if it took several times as
 * long as current releases' answers of its group usually do. Routes are also
 * tested one by one.
 *
 * Does no I/O and reads no clock; times are microseconds of the monotonic
 * clock.
 */
#ifndef CORE_ROLLOUT_JUDGE_H
#define CORE_ROLLOUT_JUDGE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum {
	ROLLOUT_BUCKETS = 32, /* of times, each half as long again or so */
	/* Of routes and what is timed; answers of further ones don't count. */
	ROLLOUT_MAX_GROUPS = 48,
	ROLLOUT_SLOTS = 128, /* of time; the last one has no end */
	ROLLOUT_MAX_ANSWERS = 8192, /* of the target; the latest are kept */
};

/* What was timed, from the sending of the request on. */
typedef enum rollout_timing {
	ROLLOUT_WHOLE, /* to the end of an answer that is no stream */
	ROLLOUT_FIRST_EVENT, /* of a stream */
	ROLLOUT_PACE, /* per event, from the first to the last */
	ROLLOUT_TIMINGS,
} rollout_timing_t;

/* One answer, or several equal ones. */
typedef struct rollout_answer {
	uint64_t route; /* hash of its name */
	uint64_t runner; /* hash of its name; not 0 for the target's */
	rollout_timing_t timing;
	uint32_t bucket; /* rollout_time_bucket() */
	bool is_target; /* of the target release */
	bool has_failed; /* or was lost */
} rollout_answer_t;

typedef enum rollout_verdict {
	ROLLOUT_UNDECIDED, /* not enough answers yet */
	ROLLOUT_SOUND, /* enough answers, none of the tests finds it worse */
	ROLLOUT_BAD,
} rollout_verdict_t;

/* The verdict, and the test that it rests on. */
typedef struct rollout_finding {
	rollout_verdict_t verdict;
	uint32_t answers; /* of the target */
	uint32_t bad; /* of them, in that test */
	double excess; /* share of bad answers beyond the current releases' */
	double score; /* standard deviations beyond what chance would give */
	uint64_t route; /* that alone is worse; 0: all together */
	bool by_time; /* slow answers count as bad, not only failures */
} rollout_finding_t;

typedef struct rollout_judge {
	struct rollout_judge_state *state;
} rollout_judge_t;

/* Slots of SLOT microseconds begin at NOW. */
void rollout_judge_init(rollout_judge_t *j, int64_t slot, int64_t now);
void rollout_judge_finish(rollout_judge_t *j);
/* Adds N answers that ended just before NOW. */
void rollout_judge_add(rollout_judge_t *j, const rollout_answer_t *answer,
		       uint32_t n, int64_t now);
rollout_finding_t rollout_judge_find(const rollout_judge_t *j);
/* Returns the bucket of a time. */
uint32_t rollout_time_bucket(int64_t us);

#endif
