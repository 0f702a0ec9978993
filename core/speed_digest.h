/*
 * A compact summary of the runner speeds that a dispatcher has learned. It is
 * sent to the next host of the dispatcher, which then need not learn them
 * again. Does no I/O and reads no clock.
 */
#ifndef CORE_SPEED_DIGEST_H
#define CORE_SPEED_DIGEST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/dispatcher.h"
#include "core/runner_model.h"

enum {
	SPEED_DIGEST_MAX = 64, /* digests per dispatcher */
	/* Older digests are rejected, as speeds change. */
	SPEED_DIGEST_MAX_AGE_MS = 120000,
};

/* Learned speeds of one incarnation of a runner. */
typedef struct runner_digest {
	char name[DISPATCHER_NAME_SIZE];
	int64_t born_ms; /* a later incarnation may have another speed */
	runner_speed_t speed; /* at pace 1 */
	double usual_pace; /* 0: it stated none */
	uint32_t n_paces;
	uint32_t age_ms; /* since it was last confirmed by an answer */
} runner_digest_t;

/*
 * Writes digests of up to N runners with an answer after SINCE; returns how
 * many. Runners that are not listed any more are left out.
 */
size_t dispatcher_export_speeds(const dispatcher_t *d, runner_digest_t *out,
				size_t n, int64_t since, int64_t now);
/* Returns whether the figures of a digest are ones that can be learned. */
bool runner_digest_is_plausible(const runner_digest_t *digest);
/*
 * Imports a digest as the speed estimate of a listed runner, with a low weight,
 * so that a few answers outweigh it. Rejects it if it is too old, implausible
 * or of another incarnation, or not clearly newer than what is known here.
 * Returns whether it was imported.
 */
bool dispatcher_import_speed(dispatcher_t *d, const runner_digest_t *digest,
			     int64_t now);

#endif
