/*
 * Two hundred daemons of a zone start at once: the gossip of all of them
 * together must grow linearly with the size of the zone. If each daemon
 * gossiped about every other one, it would grow with the square.
 */
#include <glib.h>
#include <stdlib.h>

#include "core/member.h"
#include "tests/lib_suite.h"

enum { DAEMONS = 200, MAX_GOSSIP = 10 * DAEMONS, TIMEOUT_US = 2500000 };
enum { HOLDOFF_US = 60 * TIMEOUT_US, NOW_US = 100000000 };

static void on_probe(void *ctx, const member_vm_t *vm)
{
}

static void on_changed(void *ctx)
{
}

static member_vm_t daemon_vm(int i)
{
	member_vm_t vm = { .zone = "z" };

	g_snprintf(vm.name, sizeof(vm.name), "d%d", i);
	return vm;
}

static void count_gossip(void *ctx, const member_gossip_t *gossip)
{
	int *gossiped = ctx;

	gossiped[atoi(gossip->name.ptr + 1)]++;
}

/* Counts SELF's gossip about each daemon after heartbeats of all others. */
static void collect_gossip(int self, int *gossiped)
{
	static const member_config_t config = { TIMEOUT_US, HOLDOFF_US,
						TIMEOUT_US, 2 * DAEMONS };
	static const member_ops_t ops = { on_probe, on_changed };
	static const str_t zones[] = { STR_LIT("z") };
	member_vm_t vm = daemon_vm(self);
	member_t m;

	member_init(&m, &config, &vm, 1, zones, 1, &ops, NULL, 0);
	member_tick(&m, NOW_US);
	for (int i = 0; i < DAEMONS; i++) {
		member_vm_t other = daemon_vm(i);

		if (i != self)
			member_on_heartbeat(&m, &other, 1, false, NOW_US);
	}
	member_each_gossip(&m, count_gossip, gossiped, NOW_US);
	member_finish(&m);
}

START_TEST(only_a_few_gossip_about_each_new_daemon)
{
	int gossiped[DAEMONS] = { 0 };
	int all = 0;

	for (int i = 0; i < DAEMONS; i++)
		collect_gossip(i, gossiped);
	for (int i = 0; i < DAEMONS; i++) {
		ck_assert_int_ge(gossiped[i], 1);
		all += gossiped[i];
	}
	ck_assert_int_le(all, MAX_GOSSIP);
}
END_TEST

SUITE_MAIN("large_zone", only_a_few_gossip_about_each_new_daemon)
