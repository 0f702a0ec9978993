/*
 * Functions that begin and end faults, and checks made after them. The table
 * in lib_fault_table.c combines them into cases.
 */
#ifndef TESTS_LIB_FAULT_H
#define TESTS_LIB_FAULT_H

#include "tests/lib_case.h"

/* Shared helpers: find nodes, set fault switches of the stand-ins. */
cluster_node_t *fault_daemon_at(case_run_t *r, int zone, int slot);
cluster_node_t *fault_runner_at(case_run_t *r, int zone, cluster_runner_t kind);
void fault_set_faults(case_run_t *r, const char *address, const char *switches);
void fault_set_platform(case_run_t *r, const char *switches);
void fault_set_runners(case_run_t *r, cluster_runner_t kind,
		       const char *switches);

/* Daemons that are killed, paused by SIGSTOP, drained or replaced. */
void fault_kill_any(case_run_t *r);
void fault_kill_dispatcher(case_run_t *r);
void fault_start_victim(case_run_t *r);
void fault_kill_two(case_run_t *r);
void fault_pause_any(case_run_t *r);
void fault_pause_dispatcher(case_run_t *r);
void fault_resume_victim(case_run_t *r);
void fault_drain_any(case_run_t *r);
void fault_drain_dispatcher(case_run_t *r);
void fault_check_drained(case_run_t *r);
void fault_replace_zone(case_run_t *r);
void fault_replace_in_turn(case_run_t *r);
void fault_check_replaced(case_run_t *r);
void fault_kill_zone(case_run_t *r);
void fault_replace_killed_zone(case_run_t *r);

/* Links between zones, to the platform and to callers; platform outages. */
void fault_cut_zone(case_run_t *r);
void fault_blackhole_zone(case_run_t *r);
void fault_heal_zone(case_run_t *r);
void fault_cut_platform(case_run_t *r);
void fault_heal_platform(case_run_t *r);
void fault_cut_both(case_run_t *r);
void fault_heal_both(case_run_t *r);
void fault_log_down(case_run_t *r);
void fault_platform_down(case_run_t *r);
void fault_platform_slow(case_run_t *r);
void fault_platform_up(case_run_t *r);
void fault_lose_answers(case_run_t *r);
void fault_race_operators(case_run_t *r);
void fault_silence_peers(case_run_t *r);
void fault_silence_callers(case_run_t *r);
void fault_silence_platform(case_run_t *r);
void fault_kill_with_log_down(case_run_t *r);
void fault_restart_with_log_down(case_run_t *r);
void fault_pause_and_cut(case_run_t *r);
void fault_resume_and_heal(case_run_t *r);
void fault_check_some_repeated(case_run_t *r);

/* Runners that are killed, slow down, leave, or send faulty answers. */
void fault_kill_engine(case_run_t *r);
void fault_slow_runners(case_run_t *r);
void fault_stop_slowing(case_run_t *r);
void fault_leave_by_list(case_run_t *r);
void fault_leave_by_report(case_run_t *r);
void fault_check_leaving(case_run_t *r);
void fault_silence_upstreams(case_run_t *r);
void fault_answer_late(case_run_t *r);
void fault_answer_in_time(case_run_t *r);
void fault_cut_answers(case_run_t *r);
void fault_cut_streams(case_run_t *r);
void fault_check_streams_whole(case_run_t *r);
void fault_stop_cutting(case_run_t *r);
void fault_hang_runners(case_run_t *r);
void fault_refuse_connections(case_run_t *r);
void fault_stop_hanging(case_run_t *r);
void fault_fail_runs(case_run_t *r);
void fault_stop_failing(case_run_t *r);
void fault_kill_and_silence(case_run_t *r);
void fault_check_some_refused(case_run_t *r);
void fault_check_some_left(case_run_t *r);

#endif
