/* Internal declarations of core/dispatcher*.c. */
#ifndef CORE_DISPATCHER_STATE_H
#define CORE_DISPATCHER_STATE_H

#include "core/affinity.h"
#include "core/dispatcher.h"
#include "core/owner_reach.h"
#include "core/queue.h"
#include "core/runner_brittle.h"
#include "core/runner_model.h"
#include "core/connected_owners.h"

typedef struct runner {
	dispatcher_runner_t info;
	str_t key; /* references info.name */
	runner_model_t model;
	bool is_new_runner; /* added, but not yet listed or configured */
	bool is_listed; /* in the current list of runners */
	bool is_leaving_by_report; /* as a load report or answer stated */
	GArray *pauses; /* pause_t, one per owner; NULL: none so far */
	runner_limit_t limit; /* named by the runner itself */
	runner_limit_bucket_t limit_bucket; /* counts its grants */
	runner_brittle_t brittle;
	want_id_t kept_for; /* its memory is reserved for this want */
	int64_t kept_until;
	connected_owners_t connected; /* owners with an idle connection to it */
	bool is_serving; /* in dispatcher_state.running and n_serving */
	int64_t suspended_until; /* gets no grants before; 0: not suspended */
	/* Owner whose failed connection suspended it; 0: another reason. */
	uint64_t suspended_by;
	/* When its speed was learned, here or elsewhere; 0: never. */
	int64_t speed_at;
	double lost_answers; /* lost answers; decays with each complete one */
	GList *suspended; /* link in dispatcher_state.suspended */
	uint32_t running[DISPATCHER_MAX_TIERS];
	GSequenceIter *ranked; /* in dispatcher_state.ranked, or NULL */
	int64_t rank_key; /* predicted duration of a typical want */
	uint64_t rank_turn; /* breaks ties: least recently ranked first */
} runner_t;

/* The state of a want until it is refused or its grant ends. */
typedef struct attempt {
	queue_entry_t entry; /* first: a pointer to it is cast to attempt_t */
	want_t want;
	int64_t arrived;
	int64_t latest_start; /* starting later misses the deadline */
	int64_t latest_on_time; /* starting later misses the target; 0: none */
	int64_t unfit_since; /* when it last began to fit no memory; 0: fits */
	runner_t *runner; /* NULL while queued */
	runner_work_t work;
	uint32_t cached_tokens; /* of the prompt, estimated */
	uint32_t times_passed; /* how often others overtook it */
	bool is_cancelled; /* its cancellation was requested */
	/* Ended then unless the owner confirms that it runs; 0: no doubt. */
	int64_t confirm_by;
	int64_t last_event_at; /* time of the grant or of the first token */
	GList by_last_event; /* link in dispatcher_state.by_last_event */
	GSequenceIter *by_overdue; /* in dispatcher_state.by_overdue */
	GSequenceIter *cancellable; /* in the state's cancellable, or NULL */
	GList of_owner; /* link in its queue in dispatcher_state.owners */
} attempt_t;

