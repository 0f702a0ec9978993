#include "ctl/accounts_log.h"

static void on_page(void *ctx, const log_record_t *records, size_t n,
		    uint64_t oldest)
{
	for (size_t i = 0; i < n; i++)
		accounts_book_record(ctx, records[i].data, NULL);
}

bool accounts_log_read(accounts_book_t *book, remote_t *remote, err_t *err)
{
	uint64_t next = 0;

	return remote_read(remote, ACCOUNTS_LOG, &next, on_page, book, err);
}
