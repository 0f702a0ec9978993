/*
 * Daemons are restarted in turn. A daemon is linked, and so known as the host
 * of a dispatcher, before it has its first configuration. It must not refuse
 * the wants that reach it then: it keeps them, and decides them once it can.
 */
#include "daemon/early_wants.h"
#include "tests/lib_capacity.h"
#include "tests/lib_suite.h"
#include "tests/lib_task_fixture.h"

enum { SHORT_US = 50 * 1000 };

START_TEST(an_early_want_is_granted_once_there_is_a_configuration)
{
	capacity_fixture_t f;

	capacity_begin(&f, "");
	capacity_post(&f, 1, MESSAGE_WANT);
	/* Its owner must not take this daemon for one that hangs. */
	task_fixture_await_count(f.base, &f.queued[1], 1, CAPACITY_LIMIT_US);
	capacity_post_config(&f);
	capacity_run(&f, SHORT_US);
	ck_assert_int_eq(f.grants[1], 0);
	capacity_post_list(&f);
	task_fixture_await_count(f.base, &f.grants[1], 1, CAPACITY_LIMIT_US);
	ck_assert_int_eq(f.refusals[1], 0);
	capacity_end(&f);
}
END_TEST

/* The owner went to another dispatcher, or its caller left. */
START_TEST(an_early_want_that_is_withdrawn_gets_nothing)
{
	capacity_fixture_t f;

	capacity_begin(&f, "");
	capacity_post(&f, 1, MESSAGE_WANT);
	capacity_post(&f, 2, MESSAGE_WANT);
	capacity_post(&f, 1, MESSAGE_WITHDRAW);
	capacity_post_list(&f);
	capacity_post_config(&f);
	task_fixture_await_count(f.base, &f.grants[2], 1, CAPACITY_LIMIT_US);
	ck_assert_int_eq(f.grants[1], 0);
	capacity_end(&f);
}
END_TEST

/* A request that runs already takes the place, so the other waits. */
START_TEST(work_that_runs_is_known_before_the_first_decision)
{
	message_t running = capacity_want(1);
	capacity_fixture_t f;

	capacity_begin(&f, "");
	g_strlcpy(running.capacity.running_on, "r",
		  sizeof(running.capacity.running_on));
	running.capacity.is_resent = true;
	/* The one that waits came first, the other takes its place in order. */
	capacity_post(&f, 2, MESSAGE_WANT);
	supervisor_post(&f.sup, TASK_CAPACITY, &running);
	capacity_post(&f, 3, MESSAGE_WANT);
	capacity_post_list(&f);
	capacity_post_config(&f);
	capacity_run(&f, SHORT_US);
	ck_assert_int_eq(f.grants[1] + f.grants[2] + f.grants[3], 0);
	capacity_post(&f, 1, MESSAGE_DONE);
	task_fixture_await_count(f.base, &f.grants[2], 1, CAPACITY_LIMIT_US);
	capacity_end(&f);
}
END_TEST

/* No daemon has lists, and the store is away: others may still serve it. */
START_TEST(an_early_want_is_refused_when_no_configuration_comes)
{
	capacity_fixture_t f;

	capacity_begin(&f, "");
	capacity_post(&f, 1, MESSAGE_WANT);
	task_fixture_await_count(f.base, &f.queued[1], 1, CAPACITY_LIMIT_US);
	task_fixture_await_count(f.base, &f.refusals[1], 1,
				 (int64_t)2 * EARLY_WANTS_LIMIT_US);
	capacity_post_list(&f);
	capacity_post_config(&f);
	capacity_run(&f, SHORT_US);
	ck_assert_int_eq(f.grants[1], 0);
	capacity_end(&f);
}
END_TEST

START_TEST(the_number_of_early_wants_is_bounded)
{
	message_t m = capacity_want(1);
	early_wants_t e;

	early_wants_init(&e);
	for (uint64_t i = 0; i < EARLY_WANTS_MAX; i++) {
		m.capacity.want.id.attempt = i;
		ck_assert(early_wants_add(&e, &m.capacity, 0));
		/* Repeated, it takes no second place. */
		ck_assert(early_wants_add(&e, &m.capacity, 0));
	}
	m.capacity.want.id.attempt = EARLY_WANTS_MAX;
	ck_assert(!early_wants_add(&e, &m.capacity, 0));
	early_wants_remove(&e, (want_id_t){ CAPACITY_OWNER, 0 });
	ck_assert(early_wants_add(&e, &m.capacity, 0));
	early_wants_remove_peer(&e, "other");
	ck_assert_uint_eq(early_wants_count(&e), EARLY_WANTS_MAX);
	early_wants_remove_peer(&e, CAPACITY_PEER);
	ck_assert_uint_eq(early_wants_count(&e), 0);
	early_wants_finish(&e);
}
END_TEST

SUITE_MAIN("early_want", an_early_want_is_granted_once_there_is_a_configuration,
	   an_early_want_that_is_withdrawn_gets_nothing,
	   work_that_runs_is_known_before_the_first_decision,
	   an_early_want_is_refused_when_no_configuration_comes,
	   the_number_of_early_wants_is_bounded)
