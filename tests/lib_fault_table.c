#include "tests/lib_fault_table.h"

#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "standin/lib_fetch.h"

enum {
	LEAVE_LIMIT_MS = 3000, /* from leaving to the last new work */
	DRAIN_LIMIT_MS = 20000,
	OPERATORS = 4,
};

static cluster_node_t *daemon_at(case_run_t *r, int zone, int slot)
{
	return &r->cluster.zones[zone].daemons[slot];
}

static cluster_node_t *runner_at(case_run_t *r, int zone, cluster_runner_t kind)
{
	return &r->cluster.zones[zone].runners[kind];
}

static void set_faults(case_run_t *r, const char *address, const char *switches)
{
	if (!fetch_set_faults(address, switches))
		case_fail(r, "switches of %s", address);
}

static void set_platform(case_run_t *r, const char *switches)
{
	set_faults(r, r->cluster.platform.address, switches);
}

static void set_runners(case_run_t *r, cluster_runner_t kind,
			const char *switches)
{
	for (int z = 0; z < CLUSTER_ZONES; z++)
		set_faults(r, runner_at(r, z, kind)->address, switches);
}

/* Picks any daemon, by the seed. */
static void pick_victim(case_run_t *r)
{
	r->victim_zone = (int)(r->seed % CLUSTER_ZONES);
	r->victim_slot = (int)(r->seed / CLUSTER_ZONES % CLUSTER_DAEMONS);
}

static void pick_dispatcher(case_run_t *r)
{
	static const char *const services[] = { "itinerary-model",
						"booking-desk" };

	r->victim_zone = (int)(r->seed % CLUSTER_ZONES);
	r->victim_slot = case_find_dispatcher(
		r, r->victim_zone, services[r->seed / CLUSTER_ZONES % 2]);
}

static void kill_victim(case_run_t *r)
{
	process_kill(&daemon_at(r, r->victim_zone, r->victim_slot)->process);
}

static void kill_any(case_run_t *r)
{
	pick_victim(r);
	kill_victim(r);
}

static void kill_dispatcher(case_run_t *r)
{
	pick_dispatcher(r);
	kill_victim(r);
}

static void start_victim(case_run_t *r)
{
	r->versions[r->victim_zone][r->victim_slot] = 0;
	case_expect(r,
		    cluster_start_daemon(&r->cluster, r->victim_zone,
					 r->victim_slot),
		    "the daemon does not start again");
}

static void kill_two(case_run_t *r)
{
	kill_any(r);
	process_kill(&daemon_at(r, 1 - r->victim_zone,
				(r->victim_slot + 1) % CLUSTER_DAEMONS)
			      ->process);
}

static void stop_any(case_run_t *r)
{
	pick_victim(r);
	process_signal(&daemon_at(r, r->victim_zone, r->victim_slot)->process,
		       SIGSTOP);
}

static void stop_dispatcher(case_run_t *r)
{
	pick_dispatcher(r);
	process_signal(&daemon_at(r, r->victim_zone, r->victim_slot)->process,
		       SIGSTOP);
}

static void continue_victim(case_run_t *r)
{
	process_signal(&daemon_at(r, r->victim_zone, r->victim_slot)->process,
		       SIGCONT);
}

static void set_links(case_run_t *r, const char *switches)
{
	case_expect(r, cluster_fault_links(&r->cluster, 0, switches),
		    "switches of the links between zones");
}

static void cut_zone(case_run_t *r)
{
	set_links(r, "{\"cut\":true}");
}

static void blackhole_zone(case_run_t *r)
{
	set_links(r, "{\"blackhole\":true}");
}

static void heal_zone(case_run_t *r)
{
	set_links(r, "{\"cut\":false,\"blackhole\":false}");
}

static void cut_platform(case_run_t *r)
{
	set_faults(r, r->cluster.zones[0].platform_relay.address,
		   "{\"blackhole\":true}");
}

static void heal_platform(case_run_t *r)
{
	set_faults(r, r->cluster.zones[0].platform_relay.address,
		   "{\"blackhole\":false}");
}

static void cut_both(case_run_t *r)
{
	blackhole_zone(r);
	cut_platform(r);
}

