#define LOG_PART "supervisor"

#include "daemon/supervisor.h"

#include <inttypes.h>

#include "common/log.h"
#include "common/timeval.h"
#include "common/unique.h"

enum {
	US_PER_MS = 1000,
	TICK_MS = 50,
	LATE_MS = 100, /* delay of a tick that is logged */
	FIRST_BACKOFF_MS = 100,
	MAX_BACKOFF_MS = 5000,
	MAX_RESTARTS = 5, /* per task, within RESTART_WINDOW_US */
	RESTART_WINDOW_US = 60 * 1000 * 1000,
	MAX_MESSAGES_PER_WAKE = 256,
	STALL_RECENT_US = 2 * 1000 * 1000, /* time to read all pending input */
};

/* A task and its message queue. */
typedef struct task {
	supervisor_t *sup;
	const task_spec_t *spec;
	void *state; /* NULL while the task is stopped */
	GQueue inbox; /* message_t */
	struct event *wake;
	struct event *restart_timer;
	int64_t backoff_ms;
	int64_t window_start;
	int restarts;
} task_t;

struct supervisor_state {
	task_t tasks[TASK_COUNT];
	struct event *tick_timer;
	int64_t last_tick;
	uint64_t epoch;
	int64_t stalled_at; /* when the last stall was detected; 0: never */
	bool is_draining;
	bool has_failed; /* a task failed too often */
};

static void free_message(void *data)
{
	message_finish(data);
	g_free(data);
}

static void clear_inbox(task_t *task)
{
	g_queue_clear_full(&task->inbox, free_message);
}

static void on_wake(evutil_socket_t fd, short what, void *arg)
{
	task_t *task = arg;

	for (int i = 0; i < MAX_MESSAGES_PER_WAKE && task->state; i++) {
		message_t *m = g_queue_pop_head(&task->inbox);

		if (!m)
			return;
		task->spec->handle(task->state, m);
		free_message(m);
	}
	if (!g_queue_is_empty(&task->inbox))
		event_active(task->wake, 0, 0);
}

static void abort_daemon(supervisor_t *sup, const task_t *task)
{
	log_error("task %s failed too often; stopping the daemon",
		  task->spec->name);
	sup->state->has_failed = true;
	event_base_loopbreak(sup->base);
}

static void schedule_restart(task_t *task)
{
	struct timeval delay = timeval_from_ms(task->backoff_ms);

	event_add(task->restart_timer, &delay);
	task->backoff_ms = MIN(task->backoff_ms * 2, MAX_BACKOFF_MS);
}

static void stop_task(task_t *task)
{
	if (!task->state)
		return;
	task->spec->stop(task->state);
	task->state = NULL;
	clear_inbox(task);
}

static bool may_restart(task_t *task)
{
	int64_t now = now_us();

	if (now - task->window_start > RESTART_WINDOW_US) {
		task->window_start = now;
		task->restarts = 0;
		task->backoff_ms = FIRST_BACKOFF_MS;
	}
	return ++task->restarts <= MAX_RESTARTS;
}

static bool start_task(task_t *task, err_t *err)
{
	task->state = task->spec->start(task->sup, err);
	if (!task->state)
		return false;
	log_debug("task %s started", task->spec->name);
	if (!g_queue_is_empty(&task->inbox))
		event_active(task->wake, 0, 0);
	return true;
}

static void on_restart_timer(evutil_socket_t fd, short what, void *arg)
{
	task_t *task = arg;
	char text[ERR_DETAIL_SIZE * 2];
	err_t err = { 0 };

	if (start_task(task, &err))
		return;
	log_warn("cannot start task %s: %s", task->spec->name,
		 err_text(&err, text, sizeof(text)));
	if (may_restart(task))
		schedule_restart(task);
	else
		abort_daemon(task->sup, task);
}

uint64_t supervisor_stall_epoch(supervisor_t *sup)
{
	struct supervisor_state *st = sup->state;
	int64_t now = now_us();

	if (now - st->last_tick > sup->settings->heartbeat_timeout_ms * 1000) {
		st->last_tick = now;
		log_warn("the process stalled for longer than the heartbeat "
			 "timeout");
		supervisor_count_stall(sup);
	}
	return st->epoch;
}

void supervisor_count_stall(supervisor_t *sup)
{
	sup->state->epoch++;
	sup->state->stalled_at = now_us();
	metrics_add(&sup->metrics, "papaya_stalls_total", NULL, 1);
}

