/*
 * Teams' limits in a fleet, where a limit holds for all daemons together. Each
 * daemon lends its shares of the limits to the daemons that count them
 * (core/limit_lease.h). Part of the limits task.
 */
#ifndef DAEMON_FLEET_LIMITER_H
#define DAEMON_FLEET_LIMITER_H

#include "core/limit.h"
#include "core/limit_lease.h"
#include "daemon/supervisor.h"

typedef struct fleet_limiter {
	supervisor_t *sup;
	limit_lease_t lease;
	/* For teams that this daemon counts, by the shares lent to it. */
	limit_t counted[LIMIT_ROLES];
	/* When it began to count a role; reset when it holds no shares. */
	int64_t counts_since[LIMIT_ROLES];
	/* For teams whose counter can't be reached, by this daemon's share. */
	limit_t own[LIMIT_ROLES];
	/* For requests that neither of these answers for. */
	limit_t spare;
	limit_tolerance_t tolerance;
	uint32_t daemons; /* that have shares; 0: not known yet */
	uint64_t epoch; /* stall epoch at the last check */
	int64_t updated_at; /* of the fractions of the limiters */
	limit_share_use_t logged_use[LIMIT_ROLES];
	uint32_t held[LIMIT_ROLES], logged_held[LIMIT_ROLES];
	struct event *timer, *log_timer;
} fleet_limiter_t;

void fleet_limiter_init(fleet_limiter_t *f, supervisor_t *sup,
			uint32_t max_teams);
void fleet_limiter_finish(fleet_limiter_t *f);
/* Sets the number of daemons in the VM list. */
void fleet_limiter_set_daemons(fleet_limiter_t *f, uint32_t daemons);
/* Handles LIMIT_HOSTS, LIMIT_LEND and LIMIT_STAMP; false for others. */
bool fleet_limiter_handle(fleet_limiter_t *f, const message_t *m);
/*
 * Admits or refuses a request of the team NAME with the quota that its profile
 * states; fills in the answer.
 */
void fleet_limiter_take(fleet_limiter_t *f, const char *name,
			const limit_quota_t *quota, const limit_cost_t *cost,
			message_limit_t *answer);

#endif
