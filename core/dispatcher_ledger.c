#include "common/sequence.h"
#include "core/dispatcher_state.h"

enum {
	US_PER_MS = 1000,
	US_PER_S = 1000000,
	MAX_RATE_GAP_US = 10 * US_PER_S, /* longer gaps don't count */
};

static const double average_step =
	0.02; /* weight of a new want in the moving averages */
static const double rate_window_s = 2; /* window of the grant rate */

static void update_typical(struct dispatcher_state *s, const want_t *want)
{
	s->typical_prompt +=
		average_step * (want->prompt_tokens - s->typical_prompt);
	s->typical_output +=
		average_step * (want->output_tokens - s->typical_output);
}

/* Lowest tier first, within it the least prompt work lost. */
static gint by_loss(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct dispatcher_state *s = data;
	const attempt_t *x = a, *y = b;
	uint32_t lost_x = x->work.first_token_at ? x->want.prompt_tokens : 0;
	uint32_t lost_y = y->work.first_token_at ? y->want.prompt_tokens : 0;

	if (queue_is_lower(&s->queue, y->want.tier, x->want.tier))
		return -1;
	if (queue_is_lower(&s->queue, x->want.tier, y->want.tier))
		return 1;
	if (lost_x != lost_y)
		return lost_x < lost_y ? -1 : 1;
	if (x->work.granted_at != y->work.granted_at)
		return x->work.granted_at > y->work.granted_at ? -1 : 1;
	return x < y ? -1 : x > y;
}

static void insert_cancellable(struct dispatcher_state *s, attempt_t *attempt)
{
	sequence_remove(&attempt->cancellable);
	if (!s->config.is_engine || attempt->is_cancelled ||
	    queue_is_protected(&s->queue, attempt->want.tier))
		return;
	attempt->cancellable =
		g_sequence_insert_sorted(s->cancellable, attempt, by_loss, s);
}

static gint by_overdue_at(gconstpointer a, gconstpointer b, gpointer data)
{
	const attempt_t *x = a, *y = b;

	if (x->work.overdue_at != y->work.overdue_at)
		return x->work.overdue_at < y->work.overdue_at ? -1 : 1;
	return x < y ? -1 : x > y;
}

static void record_event(struct dispatcher_state *s, attempt_t *attempt,
			 int64_t now)
{
	attempt->last_event_at = now;
	if (attempt->by_last_event.data)
		g_queue_unlink(&s->by_last_event, &attempt->by_last_event);
	attempt->by_last_event.data = attempt;
	g_queue_push_tail_link(&s->by_last_event, &attempt->by_last_event);
}

void dispatcher_ledger_add(struct dispatcher_state *s, attempt_t *attempt,
			   runner_t *runner, int64_t now)
{
	const want_t *want = &attempt->want;

	update_typical(s, want);
	attempt->runner = runner;
	attempt->work = (runner_work_t){
		.prompt_tokens = want->prompt_tokens,
		.output_tokens = want->output_tokens,
		.is_protected = queue_is_protected(&s->queue, want->tier),
		.deadline = want->deadline,
	};
	dispatcher_find_cached(s, attempt, runner, now);
	runner_model_grant(&runner->model, &attempt->work, now);
	dispatcher_record_cached(s, attempt, runner, now);
	runner->running[want->tier]++;
	if (runner->is_serving)
		s->running[want->tier]++;
	s->n_running++;
	attempt->by_overdue = g_sequence_insert_sorted(s->by_overdue, attempt,
						       by_overdue_at, NULL);
	insert_cancellable(s, attempt);
	record_event(s, attempt, now);
	connected_owners_take(&runner->connected, want->id.owner);
	dispatcher_rank_runner(s, runner, now);
}

