#include <glib.h>

#include "core/member.h"
#include "tests/lib_suite.h"

enum {
	HEARTBEAT_TIMEOUT = 10,
	HOLDOFF_PERIOD = 100,
	ZONE_SIZE = 12, /* daemons of each zone */
};

static const str_t zones[] = { STR_LIT("z1"), STR_LIT("z2"), STR_LIT("z3") };

/* The Ith daemon; i / ZONE_SIZE is its zone. */
static member_vm_t vm_of(int i)
{
	member_vm_t vm = { .is_leaving = false };

	g_snprintf(vm.name, sizeof(vm.name), "d%02d", i);
	g_snprintf(vm.zone, sizeof(vm.zone), "z%d", 1 + i / ZONE_SIZE);
	g_snprintf(vm.peer_address, sizeof(vm.peer_address), "10.0.0.%d:1", i);
	return vm;
}

static int n_probes;

static void on_probe(void *ctx, const member_vm_t *vm)
{
	n_probes++;
}

static void setup(member_t *m, int self)
{
	static const member_config_t config = { HEARTBEAT_TIMEOUT,
						HOLDOFF_PERIOD, 0, 100 };
	static const member_ops_t ops = { .probe = on_probe };
	member_vm_t vms[3 * ZONE_SIZE];
	member_vm_t vm = vm_of(self);

	member_init(m, &config, &vm, 1, zones, 3, &ops, NULL, 0);
	for (int i = 0; i < 3 * ZONE_SIZE; i++)
		vms[i] = vm_of(i);
	member_set_list(m, vms, 3 * ZONE_SIZE, 0);
}

/* The number of links to each zone; NAMES lists the linked daemons. */
typedef struct links {
	int n[3];
	GString *names;
} links_t;

static void on_link(void *ctx, const member_vm_t *vm)
{
	links_t *links = ctx;

	links->n[vm->zone[1] - '1']++;
	g_string_append_printf(links->names, "%s ", vm->name);
}

static links_t links_of(member_t *m, int64_t now)
{
	links_t links = { .names = g_string_new(NULL) };

	member_each_link(m, on_link, &links, now);
	return links;
}

/* Lets all linked daemons answer, except for those named in DOWN. */
static void answer(member_t *m, const char *down, int64_t now)
{
	links_t links = links_of(m, now);

	for (int i = 0; i < 3 * ZONE_SIZE; i++) {
		member_vm_t vm = vm_of(i);

		if (strstr(links.names->str, vm.name) && !strstr(down, vm.name))
			member_on_heartbeat(m, &vm, 1, false, now);
	}
	g_string_free(links.names, TRUE);
	member_tick(m, now);
	for (int i = 0; i < 3 * ZONE_SIZE; i++) {
		member_vm_t vm = vm_of(i);

		if (strstr(down, vm.name))
			member_on_probe_result(m, str_from(vm.name), false,
					       now);
	}
}

START_TEST(links_to_whole_own_zone_and_two_of_each_other)
{
	links_t links;
	member_t m;

	setup(&m, 0);
	for (int64_t now = 0; now < 50; now += 5) {
		links = links_of(&m, now);
		ck_assert_int_eq(links.n[0], ZONE_SIZE - 1);
		ck_assert_int_eq(links.n[1], MEMBER_ZONE_LINKS);
		ck_assert_int_eq(links.n[2], MEMBER_ZONE_LINKS);
		g_string_free(links.names, TRUE);
		answer(&m, "", now);
	}
	member_finish(&m);
}
END_TEST

START_TEST(links_are_spread_over_the_zone)
{
	int chosen[3 * ZONE_SIZE] = { 0 };

	for (int self = 0; self < ZONE_SIZE; self++) {
		links_t links;
		member_t m;

		setup(&m, self);
		links = links_of(&m, 0);
		for (int i = ZONE_SIZE; i < 3 * ZONE_SIZE; i++)
			chosen[i] +=
				strstr(links.names->str, vm_of(i).name) != NULL;
		g_string_free(links.names, TRUE);
		member_finish(&m);
	}
	/*
	 * 24 links to the 12 daemons of each zone, which the hash must spread.
	 */
	for (int i = ZONE_SIZE; i < 3 * ZONE_SIZE; i++)
		ck_assert_int_le(chosen[i], 7);
}
END_TEST

