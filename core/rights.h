/*
 * The right to dispatch: at most one dispatch for each key or ticket that
 * this daemon owns. Keeps the final answer for the callers' retry horizon.
 * Pure; times are microseconds, monotonic.
 *
 * A request without key or ticket needs no entry: the daemon that accepted
 * it is its only owner.
 */
#ifndef CORE_RIGHTS_H
#define CORE_RIGHTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"

/* How a request ended, as its caller is told. */
typedef enum outcome {
	OUTCOME_NONE, /* not ended */
	OUTCOME_COMPLETED,
	OUTCOME_NOT_RUN, /* it never left this system */
	OUTCOME_FAILED, /* it ran; the upstream said that it failed */
	OUTCOME_UNKNOWN, /* it was or may have been dispatched */
} outcome_t;

/* Returns "completed", "not-run", "failed" or "unknown". */
const char *outcome_name(outcome_t outcome);
/* Reads such a name; OUTCOME_NONE when it is none of them. */
outcome_t outcome_parse(const char *name);

/* A final answer; BODY and CONTENT_TYPE are owned by the entry. */
typedef struct rights_answer {
	outcome_t outcome;
	int status; /* HTTP status */
	char *content_type; /* may be NULL */
	GBytes *body; /* NULL when it was too long to keep */
} rights_answer_t;

typedef enum rights_state {
	RIGHTS_ISSUED, /* a ticket that was not used yet */
	RIGHTS_WAITING, /* begun, not dispatched */
	RIGHTS_DISPATCHED, /* the first byte may have left; never cleared */
	RIGHTS_ENDED, /* the final answer is kept */
} rights_state_t;

/* One key or ticket; read-only outside this module but for `work`. */
typedef struct rights_entry {
	GBytes *scoped; /* team and key */
	rights_state_t state;
	uint64_t fingerprint; /* of the request; a key names one request */
	uint64_t epoch; /* stall epoch in which the right was given */
	int64_t expires; /* ISSUED and ENDED */
	rights_answer_t answer; /* ENDED */
	void *work; /* the caller's own, while not ended */
	bool is_ticket;
	bool is_taken; /* over from another daemon, which may still run it */
} rights_entry_t;

typedef enum rights_verdict {
	RIGHTS_NEW, /* the caller of rights_begin is to run it */
	RIGHTS_JOIN, /* it is running: wait for its answer */
	RIGHTS_KEPT, /* it ended: the entry holds the answer */
	RIGHTS_FULL, /* the table is full; not run */
	RIGHTS_MISMATCH, /* the key names another request */
	RIGHTS_NO_TICKET, /* no such ticket here: unknown */
} rights_verdict_t;

typedef struct rights_config {
	uint32_t max_entries;
	uint64_t max_bytes; /* of kept answers */
	int64_t keep; /* retry horizon */
	int64_t ticket_life; /* unused tickets lapse after it */
} rights_config_t;

typedef struct rights {
	rights_config_t config;
	GHashTable *entries; /* GBytes scoped to rights_entry_t */
	GQueue ended; /* by time of end, for expiry */
	GQueue issued; /* by time of issue, for expiry */
	uint64_t bytes; /* of kept answers */
} rights_t;

void rights_init(rights_t *r, const rights_config_t *config);
void rights_finish(rights_t *r);

/* Joins a team and a key into the name that all tables use. */
GBytes *rights_scope(str_t team, str_t key);

/* Issues a ticket. Returns false when the table is full. */
bool rights_issue(rights_t *r, GBytes *scoped, int64_t now);
/* Finds an entry without changing it; NULL when there is none. */
rights_entry_t *rights_find(const rights_t *r, GBytes *scoped);
/*
 * Claims the right to run a request. EPOCH is the current stall epoch: a
 * right of an earlier one that was not dispatched has lapsed. OUT is set
 * for NEW, JOIN and KEPT.
 */
rights_verdict_t rights_begin(rights_t *r, GBytes *scoped, bool is_ticket,
			      uint64_t fingerprint, uint64_t epoch,
			      rights_entry_t **out);
/*
 * Sets the dispatch mark, before the first byte leaves. Returns false, and
 * the request must not be sent, when it is set already or the right lapsed
 * in a stall. Tickets do not lapse: no other daemon ever owns them.
 */
bool rights_mark_dispatched(rights_entry_t *entry, uint64_t epoch);
/*
 * Ends a request that was dispatched; the answer is copied and kept for the
 * retry horizon. A body past max_bytes is not kept.
 */
void rights_end(rights_t *r, rights_entry_t *entry,
		const rights_answer_t *answer, int64_t now);
/*
 * Gives up a request that was not dispatched: the entry goes, and a repeat
 * is a new request (a ticket may be used again).
 */
void rights_release(rights_t *r, rights_entry_t *entry, int64_t now);
/*
 * Takes over a key from the daemon that had it. The answer is UNKNOWN while
 * it may run there, NOT_RUN when it was given up there undispatched, which
 * frees the key again. An entry of this daemon's own is left alone. Returns
 * false when the table is full.
 */
bool rights_take(rights_t *r, GBytes *scoped, uint64_t fingerprint,
		 const rights_answer_t *answer, int64_t now);
/* Calls FN for every entry; FN changes nothing. */
void rights_each(const rights_t *r,
		 void (*fn)(void *ctx, const rights_entry_t *entry), void *ctx);
/* Drops what expired. */
void rights_expire(rights_t *r, int64_t now);

#endif
