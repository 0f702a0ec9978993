/* The accounts log as a command adds it up. */
#ifndef CTL_ACCOUNTS_LOG_H
#define CTL_ACCOUNTS_LOG_H

#include "core/accounts.h"
#include "ctl/remote.h"

#define ACCOUNTS_LOG "accounts"

enum {
	/* A daemon writes at least every 10 s; past this it is silent. */
	ACCOUNTS_SILENCE_MS = 60 * 1000,
};

/*
 * Adds up all that the log holds now; BOOK was initialised. OLDER_END is the
 * offset after the records written before BEFORE_MS, by the platform's clock;
 * it may be NULL.
 */
bool accounts_log_read(accounts_reader_t *book, remote_t *remote,
		       int64_t before_ms, uint64_t *older_end, err_t *err);

#endif
