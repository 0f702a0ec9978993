/* An engine's load report, which lags behind the actual load. */
#ifndef STANDIN_LIB_REPORT_H
#define STANDIN_LIB_REPORT_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/* The actual load at one time. */
typedef struct report_sample {
	int64_t at_us;
	int64_t wall_ms;
	uint32_t running, waiting, waiting_tokens, running_tokens;
	bool is_leaving;
} report_sample_t;

typedef struct report {
	GQueue samples; /* oldest first; the head is shown */
	int64_t lag_us;
} report_t;

void report_init(report_t *r, int64_t lag_us);
void report_finish(report_t *r);
/* Adds the current load; of samples older than the lag, keeps the newest. */
void report_add(report_t *r, const report_sample_t *sample);
/* Returns the answer to GET /v1/load; there must be a sample. */
json_t *report_json(const report_t *r, int generation);

#endif
