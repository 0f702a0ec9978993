/* Text of the accounts log's records. Pure. */
#ifndef CORE_ACCOUNTS_RECORD_H
#define CORE_ACCOUNTS_RECORD_H

#include "core/accounts_table.h"

/* One numbered batch. */
typedef struct accounts_batch {
	char daemon[ACCOUNTS_NAME_SIZE];
	uint64_t incarnation;
	uint64_t seq; /* 1 is an incarnation's first */
	int64_t from_ms; /* wall clock: when the one before was closed */
	int64_t until_ms; /* wall clock: when this one was closed */
	uint64_t merged; /* other closings that it took up */
	bool is_end; /* the incarnation's last */
	accounts_table_t table;
} accounts_batch_t;

/* Writes a batch; to be freed with g_free. */
char *accounts_record_write(const accounts_batch_t *batch);
/*
 * Reads a batch, its table without a bound. Returns false with ERR set on
 * damage; nothing needs freeing then.
 */
bool accounts_record_parse(accounts_batch_t *batch, str_t data, err_t *err);

#endif
