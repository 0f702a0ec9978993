/*
 * A target release serves a small share of the requests beside the current one.
 * One that fails or is slow has to be found, at once, later or on one route
 * only; what slows or fails both, one bad runner, and lost answers must not
 * condemn a good one. The figures over all seeds are printed.
 */
#include <stdio.h>

#include "core/rollout_judge.h"
#include "tests/lib_suite.h"

enum {
	SEEDS = 200,
	LOOKS = 32, /* at the answers so far */
	ANSWERS_PER_LOOK = 200, /* of both releases, a tenth of the target */
	LOOK_US = 250 * 1000,
	ROUTES = 4, /* the first one with most requests */
	RUNNERS = 12, /* of each release */
	TIME_US = 100 * 1000, /* of a usual answer */
	/* One good release in a hundred may be taken back, one bad one kept. */
	MAX_WRONG = SEEDS / 100,
};

/* What is wrong with the target, or with both releases. */
typedef struct trouble {
	const char *name;
	double failing; /* share of the target's answers */
	double slow; /* likewise */
	double slowness; /* of these, a factor */
	int from_look; /* it begins with this one */
	int route; /* the only one concerned; -1: all */
	double both_failing; /* share of both releases' answers */
	double both_slowness; /* of all of these, a factor */
	double failing_runner; /* share of the first target runner's answers */
	double slow_runner; /* of that runner, a factor */
	double current_failing; /* of the first runner of the current release */
} trouble_t;

static int pick_route(GRand *rand)
{
	int route = 0;

	while (route < ROUTES - 1 && g_rand_double(rand) < 0.4)
		route++;
	return route;
}

/* Runners differ in speed, fourfold at most, and so do the routes. */
static double usual_time(GRand *rand, int route, int runner)
{
	double spread = 0.5 + g_rand_double(rand) + g_rand_double(rand) / 2;

	return TIME_US * spread * (1 + route) * (1 + runner % 4);
}

static bool is_troubled(const trouble_t *t, int look, int route)
{
	return look >= t->from_look && (t->route < 0 || t->route == route);
}

static rollout_answer_t make_answer(GRand *rand, const trouble_t *t, int look)
{
	int route = pick_route(rand);
	int runner = g_rand_int_range(rand, 0, RUNNERS);
	bool is_target = g_rand_double(rand) < 0.1;
	double time = usual_time(rand, route, runner);
	double failing = 0;
	rollout_answer_t a = { .route = (uint64_t)route + 1,
			       .runner = (uint64_t)runner + 1,
			       .is_target = is_target };

	if (look >= t->from_look) {
		failing += t->both_failing;
		time *= t->both_slowness ? t->both_slowness : 1;
	}
	if (is_target && is_troubled(t, look, route)) {
		failing += t->failing;
		if (g_rand_double(rand) < t->slow)
			time *= t->slowness;
	}
	if (is_target && !runner) {
		failing += t->failing_runner;
		time *= t->slow_runner ? t->slow_runner : 1;
	}
	if (!is_target && !runner)
		failing += t->current_failing;
	a.has_failed = g_rand_double(rand) < failing;
	a.bucket = rollout_time_bucket((int64_t)time);
	return a;
}

/* Returns the verdict; OUT_LOOK: the look that condemned it, or LOOKS. */
static rollout_finding_t play(const trouble_t *t, guint32 seed, int *out_look)
{
	g_autoptr(GRand) rand = g_rand_new_with_seed(seed);
	rollout_finding_t f = { .verdict = ROLLOUT_UNDECIDED };
	rollout_judge_t judge;
	int look;

	rollout_judge_init(&judge, INT64_C(2) * LOOK_US, 0);
	for (look = 0; look < LOOKS && f.verdict != ROLLOUT_BAD; look++) {
		for (int i = 0; i < ANSWERS_PER_LOOK; i++) {
			rollout_answer_t a = make_answer(rand, t, look);

			rollout_judge_add(&judge, &a, 1,
					  (int64_t)look * LOOK_US);
		}
		f = rollout_judge_find(&judge);
	}
	rollout_judge_finish(&judge);
	*out_look = look;
	return f;
}

