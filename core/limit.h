/*
 * Limits on a team's requests: a rate (token bucket) and a number in
 * progress. Pure: times are microseconds of the monotonic clock, passed in.
 *
 * The limits given are those of this limiter; limit_share() gives the part
 * of a deployment's limit that belongs to one zone.
 */
#ifndef CORE_LIMIT_H
#define CORE_LIMIT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"

enum { LIMIT_NAME_SIZE = 128 }; /* bytes, with the NUL */

/*
 * How far all daemons together may go beyond a limit in a window: the
 * operators' tolerance. One limiter that sees every daemon lends a part of it
 * as a deeper bucket; the rest covers what limiters don't know of each other.
 */
typedef struct limit_tolerance {
	double overrun; /* part of what the limit allows in a window */
	double slack; /* units besides */
	double window_s;
} limit_tolerance_t;

/* What one team may use. */
typedef struct limit_terms {
	double rate; /* requests a second; 0: no limit */
	double burst; /* requests at once; at least 1 counts */
	uint32_t concurrency; /* in progress; 0: no limit */
} limit_terms_t;

/* The teams seen; on memory of the caller. */
typedef struct limit {
	GHashTable *teams;
	GQueue idle; /* unnamed teams with nothing in progress, oldest first */
	uint32_t max_teams;
	bool starts_low; /* new buckets are filled in part only */
	limit_terms_t other; /* for teams without terms of their own */
	int64_t start;
} limit_t;

/* Without terms a team has no limit. */
void limit_init(limit_t *l, uint32_t max_teams, int64_t now);
void limit_finish(limit_t *l);

/*
 * Sets a team's terms; what it has in progress and in its bucket stays.
 * Returns false when the name is too long or the table is full.
 */
bool limit_set(limit_t *l, str_t name, double rate, double burst,
	       uint32_t concurrency);
/* Sets the terms of every team that limit_set has not named. */
void limit_set_other(limit_t *l, double rate, double burst,
		     uint32_t concurrency);

/*
 * Takes one request of the team's rate and concurrency. Returns false when
 * either is used up, or the team is new and the table is full of teams that
 * have work in progress; RETRY_AFTER_MS is then when to come back.
 */
bool limit_take(limit_t *l, str_t name, int64_t now, uint32_t *retry_after_ms);
/* What a request takes of its team's limit. */
typedef struct limit_ask {
	uint32_t cost; /* units of the rate */
	/*
	 * Part of the bucket that is left for more urgent work, 0 to 1; less
	 * by a request that is small for its team.
	 */
	double reserve;
} limit_ask_t;

/*
 * The same for a request that takes many units of the rate. One that costs
 * more than the burst is let through when the bucket is full, and leaves it
 * overdrawn.
 */
bool limit_take_many(limit_t *l, str_t name, const limit_ask_t *ask,
		     int64_t now, uint32_t *retry_after_ms);
/* Ends a request that limit_take let through. */
void limit_release(limit_t *l, str_t name);

/*
 * Returns a zone's share of a deployment's terms, by its weight among all
 * zones. Shares are fixed: a zone that is cut off keeps its own and can
 * never use another's.
 */
limit_terms_t limit_share(limit_terms_t whole, uint32_t weight,
			  uint32_t total_weight);
/* Returns the terms of a limiter that lends its part of the tolerance. */
limit_terms_t limit_lend(limit_terms_t terms,
			 const limit_tolerance_t *tolerance);

#endif