START_TEST(others_are_tried_when_the_chosen_do_not_answer)
{
	links_t links;
	member_t m;
	g_autofree char *first = NULL;

	setup(&m, 0);
	links = links_of(&m, 0);
	first = g_string_free(links.names, FALSE);
	/* The daemons chosen first, in every zone, never answer. */
	for (int64_t now = 0; now < 100; now += 5)
		answer(&m, first, now);
	links = links_of(&m, 100);
	ck_assert_int_eq(links.n[1], MEMBER_ZONE_LINKS + MEMBER_ZONE_LINKS);
	ck_assert_int_eq(links.n[2], MEMBER_ZONE_LINKS + MEMBER_ZONE_LINKS);
	g_string_free(links.names, TRUE);
	/* They answer again: the links to the others are closed. */
	for (int64_t now = 100; now < 150; now += 5)
		answer(&m, "", now);
	links = links_of(&m, 150);
	ck_assert_str_eq(links.names->str, first);
	g_string_free(links.names, TRUE);
	member_finish(&m);
}
END_TEST

START_TEST(links_to_a_partitioned_zone_are_bounded)
{
	g_autoptr(GString) down = g_string_new(NULL);
	links_t links;
	member_t m;

	for (int i = ZONE_SIZE; i < 2 * ZONE_SIZE; i++)
		g_string_append_printf(down, "%s ", vm_of(i).name);
	setup(&m, 0);
	for (int64_t now = 0; now < 200; now += 5)
		answer(&m, now < 50 ? "" : down->str, now);
	links = links_of(&m, 200);
	ck_assert_int_eq(links.n[1], MEMBER_MAX_ZONE_LINKS);
	ck_assert_int_eq(links.n[2], MEMBER_ZONE_LINKS);
	g_string_free(links.names, TRUE);
	member_finish(&m);
}
END_TEST

START_TEST(host_of_a_dispatcher_is_linked_on_demand)
{
	int n_found = 0;
	member_vm_t vm, again;
	links_t links;
	member_t m;

	setup(&m, 0);
	answer(&m, "", 0);
	for (uint32_t group = 0; group < 8; group++) {
		bool is_linked = member_zone_host(&m, zones[1], STR_LIT("s"),
						  group, 1, &vm);

		links = links_of(&m, 1);
		ck_assert_ptr_nonnull(strstr(links.names->str, vm.name));
		g_string_free(links.names, TRUE);
		n_found += is_linked;
		answer(&m, "", 2);
		ck_assert(member_zone_host(&m, zones[1], STR_LIT("s"), group, 2,
					   &again));
		ck_assert_str_eq(again.name, vm.name);
	}
	ck_assert_int_lt(n_found, 8);
	/* A link that is unused for long is closed. */
	for (int64_t now = 3; now < 400; now += 3)
		answer(&m, "", now);
	links = links_of(&m, 400);
	ck_assert_int_eq(links.n[1], MEMBER_ZONE_LINKS);
	ck_assert_int_eq(n_probes, 0);
	g_string_free(links.names, TRUE);
	member_finish(&m);
}
END_TEST

START_TEST(all_zones_agree_on_the_host)
{
	member_vm_t own, remote;
	member_t a, b;

	setup(&a, 0);
	setup(&b, ZONE_SIZE);
	for (int64_t now = 0; now < 4; now++) {
		answer(&a, "", now);
		answer(&b, "", now);
	}
	for (uint32_t group = 0; group < 16; group++) {
		member_zone_host(&a, zones[1], STR_LIT("s"), group, 5, &remote);
		ck_assert(member_zone_host(&b, zones[1], STR_LIT("s"), group, 5,
					   &own));
		ck_assert_str_eq(own.name, remote.name);
	}
	member_finish(&a);
	member_finish(&b);
}
END_TEST

SUITE_MAIN("member_link", links_to_whole_own_zone_and_two_of_each_other,
	   links_are_spread_over_the_zone,
	   others_are_tried_when_the_chosen_do_not_answer,
	   links_to_a_partitioned_zone_are_bounded,
	   host_of_a_dispatcher_is_linked_on_demand,
	   all_zones_agree_on_the_host)
