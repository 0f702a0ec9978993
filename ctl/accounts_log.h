/* Reads the accounts log and sums its records. */
#ifndef CTL_ACCOUNTS_LOG_H
#define CTL_ACCOUNTS_LOG_H

#include "core/accounts.h"
#include "ctl/remote.h"

#define ACCOUNTS_LOG "accounts"

enum {
	/*
	 * A daemon appends at least every 10 s. An incarnation whose last batch
	 * is older than this counts as unended.
	 */
	ACCOUNTS_SILENCE_MS = 60 * 1000,
};

/*
 * Adds all records of the log to BOOK, which must be initialised. Sets
 * *OLDER_END, unless NULL, to the offset after the last record that the
 * platform's clock dates before BEFORE_MS.
 */
bool accounts_log_read(accounts_reader_t *book, remote_t *remote,
		       int64_t before_ms, uint64_t *older_end, err_t *err);

#endif
