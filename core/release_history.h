/*
 * Which releases of their software the runners of each service had lately. A
 * stream that broke off may be taken up as long as it may last; while a service
 * had only one release for that time, any of its streams is of that one. A
 * process that has just started knows only what its predecessors recorded.
 *
 * Does no I/O and reads no clock; times are microseconds of the monotonic
 * clock. At most RELEASE_HISTORY_MAX releases of a service are kept, the last
 * seen.
 */
#ifndef CORE_RELEASE_HISTORY_H
#define CORE_RELEASE_HISTORY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/fleet.h"

enum { RELEASE_HISTORY_MAX = 16 };

typedef struct release_history {
	GHashTable *services; /* name to its releases */
	int64_t began_at; /* first list of runners; 0: none so far */
	int64_t window; /* how long a release counts after it was last seen */
} release_history_t;

void release_history_init(release_history_t *h);
void release_history_finish(release_history_t *h);
void release_history_set_window(release_history_t *h, int64_t window);
/* Call it before the runners of the first list are seen. */
void release_history_begin(release_history_t *h, int64_t now);
/* A runner of this release is in service, or was until now. */
void release_history_see(release_history_t *h, const char *service,
			 const char *release, int64_t now);
/* All releases that the service had before this process have been seen. */
void release_history_set_complete(release_history_t *h, const char *service);
/*
 * Returns the hash of the only release that the service had in the window; 0 if
 * there were several, or if that isn't known.
 */
uint64_t release_history_only(const release_history_t *h, const char *service,
			      int64_t now);
/* Returns the hash by which a service's release is known; never 0. */
uint64_t release_history_hash(const char *service, const char *release);

/* Calls FN for each service with what release_history_only returns. */
void release_history_each_only(const release_history_t *h, int64_t now,
			       void (*fn)(void *ctx, const char *service,
					  uint64_t only),
			       void *ctx);
typedef void (*release_history_fn)(void *ctx, const char *service,
				   const char *release);
/* Calls FN for each release in the window, sorted by service and release. */
void release_history_each(const release_history_t *h, int64_t now,
			  release_history_fn fn, void *ctx);

#endif
