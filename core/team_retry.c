#include "core/team_retry.h"

#include "common/str_table.h"

enum {
	INITIAL_RETRIES = 3, /* in a new budget */
	MAX_RETRIES = 50, /* that a budget can accumulate */
	MIN_RETRY_AFTER_MS = 100,
	MAX_RETRY_AFTER_MS = 60000,
	KEY_SIZE = TEAM_RETRY_NAME_SIZE + sizeof(uint32_t),
};

typedef struct budget {
	char bytes[KEY_SIZE]; /* tier, then team */
	str_t key; /* view of the bytes */
	double ratio;
	double retries; /* left */
	GList link; /* in team_retry_t.recent */
} budget_t;

void team_retry_init(team_retry_t *r, double ratio, uint32_t max_budgets,
		     uint32_t seed)
{
	*r = (team_retry_t){ .max_budgets = max_budgets, .ratio = ratio };
	r->budgets = str_table_new(g_free);
	g_queue_init(&r->recent);
	r->rand = g_rand_new_with_seed(seed);
}

void team_retry_finish(team_retry_t *r)
{
	g_hash_table_destroy(r->budgets);
	g_rand_free(r->rand);
}

static str_t make_key(char *bytes, str_t team, uint32_t tier)
{
	size_t len = MIN(team.len, TEAM_RETRY_NAME_SIZE);

	memcpy(bytes, &tier, sizeof(tier));
	memcpy(bytes + sizeof(tier), team.ptr, len);
	return (str_t){ bytes, sizeof(tier) + len };
}

static void evict_least_recent(team_retry_t *r)
{
	GList *link = g_queue_pop_head_link(&r->recent);
	budget_t *b = link->data;

	g_hash_table_remove(r->budgets, &b->key);
}

static budget_t *find_or_add(team_retry_t *r, str_t team, uint32_t tier)
{
	char bytes[KEY_SIZE];
	str_t key = make_key(bytes, team, tier);
	budget_t *b = g_hash_table_lookup(r->budgets, &key);

	if (b) {
		g_queue_unlink(&r->recent, &b->link);
		g_queue_push_tail_link(&r->recent, &b->link);
		return b;
	}
	if (!g_queue_is_empty(&r->recent) &&
	    g_hash_table_size(r->budgets) >= r->max_budgets)
		evict_least_recent(r);
	b = g_new0(budget_t, 1);
	b->key = make_key(b->bytes, team, tier);
	b->ratio = r->ratio;
	b->retries = INITIAL_RETRIES;
	b->link.data = b;
	g_hash_table_insert(r->budgets, &b->key, b);
	g_queue_push_tail_link(&r->recent, &b->link);
	return b;
}

void team_retry_set_ratio(team_retry_t *r, str_t team, uint32_t tier,
			  double ratio)
{
	find_or_add(r, team, tier)->ratio = ratio;
}

void team_retry_count_first(team_retry_t *r, str_t team, uint32_t tier)
{
	budget_t *b = find_or_add(r, team, tier);

	b->retries = MIN(b->retries + b->ratio, MAX_RETRIES);
}

bool team_retry_take(team_retry_t *r, str_t team, uint32_t tier)
{
	budget_t *b = find_or_add(r, team, tier);

	if (b->retries < 1)
		return false;
	b->retries--;
	return true;
}

uint32_t retry_after_jittered(GRand *rand, uint32_t backlog_ms)
{
	uint32_t base =
		CLAMP(backlog_ms, MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);

	return base + (uint32_t)g_rand_int_range(rand, 0, (gint32)base);
}

uint32_t retry_after_ms(team_retry_t *r, uint32_t backlog_ms)
{
	return retry_after_jittered(r->rand, backlog_ms);
}
