#include "core/dispatcher_state.h"

#include "common/sequence.h"
#include "common/str_table.h"
#include "core/team_retry.h"

enum {
	US_PER_MS = 1000,
	MAX_PREFIXES = 8192,
	TOKEN_QUANTUM = 4096, /* engines: tokens beyond a team's share */
	CALL_QUANTUM = 4, /* plain services: the same in calls */
	/* Lower work is cancelled this long before latest_start. */
	CANCEL_LEAD_US = 100 * US_PER_MS,
	MAX_LOST_ANSWERS = 2, /* lost answers that suspend a runner */
	/* Sorts late wants behind those on time; longer than any wait. */
	LATE_OFFSET_US = 1000 * 1000 * US_PER_MS,
	REFUSAL_TIME_DIVISOR = 16, /* 1/16 of the time is left for a refusal */
	/*
	 * The queue limit of protected wants while there is lower work is
	 * max_wants times this.
	 */
	PROTECTED_QUEUE_FACTOR = 2,
};

static const double loss_decay = 0.8; /* per complete answer */

static guint hash_id(gconstpointer key)
{
	const want_id_t *id = key;

	return (guint)str_hash((str_t){ (const char *)id, sizeof(*id) });
}

static gboolean equal_id(gconstpointer a, gconstpointer b)
{
	const want_id_t *x = a, *y = b;

	return x->owner == y->owner && x->attempt == y->attempt;
}

void dispatcher_init(dispatcher_t *d, const dispatcher_config_t *config,
		     const dispatcher_ops_t *ops, void *ctx, int64_t now)
{
	struct dispatcher_state *s = g_new0(struct dispatcher_state, 1);

	d->state = s;
	s->config = *config;
	s->ops = *ops;
	s->ctx = ctx;
	s->rand = g_rand_new_with_seed((guint32)config->seed);
	queue_init(&s->queue, config->is_engine ? TOKEN_QUANTUM : CALL_QUANTUM);
	affinity_init(&s->affinity, MAX_PREFIXES);
	s->attempts = g_hash_table_new_full(hash_id, equal_id, NULL, g_free);
	s->owners = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					  g_free);
	s->unresponsive_owners = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, NULL);
	owner_reach_init(&s->reach);
	s->runners = str_table_new(dispatcher_finish_runner);
	s->generations = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	s->available = g_ptr_array_new();
	s->ranked = g_sequence_new(NULL);
	s->by_overdue = g_sequence_new(NULL);
	s->cancellable = g_sequence_new(NULL);
	s->typical_prompt = 1;
	s->typical_output = 1;
	s->rate_at = now;
}

void dispatcher_finish(dispatcher_t *d)
{
	struct dispatcher_state *s = d->state;

	g_sequence_free(s->cancellable);
	g_sequence_free(s->by_overdue);
	g_sequence_free(s->ranked);
	g_ptr_array_free(s->available, true);
	g_queue_clear(&s->suspended);
	g_queue_clear(&s->deferred);
	g_hash_table_destroy(s->generations);
	g_hash_table_destroy(s->runners);
	queue_finish(&s->queue);
	g_hash_table_destroy(s->owners);
	g_hash_table_destroy(s->unresponsive_owners);
	owner_reach_finish(&s->reach);
	g_hash_table_destroy(s->attempts);
	affinity_finish(&s->affinity);
	g_rand_free(s->rand);
	g_free(s);
	d->state = NULL;
}

bool dispatcher_uses_ledger(const struct dispatcher_state *s)
{
	return s->config.policy == DISPATCHER_POLICY_LEDGER;
}

static attempt_t *find_attempt(struct dispatcher_state *s, want_id_t id)
{
	attempt_t *attempt = g_hash_table_lookup(s->attempts, &id);

	if (!attempt)
		s->stats.unknown++;
	return attempt;
}

