/*
 * Records of quarantined prompt parts (core/quarantine.h) in the platform's
 * store, in the topic of the daemons' entries, so that a quarantine outlives a
 * restart of all daemons at once. The daemon that began a quarantine writes its
 * record; one that sees it end early deletes it. Each process reads the records
 * once, with its first list of the topic; later ones are told by daemons.
 *
 * There are PART_RECORDS_MAX keys; of two parts with the same one, the later
 * has the record.
 */
#ifndef DAEMON_PART_RECORDS_H
#define DAEMON_PART_RECORDS_H

#include "daemon/record_writer.h"
#include "daemon/supervisor.h"
#include "daemon/topic_records.h"

enum { PART_RECORDS_MAX = QUARANTINE_MAX_ENTRIES };

typedef struct part_records {
	supervisor_t *sup;
	record_writer_t writer;
	const topic_records_t *topic; /* as it was read from the store */
	/* By key: this process's latest record; "": deleted, NULL: none. */
	char *values[PART_RECORDS_MAX];
	bool is_due[PART_RECORDS_MAX]; /* the value is to be written */
	uint32_t writing; /* index of the value that is being written */
	bool is_loaded;
	uint64_t epoch; /* of the store, in which the values were written */
} part_records_t;

/* TOPIC is that of the daemons' entries; the caller keeps it. */
void part_records_init(part_records_t *p, supervisor_t *sup, store_t *store,
		       const topic_records_t *topic);
void part_records_finish(part_records_t *p);
/* Tells whether a key of the topic is of such a record, not of a daemon. */
bool part_records_is_key(str_t key);
/* Writes the record of a quarantine, or deletes those of sound parts. */
void part_records_on_notice(part_records_t *p, const message_part_t *notice);
/* Sends the quarantines in the topic to the front task; call it once listed. */
void part_records_load(part_records_t *p, int64_t now);
/*
 * Begins the next write that is due. To be called a few times a second, with
 * the store's epoch; when it rises, the store may have lost what was written.
 */
void part_records_tick(part_records_t *p, uint64_t epoch, int64_t now);

#endif
