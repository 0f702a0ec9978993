#include "core/retry_budget.h"

enum { SLICES = 16 /* of a window */ };

/* Sends of one service; the oldest slice is dropped as time goes on. */
typedef struct account {
	uint32_t firsts[SLICES];
	uint32_t repeats[SLICES];
	int64_t slice; /* number of the newest one, by the clock */
} account_t;

void retry_budget_init(retry_budget_t *b, const retry_terms_t *terms)
{
	b->services =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	retry_budget_set(b, terms);
}

void retry_budget_finish(retry_budget_t *b)
{
	g_hash_table_destroy(b->services);
}

void retry_budget_set(retry_budget_t *b, const retry_terms_t *terms)
{
	b->terms = *terms;
	b->terms.daemons = MAX(terms->daemons, 1);
	b->terms.window = MAX(terms->window, SLICES);
}

static void advance(account_t *a, int64_t slice)
{
	int64_t passed = MIN(slice - a->slice, SLICES);

	for (int64_t i = 0; i < passed; i++) {
		int64_t at = (slice - i) % SLICES;

		a->firsts[at] = 0;
		a->repeats[at] = 0;
	}
	a->slice = MAX(a->slice, slice);
}

static account_t *find(retry_budget_t *b, const char *service, int64_t now)
{
	account_t *a = g_hash_table_lookup(b->services, service);

	if (!a) {
		a = g_new0(account_t, 1);
		g_hash_table_insert(b->services, g_strdup(service), a);
	}
	advance(a, now / (b->terms.window / SLICES));
	return a;
}

static uint32_t sum(const uint32_t *slices)
{
	uint32_t n = 0;

	for (int i = 0; i < SLICES; i++)
		n += slices[i];
	return n;
}

void retry_budget_first(retry_budget_t *b, const char *service, int64_t now)
{
	account_t *a = find(b, service, now);

	a->firsts[a->slice % SLICES]++;
}

double retry_budget_left(retry_budget_t *b, const char *service, int64_t now)
{
	const account_t *a = find(b, service, now);

	return b->terms.slack / b->terms.daemons +
	       b->terms.ratio * sum(a->firsts) - sum(a->repeats);
}

bool retry_budget_take(retry_budget_t *b, const char *service, int64_t now)
{
	account_t *a = find(b, service, now);

	if (retry_budget_left(b, service, now) < 1)
		return false;
	a->repeats[a->slice % SLICES]++;
	return true;
}