static attempt_t *add_attempt(struct dispatcher_state *s, const want_t *want)
{
	attempt_t *attempt = g_new0(attempt_t, 1);
	GQueue *owned = g_hash_table_lookup(s->owners, &want->id.owner);

	attempt->want = *want;
	attempt->want.tier = MIN(want->tier, DISPATCHER_MAX_TIERS - 1);
	attempt->entry.tier = want->tier;
	attempt->entry.team = str_from(attempt->want.team);
	attempt->entry.deadline = want->deadline;
	attempt->entry.cost = 1;
	if (s->config.is_engine)
		attempt->entry.cost = MAX(
			(uint64_t)want->prompt_tokens + want->output_tokens, 1);
	if (!owned) {
		owned = g_new0(GQueue, 1);
		g_hash_table_insert(
			s->owners,
			g_memdup2(&want->id.owner, sizeof(want->id.owner)),
			owned);
	}
	attempt->of_owner.data = attempt;
	g_queue_push_tail_link(owned, &attempt->of_owner);
	g_hash_table_insert(s->attempts, &attempt->want.id, attempt);
	return attempt;
}

/* Frees an attempt that is in neither the queue nor the ledger. */
static void free_attempt(struct dispatcher_state *s, attempt_t *attempt)
{
	uint64_t owner = attempt->want.id.owner;
	GQueue *owned = g_hash_table_lookup(s->owners, &owner);

	g_queue_unlink(owned, &attempt->of_owner);
	if (g_queue_is_empty(owned))
		g_hash_table_remove(s->owners, &owner);
	g_hash_table_remove(s->attempts, &attempt->want.id);
}

void dispatcher_end_attempt(struct dispatcher_state *s, attempt_t *attempt,
			    const done_t *done, int64_t now)
{
	runner_t *runner = attempt->runner;

	dispatcher_ledger_remove(s, attempt, done, now);
	if (done && done->result == DONE_COMPLETED) {
		runner->speed_at = now;
		dispatcher_store_speed(s, runner, now);
	}
	free_attempt(s, attempt);
	dispatcher_free_runner(s, runner);
}

static uint32_t retry_after(struct dispatcher_state *s, uint32_t tier,
			    uint64_t cost)
{
	int64_t wait = dispatcher_wait_time(s, tier, cost);

	return retry_after_jittered(s->rand,
				    (uint32_t)MIN(wait / US_PER_MS, G_MAXINT));
}

/* Refuses a want; the caller is to retry no earlier than LEAST_RETRY_MS. */
static void refuse(struct dispatcher_state *s, attempt_t *attempt,
		   refuse_reason_t reason, uint32_t least_retry_ms)
{
	want_t want = attempt->want;
	uint64_t cost = attempt->entry.cost;
	uint32_t retry_ms;

	if (attempt->entry.team_queue)
		queue_remove(&s->queue, &attempt->entry);
	free_attempt(s, attempt);
	s->stats.refusals[reason]++;
	retry_ms = MAX(retry_after(s, want.tier, cost), least_retry_ms);
	s->ops.refuse(s->ctx, &want, reason, retry_ms);
}

void dispatcher_refuse(struct dispatcher_state *s, attempt_t *attempt,
		       refuse_reason_t reason)
{
	refuse(s, attempt, reason, 0);
}

bool dispatcher_paused_too_long(const struct dispatcher_state *s,
				const attempt_t *attempt, int64_t now)
{
	uint64_t owner = attempt->want.id.owner;
	int64_t latest = MAX(attempt->latest_start, now);

	/* What only waits would delay, or seem to delay, other owners' wants. */
	if (owner_reach_is_cut_off(&s->reach, owner, now))
		latest = now;
	return dispatcher_pause_end(s, owner, now) > latest;
}

void dispatcher_refuse_paused(struct dispatcher_state *s, attempt_t *attempt,
			      int64_t now)
{
	int64_t pause =
		dispatcher_pause_end(s, attempt->want.id.owner, now) - now;

	refuse(s, attempt, REFUSE_PAUSED, (uint32_t)(pause / US_PER_MS + 1));
}

