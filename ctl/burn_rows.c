#include "ctl/burn_rows.h"

#include <string.h>

#include "core/profile.h"
#include "ctl/report_rows.h"

static void free_profile(void *p)
{
	profile_finish(p);
	g_free(p);
}

static void add_doc(void *ctx, const config_doc_t *doc)
{
	burn_objectives_t *o = ctx;
	profile_service_t service;
	profile_t profile;
	gsize len;
	const char *text = g_bytes_get_data(doc->body, &len);
	str_t body = { text, len };

	if (profile_service_parse(&service, str_from(doc->name), doc->version,
				  body, NULL))
		g_hash_table_insert(o->services, g_strdup(service.name),
				    g_memdup2(&service, sizeof(service)));
	else if (profile_parse(&profile, str_from(doc->name), doc->version,
			       body, NULL))
		g_hash_table_insert(o->profiles, g_strdup(profile.name),
				    g_memdup2(&profile, sizeof(profile)));
}

void burn_objectives_init(burn_objectives_t *o, const config_docs_t *docs)
{
	o->services =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	o->profiles = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    free_profile);
	config_docs_each(docs, add_doc, o);
}

void burn_objectives_finish(burn_objectives_t *o)
{
	g_clear_pointer(&o->services, g_hash_table_unref);
	g_clear_pointer(&o->profiles, g_hash_table_unref);
}

bool burn_objectives_find(const burn_objectives_t *o, const char *service,
			  const char *tier, double *objective,
			  bool *is_protected)
{
	const profile_service_t *s = g_hash_table_lookup(o->services, service);
	const profile_t *p =
		s ? g_hash_table_lookup(o->profiles, s->profile) : NULL;
	int i = p ? profile_tier_index(p, str_from(tier)) : -1;

	if (i < 0)
		return false;
	*objective = p->tiers[i].objective;
	*is_protected = p->tiers[i].is_protected;
	return true;
}

double burn_rate(const accounts_sum_t *sum, double objective)
{
	uint64_t ended = report_count_ended(sum);

	if (!ended)
		return 0;
	return (double)report_count_bad(sum) / (double)ended / (1 - objective);
}

static GArray *window_rows(const accounts_reader_t *reader, int64_t at_ms,
			   int64_t length_ms, unsigned int by)
{
	report_query_t query = { .by = by,
				 .from_ms = at_ms - length_ms,
				 .until_ms = at_ms };

	return report_rows(reader, &query);
}

static const accounts_sum_t *find_sum(const GArray *rows,
				      const accounts_key_t *key)
{
	static const accounts_sum_t none;

	for (guint i = 0; i < rows->len; i++) {
		const report_row_t *row = &g_array_index(rows, report_row_t, i);

		if (!memcmp(&row->key, key, sizeof(*key)))
			return &row->sum;
	}
	return &none;
}

static burn_window_t make_window(const accounts_sum_t *sum,
				 const burn_row_t *row)
{
	return (burn_window_t){
		.ended = report_count_ended(sum),
		.bad = report_count_bad(sum),
		.rate = row->has_objective ? burn_rate(sum, row->objective) : 0,
	};
}

static bool is_over_threshold(const burn_window_t *w, const burn_query_t *query)
{
	return w->ended >= query->min_requests && w->rate >= query->threshold;
}

/*
 * Adds the rows of one grouping. Only the long window's keys are visited, as
 * it contains every key of the short window.
 */
static void add_rows(GArray *out, const accounts_reader_t *reader,
		     const burn_objectives_t *o, const burn_query_t *query,
		     unsigned int by)
{
	g_autoptr(GArray) short_rows =
		window_rows(reader, query->at_ms, query->short_ms, by);
	g_autoptr(GArray) long_rows =
		window_rows(reader, query->at_ms, query->long_ms, by);

	for (guint i = 0; i < long_rows->len; i++) {
		const report_row_t *long_row =
			&g_array_index(long_rows, report_row_t, i);
		burn_row_t row = { .key = long_row->key };

		row.has_objective = burn_objectives_find(
			o, long_row->key.service, long_row->key.tier,
			&row.objective, &row.is_protected);
		row.short_window =
			make_window(find_sum(short_rows, &long_row->key), &row);
		row.long_window = make_window(&long_row->sum, &row);
		row.is_alert = row.has_objective &&
			       is_over_threshold(&row.short_window, query) &&
			       is_over_threshold(&row.long_window, query);
		g_array_append_val(out, row);
	}
}

static int compare_rows(const void *a, const void *b)
{
	const burn_row_t *x = a;
	const burn_row_t *y = b;

	return memcmp(&x->key, &y->key, sizeof(x->key));
}

GArray *burn_rows(const accounts_reader_t *reader, const burn_objectives_t *o,
		  const burn_query_t *query)
{
	GArray *rows = g_array_new(FALSE, FALSE, sizeof(burn_row_t));

	add_rows(rows, reader, o, query, REPORT_BY_SERVICE | REPORT_BY_TIER);
	add_rows(rows, reader, o, query,
		 REPORT_BY_SERVICE | REPORT_BY_TIER | REPORT_BY_TEAM);
	g_array_sort(rows, compare_rows);
	return rows;
}