static void heal_both(case_run_t *r)
{
	heal_zone(r);
	heal_platform(r);
	case_publish(r);
}

static void log_down(case_run_t *r)
{
	set_platform(r, "{\"log_outage\":true}");
}

static void platform_down(case_run_t *r)
{
	set_platform(r, "{\"outage\":true}");
}

static void platform_slow(case_run_t *r)
{
	set_platform(r, "{\"delay_ms\":600}");
}

static void platform_up(case_run_t *r)
{
	set_platform(r, "{\"outage\":false,\"log_outage\":false,"
			"\"delay_ms\":0}");
	case_publish(r);
}

static void lose_answers(case_run_t *r)
{
	set_platform(r, "{\"lose_answers\":3}");
}

static void race_operators(case_run_t *r)
{
	g_autofree char *base =
		g_strdup_printf("%lld", (long long)case_version_at(r, 0, 0));
	process_t operators[OPERATORS];
	int accepted = 0, superseded = 0;

	for (int i = 0; i < OPERATORS; i++)
		if (!cluster_publish_start(&r->cluster, &operators[i],
					   "profile/lakeshore", "profile.json",
					   base))
			case_fail(r, "an operator does not start");
	for (int i = 0; i < OPERATORS && !r->reason[0]; i++) {
		g_autofree char *output = NULL;

		cluster_publish_end(&operators[i], &output);
		accepted += g_str_has_prefix(output, "accepted ");
		superseded += g_str_has_prefix(output, "superseded");
	}
	if (accepted != 1 || superseded != OPERATORS - 1)
		case_fail(r, "%d accepted and %d superseded", accepted,
			  superseded);
}

static void kill_engine(case_run_t *r)
{
	process_kill(&runner_at(r, 0, CLUSTER_ENGINE)->process);
}

static void slow_runners(case_run_t *r)
{
	set_faults(r, runner_at(r, 0, CLUSTER_ENGINE)->address,
		   "{\"slow\":10}");
	set_faults(r, runner_at(r, 0, CLUSTER_BOOKING)->address,
		   "{\"slow\":10}");
}

static void speed_up_runners(case_run_t *r)
{
	set_runners(r, CLUSTER_ENGINE, "{\"slow\":1}");
	set_runners(r, CLUSTER_BOOKING, "{\"slow\":1}");
}

static void leave_by_list(case_run_t *r)
{
	for (int i = 0; i < CLUSTER_RUNNERS; i++)
		runner_at(r, 0, (cluster_runner_t)i)->is_leaving = true;
	case_expect(r, cluster_send_vms(&r->cluster), "the VM list");
}

static void leave_by_report(case_run_t *r)
{
	for (int i = 0; i < CLUSTER_RUNNERS; i++)
		set_faults(r, runner_at(r, 0, (cluster_runner_t)i)->address,
			   "{\"leaving\":true}");
}

/* The load goes on for long enough after the runners began to leave. */
static void check_leaving(case_run_t *r)
{
	for (int i = 0; i < CLUSTER_RUNNERS; i++) {
		const cluster_node_t *n = runner_at(r, 0, (cluster_runner_t)i);
		json_t *oracle = fetch_json(n->address, "/standin/oracle");
		int64_t last = json_integer_value(
			json_object_get(oracle, "last_run_ms"));

		json_decref(oracle);
		case_expect(r, last > 0,
			    "a runner that is to leave had no work");
		if (last > r->began_ms + LEAVE_LIMIT_MS)
			case_fail(r, "%s got work %lld ms after it left",
				  n->name, (long long)(last - r->began_ms));
	}
}

static void silence_upstreams(case_run_t *r)
{
	for (int i = 0; i < CLUSTER_RUNNERS; i++)
		set_runners(r, (cluster_runner_t)i, "{\"silence\":true}");
}

static void silence_peers(case_run_t *r)
{
	set_links(r, "{\"silence\":true}");
	for (int z = 0; z < CLUSTER_ZONES; z++)
		case_expect(r,
			    cluster_fault_zone(&r->cluster, z,
					       "{\"silence\":true}"),
			    "switches of a zone's links");
}

