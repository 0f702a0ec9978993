/*
 * Daemons are restarted in turn. A daemon is linked, and so known as the host
 * of a dispatcher, before it has its first configuration. It must not refuse
 * the wants that reach it then: it keeps them, and decides them once it can.
 */
#include <string.h>

#include "common/log.h"
#include "daemon/early_wants.h"
#include "tests/lib_suite.h"
#include "tests/lib_task_fixture.h"

#define PEER "peer"

enum {
	MAX_ATTEMPTS = 8,
	OWNER = 7,
	LIMIT_US = 2 * G_USEC_PER_SEC,
	DEADLINE_US = 60 * G_USEC_PER_SEC,
	SHORT_US = 50 * 1000,
};

/* The capacity task, and what it answered to each attempt. */
typedef struct early_fixture {
	struct event_base *base;
	settings_t settings;
	supervisor_t sup;
	int grants[MAX_ATTEMPTS], refusals[MAX_ATTEMPTS], queued[MAX_ATTEMPTS];
} early_fixture_t;

static void fake_handle(void *state, const message_t *m)
{
	early_fixture_t *f = state;
	uint64_t attempt = m->capacity.want.id.attempt;

	f->grants[attempt] += m->type == MESSAGE_GRANT;
	f->refusals[attempt] += m->type == MESSAGE_REFUSE;
	f->queued[attempt] += m->type == MESSAGE_QUEUED;
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

static void run(early_fixture_t *f, int64_t us)
{
	gint64 end = g_get_monotonic_time() + us;

	while (g_get_monotonic_time() < end)
		event_base_loop(f->base, EVLOOP_ONCE);
}

static void fixture_begin(early_fixture_t *f)
{
	err_t err = { 0 };

	memset(f, 0, sizeof(*f));
	task_fixture_set_state(f);
	log_init("error");
	f->base = event_base_new();
	task_fixture_parse_settings(&f->settings,
				    "\"platform\":\"127.0.0.1:1\","
				    "\"load_poll_ms\":0");
	supervisor_init(&f->sup, f->base, &f->settings);
	ck_assert_msg(supervisor_start(&f->sup, specs, &err), "%s", err.detail);
}

static void fixture_end(early_fixture_t *f)
{
	supervisor_finish(&f->sup);
	event_base_free(f->base);
	settings_finish(&f->settings);
}

static void post_config(early_fixture_t *f)
{
	message_t m = { .type = MESSAGE_CONFIG, .config = config_view_new() };
	profile_service_t *service = g_new0(profile_service_t, 1);

	g_strlcpy(service->name, "s", sizeof(service->name));
	service->is_engine = true;
	service->slots = 1;
	service->window_tokens = 100000;
	g_hash_table_insert(m.config->services, service->name, service);
	supervisor_post(&f->sup, TASK_CAPACITY, &m);
}

/* One runner with one place. */
static void post_list(early_fixture_t *f)
{
	static const vm_list_runner_t runner = {
		.runner = { .name = "r", .address = "127.0.0.1:1", .slots = 1 },
		.service = "s",
		.zone = "z",
	};
	message_t m = { .type = MESSAGE_VMS,
			.vms = vm_list_new(NULL, 0, &runner, 1) };

	supervisor_post(&f->sup, TASK_CAPACITY, &m);
}

static message_t make_want(uint64_t attempt)
{
	message_t m = { .type = MESSAGE_WANT };
	message_capacity_t *c = &m.capacity;

	g_strlcpy(c->peer, PEER, sizeof(c->peer));
	g_strlcpy(c->service, "s", sizeof(c->service));
	c->want.id = (want_id_t){ OWNER, attempt };
	c->want.prompt_tokens = 1;
	c->want.output_tokens = 1;
	c->want.deadline = g_get_monotonic_time() + DEADLINE_US;
	return m;
}

static void post(early_fixture_t *f, uint64_t attempt, message_type_t type)
{
	message_t m = make_want(attempt);

	m.type = type;
	supervisor_post(&f->sup, TASK_CAPACITY, &m);
}

START_TEST(an_early_want_is_granted_once_there_is_a_configuration)
{
	early_fixture_t f;

	fixture_begin(&f);
	post(&f, 1, MESSAGE_WANT);
	/* Its owner must not take this daemon for one that hangs. */
	task_fixture_await_count(f.base, &f.queued[1], 1, LIMIT_US);
	post_config(&f);
	run(&f, SHORT_US);
	ck_assert_int_eq(f.grants[1], 0);
	post_list(&f);
	task_fixture_await_count(f.base, &f.grants[1], 1, LIMIT_US);
	ck_assert_int_eq(f.refusals[1], 0);
	fixture_end(&f);
}
END_TEST

/* The owner went to another dispatcher, or its caller left. */
START_TEST(an_early_want_that_is_withdrawn_gets_nothing)
{
	early_fixture_t f;

	fixture_begin(&f);
	post(&f, 1, MESSAGE_WANT);
	post(&f, 2, MESSAGE_WANT);
	post(&f, 1, MESSAGE_WITHDRAW);
	post_list(&f);
	post_config(&f);
	task_fixture_await_count(f.base, &f.grants[2], 1, LIMIT_US);
	ck_assert_int_eq(f.grants[1], 0);
	fixture_end(&f);
}
END_TEST

/* A request that runs already takes the place, so the other waits. */
START_TEST(work_that_runs_is_known_before_the_first_decision)
{
	message_t running = make_want(1);
	early_fixture_t f;

	fixture_begin(&f);
	g_strlcpy(running.capacity.running_on, "r",
		  sizeof(running.capacity.running_on));
	running.capacity.is_resent = true;
	supervisor_post(&f.sup, TASK_CAPACITY, &running);
	post(&f, 2, MESSAGE_WANT);
	post_list(&f);
	post_config(&f);
	run(&f, SHORT_US);
	ck_assert_int_eq(f.grants[1] + f.grants[2], 0);
	post(&f, 1, MESSAGE_DONE);
	task_fixture_await_count(f.base, &f.grants[2], 1, LIMIT_US);
	fixture_end(&f);
}
END_TEST

START_TEST(the_number_of_early_wants_is_bounded)
{
	message_t m = make_want(1);
	early_wants_t e;

	early_wants_init(&e);
	for (uint64_t i = 0; i < EARLY_WANTS_MAX; i++) {
		m.capacity.want.id.attempt = i;
		ck_assert(early_wants_add(&e, &m.capacity));
		/* Repeated, it takes no second place. */
		ck_assert(early_wants_add(&e, &m.capacity));
	}
	m.capacity.want.id.attempt = EARLY_WANTS_MAX;
	ck_assert(!early_wants_add(&e, &m.capacity));
	early_wants_remove(&e, (want_id_t){ OWNER, 0 });
	ck_assert(early_wants_add(&e, &m.capacity));
	early_wants_remove_peer(&e, "other");
	ck_assert_uint_eq(e.wants.length, EARLY_WANTS_MAX);
	early_wants_remove_peer(&e, PEER);
	ck_assert_ptr_null(early_wants_pop(&e));
	early_wants_finish(&e);
}
END_TEST

SUITE_MAIN("early_want", an_early_want_is_granted_once_there_is_a_configuration,
	   an_early_want_that_is_withdrawn_gets_nothing,
	   work_that_runs_is_known_before_the_first_decision,
	   the_number_of_early_wants_is_bounded)
