#include "core/runner_watch.h"

typedef struct entry {
	uint64_t round; /* of the last listing that had it */
	int64_t gone_at; /* 0: it is listed */
	bool is_leaving;
} entry_t;

void runner_watch_init(runner_watch_t *w, int64_t memory)
{
	*w = (runner_watch_t){ .memory = memory };
	w->runners =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void runner_watch_finish(runner_watch_t *w)
{
	g_hash_table_destroy(w->runners);
}

void runner_watch_begin(runner_watch_t *w)
{
	w->round++;
}

void runner_watch_add(runner_watch_t *w, const char *name, bool is_leaving)
{
	entry_t *e = g_hash_table_lookup(w->runners, name);

	if (!e) {
		e = g_new0(entry_t, 1);
		g_hash_table_insert(w->runners, g_strdup(name), e);
	}
	e->round = w->round;
	e->gone_at = 0;
	e->is_leaving = is_leaving;
}

void runner_watch_end(runner_watch_t *w, int64_t now)
{
	GHashTableIter iter;
	entry_t *e;

	g_hash_table_iter_init(&iter, w->runners);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&e)) {
		if (e->round == w->round)
			continue;
		if (!e->gone_at)
			e->gone_at = now;
		if (now - e->gone_at > w->memory)
			g_hash_table_iter_remove(&iter);
	}
}

bool runner_watch_may_use(const runner_watch_t *w, const char *name)
{
	const entry_t *e = g_hash_table_lookup(w->runners, name);

	return !e || (!e->is_leaving && !e->gone_at);
}
