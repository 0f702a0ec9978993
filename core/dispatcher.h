/*
 * Schedules the requests of one service on its runners in one zone: decides
 * when each waiting request is granted a runner, and which one. Does no I/O:
 * the caller passes in events with the current time, and the dispatcher acts
 * through callbacks. A wrong decision can only cost time. Executing a request
 * at most once is ensured elsewhere (core/dedup.h).
 *
 * The owner of a request is the process that received it from its caller. It
 * sends a want, a request for a runner, for each attempt to execute the
 * request, and executes the attempt once it has a grant.
 *
 * All times are microseconds of the host's monotonic clock.
 */
#ifndef CORE_DISPATCHER_H
#define CORE_DISPATCHER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"
#include "core/runner_limit.h"
#include "core/runner_load.h"

enum {
	DISPATCHER_MAX_TIERS = 8,
	DISPATCHER_NAME_SIZE = 64, /* bytes, with the NUL */
};

/* Identifies one attempt to execute a request. */
typedef struct want_id {
	uint64_t owner; /* the owner's incarnation */
	uint64_t attempt; /* unique within the incarnation */
} want_id_t;

/* An owner's request for a runner, for one attempt. */
typedef struct want {
	want_id_t id;
	uint32_t tier; /* index into the tiers, 0 is the most urgent */
	char team[DISPATCHER_NAME_SIZE];
	uint32_t prompt_tokens; /* estimate; 1 for a plain call */
	uint32_t output_tokens; /* estimate; 1 for a plain call */
	uint64_t prefix_hash; /* 0 when there is no known prefix */
	uint32_t prefix_tokens; /* length; 0: unknown, estimated */
	uint64_t session_hash; /* of the session or whole prompt; 0: none */
	uint32_t session_tokens; /* length of what session_hash covers */
	int64_t deadline; /* the answer must be complete by then */
	int64_t target; /* the answer should start by then; 0: none */
	int64_t start_by; /* caller leaves if not begun by then; 0: never */
	uint32_t max_pause_ms; /* longest gap between events; 0: no limit */
	char avoid[DISPATCHER_NAME_SIZE]; /* runner that just failed, or "" */
	uint64_t release; /* only runners of this one may be granted; 0: any */
	/*
	 * Its owner dispatches for itself, as the dispatcher can't be reached.
	 * Others may do so too, so runners that named a limit are not used.
	 */
	bool is_fallback;
} want_t;

/* The profile's settings of one tier. */
typedef struct dispatcher_tier {
	bool is_protected; /* strict priority, never shed for other tiers */
	uint32_t weight; /* share among unprotected tiers, at least 1 */
} dispatcher_tier_t;

typedef struct dispatcher_runner {
	char name[DISPATCHER_NAME_SIZE];
	char address[DISPATCHER_NAME_SIZE]; /* IP:port */
	uint32_t generation; /* of hardware, for the initial speed estimate */
	uint32_t slots; /* concurrent requests; 0: the service's default */
	int64_t born_ms; /* start time, distinguishes incarnations of a name */
	uint64_t release; /* hash of its software's release; 0: not known */
	bool is_leaving;
	bool is_partitioned; /* its zone is unreachable at present */
} dispatcher_runner_t;

/* The load that a runner reports about itself. */
typedef struct dispatcher_report {
	int64_t as_of; /* when it was measured; reports arrive late */
	uint32_t running;
	uint32_t waiting;
	uint32_t waiting_prompt_tokens;
	uint32_t running_tokens;
	bool is_leaving;
} dispatcher_report_t;

typedef enum refuse_reason {
	REFUSE_DEADLINE, /* predicted to miss the deadline */
	REFUSE_QUEUE_FULL, /* full of wants that may not be shed */
	REFUSE_SHED, /* dropped from the full queue for another want */
	REFUSE_NO_RUNNER, /* the service has no working runner in the zone */
	REFUSE_EXPIRED, /* the deadline passed in the queue */
	REFUSE_PAUSED, /* all runners pause for the owner for too long */
	REFUSE_NO_RELEASE, /* no runner of the stream's release serves */
	REFUSE_TOO_LARGE, /* it exceeds the memory of the runners */
	REFUSE_REASONS,
} refuse_reason_t;

typedef enum done_result {
	DONE_COMPLETED,
	DONE_FAILED, /* the runner answered with an error */
	/*
	 * The owner stopped it: the caller left, the deadline passed, a
	 * dispatcher cancelled it, or the runner asked for a pause.
	 */
	DONE_CANCELLED,
	DONE_UNREACHABLE, /* no connection or zone partitioned; nothing sent */
	DONE_BROKEN, /* the connection broke after sending */
	DONE_LEAVING, /* grant unused, the owner saw the runner leave */
} done_result_t;

