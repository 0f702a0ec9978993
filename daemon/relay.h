/*
 * State of one request that the gateway serves, and the functions that the
 * relay*.c files share. No other file may include this header.
 */
#ifndef DAEMON_RELAY_H
#define DAEMON_RELAY_H

#include "daemon/gateway.h"

typedef enum relay_state {
	RELAY_AWAITING_READY, /* no configuration or runners are known yet */
	/* the recorder of the stream that it takes up was asked */
	RELAY_AWAITING_RELEASE,
	RELAY_AWAITING_LIMIT, /* waits for the answer of the team's limiter */
	RELAY_AWAITING_GRANT, /* waits for a dispatcher's grant */
	RELAY_GRANTED, /* a runner is granted; the exchange with it runs */
	RELAY_ENDED,
} relay_state_t;

/* What a request has to do with a roll-out of its service. */
typedef struct relay_rollout {
	uint64_t order; /* id of the roll-out's order; 0: none */
	bool is_chosen; /* IN_POOL was decided */
	bool in_pool; /* it is dispatched to the target's runners */
	bool has_share; /* was leased one of the target's requests; unused */
	bool was_refused; /* by the target's dispatcher */
	bool is_counted; /* among the service's requests */
	bool is_timed; /* the time to this send's first answer was counted */
	int64_t sent_at; /* when it was sent to the runner; 0: it was not */
	int64_t first_at; /* first event of its stream; 0: none */
} relay_rollout_t;

struct relay {
	gateway_t *gateway;
	ingress_t *caller; /* NULL once the caller left or was answered */
	const http1_head_t *head; /* of the request */
	call_head_t call;
	GBytes *body;
	char *id; /* the caller's id of this attempt, for logs */
	/* Hash of what all attempts at this request have in common. */
	uint64_t fingerprint;
	/* What runners may crash on: the fingerprint, the prompt's parts. */
	prompt_parts_t parts;

	fleet_t *fleet; /* configuration in force when it was admitted */
	const fleet_route_t *route;
	const fleet_team_t *team; /* NULL: the caller has no known key */
	const char *service;
	uint32_t rank; /* its tier; 0 is the most urgent */

	relay_state_t state;
	uint64_t attempt; /* number unique in this daemon, for messages */
	int64_t arrived_at; /* all times: microseconds, monotonic clock */
	int64_t deadline; /* the caller's or the route's, whichever is first */
	/* Time of the last message to the limiter or the dispatcher. */
	int64_t requested_at;
	/* Start of the wait at this dispatcher; INT64_MAX: tries no other. */
	int64_t wait_started_at;
	/* Stall epoch when the limit request or the want was first sent. */
	uint64_t stall_epoch;
	int64_t progress_at; /* time of the last stream event, or of sending */
	int64_t heard_at; /* time of the answer's last bytes, or of sending */
	struct event *timer; /* end of the wait for readiness, or deadline */
	bool is_limit_fallback; /* limited by this daemon's own share */
	bool is_counter_young; /* the team's counter has begun just now */
	int64_t limit_retry_at; /* asks for the limit again then; 0: no */
	bool is_routed; /* the dispatcher's name is known */
	bool is_resent; /* the want was repeated */
	/* Repeats of the want since the dispatcher's last answer. */
	uint32_t unanswered_wants;
	bool dispatches_locally; /* dispatched here, as no dispatcher answers */
	zone_pick_t pick; /* group of runners, zone of the dispatcher */
	char dispatcher[MEMBER_NAME_SIZE]; /* "": this daemon */

	dispatcher_runner_t runner;
	runner_limit_t granted_limit; /* the runner's, from the grant */
	char avoid[DISPATCHER_NAME_SIZE]; /* runner that failed last */
	/*
	 * Release that began the stream: only its runners may go on with it. 0:
	 * it has not begun.
	 */
	uint64_t release;
	relay_rollout_t rollout;
	upstream_conn_t *upstream;
	char proxy[RUNNER_PATHS_NAME_SIZE]; /* daemon in between; "": none */
	uint32_t ways_tried; /* connections that failed, for this grant */
	bool is_proxy_lost; /* the proxy broke off, not the runner */
	/* Stated in the runner's answer, and reported to the dispatcher: */
	bool says_leaving; /* the runner is leaving */
	runner_load_t load; /* its AT is 0: none stated */
	bool is_brittle; /* the runner fails if it refuses too many */
	uint32_t refusals_borne; /* in a second, if is_brittle */
	bool is_refused; /* it had no room */
	bool is_load_told; /* the dispatcher got it with the first event */
	uint32_t connection_ms; /* how long the connection may be reused */
	uint32_t pause_ms; /* time without requests from this VM; 0: none */
	uint32_t output_tokens; /* estimate of what is left, for the want */
	uint32_t declined_grants; /* grants that were returned unused */
	uint32_t sends; /* how often it was sent to a runner */
	uint32_t retries_taken; /* from the budget; one for each later send */
	uint32_t possible_runs; /* of those, the ones that may have run */

