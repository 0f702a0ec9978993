#include "core/accounts_summary.h"

#include <string.h>

enum {
	HOUR_MS = 60 * 60 * 1000,
	MAX_STEP_DOUBLINGS = 14, /* of an hour: the longest step is two years */
	WRITER_EXPIRY_DAYS = 7, /* since a writer's newest batch */
};

static const int64_t WRITER_EXPIRY_MS = 24LL * WRITER_EXPIRY_DAYS * HOUR_MS;

/* The detail that a summary leaves out so that it fits in a record. */
typedef struct resolution {
	int64_t step_ms;
	bool drops_teams; /* all sums count for team "other" */
} resolution_t;

/* The counts that a summary record contains, by name. */
typedef struct count_field {
	const char *name;
	size_t offset;
} count_field_t;

#define COUNT(name)                                      \
	{                                                \
#name, offsetof(accounts_counts_t, name) \
	}

static const count_field_t count_fields[] = {
	COUNT(gaps),	COUNT(expired), COUNT(unended), COUNT(damaged),
	COUNT(repeats), COUNT(batches), COUNT(merged),	COUNT(unread),
};

void accounts_summary_init(accounts_summary_t *s)
{
	memset(s, 0, sizeof(*s));
	accounts_writers_init(&s->writers);
	s->rows = g_array_new(FALSE, FALSE, sizeof(accounts_timed_row_t));
}

void accounts_summary_finish(accounts_summary_t *s)
{
	accounts_writers_finish(&s->writers);
	g_clear_pointer(&s->rows, g_array_unref);
}

void accounts_summary_add(accounts_summary_t *s, const accounts_batch_t *batch)
{
	g_autofree const accounts_row_t **rows = NULL;

	if (!accounts_writers_add_batch(&s->writers, batch)) {
		s->counts.repeats++;
		return;
	}
	s->counts.batches++;
	s->counts.merged += batch->merged;
	rows = accounts_table_sorted(&batch->table);
	for (size_t i = 0; rows[i]; i++) {
		accounts_timed_row_t timed = { batch->until_ms, *rows[i] };

		g_array_append_val(s->rows, timed);
	}
}

/* Groups the rows by time step: returns a table for each step's start. */
static GHashTable *group_rows(const accounts_summary_t *s,
			      const resolution_t *res)
{
	GHashTable *steps =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
				      (GDestroyNotify)accounts_table_free);

	for (guint i = 0; i < s->rows->len; i++) {
		const accounts_timed_row_t *timed =
			&g_array_index(s->rows, accounts_timed_row_t, i);
		int64_t start = timed->time_ms - timed->time_ms % res->step_ms;
		accounts_key_t key = timed->row.key;
		accounts_table_t *table = g_hash_table_lookup(steps, &start);

		if (!table) {
			table = g_new(accounts_table_t, 1);
			accounts_table_init(table, UINT32_MAX);
			g_hash_table_insert(
				steps, g_memdup2(&start, sizeof(start)), table);
		}
		if (res->drops_teams)
			g_strlcpy(key.team, ACCOUNTS_OTHER, sizeof(key.team));
		accounts_table_add(table, &key, &timed->row.sum);
	}
	return steps;
}

static json_t *rows_json(const accounts_summary_t *s, const resolution_t *res)
{
	g_autoptr(GHashTable) steps = group_rows(s, res);
	json_t *list = json_array();
	GHashTableIter iter;
	void *key;
	void *table;

	g_hash_table_iter_init(&iter, steps);
	while (g_hash_table_iter_next(&iter, &key, &table)) {
		g_autofree const accounts_row_t **rows =
			accounts_table_sorted(table);
		const int64_t *time_ms = key;

		for (size_t i = 0; rows[i]; i++) {
			json_t *row = accounts_record_write_row(rows[i]);

			json_object_set_new(row, "time_ms",
					    json_integer(*time_ms));
			json_array_append_new(list, row);
		}
	}
	return list;
}

static json_t *writer_json(const accounts_writer_t *w)
{
	char incarnation[ACCOUNTS_INCARNATION_SIZE];
	json_t *seen = json_array();

	for (guint i = 0; i < w->seen.ranges->len; i++) {
		const seq_range_t *range =
			&g_array_index(w->seen.ranges, seq_range_t, i);

		json_array_append_new(seen, json_pack("[I, I]",
						      (json_int_t)range->first,
						      (json_int_t)range->last));
	}
	accounts_record_write_incarnation(w->incarnation, incarnation);
	return json_pack("{s:s, s:s, s:I, s:b, s:o}", "daemon", w->daemon,
			 "incarnation", incarnation, "last_ms",
			 (json_int_t)w->last_ms, "end", w->has_end, "seen",
			 seen);
}

static json_t *writers_json(const accounts_summary_t *s)
{
	json_t *list = json_array();
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, s->writers.set);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		json_array_append_new(list, writer_json(key));
	return list;
}