/* How an attempt ended. */
typedef struct done {
	done_result_t result;
	uint32_t prompt_tokens; /* as counted by the runner; 0 if unknown */
	uint32_t output_tokens;
	uint32_t cached_tokens;
	bool says_leaving; /* the answer announces the runner's shutdown */
	uint32_t pause_ms; /* for which it accepts nothing from this owner */
	runner_limit_t limit; /* the runner's, as the owner knows it */
	runner_load_t load; /* stated in the answer's head; at 0: not known */
	/* The answer says that the runner fails if it refuses too many. */
	bool is_brittle;
	uint32_t refusals_borne; /* in a second, if is_brittle */
	bool is_refused; /* the runner had no room; the request didn't run */
	/* How long the owner may use its connection again; 0: it has none. */
	uint32_t connection_ms;
} done_t;

typedef enum dispatcher_policy {
	DISPATCHER_POLICY_LEDGER, /* priorities, windows and early refusal */
	DISPATCHER_POLICY_ROUND_ROBIN, /* baseline */
	DISPATCHER_POLICY_TWO_CHOICES, /* baseline, by reported load */
} dispatcher_policy_t;

typedef struct dispatcher_config {
	bool is_engine; /* work is measured in tokens, else in calls */
	uint32_t max_wants; /* limit of queued wants */
	uint32_t max_running; /* limit of grants in progress */
	uint32_t plain_slots; /* plain services: window of a runner */
	uint32_t window_tokens; /* engines: window of a runner */
	uint32_t engine_slots; /* concurrent requests per engine; 0: no limit */
	int64_t grant_timeout; /* without an event for this long, grants end */
	uint64_t seed;
	/*
	 * A predicted miss of the deadline refuses a want only while other
	 * work delays it. Otherwise one slow answer could cause refusals
	 * forever, since nothing would run that corrects the prediction. The
	 * price is wasted prompt work on permanently slow runners.
	 */
	bool grants_if_idle;
	/*
	 * Owners stop work at its deadline. A grant still open some time after
	 * the deadline is therefore removed: the message that ended it, or the
	 * grant itself, was lost.
	 */
	bool expires_grants;
	/* Wants are queued until the first list of runners is received. */
	bool awaits_list;
	/* Predictions and room account for the load that runners state. */
	bool uses_stated_load;
	/* Weighs what a cached prompt prefix saves against the wait for it. */
	bool weighs_prompt_cache;
	/* Work that may exceed an engine's memory is not granted. */
	bool bounds_memory;
	/* Grants a runner to another want if the next one is late there. */
	bool fits_work;
	/* Owners are granted runners to which they have a connection. */
	bool prefers_connected;
	dispatcher_policy_t policy;
} dispatcher_config_t;

typedef struct dispatcher_ops {
	/* Allows the owner to send the request to the runner. */
	void (*grant)(void *ctx, const want_t *want,
		      const dispatcher_runner_t *runner);
	/* Refuses a request that was not granted. */
	void (*refuse)(void *ctx, const want_t *want, refuse_reason_t reason,
		       uint32_t retry_after_ms);
	/* Has the owner cancel a running request to free capacity. */
	void (*cancel)(void *ctx, const want_t *want);
} dispatcher_ops_t;

typedef struct dispatcher_stats {
	uint64_t wants, grants, cancels;
	uint64_t refusals[REFUSE_REASONS];
	/*
	 * With weighs_prompt_cache: grants of a runner that is expected to have
	 * a part of the prompt cached, the time that this saves, in
	 * microseconds, and grants of others though some have a part.
	 */
	uint64_t cache_choices, cache_saved, cache_passed;
	/*
	 * With fits_work: grants to another want than the next one, grants to
	 * the next one though it will be late as no other want fits, and grants
	 * of a slow runner that leave a fast one's slot to other wants.
	 */
	uint64_t fit_choices, fit_misses, spare_choices;
	uint64_t unknown; /* unknown want or runner, or duplicate want */
	/*
	 * Grants removed because no end arrived: past their deadline, or
	 * overdue while their owner is unresponsive, or not confirmed by it.
	 */
	uint64_t expired;
	uint64_t suspensions; /* of runners, by how grants ended */
	uint32_t queued, running, runners;
	uint32_t available; /* runners that may get work */
} dispatcher_stats_t;

/* Allocated by dispatcher_init, freed by dispatcher_finish. */
struct dispatcher_state;

typedef struct dispatcher {
	struct dispatcher_state *state;
} dispatcher_t;

void dispatcher_init(dispatcher_t *d, const dispatcher_config_t *config,
		     const dispatcher_ops_t *ops, void *ctx, int64_t now);
void dispatcher_finish(dispatcher_t *d);

/* Replaces the tiers; wants of a removed tier move to the last one. */
void dispatcher_set_tiers(dispatcher_t *d, const dispatcher_tier_t *tiers,
			  uint32_t n);
/* Sets a team's weight within each tier; the default is 1. */
void dispatcher_set_team(dispatcher_t *d, str_t team, uint32_t weight);

