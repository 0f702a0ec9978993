#include "daemon/update_frames.h"

#include "net/deflate.h"

/*
 * Records in the form of a frame to be sent. Keys point into the source
 * records; VALUES keeps the sent values until outgoing_finish.
 */
typedef struct outgoing {
	Papaya__StoreRecord *all;
	Papaya__StoreRecord **pointers;
	GPtrArray *values; /* GBytes */
} outgoing_t;

/* VALUE is record->value as sent; SIZE its length before compression, or 0. */
static void set_record(Papaya__StoreRecord *out, const message_record_t *record,
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

static void outgoing_init(outgoing_t *o, const GArray *records,
			  bool is_compressed)
{
	guint n = records->len;

	o->all = g_new0(Papaya__StoreRecord, n + 1);
	o->pointers = g_new0(Papaya__StoreRecord *, n + 1);
	o->values =
		g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	for (guint i = 0; i < n; i++) {
		const message_record_t *record =
			&g_array_index(records, message_record_t, i);
		uint32_t size = 0;
		GBytes *value = is_compressed ?
					deflate_compress(record->value, &size) :
					g_bytes_ref(record->value);

		g_ptr_array_add(o->values, value);
		set_record(&o->all[i], record, value, size);
		o->pointers[i] = &o->all[i];
	}
}

static void outgoing_finish(outgoing_t *o)
{
	g_free(o->pointers);
	g_free(o->all);
	g_ptr_array_unref(o->values);
}

GBytes *update_frames_encode(const GArray *records, uint32_t *size)
{
	Papaya__StoreRecords batch = PAPAYA__STORE_RECORDS__INIT;
	g_autoptr(GBytes) bytes = NULL;
	outgoing_t o;
	uint8_t *data;
	size_t len;

	outgoing_init(&o, records, false);
	batch.records = o.pointers;
	batch.n_records = records->len;
	len = papaya__store_records__get_packed_size(&batch);
	data = g_malloc(len + 1);
	papaya__store_records__pack(&batch, data);
	bytes = g_bytes_new_take(data, len);
	outgoing_finish(&o);
	return deflate_compress(bytes, size);
}

void update_frames_send(peer_t *peer, const message_update_t *update,
			bool (*filter)(void *ctx, const char *name), void *ctx)
{
	Papaya__Frame frame = PAPAYA__FRAME__INIT;
	Papaya__StoreNews out = PAPAYA__STORE_NEWS__INIT;
	outgoing_t o;

	outgoing_init(&o, update->records, true);
	out.topic = update->topic;
	out.from = update->from.next;
	out.from_epoch = update->from.epoch;
	out.next = update->to.next;
	out.epoch = update->to.epoch;
	out.steady = update->is_stable;
	out.records = o.pointers;
	out.n_records = update->records->len;
	if (update->batch) {
		out.list = true;
		out.batch.data = (uint8_t *)g_bytes_get_data(update->batch,
							     &out.batch.len);
		out.batch_size = update->batch_size;
	}
	frame.body_case = PAPAYA__FRAME__BODY_STORE_NEWS;
	frame.store_news = &out;
	if (update->peer[0])
		peer_send(peer, str_from(update->peer), &frame);
	else
		peer_send_where(peer, &frame, filter, ctx);
	outgoing_finish(&o);
}

static bool read_records(Papaya__StoreRecord **records, size_t n, GArray *out)
{
	for (size_t i = 0; i < n; i++) {
		const Papaya__StoreRecord *r = records[i];
		g_autoptr(GBytes) sent =
			g_bytes_new(r->value.data, r->value.len);
		message_record_t record = {
			.value = deflate_decompress(sent, r->size),
		};

		if (!record.value)
			return false;
		record.key = g_bytes_new(r->key.data, r->key.len);
		g_array_append_val(out, record);
	}
	return true;
}

static bool read_batch(const Papaya__StoreNews *frame, GArray *out)
{
	g_autoptr(GBytes) sent =
		g_bytes_new(frame->batch.data, frame->batch.len);
	g_autoptr(GBytes) bytes = deflate_decompress(sent, frame->batch_size);
	Papaya__StoreRecords *batch = NULL;
	const uint8_t *data;
	gsize len;
	bool ok;

	if (!bytes)
		return false;
	data = g_bytes_get_data(bytes, &len);
	batch = papaya__store_records__unpack(NULL, len, data);
	if (!batch)
		return false;
	ok = read_records(batch->records, batch->n_records, out);
	papaya__store_records__free_unpacked(batch, NULL);
	return ok;
}

bool update_frames_read(const Papaya__StoreNews *frame, message_t *out)
{
	bool ok;

	*out = (message_t){ .type = MESSAGE_TOPIC_UPDATE };
	out->update.topic = frame->topic;
	out->update.from = (topic_position_t){ frame->from_epoch, frame->from };
	out->update.to = (topic_position_t){ frame->epoch, frame->next };
	out->update.is_stable = frame->steady;
	out->update.is_list = frame->list;
	out->update.records = message_records_new();
	ok = read_records(frame->records, frame->n_records,
			  out->update.records);
	if (ok && frame->list)
		ok = read_batch(frame, out->update.records);
	if (!ok)
		message_finish(out);
	return ok;
}
