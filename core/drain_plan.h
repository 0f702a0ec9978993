/*
 * Divides the grace period between the signal to stop a daemon and its kill
 * into phases. Does no I/O and reads no clock; times are microseconds.
 */
#ifndef CORE_DRAIN_PLAN_H
#define CORE_DRAIN_PLAN_H

#include <stdint.h>

typedef struct drain_plan {
	/*
	 * How long new connections are accepted: the load balancer notices
	 * late that the daemon is stopping.
	 */
	int64_t accept_time;
	/*
	 * Time from the signal until the remaining requests are aborted and
	 * the process exits.
	 */
	int64_t exit_after;
} drain_plan_t;

/* GRACE is the time from the signal until the kill. */
drain_plan_t drain_plan(int64_t grace);

#endif
