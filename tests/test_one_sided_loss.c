/*
 * One daemon loses its link to a dispatcher's host, which all others still see:
 * its connections were reset, and no new one gets through. It asks the next
 * host, which isn't the host in its own view. Both dispatch for the same
 * runners then, so the next host must decide as one of several.
 */
#include <string.h>

#include "common/log.h"
#include "daemon/peers.h"
#include "tests/lib_suite.h"
#include "tests/lib_task_fixture.h"

enum {
	DAEMONS = 3,
	TIMEOUT_US = 3 * G_USEC_PER_SEC,
	LIMIT_US = 2 * G_USEC_PER_SEC,
};

static const str_t zones[] = { STR_LIT("z") };

typedef struct loss_fixture {
	struct event_base *base;
	settings_t settings;
	supervisor_t sup;
	int wants, shared_wants;
} loss_fixture_t;

static void fake_handle(void *state, const message_t *m)
{
	loss_fixture_t *f = state;

	if (m->type != MESSAGE_WANT)
		return;
	f->shared_wants += m->capacity.is_local_only;
	f->wants++;
}

static const task_spec_t fake_capacity = { "capacity", 2, task_fixture_start,
					   fake_handle, task_fixture_stop };
static const task_spec_t *const specs[TASK_COUNT] = {
	[TASK_PLATFORM] = &task_fixture_idle,
	[TASK_PEERS] = &task_fixture_idle,
	[TASK_CAPACITY] = &fake_capacity,
	[TASK_LIMITS] = &task_fixture_idle,
	[TASK_FRONT] = &task_fixture_idle,
	[TASK_ACCOUNTS] = &task_fixture_idle,
	[TASK_ADMIN] = &task_fixture_idle,
};

static member_vm_t vm_of(int i)
{
	member_vm_t vm = { .zone = "z" };

	g_snprintf(vm.name, sizeof(vm.name), "d%d", i);
	g_snprintf(vm.peer_address, sizeof(vm.peer_address), "10.0.0.%d:1", i);
	return vm;
}

/* The view of daemon I, which is linked to all others. */
static void join(member_t *m, int i)
{
	static const member_config_t config = { TIMEOUT_US, TIMEOUT_US, 0,
						100 };
	static const member_ops_t ops = { NULL, NULL };
	member_vm_t self = vm_of(i);

	member_init(m, &config, &self, 1, zones, G_N_ELEMENTS(zones), &ops,
		    NULL, now_us());
	for (int n = 0; n < DAEMONS; n++) {
		member_vm_t vm = vm_of(n);

		if (n != i)
			member_on_heartbeat(m, &vm, 1, false, now_us());
	}
}

static int host_of(member_t *m, const char *dispatcher)
{
	member_vm_t vm;

	ck_assert(member_dispatcher_host(m, zones[0], str_from(dispatcher),
					 now_us(), &vm));
	return vm.name[1] - '0';
}

static void receive_want(loss_fixture_t *f, peers_t *p, const char *dispatcher)
{
	message_t m = { .type = MESSAGE_WANT };

	g_strlcpy(m.capacity.service, dispatcher, sizeof(m.capacity.service));
	peers_receive_want(p, &m);
	task_fixture_await_count(f->base, &f->wants, f->wants + 1, LIMIT_US);
}

static void begin(loss_fixture_t *f)
{
	err_t err = { 0 };

	*f = (loss_fixture_t){ 0 };
	task_fixture_set_state(f);
	log_init("error");
	f->base = event_base_new();
	task_fixture_parse_settings(&f->settings,
				    "\"platform\":\"127.0.0.1:1\"");
	supervisor_init(&f->sup, f->base, &f->settings);
	ck_assert_msg(supervisor_start(&f->sup, specs, &err), "%s", err.detail);
}

START_TEST(the_next_host_decides_as_one_of_several)
{
	static const char dispatcher[] = "s#1/2";
	member_t view;
	member_vm_t lost;
	peers_t next = { 0 };
	loss_fixture_t f;
	int second;

	begin(&f);
	join(&view, 0);
	lost = vm_of(host_of(&view, dispatcher));
	member_finish(&view);
	/* What those name that have lost it. */
	join(&view, (lost.name[1] - '0' + 1) % DAEMONS);
	member_set_link_lost(&view, str_from(lost.name), true, now_us());
	second = host_of(&view, dispatcher);
	ck_assert_str_ne(vm_of(second).name, lost.name);
	member_finish(&view);
	next.sup = &f.sup;
	next.self = vm_of(second);
	join(&next.member, second);
	receive_want(&f, &next, dispatcher);
	ck_assert_int_eq(f.shared_wants, 1);
	/* It has lost the host, too: all name it now. */
	member_set_link_lost(&next.member, str_from(lost.name), true, now_us());
	receive_want(&f, &next, dispatcher);
	ck_assert_int_eq(f.shared_wants, 1);
	member_finish(&next.member);
	supervisor_finish(&f.sup);
	event_base_free(f.base);
	settings_finish(&f.settings);
}
END_TEST

START_TEST(the_host_decides_alone)
{
	static const char dispatcher[] = "s#1/2";
	peers_t host = { 0 };
	loss_fixture_t f;
	member_t any;
	int i;

	begin(&f);
	join(&any, 0);
	i = host_of(&any, dispatcher);
	member_finish(&any);
	host.sup = &f.sup;
	host.self = vm_of(i);
	join(&host.member, i);
	receive_want(&f, &host, dispatcher);
	ck_assert_int_eq(f.shared_wants, 0);
	member_finish(&host.member);
	supervisor_finish(&f.sup);
	event_base_free(f.base);
	settings_finish(&f.settings);
}
END_TEST

SUITE_MAIN("one_sided_loss", the_next_host_decides_as_one_of_several,
	   the_host_decides_alone)
