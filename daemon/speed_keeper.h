/*
 * Learned speeds received from other daemons, kept until this daemon becomes
 * the dispatcher's host. Bounded: when full, the dispatcher whose speeds were
 * received longest ago is dropped.
 */
#ifndef DAEMON_SPEED_KEEPER_H
#define DAEMON_SPEED_KEEPER_H

#include "core/speed_digest.h"

enum { SPEED_KEEPER_MAX = 64 }; /* dispatchers */

typedef struct speed_keeper {
	GHashTable *dispatchers; /* name to the digests kept for it */
} speed_keeper_t;

void speed_keeper_init(speed_keeper_t *k);
void speed_keeper_finish(speed_keeper_t *k);
/* Keeps digests (runner_digest_t), a runner's in place of its earlier one. */
void speed_keeper_add(speed_keeper_t *k, const char *dispatcher,
		      const GArray *digests, int64_t now);
/*
 * Gives what is kept for a dispatcher to D, once its runners are known, and
 * forgets it. Returns how many runners' speeds were taken.
 */
uint32_t speed_keeper_import(speed_keeper_t *k, const char *dispatcher,
			     dispatcher_t *d, int64_t now);

#endif
