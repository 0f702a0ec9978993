/*
 * The load that a runner states in its answers, and how much it says as it
 * ages. Many owners hear a runner; what one of them heard reaches the
 * dispatcher with the first event or the end of a request. Does no I/O; times
 * are microseconds of the monotonic clock.
 */
#ifndef CORE_RUNNER_LOAD_H
#define CORE_RUNNER_LOAD_H

#include <stdbool.h>
#include <stdint.h>

enum {
	/* Percent of the usual time that work takes on an idle machine. */
	RUNNER_PACE_USUAL = 100,
};

typedef struct runner_load {
	int64_t at; /* when it was heard; 0: never */
	uint32_t running;
	uint32_t waiting;
	uint32_t slots; /* 0: not stated */
	uint32_t pace; /* percent of the usual time; 0: not stated */
} runner_load_t;

/* Returns the weight, 0 to 1, of a statement that is AGE old. */
double runner_load_weight(int64_t age);
/* Replaces HELD by HEARD if that is newer; returns whether it is. */
bool runner_load_update(runner_load_t *held, const runner_load_t *heard);
/*
 * Returns the factor by which work takes longer on the runner's machine now: 1
 * as usual. Fades to 1 as the statement ages.
 */
double runner_load_pace(const runner_load_t *load, int64_t now);
/*
 * Returns the requests at the runner that are not in the dispatcher's ledger of
 * LEDGER requests, faded by the statement's age.
 */
double runner_load_external(const runner_load_t *load, uint32_t ledger,
			    int64_t now);

#endif
