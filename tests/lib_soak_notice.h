/*
 * The soak's checks of notices: after a runner's answer announced that it
 * leaves or asked for a pause, which requests each daemon still sent it.
 */
#ifndef TESTS_LIB_SOAK_NOTICE_H
#define TESTS_LIB_SOAK_NOTICE_H

#include "tests/lib_soak_check.h"

/* The daemon that a caller sent an attempt to, and the time. */
typedef struct soak_origin {
	int daemon;
	int64_t begin_ms;
} soak_origin_t;

/* ORIGINS maps the ids of attempts to soak_origin_t. */
void soak_check_notices(const soak_cluster_t *s, const GArray *faults,
			GHashTable *origins, soak_findings_t *out);

#endif
