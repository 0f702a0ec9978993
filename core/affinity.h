/*
 * Remembers which runner last served a prompt prefix, and how much of such
 * prompts its cache held. Bounded: the least recently used prefix goes.
 * Hints only: a wrong one costs time. Pure.
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

/* Notes a dispatch; RUNNER is an opaque identity that is never followed. */
void affinity_note(affinity_t *a, uint64_t prefix, const void *runner);
/* Notes which part of such a prompt was cached, 0 to 1. */
void affinity_learn(affinity_t *a, uint64_t prefix, const void *runner,
		    double cached);
/* Returns the runner or NULL; CACHED is the part thought to be cached. */
const void *affinity_find(const affinity_t *a, uint64_t prefix, double *cached);
/* Forgets every prefix of a runner. */
void affinity_forget(affinity_t *a, const void *runner);

#endif
