/*
 * The runners and daemons that the platform lists, folded from records of
 * single entries. Pure; times are microseconds of the monotonic clock.
 *
 * The store drops a runner's entry when the runner left, but also when the
 * store itself was away for too long. So a drop that is seen soon after an
 * outage is held back until the runner had time to return.
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
	char zone[FLEET_NAME_SIZE];
	int64_t born_ms; /* tells incarnations of one id apart */
	uint32_t slots;
	bool is_leaving;
} listed_runner_t;

typedef struct listed_daemon {
	char name[FLEET_NAME_SIZE];
	char zone
		[FLEET_NAME_SIZE]; /* the region: daemons of one act together */
	char address[FLEET_NAME_SIZE]; /* callers' IP:port */
	char peer_address[FLEET_NAME_SIZE];
} listed_daemon_t;

typedef struct runner_list {
	GHashTable *runners; /* id to entry */
	int64_t patience; /* how long a runner may take to return */
	int64_t back_at; /* when the store came back; 0: it never was away */
	bool is_away;
	bool was_read; /* here, or by a teller for whom it was steady */
	bool has_changed;
} runner_list_t;

void runner_list_init(runner_list_t *l, int64_t patience);
void runner_list_finish(runner_list_t *l);

/*
 * An entry was read; it replaces the one of the same id. Returns whether it
 * says anything new, or that a runner whose entry was dropped is there.
 */
bool runner_list_set(runner_list_t *l, const listed_runner_t *runner);
/* The entry is gone, or names no runner to use. */
void runner_list_drop(runner_list_t *l, str_t id, int64_t now);
/* A whole listing begins: what is not set until it ends is dropped. */
void runner_list_begin(runner_list_t *l);
void runner_list_end(runner_list_t *l, int64_t now);
/* The store could not be read, or can be read again. */
void runner_list_away(runner_list_t *l, bool is_away, int64_t now);
/* True when the store was read all the while that a runner may need. */
bool runner_list_is_steady(const runner_list_t *l, int64_t now);
/*
 * Another daemon told what it read. When the store was steady for it, only
 * this daemon's calls were rejected, and what is dropped is gone. While it
 * was not, a daemon that is away, or never read the store, waits on.
 */
void runner_list_told(runner_list_t *l, bool is_steady);
/* Takes what changed since the last call; applies drops that are due. */
bool runner_list_poll(runner_list_t *l, int64_t now);
void runner_list_each(const runner_list_t *l,
		      void (*fn)(void *ctx, const listed_runner_t *runner),
		      void *ctx);

#endif