struct dispatcher_state {
	dispatcher_config_t config;
	dispatcher_ops_t ops;
	void *ctx;
	GRand *rand;
	queue_t queue;
	affinity_t affinity;
	GHashTable *attempts; /* by want_id_t */
	GHashTable *owners; /* owner (uint64_t) to its GQueue of attempts */
	GHashTable *unresponsive_owners; /* set of uint64_t */
	owner_reach_t reach; /* of owners to runners */
	GHashTable *runners; /* by name */
	GHashTable *generations; /* hardware generation to runner_speed_t */
	GPtrArray *available; /* runners that may get work, unordered */
	GSequence *ranked; /* the same, fastest for a typical want first */
	GQueue deferred; /* wants taken off the queue for one round */
	GQueue suspended; /* suspended runners, in the order they resume */
	GQueue by_last_event; /* running, oldest last_event_at first */
	GSequence *by_overdue; /* running attempts by work.overdue_at */
	/* Running attempts of unprotected tiers, in order of cancellation. */
	GSequence *cancellable;
	uint32_t running[DISPATCHER_MAX_TIERS]; /* on n_serving runners */
	uint32_t n_serving; /* runners listed and not leaving */
	uint32_t n_running;
	/* Since when no runner is available or at work; 0: one is. */
	int64_t unavailable_since;
	uint32_t next_index; /* round robin: next index into available */
	uint64_t rank_turn;
	double typical_prompt; /* moving averages of tokens per want */
	double typical_output;
	double granted_tokens; /* granted from the queue; decaying sum */
	double granted_seconds; /* in which they were granted */
	int64_t rate_at; /* end of the interval that both cover */
	int64_t paused_until; /* the latest end of all runners' pauses */
	bool has_runner_list; /* a list of runners was received */
	bool has_stated_pace; /* a runner stated its pace */
	bool lacks_memory; /* dispatcher_choose skipped runners for it */
	bool is_view_unstable; /* other daemons may use the same runners */
	bool is_deciding;
	bool decide_again; /* an event arrived during the round */
	dispatcher_stats_t stats;
};

/*
 * Grants or refuses every want that can be decided now. A callback may pass in
 * new events; they are taken into account in another round after this one.
 */
void dispatcher_decide(struct dispatcher_state *s, int64_t now);

/*
 * Returns whether there is a runner to wait for. If all listed runners are
 * suspended or unreachable for some time and none has work, they are taken to
 * be dead. While one has work, it may be only its load reports that are lost.
 */
bool dispatcher_has_runner(struct dispatcher_state *s, int64_t now);
/* Returns whether a runner serves that is of the release a want needs. */
bool dispatcher_has_release(const struct dispatcher_state *s,
			    const attempt_t *attempt);
/* False for the baseline policies, which neither queue nor predict. */
bool dispatcher_uses_ledger(const struct dispatcher_state *s);
/* Refuses a want and frees it; removes it from the queue first. */
void dispatcher_refuse(struct dispatcher_state *s, attempt_t *attempt,
		       refuse_reason_t reason);
/* Grants a want, which may be queued, and adds it to the ledger. */
void dispatcher_grant(struct dispatcher_state *s, attempt_t *attempt,
		      runner_t *runner, int64_t now);
/* Removes an attempt from the ledger and frees it; DONE may be NULL. */
void dispatcher_end_attempt(struct dispatcher_state *s, attempt_t *attempt,
			    const done_t *done, int64_t now);
/*
 * Returns whether a want of TIER may be refused early. A protected one may not
 * while work of lower tiers is queued or running, or may run without this
 * dispatcher's knowledge.
 */
bool dispatcher_may_refuse(const struct dispatcher_state *s, uint32_t tier);
/*
 * Sets the deadline by which a want is ordered in its tier. Wants that can
 * still meet their target precede those that can't: in overload, serving the
 * late ones first would make all of them late. Late wants are served when none
 * of their tier is on time, and refused at their deadline.
 */
void dispatcher_set_order(attempt_t *attempt, int64_t now);

/* Returns NULL for an unknown name and counts it in the statistics. */
runner_t *dispatcher_find_runner(struct dispatcher_state *s, str_t name);
/* Frees a runner_t; for the table of runners. */
void dispatcher_finish_runner(void *data);
/* Frees a runner unless it is listed or has work in progress. */
void dispatcher_free_runner(struct dispatcher_state *s, runner_t *runner);
/* Stores a runner's speed as initial estimate for its generation. */
void dispatcher_store_speed(struct dispatcher_state *s, const runner_t *runner,
			    int64_t now);
/* Suspends a runner: it gets no grants for a while. */
void dispatcher_suspend(struct dispatcher_state *s, runner_t *runner,
			int64_t now);
/*
 * An owner could not connect to the runner: suspends it, or, if the owner is cut
 * off from the runners, pauses it for this owner and ends what the owner's
 * earlier failures did to others.
 */
