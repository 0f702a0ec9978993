/*
 * Limits the rate of orders to load model weights to what the weight store can
 * serve. Each zone has an equal share, so that a partitioned zone can't exceed
 * its own, and the zone's live daemons split that share equally. Does no I/O
 * and reads no clock; times are microseconds of the monotonic clock.
 */
#ifndef CORE_WEIGHT_BUDGET_H
#define CORE_WEIGHT_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/* The fields are private; the caller provides the memory. */
typedef struct weight_budget {
	double zone_rate; /* loads per second */
	double rate; /* of this daemon, loads per second */
	double tokens; /* loads that may begin now; at most 1 */
	int64_t updated_at; /* when TOKENS was last updated */
} weight_budget_t;

/* STORE_RATE is that of the whole store, in loads per second. */
void weight_budget_init(weight_budget_t *b, double store_rate, uint32_t zones,
			int64_t now);
/* Sets the number of live daemons of this zone, itself included; 0 means 1. */
void weight_budget_set_daemons(weight_budget_t *b, uint32_t n, int64_t now);
/* Takes one load from the budget; false when the load has to wait. */
bool weight_budget_take(weight_budget_t *b, int64_t now);
/* Returns the time until a load may begin; -1 when the rate is 0. */
int64_t weight_budget_wait(weight_budget_t *b, int64_t now);

#endif
