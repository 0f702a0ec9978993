#include "core/dispatcher_explain.h"

#include "core/dispatcher_state.h"

const char *explain_verdict_name(explain_verdict_t verdict)
{
	static const char *const names[EXPLAIN_VERDICTS] = {
		[EXPLAIN_CHOSEN] = "chosen",
		[EXPLAIN_ROOM] = "has room",
		[EXPLAIN_FULL] = "full",
		[EXPLAIN_MEMORY] = "its memory is taken",
		[EXPLAIN_LEAVING] = "leaving",
		[EXPLAIN_PARTITIONED] = "its zone can't be reached",
		[EXPLAIN_SUSPENDED] = "suspended after failures",
		[EXPLAIN_AVOIDED] = "failed with an earlier attempt",
		[EXPLAIN_OTHER_RELEASE] = "of another release",
		[EXPLAIN_PAUSED] = "paused for this daemon",
		[EXPLAIN_LIMITED] = "at the rate that it named",
	};

	return names[verdict];
}

const char *refuse_reason_text(refuse_reason_t reason)
{
	static const char *const texts[REFUSE_REASONS] = {
		[REFUSE_DEADLINE] = "it could not finish within its deadline",
		[REFUSE_QUEUE_FULL] = "the queue is full",
		[REFUSE_SHED] = "it gave way to a more urgent tier",
		[REFUSE_NO_RUNNER] = "the service has no runner",
		[REFUSE_EXPIRED] = "its deadline passed while it waited",
		[REFUSE_PAUSED] = "the engines asked for a pause",
		[REFUSE_NO_RELEASE] = "no engine of its release serves",
		[REFUSE_TOO_LARGE] = "it exceeds the memory of the engines",
	};

	return texts[reason];
}

static bool is_limited(const runner_t *runner, int64_t now)
{
	runner_limit_bucket_t copy = runner->limit_bucket;

	return !runner_limit_has_room(&runner->limit, &copy, now);
}

static explain_verdict_t judge(const struct dispatcher_state *s,
			       const attempt_t *attempt, const runner_t *runner,
			       runner_room_t room, int64_t now)
{
	if (runner->info.is_leaving || runner->is_leaving_by_report ||
	    !runner->is_listed)
		return EXPLAIN_LEAVING;
	if (runner->info.is_partitioned)
		return EXPLAIN_PARTITIONED;
	if (runner->suspended_until > now)
		return EXPLAIN_SUSPENDED;
	if (!dispatcher_is_of_release(attempt, runner))
		return EXPLAIN_OTHER_RELEASE;
	if (s->available->len > 1 &&
	    !strcmp(attempt->want.avoid, runner->info.name))
		return EXPLAIN_AVOIDED;
	if (dispatcher_is_paused(s, runner, attempt->want.id.owner, now))
		return EXPLAIN_PAUSED;
	if (is_limited(runner, now))
		return EXPLAIN_LIMITED;
	return runner_model_has_room(&runner->model, room, now) ? EXPLAIN_ROOM :
								  EXPLAIN_FULL;
}

/* Returns the record of the runner as a holder of the prefix, or NULL. */
static const affinity_holder_t *find_holder(const struct dispatcher_state *s,
					    uint64_t hash,
					    const runner_t *runner)
{
	const affinity_holder_t *holder;

	for (uint32_t i = 0; (holder = affinity_holder(&s->affinity, hash, i));
	     i++)
		if (holder->runner == runner)
			return holder;
	return NULL;
}

/* Sets what the runner may have cached: of the session, else the prefix. */
static void describe_cached(const struct dispatcher_state *s,
			    const want_t *want, const runner_t *runner,
			    int64_t now, explained_runner_t *out)
{
	const uint64_t hashes[] = { want->session_hash, want->prefix_hash };
	const uint32_t tokens[] = { want->session_tokens, want->prefix_tokens };

	out->cached_age = -1;
	for (size_t i = 0; i < G_N_ELEMENTS(hashes) && !out->cached_tokens;
	     i++) {
		const affinity_holder_t *holder =
			hashes[i] ? find_holder(s, hashes[i], runner) : NULL;
		double part = 0;

		if (!holder)
			continue;
		affinity_find(&s->affinity, hashes[i], &part);
		out->cached_tokens =
			tokens[i] ? MIN(tokens[i], want->prompt_tokens) :
				    (uint32_t)(part * want->prompt_tokens);
		if (holder->at)
			out->cached_age = now - holder->at;
	}
}

static void describe_report(const runner_model_t *m, int64_t now,
			    explained_runner_t *out)
{
	const runner_load_t *stated = &m->stated.last;
	int64_t at = MAX(m->report_received_at, stated->at);

	out->pace = stated->pace;
	out->report_age = at ? now - at : -1;
	out->reported = stated->at > m->report_received_at ?
				stated->running + stated->waiting :
				m->reported_requests;
}

static void describe(const struct dispatcher_state *s, const want_t *want,
		     const runner_t *runner, int64_t now,
		     explained_runner_t *out)
{
	const runner_model_t *m = &runner->model;
	want_t first = *want;
	double part;

	g_strlcpy(out->name, runner->info.name, sizeof(out->name));
	describe_cached(s, want, runner, now, out);
	part = (double)out->cached_tokens / MAX(want->prompt_tokens, 1);
	out->end = dispatcher_predict(runner, want, part, now);
	first.output_tokens = 1;
	if (s->config.is_engine)
		out->start = dispatcher_predict(runner, &first, part, now);
	out->blocked = MAX(runner->suspended_until - now, 0);
	out->running = m->running;
	out->tokens = m->tokens;
	out->window = m->window;
	describe_report(m, now, out);
	if (runner->limit.state == RUNNER_LIMIT_NAMED)
		out->rate = runner->limit.rate;
}

