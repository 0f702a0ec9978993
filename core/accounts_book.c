#include "core/accounts.h"

#include <glib.h>

#include "core/accounts_record.h"

/* What was read of one daemon's incarnation. */
typedef struct writer {
	char daemon[ACCOUNTS_NAME_SIZE];
	uint64_t incarnation;
	GHashTable *seen; /* set of sequence numbers */
	uint64_t least;
	uint64_t greatest;
	int64_t last_ms;
	bool has_end;
} writer_t;

struct accounts_book_state {
	GHashTable *writers; /* set of writer_t */
	GPtrArray *batches; /* of accounts_batch_t, as read */
	accounts_missing_t counts;
};

static guint hash_writer(gconstpointer p)
{
	const writer_t *w = p;

	return g_str_hash(w->daemon) ^ g_int64_hash(&w->incarnation);
}

static gboolean equal_writers(gconstpointer a, gconstpointer b)
{
	const writer_t *x = a;
	const writer_t *y = b;

	return x->incarnation == y->incarnation &&
	       !strcmp(x->daemon, y->daemon);
}

static void free_writer(void *p)
{
	writer_t *w = p;

	g_hash_table_unref(w->seen);
	g_free(w);
}

static void free_batch(void *p)
{
	accounts_batch_t *batch = p;

	accounts_table_finish(&batch->table);
	g_free(batch);
}

void accounts_book_init(accounts_book_t *b)
{
	b->state = g_new0(struct accounts_book_state, 1);
	b->state->writers = g_hash_table_new_full(hash_writer, equal_writers,
						  free_writer, NULL);
	b->state->batches = g_ptr_array_new_with_free_func(free_batch);
}

void accounts_book_finish(accounts_book_t *b)
{
	if (!b->state)
		return;
	g_hash_table_unref(b->state->writers);
	g_ptr_array_unref(b->state->batches);
	g_clear_pointer(&b->state, g_free);
}

static writer_t *find_writer(struct accounts_book_state *s,
			     const accounts_batch_t *batch)
{
	writer_t want = { .incarnation = batch->incarnation };
	writer_t *w;

	memcpy(want.daemon, batch->daemon, sizeof(want.daemon));
	w = g_hash_table_lookup(s->writers, &want);
	if (w)
		return w;
	w = g_new(writer_t, 1);
	*w = want;
	w->seen = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					NULL);
	w->least = UINT64_MAX;
	g_hash_table_add(s->writers, w);
	return w;
}

/* Returns false for a repeat. */
static bool note_batch(writer_t *w, const accounts_batch_t *batch)
{
	if (!g_hash_table_add(w->seen,
			      g_memdup2(&batch->seq, sizeof(batch->seq))))
		return false;
	w->least = MIN(w->least, batch->seq);
	w->greatest = MAX(w->greatest, batch->seq);
	w->last_ms = MAX(w->last_ms, batch->until_ms);
	w->has_end |= batch->is_end;
	return true;
}

bool accounts_book_record(accounts_book_t *b, str_t data, err_t *err)
{
	struct accounts_book_state *s = b->state;
	accounts_batch_t batch;

	if (!accounts_record_parse(&batch, data, err)) {
		s->counts.damaged++;
		return false;
	}
	if (!note_batch(find_writer(s, &batch), &batch)) {
		s->counts.repeats++;
		accounts_table_finish(&batch.table);
		return true;
	}
	s->counts.batches++;
	s->counts.merged += batch.merged;
	g_ptr_array_add(s->batches, g_memdup2(&batch, sizeof(batch)));
	return true;
}

void accounts_book_each(const accounts_book_t *b, int64_t from_ms,
			int64_t until_ms,
			void (*fn)(void *ctx, const accounts_key_t *key,
				   const accounts_sum_t *sum),
			void *ctx)
{
	const GPtrArray *batches = b->state->batches;
	g_autofree const accounts_row_t **rows = NULL;
	accounts_table_t sums;

	accounts_table_init(&sums, UINT32_MAX);
	for (guint i = 0; i < batches->len; i++) {
		const accounts_batch_t *batch = g_ptr_array_index(batches, i);

		if (batch->until_ms >= from_ms && batch->until_ms < until_ms)
			accounts_table_merge(&sums, &batch->table);
	}
	rows = accounts_table_sorted(&sums);
	for (size_t i = 0; rows[i]; i++)
		fn(ctx, &rows[i]->key, &rows[i]->sum);
	accounts_table_finish(&sums);
}

bool accounts_book_span(const accounts_book_t *b, int64_t *first_ms,
			int64_t *last_ms)
{
	const GPtrArray *batches = b->state->batches;

	*first_ms = INT64_MAX;
	*last_ms = INT64_MIN;
	for (guint i = 0; i < batches->len; i++) {
		const accounts_batch_t *batch = g_ptr_array_index(batches, i);

		*first_ms = MIN(*first_ms, batch->until_ms);
		*last_ms = MAX(*last_ms, batch->until_ms);
	}
	return batches->len > 0;
}

void accounts_book_missing(const accounts_book_t *b, int64_t now_ms,
			   int64_t silence_ms, accounts_missing_t *out)
{
	GHashTableIter iter;
	void *value;

	*out = b->state->counts;
	g_hash_table_iter_init(&iter, b->state->writers);
	while (g_hash_table_iter_next(&iter, &value, NULL)) {
		const writer_t *w = value;

		out->gaps +=
			w->greatest - w->least + 1 - g_hash_table_size(w->seen);
		out->expired += w->least - 1;
		if (!w->has_end && w->last_ms + silence_ms < now_ms)
			out->unended++;
	}
}
