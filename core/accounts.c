#include "core/accounts.h"

#include <glib.h>

#include "core/accounts_record.h"

/*
 * The oldest waiting batch may be in the log and must not change, so merging
 * needs a second one.
 */
enum { MIN_BATCHES = 2 };

/* A closed batch that is not known to be in the log. */
typedef struct waiting {
	accounts_batch_t batch;
	char *text; /* NULL until accounts_peek() first returns it */
} waiting_t;

struct accounts_state {
	char daemon[ACCOUNTS_NAME_SIZE];
	uint64_t incarnation;
	uint32_t max_keys;
	uint32_t max_batches;
	uint64_t next_seq;
	int64_t closed_ms; /* where the open batch's time starts; -1: not set */
	int64_t batch_ms; /* when the newest batch was closed; -1: none */
	accounts_table_t open;
	accounts_table_t totals;
	GQueue waiting; /* of waiting_t, in the order of sequence numbers */
	uint64_t merged;
};

static void free_waiting(void *p)
{
	waiting_t *w = p;

	accounts_table_finish(&w->batch.table);
	g_free(w->text);
	g_free(w);
}

void accounts_init(accounts_t *a, str_t daemon, uint64_t incarnation,
		   uint32_t max_keys, uint32_t max_batches)
{
	struct accounts_state *s = g_new0(struct accounts_state, 1);

	a->state = s;
	str_copy(s->daemon, sizeof(s->daemon), daemon);
	s->incarnation = incarnation;
	s->max_keys = MIN(max_keys, ACCOUNTS_MAX_KEYS);
	s->max_batches = MAX(max_batches, MIN_BATCHES);
	s->next_seq = 1;
	s->closed_ms = -1;
	s->batch_ms = -1;
	accounts_table_init(&s->open, s->max_keys);
	accounts_table_init(&s->totals, s->max_keys);
	g_queue_init(&s->waiting);
}

void accounts_finish(accounts_t *a)
{
	struct accounts_state *s = a->state;

	if (!s)
		return;
	accounts_table_finish(&s->open);
	accounts_table_finish(&s->totals);
	g_queue_clear_full(&s->waiting, free_waiting);
	g_clear_pointer(&a->state, g_free);
}

void accounts_add(accounts_t *a, const accounts_key_t *key,
		  const accounts_sum_t *delta)
{
	accounts_table_add(&a->state->open, key, delta);
	accounts_table_add(&a->state->totals, key, delta);
}

static void push_batch(struct accounts_state *s, int64_t time_ms)
{
	waiting_t *w = g_new0(waiting_t, 1);

	memcpy(w->batch.daemon, s->daemon, sizeof(s->daemon));
	w->batch.incarnation = s->incarnation;
	w->batch.seq = s->next_seq++;
	w->batch.from_ms = s->closed_ms;
	w->batch.until_ms = time_ms;
	w->batch.table = s->open;
	accounts_table_init(&s->open, s->max_keys);
	g_queue_push_tail(&s->waiting, w);
}

/*
 * Merges the open batch into the newest waiting one when max_batches are
 * waiting. That is never the oldest one, which may be in the log already and
 * must not change: at least two are waiting then.
 */
static bool merge_batch(struct accounts_state *s, int64_t time_ms)
{
	waiting_t *w = g_queue_peek_tail(&s->waiting);

	if (g_queue_get_length(&s->waiting) < s->max_batches)
		return false;
	accounts_table_merge(&w->batch.table, &s->open);
	accounts_table_finish(&s->open);
	accounts_table_init(&s->open, s->max_keys);
	w->batch.until_ms = MAX(w->batch.until_ms, time_ms);
	w->batch.merged++;
	s->merged++;
	return true;
}

static void close_batch(struct accounts_state *s, int64_t time_ms)
{
	time_ms = MAX(time_ms, 0);
	/*
	 * The wall clock may step back, but a batch must not end before it
	 * starts.
	 */
	if (s->closed_ms < 0 || s->closed_ms > time_ms)
		s->closed_ms = time_ms;
	if (!merge_batch(s, time_ms))
		push_batch(s, time_ms);
	s->closed_ms = time_ms;
	s->batch_ms = time_ms;
}

void accounts_begin(accounts_t *a, int64_t time_ms)
{
	close_batch(a->state, time_ms);
}

void accounts_close(accounts_t *a, int64_t time_ms)
{
	struct accounts_state *s = a->state;

	s->batch_ms = MIN(s->batch_ms, time_ms);
	if (accounts_table_size(&s->open) ||
	    (s->batch_ms >= 0 && time_ms - s->batch_ms >= ACCOUNTS_IDLE_MS))
		close_batch(s, time_ms);
	else
		s->closed_ms = time_ms;
}

void accounts_end(accounts_t *a, int64_t time_ms)
{
	waiting_t *w;

	close_batch(a->state, time_ms);
	w = g_queue_peek_tail(&a->state->waiting);
	w->batch.is_end = true;
}

str_t accounts_peek(accounts_t *a, uint64_t *seq)
{
	waiting_t *w = g_queue_peek_head(&a->state->waiting);

	if (!w)
		return STR_LIT("");
	if (!w->text)
		w->text = accounts_record_write(&w->batch);
	*seq = w->batch.seq;
	return str_from(w->text);
}

void accounts_drop_appended(accounts_t *a, uint64_t seq)
{
	waiting_t *w = g_queue_peek_head(&a->state->waiting);

	if (w && w->batch.seq == seq)
		free_waiting(g_queue_pop_head(&a->state->waiting));
}

uint32_t accounts_waiting(const accounts_t *a)
{
	return g_queue_get_length(&a->state->waiting);
}

uint64_t accounts_merged(const accounts_t *a)
{
	return a->state->merged;
}

void accounts_each(const accounts_t *a,
		   void (*fn)(void *ctx, const accounts_key_t *key,
			      const accounts_sum_t *sum),
		   void *ctx)
{
	g_autofree const accounts_row_t **rows =
		accounts_table_sorted(&a->state->totals);

	for (size_t i = 0; rows[i]; i++)
		fn(ctx, &rows[i]->key, &rows[i]->sum);
}
