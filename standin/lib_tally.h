/* Counts the results of calls by tier, and their latencies. */
#ifndef STANDIN_LIB_TALLY_H
#define STANDIN_LIB_TALLY_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

/* How a call ended, as its caller saw it. */
typedef enum call_result {
	CALL_COMPLETED, /* within its deadline */
	CALL_LATE, /* completed after its deadline */
	CALL_NOT_RUN,
	CALL_FAILED,
	CALL_UNKNOWN,
	CALL_BROKEN, /* the connection broke without a final answer */
	CALL_LEFT, /* the caller disconnected early */
	CALL_WRONG, /* answer of another call, truncated or without outcome */
	CALL_MISSING, /* no final answer by the time limit */
	CALL_RESULTS,
} call_result_t;

const char *call_result_name(call_result_t result);

typedef struct tally {
	GHashTable *tiers; /* name -> private row */
} tally_t;

void tally_init(tally_t *t);
void tally_finish(tally_t *t);
/* FIRST_MS is until the first data, negative for none; WHOLE_MS to the end. */
void tally_add(tally_t *t, const char *tier, call_result_t result,
	       double first_ms, double whole_ms);
uint64_t tally_count(const tally_t *t, call_result_t result);
/* By tier: counts; p50, p95 and p99 to the first token and to the end. */
json_t *tally_json(const tally_t *t);
void tally_print(const tally_t *t);

#endif
