/*
 * A dispatcher misses the ends of its grants: its process was paused, or the
 * link to their owner broke. The places of those grants must not stay taken
 * until the requests' deadlines, since owners say again what still runs. They
 * do so after each stall of the dispatcher, and the machine may stall this
 * process at any time: the fake owner watches for it.
 */
#include <string.h>

#include "common/log.h"
#include "tests/lib_suite.h"
#include "tests/lib_task_fixture.h"

#define PEER "peer"

enum {
	MAX_ATTEMPTS = 8,
	SLOTS = 2,
	OWNER = 7,
	PAUSE_US = 200 * 1000, /* longer than heartbeat_timeout_ms */
	/* Within it a dispatcher knows which of its grants still run. */
	LIMIT_US = 2 * G_USEC_PER_SEC,
	DEADLINE_US = 60 * G_USEC_PER_SEC,
	SHORT_US = 100 * 1000,
};

/* The capacity task, its grants, and the owner of what was granted. */
typedef struct capacity_fixture {
	struct event_base *base;
	settings_t settings;
	supervisor_t sup;
	int grants[MAX_ATTEMPTS]; /* how often each attempt was granted */
	bool is_running[MAX_ATTEMPTS]; /* granted, and has not ended */
	uint64_t epoch; /* stall epoch at the owner's last confirmation */
} capacity_fixture_t;

static void fake_handle(void *state, const message_t *m)
{
	capacity_fixture_t *f = state;

	if (m->type != MESSAGE_GRANT)
		return;
	f->grants[m->capacity.want.id.attempt]++;
	f->is_running[m->capacity.want.id.attempt] = true;
}

static const task_spec_t fake_peers = { "peers", 2, task_fixture_start,
					fake_handle, task_fixture_stop };
static const task_spec_t *const specs[TASK_COUNT] = {
	[TASK_PLATFORM] = &task_fixture_idle,
	[TASK_PEERS] = &fake_peers,
	[TASK_CAPACITY] = &capacity_task,
	[TASK_LIMITS] = &task_fixture_idle,
	[TASK_FRONT] = &task_fixture_idle,
	[TASK_ACCOUNTS] = &task_fixture_idle,
	[TASK_ADMIN] = &task_fixture_idle,
};

/* One engine with SLOTS places. */
static void post_runner(capacity_fixture_t *f)
{
	static const vm_list_runner_t runner = {
		.runner = { .name = "r",
			    .address = "127.0.0.1:1",
			    .slots = SLOTS },
		.service = "s",
		.zone = "z",
	};
	message_t config = { .type = MESSAGE_CONFIG,
			     .config = config_view_new() };
	message_t vms = { .type = MESSAGE_VMS,
			  .vms = vm_list_new(NULL, 0, &runner, 1) };
	profile_service_t *service = g_new0(profile_service_t, 1);

	g_strlcpy(service->name, "s", sizeof(service->name));
	service->is_engine = true;
	service->slots = SLOTS;
	service->window_tokens = 100000;
	g_hash_table_insert(config.config->services, service->name, service);
	supervisor_post(&f->sup, TASK_CAPACITY, &config);
	supervisor_post(&f->sup, TASK_CAPACITY, &vms);
}

/* The peer's want; RUNNING: the request runs already, the want is repeated. */
static void post_want(capacity_fixture_t *f, uint64_t attempt, bool is_running)
{
	message_t m = { .type = MESSAGE_WANT };
	message_capacity_t *c = &m.capacity;

	g_strlcpy(c->peer, PEER, sizeof(c->peer));
	g_strlcpy(c->service, "s", sizeof(c->service));
	c->want.id = (want_id_t){ OWNER, attempt };
	c->want.prompt_tokens = 1;
	c->want.output_tokens = 1;
	c->want.deadline = g_get_monotonic_time() + DEADLINE_US;
	if (is_running) {
		g_strlcpy(c->running_on, "r", sizeof(c->running_on));
		c->is_resent = true;
	}
	supervisor_post(&f->sup, TASK_CAPACITY, &m);
}

