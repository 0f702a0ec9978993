#include "ctl/accounts_log.h"

#include <glib.h>

/* State of the second pass over the log. */
typedef struct second_pass {
	accounts_reader_t *reader;
	bool has_first_page;
	int64_t cutoff_ms;
	uint64_t cutoff_offset;
} second_pass_t;

static bool is_summary(str_t data)
{
	return g_strstr_len(data.ptr, (gssize)data.len,
			    "\"type\":\"summary\"") != NULL;
}

static void on_first_pass_page(void *ctx, const platform_record_t *records,
			       size_t n, uint64_t oldest)
{
	for (size_t i = 0; i < n; i++)
		if (is_summary(records[i].data))
			accounts_reader_add(ctx, records[i].offset,
					    records[i].data, NULL);
}

static void on_second_pass_page(void *ctx, const platform_record_t *records,
				size_t n, uint64_t oldest)
{
	second_pass_t *r = ctx;

	if (!r->has_first_page)
		accounts_reader_set_oldest(r->reader, oldest);
	r->has_first_page = true;
	for (size_t i = 0; i < n; i++) {
		accounts_reader_add(r->reader, records[i].offset,
				    records[i].data, NULL);
		if (records[i].time_ms < r->cutoff_ms)
			r->cutoff_offset = records[i].offset + 1;
	}
}

/*
 * The first pass applies summaries only. The second pass starts at the first
 * offset that no summary covers, so that only the batches after it are kept in
 * memory.
 */
bool accounts_log_read(accounts_reader_t *reader, remote_t *remote,
		       int64_t cutoff_ms, uint64_t *cutoff_offset, err_t *err)
{
	second_pass_t r = { reader, false, cutoff_ms, 0 };
	uint64_t next = 0;

	if (!remote_read_log(remote, ACCOUNTS_LOG, &next, on_first_pass_page,
			     reader, err))
		return false;
	next = accounts_reader_summary_as_of(reader);
	if (!remote_read_log(remote, ACCOUNTS_LOG, &next, on_second_pass_page,
			     &r, err))
		return false;
	if (cutoff_offset)
		*cutoff_offset = r.cutoff_offset;
	return true;
}
