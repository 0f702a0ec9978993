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
	p->proxies = g_array_new(FALSE, TRUE, sizeof(runner_proxy_t));
	p->failing =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void runner_paths_finish(runner_paths_t *p)
{
	g_array_unref(p->proxies);
	g_hash_table_destroy(p->failing);
}

static runner_proxy_t *proxy_at(const runner_paths_t *p, guint i)
{
	return &g_array_index(p->proxies, runner_proxy_t, i);
}

static runner_proxy_t *find_proxy(const runner_paths_t *p, const char *address)
{
	for (guint i = 0; i < p->proxies->len; i++)
		if (!g_strcmp0(proxy_at(p, i)->address, address))
			return proxy_at(p, i);
	return NULL;
}

/* Names are emptied; those that are added again get theirs back. */
void runner_paths_begin_proxies(runner_paths_t *p)
{
	for (guint i = 0; i < p->proxies->len; i++)
		proxy_at(p, i)->name[0] = '\0';
}

void runner_paths_add_proxy(runner_paths_t *p, const char *name,
			    const char *address, bool is_in_own_zone)
{
	runner_proxy_t *known = find_proxy(p, address);

	if (!known) {
		g_array_set_size(p->proxies, p->proxies->len + 1);
		known = proxy_at(p, p->proxies->len - 1);
		g_strlcpy(known->address, address, sizeof(known->address));
	}
	g_strlcpy(known->name, name, sizeof(known->name));
	known->is_in_own_zone = is_in_own_zone;
}

void runner_paths_end_proxies(runner_paths_t *p)
{
	for (guint i = p->proxies->len; i-- > 0;)
		if (!proxy_at(p, i)->name[0])
			g_array_remove_index_fast(p->proxies, i);
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

	if (!p->proxies->len)
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
	const runner_proxy_t *best = NULL;
	rendezvous_t most = { 0 };

	for (guint i = 0; i < p->proxies->len; i++) {
		const runner_proxy_t *r = proxy_at(p, i);
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
	runner_proxy_t *r = find_proxy(p, address);

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