/* Plays all seeds; returns how many were condemned. */
static int count_condemned(const trouble_t *t)
{
	int condemned = 0, look, bad = 0, most_bad = 0;

	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		rollout_finding_t f = play(t, seed, &look);

		ck_assert_int_ne(f.verdict, ROLLOUT_UNDECIDED);
		if (f.verdict != ROLLOUT_BAD)
			continue;
		condemned++;
		bad += (int)f.bad;
		most_bad = MAX(most_bad, (int)f.bad);
	}
	printf("%-28s condemned %3d of %d, bad answers mean %d most %d\n",
	       t->name, condemned, SEEDS, condemned ? bad / condemned : 0,
	       most_bad);
	return condemned;
}

static const trouble_t good[] = {
	{ .name = "none", .route = -1 },
	{ .name = "both overloaded",
	  .route = -1,
	  .from_look = 10,
	  .both_failing = 0.3,
	  .both_slowness = 5 },
	{ .name = "answers of both lost", .route = -1, .both_failing = 0.05 },
	{ .name = "one runner fails", .route = -1, .failing_runner = 0.6 },
	{ .name = "one runner slow", .route = -1, .slow_runner = 6 },
	{ .name = "a current runner fails",
	  .route = -1,
	  .current_failing = 0.6 },
};

static const trouble_t bad[] = {
	{ .name = "fails at once", .route = -1, .failing = 0.3 },
	{ .name = "fails seldom", .route = -1, .failing = 0.12 },
	{ .name = "fails later", .route = -1, .failing = 0.3, .from_look = 16 },
	{ .name = "slow at once", .route = -1, .slow = 0.4, .slowness = 5 },
	{ .name = "slow later",
	  .route = -1,
	  .slow = 0.5,
	  .slowness = 5,
	  .from_look = 16 },
	{ .name = "fails on one route", .route = 1, .failing = 0.4 },
	{ .name = "slow on one route", .route = 1, .slow = 0.5, .slowness = 5 },
	{ .name = "fails while both overloaded",
	  .route = -1,
	  .failing = 0.4,
	  .both_failing = 0.2,
	  .both_slowness = 3 },
};

START_TEST(a_good_release_is_not_condemned)
{
	ck_assert_int_le(count_condemned(&good[_i]), MAX_WRONG);
}
END_TEST

START_TEST(a_bad_release_is_found)
{
	ck_assert_int_ge(count_condemned(&bad[_i]), SEEDS - MAX_WRONG);
}
END_TEST

START_TEST(few_answers_decide_nothing)
{
	rollout_answer_t failed = {
		.route = 1, .runner = 1, .is_target = true, .has_failed = true
	};
	rollout_answer_t good_one = { .route = 1, .runner = 9 };
	rollout_judge_t judge;

	rollout_judge_init(&judge, LOOK_US, 0);
	ck_assert_int_eq(rollout_judge_find(&judge).verdict, ROLLOUT_UNDECIDED);
	rollout_judge_add(&judge, &good_one, 100, 0);
	rollout_judge_add(&judge, &failed, 5, 0);
	ck_assert_int_eq(rollout_judge_find(&judge).verdict, ROLLOUT_UNDECIDED);
	rollout_judge_add(&judge, &failed, 1, 0);
	ck_assert_int_eq(rollout_judge_find(&judge).verdict, ROLLOUT_BAD);
	rollout_judge_finish(&judge);
}
END_TEST

/* A conductor that took over has no answers of other releases. */
START_TEST(nothing_to_compare_with_is_not_sound)
{
	rollout_answer_t a = { .route = 1, .is_target = true };
	rollout_judge_t judge;

	rollout_judge_init(&judge, LOOK_US, 0);
	for (uint64_t i = 0; i < 400; i++) {
		a.runner = i % 5 + 1;
		rollout_judge_add(&judge, &a, 1, 0);
	}
	ck_assert_int_eq(rollout_judge_find(&judge).verdict, ROLLOUT_UNDECIDED);
	a.has_failed = true;
	for (uint64_t i = 0; i < 200; i++) {
		a.runner = i % 5 + 1;
		rollout_judge_add(&judge, &a, 1, 0);
	}
	ck_assert_int_eq(rollout_judge_find(&judge).verdict, ROLLOUT_BAD);
	rollout_judge_finish(&judge);
}
END_TEST

