#include "core/dispatcher.h"
#include "tests/lib_suite.h"

#define MS INT64_C(1000)
#define SECOND INT64_C(1000000)

enum { MAX_ANSWERS = 4096, OWNER = 7 };

typedef enum answer_kind {
	ANSWER_NONE,
	ANSWER_GRANT,
	ANSWER_REFUSE,
} answer_kind_t;

typedef struct answer {
	answer_kind_t kind;
	uint32_t answers;
	uint32_t order; /* among all answers */
	refuse_reason_t reason;
	uint32_t retry_after_ms;
	char runner[DISPATCHER_NAME_SIZE];
	bool is_cancelled;
} answer_t;

/* A dispatcher with what it answered to each attempt. */
typedef struct bed {
	dispatcher_t d;
	dispatcher_config_t config;
	answer_t answers[MAX_ANSWERS];
	uint32_t n_answers;
	int64_t now;
	bool ends_at_once; /* a cancelled want is done inside the callback */
} bed_t;

static void on_grant(void *ctx, const want_t *want,
		     const dispatcher_runner_t *runner)
{
	bed_t *bed = ctx;
	answer_t *a = &bed->answers[want->id.attempt];

	a->kind = ANSWER_GRANT;
	a->answers++;
	a->order = bed->n_answers++;
	g_strlcpy(a->runner, runner->name, sizeof(a->runner));
}

static void on_refuse(void *ctx, const want_t *want, refuse_reason_t reason,
		      uint32_t retry_after_ms)
{
	bed_t *bed = ctx;
	answer_t *a = &bed->answers[want->id.attempt];

	a->kind = ANSWER_REFUSE;
	a->answers++;
	a->order = bed->n_answers++;
	a->reason = reason;
	a->retry_after_ms = retry_after_ms;
}

static void done(bed_t *bed, uint64_t attempt, done_result_t result)
{
	done_t end = { .result = result };

	dispatcher_done(&bed->d, (want_id_t){ OWNER, attempt }, &end, bed->now);
}

static void on_cancel(void *ctx, const want_t *want)
{
	bed_t *bed = ctx;

	bed->answers[want->id.attempt].is_cancelled = true;
	if (bed->ends_at_once)
		done(bed, want->id.attempt, DONE_CANCELLED);
}

static const dispatcher_tier_t tiers[] = {
	{ .is_protected = true, .weight = 1 },
	{ .is_protected = false, .weight = 3 },
	{ .is_protected = false, .weight = 1 },
};

static void bed_init(bed_t *bed, bool is_engine)
{
	static const dispatcher_ops_t ops = { on_grant, on_refuse, on_cancel };

	if (!bed->config.max_wants)
		bed->config.max_wants = 1000;
	if (!bed->config.max_running)
		bed->config.max_running = 1000;
	if (!bed->config.grant_timeout)
		bed->config.grant_timeout = 60 * SECOND;
	if (!bed->config.window_tokens)
		bed->config.window_tokens = 1000;
	if (!bed->config.plain_slots)
		bed->config.plain_slots = 4;
	bed->config.is_engine = is_engine;
	bed->config.seed = 1;
	bed->now = SECOND;
	dispatcher_init(&bed->d, &bed->config, &ops, bed, bed->now);
	dispatcher_set_tiers(&bed->d, tiers, G_N_ELEMENTS(tiers));
}

static void set_runner(bed_t *bed, const char *name, bool is_leaving)
{
	dispatcher_runner_t runner = { .is_leaving = is_leaving };

	g_strlcpy(runner.name, name, sizeof(runner.name));
	dispatcher_set_runner(&bed->d, &runner, bed->now);
}

static want_t make_want(bed_t *bed, uint64_t attempt, uint32_t tier,
			uint32_t tokens)
{
	want_t want = {
		.id = { OWNER, attempt },
		.tier = tier,
		.prompt_tokens = tokens,
		.output_tokens = 0,
		.deadline = bed->now + 10 * SECOND,
	};

	g_strlcpy(want.team, "team", sizeof(want.team));
	return want;
}

static void ask(bed_t *bed, uint64_t attempt, uint32_t tier, uint32_t tokens)
{
	want_t want = make_want(bed, attempt, tier, tokens);

	dispatcher_want(&bed->d, &want, bed->now);
}

static void tick(bed_t *bed, int64_t step)
{
	bed->now += step;
	dispatcher_tick(&bed->d, bed->now);
}

static answer_kind_t kind(const bed_t *bed, uint64_t attempt)
{
	return bed->answers[attempt].kind;
}

static dispatcher_stats_t stats(const bed_t *bed)
{
	dispatcher_stats_t out;

	dispatcher_stats(&bed->d, &out);
	return out;
}

/* Runs one request of the size given, so that the runner's speed is known. */
static void teach(bed_t *bed, uint64_t attempt, uint32_t prompt,
		  int64_t prefill, uint32_t output, int64_t decode)
{
	done_t end = { .result = DONE_COMPLETED,
		       .prompt_tokens = prompt,
		       .output_tokens = output + 1 };

	ask(bed, attempt, 1, prompt);
	bed->now += prefill;
	dispatcher_first_token(&bed->d, (want_id_t){ OWNER, attempt },
			       bed->now);
	bed->now += decode;
	dispatcher_done(&bed->d, (want_id_t){ OWNER, attempt }, &end, bed->now);
}

START_TEST(protected_tier_goes_first)
{
	bed_t bed = { 0 };

	bed_init(&bed, true);
	set_runner(&bed, "r", false);
	ask(&bed, 1, 1, 2000); /* fills the window */
	ask(&bed, 2, 2, 10);
	ask(&bed, 3, 1, 10);
	ask(&bed, 4, 0, 10);
	ck_assert_int_eq(kind(&bed, 4), ANSWER_NONE);
	done(&bed, 1, DONE_COMPLETED);
	ck_assert_int_eq(bed.answers[4].order, 1);
	ck_assert_int_eq(kind(&bed, 3), ANSWER_GRANT);
	dispatcher_finish(&bed.d);
}
END_TEST

