#include "core/stream_releases.h"

#include "common/str.h"

/*
 * A stream's recorder follows from its hash modulo the number of recorders, 16
 * at most: all words on it have the same one.
 */
enum { COMMON_MULTIPLE = 720720 }; /* of 1 to 16 */

typedef struct entry {
	stream_release_t stream;
	int64_t added_at;
	bool is_read;
} entry_t;

void stream_releases_init(stream_releases_t *t, guint max)
{
	*t = (stream_releases_t){ .max = max };
	t->by_stream = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_queue_init(&t->order);
}

void stream_releases_finish(stream_releases_t *t)
{
	g_hash_table_destroy(t->by_stream);
	g_queue_clear_full(&t->order, g_free);
}

uint64_t stream_releases_key(uint64_t stream, uint32_t word)
{
	const uint64_t parts[] = { stream, word };
	uint64_t hash;

	if (!word)
		return stream;
	hash = str_hash((str_t){ (const char *)parts, sizeof(parts) }) / 2;
	return hash - hash % COMMON_MULTIPLE + stream % COMMON_MULTIPLE;
}

uint32_t stream_releases_last_word(const stream_releases_t *t, uint64_t stream)
{
	uint32_t word = STREAM_RELEASES_BEGUN;

	for (; word; word--) {
		uint64_t key = stream_releases_key(stream, word);

		if (g_hash_table_contains(t->by_stream, &key))
			break;
	}
	return word;
}

static void remove_link(stream_releases_t *t, GList *link)
{
	entry_t *e = link->data;

	g_hash_table_remove(t->by_stream, &e->stream.stream);
	g_queue_delete_link(&t->order, link);
	g_free(e);
}

static void add(stream_releases_t *t, const stream_release_t *stream,
		bool is_read, int64_t now)
{
	GList *known = g_hash_table_lookup(t->by_stream, &stream->stream);
	entry_t *e = g_new(entry_t, 1);

	if (known)
		remove_link(t, known);
	else if (t->order.length >= t->max)
		remove_link(t, t->order.head);
	*e = (entry_t){ *stream, now, is_read };
	g_queue_push_tail(&t->order, e);
	g_hash_table_insert(t->by_stream, &e->stream.stream, t->order.tail);
}

void stream_releases_add(stream_releases_t *t, const stream_release_t *stream,
			 int64_t now)
{
	add(t, stream, false, now);
}

static const entry_t *find(const stream_releases_t *t, uint64_t stream)
{
	const GList *link = g_hash_table_lookup(t->by_stream, &stream);

	return link ? link->data : NULL;
}

void stream_releases_add_read(stream_releases_t *t,
			      const stream_release_t *stream, int64_t now)
{
	const entry_t *known = find(t, stream->stream);

	if (!known || known->is_read)
		add(t, stream, true, now);
}

bool stream_releases_is_read(const stream_releases_t *t, uint64_t stream)
{
	const entry_t *e = find(t, stream);

	return e && e->is_read;
}

uint64_t stream_releases_find(const stream_releases_t *t, uint64_t stream)
{
	const entry_t *e = find(t, stream);

	return e ? e->stream.release : 0;
}

void stream_releases_remove_before(stream_releases_t *t, int64_t time)
{
	while (t->order.head &&
	       ((const entry_t *)t->order.head->data)->added_at < time)
		remove_link(t, t->order.head);
}

void stream_releases_list(const stream_releases_t *t, GArray *out)
{
	for (const GList *link = t->order.head; link; link = link->next)
		g_array_append_val(out, ((entry_t *)link->data)->stream);
}