/* Its requests go to the runner that has their prompts cached. */
START_TEST(one_bad_runner_of_a_rare_route_condemns_nothing)
{
	rollout_answer_t current = { .route = 1, .runner = 9 };
	rollout_answer_t a = { .route = 2, .is_target = true, .runner = 1 };
	rollout_judge_t judge;

	rollout_judge_init(&judge, LOOK_US, 0);
	rollout_judge_add(&judge, &current, 500, 0);
	current.route = 2;
	rollout_judge_add(&judge, &current, 100, 0);
	rollout_judge_add(&judge, &a, 20, 0);
	a.has_failed = true;
	rollout_judge_add(&judge, &a, 20, 0);
	a.has_failed = false;
	a.route = 1;
	for (a.runner = 1; a.runner <= 10; a.runner++)
		rollout_judge_add(&judge, &a, 10, 0);
	ck_assert_int_eq(rollout_judge_find(&judge).verdict, ROLLOUT_SOUND);
	rollout_judge_finish(&judge);
}
END_TEST

/* All requests were moved, so nothing runs on current releases. */
START_TEST(a_release_that_fails_alone_is_found)
{
	rollout_answer_t a = { .route = 1, .runner = 9 };
	rollout_judge_t judge;

	rollout_judge_init(&judge, LOOK_US, 0);
	rollout_judge_add(&judge, &a, 1000, 0);
	a.is_target = true;
	for (uint64_t i = 0; i < 200; i++) {
		a.runner = i % 5 + 1;
		a.has_failed = false;
		rollout_judge_add(&judge, &a, 1, INT64_C(3) * LOOK_US);
	}
	ck_assert_int_eq(rollout_judge_find(&judge).verdict, ROLLOUT_SOUND);
	for (uint64_t i = 0; i < 100; i++) {
		a.runner = i % 5 + 1;
		a.has_failed = true;
		rollout_judge_add(&judge, &a, 1, INT64_C(4) * LOOK_US);
	}
	ck_assert_int_eq(rollout_judge_find(&judge).verdict, ROLLOUT_BAD);
	rollout_judge_finish(&judge);
}
END_TEST

/* Routes that nobody has room for, and more answers than are kept. */
START_TEST(tables_are_bounded)
{
	rollout_answer_t a = { .runner = 1 };
	rollout_judge_t judge;

	rollout_judge_init(&judge, LOOK_US, 0);
	for (uint64_t i = 1; i <= UINT64_C(2) * ROLLOUT_MAX_GROUPS; i++) {
		a.route = i / 2;
		a.is_target = i % 2;
		a.bucket = UINT32_MAX;
		rollout_judge_add(&judge, &a, ROLLOUT_MAX_ANSWERS / 4,
				  (int64_t)i * G_USEC_PER_SEC);
	}
	ck_assert_uint_eq(rollout_judge_find(&judge).answers,
			  ROLLOUT_MAX_ANSWERS);
	rollout_judge_finish(&judge);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("rollout_judge");
	TCase *tests = tcase_create("all");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_set_timeout(tests, 60);
	tcase_add_loop_test(tests, a_good_release_is_not_condemned, 0,
			    G_N_ELEMENTS(good));
	tcase_add_loop_test(tests, a_bad_release_is_found, 0,
			    G_N_ELEMENTS(bad));
	tcase_add_test(tests, few_answers_decide_nothing);
	tcase_add_test(tests, nothing_to_compare_with_is_not_sound);
	tcase_add_test(tests, one_bad_runner_of_a_rare_route_condemns_nothing);
	tcase_add_test(tests, a_release_that_fails_alone_is_found);
	tcase_add_test(tests, tables_are_bounded);
	suite_add_tcase(suite, tests);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? 1 : 0;
}
