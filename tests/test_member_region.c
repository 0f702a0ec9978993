/*
 * Which daemon hosts a role that serves all zones, and which daemons count as
 * live and as known.
 */
#include <glib.h>

#include "core/member.h"
#include "tests/lib_suite.h"

enum {
	HEARTBEAT_TIMEOUT = 10,
	DETECTED = 6 * HEARTBEAT_TIMEOUT, /* by then a partition is detected */
	LATER = 10 * HEARTBEAT_TIMEOUT,
	HOLDOFF_PERIOD = 100,
	RETENTION = 300,
	EXPIRED = RETENTION + 2 * HEARTBEAT_TIMEOUT,
	N_ZONES = 3,
	ZONE_SIZE = 8, /* daemons of each zone */
	N_DAEMONS = N_ZONES * ZONE_SIZE,
	TWO_ZONES = 2 * ZONE_SIZE,
	ROLES = 200,
};

static const str_t zones[] = { STR_LIT("z0"), STR_LIT("z1"), STR_LIT("z2") };

static member_vm_t vm_of(int i)
{
	member_vm_t vm = { .is_leaving = false };

	g_snprintf(vm.name, sizeof(vm.name), "d%02d", i);
	g_snprintf(vm.zone, sizeof(vm.zone), "z%d", i / ZONE_SIZE);
	g_snprintf(vm.peer_address, sizeof(vm.peer_address), "10.0.0.%d:1", i);
	return vm;
}

static void setup(member_t *m, int self)
{
	static const member_config_t config = { HEARTBEAT_TIMEOUT,
						HOLDOFF_PERIOD, 0, 100 };
	static const member_ops_t ops = { NULL, NULL };
	member_vm_t vms[N_DAEMONS];
	member_vm_t vm = vm_of(self);

	member_init(m, &config, &vm, 1, zones, N_ZONES, &ops, NULL, 0);
	for (int i = 0; i < N_DAEMONS; i++)
		vms[i] = vm_of(i);
	member_set_list(m, vms, N_DAEMONS, 0);
}

typedef struct answers {
	member_t *m;
	const char *partitioned; /* zones that do not answer, or "" */
	int64_t now;
} answers_t;

static void on_link(void *ctx, const member_vm_t *vm)
{
	answers_t *a = ctx;

	if (!strstr(a->partitioned, vm->zone))
		member_on_heartbeat(a->m, vm, 1, false, a->now);
}

/* Lets linked daemons answer; probes of daemons in PARTITIONED zones fail. */
static void run(member_t *m, int64_t from, int64_t to, const char *partitioned)
{
	for (int64_t now = from; now <= to; now++) {
		answers_t a = { m, partitioned, now };

		member_each_link(m, on_link, &a, now);
		member_tick(m, now);
		for (int i = 0; i < N_DAEMONS; i++) {
			member_vm_t vm = vm_of(i);

			if (strstr(partitioned, vm.zone))
				member_on_probe_result(m, str_from(vm.name),
						       false, now);
		}
	}
}

static char *host_of(member_t *m, const char *role, int64_t now)
{
	member_vm_t vm;

	if (!member_regional_host(m, str_from(role), now, &vm))
		return NULL;
	return g_strdup(vm.name);
}

START_TEST(all_zones_name_the_same_host)
{
	static const int selves[] = { 0, ZONE_SIZE, N_DAEMONS - 1 };
	member_t m[G_N_ELEMENTS(selves)];
	int own = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(selves); i++) {
		setup(&m[i], selves[i]);
		run(&m[i], 1, HEARTBEAT_TIMEOUT, "");
	}
	for (int n = 0; n < ROLES; n++) {
		g_autofree char *role = g_strdup_printf("duty-%d", n);
		g_autofree char *first = NULL;

		for (size_t i = 0; i < G_N_ELEMENTS(selves); i++) {
			g_autofree char *host = NULL;

			/* The first call only requests the link. */
			g_free(host_of(&m[i], role, HEARTBEAT_TIMEOUT));
			run(&m[i], HEARTBEAT_TIMEOUT + 1, HEARTBEAT_TIMEOUT + 1,
			    "");
			host = host_of(&m[i], role, HEARTBEAT_TIMEOUT + 1);
			ck_assert_ptr_nonnull(host);
			if (first)
				ck_assert_str_eq(host, first);
			else
				first = g_strdup(host);
			ck_assert(member_is_regional_host(&m[i],
							  str_from(role)) ==
				  !strcmp(host, vm_of(selves[i]).name));
			own += !strcmp(host, vm_of(selves[i]).name);
		}
	}
	/* Each of the three daemons hosts about one role in N_DAEMONS. */
	ck_assert_int_gt(own, 0);
	for (size_t i = 0; i < G_N_ELEMENTS(selves); i++)
		member_finish(&m[i]);
}
END_TEST

