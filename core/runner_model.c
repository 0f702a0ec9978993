#include "core/runner_model.h"

#include <math.h>

enum {
	US_PER_S = 1000000,
	SAMPLE_GAP_US = 50000, /* between samples of running requests */
	REPORT_VALIDITY_US = 5 * US_PER_S, /* older reports are ignored */
	MAX_PREFILL_QUEUE_US = 200000, /* limit of queued prompt work */
	OVERDUE_GRACE_US = 50000,
	OVERDUE_FACTOR = 2, /* times the predicted time */
	OUTPUT_MARGIN_DIVISOR = 4, /* output may be longer by 1/4 */
	MAX_WAITING = 1, /* requests that wait at an engine for a slot */
};

static const double token_time_margin =
	0.8; /* of the time protected work has left */
static const double seed_weight = 0.1; /* of the generation's speeds */
static const double min_health = 1.0 / 16;
static const double health_step = 1.0 / 16;
static const double protected_reserve = 0.25; /* engines: added to the window */
static const double plain_reserve = 0.25; /* withheld from unprotected calls */
/*
 * Calls that may queue at a plain runner that states its load: one, plus this
 * part of its window. The next call then starts before this dispatcher learns
 * that another one ended.
 */
static const double plain_queue = 0.2;
/* From this multiple of the usual pace on, calls are overdue for it. */
static const double slow_pace = 1.1;

/* Seconds per token or call while N requests run; 0 if unknown. */
static double unit_time_at(const runner_model_t *m, double n)
{
	return line_fit_at(&m->speed.decode, LINE_FLAT, n) *
	       runner_load_usual(&m->stated);
}

static void learn_unit_time(runner_model_t *m, double tokens, double n,
			    int64_t us)
{
	if (tokens > 0 && us > 0)
		line_fit_learn(&m->speed.decode, tokens, n,
			       (double)us / US_PER_S / tokens);
}

/* Microseconds to decode TOKENS while N requests run. */
static int64_t decode_time(const runner_model_t *m, double tokens, double n)
{
	return (int64_t)(unit_time_at(m, n) * tokens * US_PER_S);
}

/* Microseconds to process TOKENS of a prompt. */
static int64_t prompt_time(const runner_model_t *m, double tokens)
{
	if (tokens <= 0)
		return 0;
	return (int64_t)(line_fit_at(&m->speed.prefill, LINE_PROPORTIONAL,
				     tokens) *
			 runner_load_usual(&m->stated) * US_PER_S);
}

void runner_model_init(runner_model_t *m, bool is_engine, uint32_t window,
		       const runner_speed_t *speed)
{
	*m = (runner_model_t){
		.is_engine = is_engine,
		.window = MAX(window, 1),
		.health = 1,
		.report_as_of = INT64_MIN,
	};
	if (speed)
		runner_model_seed(m, speed);
}

void runner_model_seed(runner_model_t *m, const runner_speed_t *speed)
{
	if (m->speed.decode.weight > 0)
		return;
	m->speed.prefill = line_fit_scaled(&speed->prefill, seed_weight);
	m->speed.decode = line_fit_scaled(&speed->decode, seed_weight);
}

static void record_sample(runner_model_t *m, int64_t now)
{
	runner_sample_t *last = NULL;

	if (m->n_history)
		last = &m->history[(m->n_history - 1) % RUNNER_HISTORY];
	if (!last || now - last->at >= SAMPLE_GAP_US) {
		last = &m->history[m->n_history++ % RUNNER_HISTORY];
		*last = (runner_sample_t){ .at = now };
	}
	last->running = m->running;
	last->most = MAX(last->most, m->running);
}

/* Returns the number of requests that were running at a past time. */
static uint32_t running_at(const runner_model_t *m, int64_t at)
{
	uint32_t n = MIN(m->n_history, RUNNER_HISTORY);
	uint32_t running = n ? 0 : m->running;

	for (uint32_t i = 1; i <= n; i++) {
		const runner_sample_t *s =
			&m->history[(m->n_history - i) % RUNNER_HISTORY];

		running = s->running;
		if (s->at <= at)
			return running;
	}
	return m->n_history > RUNNER_HISTORY ? running : 0;
}

