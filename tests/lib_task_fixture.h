/*
 * Helpers for tests of a single task: settings, and start and stop functions for
 * the fakes that replace the other tasks and share one state.
 */
#ifndef TESTS_LIB_TASK_FIXTURE_H
#define TESTS_LIB_TASK_FIXTURE_H

#include "daemon/supervisor.h"

/* Sets the state that task_fixture_start returns for every fake task. */
void task_fixture_set_state(void *state);
/* Start and stop functions of a fake task. */
void *task_fixture_start(supervisor_t *sup, err_t *err);
void task_fixture_stop(void *state);
/* A fake task that ignores all messages. */
extern const task_spec_t task_fixture_idle;
/*
 * Reads the settings of daemon "d" of a fleet, in zone "z", with free loopback
 * ports. MEMBERS: more of them, as JSON without braces.
 */
void task_fixture_parse_settings(settings_t *out, const char *members);
/* Returns a loopback port that is not in use. */
int task_fixture_free_port(void);
/* Runs the event loop until *VALUE is at least N; fails after LIMIT_US. */
void task_fixture_await_count(struct event_base *base, const int *value, int n,
			      int64_t limit_us);

#endif
