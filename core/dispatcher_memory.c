/*
 * Engines get no more work than their memory holds. Work that fits nowhere now
 * lets other work pass for a while; then a runner is kept for it.
 */
#include "core/dispatcher_state.h"

enum {
	US_PER_MS = 1000,
	PASS_US = 100 * US_PER_MS, /* how long other work may pass */
	KEEP_US = 50 * US_PER_MS, /* a runner is kept; renewed by each round */
	KEPT_DIVISOR = 4, /* a quarter of the runners may be kept at a time */
};

static bool is_same(want_id_t a, want_id_t b)
{
	return a.owner == b.owner && a.attempt == b.attempt;
}

/* Returns whether the runner is kept for a want other than ID. */
static bool is_kept(const runner_t *runner, want_id_t id, int64_t now)
{
	return runner->kept_until > now && !is_same(runner->kept_for, id);
}

bool dispatcher_fits(const struct dispatcher_state *s, const want_t *want,
		     const runner_t *runner, int64_t now)
{
	if (!s->config.bounds_memory)
		return true;
	return !is_kept(runner, want->id, now) &&
	       runner_model_fits(&runner->model, want->prompt_tokens,
				 want->output_tokens);
}

bool dispatcher_never_fits(const struct dispatcher_state *s, const want_t *want)
{
	/* The output is an estimate; one token is the least. */
	return s->config.bounds_memory && s->config.is_engine &&
	       want->prompt_tokens >= s->config.window_tokens;
}

static double free_memory(const runner_t *runner)
{
	return runner->model.window - (double)runner->model.memory_tokens;
}

/* Returns the runner that is kept for the want, or else has most free. */
static runner_t *find_runner(struct dispatcher_state *s,
			     const attempt_t *attempt, int64_t now)
{
	runner_t *best = NULL;

	for (guint i = 0; i < s->available->len; i++) {
		runner_t *runner = s->available->pdata[i];

		if (is_kept(runner, attempt->want.id, now) ||
		    dispatcher_is_excluded(s, attempt, runner, now))
			continue;
		if (runner->kept_until > now)
			return runner;
		if (!best || free_memory(runner) > free_memory(best))
			best = runner;
	}
	return best;
}

/* Returns how many runners are kept for other wants than ID. */
static uint32_t count_kept(const struct dispatcher_state *s, want_id_t id,
			   int64_t now)
{
	uint32_t n = 0;

	for (guint i = 0; i < s->available->len; i++)
		n += is_kept(s->available->pdata[i], id, now);
	return n;
}

void dispatcher_await_memory(struct dispatcher_state *s, attempt_t *attempt,
			     int64_t now)
{
	runner_t *runner;

	if (!attempt->unfit_since)
		attempt->unfit_since = now;
	if (now - attempt->unfit_since < PASS_US ||
	    count_kept(s, attempt->want.id, now) >=
		    MAX(s->available->len / KEPT_DIVISOR, 1))
		return;
	runner = find_runner(s, attempt, now);
	if (!runner)
		return;
	runner->kept_for = attempt->want.id;
	runner->kept_until = now + KEEP_US;
}