void dispatcher_grant(struct dispatcher_state *s, attempt_t *attempt,
		      runner_t *runner, int64_t now)
{
	want_t want = attempt->want;
	dispatcher_runner_t info = runner->info;

	if (attempt->entry.team_queue) {
		queue_serve(&s->queue, &attempt->entry);
		if (attempt->arrived < now)
			dispatcher_count_grant(s, attempt->entry.cost, now);
	}
	dispatcher_ledger_add(s, attempt, runner, now);
	runner_limit_take(&runner->limit, &runner->limit_bucket, now);
	runner_brittle_take(&runner->brittle, now);
	s->stats.grants++;
	s->ops.grant(s->ctx, &want, &info);
}

static bool has_lower_work(const struct dispatcher_state *s, uint32_t tier)
{
	return queue_has_lower(&s->queue, tier) || s->deferred.length ||
	       dispatcher_runs_lower(s, tier);
}

bool dispatcher_may_refuse(const struct dispatcher_state *s, uint32_t tier)
{
	if (!queue_is_protected(&s->queue, tier))
		return true;
	return !s->is_view_unstable && !has_lower_work(s, tier);
}

void dispatcher_set_tiers(dispatcher_t *d, const dispatcher_tier_t *tiers,
			  uint32_t n)
{
	queue_set_tiers(&d->state->queue, tiers, n);
	dispatcher_sort_cancellable(d->state);
}

void dispatcher_set_team(dispatcher_t *d, str_t team, uint32_t weight)
{
	queue_set_team(&d->state->queue, team, weight);
}

static void decide_baseline(struct dispatcher_state *s, const want_t *want,
			    int64_t now)
{
	runner_t *runner = dispatcher_choose_baseline(s);
	attempt_t *attempt = add_attempt(s, want);

	if (!runner)
		dispatcher_refuse(s, attempt, REFUSE_NO_RUNNER);
	else if (s->n_running >= s->config.max_running)
		dispatcher_refuse(s, attempt, REFUSE_QUEUE_FULL);
	else
		dispatcher_grant(s, attempt, runner, now);
}

/* Makes room in the queue; false if the want itself is to be refused. */
static bool make_queue_room(struct dispatcher_state *s,
			    const attempt_t *attempt)
{
	queue_entry_t *victim;

	if (s->queue.entries < s->config.max_wants)
		return true;
	victim = queue_victim(&s->queue, attempt->entry.tier,
			      attempt->entry.team, attempt->entry.cost);
	if (victim) {
		dispatcher_refuse(s, (attempt_t *)victim, REFUSE_SHED);
		return true;
	}
	if (dispatcher_may_refuse(s, attempt->entry.tier))
		return false;
	return s->queue.entries < PROTECTED_QUEUE_FACTOR * s->config.max_wants;
}

void dispatcher_set_order(attempt_t *attempt, int64_t now)
{
	attempt->entry.deadline = attempt->want.deadline;
	if (!attempt->latest_on_time)
		return;
	attempt->entry.deadline =
		now < attempt->latest_on_time ?
			attempt->want.target :
			attempt->want.deadline + LATE_OFFSET_US;
}

static int64_t first_check_time(const struct dispatcher_state *s,
				const attempt_t *attempt)
{
	if (queue_is_protected(&s->queue, attempt->entry.tier))
		return attempt->latest_start - CANCEL_LEAD_US;
	if (attempt->latest_on_time)
		return MIN(attempt->latest_on_time, attempt->latest_start);
	return attempt->latest_start;
}

static void enqueue(struct dispatcher_state *s, attempt_t *attempt, int64_t now)
{
	if (!s->queue.entries)
		s->rate_at = now;
	queue_push(&s->queue, &attempt->entry);
}

bool dispatcher_misses_start(const struct dispatcher_state *s,
			     const attempt_t *attempt, int64_t now)
{
	int64_t wait = dispatcher_wait_time(s, attempt->entry.tier,
					    attempt->entry.cost);

	if (s->config.grants_if_idle && !wait)
		return false;
	return now + wait > attempt->latest_start &&
	       dispatcher_may_refuse(s, attempt->entry.tier);
}

/*
 * Returns when work that takes NEEDED must start to finish by END. Always
 * leaves a part of the time, since speeds may still be unknown and a refusal
 * must reach the caller early enough for a retry.
 */
