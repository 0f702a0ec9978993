#include "core/dispatcher_state.h"

enum {
	US_PER_S = 1000000,
	SUSPENSION_US = US_PER_S, /* time without grants */
	MAX_GENERATIONS = 256,
	MAX_RUNNERS = 4096,
};

void dispatcher_finish_runner(void *data)
{
	runner_t *runner = data;

	if (runner->pauses)
		g_array_unref(runner->pauses);
	connected_owners_finish(&runner->connected);
	g_free(runner);
}

void dispatcher_free_runner(struct dispatcher_state *s, runner_t *runner)
{
	if (runner->is_listed || runner->model.running)
		return;
	affinity_drop_runner(&s->affinity, runner);
	if (runner->suspended)
		g_queue_delete_link(&s->suspended, runner->suspended);
	g_hash_table_remove(s->runners, &runner->key);
}

/*
 * Sets the initial estimate of all runners of unknown speed, even of those of
 * another hardware generation.
 */
static void seed_all(struct dispatcher_state *s, const runner_speed_t *speed,
		     int64_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->runners);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		runner_t *runner = value;

		runner_model_seed(&runner->model, speed);
		dispatcher_rank_runner(s, runner, now);
	}
}

void dispatcher_store_speed(struct dispatcher_state *s, const runner_t *runner,
			    int64_t now)
{
	gpointer key = GUINT_TO_POINTER(runner->info.generation);
	runner_speed_t *speed = g_hash_table_lookup(s->generations, key);
	bool is_new = !speed;

	if (!speed) {
		if (g_hash_table_size(s->generations) >= MAX_GENERATIONS)
			return;
		speed = g_new0(runner_speed_t, 1);
		g_hash_table_insert(s->generations, key, speed);
	}
	*speed = runner->model.speed;
	if (is_new)
		seed_all(s, speed, now);
}

static runner_t *add_runner(struct dispatcher_state *s,
			    const dispatcher_runner_t *info)
{
	gpointer generation = GUINT_TO_POINTER(info->generation);
	const dispatcher_config_t *config = &s->config;
	runner_t *runner;

	if (g_hash_table_size(s->runners) >= MAX_RUNNERS)
		return NULL;
	runner = g_new0(runner_t, 1);
	runner->info = *info;
	runner->key = str_from(runner->info.name);
	runner_model_init(&runner->model, config->is_engine,
			  config->is_engine ? config->window_tokens :
					      config->plain_slots,
			  g_hash_table_lookup(s->generations, generation));
	runner->is_new_runner = true;
	g_hash_table_insert(s->runners, &runner->key, runner);
	return runner;
}

/* A runner's own value takes precedence over that of its service. */
static void set_slots(struct dispatcher_state *s, runner_t *runner,
		      uint32_t slots)
{
	if (s->config.is_engine)
		runner->model.slots = slots ? slots : s->config.engine_slots;
	else
		runner->model.window = slots ? slots : s->config.plain_slots;
}

void dispatcher_set_runner(dispatcher_t *d, const dispatcher_runner_t *runner,
			   int64_t now)
{
	struct dispatcher_state *s = d->state;
	str_t name = str_from(runner->name);
	runner_t *known = g_hash_table_lookup(s->runners, &name);

	if (!known)
		known = add_runner(s, runner);
	if (!known)
		return;
	if (runner->slots != known->info.slots || known->is_new_runner)
		set_slots(s, known, runner->slots);
	/* A new incarnation: reset the state of the previous one. */
	if (runner->born_ms != known->info.born_ms) {
		known->is_leaving_by_report = false;
		known->limit = (runner_limit_t){ 0 };
		known->brittle = (runner_brittle_t){ 0 };
		known->model.brittle_until = 0;
		known->speed_at = 0;
		known->model.stated = (runner_statements_t){ 0 };
		known->model.stated_ledger = 0;
		if (s->config.weighs_prompt_cache)
			affinity_drop_runner(&s->affinity, known);
		if (known->pauses)
			g_array_set_size(known->pauses, 0);
	}
	known->is_new_runner = false;
	known->info = *runner;
	known->is_listed = true;
	dispatcher_rank_runner(s, known, now);
	dispatcher_decide(s, now);
}

runner_t *dispatcher_find_runner(struct dispatcher_state *s, str_t name)
{
	runner_t *runner = g_hash_table_lookup(s->runners, &name);

	if (!runner)
		s->stats.unknown++;
	return runner;
}

void dispatcher_runner_leaves(dispatcher_t *d, want_id_t id, int64_t now)
{
	struct dispatcher_state *s = d->state;
	attempt_t *attempt = g_hash_table_lookup(s->attempts, &id);

	if (!attempt || !attempt->runner) {
		s->stats.unknown++;
		return;
	}
	attempt->runner->is_leaving_by_report = true;
	dispatcher_rank_runner(s, attempt->runner, now);
	dispatcher_decide(s, now);
}

bool dispatcher_runner_limited(dispatcher_t *d, want_id_t id,
			       const runner_limit_t *limit, int64_t now)
{
	struct dispatcher_state *s = d->state;
	attempt_t *attempt = g_hash_table_lookup(s->attempts, &id);
	runner_t *runner = attempt ? attempt->runner : NULL;
	bool was_named;

	if (!runner)
		return false;
	was_named = runner->limit.state == RUNNER_LIMIT_NAMED;
	if (!runner_limit_merge(&runner->limit, limit))
		return false;
	if (!was_named)
		runner_limit_bucket_init(&runner->limit_bucket, now);
	dispatcher_decide(s, now);
	return true;
}

