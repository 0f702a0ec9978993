/*
 * Requests share the beginning of their prompts. A runner that has it in its
 * cache reads less, but may be busy, or may have dropped it since. For each
 * request, what is saved is weighed against the wait.
 */
#include "core/affinity.h"
#include "core/cache_value.h"
#include "tests/lib_fixture.h"
#include "tests/lib_suite.h"

enum {
	SLOTS = 2,
	PREFIX = 77,
	CACHE = 100000, /* tokens */
	PROMPT = 1000, /* tokens; read at a token a millisecond */
	OUTPUT = 100, /* likewise made, after the first */
	SHARED = 800, /* tokens of the prompt */
};

START_TEST(certainty_falls_with_age_and_with_what_was_read_since)
{
	cached_prefix_t p = { .tokens = SHARED, .capacity = CACHE };
	double fresh = cache_value_certainty(&p), old, pressed;

	ck_assert_double_eq(fresh, 1);
	p.age = 30 * SECOND;
	old = cache_value_certainty(&p);
	ck_assert_double_lt(old, 0.6);
	ck_assert_double_gt(old, 0.1);
	p.age = 0;
	p.tokens_since = (uint64_t)CACHE / 4 * 3;
	pressed = cache_value_certainty(&p);
	ck_assert_double_lt(pressed, 0.6);
	ck_assert_double_gt(pressed, 0.1);
	p.tokens_since = CACHE;
	ck_assert_double_eq(cache_value_certainty(&p), 0);
	p.tokens_since = UINT64_C(10) * CACHE;
	ck_assert_double_eq(cache_value_certainty(&p), 0);
}
END_TEST

START_TEST(a_cache_of_unknown_size_is_trusted_for_a_short_time)
{
	cached_prefix_t p = { .tokens = SHARED, .age = SECOND };
	cached_prefix_t known = { .tokens = SHARED,
				  .age = SECOND,
				  .capacity = CACHE };
	cached_prefix_t larger = { .tokens = CACHE + 1, .capacity = CACHE };

	ck_assert_double_gt(cache_value_certainty(&p), 0.5);
	ck_assert_double_lt(cache_value_certainty(&p),
			    cache_value_certainty(&known));
	ck_assert_double_eq(cache_value_certainty(&larger), 0);
}
END_TEST

