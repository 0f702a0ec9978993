#include "core/runner_brittle.h"

enum {
	US_PER_MS = 1000,
	/* A second as the runner counts it, and the way of the refusals. */
	WINDOW_US = 1200 * US_PER_MS,
	/*
	 * Two dispatchers may grant the same runner for some seconds, while
	 * daemons disagree on who dispatches.
	 */
	SHARE_DIVISOR = 2,
};

void runner_brittle_state(runner_brittle_t *b, uint32_t borne, int64_t now)
{
	b->stated_at = now;
	b->borne = borne;
}

static bool is_in_window(const runner_brittle_t *b, int64_t now)
{
	return b->refused_at && now - b->refused_at < WINDOW_US;
}

void runner_brittle_on_refusal(runner_brittle_t *b, int64_t now)
{
	if (!is_in_window(b, now)) {
		b->refused_at = now;
		b->refusals = 0;
		b->grants = 0;
	}
	b->refusals++;
}

bool runner_brittle_is_stated(const runner_brittle_t *b, int64_t now)
{
	return b->stated_at && now - b->stated_at < RUNNER_BRITTLE_VALIDITY_US;
}

bool runner_brittle_has_room(const runner_brittle_t *b, int64_t now)
{
	return !runner_brittle_is_stated(b, now) || !is_in_window(b, now) ||
	       b->refusals + b->grants < b->borne / SHARE_DIVISOR;
}

void runner_brittle_take(runner_brittle_t *b, int64_t now)
{
	if (is_in_window(b, now))
		b->grants++;
}
