/*
 * Keeps load orders within the weight store's rate. Each zone has an equal
 * share, so that a zone that is cut off cannot pass it, and the zone's live
 * daemons split it equally. Pure.
 *
 * All times are microseconds of the host's monotonic clock.
 */
#ifndef CORE_WEIGHT_BUDGET_H
#define CORE_WEIGHT_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/* Private fields; on memory that the caller owns. */
typedef struct weight_budget {
	double zone_rate; /* loads a second */
	double rate; /* of this daemon, loads a second */
	double saved; /* loads that may begin now; up to one */
	int64_t as_of; /* when SAVED was true */
} weight_budget_t;

/* STORE_RATE is the whole store's, in loads a second. */
void weight_budget_init(weight_budget_t *b, double store_rate, uint32_t zones,
			int64_t now);
/* Live daemons of the own zone, this one included; 0 counts as 1. */
void weight_budget_set_daemons(weight_budget_t *b, uint32_t n, int64_t now);
/* Takes one load from the budget; false when it has to wait. */
bool weight_budget_take(weight_budget_t *b, int64_t now);
/* How long to wait until a load may be taken; -1 when there is no rate. */
int64_t weight_budget_wait(weight_budget_t *b, int64_t now);

#endif