START_TEST(protected_tier_goes_first_wherever_it_is_listed)
{
	static const dispatcher_tier_t reversed[] = {
		{ .is_protected = false, .weight = 9 },
		{ .is_protected = true, .weight = 1 },
	};
	bed_t bed = { 0 };

	bed_init(&bed, true);
	dispatcher_set_tiers(&bed.d, reversed, G_N_ELEMENTS(reversed));
	set_runner(&bed, "r", false);
	ask(&bed, 1, 0, 2000);
	ask(&bed, 2, 0, 2000);
	ask(&bed, 3, 1, 2000);
	done(&bed, 1, DONE_COMPLETED);
	ck_assert_int_eq(kind(&bed, 3), ANSWER_GRANT);
	ck_assert_int_eq(kind(&bed, 2), ANSWER_NONE);
	dispatcher_finish(&bed.d);
}
END_TEST

START_TEST(earliest_deadline_goes_first_in_a_tier)
{
	bed_t bed = { 0 };
	want_t late, early;

	bed_init(&bed, true);
	set_runner(&bed, "r", false);
	ask(&bed, 1, 0, 2000);
	late = make_want(&bed, 2, 0, 2000);
	early = make_want(&bed, 3, 0, 2000);
	early.deadline -= SECOND;
	dispatcher_want(&bed.d, &late, bed.now);
	dispatcher_want(&bed.d, &early, bed.now);
	done(&bed, 1, DONE_COMPLETED);
	ck_assert_int_eq(kind(&bed, 3), ANSWER_GRANT);
	ck_assert_int_eq(kind(&bed, 2), ANSWER_NONE);
	dispatcher_finish(&bed.d);
}
END_TEST

/* Serves one want at a time and returns the tokens of each class. */
static void serve(bed_t *bed, uint32_t n, const uint32_t *class_of,
		  uint64_t *tokens_of_class, uint32_t rounds,
		  const uint32_t *tokens)
{
	uint64_t running = 0;

	for (uint32_t i = 0; i < rounds; i++) {
		done(bed, running, DONE_COMPLETED);
		for (uint64_t a = 1; a <= n; a++)
			if (kind(bed, a) == ANSWER_GRANT &&
			    bed->answers[a].order == i + 1) {
				running = a;
				tokens_of_class[class_of[a]] += tokens[a];
			}
	}
}

START_TEST(no_weighted_tier_starves)
{
	bed_t bed = { 0 };
	uint32_t class_of[401] = { 0 }, tokens[401] = { 0 };
	uint64_t served[3] = { 0 };

	bed_init(&bed, true);
	set_runner(&bed, "r", false);
	ask(&bed, 0, 1, 2000);
	for (uint64_t a = 1; a <= 400; a++) {
		class_of[a] = 1 + (a & 1);
		tokens[a] = 2000;
		ask(&bed, a, class_of[a], tokens[a]);
	}
	serve(&bed, 400, class_of, served, 200, tokens);
	ck_assert_int_ge(served[1], 2 * served[2]);
	ck_assert_int_le(served[1], 4 * served[2]);
	dispatcher_finish(&bed.d);
}
END_TEST

START_TEST(teams_share_by_tokens_not_by_requests)
{
	bed_t bed = { 0 };
	uint32_t class_of[1501] = { 0 }, tokens[1501] = { 0 };
	uint64_t served[2] = { 0 };

	bed.config.max_wants = 2000;
	bed_init(&bed, true);
	set_runner(&bed, "r", false);
	ask(&bed, 0, 1, 2000);
	for (uint64_t a = 1; a <= 1500; a++) {
		want_t want;

		class_of[a] = a > 1000;
		tokens[a] = class_of[a] ? 200000 : 2000;
		want = make_want(&bed, a, 1, tokens[a]);
		g_strlcpy(want.team, class_of[a] ? "long" : "short",
			  sizeof(want.team));
		dispatcher_want(&bed.d, &want, bed.now);
	}
	serve(&bed, 1500, class_of, served, 505, tokens);
	ck_assert_int_gt(served[0], 0);
	ck_assert_int_gt(served[1], 0);
	ck_assert_int_ge(served[0] * 2, served[1]);
	ck_assert_int_ge(served[1] * 2, served[0]);
	dispatcher_finish(&bed.d);
}
END_TEST

START_TEST(leaving_runner_gets_no_grant)
{
	static const struct {
		bool by_list, by_report, is_relisted, is_removed, is_silent;
		answer_kind_t expected;
	} cases[] = {
		{ .expected = ANSWER_GRANT },
		{ .by_list = true, .expected = ANSWER_REFUSE },
		{ .by_report = true, .expected = ANSWER_REFUSE },
		/* A lagging list must not undo the runner's own word. */
		{ .by_report = true,
		  .is_relisted = true,
		  .expected = ANSWER_REFUSE },
		{ .is_removed = true, .expected = ANSWER_REFUSE },
		{ .is_silent = true, .expected = ANSWER_NONE },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		dispatcher_report_t leaving = { .as_of = 2,
						.is_leaving = true };
		dispatcher_report_t stale = { .as_of = 1 };
		bed_t bed = { 0 };
		str_t name = STR_LIT("r");

		bed_init(&bed, true);
		set_runner(&bed, "r", false);
		if (cases[i].by_list)
			set_runner(&bed, "r", true);
		if (cases[i].by_report) {
			dispatcher_report(&bed.d, name, &leaving, bed.now);
			dispatcher_report(&bed.d, name, &stale, bed.now);
		}
		if (cases[i].is_relisted)
			set_runner(&bed, "r", false);
		if (cases[i].is_removed)
			dispatcher_remove_runner(&bed.d, name, bed.now);
		if (cases[i].is_silent)
			dispatcher_runner_silent(&bed.d, name, bed.now);
		ask(&bed, 1, 0, 10);
		ck_assert_msg(kind(&bed, 1) == cases[i].expected, "case %zu",
			      i);
		dispatcher_finish(&bed.d);
	}
}
END_TEST

