#include "core/accounts.h"

#include <glib.h>

#include "core/accounts_record.h"

/*
 * The oldest pending batch may be in the log already and must not change, so
 * batches can be merged only into another one.
 */
enum { MIN_BATCHES = 2 };

/* A closed batch that is not known to be in the log. */
typedef struct pending_batch {
	accounts_batch_t batch;
	char *text; /* NULL until accounts_next_record() first returns it */
} pending_batch_t;

struct accounts_state {
	char daemon[ACCOUNTS_NAME_SIZE];
	uint64_t incarnation;
	uint32_t max_keys;
	uint32_t max_batches;
	uint64_t next_seq;
	int64_t open_from_ms; /* when the open batch started; -1: unknown */
	int64_t last_close_ms; /* when the newest batch was closed; -1: none */
	accounts_table_t open;
	accounts_table_t totals;
	GQueue pending; /* pending_batch_t, in the order of sequence numbers */
	uint64_t merged;
};

static void free_pending(void *data)
{
	pending_batch_t *p = data;

	accounts_table_finish(&p->batch.table);
	g_free(p->text);
	g_free(p);
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
	s->open_from_ms = -1;
	s->last_close_ms = -1;
	accounts_table_init(&s->open, s->max_keys);
	accounts_table_init(&s->totals, s->max_keys);
	g_queue_init(&s->pending);
}

void accounts_finish(accounts_t *a)
{
	struct accounts_state *s = a->state;

	if (!s)
		return;
	accounts_table_finish(&s->open);
	accounts_table_finish(&s->totals);
	g_queue_clear_full(&s->pending, free_pending);
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
	pending_batch_t *p = g_new0(pending_batch_t, 1);

	memcpy(p->batch.daemon, s->daemon, sizeof(s->daemon));
	p->batch.incarnation = s->incarnation;
	p->batch.seq = s->next_seq++;
	p->batch.from_ms = s->open_from_ms;
	p->batch.until_ms = time_ms;
	p->batch.table = s->open;
	accounts_table_init(&s->open, s->max_keys);
	g_queue_push_tail(&s->pending, p);
}

/*
 * Merges the open batch into the newest pending one when max_batches are
 * pending. That is never the oldest one, which may be in the log already and
 * must not change: at least two are pending then.
 */
static bool merge_batch(struct accounts_state *s, int64_t time_ms)
{
	pending_batch_t *p = g_queue_peek_tail(&s->pending);

	if (g_queue_get_length(&s->pending) < s->max_batches)
		return false;
	accounts_table_merge(&p->batch.table, &s->open);
	accounts_table_finish(&s->open);
	accounts_table_init(&s->open, s->max_keys);
	p->batch.until_ms = MAX(p->batch.until_ms, time_ms);
	p->batch.merged++;
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
	if (s->open_from_ms < 0 || s->open_from_ms > time_ms)
		s->open_from_ms = time_ms;
	if (!merge_batch(s, time_ms))
		push_batch(s, time_ms);
	s->open_from_ms = time_ms;
	s->last_close_ms = time_ms;
}

void accounts_close_first_batch(accounts_t *a, int64_t time_ms)
{
	close_batch(a->state, time_ms);
}

void accounts_close_batch(accounts_t *a, int64_t time_ms)
{
	struct accounts_state *s = a->state;

	s->last_close_ms = MIN(s->last_close_ms, time_ms);
	if (accounts_table_size(&s->open) ||
	    (s->last_close_ms >= 0 &&
	     time_ms - s->last_close_ms >= ACCOUNTS_IDLE_MS))
		close_batch(s, time_ms);
	else
		s->open_from_ms = time_ms;
}

void accounts_close_last_batch(accounts_t *a, int64_t time_ms)
{
	pending_batch_t *p;

	close_batch(a->state, time_ms);
	p = g_queue_peek_tail(&a->state->pending);
	p->batch.is_end = true;
}

str_t accounts_next_record(accounts_t *a, uint64_t *seq)
{
	pending_batch_t *p = g_queue_peek_head(&a->state->pending);

	if (!p)
		return STR_LIT("");
	if (!p->text)
		p->text = accounts_record_write(&p->batch);
	*seq = p->batch.seq;
	return str_from(p->text);
}

void accounts_drop_appended(accounts_t *a, uint64_t seq)
{
	pending_batch_t *p = g_queue_peek_head(&a->state->pending);

	if (p && p->batch.seq == seq)
		free_pending(g_queue_pop_head(&a->state->pending));
}

uint32_t accounts_n_pending(const accounts_t *a)
{
	return g_queue_get_length(&a->state->pending);
}

uint64_t accounts_n_merged(const accounts_t *a)
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
