/*
 * Selects the dispatcher that a request is sent to. Each zone's runners of a
 * service form groups with a dispatcher each (see core/runner_group.h). A
 * request first goes to a group of the local zone, or, if its prompt has a
 * prefix that may be cached, to the group that the prefix hashes to; then to a
 * group in another zone. A service with few runners has a single regional
 * dispatcher over all zones. Does no I/O and reads no clock; random numbers
 * come from a given generator.
 */
#ifndef CORE_ZONE_GROUPS_H
#define CORE_ZONE_GROUPS_H

#include <glib.h>
#include <stdbool.h>

#include "core/runner_group.h"

enum { ZONE_GROUPS_NAME_SIZE = 64 }; /* bytes of a zone's name, with the NUL */

/* Runners per service and zone; the caller provides the memory. */
typedef struct zone_groups {
	GHashTable *services; /* service name to its runners per zone */
	GHashTable *partitioned; /* set of names of zones not used now */
	char own_zone[ZONE_GROUPS_NAME_SIZE];
} zone_groups_t;

/* A selected dispatcher, with the state for selecting the next one. */
typedef struct zone_pick {
	runner_group_t group;
	char zone[ZONE_GROUPS_NAME_SIZE]; /* "": the local zone, or all zones */
	uint32_t n_refused; /* dispatchers that refused so far */
	/* It left an undecided dispatcher; n_refused counts that one, too. */
	bool has_left;
	uint32_t n_back; /* how often it left and had to go back */
	/*
	 * Bit sets of what couldn't be used: other zones by their hashes, those
	 * of them that left wants unanswered, and groups of the own zone by
	 * their indexes. On a collision a usable one is skipped.
	 */
	uint64_t unusable_zones;
	uint64_t silent_zones;
	uint64_t unusable_groups;
	uint64_t session; /* of the request; 0: none */
	/* selected because its runners may cache the prefix */
	bool is_prefix_owner;
} zone_pick_t;

void zone_groups_init(zone_groups_t *z, const char *own_zone);
void zone_groups_finish(zone_groups_t *z);
/* Removes all runners. */
void zone_groups_clear(zone_groups_t *z);
/* Counts one more runner of the service in the zone. */
void zone_groups_add(zone_groups_t *z, const char *service, const char *zone);

/*
 * Sets whether a zone is unreachable: no request is sent there then. Removing
 * all runners doesn't change it.
 */
void zone_groups_set_partitioned(zone_groups_t *z, const char *zone,
				 bool is_partitioned);

/* Hashes of what a runner may have cached for a request; 0: none. */
typedef struct zone_affinity {
	uint64_t prefix; /* worth sending the request to another zone */
	uint64_t session; /* used within the local zone only */
} zone_affinity_t;

/*
 * Selects the first dispatcher. Requests with the same prefix get the same one
 * from any zone. Other requests get one of the local zone, and the same one for
 * all requests of a session.
 */
void zone_groups_pick_first(const zone_groups_t *z, const char *service,
			    const zone_affinity_t *affinity, GRand *rand,
			    zone_pick_t *out);
/* Returns the number of groups of a service, over all zones. */
uint32_t zone_groups_count(const zone_groups_t *z, const char *service);
/*
 * Replaces PICK, whose dispatcher refused, by the next one to try. Returns
 * false when there is no other, or when the request has tried as many
 * dispatchers as allowed.
 */
bool zone_groups_pick_next(const zone_groups_t *z, GRand *rand,
			   zone_pick_t *pick);
/*
 * Likewise when the request leaves a dispatcher that hasn't decided in time. If
 * no other can be used, zone_groups_pick_usable leads back to the own zone, and
 * the request may leave it again, a bounded number of times.
 */
bool zone_groups_leave(const zone_groups_t *z, GRand *rand, zone_pick_t *pick);
/*
 * Replaces PICK, which can't be used: its dispatcher can't be reached, or has
 * no runner that works, or is silent. Next are the other groups of the own zone
 * if the request is there, then zones not tried yet, and last the own zone's
 * groups again that weren't found unusable. Counts as no refusal. Returns false
 * when nothing is left, or for a single dispatcher over all zones.
 */
bool zone_groups_pick_usable(const zone_groups_t *z, GRand *rand,
			     bool is_silent, zone_pick_t *pick);

/* Calls FN with the name of each regional dispatcher. */
void zone_groups_each_regional(const zone_groups_t *z,
			       void (*fn)(void *ctx, const char *dispatcher),
			       void *ctx);

#endif
