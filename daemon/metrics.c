#include "daemon/metrics.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

static const int64_t bucket_bounds_ms[] = { 1,	  2,	5,     10,   20,
					    50,	  100,	200,   500,  1000,
					    2000, 5000, 10000, 60000 };

void metrics_init(metrics_t *m)
{
	m->values =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void metrics_finish(metrics_t *m)
{
	g_hash_table_destroy(m->values);
}

static char *name_with_labels(const char *name, const char *labels)
{
	return labels && labels[0] ? g_strdup_printf("%s{%s}", name, labels) :
				     g_strdup(name);
}

static uint64_t *get_or_create_value(metrics_t *m, const char *name,
				     const char *labels)
{
	char *key = name_with_labels(name, labels);
	uint64_t *value = g_hash_table_lookup(m->values, key);

	if (value) {
		g_free(key);
		return value;
	}
	value = g_new0(uint64_t, 1);
	g_hash_table_insert(m->values, key, value);
	return value;
}

void metrics_add(metrics_t *m, const char *name, const char *labels, uint64_t n)
{
	*get_or_create_value(m, name, labels) += n;
}

void metrics_set(metrics_t *m, const char *name, const char *labels, uint64_t n)
{
	*get_or_create_value(m, name, labels) = n;
}

uint64_t metrics_get(const metrics_t *m, const char *name, const char *labels)
{
	g_autofree char *key = name_with_labels(name, labels);
	uint64_t *value = g_hash_table_lookup(m->values, key);

	return value ? *value : 0;
}

static void add_bucket(metrics_t *m, const char *bucket, const char *labels,
		       const char *bound, uint64_t n)
{
	g_autofree char *all =
		g_strdup_printf("%s%sle=\"%s\"", labels ? labels : "",
				labels && labels[0] ? "," : "", bound);

	metrics_add(m, bucket, all, n);
}

void metrics_observe(metrics_t *m, const char *name, const char *labels,
		     int64_t ms)
{
	g_autofree char *bucket = g_strconcat(name, "_bucket", NULL);
	g_autofree char *sum = g_strconcat(name, "_sum", NULL);
	g_autofree char *count = g_strconcat(name, "_count", NULL);
	char bound[24];

	for (size_t i = 0; i < G_N_ELEMENTS(bucket_bounds_ms); i++) {
		g_snprintf(bound, sizeof(bound), "%" PRId64,
			   bucket_bounds_ms[i]);
		add_bucket(m, bucket, labels, bound, ms <= bucket_bounds_ms[i]);
	}
	add_bucket(m, bucket, labels, "+Inf", 1);
	metrics_add(m, sum, labels, ms > 0 ? (uint64_t)ms : 0);
	metrics_add(m, count, labels, 1);
}

static int compare_names(const void *a, const void *b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

void metrics_print(const metrics_t *m, GString *text)
{
	guint n;
	g_autofree char **names =
		(char **)g_hash_table_get_keys_as_array(m->values, &n);

	qsort(names, n, sizeof(*names), compare_names);
	for (guint i = 0; i < n; i++) {
		uint64_t *value = g_hash_table_lookup(m->values, names[i]);

		g_string_append_printf(text, "%s %" PRIu64 "\n", names[i],
				       *value);
	}
}
