/*
 * Prefers runners that may have the beginning of a want's prompt in their
 * prefix cache, if the time saved exceeds the additional wait there.
 */
#include "core/cache_value.h"
#include "core/dispatcher_state.h"

/* A beginning of a prompt that a runner may have cached. */
typedef struct cache_hint {
	uint64_t hash; /* 0: none */
	uint32_t tokens; /* length; 0: unknown, estimated */
} cache_hint_t;

/* The runner chosen so far, and the predicted end of the want there. */
typedef struct choice {
	runner_t *runner;
	int64_t finish;
} choice_t;

/* Prefers the runner that cached HINT if the want ends no later there. */
static runner_t *prefer_latest(struct dispatcher_state *s,
			       const attempt_t *attempt,
			       const cache_hint_t *hint, runner_t *best,
			       runner_room_t room, int64_t now, int64_t *finish)
{
	double cached = 0;
	const void *known;
	runner_t *runner;
	int64_t end;

	if (!hint->hash)
		return best;
	known = affinity_find(&s->affinity, hint->hash, &cached);
	/* A runner's entries are removed before it is freed. */
	runner = (runner_t *)known;
	if (!runner || !runner->ranked ||
	    dispatcher_is_excluded(s, attempt, runner, now) ||
	    !runner_model_has_room(&runner->model, room, now) ||
	    !dispatcher_fits(s, &attempt->want, runner, now))
		return best;
	if (hint->tokens)
		cached = MIN((double)hint->tokens / attempt->want.prompt_tokens,
			     1);
	end = now + dispatcher_predict(runner, &attempt->want, cached, now);
	if (end > *finish)
		return best;
	*finish = end;
	return runner;
}

static cached_prefix_t describe(const struct dispatcher_state *s,
				const affinity_holder_t *holder,
				const runner_t *runner, uint32_t tokens,
				int64_t now)
{
	return (cached_prefix_t){
		.tokens = tokens,
		.age = now - holder->at,
		.tokens_since = runner->model.tokens_given - holder->tokens,
		.capacity = s->config.window_tokens,
	};
}

/* Returns the length of HINT, or an estimate from earlier answers. */
static uint32_t hint_tokens(const struct dispatcher_state *s,
			    const want_t *want, const cache_hint_t *hint)
{
	double cached = 0;

	if (hint->tokens)
		return MIN(hint->tokens, want->prompt_tokens);
	affinity_find(&s->affinity, hint->hash, &cached);
	return (uint32_t)(cached * want->prompt_tokens);
}

/* Returns the expected prefill time that HOLDER's runner saves for HINT. */
static int64_t saving_at(const struct dispatcher_state *s, const want_t *want,
			 const cache_hint_t *hint,
			 const affinity_holder_t *holder,
			 const runner_t *runner, int64_t now)
{
	uint32_t tokens = hint_tokens(s, want, hint);
	cached_prefix_t p = describe(s, holder, runner, tokens, now);
	double part = (double)tokens / MAX(want->prompt_tokens, 1);

	return cache_value_saving(
		&p, dispatcher_predict(runner, want, 0, now) -
			    dispatcher_predict(runner, want, part, now));
}

/* Replaces BEST by HOLDER's runner if what it saves outweighs the wait. */
static void weigh_holder(struct dispatcher_state *s, const attempt_t *attempt,
			 const cache_hint_t *hint,
			 const affinity_holder_t *holder, runner_room_t room,
			 int64_t now, choice_t *best)
{
	const want_t *want = &attempt->want;
	/* A runner's entries are removed before it is freed. */
	runner_t *runner = (runner_t *)holder->runner;
	int64_t wait, saving, end;

	if (!runner->ranked ||
	    dispatcher_is_excluded(s, attempt, runner, now) ||
	    !dispatcher_fits(s, want, runner, now))
		return;
	wait = runner_model_place_wait(&runner->model, room, now);
	if (wait == INT64_MAX)
		return;
	saving = saving_at(s, want, hint, holder, runner, now);
	end = now + wait + dispatcher_predict(runner, want, 0, now);
	if (!cache_value_prefers(saving, end - now, best->finish - now))
		return;
	*best = (choice_t){ runner, end - saving };
}

static runner_t *weigh_all(struct dispatcher_state *s, const attempt_t *attempt,
			   const cache_hint_t *hints, size_t n, runner_t *first,
			   runner_room_t room, int64_t now, int64_t *finish)
{
	choice_t best = { first, *finish };

	for (size_t i = 0; i < n; i++) {
		const affinity_holder_t *holder;

		if (!hints[i].hash)
			continue;
		for (uint32_t k = 0;
		     (holder = affinity_holder(&s->affinity, hints[i].hash, k));
		     k++)
			weigh_holder(s, attempt, &hints[i], holder, room, now,
				     &best);
	}
	*finish = best.finish;
	return best.runner;
}