START_TEST(leaving_runner_gets_no_grant_beside_others)
{
	static const bool by_report[] = { false, true };

	for (size_t i = 0; i < G_N_ELEMENTS(by_report); i++) {
		dispatcher_report_t leaving = { .as_of = 2,
						.is_leaving = true };
		bed_t bed = { 0 };

		bed_init(&bed, true);
		set_runner(&bed, "stays", false);
		set_runner(&bed, "leaves", !by_report[i]);
		if (by_report[i])
			dispatcher_report(&bed.d, STR_LIT("leaves"), &leaving,
					  bed.now);
		for (uint64_t a = 1; a <= 50; a++)
			ask(&bed, a, a % 3, 100);
		for (uint64_t a = 1; a <= 50; a++)
			ck_assert_str_ne(bed.answers[a].runner, "leaves");
		ck_assert_int_ge(stats(&bed).running, 10);
		dispatcher_finish(&bed.d);
	}
}
END_TEST

START_TEST(queued_wants_are_refused_when_the_last_runner_leaves)
{
	bed_t bed = { 0 };

	bed_init(&bed, true);
	set_runner(&bed, "r", false);
	ask(&bed, 1, 1, 2000);
	ask(&bed, 2, 1, 10);
	ask(&bed, 3, 0, 10);
	set_runner(&bed, "r", true);
	ck_assert_int_eq(kind(&bed, 2), ANSWER_REFUSE);
	ck_assert_int_eq(bed.answers[3].reason, REFUSE_NO_RUNNER);
	ck_assert_int_eq(stats(&bed).running, 1);
	dispatcher_finish(&bed.d);
}
END_TEST

START_TEST(silent_runner_gets_grants_again)
{
	bed_t bed = { 0 };

	bed_init(&bed, true);
	set_runner(&bed, "r", false);
	dispatcher_runner_silent(&bed.d, STR_LIT("r"), bed.now);
	ask(&bed, 1, 0, 10);
	tick(&bed, 500 * MS);
	ck_assert_int_eq(kind(&bed, 1), ANSWER_NONE);
	tick(&bed, 600 * MS);
	ck_assert_int_eq(kind(&bed, 1), ANSWER_GRANT);
	dispatcher_finish(&bed.d);
}
END_TEST

START_TEST(predicted_finish_past_the_deadline_is_refused_at_once)
{
	static const struct {
		uint32_t tokens;
		int64_t need;
		answer_kind_t expected;
	} cases[] = {
		/* The runner was taught a thousand prompt tokens a second. */
		{ 800, SECOND, ANSWER_GRANT },
		{ 900, SECOND, ANSWER_REFUSE }, /* too close to tell */
		{ 1100, SECOND, ANSWER_REFUSE },
		{ 100, 90 * MS, ANSWER_REFUSE },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		bed_t bed = { 0 };
		want_t want;

		bed_init(&bed, true);
		set_runner(&bed, "r", false);
		teach(&bed, 1, 500, 500 * MS, 10, 10 * MS);
		want = make_want(&bed, 2, 1, cases[i].tokens);
		want.deadline = bed.now + cases[i].need;
		dispatcher_want(&bed.d, &want, bed.now);
		ck_assert_msg(kind(&bed, 2) == cases[i].expected, "case %zu",
			      i);
		if (kind(&bed, 2) == ANSWER_REFUSE)
			ck_assert_int_eq(bed.answers[2].reason,
					 REFUSE_DEADLINE);
		dispatcher_finish(&bed.d);
	}
}
END_TEST

START_TEST(work_ahead_at_the_runner_counts_in_the_prediction)
{
	static const struct {
		uint32_t ahead;
		answer_kind_t expected;
	} cases[] = { { 300, ANSWER_GRANT }, { 900, ANSWER_REFUSE } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		bed_t bed = { .config = { .window_tokens = 5000 } };
		want_t want;

		bed_init(&bed, true);
		set_runner(&bed, "r", false);
		teach(&bed, 1, 500, 500 * MS, 10, 10 * MS);
		ask(&bed, 2, 0, cases[i].ahead);
		want = make_want(&bed, 3, 0, 500);
		want.deadline = bed.now + SECOND;
		dispatcher_want(&bed.d, &want, bed.now);
		ck_assert_int_eq(kind(&bed, 3), cases[i].expected);
		dispatcher_finish(&bed.d);
	}
}
END_TEST

START_TEST(grants_in_use_are_bounded)
{
	bed_t bed = { .config = { .max_running = 5, .window_tokens = 100000 } };

	bed_init(&bed, true);
	set_runner(&bed, "r", false);
	for (uint64_t a = 1; a <= 10; a++)
		ask(&bed, a, 1, 1);
	ck_assert_int_eq(stats(&bed).running, 5);
	done(&bed, 1, DONE_COMPLETED);
	ck_assert_int_eq(stats(&bed).running, 5);
	ck_assert_int_eq(stats(&bed).queued, 4);
	dispatcher_finish(&bed.d);
}
END_TEST

START_TEST(queued_want_expires_with_one_answer)
{
	bed_t bed = { 0 };

	bed_init(&bed, true);
	set_runner(&bed, "r", false);
	ask(&bed, 1, 0, 2000);
	ask(&bed, 2, 0, 2000);
	tick(&bed, 11 * SECOND);
	ck_assert_int_eq(kind(&bed, 2), ANSWER_REFUSE);
	ck_assert_int_eq(bed.answers[2].reason, REFUSE_EXPIRED);
	done(&bed, 1, DONE_COMPLETED);
	tick(&bed, SECOND);
	ck_assert_int_eq(bed.answers[2].answers, 1);
	ck_assert_int_eq(stats(&bed).queued, 0);
	dispatcher_finish(&bed.d);
}
END_TEST

