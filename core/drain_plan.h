/*
 * When a daemon that is to stop does what, within the time it is given before
 * it is killed. Pure; times are microseconds.
 */
#ifndef CORE_DRAIN_PLAN_H
#define CORE_DRAIN_PLAN_H

#include <stdint.h>

typedef struct drain_plan {
	/* New connections are taken for so long: the balancer lags. */
	int64_t linger;
	/* What still runs then is cut; the process ends by itself. */
	int64_t limit;
} drain_plan_t;

/* GRACE: from the signal to stop until the kill. */
drain_plan_t drain_plan(int64_t grace);

#endif
