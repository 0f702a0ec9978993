#include "common/sequence.h"
#include "core/dispatcher_state.h"

enum {
	CONNECTION_US = 10 * 1000, /* what an idle connection saves, at most */
	CONNECTION_DIVISOR = 20, /* and as a part of the predicted time */
	MAX_CANDIDATES = 16, /* best-ranked runners considered per want */
	/* The same where stated paces spread the ranking. */
	MAX_CANDIDATES_PACED = 64,
};

bool dispatcher_is_available(const runner_t *runner, int64_t now)
{
	return runner->is_listed && !runner->info.is_leaving &&
	       !runner->info.is_partitioned && !runner->is_leaving_by_report &&
	       runner->suspended_until <= now;
}

static gint by_rank(gconstpointer a, gconstpointer b, gpointer data)
{
	const runner_t *x = a, *y = b;

	if (x->rank_key != y->rank_key)
		return x->rank_key < y->rank_key ? -1 : 1;
	return x->rank_turn < y->rank_turn ? -1 : x->rank_turn > y->rank_turn;
}

static void remove_from_ranking(struct dispatcher_state *s, runner_t *runner)
{
	if (!runner->ranked)
		return;
	sequence_remove(&runner->ranked);
	g_ptr_array_remove_fast(s->available, runner);
}

/* Updates the sums over runners that wants can use now or after a wait. */
static void count_runner(struct dispatcher_state *s, runner_t *runner)
{
	bool is_counted = runner->is_listed && !runner->info.is_leaving &&
			  !runner->is_leaving_by_report;

	if (runner->is_serving == is_counted)
		return;
	runner->is_serving = is_counted;
	s->n_serving += is_counted ? 1 : -1;
	for (uint32_t i = 0; i < DISPATCHER_MAX_TIERS; i++)
		s->running[i] +=
			is_counted ? runner->running[i] : -runner->running[i];
}

void dispatcher_rank_runner(struct dispatcher_state *s, runner_t *runner,
			    int64_t now)
{
	count_runner(s, runner);
	if (!dispatcher_is_available(runner, now)) {
		remove_from_ranking(s, runner);
		return;
	}
	runner->rank_key = runner_model_predict(&runner->model,
						(uint32_t)s->typical_prompt,
						(uint32_t)s->typical_output, 0);
	/* Of equally fast runners, the one with the fewest calls is first. */
	if (!s->config.is_engine)
		runner->rank_key += runner->model.running;
	runner->rank_turn = s->rank_turn++;
	if (runner->ranked) {
		g_sequence_sort_changed(runner->ranked, by_rank, NULL);
		return;
	}
	runner->ranked =
		g_sequence_insert_sorted(s->ranked, runner, by_rank, NULL);
	g_ptr_array_add(s->available, runner);
}

static bool is_avoided(const struct dispatcher_state *s,
		       const attempt_t *attempt, const runner_t *runner)
{
	return s->available->len > 1 &&
	       !strcmp(attempt->want.avoid, runner->info.name);
}

/* Returns whether the limit that the runner named forbids a grant now. */
static bool is_limited(const attempt_t *attempt, runner_t *runner, int64_t now)
{
	if (attempt->want.is_fallback)
		return runner->limit.state == RUNNER_LIMIT_NAMED;
	return !runner_limit_has_room(&runner->limit, &runner->limit_bucket,
				      now);
}

bool dispatcher_is_of_release(const attempt_t *attempt, const runner_t *runner)
{
	uint64_t release = attempt->want.release;

	return !release || runner->info.release == release;
}

bool dispatcher_is_excluded(const struct dispatcher_state *s,
			    const attempt_t *attempt, runner_t *runner,
			    int64_t now)
{
	return is_avoided(s, attempt, runner) ||
	       !dispatcher_is_of_release(attempt, runner) ||
	       dispatcher_is_paused(s, runner, attempt->want.id.owner, now) ||
	       is_limited(attempt, runner, now) ||
	       !runner_brittle_has_room(&runner->brittle, now);
}

int64_t dispatcher_predict(const runner_t *runner, const want_t *want,
			   double cached, int64_t now)
{
	return runner_model_predict_now(&runner->model, want->prompt_tokens,
					want->output_tokens, cached, now);
}