bool dispatcher_runner_brittle(dispatcher_t *d, want_id_t id, uint32_t borne,
			       int64_t now)
{
	attempt_t *attempt = g_hash_table_lookup(d->state->attempts, &id);
	runner_t *runner = attempt ? attempt->runner : NULL;
	bool was_stated;

	if (!runner)
		return false;
	was_stated = runner_brittle_is_stated(&runner->brittle, now);
	runner_brittle_state(&runner->brittle, borne, now);
	runner->model.brittle_until = now + RUNNER_BRITTLE_VALIDITY_US;
	return !was_stated;
}

void dispatcher_runner_load(dispatcher_t *d, want_id_t id,
			    const runner_load_t *load, int64_t now)
{
	attempt_t *attempt = g_hash_table_lookup(d->state->attempts, &id);

	if (!attempt || !attempt->runner || !load->at ||
	    !d->state->config.uses_stated_load)
		return;
	d->state->has_stated_pace |= load->pace != 0;
	runner_model_hear(&attempt->runner->model, load);
	dispatcher_rank_runner(d->state, attempt->runner, now);
}

double dispatcher_memory_part(const dispatcher_t *d, want_id_t id)
{
	const attempt_t *attempt = g_hash_table_lookup(d->state->attempts, &id);
	const runner_model_t *m;

	if (!attempt || !attempt->runner || !d->state->config.is_engine)
		return 0;
	m = &attempt->runner->model;
	return (double)m->memory_tokens / m->window;
}

runner_limit_t dispatcher_limit(const dispatcher_t *d, str_t runner)
{
	const runner_t *known = g_hash_table_lookup(d->state->runners, &runner);

	return known ? known->limit : (runner_limit_t){ 0 };
}

void dispatcher_remove_runner(dispatcher_t *d, str_t name, int64_t now)
{
	struct dispatcher_state *s = d->state;
	runner_t *runner = dispatcher_find_runner(s, name);

	if (!runner)
		return;
	runner->is_listed = false;
	dispatcher_rank_runner(s, runner, now);
	dispatcher_free_runner(s, runner);
	dispatcher_decide(s, now);
}

static void end_suspension(struct dispatcher_state *s, runner_t *runner)
{
	runner->suspended_until = 0;
	if (runner->suspended)
		g_queue_delete_link(&s->suspended, runner->suspended);
	runner->suspended = NULL;
	runner->suspended_by = 0;
}

void dispatcher_suspend(struct dispatcher_state *s, runner_t *runner,
			int64_t now)
{
	end_suspension(s, runner);
	s->stats.suspensions++;
	runner->suspended_until = now + SUSPENSION_US;
	g_queue_push_tail(&s->suspended, runner);
	runner->suspended = s->suspended.tail;
	dispatcher_rank_runner(s, runner, now);
}

/* Runners that the failures of an owner suspended may be granted again. */
static void end_suspensions_by(struct dispatcher_state *s, uint64_t owner,
			       int64_t now)
{
	GList *next;

	for (GList *link = s->suspended.head; link; link = next) {
		runner_t *runner = link->data;

		next = link->next;
		if (runner->suspended_by != owner)
			continue;
		end_suspension(s, runner);
		dispatcher_rank_runner(s, runner, now);
	}
}

void dispatcher_on_unreachable(struct dispatcher_state *s, runner_t *runner,
			       uint64_t owner, int64_t now)
{
	bool was_suspended = runner->suspended_until > now;

	if (owner_reach_on_failure(&s->reach, owner, runner->key, now)) {
		end_suspensions_by(s, owner, now);
		dispatcher_add_pause(s, runner, owner, now + SUSPENSION_US,
				     now);
		dispatcher_refuse_all_paused(s, owner, now);
		return;
	}
	dispatcher_suspend(s, runner, now);
	if (!was_suspended)
		runner->suspended_by = owner;
}

void dispatcher_suspend_runner(dispatcher_t *d, str_t name, int64_t now)
{
	struct dispatcher_state *s = d->state;
	runner_t *runner = dispatcher_find_runner(s, name);

	if (runner)
		dispatcher_suspend(s, runner, now);
}

void dispatcher_report(dispatcher_t *d, str_t name,
		       const dispatcher_report_t *report, int64_t now)
{
	struct dispatcher_state *s = d->state;
	runner_t *runner = dispatcher_find_runner(s, name);

	if (!runner || !runner_model_report(&runner->model, report, now))
		return;
	end_suspension(s, runner);
	runner->is_leaving_by_report = report->is_leaving;
	dispatcher_rank_runner(s, runner, now);
	dispatcher_decide(s, now);
}

void dispatcher_resume_suspended(struct dispatcher_state *s, int64_t now)
{
	runner_t *runner;

	while ((runner = g_queue_peek_head(&s->suspended)) &&
	       runner->suspended_until <= now) {
		end_suspension(s, runner);
		dispatcher_rank_runner(s, runner, now);
	}
}

void dispatcher_set_window(dispatcher_t *d, uint32_t window, int64_t now)
{
	struct dispatcher_state *s = d->state;
	uint32_t *configured = s->config.is_engine ? &s->config.window_tokens :
						     &s->config.plain_slots;
	GHashTableIter iter;
	runner_t *runner;

	if (*configured == window)
		return;
	*configured = window;
	g_hash_table_iter_init(&iter, s->runners);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&runner))
		runner->model.window = window;
	dispatcher_decide(s, now);
}
