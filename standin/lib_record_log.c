#include "standin/lib_record_log.h"

typedef struct record {
	int64_t offset;
	int64_t time_ms;
	json_t *data;
} record_t;

static void record_free(void *ptr)
{
	record_t *r = ptr;

	json_decref(r->data);
	g_free(r);
}

void record_log_init(record_log_t *log)
{
	g_queue_init(&log->records);
	log->next = 0;
}

void record_log_finish(record_log_t *log)
{
	g_queue_clear_full(&log->records, record_free);
}

int64_t record_log_append(record_log_t *log, str_t data, int64_t now_ms)
{
	json_t *text = json_stringn(data.ptr, data.len);
	record_t *r;

	if (!text)
		return -1;
	r = g_new0(record_t, 1);
	r->offset = log->next++;
	r->time_ms = now_ms;
	r->data = text;
	g_queue_push_tail(&log->records, r);
	return r->offset;
}

void record_log_expire(record_log_t *log, int64_t count, int64_t age_ms,
		       int64_t now_ms)
{
	const record_t *r;

	while ((r = g_queue_peek_head(&log->records))) {
		bool is_over = count && log->records.length > count;
		bool is_old = age_ms && now_ms - r->time_ms > age_ms;

		if (!is_over && !is_old)
			return;
		record_free(g_queue_pop_head(&log->records));
	}
}

int64_t record_log_oldest(const record_log_t *log)
{
	const record_t *r = log->records.head ? log->records.head->data : NULL;

	return r ? r->offset : log->next;
}

json_t *record_log_read(const record_log_t *log, int64_t from, int64_t limit)
{
	json_t *list = json_array();

	for (const GList *l = log->records.head; l && limit > 0; l = l->next) {
		const record_t *r = l->data;

		if (r->offset < from)
			continue;
		json_array_append_new(list, json_pack("{s:I,s:I,s:O}", "offset",
						      (json_int_t)r->offset,
						      "time_ms",
						      (json_int_t)r->time_ms,
						      "data", r->data));
		limit--;
	}
	return json_pack("{s:I,s:I,s:o}", "oldest",
			 (json_int_t)record_log_oldest(log), "next",
			 (json_int_t)log->next, "records", list);
}
