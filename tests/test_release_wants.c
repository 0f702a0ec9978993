/*
 * Wants for streams that began on one release of a service's software. The
 * dispatcher grants them runners of that release only, lets them delay no
 * others, and refuses them once no such runner serves.
 */
#include "tests/lib_fixture.h"
#include "tests/lib_suite.h"

enum { OLD_RELEASE = 1, NEW_RELEASE = 2, SLOTS = 1 };

static void set_runner(fixture_t *fixture, const char *name, uint64_t release,
		       bool is_leaving)
{
	dispatcher_runner_t runner = { .slots = SLOTS,
				       .release = release,
				       .is_leaving = is_leaving };

	g_strlcpy(runner.name, name, sizeof(runner.name));
	dispatcher_set_runner(&fixture->d, &runner, fixture->now);
}

static void init(fixture_t *fixture)
{
	*fixture = (fixture_t){ 0 };
	fixture_init(fixture, false);
	set_runner(fixture, "old", OLD_RELEASE, false);
	set_runner(fixture, "new", NEW_RELEASE, false);
}

static void submit(fixture_t *fixture, uint64_t attempt, uint64_t release)
{
	want_t want = fixture_make_want(fixture, attempt, 1, 1);

	want.release = release;
	dispatcher_want(&fixture->d, &want, fixture->now);
}

START_TEST(a_want_gets_a_runner_of_its_release)
{
	static fixture_t fixture;

	init(&fixture);
	for (uint64_t a = 1; a < 20; a++) {
		submit(&fixture, a, a % 2 ? OLD_RELEASE : NEW_RELEASE);
		ck_assert_int_eq(fixture_answer_kind(&fixture, a),
				 ANSWER_GRANT);
		ck_assert_str_eq(fixture.answers[a].runner,
				 a % 2 ? "old" : "new");
		fixture_done(&fixture, a, DONE_COMPLETED);
	}
	dispatcher_finish(&fixture.d);
}
END_TEST

/* One stream runs on the only old runner, and another waits for it. */
static void fill_old(fixture_t *fixture)
{
	init(fixture);
	submit(fixture, 1, OLD_RELEASE);
	submit(fixture, 2, OLD_RELEASE);
	ck_assert_int_eq(fixture_answer_kind(fixture, 2), ANSWER_NONE);
}

/* Guards against new work that waits behind a stream's full runners. */
START_TEST(a_want_that_waits_for_its_release_delays_no_others)
{
	static fixture_t fixture;

	fill_old(&fixture);
	submit(&fixture, 3, 0);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 3), ANSWER_GRANT);
	ck_assert_str_eq(fixture.answers[3].runner, "new");
	fixture_done(&fixture, 1, DONE_COMPLETED);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 2), ANSWER_GRANT);
	ck_assert_str_eq(fixture.answers[2].runner, "old");
	dispatcher_finish(&fixture.d);
}
END_TEST

START_TEST(a_want_is_refused_when_its_release_has_left)
{
	static fixture_t fixture;

	fill_old(&fixture);
	set_runner(&fixture, "old", OLD_RELEASE, true);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 2), ANSWER_REFUSE);
	ck_assert_int_eq(fixture.answers[2].reason, REFUSE_NO_RELEASE);
	submit(&fixture, 3, OLD_RELEASE);
	ck_assert_int_eq(fixture.answers[3].reason, REFUSE_NO_RELEASE);
	dispatcher_finish(&fixture.d);
}
END_TEST

SUITE_MAIN("release_wants", a_want_gets_a_runner_of_its_release,
	   a_want_that_waits_for_its_release_delays_no_others,
	   a_want_is_refused_when_its_release_has_left)
