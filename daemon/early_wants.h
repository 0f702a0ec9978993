/*
 * Wants that reach a daemon before its first configuration: others may know it
 * as a dispatcher's host as soon as it is linked. They are kept and decided
 * once the configuration is known, since no other daemon serves them meanwhile.
 * Bounded; what doesn't fit is refused.
 */
#ifndef DAEMON_EARLY_WANTS_H
#define DAEMON_EARLY_WANTS_H

#include "daemon/message.h"

enum { EARLY_WANTS_MAX = 512 };

typedef struct early_wants {
	GQueue wants; /* message_capacity_t, in the order of arrival */
} early_wants_t;

void early_wants_init(early_wants_t *e);
void early_wants_finish(early_wants_t *e);
/* Keeps a copy, in place of an earlier one of the same ID; false: full. */
bool early_wants_add(early_wants_t *e, const message_capacity_t *want);
/* Removes a want that its owner withdrew, or whose use of a runner ended. */
void early_wants_remove(early_wants_t *e, want_id_t id);
/* Removes all wants of a daemon that died. */
void early_wants_remove_peer(early_wants_t *e, const char *peer);
/* Removes the oldest and returns it, to be freed with g_free; NULL: none. */
message_capacity_t *early_wants_pop(early_wants_t *e);

#endif
