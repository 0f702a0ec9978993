/*
 * Which dispatcher a request asks: that of a group of its service's runners
 * in the own zone first, or of those that may have kept its prompt, then one
 * in another zone; for a service with few runners the one dispatcher over all
 * zones. Pure.
 */
#ifndef CORE_ZONE_GROUPS_H
#define CORE_ZONE_GROUPS_H

#include <glib.h>
#include <stdbool.h>

#include "core/runner_group.h"

enum { ZONE_GROUPS_NAME_SIZE = 64 }; /* bytes of a zone's name, with the NUL */

/* The runners of each service, by zone; on memory of the caller. */
typedef struct zone_groups {
	GHashTable *services; /* name to its zones */
	char own_zone[ZONE_GROUPS_NAME_SIZE];
} zone_groups_t;

/* A dispatcher that was picked, and how many were picked before it. */
typedef struct zone_pick {
	runner_group_t group;
	char zone[ZONE_GROUPS_NAME_SIZE]; /* "": the own one, or all */
	uint32_t tried;
	bool is_home; /* chosen for what its runners keep */
} zone_pick_t;

void zone_groups_init(zone_groups_t *z, const char *own_zone);
void zone_groups_finish(zone_groups_t *z);
/* Forgets all runners. */
void zone_groups_clear(zone_groups_t *z);
/* Adds a runner. */
void zone_groups_add(zone_groups_t *z, const char *service, const char *zone);

/* What a request may find kept by a runner; hashes, 0 for none. */
typedef struct zone_affinity {
	uint64_t prefix; /* worth a way to another zone */
	uint64_t session; /* not worth that */
} zone_affinity_t;

/*
 * Picks the first dispatcher to ask: the same for all requests with a prefix,
 * wherever they come from; else one of the own zone, the same for a session.
 */
void zone_groups_first(const zone_groups_t *z, const char *service,
		       const zone_affinity_t *affinity, GRand *rand,
		       zone_pick_t *out);
/* The number of groups of a service, in all zones. */
uint32_t zone_groups_count(const zone_groups_t *z, const char *service);
/*
 * Picks the next one after PICK refused; false when no other is worth a try.
 */
bool zone_groups_next(const zone_groups_t *z, GRand *rand, zone_pick_t *pick);

/* Calls FN with the name of each dispatcher that serves all zones. */
void zone_groups_each_regional(const zone_groups_t *z,
			       void (*fn)(void *ctx, const char *dispatcher),
			       void *ctx);

#endif
