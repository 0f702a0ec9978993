#include "core/runner_load.h"

#include <glib.h>
#include <math.h>

enum {
	US_PER_MS = 1000,
	HALF_LIFE_US = 200 * US_PER_MS, /* of a statement's weight */
	MAX_AGE_US = 2000 * US_PER_MS, /* older statements say nothing */
	PACE_US = 300 * US_PER_MS, /* how long a pace lasts */
	MAX_PACES = 32, /* in the moving average of the usual pace */
};

double runner_load_weight(int64_t age)
{
	if (age <= 0)
		return 1;
	if (age >= MAX_AGE_US)
		return 0;
	return exp2(-(double)age / HALF_LIFE_US);
}

bool runner_load_hear(runner_statements_t *s, const runner_load_t *heard)
{
	double pace = (double)heard->pace / RUNNER_PACE_PERCENT;

	if (!heard->at || heard->at <= s->last.at)
		return false;
	s->last = *heard;
	if (!heard->pace)
		return true;
	s->n_paces = MIN(s->n_paces + 1, MAX_PACES);
	s->usual_pace += (pace - s->usual_pace) / s->n_paces;
	return true;
}

double runner_load_usual(const runner_statements_t *s)
{
	return s->n_paces ? s->usual_pace : 1;
}

static double weight_at(const runner_statements_t *s, int64_t now)
{
	return s->last.at ? runner_load_weight(now - s->last.at) : 0;
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
	double slowness = runner_load_pace(s, now) / runner_load_usual(s) - 1;

	return time + (int64_t)((double)MIN(time, PACE_US) * slowness);
}

int64_t runner_load_at_pace_1(const runner_statements_t *s, int64_t time,
			      int64_t now)
{
	double usual = runner_load_usual(s);
	/* The part of the time at the pace that was stated in the end. */
	double part = time > PACE_US ? (double)PACE_US / (double)time : 1;
	double pace = usual + (runner_load_pace(s, now) - usual) * part;

	return (int64_t)((double)time / pace);
}

double runner_load_external(const runner_statements_t *s, uint32_t ledger,
			    int64_t now)
{
	double stated = (double)s->last.running + s->last.waiting;

	return MAX(stated - ledger, 0) * weight_at(s, now);
}