START_TEST(full_queue_sheds_the_lowest_tier_first)
{
	bed_t bed = { .config = { .max_wants = 3 } };

	bed_init(&bed, true);
	set_runner(&bed, "r", false);
	ask(&bed, 9, 0, 2000);
	ask(&bed, 1, 1, 10);
	ask(&bed, 2, 2, 10);
	ask(&bed, 3, 1, 10);
	ask(&bed, 4, 0, 10);
	ck_assert_int_eq(bed.answers[2].reason, REFUSE_SHED);
	ask(&bed, 5, 2, 10);
	ck_assert_int_eq(bed.answers[5].reason, REFUSE_QUEUE_FULL);
	ask(&bed, 6, 0, 10);
	ask(&bed, 7, 0, 10);
	ck_assert_int_eq(kind(&bed, 1), ANSWER_REFUSE);
	ck_assert_int_eq(kind(&bed, 3), ANSWER_REFUSE);
	ask(&bed, 8, 0, 10);
	ck_assert_int_eq(bed.answers[8].reason, REFUSE_QUEUE_FULL);
	ck_assert_int_eq(kind(&bed, 4), ANSWER_NONE);
	ck_assert_int_eq(stats(&bed).queued, 3);
	dispatcher_finish(&bed.d);
}
END_TEST

START_TEST(full_queue_sheds_the_team_with_most_queued)
{
	bed_t bed = { .config = { .max_wants = 3 } };
	want_t other;

	bed_init(&bed, true);
	set_runner(&bed, "r", false);
	for (uint64_t a = 1; a <= 4; a++)
		ask(&bed, a, 1, 2000);
	other = make_want(&bed, 5, 1, 100);
	g_strlcpy(other.team, "small", sizeof(other.team));
	dispatcher_want(&bed.d, &other, bed.now);
	ck_assert_int_eq(kind(&bed, 5), ANSWER_NONE);
	ck_assert_int_eq(bed.answers[4].reason, REFUSE_SHED);
	dispatcher_finish(&bed.d);
}
END_TEST

START_TEST(protected_want_is_not_refused_while_lower_work_runs)
{
	bed_t bed = { .config = { .max_wants = 2 } };

	bed_init(&bed, true);
	set_runner(&bed, "r", false);
	teach(&bed, 1, 500, 500 * MS, 10, 10 * MS);
	ask(&bed, 2, 1, 2000);
	/* Too long for its deadline, and too many for the table. */
	for (uint64_t a = 3; a <= 6; a++) {
		want_t want = make_want(&bed, a, 0, 5000);

		want.deadline = bed.now + 3 * SECOND;
		dispatcher_want(&bed.d, &want, bed.now);
		ck_assert_int_ne(kind(&bed, a), ANSWER_REFUSE);
	}
	for (int i = 0; i < 290; i++) {
		tick(&bed, 10 * MS);
		for (uint64_t a = 3; a <= 6; a++)
			ck_assert_int_ne(kind(&bed, a), ANSWER_REFUSE);
	}
	/* The bound of the table holds all the same. */
	for (uint64_t a = 10; a <= 20; a++)
		ask(&bed, a, 0, 5000);
	ck_assert_int_le(stats(&bed).queued, 4);
	dispatcher_finish(&bed.d);
}
END_TEST

START_TEST(protected_want_cancels_lower_work_and_gets_its_place)
{
	static const bool ends_at_once[] = { false, true };

	for (size_t i = 0; i < G_N_ELEMENTS(ends_at_once); i++) {
		bed_t bed = { .ends_at_once = ends_at_once[i] };
		want_t want;

		bed_init(&bed, true);
		set_runner(&bed, "r", false);
		ask(&bed, 1, 1, 2000);
		want = make_want(&bed, 2, 0, 100);
		want.deadline = bed.now + SECOND;
		dispatcher_want(&bed.d, &want, bed.now);
		tick(&bed, 800 * MS);
		ck_assert(!bed.answers[1].is_cancelled);
		tick(&bed, 150 * MS);
		ck_assert(bed.answers[1].is_cancelled);
		if (!ends_at_once[i])
			done(&bed, 1, DONE_CANCELLED);
		ck_assert_int_eq(kind(&bed, 2), ANSWER_GRANT);
		ck_assert_int_eq(stats(&bed).running, 1);
		dispatcher_finish(&bed.d);
	}
}
END_TEST

START_TEST(cancels_the_lowest_tier_and_there_the_least_prompt_work)
{
	static const struct {
		uint32_t tier, tokens;
		bool is_prefilled, is_expected;
	} cases[] = {
		{ 2, 300, true, false },
		{ 2, 200, true, true },
		{ 1, 100, false, false },
		{ 0, 900, false, false },
	};
	bed_t bed = { .config = { .window_tokens = 600 } };
	want_t want;

	bed_init(&bed, true);
	set_runner(&bed, "r", false);
	for (uint64_t a = 0; a < G_N_ELEMENTS(cases); a++) {
		want_id_t id = { OWNER, a };

		ask(&bed, a, cases[a].tier, cases[a].tokens);
		ck_assert_int_eq(kind(&bed, a), ANSWER_GRANT);
		if (cases[a].is_prefilled)
			dispatcher_first_token(&bed.d, id, bed.now);
	}
	want = make_want(&bed, 9, 0, 150);
	want.deadline = bed.now + SECOND;
	dispatcher_want(&bed.d, &want, bed.now);
	tick(&bed, 950 * MS);
	for (uint64_t a = 0; a < G_N_ELEMENTS(cases); a++)
		ck_assert_msg(bed.answers[a].is_cancelled ==
				      cases[a].is_expected,
			      "case %d", (int)a);
	dispatcher_finish(&bed.d);
}
END_TEST

START_TEST(plain_calls_are_never_cancelled)
{
	bed_t bed = { .config = { .plain_slots = 4, .max_wants = 2 } };

	bed_init(&bed, false);
	set_runner(&bed, "r", false);
	for (uint64_t a = 1; a <= 5; a++)
		ask(&bed, a, 1, 1);
	ck_assert_int_eq(kind(&bed, 3), ANSWER_GRANT);
	ck_assert_int_eq(kind(&bed, 4), ANSWER_NONE);
	/* One slot is kept for protected work. */
	ask(&bed, 6, 0, 1);
	ck_assert_int_eq(kind(&bed, 6), ANSWER_GRANT);
	ask(&bed, 7, 0, 1);
	ck_assert_int_eq(bed.answers[5].reason, REFUSE_SHED);
	ask(&bed, 8, 0, 1);
	ck_assert_int_eq(bed.answers[4].reason, REFUSE_SHED);
	tick(&bed, 9950 * MS);
	for (uint64_t a = 1; a <= 3; a++)
		ck_assert(!bed.answers[a].is_cancelled);
	done(&bed, 1, DONE_COMPLETED);
	ck_assert_int_eq(kind(&bed, 7), ANSWER_GRANT);
	dispatcher_finish(&bed.d);
}
END_TEST

