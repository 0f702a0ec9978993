#include "core/accounts_writers.h"

static guint hash_writer(gconstpointer p)
{
	const accounts_writer_t *w = p;

	return g_str_hash(w->daemon) ^ g_int64_hash(&w->incarnation);
}

static gboolean equal_writers(gconstpointer a, gconstpointer b)
{
	const accounts_writer_t *x = a;
	const accounts_writer_t *y = b;

	return x->incarnation == y->incarnation &&
	       !strcmp(x->daemon, y->daemon);
}

static void free_writer(void *p)
{
	accounts_writer_t *w = p;

	seq_set_finish(&w->seen);
	g_free(w);
}

void accounts_writers_init(accounts_writers_t *w)
{
	w->set = g_hash_table_new_full(hash_writer, equal_writers, free_writer,
				       NULL);
}

void accounts_writers_finish(accounts_writers_t *w)
{
	g_clear_pointer(&w->set, g_hash_table_unref);
}

accounts_writer_t *accounts_writers_find_or_add(accounts_writers_t *w,
						const char *daemon,
						uint64_t incarnation)
{
	accounts_writer_t key = { .incarnation = incarnation };
	accounts_writer_t *found;

	str_copy(key.daemon, sizeof(key.daemon), str_from(daemon));
	found = g_hash_table_lookup(w->set, &key);
	if (found)
		return found;
	found = g_new(accounts_writer_t, 1);
	*found = key;
	seq_set_init(&found->seen);
	g_hash_table_add(w->set, found);
	return found;
}

bool accounts_writers_add_batch(accounts_writers_t *w,
				const accounts_batch_t *batch)
{
	accounts_writer_t *writer = accounts_writers_find_or_add(
		w, batch->daemon, batch->incarnation);

	if (!seq_set_add(&writer->seen, batch->seq))
		return false;
	writer->last_ms = MAX(writer->last_ms, batch->until_ms);
	writer->has_end |= batch->is_end;
	return true;
}

static void add_missing(const accounts_writer_t *w, int64_t unended_before_ms,
			accounts_counts_t *out)
{
	if (seq_set_is_empty(&w->seen))
		return;
	out->gaps += seq_set_holes(&w->seen);
	out->expired += seq_set_least(&w->seen) - 1;
	if (w->has_end)
		return;
	if (w->last_ms < unended_before_ms)
		out->unended++;
	else
		out->running++;
}

void accounts_writers_count_missing(const accounts_writers_t *w, int64_t now_ms,
				    int64_t silence_ms, accounts_counts_t *out)
{
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, w->set);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		add_missing(key, now_ms - silence_ms, out);
}

void accounts_writers_expire(accounts_writers_t *w, int64_t before_ms,
			     accounts_counts_t *out)
{
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, w->set);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const accounts_writer_t *writer = key;

		if (writer->last_ms >= before_ms)
			continue;
		add_missing(writer, before_ms, out);
		g_hash_table_iter_remove(&iter);
	}
}
