#include "core/cache_value.h"

#include <glib.h>
#include <math.h>

enum {
	US_PER_S = 1000000,
	/*
	 * The runner may also have evicted the prefix for causes not seen here,
	 * such as other dispatchers' work or a restart.
	 */
	HALF_LIFE_US = 30 * US_PER_S,
	/* The same if the size of the cache is not known. */
	BLIND_HALF_LIFE_US = 5 * US_PER_S,
};

/* Part of the cache that may be refilled before the oldest is evicted. */
static const double safe_part = 0.5;

/*
 * Eviction is by least recent use: the prefix is certainly cached while less
 * than the safe part was refilled since, and evicted once all of it was.
 */
static double kept_under_pressure(const cached_prefix_t *p)
{
	double filled = (double)p->tokens_since / (double)p->capacity;

	return CLAMP((1 - filled) / (1 - safe_part), 0, 1);
}

double cache_value_certainty(const cached_prefix_t *p)
{
	int64_t half_life = p->capacity ? HALF_LIFE_US : BLIND_HALF_LIFE_US;
	double kept = p->capacity ? kept_under_pressure(p) : 1;

	if (!p->tokens || (p->capacity && p->tokens > p->capacity))
		return 0;
	return kept * exp2(-(double)MAX(p->age, 0) / (double)half_life);
}

int64_t cache_value_saving(const cached_prefix_t *p, int64_t tokens_time)
{
	return (int64_t)(cache_value_certainty(p) * (double)tokens_time);
}

bool cache_value_prefers(int64_t saving, int64_t cached_wait,
			 int64_t other_wait)
{
	return saving > 0 && cached_wait - saving <= other_wait;
}
