/*
 * Judges whether a zone is partitioned when its daemons don't answer and
 * connections to its runners were not established in time. The same is seen by
 * a daemon that is itself behind: its link is full, or its process is late. Its
 * own zone tells the two apart, as its daemons don't answer in time either.
 * Pure. Times are microseconds.
 */
#ifndef CORE_ZONE_VERDICT_H
#define CORE_ZONE_VERDICT_H

#include <stdbool.h>
#include <stdint.h>

#include "core/detector.h"

typedef struct zone_evidence {
	detector_count_t own; /* daemons of this daemon's own zone */
	int64_t late; /* of the timer that ended the connections */
	int64_t timeout; /* that they had */
} zone_evidence_t;

/* False: this daemon is behind, and has to try again. */
bool zone_verdict_is_cut(const zone_evidence_t *e);

#endif