/*
 * Sets the window of each runner: the number of tokens in flight for engines,
 * of calls for plain services. An unchanged value is ignored, which preserves
 * the windows of runners that have their own number of slots.
 */
void dispatcher_set_window(dispatcher_t *d, uint32_t window, int64_t now);

/*
 * Sets whether the membership of the zone is stable, as it is initially.
 * While it isn't, another daemon may have granted the same runners to lower
 * tiers, so a protected want is not refused before its deadline unless there
 * is no runner, all runners are paused for too long, or the queue is full.
 */
void dispatcher_set_view_stable(dispatcher_t *d, bool is_stable, int64_t now);

/* Call once the service's list of runners is known, even if it is empty. */
void dispatcher_set_list_received(dispatcher_t *d, int64_t now);
/* Adds or updates a runner; one that is leaving gets no more grants. */
void dispatcher_set_runner(dispatcher_t *d, const dispatcher_runner_t *runner,
			   int64_t now);
/* Removes a runner that is no longer listed. */
void dispatcher_remove_runner(dispatcher_t *d, str_t name, int64_t now);
/* Suspends a runner whose load report is missing: no grants for a while. */
void dispatcher_suspend_runner(dispatcher_t *d, str_t name, int64_t now);
void dispatcher_report(dispatcher_t *d, str_t name,
		       const dispatcher_report_t *report, int64_t now);

/* Adds a want; leads to exactly one grant or refusal, now or later. */
void dispatcher_want(dispatcher_t *d, const want_t *want, int64_t now);
/*
 * Handles a want that the owner repeats because the first message or the reply
 * may be lost. A queued want stays queued, the grant of a granted one is sent
 * again, and an unknown one is added. A grant of a runner that is leaving is
 * ended, and the want is added anew. Returns whether the want is queued.
 */
bool dispatcher_want_again(dispatcher_t *d, const want_t *want, int64_t now);
/* Removes a want, or a grant that the owner has not used. */
void dispatcher_withdraw(dispatcher_t *d, want_id_t id, int64_t now);
/* The runner announced its shutdown in the answer to a granted request. */
void dispatcher_runner_leaves(dispatcher_t *d, want_id_t id, int64_t now);
/*
 * Reports what the owner of a grant knows of its runner's limit. Returns
 * whether the state or the rate of the limit changed.
 */
bool dispatcher_runner_limited(dispatcher_t *d, want_id_t id,
			       const runner_limit_t *limit, int64_t now);
/*
 * Returns the part of its memory that the runner of a granted request may hold
 * for all its requests, or 0 if that isn't known.
 */
double dispatcher_memory_part(const dispatcher_t *d, want_id_t id);
/* Returns what is known of a runner's limit. */
runner_limit_t dispatcher_limit(const dispatcher_t *d, str_t runner);
/* The runner of a granted request stated its load, as its owner heard it. */
void dispatcher_runner_load(dispatcher_t *d, want_id_t id,
			    const runner_load_t *load, int64_t now);
/*
 * The answer to a granted request says that its runner fails if it has to refuse
 * more than BORNE requests in a second. Returns whether that is news.
 */
bool dispatcher_runner_brittle(dispatcher_t *d, want_id_t id, uint32_t borne,
			       int64_t now);
void dispatcher_first_token(dispatcher_t *d, want_id_t id, int64_t now);
void dispatcher_done(dispatcher_t *d, want_id_t id, const done_t *done,
		     int64_t now);
/*
 * Adds a grant of the previous dispatcher, which the owner reports as running
 * after a change of dispatchers, so that the ledger is complete. Confirms a
 * grant that is known.
 */
void dispatcher_adopt(dispatcher_t *d, const want_t *want, str_t runner,
		      int64_t now);
/*
 * Sets whether an owner is unresponsive. Its queued wants are dropped, because
 * it sends them again or to another dispatcher. While it is unresponsive, its
 * overdue grants are removed and do not count against the runner.
 */
void dispatcher_set_owner_unresponsive(dispatcher_t *d, uint64_t owner,
				       bool is_unresponsive, int64_t now);
/*
 * Messages of the owner may have been lost: its link is a new one, or this
 * process stood still. Owners then repeat the wants of requests that run
 * (dispatcher_adopt). With expires_grants, a grant that isn't confirmed so
 * within a second is removed. Delays of these grants don't count against their
 * runners, since their events may have been lost, too.
 */
void dispatcher_doubt_grants(dispatcher_t *d, uint64_t owner, int64_t now);
/* Returns whether the want is known and not yet granted. */
bool dispatcher_is_waiting(const dispatcher_t *d, want_id_t id);
/* Removes all wants and grants of an owner that died. */
void dispatcher_owner_lost(dispatcher_t *d, uint64_t owner, int64_t now);
/* Handles all timeouts; call it every few milliseconds. */
void dispatcher_tick(dispatcher_t *d, int64_t now);

void dispatcher_stats(const dispatcher_t *d, dispatcher_stats_t *out);

#endif
