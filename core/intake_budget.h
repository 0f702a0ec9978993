/*
 * Bounds the memory that a process holds for callers' incomplete requests, and
 * the number of callers' connections. When a bound is reached, chooses the
 * connection to close: first those that hold much memory for a long time. Does
 * no I/O; times are microseconds of the monotonic clock.
 */
#ifndef CORE_INTAKE_BUDGET_H
#define CORE_INTAKE_BUDGET_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct intake_limits {
	uint64_t bytes; /* held for requests that are not complete */
	uint32_t connections;
	/*
	 * A request has to be complete after GRACE plus one second for each
	 * RATE bytes received. RATE 0: there is no such deadline.
	 */
	int64_t grace;
	uint64_t rate; /* bytes a second */
} intake_limits_t;

typedef enum intake_state {
	INTAKE_CLOSING, /* its last answer is written */
	INTAKE_NEW, /* no byte was received */
	INTAKE_KEPT, /* between two requests, all answers are written */
	INTAKE_READING, /* a request is received in part */
	INTAKE_SERVED, /* a complete request is being answered */
	INTAKE_WRITING, /* an answer is complete, but not written */
	INTAKE_STATES,
} intake_state_t;

/* One connection. The caller owns it. */
typedef struct intake {
	intake_state_t state;
	int64_t since; /* when it entered its state */
	uint64_t bytes; /* held for the request that is read */
	uint64_t expected; /* length that it announced; 0: none */
	int64_t last_growth; /* when BYTES last increased */
	GList link; /* in intake_budget.by_state; its data is the intake */
	void *ctx; /* the caller's */
} intake_t;

typedef struct intake_budget {
	intake_limits_t limits;
	uint64_t held; /* bytes */
	uint64_t peak;
	uint32_t connections;
	GQueue by_state[INTAKE_STATES]; /* each by intake.since */
} intake_budget_t;

/* Everything is zero before; limits may be changed at any time. */
void intake_budget_init(intake_budget_t *b, const intake_limits_t *limits);
/* Adds a connection, in the state INTAKE_NEW. */
void intake_budget_add(intake_budget_t *b, intake_t *i, void *ctx, int64_t now);
/* Removes a connection and releases what it holds. */
void intake_budget_remove(intake_budget_t *b, intake_t *i);
/* Enters a state, also the same one again; releases what was held. */
void intake_budget_enter(intake_budget_t *b, intake_t *i, intake_state_t state,
			 int64_t now);
/* Sets what a connection in the state INTAKE_READING holds. */
void intake_budget_hold(intake_budget_t *b, intake_t *i, uint64_t bytes,
			int64_t now);
/*
 * Returns whether N more bytes fit. They always do for a connection that is
 * the only one to hold any.
 */
bool intake_budget_fits(const intake_budget_t *b, const intake_t *i,
			uint64_t n);
/*
 * Returns the connection to close so that the connection I can hold N more
 * bytes: of those that stalled or send slowly, the one with the greatest
 * product of bytes held and time. If none is slow and I's request will be
 * small, the same among requests that will be at least twice as large. Requests
 * that arrive in time are not closed for equal or large ones. NULL if it would
 * be I, or if there is none.
 */
intake_t *intake_budget_victim(const intake_budget_t *b, const intake_t *i,
			       uint64_t n, int64_t now);
/*
 * Returns the connection to close so that another can be accepted: one that is
 * closing, or a new one that has sent nothing for some time; then the older of
 * the one that is idle between requests for longest and the costliest
 * incomplete request; last, a new one. NULL if all requests are being answered,
 * or the answers written.
 */
intake_t *intake_budget_spare(const intake_budget_t *b, int64_t now);
/* Returns whether one more connection exceeds the limit; OTHER aren't in B. */
bool intake_budget_is_crowded(const intake_budget_t *b, uint32_t other);
/* Returns the deadline of a request being received; INT64_MAX: none. */
int64_t intake_budget_due(const intake_budget_t *b, const intake_t *i,
			  uint64_t received);

#endif