/* Returns the most requests that were running at once since a past time. */
static uint32_t most_since(const runner_model_t *m, int64_t at)
{
	uint32_t n = MIN(m->n_history, RUNNER_HISTORY);
	uint32_t most = m->running;

	for (uint32_t i = 1; i <= n; i++) {
		const runner_sample_t *s =
			&m->history[(m->n_history - i) % RUNNER_HISTORY];

		most = MAX(most, s->most);
		if (s->at <= at)
			break;
	}
	return most;
}

static uint64_t work_tokens(const runner_model_t *m, const runner_work_t *work)
{
	if (!m->is_engine)
		return 1;
	return (uint64_t)work->prompt_tokens + work->output_tokens;
}

/* The output is estimated, and the estimate may be too low. */
static uint64_t work_memory(const runner_work_t *work)
{
	return (uint64_t)work->prompt_tokens + work->output_tokens +
	       work->output_tokens / OUTPUT_MARGIN_DIVISOR;
}

bool runner_model_fits(const runner_model_t *m, uint32_t prompt_tokens,
		       uint32_t output_tokens)
{
	uint64_t own = (uint64_t)prompt_tokens + output_tokens;

	/* More than its memory is an estimate that may be wrong. */
	return !m->is_engine || !m->memory_tokens ||
	       (double)(m->memory_tokens + own) <= m->window;
}

/*
 * Returns the factor by which a call takes longer when N are at a plain runner
 * that queues those beyond its slots.
 */
static double queue_factor(const runner_model_t *m, double n)
{
	return m->stated.last.at && n > m->window ? n / m->window : 1;
}

static void set_overdue_at(const runner_model_t *m, runner_work_t *work,
			   int64_t from, int64_t expected)
{
	work->overdue_at = expected > 0 ? from + OVERDUE_FACTOR * expected +
						  OVERDUE_GRACE_US :
					  INT64_MAX;
}

/*
 * Lowers token_time_limit to what protected work allows, or replaces a limit
 * that has expired.
 */
static void update_token_time_limit(runner_model_t *m,
				    const runner_work_t *work, int64_t now)
{
	int64_t prefill = prompt_time(m, work->prompt_tokens_ahead);
	double left = (double)(work->deadline - now - prefill) / US_PER_S;
	double token_time =
		left * token_time_margin / MAX(work->output_tokens, 1);

	if (m->token_time_limit_until > now &&
	    m->token_time_limit <= token_time)
		return;
	m->token_time_limit = token_time;
	m->token_time_limit_until = work->deadline;
}

/*
 * Returns whether one more request keeps protected work fast enough. Ignores a
 * limit that a single request exceeds already: it can't be kept.
 */
static bool keeps_token_time_limit(const runner_model_t *m, int64_t now)
{
	double n = (double)m->running + 1;

	if (m->token_time_limit_until <= now ||
	    unit_time_at(m, 1) > m->token_time_limit)
		return true;
	return unit_time_at(m, n) <= m->token_time_limit;
}

void runner_model_grant(runner_model_t *m, runner_work_t *work, int64_t now)
{
	uint64_t tokens = work_tokens(m, work);
	int64_t expected;

	m->running++;
	m->prefilling++;
	m->tokens += tokens;
	m->output_tokens += work->output_tokens;
	m->tokens_given += tokens;
	m->memory_tokens += work_memory(work);
	m->prompt_pending += work->prompt_tokens;
	work->prompt_tokens_ahead = m->prompt_pending;
	if (work->is_protected) {
		m->protected_tokens += tokens;
		m->protected_running++;
		if (m->is_engine)
			update_token_time_limit(m, work, now);
	}
	work->concurrency = m->running;
	work->granted_at = now;
	work->first_token_at = 0;
	expected = m->is_engine ?
			   prompt_time(m, work->prompt_tokens_ahead) :
			   (int64_t)((double)decode_time(m, 1, m->running) *
				     queue_factor(m, m->running));
	set_overdue_at(m, work, now,
		       runner_load_slowed(&m->stated, expected, now));
	record_sample(m, now);
}

static void raise_health(runner_model_t *m)
{
	m->health = MIN(m->health + health_step, 1);
}

