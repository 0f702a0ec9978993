/*
 * Keeps track of which batches of each writer (a daemon's incarnation) were
 * read. Does no I/O and reads no clock.
 */
#ifndef CORE_ACCOUNTS_WRITERS_H
#define CORE_ACCOUNTS_WRITERS_H

#include "core/accounts_record.h"
#include "core/seq_set.h"

typedef struct accounts_writer {
	char daemon[ACCOUNTS_NAME_SIZE];
	uint64_t incarnation;
	seq_set_t seen; /* sequence numbers of the batches read */
	int64_t last_ms; /* wall clock: when its newest batch was closed */
	bool has_end; /* its last batch was read */
} accounts_writer_t;

/* The writers, by daemon and incarnation. */
typedef struct accounts_writers {
	GHashTable *set; /* of accounts_writer_t */
} accounts_writers_t;

void accounts_writers_init(accounts_writers_t *w);
void accounts_writers_finish(accounts_writers_t *w);
/* Returns a writer; adds it when it is not in the set. */
accounts_writer_t *accounts_writers_find_or_add(accounts_writers_t *w,
						const char *daemon,
						uint64_t incarnation);
/* Records that a batch was read. Returns false if it was read before. */
bool accounts_writers_add_batch(accounts_writers_t *w,
				const accounts_batch_t *batch);
/*
 * Adds the missing batches of all writers to OUT; see
 * accounts_reader_get_counts().
 */
void accounts_writers_count_missing(const accounts_writers_t *w, int64_t now_ms,
				    int64_t silence_ms, accounts_counts_t *out);
/*
 * Removes writers whose newest batch was closed before BEFORE_MS, and adds
 * their missing batches to OUT.
 */
void accounts_writers_expire(accounts_writers_t *w, int64_t before_ms,
			     accounts_counts_t *out);

#endif
