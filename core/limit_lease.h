/*
 * Leases of shares of teams' limits. Every daemon of a fleet has an equal share
 * of each limit. It lends its shares to the daemons that count the limits, one
 * for each of LIMIT_ROLES groups of teams, for a short time that it renews. A
 * share is used by its own daemon or by one counter, and by another one only
 * after that time has passed, so the shares in use never add up to more than
 * the limits, on whichever side of a partition, and however often daemons
 * restart and roles move.
 *
 * A lease is counted from a stamp of the counter's clock. The counter sends it,
 * the daemon returns it with what it lends, and both count the lease's duration
 * from there: the counter from when it made the stamp, the daemon from when it
 * received it, which is later. So late messages only make leases shorter.
 *
 * Does no I/O and reads no clock; times are microseconds of the monotonic
 * clock.
 */
#ifndef CORE_LIMIT_LEASE_H
#define CORE_LIMIT_LEASE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"

enum {
	LIMIT_ROLES = 8, /* groups of teams, each with a counter */
	LIMIT_LEASE_NAME_SIZE = 64, /* bytes, with the NUL */
	LIMIT_LEASE_TICK_US = 20 * 1000,
};

/* Returns the role that a team's limits belong to. */
uint32_t limit_role(str_t team);

/* A time of a counter's clock, and what a lease that is counted from it is. */
typedef struct limit_stamp {
	uint64_t process; /* whose clock it is; unique; 0: no stamp */
	int64_t at;
	int64_t duration; /* of the lease */
} limit_stamp_t;

/* What becomes of this daemon's share of a role's limits. */
typedef enum limit_share_use {
	LIMIT_SHARE_WAITING, /* somebody else may still use it */
	LIMIT_SHARE_OWN, /* no counter can be reached; this daemon uses it */
	LIMIT_SHARE_LENT, /* to a counter, which may be this daemon */
} limit_share_use_t;

/* This daemon's share of the limits of one role. */
typedef struct limit_share_state {
	char host[LIMIT_LEASE_NAME_SIZE]; /* the role's host; "": none */
	limit_share_use_t use;
	char counter[LIMIT_LEASE_NAME_SIZE]; /* that it was last lent to */
	uint64_t process; /* of that counter */
	int64_t free_at; /* no earlier lease lasts longer */
} limit_share_state_t;

typedef struct limit_lease {
	uint64_t process; /* unique id of this process */
	int64_t started_at;
	int64_t duration; /* of leases from now on */
	int64_t renewal; /* time between renewals */
	char self[LIMIT_LEASE_NAME_SIZE];
	limit_share_state_t shares[LIMIT_ROLES];
	GHashTable *counters; /* name to the last stamp of that daemon */
	GHashTable *lenders[LIMIT_ROLES]; /* name to the end of its lease */
	int64_t void_until; /* stamps made before are not accepted */
} limit_lease_t;

/* Sends roles (a bit each) lent to PEER, with its stamp; may send none. */
typedef void (*limit_lend_fn)(void *ctx, const char *peer, uint32_t roles,
			      const limit_stamp_t *stamp);

/* A process that starts may follow one whose leases still last. */
void limit_lease_init(limit_lease_t *l, const char *self, uint64_t process,
		      int64_t now);
void limit_lease_finish(limit_lease_t *l);

/*
 * Sets the number of daemons of the fleet; 0: not known, so nothing is lent yet.
 * The more there are, the longer leases last and the less often they are
 * renewed, so that the messages of a counter grow little with the fleet.
 */
void limit_lease_set_daemons(limit_lease_t *l, uint32_t daemons);
/* Sets the daemon that hosts a role, in this daemon's view; "": none. */
void limit_lease_set_host(limit_lease_t *l, uint32_t role, const char *host);
/* Returns a stamp to send to a daemon that lends, or would lend, shares. */
limit_stamp_t limit_lease_stamp(const limit_lease_t *l, int64_t now);
/* A stamp arrived from the daemon PEER. */
void limit_lease_on_stamp(limit_lease_t *l, const char *peer,
			  const limit_stamp_t *stamp, int64_t now);
/* The daemon PEER lends the shares of ROLES, as of one of our stamps. */
void limit_lease_on_lend(limit_lease_t *l, const char *peer, uint32_t roles,
			 const limit_stamp_t *stamp, int64_t now);
/* Lends and renews what is due; call it every LIMIT_LEASE_TICK_US. */
void limit_lease_tick(limit_lease_t *l, limit_lend_fn lend, void *ctx,
		      int64_t now);
/*
 * This process stalled, and its clock may have stood still: drops all leases
 * that others gave it.
 */
void limit_lease_void(limit_lease_t *l, int64_t now);

/* Returns how many shares of a role this daemon may count with. */
uint32_t limit_lease_held(limit_lease_t *l, uint32_t role, int64_t now);
/* Returns what this daemon's own share of a role is used for. */
limit_share_use_t limit_lease_use(const limit_lease_t *l, uint32_t role);
/* Returns the time until a share that is waited for is free; 0: it is. */
int64_t limit_lease_wait(const limit_lease_t *l, uint32_t role, int64_t now);

#endif
