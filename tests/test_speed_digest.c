/*
 * A dispatcher moves to another host, which knows nothing of its runners, some
 * of which are several times slower. What the host before has learned is told,
 * so that the first work there isn't given to the slow ones.
 */
#include <string.h>

#include "daemon/speed_keeper.h"
#include "tests/lib_capacity.h"
#include "tests/lib_fixture.h"
#include "tests/lib_suite.h"
#include "tests/lib_task_fixture.h"

enum {
	PROMPT = 1000,
	OUTPUT = 100,
	FAST_TOKEN_US = 5000,
	SLOWDOWN = 4,
	RUNNERS = 6, /* r0 to r5; every third is slow */
};

static bool is_slow(const char *runner)
{
	return (runner[1] - '0') % 3 == 0;
}

static void begin(fixture_t *f, int64_t born_ms)
{
	*f = (fixture_t){ 0 };
	fixture_init(f, true);
	for (int i = 0; i < RUNNERS; i++) {
		dispatcher_runner_t r = { .born_ms = born_ms };

		g_snprintf(r.name, sizeof(r.name), "r%d", i);
		g_strlcpy(r.address, "a", sizeof(r.address));
		dispatcher_set_runner(&f->d, &r, f->now);
	}
}

/* Runs a request on each runner, for as long as it takes there. */
static void learn(fixture_t *f)
{
	done_t done = { .result = DONE_COMPLETED,
			.prompt_tokens = PROMPT,
			.output_tokens = OUTPUT };
	int64_t start = f->now;

	for (uint64_t a = 1; a <= RUNNERS; a++) {
		want_t want = fixture_make_want(f, a, 1, OUTPUT);

		want.prompt_tokens = PROMPT;
		dispatcher_want(&f->d, &want, f->now);
		ck_assert_int_eq(fixture_answer_kind(f, a), ANSWER_GRANT);
	}
	for (int factor = 1; factor <= SLOWDOWN; factor += SLOWDOWN - 1) {
		int64_t first =
			start + (int64_t)factor * PROMPT * FAST_TOKEN_US / 50;
		int64_t last = first + (int64_t)factor * OUTPUT * FAST_TOKEN_US;

		for (uint64_t a = 1; a <= RUNNERS; a++) {
			want_id_t id = { OWNER, a };

			if (is_slow(f->answers[a].runner) != (factor > 1))
				continue;
			dispatcher_first_token(&f->d, id, first);
			dispatcher_done(&f->d, id, &done, last);
			f->now = MAX(f->now, last);
		}
	}
}

/* Returns how many of N requests at once are granted slow runners. */
static int count_slow_grants(fixture_t *f, int n)
{
	int slow = 0;

	for (uint64_t a = 100; a < 100 + (uint64_t)n; a++) {
		fixture_submit(f, a, 1, OUTPUT);
		ck_assert_int_eq(fixture_answer_kind(f, a), ANSWER_GRANT);
		slow += is_slow(f->answers[a].runner);
	}
	return slow;
}

static GArray *export_all(const fixture_t *f)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(runner_digest_t));

	g_array_set_size(out, SPEED_DIGEST_MAX);
	g_array_set_size(out, (guint)dispatcher_export_speeds(
				      &f->d, (runner_digest_t *)out->data,
				      SPEED_DIGEST_MAX, 0, f->now));
	return out;
}

START_TEST(the_next_host_knows_the_slow_runners)
{
	static fixture_t before, next;
	g_autoptr(GArray) digests = NULL;
	speed_keeper_t keeper;

	begin(&before, 5);
	learn(&before);
	digests = export_all(&before);
	ck_assert_uint_eq(digests->len, RUNNERS);
	begin(&next, 5);
	ck_assert_int_gt(count_slow_grants(&next, RUNNERS - 2), 0);
	dispatcher_finish(&next.d);
	begin(&next, 5);
	next.now = before.now;
	speed_keeper_init(&keeper);
	speed_keeper_add(&keeper, "s", digests, next.now);
	ck_assert_uint_eq(
		speed_keeper_import(&keeper, "other", &next.d, next.now), 0);
	ck_assert_uint_eq(speed_keeper_import(&keeper, "s", &next.d, next.now),
			  RUNNERS);
	ck_assert_int_eq(count_slow_grants(&next, RUNNERS - 2), 0);
	speed_keeper_finish(&keeper);
	dispatcher_finish(&before.d);
	dispatcher_finish(&next.d);
}
END_TEST

START_TEST(what_was_learned_later_or_of_another_incarnation_stays)
{
	static fixture_t f, other;
	g_autoptr(GArray) digests = NULL;
	runner_digest_t *digest;

	begin(&f, 5);
	learn(&f);
	digests = export_all(&f);
	digest = &g_array_index(digests, runner_digest_t, 0);
	/* Told its own speeds again, nothing is newer. */
	ck_assert(!dispatcher_import_speed(&f.d, digest, f.now));
	begin(&other, 6);
	ck_assert(!dispatcher_import_speed(&other.d, digest, f.now));
	digest->born_ms = 6;
	digest->age_ms = SPEED_DIGEST_MAX_AGE_MS + 1;
	ck_assert(!dispatcher_import_speed(&other.d, digest, f.now));
	digest->age_ms = 10;
	ck_assert(dispatcher_import_speed(&other.d, digest, f.now));
	ck_assert(!dispatcher_import_speed(&other.d, digest, f.now));
	g_strlcpy(digest->name, "unknown", sizeof(digest->name));
	ck_assert(!dispatcher_import_speed(&other.d, digest, f.now));
	dispatcher_finish(&f.d);
	dispatcher_finish(&other.d);
}
END_TEST

