/*
 * Who may give a runner orders (load, adapter, version, role). The `terms`
 * log decides: the newest claim for a runner holds its term, and the claim's
 * offset is the fencing number that the orders bear. Pure: records come with
 * the time they were read.
 *
 * A record is a JSON object:
 *   {"type":"claim","runner":"engine-1","holder":"vm-1",
 *    "incarnation":"HEX","lease_us":N,"sent_us":N,"over":17}
 * Without `over` it begins a term. With it it renews the term whose newest
 * record is at that offset, and is void when another claim came in between.
 *
 * A runner that refuses old fencing numbers needs no more. For one that does
 * not check, a new holder first waits as long as the longest lease of those
 * before it, counted from when it read its own claim; a holder stops when its
 * lease ends, counted from when it sent its newest claim. So no two may order
 * at once, whatever clocks show and however long answers take.
 *
 * All times are microseconds of the host's monotonic clock.
 */
#ifndef CORE_TERMS_H
#define CORE_TERMS_H

#include <stdbool.h>
#include <stdint.h>

#include "common/err.h"
#include "common/str.h"

enum { TERMS_NAME_SIZE = 64 /* bytes, with the NUL */ };

/* No lease may be longer; who knows of none assumes this one. */
static const int64_t TERMS_MAX_LEASE = 60 * 1000000LL;

typedef struct terms_config {
	const char *holder; /* this daemon's name */
	uint64_t incarnation; /* of this daemon */
	int64_t lease; /* up to TERMS_MAX_LEASE */
	int64_t margin; /* for clocks of unlike speed; below the lease */
	uint32_t max_runners;
} terms_config_t;

typedef enum terms_verdict {
	TERMS_TAKEN, /* the claim holds the term now */
	TERMS_VOID, /* a renewal of a term that had passed on */
	TERMS_REPEATED, /* before terms_next: changed nothing */
	TERMS_DAMAGED, /* skipped and counted */
	TERMS_FULL, /* the table is full: the runner is not followed */
} terms_verdict_t;

struct terms_state;

typedef struct terms {
	struct terms_state *state;
} terms_t;

void terms_init(terms_t *t, const terms_config_t *config);
void terms_finish(terms_t *t);

/* States whether a runner checks fencing numbers; false until stated. */
void terms_set_fencing(terms_t *t, str_t runner, bool has_fencing);

/* The next offset to read from the log. */
uint64_t terms_next(const terms_t *t);
/*
 * The log kept nothing older than OLDEST at the last read. Past a gap own
 * terms are lost, and the longest lease is assumed of all before it.
 */
void terms_oldest(terms_t *t, uint64_t oldest);
/* Folds one record that was read at NOW. */
terms_verdict_t terms_record(terms_t *t, uint64_t offset, str_t data,
			     int64_t now);
uint64_t terms_damaged(const terms_t *t);

/*
 * The claim or renewal to append now, to be freed with g_free; NULL while
 * another holder's lease may run, or the own one needs no renewal yet. It
 * counts from NOW, so it must be appended at once; repeating it is harmless.
 */
char *terms_claim(terms_t *t, str_t runner, int64_t now);
/*
 * True when this daemon may send the runner an order at NOW, with the fencing
 * number in FENCE. To be asked right before each order.
 */
bool terms_may_order(const terms_t *t, str_t runner, int64_t now,
		     uint64_t *fence);

#endif