START_TEST(partitioned_zone_hosts_all_roles_itself)
{
	member_t m;
	int64_t now = DETECTED;

	setup(&m, 0);
	run(&m, 1, HEARTBEAT_TIMEOUT, "");
	run(&m, HEARTBEAT_TIMEOUT + 1, now, "z1 z2");
	for (int n = 0; n < ROLES; n++) {
		g_autofree char *role = g_strdup_printf("duty-%d", n);
		g_autofree char *host = host_of(&m, role, now);

		ck_assert_ptr_nonnull(host);
		ck_assert_int_lt(atoi(host + 1), ZONE_SIZE);
	}
	member_finish(&m);
}
END_TEST

/* A failed probe moves a role; the daemon need not be declared dead yet. */
START_TEST(roles_leave_a_partitioned_zone_before_its_daemons_are_dead)
{
	enum { SOON = 2 * HEARTBEAT_TIMEOUT + 2 };
	member_t m;

	setup(&m, 0);
	run(&m, 1, HEARTBEAT_TIMEOUT, "");
	run(&m, HEARTBEAT_TIMEOUT + 1, SOON, "z1 z2");
	for (int n = 0; n < ROLES; n++) {
		g_autofree char *role = g_strdup_printf("duty-%d", n);
		g_autofree char *host = host_of(&m, role, SOON);

		ck_assert_ptr_nonnull(host);
		ck_assert_int_lt(atoi(host + 1), ZONE_SIZE);
	}
	member_finish(&m);
}
END_TEST

START_TEST(partitioned_zone_counts_as_known_until_it_expires)
{
	member_t m;
	uint32_t live, known;

	setup(&m, 0);
	run(&m, 1, HEARTBEAT_TIMEOUT, "");
	member_count(&m, RETENTION, HEARTBEAT_TIMEOUT, &live, &known);
	ck_assert_uint_eq(live, N_DAEMONS);
	ck_assert_uint_eq(known, N_DAEMONS);
	run(&m, HEARTBEAT_TIMEOUT + 1, LATER, "z2");
	member_count(&m, RETENTION, LATER, &live, &known);
	ck_assert_uint_eq(live, TWO_ZONES);
	ck_assert_uint_eq(known, N_DAEMONS);
	run(&m, LATER + 1, EXPIRED, "z2");
	member_count(&m, RETENTION, EXPIRED, &live, &known);
	ck_assert_uint_eq(live, TWO_ZONES);
	ck_assert_uint_eq(known, TWO_ZONES);
	member_finish(&m);
}
END_TEST

/* This daemon may have started during a network partition. */
START_TEST(zone_without_any_heartbeat_counts_as_known_at_first)
{
	member_t m;
	uint32_t live, known;

	setup(&m, 0);
	run(&m, 1, DETECTED, "z1 z2");
	member_count(&m, RETENTION, DETECTED, &live, &known);
	ck_assert_uint_eq(live, ZONE_SIZE);
	ck_assert_uint_eq(known, N_DAEMONS);
	member_finish(&m);
}
END_TEST

static char *dispatcher_host_of(member_t *m, const char *role, int64_t now)
{
	member_vm_t vm;

	if (!member_regional_dispatcher_host(m, str_from(role), now, &vm))
		return NULL;
	return g_strdup(vm.name);
}

/*
 * A daemon is killed: its links end at once, and seconds pass until it counts
 * as dead. All daemons of its zone ask the same next one meanwhile. Limits stay
 * with their counter, which must not be doubled.
 */