/*
 * Runners state their paces with answers: a speed that is learned is the one at
 * pace 1, so it says little without the pace.
 */
START_TEST(the_next_host_knows_usual_paces)
{
	static fixture_t f;
	runner_digest_t digest = {
		.name = "r1",
		.usual_pace = 4,
		.n_paces = 3,
		.speed = { .prefill = { 1, 1000, 0.1, 1000000, 100 },
			   .decode = { 100, 100, 0.5, 100, 0.5 } },
	};
	runner_digest_t told[RUNNERS];

	begin(&f, 0);
	ck_assert(dispatcher_import_speed(&f.d, &digest, f.now + 1));
	ck_assert_uint_eq(
		dispatcher_export_speeds(&f.d, told, RUNNERS, 0, f.now + 1), 1);
	ck_assert_double_eq(told[0].usual_pace, 4);
	ck_assert_uint_eq(told[0].n_paces, 3);
	/* A prompt is not told of: what is known of it stays. */
	digest.speed.prefill = (line_fit_t){ 0 };
	f.now += 20 * SECOND;
	ck_assert(dispatcher_import_speed(&f.d, &digest, f.now));
	dispatcher_export_speeds(&f.d, told, RUNNERS, 0, f.now);
	ck_assert_double_gt(told[0].speed.prefill.weight, 0);
	dispatcher_finish(&f.d);
}
END_TEST

START_TEST(only_what_is_new_is_told)
{
	static fixture_t f;
	runner_digest_t out[RUNNERS];

	begin(&f, 5);
	learn(&f);
	ck_assert_uint_eq(
		dispatcher_export_speeds(&f.d, out, RUNNERS, f.now, f.now), 0);
	ck_assert_uint_eq(dispatcher_export_speeds(&f.d, out, 2, 0, f.now), 2);
	dispatcher_remove_runner(&f.d, STR_LIT("r1"), f.now);
	ck_assert_uint_eq(
		dispatcher_export_speeds(&f.d, out, RUNNERS, 0, f.now),
		RUNNERS - 1);
	dispatcher_finish(&f.d);
}
END_TEST

/* Dispatchers come and go, and each tells of its runners. */
START_TEST(what_is_kept_is_bounded)
{
	g_autoptr(GArray) digests =
		g_array_new(FALSE, TRUE, sizeof(runner_digest_t));
	speed_keeper_t k;

	g_array_set_size(digests, SPEED_DIGEST_MAX);
	speed_keeper_init(&k);
	for (int i = 0; i < 3 * SPEED_KEEPER_MAX; i++) {
		g_autofree char *name = g_strdup_printf("s#%d/1024", i);

		for (guint n = 0; n < digests->len; n++) {
			runner_digest_t *d =
				&g_array_index(digests, runner_digest_t, n);

			g_snprintf(d->name, sizeof(d->name), "r%d-%u", i, n);
		}
		speed_keeper_add(&k, name, digests, i);
		speed_keeper_add(&k, name, digests, i);
	}
	ck_assert_uint_eq(g_hash_table_size(k.dispatchers), SPEED_KEEPER_MAX);
	ck_assert(g_hash_table_contains(k.dispatchers, "s#191/1024"));
	ck_assert(!g_hash_table_contains(k.dispatchers, "s#0/1024"));
	speed_keeper_finish(&k);
}
END_TEST

static void run_one(capacity_fixture_t *f)
{
	capacity_post_config(f);
	capacity_post_list(f);
	capacity_post(f, 1, MESSAGE_WANT);
	task_fixture_await_count(f->base, &f->grants[1], 1, CAPACITY_LIMIT_US);
	capacity_post(f, 1, MESSAGE_FIRST_TOKEN);
	capacity_post(f, 1, MESSAGE_DONE);
}

/* Daemons are restarted in turn: the next host is told before this one ends. */
START_TEST(a_host_that_drains_tells_all_that_it_learned)
{
	message_t drain = { .type = MESSAGE_DRAIN };
	capacity_fixture_t f;
	int told;

	capacity_begin(&f, ",\"learned_speeds\":true");
	run_one(&f);
	task_fixture_await_count(f.base, &f.speeds, 1, CAPACITY_LIMIT_US);
	told = f.speeds;
	supervisor_post(&f.sup, TASK_CAPACITY, &drain);
	task_fixture_await_count(f.base, &f.speeds, told + 1,
				 CAPACITY_LIMIT_US);
	ck_assert_uint_eq(f.speeds_told, (uint32_t)f.speeds);
	capacity_end(&f);
}
END_TEST

START_TEST(nothing_is_told_by_default)
{
	message_t drain = { .type = MESSAGE_DRAIN };
	capacity_fixture_t f;

	capacity_begin(&f, "");
	run_one(&f);
	supervisor_post(&f.sup, TASK_CAPACITY, &drain);
	capacity_run(&f, CAPACITY_LIMIT_US);
	ck_assert_int_eq(f.speeds, 0);
	capacity_end(&f);
}
END_TEST

SUITE_MAIN("speed_digest", the_next_host_knows_the_slow_runners,
	   what_was_learned_later_or_of_another_incarnation_stays,
	   the_next_host_knows_usual_paces, only_what_is_new_is_told,
	   what_is_kept_is_bounded,
	   a_host_that_drains_tells_all_that_it_learned,
	   nothing_is_told_by_default)
