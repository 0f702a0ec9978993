/*
 * The checks of the soak. They compare the callers' results with the runs that
 * runners recorded and the faults that were active. A finding names the attempt
 * ID of the call, by which the logs can be searched.
 */
#ifndef TESTS_LIB_SOAK_CHECK_H
#define TESTS_LIB_SOAK_CHECK_H

#include "tests/lib_soak_fault.h"

typedef struct soak_findings {
	GPtrArray *texts; /* char *, owned */
} soak_findings_t;

void soak_findings_init(soak_findings_t *f);
void soak_findings_finish(soak_findings_t *f);
/* Adds a finding. */
void soak_add_finding(soak_findings_t *f, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
/*
 * Reads the results of callers and runners, and adds what is wrong to OUT.
 * FAULTS is an array of soak_fault_t. Every call that begins at RECOVERED_MS or
 * later must get the expected status.
 */
void soak_check(const soak_cluster_t *s, const GArray *faults,
		int64_t recovered_ms, soak_findings_t *out);

#endif
