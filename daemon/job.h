/*
 * One request from its acceptance to its final answer: finds its owner, asks
 * for capacity, is dispatched once, and answers every caller that waits.
 */
#ifndef DAEMON_JOB_H
#define DAEMON_JOB_H

#include "daemon/caller.h"
#include "daemon/front.h"
#include "net/http.h"
#include "net/sse.h"

enum {
	JOB_ID_SIZE = 128, /* bytes, with the NUL */
	JOB_RETRY_MS = 1000, /* Retry-After where nothing better is known */
};

typedef enum job_state {
	JOB_LOCATING, /* asks who owns its key */
	JOB_LIMITING, /* asked for a place within its team's limit */
	JOB_WAITING, /* asked a dispatcher for a runner */
	JOB_SENDING, /* has a runner; nothing was sent yet */
	JOB_RUNNING, /* dispatched, or forwarded to its owner */
	JOB_ENDED, /* answered; freed at the next turn of the loop */
} job_state_t;

/* Tokens as the runner counted them, or estimates. */
typedef struct job_usage {
	uint32_t prompt;
	uint32_t output;
	uint32_t cached;
	bool is_exact;
} job_usage_t;

typedef struct job {
	front_t *front;
	uint64_t attempt;
	char id[JOB_ID_SIZE]; /* names the attempt to people and upstreams */
	call_t call;
	job_state_t state;
	GPtrArray *callers; /* caller_t, owned */
	rights_entry_t *right; /* a ticket's; NULL without */
	rights_entry_t claim; /* a key's, as the peers task gave it */
	bool has_claim;
	GBytes *scoped; /* team and key; NULL without */
	bool is_engine;
	bool is_protected;
	char profile[PROFILE_NAME_SIZE]; /* that it was accepted under */
	bool is_limited; /* holds a place in the team's concurrency */
	bool is_limit_fallback; /* counted by this daemon for itself */
	char limiter[MEMBER_NAME_SIZE]; /* who counted it; "": this one */
	int64_t limit_asked; /* monotonic */
	bool is_forward; /* another daemon owns it */
	bool is_dispatched;
	bool is_lapsed; /* the right lapsed in a stall */
	uint64_t epoch; /* stall epoch in which it was accepted */
	int64_t accepted; /* monotonic */
	int64_t deadline; /* monotonic */
	/* Capacity. */
	char dispatcher[MEMBER_NAME_SIZE]; /* "" for this daemon */
	bool is_routed;
	bool is_again; /* the want is repeated */
	char zone[MEMBER_NAME_SIZE]; /* asked for capacity; "" for the own */
	uint32_t zones_tried;
	dispatcher_runner_t runner;
	char avoid[DISPATCHER_NAME_SIZE];
	/* The exchange with the upstream. */
	http_call_t upstream;
	sse_t sse;
	bool is_sse; /* the upstream answers with a stream */
	bool is_done; /* the stream's last event came */
	bool is_error_seen; /* the forwarded stream ended in an error */
	bool is_paused;
	uint32_t events; /* of the stream, before the last */
	uint32_t resumes;
	int status;
	char *content_type;
	outcome_t forwarded_outcome;
	uint32_t forwarded_retry_ms;
	GString *answer; /* the body, or the stream so far */
	bool is_answer_cut; /* longer than is kept */
	int64_t first_token; /* monotonic; 0 until it came */
	int64_t last_sent; /* to callers, monotonic */
	job_usage_t usage;
} job_t;

/*
 * Takes a call that passed all checks, with its first caller. Takes CALL
 * over. The job belongs to the front's table.
 */
job_t *job_new(front_t *f, call_t *call, const profile_service_t *service,
	       const profile_t *profile, struct evhttp_request *req);
void job_free(void *data);
/* Adds a caller that repeats the job's request. */
void job_join(job_t *job, struct evhttp_request *req);

/* Events from other tasks. */
void job_locate(job_t *job);
void job_located(job_t *job, const message_locate_t *found);
/* This daemon issued the job's ticket: claims it. */
void job_use_ticket(job_t *job);
void job_limited(job_t *job, const message_limit_t *answer);
void job_routed(job_t *job, const char *dispatcher);
void job_granted(job_t *job, const dispatcher_runner_t *runner);
void job_refused(job_t *job, refuse_reason_t reason, uint32_t retry_after_ms);
void job_preempted(job_t *job);
void job_view_changed(job_t *job);
void job_tick(job_t *job, int64_t now);

/* Asks for a place within the team's limit, then for capacity. */
void job_limit(job_t *job);
/* Gives the place back. */
void job_unlimit(job_t *job);
/* For the parts of a job: asks (again) for capacity. */
void job_want(job_t *job);
/* Tells the dispatcher something about the attempt. */
void job_tell(job_t *job, message_type_t type, const done_t *done);

/* job_upstream.c: sends the request to its runner or to its owner. */
void job_dispatch(job_t *job);
void job_forward(job_t *job, const char *address);
/* Stops or resumes reading from the upstream as callers keep up. */
void job_pace(job_t *job);

/* job_answer.c: final answers. Each ends the job. */
void job_complete(job_t *job);
void job_fail(job_t *job, outcome_t wanted, int status, const char *message,
	      uint32_t retry_after_ms);
/* Relays what the owner of a forwarded request answered. */
void job_relay(job_t *job);
/* Answers with what was kept for the job's key. */
void job_repeat_kept(job_t *job, const rights_answer_t *answer);
/* Ends a job whose callers went to another one. */
void job_dissolve(job_t *job);
/* No caller is left. */
void job_abandon(job_t *job);
/* Sends a whole event of a stream to all callers. */
void job_stream(job_t *job, str_t raw);
/* Answers a caller from the kept answer of its key. */
void job_answer_kept(struct evhttp_request *req, struct event_base *base,
		     const rights_answer_t *answer);

#endif
