#include "tests/lib_retry_ledger.h"

enum { DEADLINE_SLACK_MS = 500 };

typedef struct attempt {
	int64_t sent_at, deadline;
	int n_arrivals;
	GHashTable *runners; /* set of names */
} attempt_t;

static void free_attempt(void *data)
{
	attempt_t *a = data;

	g_hash_table_destroy(a->runners);
	g_free(a);
}

void retry_ledger_init(retry_ledger_t *l)
{
	*l = (retry_ledger_t){ .n_arrivals = 0 };
	g_mutex_init(&l->lock);
	l->requests = g_array_new(FALSE, FALSE, sizeof(int64_t));
	l->repeats = g_array_new(FALSE, FALSE, sizeof(int64_t));
	l->attempts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    free_attempt);
}

void retry_ledger_finish(retry_ledger_t *l)
{
	g_mutex_clear(&l->lock);
	g_array_unref(l->requests);
	g_array_unref(l->repeats);
	g_hash_table_destroy(l->attempts);
}

void retry_ledger_on_request(retry_ledger_t *l, const char *attempt,
			     int64_t deadline, int64_t now)
{
	attempt_t *a = g_new0(attempt_t, 1);

	a->sent_at = now;
	a->deadline = deadline;
	a->runners =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_mutex_lock(&l->lock);
	g_array_append_val(l->requests, now);
	g_hash_table_insert(l->attempts, g_strdup(attempt), a);
	g_mutex_unlock(&l->lock);
}

void retry_ledger_on_arrival(retry_ledger_t *l, const char *attempt,
			     int64_t until, int64_t now)
{
	attempt_t *a;

	g_mutex_lock(&l->lock);
	a = g_hash_table_lookup(l->attempts, attempt);
	l->n_arrivals++;
	if (a && a->n_arrivals++)
		g_array_append_val(l->repeats, now);
	if (a && until > a->deadline + DEADLINE_SLACK_MS &&
	    a->sent_at > l->paused_until)
		l->n_late_deadlines++;
	g_mutex_unlock(&l->lock);
}

void retry_ledger_on_run(retry_ledger_t *l, const char *attempt,
			 const char *runner)
{
	attempt_t *a;

	g_mutex_lock(&l->lock);
	a = g_hash_table_lookup(l->attempts, attempt);
	if (a)
		g_hash_table_add(a->runners, g_strdup(runner));
	g_mutex_unlock(&l->lock);
}

void retry_ledger_on_pause(retry_ledger_t *l, int64_t now)
{
	g_mutex_lock(&l->lock);
	l->paused_until = now;
	g_mutex_unlock(&l->lock);
}

static int count_between(const GArray *times, int64_t from, int64_t to)
{
	int n = 0;

	for (guint i = 0; i < times->len; i++) {
		int64_t t = g_array_index(times, int64_t, i);

		n += t >= from && t < to;
	}
	return n;
}

static double allowed_from(const retry_ledger_t *l, int64_t from,
			   int64_t window, double ratio, double slack)
{
	int here = count_between(l->requests, from, from + window);
	int before = count_between(l->requests, from - window, from);
	int half = count_between(l->requests, from - window / 2,
				 from + window / 2);

	return ratio * MAX(MAX(here, before), half) + slack;
}

retry_window_t retry_ledger_worst(const retry_ledger_t *l, int64_t window,
				  double ratio, double slack)
{
	retry_window_t worst = { 0, G_MAXDOUBLE };

	/* The worst window begins at a repeat. */
	for (guint i = 0; i < l->repeats->len; i++) {
		int64_t from = g_array_index(l->repeats, int64_t, i);
		retry_window_t w = {
			count_between(l->repeats, from, from + window),
			allowed_from(l, from, window, ratio, slack),
		};

		if (w.repeats - w.allowed > worst.repeats - worst.allowed)
			worst = w;
	}
	return worst;
}

int retry_ledger_count_beyond(const retry_ledger_t *l, guint most)
{
	GHashTableIter iter;
	attempt_t *a;
	int n = 0;

	g_hash_table_iter_init(&iter, l->attempts);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&a))
		n += g_hash_table_size(a->runners) > most;
	return n;
}
