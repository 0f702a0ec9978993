/*
 * Admits no more work to an engine than its memory holds. A want that fits no
 * runner now is overtaken by others for a while; then a runner is reserved for
 * it, so that large wants don't starve.
 */
#include "core/dispatcher_state.h"

enum {
	US_PER_MS = 1000,
	PASS_US = 100 * US_PER_MS, /* how long other wants may overtake */
	KEEP_US = 50 * US_PER_MS, /* of a reservation; decisions renew it */
	KEPT_DIVISOR = 4, /* at most 1/4 of the runners is reserved */
};

static bool is_same(want_id_t a, want_id_t b)
{
	return a.owner == b.owner && a.attempt == b.attempt;
}

/* Returns whether the runner is reserved for a want other than ID. */
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

/* Returns the runner reserved for the want, else one with most free memory. */
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

/* Returns how many runners are reserved for wants other than ID. */
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
