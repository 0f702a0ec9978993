#include "core/accounts.h"

#include <glib.h>

#include "core/accounts_summary.h"

/* A batch that was read. */
typedef struct entry {
	uint64_t offset;
	accounts_batch_t batch;
} entry_t;

struct accounts_reader_state {
	GPtrArray *entries; /* of entry_t */
	GHashTable *damaged; /* offsets of invalid records */
	char *summary; /* text of the one with the largest as_of, or NULL */
	uint64_t summary_as_of; /* 0 without a summary */
	uint64_t oldest;
	accounts_summary_t totals; /* cached sums of all records */
	bool has_totals; /* TOTALS is up to date */
};

static void free_entry(void *p)
{
	entry_t *entry = p;

	accounts_table_finish(&entry->batch.table);
	g_free(entry);
}

void accounts_reader_init(accounts_reader_t *r)
{
	r->state = g_new0(struct accounts_reader_state, 1);
	r->state->entries = g_ptr_array_new_with_free_func(free_entry);
	r->state->damaged = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  g_free, NULL);
}

static void discard_totals(struct accounts_reader_state *s)
{
	if (s->has_totals)
		accounts_summary_finish(&s->totals);
	s->has_totals = false;
}

void accounts_reader_finish(accounts_reader_t *r)
{
	if (!r->state)
		return;
	discard_totals(r->state);
	g_ptr_array_unref(r->state->entries);
	g_hash_table_unref(r->state->damaged);
	g_free(r->state->summary);
	g_clear_pointer(&r->state, g_free);
}

/*
 * Keeps the summary with the largest as_of. A valid one sums up only records
 * before its own.
 */
static bool add_summary(struct accounts_reader_state *s, uint64_t offset,
			str_t data, err_t *err)
{
	accounts_summary_t sums;
	uint64_t as_of;

	if (!accounts_summary_parse(&sums, data, err))
		return false;
	as_of = sums.as_of;
	accounts_summary_finish(&sums);
	if (as_of > offset)
		return err_set(err, ERR_INVALID, "accounts summary", "",
			       "as_of: it is past the record's own offset");
	if (!s->summary || as_of > s->summary_as_of) {
		g_free(s->summary);
		s->summary = g_strndup(data.ptr, data.len);
		s->summary_as_of = as_of;
	}
	return true;
}

bool accounts_reader_add(accounts_reader_t *r, uint64_t offset, str_t data,
			 err_t *err)
{
	struct accounts_reader_state *s = r->state;
	accounts_batch_t batch;
	entry_t *entry;

	discard_totals(s);
	if (!accounts_record_parse(&batch, data, err)) {
		if (add_summary(s, offset, data, NULL))
			return true;
		g_hash_table_add(s->damaged,
				 g_memdup2(&offset, sizeof(offset)));
		return false;
	}
	entry = g_new(entry_t, 1);
	entry->offset = offset;
	entry->batch = batch;
	g_ptr_array_add(s->entries, entry);
	return true;
}

void accounts_reader_set_oldest(accounts_reader_t *r, uint64_t oldest)
{
	discard_totals(r->state);
	r->state->oldest = oldest;
}

uint64_t accounts_reader_summary_as_of(const accounts_reader_t *r)
{
	return r->state->summary_as_of;
}

/* Sums up the summary and the records after it, up to before offset UNTIL. */
static void sum_records(const struct accounts_reader_state *s, uint64_t until,
			accounts_summary_t *out)
{
	GHashTableIter iter;
	void *key;

	if (!s->summary ||
	    !accounts_summary_parse(out, str_from(s->summary), NULL))
		accounts_summary_init(out);
	if (s->oldest > out->as_of)
		out->counts.unread += s->oldest - out->as_of;
	for (guint i = 0; i < s->entries->len; i++) {
		const entry_t *entry = g_ptr_array_index(s->entries, i);

		if (entry->offset >= out->as_of && entry->offset < until)
			accounts_summary_add(out, &entry->batch);
	}
	g_hash_table_iter_init(&iter, s->damaged);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const uint64_t *offset = key;

		if (*offset >= out->as_of && *offset < until)
			out->counts.damaged++;
	}
}

static const accounts_summary_t *current_totals(const accounts_reader_t *r)
{
	struct accounts_reader_state *s = r->state;

	if (!s->has_totals)
		sum_records(s, UINT64_MAX, &s->totals);
	s->has_totals = true;
	return &s->totals;
}

char *accounts_reader_summary(const accounts_reader_t *r, uint64_t as_of)
{
	const struct accounts_reader_state *s = r->state;
	accounts_summary_t sums;
	char *text;

	if (as_of <= s->summary_as_of)
		return NULL;
	sum_records(s, as_of, &sums);
	sums.as_of = as_of;
	text = accounts_summary_write(&sums);
	accounts_summary_finish(&sums);
	return text;
}

void accounts_reader_each(const accounts_reader_t *r, int64_t from_ms,
			  int64_t until_ms,
			  void (*fn)(void *ctx, const accounts_key_t *key,
				     const accounts_sum_t *sum),
			  void *ctx)
{
	const accounts_summary_t *totals = current_totals(r);
	g_autofree const accounts_row_t **rows = NULL;
	accounts_table_t sums;

	accounts_table_init(&sums, UINT32_MAX);
	for (guint i = 0; i < totals->rows->len; i++) {
		const accounts_timed_row_t *timed =
			&g_array_index(totals->rows, accounts_timed_row_t, i);

		if (timed->time_ms >= from_ms && timed->time_ms < until_ms)
			accounts_table_add(&sums, &timed->row.key,
					   &timed->row.sum);
	}
	rows = accounts_table_sorted(&sums);
	for (size_t i = 0; rows[i]; i++)
		fn(ctx, &rows[i]->key, &rows[i]->sum);
	accounts_table_finish(&sums);
}

bool accounts_reader_span(const accounts_reader_t *r, int64_t *first_ms,
			  int64_t *last_ms)
{
	const accounts_summary_t *totals = current_totals(r);

	*first_ms = INT64_MAX;
	*last_ms = INT64_MIN;
	for (guint i = 0; i < totals->rows->len; i++) {
		const accounts_timed_row_t *timed =
			&g_array_index(totals->rows, accounts_timed_row_t, i);

		*first_ms = MIN(*first_ms, timed->time_ms);
		*last_ms = MAX(*last_ms, timed->time_ms);
	}
	return totals->rows->len > 0;
}

void accounts_reader_get_counts(const accounts_reader_t *r, int64_t now_ms,
				int64_t silence_ms, accounts_counts_t *out)
{
	const accounts_summary_t *totals = current_totals(r);

	*out = totals->counts;
	accounts_writers_count_missing(&totals->writers, now_ms, silence_ms,
				       out);
}
