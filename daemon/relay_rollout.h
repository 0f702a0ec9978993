/*
 * State of the roll-outs that a gateway follows, which the relay_rollout*.c
 * files share. No other file may include this header.
 */
#ifndef DAEMON_RELAY_ROLLOUT_H
#define DAEMON_RELAY_ROLLOUT_H

#include "daemon/relay.h"

/* A roll-out, as this daemon knows it. */
typedef struct gateway_rollout {
	rollout_order_t order;
	uint64_t order_id;
	uint64_t target; /* hash of the release */
	char pool[ROLLOUT_POOL_SIZE];
	rollout_stage_t told; /* as the conductor last answered */
	rollout_stage_t applied; /* when all requests were last checked */
	uint64_t term; /* of the conductor; 0: it was not heard of */
	int64_t decided_ms; /* in the store; 0: in progress */
	rollout_lease_t lease;
	uint64_t requests; /* of the service, sent to any runner */
	GArray *tallies; /* rollout_tally_t; answers since the last report */
	int64_t reported_at;
	/* Longest time of a request on another release, since then. */
	int64_t longest;
	/* Other releases listed before the completion (uint64_t, hashes). */
	GArray *replaced;
	/* Listed runners that aren't leaving. */
	uint32_t target_runners, other_runners;
	uint32_t newer_runners; /* of other releases, not in REPLACED */
	bool had_others; /* other releases were listed since the order */
	/* Since when only the target has runners; 0: others have some, too. */
	int64_t alone_since;
} gateway_rollout_t;

/* Returns the roll-out of the request's service; NULL: there is none. */
static inline gateway_rollout_t *gateway_find_rollout(const relay_t *r)
{
	return r->service ?
		       g_hash_table_lookup(r->gateway->rollouts, r->service) :
		       NULL;
}

static inline bool gateway_is_target(const gateway_rollout_t *o,
				     uint64_t release)
{
	return release == o->target;
}

/* Counts a request that is very late already, as its end may be far off. */
void relay_check_late(relay_t *r, int64_t now);

#endif