void dispatcher_ledger_remove(struct dispatcher_state *s, attempt_t *attempt,
			      const done_t *done, int64_t now)
{
	runner_t *runner = attempt->runner;
	done_t counted = done ? *done : (done_t){ .result = DONE_FAILED };

	/* Not all upstreams report cached tokens: use the estimate instead. */
	if (!counted.cached_tokens)
		counted.cached_tokens =
			MIN(attempt->cached_tokens, counted.prompt_tokens);
	runner_model_end(&runner->model, &attempt->work, done ? &counted : NULL,
			 now);
	runner->running[attempt->want.tier]--;
	if (runner->is_serving)
		s->running[attempt->want.tier]--;
	s->n_running--;
	sequence_remove(&attempt->by_overdue);
	sequence_remove(&attempt->cancellable);
	g_queue_unlink(&s->by_last_event, &attempt->by_last_event);
	if (done && done->prompt_tokens && attempt->want.prefix_hash &&
	    !attempt->want.prefix_tokens)
		affinity_learn(&s->affinity, attempt->want.prefix_hash, runner,
			       (double)done->cached_tokens /
				       done->prompt_tokens);
	if (done && done->connection_ms && s->config.prefers_connected)
		connected_owners_add(
			&runner->connected, attempt->want.id.owner,
			now + (int64_t)done->connection_ms * US_PER_MS, now);
	dispatcher_rank_runner(s, runner, now);
}

void dispatcher_record_first_token(struct dispatcher_state *s,
				   attempt_t *attempt, int64_t now)
{
	runner_model_first_token(&attempt->runner->model, &attempt->work, now);
	g_sequence_sort_changed(attempt->by_overdue, by_overdue_at, NULL);
	insert_cancellable(s, attempt);
	record_event(s, attempt, now);
	dispatcher_rank_runner(s, attempt->runner, now);
}

void dispatcher_ignore_delay(attempt_t *attempt)
{
	attempt->work.overdue_at = INT64_MAX;
	g_sequence_sort_changed(attempt->by_overdue, by_overdue_at, NULL);
}

void dispatcher_record_overdue(struct dispatcher_state *s, attempt_t *attempt,
			       int64_t now)
{
	/* The delay is due to the network partition, not the runner. */
	if (attempt->runner->info.is_partitioned) {
		dispatcher_ignore_delay(attempt);
		return;
	}
	runner_model_overdue(&attempt->runner->model, &attempt->work, now);
	g_sequence_sort_changed(attempt->by_overdue, by_overdue_at, NULL);
	dispatcher_rank_runner(s, attempt->runner, now);
}

void dispatcher_sort_cancellable(struct dispatcher_state *s)
{
	for (GList *link = s->by_last_event.head; link; link = link->next) {
		attempt_t *attempt = link->data;

		sequence_remove(&attempt->cancellable);
	}
	for (GList *link = s->by_last_event.head; link; link = link->next)
		insert_cancellable(s, link->data);
}

bool dispatcher_runs_lower(const struct dispatcher_state *s, uint32_t tier)
{
	for (uint32_t i = 0; i < DISPATCHER_MAX_TIERS; i++)
		if (s->running[i] && queue_is_lower(&s->queue, tier, i))
			return true;
	return false;
}

void dispatcher_cancel_for(struct dispatcher_state *s, const attempt_t *attempt)
{
	uint64_t freed = 0, needed = attempt->entry.cost;
	uint32_t tier = attempt->want.tier;

	attempt_t *lower;

	while (freed < needed && (lower = sequence_first(s->cancellable))) {
		want_t want = lower->want;

		if (!queue_is_lower(&s->queue, tier, want.tier))
			break;
		sequence_remove(&lower->cancellable);
		/* Work on a leaving runner frees no usable capacity. */
		if (!lower->runner->is_serving)
			continue;
		freed += lower->entry.cost;
		lower->is_cancelled = true;
		s->stats.cancels++;
		s->ops.cancel(s->ctx, &want);
	}
}

int64_t dispatcher_wait_time(const struct dispatcher_state *s, uint32_t tier,
			     uint64_t cost)
{
	double ahead = (double)queue_tokens_ahead(&s->queue, tier, cost);

	if (s->granted_tokens <= 0)
		return 0;
	return (int64_t)(ahead * s->granted_seconds / s->granted_tokens *
			 US_PER_S);
}

void dispatcher_count_grant(struct dispatcher_state *s, uint64_t tokens,
			    int64_t now)
{
	int64_t gap = now - s->rate_at;
	double seconds = (double)gap / US_PER_S;

	s->rate_at = now;
	if (gap < 0 || gap > MAX_RATE_GAP_US)
		return;
	s->granted_tokens += (double)tokens;
	s->granted_seconds += seconds;
	if (s->granted_seconds > rate_window_s) {
		s->granted_tokens *= rate_window_s / s->granted_seconds;
		s->granted_seconds = rate_window_s;
	}
}
