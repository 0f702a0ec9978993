/*
 * Parses and writes the JSON records of the accounts log. Does no I/O and reads
 * no clock.
 */
#ifndef CORE_ACCOUNTS_RECORD_H
#define CORE_ACCOUNTS_RECORD_H

#include <jansson.h>

#include "core/accounts_table.h"

/* One numbered batch. */
typedef struct accounts_batch {
	char daemon[ACCOUNTS_NAME_SIZE];
	uint64_t incarnation;
	uint64_t seq; /* the first of an incarnation is 1 */
	int64_t from_ms; /* wall clock: when the previous one was closed */
	int64_t until_ms; /* wall clock: when this one was closed */
	uint64_t merged; /* further batches merged into this one */
	bool is_end; /* last batch of its incarnation */
	accounts_table_t table;
} accounts_batch_t;

/* Writes a batch; free the text with g_free. */
char *accounts_record_write(const accounts_batch_t *batch);
/*
 * Reads a batch, its table without a limit on keys. Returns false with ERR set
 * when the record is invalid; there is nothing to free then.
 */
bool accounts_record_parse(accounts_batch_t *batch, str_t data, err_t *err);

/* Used by the code for batches and for summaries. */
enum {
	ACCOUNTS_MAX_RECORD_BYTES = 1 << 20, /* the log's limit on a record */
	ACCOUNTS_INCARNATION_SIZE = 17, /* bytes: hex digits and the NUL */
};

/* Parses a JSON object of type TYPE. Returns NULL with ERR set on failure. */
json_t *accounts_record_load(str_t data, const char *type, err_t *err);
/* Writes compact JSON, to be freed with g_free. Takes ownership of ROOT. */
char *accounts_record_dump(json_t *root);
json_t *accounts_record_write_row(const accounts_row_t *row);
/* These return false when the value is missing or invalid. */
bool accounts_record_read_row(json_t *json, accounts_row_t *row);
bool accounts_record_read_uint(json_t *object, const char *key, uint64_t *out);
bool accounts_record_read_time(json_t *object, const char *key, int64_t *out);
bool accounts_record_read_name(json_t *object, const char *key, char *out);
void accounts_record_write_incarnation(uint64_t incarnation, char *out);
bool accounts_record_read_incarnation(json_t *object, uint64_t *out);

#endif
