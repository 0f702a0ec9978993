/*
 * The releases that each service had lately (core/release_history.h), from the
 * list of runners, and their record in the platform's store, in the topic of
 * the daemons' entries: a process that starts learns from it what its
 * predecessors saw. The store's reader writes the record when it changes.
 */
#ifndef DAEMON_RELEASE_RECORD_H
#define DAEMON_RELEASE_RECORD_H

#include "core/release_history.h"
#include "core/runner_list.h"
#include "daemon/record_writer.h"
#include "daemon/topic_records.h"

typedef struct release_record {
	release_history_t history;
	int64_t seen_at; /* when a list was last added to it */
	record_writer_t writer;
	const topic_records_t *topic; /* as it was read from the store */
	bool is_loaded;
	uint64_t written; /* hash of the latest value that was written */
	int64_t written_at; /* 0: none */
} release_record_t;

/* The caller keeps TOPIC, that of the daemons' entries. */
void release_record_init(release_record_t *r, store_t *store,
			 const topic_records_t *topic);
void release_record_finish(release_record_t *r);
/* Tells whether a key of the topic is the record's. */
bool release_record_is_key(str_t key);
/* Adds the releases of the listed runners to the history. */
void release_record_see(release_record_t *r, const runner_list_t *runners,
			int64_t now);
/* Sets the only releases of services in a list of VMs. */
void release_record_set_only(const release_record_t *r, vm_list_t *vms,
			     int64_t now);
/* Tells whether a list of VMs has other ones. */
bool release_record_has_news(const release_record_t *r, const vm_list_t *vms,
			     int64_t now);
/* Adds the record's releases to the history; call it once listed. */
void release_record_load(release_record_t *r, int64_t now);
/*
 * Writes the record if the topic's differs from the history. For the store's
 * reader, a few times a second, after release_record_load.
 */
void release_record_tick(release_record_t *r, int64_t now);

#endif
