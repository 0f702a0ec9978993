/*
 * Limits each team's requests by rate (token bucket) and by concurrency. Does
 * no I/O and reads no clock; times are microseconds of the monotonic clock.
 *
 * The limits passed in are those of this limiter alone; limit_share() derives
 * them from the limits of the whole deployment.
 */
#ifndef CORE_LIMIT_H
#define CORE_LIMIT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"

enum { LIMIT_NAME_SIZE = 128 }; /* bytes, with the NUL */

/*
 * How far all daemons together may exceed a limit within a window, as set by
 * the operators. A limiter that counts the requests of all daemons uses a part
 * of it to enlarge the bucket; the rest covers requests that several limiters
 * admit without knowing of each other's.
 */
typedef struct limit_tolerance {
	double overrun; /* fraction of what the limit allows in a window */
	double slack; /* units added to that */
	double window_s; /* seconds */
} limit_tolerance_t;

/* The limits of one team. */
typedef struct limit_quota {
	double rate; /* units per second; 0: no limit */
	double burst; /* bucket size in units; values below 1 count as 1 */
	uint32_t concurrency; /* requests in progress; 0: no limit */
} limit_quota_t;

/* A limiter with its teams; the caller provides the memory. */
typedef struct limit {
	GHashTable *teams;
	/* Default-limit teams with no running requests, longest idle first. */
	GQueue idle;
	uint32_t max_teams;
	bool starts_empty; /* new buckets have what was earned since the start */
	limit_quota_t default_quota; /* of teams without limits of their own */
	double fraction; /* of each limit that this limiter may use, 0 to 1 */
	/*
	 * Time since the start, in microseconds, each counted with the fraction
	 * then in force; tokens are earned by it.
	 */
	double earned;
	int64_t earned_at; /* when EARNED was last brought up to date */
} limit_t;

/*
 * Teams are unlimited until limit_set() or limit_set_default() is called. The
 * limiter begins with the whole of each limit.
 */
void limit_init(limit_t *l, uint32_t max_teams, int64_t now);
void limit_finish(limit_t *l);

/*
 * Sets a team's limits; keeps its requests in progress, and its tokens as far
 * as the new bucket holds them. Returns false when the name is too long or the
 * table is full.
 */
bool limit_set(limit_t *l, str_t name, double rate, double burst,
	       uint32_t concurrency);
/* Sets the default limits, for every team without a call of limit_set(). */
void limit_set_default(limit_t *l, double rate, double burst,
		       uint32_t concurrency);

/*
 * Sets the fraction of each limit's rate and bucket that this limiter may use
 * from now on. Tokens that a smaller bucket can't hold are lost, so that
 * limiters whose fractions never add up to more than 1 admit no more together
 * than one that has the whole limit.
 */
void limit_set_fraction(limit_t *l, double fraction, int64_t now);

/*
 * Admits one request against the team's rate and concurrency. Returns false
 * when either is exhausted, or the team is new and the table is full of teams
 * that have requests in progress; RETRY_AFTER_MS then tells when to retry.
 */
bool limit_take(limit_t *l, str_t name, int64_t now, uint32_t *retry_after_ms);

/* What one request uses of its team's limit. */
typedef struct limit_cost {
	uint32_t cost; /* units of the rate */
	/*
	 * Fraction of the bucket, 0 to 1, that must be left for more urgent
	 * requests. It shrinks with the cost of a request that is cheaper than
	 * its team's mean.
	 */
	double reserve;
} limit_cost_t;

/*
 * Like limit_take(), for a request that costs several units. A request that
 * costs more than the bucket size is admitted when the bucket is full, and
 * leaves a negative number of tokens; not so by a limiter with a fraction of
 * the limits, as each of them could do the same at once.
 */
bool limit_take_cost(limit_t *l, str_t name, const limit_cost_t *usage,
		     int64_t now, uint32_t *retry_after_ms);
/* Ends a request that was admitted. */
void limit_release(limit_t *l, str_t name);

/*
 * Returns the share WEIGHT / TOTAL_WEIGHT of limits, for one of several zones
 * or daemons. The shares of zones are fixed: a zone that is partitioned from
 * the others keeps its own share and can't use theirs.
 */
limit_quota_t limit_share(limit_quota_t whole, uint32_t weight,
			  uint32_t total_weight);
/*
 * Returns the limits with the bucket enlarged by a part of the tolerance, for a
 * limiter that counts the requests of all daemons.
 */
limit_quota_t limit_add_tolerance(limit_quota_t quota,
				  const limit_tolerance_t *tolerance);
/*
 * Returns the limits of one of DAEMONS spare limiters, which every daemon has
 * for requests that no counter answers for. Together they admit another part of
 * the tolerance in a window, whatever else is admitted in it.
 */
limit_quota_t limit_spare(limit_quota_t quota,
			  const limit_tolerance_t *tolerance, uint32_t daemons);

#endif
