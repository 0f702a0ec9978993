/*
 * Deduplication of requests: a table of the keys and tickets that this daemon
 * owns, which ensures at most one dispatch for each of them. It keeps the final
 * answer as long as callers may retry (the retry horizon).
 *
 * A request without key or ticket needs no entry, because the daemon that
 * accepted it is its only owner. This module does no I/O and reads no clock;
 * times are microseconds of the monotonic clock.
 */
#ifndef CORE_DEDUP_H
#define CORE_DEDUP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"

/* Outcome of a request, as reported to its caller. */
typedef enum outcome {
	OUTCOME_NONE, /* not ended */
	OUTCOME_COMPLETED,
	OUTCOME_NOT_RUN, /* it was never sent to the upstream */
	OUTCOME_FAILED, /* it ran; the upstream reported a failure */
	OUTCOME_UNKNOWN, /* it was or may have been dispatched */
} outcome_t;

/* Returns "completed", "not-run", "failed" or "unknown". */
const char *outcome_name(outcome_t outcome);
/* Parses such a name; returns OUTCOME_NONE if it is invalid. */
outcome_t outcome_parse(const char *name);

/* A final answer; BODY and CONTENT_TYPE are owned by the entry. */
typedef struct dedup_answer {
	outcome_t outcome;
	int status; /* HTTP status */
	char *content_type; /* may be NULL */
	GBytes *body; /* NULL if it was too long to keep */
} dedup_answer_t;

typedef enum dedup_state {
	DEDUP_ISSUED, /* an unused ticket */
	DEDUP_WAITING, /* claimed, not dispatched yet */
	DEDUP_DISPATCHED, /* may have been sent; never reverts to WAITING */
	DEDUP_ENDED, /* has the final answer */
} dedup_state_t;

/* One key or ticket. Other modules may write only the field `user_data`. */
typedef struct dedup_entry {
	GBytes *scoped; /* team and key; see dedup_scope() */
	dedup_state_t state;
	uint64_t fingerprint; /* of the key's or ticket's only request */
	uint64_t epoch; /* stall epoch when it was claimed */
	int64_t expires; /* valid for ISSUED and ENDED */
	dedup_answer_t answer; /* valid for ENDED */
	void *user_data; /* caller's data, until ENDED */
	bool is_ticket;
	bool is_imported; /* from another daemon, where it may still run */
} dedup_entry_t;

typedef enum dedup_verdict {
	DEDUP_NEW, /* claimed: the caller must run it */
	DEDUP_JOIN, /* already claimed: wait for the answer */
	DEDUP_REPLAY, /* already ended: the entry has the answer */
	DEDUP_FULL, /* no room in the table: do not run it */
	DEDUP_MISMATCH, /* the key or ticket has another request */
	DEDUP_NO_TICKET, /* no such ticket: the outcome is unknown */
} dedup_verdict_t;

typedef struct dedup_config {
	uint32_t max_entries;
	uint64_t max_bytes; /* total size of the kept bodies */
	int64_t answer_ttl; /* time that answers are kept: the retry horizon */
	int64_t ticket_ttl; /* an unused ticket expires after this time */
} dedup_config_t;

typedef struct dedup {
	dedup_config_t config;
	GHashTable *entries; /* scoped key (GBytes) -> dedup_entry_t */
	GQueue ended; /* ENDED entries, in order of expiry */
	GQueue issued; /* ISSUED entries, in order of expiry */
	uint64_t bytes; /* total size of the kept bodies */
} dedup_t;

void dedup_init(dedup_t *d, const dedup_config_t *config);
void dedup_finish(dedup_t *d);

/* Joins a team and a key into the scoped key that all tables use. */
GBytes *dedup_scope(str_t team, str_t key);

/* Issues a ticket. Returns false if the table is full or has SCOPED. */
bool dedup_issue_ticket(dedup_t *d, GBytes *scoped, int64_t now);
/* Finds an entry; returns NULL if there is none. */
dedup_entry_t *dedup_find(const dedup_t *d, GBytes *scoped);
/*
 * Claims a key or ticket for a request. EPOCH is the current stall epoch, the
 * number of times that this process stalled: a claim from an earlier epoch
 * can't be dispatched any more. OUT is set to the entry for NEW, JOIN and
 * REPLAY.
 */
dedup_verdict_t dedup_claim(dedup_t *d, GBytes *scoped, bool is_ticket,
			    uint64_t fingerprint, uint64_t epoch,
			    dedup_entry_t **out);
/*
 * Marks the entry as dispatched; call it before the first byte is sent. Returns
 * false if it was dispatched already, or if the claim became invalid because
 * the process stalled: the request must then not be sent. Stalls don't affect
 * tickets, as no other daemon ever owns them.
 */
bool dedup_mark_dispatched(dedup_entry_t *entry, uint64_t epoch);
/*
 * Ends a dispatched request. Keeps a copy of the answer for the retry horizon,
 * without the body if that would exceed max_bytes.
 */
void dedup_end(dedup_t *d, dedup_entry_t *entry, const dedup_answer_t *answer,
	       int64_t now);
/*
 * Releases the claim of a request that was not dispatched. A repeat of it is a
 * new request: the entry of a key is removed, a ticket may be used again.
 */
void dedup_release(dedup_t *d, dedup_entry_t *entry, int64_t now);
/*
 * Adds a key that its previous owner handed over, or sets the answer of such a
 * key. The outcome is OUTCOME_UNKNOWN while the request may run there. It is
 * OUTCOME_NOT_RUN if it was dropped there before its dispatch; this removes the
 * entry. An entry claimed on this daemon is not changed. Returns false if the
 * table is full.
 */
bool dedup_import(dedup_t *d, GBytes *scoped, uint64_t fingerprint,
		  const dedup_answer_t *answer, int64_t now);
/* Calls FN for every entry; FN must not change the table. */
void dedup_each(const dedup_t *d,
		void (*fn)(void *ctx, const dedup_entry_t *entry), void *ctx);
/* Removes all expired entries. */
void dedup_expire(dedup_t *d, int64_t now);

#endif
