/*
 * Sums over time, and the state of each writer, up to an offset of the log.
 * This is what a summary record contains. Does no I/O and reads no clock.
 */
#ifndef CORE_ACCOUNTS_SUMMARY_H
#define CORE_ACCOUNTS_SUMMARY_H

#include "core/accounts_writers.h"

typedef struct accounts_timed_row {
	int64_t time_ms; /* wall clock */
	accounts_row_t row;
} accounts_timed_row_t;

typedef struct accounts_summary {
	uint64_t as_of; /* includes all records before this offset */
	accounts_writers_t writers;
	GArray *rows; /* of accounts_timed_row_t */
	accounts_counts_t
		counts; /* of records, and of writers that were removed */
} accounts_summary_t;

void accounts_summary_init(accounts_summary_t *s);
void accounts_summary_finish(accounts_summary_t *s);
/* Adds a batch, or counts it as repeated. */
void accounts_summary_add(accounts_summary_t *s, const accounts_batch_t *batch);

/*
 * Writes a summary record, to be freed with g_free. Its time steps are an hour,
 * or longer until it fits in a record. Removes writers whose newest batch was
 * closed more than 7 days before that of another writer. Returns NULL when it
 * doesn't fit with the longest step either.
 */
char *accounts_summary_write(accounts_summary_t *s);
/*
 * Reads a summary record. Returns false with ERR set when it is invalid; there
 * is nothing to free then.
 */
bool accounts_summary_parse(accounts_summary_t *s, str_t data, err_t *err);

#endif
