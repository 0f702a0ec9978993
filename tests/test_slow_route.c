/*
 * A plain service has one route with long calls and one with short calls. A
 * long call that is overtaken by short ones must not count as a fault of the
 * runner, which must keep its slots.
 */
#include "tests/lib_bed.h"
#include "tests/lib_suite.h"

enum {
	SHORT_MS = 20,
	LONG_MS = 700,
	LONG_EVERY_MS = 350, /* two in progress on average */
	RUN_MS = 20000,
	SLOTS = 6,
	FAIR_PART = 95, /* percent of short calls granted at once */
};

typedef struct call {
	int64_t ends; /* 0: not running */
	bool is_long;
} call_t;

static call_t calls[MAX_ANSWERS];

static void end_calls(bed_t *bed, uint64_t n)
{
	for (uint64_t a = 1; a <= n; a++) {
		if (!calls[a].ends || calls[a].ends > bed->now)
			continue;
		calls[a].ends = 0;
		/* A long call ends at its route's timeout. */
		bed_done(bed, a,
			 calls[a].is_long ? DONE_CANCELLED : DONE_COMPLETED);
	}
}

static bool begin(bed_t *bed, uint64_t a, bool is_long)
{
	bed_ask(bed, a, 1, 1);
	if (bed_kind(bed, a) != ANSWER_GRANT)
		return false;
	calls[a].ends = bed->now + (is_long ? LONG_MS : SHORT_MS) * MS;
	calls[a].is_long = is_long;
	return true;
}

START_TEST(long_calls_that_are_overtaken_cost_no_slots)
{
	static bed_t bed;
	uint64_t n = 0;
	int64_t requested = 0, granted = 0;

	bed = (bed_t){ .config = { .plain_slots = SLOTS,
				   .grants_if_idle = true } };
	memset(calls, 0, sizeof(calls));
	bed_init(&bed, false);
	bed_set_runner(&bed, "r", false);
	for (int ms = 0; ms < RUN_MS; ms += 10) {
		end_calls(&bed, n);
		if (ms % LONG_EVERY_MS == 0)
			begin(&bed, ++n, true);
		if (ms % SHORT_MS == 0) {
			requested++;
			granted += begin(&bed, ++n, false);
		}
		bed_tick(&bed, 10 * MS);
	}
	ck_assert_int_ge(granted * 100, requested * FAIR_PART);
	dispatcher_finish(&bed.d);
}
END_TEST

/* If no call overtakes another, the runner itself is at fault. */
START_TEST(a_runner_that_hangs_loses_its_slots)
{
	static bed_t bed;
	int granted = 0;

	bed = (bed_t){ .config = { .plain_slots = SLOTS,
				   .grants_if_idle = true } };
	bed_init(&bed, false);
	bed_set_runner(&bed, "r", false);
	bed_ask(&bed, 1, 1, 1);
	bed_tick(&bed, SHORT_MS * MS);
	bed_done(&bed, 1, DONE_COMPLETED);
	for (uint64_t a = 2; a < 40; a++) {
		bed_ask(&bed, a, 1, 1);
		granted += bed_kind(&bed, a) == ANSWER_GRANT;
		bed_tick(&bed, 50 * MS);
	}
	ck_assert_int_lt(granted, SLOTS);
	dispatcher_finish(&bed.d);
}
END_TEST

SUITE_MAIN("slow_route", long_calls_that_are_overtaken_cost_no_slots,
	   a_runner_that_hangs_loses_its_slots)
