/*
 * What a dispatcher has learned of its runners' speeds, in a few bytes a
 * runner, so that the next dispatcher of the group need not learn it anew. Does
 * no I/O and reads no clock.
 */
#ifndef CORE_SPEED_DIGEST_H
#define CORE_SPEED_DIGEST_H

#include <stdbool.h>
#include <stdint.h>

#include "core/dispatcher.h"

/* Learned speeds of one incarnation of a runner. */
typedef struct runner_digest {
	char name[DISPATCHER_NAME_SIZE];
	int64_t born_ms; /* a later incarnation may have another speed */
	double prompt_us; /* microseconds a prompt token; 0: not known */
	double output_us; /* microseconds an output token, or a plain call */
	uint32_t age_ms; /* since it was last confirmed by an answer */
} runner_digest_t;

/* Writes up to N digests of the runners with work lately; returns how many. */
size_t dispatcher_export_speeds(const dispatcher_t *d, runner_digest_t *out,
				size_t n, int64_t now);
/*
 * Takes a digest as initial estimate of a runner that is not known from answers
 * yet; others keep what they learned.
 */
void dispatcher_import_speed(dispatcher_t *d, const runner_digest_t *digest,
			     int64_t now);

#endif