/* Answers are held back, so that there are callers who wait. */
static void silence_callers(case_run_t *r)
{
	set_runners(r, CLUSTER_BOOKING, "{\"delay_ms\":200}");
	g_usleep(150000);
	set_faults(r, r->cluster.caller_relay.address, "{\"silence\":true}");
	set_runners(r, CLUSTER_BOOKING, "{\"delay_ms\":0}");
}

static void silence_platform(case_run_t *r)
{
	/* Answers are held back, so that every link has one open. */
	set_platform(r, "{\"delay_ms\":300}");
	g_usleep(250000);
	for (int z = 0; z < CLUSTER_ZONES; z++)
		set_faults(r, r->cluster.zones[z].platform_relay.address,
			   "{\"silence\":true}");
	set_platform(r, "{\"delay_ms\":0}");
}

static void answer_late(case_run_t *r)
{
	for (int i = 0; i < CLUSTER_RUNNERS; i++)
		set_runners(r, (cluster_runner_t)i, "{\"delay_ms\":700}");
}

static void answer_in_time(case_run_t *r)
{
	for (int i = 0; i < CLUSTER_RUNNERS; i++)
		set_runners(r, (cluster_runner_t)i, "{\"delay_ms\":0}");
}

static void cut_short(case_run_t *r)
{
	set_runners(r, CLUSTER_ENGINE, "{\"cut_after\":3}");
	set_runners(r, CLUSTER_LOOKUP, "{\"cut_after\":1}");
	set_runners(r, CLUSTER_BOOKING, "{\"close_after_run\":20}");
}

static void answer_whole(case_run_t *r)
{
	set_runners(r, CLUSTER_ENGINE, "{\"cut_after\":0}");
	set_runners(r, CLUSTER_LOOKUP, "{\"cut_after\":0}");
	set_runners(r, CLUSTER_BOOKING, "{\"close_after_run\":0}");
}

static void hang_runners(case_run_t *r)
{
	for (int i = 0; i < CLUSTER_RUNNERS; i++)
		set_faults(r, runner_at(r, 0, (cluster_runner_t)i)->address,
			   "{\"hang\":true}");
}

static void refuse_connections(case_run_t *r)
{
	for (int i = 0; i < CLUSTER_RUNNERS; i++)
		set_faults(r, runner_at(r, 0, (cluster_runner_t)i)->address,
			   "{\"refuse_ms\":2000}");
}

static void wake_runners(case_run_t *r)
{
	for (int i = 0; i < CLUSTER_RUNNERS; i++)
		set_faults(r, runner_at(r, 0, (cluster_runner_t)i)->address,
			   "{\"hang\":false}");
}

static void fail_runs(case_run_t *r)
{
	set_runners(r, CLUSTER_ENGINE, "{\"status\":503}");
	set_runners(r, CLUSTER_BOOKING, "{\"fail_after_run\":20}");
}

static void stop_failing(case_run_t *r)
{
	set_runners(r, CLUSTER_ENGINE, "{\"status\":0}");
	set_runners(r, CLUSTER_BOOKING, "{\"fail_after_run\":0}");
}

/* SIGTERM, and the VM list says that the daemon leaves. */
static void begin_drain(case_run_t *r, int zone, int slot)
{
	daemon_at(r, zone, slot)->is_leaving = true;
	process_signal(&daemon_at(r, zone, slot)->process, SIGTERM);
}

static void await_drain(case_run_t *r, int zone, int slot)
{
	cluster_node_t *n = daemon_at(r, zone, slot);
	int status = process_wait(&n->process, DRAIN_LIMIT_MS);

	n->is_listed = false;
	if (status)
		case_fail(r, "%s drained with exit status %d", n->name, status);
}

static void drain_any(case_run_t *r)
{
	pick_victim(r);
	begin_drain(r, r->victim_zone, r->victim_slot);
	case_expect(r, cluster_send_vms(&r->cluster), "the VM list");
}

static void drain_dispatcher(case_run_t *r)
{
	pick_dispatcher(r);
	begin_drain(r, r->victim_zone, r->victim_slot);
	case_expect(r, cluster_send_vms(&r->cluster), "the VM list");
}

static void check_drained(case_run_t *r)
{
	await_drain(r, r->victim_zone, r->victim_slot);
	case_expect(r, cluster_send_vms(&r->cluster), "the VM list");
}

