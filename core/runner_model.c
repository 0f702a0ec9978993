#include "core/runner_model.h"

enum {
	US_PER_S = 1000000,
	SAMPLE_GAP = 50000, /* microseconds between samples of the ledger */
	FOREIGN_LIFE = 5 * US_PER_S, /* a report's word lasts so long */
	PREFILL_QUEUE = 50000, /* microseconds of prompt work waiting there */
	OVERDUE_GRACE = 50000, /* microseconds */
	MAX_SLOWING = 2, /* times, an overdue sign */
	OVERDUE_FACTOR = 2, /* times the predicted time */
};

static const double rate_memory = 0.9; /* kept at each sample */
static const double pace_memory = 0.95; /* kept at each sample */
static const double min_variance = 0.5; /* of requests, to fit a slope */
static const double min_pace = 0.1; /* of the mean, far from the samples */
static const double spared_part = 0.8; /* of the time protected work has */
static const double seed_weight = 0.1; /* of speeds of the generation */
static const double min_health = 1.0 / 16;
static const double health_step = 1.0 / 16;
static const double protected_reserve = 0.25; /* of the window, on top */
static const double plain_reserve = 0.25; /* of the slots, out of them */

static void learn_pace(runner_pace_t *pace, double tokens, double n, int64_t us)
{
	double t;

	if (tokens <= 0 || us <= 0)
		return;
	t = (double)us / US_PER_S / tokens;
	pace->weight = pace->weight * pace_memory + tokens;
	pace->n = pace->n * pace_memory + tokens * n;
	pace->t = pace->t * pace_memory + tokens * t;
	pace->nn = pace->nn * pace_memory + tokens * n * n;
	pace->nt = pace->nt * pace_memory + tokens * n * t;
}

/* Seconds a token while N requests run; 0 when nothing is known. */
static double pace_at(const runner_pace_t *pace, double n)
{
	double mean_n, mean_t, variance, slope;

	if (pace->weight <= 0)
		return 0;
	mean_n = pace->n / pace->weight;
	mean_t = pace->t / pace->weight;
	variance = pace->nn / pace->weight - mean_n * mean_n;
	if (variance < min_variance)
		return mean_t;
	slope = (pace->nt / pace->weight - mean_n * mean_t) / variance;
	slope = CLAMP(slope, 0, mean_t);
	return MAX(mean_t + slope * (n - mean_n), mean_t * min_pace);
}

/* Raises a pace to what an unfinished piece of work shows at least. */
static void bound_pace(runner_pace_t *pace, double tokens, double n, int64_t us)
{
	double expected = pace_at(pace, n) * MAX(tokens, 1);
	double seen = (double)us / US_PER_S;

	double factor = expected > 0 ? MIN(seen / expected, MAX_SLOWING) : 1;

	if (factor <= 1)
		return;
	pace->t *= factor;
	pace->nt *= factor;
}

static runner_pace_t scaled_pace(const runner_pace_t *pace, double factor)
{
	return (runner_pace_t){ pace->weight * factor, pace->n * factor,
				pace->t * factor, pace->nn * factor,
				pace->nt * factor };
}

/* Microseconds to decode while N requests run. */
static int64_t decode_time(const runner_model_t *m, double tokens, double n)
{
	return (int64_t)(pace_at(&m->speed.decode, n) * tokens * US_PER_S);
}

static runner_rate_t scaled(const runner_rate_t *rate, double factor)
{
	return (runner_rate_t){ rate->tokens * factor, rate->seconds * factor };
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
	m->speed.prefill = scaled(&speed->prefill, seed_weight);
	m->speed.decode = scaled_pace(&speed->decode, seed_weight);
}

static void learn(runner_rate_t *rate, double tokens, int64_t us)
{
	if (tokens <= 0 || us <= 0)
		return;
	rate->tokens = rate->tokens * rate_memory + tokens;
	rate->seconds = rate->seconds * rate_memory + (double)us / US_PER_S;
}

