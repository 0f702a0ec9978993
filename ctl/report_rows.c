#include "ctl/report_rows.h"

#include <string.h>

/* Context of the callback that visits the sums of a time step. */
typedef struct grouping {
	const report_query_t *query;
	int64_t time_ms; /* start of this time step */
	GArray *rows;
	guint first; /* index of the first row of this time step */
} grouping_t;

unsigned int report_by_parse(const char *text, err_t *err)
{
	static const char *const names[] = { "time", "service", "tier",
					     "team" };
	g_auto(GStrv) words = g_strsplit(text, ",", 0);
	unsigned int by = 0;

	for (size_t i = 0; words[i]; i++) {
		unsigned int bit = 0;

		for (size_t k = 0; k < G_N_ELEMENTS(names); k++)
			if (!strcmp(names[k], words[i]))
				bit = 1U << k;
		if (!bit) {
			err_set(err, ERR_INVALID, "--by", "",
				"\"%s\" is none of time, service, tier, team",
				words[i]);
			return 0;
		}
		by |= bit;
	}
	return by;
}

static accounts_key_t mask_key(const accounts_key_t *key, unsigned int by)
{
	accounts_key_t masked = *key;

	if (!(by & REPORT_BY_SERVICE))
		memset(masked.service, 0, sizeof(masked.service));
	if (!(by & REPORT_BY_TIER))
		memset(masked.tier, 0, sizeof(masked.tier));
	if (!(by & REPORT_BY_TEAM))
		memset(masked.team, 0, sizeof(masked.team));
	return masked;
}

static report_row_t *find_row(const grouping_t *g, const accounts_key_t *key)
{
	for (guint i = g->first; i < g->rows->len; i++) {
		report_row_t *row = &g_array_index(g->rows, report_row_t, i);

		if (!memcmp(&row->key, key, sizeof(*key)))
			return row;
	}
	return NULL;
}

static void add_to_row(void *ctx, const accounts_key_t *key,
		       const accounts_sum_t *sum)
{
	grouping_t *g = ctx;
	report_row_t new_row = { .time_ms = g->time_ms };
	report_row_t *row;

	new_row.key = mask_key(key, g->query->by);
	row = find_row(g, &new_row.key);
	if (!row) {
		g_array_append_val(g->rows, new_row);
		row = &g_array_index(g->rows, report_row_t, g->rows->len - 1);
	}
	accounts_sum_add(&row->sum, sum);
}

static int compare_rows(const void *a, const void *b)
{
	const report_row_t *x = a;
	const report_row_t *y = b;

	if (x->time_ms != y->time_ms)
		return x->time_ms < y->time_ms ? -1 : 1;
	return memcmp(&x->key, &y->key, sizeof(x->key));
}

GArray *report_rows(const accounts_reader_t *reader,
		    const report_query_t *query)
{
	grouping_t g = { query, query->from_ms, NULL, 0 };
	int64_t step_ms = query->until_ms - query->from_ms;

	g.rows = g_array_new(FALSE, FALSE, sizeof(report_row_t));
	if (query->by & REPORT_BY_TIME)
		step_ms = query->step_ms;
	for (; g.time_ms < query->until_ms; g.time_ms += step_ms) {
		g.first = g.rows->len;
		accounts_reader_each(reader, g.time_ms,
				     MIN(g.time_ms + step_ms, query->until_ms),
				     add_to_row, &g);
	}
	g_array_sort(g.rows, compare_rows);
	return g.rows;
}

accounts_sum_t report_total(const GArray *rows)
{
	accounts_sum_t total = { 0 };

	for (guint i = 0; i < rows->len; i++)
		accounts_sum_add(&total,
				 &g_array_index(rows, report_row_t, i).sum);
	return total;
}

uint64_t report_count_bad(const accounts_sum_t *sum)
{
	return sum->late + sum->not_run + sum->failed + sum->unknown;
}

uint64_t report_count_ended(const accounts_sum_t *sum)
{
	return sum->in_need + report_count_bad(sum);
}

double report_percent(uint64_t part, uint64_t whole)
{
	return whole ? 100.0 * (double)part / (double)whole : 0;
}
