/*
 * Maps a prompt prefix to the runner that served it last and to the part of
 * such prompts that was in its prefix cache. Of bounded size: evicts the least
 * recently used prefix. A wrong entry only costs time. Does no I/O.
 */
#ifndef CORE_AFFINITY_H
#define CORE_AFFINITY_H

#include <glib.h>
#include <stdint.h>

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
 * Corrects the estimate by the part that was cached, 0 to 1. Ignored unless
 * RUNNER is the last one that served the prefix.
 */
void affinity_learn(affinity_t *a, uint64_t prefix, const void *runner,
		    double cached);
/* Returns the runner or NULL; sets CACHED to the estimated cached part. */
const void *affinity_find(const affinity_t *a, uint64_t prefix, double *cached);
/* Removes all prefixes of a runner. */
void affinity_drop_runner(affinity_t *a, const void *runner);

#endif
