#include "ctl/accounts_log.h"

#include <glib.h>

/* State of the second pass over the log. */
typedef struct reading {
	accounts_reader_t *book;
	bool has_begun;
	int64_t before_ms;
	uint64_t older_end;
} reading_t;

static bool is_summary(str_t data)
{
	return g_strstr_len(data.ptr, (gssize)data.len,
			    "\"type\":\"summary\"") != NULL;
}

static void on_summary_page(void *ctx, const log_record_t *records, size_t n,
			    uint64_t oldest)
{
	for (size_t i = 0; i < n; i++)
		if (is_summary(records[i].data))
			accounts_reader_add(ctx, records[i].offset,
					    records[i].data, NULL);
}

static void on_page(void *ctx, const log_record_t *records, size_t n,
		    uint64_t oldest)
{
	reading_t *r = ctx;

	if (!r->has_begun)
		accounts_reader_set_oldest(r->book, oldest);
	r->has_begun = true;
	for (size_t i = 0; i < n; i++) {
		accounts_reader_add(r->book, records[i].offset, records[i].data,
				    NULL);
		if (records[i].time_ms < r->before_ms)
			r->older_end = records[i].offset + 1;
	}
}

/*
 * The first pass applies summaries only. The second pass starts at the offset
 * that the newest summary covers, so that only the batches after it are kept
 * in memory.
 */
bool accounts_log_read(accounts_reader_t *book, remote_t *remote,
		       int64_t before_ms, uint64_t *older_end, err_t *err)
{
	reading_t r = { book, false, before_ms, 0 };
	uint64_t next = 0;

	if (!remote_read(remote, ACCOUNTS_LOG, &next, on_summary_page, book,
			 err))
		return false;
	next = accounts_reader_summary_as_of(book);
	if (!remote_read(remote, ACCOUNTS_LOG, &next, on_page, &r, err))
		return false;
	if (older_end)
		*older_end = r.older_end;
	return true;
}