static int by_verdict(gconstpointer a, gconstpointer b)
{
	const explained_runner_t *x = a, *y = b;

	if (x->verdict != y->verdict)
		return x->verdict < y->verdict ? -1 : 1;
	if (x->end != y->end)
		return x->end < y->end ? -1 : 1;
	return strcmp(x->name, y->name);
}

static void list_runners(const struct dispatcher_state *s,
			 const attempt_t *attempt, const runner_t *chosen,
			 runner_room_t room, int64_t now,
			 dispatcher_explanation_t *out)
{
	g_autoptr(GArray) all =
		g_array_new(FALSE, TRUE, sizeof(explained_runner_t));
	GHashTableIter iter;
	const runner_t *runner;

	g_hash_table_iter_init(&iter, s->runners);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&runner)) {
		explained_runner_t row = { 0 };

		describe(s, &attempt->want, runner, now, &row);
		row.verdict = runner == chosen ?
				      EXPLAIN_CHOSEN :
				      judge(s, attempt, runner, room, now);
		g_array_append_val(all, row);
	}
	g_array_sort(all, by_verdict);
	out->n_runners = all->len;
	out->n = MIN(all->len, EXPLAIN_MAX_RUNNERS);
	if (out->n)
		memcpy(out->runners, all->data,
		       out->n * sizeof(explained_runner_t));
}

static bool has_runner(struct dispatcher_state *s, int64_t now)
{
	int64_t since = s->unavailable_since;
	bool found = dispatcher_has_runner(s, now);

	s->unavailable_since = since;
	return found;
}

static bool is_queue_full(const struct dispatcher_state *s,
			  const attempt_t *attempt)
{
	return s->queue.entries >= s->config.max_wants &&
	       !queue_victim(&s->queue, attempt->entry.tier,
			     attempt->entry.team, attempt->entry.cost) &&
	       dispatcher_may_refuse(s, attempt->entry.tier);
}

/* Tells whether the want would be refused on arrival; sets REASON. */
static bool is_refused(struct dispatcher_state *s, const attempt_t *attempt,
		       int64_t now, refuse_reason_t *reason)
{
	if (!has_runner(s, now))
		*reason = REFUSE_NO_RUNNER;
	else if (!dispatcher_has_release(s, attempt))
		*reason = REFUSE_NO_RELEASE;
	else if (dispatcher_paused_too_long(s, attempt, now))
		*reason = REFUSE_PAUSED;
	else if (dispatcher_misses_start(s, attempt, now))
		*reason = REFUSE_DEADLINE;
	else if (is_queue_full(s, attempt))
		*reason = REFUSE_QUEUE_FULL;
	else
		return false;
	return true;
}

/* The attempt that the want would become, in no queue and no table. */
static attempt_t make_attempt(const struct dispatcher_state *s,
			      const want_t *want, int64_t now)
{
	attempt_t attempt = { .want = *want };

	attempt.want.tier = MIN(want->tier, DISPATCHER_MAX_TIERS - 1);
	attempt.entry.tier = attempt.want.tier;
	attempt.entry.deadline = want->deadline;
	attempt.entry.cost = 1;
	if (s->config.is_engine)
		attempt.entry.cost = MAX(
			(uint64_t)want->prompt_tokens + want->output_tokens, 1);
	attempt.latest_start = dispatcher_latest_start(s, want, now);
	return attempt;
}

/* Grants to the chosen runner, unless it would end the want too late. */
static explain_outcome_t decide(const struct dispatcher_state *s,
				const attempt_t *attempt,
				const runner_t *chosen, int64_t finish,
				int64_t now, dispatcher_explanation_t *out)
{
	if (!dispatcher_is_refusable(s, attempt, chosen, finish, now))
		return EXPLAIN_GRANT;
	out->reason = REFUSE_DEADLINE;
	return EXPLAIN_REFUSE;
}

void dispatcher_explain(const dispatcher_t *d, const want_t *want, int64_t now,
			dispatcher_explanation_t *out)
{
	struct dispatcher_state *s = d->state;
	attempt_t attempt = make_attempt(s, want, now);
	runner_room_t room = ROOM_UNPROTECTED;
	runner_t *chosen;
	int64_t finish = 0;

	attempt.entry.team = str_from(attempt.want.team);
	if (queue_is_protected(&s->queue, attempt.entry.tier))
		room = ROOM_PROTECTED;
	*out = (dispatcher_explanation_t){
		.outcome = EXPLAIN_QUEUE,
		.queued = s->queue.entries,
		.running = s->n_running,
		.wait = dispatcher_wait_time(s, attempt.entry.tier,
					     attempt.entry.cost),
	};
	chosen = dispatcher_choose_for_tier(s, &attempt, now, &finish);
	if (is_refused(s, &attempt, now, &out->reason))
		out->outcome = EXPLAIN_REFUSE;
	else if (chosen && !s->queue.entries &&
		 s->n_running < s->config.max_running)
		out->outcome = decide(s, &attempt, chosen, finish, now, out);
	if (out->outcome != EXPLAIN_GRANT)
		chosen = NULL;
	list_runners(s, &attempt, chosen, room, now, out);
}
