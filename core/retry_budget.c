#include "core/retry_budget.h"

void retry_budget_init(retry_budget_t *b, const retry_quota_t *quota)
{
	b->services =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	b->quota = *quota;
}

void retry_budget_finish(retry_budget_t *b)
{
	g_hash_table_destroy(b->services);
}

double retry_budget_most(const retry_budget_t *b)
{
	double share = b->quota.slack / MAX(b->quota.daemons, 1);

	return b->quota.daemons ? MAX(share, 1) : 1;
}

/* Returns the retries that the service may have, at most what it can keep. */
static double *find(retry_budget_t *b, const char *service)
{
	double *left = g_hash_table_lookup(b->services, service);

	if (!left) {
		left = g_new0(double, 1);
		g_hash_table_insert(b->services, g_strdup(service), left);
	}
	*left = MIN(*left, retry_budget_most(b));
	return left;
}

/* What is kept beyond a smaller share is lost before the share grows again. */
void retry_budget_set(retry_budget_t *b, const retry_quota_t *quota)
{
	GHashTableIter iter;
	double *left;

	b->quota = *quota;
	g_hash_table_iter_init(&iter, b->services);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&left))
		*left = MIN(*left, retry_budget_most(b));
}

void retry_budget_count_first(retry_budget_t *b, const char *service)
{
	double *left = find(b, service);

	*left = MIN(*left + b->quota.ratio, retry_budget_most(b));
}

double retry_budget_left(retry_budget_t *b, const char *service)
{
	return *find(b, service);
}

bool retry_budget_take(retry_budget_t *b, const char *service)
{
	/* A sum of ratios like 0.2 may be short of 1 by rounding. */
	static const double one = 1 - 1e-9;
	double *left = find(b, service);

	if (*left < one)
		return false;
	*left -= 1;
	return true;
}
