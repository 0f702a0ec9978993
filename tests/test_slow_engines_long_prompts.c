/*
 * Overload on engines of which some are four times as slow. Long prompts start
 * too late on these and pause the streams there, short ones don't. All places
 * must stay in use all the same.
 */
#include "tests/lib_fixture.h"
#include "tests/lib_suite.h"

enum {
	SLOTS = 8,
	PLACES = 2 * SLOTS,
	FAST_PACE = 100, /* percent */
	SLOW_PACE = 400,
	LONG_PROMPT = 8000,
	LONG_PREFILL_MS = 240, /* at the pace of the fast engine */
	SHORT_PROMPT = 400,
	OUTPUT = 40,
	DECODE_MS = 800, /* of an answer */
	TARGET_MS = 900,
	PAUSE_MS = 600,
	LONG_TIER = 0, /* protected: ahead of all short ones */
	SHORT_TIER = 2,
	FIRST = 100, /* attempt of the first want */
	FIRST_LONG = 200,
	FIRST_SHORT = 300,
	WAITING = 20, /* wants of each kind */
	MAX_PASSES = 64, /* for which a want gives way */
};

static void state_pace(fixture_t *f, uint64_t attempt, uint32_t pace)
{
	runner_load_t load = { .at = f->now, .slots = SLOTS, .pace = pace };

	dispatcher_runner_load(&f->d, (want_id_t){ OWNER, attempt }, &load,
			       f->now);
}

/* Adds an engine that is known to be slower by its pace. */
static void add_engine(fixture_t *f, const char *name, uint64_t attempt,
		       uint32_t pace)
{
	int64_t factor = pace / FAST_PACE;
	want_t want;
	done_t end = { .result = DONE_COMPLETED,
		       .prompt_tokens = LONG_PROMPT,
		       .output_tokens = OUTPUT + 1 };

	fixture_set_runner(f, name, false);
	want = fixture_make_want(f, attempt, LONG_TIER, LONG_PROMPT);
	dispatcher_want(&f->d, &want, f->now);
	state_pace(f, attempt, pace);
	f->now += factor * LONG_PREFILL_MS * MS;
	dispatcher_first_token(&f->d, want.id, f->now);
	f->now += factor * DECODE_MS * MS;
	dispatcher_done(&f->d, want.id, &end, f->now);
}

static void submit(fixture_t *f, uint64_t attempt, uint32_t tier,
		   uint32_t prompt)
{
	want_t want = fixture_make_want(f, attempt, tier, prompt);

	want.output_tokens = OUTPUT;
	want.target = f->now + TARGET_MS * MS;
	want.max_pause_ms = PAUSE_MS;
	dispatcher_want(&f->d, &want, f->now);
	if (fixture_answer_kind(f, attempt) == ANSWER_GRANT)
		dispatcher_first_token(&f->d, want.id, f->now);
}

/* Fills the places of both engines with work that is under way. */
static void begin(fixture_t *f, bool fits_work)
{
	*f = (fixture_t){ .config = { .engine_slots = SLOTS,
				      .window_tokens = 800000,
				      .grants_if_idle = true,
				      .uses_stated_load = true,
				      .fits_work = fits_work } };
	fixture_init(f, true);
	/* The first one alone, so that each runs its own calibration. */
	add_engine(f, "slow", 1, SLOW_PACE);
	dispatcher_suspend_runner(&f->d, str_from("slow"), f->now);
	add_engine(f, "fast", 2, FAST_PACE);
	fixture_tick(f, 10 * SECOND);
	for (uint64_t a = FIRST; a < FIRST + 2 * SLOTS; a++)
		submit(f, a, SHORT_TIER, SHORT_PROMPT);
	ck_assert_uint_eq(fixture_stats(f).running, PLACES);
}

/* The engines have read the prompts of all that was granted. */
static void read_prompts(fixture_t *f)
{
	for (uint64_t a = FIRST; a < FIRST_SHORT + WAITING; a++)
		if (f->answers[a].kind == ANSWER_GRANT)
			dispatcher_first_token(&f->d, (want_id_t){ OWNER, a },
					       f->now);
}

/* Ends a piece of the first work on a runner. */
static void free_place(fixture_t *f, const char *runner)
{
	for (uint64_t a = FIRST; a < FIRST + 2 * SLOTS; a++) {
		answer_t *answer = &f->answers[a];

		if (answer->kind != ANSWER_GRANT ||
		    strcmp(answer->runner, runner))
			continue;
		answer->kind = ANSWER_NONE;
		fixture_done(f, a, DONE_CANCELLED);
		read_prompts(f);
		return;
	}
	ck_abort_msg("nothing runs on %s", runner);
}

static uint32_t count_on(const fixture_t *f, uint64_t from, uint64_t n,
			 const char *runner)
{
	uint32_t count = 0;

	for (uint64_t a = from; a < from + n; a++)
		count += f->answers[a].kind == ANSWER_GRANT &&
			 !strcmp(f->answers[a].runner, runner);
	return count;
}

/* Both kinds wait; the places of both engines become free in turn. */
static void overload(fixture_t *f, uint32_t n_short)
{
	for (uint64_t i = 0; i < WAITING; i++)
		submit(f, FIRST_LONG + i, LONG_TIER, LONG_PROMPT);
	for (uint64_t i = 0; i < n_short; i++)
		submit(f, FIRST_SHORT + i, SHORT_TIER, SHORT_PROMPT);
	for (int i = 0; i < SLOTS - 1; i++) {
		free_place(f, "slow");
		ck_assert_uint_eq(fixture_stats(f).running, PLACES);
		free_place(f, "fast");
		ck_assert_uint_eq(fixture_stats(f).running, PLACES);
	}
}

