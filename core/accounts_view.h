/*
 * Sums over time and writers: what a book holds up to an offset of the log,
 * and what a summary record carries. Pure.
 */
#ifndef CORE_ACCOUNTS_VIEW_H
#define CORE_ACCOUNTS_VIEW_H

#include "core/accounts_writers.h"

typedef struct accounts_timed_row {
	int64_t time_ms; /* wall clock */
	accounts_row_t row;
} accounts_timed_row_t;

typedef struct accounts_view {
	uint64_t as_of; /* all records before this offset are in it */
	accounts_writers_t writers;
	GArray *rows; /* of accounts_timed_row_t */
	accounts_missing_t counts; /* of records, and of writers forgotten */
} accounts_view_t;

void accounts_view_init(accounts_view_t *v);
void accounts_view_finish(accounts_view_t *v);
/* Adds a batch, or counts it as a repeat. */
void accounts_view_add(accounts_view_t *v, const accounts_batch_t *batch);

/*
 * Writes a summary record, in time steps as short as its size allows but an
 * hour at least; to be freed with g_free. Forgets writers that were silent
 * for long. NULL when no step makes it fit.
 */
char *accounts_view_write(accounts_view_t *v);
/* Reads one. Returns false with ERR set; nothing needs freeing then. */
bool accounts_view_parse(accounts_view_t *v, str_t data, err_t *err);

#endif