/*
 * The session's runner is considered last, so that it takes precedence: it has
 * more cached than the prefix's runner.
 */
runner_t *dispatcher_prefer_cached(struct dispatcher_state *s,
				   const attempt_t *attempt, runner_t *best,
				   runner_room_t room, int64_t now,
				   int64_t *finish)
{
	const want_t *w = &attempt->want;
	cache_hint_t hints[] = { { w->prefix_hash, w->prefix_tokens },
				 { w->session_hash, w->session_tokens } };

	if (s->config.weighs_prompt_cache && s->config.is_engine)
		return weigh_all(s, attempt, hints, G_N_ELEMENTS(hints), best,
				 room, now, finish);
	for (size_t i = 0; i < G_N_ELEMENTS(hints); i++)
		best = prefer_latest(s, attempt, &hints[i], best, room, now,
				     finish);
	return best;
}

static void record_part(struct dispatcher_state *s, uint64_t hash,
			const runner_t *runner, int64_t now)
{
	if (!hash)
		return;
	affinity_record(&s->affinity, hash, runner);
	affinity_note(&s->affinity, hash, now, runner->model.tokens_given);
}

static const affinity_holder_t *find_holder(const struct dispatcher_state *s,
					    uint64_t hash,
					    const runner_t *runner)
{
	const affinity_holder_t *h;

	for (uint32_t i = 0; (h = affinity_holder(&s->affinity, hash, i)); i++)
		if (h->runner == runner)
			return h;
	return NULL;
}

/*
 * Sets TOKENS to the expected number of tokens of HINT in the runner's cache;
 * returns whether the runner is recorded as a holder of HINT.
 */
static bool find_cached(const struct dispatcher_state *s,
			const cache_hint_t *hint, const runner_t *runner,
			int64_t now, uint32_t *tokens)
{
	const affinity_holder_t *holder =
		hint->hash ? find_holder(s, hint->hash, runner) : NULL;
	cached_prefix_t p;
	double cached;

	*tokens = 0;
	if (!holder)
		return false;
	if (!s->config.weighs_prompt_cache) {
		if (affinity_find(&s->affinity, hint->hash, &cached) != runner)
			return false;
		*tokens = hint->tokens;
		return true;
	}
	p = describe(s, holder, runner, hint->tokens, now);
	*tokens = (uint32_t)(hint->tokens * cache_value_certainty(&p));
	return true;
}

/* Counts a cache hit or miss; call it before recording the new holder. */
static void count_cached(struct dispatcher_state *s, const attempt_t *attempt,
			 const runner_t *runner, int64_t now)
{
	const want_t *want = &attempt->want;
	double part =
		(double)attempt->cached_tokens / MAX(want->prompt_tokens, 1);

	if (attempt->cached_tokens) {
		s->stats.cache_choices++;
		s->stats.cache_saved +=
			(uint64_t)(dispatcher_predict(runner, want, 0, now) -
				   dispatcher_predict(runner, want,
						      MIN(part, 1), now));
	} else if (affinity_holder(&s->affinity, want->session_hash, 0) ||
		   affinity_holder(&s->affinity, want->prefix_hash, 0)) {
		s->stats.cache_passed++;
	}
}

void dispatcher_find_cached(struct dispatcher_state *s, attempt_t *attempt,
			    const runner_t *runner, int64_t now)
{
	const want_t *want = &attempt->want;
	cache_hint_t prefix = { want->prefix_hash, want->prefix_tokens };
	cache_hint_t session = { want->session_hash, want->session_tokens };

	if (!find_cached(s, &session, runner, now, &attempt->cached_tokens))
		find_cached(s, &prefix, runner, now, &attempt->cached_tokens);
	if (s->config.weighs_prompt_cache)
		count_cached(s, attempt, runner, now);
}

void dispatcher_record_cached(struct dispatcher_state *s,
			      const attempt_t *attempt, runner_t *runner,
			      int64_t now)
{
	const want_t *want = &attempt->want;

	/* Tokens that are cached already take up no additional space. */
	runner->model.tokens_given -=
		MIN(attempt->cached_tokens, want->prompt_tokens);
	record_part(s, want->prefix_hash, runner, now);
	record_part(s, want->session_hash, runner, now);
}
