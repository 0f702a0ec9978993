#include "core/affinity.h"

#include <string.h>

static const double initial_cached =
	0.5; /* cached part before the first answer */
static const double learning_rate = 0.3;

typedef struct prefix {
	uint64_t hash;
	/* Latest first; one that is not used has no runner. */
	affinity_holder_t holders[AFFINITY_HOLDERS];
	double cached; /* part that the latest has */
	bool is_latest_lost; /* the latest was dropped */
	GList link; /* in affinity_t.recent */
} prefix_t;

void affinity_init(affinity_t *a, uint32_t max_prefixes)
{
	*a = (affinity_t){ .max_prefixes = MAX(max_prefixes, 1) };
	a->prefixes = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					    g_free);
	g_queue_init(&a->recent);
}

void affinity_finish(affinity_t *a)
{
	g_hash_table_destroy(a->prefixes);
}

static void evict(affinity_t *a, prefix_t *p)
{
	g_queue_unlink(&a->recent, &p->link);
	g_hash_table_remove(a->prefixes, &p->hash);
}

static prefix_t *find_or_add(affinity_t *a, uint64_t prefix)
{
	prefix_t *p = g_hash_table_lookup(a->prefixes, &prefix);

	if (p) {
		g_queue_unlink(&a->recent, &p->link);
	} else {
		if (g_hash_table_size(a->prefixes) >= a->max_prefixes)
			evict(a, g_queue_peek_head(&a->recent));
		p = g_new0(prefix_t, 1);
		p->hash = prefix;
		p->link.data = p;
		g_hash_table_insert(a->prefixes, &p->hash, p);
	}
	g_queue_push_tail_link(&a->recent, &p->link);
	return p;
}

/* Returns the runner's index, else the first free or the last one. */
static uint32_t find_holder(const prefix_t *p, const void *runner)
{
	uint32_t i = 0;

	while (i < AFFINITY_HOLDERS - 1 && p->holders[i].runner &&
	       p->holders[i].runner != runner)
		i++;
	return i;
}

void affinity_record(affinity_t *a, uint64_t prefix, const void *runner)
{
	prefix_t *p = find_or_add(a, prefix);

	if (p->holders[0].runner == runner && !p->is_latest_lost)
		return;
	p->is_latest_lost = false;
	memmove(&p->holders[1], &p->holders[0],
		find_holder(p, runner) * sizeof(p->holders[0]));
	p->holders[0] = (affinity_holder_t){ .runner = runner };
	p->cached = initial_cached;
}

void affinity_note(affinity_t *a, uint64_t prefix, int64_t at, uint64_t tokens)
{
	prefix_t *p = g_hash_table_lookup(a->prefixes, &prefix);

	if (!p)
		return;
	p->holders[0].at = at;
	p->holders[0].tokens = tokens;
}

const affinity_holder_t *affinity_holder(const affinity_t *a, uint64_t prefix,
					 uint32_t i)
{
	const prefix_t *p = g_hash_table_lookup(a->prefixes, &prefix);

	if (!p || i >= AFFINITY_HOLDERS || !p->holders[i].runner)
		return NULL;
	return &p->holders[i];
}

void affinity_learn(affinity_t *a, uint64_t prefix, const void *runner,
		    double cached)
{
	prefix_t *p = g_hash_table_lookup(a->prefixes, &prefix);

	if (p && !p->is_latest_lost && p->holders[0].runner == runner)
		p->cached += learning_rate * (cached - p->cached);
}

const void *affinity_find(const affinity_t *a, uint64_t prefix, double *cached)
{
	const prefix_t *p = g_hash_table_lookup(a->prefixes, &prefix);

	if (!p || p->is_latest_lost)
		return NULL;
	*cached = p->cached;
	return p->holders[0].runner;
}

static void drop_holder(prefix_t *p, const void *runner)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < AFFINITY_HOLDERS; i++)
		if (p->holders[i].runner != runner)
			p->holders[n++] = p->holders[i];
	while (n < AFFINITY_HOLDERS)
		p->holders[n++] = (affinity_holder_t){ .runner = NULL };
}

void affinity_drop_runner(affinity_t *a, const void *runner)
{
	GList *next;

	for (GList *link = a->recent.head; link; link = next) {
		prefix_t *p = link->data;

		next = link->next;
		p->is_latest_lost |= p->holders[0].runner == runner;
		drop_holder(p, runner);
		if (!p->holders[0].runner)
			evict(a, p);
	}
}
