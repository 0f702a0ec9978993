/*
 * Which owners have an idle connection to a runner, so that a request of theirs
 * needs no new one. They say so when a request ends. Of bounded size: the one
 * that ends first is forgotten. A wrong entry only costs a new connection. Does
 * no I/O; times are microseconds of the monotonic clock.
 */
#ifndef CORE_CONNECTED_OWNERS_H
#define CORE_CONNECTED_OWNERS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum { CONNECTED_OWNERS_MAX = 64 }; /* connections known of a runner */

typedef struct connected_owner {
	uint64_t owner;
	int64_t until; /* its connection may be used */
} connected_owner_t;

/* All zero at first. */
typedef struct connected_owners {
	GArray *idle; /* connected_owner_t, one for each connection; NULL: none */
} connected_owners_t;

void connected_owners_finish(connected_owners_t *w);
/* The owner has a connection that it may use until UNTIL. */
void connected_owners_add(connected_owners_t *w, uint64_t owner, int64_t until,
			  int64_t now);
/* The owner uses a connection. */
void connected_owners_take(connected_owners_t *w, uint64_t owner);
bool connected_owners_has(const connected_owners_t *w, uint64_t owner,
			  int64_t now);

#endif
