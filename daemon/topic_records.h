/*
 * The newest record of each key of a topic, as it was read, so that another
 * daemon can be given the whole list.
 */
#ifndef DAEMON_TOPIC_RECORDS_H
#define DAEMON_TOPIC_RECORDS_H

#include "common/str.h"
#include "daemon/message.h"
#include "platform/store.h"

typedef struct topic_records {
	GHashTable *values; /* key to value, GBytes */
	GBytes *packed; /* the whole list; NULL: to be packed anew */
	uint32_t packed_size;
} topic_records_t;

void topic_records_init(topic_records_t *t);
void topic_records_finish(topic_records_t *t);
/* Forgets all keys; a list follows. */
void topic_records_clear(topic_records_t *t);
/* Sets a key's value; an empty one says that the key is gone. */
void topic_records_set(topic_records_t *t, str_t key, str_t value);
/* The value of a key; NULL when there is none. */
GBytes *topic_records_get(const topic_records_t *t, str_t key);
/*
 * Returns the keys that a whole list no longer has, as entries without a
 * value. Their bytes are copies, freed with the array.
 */
GArray *topic_records_missing(const topic_records_t *t,
			      const store_page_t *list);
/* A view of a key's or value's bytes; lives as long as they. */
str_t topic_records_view(GBytes *bytes);
/* Returns the whole list, packed for the wire, with its length in SIZE. */
GBytes *topic_records_pack(topic_records_t *t, uint32_t *size);

#endif
