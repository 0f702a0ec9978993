/*
 * Text of the configuration log's records: reading, checking, writing. Pure.
 * See core/config_fold.h for what the records mean.
 */
#ifndef CORE_CONFIG_RECORD_H
#define CORE_CONFIG_RECORD_H

#include <glib.h>
#include <jansson.h>

#include "core/config_fold.h"

typedef enum config_record_type {
	CONFIG_RECORD_PUBLISH,
	CONFIG_RECORD_SNAPSHOT,
} config_record_type_t;

/* A parsed record; its strings live as long as the JSON value. */
typedef struct config_record {
	config_record_type_t type;
	json_t *json; /* owned */
	const char *doc; /* publish */
	const char *nonce; /* publish */
	uint64_t base; /* publish */
	uint64_t as_of; /* snapshot */
	json_t *docs; /* snapshot; a list, not checked yet */
} config_record_t;

/* Returns false with ERR set on damage; nothing needs freeing then. */
bool config_record_parse(config_record_t *r, str_t data, err_t *err);
void config_record_finish(config_record_t *r);

/* The body of a publication as compact JSON text; a new reference. */
GBytes *config_record_body(const config_record_t *r);
/* Reads one entry of a snapshot; DOC's body is a new reference. */
bool config_record_doc(json_t *entry, config_doc_t *doc, err_t *err);

/* Writes a snapshot record of N documents; to be freed with g_free. */
char *config_record_snapshot(uint64_t as_of, const config_doc_t *const *docs,
			     size_t n);

#endif
