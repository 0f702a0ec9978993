#include "tests/lib_fault.h"

#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "standin/lib_fetch.h"

enum { LEAVE_LIMIT_MS = 3000 /* latest new request after the leave began */ };

cluster_node_t *fault_daemon_at(case_run_t *r, int zone, int slot)
{
	return &r->cluster.zones[zone].daemons[slot];
}

cluster_node_t *fault_runner_at(case_run_t *r, int zone, cluster_runner_t kind)
{
	return &r->cluster.zones[zone].runners[kind];
}

void fault_set_faults(case_run_t *r, const char *address, const char *switches)
{
	if (!fetch_set_faults(address, switches))
		case_fail(r, "fault switches of %s were not set", address);
}

void fault_set_platform(case_run_t *r, const char *switches)
{
	fault_set_faults(r, r->cluster.platform.address, switches);
}

void fault_set_runners(case_run_t *r, cluster_runner_t kind,
		       const char *switches)
{
	for (int z = 0; z < CLUSTER_ZONES; z++)
		fault_set_faults(r, fault_runner_at(r, z, kind)->address,
				 switches);
}

void fault_kill_engine(case_run_t *r)
{
	process_kill(&fault_runner_at(r, 0, CLUSTER_ENGINE)->process);
}

void fault_slow_runners(case_run_t *r)
{
	fault_set_faults(r, fault_runner_at(r, 0, CLUSTER_ENGINE)->address,
			 "{\"slow\":10}");
	fault_set_faults(r, fault_runner_at(r, 0, CLUSTER_BOOKING)->address,
			 "{\"slow\":10}");
}

void fault_stop_slowing(case_run_t *r)
{
	fault_set_runners(r, CLUSTER_ENGINE, "{\"slow\":1}");
	fault_set_runners(r, CLUSTER_BOOKING, "{\"slow\":1}");
}

void fault_leave_by_list(case_run_t *r)
{
	for (int i = 0; i < CLUSTER_RUNNERS; i++)
		fault_runner_at(r, 0, (cluster_runner_t)i)->is_leaving = true;
	case_expect(r, cluster_send_vms(&r->cluster),
		    "the platform did not accept the VM list");
}

void fault_leave_by_report(case_run_t *r)
{
	for (int i = 0; i < CLUSTER_RUNNERS; i++)
		fault_set_faults(
			r, fault_runner_at(r, 0, (cluster_runner_t)i)->address,
			"{\"leaving\":true}");
}

/* Needs a load that still runs LEAVE_LIMIT_MS after the leave began. */
void fault_check_leaving(case_run_t *r)
{
	for (int i = 0; i < CLUSTER_RUNNERS; i++) {
		const cluster_node_t *n =
			fault_runner_at(r, 0, (cluster_runner_t)i);
		json_t *oracle = fetch_json(n->address, "/standin/oracle");
		int64_t last = json_integer_value(
			json_object_get(oracle, "last_run_ms"));

		json_decref(oracle);
		case_expect(r, last > 0,
			    "a leaving runner never got a request");
		if (last > r->fault_begin_ms + LEAVE_LIMIT_MS)
			case_fail(
				r,
				"%s got a request %lld ms after it began to leave",
				n->name, (long long)(last - r->fault_begin_ms));
	}
}

void fault_silence_upstreams(case_run_t *r)
{
	for (int i = 0; i < CLUSTER_RUNNERS; i++)
		fault_set_runners(r, (cluster_runner_t)i, "{\"silence\":true}");
}

void fault_answer_late(case_run_t *r)
{
	for (int i = 0; i < CLUSTER_RUNNERS; i++)
		fault_set_runners(r, (cluster_runner_t)i, "{\"delay_ms\":700}");
}

void fault_answer_in_time(case_run_t *r)
{
	for (int i = 0; i < CLUSTER_RUNNERS; i++)
		fault_set_runners(r, (cluster_runner_t)i, "{\"delay_ms\":0}");
}

void fault_cut_answers(case_run_t *r)
{
	fault_set_runners(r, CLUSTER_ENGINE, "{\"cut_after\":3}");
	fault_set_runners(r, CLUSTER_LOOKUP, "{\"cut_after\":1}");
	fault_set_runners(r, CLUSTER_BOOKING, "{\"close_after_run\":20}");
}

/* Streams break after 20 chunks; three resumptions deliver the rest. */
void fault_cut_streams(case_run_t *r)
{
	fault_set_runners(r, CLUSTER_ENGINE, "{\"cut_after\":20}");
}

void fault_check_streams_whole(case_run_t *r)
{
	const char *id;
	json_t *entry;

	json_object_foreach (json_object_get(r->result, "calls"), id, entry) {
		const char *outcome =
			json_string_value(json_object_get(entry, "outcome"));

		if (strcmp(json_string_value(json_object_get(entry, "tier")),
			   "drafts"))
			continue;
		/*
		 * A call that waited too long for a slow engine may be refused.
		 */
		if (strcmp(outcome, "completed") && strcmp(outcome, "not-run"))
			case_fail(r, "%s: %s: %s", id, outcome,
				  json_string_value(
					  json_object_get(entry, "reason")));
	}
}

void fault_stop_cutting(case_run_t *r)
{
	fault_set_runners(r, CLUSTER_ENGINE, "{\"cut_after\":0}");
	fault_set_runners(r, CLUSTER_LOOKUP, "{\"cut_after\":0}");
	fault_set_runners(r, CLUSTER_BOOKING, "{\"close_after_run\":0}");
}

void fault_hang_runners(case_run_t *r)
{
	for (int i = 0; i < CLUSTER_RUNNERS; i++)
		fault_set_faults(
			r, fault_runner_at(r, 0, (cluster_runner_t)i)->address,
			"{\"hang\":true}");
}

void fault_refuse_connections(case_run_t *r)
{
	for (int i = 0; i < CLUSTER_RUNNERS; i++)
		fault_set_faults(
			r, fault_runner_at(r, 0, (cluster_runner_t)i)->address,
			"{\"refuse_ms\":2000}");
}

void fault_stop_hanging(case_run_t *r)
{
	for (int i = 0; i < CLUSTER_RUNNERS; i++)
		fault_set_faults(
			r, fault_runner_at(r, 0, (cluster_runner_t)i)->address,
			"{\"hang\":false}");
}

void fault_fail_runs(case_run_t *r)
{
	fault_set_runners(r, CLUSTER_ENGINE, "{\"status\":503}");
	fault_set_runners(r, CLUSTER_BOOKING, "{\"fail_after_run\":20}");
}

void fault_stop_failing(case_run_t *r)
{
	fault_set_runners(r, CLUSTER_ENGINE, "{\"status\":0}");
	fault_set_runners(r, CLUSTER_BOOKING, "{\"fail_after_run\":0}");
}

void fault_kill_and_silence(case_run_t *r)
{
	fault_kill_dispatcher(r);
	fault_silence_upstreams(r);
}

void fault_check_some_refused(case_run_t *r)
{
	case_expect(r, case_count(r, "not-run") > 0,
		    "no call was refused, so the load was no overload");
}

void fault_check_some_left(case_run_t *r)
{
	case_expect(r, case_count(r, "left") > 0,
		    "no caller closed its connection early");
}
