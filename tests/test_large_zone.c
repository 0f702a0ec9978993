/*
 * A zone of two hundred daemons that all start at once: what they tell of
 * each other grows with the zone, not with its square for each of them.
 */
#include <glib.h>
#include <stdlib.h>

#include "core/member.h"
#include "tests/lib_suite.h"

enum { DAEMONS = 200, MOST_TOLD = 10 * DAEMONS, TIMEOUT_US = 2500000 };
enum { QUIET_US = 60 * TIMEOUT_US, NOW = 100000000 };

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

static void count_told(void *ctx, const member_gossip_t *gossip)
{
	int *told = ctx;

	told[atoi(gossip->name.ptr + 1)]++;
}

/* What daemon SELF tells once it has heard all others. */
static void tell(int self, int *told)
{
	static const member_config_t config = { TIMEOUT_US, QUIET_US,
						TIMEOUT_US, 2 * DAEMONS };
	static const member_ops_t ops = { on_probe, on_changed };
	static const str_t zones[] = { STR_LIT("z") };
	member_vm_t vm = daemon_vm(self);
	member_t m;

	member_init(&m, &config, &vm, 1, zones, 1, &ops, NULL, 0);
	member_tick(&m, NOW);
	for (int i = 0; i < DAEMONS; i++) {
		member_vm_t other = daemon_vm(i);

		if (i != self)
			member_on_heartbeat(&m, &other, 1, false, NOW);
	}
	member_each_gossip(&m, count_told, told, NOW);
	member_finish(&m);
}

START_TEST(a_few_tell_of_each_new_daemon)
{
	int told[DAEMONS] = { 0 };
	int all = 0;

	for (int i = 0; i < DAEMONS; i++)
		tell(i, told);
	for (int i = 0; i < DAEMONS; i++) {
		ck_assert_int_ge(told[i], 1);
		all += told[i];
	}
	ck_assert_int_le(all, MOST_TOLD);
}
END_TEST

SUITE_MAIN("large_zone", a_few_tell_of_each_new_daemon)