void runner_model_first_token(runner_model_t *m, runner_work_t *work,
			      int64_t now)
{
	if (work->first_token_at || !m->is_engine)
		return;
	work->first_token_at = now;
	m->prefilling--;
	m->prompt_pending -= work->prompt_tokens;
	work->prefill_time = runner_load_at_pace_1(
		&m->stated, now - MAX(work->granted_at, m->last_first_token_at),
		now);
	m->last_first_token_at = now;
	if (now < work->overdue_at)
		raise_health(m);
	work->concurrency = m->running;
	set_overdue_at(m, work, now,
		       decode_time(m, work->output_tokens, m->running));
}

static void learn_from_end(runner_model_t *m, const runner_work_t *work,
			   const done_t *done, int64_t now)
{
	double n = ((double)work->concurrency + m->running + 1) / 2;
	int64_t took;

	if (now < work->overdue_at)
		raise_health(m);
	if (!m->is_engine) {
		m->last_completed_grant =
			MAX(m->last_completed_grant, work->granted_at);
		took = runner_load_at_pace_1(&m->stated, now - work->granted_at,
					     now);
		/* Leaves out the time queued behind earlier calls. */
		learn_unit_time(m, 1, n,
				(int64_t)((double)took /
					  queue_factor(m, work->concurrency)));
		return;
	}
	if (!work->first_token_at)
		return;
	if (work->prefill_time > 0)
		line_fit_learn(&m->speed.prefill, 1,
			       (double)done->prompt_tokens -
				       done->cached_tokens,
			       (double)work->prefill_time / US_PER_S);
	learn_unit_time(m, (double)done->output_tokens - 1, n,
			runner_load_at_pace_1(&m->stated,
					      now - work->first_token_at, now));
}

void runner_model_end(runner_model_t *m, const runner_work_t *work,
		      const done_t *done, int64_t now)
{
	uint64_t tokens = work_tokens(m, work);

	m->running--;
	m->tokens -= tokens;
	m->output_tokens -= work->output_tokens;
	m->memory_tokens -= work_memory(work);
	if (work->is_protected) {
		m->protected_tokens -= tokens;
		if (!--m->protected_running)
			m->token_time_limit_until = 0;
	}
	if (!work->first_token_at) {
		m->prefilling--;
		m->prompt_pending -= work->prompt_tokens;
	}
	if (done && done->result == DONE_COMPLETED)
		learn_from_end(m, work, done, now);
	record_sample(m, now);
}

/*
 * If calls granted later have completed, the call itself is long and its
 * overdue end doesn't count against the runner.
 */
static bool was_overtaken(const runner_model_t *m, const runner_work_t *work)
{
	return !m->is_engine && m->last_completed_grant > work->granted_at;
}

/* A plain runner that states a slow pace is slow, not unresponsive. */
static bool is_known_slow(const runner_model_t *m, const runner_work_t *work,
			  int64_t now)
{
	return !m->is_engine && m->stated.last.at > work->granted_at &&
	       runner_load_pace(&m->stated, now) >
		       slow_pace * runner_load_usual(&m->stated);
}

void runner_model_overdue(runner_model_t *m, runner_work_t *work, int64_t now)
{
	work->overdue_at = now + MAX(now - work->granted_at, OVERDUE_GRACE_US);
	if (was_overtaken(m, work) || is_known_slow(m, work, now))
		return;
	m->health = MAX(m->health / 2, min_health);
}

bool runner_model_report(runner_model_t *m, const dispatcher_report_t *report,
			 int64_t now)
{
	double external;

	if (report->as_of <= m->report_as_of)
		return false;
	m->report_as_of = report->as_of;
	m->report_received_at = now;
	m->reported_requests = (double)report->running + report->waiting;
	external = (double)report->running + report->waiting -
		   running_at(m, report->as_of);
	m->external_requests = (m->external_requests + MAX(external, 0)) / 2;
	return true;
}

void runner_model_hear(runner_model_t *m, const runner_load_t *load)
{
	if (!runner_load_hear(&m->stated, load))
		return;
	/*
	 * Grants and ends in transit must not count as external work, so
	 * compare with the most requests granted at once since before the
	 * statement.
	 */
	m->stated_ledger = most_since(m, load->at - SAMPLE_GAP_US);
}

/* Returns the requests not granted here, by the runner's statement. */
static double others_stated(const runner_model_t *m, int64_t now)
{
	return round(runner_load_external(&m->stated, m->stated_ledger, now));
}

