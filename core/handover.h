/*
 * Hand-over of the key table between daemons of a zone: a daemon that drains
 * gives its keys to their new owners, and every daemon gives a new one the
 * keys that are its from now on. See docs/design/hand-over.md.
 *
 * Pure: parts go out through callbacks; times are microseconds, monotonic.
 * Whoever claims a key asks member_key_owner and calls rights_begin in one
 * step, so that no claim lies between a hand-over and its own view.
 */
#ifndef CORE_HANDOVER_H
#define CORE_HANDOVER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"
#include "core/member.h"
#include "core/rights.h"

enum {
	HANDOVER_MAX_KEYS = 512, /* in one part */
	HANDOVER_MAX_BODY = 256 * 1024, /* bytes of an answer passed on */
};

typedef struct handover_key {
	GBytes *scoped;
	uint64_t fingerprint;
	rights_answer_t answer; /* in parts with answers */
} handover_key_t;

typedef struct handover_member {
	str_t name;
	uint64_t incarnation;
} handover_member_t;

/* One message; all views are valid during the call only. */
typedef struct handover_part {
	uint64_t incarnation; /* of the giver */
	uint64_t to_incarnation; /* of the receiver */
	uint32_t serial; /* of the transfer */
	uint32_t index; /* of the part */
	bool is_last; /* members and gaps are given */
	bool is_leaving; /* the giver drains */
	bool is_answers; /* answers to keys handed over before */
	const handover_key_t *keys;
	const handover_member_t *members;
	const member_gap_t *gaps;
	/*
	 * Daemons that left and saw the receiver: its share of their keys
	 * is with them, not with the giver.
	 */
	const handover_member_t *owing;
	size_t n_keys, n_members, n_gaps, n_owing;
} handover_part_t;

typedef struct handover_ops {
	/* Returns false when the link is down or full; it is tried again. */
	bool (*send_part)(void *ctx, str_t name, const handover_part_t *part);
	/* The giver's SERIAL was taken over; may be lost. */
	void (*send_ack)(void *ctx, str_t name, uint64_t incarnation,
			 uint32_t serial);
} handover_ops_t;

struct handover_table;

typedef struct handover {
	struct handover_table *table;
} handover_t;

/* MEMBER and RIGHTS belong to the caller and outlive the hand-over. */
void handover_init(handover_t *h, member_t *member, rights_t *rights,
		   const handover_ops_t *ops, void *ctx);
void handover_finish(handover_t *h);
/* Forgets all transfers: the daemon took a new incarnation. */
void handover_reset(handover_t *h);

/* Starts and continues transfers; call it every heartbeat or more often. */
void handover_tick(handover_t *h, int64_t now);
/* A part came from FROM. */
void handover_receive(handover_t *h, str_t from, const handover_part_t *part,
		      int64_t now);
void handover_acked(handover_t *h, str_t from, uint64_t incarnation,
		    uint32_t serial);
/*
 * A keyed request of this daemon ended, or was given up undispatched
 * (NOT_RUN): tells the new owner if the key was handed over.
 */
void handover_ended(handover_t *h, GBytes *scoped, uint64_t fingerprint,
		    const rights_answer_t *answer, int64_t now);

/* True when every daemon that may own keys has taken ours over. */
bool handover_is_done(const handover_t *h);
/* True when every live daemon has handed over to this new one. */
bool handover_has_joined(const handover_t *h);
/* The live daemons that this new one still awaits keys from; 0: joined. */
uint32_t handover_awaited(const handover_t *h);
/*
 * True when a new daemon, AGE microseconds after its start, has the keys that
 * the others could give it: those may be drained then.
 */
bool handover_is_ready(const handover_t *h, int64_t age);

#endif
