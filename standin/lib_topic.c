#include "standin/lib_topic.h"

#include <string.h>

enum {
	LENGTH_SIZE = 4, /* before each record */
	PAGE_ENTRIES = 100, /* in one answer of topic_list */
};

typedef struct topic_record {
	uint64_t offset;
	int64_t at_ms;
	GBytes *bytes; /* without its length */
} topic_record_t;

static topic_record_t *record_new(uint64_t offset, int64_t at_ms, GBytes *bytes)
{
	topic_record_t *r = g_new0(topic_record_t, 1);

	r->offset = offset;
	r->at_ms = at_ms;
	r->bytes = g_bytes_ref(bytes);
	return r;
}

static void record_free(void *data)
{
	topic_record_t *r = data;

	g_bytes_unref(r->bytes);
	g_free(r);
}

void topic_init(topic_t *t, bool is_keyed)
{
	g_queue_init(&t->records);
	t->newest = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					  record_free);
	t->next = 0;
	t->is_keyed = is_keyed;
}

void topic_finish(topic_t *t)
{
	g_queue_clear_full(&t->records, record_free);
	g_hash_table_destroy(t->newest);
}

/* Returns a copy of the key of a keyed record, and its VALUE; else NULL. */
static char *split_keyed(GBytes *bytes, str_t *value)
{
	gsize len;
	const uint8_t *p = g_bytes_get_data(bytes, &len);

	if (!len || !p[0] || p[0] > len - 1)
		return NULL;
	*value = (str_t){ (const char *)p + 1 + p[0], len - 1 - p[0] };
	return g_strndup((const char *)p + 1, p[0]);
}

static void update_newest(topic_t *t, const topic_record_t *r)
{
	str_t value;
	char *key = split_keyed(r->bytes, &value);

	if (!key)
		return;
	if (value.len) {
		g_hash_table_replace(t->newest, key,
				     record_new(r->offset, r->at_ms, r->bytes));
	} else {
		g_hash_table_remove(t->newest, key);
		g_free(key);
	}
}

static void add_record(topic_t *t, const void *ptr, size_t len, int64_t now_ms)
{
	g_autoptr(GBytes) bytes = g_bytes_new(ptr, len);
	topic_record_t *r = record_new(t->next++, now_ms, bytes);

	g_queue_push_tail(&t->records, r);
	if (t->is_keyed)
		update_newest(t, r);
}

static size_t length_at(const char *p)
{
	guint32 n;

	memcpy(&n, p, sizeof(n));
	return GUINT32_FROM_BE(n);
}

static bool is_well_formed(str_t body)
{
	while (body.len >= LENGTH_SIZE) {
		size_t n = length_at(body.ptr) + LENGTH_SIZE;

		if (n > body.len)
			return false;
		body = (str_t){ body.ptr + n, body.len - n };
	}
	return !body.len;
}

bool topic_append(topic_t *t, str_t body, int64_t now_ms)
{
	if (!is_well_formed(body))
		return false;
	while (body.len) {
		size_t n = length_at(body.ptr);

		add_record(t, body.ptr + LENGTH_SIZE, n, now_ms);
		n += LENGTH_SIZE;
		body = (str_t){ body.ptr + n, body.len - n };
	}
	return true;
}

void topic_put(topic_t *t, str_t key, str_t value, int64_t now_ms)
{
	g_autoptr(GByteArray) record = g_byte_array_new();
	guint8 len = (guint8)key.len;

	g_byte_array_append(record, &len, 1);
	g_byte_array_append(record, (const guint8 *)key.ptr, len);
	g_byte_array_append(record, (const guint8 *)value.ptr,
			    (guint)value.len);
	add_record(t, record->data, record->len, now_ms);
}

