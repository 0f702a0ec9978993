/*
 * Usage accounting: useful and wasted work by service, tier and team. A daemon
 * collects its counts in numbered batches and appends them to a log from time
 * to time. Readers sum the batches up and recognize a repeated one by the
 * daemon's incarnation and the batch's sequence number. Does no I/O and reads
 * no clock. See docs/design/accounts.md.
 */
#ifndef CORE_ACCOUNTS_H
#define CORE_ACCOUNTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/err.h"
#include "common/str.h"

enum {
	ACCOUNTS_NAME_SIZE = 64, /* bytes, including the NUL */
	ACCOUNTS_MAX_KEYS = 750, /* per batch: its record fits in 1 MiB */
	ACCOUNTS_IDLE_MS = 30 * 1000, /* interval of an idle writer's batches */
};

/* Replaces names for which a full table has no room. */
#define ACCOUNTS_OTHER "other"

/* Why the tokens that a runner processed were of no use. */
typedef enum waste_cause {
	WASTE_CALLER_LEFT,
	WASTE_PREEMPTED, /* cancelled to make room for other requests */
	WASTE_DEADLINE, /* completed too late, or cancelled while it ran */
	WASTE_RUNNER_FAILED,
	WASTE_UNKNOWN,
	WASTE_CAUSES,
} waste_cause_t;

typedef struct accounts_key {
	char service[ACCOUNTS_NAME_SIZE];
	char tier[ACCOUNTS_NAME_SIZE];
	char team[ACCOUNTS_NAME_SIZE];
} accounts_key_t;

/*
 * Sums of one key: requests by outcome, then tokens. Tokens are those that the
 * runner reported, or an estimate when its answer was cut off. Prompt tokens
 * found in the runner's prefix cache don't count. Calls of plain services have
 * no tokens.
 */
typedef struct accounts_sum {
	uint64_t offered;
	uint64_t in_need; /* completed in time */
	uint64_t late; /* completed too late */
	uint64_t not_run;
	uint64_t failed;
	uint64_t unknown;
	uint64_t cancelled; /* because the caller left */
	uint64_t prompt_useful;
	uint64_t output_useful;
	uint64_t prompt_wasted[WASTE_CAUSES];
	uint64_t output_wasted[WASTE_CAUSES];
} accounts_sum_t;

struct accounts_state;

typedef struct accounts {
	struct accounts_state *state;
} accounts_t;

/* Returns a cause's name as used in records and reports. */
const char *waste_cause_name(waste_cause_t cause);

/*
 * Access to the fields of a sum by index, for code that reads or writes all of
 * them. I is below accounts_field_count().
 */
size_t accounts_field_count(void);
const char *accounts_field_name(size_t i);
uint64_t accounts_field_get(const accounts_sum_t *sum, size_t i);
void accounts_field_set(accounts_sum_t *sum, size_t i, uint64_t value);
/* Adds each field of DELTA; one that would overflow stays at UINT64_MAX. */
void accounts_sum_add(accounts_sum_t *sum, const accounts_sum_t *delta);
uint64_t accounts_prompt_wasted(const accounts_sum_t *sum);
uint64_t accounts_output_wasted(const accounts_sum_t *sum);

/*
 * MAX_KEYS (up to ACCOUNTS_MAX_KEYS) limits the keys of a batch. At the limit,
 * the sums of a new key are added to team "other" of its service and tier if
 * the batch has that key, else to the key that is "other" in all three names.
 *
 * MAX_BATCHES (at least 2) limits the closed batches that are not known to be
 * in the log. At the limit, the newest of them is extended instead of adding
 * another: an outage of the log loses detail by time and team, but no sum.
 */
void accounts_init(accounts_t *a, str_t daemon, uint64_t incarnation,
		   uint32_t max_keys, uint32_t max_batches);
void accounts_finish(accounts_t *a);
/*
 * Closes an empty first batch, so that readers know of this writer from its
 * start and notice when it is killed before its second batch. Call it once.
 */
void accounts_close_first_batch(accounts_t *a, int64_t time_ms);
/* Adds DELTA to a key of the open batch. */
void accounts_add(accounts_t *a, const accounts_key_t *key,
		  const accounts_sum_t *delta);
