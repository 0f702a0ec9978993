#include "common/str_table.h"

static guint hash(gconstpointer key)
{
	const str_t *s = key;

	return (guint)str_hash(*s);
}

static gboolean equal(gconstpointer a, gconstpointer b)
{
	const str_t *x = a, *y = b;

	return str_eq(*x, *y);
}

GHashTable *str_table_new(GDestroyNotify free_value)
{
	return g_hash_table_new_full(hash, equal, NULL, free_value);
}