	/* head of the answer; valid during the exchange */
	const http1_head_t *answer_http_head;
	answer_head_t answer;
	struct evbuffer *answer_body;
	bool has_answer; /* the head was received */
	bool was_reused; /* the connection that ended was a reused one */
	bool is_own_answer; /* and it answers this attempt */
	bool is_streaming; /* forwards this answer event by event */
	bool has_begun; /* the head was sent to the caller */
	int begun_status; /* the status in that head */
	bool is_paused; /* reading stopped: the caller reads slowly */
	sse_t sse;
	size_t held_event; /* bytes of an event that is not whole, counted */
	GString *last_event_id; /* id of the last event sent to the caller */
	uint64_t n_events; /* with an id or data, sent to the caller */
	int64_t first_event_at; /* 0: none yet */
	int64_t event_at; /* time of the last one */
	int64_t longest_pause; /* between two events, microseconds */
	uint64_t events_before; /* of them, by earlier runners */
	/* The last one has no id: no runner can go on right after it. */
	bool is_past_last_id;
	bool is_repeating; /* this runner began with an event sent before */
	/* Runners that broke off as they began to run this request. */
	uint32_t crash_reports;
};

/* relay.c */

/*
 * The id of the last event that the caller has of the stream: sent here, or
 * stated in its request. Empty if there is none.
 */
str_t relay_last_event_id(const relay_t *r);
/* Name of the dispatcher for logs: "own" for this daemon. */
const char *relay_dispatcher_name(const relay_t *r);
/* Estimates the output of a request, from its start. */
uint32_t relay_whole_output_tokens(const call_head_t *call);
/*
 * Gives the request a new attempt number. Messages that answer the previous
 * attempt are no longer matched to this request.
 */
void relay_new_attempt(relay_t *r);
/*
 * True when the process stalled after the want or the limit request was first
 * sent. An answer received now may be a grant that expired during the stall and
 * was given to another request since.
 */
bool relay_is_stale(const relay_t *r);
/* Timer callback: the wait for readiness is over, or the deadline passed. */
void relay_on_deadline(evutil_socket_t fd, short what, void *arg);
/*
 * Sends a want to a dispatcher, under a new attempt number. May answer and free
 * the relay instead: a stream's release may not be used any more.
 */
void relay_request_runner(relay_t *r);
/* Sends a message about this attempt to its dispatcher; DONE may be NULL. */
void relay_post_capacity(relay_t *r, message_type_t type, const done_t *done);
/*
 * Repeats the want, also for a request that was already granted a runner: the
 * dispatcher may have moved to another daemon, which has to know of the running
 * request.
 */
void relay_repeat_want(relay_t *r, int64_t now);
/* Reports the result of a grant to the dispatcher. */
void relay_report_done(relay_t *r, done_result_t result);
/* Answers with an error made by this daemon, and frees the relay. */
void relay_fail(relay_t *r, int status, int64_t retry_after_ms,
		const char *why);
/* Withdraws the want or reports the grant's result; cancels the exchange. */
void relay_release_grant(relay_t *r, done_result_t result);
/*
 * Cancels the exchange with the runner, if there is one. Counts it as a send
 * when any byte may have left, so that another send needs the retry budget.
 */
void relay_cancel_exchange(relay_t *r);
/*
 * The request may have run, but its answer is incomplete or can't be used:
 * tries again, or answers 502.
 */
void relay_on_attempt_lost(relay_t *r, const char *why);
/* Detaches the caller, and frees the relay. */
void relay_end(relay_t *r);
/*
 * Requests another runner. Returns false when no further attempt is allowed,
 * the retry budget is used up, or too little time is left.
 */
bool relay_retry(relay_t *r);
/*
 * Tells whether relay_retry might request another runner if the exchange with
 * the present one were given up, and whether the budget has a retry for that.
 */
bool relay_may_resend(const relay_t *r);
bool relay_has_retry(const relay_t *r);

/* relay_ways.c */

/* Chooses the way to the granted runner, and sends; false: it can't. */
bool relay_start_exchange(relay_t *r);
/*
 * The connection failed before anything was sent: tries another way to the same
 * runner. Returns false when there is none, so that it counts as unreachable.
 */
bool relay_try_other_way(relay_t *r, upstream_way_t failed);
/* The runner answered on this exchange. */
void relay_on_way_heard(relay_t *r);

/* relay_rollout.c */

/*
 * Chooses the release for the next want, while its service is being rolled out.
 * Returns false when there is none that it may use: it was answered, and freed.
 */
