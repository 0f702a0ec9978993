/*
 * Places that a dispatcher keeps for callers that it refused and told when to
 * come back. A booking counts against the room of its time, so that later
 * requests are not promised the same place, and lapses when its caller doesn't
 * come. Does no I/O; times are microseconds of the monotonic clock.
 */
#ifndef CORE_RETURN_SLOTS_H
#define CORE_RETURN_SLOTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct return_booking {
	uint64_t caller; /* hash of what all attempts at a request share */
	uint32_t tier;
	uint64_t cost; /* tokens, or calls of a plain service */
	int64_t at; /* when the caller is to come back */
	int64_t lapses_at; /* the place is given up then */
} return_booking_t;

typedef struct return_slots_stats {
	uint64_t booked;
	uint64_t kept; /* came back and was granted a runner */
	uint64_t broken; /* came back in time and was refused again */
	uint64_t lapsed; /* did not come back */
} return_slots_stats_t;

typedef struct return_slots {
	GHashTable *bookings; /* caller to return_booking_t */
	GSequence *by_time; /* the same, earliest first */
	uint32_t max_bookings;
	return_slots_stats_t stats;
} return_slots_t;

void return_slots_init(return_slots_t *r, uint32_t max_bookings);
void return_slots_finish(return_slots_t *r);

/*
 * Books the first time from EARLIEST at which COST fits beside what is booked
 * already, if RATE tokens become free per second, and returns it. Returns 0 if
 * there is no such time until LATEST, or the table is full.
 */
int64_t return_slots_book(return_slots_t *r, const return_booking_t *wanted,
			  int64_t earliest, int64_t latest, double rate);
/* Takes the booking of a caller that came back; false if there is none. */
bool return_slots_take(return_slots_t *r, uint64_t caller, int64_t now,
		       return_booking_t *out);
/* Returns the cost that is booked for times before UNTIL. */
uint64_t return_slots_booked(const return_slots_t *r, int64_t until);
/* Drops the bookings that lapsed. */
void return_slots_expire(return_slots_t *r, int64_t now);

#endif
