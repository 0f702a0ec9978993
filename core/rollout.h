/*
 * One roll-out: moves a service's traffic by steps to the runners of a target
 * release, and takes it back if that release is worse than the current one.
 * One daemon conducts it; the state that another one needs to go on is
 * rollout_record_t, which is written to the store. Does no I/O; times are
 * milliseconds of the wall clock as the record has it.
 */
#ifndef CORE_ROLLOUT_H
#define CORE_ROLLOUT_H

#include <stdbool.h>
#include <stdint.h>

#include "core/fleet.h"

typedef enum rollout_phase {
	ROLLOUT_IN_PROGRESS,
	ROLLOUT_COMPLETED, /* only the target's runners are used */
	ROLLOUT_REVERTED, /* the target's runners are not used */
} rollout_phase_t;

/* What an operator asked for. */
typedef struct rollout_order {
	char service[FLEET_NAME_SIZE];
	char target[FLEET_NAME_SIZE]; /* release */
	int64_t duration_ms; /* to be decided within it, from its write */
} rollout_order_t;

/* What the conductor of a roll-out has decided. */
typedef struct rollout_record {
	char service[FLEET_NAME_SIZE];
	char target[FLEET_NAME_SIZE];
	rollout_phase_t phase;
	uint64_t term; /* of the conductor; a lower one is outdated */
	uint32_t step; /* 0: no traffic yet */
	uint64_t budget; /* requests that the target may get in all so far */
} rollout_record_t;

#endif