START_TEST(long_prompts_wait_for_fast_engines)
{
	static fixture_t f;

	begin(&f, true);
	overload(&f, WAITING);
	ck_assert_uint_eq(count_on(&f, FIRST_LONG, WAITING, "slow"), 0);
	ck_assert_uint_eq(count_on(&f, FIRST_LONG, WAITING, "fast"), SLOTS - 1);
	ck_assert_uint_eq(count_on(&f, FIRST_SHORT, WAITING, "slow"),
			  SLOTS - 1);
	ck_assert_uint_eq(fixture_stats(&f).fit_choices, SLOTS - 1);
	dispatcher_finish(&f.d);
}
END_TEST

START_TEST(no_place_stays_empty_if_nothing_fits)
{
	static fixture_t f;

	begin(&f, true);
	overload(&f, 0);
	ck_assert_uint_eq(count_on(&f, FIRST_LONG, WAITING, "slow"), SLOTS - 1);
	ck_assert_uint_eq(fixture_stats(&f).fit_misses, SLOTS - 1);
	dispatcher_finish(&f.d);
}
END_TEST

START_TEST(without_the_setting_the_order_alone_counts)
{
	static fixture_t f;

	begin(&f, false);
	overload(&f, WAITING);
	ck_assert_uint_eq(count_on(&f, FIRST_LONG, WAITING, "slow"), SLOTS - 1);
	ck_assert_uint_eq(fixture_stats(&f).fit_choices, 0);
	dispatcher_finish(&f.d);
}
END_TEST

/* Both engines have room, the fast one for one more. */
static const char *place_with_room(bool fits_work, uint32_t prompt)
{
	static fixture_t f;

	begin(&f, fits_work);
	free_place(&f, "slow");
	free_place(&f, "slow");
	free_place(&f, "fast");
	submit(&f, FIRST_SHORT, SHORT_TIER, prompt);
	ck_assert_int_eq(fixture_answer_kind(&f, FIRST_SHORT), ANSWER_GRANT);
	dispatcher_finish(&f.d);
	return f.answers[FIRST_SHORT].runner;
}

START_TEST(short_prompts_leave_the_last_fast_places_to_long_ones)
{
	ck_assert_str_eq(place_with_room(true, SHORT_PROMPT / 8), "slow");
	ck_assert_str_eq(place_with_room(true, LONG_PROMPT), "fast");
	ck_assert_str_eq(place_with_room(false, SHORT_PROMPT / 8), "fast");
}
END_TEST

START_TEST(with_plenty_of_room_all_go_to_the_fastest)
{
	static fixture_t f;

	begin(&f, true);
	for (int i = 0; i < SLOTS; i++) {
		free_place(&f, "slow");
		free_place(&f, "fast");
	}
	submit(&f, FIRST_SHORT, SHORT_TIER, SHORT_PROMPT / 8);
	ck_assert_uint_eq(count_on(&f, FIRST_SHORT, 1, "fast"), 1);
	dispatcher_finish(&f.d);
}
END_TEST

/* Of two that miss their target wherever they run, none gives way. */
START_TEST(what_has_missed_its_target_takes_nobodys_place)
{
	static fixture_t f;

	begin(&f, true);
	submit(&f, FIRST_SHORT, SHORT_TIER, SHORT_PROMPT);
	f.now += TARGET_MS * MS;
	submit(&f, FIRST_LONG, LONG_TIER, LONG_PROMPT);
	free_place(&f, "slow");
	ck_assert_uint_eq(count_on(&f, FIRST_LONG, 1, "slow"), 1);
	dispatcher_finish(&f.d);
}
END_TEST

/* Others that fit come all the time, and no fast place becomes free. */
START_TEST(a_want_gives_way_for_a_bounded_number_of_times)
{
	static fixture_t f;
	uint64_t a = FIRST_SHORT;

	begin(&f, true);
	submit(&f, FIRST_LONG, LONG_TIER, LONG_PROMPT);
	submit(&f, a, SHORT_TIER, SHORT_PROMPT);
	free_place(&f, "slow");
	for (int i = 0; i < MAX_PASSES; i++) {
		ck_assert_int_eq(fixture_answer_kind(&f, FIRST_LONG),
				 ANSWER_NONE);
		ck_assert_int_eq(fixture_answer_kind(&f, a), ANSWER_GRANT);
		dispatcher_first_token(&f.d, (want_id_t){ OWNER, a }, f.now);
		submit(&f, a + 1, SHORT_TIER, SHORT_PROMPT);
		fixture_done(&f, a++, DONE_CANCELLED);
	}
	ck_assert_int_eq(fixture_answer_kind(&f, FIRST_LONG), ANSWER_GRANT);
	dispatcher_finish(&f.d);
}
END_TEST

SUITE_MAIN("slow_engines_long_prompts", long_prompts_wait_for_fast_engines,
	   no_place_stays_empty_if_nothing_fits,
	   without_the_setting_the_order_alone_counts,
	   short_prompts_leave_the_last_fast_places_to_long_ones,
	   with_plenty_of_room_all_go_to_the_fastest,
	   what_has_missed_its_target_takes_nobodys_place,
	   a_want_gives_way_for_a_bounded_number_of_times)
