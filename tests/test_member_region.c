/* Duties for all zones together, and who counts as alive across zones. */
#include <glib.h>

#include "core/member.h"
#include "tests/lib_suite.h"

enum {
	TIMEOUT = 10,
	SEEN = 6 * TIMEOUT, /* by then a cut is known */
	LATER = 10 * TIMEOUT,
	QUIET = 100,
	MEMORY = 300,
	FORGOTTEN = MEMORY + 2 * TIMEOUT,
	N_ZONES = 3,
	N_ZONE = 8, /* daemons of each zone */
	N_ALL = N_ZONES * N_ZONE,
	N_TWO = 2 * N_ZONE,
	DUTIES = 200,
};

static const str_t zones[] = { STR_LIT("z0"), STR_LIT("z1"), STR_LIT("z2") };

static member_vm_t vm_of(int i)
{
	member_vm_t vm = { .is_leaving = false };

	g_snprintf(vm.name, sizeof(vm.name), "d%02d", i);
	g_snprintf(vm.zone, sizeof(vm.zone), "z%d", i / N_ZONE);
	g_snprintf(vm.peer_address, sizeof(vm.peer_address), "10.0.0.%d:1", i);
	return vm;
}

static void setup(member_t *m, int self)
{
	static const member_config_t config = { TIMEOUT, QUIET, 0, 100 };
	static const member_ops_t ops = { NULL, NULL };
	member_vm_t vms[N_ALL];
	member_vm_t vm = vm_of(self);

	member_init(m, &config, &vm, 1, zones, N_ZONES, &ops, NULL, 0);
	for (int i = 0; i < N_ALL; i++)
		vms[i] = vm_of(i);
	member_set_list(m, vms, N_ALL, 0);
}

typedef struct answer {
	member_t *m;
	const char *cut; /* zones that don't answer, or "" */
	int64_t now;
} answer_t;

static void on_link(void *ctx, const member_vm_t *vm)
{
	answer_t *a = ctx;

	if (!strstr(a->cut, vm->zone))
		member_on_heartbeat(a->m, vm, 1, false, a->now);
}

/* Lets those that links are kept to answer; the others' probes fail. */
static void run(member_t *m, int64_t from, int64_t to, const char *cut)
{
	for (int64_t now = from; now <= to; now++) {
		answer_t a = { m, cut, now };

		member_each_link(m, on_link, &a, now);
		member_tick(m, now);
		for (int i = 0; i < N_ALL; i++) {
			member_vm_t vm = vm_of(i);

			if (strstr(cut, vm.zone))
				member_on_probe_result(m, str_from(vm.name),
						       false, now);
		}
	}
}

static char *host_of(member_t *m, const char *duty, int64_t now)
{
	member_vm_t vm;

	if (!member_regional_host(m, str_from(duty), now, &vm))
		return NULL;
	return g_strdup(vm.name);
}

START_TEST(all_zones_name_the_same_host)
{
	static const int selves[] = { 0, N_ZONE, N_ALL - 1 };
	member_t m[G_N_ELEMENTS(selves)];
	int own = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(selves); i++) {
		setup(&m[i], selves[i]);
		run(&m[i], 1, TIMEOUT, "");
	}
	for (int n = 0; n < DUTIES; n++) {
		g_autofree char *duty = g_strdup_printf("duty-%d", n);
		g_autofree char *first = NULL;

		for (size_t i = 0; i < G_N_ELEMENTS(selves); i++) {
			g_autofree char *host = NULL;

			/* The first time only asks for the link. */
			g_free(host_of(&m[i], duty, TIMEOUT));
			run(&m[i], TIMEOUT + 1, TIMEOUT + 1, "");
			host = host_of(&m[i], duty, TIMEOUT + 1);
			ck_assert_ptr_nonnull(host);
			if (first)
				ck_assert_str_eq(host, first);
			else
				first = g_strdup(host);
			ck_assert(member_is_regional_host(&m[i],
							  str_from(duty)) ==
				  !strcmp(host, vm_of(selves[i]).name));
			own += !strcmp(host, vm_of(selves[i]).name);
		}
	}
	/* Each of the three has its part, one in N_ALL. */
	ck_assert_int_gt(own, 0);
	for (size_t i = 0; i < G_N_ELEMENTS(selves); i++)
		member_finish(&m[i]);
}
END_TEST

START_TEST(a_zone_that_is_cut_off_has_hosts_of_its_own)
{
	member_t m;
	int64_t now = SEEN;

	setup(&m, 0);
	run(&m, 1, TIMEOUT, "");
	run(&m, TIMEOUT + 1, now, "z1 z2");
	for (int n = 0; n < DUTIES; n++) {
		g_autofree char *duty = g_strdup_printf("duty-%d", n);
		g_autofree char *host = host_of(&m, duty, now);

		ck_assert_ptr_nonnull(host);
		ck_assert_int_lt(atoi(host + 1), N_ZONE);
	}
	member_finish(&m);
}
END_TEST

/* A test that failed is enough for a duty: it need not be called dead. */
START_TEST(a_duty_leaves_a_cut_zone_before_its_daemons_count_as_dead)
{
	enum { SOON = 2 * TIMEOUT + 2 };
	member_t m;

	setup(&m, 0);
	run(&m, 1, TIMEOUT, "");
	run(&m, TIMEOUT + 1, SOON, "z1 z2");
	for (int n = 0; n < DUTIES; n++) {
		g_autofree char *duty = g_strdup_printf("duty-%d", n);
		g_autofree char *host = host_of(&m, duty, SOON);

		ck_assert_ptr_nonnull(host);
		ck_assert_int_lt(atoi(host + 1), N_ZONE);
	}
	member_finish(&m);
}
END_TEST

START_TEST(a_cut_zone_counts_as_known_while_it_is_remembered)
{
	member_t m;
	uint32_t live, known;

	setup(&m, 0);
	run(&m, 1, TIMEOUT, "");
	member_count(&m, MEMORY, TIMEOUT, &live, &known);
	ck_assert_uint_eq(live, N_ALL);
	ck_assert_uint_eq(known, N_ALL);
	run(&m, TIMEOUT + 1, LATER, "z2");
	member_count(&m, MEMORY, LATER, &live, &known);
	ck_assert_uint_eq(live, N_TWO);
	ck_assert_uint_eq(known, N_ALL);
	run(&m, LATER + 1, FORGOTTEN, "z2");
	member_count(&m, MEMORY, FORGOTTEN, &live, &known);
	ck_assert_uint_eq(live, N_TWO);
	ck_assert_uint_eq(known, N_TWO);
	member_finish(&m);
}
END_TEST

/* It may have started behind a cut. */
START_TEST(a_zone_that_was_never_heard_counts_as_known_at_first)
{
	member_t m;
	uint32_t live, known;

	setup(&m, 0);
	run(&m, 1, SEEN, "z1 z2");
	member_count(&m, MEMORY, SEEN, &live, &known);
	ck_assert_uint_eq(live, N_ZONE);
	ck_assert_uint_eq(known, N_ALL);
	member_finish(&m);
}
END_TEST

SUITE_MAIN("member_region", all_zones_name_the_same_host,
	   a_zone_that_is_cut_off_has_hosts_of_its_own,
	   a_duty_leaves_a_cut_zone_before_its_daemons_count_as_dead,
	   a_cut_zone_counts_as_known_while_it_is_remembered,
	   a_zone_that_was_never_heard_counts_as_known_at_first)