static int64_t latest_start_for(int64_t end, int64_t now, int64_t needed)
{
	return end - MAX(needed, (end - now) / REFUSAL_TIME_DIVISOR);
}

int64_t dispatcher_latest_start(const struct dispatcher_state *s,
				const want_t *want, int64_t now)
{
	int64_t latest = latest_start_for(want->deadline, now,
					  dispatcher_service_time(s, want));

	if (!want->start_by)
		return latest;
	return MIN(latest, latest_start_for(want->start_by, now,
					    dispatcher_start_time(s, want)));
}

void dispatcher_want(dispatcher_t *d, const want_t *want, int64_t now)
{
	struct dispatcher_state *s = d->state;
	attempt_t *attempt;

	if (g_hash_table_contains(s->attempts, &want->id)) {
		s->stats.unknown++;
		return;
	}
	s->stats.wants++;
	if (!dispatcher_uses_ledger(s)) {
		decide_baseline(s, want, now);
		return;
	}
	attempt = add_attempt(s, want);
	attempt->arrived = now;
	attempt->latest_start = dispatcher_latest_start(s, want, now);
	if (want->target)
		attempt->latest_on_time =
			want->target - dispatcher_start_time(s, want);
	dispatcher_set_order(attempt, now);
	attempt->entry.due = first_check_time(s, attempt);
	if (!dispatcher_has_runner(s, now))
		dispatcher_refuse(s, attempt, REFUSE_NO_RUNNER);
	else if (!dispatcher_has_release(s, attempt))
		dispatcher_refuse(s, attempt, REFUSE_NO_RELEASE);
	else if (dispatcher_never_fits(s, want))
		dispatcher_refuse(s, attempt, REFUSE_TOO_LARGE);
	else if (dispatcher_paused_too_long(s, attempt, now))
		dispatcher_refuse_paused(s, attempt, now);
	else if (dispatcher_misses_start(s, attempt, now))
		dispatcher_refuse(s, attempt, REFUSE_DEADLINE);
	else if (!make_queue_room(s, attempt))
		dispatcher_refuse(s, attempt, REFUSE_QUEUE_FULL);
	else
		enqueue(s, attempt, now);
	dispatcher_decide(s, now);
}

void dispatcher_set_list_received(dispatcher_t *d, int64_t now)
{
	if (d->state->has_runner_list)
		return;
	d->state->has_runner_list = true;
	dispatcher_decide(d->state, now);
}

void dispatcher_set_view_stable(dispatcher_t *d, bool is_stable, int64_t now)
{
	d->state->is_view_unstable = !is_stable;
	dispatcher_decide(d->state, now);
}

static bool is_leaving(const runner_t *runner)
{
	return runner->info.is_leaving || runner->is_leaving_by_report;
}

static void grant_again(struct dispatcher_state *s, attempt_t *attempt)
{
	attempt->confirm_by = 0;
	s->ops.grant(s->ctx, &attempt->want, &attempt->runner->info);
}

bool dispatcher_want_again(dispatcher_t *d, const want_t *want, int64_t now)
{
	struct dispatcher_state *s = d->state;
	attempt_t *attempt = g_hash_table_lookup(s->attempts, &want->id);

	if (attempt && attempt->runner && is_leaving(attempt->runner)) {
		/* The owner repeats its want, so it has not used the grant. */
		dispatcher_end_attempt(s, attempt, NULL, now);
		attempt = NULL;
	}
	if (!attempt)
		dispatcher_want(d, want, now);
	else if (attempt->runner)
		grant_again(s, attempt);
	return dispatcher_is_waiting(d, want->id);
}

void dispatcher_drop_waiting(struct dispatcher_state *s, attempt_t *attempt)
{
	if (attempt->entry.team_queue)
		queue_remove(&s->queue, &attempt->entry);
	else
		g_queue_remove(&s->deferred, attempt);
	free_attempt(s, attempt);
}

void dispatcher_withdraw(dispatcher_t *d, want_id_t id, int64_t now)
{
	struct dispatcher_state *s = d->state;
	attempt_t *attempt = find_attempt(s, id);

	if (!attempt)
		return;
	if (attempt->runner)
		dispatcher_end_attempt(s, attempt, NULL, now);
	else
		dispatcher_drop_waiting(s, attempt);
	dispatcher_decide(s, now);
}