static void start_spares(case_run_t *r)
{
	for (int i = CLUSTER_DAEMONS; i < CLUSTER_SLOTS; i++) {
		daemon_at(r, 0, i)->is_listed = true;
		case_expect(r, cluster_start_daemon(&r->cluster, 0, i),
			    "a new daemon does not start");
	}
	case_expect(r, cluster_send_vms(&r->cluster), "the VM list");
}

static void replace_zone(case_run_t *r)
{
	start_spares(r);
	for (int i = CLUSTER_DAEMONS; i < CLUSTER_SLOTS; i++)
		case_expect(r, cluster_await_ready(&r->cluster, 0, i),
			    "a new daemon is not ready");
	for (int i = 0; i < CLUSTER_DAEMONS; i++)
		begin_drain(r, 0, i);
	case_expect(r, cluster_send_vms(&r->cluster), "the VM list");
}

static void check_replaced(case_run_t *r)
{
	for (int i = 0; i < CLUSTER_DAEMONS; i++)
		await_drain(r, 0, i);
	case_expect(r, cluster_send_vms(&r->cluster), "the VM list");
}

static void kill_zone(case_run_t *r)
{
	for (int i = 0; i < CLUSTER_DAEMONS; i++)
		process_kill(&daemon_at(r, 0, i)->process);
}

static void renew_zone(case_run_t *r)
{
	for (int i = 0; i < CLUSTER_DAEMONS; i++)
		daemon_at(r, 0, i)->is_listed = false;
	start_spares(r);
	for (int i = CLUSTER_DAEMONS; i < CLUSTER_SLOTS; i++)
		case_expect(r, cluster_await_ready(&r->cluster, 0, i),
			    "a new daemon is not ready");
	case_publish(r);
}

static void kill_with_log_down(case_run_t *r)
{
	log_down(r);
	kill_any(r);
}

static void restart_with_log_down(case_run_t *r)
{
	/* It has to learn the profile from its peers. */
	start_victim(r);
	case_expect(r,
		    cluster_await_ready(&r->cluster, r->victim_zone,
					r->victim_slot),
		    "a daemon started with the log down is not ready");
	set_platform(r, "{\"log_outage\":false}");
}

static void stop_and_cut(case_run_t *r)
{
	stop_any(r);
	cut_zone(r);
}

static void continue_and_heal(case_run_t *r)
{
	continue_victim(r);
	heal_zone(r);
}

static void kill_and_silence(case_run_t *r)
{
	kill_dispatcher(r);
	silence_upstreams(r);
}

static void check_some_refused(case_run_t *r)
{
	case_expect(r, case_count(r, "not-run") > 0,
		    "an overload that refused nothing shows nothing");
}

static void check_some_left(case_run_t *r)
{
	case_expect(r, case_count(r, "left") > 0, "no caller left");
}

