#include "core/accounts_table.h"

#include <stdlib.h>

static const char *const cause_names[WASTE_CAUSES] = {
	[WASTE_CALLER_LEFT] = "caller_left",
	[WASTE_PREEMPTED] = "preempted",
	[WASTE_DEADLINE] = "deadline",
	[WASTE_RUNNER_FAILED] = "runner_failed",
	[WASTE_UNKNOWN] = "unknown",
};

typedef struct sum_field {
	const char *name;
	size_t offset;
} sum_field_t;

#define FIELD(name)                                   \
	{                                             \
#name, offsetof(accounts_sum_t, name) \
	}
#define WASTED(kind, cause, index)                                \
	{                                                         \
#kind "_wasted_" #cause,                          \
			offsetof(accounts_sum_t, kind##_wasted) + \
				(index) * sizeof(uint64_t)        \
	}

static const sum_field_t fields[] = {
	FIELD(offered),
	FIELD(in_need),
	FIELD(late),
	FIELD(not_run),
	FIELD(failed),
	FIELD(unknown),
	FIELD(cancelled),
	FIELD(prompt_useful),
	FIELD(output_useful),
	WASTED(prompt, caller_left, WASTE_CALLER_LEFT),
	WASTED(prompt, preempted, WASTE_PREEMPTED),
	WASTED(prompt, deadline, WASTE_DEADLINE),
	WASTED(prompt, runner_failed, WASTE_RUNNER_FAILED),
	WASTED(prompt, unknown, WASTE_UNKNOWN),
	WASTED(output, caller_left, WASTE_CALLER_LEFT),
	WASTED(output, preempted, WASTE_PREEMPTED),
	WASTED(output, deadline, WASTE_DEADLINE),
	WASTED(output, runner_failed, WASTE_RUNNER_FAILED),
	WASTED(output, unknown, WASTE_UNKNOWN),
};

G_STATIC_ASSERT(G_N_ELEMENTS(fields) * sizeof(uint64_t) ==
		sizeof(accounts_sum_t));

const char *waste_cause_name(waste_cause_t cause)
{
	return cause_names[cause];
}

size_t accounts_field_count(void)
{
	return G_N_ELEMENTS(fields);
}

const char *accounts_field_name(size_t i)
{
	return fields[i].name;
}

uint64_t accounts_field_get(const accounts_sum_t *sum, size_t i)
{
	uint64_t value;

	memcpy(&value, (const char *)sum + fields[i].offset, sizeof(value));
	return value;
}

void accounts_field_set(accounts_sum_t *sum, size_t i, uint64_t value)
{
	memcpy((char *)sum + fields[i].offset, &value, sizeof(value));
}

static uint64_t add_saturating(uint64_t a, uint64_t b)
{
	return a > UINT64_MAX - b ? UINT64_MAX : a + b;
}

void accounts_sum_add(accounts_sum_t *sum, const accounts_sum_t *delta)
{
	for (size_t i = 0; i < G_N_ELEMENTS(fields); i++)
		accounts_field_set(
			sum, i,
			add_saturating(accounts_field_get(sum, i),
				       accounts_field_get(delta, i)));
}

uint64_t accounts_prompt_wasted(const accounts_sum_t *sum)
{
	uint64_t total = 0;

	for (int i = 0; i < WASTE_CAUSES; i++)
		total = add_saturating(total, sum->prompt_wasted[i]);
	return total;
}

uint64_t accounts_output_wasted(const accounts_sum_t *sum)
{
	uint64_t total = 0;

	for (int i = 0; i < WASTE_CAUSES; i++)
		total = add_saturating(total, sum->output_wasted[i]);
	return total;
}

static guint hash_key(gconstpointer key)
{
	return (guint)str_hash((str_t){ key, sizeof(accounts_key_t) });
}

static gboolean equal_keys(gconstpointer a, gconstpointer b)
{
	return !memcmp(a, b, sizeof(accounts_key_t));
}

void accounts_table_init(accounts_table_t *t, uint32_t max_keys)
{
	t->rows = g_hash_table_new_full(hash_key, equal_keys, NULL, g_free);
	t->max_keys = max_keys;
}

void accounts_table_finish(accounts_table_t *t)
{
	g_clear_pointer(&t->rows, g_hash_table_unref);
}

void accounts_table_free(accounts_table_t *t)
{
	accounts_table_finish(t);
	g_free(t);
}

/*
 * Callers choose some of the names: a JSON record can't hold invalid UTF-8, and
 * control characters grow when escaped.
 */
static bool is_printable(const char *name, size_t len)
{
	for (size_t i = 0; i < len; i++)
		if (g_ascii_iscntrl(name[i]))
			return false;
	return g_utf8_validate(name, (gssize)len, NULL);
}

static void copy_name(char *out, const char *name)
{
	size_t len = strnlen(name, ACCOUNTS_NAME_SIZE - 1);

	if (!is_printable(name, len))
		g_strlcpy(out, ACCOUNTS_OTHER, ACCOUNTS_NAME_SIZE);
	else
		memcpy(out, name, len);
}

/* Copies a key with its names padded with zeros, to compare keys as bytes. */
static accounts_key_t clean_key(const accounts_key_t *key)
{
	accounts_key_t clean = { 0 };

	copy_name(clean.service, key->service);
	copy_name(clean.tier, key->tier);
	copy_name(clean.team, key->team);
	return clean;
}

static accounts_row_t *insert(accounts_table_t *t, const accounts_key_t *key)
{
	accounts_row_t *row = g_new0(accounts_row_t, 1);

	row->key = *key;
	g_hash_table_insert(t->rows, &row->key, row);
	return row;
}

static accounts_row_t *find_or_insert(accounts_table_t *t, accounts_key_t key)
{
	static const accounts_key_t others = { ACCOUNTS_OTHER, ACCOUNTS_OTHER,
					       ACCOUNTS_OTHER };
	accounts_row_t *row = g_hash_table_lookup(t->rows, &key);

	if (row)
		return row;
	if (accounts_table_size(t) < t->max_keys)
		return insert(t, &key);
	memset(key.team, 0, sizeof(key.team));
	copy_name(key.team, ACCOUNTS_OTHER);
	row = g_hash_table_lookup(t->rows, &key);
	if (!row)
		row = g_hash_table_lookup(t->rows, &others);
	return row ? row : insert(t, &others);
}

void accounts_table_add(accounts_table_t *t, const accounts_key_t *key,
			const accounts_sum_t *delta)
{
	accounts_sum_add(&find_or_insert(t, clean_key(key))->sum, delta);
}

void accounts_table_merge(accounts_table_t *t, const accounts_table_t *from)
{
	g_autofree const accounts_row_t **rows = accounts_table_sorted(from);

	for (uint32_t i = 0; rows[i]; i++)
		accounts_table_add(t, &rows[i]->key, &rows[i]->sum);
}

uint32_t accounts_table_size(const accounts_table_t *t)
{
	return g_hash_table_size(t->rows);
}

static int compare_rows(const void *a, const void *b)
{
	const accounts_row_t *const *x = a;
	const accounts_row_t *const *y = b;

	return memcmp(&(*x)->key, &(*y)->key, sizeof((*x)->key));
}

const accounts_row_t **accounts_table_sorted(const accounts_table_t *t)
{
	uint32_t n = accounts_table_size(t);
	const accounts_row_t **rows = g_new0(const accounts_row_t *, n + 1);
	GHashTableIter iter;
	void *value;
	uint32_t i = 0;

	g_hash_table_iter_init(&iter, t->rows);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		rows[i++] = value;
	qsort(rows, n, sizeof(*rows), compare_rows);
	return rows;
}
