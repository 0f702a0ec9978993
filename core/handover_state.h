/* Internal state of the hand-over, private to core/handover*.c. */
#ifndef CORE_HANDOVER_STATE_H
#define CORE_HANDOVER_STATE_H

#include "core/handover.h"

/* Earlier than any time passed in; subtracting from it can't overflow. */
#define HANDOVER_NO_GAP (G_MININT64 / 4)

/* A daemon that hands keys over to this one. */
typedef struct handover_source {
	char name[MEMBER_NAME_SIZE];
	uint64_t incarnation;
	uint32_t serial;
	uint32_t next_index;
	bool is_failed; /* the key table was full */
	bool is_accepted; /* a whole transfer of this incarnation arrived */
	bool is_established; /* it reported no gap from its own start */
	/*
	 * Daemons that must hand over too, name to incarnation (uint64_t): the
	 * candidates that the sender knew of, and the drained daemons that
	 * sent keys to this one directly.
	 */
	GHashTable *members;
	GHashTable *owing;
} handover_source_t;

/*
 * A drained daemon FROM knew of TO and thus sent TO's keys directly to it, not
 * to this daemon.
 */
typedef struct handover_departure {
	char from[MEMBER_NAME_SIZE], to[MEMBER_NAME_SIZE];
	uint64_t from_incarnation, to_incarnation;
	int64_t at; /* when FROM handed over to this daemon */
} handover_departure_t;

struct handover_table {
	member_t *member;
	dedup_t *dedup;
	handover_ops_t ops;
	void *ctx;
	GHashTable *targets; /* by name */
	GHashTable *sources; /* by name */
	/* handover_departure_t by time, each kept for the hold-off period */
	GArray *departures;
	uint32_t serial; /* of the last transfer */
	int64_t gap_end; /* end of the latest gap that a source reported */
	bool has_joined;
	bool is_draining; /* this daemon was draining at the last tick */
};

void handover_free_source(void *data);
bool handover_is_self(const struct handover_table *t, str_t name);
/* Appends a handover_member_t to a GArray; for member_each_candidate. */
void handover_add_member(void *ctx, str_t name, uint64_t incarnation);
/*
 * Removes departures older than the hold-off period: callers no longer repeat
 * requests with keys from that time.
 */
void handover_expire_departures(struct handover_table *t, int64_t now);
/* Number of candidates that have not handed their keys over to this daemon. */
uint32_t handover_count_outstanding(const struct handover_table *t);
/* Ends the hold-off period of a new daemon once all others handed over. */
void handover_try_join(struct handover_table *t);

#endif