/*
 * Asks for work that gets its first token at once, until a want has to wait;
 * that one is withdrawn. Returns how many were granted.
 */
static uint32_t fill(bed_t *bed, uint64_t from)
{
	uint64_t a = from;

	for (;; a++) {
		want_id_t id = { OWNER, a };

		ask(bed, a, 1, 100);
		if (kind(bed, a) != ANSWER_GRANT) {
			dispatcher_withdraw(&bed->d, id, bed->now);
			return (uint32_t)(a - from);
		}
		dispatcher_first_token(&bed->d, id, bed->now);
	}
}

START_TEST(window_shrinks_when_a_runner_slows_without_a_report)
{
	static const bool is_decoding[] = { false, true };

	for (size_t i = 0; i < G_N_ELEMENTS(is_decoding); i++) {
		bed_t bed = { 0 };
		want_t want;
		uint32_t before;

		bed_init(&bed, true);
		set_runner(&bed, "r", false);
		teach(&bed, 0, 500, 50 * MS, 10, 100 * MS);
		before = fill(&bed, 1);
		for (uint64_t a = 1; a <= before; a++)
			done(&bed, a, DONE_BROKEN);
		ck_assert_int_eq(stats(&bed).running, 0);
		want = make_want(&bed, 30, 1, 100);
		want.output_tokens = 10;
		dispatcher_want(&bed.d, &want, bed.now);
		if (is_decoding[i])
			dispatcher_first_token(&bed.d, want.id, bed.now);
		tick(&bed, SECOND); /* no other sign by far */
		tick(&bed, 2 * SECOND);
		ck_assert_int_eq(before, 10);
		ck_assert_int_le(fill(&bed, 40), before / 2);
		dispatcher_finish(&bed.d);
	}
}
END_TEST

START_TEST(reports_count_work_that_others_granted)
{
	bed_t bed = { 0 };
	dispatcher_report_t report = { .running = 40 };

	bed_init(&bed, true);
	set_runner(&bed, "r", false);
	ask(&bed, 1, 1, 100);
	dispatcher_first_token(&bed.d, (want_id_t){ OWNER, 1 }, bed.now);
	report.as_of = bed.now;
	dispatcher_report(&bed.d, STR_LIT("r"), &report, bed.now);
	ask(&bed, 2, 1, 100);
	ck_assert_int_eq(kind(&bed, 2), ANSWER_NONE);
	tick(&bed, 6 * SECOND); /* the report is too old to count */
	ck_assert_int_eq(kind(&bed, 2), ANSWER_GRANT);
	dispatcher_finish(&bed.d);
}
END_TEST

START_TEST(faster_runner_is_chosen_and_the_avoided_is_not)
{
	bed_t bed = { 0 };
	want_t want;

	bed_init(&bed, true);
	set_runner(&bed, "slow", false);
	teach(&bed, 0, 500, 500 * MS, 10, 100 * MS);
	set_runner(&bed, "slow", true);
	set_runner(&bed, "fast", false);
	teach(&bed, 1, 500, 50 * MS, 10, 10 * MS);
	set_runner(&bed, "slow", false);
	ask(&bed, 2, 1, 100);
	ck_assert_str_eq(bed.answers[2].runner, "fast");
	want = make_want(&bed, 3, 1, 100);
	g_strlcpy(want.avoid, "fast", sizeof(want.avoid));
	dispatcher_want(&bed.d, &want, bed.now);
	ck_assert_str_eq(bed.answers[3].runner, "slow");
	set_runner(&bed, "slow", true);
	want.id.attempt = 4; /* better the avoided one than none */
	dispatcher_want(&bed.d, &want, bed.now);
	ck_assert_str_eq(bed.answers[4].runner, "fast");
	dispatcher_finish(&bed.d);
}
END_TEST

START_TEST(protected_want_passes_the_window_where_it_meets_its_deadline)
{
	bed_t bed = { 0 };
	want_t want;

	bed_init(&bed, true);
	set_runner(&bed, "slow", false);
	teach(&bed, 0, 500, 500 * MS, 10, 100 * MS);
	set_runner(&bed, "slow", true);
	set_runner(&bed, "fast", false);
	teach(&bed, 1, 500, 50 * MS, 10, 10 * MS);
	ask(&bed, 2, 1, 2000); /* lower work fills the fast one */
	dispatcher_first_token(&bed.d, (want_id_t){ OWNER, 2 }, bed.now);
	set_runner(&bed, "slow", false);
	want = make_want(&bed, 3, 0, 500);
	want.deadline = bed.now + 400 * MS;
	dispatcher_want(&bed.d, &want, bed.now);
	ck_assert_str_eq(bed.answers[3].runner, "fast");
	want = make_want(&bed, 4, 0, 500); /* this one has time */
	dispatcher_want(&bed.d, &want, bed.now);
	ck_assert_str_eq(bed.answers[4].runner, "slow");
	dispatcher_finish(&bed.d);
}
END_TEST

START_TEST(late_want_waits_for_a_better_runner_and_lets_others_pass)
{
	bed_t bed = { 0 };
	want_t want;

	bed_init(&bed, true);
	set_runner(&bed, "slow", false);
	teach(&bed, 0, 500, 500 * MS, 10, 100 * MS);
	set_runner(&bed, "slow", true);
	set_runner(&bed, "fast", false);
	teach(&bed, 1, 500, 50 * MS, 10, 10 * MS);
	ask(&bed, 2, 1, 2000);
	dispatcher_first_token(&bed.d, (want_id_t){ OWNER, 2 }, bed.now);
	set_runner(&bed, "slow", false);
	want = make_want(&bed, 3, 1, 900);
	want.deadline = bed.now + 600 * MS;
	dispatcher_want(&bed.d, &want, bed.now);
	ck_assert_int_eq(kind(&bed, 3), ANSWER_NONE);
	ask(&bed, 4, 1, 100);
	ck_assert_str_eq(bed.answers[4].runner, "slow");
	want.id.attempt = 5;
	want.deadline = bed.now + 50 * MS; /* too soon for any */
	dispatcher_want(&bed.d, &want, bed.now);
	ck_assert_int_eq(bed.answers[5].reason, REFUSE_DEADLINE);
	done(&bed, 2, DONE_COMPLETED);
	ck_assert_str_eq(bed.answers[3].runner, "fast");
	ck_assert_int_eq(stats(&bed).queued, 0);
	dispatcher_finish(&bed.d);
}
END_TEST

