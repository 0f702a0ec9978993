/*
 * A plain service has one route with long calls and one with short calls. A
 * long call that is overtaken by short ones must not count as a fault of the
 * runner, which must keep its slots.
 */
#include "tests/lib_fixture.h"
#include "tests/lib_suite.h"

enum {
	SHORT_MS = 20,
	LONG_MS = 700,
	LONG_EVERY_MS = 350, /* two in progress on average */
	RUN_MS = 20000,
	SLOTS = 6,
	MIN_GRANTED_PERCENT = 95, /* of short calls, at once */
};

typedef struct call {
	int64_t ends; /* 0: not running */
	bool is_long;
} call_t;

static call_t calls[MAX_ANSWERS];

static void end_calls(fixture_t *fixture, uint64_t n)
{
	for (uint64_t a = 1; a <= n; a++) {
		if (!calls[a].ends || calls[a].ends > fixture->now)
			continue;
		calls[a].ends = 0;
		/* A long call ends at its route's timeout. */
		fixture_done(fixture, a,
			     calls[a].is_long ? DONE_CANCELLED :
						DONE_COMPLETED);
	}
}

static bool begin(fixture_t *fixture, uint64_t a, bool is_long)
{
	fixture_submit(fixture, a, 1, 1);
	if (fixture_answer_kind(fixture, a) != ANSWER_GRANT)
		return false;
	calls[a].ends = fixture->now + (is_long ? LONG_MS : SHORT_MS) * MS;
	calls[a].is_long = is_long;
	return true;
}

START_TEST(long_calls_that_are_overtaken_cost_no_slots)
{
	static fixture_t fixture;
	uint64_t n = 0;
	int64_t requested = 0, granted = 0;

	fixture = (fixture_t){ .config = { .plain_slots = SLOTS,
					   .grants_if_idle = true } };
	memset(calls, 0, sizeof(calls));
	fixture_init(&fixture, false);
	fixture_set_runner(&fixture, "r", false);
	for (int ms = 0; ms < RUN_MS; ms += 10) {
		end_calls(&fixture, n);
		if (ms % LONG_EVERY_MS == 0)
			begin(&fixture, ++n, true);
		if (ms % SHORT_MS == 0) {
			requested++;
			granted += begin(&fixture, ++n, false);
		}
		fixture_tick(&fixture, 10 * MS);
	}
	ck_assert_int_ge(granted * 100, requested * MIN_GRANTED_PERCENT);
	dispatcher_finish(&fixture.d);
}
END_TEST

/* If no call overtakes another, the runner itself is at fault. */
START_TEST(a_runner_that_hangs_loses_its_slots)
{
	static fixture_t fixture;
	int granted = 0;

	fixture = (fixture_t){ .config = { .plain_slots = SLOTS,
					   .grants_if_idle = true } };
	fixture_init(&fixture, false);
	fixture_set_runner(&fixture, "r", false);
	fixture_submit(&fixture, 1, 1, 1);
	fixture_tick(&fixture, SHORT_MS * MS);
	fixture_done(&fixture, 1, DONE_COMPLETED);
	for (uint64_t a = 2; a < 40; a++) {
		fixture_submit(&fixture, a, 1, 1);
		granted += fixture_answer_kind(&fixture, a) == ANSWER_GRANT;
		fixture_tick(&fixture, 50 * MS);
	}
	ck_assert_int_lt(granted, SLOTS);
	dispatcher_finish(&fixture.d);
}
END_TEST

SUITE_MAIN("slow_route", long_calls_that_are_overtaken_cost_no_slots,
	   a_runner_that_hangs_loses_its_slots)
