/*
 * Follows a topic of the store without every daemon polling it: a few reader
 * daemons read it and send updates to the others. A daemon that receives no
 * update for too long, or is missing records for too long, reads the store
 * itself. This module does no I/O and reads no clock; times are microseconds of
 * the monotonic clock.
 */
#ifndef CORE_TOPIC_FOLLOW_H
#define CORE_TOPIC_FOLLOW_H

#include <stdbool.h>
#include <stdint.h>

/*
 * How much of a topic is known. The store may come back from an old copy: its
 * epoch rises, and offsets name other records than before. Positions are
 * ordered by epoch, then by offset.
 */
typedef struct topic_position {
	uint64_t epoch;
	uint64_t next; /* first offset that is not known yet */
} topic_position_t;

typedef struct topic_follow {
	topic_position_t known; /* valid once a list was applied */
	uint64_t required_epoch; /* lists of earlier epochs are old */
	bool is_listed; /* the list in force needs no other one */
	bool is_reader; /* this daemon sends updates to the others */
	int64_t max_update_age; /* maximum age of the last update */
	int64_t updated_at; /* when KNOWN was last the end of the topic */
	int64_t missing_since; /* since when records are missing; 0: none */
	int64_t list_after; /* wait for another daemon's list until then */
	int64_t read_at; /* when any daemon last read it, as far as known */
	int64_t retry_at; /* no call before, after a failed one */
	uint32_t failures; /* failed calls in a row */
	uint64_t lagging_at; /* what was known then, as the caller counts it */
	int64_t lagging_since; /* since when others know more; 0: never */
} topic_follow_t;

typedef enum topic_update {
	TOPIC_UPDATE_OLD, /* nothing new */
	TOPIC_UPDATE_APPLY, /* apply the records */
	TOPIC_UPDATE_GAP, /* records before these are missing */
} topic_update_t;

typedef enum topic_read {
	TOPIC_READ_OLD, /* updates from other daemons reached as far */
	TOPIC_READ_APPLY, /* apply the records */
	TOPIC_READ_LIST, /* of another epoch: list the topic again */
} topic_read_t;

/* Tells whether A is after B. */
bool topic_position_is_after(topic_position_t a, topic_position_t b);
/*
 * Records that this daemon read the topic, which it knew up to FROM when it
 * sent the read, up to TO. Updates from other daemons may have reached further
 * meanwhile, and older records must not overwrite them.
 */
topic_read_t topic_follow_on_read(topic_follow_t *f, topic_position_t from,
				  topic_position_t to, int64_t now);
/*
 * Records that this daemon listed the topic, which reaches up to TO. Returns
 * whether the list replaces what is known.
 */
bool topic_follow_on_own_list(topic_follow_t *f, topic_position_t to,
			      int64_t now);
/*
 * Call it when the store doesn't have the records to be read next: the topic
 * must be listed again. EPOCH is the store's.
 */
void topic_follow_invalidate(topic_follow_t *f, uint64_t epoch);
/*
 * Handles a reader's update: what has to be applied to get from FROM to TO. On
 * TOPIC_UPDATE_APPLY the topic counts as known up to TO.
 */
topic_update_t topic_follow_on_update(topic_follow_t *f, topic_position_t from,
				      topic_position_t to, int64_t now);
/*
 * Handles another daemon's full list, which reaches up to TO. Returns whether
 * it replaces what this daemon knows.
 */
bool topic_follow_on_list(topic_follow_t *f, topic_position_t to, int64_t now);
/*
 * Records a failed call to the store. The more DAEMONS may be retrying, the
 * longer the backoff, since the first one to succeed sends updates to the
 * others. DRAW is a random number from 0 to 1.
 */
void topic_follow_on_failure(topic_follow_t *f, uint32_t daemons, double draw,
			     int64_t now);
/*
 * Records that this daemon or another one has read the topic, whatever it says.
 * Call it before the function that handles what was read. Returns whether an
 * outage ends: this daemon's own last call failed, and nobody had read the topic
 * for long.
 */
bool topic_follow_note_read(topic_follow_t *f, int64_t now);
/*
 * Call it for each topic when an outage ends: a reader calls without further
 * backoff, other daemons unless they are sent updates as usual from now on.
 */
void topic_follow_end_wait(topic_follow_t *f, int64_t now);
/*
 * Call it when another zone is reached again, so the store may be, too: a call
 * that is put off is made soon, unless updates made it needless. DRAW, a random
 * number from 0 to 1, spreads the daemons' calls.
 */
void topic_follow_call_soon(topic_follow_t *f, double draw, int64_t now);
/*
 * Returns the maximum age of the last update for one of DAEMONS that receive
 * it. DRAW, a random number from 0 to 1, adds jitter, so that one daemon reads
 * the store and sends an update before the others time out as well.
 */
int64_t topic_follow_max_update_age(uint32_t daemons, double draw);
/*
 * Another daemon has something later than VERSION, which is what this one has.
 * Returns true, and the topic has to be listed again, if that was so for too
 * long and an update has said meanwhile that nothing is missing: then something
 * was lost on the way.
 */
bool topic_follow_on_lag(topic_follow_t *f, uint64_t version, int64_t now);
/*
 * Tells whether another daemon's list would help: nothing was listed yet, or
 * records are missing. Missing records may still arrive by themselves, since
 * some readers are further behind than others.
 */
bool topic_follow_needs_list(const topic_follow_t *f);
/* Tells whether this daemon must read the store itself now. */
bool topic_follow_is_due(const topic_follow_t *f, int64_t now);

#endif
