/*
 * Some daemons are cut off from all runners, which the others reach: what those
 * report must not take the runners from the others. A runner that is down is
 * suspended all the same.
 */
#include "core/owner_reach.h"
#include "tests/lib_fixture.h"
#include "tests/lib_suite.h"

enum { RUNNERS = 6, CUT_OFF = 8, SOUND = 9, ROUNDS = 200, ATTEMPTS = 12 };

static void begin(fixture_t *fixture)
{
	*fixture = (fixture_t){ 0 };
	fixture_init(fixture, false);
	for (int i = 0; i < RUNNERS; i++) {
		g_autofree char *name = g_strdup_printf("r%d", i);

		fixture_set_runner(fixture, name, false);
	}
}

static void submit(fixture_t *fixture, uint64_t owner, uint64_t attempt)
{
	want_t want = fixture_make_want(fixture, attempt, 1, 1);

	want.id.owner = owner;
	want.deadline = fixture->now + SECOND;
	dispatcher_want(&fixture->d, &want, fixture->now);
}

static void end(fixture_t *fixture, uint64_t owner, uint64_t attempt,
		done_result_t result)
{
	done_t done = { .result = result };

	if (fixture_answer_kind(fixture, attempt) == ANSWER_GRANT)
		dispatcher_done(&fixture->d, (want_id_t){ owner, attempt },
				&done, fixture->now);
}

/* Each grant to the daemon that is cut off fails, also one that comes late. */
static void fail_all(fixture_t *fixture, bool *has_failed, uint64_t last)
{
	for (uint64_t a = 2; a <= last; a += 2) {
		if (has_failed[a] ||
		    fixture_answer_kind(fixture, a) != ANSWER_GRANT)
			continue;
		has_failed[a] = true;
		end(fixture, CUT_OFF, a, DONE_UNREACHABLE);
	}
}

/* Guards against: failed connections of one daemon suspend all runners. */
START_TEST(a_daemon_that_is_cut_off_takes_no_runner_from_others)
{
	static fixture_t fixture;
	bool has_failed[2 * ROUNDS + 1] = { false };
	int served = 0;

	begin(&fixture);
	for (uint64_t a = 1; a <= ROUNDS; a++) {
		submit(&fixture, CUT_OFF, 2 * a);
		fail_all(&fixture, has_failed, 2 * a);
		submit(&fixture, SOUND, 2 * a + 1);
		served += fixture_answer_kind(&fixture, 2 * a + 1) ==
			  ANSWER_GRANT;
		fixture_tick(&fixture, 20 * MS);
		end(&fixture, SOUND, 2 * a + 1, DONE_COMPLETED);
	}
	ck_assert_int_eq(served, ROUNDS);
	ck_assert_uint_ge(fixture_stats(&fixture).available, RUNNERS - 2);
	dispatcher_finish(&fixture.d);
}
END_TEST

/* Its own requests are refused at once, not after a wait for the runners. */
START_TEST(a_daemon_that_is_cut_off_learns_so_at_once)
{
	static fixture_t fixture;
	uint64_t last = 0;

	begin(&fixture);
	for (uint64_t a = 1; a <= ATTEMPTS && !last; a++) {
		submit(&fixture, CUT_OFF, a);
		end(&fixture, CUT_OFF, a, DONE_UNREACHABLE);
		if (fixture_answer_kind(&fixture, a) == ANSWER_REFUSE)
			last = a;
	}
	ck_assert_uint_ne(last, 0);
	ck_assert_int_eq(fixture.answers[last].reason, REFUSE_PAUSED);
	dispatcher_finish(&fixture.d);
}
END_TEST

START_TEST(a_runner_that_is_down_is_suspended_for_all)
{
	static fixture_t fixture;
	int reached = 0;

	begin(&fixture);
	for (uint64_t a = 1; a <= ROUNDS; a++) {
		bool is_down;

		submit(&fixture, SOUND + a % 2, a);
		ck_assert_int_eq(fixture_answer_kind(&fixture, a),
				 ANSWER_GRANT);
		is_down = !strcmp(fixture.answers[a].runner, "r0");
		reached += is_down;
		end(&fixture, SOUND + a % 2, a,
		    is_down ? DONE_UNREACHABLE : DONE_COMPLETED);
		fixture_tick(&fixture, 10 * MS);
	}
	/* Once each time that its suspension ends. */
	ck_assert_int_ge(reached, 1);
	ck_assert_int_le(reached, 3);
	dispatcher_finish(&fixture.d);
}
END_TEST

START_TEST(an_answer_shows_that_an_owner_reaches_runners)
{
	owner_reach_t r;

	owner_reach_init(&r);
	ck_assert(!owner_reach_on_failure(&r, 1, STR_LIT("a"), 0));
	ck_assert(!owner_reach_on_failure(&r, 1, STR_LIT("a"), 1));
	ck_assert(!owner_reach_on_failure(&r, 2, STR_LIT("b"), 1));
	ck_assert(owner_reach_on_failure(&r, 1, STR_LIT("b"), 2));
	ck_assert(owner_reach_on_failure(&r, 1, STR_LIT("a"), 3));
	owner_reach_on_answer(&r, 1);
	ck_assert(!owner_reach_on_failure(&r, 1, STR_LIT("b"), 4));
	ck_assert(
		!owner_reach_on_failure(&r, 1, STR_LIT("a"), 4 + 60 * SECOND));
	owner_reach_finish(&r);
}
END_TEST

SUITE_MAIN("cut off owner",
	   a_daemon_that_is_cut_off_takes_no_runner_from_others,
	   a_daemon_that_is_cut_off_learns_so_at_once,
	   a_runner_that_is_down_is_suspended_for_all,
	   an_answer_shows_that_an_owner_reaches_runners)
