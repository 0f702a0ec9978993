/* Runs a dispatcher under test with a simulated clock; records its answers. */
#ifndef TESTS_LIB_FIXTURE_H
#define TESTS_LIB_FIXTURE_H

#include "core/dispatcher.h"

#define MS INT64_C(1000)
#define SECOND INT64_C(1000000)

enum { MAX_ANSWERS = 4096, OWNER = 7 };

typedef enum answer_kind {
	ANSWER_NONE,
	ANSWER_GRANT,
	ANSWER_REFUSE,
} answer_kind_t;

typedef struct answer {
	answer_kind_t kind;
	uint32_t answers; /* number of answers to the attempt */
	uint32_t order; /* position among all answers, from 0 */
	refuse_reason_t reason;
	uint32_t retry_after_ms;
	char runner[DISPATCHER_NAME_SIZE];
	bool is_cancelled;
} answer_t;

/* A dispatcher and its answers, indexed by attempt number. */
typedef struct fixture {
	dispatcher_t d;
	dispatcher_config_t config;
	answer_t answers[MAX_ANSWERS];
	uint32_t n_answers;
	int64_t now;
	/* Reports a cancelled want as done in on_cancel. */
	bool ends_in_on_cancel;
} fixture_t;

/* Starts a dispatcher; limits that are 0 in fixture->config get a default. */
void fixture_init(fixture_t *fixture, bool is_engine);
/* Starts one with a single runner "r" whose only slot attempt 1 occupies. */
void fixture_init_busy(fixture_t *fixture);
/* Adds or updates a runner, as available or as leaving. */
void fixture_set_runner(fixture_t *fixture, const char *name, bool is_leaving);
/* Returns a want with ten seconds until its deadline. */
want_t fixture_make_want(fixture_t *fixture, uint64_t attempt, uint32_t tier,
			 uint32_t tokens);
/* Submits a want made by fixture_make_want to the dispatcher. */
void fixture_submit(fixture_t *fixture, uint64_t attempt, uint32_t tier,
		    uint32_t tokens);
/* Advances the clock by STEP microseconds and ticks the dispatcher. */
void fixture_tick(fixture_t *fixture, int64_t step);
/* Reports the end of an attempt to the dispatcher. */
void fixture_done(fixture_t *fixture, uint64_t attempt, done_result_t result);
/*
 * Runs one request with PROMPT prompt tokens and OUTPUT output tokens after
 * the first. PREFILL and DECODE are its durations in microseconds, from which
 * the dispatcher estimates the speed of the runner.
 */
void fixture_calibrate(fixture_t *fixture, uint64_t attempt, uint32_t prompt,
		       int64_t prefill, uint32_t output, int64_t decode);
/*
 * Submits wants, each of which gets its first token at once, until one is
 * queued; that one is withdrawn. Returns the number of grants.
 */
uint32_t fixture_fill_runners(fixture_t *fixture, uint64_t from);
/* Returns the kind of the latest answer to an attempt. */
answer_kind_t fixture_answer_kind(const fixture_t *fixture, uint64_t attempt);
dispatcher_stats_t fixture_stats(const fixture_t *fixture);

#endif
