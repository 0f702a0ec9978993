#include "standin/lib_tally.h"

#include <inttypes.h>
#include <stdio.h>

typedef struct row {
	uint64_t sent;
	uint64_t counts[CALL_RESULTS];
	GArray *first_ms;
	GArray *whole_ms;
} row_t;

static const char *const result_names[] = {
	[CALL_COMPLETED] = "completed", [CALL_LATE] = "late",
	[CALL_NOT_RUN] = "not-run",	[CALL_FAILED] = "failed",
	[CALL_UNKNOWN] = "unknown",	[CALL_BROKEN] = "broken",
	[CALL_LEFT] = "left",		[CALL_WRONG] = "wrong",
	[CALL_MISSING] = "missing",
};

const char *call_result_name(call_result_t result)
{
	return result_names[result];
}

static void row_free(void *ptr)
{
	row_t *row = ptr;

	g_array_free(row->first_ms, TRUE);
	g_array_free(row->whole_ms, TRUE);
	g_free(row);
}

void tally_init(tally_t *t)
{
	t->tiers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 row_free);
}

void tally_finish(tally_t *t)
{
	g_hash_table_destroy(t->tiers);
}

static row_t *find_row(tally_t *t, const char *tier)
{
	row_t *row = g_hash_table_lookup(t->tiers, tier);

	if (row)
		return row;
	row = g_new0(row_t, 1);
	row->first_ms = g_array_new(FALSE, FALSE, sizeof(double));
	row->whole_ms = g_array_new(FALSE, FALSE, sizeof(double));
	g_hash_table_insert(t->tiers, g_strdup(tier), row);
	return row;
}

void tally_add(tally_t *t, const char *tier, call_result_t result,
	       double first_ms, double whole_ms)
{
	row_t *row = find_row(t, tier);

	row->sent++;
	row->counts[result]++;
	if (result != CALL_COMPLETED && result != CALL_LATE)
		return;
	if (first_ms >= 0)
		g_array_append_val(row->first_ms, first_ms);
	g_array_append_val(row->whole_ms, whole_ms);
}

uint64_t tally_count(const tally_t *t, call_result_t result)
{
	uint64_t sum = 0;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, t->tiers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		sum += ((const row_t *)value)->counts[result];
	return sum;
}

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

/* Nearest rank, on a sorted array. */
static double quantile(const GArray *sorted, double q)
{
	guint rank = (guint)(q * sorted->len);

	if (!sorted->len)
		return 0;
	return g_array_index(sorted, double, MIN(rank, sorted->len - 1));
}

static json_t *quantiles_json(GArray *values)
{
	g_array_sort(values, compare_doubles);
	return json_pack("{s:f,s:f,s:f}", "p50", quantile(values, 0.5), "p95",
			 quantile(values, 0.95), "p99", quantile(values, 0.99));
}

static json_t *row_json(row_t *row)
{
	json_t *json = json_object();

	json_object_set_new(json, "sent", json_integer((json_int_t)row->sent));
	for (int i = 0; i < CALL_RESULTS; i++)
		json_object_set_new(json, result_names[i],
				    json_integer((json_int_t)row->counts[i]));
	json_object_set_new(json, "first_ms", quantiles_json(row->first_ms));
	json_object_set_new(json, "whole_ms", quantiles_json(row->whole_ms));
	return json;
}

json_t *tally_json(const tally_t *t)
{
	json_t *json = json_object();
	GHashTableIter iter;
	void *name, *value;

	g_hash_table_iter_init(&iter, t->tiers);
	while (g_hash_table_iter_next(&iter, &name, &value))
		json_object_set_new(json, name, row_json(value));
	return json;
}

static void print_row(const char *name, row_t *row)
{
	g_array_sort(row->first_ms, compare_doubles);
	g_array_sort(row->whole_ms, compare_doubles);
	printf("%-10s %6" PRIu64, name, row->sent);
	for (int i = 0; i < CALL_RESULTS; i++)
		printf(" %9" PRIu64, row->counts[i]);
	printf(" %8.0f %8.0f %8.0f %8.0f\n", quantile(row->first_ms, 0.5),
	       quantile(row->first_ms, 0.99), quantile(row->whole_ms, 0.5),
	       quantile(row->whole_ms, 0.99));
}

void tally_print(const tally_t *t)
{
	GList *names = g_list_sort(g_hash_table_get_keys(t->tiers),
				   (GCompareFunc)strcmp);

	printf("%-10s %6s", "tier", "sent");
	for (int i = 0; i < CALL_RESULTS; i++)
		printf(" %9s", result_names[i]);
	printf(" %8s %8s %8s %8s\n", "first50", "first99", "whole50",
	       "whole99");
	for (GList *l = names; l; l = l->next)
		print_row(l->data, g_hash_table_lookup(t->tiers, l->data));
	g_list_free(names);
}
