/*
 * Burn rates of service-level objectives: how fast a tier uses up its error
 * budget, the share of requests that its objective allows to miss their need.
 * A rate of 1 uses up exactly the budget. Objectives come from the profiles in
 * force.
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
	double threshold; /* alerts if both windows reach this rate */
	uint64_t min_requests; /* no alert if a window has fewer requests */
} burn_query_t;

typedef struct burn_window {
	uint64_t ended; /* requests; see report_count_ended() */
	uint64_t bad; /* requests; see report_count_bad() */
	double rate; /* 0 without an objective */
} burn_window_t;

/* A tier of a service: all teams together (team empty), or one team. */
typedef struct burn_row {
	accounts_key_t key;
	bool has_objective;
	bool is_protected;
	double objective;
	burn_window_t short_window;
	burn_window_t long_window;
	bool is_alert;
} burn_row_t;

void burn_objectives_init(burn_objectives_t *o, const config_docs_t *docs);
void burn_objectives_finish(burn_objectives_t *o);
/* Returns false if the service, its profile or the tier is not published. */
bool burn_objectives_find(const burn_objectives_t *o, const char *service,
			  const char *tier, double *objective,
			  bool *is_protected);

/* Returns the rate at which SUM uses up the error budget of OBJECTIVE. */
double burn_rate(const accounts_sum_t *sum, double objective);
/* Returns an array of burn_row_t, sorted by service, tier, team. */
GArray *burn_rows(const accounts_reader_t *reader, const burn_objectives_t *o,
		  const burn_query_t *query);

#endif