START_TEST(runners_of_unknown_speed_share_the_work)
{
	static const char *const names[] = { "a", "b", "c", "d" };
	static const bool is_one_known[] = { false, true };

	for (size_t c = 0; c < G_N_ELEMENTS(is_one_known); c++) {
		bed_t bed = { .config = { .window_tokens = 10000 } };
		uint32_t counts[4] = { 0 };

		bed_init(&bed, true);
		for (size_t i = 0; i < 4; i++) {
			dispatcher_runner_t r = { .generation = (uint32_t)i };

			g_strlcpy(r.name, names[i], sizeof(r.name));
			dispatcher_set_runner(&bed.d, &r, bed.now);
		}
		if (is_one_known[c])
			teach(&bed, 0, 500, 50 * MS, 10, 10 * MS);
		for (uint64_t a = 1; a <= 16; a++) {
			want_t want = make_want(&bed, a, 0, 100);

			want.output_tokens = 10;
			dispatcher_want(&bed.d, &want, bed.now);
			for (size_t i = 0; i < 4; i++)
				counts[i] += !strcmp(bed.answers[a].runner,
						     names[i]);
		}
		for (size_t i = 0; i < 4; i++)
			ck_assert_int_ge(counts[i], 2);
		dispatcher_finish(&bed.d);
	}
}
END_TEST

START_TEST(lower_work_leaves_protected_work_its_pace)
{
	static const struct {
		int64_t need; /* of the protected want */
		uint32_t granted; /* lower wants beside it */
	} cases[] = { { 10 * SECOND, 19 }, { 450 * MS, 1 } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		bed_t bed = { .config = { .window_tokens = 2000 } };
		done_t end = { .result = DONE_COMPLETED,
			       .prompt_tokens = 100,
			       .output_tokens = 11 };
		want_t want;

		bed_init(&bed, true);
		set_runner(&bed, "r", false);
		/* Ten milliseconds a token alone, some eighty in eight. */
		teach(&bed, 0, 500, 50 * MS, 10, 100 * MS);
		for (uint64_t a = 1; a <= 8; a++) {
			ask(&bed, a, 1, 100);
			bed.now += 10 * MS;
			dispatcher_first_token(&bed.d, (want_id_t){ OWNER, a },
					       bed.now);
		}
		bed.now += 720 * MS;
		for (uint64_t a = 1; a <= 8; a++)
			dispatcher_done(&bed.d, (want_id_t){ OWNER, a }, &end,
					bed.now);
		want = make_want(&bed, 5, 0, 100);
		want.output_tokens = 10;
		want.deadline = bed.now + cases[i].need;
		dispatcher_want(&bed.d, &want, bed.now);
		dispatcher_first_token(&bed.d, want.id, bed.now);
		ck_assert_int_eq(fill(&bed, 20), cases[i].granted);
		dispatcher_finish(&bed.d);
	}
}
END_TEST

START_TEST(prefix_returns_to_its_runner_but_never_past_a_deadline)
{
	static const struct {
		uint32_t load; /* prompt tokens waiting on the known runner */
		const char *expected;
	} cases[] = { { 0, "a" }, { 900, "b" } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		bed_t bed = { .config = { .window_tokens = 5000 } };
		want_t want;

		bed_init(&bed, true);
		set_runner(&bed, "a", false);
		teach(&bed, 0, 500, 500 * MS, 10, 10 * MS);
		want = make_want(&bed, 1, 1, 500);
		want.prefix_hash = 99;
		dispatcher_want(&bed.d, &want, bed.now);
		done(&bed, 1, DONE_COMPLETED);
		if (cases[i].load)
			ask(&bed, 2, 0, cases[i].load);
		set_runner(&bed, "b", false);
		want.id.attempt = 3;
		want.tier = 0;
		want.deadline = bed.now + SECOND;
		dispatcher_want(&bed.d, &want, bed.now);
		ck_assert_str_eq(bed.answers[3].runner, cases[i].expected);
		dispatcher_finish(&bed.d);
	}
}
END_TEST

START_TEST(grants_expire_and_late_events_are_ignored)
{
	bed_t bed = { .config = { .grant_timeout = SECOND } };

	bed_init(&bed, true);
	set_runner(&bed, "r", false);
	ask(&bed, 1, 1, 2000);
	tick(&bed, 900 * MS);
	ck_assert_int_eq(stats(&bed).running, 1);
	tick(&bed, 200 * MS);
	ck_assert_int_eq(stats(&bed).running, 0);
	dispatcher_first_token(&bed.d, (want_id_t){ OWNER, 1 }, bed.now);
	done(&bed, 1, DONE_COMPLETED);
	ck_assert_int_eq(stats(&bed).foreign, 2);
	ck_assert_int_eq(bed.answers[1].answers, 1);
	dispatcher_finish(&bed.d);
}
END_TEST

START_TEST(adopted_work_takes_its_room)
{
	bed_t bed = { 0 };
	want_t want;

	bed_init(&bed, true);
	set_runner(&bed, "r", false);
	want = make_want(&bed, 1, 1, 2000);
	dispatcher_adopt(&bed.d, &want, STR_LIT("r"), bed.now);
	dispatcher_adopt(&bed.d, &want, STR_LIT("r"), bed.now);
	dispatcher_adopt(&bed.d, &want, STR_LIT("unknown"), bed.now);
	ck_assert_int_eq(stats(&bed).running, 1);
	ask(&bed, 2, 1, 10);
	ck_assert_int_eq(kind(&bed, 1), ANSWER_NONE);
	ck_assert_int_eq(kind(&bed, 2), ANSWER_NONE);
	done(&bed, 1, DONE_COMPLETED);
	ck_assert_int_eq(kind(&bed, 2), ANSWER_GRANT);
	dispatcher_finish(&bed.d);
}
END_TEST

