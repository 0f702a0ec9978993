#include "core/runner_limit.h"

#include <glib.h>

enum {
	US_PER_S = 1000000,
	/*
	 * What an owner reports reaches the dispatcher later than it was said;
	 * a grant made meanwhile is still used.
	 */
	REPORT_DELAY_US = 300 * 1000,
};

/*
 * Part of the limit that one dispatcher grants. Two may grant the same runner
 * for some seconds, while daemons disagree on who dispatches; runners bear half
 * more than they name.
 */
static const double granted_part = 0.75;
/* Grants per second of a runner that names less, to notice the limit's end. */
static const double min_rate = 0.25;
/* Seconds of the rate that may be granted at once, if more than one request. */
static const double burst_s = 0.02;

bool runner_limit_merge(runner_limit_t *known, const runner_limit_t *news)
{
	bool has_changed;

	if (news->state == RUNNER_LIMIT_UNKNOWN ||
	    (known->state != RUNNER_LIMIT_UNKNOWN && news->at < known->at))
		return false;
	has_changed = known->state != news->state || known->rate != news->rate;
	*known = *news;
	return has_changed;
}

bool runner_limit_allows(const runner_limit_t *known,
			 const runner_limit_t *granted)
{
	if (known->state != RUNNER_LIMIT_NAMED ||
	    granted->state == RUNNER_LIMIT_NAMED)
		return true;
	return granted->state == RUNNER_LIMIT_LIFTED &&
	       granted->at + REPORT_DELAY_US >= known->at;
}

void runner_limit_bucket_init(runner_limit_bucket_t *b, int64_t now)
{
	*b = (runner_limit_bucket_t){ .refilled_at = now };
}

static void refill(const runner_limit_t *limit, runner_limit_bucket_t *b,
		   int64_t now)
{
	double rate = MAX(limit->rate * granted_part, min_rate);
	double seconds = (double)(now - b->refilled_at) / US_PER_S;

	b->refilled_at = now;
	b->tokens = MIN(b->tokens + seconds * rate, MAX(rate * burst_s, 1));
}

bool runner_limit_has_room(const runner_limit_t *limit,
			   runner_limit_bucket_t *b, int64_t now)
{
	if (limit->state != RUNNER_LIMIT_NAMED)
		return true;
	refill(limit, b, now);
	return b->tokens >= 1;
}

void runner_limit_take(const runner_limit_t *limit, runner_limit_bucket_t *b,
		       int64_t now)
{
	if (limit->state != RUNNER_LIMIT_NAMED)
		return;
	refill(limit, b, now);
	b->tokens -= 1;
}