void dispatcher_first_token(dispatcher_t *d, want_id_t id, int64_t now)
{
	attempt_t *attempt = find_attempt(d->state, id);

	if (!attempt || !attempt->runner)
		return;
	attempt->confirm_by = 0;
	owner_reach_on_answer(&d->state->reach, id.owner);
	dispatcher_record_first_token(d->state, attempt, now);
	dispatcher_decide(d->state, now);
}

/* At least half of the runners stay in use, however many answers are lost. */
static bool can_spare_runner(const struct dispatcher_state *s)
{
	return s->available->len > 1 &&
	       (s->available->len - 1) * 2 >= s->n_serving;
}

/*
 * Suspends a runner for a short time whenever it loses too many answers, even
 * if it reports itself healthy, so that others get its work.
 */
static void record_result(struct dispatcher_state *s, runner_t *runner,
			  uint64_t owner, done_result_t result, int64_t now)
{
	if (result == DONE_COMPLETED || result == DONE_FAILED)
		owner_reach_on_answer(&s->reach, owner);
	/*
	 * The owner may be wrong about the runner leaving or being unreachable,
	 * so the runner is suspended only temporarily.
	 */
	if (result == DONE_LEAVING)
		dispatcher_suspend(s, runner, now);
	else if (result == DONE_UNREACHABLE)
		dispatcher_on_unreachable(s, runner, owner, now);
	else if (result == DONE_COMPLETED)
		runner->lost_answers *= loss_decay;
	else if (result == DONE_BROKEN)
		runner->lost_answers++;
	if (result == DONE_BROKEN && runner->lost_answers >= MAX_LOST_ANSWERS &&
	    runner->suspended_until <= now && can_spare_runner(s))
		dispatcher_suspend(s, runner, now);
}

void dispatcher_done(dispatcher_t *d, want_id_t id, const done_t *done,
		     int64_t now)
{
	attempt_t *attempt = find_attempt(d->state, id);

	if (!attempt || !attempt->runner)
		return;
	record_result(d->state, attempt->runner, id.owner, done->result, now);
	if (done->says_leaving)
		attempt->runner->is_leaving_by_report = true;
	if (done->is_refused)
		runner_brittle_on_refusal(&attempt->runner->brittle, now);
	if (done->pause_ms)
		dispatcher_add_pause(d->state, attempt->runner, id.owner,
				     now + (int64_t)done->pause_ms * US_PER_MS,
				     now);
	dispatcher_end_attempt(d->state, attempt, done, now);
	if (done->pause_ms)
		dispatcher_refuse_all_paused(d->state, id.owner, now);
	dispatcher_decide(d->state, now);
}

void dispatcher_adopt(dispatcher_t *d, const want_t *want, str_t runner,
		      int64_t now)
{
	struct dispatcher_state *s = d->state;
	runner_t *known = dispatcher_find_runner(s, runner);
	attempt_t *attempt = g_hash_table_lookup(s->attempts, &want->id);

	if (attempt)
		attempt->confirm_by = 0;
	if (!known || (attempt && attempt->runner))
		return;
	if (attempt && attempt->entry.team_queue)
		queue_remove(&s->queue, &attempt->entry);
	else if (attempt)
		g_queue_remove(&s->deferred, attempt);
	else
		attempt = add_attempt(s, want);
	dispatcher_ledger_add(s, attempt, known, now);
}

bool dispatcher_is_waiting(const dispatcher_t *d, want_id_t id)
{
	const attempt_t *attempt = g_hash_table_lookup(d->state->attempts, &id);

	return attempt && !attempt->runner;
}

void dispatcher_stats(const dispatcher_t *d, dispatcher_stats_t *out)
{
	const struct dispatcher_state *s = d->state;

	*out = s->stats;
	out->queued = s->queue.entries;
	out->running = s->n_running;
	out->runners = g_hash_table_size(s->runners);
	out->available = s->available->len;
}
