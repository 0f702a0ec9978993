/*
 * The record of the releases that each service had lately
 * (core/release_history.h), in the platform's store, in the topic of the
 * daemons' entries: a process that starts learns from it what its predecessors
 * saw. The store's reader writes it when it changes.
 */
#ifndef DAEMON_RELEASE_RECORD_H
#define DAEMON_RELEASE_RECORD_H

#include "core/release_history.h"
#include "daemon/topic_records.h"

typedef struct release_record {
	store_t *store;
	const topic_records_t *topic; /* as it was read from the store */
	release_history_t *history;
	bool is_loaded;
	bool is_writing;
	uint64_t written; /* hash of the latest value that was written */
	int64_t written_at; /* 0: none */
	int64_t retry_at; /* no write before */
} release_record_t;

/* The caller keeps TOPIC, that of the daemons' entries, and HISTORY. */
void release_record_init(release_record_t *r, store_t *store,
			 const topic_records_t *topic,
			 release_history_t *history);
/* Tells whether a key of the topic is the record's. */
bool release_record_is_key(str_t key);
/* Adds the record's releases to the history; call it once listed. */
void release_record_load(release_record_t *r, int64_t now);
/*
 * Writes the record if the topic's differs from the history. For the store's
 * reader, a few times a second, after release_record_load.
 */
void release_record_tick(release_record_t *r, int64_t now);

#endif
