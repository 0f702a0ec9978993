#include <glib.h>

#include "core/drain_plan.h"
#include "tests/lib_suite.h"

#define MS INT64_C(1000)

START_TEST(long_grace_accepts_while_the_load_balancer_sends)
{
	drain_plan_t plan = drain_plan(8000 * MS);

	ck_assert_int_eq(plan.accept_time, 2600 * MS);
	ck_assert_int_eq(plan.exit_after, 7300 * MS);
}
END_TEST

/* A load balancer sends for two to three more seconds, whatever the grace. */
START_TEST(short_grace_still_waits_for_the_load_balancer)
{
	ck_assert_int_ge(drain_plan(3500 * MS).accept_time, 2500 * MS);
}
END_TEST

/* With any grace, the daemon accepts first and exits in the last sixth. */
START_TEST(daemon_exits_in_the_last_sixth_of_any_grace)
{
	for (int64_t grace = 0; grace <= 60000 * MS; grace += 250 * MS) {
		drain_plan_t plan = drain_plan(grace);

		ck_assert_int_le(plan.accept_time, plan.exit_after);
		ck_assert_int_ge(plan.exit_after, grace - grace / 6);
		ck_assert_int_le(plan.exit_after, grace);
	}
}
END_TEST

SUITE_MAIN("drain_plan", long_grace_accepts_while_the_load_balancer_sends,
	   short_grace_still_waits_for_the_load_balancer,
	   daemon_exits_in_the_last_sixth_of_any_grace)
