/*
 * Decides when a daemon that states an older version of the configuration is
 * sent the one in force, beside the updates that all daemons get. Each heartbeat
 * states a version, and over a narrow link a large configuration takes longer
 * than a few of them: sent for each, it would fill the memory of its sender and
 * the link. So each daemon is sent a version once in a while, and all of them
 * together at a bounded rate. Reads no clock; times are microseconds of the
 * monotonic clock.
 */
#ifndef CORE_CATCH_UP_H
#define CORE_CATCH_UP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct catch_up {
	GHashTable *sent; /* daemon's name to what it was sent last */
	int64_t next_at; /* nothing is sent to anybody before */
} catch_up_t;

void catch_up_init(catch_up_t *c);
void catch_up_finish(catch_up_t *c);
/*
 * PEER states an older version than VERSION, which takes up SIZE bytes. Returns
 * whether it is sent to it now, which is noted.
 */
bool catch_up_may_send(catch_up_t *c, const char *peer, uint64_t version,
		       size_t size, int64_t now);

#endif
