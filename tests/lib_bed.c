#include "tests/lib_bed.h"

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

void bed_done(bed_t *bed, uint64_t attempt, done_result_t result)
{
	done_t end = { .result = result };

	dispatcher_done(&bed->d, (want_id_t){ OWNER, attempt }, &end, bed->now);
}

static void on_cancel(void *ctx, const want_t *want)
{
	bed_t *bed = ctx;

	bed->answers[want->id.attempt].is_cancelled = true;
	if (bed->ends_at_once)
		bed_done(bed, want->id.attempt, DONE_CANCELLED);
}

static const dispatcher_tier_t tiers[] = {
	{ .is_protected = true, .weight = 1 },
	{ .is_protected = false, .weight = 3 },
	{ .is_protected = false, .weight = 1 },
};

void bed_init(bed_t *bed, bool is_engine)
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

void bed_set_runner(bed_t *bed, const char *name, bool is_leaving)
{
	dispatcher_runner_t runner = { .is_leaving = is_leaving };

	g_strlcpy(runner.name, name, sizeof(runner.name));
	dispatcher_set_runner(&bed->d, &runner, bed->now);
}

void bed_init_taken(bed_t *bed)
{
	bed->config.engine_slots = 1;
	bed_init(bed, true);
	bed_set_runner(bed, "r", false);
	bed_ask(bed, 1, 1, 1);
}

want_t bed_make_want(bed_t *bed, uint64_t attempt, uint32_t tier,
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

void bed_ask(bed_t *bed, uint64_t attempt, uint32_t tier, uint32_t tokens)
{
	want_t want = bed_make_want(bed, attempt, tier, tokens);

	dispatcher_want(&bed->d, &want, bed->now);
}

void bed_tick(bed_t *bed, int64_t step)
{
	bed->now += step;
	dispatcher_tick(&bed->d, bed->now);
}

answer_kind_t bed_kind(const bed_t *bed, uint64_t attempt)
{
	return bed->answers[attempt].kind;
}

dispatcher_stats_t bed_stats(const bed_t *bed)
{
	dispatcher_stats_t out;

	dispatcher_stats(&bed->d, &out);
	return out;
}

void bed_teach(bed_t *bed, uint64_t attempt, uint32_t prompt, int64_t prefill,
	       uint32_t output, int64_t decode)
{
	done_t end = { .result = DONE_COMPLETED,
		       .prompt_tokens = prompt,
		       .output_tokens = output + 1 };

	bed_ask(bed, attempt, 1, prompt);
	bed->now += prefill;
	dispatcher_first_token(&bed->d, (want_id_t){ OWNER, attempt },
			       bed->now);
	bed->now += decode;
	dispatcher_done(&bed->d, (want_id_t){ OWNER, attempt }, &end, bed->now);
}

uint32_t bed_fill(bed_t *bed, uint64_t from)
{
	uint64_t a = from;

	for (;; a++) {
		want_id_t id = { OWNER, a };

		bed_ask(bed, a, 1, 100);
		if (bed_kind(bed, a) != ANSWER_GRANT) {
			dispatcher_withdraw(&bed->d, id, bed->now);
			return (uint32_t)(a - from);
		}
		dispatcher_first_token(&bed->d, id, bed->now);
	}
}
