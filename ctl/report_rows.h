/* Groups a book's sums by any of time, service, tier and team. */
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
	int64_t until_ms; /* not in it any more */
	int64_t bucket_ms; /* with REPORT_BY_TIME */
} report_query_t;

typedef struct report_row {
	int64_t time_ms; /* start of the bucket */
	accounts_key_t key; /* empty where not grouped by */
	accounts_sum_t sum;
} report_row_t;

/* Reads "time,tier,team,service", any of them. 0 with ERR set when wrong. */
unsigned int report_by_parse(const char *text, err_t *err);
/* An array of report_row_t, sorted by time, service, tier, team. */
GArray *report_rows(const accounts_reader_t *book, const report_query_t *query);
/* All rows in one. */
accounts_sum_t report_total(const GArray *rows);
/* Requests whose need was not met, but for those whose caller left. */
uint64_t report_bad(const accounts_sum_t *sum);
/* Requests that ended, but for those whose caller left. */
uint64_t report_ended(const accounts_sum_t *sum);
/* 100 * PART / WHOLE; 0 when there is nothing. */
double report_percent(uint64_t part, uint64_t whole);

#endif