void topic_drop_stale(topic_t *t, int64_t before_ms, int64_t now_ms)
{
	g_autoptr(GPtrArray) stale = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	void *key, *value;

	g_hash_table_iter_init(&iter, t->newest);
	while (g_hash_table_iter_next(&iter, &key, &value))
		if (((topic_record_t *)value)->at_ms < before_ms)
			g_ptr_array_add(stale, g_strdup(key));
	for (guint i = 0; i < stale->len; i++)
		topic_put(t, str_from(stale->pdata[i]), STR_LIT(""), now_ms);
}

void topic_expire(topic_t *t, int64_t before_ms)
{
	topic_record_t *r;

	while ((r = g_queue_peek_head(&t->records)) && r->at_ms < before_ms)
		record_free(g_queue_pop_head(&t->records));
}

static void drop_newest_after(topic_t *t, int64_t before_ms)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, t->newest);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((topic_record_t *)value)->at_ms >= before_ms)
			g_hash_table_iter_remove(&iter);
}

void topic_restore(topic_t *t, int64_t before_ms)
{
	topic_record_t *r;

	while ((r = g_queue_peek_tail(&t->records)) && r->at_ms >= before_ms) {
		t->next = r->offset;
		record_free(g_queue_pop_tail(&t->records));
	}
	drop_newest_after(t, before_ms);
	for (GList *l = t->records.head; l && t->is_keyed; l = l->next)
		update_newest(t, l->data);
}

GBytes *topic_get(const topic_t *t, const char *key)
{
	const topic_record_t *r = g_hash_table_lookup(t->newest, key);
	str_t value = STR_LIT("");
	g_autofree char *copy = r ? split_keyed(r->bytes, &value) : NULL;

	return copy ? g_bytes_new(value.ptr, value.len) : NULL;
}

uint64_t topic_first_offset(const topic_t *t)
{
	const topic_record_t *r =
		t->records.head ? t->records.head->data : NULL;

	return r ? r->offset : t->next;
}

static void append_offset(GByteArray *out, uint64_t offset)
{
	guint64 big = GUINT64_TO_BE(offset);

	g_byte_array_append(out, (const guint8 *)&big, sizeof(big));
}

static void append_record(GByteArray *out, const topic_record_t *r)
{
	gsize len;
	const guint8 *p = g_bytes_get_data(r->bytes, &len);
	guint32 n = GUINT32_TO_BE((guint32)len);

	g_byte_array_append(out, (const guint8 *)&n, sizeof(n));
	g_byte_array_append(out, p, (guint)len);
}

GByteArray *topic_read(const topic_t *t, uint64_t from, size_t max_bytes)
{
	GByteArray *out = g_byte_array_new();
	guint i = (guint)(from - topic_first_offset(t));

	append_offset(out, t->next);
	append_offset(out, topic_first_offset(t));
	for (GList *l = g_queue_peek_nth_link((GQueue *)&t->records, i);
	     l && out->len < max_bytes; l = l->next)
		append_record(out, l->data);
	return out;
}

static json_t *list_entry(const char *key, const topic_record_t *r)
{
	str_t value = STR_LIT("");
	g_autofree char *copy = split_keyed(r->bytes, &value);
	g_autofree char *text =
		g_base64_encode((const guchar *)value.ptr, value.len);

	g_assert(copy && !strcmp(copy, key));
	return json_pack("{s:s,s:s,s:I}", "key", key, "value", text, "offset",
			 (json_int_t)r->offset);
}

json_t *topic_list(const topic_t *t, const char *after)
{
	g_autoptr(GList) keys = g_hash_table_get_keys(t->newest);
	json_t *entries = json_array();
	bool has_more = false;

	keys = g_list_sort(keys, (GCompareFunc)strcmp);
	for (GList *l = keys; l && !has_more; l = l->next) {
		if (after && strcmp(l->data, after) <= 0)
			continue;
		json_array_append_new(
			entries,
			list_entry(l->data,
				   g_hash_table_lookup(t->newest, l->data)));
		has_more = l->next && json_array_size(entries) >= PAGE_ENTRIES;
	}
	return json_pack("{s:o,s:b,s:I}", "entries", entries, "has_more",
			 has_more, "end_offset", (json_int_t)t->next);
}
