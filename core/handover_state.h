/* What giving and taking share; private to core/handover*.c. */
#ifndef CORE_HANDOVER_STATE_H
#define CORE_HANDOVER_STATE_H

#include "core/handover.h"

/* Long before any time that is passed in, and safe to subtract from. */
#define HANDOVER_NO_GAP (G_MININT64 / 4)

/* A daemon that hands keys over to this one. */
typedef struct source {
	char name[MEMBER_NAME_SIZE];
	uint64_t incarnation;
	uint32_t serial;
	uint32_t next_index;
	bool is_failed; /* a key had no room */
	bool is_accepted;
	bool is_elder; /* accepted, and it told of no start of its own */
	/* Who must hand over too, name to uint64_t: the giver's view ... */
	GHashTable *members;
	GHashTable *owing; /* ... and the daemons that owe us a share */
} handover_source_t;

/* A daemon that left has keys for TO that this one did not get. */
typedef struct handover_share {
	char from[MEMBER_NAME_SIZE], to[MEMBER_NAME_SIZE];
	uint64_t from_incarnation, to_incarnation;
	int64_t at;
} handover_share_t;

struct handover_table {
	member_t *member;
	rights_t *rights;
	handover_ops_t ops;
	void *ctx;
	GHashTable *targets; /* by name */
	GHashTable *sources; /* by name */
	GArray *shares; /* handover_share_t, of the last quiet period */
	uint32_t serial; /* of the last transfer */
	int64_t since; /* latest gap that any source told of */
	bool has_joined;
	bool is_leaving; /* as of the last tick */
};

void handover_free_source(void *data);
bool handover_is_self(const struct handover_table *t, str_t name);
/* Appends a handover_member_t to a GArray; for member_each_candidate. */
void handover_add_member(void *ctx, str_t name, uint64_t incarnation);
/* Forgets shares of keys that no caller repeats any more. */
void handover_expire_shares(struct handover_table *t, int64_t now);
/* How many candidates have not handed their keys over to this daemon. */
uint32_t handover_count_awaited(const struct handover_table *t);
/* Ends the quiet period of a new daemon once all others handed over. */
void handover_try_join(struct handover_table *t);

#endif
