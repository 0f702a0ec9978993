#include "core/accounts_record.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

enum {
	MAX_NUMBER_BITS =
		53 /* JSON readers that use doubles keep these exact */
};

static const uint64_t MAX_NUMBER = (1ULL << MAX_NUMBER_BITS) - 1;

json_t *accounts_record_write_row(const accounts_row_t *row)
{
	json_t *json = json_pack("{s:s, s:s, s:s}", "service", row->key.service,
				 "tier", row->key.tier, "team", row->key.team);

	for (size_t i = 0; i < accounts_field_count(); i++) {
		uint64_t value = accounts_field_get(&row->sum, i);

		if (value)
			json_object_set_new(json, accounts_field_name(i),
					    json_integer((json_int_t)MIN(
						    value, MAX_NUMBER)));
	}
	return json;
}

char *accounts_record_write(const accounts_batch_t *batch)
{
	g_autofree const accounts_row_t **rows =
		accounts_table_sorted(&batch->table);
	json_t *list = json_array();
	char incarnation[ACCOUNTS_INCARNATION_SIZE];

	for (size_t i = 0; rows[i]; i++)
		json_array_append_new(list, accounts_record_write_row(rows[i]));
	accounts_record_write_incarnation(batch->incarnation, incarnation);
	return accounts_record_dump(json_pack(
		"{s:s, s:s, s:s, s:I, s:I, s:I, s:I, s:b, s:o}", "type",
		"batch", "daemon", batch->daemon, "incarnation", incarnation,
		"seq", (json_int_t)batch->seq, "from_ms",
		(json_int_t)batch->from_ms, "until_ms",
		(json_int_t)batch->until_ms, "merged",
		(json_int_t)batch->merged, "end", batch->is_end, "rows", list));
}

char *accounts_record_dump(json_t *root)
{
	char *text = json_dumps(root, JSON_COMPACT);
	char *copy = g_strdup(text);

	free(text);
	json_decref(root);
	return copy;
}

void accounts_record_write_incarnation(uint64_t incarnation, char *out)
{
	snprintf(out, ACCOUNTS_INCARNATION_SIZE, "%016" PRIx64, incarnation);
}

static bool invalid_record(err_t *err, const char *what)
{
	return err_set(err, ERR_INVALID, "accounts record", "", "%s", what);
}

bool accounts_record_read_uint(json_t *object, const char *key, uint64_t *out)
{
	json_t *value = json_object_get(object, key);

	if (!json_is_integer(value) || json_integer_value(value) < 0 ||
	    json_integer_value(value) >> MAX_NUMBER_BITS)
		return false;
	*out = (uint64_t)json_integer_value(value);
	return true;
}

bool accounts_record_read_time(json_t *object, const char *key, int64_t *out)
{
	uint64_t value;

	if (!accounts_record_read_uint(object, key, &value))
		return false;
	*out = (int64_t)value;
	return true;
}

bool accounts_record_read_name(json_t *object, const char *key, char *out)
{
	const char *s = json_string_value(json_object_get(object, key));

	return s && str_copy(out, ACCOUNTS_NAME_SIZE, str_from(s));
}

bool accounts_record_read_incarnation(json_t *root, uint64_t *out)
{
	const char *s = json_string_value(json_object_get(root, "incarnation"));
	int used = 0;

	return s && strlen(s) == 16 && strspn(s, "0123456789abcdef") == 16 &&
	       sscanf(s, "%" SCNx64 "%n", out, &used) == 1 && used == 16;
}

bool accounts_record_read_row(json_t *json, accounts_row_t *row)
{
	memset(row, 0, sizeof(*row));
	if (!accounts_record_read_name(json, "service", row->key.service) ||
	    !accounts_record_read_name(json, "tier", row->key.tier) ||
	    !accounts_record_read_name(json, "team", row->key.team))
		return false;
	for (size_t i = 0; i < accounts_field_count(); i++) {
		const char *name = accounts_field_name(i);
		uint64_t value = 0;

		if (json_object_get(json, name) &&
		    !accounts_record_read_uint(json, name, &value))
			return false;
		accounts_field_set(&row->sum, i, value);
	}
	return true;
}

static bool read_rows(json_t *list, accounts_table_t *table)
{
	size_t i;
	json_t *json;

	if (!json_is_array(list))
		return false;
	json_array_foreach (list, i, json) {
		accounts_row_t row;

		if (!accounts_record_read_row(json, &row))
			return false;
		accounts_table_add(table, &row.key, &row.sum);
	}
	return true;
}

json_t *accounts_record_load(str_t data, const char *type, err_t *err)
{
	json_t *root;

	if (data.len > ACCOUNTS_MAX_RECORD_BYTES) {
		invalid_record(err,
			       "longer than the log's record limit of 1 MiB");
		return NULL;
	}
	root = json_loadb(data.ptr, data.len, JSON_REJECT_DUPLICATES, NULL);
	if (!g_strcmp0(json_string_value(json_object_get(root, "type")), type))
		return root;
	json_decref(root);
	err_set(err, ERR_INVALID, "accounts record", "",
		"a JSON object of type %s is expected", type);
	return NULL;
}

static bool read_batch(json_t *root, accounts_batch_t *batch, err_t *err)
{
	if (!accounts_record_read_name(root, "daemon", batch->daemon) ||
	    !accounts_record_read_incarnation(root, &batch->incarnation))
		return invalid_record(err, "daemon, incarnation: a name and 16 "
					   "hex digits are expected");
	if (!accounts_record_read_uint(root, "seq", &batch->seq) || !batch->seq)
		return invalid_record(err, "seq: a number from 1 is expected");
	if (!accounts_record_read_time(root, "from_ms", &batch->from_ms) ||
	    !accounts_record_read_time(root, "until_ms", &batch->until_ms) ||
	    batch->from_ms > batch->until_ms)
		return invalid_record(err,
				      "from_ms, until_ms: two times in order "
				      "are expected");
	if (!accounts_record_read_uint(root, "merged", &batch->merged))
		return invalid_record(err, "merged: a number is expected");
	batch->is_end = json_is_true(json_object_get(root, "end"));
	if (!read_rows(json_object_get(root, "rows"), &batch->table))
		return invalid_record(err,
				      "rows: names and numbers are expected");
	return true;
}

bool accounts_record_parse(accounts_batch_t *batch, str_t data, err_t *err)
{
	json_t *root = accounts_record_load(data, "batch", err);
	bool ok;

	memset(batch, 0, sizeof(*batch));
	if (!root)
		return false;
	accounts_table_init(&batch->table, UINT32_MAX);
	ok = read_batch(root, batch, err);
	if (!ok)
		accounts_table_finish(&batch->table);
	json_decref(root);
	return ok;
}