void dispatcher_on_unreachable(struct dispatcher_state *s, runner_t *runner,
			       uint64_t owner, int64_t now);
/* Resumes runners whose suspension is over. */
void dispatcher_resume_suspended(struct dispatcher_state *s, int64_t now);

/* Updates a runner in the ranking and sums, or removes it from them. */
void dispatcher_rank_runner(struct dispatcher_state *s, runner_t *runner,
			    int64_t now);
/* Returns whether the runner is of the release that a want needs, if any. */
bool dispatcher_is_of_release(const attempt_t *attempt, const runner_t *runner);
/* Returns whether a runner may get work, regardless of its load. */
bool dispatcher_is_available(const runner_t *runner, int64_t now);

bool dispatcher_is_owner_unresponsive(const struct dispatcher_state *s,
				      uint64_t owner);
/* Drops a queued or deferred want without a reply and frees it. */
void dispatcher_drop_waiting(struct dispatcher_state *s, attempt_t *attempt);
/*
 * True when all runners are paused for the owner until the latest start, or now
 * if the owner is cut off from them.
 */
bool dispatcher_paused_too_long(const struct dispatcher_state *s,
				const attempt_t *attempt, int64_t now);
/* Refuses a want; its caller may retry after the shortest pause ends. */
void dispatcher_refuse_paused(struct dispatcher_state *s, attempt_t *attempt,
			      int64_t now);
/* Refuses all queued wants of an owner that the pauses make too late. */
void dispatcher_refuse_all_paused(struct dispatcher_state *s, uint64_t owner,
				  int64_t now);
/* Records that the runner accepts nothing from the owner before UNTIL. */
void dispatcher_add_pause(struct dispatcher_state *s, runner_t *runner,
			  uint64_t owner, int64_t until, int64_t now);
/* Returns whether a pause that the runner asked of the owner still lasts. */
bool dispatcher_is_paused(const struct dispatcher_state *s,
			  const runner_t *runner, uint64_t owner, int64_t now);
/* The same for any of the available runners. */
bool dispatcher_has_pauses(const struct dispatcher_state *s, uint64_t owner,
			   int64_t now);
/*
 * Returns when the first available runner accepts work of the owner; NOW if
 * one does already or no runner is available.
 */
int64_t dispatcher_pause_end(const struct dispatcher_state *s, uint64_t owner,
			     int64_t now);

/*
 * Returns the runner with room that is predicted to finish the want first and
 * sets FINISH to that time. Returns NULL if no runner has room.
 */
runner_t *dispatcher_choose(struct dispatcher_state *s,
			    const attempt_t *attempt, runner_room_t room,
			    int64_t now, int64_t *finish);
/*
 * Returns BEST or a runner to be preferred for what it has cached of the want's
 * prompt; BEST ends it at FINISH, which is updated.
 */
runner_t *dispatcher_prefer_cached(struct dispatcher_state *s,
				   const attempt_t *attempt, runner_t *best,
				   runner_room_t room, int64_t now,
				   int64_t *finish);
/* Estimates what the runner has cached, before the want is granted. */
void dispatcher_find_cached(struct dispatcher_state *s, attempt_t *attempt,
			    const runner_t *runner, int64_t now);
/* Records what the runner caches of a granted want. */
void dispatcher_record_cached(struct dispatcher_state *s,
			      const attempt_t *attempt, runner_t *runner,
			      int64_t now);
/* Returns whether the want may not use the runner, whatever room it has. */
bool dispatcher_is_excluded(const struct dispatcher_state *s,
			    const attempt_t *attempt, runner_t *runner,
			    int64_t now);
/* Returns whether the runner's memory has room for the want now. */
bool dispatcher_fits(const struct dispatcher_state *s, const want_t *want,
		     const runner_t *runner, int64_t now);
/* Returns whether the want exceeds the memory of any runner. */
bool dispatcher_never_fits(const struct dispatcher_state *s,
			   const want_t *want);
