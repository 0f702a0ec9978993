#include "tests/lib_fixture.h"

static void on_grant(void *ctx, const want_t *want,
		     const dispatcher_runner_t *runner)
{
	fixture_t *fixture = ctx;
	answer_t *a = &fixture->answers[want->id.attempt];

	a->kind = ANSWER_GRANT;
	a->answers++;
	a->order = fixture->n_answers++;
	g_strlcpy(a->runner, runner->name, sizeof(a->runner));
}

static void on_refuse(void *ctx, const want_t *want, refuse_reason_t reason,
		      uint32_t retry_after_ms)
{
	fixture_t *fixture = ctx;
	answer_t *a = &fixture->answers[want->id.attempt];

	a->kind = ANSWER_REFUSE;
	a->answers++;
	a->order = fixture->n_answers++;
	a->reason = reason;
	a->retry_after_ms = retry_after_ms;
}

void fixture_done(fixture_t *fixture, uint64_t attempt, done_result_t result)
{
	done_t end = { .result = result };

	dispatcher_done(&fixture->d, (want_id_t){ OWNER, attempt }, &end,
			fixture->now);
}

static void on_cancel(void *ctx, const want_t *want)
{
	fixture_t *fixture = ctx;

	fixture->answers[want->id.attempt].is_cancelled = true;
	if (fixture->ends_in_on_cancel)
		fixture_done(fixture, want->id.attempt, DONE_CANCELLED);
}

static const dispatcher_tier_t tiers[] = {
	{ .is_protected = true, .weight = 1 },
	{ .is_protected = false, .weight = 3 },
	{ .is_protected = false, .weight = 1 },
};

void fixture_init(fixture_t *fixture, bool is_engine)
{
	static const dispatcher_ops_t ops = { on_grant, on_refuse, on_cancel };

	if (!fixture->config.max_wants)
		fixture->config.max_wants = 1000;
	if (!fixture->config.max_running)
		fixture->config.max_running = 1000;
	if (!fixture->config.grant_timeout)
		fixture->config.grant_timeout = 60 * SECOND;
	if (!fixture->config.window_tokens)
		fixture->config.window_tokens = 1000;
	if (!fixture->config.plain_slots)
		fixture->config.plain_slots = 4;
	fixture->config.is_engine = is_engine;
	fixture->config.seed = 1;
	fixture->now = SECOND;
	dispatcher_init(&fixture->d, &fixture->config, &ops, fixture,
			fixture->now);
	dispatcher_set_tiers(&fixture->d, tiers, G_N_ELEMENTS(tiers));
}

void fixture_set_runner(fixture_t *fixture, const char *name, bool is_leaving)
{
	dispatcher_runner_t runner = { .is_leaving = is_leaving };

	g_strlcpy(runner.name, name, sizeof(runner.name));
	dispatcher_set_runner(&fixture->d, &runner, fixture->now);
}

void fixture_init_busy(fixture_t *fixture)
{
	fixture->config.engine_slots = 1;
	fixture_init(fixture, true);
	fixture_set_runner(fixture, "r", false);
	fixture_submit(fixture, 1, 1, 1);
}

want_t fixture_make_want(fixture_t *fixture, uint64_t attempt, uint32_t tier,
			 uint32_t tokens)
{
	want_t want = {
		.id = { OWNER, attempt },
		.tier = tier,
		.prompt_tokens = tokens,
		.output_tokens = 0,
		.deadline = fixture->now + 10 * SECOND,
	};

	g_strlcpy(want.team, "team", sizeof(want.team));
	return want;
}

void fixture_submit(fixture_t *fixture, uint64_t attempt, uint32_t tier,
		    uint32_t tokens)
{
	want_t want = fixture_make_want(fixture, attempt, tier, tokens);

	dispatcher_want(&fixture->d, &want, fixture->now);
}

void fixture_tick(fixture_t *fixture, int64_t step)
{
	fixture->now += step;
	dispatcher_tick(&fixture->d, fixture->now);
}

answer_kind_t fixture_answer_kind(const fixture_t *fixture, uint64_t attempt)
{
	return fixture->answers[attempt].kind;
}

dispatcher_stats_t fixture_stats(const fixture_t *fixture)
{
	dispatcher_stats_t out;

	dispatcher_stats(&fixture->d, &out);
	return out;
}

void fixture_calibrate(fixture_t *fixture, uint64_t attempt, uint32_t prompt,
		       int64_t prefill, uint32_t output, int64_t decode)
{
	done_t end = { .result = DONE_COMPLETED,
		       .prompt_tokens = prompt,
		       .output_tokens = output + 1 };

	fixture_submit(fixture, attempt, 1, prompt);
	fixture->now += prefill;
	dispatcher_first_token(&fixture->d, (want_id_t){ OWNER, attempt },
			       fixture->now);
	fixture->now += decode;
	dispatcher_done(&fixture->d, (want_id_t){ OWNER, attempt }, &end,
			fixture->now);
}

uint32_t fixture_fill_runners(fixture_t *fixture, uint64_t from)
{
	uint64_t a = from;

	for (;; a++) {
		want_id_t id = { OWNER, a };

		fixture_submit(fixture, a, 1, 100);
		if (fixture_answer_kind(fixture, a) != ANSWER_GRANT) {
			dispatcher_withdraw(&fixture->d, id, fixture->now);
			return (uint32_t)(a - from);
		}
		dispatcher_first_token(&fixture->d, id, fixture->now);
	}
}
