/*
 * The runners that the platform lists, maintained from records that set or
 * remove one entry each. Does no I/O and reads no clock; times are microseconds
 * of the monotonic clock. Also declares the type of listed daemons.
 *
 * The store removes a runner's entry when the runner stopped, but also when the
 * store itself was unavailable for too long. So a removal seen soon after an
 * outage takes effect only after a grace period, in which the runner can
 * register again. The outage ends, and the grace period begins, when any daemon
 * reads the store again: most daemons only hear from those that do.
 *
 * An entry may be older than what is known: a write that the store carries out
 * late, or a store that comes back from an old copy, in a later epoch. Each
 * incarnation of a runner numbers its entries, so such an entry is recognized: a
 * runner that said that it leaves isn't ready again, and one that left doesn't
 * come back, until it registers again itself.
 */
#ifndef CORE_RUNNER_LIST_H
#define CORE_RUNNER_LIST_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"
#include "core/fleet.h"

typedef struct listed_runner {
	char id[FLEET_NAME_SIZE];
	char service[FLEET_NAME_SIZE];
	char address[FLEET_NAME_SIZE]; /* IP:port */
	/* the platform's name for it; setting `places` maps it to a zone */
	char zone[FLEET_NAME_SIZE];
	/* of its software; a stream goes on only on a runner of the same */
	char release[FLEET_NAME_SIZE];
	int64_t born_ms; /* identifies the incarnation behind an id */
	uint64_t sequence; /* rises with each of its entries; 0: not stated */
	uint32_t slots;
	bool is_leaving;
} listed_runner_t;

typedef struct listed_daemon {
	char name[FLEET_NAME_SIZE];
	/* availability zone, from its settings; daemons of a zone cooperate */
	char zone[FLEET_NAME_SIZE];
	char address[FLEET_NAME_SIZE]; /* IP:port for callers */
	char peer_address[FLEET_NAME_SIZE]; /* IP:port for other daemons */
} listed_daemon_t;

typedef struct runner_list {
	GHashTable *runners; /* id to entry */
	int64_t grace_period; /* for runners to register after an outage */
	int64_t outage_ended_at; /* end of the last outage; 0: there was none */
	uint64_t epoch; /* of the store; 0: not known */
	int64_t read_at; /* last read of the store, by any daemon; 0: none */
	/* This daemon's own call failed, and no daemon has read it since. */
	bool is_store_down;
	bool has_changed; /* since the last runner_list_apply_due() */
} runner_list_t;

void runner_list_init(runner_list_t *l, int64_t grace_period);
void runner_list_finish(runner_list_t *l);

/* What an entry that was read says beyond what is known. */
typedef enum runner_entry {
	RUNNER_ENTRY_KNOWN, /* nothing */
	RUNNER_ENTRY_NEW, /* it is new or changed, or ends a pending removal */
	RUNNER_ENTRY_OLD, /* it is older than what is known: nothing is set */
} runner_entry_t;

/* Sets an entry that was read; it replaces one with the same id. */
runner_entry_t runner_list_set(runner_list_t *l, const listed_runner_t *runner);
/* Removes an entry that the store removed or that names no usable runner. */
void runner_list_remove(runner_list_t *l, str_t id, int64_t now);
/*
 * Begins and ends a full listing; entries not set in between are removed.
 * Returns how many were not being removed before.
 */
void runner_list_begin(runner_list_t *l);
guint runner_list_end(runner_list_t *l, int64_t now);
/* Returns for how many microseconds a removal read now would be put off. */
int64_t runner_list_removal_delay(const runner_list_t *l, int64_t now);
/* Records that the store can't be read, or can be read again. */
void runner_list_set_outage(runner_list_t *l, bool is_down, int64_t now);
/*
 * Sets the epoch of the store that entries are of from now on. When it rises,
 * runners have the grace period to register again.
 */
void runner_list_set_epoch(runner_list_t *l, uint64_t epoch, int64_t now);
/* True when the store is available, and was for at least the grace period. */
bool runner_list_is_stable(const runner_list_t *l, int64_t now);
/*
 * Records that another daemon sent what it has just read, which ends an outage
 * that this daemon recorded, whatever its own calls do. IS_STABLE: that daemon
 * saw no recent outage; a daemon that never heard of a read assumes none either.
 */
void runner_list_on_update(runner_list_t *l, bool is_stable, int64_t now);
/* Applies the removals that are due; returns has_changed before its reset. */
bool runner_list_apply_due(runner_list_t *l, int64_t now);
void runner_list_each(const runner_list_t *l,
		      void (*fn)(void *ctx, const listed_runner_t *runner),
		      void *ctx);

#endif