static bool has_protected_tier(const struct dispatcher_state *s)
{
	for (uint32_t i = 0; i < s->queue.n_tiers; i++)
		if (queue_is_protected(&s->queue, i))
			return true;
	return false;
}

/*
 * Without a protected tier, the slots of plain runners that are reserved for it
 * may be used by all, if the runner's load is known from a recent statement.
 */
static runner_room_t usable_room(const struct dispatcher_state *s,
				 const runner_t *runner, runner_room_t room,
				 int64_t now)
{
	if (room != ROOM_UNPROTECTED || s->config.is_engine ||
	    !runner_load_is_fresh(&runner->model.stated, now) ||
	    has_protected_tier(s))
		return room;
	return ROOM_PROTECTED;
}

/* Returns the time saved if the want's owner has an idle connection. */
static int64_t connection_bonus(const struct dispatcher_state *s,
				const attempt_t *attempt,
				const runner_t *runner, int64_t time,
				int64_t now)
{
	if (!s->config.prefers_connected ||
	    !connected_owners_has(&runner->connected, attempt->want.id.owner,
				  now))
		return 0;
	return MIN(time / CONNECTION_DIVISOR, CONNECTION_US);
}

runner_t *dispatcher_choose(struct dispatcher_state *s,
			    const attempt_t *attempt, runner_room_t room,
			    int64_t now, int64_t *finish)
{
	GSequenceIter *iter = g_sequence_get_begin_iter(s->ranked);
	runner_t *best = NULL;
	int64_t least = 0;
	int most = s->has_stated_pace ? MAX_CANDIDATES_PACED : MAX_CANDIDATES;
	int n = 0; /* candidates so far */

	s->lacks_memory = false;
	for (; n < most && !g_sequence_iter_is_end(iter);
	     iter = g_sequence_iter_next(iter)) {
		runner_t *runner = g_sequence_get(iter);
		int64_t time, cost;

		if (!dispatcher_is_of_release(attempt, runner))
			continue;
		n++;
		time = dispatcher_predict(runner, &attempt->want, 0, now);
		cost = time - connection_bonus(s, attempt, runner, time, now);
		if (dispatcher_is_excluded(s, attempt, runner, now) ||
		    !runner_model_has_room(&runner->model,
					   usable_room(s, runner, room, now),
					   now) ||
		    (best && cost >= least))
			continue;
		if (!dispatcher_fits(s, &attempt->want, runner, now)) {
			s->lacks_memory = true;
			continue;
		}
		best = runner;
		least = cost;
		*finish = now + time;
	}
	return best ? dispatcher_prefer_cached(s, attempt, best, room, now,
					       finish) :
		      NULL;
}

static double reported_load(const runner_t *runner)
{
	return runner->model.reported_requests;
}

runner_t *dispatcher_choose_baseline(struct dispatcher_state *s)
{
	gint32 n = (gint32)s->available->len;
	runner_t *a, *b;

	if (!n)
		return NULL;
	if (s->config.policy == DISPATCHER_POLICY_ROUND_ROBIN)
		return g_ptr_array_index(s->available,
					 s->next_index++ % (uint32_t)n);
	a = g_ptr_array_index(s->available, g_rand_int_range(s->rand, 0, n));
	b = g_ptr_array_index(s->available, g_rand_int_range(s->rand, 0, n));
	return reported_load(b) < reported_load(a) ? b : a;
}

int64_t dispatcher_start_time(const struct dispatcher_state *s,
			      const want_t *want)
{
	want_t first = *want;

	if (s->config.is_engine)
		first.output_tokens = 1;
	return dispatcher_service_time(s, &first);
}

int64_t dispatcher_service_time(const struct dispatcher_state *s,
				const want_t *want)
{
	GSequenceIter *iter = g_sequence_get_begin_iter(s->ranked);
	int64_t least = INT64_MAX;

	for (int i = 0; i < MAX_CANDIDATES && !g_sequence_iter_is_end(iter);
	     i++, iter = g_sequence_iter_next(iter)) {
		const runner_t *runner = g_sequence_get(iter);
		int64_t time = runner_model_idle_time(&runner->model,
						      want->prompt_tokens,
						      want->output_tokens, 0);

		least = MIN(least, time);
	}
	return least == INT64_MAX ? 0 : least;
}
