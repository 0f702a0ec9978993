/* What was read of each writer (a daemon's incarnation). Pure. */
#ifndef CORE_ACCOUNTS_WRITERS_H
#define CORE_ACCOUNTS_WRITERS_H

#include "core/accounts_record.h"
#include "core/seq_set.h"

typedef struct accounts_writer {
	char daemon[ACCOUNTS_NAME_SIZE];
	uint64_t incarnation;
	seq_set_t seen;
	int64_t last_ms; /* wall clock: its newest batch was closed */
	bool has_end;
} accounts_writer_t;

/* Writers by daemon and incarnation. */
typedef struct accounts_writers {
	GHashTable *set;
} accounts_writers_t;

void accounts_writers_init(accounts_writers_t *w);
void accounts_writers_finish(accounts_writers_t *w);
/* The writer of that name; a new one when there is none. */
accounts_writer_t *accounts_writers_find(accounts_writers_t *w,
					 const char *daemon,
					 uint64_t incarnation);
/* Takes note of a batch. Returns false for a repeat. */
bool accounts_writers_note(accounts_writers_t *w,
			   const accounts_batch_t *batch);
/* Adds what is missing of the writers to OUT. */
void accounts_writers_missing(const accounts_writers_t *w, int64_t now_ms,
			      int64_t silence_ms, accounts_missing_t *out);
/*
 * Forgets writers without a batch since BEFORE_MS, and adds what is missing
 * of them to OUT.
 */
void accounts_writers_forget(accounts_writers_t *w, int64_t before_ms,
			     accounts_missing_t *out);

#endif
