/* A daemon that is itself behind doesn't take other zones to be cut off. */
#include "core/zone_verdict.h"
#include "tests/lib_suite.h"

enum { TIMEOUT_US = 150 * 1000 };

static bool is_cut(uint32_t linked, uint32_t unresponsive, int64_t late)
{
	zone_evidence_t e = {
		.own = { .linked = linked, .unresponsive = unresponsive },
		.late = late,
		.timeout = TIMEOUT_US,
	};

	return zone_verdict_is_cut(&e);
}

START_TEST(a_silent_zone_is_cut_if_the_own_zone_answers)
{
	ck_assert(is_cut(37, 0, 0));
	ck_assert(is_cut(37, 18, 0));
}
END_TEST

/* Guards against a zone that is given up since the own link is full. */
START_TEST(no_zone_is_cut_if_the_own_zone_does_not_answer_either)
{
	ck_assert(!is_cut(37, 19, 0));
	ck_assert(!is_cut(37, 37, 0));
	ck_assert(!is_cut(1, 1, 0));
}
END_TEST

/* Guards against a zone that is given up after a stall of this process. */
START_TEST(no_zone_is_cut_by_a_late_timer)
{
	ck_assert(is_cut(37, 0, TIMEOUT_US / 2 - 1));
	ck_assert(!is_cut(37, 0, TIMEOUT_US / 2));
}
END_TEST

START_TEST(a_daemon_alone_in_its_zone_goes_by_the_connections)
{
	ck_assert(is_cut(0, 0, 0));
}
END_TEST

SUITE_MAIN("zone_verdict", a_silent_zone_is_cut_if_the_own_zone_answers,
	   no_zone_is_cut_if_the_own_zone_does_not_answer_either,
	   no_zone_is_cut_by_a_late_timer,
	   a_daemon_alone_in_its_zone_goes_by_the_connections)
