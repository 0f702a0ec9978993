/*
 * Explains where a dispatcher would send a want now, and why, without sending
 * it. Uses the dispatcher's own functions for choice and admission. The only
 * state that changes is the token buckets of runners' rate limits, which are
 * refilled as in any decision. Does no I/O; times are microseconds of the
 * monotonic clock.
 */
#ifndef CORE_DISPATCHER_EXPLAIN_H
#define CORE_DISPATCHER_EXPLAIN_H

#include "core/dispatcher.h"

enum { EXPLAIN_MAX_RUNNERS = 32 };

typedef enum explain_outcome {
	EXPLAIN_GRANT,
	EXPLAIN_QUEUE, /* it would wait */
	EXPLAIN_REFUSE,
} explain_outcome_t;

/* Why a runner would get the want or not; the first that applies. */
typedef enum explain_verdict {
	EXPLAIN_CHOSEN,
	EXPLAIN_ROOM, /* it could take the want */
	EXPLAIN_FULL,
	EXPLAIN_MEMORY, /* the want doesn't fit into its memory */
	EXPLAIN_LEAVING,
	EXPLAIN_PARTITIONED,
	EXPLAIN_SUSPENDED, /* it failed lately */
	EXPLAIN_AVOIDED, /* it failed with an earlier attempt */
	EXPLAIN_OTHER_RELEASE,
	EXPLAIN_PAUSED, /* it takes nothing from the want's owner */
	EXPLAIN_LIMITED, /* by the rate limit that it stated */
	EXPLAIN_VERDICTS,
} explain_verdict_t;

/* What is known of a runner. */
typedef struct explained_runner {
	char name[DISPATCHER_NAME_SIZE];
	explain_verdict_t verdict;
	int64_t start; /* predicted, until the first token; plain: 0 */
	int64_t end; /* predicted, until the end of the work */
	int64_t blocked; /* until its suspension ends; 0: it has none */
	uint32_t running; /* granted by this dispatcher */
	uint64_t tokens; /* of that work; plain: calls */
	double window; /* that may be in flight, in the same units */
	/* Requests in its last load report, or in its last answer if newer. */
	double reported;
	int64_t report_age; /* -1: there was neither */
	uint32_t pace; /* percent, in its last answer; 0: not stated */
	uint32_t cached_tokens; /* of the prompt, unless evicted */
	int64_t cached_age; /* since it read them; -1: not known */
	double rate; /* limit that it stated, per second; 0: none */
} explained_runner_t;

typedef struct dispatcher_explanation {
	explain_outcome_t outcome;
	refuse_reason_t reason; /* if refused */
	int64_t wait; /* predicted in the queue */
	uint32_t queued, running; /* of the dispatcher */
	uint32_t n_runners; /* known; only the first of them are in RUNNERS */
	explained_runner_t runners[EXPLAIN_MAX_RUNNERS];
	uint32_t n; /* in RUNNERS: the chosen one, then by verdict and end */
} dispatcher_explanation_t;

/* Explains what would be decided on WANT if it arrived now. */
void dispatcher_explain(const dispatcher_t *d, const want_t *want, int64_t now,
			dispatcher_explanation_t *out);
/* Returns the reason as text for the refused caller. */
const char *refuse_reason_text(refuse_reason_t reason);
/* Returns the verdict's name for output. */
const char *explain_verdict_name(explain_verdict_t verdict);

#endif
