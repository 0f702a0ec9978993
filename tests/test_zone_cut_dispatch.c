/*
 * A zone is cut off under load: its daemons and runners are silent for
 * seconds. Work goes on in the other zones at once: they agree on one host a
 * duty, leave the runners beyond the cut out, and hold nothing against runners
 * whose owners can't speak; requests on their way there go elsewhere if they
 * may.
 */
#include "core/member.h"
#include "tests/lib_bed.h"
#include "tests/lib_gateway.h"
#include "tests/lib_suite.h"

enum {
	N_ZONES = 3,
	N_ZONE = 4, /* daemons of each */
	N_ALL = N_ZONES * N_ZONE,
	DUTIES = 50,
	OTHER_OWNER = 8,
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

/* Daemon I as it sees all others alive. */
static void join(member_t *m, int i)
{
	static const member_config_t config = { 10 * SECOND, 100 * SECOND, 0,
						100 };
	static const member_ops_t ops = { NULL, NULL };
	member_vm_t self = vm_of(i);

	member_init(m, &config, &self, 1, zones, N_ZONES, &ops, NULL, 0);
	for (int n = 0; n < N_ALL; n++) {
		member_vm_t vm = vm_of(n);

		if (n != i)
			member_on_heartbeat(m, &vm, 1, false, 1);
	}
}

/* No answer comes from the daemons of ZONE. */
static void doubt_zone(member_t *m, int zone, bool is_unresponsive)
{
	for (int n = zone * N_ZONE; n < (zone + 1) * N_ZONE; n++)
		member_set_unresponsive(m, str_from(vm_of(n).name),
					is_unresponsive);
}

START_TEST(the_zones_that_are_left_agree_on_hosts)
{
	member_t members[N_ALL];

	for (int i = 0; i < N_ALL; i++)
		join(&members[i], i);
	for (int i = 0; i < 2 * N_ZONE; i++)
		doubt_zone(&members[i], 2, true);
	for (int i = 2 * N_ZONE; i < N_ALL; i++) {
		doubt_zone(&members[i], 0, true);
		doubt_zone(&members[i], 1, true);
	}
	for (int d = 0; d < DUTIES; d++) {
		g_autofree char *duty = g_strdup_printf("duty-%d", d);
		member_vm_t first = { .is_leaving = false };

		for (int i = 0; i < N_ALL; i++) {
			member_vm_t host;

			ck_assert(member_regional_host(
				&members[i], str_from(duty), 2, &host));
			if (i >= 2 * N_ZONE)
				ck_assert_str_eq(host.zone, "z2");
			else if (!first.name[0])
				first = host;
			else
				ck_assert_str_eq(host.name, first.name);
		}
		ck_assert_str_ne(first.zone, "z2");
	}
	for (int i = 0; i < N_ALL; i++)
		member_finish(&members[i]);
}
END_TEST

START_TEST(a_doubted_daemon_keeps_its_keys)
{
	member_t m;
	member_owner_t before, after;

	join(&m, 0);
	for (int k = 0; k < DUTIES; k++) {
		g_autofree char *key = g_strdup_printf("key-%d", k);

		member_key_owner(&m, str_from(key), zones[0], -1, 2, &before);
		doubt_zone(&m, 0, true);
		member_key_owner(&m, str_from(key), zones[0], -1, 2, &after);
		doubt_zone(&m, 0, false);
		ck_assert_int_eq(before.kind, after.kind);
		ck_assert_str_eq(before.vm.name, after.vm.name);
	}
	member_finish(&m);
}
END_TEST

static void set_cut_off(bed_t *bed, const char *name, bool is_cut_off)
{
	dispatcher_runner_t runner = { .is_partitioned = is_cut_off };

	g_strlcpy(runner.name, name, sizeof(runner.name));
	g_strlcpy(runner.address, "a", sizeof(runner.address));
	dispatcher_set_runner(&bed->d, &runner, bed->now);
}

START_TEST(runners_beyond_the_cut_get_no_work)
{
	static bed_t bed;

	bed = (bed_t){ 0 };
	bed_init(&bed, false);
	set_cut_off(&bed, "near", false);
	set_cut_off(&bed, "far", true);
	for (uint64_t a = 1; a < 20; a++) {
		bed_ask(&bed, a, 1, 1);
		ck_assert_int_eq(bed_kind(&bed, a), ANSWER_GRANT);
		ck_assert_str_eq(bed.answers[a].runner, "near");
		bed_done(&bed, a, DONE_COMPLETED);
	}
	set_cut_off(&bed, "far", false);
	bed_ask(&bed, 20, 1, 1);
	bed_ask(&bed, 21, 1, 1);
	ck_assert_str_ne(bed.answers[20].runner, bed.answers[21].runner);
	dispatcher_finish(&bed.d);
}
END_TEST

/* How many of an owner's calls a runner is given at once. */
static uint32_t room_after(bool is_silent)
{
	static bed_t bed;
	want_t want;
	uint32_t n;

	bed = (bed_t){ 0 };
	bed_init(&bed, false);
	bed_set_runner(&bed, "r", false);
	bed_ask(&bed, 1, 1, 1);
	bed_tick(&bed, 10 * MS);
	bed_done(&bed, 1, DONE_COMPLETED);
	for (uint64_t a = 2; a < 5; a++) {
		want = bed_make_want(&bed, a, 1, 1);
		want.id.owner = OTHER_OWNER;
		dispatcher_want(&bed.d, &want, bed.now);
	}
	if (is_silent)
		dispatcher_set_owner_unreachable(&bed.d, OTHER_OWNER, true,
						 bed.now);
	for (int i = 0; i < 20; i++)
		bed_tick(&bed, 50 * MS);
	n = bed_fill(&bed, 100);
	dispatcher_finish(&bed.d);
	return n;
}

START_TEST(a_silent_owner_speaks_against_no_runner)
{
	static bed_t bed;

	bed = (bed_t){ 0 };
	bed_init(&bed, false);
	bed_set_runner(&bed, "r", false);
	/* Its places are given back, and the runner keeps its health. */
	ck_assert_uint_eq(room_after(true), bed_fill(&bed, 100));
	ck_assert_uint_lt(room_after(false), room_after(true));
	dispatcher_finish(&bed.d);
}
END_TEST

START_TEST(what_a_silent_owner_asked_for_waits_no_longer)
{
	static bed_t bed;
	want_t want;

	bed = (bed_t){ 0 };
	bed_init_taken(&bed);
	want = bed_make_want(&bed, 2, 1, 1);
	want.id.owner = OTHER_OWNER;
	dispatcher_want(&bed.d, &want, bed.now);
	bed_ask(&bed, 3, 1, 1);
	dispatcher_set_owner_unreachable(&bed.d, OTHER_OWNER, true, bed.now);
	bed_done(&bed, 1, DONE_COMPLETED);
	ck_assert_int_eq(bed_kind(&bed, 2), ANSWER_NONE);
	ck_assert_int_eq(bed_kind(&bed, 3), ANSWER_GRANT);
	/* It asks anew once it is heard again. */
	dispatcher_set_owner_unreachable(&bed.d, OTHER_OWNER, false, bed.now);
	bed_done(&bed, 3, DONE_COMPLETED);
	ck_assert(!dispatcher_want_again(&bed.d, &want, bed.now));
	ck_assert_int_eq(bed_kind(&bed, 2), ANSWER_GRANT);
	dispatcher_finish(&bed.d);
}
END_TEST

static const reply_t mute[] = { { "", REPLY_MUTE }, {} };
static const reply_t ok[] = { { OK, REPLY_KEEP }, { OK, REPLY_KEEP }, {} };

/* Runner I of the bed is listed in zone "zI". */
static void list_runners(gateway_bed_t *bed)
{
	log_runner_t runners[BED_RUNNERS] = { 0 };
	message_t m = { .type = MESSAGE_VMS };

	for (int i = 0; i < BED_RUNNERS; i++) {
		g_strlcpy(runners[i].runner.name, bed->runners[i].name,
			  sizeof(runners[i].runner.name));
		g_strlcpy(runners[i].service, "s", sizeof(runners[i].service));
		g_snprintf(runners[i].zone, sizeof(runners[i].zone), "z%d", i);
	}
	m.vms = vm_view_new(NULL, 0, runners, BED_RUNNERS);
	supervisor_post(&bed->sup, TASK_FRONT, &m);
}

static void cut(gateway_bed_t *bed, const char *zone)
{
	message_t m = { .type = MESSAGE_ZONE_PARTITION,
			.contact.is_lost = true };

	g_strlcpy(m.contact.name, zone, sizeof(m.contact.name));
	supervisor_post(&bed->sup, TASK_FRONT, &m);
}

static void begin(gateway_bed_t *bed)
{
	gateway_bed_init(bed);
	gateway_bed_configure(bed);
	list_runners(bed);
	bed->runners[0].replies = mute;
	bed->runners[1].replies = ok;
}

START_TEST(what_may_run_twice_goes_elsewhere)
{
	gateway_bed_t bed;

	begin(&bed);
	gateway_send(&bed, 0, ASK("/safe/", "a"));
	gateway_await_count(&bed, &bed.runners[0].n_requests, 1);
	cut(&bed, "z0");
	gateway_await(&bed, 0, "200 OK");
	ck_assert_int_eq(bed.runners[1].n_requests, 1);
	gateway_bed_finish(&bed);
}
END_TEST

START_TEST(what_may_run_once_is_waited_for)
{
	gateway_bed_t bed;

	begin(&bed);
	gateway_send(&bed, 0, ASK("/once/", "a"));
	gateway_await_count(&bed, &bed.runners[0].n_requests, 1);
	cut(&bed, "z0");
	gateway_run(&bed, 100);
	ck_assert_int_eq(bed.runners[1].n_requests, 0);
	gateway_await(&bed, 0, "504 ");
	gateway_bed_finish(&bed);
}
END_TEST

START_TEST(a_grant_beyond_the_cut_is_given_back)
{
	gateway_bed_t bed;

	begin(&bed);
	cut(&bed, "z0");
	gateway_send(&bed, 0, ASK("/once/", "a"));
	gateway_await(&bed, 0, "200 OK");
	ck_assert_int_eq(bed.runners[0].n_requests, 0);
	ck_assert_int_eq(bed.runners[1].n_requests, 1);
	gateway_bed_finish(&bed);
}
END_TEST

SUITE_MAIN("zone_cut_dispatch", the_zones_that_are_left_agree_on_hosts,
	   a_doubted_daemon_keeps_its_keys, runners_beyond_the_cut_get_no_work,
	   a_silent_owner_speaks_against_no_runner,
	   what_a_silent_owner_asked_for_waits_no_longer,
	   what_may_run_twice_goes_elsewhere, what_may_run_once_is_waited_for,
	   a_grant_beyond_the_cut_is_given_back)
