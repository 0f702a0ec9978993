#include "core/stream_releases.h"

typedef struct entry {
	stream_release_t stream;
	int64_t added_at;
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

static void remove_link(stream_releases_t *t, GList *link)
{
	entry_t *e = link->data;

	g_hash_table_remove(t->by_stream, &e->stream.stream);
	g_queue_delete_link(&t->order, link);
	g_free(e);
}

void stream_releases_add(stream_releases_t *t, const stream_release_t *stream,
			 int64_t now)
{
	GList *known = g_hash_table_lookup(t->by_stream, &stream->stream);
	entry_t *e = g_new(entry_t, 1);

	if (known)
		remove_link(t, known);
	else if (t->order.length >= t->max)
		remove_link(t, t->order.head);
	*e = (entry_t){ *stream, now };
	g_queue_push_tail(&t->order, e);
	g_hash_table_insert(t->by_stream, &e->stream.stream, t->order.tail);
}

uint64_t stream_releases_find(const stream_releases_t *t, uint64_t stream)
{
	const GList *link = g_hash_table_lookup(t->by_stream, &stream);
	const entry_t *e = link ? link->data : NULL;

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
