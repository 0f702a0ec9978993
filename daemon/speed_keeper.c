#include "daemon/speed_keeper.h"

enum { US_PER_MS = 1000 };

/* A digest, and when it was received. */
typedef struct kept {
	runner_digest_t digest;
	int64_t at;
} kept_t;

typedef struct kept_dispatcher {
	GHashTable *runners; /* name to kept_t */
	int64_t received_at;
} kept_dispatcher_t;

static void free_dispatcher(void *data)
{
	kept_dispatcher_t *k = data;

	g_hash_table_destroy(k->runners);
	g_free(k);
}

void speed_keeper_init(speed_keeper_t *k)
{
	k->dispatchers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       free_dispatcher);
}

void speed_keeper_finish(speed_keeper_t *k)
{
	g_hash_table_destroy(k->dispatchers);
}

static void drop_oldest(speed_keeper_t *k)
{
	const kept_dispatcher_t *d;
	const char *name, *oldest = NULL;
	int64_t received_at = INT64_MAX;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, k->dispatchers);
	while (g_hash_table_iter_next(&iter, (void **)&name, (void **)&d)) {
		if (d->received_at >= received_at)
			continue;
		received_at = d->received_at;
		oldest = name;
	}
	if (oldest)
		g_hash_table_remove(k->dispatchers, oldest);
}

static kept_dispatcher_t *find_or_add(speed_keeper_t *k, const char *name)
{
	kept_dispatcher_t *d = g_hash_table_lookup(k->dispatchers, name);

	if (d)
		return d;
	if (g_hash_table_size(k->dispatchers) >= SPEED_KEEPER_MAX)
		drop_oldest(k);
	d = g_new0(kept_dispatcher_t, 1);
	d->runners =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(k->dispatchers, g_strdup(name), d);
	return d;
}

static gboolean is_too_old(void *name, void *data, void *now)
{
	const kept_t *kept = data;

	return *(int64_t *)now - kept->at >
	       (int64_t)SPEED_DIGEST_MAX_AGE_MS * US_PER_MS;
}

void speed_keeper_add(speed_keeper_t *k, const char *dispatcher,
		      const GArray *digests, int64_t now)
{
	kept_dispatcher_t *d = find_or_add(k, dispatcher);

	d->received_at = now;
	g_hash_table_foreach_remove(d->runners, is_too_old, &now);
	for (guint i = 0; i < digests->len; i++) {
		kept_t kept = {
			g_array_index(digests, runner_digest_t, i),
			now,
		};

		if (g_hash_table_size(d->runners) >= SPEED_DIGEST_MAX &&
		    !g_hash_table_contains(d->runners, kept.digest.name))
			continue;
		g_hash_table_insert(d->runners, g_strdup(kept.digest.name),
				    g_memdup2(&kept, sizeof(kept)));
	}
}

uint32_t speed_keeper_import(speed_keeper_t *k, const char *dispatcher,
			     dispatcher_t *d, int64_t now)
{
	kept_dispatcher_t *kept_for =
		g_hash_table_lookup(k->dispatchers, dispatcher);
	GHashTableIter iter;
	kept_t *kept;
	uint32_t n = 0;

	if (!kept_for)
		return 0;
	g_hash_table_iter_init(&iter, kept_for->runners);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&kept)) {
		int64_t age_ms =
			kept->digest.age_ms + (now - kept->at) / US_PER_MS;

		kept->digest.age_ms = (uint32_t)MIN(age_ms, UINT32_MAX);
		n += dispatcher_import_speed(d, &kept->digest, now);
	}
	g_hash_table_remove(k->dispatchers, dispatcher);
	return n;
}
