/*
 * The supervisor of the daemon's in-process tasks. A task owns its sockets and
 * its state and communicates with other tasks only by messages. When a task
 * fails, all tasks of its group are restarted with exponential backoff; when
 * it fails too often, the daemon exits.
 */
#ifndef DAEMON_SUPERVISOR_H
#define DAEMON_SUPERVISOR_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "daemon/message.h"
#include "daemon/metrics.h"
#include "daemon/settings.h"

typedef enum task_id {
	TASK_PLATFORM, /* the platform's logs and VM list, or its store */
	TASK_PEERS, /* links to daemons, membership, roles */
	TASK_CAPACITY, /* dispatchers and load of the runners */
	TASK_LIMITS, /* limits of the teams */
	TASK_FRONT, /* callers and their requests */
	TASK_ACCOUNTS, /* usage accounting */
	TASK_ADMIN, /* HTTP server for operators, metrics and health */
	TASK_COUNT,
} task_id_t;

typedef struct supervisor supervisor_t;

/* The callbacks of a task; STATE is what start() returned. */
typedef struct task_spec {
	const char *name;
	/* Tasks of a group use each other's state, so all restart together. */
	int group;
	/* Returns the task's state, or NULL with ERR set. */
	void *(*start)(supervisor_t *sup, err_t *err);
	/* Handles one message; the supervisor frees M afterwards. */
	void (*handle)(void *state, const message_t *m);
	void (*stop)(void *state);
} task_spec_t;

struct supervisor {
	struct event_base *base;
	const settings_t *settings;
	metrics_t metrics;
	GRand *rand;
	uint64_t boot_id; /* ID of this process, in tickets and attempt IDs */
	struct supervisor_state *state;
};

bool supervisor_init(supervisor_t *sup, struct event_base *base,
		     const settings_t *settings);
void supervisor_finish(supervisor_t *sup);
/* Starts all tasks of the table SPECS, indexed by task_id_t. */
bool supervisor_start(supervisor_t *sup, const task_spec_t *const *specs,
		      err_t *err);

/* Queues a message for a task and takes ownership of what M references. */
void supervisor_post(supervisor_t *sup, task_id_t to, const message_t *m);
/* Reports that a task failed; its group is stopped and restarted. */
void supervisor_task_failed(supervisor_t *sup, task_id_t id, const err_t *err);
/*
 * Returns the number of stalls: times that the process did not run for longer
 * than the heartbeat timeout. Reads the clock, so that the task that runs first
 * after a stall detects it.
 */
uint64_t supervisor_stall_epoch(supervisor_t *sup);
/*
 * True for a while after a stall. A request that is read then may have been
 * received before the stall, and its caller may have stopped retrying it.
 */
bool supervisor_stalled_recently(supervisor_t *sup);
/* Counts a stall detected by other daemons: they declared this one dead. */
void supervisor_count_stall(supervisor_t *sup);
/*
 * Sends MESSAGE_DRAIN to all tasks. The daemon exits once the front task has
 * finished its requests, or at the limit of the drain (drain_ms).
 */
void supervisor_drain(supervisor_t *sup);
bool supervisor_is_draining(const supervisor_t *sup);
/* True when the daemon exits because a task failed too often. */
bool supervisor_has_failed(const supervisor_t *sup);

/* Monotonic time in microseconds, including time while the VM is suspended. */
static inline int64_t now_us(void)
{
	return clock_boottime_us();
}

/* Starts a periodic timer; the caller frees it with event_free(). */
struct event *supervisor_add_timer(supervisor_t *sup, int64_t ms,
				   event_callback_fn fn, void *arg);

extern const task_spec_t platform_task;
extern const task_spec_t peers_task;
extern const task_spec_t capacity_task;
extern const task_spec_t limits_task;
extern const task_spec_t front_task;
/* Replace platform_task and front_task in a fleet (setting fleet). */
extern const task_spec_t store_task;
extern const task_spec_t gateway_task;
extern const task_spec_t accounts_task;
extern const task_spec_t admin_task;

#endif
