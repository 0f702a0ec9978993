#include "core/runner_paths.h"

#include "core/rendezvous.h"

enum {
	US_PER_MS = 1000,
	TRIAL_GAP_US = 500 * US_PER_MS, /* between trials of a direct way */
	KEEP_US = 10 * 1000 * US_PER_MS, /* a failure, without any use */
	AVOID_RELAY_US = 1000 * US_PER_MS,
	CONNECTED_US = 2000 * US_PER_MS, /* since a runner was heard */
	/* Different runners that fail, and none is heard, when it is cut off. */
	LEAST_FAILING = 2,
	MAX_FAILING = 4096,
};

typedef struct failing {
	int64_t since;
	int64_t used_at; /* by a request */
	int64_t tried_at;
} failing_t;

void runner_paths_init(runner_paths_t *p, const char *self)
{
	*p = (runner_paths_t){ 0 };
	g_strlcpy(p->self, self, sizeof(p->self));
	p->proxies =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	p->failing =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void runner_paths_finish(runner_paths_t *p)
{
	g_hash_table_destroy(p->proxies);
	g_hash_table_destroy(p->failing);
}

void runner_paths_begin_proxies(runner_paths_t *p)
{
	p->listing++;
}

void runner_paths_add_proxy(runner_paths_t *p, const char *name,
			    const char *address, bool is_in_own_zone)
{
	runner_proxy_t *known = g_hash_table_lookup(p->proxies, address);

	if (!known) {
		known = g_new0(runner_proxy_t, 1);
		g_strlcpy(known->address, address, sizeof(known->address));
		g_hash_table_insert(p->proxies, known->address, known);
	}
	g_strlcpy(known->name, name, sizeof(known->name));
	known->is_in_own_zone = is_in_own_zone;
	known->listing = p->listing;
}

void runner_paths_end_proxies(runner_paths_t *p)
{
	GHashTableIter iter;
	runner_proxy_t *r;

	g_hash_table_iter_init(&iter, p->proxies);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&r))
		if (r->listing != p->listing)
			g_hash_table_iter_remove(&iter);
}

static void find_oldest(runner_paths_t *p)
{
	GHashTableIter iter;
	failing_t *f;

	p->failing_since = 0;
	g_hash_table_iter_init(&iter, p->failing);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&f))
		if (!p->failing_since || f->since < p->failing_since)
			p->failing_since = f->since;
}

static void forget(runner_paths_t *p, const char *runner)
{
	if (g_hash_table_remove(p->failing, runner))
		find_oldest(p);
}

bool runner_paths_is_cut_off(const runner_paths_t *p)
{
	return g_hash_table_size(p->failing) >= LEAST_FAILING &&
	       p->sign_at < p->failing_since;
}

bool runner_paths_is_connected(const runner_paths_t *p, int64_t now)
{
	return p->sign_at && now - p->sign_at < CONNECTED_US;
}

bool runner_paths_is_direct(runner_paths_t *p, const char *runner, int64_t now)
{
	failing_t *f = g_hash_table_lookup(p->failing, runner);

	if (!g_hash_table_size(p->proxies))
		return true;
	if (!f && runner_paths_is_cut_off(p)) {
		/* Not tried yet: the first trial is due at once. */
		runner_paths_on_failure(p, runner, now);
		f = g_hash_table_lookup(p->failing, runner);
		if (f)
			f->tried_at = now - TRIAL_GAP_US;
	}
	if (f)
		f->used_at = now;
	return !f;
}

const char *runner_paths_proxy(const runner_paths_t *p, const char *runner,
			       int64_t now)
{
	g_autofree char *key = g_strconcat(p->self, " ", runner, NULL);
	const runner_proxy_t *best = NULL, *r;
	GHashTableIter iter;
	rendezvous_t most = { 0 };

	g_hash_table_iter_init(&iter, p->proxies);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&r)) {
		rendezvous_t w;

		if (r->avoided_until > now ||
		    (best && best->is_in_own_zone && !r->is_in_own_zone))
			continue;
		w = rendezvous_weigh(str_from(r->name), str_from(key));
		if (best && best->is_in_own_zone == r->is_in_own_zone &&
		    !rendezvous_precedes(&w, &most))
			continue;
		best = r;
		most = w;
	}
	return best ? best->address : NULL;
}

void runner_paths_on_heard(runner_paths_t *p, int64_t now)
{
	p->sign_at = now;
}

void runner_paths_on_connected(runner_paths_t *p, const char *runner,
			       int64_t now)
{
	p->sign_at = now;
	forget(p, runner);
}

bool runner_paths_on_failure(runner_paths_t *p, const char *runner, int64_t now)
{
	failing_t *f = g_hash_table_lookup(p->failing, runner);

	if (f) {
		f->tried_at = now;
		return false;
	}
	if (g_hash_table_size(p->failing) >= MAX_FAILING)
		return false;
	f = g_new0(failing_t, 1);
	*f = (failing_t){ .since = now, .used_at = now, .tried_at = now };
	g_hash_table_insert(p->failing, g_strdup(runner), f);
	if (!p->failing_since)
		p->failing_since = now;
	return true;
}

void runner_paths_on_down(runner_paths_t *p, const char *runner)
{
	forget(p, runner);
}

void runner_paths_on_proxy_failure(runner_paths_t *p, const char *address,
				   int64_t now)
{
	runner_proxy_t *r = g_hash_table_lookup(p->proxies, address);

	if (r)
		r->avoided_until = now + AVOID_RELAY_US;
}

/* Runners that nobody asked for any more need no trial. */
static void drop_unused(runner_paths_t *p, int64_t now)
{
	GHashTableIter iter;
	failing_t *f;
	guint before = g_hash_table_size(p->failing);

	g_hash_table_iter_init(&iter, p->failing);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&f))
		if (now - f->used_at > KEEP_US)
			g_hash_table_iter_remove(&iter);
	if (g_hash_table_size(p->failing) != before)
		find_oldest(p);
}

const char *runner_paths_next_trial(runner_paths_t *p, int64_t now)
{
	GHashTableIter iter;
	const char *runner;
	failing_t *f;

	drop_unused(p, now);
	g_hash_table_iter_init(&iter, p->failing);
	while (g_hash_table_iter_next(&iter, (void **)&runner, (void **)&f)) {
		if (now - f->tried_at < TRIAL_GAP_US)
			continue;
		f->tried_at = now;
		return runner;
	}
	return NULL;
}
