/*
 * Hand-over of the key table between daemons of a zone: a draining daemon sends
 * its keys to their new owners, and every daemon sends a new daemon the keys
 * that the new one owns from then on. See docs/design/hand-over.md.
 *
 * This module does no I/O and reads no clock: messages are sent through
 * callbacks, and times are microseconds of the monotonic clock. A caller that
 * claims a key must call member_key_owner and dedup_claim without a call into
 * this module between them. Otherwise a transfer could start in between and
 * miss the key.
 */
#ifndef CORE_HANDOVER_H
#define CORE_HANDOVER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"
#include "core/member.h"
#include "core/dedup.h"

enum {
	HANDOVER_MAX_KEYS = 512, /* in one message (part) */
	HANDOVER_MAX_BODY = 256 * 1024, /* bytes; longer bodies are not sent */
};

typedef struct handover_key {
	GBytes *scoped;
	uint64_t fingerprint;
	dedup_answer_t answer; /* if is_answers is set in the part */
} handover_key_t;

typedef struct handover_member {
	str_t name;
	uint64_t incarnation;
} handover_member_t;

/* One message of a transfer; pointers are valid during the call only. */
typedef struct handover_part {
	uint64_t incarnation; /* of the sender */
	uint64_t to_incarnation; /* of the receiver */
	uint32_t serial; /* of the transfer */
	uint32_t index; /* of the part, from 0 */
	bool is_last; /* only this part has members, gaps, owing */
	bool is_draining; /* the sender is draining */
	bool is_answers; /* final answers for keys handed over before */
	const handover_key_t *keys;
	const handover_member_t *members; /* who may own keys */
	const member_gap_t *gaps;
	/*
	 * Daemons that drained and knew of the receiver: they sent its keys to
	 * it directly, so the sender does not have these.
	 */
	const handover_member_t *owing;
	size_t n_keys, n_members, n_gaps, n_owing;
} handover_part_t;

typedef struct handover_ops {
	/* Returns false if the link is down or full; the caller retries. */
	bool (*send_part)(void *ctx, str_t name, const handover_part_t *part);
	/*
	 * Acknowledges transfer SERIAL of the sender NAME. May be lost: the
	 * sender then repeats the transfer.
	 */
	void (*send_ack)(void *ctx, str_t name, uint64_t incarnation,
			 uint32_t serial);
} handover_ops_t;

struct handover_table;

typedef struct handover {
	struct handover_table *table;
} handover_t;

/* MEMBER and DEDUP are owned by the caller and must outlive H. */
void handover_init(handover_t *h, member_t *member, dedup_t *dedup,
		   const handover_ops_t *ops, void *ctx);
void handover_finish(handover_t *h);
/* Discards all transfers; call it when a new incarnation starts. */
void handover_reset(handover_t *h);

/* Starts and continues transfers; call it at least every heartbeat. */
void handover_tick(handover_t *h, int64_t now);
/* Processes a part received from FROM. */
void handover_on_part(handover_t *h, str_t from, const handover_part_t *part,
		      int64_t now);
/* Processes FROM's acknowledgement of a transfer. */
void handover_on_ack(handover_t *h, str_t from, uint64_t incarnation,
		     uint32_t serial);
/*
 * Call it when a request with a key ended here, or was dropped before its
 * dispatch (OUTCOME_NOT_RUN). Sends the answer to the new owner if the key was
 * handed over.
 */
void handover_on_request_end(handover_t *h, GBytes *scoped,
			     uint64_t fingerprint, const dedup_answer_t *answer,
			     int64_t now);

/*
 * Returns true if this daemon is draining and every daemon that may own keys
 * has taken over its keys.
 */
bool handover_is_done(const handover_t *h);
/* Returns true if every live daemon has handed over its keys to this one. */
bool handover_has_joined(const handover_t *h);
/* Number of live daemons whose hand-over is outstanding; 0 once joined. */
uint32_t handover_n_outstanding(const handover_t *h);
/*
 * Returns true if this daemon, started AGE microseconds ago, has received the
 * keys that the others have for it, so that they may be drained. Also true
 * after a time limit, when some are still outstanding.
 */
bool handover_is_ready(const handover_t *h, int64_t age);

#endif
