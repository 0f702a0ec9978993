#include "core/weight_budget.h"

#include <glib.h>

static const double US_PER_S = 1e6;

static void refill(weight_budget_t *b, int64_t now)
{
	if (now <= b->updated_at)
		return;
	b->tokens += b->rate * (double)(now - b->updated_at) / US_PER_S;
	/* At most 1, so that daemons that were idle don't all burst at once. */
	b->tokens = MIN(b->tokens, 1);
	b->updated_at = now;
}

void weight_budget_init(weight_budget_t *b, double store_rate, uint32_t zones,
			int64_t now)
{
	b->zone_rate = store_rate / MAX(zones, 1);
	b->rate = b->zone_rate;
	b->tokens = 0;
	b->updated_at = now;
}

void weight_budget_set_daemons(weight_budget_t *b, uint32_t n, int64_t now)
{
	refill(b, now);
	b->rate = b->zone_rate / MAX(n, 1);
}

bool weight_budget_take(weight_budget_t *b, int64_t now)
{
	refill(b, now);
	if (b->tokens < 1)
		return false;
	b->tokens -= 1;
	return true;
}

int64_t weight_budget_wait(weight_budget_t *b, int64_t now)
{
	refill(b, now);
	if (b->tokens >= 1)
		return 0;
	if (b->rate <= 0)
		return -1;
	return (int64_t)((1 - b->tokens) / b->rate * US_PER_S) + 1;
}
