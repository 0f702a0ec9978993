/*
 * Table of sums by service, tier and team, with a limit on its keys. Does no
 * I/O and reads no clock.
 */
#ifndef CORE_ACCOUNTS_TABLE_H
#define CORE_ACCOUNTS_TABLE_H

#include <glib.h>

#include "core/accounts.h"

typedef struct accounts_row {
	accounts_key_t key; /* each name is padded with zeros */
	accounts_sum_t sum;
} accounts_row_t;

typedef struct accounts_table {
	GHashTable *rows; /* key to accounts_row_t */
	uint32_t max_keys;
} accounts_table_t;

void accounts_table_init(accounts_table_t *t, uint32_t max_keys);
void accounts_table_finish(accounts_table_t *t);
/* Finishes and frees a table; for containers that own tables. */
void accounts_table_free(accounts_table_t *t);
/*
 * Adds to the sums of a key, or to "other" when the table is full, as described
 * at accounts_init().
 */
void accounts_table_add(accounts_table_t *t, const accounts_key_t *key,
			const accounts_sum_t *delta);
/* Adds all rows of FROM. */
void accounts_table_merge(accounts_table_t *t, const accounts_table_t *from);
uint32_t accounts_table_size(const accounts_table_t *t);
/*
 * Returns the rows sorted by service, tier and team, with a NULL at the end;
 * free the array with g_free.
 */
const accounts_row_t **accounts_table_sorted(const accounts_table_t *t);

#endif
