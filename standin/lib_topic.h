/*
 * One topic of the users' store, in memory: records in order, and in keyed
 * topics the newest record of each key. Bodies of requests and answers have the
 * store's own format.
 */
#ifndef STANDIN_LIB_TOPIC_H
#define STANDIN_LIB_TOPIC_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"

typedef struct topic {
	GQueue records; /* topic_record_t, oldest first */
	GHashTable *newest; /* key -> topic_record_t; keyed topics */
	uint64_t next; /* offset of the next record */
	bool is_keyed;
} topic_t;

void topic_init(topic_t *t, bool is_keyed);
void topic_finish(topic_t *t);
/* Appends length-prefixed records, all or none; false when malformed. */
bool topic_append(topic_t *t, str_t body, int64_t now_ms);
/* Appends one keyed record; an empty VALUE deletes the key. */
void topic_put(topic_t *t, str_t key, str_t value, int64_t now_ms);
/* Appends the deletion of each key that was last written before BEFORE_MS. */
void topic_drop_stale(topic_t *t, int64_t before_ms, int64_t now_ms);
/* Deletes records before BEFORE_MS; the newest of each key stays listed. */
void topic_expire(topic_t *t, int64_t before_ms);
/*
 * Goes back to a copy made at BEFORE_MS: later records are gone, and their
 * offsets are given out again. A key whose earlier record expired is gone, too.
 */
void topic_restore(topic_t *t, int64_t before_ms);
/* The value of a key as a new reference, or NULL. */
GBytes *topic_get(const topic_t *t, const char *key);
/* Offset of the oldest record kept, or next. */
uint64_t topic_first_offset(const topic_t *t);
/* The answer to a read from FROM on; FROM is not before topic_first_offset. */
GByteArray *topic_read(const topic_t *t, uint64_t from, size_t max_bytes);
/* The answer to a list of the newest records; a new reference. */
json_t *topic_list(const topic_t *t, const char *after);

#endif