START_TEST(dispatchers_of_a_killed_daemon_have_one_next_host)
{
	static const int selves[] = { 0, 3, ZONE_SIZE - 1 };
	member_t m[G_N_ELEMENTS(selves)];
	str_t zone = STR_LIT("z0");
	member_vm_t killed = vm_of(1), vm;
	int moved = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(selves); i++) {
		setup(&m[i], selves[i]);
		run(&m[i], 1, HEARTBEAT_TIMEOUT, "z1 z2");
		run(&m[i], 1 + HEARTBEAT_TIMEOUT, DETECTED, "z1 z2");
	}
	for (int n = 0; n < ROLES; n++) {
		g_autofree char *role = g_strdup_printf("duty-%d", n);
		g_autofree char *before =
			dispatcher_host_of(&m[0], role, DETECTED);
		g_autofree char *next = NULL;

		if (strcmp(before, killed.name) != 0)
			continue;
		moved++;
		for (size_t i = 0; i < G_N_ELEMENTS(selves); i++) {
			g_autofree char *host = NULL;

			member_set_link_lost(&m[i], str_from(killed.name), true,
					     DETECTED);
			host = dispatcher_host_of(&m[i], role, DETECTED);
			ck_assert_str_ne(host, killed.name);
			if (next)
				ck_assert_str_eq(host, next);
			else
				next = g_strdup(host);
			g_free(host);
			host = host_of(&m[i], role, DETECTED);
			ck_assert_str_eq(host, killed.name);
			ck_assert(member_dispatcher_host(
				&m[i], zone, str_from(role), DETECTED, &vm));
			ck_assert_str_ne(vm.name, killed.name);
			member_set_link_lost(&m[i], str_from(killed.name),
					     false, DETECTED);
			g_free(host);
			host = dispatcher_host_of(&m[i], role, DETECTED);
			ck_assert_str_eq(host, killed.name);
		}
	}
	ck_assert_int_gt(moved, 0);
	for (size_t i = 0; i < G_N_ELEMENTS(selves); i++)
		member_finish(&m[i]);
}
END_TEST

/* A zone was cut off for long, or a VM was replaced: links end for good. */
START_TEST(a_lost_link_is_forgotten)
{
	enum { SOON = 5 * HEARTBEAT_TIMEOUT };
	member_vm_t host = vm_of(1), vm;
	str_t name = str_from(host.name), zone = STR_LIT("z0");
	int64_t now = DETECTED;
	const char *role = NULL;
	member_t m;

	setup(&m, 0);
	run(&m, 1, now, "z1 z2");
	for (int n = 0; !role; n++) {
		g_autofree char *tried = g_strdup_printf("duty-%d", n);

		ck_assert_int_lt(n, ROLES);
		ck_assert(member_dispatcher_host(&m, zone, str_from(tried), now,
						 &vm));
		if (!strcmp(vm.name, host.name))
			role = g_intern_string(tried);
	}
	/* Nobody tells that a link is up: it is live by others' reports. */
	member_set_link_lost(&m, name, true, now);
	ck_assert(member_dispatcher_host(&m, zone, str_from(role), now, &vm));
	ck_assert_str_ne(vm.name, host.name);
	run(&m, now + 1, now + SOON, "z1 z2");
	now += SOON;
	ck_assert(member_dispatcher_host(&m, zone, str_from(role), now, &vm));
	ck_assert_str_eq(vm.name, host.name);
	/* Another process of it has links of its own. */
	member_set_link_lost(&m, name, true, now);
	member_on_heartbeat(&m, &host, 2, false, now);
	ck_assert(member_dispatcher_host(&m, zone, str_from(role), now, &vm));
	ck_assert_str_eq(vm.name, host.name);
	member_finish(&m);
}
END_TEST

SUITE_MAIN("member_region", all_zones_name_the_same_host,
	   partitioned_zone_hosts_all_roles_itself,
	   roles_leave_a_partitioned_zone_before_its_daemons_are_dead,
	   partitioned_zone_counts_as_known_until_it_expires,
	   zone_without_any_heartbeat_counts_as_known_at_first,
	   dispatchers_of_a_killed_daemon_have_one_next_host,
	   a_lost_link_is_forgotten)
