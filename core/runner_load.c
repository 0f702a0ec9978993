#include "core/runner_load.h"

#include <glib.h>
#include <math.h>

enum {
	US_PER_MS = 1000,
	HALF_LIFE_US = 200 * US_PER_MS, /* of a statement's weight */
	MAX_AGE_US = 2000 * US_PER_MS, /* older statements have no weight */
	PACE_US = 300 * US_PER_MS, /* how long a stated pace lasts */
	MAX_PACES = 32, /* in the moving average of the usual pace */
	REPEATED_US = 5 * US_PER_MS, /* equal ones within it are duplicates */
	MAX_REQUESTS = 1000000, /* more is implausible */
	MIN_PACE = 10, /* percent */
	MAX_PACE = 10000,
};

bool runner_load_is_plausible(const runner_load_t *load)
{
	return load->running <= MAX_REQUESTS && load->waiting <= MAX_REQUESTS &&
	       load->slots <= MAX_REQUESTS &&
	       (!load->pace ||
		(load->pace >= MIN_PACE && load->pace <= MAX_PACE));
}

double runner_load_weight(int64_t age)
{
	if (age <= 0)
		return 1;
	if (age >= MAX_AGE_US)
		return 0;
	return exp2(-(double)age / HALF_LIFE_US);
}

static double weight_at(const runner_statements_t *s, int64_t now)
{
	return s->last.at ? runner_load_weight(now - s->last.at) : 0;
}

static bool is_repeated(const runner_statements_t *s,
			const runner_load_t *heard)
{
	const runner_load_t *l = &s->last;

	return l->at && heard->at - l->at < REPEATED_US &&
	       l->running == heard->running && l->waiting == heard->waiting &&
	       l->slots == heard->slots && l->pace == heard->pace;
}

bool runner_load_hear(runner_statements_t *s, const runner_load_t *heard)
{
	double pace = (double)heard->pace / RUNNER_PACE_PERCENT;

	if (!heard->at || heard->at <= s->last.at || is_repeated(s, heard))
		return false;
	s->last = *heard;
	if (!heard->pace)
		return true;
	s->n_paces = MIN(s->n_paces + 1, MAX_PACES);
	s->usual_pace += (pace - s->usual_pace) / s->n_paces;
	return true;
}

bool runner_load_is_fresh(const runner_statements_t *s, int64_t now)
{
	return weight_at(s, now) > 0;
}

double runner_load_usual(const runner_statements_t *s)
{
	return s->n_paces ? s->usual_pace : 1;
}

double runner_load_pace(const runner_statements_t *s, int64_t now)
{
	double usual = runner_load_usual(s);
	double stated = (double)s->last.pace / RUNNER_PACE_PERCENT;

	if (!s->last.pace)
		return usual;
	return usual + (stated - usual) * weight_at(s, now);
}

int64_t runner_load_slowed(const runner_statements_t *s, int64_t time,
			   int64_t now)
{
	double ratio = runner_load_pace(s, now) / runner_load_usual(s);
	double slowed = (double)time * ratio;

	if (slowed <= PACE_US)
		return (int64_t)slowed;
	return PACE_US + time - (int64_t)(PACE_US / ratio);
}

int64_t runner_load_at_pace_1(const runner_statements_t *s, int64_t time,
			      int64_t now)
{
	double last = (double)MIN(time, PACE_US);
	double before = (double)time - last;

	return (int64_t)(last / runner_load_pace(s, now) +
			 before / runner_load_usual(s));
}

double runner_load_external(const runner_statements_t *s, uint32_t ledger,
			    int64_t now)
{
	double stated = (double)s->last.running + s->last.waiting;

	return MAX(stated - ledger, 0) * weight_at(s, now);
}
