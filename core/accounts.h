/*
 * Accounts of useful work and waste by tier, team and service. A daemon
 * counts, closes a numbered batch every so often and appends it to the log;
 * readers add batches up and drop repeats by incarnation and sequence. Pure.
 */
#ifndef CORE_ACCOUNTS_H
#define CORE_ACCOUNTS_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "common/err.h"
#include "common/str.h"

enum { ACCOUNTS_NAME_SIZE = 64 /* bytes, with the NUL */ };

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

/* Sums of one key; tokens are as the runner counted or, cut, estimated. */
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

/*
 * MAX_KEYS bounds the open batch (the rest goes to team "other");
 * MAX_BATCHES bounds the closed ones that wait for the log: past it the
 * oldest is dropped and counted as lost in the next batch.
 */
void accounts_init(accounts_t *a, str_t daemon, uint64_t incarnation,
		   uint32_t max_keys, uint32_t max_batches);
void accounts_finish(accounts_t *a);
/* Adds DELTA to a key of the open batch. */
void accounts_add(accounts_t *a, const accounts_key_t *key,
		  const accounts_sum_t *delta);
/* Closes the open batch when it holds anything. TIME_MS is wall clock. */
void accounts_close(accounts_t *a, int64_t time_ms);
/* The oldest batch to append, as a record's text; empty when none waits. */
str_t accounts_peek(const accounts_t *a, uint64_t *seq);
/* Batch SEQ is in the log: drop it. */
void accounts_appended(accounts_t *a, uint64_t seq);
/* Totals since the start, for metrics. */
void accounts_each(const accounts_t *a,
		   void (*fn)(void *ctx, const accounts_key_t *key,
			      const accounts_sum_t *sum),
		   void *ctx);

/* Adds batches up on the reader's side. */
struct accounts_book_state;

typedef struct accounts_book {
	struct accounts_book_state *state;
} accounts_book_t;

void accounts_book_init(accounts_book_t *b);
void accounts_book_finish(accounts_book_t *b);
/* Takes one record; a repeat changes nothing, damage is counted. */
bool accounts_book_record(accounts_book_t *b, str_t data, err_t *err);
/* Sums between two wall-clock times, in the order service, tier, team. */
void accounts_book_each(const accounts_book_t *b, int64_t from_ms,
			int64_t until_ms,
			void (*fn)(void *ctx, const accounts_key_t *key,
				   const accounts_sum_t *sum),
			void *ctx);
/* Batches known to be missing: gaps in a daemon's sequence, and lost. */
uint64_t accounts_book_missing(const accounts_book_t *b);

#endif
