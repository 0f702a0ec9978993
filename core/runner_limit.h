/*
 * The limit that a runner names in its answers: how many requests per second it
 * takes from all daemons together, for as long as it says so. The dispatcher
 * that grants the runner counts its grants against the limit. An owner that
 * knows of a limit uses a grant only if the dispatcher that made it knows of it
 * too, so that a dispatcher that has just taken over learns of it before the
 * runner is used. Does no I/O and reads no clock; times are microseconds of the
 * monotonic clock.
 */
#ifndef CORE_RUNNER_LIMIT_H
#define CORE_RUNNER_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

typedef enum runner_limit_state {
	RUNNER_LIMIT_UNKNOWN, /* no answer was seen that named one */
	RUNNER_LIMIT_NAMED,
	RUNNER_LIMIT_LIFTED, /* a later answer named none */
} runner_limit_state_t;

/* The latest that a daemon knows of a runner's limit. */
typedef struct runner_limit {
	runner_limit_state_t state;
	double rate; /* requests per second, of all daemons; NAMED */
	/*
	 * When the runner said so. An answer without a limit says so for the
	 * time at which its request was sent: it may have been made before the
	 * limit was named in another one.
	 */
	int64_t at;
} runner_limit_t;

/* Counts grants of a runner against its limit. */
typedef struct runner_limit_bucket {
	double tokens;
	int64_t refilled_at;
} runner_limit_bucket_t;

/*
 * Takes over NEWS if it is later than what is known. Returns whether the state
 * or the rate changed.
 */
bool runner_limit_merge(runner_limit_t *known, const runner_limit_t *news);
/*
 * Returns whether an owner that knows KNOWN may use a grant of a dispatcher
 * that knew GRANTED. If not, the owner returns the grant with what it knows.
 */
bool runner_limit_allows(const runner_limit_t *known,
			 const runner_limit_t *granted);

/* Empties the bucket, at the time from which it is refilled. */
void runner_limit_bucket_init(runner_limit_bucket_t *b, int64_t now);
/* Returns whether the limit allows another grant now. */
bool runner_limit_has_room(const runner_limit_t *limit,
			   runner_limit_bucket_t *b, int64_t now);
/* Counts a grant. */
void runner_limit_take(const runner_limit_t *limit, runner_limit_bucket_t *b,
		       int64_t now);

#endif
