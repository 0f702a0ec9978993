#include "core/affinity.h"

static const double initial_cached =
	0.5; /* cached part before the first answer */
static const double learning_rate = 0.3;

typedef struct prefix {
	uint64_t hash;
	const void *runner;
	double cached;
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

void affinity_record(affinity_t *a, uint64_t prefix, const void *runner)
{
	prefix_t *p = find_or_add(a, prefix);

	if (p->runner == runner)
		return;
	p->runner = runner;
	p->cached = initial_cached;
}

void affinity_learn(affinity_t *a, uint64_t prefix, const void *runner,
		    double cached)
{
	prefix_t *p = g_hash_table_lookup(a->prefixes, &prefix);

	if (p && p->runner == runner)
		p->cached += learning_rate * (cached - p->cached);
}

const void *affinity_find(const affinity_t *a, uint64_t prefix, double *cached)
{
	const prefix_t *p = g_hash_table_lookup(a->prefixes, &prefix);

	if (!p)
		return NULL;
	*cached = p->cached;
	return p->runner;
}

void affinity_drop_runner(affinity_t *a, const void *runner)
{
	GList *next;

	for (GList *link = a->recent.head; link; link = next) {
		prefix_t *p = link->data;

		next = link->next;
		if (p->runner == runner)
			evict(a, p);
	}
}
