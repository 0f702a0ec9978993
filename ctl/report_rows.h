/* Groups the sums of the accounts log by any of time, service, tier, team. */
#ifndef CTL_REPORT_ROWS_H
#define CTL_REPORT_ROWS_H

#include <glib.h>

#include "core/accounts.h"

enum {
	REPORT_BY_TIME = 1 << 0,
	REPORT_BY_SERVICE = 1 << 1,
	REPORT_BY_TIER = 1 << 2,
	REPORT_BY_TEAM = 1 << 3,
};

typedef struct report_query {
	unsigned int by; /* REPORT_BY_* */
	int64_t from_ms; /* wall clock */
	int64_t until_ms; /* wall clock, exclusive */
	int64_t step_ms; /* length of a time step; with REPORT_BY_TIME */
} report_query_t;

typedef struct report_row {
	int64_t time_ms; /* start of the time step */
	accounts_key_t key; /* names that are not grouped by are empty */
	accounts_sum_t sum;
} report_row_t;

/*
 * Parses a comma-separated list of any of time, service, tier and team.
 * Returns REPORT_BY_* flags, or 0 with ERR set if it is invalid.
 */
unsigned int report_by_parse(const char *text, err_t *err);
/* Returns report_row_t elements, sorted by time, service, tier, team. */
GArray *report_rows(const accounts_reader_t *reader,
		    const report_query_t *query);
/* Returns the sum of all rows. */
accounts_sum_t report_total(const GArray *rows);
/*
 * Counts requests whose need was not met, except cancelled ones, whose caller
 * left.
 */
uint64_t report_count_bad(const accounts_sum_t *sum);
/* Counts requests that ended, except cancelled ones. */
uint64_t report_count_ended(const accounts_sum_t *sum);
/* Returns 100 * PART / WHOLE, or 0 if WHOLE is 0. */
double report_percent(uint64_t part, uint64_t whole);

#endif
