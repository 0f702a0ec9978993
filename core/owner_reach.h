/*
 * Whether owners of requests reach the runners, as a dispatcher knows it from
 * how their attempts end. An owner that failed to connect to several runners,
 * and has had no answer from any since, is cut off from them itself: what it
 * reports of further runners says nothing about these. Of bounded size; an
 * owner that is not known counts as connected. Does no I/O and reads no clock;
 * times are microseconds of the monotonic clock.
 */
#ifndef CORE_OWNER_REACH_H
#define CORE_OWNER_REACH_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"

typedef struct owner_reach {
	GHashTable *owners; /* owner (uint64_t) to its failures */
} owner_reach_t;

void owner_reach_init(owner_reach_t *r);
void owner_reach_finish(owner_reach_t *r);
/*
 * The owner could not connect to the runner. Returns whether the owner is taken
 * to be cut off now.
 */
bool owner_reach_on_failure(owner_reach_t *r, uint64_t owner, str_t runner,
			    int64_t now);
/* Whether the owner is taken to be cut off. */
bool owner_reach_is_cut_off(const owner_reach_t *r, uint64_t owner,
			    int64_t now);
/* A runner answered the owner. */
void owner_reach_on_answer(owner_reach_t *r, uint64_t owner);
/* The owner is gone. */
void owner_reach_forget(owner_reach_t *r, uint64_t owner);

#endif
