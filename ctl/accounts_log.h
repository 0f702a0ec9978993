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

/* Adds up all that the log holds now; BOOK was initialised. */
bool accounts_log_read(accounts_book_t *book, remote_t *remote, err_t *err);

#endif
