#include "daemon/news_frames.h"

#include "net/packed.h"

/* VALUE is what record->value is sent as; it outlives the frame. */
static void fill(Papaya__StoreRecord *out, const message_record_t *record,
		 GBytes *value, uint32_t size)
{
	gsize len;

	papaya__store_record__init(out);
	out->key.data = (uint8_t *)g_bytes_get_data(record->key, &len);
	out->key.len = len;
	out->value.data = (uint8_t *)g_bytes_get_data(value, &len);
	out->value.len = len;
	out->size = size;
}

void news_frames_send(peer_t *peer, const message_news_t *news,
		      bool (*wants)(void *ctx, const char *name), void *ctx)
{
	Papaya__Frame frame = PAPAYA__FRAME__INIT;
	Papaya__StoreNews out = PAPAYA__STORE_NEWS__INIT;
	guint n = news->records->len;
	Papaya__StoreRecord *all = g_new0(Papaya__StoreRecord, n + 1);
	Papaya__StoreRecord **pointers = g_new0(Papaya__StoreRecord *, n + 1);
	g_autoptr(GPtrArray) values =
		g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);

	for (guint i = 0; i < n; i++) {
		const message_record_t *record =
			&g_array_index(news->records, message_record_t, i);
		uint32_t size;
		GBytes *value = packed_pack(record->value, &size);

		g_ptr_array_add(values, value);
		fill(&all[i], record, value, size);
		pointers[i] = &all[i];
	}
	out.topic = news->topic;
	out.from = news->from;
	out.next = news->next;
	out.steady = news->is_steady;
	out.records = pointers;
	out.n_records = n;
	frame.body_case = PAPAYA__FRAME__BODY_STORE_NEWS;
	frame.store_news = &out;
	peer_send_where(peer, &frame, wants, ctx);
	g_free(pointers);
	g_free(all);
}

bool news_frames_read(const Papaya__StoreNews *frame, message_t *out)
{
	*out = (message_t){ .type = MESSAGE_NEWS };
	out->news.topic = frame->topic;
	out->news.from = frame->from;
	out->news.next = frame->next;
	out->news.is_steady = frame->steady;
	out->news.records = message_records_new();
	for (size_t i = 0; i < frame->n_records; i++) {
		const Papaya__StoreRecord *r = frame->records[i];
		g_autoptr(GBytes) sent =
			g_bytes_new(r->value.data, r->value.len);
		message_record_t record = {
			.value = packed_unpack(sent, r->size),
		};

		if (!record.value) {
			message_finish(out);
			return false;
		}
		record.key = g_bytes_new(r->key.data, r->key.len);
		g_array_append_val(out->news.records, record);
	}
	return true;
}
