/* Sums by service, tier and team, with a bound on the keys. Pure. */
#ifndef CORE_ACCOUNTS_TABLE_H
#define CORE_ACCOUNTS_TABLE_H

#include <glib.h>

#include "core/accounts.h"

typedef struct accounts_row {
	accounts_key_t key; /* zero past each name's end */
	accounts_sum_t sum;
} accounts_row_t;

typedef struct accounts_table {
	GHashTable *rows; /* accounts_row_t by its key */
	uint32_t max_keys;
} accounts_table_t;

void accounts_table_init(accounts_table_t *t, uint32_t max_keys);
void accounts_table_finish(accounts_table_t *t);
/* Finishes a table and frees it, for containers that own theirs. */
void accounts_table_free(accounts_table_t *t);
/* Adds to a key, or when full to "other" as core/accounts.h states. */
void accounts_table_add(accounts_table_t *t, const accounts_key_t *key,
			const accounts_sum_t *delta);
/* Adds all rows of FROM. */
void accounts_table_merge(accounts_table_t *t, const accounts_table_t *from);
uint32_t accounts_table_size(const accounts_table_t *t);
/* The rows in the order service, tier, team; to be freed with g_free. */
const accounts_row_t **accounts_table_sorted(const accounts_table_t *t);

#endif