/* Lowers a speed to what an unfinished piece of work shows at best. */
static void bound(runner_rate_t *rate, double tokens, int64_t us)
{
	double seconds = (double)us / US_PER_S;

	double seen = rate->tokens * seconds / MAX(tokens, 1);

	if (seen > rate->seconds)
		rate->seconds = MIN(seen, rate->seconds * MAX_SLOWING);
}

static int64_t time_for(const runner_rate_t *rate, double tokens)
{
	if (rate->tokens <= 0)
		return 0;
	return (int64_t)(tokens * rate->seconds / rate->tokens * US_PER_S);
}

static void sample(runner_model_t *m, int64_t now)
{
	runner_sample_t *last = NULL;

	if (m->n_history)
		last = &m->history[(m->n_history - 1) % RUNNER_HISTORY];
	if (!last || now - last->at >= SAMPLE_GAP)
		last = &m->history[m->n_history++ % RUNNER_HISTORY];
	else
		now = last->at;
	*last = (runner_sample_t){ .at = now, .running = m->running };
}

/* Returns what the ledger held at a time past. */
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

static uint64_t work_tokens(const runner_model_t *m, const runner_work_t *work)
{
	if (!m->is_engine)
		return 1;
	return (uint64_t)work->prompt_tokens + work->output_tokens;
}

static void set_due(const runner_model_t *m, runner_work_t *work, int64_t from,
		    int64_t expected)
{
	work->due = expected > 0 ?
			    from + OVERDUE_FACTOR * expected + OVERDUE_GRACE :
			    INT64_MAX;
}

/* Notes the tightest pace that protected work in flight needs. */
static void spare(runner_model_t *m, const runner_work_t *work, int64_t now)
{
	int64_t prefill = time_for(&m->speed.prefill, work->prompt_ahead);
	double left = (double)(work->deadline - now - prefill) / US_PER_S;
	double pace = left * spared_part / MAX(work->output_tokens, 1);

	if (m->spared_until > now && m->spared_pace <= pace)
		return;
	m->spared_pace = pace;
	m->spared_until = work->deadline;
}

/* Tells whether one more request leaves protected work its pace. */
static bool leaves_pace(const runner_model_t *m, int64_t now)
{
	double n = (double)m->running + 1;

	if (m->spared_until <= now ||
	    pace_at(&m->speed.decode, 1) > m->spared_pace)
		return true;
	return pace_at(&m->speed.decode, n) <= m->spared_pace;
}

void runner_model_grant(runner_model_t *m, runner_work_t *work, int64_t now)
{
	uint64_t tokens = work_tokens(m, work);

	m->running++;
	m->prefilling++;
	m->tokens += tokens;
	m->prompt_pending += work->prompt_tokens;
	work->prompt_ahead = m->prompt_pending;
	if (work->is_protected) {
		m->protected_tokens += tokens;
		m->protected_running++;
		if (m->is_engine)
			spare(m, work, now);
	}
	work->beside = m->running;
	work->granted = now;
	work->first_token = 0;
	if (m->is_engine)
		set_due(m, work, now,
			time_for(&m->speed.prefill, work->prompt_ahead));
	else
		set_due(m, work, now, decode_time(m, 1, m->running));
	sample(m, now);
}

static void recover(runner_model_t *m)
{
	m->health = MIN(m->health + health_step, 1);
}

void runner_model_first_token(runner_model_t *m, runner_work_t *work,
			      int64_t now)
{
	if (work->first_token || !m->is_engine)
		return;
	work->first_token = now;
	m->prefilling--;
	m->prompt_pending -= work->prompt_tokens;
	work->prefill_time = now - MAX(work->granted, m->last_first_token);
	m->last_first_token = now;
	if (now < work->due)
		recover(m);
	work->beside = m->running;
	set_due(m, work, now, decode_time(m, work->output_tokens, m->running));
}

static void learn_from_end(runner_model_t *m, const runner_work_t *work,
			   const done_t *done, int64_t now)
{
	double n = ((double)work->beside + m->running + 1) / 2;

	if (now < work->due)
		recover(m);
	if (!m->is_engine) {
		learn_pace(&m->speed.decode, 1, n, now - work->granted);
		return;
	}
	if (!work->first_token)
		return;
	learn(&m->speed.prefill,
	      (double)done->prompt_tokens - done->cached_tokens,
	      work->prefill_time);
	learn_pace(&m->speed.decode, (double)done->output_tokens - 1, n,
		   now - work->first_token);
}

