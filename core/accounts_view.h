/*
 * Sums over time, and the state of each writer, up to an offset of the log.
 * This is what a summary record contains. Pure.
 */
#ifndef CORE_ACCOUNTS_VIEW_H
#define CORE_ACCOUNTS_VIEW_H

#include "core/accounts_writers.h"

typedef struct accounts_timed_row {
	int64_t time_ms; /* wall clock */
	accounts_row_t row;
} accounts_timed_row_t;

typedef struct accounts_view {
	uint64_t as_of; /* includes all records before this offset */
	accounts_writers_t writers;
	GArray *rows; /* of accounts_timed_row_t */
	accounts_missing_t
		counts; /* of records, and of writers that were removed */
} accounts_view_t;

void accounts_view_init(accounts_view_t *v);
void accounts_view_finish(accounts_view_t *v);
/* Adds a batch, or counts it as repeated. */
void accounts_view_add(accounts_view_t *v, const accounts_batch_t *batch);

/*
 * Writes a summary record, to be freed with g_free. Its time steps are an hour,
 * or longer until it fits in a record. Removes writers whose newest batch was
 * closed more than 7 days before that of another writer. Returns NULL when it
 * doesn't fit with the longest step either.
 */
char *accounts_view_write(accounts_view_t *v);
/*
 * Reads a summary record. Returns false with ERR set when it is invalid; there
 * is nothing to free then.
 */
bool accounts_view_parse(accounts_view_t *v, str_t data, err_t *err);

#endif
