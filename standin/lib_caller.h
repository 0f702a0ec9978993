/*
 * One caller with one call: gets a ticket if the kind uses one, sends the
 * request, checks the answer and reports the result of the call. It tries the
 * next daemon when it cannot connect. It repeats a guarded call (one with an
 * Idempotency-Key or a ticket) that did not run, whose outcome is unknown, or
 * whose end it did not receive.
 */
#ifndef STANDIN_LIB_CALLER_H
#define STANDIN_LIB_CALLER_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>

#include "net/http.h"
#include "standin/lib_answer.h"
#include "standin/lib_mix.h"
#include "standin/lib_tally.h"

enum { CALLER_ID_SIZE = 48, CALLER_MAX_HEADERS = 10 };

struct caller;

/* State that all callers of one run share. */
typedef struct caller_env {
	struct event_base *base;
	char **targets; /* NULL-terminated */
	uint32_t n_targets;
	uint32_t max_repeats; /* maximum, of a guarded call */
	int64_t repeat_window_ms; /* from the call's start; no later repeats */
	int64_t silence_timeout_ms; /* without data, until a repeat; 0: off */
	int64_t grace_ms; /* after the deadline, until CALL_MISSING */
	int64_t default_limit_ms; /* for calls without a deadline */
	/* The call ended; the callee frees the caller. */
	void (*ended)(void *ctx, struct caller *caller);
	void *ctx;
} caller_env_t;

/*
 * Fields are private unless marked "to read" or "to set", the latter between
 * caller_new and caller_start. The owner frees the memory.
 */
typedef struct caller {
	const caller_env_t *env;
	const mix_kind_t *kind; /* to read */
	const mix_team_t *team;
	char id[CALLER_ID_SIZE]; /* to read */
	char key[CALLER_ID_SIZE]; /* to read */
	char ticket[256]; /* to read */
	char *text;
	char *body;
	uint32_t tokens;
	uint32_t target; /* to set: index; a repeat takes the next one */
	uint32_t attempts; /* to read */
	uint32_t failed_connects; /* consecutive ones */
	http_call_t call;
	answer_t answer;
	GString *ticket_body;
	struct event *limit_timer;
	struct event *leave_timer;
	/* Next repeat, silence timeout, or end of a slow reader's pause. */
	struct event *repeat_timer;
	int64_t started_us; /* to read */
	int64_t first_us;
	int64_t ended_us; /* to read */
	int64_t leave_ms; /* to set: until it disconnects early; 0: never */
	bool is_slow; /* to read and to set: reads slowly */
	bool is_awaiting_ticket;
	bool is_paused; /* a slow reader between two reads */
	bool is_in_progress; /* an attempt is in progress */
	bool is_ended;
	bool is_unanswered; /* the last attempt sent got no final answer */
	int status;
	char outcome[16]; /* from the Papaya-Outcome header */
	call_result_t result; /* to read */
	char reason[ANSWER_REASON_SIZE]; /* to read; why it did not complete */
} caller_t;

/* Allocates a caller; takes ownership of TEXT. */
caller_t *caller_new(const caller_env_t *env, const mix_kind_t *kind,
		     const mix_team_t *team, const char *id, char *text,
		     uint32_t tokens, const char *key);
/* Starts the call. */
void caller_start(caller_t *c);
void caller_free(caller_t *c);
/* Milliseconds from start to first data, or -1, and to the end. */
double caller_first_ms(const caller_t *c);
double caller_whole_ms(const caller_t *c);

#endif
