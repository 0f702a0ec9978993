/*
 * A job serves one request from acceptance to final response: it finds the
 * daemon that owns the request's key, requests a runner from a dispatcher,
 * sends the request upstream at most once, and responds to every caller that
 * waits for it.
 */
#ifndef DAEMON_JOB_H
#define DAEMON_JOB_H

#include "daemon/caller.h"
#include "daemon/front.h"
#include "net/http.h"
#include "net/sse.h"

enum {
	JOB_ID_SIZE = 128, /* bytes, with the NUL */
	JOB_RETRY_MS = 1000, /* Retry-After when no estimate is available */
};

typedef enum job_state {
	JOB_AWAITING_OWNER, /* looking up the daemon that owns its key */
	JOB_AWAITING_LIMIT, /* waiting for the check of its team's limit */
	JOB_AWAITING_GRANT, /* waiting for a dispatcher to grant a runner */
	JOB_SENDING, /* a runner is granted; nothing was sent yet */
	JOB_RUNNING, /* sent to the runner, or forwarded to the owner */
	JOB_ENDED, /* final; freed at the next timer tick */
} job_state_t;

/* Token counts: estimates until the runner reports its own. */
typedef struct job_usage {
	uint32_t prompt;
	uint32_t output;
	uint32_t cached;
	bool is_exact; /* reported by the runner */
} job_usage_t;

typedef struct job {
	front_t *front;
	uint64_t attempt;
	char id[JOB_ID_SIZE]; /* request ID in logs and towards upstreams */
	call_t call;
	job_state_t state;
	GPtrArray *callers; /* caller_t, owned */
	/* entry of its ticket if issued here, or NULL */
	dedup_entry_t *ticket_entry;
	dedup_entry_t claim; /* of a key; the peers task holds the original */
	bool has_claim;
	GBytes *scoped_key; /* team and key or ticket; NULL without either */
	bool is_engine;
	bool is_protected;
	char profile[PROFILE_NAME_SIZE]; /* in force at acceptance */
	bool holds_concurrency; /* counted in the team's concurrency */
	bool is_limit_fallback; /* limited by this daemon's own counter */
	char limiter[MEMBER_NAME_SIZE]; /* daemon that counts it; "": this */
	int64_t limit_requested_at; /* time of MESSAGE_LIMIT_ASK, monotonic */
	bool is_forwarded_to_owner; /* forwarded to its owner, another daemon */
	bool is_dispatched; /* the runner may have received it */
	/* Not sent: its claim may have been lost in a process stall. */
	bool is_stale;
	uint64_t stall_epoch; /* stall epoch in which it was accepted */
	int64_t accepted_at; /* monotonic */
	int64_t deadline; /* monotonic */
	/* Request for a runner. */
	char dispatcher[MEMBER_NAME_SIZE]; /* "" for this daemon */
	bool is_routed; /* dispatcher is valid */
	bool is_resent; /* the last MESSAGE_WANT was a retransmission */
	char zone[MEMBER_NAME_SIZE]; /* of the dispatcher; "": own zone */
	uint32_t zones_tried; /* besides this daemon's own */
	dispatcher_runner_t runner;
	char avoid[DISPATCHER_NAME_SIZE]; /* runner that just failed */
	/* The exchange with the upstream. */
	http_call_t upstream;
	sse_t sse;
	bool is_sse; /* the response is an event stream */
	bool has_done_event; /* the stream's [DONE] event was received */
	bool has_cut_error; /* its last event says that it was cut */
	bool is_paused; /* reading from the upstream is paused */
	uint32_t n_events; /* data events of the stream, without [DONE] */
	uint32_t resumes; /* attempts to resume the stream */
	bool is_resumed; /* the last attempt's answer is an event stream */
	int status; /* HTTP status of the response */
	char *content_type;
	outcome_t forwarded_outcome; /* stated by the owner's response */
	uint32_t forwarded_retry_ms; /* its Retry-After; 0: none */
	GString *answer; /* response body, or the stream so far */
	bool is_answer_too_long; /* exceeded max_answer_kib; not stored */
	int64_t first_token_at; /* time of arrival, monotonic; 0: none yet */
	int64_t last_sent_at; /* last write to callers, monotonic */
	job_usage_t usage;
} job_t;

/*
 * Creates a job for a validated request and its first caller. Takes ownership
 * of what CALL holds. The job is owned by the front's job table.
 */
job_t *job_new(front_t *f, call_t *call, const profile_service_t *service,
	       const profile_t *profile, http_conn_t *conn);
void job_free(void *data);
/* Adds a caller that sent the same key or ticket again. */
void job_join(job_t *job, http_conn_t *conn);

/* Starts the lookup of the daemon that owns the job's key or ticket. */
void job_look_up_owner(job_t *job);
/* Handles the result of the lookup. */
void job_on_owner_found(job_t *job, const message_locate_t *found);
/* Claims the job's ticket, which this daemon issued. */
void job_claim_ticket(job_t *job);
/* Handlers of messages from other tasks, and of the timer. */
void job_on_limit_answer(job_t *job, const message_limit_t *answer);
void job_on_routed(job_t *job, const char *dispatcher);
void job_on_grant(job_t *job, const dispatcher_runner_t *runner);
void job_on_refusal(job_t *job, refuse_reason_t reason,
		    uint32_t retry_after_ms);
void job_on_preemption(job_t *job);
void job_on_view_change(job_t *job);
void job_tick(job_t *job, int64_t now);

/* Has the team's limit checked if it has one, then requests a runner. */
void job_check_limit(job_t *job);
/* Releases the job's share of the team's concurrency. */
void job_release_limit(job_t *job);
/* Requests a runner, also after an earlier request was refused. */
void job_request_runner(job_t *job);
/* Sends the dispatcher a message about the attempt, if it has one. */
void job_notify_dispatcher(job_t *job, message_type_t type, const done_t *done);

/* job_upstream.c: sends the request to its runner or to its owner. */
void job_dispatch(job_t *job);
void job_forward(job_t *job, const char *address);
/* Pauses reading from the upstream while a caller's backlog is too long. */
void job_update_backpressure(job_t *job);

/*
 * job_answer.c: responses. Each function with a JOB ends it, except
 * job_send_event, and job_on_last_disconnect when the request keeps running.
 */

/* Sends the upstream's whole response. */
void job_complete(job_t *job);
/* Sends an error; NOT_RUN becomes UNKNOWN if it can't be proved. */
void job_fail(job_t *job, outcome_t wanted, int status, const char *message,
	      uint32_t retry_after_ms);
/* Relays the owner's response to a forwarded request. */
void job_relay_response(job_t *job);
/* Sends the stored response of the job's key. */
void job_reply_stored(job_t *job, const dedup_answer_t *answer);
/* Ends a job whose callers were moved to another job. */
void job_end_merged(job_t *job);
/* Handles the loss of the last caller. */
void job_on_last_disconnect(job_t *job);
/* Sends one complete event of the stream to all callers. */
void job_send_event(job_t *job, str_t raw);
/* Sends a stored response to a caller without a job. */
void job_reply_stored_to(http_conn_t *conn, const dedup_answer_t *answer);

#endif
