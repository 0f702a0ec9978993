/* An engine's load report, which lags behind the actual load. */
#ifndef STANDIN_LIB_LOAD_REPORT_H
#define STANDIN_LIB_LOAD_REPORT_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/* The actual load at one time. */
typedef struct load_sample {
	int64_t at_us;
	int64_t wall_ms;
	uint32_t running, waiting, waiting_tokens, running_tokens;
	bool is_leaving;
} load_sample_t;

typedef struct load_report {
	GQueue samples; /* oldest first; the head is shown */
	int64_t lag_us;
} load_report_t;

void load_report_init(load_report_t *r, int64_t lag_us);
void load_report_finish(load_report_t *r);
/* Adds the current load; of samples older than the lag, keeps the newest. */
void load_report_add(load_report_t *r, const load_sample_t *sample);
/* Returns the answer to GET /v1/load; there must be a sample. */
json_t *load_report_json(const load_report_t *r, int generation);

#endif
