/*
 * Leases on runners: they decide which daemon may send a runner orders (load,
 * adapter, version, role). They are recorded in the `terms` log. The daemon
 * with the newest claim holds the runner; the time for which it does is a term.
 * The offset of the claim is the fencing token that is sent with the orders.
 *
 * This module does no I/O: the caller passes in each record with the time at
 * which it was read. A record is a JSON object:
 *   {"type":"claim","runner":"engine-1","holder":"vm-1",
 *    "incarnation":"HEX","lease_us":N,"sent_us":N,"over":17}
 * Without `over`, it begins a term. With `over`, it renews the term whose
 * newest record is at that offset; the renewal is void if another claim came
 * between.
 *
 * For a runner that rejects old fencing tokens this suffices. For a runner that
 * doesn't check them, a new holder first waits for the longest lease of the
 * previous holders, counted from the time at which it read its own claim. A
 * holder stops when its lease ends, counted from the time at which it sent its
 * newest claim. So no two daemons may send orders at the same time, whatever
 * their clocks show and however long the log takes to answer.
 *
 * All times are microseconds of the host's monotonic clock.
 */
#ifndef CORE_LEASES_H
#define CORE_LEASES_H

#include <stdbool.h>
#include <stdint.h>

#include "common/err.h"
#include "common/str.h"

enum { LEASES_NAME_SIZE = 64 /* bytes, with the NUL */ };

/* Upper limit of a lease; assumed where the lease is not known. */
static const int64_t LEASES_MAX_US = 60 * 1000000LL;

typedef struct leases_config {
	const char *holder; /* this daemon's name */
	uint64_t incarnation; /* of this daemon */
	int64_t lease; /* up to LEASES_MAX_US */
	int64_t margin; /* for differing clock rates; below the lease */
	uint32_t max_runners;
} leases_config_t;

typedef enum leases_result {
	LEASES_ACCEPTED, /* the claim began or renewed a term */
	LEASES_STALE, /* a renewal after another claim; ignored */
	LEASES_REPEATED, /* offset before leases_next_offset; ignored */
	LEASES_DAMAGED, /* invalid record: skipped and counted */
	LEASES_FULL, /* no room in the table for the runner; ignored */
} leases_result_t;

struct leases_state;

typedef struct leases {
	struct leases_state *state;
} leases_t;

void leases_init(leases_t *t, const leases_config_t *config);
void leases_finish(leases_t *t);

/* Sets whether a runner checks fencing tokens; false by default. */
void leases_set_fencing(leases_t *t, str_t runner, bool has_fencing);

/* The next offset to read from the log. */
uint64_t leases_next_offset(const leases_t *t);
/*
 * Sets the offset of the oldest record that the log still had at the last read.
 * If that skips unread records, this daemon loses its own terms, and the
 * longest lease is assumed for all holders before it.
 */
void leases_set_oldest(leases_t *t, uint64_t oldest);
/* Applies one record that was read at NOW. */
leases_result_t leases_apply_record(leases_t *t, uint64_t offset, str_t data,
				    int64_t now);
/* Number of invalid records. */
uint64_t leases_damaged(const leases_t *t);

/*
 * Returns the claim or renewal to append to the log now; free it with g_free.
 * Returns NULL while the lease of another holder may be running, while the own
 * one needs no renewal yet, or if the table is full. The lease is counted from
 * NOW, so the record must be appended at once; a repeat of it is harmless.
 */
char *leases_claim(leases_t *t, str_t runner, int64_t now);
/*
 * Returns true if this daemon may send the runner an order at NOW, and sets
 * FENCE to the fencing token. Call it directly before each order.
 */
bool leases_may_order(const leases_t *t, str_t runner, int64_t now,
		      uint64_t *fence);

#endif