/* The owner says what runs. */
static void confirm(capacity_fixture_t *f)
{
	f->epoch = supervisor_stall_epoch(&f->sup);
	for (uint64_t i = 0; i < MAX_ATTEMPTS; i++)
		if (f->is_running[i])
			post_want(f, i, true);
}

/*
 * Runs the event loop until attempt UNTIL is granted, if it isn't 0, or for US
 * microseconds. What is overdue then still runs, if this process was held up.
 */
static void run_until(capacity_fixture_t *f, uint64_t until, int64_t us)
{
	gint64 end = g_get_monotonic_time() + us;
	bool is_over;

	do {
		is_over = g_get_monotonic_time() >= end;
		event_base_loop(f->base,
				is_over ? EVLOOP_NONBLOCK : EVLOOP_ONCE);
		if (f->epoch != supervisor_stall_epoch(&f->sup))
			confirm(f);
	} while (!is_over && !(until && f->grants[until]));
}

static void run(capacity_fixture_t *f, int64_t us)
{
	run_until(f, 0, us);
}

static void await_grant(capacity_fixture_t *f, uint64_t attempt)
{
	run_until(f, attempt, LIMIT_US);
	ck_assert_int_eq(f->grants[attempt], 1);
}

static void fixture_begin(capacity_fixture_t *f)
{
	err_t err = { 0 };

	memset(f, 0, sizeof(*f));
	task_fixture_set_state(f);
	log_init("error");
	f->base = event_base_new();
	task_fixture_parse_settings(&f->settings,
				    "\"platform\":\"127.0.0.1:1\","
				    "\"heartbeat_ms\":20,"
				    "\"heartbeat_timeout_ms\":100,"
				    "\"load_poll_ms\":0");
	supervisor_init(&f->sup, f->base, &f->settings);
	ck_assert_msg(supervisor_start(&f->sup, specs, &err), "%s", err.detail);
	post_runner(f);
	run(f, SHORT_US);
}

static void fixture_end(capacity_fixture_t *f)
{
	supervisor_finish(&f->sup);
	event_base_free(f->base);
	settings_finish(&f->settings);
}

static void grant_both(capacity_fixture_t *f)
{
	post_want(f, 1, false);
	post_want(f, 2, false);
	await_grant(f, 2);
	ck_assert_int_eq(f->grants[1], 1);
}

/* Attempt 1 still runs, attempt 2 has ended: there is one free place. */
static void expect_one_place(capacity_fixture_t *f)
{
	f->is_running[2] = false;
	confirm(f);
	post_want(f, 3, false);
	post_want(f, 4, false);
	await_grant(f, 3);
	run(f, LIMIT_US / 2);
	ck_assert_int_eq(f->grants[4], 0);
	ck_assert_int_eq(f->grants[1], 1);
}

/* The end of attempt 2 was reported to another daemon during the pause. */
START_TEST(ends_during_a_pause_of_the_dispatcher_free_their_places)
{
	capacity_fixture_t f;

	fixture_begin(&f);
	grant_both(&f);
	g_usleep(PAUSE_US);
	expect_one_place(&f);
	fixture_end(&f);
}
END_TEST

/* The dispatcher pauses again when the owner has said what runs. */
START_TEST(a_second_pause_leaves_what_runs_its_place)
{
	capacity_fixture_t f;

	fixture_begin(&f);
	grant_both(&f);
	g_usleep(PAUSE_US);
	f.is_running[2] = false;
	confirm(&f);
	run(&f, SHORT_US);
	g_usleep(PAUSE_US);
	expect_one_place(&f);
	fixture_end(&f);
}
END_TEST

/* The message that reported the end of attempt 2 was lost with the link. */
START_TEST(ends_lost_with_a_link_free_their_places)
{
	capacity_fixture_t f;
	message_t link_up = { .type = MESSAGE_LINK_UP, .contact.name = PEER };

	fixture_begin(&f);
	grant_both(&f);
	supervisor_post(&f.sup, TASK_CAPACITY, &link_up);
	expect_one_place(&f);
	fixture_end(&f);
}
END_TEST

SUITE_MAIN("lost_done", ends_during_a_pause_of_the_dispatcher_free_their_places,
	   a_second_pause_leaves_what_runs_its_place,
	   ends_lost_with_a_link_free_their_places)
