/*
 * Which runners this daemon must not use for the requests it owns: runners that
 * are leaving, according to the runner list or to their own answers, and
 * runners that asked for a pause. A dispatcher that doesn't know this yet may
 * still grant such a runner; the owner of the request then declines the grant.
 * Does no I/O and reads no clock; times are microseconds of the monotonic
 * clock.
 */
#ifndef CORE_RUNNER_FILTER_H
#define CORE_RUNNER_FILTER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/runner_limit.h"

enum {
	/* Used when the length of a requested pause can't be parsed. */
	RUNNER_PAUSE_DEFAULT_MS = 1000,
	RUNNER_PAUSE_MAX_MS = 10 * 60 * 1000,
};

/* Requests per second, used when a named limit can't be parsed. */
#define RUNNER_LIMIT_DEFAULT_RATE 1.0

typedef struct runner_filter {
	GHashTable *runners; /* runner name to entry */
	int64_t retention; /* how long an unlisted runner's entry is kept */
	uint64_t listing; /* number of the current listing */
} runner_filter_t;

typedef enum runner_use {
	RUNNER_USABLE,
	RUNNER_LISTED_LEAVING, /* listed as leaving, or no longer listed */
	RUNNER_REPORTED_LEAVING, /* according to its own answer */
	RUNNER_PAUSED,
	RUNNER_PARTITIONED, /* its zone is partitioned; set by callers */
	RUNNER_LIMITED, /* the dispatcher doesn't know its limit; likewise */
	/* the stream began on another release; likewise */
	RUNNER_OTHER_RELEASE,
	/* a roll-out sends its release no requests; likewise */
	RUNNER_RELEASE_HELD,
} runner_use_t;

/* Whether a runner may be used; if not, since when. */
typedef struct runner_status {
	runner_use_t use;
	int64_t reported_at; /* time of the runner's answer; 0: from the list */
	int64_t paused_until; /* of RUNNER_PAUSED */
} runner_status_t;

void runner_filter_init(runner_filter_t *f, int64_t retention);
void runner_filter_finish(runner_filter_t *f);

/*
 * Replaces the runner list: call begin, add for each runner, then end. BORN_MS
 * identifies the incarnation behind a name: what an earlier incarnation
 * answered doesn't apply to a later one.
 */
void runner_filter_begin(runner_filter_t *f);
void runner_filter_add(runner_filter_t *f, const char *name, int64_t born_ms,
		       bool is_leaving);
void runner_filter_end(runner_filter_t *f, int64_t now);

/*
 * Records that the runner's answer said it is leaving, so that this incarnation
 * is never used again. BORN_MS is of the incarnation that answered; 0: unknown.
 */
void runner_filter_set_leaving(runner_filter_t *f, const char *name,
			       int64_t born_ms, int64_t now);
/*
 * Records that the runner's answer asked for a pause of PAUSE_MS; below 0: the
 * length could not be parsed. Of several pauses the one that ends last applies.
 * Returns the length after replacing an unparsable one by the default and
 * limiting it to the maximum.
 */
int64_t runner_filter_pause(runner_filter_t *f, const char *name,
			    int64_t born_ms, int64_t pause_ms, int64_t now);

/*
 * Records what the runner's answer, or a dispatcher, says of the runner's
 * limit. Returns whether the state or the rate of the limit changed.
 */
bool runner_filter_limit(runner_filter_t *f, const char *name, int64_t born_ms,
			 const runner_limit_t *news);
/* Returns what is known of the limit of the runner's current incarnation. */
runner_limit_t runner_filter_known_limit(const runner_filter_t *f,
					 const char *name);

/*
 * Returns whether the runner may be used. One that was never listed is usable:
 * it may have started after the last listing.
 */
runner_status_t runner_filter_status(const runner_filter_t *f, const char *name,
				     int64_t now);

#endif
