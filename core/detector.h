/*
 * Failure detector for linked daemons and their zones. It reacts within a few
 * round trips, where the membership protocol takes seconds, and has more false
 * positives; so what follows from it may cost time only, never correctness.
 * Does no I/O and reads no clock: pings are sent through a callback. Times are
 * microseconds of the monotonic clock.
 *
 * A daemon is unresponsive when a request to it stays unanswered for longer
 * than its measured round trip and variation explain. The other daemons of its
 * zone are pinged at once, and are unresponsive too if they don't answer in
 * time. A zone is unreachable when all its linked daemons are unresponsive;
 * whether its upstreams are unreachable as well, the caller has to check.
 */
#ifndef CORE_DETECTOR_H
#define CORE_DETECTOR_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct detector_ops {
	/*
	 * Sends a ping to the daemon. The callback must not call
	 * detector_request_sent(): the detector has recorded the request
	 * already.
	 */
	void (*ping)(void *ctx, const char *name);
	/* Called when a daemon becomes unresponsive or responsive again. */
	void (*unresponsive)(void *ctx, const char *name, bool is_unresponsive);
	/* Called when a zone becomes unreachable or reachable again. */
	void (*unreachable)(void *ctx, const char *zone, bool is_unreachable);
} detector_ops_t;

/* The caller provides the memory. */
typedef struct detector {
	GHashTable *peers; /* daemon name to its state */
	GHashTable *unreachable; /* names of unreachable zones */
	int64_t heartbeat; /* interval of every linked daemon's heartbeats */
	detector_ops_t ops;
	void *ctx;
} detector_t;

void detector_init(detector_t *d, int64_t heartbeat, const detector_ops_t *ops,
		   void *ctx);
void detector_finish(detector_t *d);

/* The link to a daemon came up or went down; only linked ones are monitored. */
void detector_link_up(detector_t *d, const char *name, const char *zone,
		      int64_t now);
void detector_link_down(detector_t *d, const char *name, int64_t now);
/* Records that a request which is answered immediately went to the daemon. */
void detector_request_sent(detector_t *d, const char *name, int64_t now);
/* Records that a frame of any kind arrived from the daemon. */
void detector_received(detector_t *d, const char *name, int64_t now);
/* Pings the responsive daemons of ZONE that have no unanswered request. */
void detector_ping_zone(detector_t *d, const char *zone, int64_t now);
/* Checks all timeouts; to be called every few tens of milliseconds. */
void detector_check(detector_t *d, int64_t now);
/*
 * Restarts all timeouts after this process stalled: answers could not be read
 * meanwhile, so their absence says nothing about the other daemons.
 */
void detector_restart_timers(detector_t *d, int64_t now);

/*
 * How many linked daemons there are, and how many of them are unresponsive. One
 * whose link is down may be gone, so it says nothing about this daemon's link.
 */
typedef struct detector_count {
	uint32_t linked, unresponsive;
} detector_count_t;

/* Counts the linked daemons of ZONE. */
detector_count_t detector_count(const detector_t *d, const char *zone);

bool detector_is_unresponsive(const detector_t *d, const char *name);
bool detector_is_unreachable(const detector_t *d, const char *zone);

#endif