START_TEST(a_saving_is_worth_a_shorter_wait_only)
{
	static const struct {
		int64_t saving, cached_wait, other_wait;
		bool expected;
	} cases[] = {
		{ 100 * MS, 90 * MS, 0, true },
		{ 100 * MS, 110 * MS, 0, false },
		{ 100 * MS, 190 * MS, 100 * MS, true },
		{ 100 * MS, 210 * MS, 100 * MS, false },
		{ 0, 0, 100 * MS, false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		ck_assert_int_eq(cache_value_prefers(cases[i].saving,
						     cases[i].cached_wait,
						     cases[i].other_wait),
				 cases[i].expected);
}
END_TEST

START_TEST(several_runners_of_a_beginning_are_known)
{
	static const int runners[AFFINITY_HOLDERS + 1];
	double cached;
	affinity_t a;

	affinity_init(&a, 2);
	for (int i = 0; i <= AFFINITY_HOLDERS; i++) {
		affinity_record(&a, PREFIX, &runners[i]);
		affinity_note(&a, PREFIX, i, 10);
	}
	/* The oldest of them is forgotten. */
	for (uint32_t i = 0; i < AFFINITY_HOLDERS; i++)
		ck_assert_ptr_eq(affinity_holder(&a, PREFIX, i)->runner,
				 &runners[AFFINITY_HOLDERS - i]);
	ck_assert_ptr_null(affinity_holder(&a, PREFIX, AFFINITY_HOLDERS));
	affinity_record(&a, PREFIX, &runners[2]);
	ck_assert_ptr_eq(affinity_holder(&a, PREFIX, 0)->runner, &runners[2]);
	affinity_drop_runner(&a, &runners[2]);
	ck_assert_ptr_eq(affinity_holder(&a, PREFIX, 0)->runner,
			 &runners[AFFINITY_HOLDERS]);
	ck_assert_ptr_null(affinity_holder(&a, PREFIX, AFFINITY_HOLDERS - 1));
	/* The estimate was of the latest. */
	ck_assert_ptr_null(affinity_find(&a, PREFIX, &cached));
	affinity_finish(&a);
}
END_TEST

static void begin(fixture_t *f)
{
	*f = (fixture_t){ .config = {
				  .window_tokens = CACHE,
				  .engine_slots = SLOTS,
				  .weighs_prompt_cache = true,
			  } };
	fixture_init(f, true);
	fixture_set_runner(f, "holder", false);
	fixture_calibrate(f, 1, PROMPT, PROMPT * MS, OUTPUT, OUTPUT * MS);
}

static want_t shared_want(fixture_t *f, uint64_t attempt, uint32_t output)
{
	want_t want = fixture_make_want(f, attempt, 1, PROMPT);

	want.prefix_hash = PREFIX;
	want.prefix_tokens = SHARED;
	want.output_tokens = output;
	return want;
}

/* Runs a request with the shared beginning on "holder". */
static void fill_cache(fixture_t *f, uint64_t attempt)
{
	want_t want = shared_want(f, attempt, OUTPUT);
	done_t done = { .result = DONE_COMPLETED,
			.prompt_tokens = PROMPT,
			.output_tokens = OUTPUT };

	dispatcher_want(&f->d, &want, f->now);
	ck_assert_str_eq(f->answers[attempt].runner, "holder");
	f->now += PROMPT * MS;
	dispatcher_first_token(&f->d, want.id, f->now);
	f->now += OUTPUT * MS;
	dispatcher_done(&f->d, want.id, &done, f->now);
}

/* Has "holder" take N requests that make OUTPUT tokens each. */
static void occupy_holder(fixture_t *f, uint64_t from, int n, uint32_t output)
{
	for (uint64_t a = from; a < from + (uint64_t)n; a++) {
		want_t want = fixture_make_want(f, a, 1, 1);

		want.output_tokens = output;
		dispatcher_want(&f->d, &want, f->now);
		ck_assert_str_eq(f->answers[a].runner, "holder");
		dispatcher_first_token(&f->d, want.id, f->now);
	}
}

/*
 * Returns the runner of a request with the shared beginning, when "holder" has
 * SLOTS requests of OUTPUT tokens and "idle" none.
 */
static const char *chosen_beside(uint32_t output)
{
	static fixture_t f;
	want_t want;

	begin(&f);
	fill_cache(&f, 2);
	occupy_holder(&f, 3, SLOTS, output);
	fixture_set_runner(&f, "idle", false);
	want = shared_want(&f, 10, OUTPUT);
	dispatcher_want(&f.d, &want, f.now);
	dispatcher_finish(&f.d);
	return f.answers[10].runner;
}

/* 800 ms are saved; a slot is free in 200 ms, or in 2 s. */
START_TEST(a_busy_holder_wins_if_it_saves_more_than_the_wait)
{
	ck_assert_str_eq(chosen_beside(600), "holder");
	ck_assert_str_eq(chosen_beside(6000), "idle");
}
END_TEST

START_TEST(only_one_request_waits_at_a_full_holder)
{
	static fixture_t f;
	want_t want;

	begin(&f);
	fill_cache(&f, 2);
	occupy_holder(&f, 3, SLOTS, 600);
	fixture_set_runner(&f, "idle", false);
	for (uint64_t a = 10; a < 12; a++) {
		want = shared_want(&f, a, OUTPUT);
		dispatcher_want(&f.d, &want, f.now);
	}
	ck_assert_str_eq(f.answers[10].runner, "holder");
	ck_assert_str_eq(f.answers[11].runner, "idle");
	dispatcher_finish(&f.d);
}
END_TEST

/* Prompts that wait to be read there count as well as slots. */
START_TEST(a_holder_that_reads_other_prompts_loses)
{
	static fixture_t f;
	want_t want;

	begin(&f);
	fill_cache(&f, 2);
	fixture_submit(&f, 3, 1, 2 * PROMPT);
	fixture_set_runner(&f, "idle", false);
	want = shared_want(&f, 10, OUTPUT);
	dispatcher_want(&f.d, &want, f.now);
	ck_assert_str_eq(f.answers[10].runner, "idle");
	dispatcher_finish(&f.d);
}
END_TEST

/* Other prompts filled the cache since, so the beginning is gone. */
START_TEST(a_holder_that_read_much_since_is_no_holder)
{
	static fixture_t f;
	want_t want;

	begin(&f);
	fill_cache(&f, 2);
	for (uint64_t a = 100; a < 100 + CACHE / PROMPT; a++) {
		fixture_submit(&f, a, 1, PROMPT);
		dispatcher_first_token(&f.d, (want_id_t){ OWNER, a }, f.now);
		fixture_done(&f, a, DONE_CANCELLED);
	}
	occupy_holder(&f, 3, 1, OUTPUT);
	fixture_set_runner(&f, "idle", false);
	want = shared_want(&f, 10, OUTPUT);
	dispatcher_want(&f.d, &want, f.now);
	ck_assert_uint_eq(fixture_stats(&f).cache_choices, 0);
	ck_assert_uint_gt(fixture_stats(&f).cache_passed, 0);
	dispatcher_finish(&f.d);
}
END_TEST

/* More runners than are looked at for each want; the holder is the last. */
START_TEST(a_holder_wins_that_is_not_among_the_first)
{
	static fixture_t f;
	char name[DISPATCHER_NAME_SIZE];
	want_t want;

	begin(&f);
	fill_cache(&f, 2);
	occupy_holder(&f, 3, 1, OUTPUT);
	for (int i = 0; i < 40; i++) {
		g_snprintf(name, sizeof(name), "idle-%d", i);
		fixture_set_runner(&f, name, false);
	}
	want = shared_want(&f, 10, OUTPUT);
	dispatcher_want(&f.d, &want, f.now);
	ck_assert_str_eq(f.answers[10].runner, "holder");
	ck_assert_uint_eq(fixture_stats(&f).cache_choices, 1);
	dispatcher_finish(&f.d);
}
END_TEST

/* A restarted runner has an empty cache. */
START_TEST(a_restarted_runner_holds_nothing)
{
	static fixture_t f;
	dispatcher_runner_t restarted = { .name = "holder", .born_ms = 7 };
	want_t want;

	begin(&f);
	fill_cache(&f, 2);
	dispatcher_set_runner(&f.d, &restarted, f.now);
	want = shared_want(&f, 10, OUTPUT);
	dispatcher_want(&f.d, &want, f.now);
	ck_assert_uint_eq(fixture_stats(&f).cache_choices, 0);
	dispatcher_finish(&f.d);
}
END_TEST

SUITE_MAIN("cached_beginning",
	   certainty_falls_with_age_and_with_what_was_read_since,
	   a_cache_of_unknown_size_is_trusted_for_a_short_time,
	   a_saving_is_worth_a_shorter_wait_only,
	   several_runners_of_a_beginning_are_known,
	   a_busy_holder_wins_if_it_saves_more_than_the_wait,
	   only_one_request_waits_at_a_full_holder,
	   a_holder_that_reads_other_prompts_loses,
	   a_holder_that_read_much_since_is_no_holder,
	   a_holder_wins_that_is_not_among_the_first,
	   a_restarted_runner_holds_nothing)