/* The want fits no runner's memory now: reserves one for it after a while. */
void dispatcher_await_memory(struct dispatcher_state *s, attempt_t *attempt,
			     int64_t now);
/*
 * Returns the want to be granted RUNNER, which would be granted to NEXT:
 * another one that waits if NEXT doesn't fit there and the other one does.
 */
attempt_t *dispatcher_fit(struct dispatcher_state *s, attempt_t *next,
			  runner_t *runner, int64_t now);
/*
 * Returns a slow runner for a want with a short prompt that is in time there by
 * a wide margin, while few slots of fast runners are free; else FAST.
 */
runner_t *dispatcher_spare_fast(struct dispatcher_state *s,
				const attempt_t *attempt, runner_t *fast,
				int64_t now);
/* Predicts the microseconds until the want would end if granted now. */
int64_t dispatcher_predict(const runner_t *runner, const want_t *want,
			   double cached, int64_t now);
/* Like dispatcher_choose, with the room that the want's tier may use. */
runner_t *dispatcher_choose_for_tier(struct dispatcher_state *s,
				     const attempt_t *attempt, int64_t now,
				     int64_t *finish);
/* Returns the latest start that meets the deadline and start_by. */
int64_t dispatcher_latest_start(const struct dispatcher_state *s,
				const want_t *want, int64_t now);
/* Returns whether the queue ahead of a want makes it miss latest_start. */
bool dispatcher_misses_start(const struct dispatcher_state *s,
			     const attempt_t *attempt, int64_t now);
/*
 * Returns whether a want that would finish at FINISH is refused for that.
 * With grants_if_idle, a prediction refuses a want only if other work delays
 * it. Waiting can't improve on an idle engine, and only a grant can show that
 * it is faster than its learned speed; a plain call costs too little to be
 * refused while there is room.
 */
bool dispatcher_is_refusable(const struct dispatcher_state *s,
			     const attempt_t *attempt, const runner_t *runner,
			     int64_t finish, int64_t now);
/* Chooses a runner by a baseline policy; returns NULL if there is none. */
runner_t *dispatcher_choose_baseline(struct dispatcher_state *s);
/* Returns the least time the want would take if the runners were idle. */
int64_t dispatcher_service_time(const struct dispatcher_state *s,
				const want_t *want);
/* The same up to the first token; for plain calls up to the end. */
int64_t dispatcher_start_time(const struct dispatcher_state *s,
			      const want_t *want);

/* Adds a granted want to the ledger. */
void dispatcher_ledger_add(struct dispatcher_state *s, attempt_t *attempt,
			   runner_t *runner, int64_t now);
/* Removes an attempt from the ledger; DONE may be NULL. */
void dispatcher_ledger_remove(struct dispatcher_state *s, attempt_t *attempt,
			      const done_t *done, int64_t now);
void dispatcher_record_first_token(struct dispatcher_state *s,
				   attempt_t *attempt, int64_t now);
/* The attempt's next event may be late through no fault of the runner. */
void dispatcher_ignore_delay(attempt_t *attempt);
/* Lowers the runner's window because the attempt is overdue. */
void dispatcher_record_overdue(struct dispatcher_state *s, attempt_t *attempt,
			       int64_t now);
/* Sorts dispatcher_state.cancellable again after a change of tiers. */
void dispatcher_sort_cancellable(struct dispatcher_state *s);
/* Returns whether work of a tier lower than TIER is running. */
bool dispatcher_runs_lower(const struct dispatcher_state *s, uint32_t tier);
/* Cancels running work of lower tiers until the want would have room. */
void dispatcher_cancel_for(struct dispatcher_state *s,
			   const attempt_t *attempt);

/* Predicts the time in the queue for a new want, in microseconds. */
int64_t dispatcher_wait_time(const struct dispatcher_state *s, uint32_t tier,
			     uint64_t cost);
/* Counts a grant to a want that had to wait, for dispatcher_wait_time. */
void dispatcher_count_grant(struct dispatcher_state *s, uint64_t tokens,
			    int64_t now);

#endif
