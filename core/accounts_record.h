/* Text of the accounts log's records. Pure. */
#ifndef CORE_ACCOUNTS_RECORD_H
#define CORE_ACCOUNTS_RECORD_H

#include <jansson.h>

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

/* What batches and summaries share. */
enum {
	ACCOUNTS_RECORD_BYTES = 1 << 20, /* what the log takes */
	ACCOUNTS_INCARNATION_SIZE = 17, /* bytes of hex digits, with the NUL */
};

/* Parses a JSON object of the type given. NULL with ERR set on damage. */
json_t *accounts_record_open(str_t data, const char *type, err_t *err);
/* Writes JSON compactly; to be freed with g_free. Takes ROOT over. */
char *accounts_record_text(json_t *root);
json_t *accounts_record_row(const accounts_row_t *row);
/* These return false when the value is not sound. */
bool accounts_record_read_row(json_t *json, accounts_row_t *row);
bool accounts_record_read_uint(json_t *object, const char *key, uint64_t *out);
bool accounts_record_read_time(json_t *object, const char *key, int64_t *out);
bool accounts_record_read_name(json_t *object, const char *key, char *out);
void accounts_record_incarnation(uint64_t incarnation, char *out);
bool accounts_record_read_incarnation(json_t *object, uint64_t *out);

#endif