START_TEST(withdrawn_and_lost_wants_get_no_answer_and_free_their_room)
{
	bed_t bed = { 0 };

	bed_init(&bed, true);
	set_runner(&bed, "r", false);
	ask(&bed, 1, 1, 2000);
	ask(&bed, 2, 1, 2000);
	ask(&bed, 3, 1, 2000);
	dispatcher_withdraw(&bed.d, (want_id_t){ OWNER, 2 }, bed.now);
	dispatcher_withdraw(&bed.d, (want_id_t){ OWNER, 1 }, bed.now);
	ck_assert_int_eq(kind(&bed, 2), ANSWER_NONE);
	ck_assert_int_eq(kind(&bed, 3), ANSWER_GRANT);
	ask(&bed, 4, 1, 2000);
	dispatcher_owner_lost(&bed.d, OWNER, bed.now);
	ck_assert_int_eq(stats(&bed).queued, 0);
	ck_assert_int_eq(stats(&bed).running, 0);
	ck_assert_int_eq(kind(&bed, 4), ANSWER_NONE);
	dispatcher_finish(&bed.d);
}
END_TEST

START_TEST(repeated_want_gets_no_second_answer)
{
	bed_t bed = { 0 };

	bed_init(&bed, true);
	set_runner(&bed, "r", false);
	ask(&bed, 1, 1, 2000);
	ask(&bed, 1, 1, 2000);
	ask(&bed, 2, 1, 2000);
	ask(&bed, 2, 1, 2000);
	done(&bed, 1, DONE_COMPLETED);
	ck_assert_int_eq(bed.answers[1].answers, 1);
	ck_assert_int_eq(bed.answers[2].answers, 1);
	ck_assert_int_eq(stats(&bed).foreign, 2);
	dispatcher_finish(&bed.d);
}
END_TEST

START_TEST(want_that_is_asked_again_gets_its_lost_grant)
{
	bed_t bed = { 0 };
	want_t want;

	bed_init(&bed, true);
	set_runner(&bed, "r", false);
	for (uint64_t attempt = 1; attempt <= 3; attempt++) {
		want = make_want(&bed, attempt, 1, 900);
		if (attempt < 3)
			dispatcher_want(&bed.d, &want, bed.now);
		dispatcher_want_again(&bed.d, &want, bed.now);
	}
	/* Granted, waiting and new. */
	ck_assert_int_eq(bed.answers[1].answers, 2);
	ck_assert_int_eq(bed.answers[2].answers,
			 kind(&bed, 2) == ANSWER_NONE ? 0 : 2);
	ck_assert_uint_eq(stats(&bed).wants, 3);
	done(&bed, 1, DONE_COMPLETED);
	done(&bed, 2, DONE_COMPLETED);
	done(&bed, 3, DONE_COMPLETED);
	ck_assert_uint_eq(stats(&bed).running + stats(&bed).queued, 0);
	dispatcher_finish(&bed.d);
}
END_TEST

START_TEST(window_follows_the_service_s_document)
{
	bed_t bed = { 0 };

	bed.config.plain_slots = 1;
	bed_init(&bed, false);
	set_runner(&bed, "r", false);
	for (uint64_t attempt = 1; attempt <= 3; attempt++)
		ask(&bed, attempt, 0, 1);
	ck_assert_uint_eq(stats(&bed).running, 1);
	dispatcher_set_window(&bed.d, 3, bed.now);
	ck_assert_uint_eq(stats(&bed).running, 3);
	dispatcher_finish(&bed.d);
}
END_TEST

START_TEST(protected_want_is_not_refused_in_an_unsettled_view)
{
	for (int settled = 0; settled <= 1; settled++) {
		bed_t bed = { .config.plain_slots = 1 };

		bed_init(&bed, false);
		set_runner(&bed, "r", false);
		dispatcher_set_settled(&bed.d, settled, bed.now);
		for (uint64_t attempt = 1; attempt <= 2; attempt++)
			ask(&bed, attempt, 0, 1);
		/* Learn that a call takes six seconds. */
		bed.now += 6 * SECOND;
		done(&bed, 1, DONE_COMPLETED);
		for (uint64_t attempt = 3; attempt <= 9; attempt++)
			ask(&bed, attempt, 0, 1);
		ck_assert_int_eq(stats(&bed).refusals[REFUSE_DEADLINE] > 0,
				 settled);
		/* At its deadline each has an answer all the same. */
		tick(&bed, 10 * SECOND);
		for (uint64_t attempt = 1; attempt <= 9; attempt++)
			ck_assert_int_ne(kind(&bed, attempt), ANSWER_NONE);
		dispatcher_finish(&bed.d);
	}
}
END_TEST

START_TEST(retry_after_grows_with_the_backlog)
{
	bed_t bed = { .config = { .max_wants = 50 } };
	uint32_t small;

	bed_init(&bed, true);
	set_runner(&bed, "r", false);
	ask(&bed, 0, 1, 2000);
	for (uint64_t a = 1; a <= 50; a++)
		ask(&bed, a, 1, 2000);
	ask(&bed, 99, 1, 2000);
	small = bed.answers[99].retry_after_ms;
	/* Now two seconds a want are learned from the grants. */
	for (uint64_t a = 0; a < 3; a++) {
		bed.now += 2 * SECOND;
		done(&bed, a, DONE_BROKEN);
	}
	bed.config.max_wants = 50;
	for (uint64_t a = 100; a < 110; a++)
		ask(&bed, a, 1, 2000);
	ck_assert_int_ge(small, 100);
	ck_assert_int_eq(kind(&bed, 109), ANSWER_REFUSE);
	ck_assert_int_gt(bed.answers[109].retry_after_ms / 10, small);
	dispatcher_finish(&bed.d);
}
END_TEST

