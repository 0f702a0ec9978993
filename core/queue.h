/*
 * The queue of waiting wants. Protected tiers have strict priority; the other
 * tiers share by weight. Within a tier the earliest deadline is served first
 * among the teams that have not exceeded their fair share of tokens.
 *
 * Entries belong to the caller. Each operation takes time logarithmic in the
 * number of teams and entries. Does no I/O and reads no clock.
 */
#ifndef CORE_QUEUE_H
#define CORE_QUEUE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"
#include "core/dispatcher.h"

struct queue_team;

/* A waiting want. The caller sets the first five fields. */
typedef struct queue_entry {
	uint32_t tier;
	str_t team;
	uint64_t cost; /* tokens, at least 1 */
	int64_t deadline;
	int64_t due; /* time of its next check; see queue_first_due */
	uint64_t sequence; /* arrival order, set by queue_push */
	struct queue_team
		*team_queue; /* its team's queue; NULL if not queued */
	GSequenceIter *in_team;
	GSequenceIter *in_due;
} queue_entry_t;

typedef struct queue_tier {
	dispatcher_tier_t config;
	uint32_t rank; /* 0 is served first */
	GHashTable *teams;
	GSequence
		*within_share; /* teams within their share, by first deadline */
	GSequence *over_share; /* teams beyond their share, by used */
	GSequence *idle; /* teams with nothing queued, by used */
	GSequence *by_backlog; /* teams by tokens queued */
	double fair_share; /* tokens per weight due to each team so far */
	double used; /* tokens served, divided by the tier's weight */
	uint64_t tokens; /* queued */
	uint32_t entries;
} queue_tier_t;

typedef struct queue {
	queue_tier_t tiers[DISPATCHER_MAX_TIERS];
	uint32_t by_rank[DISPATCHER_MAX_TIERS];
	uint32_t n_tiers;
	GHashTable *weights; /* configured weights of teams */
	GSequence *by_due; /* all entries */
	double quantum; /* tokens per weight a team may use beyond fair_share */
	/*
	 * queue_tier_t.used of the unprotected tier served last, before it was
	 * charged. A tier that gets entries again starts no lower.
	 */
	double used;
	uint64_t next_sequence;
	uint32_t entries;
} queue_t;

void queue_init(queue_t *q, uint32_t quantum);
/* Doesn't touch or free entries that are still queued. */
void queue_finish(queue_t *q);

/* Replaces the tiers; entries of a removed tier move to the last one. */
void queue_set_tiers(queue_t *q, const dispatcher_tier_t *tiers, uint32_t n);
/* Sets a team's weight within every tier, at least 1. */
void queue_set_team(queue_t *q, str_t team, uint32_t weight);

void queue_push(queue_t *q, queue_entry_t *entry);
/* Removes an entry without charging its team. */
void queue_remove(queue_t *q, queue_entry_t *entry);
/* Returns the entry to be served next, or NULL. */
queue_entry_t *queue_head(const queue_t *q);
/*
 * Sets OUT to at most N entries of each tier, and returns how many they are.
 * Tiers are in the order of their rank; only teams within their share count.
 * OUT has room for N times DISPATCHER_MAX_TIERS.
 */
uint32_t queue_peek(const queue_t *q, uint32_t n, queue_entry_t **out);
/* Removes an entry that is served now; charges its team and tier. */
void queue_serve(queue_t *q, queue_entry_t *entry);

/* Returns the entry with the earliest due time, or NULL. */
queue_entry_t *queue_first_due(const queue_t *q);
void queue_set_due(queue_t *q, queue_entry_t *entry, int64_t due);

/*
 * Returns the entry to drop from a full queue in favour of a want of TIER and
 * TEAM: in the lowest tier with entries, the latest deadline of the team with
 * most tokens queued. If that is the want's own tier, that team must have more
 * queued than the want's team would have. NULL if the want is to be refused.
 */
queue_entry_t *queue_victim(const queue_t *q, uint32_t tier, str_t team,
			    uint64_t cost);

/* Clamps a tier's index to the configured tiers. */
uint32_t queue_tier_index(const queue_t *q, uint32_t tier);
bool queue_is_protected(const queue_t *q, uint32_t tier);
/* Returns whether tier B has lower priority than tier A. */
bool queue_is_lower(const queue_t *q, uint32_t a, uint32_t b);
/* Returns whether a tier lower than TIER has entries. */
bool queue_has_lower(const queue_t *q, uint32_t tier);
/*
 * Returns the tokens served before a new entry of TIER that costs COST: all of
 * the tier, all of tiers with strict priority over it, and the part of the
 * other tiers that is served meanwhile by weight.
 */
uint64_t queue_tokens_ahead(const queue_t *q, uint32_t tier, uint64_t cost);
/* Returns the tokens queued in all tiers. */
uint64_t queue_tokens(const queue_t *q);

#endif
