#include "daemon/topic_records.h"

#include "daemon/update_frames.h"

void topic_records_init(topic_records_t *t)
{
	*t = (topic_records_t){
		.values = g_hash_table_new_full(g_bytes_hash, g_bytes_equal,
						(GDestroyNotify)g_bytes_unref,
						(GDestroyNotify)g_bytes_unref),
		.unseen = g_hash_table_new_full(g_bytes_hash, g_bytes_equal,
						(GDestroyNotify)g_bytes_unref,
						NULL),
	};
}

static void drop_encoded(topic_records_t *t)
{
	g_clear_pointer(&t->encoded, g_bytes_unref);
}

void topic_records_finish(topic_records_t *t)
{
	drop_encoded(t);
	g_clear_pointer(&t->values, g_hash_table_unref);
	g_clear_pointer(&t->unseen, g_hash_table_unref);
}

void topic_records_begin(topic_records_t *t)
{
	GHashTableIter iter;
	void *key;

	g_hash_table_remove_all(t->unseen);
	g_hash_table_iter_init(&iter, t->values);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		g_hash_table_add(t->unseen, g_bytes_ref(key));
}

void topic_records_see(topic_records_t *t, str_t key)
{
	g_autoptr(GBytes) name = g_bytes_new_static(key.ptr, key.len);

	g_hash_table_remove(t->unseen, name);
}

void topic_records_end(topic_records_t *t)
{
	GHashTableIter iter;
	void *key;

	if (g_hash_table_size(t->unseen))
		drop_encoded(t);
	g_hash_table_iter_init(&iter, t->unseen);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		g_hash_table_remove(t->values, key);
	g_hash_table_remove_all(t->unseen);
}

void topic_records_set(topic_records_t *t, str_t key, str_t value)
{
	GBytes *name = g_bytes_new(key.ptr, key.len);

	drop_encoded(t);
	if (value.len) {
		g_hash_table_replace(t->values, name,
				     g_bytes_new(value.ptr, value.len));
		return;
	}
	g_hash_table_remove(t->values, name);
	g_bytes_unref(name);
}

GBytes *topic_records_get(const topic_records_t *t, str_t key)
{
	g_autoptr(GBytes) name = g_bytes_new_static(key.ptr, key.len);

	return g_hash_table_lookup(t->values, name);
}

static void free_key(void *data)
{
	store_entry_t *entry = data;

	g_free((char *)entry->key.ptr);
}

static bool has_key(const store_page_t *list, str_t key)
{
	for (size_t i = 0; i < list->n_entries; i++)
		if (str_eq(list->entries[i].key, key))
			return true;
	return false;
}

GArray *topic_records_find_removed(const topic_records_t *t,
				   const store_page_t *list)
{
	GArray *removed = g_array_new(FALSE, FALSE, sizeof(store_entry_t));
	GHashTableIter iter;
	void *key;

	g_array_set_clear_func(removed, free_key);
	g_hash_table_iter_init(&iter, t->values);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		str_t view = topic_records_view(key);
		store_entry_t entry = { .value = STR_LIT("") };

		if (has_key(list, view))
			continue;
		entry.key = (str_t){ g_memdup2(view.ptr, view.len), view.len };
		g_array_append_val(removed, entry);
	}
	return removed;
}

str_t topic_records_view(GBytes *bytes)
{
	gsize len;
	const char *data = g_bytes_get_data(bytes, &len);

	return (str_t){ data, len };
}

GBytes *topic_records_encode(topic_records_t *t, uint32_t *size)
{
	if (!t->encoded) {
		g_autoptr(GArray) records = message_records_new();
		GHashTableIter iter;
		void *key, *value;

		g_hash_table_iter_init(&iter, t->values);
		while (g_hash_table_iter_next(&iter, &key, &value)) {
			message_record_t record = { g_bytes_ref(key),
						    g_bytes_ref(value) };

			g_array_append_val(records, record);
		}
		t->encoded = update_frames_encode(records, &t->plain_size);
	}
	*size = t->plain_size;
	return g_bytes_ref(t->encoded);
}
