/*
 * Wants that reach a daemon before its first configuration and VM list: other
 * daemons may know it as a dispatcher's host as soon as it is linked. They are
 * kept, and handled once both are known, since no other daemon serves them
 * meanwhile. Wants of requests that run already come first, so that their
 * runners count as busy. Bounded in number and time; the rest is refused.
 *
 * Not in core/, as it keeps messages of tasks.
 */
#ifndef DAEMON_EARLY_WANTS_H
#define DAEMON_EARLY_WANTS_H

#include "daemon/message.h"

enum {
	EARLY_WANTS_MAX = 512, /* of each kind */
	/*
	 * How long a waiting want is kept. The VM list usually comes sooner from
	 * other daemons, or may not come at all.
	 */
	EARLY_WANTS_LIMIT_US = 1500 * 1000,
};

typedef struct early_wants {
	GQueue running, waiting; /* in the order of arrival */
} early_wants_t;

void early_wants_init(early_wants_t *e);
void early_wants_finish(early_wants_t *e);
/* Keeps a copy, in place of an earlier one of the same ID; false: full. */
bool early_wants_add(early_wants_t *e, const message_capacity_t *want,
		     int64_t now);
/* Removes a want that its owner withdrew, or whose use of a runner ended. */
void early_wants_remove(early_wants_t *e, want_id_t id);
/* Removes all wants of a daemon that died. */
void early_wants_remove_peer(early_wants_t *e, const char *peer);
/*
 * Removes the next want to be handled, and stores it in OUT; false: there is
 * none.
 */
bool early_wants_pop(early_wants_t *e, message_capacity_t *out);
/* Likewise a waiting one that was kept for too long. */
bool early_wants_pop_late(early_wants_t *e, int64_t now,
			  message_capacity_t *out);
uint32_t early_wants_count(const early_wants_t *e);

#endif
