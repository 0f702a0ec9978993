/*
 * Bounds what a target release gets before it is known to be good: at most a
 * share of the service's requests since the order, and a slack, over all
 * daemons. The conductor earns a budget from the requests that daemons count,
 * reserves it in the platform's store, and only then leases it to daemons, a
 * request each. A daemon sends the target one request for each that it was
 * leased.
 *
 * The next conductor counts all that was reserved as used, and a lease counts
 * as used until the daemon reports that it returned it. So a restart, a
 * partition, a lost message or two conductors make the target's share smaller,
 * never larger.
 *
 * A lease ends some time after the daemon's report that it answers, by the
 * daemon's clock. A daemon that is partitioned, or was suspended for a while,
 * sends nothing more to the target.
 *
 * Does no I/O and reads no clock; times are microseconds of the monotonic
 * clock.
 */
#ifndef CORE_ROLLOUT_SHARE_H
#define CORE_ROLLOUT_SHARE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum {
	ROLLOUT_REPORT_MS = 200, /* between reports of a daemon */
	ROLLOUT_LEASE_US = 1200 * 1000, /* from the report that is answered */
	ROLLOUT_MAX_OWNERS = 2048, /* daemons with a lease; others get none */
};

/* What a daemon reports of one roll-out; the counts only rise. */
typedef struct rollout_counts {
	uint64_t process; /* unique id of the daemon's process */
	uint64_t requests; /* of the service, sent to any runner */
	/* Of what was leased under the id GRANTER: */
	uint64_t granter;
	uint64_t used; /* requests that were sent to the target */
	uint64_t returned; /* leases that ended unused */
} rollout_counts_t;

/* The conductor's side. */

typedef struct rollout_budget {
	uint64_t self; /* unique id of this process */
	uint64_t granter; /* id of its leases since it last took over */
	double share; /* of the requests */
	double slack; /* requests */
	uint64_t counted; /* requests of the service since the order */
	uint64_t reserved; /* by all conductors so far, in the store */
	uint64_t leased; /* of it, by this process, and not returned */
	uint64_t before; /* of it, before this process last took over */
	uint64_t takeovers; /* how often this process began to conduct */
	GHashTable *owners; /* name to rollout_owner_t */
} rollout_budget_t;

void rollout_budget_init(rollout_budget_t *b, uint64_t self, double share,
			 double slack);
void rollout_budget_finish(rollout_budget_t *b);
/*
 * This process begins to conduct, at first or again: it never leases what was
 * reserved before, by itself or others, and counts on from the store's record.
 * Its leases get a new id, as daemons may have had others in between.
 */
void rollout_budget_begin(rollout_budget_t *b, uint64_t reserved,
			  uint64_t counted);
/* The store has confirmed this process's reservation. */
void rollout_budget_set_reserved(rollout_budget_t *b, uint64_t reserved);
/* Handles the report of the daemon NAME. */
void rollout_budget_report(rollout_budget_t *b, const char *name,
			   const rollout_counts_t *counts);
/* Returns how much may be reserved in all, by the requests counted so far. */
uint64_t rollout_budget_earned(const rollout_budget_t *b);
/*
 * Returns how much should be reserved, in all, for what daemons will soon be
 * leased. Only PART (0 to 1) of what is earned may be used.
 */
uint64_t rollout_budget_wanted(const rollout_budget_t *b, double part);
/*
 * Leases what is reserved to the daemon NAME, after its report: for each of its
 * requests since the report before, PROBABILITY (0 to 1). Returns the sum of
 * all that this process leased to the daemon's.
 */
uint64_t rollout_budget_lease(rollout_budget_t *b, const char *name,
			      double probability, double part);

/* The side of the daemons, which send the requests. */

typedef struct rollout_lease {
	uint64_t granter; /* id of the leases; 0: none */
	uint64_t granted; /* by it, in all */
	uint64_t used;
	uint64_t returned;
	int64_t ends_at;
	int64_t duration; /* of leases; 0: ROLLOUT_LEASE_US */
} rollout_lease_t;

/*
 * The conductor has leased GRANTED in all under the id GRANTER, in answer to
 * the report that was sent at SENT_AT.
 */
void rollout_lease_set(rollout_lease_t *l, uint64_t granter, uint64_t granted,
		       int64_t sent_at, int64_t now);
/* Uses a lease for one request; false when there is none. */
bool rollout_lease_take(rollout_lease_t *l, int64_t now);
/* Returns what an expired lease left; call it before each report. */
void rollout_lease_tick(rollout_lease_t *l, int64_t now);
/* Returns all unused leases: no request may go to the target. */
void rollout_lease_drop(rollout_lease_t *l);
/* Tells whether the conductor has answered lately. */
bool rollout_lease_is_live(const rollout_lease_t *l, int64_t now);

#endif