bool supervisor_stalled_recently(supervisor_t *sup)
{
	supervisor_stall_epoch(sup);
	return sup->state->stalled_at &&
	       now_us() - sup->state->stalled_at < STALL_RECENT_US;
}

/* What this process did not read in time looks like silence of others. */
static void log_late_loop(const supervisor_t *sup)
{
	int64_t late_ms =
		(now_us() - sup->state->last_tick) / US_PER_MS - TICK_MS;

	if (late_ms >= LATE_MS)
		log_event("loop-late", "late_ms=%" PRId64, late_ms);
}

static void on_tick_timer(evutil_socket_t fd, short what, void *arg)
{
	supervisor_t *sup = arg;

	log_late_loop(sup);
	supervisor_stall_epoch(sup);
	sup->state->last_tick = now_us();
}

bool supervisor_init(supervisor_t *sup, struct event_base *base,
		     const settings_t *settings)
{
	sup->base = base;
	sup->settings = settings;
	sup->rand = settings->seed ?
			    g_rand_new_with_seed((guint32)settings->seed) :
			    g_rand_new();
	sup->boot_id = unique_id();
	metrics_init(&sup->metrics);
	sup->state = g_new0(struct supervisor_state, 1);
	sup->state->last_tick = now_us();
	sup->state->tick_timer =
		supervisor_add_timer(sup, TICK_MS, on_tick_timer, sup);
	return sup->state->tick_timer != NULL;
}

static void finish_task(task_t *task)
{
	stop_task(task);
	clear_inbox(task);
	if (task->wake)
		event_free(task->wake);
	if (task->restart_timer)
		event_free(task->restart_timer);
}

void supervisor_finish(supervisor_t *sup)
{
	for (int i = TASK_COUNT - 1; i >= 0; i--)
		finish_task(&sup->state->tasks[i]);
	event_free(sup->state->tick_timer);
	g_free(sup->state);
	metrics_finish(&sup->metrics);
	g_rand_free(sup->rand);
}

bool supervisor_start(supervisor_t *sup, const task_spec_t *const *specs,
		      err_t *err)
{
	for (int i = 0; i < TASK_COUNT; i++) {
		task_t *task = &sup->state->tasks[i];

		task->sup = sup;
		task->spec = specs[i];
		task->backoff_ms = FIRST_BACKOFF_MS;
		task->window_start = now_us();
		g_queue_init(&task->inbox);
		task->wake = event_new(sup->base, -1, 0, on_wake, task);
		task->restart_timer =
			evtimer_new(sup->base, on_restart_timer, task);
	}
	for (int i = 0; i < TASK_COUNT; i++)
		if (!start_task(&sup->state->tasks[i], err))
			return false;
	return true;
}

void supervisor_post(supervisor_t *sup, task_id_t to, const message_t *m)
{
	task_t *task = &sup->state->tasks[to];

	g_queue_push_tail(&task->inbox, g_memdup2(m, sizeof(*m)));
	event_active(task->wake, 0, 0);
}

void supervisor_task_failed(supervisor_t *sup, task_id_t id, const err_t *err)
{
	task_t *failed = &sup->state->tasks[id];
	char text[ERR_DETAIL_SIZE * 2];

	log_warn("task %s failed: %s", failed->spec->name,
		 err_text(err, text, sizeof(text)));
	metrics_add(&sup->metrics, "papaya_task_failures_total", NULL, 1);
	if (!may_restart(failed)) {
		abort_daemon(sup, failed);
		return;
	}
	for (int i = 0; i < TASK_COUNT; i++) {
		task_t *task = &sup->state->tasks[i];

		if (task->spec->group != failed->spec->group)
			continue;
		stop_task(task);
		schedule_restart(task);
	}
}

void supervisor_drain(supervisor_t *sup)
{
	if (sup->state->is_draining)
		return;
	sup->state->is_draining = true;
	log_info("draining");
	for (int i = 0; i < TASK_COUNT; i++)
		supervisor_post(sup, i, &(message_t){ .type = MESSAGE_DRAIN });
}

bool supervisor_is_draining(const supervisor_t *sup)
{
	return sup->state->is_draining;
}

bool supervisor_has_failed(const supervisor_t *sup)
{
	return sup->state->has_failed;
}

struct event *supervisor_add_timer(supervisor_t *sup, int64_t ms,
				   event_callback_fn fn, void *arg)
{
	struct timeval period = timeval_from_ms(ms);
	struct event *ev = event_new(sup->base, -1, EV_PERSIST, fn, arg);

	event_add(ev, &period);
	return ev;
}
