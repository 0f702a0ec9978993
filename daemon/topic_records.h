/*
 * The newest record of each key of a topic, as it was read, so that the whole
 * list can be sent to another daemon.
 */
#ifndef DAEMON_TOPIC_RECORDS_H
#define DAEMON_TOPIC_RECORDS_H

#include "common/str.h"
#include "daemon/message.h"
#include "platform/store.h"

typedef struct topic_records {
	GHashTable *values; /* key to value, GBytes */
	GHashTable *unseen; /* keys that the list being read lacks so far */
	GBytes *encoded; /* whole list, for a frame; NULL after a change */
	uint32_t plain_size; /* before compression; 0: not compressed */
} topic_records_t;

void topic_records_init(topic_records_t *t);
void topic_records_finish(topic_records_t *t);
/*
 * Begins and ends a whole list: removes the keys for which topic_records_see
 * is not called in between.
 */
void topic_records_begin(topic_records_t *t);
void topic_records_see(topic_records_t *t, str_t key);
void topic_records_end(topic_records_t *t);
/* Sets a key's value; an empty one removes the key. */
void topic_records_set(topic_records_t *t, str_t key, str_t value);
/* Returns the value of a key, owned by T; NULL if there is none. */
GBytes *topic_records_get(const topic_records_t *t, str_t key);
/*
 * Returns the keys that are in T but not in LIST, a whole list, as entries with
 * an empty value. The keys are copies that are freed with the array.
 */
GArray *topic_records_find_removed(const topic_records_t *t,
				   const store_page_t *list);
/* Returns a view of a key's or value's bytes, valid as long as BYTES. */
str_t topic_records_view(GBytes *bytes);
/*
 * Returns the whole list, encoded for a frame, as a new reference. SIZE is set
 * to its length before compression, or to 0 if it isn't compressed because that
 * would save nothing.
 */
GBytes *topic_records_encode(topic_records_t *t, uint32_t *size);

#endif
