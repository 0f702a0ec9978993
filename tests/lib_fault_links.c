#include "tests/lib_fault.h"

#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "standin/lib_fetch.h"

enum { OPERATORS = 4 };

static void set_links(case_run_t *r, const char *switches)
{
	case_expect(r, cluster_set_zone_links(&r->cluster, 0, switches),
		    "fault switches of the links between zones were not set");
}

void fault_cut_zone(case_run_t *r)
{
	set_links(r, "{\"cut\":true}");
}

void fault_blackhole_zone(case_run_t *r)
{
	set_links(r, "{\"blackhole\":true}");
}

void fault_heal_zone(case_run_t *r)
{
	set_links(r, "{\"cut\":false,\"blackhole\":false}");
}

void fault_cut_platform(case_run_t *r)
{
	fault_set_faults(r, r->cluster.zones[0].platform_relay.address,
			 "{\"blackhole\":true}");
}

void fault_heal_platform(case_run_t *r)
{
	fault_set_faults(r, r->cluster.zones[0].platform_relay.address,
			 "{\"blackhole\":false}");
}

void fault_cut_both(case_run_t *r)
{
	fault_blackhole_zone(r);
	fault_cut_platform(r);
}

void fault_heal_both(case_run_t *r)
{
	fault_heal_zone(r);
	fault_heal_platform(r);
	case_publish(r);
}

void fault_log_down(case_run_t *r)
{
	fault_set_platform(r, "{\"log_outage\":true}");
}

void fault_platform_down(case_run_t *r)
{
	fault_set_platform(r, "{\"outage\":true}");
}

void fault_platform_slow(case_run_t *r)
{
	fault_set_platform(r, "{\"delay_ms\":600}");
}

void fault_platform_up(case_run_t *r)
{
	fault_set_platform(r, "{\"outage\":false,\"log_outage\":false,"
			      "\"delay_ms\":0}");
	case_publish(r);
}

void fault_lose_answers(case_run_t *r)
{
	fault_set_platform(r, "{\"lose_answers\":3}");
}

void fault_race_operators(case_run_t *r)
{
	g_autofree char *base =
		g_strdup_printf("%lld", (long long)case_version_at(r, 0, 0));
	process_t operators[OPERATORS];
	int accepted = 0, superseded = 0;

	for (int i = 0; i < OPERATORS; i++)
		if (!cluster_publish_start(&r->cluster, &operators[i],
					   "profile/lakeshore", "profile.json",
					   base))
			case_fail(r, "papayactl publish did not start");
	for (int i = 0; i < OPERATORS && !r->reason[0]; i++) {
		g_autofree char *output = NULL;

		cluster_publish_end(&operators[i], &output);
		accepted += g_str_has_prefix(output, "accepted ");
		superseded += g_str_has_prefix(output, "superseded");
	}
	if (accepted != 1 || superseded != OPERATORS - 1)
		case_fail(r,
			  "concurrent publications: %d accepted, %d superseded",
			  accepted, superseded);
}

void fault_silence_peers(case_run_t *r)
{
	set_links(r, "{\"silence\":true}");
	for (int z = 0; z < CLUSTER_ZONES; z++)
		case_expect(
			r,
			cluster_set_local_links(&r->cluster, z,
						"{\"silence\":true}"),
			"fault switches of the links within a zone were not set");
}

/* Delays answers first, so that calls are pending when the silence begins. */
void fault_silence_callers(case_run_t *r)
{
	fault_set_runners(r, CLUSTER_BOOKING, "{\"delay_ms\":400}");
	g_usleep(350000);
	fault_set_faults(r, r->cluster.caller_relay.address,
			 "{\"silence\":true}");
	fault_set_runners(r, CLUSTER_BOOKING, "{\"delay_ms\":0}");
}

void fault_silence_platform(case_run_t *r)
{
	/* Delay answers first, so that each link has a pending request. */
	fault_set_platform(r, "{\"delay_ms\":300}");
	g_usleep(250000);
	for (int z = 0; z < CLUSTER_ZONES; z++)
		fault_set_faults(r, r->cluster.zones[z].platform_relay.address,
				 "{\"silence\":true}");
	fault_set_platform(r, "{\"delay_ms\":0}");
}

void fault_kill_with_log_down(case_run_t *r)
{
	fault_log_down(r);
	fault_kill_any(r);
}

void fault_restart_with_log_down(case_run_t *r)
{
	/* During the log outage, it must get the profile from its peers. */
	fault_start_victim(r);
	case_expect(
		r,
		cluster_await_ready(&r->cluster, r->victim_zone,
				    r->victim_slot),
		"a daemon started during the log outage did not become ready");
	fault_set_platform(r, "{\"log_outage\":false}");
}

void fault_pause_and_cut(case_run_t *r)
{
	fault_pause_any(r);
	fault_cut_zone(r);
}

void fault_resume_and_heal(case_run_t *r)
{
	fault_resume_victim(r);
	fault_heal_zone(r);
}

/*
 * Fails the run if no call was repeated: the silence then affected no caller.
 */
void fault_check_some_repeated(case_run_t *r)
{
	const char *id;
	json_t *entry;
	int64_t n = 0;

	json_object_foreach (json_object_get(r->result, "calls"), id, entry)
		n += json_integer_value(json_object_get(entry, "attempts")) > 1;
	case_expect(r, n > 0, "no caller had to repeat its call");
}
