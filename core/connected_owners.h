/*
 * Which owners have an idle connection to a runner, so that their next request
 * needs no new one. Owners report it when a request ends. Of bounded size:
 * evicts the connection that expires first. A wrong entry only costs a new
 * connection. Does no I/O; times are microseconds of the monotonic clock.
 */
#ifndef CORE_CONNECTED_OWNERS_H
#define CORE_CONNECTED_OWNERS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum { CONNECTED_OWNERS_MAX = 64 }; /* connections known of a runner */

typedef struct connected_owner {
	uint64_t owner;
	int64_t until; /* when its connection expires */
} connected_owner_t;

/* All zero at first. */
typedef struct connected_owners {
	GArray *idle; /* connected_owner_t, one per connection; NULL: none */
} connected_owners_t;

/* Frees the entries. */
void connected_owners_finish(connected_owners_t *w);
/* The owner has a connection that it may use until UNTIL. */
void connected_owners_add(connected_owners_t *w, uint64_t owner, int64_t until,
			  int64_t now);
/* The owner uses a connection. */
void connected_owners_take(connected_owners_t *w, uint64_t owner);
/* Returns whether the owner has an unexpired idle connection. */
bool connected_owners_has(const connected_owners_t *w, uint64_t owner,
			  int64_t now);

#endif
