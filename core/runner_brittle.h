/*
 * A runner that says it is brittle fails if it has to refuse more requests in a
 * second than it names. While it says so, a dispatcher lets no request wait at
 * the runner, and after a refusal, which shows that it knows the runner's load
 * badly, grants only so many more within a second that even if all of these are
 * refused the runner bears it. Does no I/O and reads no clock; times are
 * microseconds of the monotonic clock.
 */
#ifndef CORE_RUNNER_BRITTLE_H
#define CORE_RUNNER_BRITTLE_H

#include <stdbool.h>
#include <stdint.h>

/* How long a statement holds: a busy runner answers far more often. */
#define RUNNER_BRITTLE_VALIDITY_US (INT64_C(5) * 1000 * 1000)

/* Of one runner; all zero at first. */
typedef struct runner_brittle {
	int64_t stated_at; /* by the latest answer that says so; 0: none */
	uint32_t borne; /* refusals in a second that it bears */
	int64_t refused_at; /* the first refusal of the present second; 0: none */
	uint32_t refusals; /* since then */
	uint32_t grants; /* since then; they may be refused, too */
} runner_brittle_t;

/* An answer says that the runner bears BORNE refusals in a second. */
void runner_brittle_state(runner_brittle_t *b, uint32_t borne, int64_t now);
/* The runner refused a request for want of room. */
void runner_brittle_on_refusal(runner_brittle_t *b, int64_t now);
/* Whether the runner is brittle: it says so in all its answers while it is. */
bool runner_brittle_is_stated(const runner_brittle_t *b, int64_t now);
/* Whether the runner bears the refusal of another grant. */
bool runner_brittle_has_room(const runner_brittle_t *b, int64_t now);
/* Counts a grant. */
void runner_brittle_take(runner_brittle_t *b, int64_t now);

#endif
