#include "tests/lib_capacity.h"

#include <string.h>

#include "common/log.h"
#include "tests/lib_suite.h"
#include "tests/lib_task_fixture.h"

enum { DEADLINE_US = 60 * G_USEC_PER_SEC };

static void fake_handle(void *state, const message_t *m)
{
	capacity_fixture_t *f = state;
	uint64_t attempt = m->capacity.want.id.attempt;

	if (m->type == MESSAGE_SPEEDS) {
		f->speeds++;
		f->speeds_told += m->speeds.digests->len;
		return;
	}
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

void capacity_run(capacity_fixture_t *f, int64_t us)
{
	gint64 end = g_get_monotonic_time() + us;

	while (g_get_monotonic_time() < end)
		event_base_loop(f->base, EVLOOP_ONCE);
}

void capacity_begin(capacity_fixture_t *f, const char *settings)
{
	g_autofree char *members = NULL;
	err_t err = { 0 };

	memset(f, 0, sizeof(*f));
	task_fixture_set_state(f);
	log_init("error");
	f->base = event_base_new();
	members = g_strdup_printf("\"platform\":\"127.0.0.1:1\","
				  "\"load_poll_ms\":0%s",
				  settings);
	task_fixture_parse_settings(&f->settings, members);
	supervisor_init(&f->sup, f->base, &f->settings);
	ck_assert_msg(supervisor_start(&f->sup, specs, &err), "%s", err.detail);
}

void capacity_end(capacity_fixture_t *f)
{
	supervisor_finish(&f->sup);
	event_base_free(f->base);
	settings_finish(&f->settings);
}

void capacity_post_config(capacity_fixture_t *f)
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
void capacity_post_list(capacity_fixture_t *f)
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

message_t capacity_want(uint64_t attempt)
{
	message_t m = { .type = MESSAGE_WANT };
	message_capacity_t *c = &m.capacity;

	g_strlcpy(c->peer, CAPACITY_PEER, sizeof(c->peer));
	g_strlcpy(c->service, "s", sizeof(c->service));
	c->want.id = (want_id_t){ CAPACITY_OWNER, attempt };
	c->want.prompt_tokens = 1;
	c->want.output_tokens = 1;
	c->want.deadline = g_get_monotonic_time() + DEADLINE_US;
	return m;
}

void capacity_post(capacity_fixture_t *f, uint64_t attempt, message_type_t type)
{
	message_t m = capacity_want(attempt);

	m.type = type;
	supervisor_post(&f->sup, TASK_CAPACITY, &m);
}
