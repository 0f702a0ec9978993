#include "tests/lib_fault.h"

#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "standin/lib_fetch.h"

enum { DRAIN_LIMIT_MS = 20000 };

/* Selects a daemon by the seed. */
static void pick_victim(case_run_t *r)
{
	r->victim_zone = (int)(r->seed % CLUSTER_ZONES);
	r->victim_slot = (int)(r->seed / CLUSTER_ZONES % CLUSTER_DAEMONS);
}

/* Selects the dispatcher of a service; zone and service depend on the seed. */
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
	process_kill(
		&fault_daemon_at(r, r->victim_zone, r->victim_slot)->process);
}

void fault_kill_any(case_run_t *r)
{
	pick_victim(r);
	kill_victim(r);
}

void fault_kill_dispatcher(case_run_t *r)
{
	pick_dispatcher(r);
	kill_victim(r);
}

void fault_start_victim(case_run_t *r)
{
	r->versions[r->victim_zone][r->victim_slot] = 0;
	case_expect(r,
		    cluster_start_daemon(&r->cluster, r->victim_zone,
					 r->victim_slot),
		    "the daemon did not start again");
}

void fault_kill_two(case_run_t *r)
{
	fault_kill_any(r);
	process_kill(&fault_daemon_at(r, 1 - r->victim_zone,
				      (r->victim_slot + 1) % CLUSTER_DAEMONS)
			      ->process);
}

void fault_pause_any(case_run_t *r)
{
	pick_victim(r);
	process_signal(
		&fault_daemon_at(r, r->victim_zone, r->victim_slot)->process,
		SIGSTOP);
}

void fault_pause_dispatcher(case_run_t *r)
{
	pick_dispatcher(r);
	process_signal(
		&fault_daemon_at(r, r->victim_zone, r->victim_slot)->process,
		SIGSTOP);
}

void fault_resume_victim(case_run_t *r)
{
	process_signal(
		&fault_daemon_at(r, r->victim_zone, r->victim_slot)->process,
		SIGCONT);
}

/* Sends SIGTERM and marks the daemon as leaving for the next VM list. */
static void begin_drain(case_run_t *r, int zone, int slot)
{
	fault_daemon_at(r, zone, slot)->is_leaving = true;
	process_signal(&fault_daemon_at(r, zone, slot)->process, SIGTERM);
}

static void await_drain(case_run_t *r, int zone, int slot)
{
	cluster_node_t *n = fault_daemon_at(r, zone, slot);
	int status = process_wait(&n->process, DRAIN_LIMIT_MS);

	n->is_listed = false;
	if (status)
		case_fail(
			r,
			"%s: exit status %d after the drain; -1: still running",
			n->name, status);
}

void fault_drain_any(case_run_t *r)
{
	pick_victim(r);
	begin_drain(r, r->victim_zone, r->victim_slot);
	case_expect(r, cluster_send_vms(&r->cluster),
		    "the platform did not accept the VM list");
}

void fault_drain_dispatcher(case_run_t *r)
{
	pick_dispatcher(r);
	begin_drain(r, r->victim_zone, r->victim_slot);
	case_expect(r, cluster_send_vms(&r->cluster),
		    "the platform did not accept the VM list");
}

void fault_check_drained(case_run_t *r)
{
	await_drain(r, r->victim_zone, r->victim_slot);
	case_expect(r, cluster_send_vms(&r->cluster),
		    "the platform did not accept the VM list");
}

static void start_spares(case_run_t *r)
{
	for (int i = CLUSTER_DAEMONS; i < CLUSTER_SLOTS; i++) {
		fault_daemon_at(r, 0, i)->is_listed = true;
		case_expect(r, cluster_start_daemon(&r->cluster, 0, i),
			    "a new daemon did not start");
	}
	case_expect(r, cluster_send_vms(&r->cluster),
		    "the platform did not accept the VM list");
}

void fault_replace_zone(case_run_t *r)
{
	start_spares(r);
	for (int i = CLUSTER_DAEMONS; i < CLUSTER_SLOTS; i++)
		case_expect(r, cluster_await_ready(&r->cluster, 0, i),
			    "a new daemon did not become ready in time");
	for (int i = 0; i < CLUSTER_DAEMONS; i++)
		begin_drain(r, 0, i);
	case_expect(r, cluster_send_vms(&r->cluster),
		    "the platform did not accept the VM list");
}

/*
 * Replaces daemons as the operators' documentation describes: waits until the
 * new daemons have received the callers' keys, then drains the old ones one by
 * one.
 */
void fault_replace_in_turn(case_run_t *r)
{
	start_spares(r);
	for (int i = CLUSTER_DAEMONS; i < CLUSTER_SLOTS; i++)
		case_await_keys(r, 0, i);
	for (int i = 0; i < CLUSTER_DAEMONS; i++) {
		begin_drain(r, 0, i);
		case_expect(r, cluster_send_vms(&r->cluster),
			    "the platform did not accept the VM list");
		await_drain(r, 0, i);
		case_expect(r, cluster_send_vms(&r->cluster),
			    "the platform did not accept the VM list");
	}
}

void fault_check_replaced(case_run_t *r)
{
	for (int i = 0; i < CLUSTER_DAEMONS; i++)
		await_drain(r, 0, i);
	case_expect(r, cluster_send_vms(&r->cluster),
		    "the platform did not accept the VM list");
}

void fault_kill_zone(case_run_t *r)
{
	for (int i = 0; i < CLUSTER_DAEMONS; i++)
		process_kill(&fault_daemon_at(r, 0, i)->process);
}

void fault_replace_killed_zone(case_run_t *r)
{
	for (int i = 0; i < CLUSTER_DAEMONS; i++)
		fault_daemon_at(r, 0, i)->is_listed = false;
	start_spares(r);
	for (int i = CLUSTER_DAEMONS; i < CLUSTER_SLOTS; i++)
		case_expect(r, cluster_await_ready(&r->cluster, 0, i),
			    "a new daemon did not become ready in time");
	case_publish(r);
}
