#include "core/runner_filter.h"

enum { US_PER_MS = 1000 };

typedef struct entry {
	uint64_t listing; /* number of the last listing that contained it */
	/* end of the first listing without it; 0: listed */
	int64_t unlisted_at;
	int64_t born_ms; /* identifies the incarnation; 0: unknown */
	bool is_leaving; /* according to the list */
	int64_t reported_leaving_at; /* 0: its answers didn't say so */
	int64_t paused_at;
	int64_t paused_until; /* 0: no pause */
	runner_limit_t limit;
} entry_t;

void runner_filter_init(runner_filter_t *f, int64_t retention)
{
	*f = (runner_filter_t){ .retention = retention };
	f->runners =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void runner_filter_finish(runner_filter_t *f)
{
	g_hash_table_destroy(f->runners);
}

void runner_filter_begin(runner_filter_t *f)
{
	f->listing++;
}

static entry_t *find_or_add(runner_filter_t *f, const char *name)
{
	entry_t *e = g_hash_table_lookup(f->runners, name);

	if (e)
		return e;
	e = g_new0(entry_t, 1);
	/* Counts as listed until the next listing ends. */
	e->listing = f->listing;
	g_hash_table_insert(f->runners, g_strdup(name), e);
	return e;
}

static bool is_other_incarnation(const entry_t *e, int64_t born_ms)
{
	return born_ms && e->born_ms && born_ms != e->born_ms;
}

void runner_filter_add(runner_filter_t *f, const char *name, int64_t born_ms,
		       bool is_leaving)
{
	entry_t *e = find_or_add(f, name);

	if (is_other_incarnation(e, born_ms))
		*e = (entry_t){ 0 };
	if (born_ms)
		e->born_ms = born_ms;
	e->listing = f->listing;
	e->unlisted_at = 0;
	e->is_leaving = is_leaving;
}

void runner_filter_end(runner_filter_t *f, int64_t now)
{
	GHashTableIter iter;
	entry_t *e;

	g_hash_table_iter_init(&iter, f->runners);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&e)) {
		if (e->listing == f->listing)
			continue;
		if (!e->unlisted_at)
			e->unlisted_at = now;
		if (now - e->unlisted_at > f->retention)
			g_hash_table_iter_remove(&iter);
	}
}

/* Returns NULL when the answer came from a different incarnation. */
static entry_t *entry_of_incarnation(runner_filter_t *f, const char *name,
				     int64_t born_ms)
{
	entry_t *e = find_or_add(f, name);

	if (is_other_incarnation(e, born_ms))
		return NULL;
	if (born_ms)
		e->born_ms = born_ms;
	return e;
}

void runner_filter_set_leaving(runner_filter_t *f, const char *name,
			       int64_t born_ms, int64_t now)
{
	entry_t *e = entry_of_incarnation(f, name, born_ms);

	if (e && !e->reported_leaving_at)
		e->reported_leaving_at = now;
}

static int64_t bound_pause(int64_t pause_ms)
{
	if (pause_ms < 0)
		return RUNNER_PAUSE_DEFAULT_MS;
	return MIN(pause_ms, RUNNER_PAUSE_MAX_MS);
}

int64_t runner_filter_pause(runner_filter_t *f, const char *name,
			    int64_t born_ms, int64_t pause_ms, int64_t now)
{
	entry_t *e = entry_of_incarnation(f, name, born_ms);
	int64_t bounded_ms = bound_pause(pause_ms);
	int64_t until = now + bounded_ms * US_PER_MS;

	if (!e || until <= e->paused_until)
		return bounded_ms;
	e->paused_at = now;
	e->paused_until = until;
	return bounded_ms;
}

bool runner_filter_limit(runner_filter_t *f, const char *name, int64_t born_ms,
			 const runner_limit_t *news)
{
	entry_t *e = entry_of_incarnation(f, name, born_ms);

	return e && runner_limit_merge(&e->limit, news);
}

runner_limit_t runner_filter_known_limit(const runner_filter_t *f,
					 const char *name)
{
	const entry_t *e = g_hash_table_lookup(f->runners, name);

	return e ? e->limit : (runner_limit_t){ 0 };
}

runner_status_t runner_filter_status(const runner_filter_t *f, const char *name,
				     int64_t now)
{
	const entry_t *e = g_hash_table_lookup(f->runners, name);
	runner_status_t s = { .use = RUNNER_USABLE };

	if (!e)
		return s;
	if (e->reported_leaving_at) {
		s.use = RUNNER_REPORTED_LEAVING;
		s.reported_at = e->reported_leaving_at;
	} else if (e->is_leaving || e->unlisted_at) {
		s.use = RUNNER_LISTED_LEAVING;
	} else if (e->paused_until > now) {
		s.use = RUNNER_PAUSED;
		s.reported_at = e->paused_at;
		s.paused_until = e->paused_until;
	}
	return s;
}