const fault_case_t fault_table[] = {
	{ .name = "no-fault",
	  .flags = CASE_NO_CUT | CASE_PUBLISH | CASE_ALL_WHOLE },
	{ .name = "kill-any",
	  .flags = CASE_PUBLISH,
	  .begin = kill_any,
	  .end = start_victim },
	{ .name = "kill-dispatcher",
	  .begin = kill_dispatcher,
	  .end = start_victim },
	{ .name = "kill-two", .flags = CASE_PUBLISH, .begin = kill_two },
	{ .name = "pause-any", .begin = stop_any, .end = continue_victim },
	{ .name = "pause-dispatcher",
	  .begin = stop_dispatcher,
	  .end = continue_victim },
	{ .name = "cut-zone",
	  .flags = CASE_PUBLISH,
	  .begin = cut_zone,
	  .end = heal_zone },
	{ .name = "blackhole-zone",
	  .flags = CASE_PUBLISH,
	  .begin = blackhole_zone,
	  .end = heal_zone },
	{ .name = "cut-platform",
	  .flags = CASE_PUBLISH | CASE_ALL_WHOLE,
	  .begin = cut_platform,
	  .end = heal_platform },
	{ .name = "cut-both", .begin = cut_both, .end = heal_both },
	{ .name = "log-down",
	  .flags = CASE_ALL_WHOLE,
	  .begin = log_down,
	  .end = platform_up },
	{ .name = "platform-down",
	  .flags = CASE_ALL_WHOLE,
	  .begin = platform_down,
	  .end = platform_up },
	{ .name = "platform-slow",
	  .flags = CASE_ALL_WHOLE,
	  .begin = platform_slow,
	  .end = platform_up },
	{ .name = "log-answers-lost",
	  .flags = CASE_PUBLISH | CASE_ALL_WHOLE,
	  .begin = lose_answers },
	{ .name = "operators-race",
	  .flags = CASE_ALL_WHOLE,
	  .begin = race_operators },
	{ .name = "runner-killed", .begin = kill_engine },
	{ .name = "runner-slow",
	  .begin = slow_runners,
	  .end = speed_up_runners },
	{ .name = "runner-leaves-by-list",
	  .flags = CASE_NO_CUT,
	  .begin = leave_by_list,
	  .check = check_leaving,
	  .seconds = 8 },
	{ .name = "runner-leaves-by-report",
	  .flags = CASE_NO_CUT,
	  .begin = leave_by_report,
	  .check = check_leaving,
	  .seconds = 8 },
	{ .name = "runner-hangs", .begin = hang_runners, .end = wake_runners },
	{ .name = "runner-refuses", .begin = refuse_connections },
	{ .name = "runner-fails", .begin = fail_runs, .end = stop_failing },
	{ .name = "silent-upstreams", .begin = silence_upstreams },
	{ .name = "silent-peers", .begin = silence_peers },
	{ .name = "silent-platform",
	  .flags = CASE_PUBLISH | CASE_ALL_WHOLE,
	  .begin = silence_platform },
	{ .name = "silent-callers",
	  .flags = CASE_ALL_WHOLE,
	  .begin = silence_callers,
	  .load_args = "--patience-ms 900",
	  .mix = "held.json",
	  .is_relayed = true },
	{ .name = "late-answers",
	  .flags = CASE_NO_CUT,
	  .begin = answer_late,
	  .end = answer_in_time },
	{ .name = "cut-answers", .begin = cut_short, .end = answer_whole },
	{ .name = "cut-streams-resumed",
	  .begin = cut_short,
	  .end = answer_whole,
	  .engine_args = "--linger-ms 3000" },
	{ .name = "callers-leave",
	  .flags = CASE_NO_CUT,
	  .check = check_some_left,
	  .load_args = "--leave-share 0.3 --slow-share 0.2" },
	{ .name = "drain-any",
	  .flags = CASE_NO_CUT,
	  .begin = drain_any,
	  .check = check_drained,
	  .mix = "tickets.json" },
	{ .name = "drain-dispatcher",
	  .flags = CASE_NO_CUT,
	  .begin = drain_dispatcher,
	  .check = check_drained,
	  .mix = "tickets.json" },
	{ .name = "drain-with-keys",
	  .flags = CASE_NO_CUT,
	  .begin = drain_any,
	  .check = check_drained },
	{ .name = "replace-zone",
	  .flags = CASE_NO_CUT,
	  .begin = replace_zone,
	  .check = check_replaced,
	  .mix = "tickets.json" },
	{ .name = "replace-zone-with-keys",
	  .flags = CASE_NO_CUT,
	  .begin = replace_zone,
	  .check = check_replaced },
	{ .name = "kill-zone", .begin = kill_zone, .end = renew_zone },
	{ .name = "kill-with-log-down",
	  .begin = kill_with_log_down,
	  .end = restart_with_log_down },
	{ .name = "pause-and-cut",
	  .begin = stop_and_cut,
	  .end = continue_and_heal },
	{ .name = "kill-and-silence",
	  .begin = kill_and_silence,
	  .end = start_victim },
	{ .name = "overload-order",
	  .flags = CASE_ORDER | CASE_NO_CUT,
	  .check = check_some_refused,
	  .mix = "order.json",
	  .desk_args = "--service-ms 60 --slots 4",
	  .rate = 220 },
	{ .name = "overload-order-engine",
	  .flags = CASE_ORDER,
	  .check = check_some_refused,
	  .mix = "order-engine.json",
	  .rate = 60 },
};

const size_t fault_table_size = G_N_ELEMENTS(fault_table);