void runner_model_end(runner_model_t *m, const runner_work_t *work,
		      const done_t *done, int64_t now)
{
	uint64_t tokens = work_tokens(m, work);

	m->running--;
	m->tokens -= tokens;
	if (work->is_protected) {
		m->protected_tokens -= tokens;
		if (!--m->protected_running)
			m->spared_until = 0;
	}
	if (!work->first_token) {
		m->prefilling--;
		m->prompt_pending -= work->prompt_tokens;
	}
	if (done && done->result == DONE_COMPLETED)
		learn_from_end(m, work, done, now);
	sample(m, now);
}

void runner_model_overdue(runner_model_t *m, runner_work_t *work, int64_t now)
{
	m->health = MAX(m->health / 2, min_health);
	if (!m->is_engine)
		bound_pace(&m->speed.decode, 1, m->running,
			   now - work->granted);
	else if (work->first_token)
		bound_pace(&m->speed.decode, work->output_tokens, m->running,
			   now - work->first_token);
	else
		bound(&m->speed.prefill, work->prompt_ahead,
		      now - work->granted);
	work->due = now + MAX(now - work->granted, OVERDUE_GRACE);
}

bool runner_model_report(runner_model_t *m, const dispatcher_report_t *report,
			 int64_t now)
{
	double foreign;

	if (report->as_of <= m->report_as_of)
		return false;
	m->report_as_of = report->as_of;
	m->report_seen = now;
	m->reported = (double)report->running + report->waiting;
	foreign = (double)report->running + report->waiting -
		  running_at(m, report->as_of);
	m->foreign = (m->foreign + MAX(foreign, 0)) / 2;
	return true;
}

static double foreign_tokens(const runner_model_t *m, int64_t now)
{
	double each = m->running ? (double)m->tokens / m->running : 1;

	if (m->foreign < 1 || now - m->report_seen > FOREIGN_LIFE)
		return 0;
	return m->foreign * each;
}

static double room_limit(const runner_model_t *m, runner_room_t room)
{
	double limit = m->window * m->health;

	if (m->is_engine && room != ROOM_LOWER)
		limit *= 1 + protected_reserve;
	if (!m->is_engine && room == ROOM_LOWER && m->window > 1)
		limit -= MAX(limit * plain_reserve, 1);
	return MAX(limit, 1);
}

bool runner_model_has_room(const runner_model_t *m, runner_room_t room,
			   int64_t now)
{
	double limit = room_limit(m, room);

	if (room == ROOM_ANY)
		return true;
	if (room == ROOM_FORCED && m->is_engine)
		return (double)m->protected_tokens < limit;
	if ((double)m->tokens + foreign_tokens(m, now) >= limit)
		return false;
	if (!m->is_engine || room != ROOM_LOWER)
		return true;
	if (!leaves_pace(m, now))
		return false;
	if (!m->prefilling)
		return true;
	return time_for(&m->speed.prefill, (double)m->prompt_pending) <
	       PREFILL_QUEUE;
}

static int64_t time_beside(const runner_model_t *m, uint32_t prompt_tokens,
			   uint32_t output_tokens, double cached, double n)
{
	if (!m->is_engine)
		return decode_time(m, 1, n);
	return time_for(&m->speed.prefill, prompt_tokens * (1 - cached)) +
	       decode_time(m, output_tokens, n);
}

int64_t runner_model_service(const runner_model_t *m, uint32_t prompt_tokens,
			     uint32_t output_tokens, double cached)
{
	return time_beside(m, prompt_tokens, output_tokens, cached, 1);
}

int64_t runner_model_predict(const runner_model_t *m, uint32_t prompt_tokens,
			     uint32_t output_tokens, double cached)
{
	int64_t own = time_beside(m, prompt_tokens, output_tokens, cached,
				  (double)m->running + 1);

	if (!m->is_engine)
		return own;
	return own + time_for(&m->speed.prefill, (double)m->prompt_pending);
}