/*
 * Closes the open batch unless it is empty. An empty one is closed too when the
 * last batch is ACCOUNTS_IDLE_MS old, so that readers can tell an idle writer
 * from a dead one. TIME_MS is wall clock.
 */
void accounts_close_batch(accounts_t *a, int64_t time_ms);
/*
 * Closes the last batch of a daemon that shuts down and marks it as the end, so
 * that readers know that nothing after it is missing. Nothing may be added
 * afterwards.
 */
void accounts_close_last_batch(accounts_t *a, int64_t time_ms);
/*
 * Returns the record text of the oldest batch to append, and sets SEQ; returns
 * an empty string when there is none. The text of a batch doesn't change until
 * the batch is dropped, so it can be appended again when the log's answer was
 * lost.
 */
str_t accounts_next_record(accounts_t *a, uint64_t *seq);
/* Drops batch SEQ, which is in the log now. */
void accounts_drop_appended(accounts_t *a, uint64_t seq);
/* Returns how many closed batches are not known to be in the log. */
uint32_t accounts_n_pending(const accounts_t *a);
/* Returns how many batches were merged into a pending one since the start. */
uint64_t accounts_n_merged(const accounts_t *a);
/*
 * Calls FN with the totals since the start, for metrics, sorted by service,
 * tier and team.
 */
void accounts_each(const accounts_t *a,
		   void (*fn)(void *ctx, const accounts_key_t *key,
			      const accounts_sum_t *sum),
		   void *ctx);

/*
 * Sums up the batches of all daemons for a reader of the log. Records may come
 * in any order. A summary record replaces all records before an offset, which
 * may have expired since.
 */
struct accounts_reader_state;

typedef struct accounts_reader {
	struct accounts_reader_state *state;
} accounts_reader_t;

/* Counts of what was read, and of what is known to be missing from the sums. */
typedef struct accounts_counts {
	uint64_t gaps; /* batches missing between those read of a writer */
	uint64_t expired; /* batches before the oldest one read of a writer */
	uint64_t unended; /* incarnations that stopped without an end */
	uint64_t running; /* incarnations that may append more batches */
	uint64_t damaged; /* invalid records */
	uint64_t repeats; /* repeated records, which were ignored */
	uint64_t batches; /* counted in the sums */
	uint64_t merged; /* batches merged into another one: no loss */
	uint64_t unread; /* records of any type: expired and in no summary */
} accounts_counts_t;

void accounts_reader_init(accounts_reader_t *r);
void accounts_reader_finish(accounts_reader_t *r);
/*
 * Adds the record at OFFSET. A repeated batch changes nothing; an invalid
 * record is counted, and false is returned.
 */
bool accounts_reader_add(accounts_reader_t *r, uint64_t offset, str_t data,
			 err_t *err);
/* Sets the oldest offset that the log had when reading it began. */
void accounts_reader_set_oldest(accounts_reader_t *r, uint64_t oldest);
/* Returns the largest as_of of the summaries read; 0 without a summary. */
uint64_t accounts_reader_summary_as_of(const accounts_reader_t *r);
/*
 * Writes a summary of all records before offset AS_OF, including those in an
 * earlier summary; the caller frees it with g_free. Its time steps are one
 * hour, or longer when it would not fit in a record. Returns NULL when a
 * summary that was read already goes as far.
 */
char *accounts_reader_summary(const accounts_reader_t *r, uint64_t as_of);
/*
 * Calls FN with the sums of the batches closed from FROM_MS until before
 * UNTIL_MS (wall clock), sorted by service, tier and team. Sums from a summary
 * count at the start of their time step.
 */
void accounts_reader_each(const accounts_reader_t *r, int64_t from_ms,
			  int64_t until_ms,
			  void (*fn)(void *ctx, const accounts_key_t *key,
				     const accounts_sum_t *sum),
			  void *ctx);
/*
 * Sets when the first and the last batch with any sums were closed; returns
 * false when there is none.
 */
bool accounts_reader_span(const accounts_reader_t *r, int64_t *first_ms,
			  int64_t *last_ms);
/*
 * Sets OUT to what is missing. An incarnation without an end counts as unended
 * when its last batch was closed more than SILENCE_MS before NOW_MS. What it
 * had not appended is lost: at most its work since that batch.
 */
void accounts_reader_get_counts(const accounts_reader_t *r, int64_t now_ms,
				int64_t silence_ms, accounts_counts_t *out);

#endif
