/*
 * Burn of service-level objectives: how fast the share of requests that a
 * tier's objective lets fail is being used up. A rate of 1 uses up just what
 * is allowed; the objectives come from the profiles in force.
 */
#ifndef CTL_BURN_ROWS_H
#define CTL_BURN_ROWS_H

#include <glib.h>

#include "core/accounts.h"
#include "core/config_docs.h"

/* The objectives of all services. */
typedef struct burn_objectives {
	GHashTable *services; /* name to profile_service_t */
	GHashTable *profiles; /* name to profile_t */
} burn_objectives_t;

typedef struct burn_query {
	int64_t at_ms; /* wall clock: end of both windows */
	int64_t short_ms;
	int64_t long_ms;
	double threshold; /* rate that alerts when both windows pass it */
	uint64_t min_ended; /* requests in a window, else it alerts nobody */
} burn_query_t;

typedef struct burn_window {
	uint64_t ended;
	uint64_t bad;
	double rate;
} burn_window_t;

/* One service's tier as a whole (team empty), or one team's part of it. */
typedef struct burn_row {
	accounts_key_t key;
	bool has_objective;
	bool is_protected;
	double objective;
	burn_window_t brief;
	burn_window_t lasting;
	bool is_alert;
} burn_row_t;

void burn_objectives_init(burn_objectives_t *o, const config_docs_t *fold);
void burn_objectives_finish(burn_objectives_t *o);
/* False when the service or the tier is not published. */
bool burn_objectives_find(const burn_objectives_t *o, const char *service,
			  const char *tier, double *objective,
			  bool *is_protected);

/* The rate at which SUM burns what OBJECTIVE allows. */
double burn_rate(const accounts_sum_t *sum, double objective);
/* An array of burn_row_t, sorted by service, tier, team. */
GArray *burn_rows(const accounts_reader_t *book, const burn_objectives_t *o,
		  const burn_query_t *query);

#endif
