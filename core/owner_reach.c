#include "core/owner_reach.h"

enum {
	US_PER_S = 1000000,
	/* Different runners that an owner fails to reach when it is cut off. */
	LEAST_RUNNERS = 2,
	MEMORY_US = 30 * US_PER_S, /* without another failure */
	MAX_OWNERS = 1024, /* that fail at the same time */
};

typedef struct failures {
	uint64_t first_runner; /* hash of its name */
	uint32_t n_runners; /* different ones, LEAST_RUNNERS at most */
	int64_t last_at;
} failures_t;

void owner_reach_init(owner_reach_t *r)
{
	r->owners = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					  g_free);
}

void owner_reach_finish(owner_reach_t *r)
{
	g_hash_table_destroy(r->owners);
}

static gboolean is_old(gpointer owner, gpointer value, gpointer now)
{
	const failures_t *f = value;

	return *(const int64_t *)now - f->last_at > MEMORY_US;
}

/* Returns NULL when too many owners fail. */
static failures_t *find_or_add(owner_reach_t *r, uint64_t owner, int64_t now)
{
	failures_t *f = g_hash_table_lookup(r->owners, &owner);

	if (f && !is_old(NULL, f, &now))
		return f;
	if (g_hash_table_size(r->owners) >= MAX_OWNERS)
		g_hash_table_foreach_remove(r->owners, is_old, &now);
	if (!f && g_hash_table_size(r->owners) >= MAX_OWNERS)
		return NULL;
	f = g_new0(failures_t, 1);
	g_hash_table_insert(r->owners, g_memdup2(&owner, sizeof(owner)), f);
	return f;
}

bool owner_reach_is_cut_off(const owner_reach_t *r, uint64_t owner, int64_t now)
{
	failures_t *f = g_hash_table_lookup(r->owners, &owner);

	return f && f->n_runners >= LEAST_RUNNERS && !is_old(NULL, f, &now);
}

bool owner_reach_on_failure(owner_reach_t *r, uint64_t owner, str_t runner,
			    int64_t now)
{
	failures_t *f = find_or_add(r, owner, now);
	uint64_t hash = str_hash(runner);

	if (!f)
		return false;
	f->last_at = now;
	if (!f->n_runners)
		f->first_runner = hash;
	if (!f->n_runners ||
	    (f->n_runners < LEAST_RUNNERS && hash != f->first_runner))
		f->n_runners++;
	return f->n_runners >= LEAST_RUNNERS;
}

void owner_reach_on_answer(owner_reach_t *r, uint64_t owner)
{
	g_hash_table_remove(r->owners, &owner);
}

void owner_reach_forget(owner_reach_t *r, uint64_t owner)
{
	g_hash_table_remove(r->owners, &owner);
}