static json_t *counts_json(const accounts_counts_t *counts)
{
	json_t *json = json_object();

	for (size_t i = 0; i < G_N_ELEMENTS(count_fields); i++) {
		uint64_t value;

		memcpy(&value, (const char *)counts + count_fields[i].offset,
		       sizeof(value));
		json_object_set_new(json, count_fields[i].name,
				    json_integer((json_int_t)value));
	}
	return json;
}

static char *write_summary(const accounts_summary_t *s, const resolution_t *res)
{
	return accounts_record_dump(json_pack(
		"{s:s, s:I, s:o, s:o, s:o}", "type", "summary", "as_of",
		(json_int_t)s->as_of, "counts", counts_json(&s->counts),
		"writers", writers_json(s), "rows", rows_json(s, res)));
}

static int64_t newest_batch_ms(const accounts_summary_t *s)
{
	int64_t newest = 0;
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, s->writers.set);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		newest = MAX(newest, ((accounts_writer_t *)key)->last_ms);
	return newest;
}

char *accounts_summary_write(accounts_summary_t *s)
{
	resolution_t res = { HOUR_MS, false };

	accounts_writers_expire(
		&s->writers, newest_batch_ms(s) - WRITER_EXPIRY_MS, &s->counts);
	for (int i = 0; i <= MAX_STEP_DOUBLINGS + 1; i++) {
		g_autofree char *text = write_summary(s, &res);

		if (strlen(text) <= ACCOUNTS_MAX_RECORD_BYTES)
			return g_steal_pointer(&text);
		if (i < MAX_STEP_DOUBLINGS)
			res.step_ms *= 2;
		else
			res.drops_teams = true;
	}
	return NULL;
}

static bool invalid_summary(err_t *err, const char *what)
{
	return err_set(err, ERR_INVALID, "accounts summary", "", "%s", what);
}

static bool read_counts(json_t *json, accounts_counts_t *counts)
{
	for (size_t i = 0; i < G_N_ELEMENTS(count_fields); i++) {
		uint64_t value;

		if (!accounts_record_read_uint(json, count_fields[i].name,
					       &value))
			return false;
		memcpy((char *)counts + count_fields[i].offset, &value,
		       sizeof(value));
	}
	return true;
}

static bool read_range(json_t *json, seq_set_t *seen)
{
	json_t *first = json_array_get(json, 0);
	json_t *last = json_array_get(json, 1);
	seq_range_t range = { (uint64_t)json_integer_value(first),
			      (uint64_t)json_integer_value(last) };

	return json_is_integer(first) && json_is_integer(last) &&
	       json_integer_value(first) > 0 && seq_set_append(seen, range);
}

static bool read_writer(json_t *json, accounts_writers_t *writers)
{
	json_t *seen = json_object_get(json, "seen");
	char daemon[ACCOUNTS_NAME_SIZE];
	accounts_writer_t *w;
	uint64_t incarnation;
	size_t i;
	json_t *range;

	if (!accounts_record_read_name(json, "daemon", daemon) ||
	    !accounts_record_read_incarnation(json, &incarnation))
		return false;
	w = accounts_writers_find_or_add(writers, daemon, incarnation);
	w->has_end = json_is_true(json_object_get(json, "end"));
	if (!accounts_record_read_time(json, "last_ms", &w->last_ms))
		return false;
	json_array_foreach (seen, i, range)
		if (!read_range(range, &w->seen))
			return false;
	return true;
}

static bool read_timed_row(json_t *json, GArray *rows)
{
	accounts_timed_row_t timed;

	if (!accounts_record_read_time(json, "time_ms", &timed.time_ms) ||
	    !accounts_record_read_row(json, &timed.row))
		return false;
	g_array_append_val(rows, timed);
	return true;
}

static bool read_summary(json_t *root, accounts_summary_t *s, err_t *err)
{
	size_t i;
	json_t *json;

	if (!accounts_record_read_uint(root, "as_of", &s->as_of))
		return invalid_summary(err, "as_of: an offset is expected");
	if (!read_counts(json_object_get(root, "counts"), &s->counts))
		return invalid_summary(err, "counts: numbers are expected");
	json_array_foreach (json_object_get(root, "writers"), i, json)
		if (!read_writer(json, &s->writers))
			return invalid_summary(
				err, "writers: name, incarnation, time and "
				     "ranges are expected");
	json_array_foreach (json_object_get(root, "rows"), i, json)
		if (!read_timed_row(json, s->rows))
			return invalid_summary(
				err,
				"rows: times, names and numbers are expected");
	return true;
}

bool accounts_summary_parse(accounts_summary_t *s, str_t data, err_t *err)
{
	json_t *root = accounts_record_load(data, "summary", err);
	bool ok;

	if (!root)
		return false;
	accounts_summary_init(s);
	ok = read_summary(root, s, err);
	if (!ok)
		accounts_summary_finish(s);
	json_decref(root);
	return ok;
}
