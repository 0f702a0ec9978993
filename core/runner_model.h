/*
 * A dispatcher's model of one runner: a ledger of the granted work, which is
 * always up to date and is corrected by the runner's delayed load reports; the
 * runner's speeds, learned from the durations of past work; and the window of
 * work that may be in flight. Does no I/O and reads no clock; times are
 * microseconds of the monotonic clock.
 */
#ifndef CORE_RUNNER_MODEL_H
#define CORE_RUNNER_MODEL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/dispatcher.h"
#include "core/line_fit.h"

enum {
	RUNNER_HISTORY = 64, /* samples of the number of running requests */
};

/* The learned speeds of a runner or a hardware generation, at pace 1. */
typedef struct runner_speed {
	line_fit_t prefill; /* seconds per prompt over its tokens */
	/* seconds per token (plain: per call) over requests running */
	line_fit_t decode;
} runner_speed_t;

/* One piece of granted work. */
typedef struct runner_work {
	uint32_t prompt_tokens;
	uint32_t output_tokens;
	bool is_protected;
	int64_t deadline;
	/* prompt tokens pending at the grant, its own included */
	uint64_t prompt_tokens_ahead;
	uint32_t concurrency; /* requests running when decoding began */
	int64_t granted_at;
	int64_t first_token_at; /* 0 until it came */
	int64_t prefill_time; /* from start of prefill to first token */
	/* when its first token or its end is overdue; INT64_MAX: never */
	int64_t overdue_at;
} runner_work_t;

typedef struct runner_sample {
	int64_t at; /* start of the interval that this sample covers */
	uint32_t running; /* at its end */
	uint32_t most; /* the most at once during it */
} runner_sample_t;

typedef struct runner_model {
	bool is_engine;
	double window; /* tokens, or calls of a plain service */
	uint32_t slots; /* engines: concurrent requests; 0: no limit */
	double health; /* factor of the window; below 1 after overdue events */
	runner_speed_t speed;
	/* plain: latest grant of a completed call */
	int64_t last_completed_grant;
	uint32_t running;
	uint32_t prefilling; /* requests without a first token */
	uint64_t tokens; /* of granted work; plain: calls */
	uint64_t protected_tokens; /* the part of protected work */
	uint64_t output_tokens; /* the estimated output of granted work */
	uint64_t tokens_given; /* of all work so far */
	uint64_t memory_tokens; /* that granted work may come to hold */
	uint64_t prompt_pending; /* prompt tokens of prefilling requests */
	/* seconds per token that protected work allows */
	double token_time_limit;
	int64_t token_time_limit_until; /* the deadline of that work; 0: none */
	uint32_t protected_running;
	int64_t last_first_token_at;
	double reported_requests; /* running and waiting in the last report */
	int64_t report_as_of;
	int64_t report_received_at;
	/* estimated requests not granted by this dispatcher */
	double external_requests;
	runner_statements_t stated; /* by the runner in its answers */
	uint32_t stated_ledger; /* requests in the ledger at the last one */
	runner_sample_t history[RUNNER_HISTORY];
	int64_t brittle_until; /* lets no request wait at it before */
	uint32_t n_history;
} runner_model_t;

/* The capacity limit to apply; each level is looser than the previous. */
typedef enum runner_room {
	ROOM_UNPROTECTED, /* unprotected work */
	ROOM_PROTECTED, /* may use the reserved part */
	ROOM_FORCED, /* engines: only protected work counts */
	ROOM_ANY, /* no limit */
} runner_room_t;

/*
 * WINDOW is in tokens for engines, else in calls. SPEED is the initial
 * estimate, from runners of the same hardware generation, or NULL.
 */
void runner_model_init(runner_model_t *m, bool is_engine, uint32_t window,
		       const runner_speed_t *speed);

/* Sets the initial estimate of the speed if none is known yet. */
void runner_model_seed(runner_model_t *m, const runner_speed_t *speed);

/* Adds granted work; the caller sets the first four fields of WORK. */
void runner_model_grant(runner_model_t *m, runner_work_t *work, int64_t now);
void runner_model_first_token(runner_model_t *m, runner_work_t *work,
			      int64_t now);
/* Removes work and learns from its duration; DONE is NULL if unknown. */
void runner_model_end(runner_model_t *m, const runner_work_t *work,
		      const done_t *done, int64_t now);
/* Lowers the window because the work's next event is overdue. */
void runner_model_overdue(runner_model_t *m, runner_work_t *work, int64_t now);
/* Returns false and ignores the report if it is no newer than the last. */
bool runner_model_report(runner_model_t *m, const dispatcher_report_t *report,
			 int64_t now);

/*
 * The runner stated its load in an answer. It counts in predictions and room
 * and is factored out of the learned speed. Its weight decays with its age.
 */
void runner_model_hear(runner_model_t *m, const runner_load_t *load);

/* Returns whether more work may be granted now. */
bool runner_model_has_room(const runner_model_t *m, runner_room_t room,
			   int64_t now);
/*
 * Returns whether an engine's memory, its window, has room for the work beside
 * all granted work, which counts with a margin for longer output.
 */
bool runner_model_fits(const runner_model_t *m, uint32_t prompt_tokens,
		       uint32_t output_tokens);
/*
 * Returns the microseconds until the runner begins with one more request: 0 if
 * it has room. Of an engine whose slots are taken, the predicted time until one
 * is free, if it may have a request wait for it; else INT64_MAX.
 */
int64_t runner_model_place_wait(const runner_model_t *m, runner_room_t room,
				int64_t now);
/*
 * Predicts the microseconds until work granted now would finish at the usual
 * pace. CACHED is the estimated part of the prompt in the runner's prefix
 * cache, 0 to 1.
 */
int64_t runner_model_predict(const runner_model_t *m, uint32_t prompt_tokens,
			     uint32_t output_tokens, double cached);
/* The same at the pace that the runner stated last. */
int64_t runner_model_predict_now(const runner_model_t *m,
				 uint32_t prompt_tokens, uint32_t output_tokens,
				 double cached, int64_t now);
/* The same as runner_model_predict if the runner were idle. */
int64_t runner_model_idle_time(const runner_model_t *m, uint32_t prompt_tokens,
			       uint32_t output_tokens, double cached);

#endif
