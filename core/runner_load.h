/*
 * The load that a runner states in the head of its answers, weighted by the
 * statement's age. The owner of a request receives it and forwards it to the
 * dispatcher with the first event or the end of the request. Does no I/O; times
 * are microseconds of the monotonic clock.
 *
 * A pace is the factor by which work takes longer on the runner's machine than
 * on one of pace 1. Other work on the machine raises it for short times.
 */
#ifndef CORE_RUNNER_LOAD_H
#define CORE_RUNNER_LOAD_H

#include <stdbool.h>
#include <stdint.h>

enum {
	RUNNER_PACE_PERCENT = 100, /* a stated pace of 1 */
};

/* One statement, from the head of an answer. */
typedef struct runner_load {
	int64_t at; /* when its owner received it; 0: never */
	uint32_t running;
	uint32_t waiting;
	uint32_t slots; /* 0: not stated */
	uint32_t pace; /* percent; 0: not stated */
} runner_load_t;

/* What a runner stated last, and its usual pace. */
typedef struct runner_statements {
	runner_load_t last;
	double usual_pace; /* moving average; 0: none was stated */
	uint32_t n_paces;
} runner_statements_t;

/* Returns whether all values are within the bounds of a valid statement. */
bool runner_load_is_plausible(const runner_load_t *load);
/* Returns the weight, 0 to 1, of a statement that is AGE old. */
double runner_load_weight(int64_t age);
/*
 * Stores HEARD if it is newer than the last statement, and returns whether it
 * is. A duplicate may look slightly newer, as its age is forwarded in
 * milliseconds; it is ignored.
 */
bool runner_load_hear(runner_statements_t *s, const runner_load_t *heard);
/* Returns whether the last statement still has weight. */
bool runner_load_is_fresh(const runner_statements_t *s, int64_t now);
/* Returns the usual pace; 1 if none was stated. */
double runner_load_usual(const runner_statements_t *s);
/* Returns the pace now: the stated one, nearing the usual one as it ages. */
double runner_load_pace(const runner_statements_t *s, int64_t now);
/*
 * Returns how long work takes from now on that takes TIME microseconds at the
 * usual pace. The stated pace lasts for a short time only.
 */
int64_t runner_load_slowed(const runner_statements_t *s, int64_t time,
			   int64_t now);
/*
 * Returns how long work would have taken at pace 1 that ended now and took TIME
 * microseconds.
 */
int64_t runner_load_at_pace_1(const runner_statements_t *s, int64_t time,
			      int64_t now);
/*
 * Returns the requests at the runner beyond the LEDGER requests that this
 * dispatcher granted there, weighted by the statement's age.
 */
double runner_load_external(const runner_statements_t *s, uint32_t ledger,
			    int64_t now);

#endif
