/*
 * Which orders of roll-outs a daemon follows, and which runners are dispatched
 * apart because of them. The store is not reached.
 */
#include "core/release_history.h"
#include "daemon/rollout_conductor.h"
#include "tests/lib_suite.h"
#include "tests/lib_task_fixture.h"

#define ORDER(target, seconds)                       \
	"{\"service\":\"desk\",\"target\":\"" target \
	"\",\"duration_s\":" seconds "}"

typedef struct fixture {
	struct event_base *base;
	settings_t settings;
	supervisor_t sup;
	store_t store;
	rollout_conductor_t conductor;
	int orders; /* in the latest message to the front task */
} fixture_t;

static void front_handle(void *state, const message_t *m)
{
	fixture_t *f = state;

	if (m->type == MESSAGE_ROLLOUT_ORDERS)
		f->orders = (int)m->rollout_orders->len;
}

static const task_spec_t fake_front = { "front", 2, task_fixture_start,
					front_handle, task_fixture_stop };
static const task_spec_t *const specs[TASK_COUNT] = {
	[TASK_PLATFORM] = &task_fixture_idle,
	[TASK_PEERS] = &task_fixture_idle,
	[TASK_CAPACITY] = &task_fixture_idle,
	[TASK_LIMITS] = &task_fixture_idle,
	[TASK_FRONT] = &fake_front,
	[TASK_ACCOUNTS] = &task_fixture_idle,
	[TASK_ADMIN] = &task_fixture_idle,
};

static void fixture_init(fixture_t *f)
{
	err_t err = { 0 };

	memset(f, 0, sizeof(*f));
	task_fixture_set_state(f);
	f->base = event_base_new();
	task_fixture_parse_settings(&f->settings,
				    "\"platform\":\"127.0.0.1:1\","
				    "\"rollouts\":true");
	supervisor_init(&f->sup, f->base, &f->settings);
	ck_assert(supervisor_start(&f->sup, specs, &err));
	store_init(&f->store, f->base, "127.0.0.1:1", 100);
	rollout_conductor_init(&f->conductor, &f->sup, &f->store);
}

static void fixture_finish(fixture_t *f)
{
	store_finish(&f->store);
	rollout_conductor_finish(&f->conductor);
	supervisor_finish(&f->sup);
	settings_finish(&f->settings);
	event_base_free(f->base);
}

static bool set_order(fixture_t *f, const char *text)
{
	bool is_new = rollout_conductor_set_order(
		&f->conductor, STR_LIT("desk"), str_from(text));

	event_base_loop(f->base, EVLOOP_NONBLOCK);
	return is_new;
}

/* Returns how many of two runners, of releases v1 and v2, are set apart. */
static int count_apart(const fixture_t *f)
{
	static const char *const releases[] = { "v1", "v2" };
	vm_list_runner_t runners[2] = { { .service = "desk" },
					{ .service = "desk" } };
	vm_list_t *vms;
	int n = 0;

	for (int i = 0; i < 2; i++)
		runners[i].runner.release =
			release_history_hash("desk", releases[i]);
	vms = vm_list_new(NULL, 0, runners, 2);
	rollout_conductor_split(&f->conductor, vms);
	for (guint i = 0; i < vms->runners->len; i++)
		n += strcmp(g_array_index(vms->runners, vm_list_runner_t, i)
				    .service,
			    "desk") != 0;
	vm_list_unref(vms);
	return n;
}

START_TEST(an_order_sets_its_target_apart)
{
	fixture_t f;

	fixture_init(&f);
	ck_assert_int_eq(count_apart(&f), 0);
	ck_assert(set_order(&f, ORDER("v2", "12")));
	ck_assert_int_eq(f.orders, 1);
	ck_assert_int_eq(count_apart(&f), 1);
	/* Repeated: the same one. Another one replaces it. */
	ck_assert(!set_order(&f, ORDER("v2", "12")));
	ck_assert(set_order(&f, ORDER("v3", "12")));
	ck_assert_int_eq(f.orders, 1);
	ck_assert_int_eq(count_apart(&f), 0);
	fixture_finish(&f);
}
END_TEST

/* Guards against a service that ends since all its runners are held. */
START_TEST(a_faulty_order_has_no_effect)
{
	static const char *const texts[] = {
		ORDER("v2", "-1"),
		ORDER("v2", "\"x\""),
		"{\"service\":\"other\",\"target\":\"v2\",\"duration_s\":9}",
		"{\"target\":\"v2\",\"duration_s\":9}",
		"nonsense",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		fixture_t f;

		fixture_init(&f);
		f.orders = -1;
		ck_assert(set_order(&f, texts[i]));
		ck_assert_int_eq(f.orders, 0);
		ck_assert_int_eq(count_apart(&f), 0);
		fixture_finish(&f);
	}
}
END_TEST

START_TEST(an_order_is_withdrawn_once)
{
	fixture_t f;

	fixture_init(&f);
	ck_assert(!set_order(&f, ""));
	ck_assert(set_order(&f, ORDER("v2", "12")));
	ck_assert(set_order(&f, ""));
	ck_assert(!set_order(&f, ""));
	fixture_finish(&f);
}
END_TEST

START_TEST(orders_are_bounded)
{
	fixture_t f;

	fixture_init(&f);
	for (int i = 0; i <= ROLLOUT_CONDUCTOR_MAX; i++) {
		g_autofree char *name = g_strdup_printf("s%d", i);
		g_autofree char *text =
			g_strdup_printf("{\"service\":\"%s\",\"target\":\"v2\","
					"\"duration_s\":9}",
					name);

		ck_assert(rollout_conductor_set_order(&f.conductor,
						      str_from(name),
						      str_from(text)) ==
			  (i < ROLLOUT_CONDUCTOR_MAX));
	}
	/* The key is no text. */
	ck_assert(!rollout_conductor_set_order(&f.conductor, STR_LIT("d\xff"),
					       STR_LIT("{}")));
	fixture_finish(&f);
}
END_TEST

SUITE_MAIN("rollout_conductor", an_order_sets_its_target_apart,
	   a_faulty_order_has_no_effect, an_order_is_withdrawn_once,
	   orders_are_bounded)
