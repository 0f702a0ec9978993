/*
 * Orders the wants that wait: protected tiers strictly before the others,
 * the others by weight, and within a tier the earliest deadline first among
 * the teams that have not overdrawn their share of tokens. Pure.
 *
 * Entries belong to the caller; each operation costs the logarithm of the
 * number of teams and entries.
 */
#ifndef CORE_QUEUE_H
#define CORE_QUEUE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"
#include "core/dispatcher.h"

struct queue_team;

/* One waiting want; the first five fields are set before queue_push. */
typedef struct queue_entry {
	uint32_t tier;
	str_t team;
	uint64_t cost; /* tokens, at least 1 */
	int64_t deadline;
	int64_t due; /* when queue_due is to return it */
	uint64_t sequence; /* arrival order, set by queue_push */
	struct queue_team *share; /* NULL when not queued */
	GSequenceIter *in_team;
	GSequenceIter *in_due;
} queue_entry_t;

typedef struct queue_tier {
	dispatcher_tier_t terms;
	uint32_t rank; /* 0 is served first */
	GHashTable *teams;
	GSequence *eligible; /* teams within their share, by head deadline */
	GSequence *spent; /* teams beyond it, by tokens used */
	GSequence *idle; /* teams with nothing queued, by tokens used */
	GSequence *by_backlog; /* teams by tokens queued */
	double round; /* tokens every team with work was offered */
	double used; /* tokens served, divided by the tier's weight */
	uint64_t tokens; /* queued */
	uint32_t entries;
} queue_tier_t;

typedef struct queue {
	queue_tier_t tiers[DISPATCHER_MAX_TIERS];
	uint32_t by_rank[DISPATCHER_MAX_TIERS];
	uint32_t n_tiers;
	GHashTable *weights; /* of teams with a weight of their own */
	GSequence *by_due;
	double quantum; /* tokens a team may be ahead of the others */
	double used; /* of the unprotected tier served last */
	uint64_t next_sequence;
	uint32_t entries;
} queue_t;

void queue_init(queue_t *q, uint32_t quantum);
/* Entries still queued are left as they are. */
void queue_finish(queue_t *q);

/* Replaces the tiers; entries of a tier that is gone join the last. */
void queue_set_tiers(queue_t *q, const dispatcher_tier_t *tiers, uint32_t n);
/* Sets a team's weight within every tier, at least 1. */
void queue_set_team(queue_t *q, str_t team, uint32_t weight);

void queue_push(queue_t *q, queue_entry_t *entry);
/* Drops an entry without charging its team. */
void queue_remove(queue_t *q, queue_entry_t *entry);
/* Returns the entry to be served next, or NULL. */
queue_entry_t *queue_head(const queue_t *q);
/* Removes an entry that is served now and charges its team and tier. */
void queue_serve(queue_t *q, queue_entry_t *entry);

/* Returns the entry with the least due time, or NULL. */
queue_entry_t *queue_due(const queue_t *q);
void queue_set_due(queue_t *q, queue_entry_t *entry, int64_t due);

/*
 * Returns the entry to shed in favour of a want of TIER and TEAM: of the
 * lowest tier that waits, the team with most tokens queued, its latest
 * deadline. In the want's own tier only a team with more queued than its
 * own gives way. NULL when the want itself is the one to refuse.
 */
queue_entry_t *queue_victim(const queue_t *q, uint32_t tier, str_t team,
			    uint64_t cost);

/* Clamps a tier's index to those that exist. */
uint32_t queue_tier_index(const queue_t *q, uint32_t tier);
bool queue_is_protected(const queue_t *q, uint32_t tier);
/* Tells whether tier B gives way to tier A. */
bool queue_is_lower(const queue_t *q, uint32_t a, uint32_t b);
/* Tells whether anything waits in a tier that gives way to TIER. */
bool queue_has_lower(const queue_t *q, uint32_t tier);
/*
 * Tokens that are served before a new entry of TIER that costs COST: those of
 * the tier, of the tiers strictly before it, and the others' by weight.
 */
uint64_t queue_tokens_ahead(const queue_t *q, uint32_t tier, uint64_t cost);
/* Tokens that wait in all tiers. */
uint64_t queue_tokens(const queue_t *q);

#endif
