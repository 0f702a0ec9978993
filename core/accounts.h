/*
 * Accounts of useful work and waste by tier, team and service. A daemon
 * counts, closes a numbered batch every so often and appends it to the log;
 * readers add batches up and drop repeats by incarnation and sequence. Pure.
 * See docs/design/accounts.md.
 */
#ifndef CORE_ACCOUNTS_H
#define CORE_ACCOUNTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/err.h"
#include "common/str.h"

enum {
	ACCOUNTS_NAME_SIZE = 64, /* bytes, with the NUL */
	ACCOUNTS_MAX_KEYS = 750, /* of a batch, to fit a record of 1 MiB */
	ACCOUNTS_IDLE_MS = 30 * 1000, /* an idle writer's batches are apart */
};

/* Takes the place of names that a full table has no room for. */
#define ACCOUNTS_OTHER "other"

/* Why prompt work was thrown away. */
typedef enum waste_cause {
	WASTE_CALLER_LEFT,
	WASTE_PREEMPTED, /* cancelled to make room */
	WASTE_DEADLINE, /* finished too late, or given up while it ran */
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
 * Sums of one key. Tokens are as the runner counted or, cut, estimated;
 * prompt tokens without those that its prefix cache held, plain calls none.
 */
typedef struct accounts_sum {
	uint64_t offered;
	uint64_t in_need; /* completed within need */
	uint64_t late; /* completed after need */
	uint64_t not_run;
	uint64_t failed;
	uint64_t unknown;
	uint64_t cancelled; /* the caller left */
	uint64_t prompt_useful;
	uint64_t output_useful;
	uint64_t prompt_wasted[WASTE_CAUSES];
	uint64_t output_wasted[WASTE_CAUSES];
} accounts_sum_t;

struct accounts_state;

typedef struct accounts {
	struct accounts_state *state;
} accounts_t;

/* Returns the cause's name, as in records and reports. */
const char *waste_cause_name(waste_cause_t cause);

/*
 * The sums as a list of named numbers, for all who read or write every one
 * of them. I counts from 0 to below accounts_fields().
 */
size_t accounts_fields(void);
const char *accounts_field_name(size_t i);
uint64_t accounts_field_get(const accounts_sum_t *sum, size_t i);
void accounts_field_set(accounts_sum_t *sum, size_t i, uint64_t value);
/* Adds each number; one that would pass 64 bits stays at the greatest. */
void accounts_sum_add(accounts_sum_t *sum, const accounts_sum_t *delta);
uint64_t accounts_prompt_wasted(const accounts_sum_t *sum);
uint64_t accounts_output_wasted(const accounts_sum_t *sum);

/*
 * MAX_KEYS (up to ACCOUNTS_MAX_KEYS) bounds the keys of a batch: past it a new key's sums go to team
 * "other" of its service and tier if that is there, else to "other" in all
 * three. MAX_BATCHES (at least 2) bounds the closed batches that wait for
 * the log: past it the newest takes up what comes, so that an outage costs
 * detail in time and team, but no sum.
 */
void accounts_init(accounts_t *a, str_t daemon, uint64_t incarnation,
		   uint32_t max_keys, uint32_t max_batches);
void accounts_finish(accounts_t *a);
/*
 * Closes an empty first batch, so that readers know of this writer from the
 * start and see when it is killed before its second. To be called once.
 */
void accounts_begin(accounts_t *a, int64_t time_ms);
/* Adds DELTA to a key of the open batch. */
void accounts_add(accounts_t *a, const accounts_key_t *key,
		  const accounts_sum_t *delta);
/*
 * Closes the open batch when it holds anything; an empty one too when the
 * last is ACCOUNTS_IDLE_MS old, so that readers tell idle writers from dead
 * ones. TIME_MS is wall clock.
 */
void accounts_close(accounts_t *a, int64_t time_ms);
/*
 * Closes the last batch of a daemon that leaves: readers then know that
 * nothing of it is missing. Nothing may be added after.
 */
void accounts_end(accounts_t *a, int64_t time_ms);
/*
 * The oldest batch to append, as a record's text; empty when none waits. The
 * text of a batch stays the same until it is dropped, so it may be appended
 * again when the first answer was lost.
 */
str_t accounts_peek(accounts_t *a, uint64_t *seq);
/* Batch SEQ is in the log: drop it. */
void accounts_appended(accounts_t *a, uint64_t seq);
/* Batches closed and not known to be in the log. */
uint32_t accounts_waiting(const accounts_t *a);
/* Closed batches that another one took up, since the start. */
uint64_t accounts_merged(const accounts_t *a);
/* Totals since the start, for metrics; in the order service, tier, team. */
void accounts_each(const accounts_t *a,
		   void (*fn)(void *ctx, const accounts_key_t *key,
			      const accounts_sum_t *sum),
		   void *ctx);

/*
 * Adds batches up on the reader's side. Records may come in any order; a
 * summary record stands for all the records before an offset, which may have
 * expired since.
 */
struct accounts_book_state;

typedef struct accounts_book {
	struct accounts_book_state *state;
} accounts_book_t;

/* What is known to be missing from a book. */
typedef struct accounts_missing {
	uint64_t gaps; /* batches: holes in an incarnation's sequence */
	uint64_t expired; /* batches before the oldest one read */
	uint64_t unended; /* incarnations silent for long, without an end */
	uint64_t running; /* heard lately: what they do now is not in yet */
	uint64_t damaged; /* records */
	uint64_t repeats; /* records; they changed nothing */
	uint64_t batches; /* taken */
	uint64_t merged; /* closings that a later batch took up: no loss */
	uint64_t unread; /* records of any kind: expired, and in no summary */
} accounts_missing_t;

void accounts_book_init(accounts_book_t *b);
void accounts_book_finish(accounts_book_t *b);
/*
 * Takes the record at OFFSET; a repeated batch changes nothing, damage is
 * counted.
 */
bool accounts_book_record(accounts_book_t *b, uint64_t offset, str_t data,
			  err_t *err);
/* The log kept nothing older than OLDEST when its reading began. */
void accounts_book_oldest(accounts_book_t *b, uint64_t oldest);
/* The offset that the summary read so far reaches to; 0 without one. */
uint64_t accounts_book_covered(const accounts_book_t *b);
/*
 * Writes a summary of all records before offset AS_OF, summaries included;
 * the caller frees it with g_free. Its time steps are an hour, or longer as
 * far as a record's size demands. NULL when the newest summary already goes
 * as far.
 */
char *accounts_book_summary(const accounts_book_t *b, uint64_t as_of);
/*
 * Sums of the batches closed from FROM_MS to before UNTIL_MS, wall clock, in
 * the order service, tier, team. What a summary holds counts at the start of
 * its time step.
 */
void accounts_book_each(const accounts_book_t *b, int64_t from_ms,
			int64_t until_ms,
			void (*fn)(void *ctx, const accounts_key_t *key,
				   const accounts_sum_t *sum),
			void *ctx);
/* When the first and the last batch were closed; false when there is none. */
bool accounts_book_span(const accounts_book_t *b, int64_t *first_ms,
			int64_t *last_ms);
/*
 * What is missing. An incarnation without an end counts as unended when its
 * last batch was closed more than SILENCE_MS before NOW_MS: what it had not
 * appended is lost, at most what it did since.
 */
void accounts_book_missing(const accounts_book_t *b, int64_t now_ms,
			   int64_t silence_ms, accounts_missing_t *out);

#endif
