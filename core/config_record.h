/*
 * Parses, validates and writes the JSON records of the configuration log, which
 * core/config_docs.h describes. Does no I/O and reads no clock.
 */
#ifndef CORE_CONFIG_RECORD_H
#define CORE_CONFIG_RECORD_H

#include <glib.h>
#include <jansson.h>

#include "core/config_docs.h"

typedef enum config_record_type {
	CONFIG_RECORD_PUBLISH,
	CONFIG_RECORD_SNAPSHOT,
} config_record_type_t;

/* A parsed record; its strings are valid as long as `json`. */
typedef struct config_record {
	config_record_type_t type;
	json_t *json; /* owned */
	const char *doc; /* publish */
	const char *nonce; /* publish */
	uint64_t base; /* publish */
	uint64_t as_of; /* snapshot */
	json_t *docs; /* snapshot; a list, its entries not validated */
} config_record_t;

/* Returns false with ERR set for an invalid record; nothing to free then. */
bool config_record_parse(config_record_t *r, str_t data, err_t *err);
void config_record_finish(config_record_t *r);

/* Returns a publication's body as compact JSON text; a new reference. */
GBytes *config_record_body(const config_record_t *r);
/* Reads an entry of a snapshot; the caller owns a reference to its body. */
bool config_record_read_doc(json_t *entry, config_doc_t *doc, err_t *err);

/* Writes a snapshot record of N documents; free it with g_free. */
char *config_record_write_snapshot(uint64_t as_of,
				   const config_doc_t *const *docs, size_t n);

#endif