/* The same, or by load reports if higher; below one is mere uncertainty. */
static double external_requests(const runner_model_t *m, int64_t now)
{
	double reported = m->external_requests;

	if (reported < 1 || now - m->report_received_at > REPORT_VALIDITY_US)
		reported = 0;
	return MAX(others_stated(m, now), reported);
}

static double external_tokens(const runner_model_t *m, int64_t now)
{
	double each = m->running ? (double)m->tokens / m->running : 1;

	return external_requests(m, now) * each;
}

/* Returns the calls that may wait in a plain runner's queue. */
static double queue_limit(const runner_model_t *m, int64_t now)
{
	if (m->health < 1 || m->brittle_until > now ||
	    !runner_load_is_fresh(&m->stated, now))
		return 0;
	return 1 + floor(m->window * plain_queue);
}

static double room_limit(const runner_model_t *m, runner_room_t room,
			 int64_t now)
{
	double limit = m->window * m->health;

	if (m->is_engine && room != ROOM_UNPROTECTED)
		limit *= 1 + protected_reserve;
	if (!m->is_engine && room == ROOM_UNPROTECTED && m->window > 1)
		limit -= MAX(limit * plain_reserve, 1);
	if (!m->is_engine && room != ROOM_UNPROTECTED)
		limit += queue_limit(m, now);
	return MAX(limit, 1);
}

bool runner_model_has_room(const runner_model_t *m, runner_room_t room,
			   int64_t now)
{
	double limit = room_limit(m, room, now);
	double others = others_stated(m, now);

	if (room == ROOM_ANY)
		return true;
	if (room == ROOM_FORCED && m->is_engine && m->brittle_until <= now)
		return (double)m->protected_tokens < limit;
	if ((double)m->tokens + external_tokens(m, now) >= limit)
		return false;
	if (m->is_engine && m->slots && m->running + others >= m->slots)
		return false;
	if (!m->is_engine || room != ROOM_UNPROTECTED)
		return true;
	if (!keeps_token_time_limit(m, now))
		return false;
	if (!m->prefilling)
		return true;
	return prompt_time(m, (double)m->prompt_pending) < MAX_PREFILL_QUEUE_US;
}

int64_t runner_model_place_wait(const runner_model_t *m, runner_room_t room,
				int64_t now)
{
	double running = m->running;
	double all = running + others_stated(m, now);

	if (runner_model_has_room(m, room, now))
		return 0;
	if (!m->is_engine || !m->slots || !m->running ||
	    m->brittle_until > now ||
	    (room == ROOM_UNPROTECTED && m->protected_running))
		return INT64_MAX;
	/* It may also be full for other reasons than its slots. */
	if (all < m->slots || all >= m->slots + MAX_WAITING ||
	    (double)m->tokens >= room_limit(m, room, now))
		return INT64_MAX;
	/* The earliest of N ends with random offsets is at 1 / (N + 1). */
	return decode_time(m, (double)m->output_tokens / running, running) /
	       (int64_t)(running + 1);
}

/* Predicts the microseconds for work without queueing, if N requests run. */
static int64_t service_time(const runner_model_t *m, uint32_t prompt_tokens,
			    uint32_t output_tokens, double cached, double n)
{
	if (!m->is_engine)
		return (int64_t)((double)decode_time(m, 1, n) *
				 queue_factor(m, n));
	return prompt_time(m, prompt_tokens * (1 - cached)) +
	       decode_time(m, output_tokens, n);
}

int64_t runner_model_idle_time(const runner_model_t *m, uint32_t prompt_tokens,
			       uint32_t output_tokens, double cached)
{
	return service_time(m, prompt_tokens, output_tokens, cached, 1);
}

int64_t runner_model_predict(const runner_model_t *m, uint32_t prompt_tokens,
			     uint32_t output_tokens, double cached)
{
	int64_t own = service_time(m, prompt_tokens, output_tokens, cached,
				   (double)m->running + 1);

	if (!m->is_engine)
		return own;
	return own + prompt_time(m, (double)m->prompt_pending);
}

int64_t runner_model_predict_now(const runner_model_t *m,
				 uint32_t prompt_tokens, uint32_t output_tokens,
				 double cached, int64_t now)
{
	return runner_load_slowed(
		&m->stated,
		runner_model_predict(m, prompt_tokens, output_tokens, cached),
		now);
}