START_TEST(tiers_may_change_under_queued_wants)
{
	bed_t bed = { 0 };

	bed_init(&bed, true);
	set_runner(&bed, "r", false);
	ask(&bed, 1, 2, 2000);
	for (uint64_t a = 2; a <= 10; a++)
		ask(&bed, a, a % 3, 10);
	dispatcher_set_tiers(&bed.d, tiers, 1);
	ck_assert_int_eq(stats(&bed).queued, 9);
	done(&bed, 1, DONE_COMPLETED);
	for (uint64_t a = 1; a <= 10; a++)
		ck_assert_int_eq(bed.answers[a].answers, 1);
	dispatcher_finish(&bed.d);
}
END_TEST

START_TEST(baselines_grant_at_once)
{
	static const dispatcher_policy_t policies[] = {
		DISPATCHER_POLICY_ROUND_ROBIN,
		DISPATCHER_POLICY_TWO_CHOICES,
	};

	for (size_t i = 0; i < G_N_ELEMENTS(policies); i++) {
		bed_t bed = { .config = { .policy = policies[i] } };
		dispatcher_report_t busy = { .as_of = 1, .running = 50 };
		uint32_t on_b = 0;

		bed_init(&bed, true);
		set_runner(&bed, "a", false);
		set_runner(&bed, "b", false);
		dispatcher_report(&bed.d, STR_LIT("b"), &busy, bed.now);
		for (uint64_t a = 0; a < 100; a++) {
			ask(&bed, a, 1, 500);
			ck_assert_int_eq(kind(&bed, a), ANSWER_GRANT);
			on_b += !strcmp(bed.answers[a].runner, "b");
		}
		if (policies[i] == DISPATCHER_POLICY_ROUND_ROBIN)
			ck_assert_int_eq(on_b, 50);
		else
			ck_assert_int_lt(on_b, 40);
		dispatcher_finish(&bed.d);
	}
}
END_TEST

/* Random events: whatever happens, nobody gets two answers. */
START_TEST(random_events_keep_one_answer_and_bounds)
{
	bed_t bed = { .config = { .max_wants = 40,
				  .max_running = 30,
				  .grant_timeout = SECOND } };
	GRand *rand = g_rand_new_with_seed(5);
	static const char *const names[] = { "a", "b", "c" };

	bed_init(&bed, true);
	for (uint64_t step = 0, next = 0; step < 20000; step++) {
		uint64_t some = next ? (uint64_t)g_rand_int_range(
					       rand, 0, (gint32)next) :
				       0;
		const char *name = names[g_rand_int_range(rand, 0, 3)];
		dispatcher_report_t report = { .as_of = bed.now,
					       .running =
						       (uint32_t)(step % 20) };

		switch (g_rand_int_range(rand, 0, 9)) {
		case 0:
		case 1:
		case 2:
			if (next < MAX_ANSWERS)
				ask(&bed, next++, (uint32_t)(step % 4),
				    (uint32_t)g_rand_int_range(rand, 1, 900));
			break;
		case 3:
			dispatcher_first_token(
				&bed.d, (want_id_t){ OWNER, some }, bed.now);
			break;
		case 4:
			done(&bed, some, (done_result_t)(step % 5));
			break;
		case 5:
			dispatcher_withdraw(&bed.d, (want_id_t){ OWNER, some },
					    bed.now);
			break;
		case 6:
			set_runner(&bed, name, step % 3 == 0);
			break;
		case 7:
			dispatcher_report(&bed.d, str_from(name), &report,
					  bed.now);
			if (step % 5 == 0)
				dispatcher_remove_runner(&bed.d, str_from(name),
							 bed.now);
			break;
		default:
			tick(&bed, 20 * MS);
		}
		ck_assert_int_le(stats(&bed).queued, 80);
		ck_assert_int_le(stats(&bed).running, 30);
	}
	for (uint64_t a = 0; a < MAX_ANSWERS; a++)
		ck_assert_int_le(bed.answers[a].answers, 1);
	g_rand_free(rand);
	dispatcher_finish(&bed.d);
}
END_TEST

SUITE_MAIN("dispatcher", protected_tier_goes_first,
	   protected_tier_goes_first_wherever_it_is_listed,
	   leaving_runner_gets_no_grant_beside_others,
	   work_ahead_at_the_runner_counts_in_the_prediction,
	   grants_in_use_are_bounded, earliest_deadline_goes_first_in_a_tier,
	   no_weighted_tier_starves, teams_share_by_tokens_not_by_requests,
	   leaving_runner_gets_no_grant,
	   queued_wants_are_refused_when_the_last_runner_leaves,
	   silent_runner_gets_grants_again,
	   predicted_finish_past_the_deadline_is_refused_at_once,
	   queued_want_expires_with_one_answer,
	   full_queue_sheds_the_lowest_tier_first,
	   full_queue_sheds_the_team_with_most_queued,
	   protected_want_is_not_refused_while_lower_work_runs,
	   protected_want_cancels_lower_work_and_gets_its_place,
	   cancels_the_lowest_tier_and_there_the_least_prompt_work,
	   plain_calls_are_never_cancelled,
	   window_shrinks_when_a_runner_slows_without_a_report,
	   reports_count_work_that_others_granted,
	   faster_runner_is_chosen_and_the_avoided_is_not,
	   protected_want_passes_the_window_where_it_meets_its_deadline,
	   late_want_waits_for_a_better_runner_and_lets_others_pass,
	   runners_of_unknown_speed_share_the_work,
	   lower_work_leaves_protected_work_its_pace,
	   prefix_returns_to_its_runner_but_never_past_a_deadline,
	   grants_expire_and_late_events_are_ignored,
	   adopted_work_takes_its_room,
	   withdrawn_and_lost_wants_get_no_answer_and_free_their_room,
	   repeated_want_gets_no_second_answer,
	   want_that_is_asked_again_gets_its_lost_grant,
	   window_follows_the_service_s_document,
	   protected_want_is_not_refused_in_an_unsettled_view,
	   retry_after_grows_with_the_backlog,
	   tiers_may_change_under_queued_wants, baselines_grant_at_once,
	   random_events_keep_one_answer_and_bounds)
