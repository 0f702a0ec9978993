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
 * Adds all records of the log to READER, which must be initialised. Sets
 * *CUTOFF_OFFSET, unless NULL, to the offset after the last record whose time
 * by the platform's clock is before CUTOFF_MS, or to 0 if the newest summary
 * covers all such records.
 */
bool accounts_log_read(accounts_reader_t *reader, remote_t *remote,
		       int64_t cutoff_ms, uint64_t *cutoff_offset, err_t *err);

#endif
