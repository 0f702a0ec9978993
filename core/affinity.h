/*
 * Maps a prompt prefix to the runners that served it last, latest first, and
 * to the part of such prompts that was in the latest one's prefix cache. Of
 * bounded size: evicts the least recently used prefix. A wrong entry only costs
 * time. Does no I/O.
 */
#ifndef CORE_AFFINITY_H
#define CORE_AFFINITY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum { AFFINITY_HOLDERS = 4 }; /* runners known of a prefix */

/* A runner that has served a prefix. */
typedef struct affinity_holder {
	const void *runner; /* only compared, never dereferenced */
	int64_t at; /* microseconds, monotonic; as in affinity_note */
	uint64_t tokens; /* likewise */
} affinity_holder_t;

typedef struct affinity {
	GHashTable *prefixes;
	GQueue recent; /* least recently used first */
	uint32_t max_prefixes;
} affinity_t;

void affinity_init(affinity_t *a, uint32_t max_prefixes);
void affinity_finish(affinity_t *a);

/* Records a dispatch; RUNNER is only compared, never dereferenced. */
void affinity_record(affinity_t *a, uint64_t prefix, const void *runner);
/*
 * Records when the latest holder served the prefix, and how many tokens had
 * been granted to that runner in all by then, to estimate evictions since.
 */
void affinity_note(affinity_t *a, uint64_t prefix, int64_t at, uint64_t tokens);
/* Returns the Ith runner, from 0 for the latest; NULL: there are no more. */
const affinity_holder_t *affinity_holder(const affinity_t *a, uint64_t prefix,
					 uint32_t i);
/*
 * Corrects the estimate by the part that was cached, 0 to 1. Ignored unless
 * RUNNER is the last one that served the prefix.
 */
void affinity_learn(affinity_t *a, uint64_t prefix, const void *runner,
		    double cached);
/* Returns the runner or NULL; sets CACHED to the estimated cached part. */
const void *affinity_find(const affinity_t *a, uint64_t prefix, double *cached);
/* Removes a runner from the holders of all prefixes. */
void affinity_drop_runner(affinity_t *a, const void *runner);

#endif
