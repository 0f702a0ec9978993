/*
 * What a request's owner itself knows of runners that leave. A dispatcher
 * that is cut off from the store may grant a runner that its owner knows to
 * be leaving: the owner then does not use the grant. Pure; times are
 * microseconds of the monotonic clock.
 */
#ifndef CORE_RUNNER_WATCH_H
#define CORE_RUNNER_WATCH_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct runner_watch {
	GHashTable *runners; /* name to entry */
	int64_t memory; /* how long a runner that is gone is remembered */
	uint64_t round; /* of the listing that is being taken */
} runner_watch_t;

void runner_watch_init(runner_watch_t *w, int64_t memory);
void runner_watch_finish(runner_watch_t *w);
/* A listing: begin, each runner, end. */
void runner_watch_begin(runner_watch_t *w);
void runner_watch_add(runner_watch_t *w, const char *name, bool is_leaving);
void runner_watch_end(runner_watch_t *w, int64_t now);
/*
 * False for a runner that leaves or was listed and is gone. One that was
 * never listed here may be new to us.
 */
bool runner_watch_may_use(const runner_watch_t *w, const char *name);

#endif
