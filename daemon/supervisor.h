/*
 * The supervisor tree: in-process tasks in groups. A task owns its sockets
 * and its state and talks to others only by messages. A task that fails is
 * restarted with back-off, together with its group; a group that fails too
 * often gives up upwards and ends the daemon.
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
	TASK_PLATFORM, /* log and VM list */
	TASK_PEERS, /* links, membership, who does what */
	TASK_CAPACITY, /* dispatchers and runners' load */
	TASK_LIMITS, /* teams' limits */
	TASK_FRONT, /* callers and their requests */
	TASK_ACCOUNTS,
	TASK_ADMIN, /* operators, metrics, health */
	TASK_COUNT,
} task_id_t;

typedef struct supervisor supervisor_t;

/* What a task is made of; STATE is the task's own memory. */
typedef struct task_spec {
	const char *name;
	/* Tasks of one group rest on each other's state: all restart. */
	int group;
	/* Starts the task; returns its state, or NULL with ERR set. */
	void *(*start)(supervisor_t *sup, err_t *err);
	/* Handles one message; the supervisor finishes M afterwards. */
	void (*handle)(void *state, const message_t *m);
	void (*stop)(void *state);
} task_spec_t;

struct supervisor {
	struct event_base *base;
	const settings_t *settings;
	metrics_t metrics;
	GRand *rand;
	uint64_t boot; /* this process, for tickets and attempt ids */
	struct supervisor_state *state;
};

bool supervisor_init(supervisor_t *sup, struct event_base *base,
		     const settings_t *settings);
void supervisor_finish(supervisor_t *sup);
/* Starts all tasks of the table SPECS, indexed by task_id_t. */
bool supervisor_start(supervisor_t *sup, const task_spec_t *const *specs,
		      err_t *err);

/* Posts a message; the supervisor takes over what M holds. */
void supervisor_post(supervisor_t *sup, task_id_t to, const message_t *m);
/* Reports that a task can't go on; its group is stopped and restarted. */
void supervisor_fail(supervisor_t *sup, task_id_t task, const err_t *err);
/*
 * Counts the times that the process stood still for longer than the
 * heartbeat timeout. Looks at the clock, so that a stall is seen by
 * whichever task runs first after it.
 */
uint64_t supervisor_epoch(supervisor_t *sup);
/*
 * True for a while after a stall: what is read now may have waited unread
 * through it, and be older than any repeat that its caller still makes.
 */
bool supervisor_is_just_stalled(supervisor_t *sup);
/* Counts a stall that others saw: peers called this daemon dead. */
void supervisor_count_stall(supervisor_t *sup);
/* Tells every task to drain; the front ends the loop when it is done. */
void supervisor_drain(supervisor_t *sup);
bool supervisor_is_draining(const supervisor_t *sup);
/* True when the daemon ended by giving up and not by a drain. */
bool supervisor_has_given_up(const supervisor_t *sup);

/* Steady time in microseconds; a suspended VM's time counts. */
static inline int64_t now_us(void)
{
	return clock_steady_us();
}

/* Starts a repeating timer; freed with event_free. */
struct event *supervisor_every(supervisor_t *sup, int64_t ms,
			       event_callback_fn fn, void *arg);

extern const task_spec_t platform_task;
extern const task_spec_t peers_task;
extern const task_spec_t capacity_task;
extern const task_spec_t limits_task;
extern const task_spec_t front_task;
/* In their place where the routes of a platform's operators are served. */
extern const task_spec_t store_task;
extern const task_spec_t gateway_task;
extern const task_spec_t accounts_task;
extern const task_spec_t admin_task;

#endif