bool relay_choose_pool(relay_t *r);
/* The name under which the runners for its next want are dispatched. */
const char *relay_pool(const relay_t *r);
/* Whether the granted runner's release may be used now. */
bool relay_may_send(const relay_t *r);
/*
 * A dispatcher of the target's runners refused: tries those of the other
 * releases. Returns false when it may not.
 */
bool relay_leave_pool(relay_t *r);
/*
 * For the reports to the conductor: the request was sent, its stream began, the
 * use of its runner ended.
 */
void relay_on_sent(relay_t *r);
void relay_on_first_event(relay_t *r);
void relay_on_done(relay_t *r, done_result_t result);

/* relay_moves.c: moves a waiting request to another dispatcher */

/* After a refusal: requests a runner of another one; false: there is none. */
bool relay_try_after_refusal(relay_t *r, refuse_reason_t reason);
/* The same after a wait that is too long. */
bool relay_try_next_dispatcher(relay_t *r, int64_t now);
/*
 * No answer came to the want: repeats it, and after some time goes to another
 * dispatcher, or has this daemon dispatch the request.
 */
void relay_repeat_unanswered(relay_t *r, int64_t now);

/* relay_admit.c */

/* Picks the dispatcher for the first want among the runners of its pool. */
void relay_pick_dispatcher(relay_t *r);

/* The cost in a team's limit: tokens, or 1 for a request. */
uint32_t relay_limit_cost(const fleet_team_t *team, const call_head_t *call);
/*
 * Picks, among the runners of POOL, the dispatcher to ask first. A long prefix
 * goes to the group of runners that may have it cached, also in another zone,
 * unless many recent requests share it; PREFIXES counts them.
 */
void relay_pick_group(const zone_groups_t *zones, hot_prefix_t *prefixes,
		      const call_head_t *call, const char *pool, GRand *rand,
		      zone_pick_t *out);
/* Answers 503: no configuration and runners are known yet. */
void relay_fail_unready(relay_t *r);
/* Uses this daemon's share of the limit when the limiter doesn't answer. */
void relay_check_limit_timeout(relay_t *r, int64_t now);

/*
 * Asks the limiter for the team's limit, or goes on without one: the release of
 * a stream that is taken up is known.
 */
void relay_request_limit(relay_t *r);

/* relay_release.c */

/* Tells whether the request takes up a stream that broke off earlier. */
bool relay_is_take_up(const relay_t *r);
/*
 * Finds the release of the stream that the request takes up. Returns false when
 * its recorder was asked, or the request was refused.
 */
bool relay_find_release(relay_t *r);
/* Asks the recorder again, or gives up; for RELAY_AWAITING_RELEASE. */
void relay_check_release_timeout(relay_t *r, int64_t now);
/*
 * The stream's first event arrived: it is bound to the runner's release. Has its
 * recorder told, if the service has several.
 */
void relay_bind_release(relay_t *r);

/* relay_memory.c */

/*
 * Makes room for N more bytes of this request's answer, by giving up others of
 * the runner that holds most. Returns false when this one has to be given up.
 */
bool relay_make_room(relay_t *r, size_t n);
/* Counts what is received of an event that is not whole yet. */
void relay_count_event(relay_t *r);

/* relay_runner.c */

/* Handles what the answer's head states of the runner, as leaving or limit. */
void relay_read_runner_status(relay_t *r);
/*
 * Returns the grant unused and requests another runner when the runner is
 * leaving, asked for a pause, named a limit that the dispatcher doesn't know,
 * or is in a partitioned zone. Returns false when the grant may be used.
 */
bool relay_decline_if_unusable(relay_t *r);
/* Requests another runner if nothing was sent to the granted one yet. */
void relay_reroute_unsent(relay_t *r, const char *why);

/* relay_quarantine.c */

/*
 * The exchange broke: reports it if that was at the beginning of the run, as
 * the request or a part of its prompt may have crashed the runner.
 */
void relay_report_crash(relay_t *r);
/* The runner got past the beginning: neither request nor prompt is to blame. */
void relay_report_sound(relay_t *r);
/* The runner began to answer: it didn't crash before the request was sent. */
void relay_report_alive(relay_t *r);
/*
 * Tells whether another runner must not be tried: the quarantine refuses the
 * request, or a runner broke off as it began to answer it, and a part of it is
 * suspect.
 */
bool relay_is_quarantined(const relay_t *r);
/*
 * Answers a request with a part in quarantine, in any state, and frees the
 * relay. Returns false, with nothing done, for other requests.
 */
bool relay_refuse_quarantined(relay_t *r);

/* relay_answer.c */

/* Tells whether the runner's answer is a success; call it after its head. */
bool relay_is_success(const relay_t *r);

void relay_answer_init(relay_t *r, size_t max_event);
/* Callbacks of the exchange with the upstream. */
extern const upstream_ops_t relay_answer_ops;

#endif
