/*
 * What tests of one task share: fakes in place of the other tasks, which all
 * have the bed as their state.
 */
#ifndef TESTS_LIB_TASK_BED_H
#define TESTS_LIB_TASK_BED_H

#include "daemon/supervisor.h"

/* Sets the state that fakes get when they start. */
void task_bed_set_state(void *state);
/* The start and stop of a fake task. */
void *task_bed_start(supervisor_t *sup, err_t *err);
void task_bed_stop(void *state);
/* Returns a loopback port that nobody listens on. */
int task_bed_free_port(void);
/* Runs until *VALUE is at least N; fails after LIMIT_US. */
void task_bed_await_count(struct event_base *base, const int *value, int n,
			  int64_t limit_us);

#endif
