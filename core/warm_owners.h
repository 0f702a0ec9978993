/*
 * Which owners have an idle connection to a runner, so that a request of theirs
 * needs no new one. They say so when a request ends. Of bounded size: the one
 * that ends first is forgotten. A wrong entry only costs a new connection. Does
 * no I/O; times are microseconds of the monotonic clock.
 */
#ifndef CORE_WARM_OWNERS_H
#define CORE_WARM_OWNERS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum { WARM_OWNERS_MAX = 64 }; /* connections known of a runner */

typedef struct warm_owner {
	uint64_t owner;
	int64_t until; /* its connection may be used */
} warm_owner_t;

/* All zero at first. */
typedef struct warm_owners {
	GArray *idle; /* warm_owner_t, one for each connection; NULL: none */
} warm_owners_t;

void warm_owners_finish(warm_owners_t *w);
/* The owner has a connection that it may use until UNTIL. */
void warm_owners_add(warm_owners_t *w, uint64_t owner, int64_t until);
/* The owner uses a connection. */
void warm_owners_take(warm_owners_t *w, uint64_t owner);
bool warm_owners_has(const warm_owners_t *w, uint64_t owner, int64_t now);

#endif
