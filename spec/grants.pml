/*
 * Dispatchers and their grants: a protected request is never refused while a
 * request of a lower tier is served on a runner that it could use; a runner
 * that is leaving gets no request after a few seconds; and no want is lost with
 * a dispatcher.
 *
 * Bounds: two daemons that may host the dispatcher of one service, one runner
 * with one slot, a lower-tier and a protected request of different owners.
 * Dispatcher 0 may die, or pause and be declared dead, once. Both owners and
 * both daemons then change their views one after the other, and two
 * dispatchers grant in the meantime. Messages take any time; one link may break
 * once and lose all messages in flight on it. The runner may leave.
 *
 * Assumptions: once a daemon's view has not changed for the settling time, all
 * daemons have the same view, and the messages that owners sent when they
 * changed theirs have arrived (`is_settled`); a grant is used or given up
 * within a few seconds (`is_leaving_known`).
 *
 * Names follow core/dispatcher.h. Each macro whose name begins with MUTANT
 * drops one rule; see README.md.
 */
#define LOW 0
#define PROTECTED 1
#define AT(d, r) ((d) * 2 + (r))

mtype = { NEW, WAITING, RUNNING, ENDED };

/* Owners. */
mtype request[2] = NEW;
byte to[2]; /* the dispatcher in the owner's view */
bool link_broke;
bool is_late; /* the protected request is about to miss its deadline */

/* Dispatchers. */
bool is_dead; /* dispatcher 0 */
bool is_paused; /* dispatcher 0, for longer than the heartbeat timeout */
bool is_changing; /* dispatcher 0 died or is suspected dead */
bool has_moved[2]; /* this daemon's view: dispatcher 1 is the host */
bool is_settled[2] = true;
bool queued[4];
bool granted[4];
bool has_report[2]; /* it has read the runner's load report */
bool knows_leaving[2];

/* The runner: 0: stays, 1: leaving, 2: leaving for a few seconds. */
byte leaving;

/* Messages in flight. */
bool want[4];
bool adopt[4]; /* a want that names the runner that the request runs on */
bool grant[4];
bool refuse[4];
bool cancel[4];
bool done[4];

#define is_awake(d) ((d) == 1 || !is_dead && !is_paused)
#define is_host(d) (((d) == 1) == has_moved[d])

#define is_first(d, r) ((r) == PROTECTED || !queued[AT(d, PROTECTED)])
#define has_slot(d, r) (!granted[AT(d, LOW)] && !granted[AT(d, PROTECTED)])
#ifdef MUTANT_GRANT_BEFORE_REPORT
#define knows_runner(d) true
#else
#define knows_runner(d) has_report[d]
#endif
#ifdef MUTANT_GRANT_LEAVING
#define may_use(d) true
#else
#define may_use(d) (!knows_leaving[d])
#endif

/* Lower-tier requests that the dispatcher knows of, queued or running. */
#ifdef MUTANT_REFUSE_BEFORE_CANCEL
#define has_lower(d) false
#else
#define has_lower(d) (queued[AT(d, LOW)] || granted[AT(d, LOW)])
#endif
#ifdef MUTANT_REFUSE_UNSETTLED
#define view_settled(d) is_host(d)
#else
#ifdef MUTANT_REFUSE_NOT_HOST
#define view_settled(d) is_settled[d]
#else
#define view_settled(d) (is_settled[d] && is_host(d))
#endif
#endif

/* The actual state: the lower-tier request runs, or was granted and will. */
#define low_is_served (request[LOW] == RUNNING || \
	request[LOW] == WAITING && \
	(grant[AT(0, LOW)] && to[LOW] == 0 || \
	 grant[AT(1, LOW)] && to[LOW] == 1))

inline clear(x) {
	want[x] = false;
	adopt[x] = false;
	grant[x] = false;
	refuse[x] = false;
	cancel[x] = false;
	done[x] = false
}

inline forget(x) {
	queued[x] = false;
	granted[x] = false
}

/* What an owner sends to a new dispatcher, or over a new link. */
inline tell(d, r) {
	if
	:: request[r] == WAITING -> want[AT(d, r)] = true
#ifndef MUTANT_NO_ADOPT
	:: request[r] == RUNNING -> adopt[AT(d, r)] = true
#else
	:: request[r] == RUNNING
#endif
	:: request[r] == NEW || request[r] == ENDED
	fi
}

#ifdef MUTANT_REPEAT_TO_LEAVING
#define may_repeat(d) true
#else
#define may_repeat(d) may_use(d)
#endif

inline dispatcher_want(d, x) {
	want[x] = false;
	if
#ifndef MUTANT_GRANT_NOT_REPEATED
	/* The first grant was lost with the link. */
	:: granted[x] && may_repeat(d) -> grant[x] = true
	:: granted[x] && !may_repeat(d) ->
		granted[x] = false;
		queued[x] = true
#else
	:: granted[x]
#endif
	:: !granted[x] -> queued[x] = true
	fi
}

inline dispatcher_adopt(x) {
	adopt[x] = false;
	queued[x] = false;
	granted[x] = true
}

inline dispatcher_done(x) {
	done[x] = false;
	forget(x)
}

inline take_grant(d, r) {
	grant[AT(d, r)] = false;
	if
	:: request[r] == WAITING && to[r] == (d) ->
		/* The request is sent to the runner. */
		assert(leaving < 2);
		request[r] = RUNNING
	:: request[r] == RUNNING && to[r] == (d) /* a repeated grant */
	:: else -> done[AT(d, r)] = true
	fi
}

/* Ends a request: drops its messages in flight, and reports the end. */
inline end(r) {
	request[r] = ENDED;
	clear(AT(0, r));
	clear(AT(1, r));
	done[AT(to[r], r)] = true
}

#define REQUEST(r) \
	:: atomic { request[r] == NEW -> \
		request[r] = WAITING; \
		want[AT(to[r], r)] = true } \
	:: atomic { request[r] == RUNNING -> end(r) } \
	/* The owner finds that dispatcher 0 is gone. */ \
	:: atomic { is_changing && to[r] == 0 -> \
		clear(AT(0, r)); /* the owner ignores its messages */ \
		to[r] = 1; \
		RESEND(r) } \
	/* The link breaks and is reconnected. */ \
	:: atomic { !link_broke && is_awake(to[r]) && \
		request[r] != NEW && request[r] != ENDED -> \
		link_broke = true; \
		clear(AT(to[r], r)); \
		tell(to[r], r) }

#ifdef MUTANT_NO_RESEND
#define RESEND(r) if \
	:: request[r] == RUNNING -> tell(1, r) \
	:: request[r] != RUNNING \
	fi
#else
#define RESEND(r) tell(1, r)
#endif

/* A grant without news from its owner expires, unless it is in use. */
#ifdef MUTANT_EXPIRE_IN_USE
#define is_in_use(d, r) false
#else
#define is_in_use(d, r) (to[r] == (d) && request[r] != ENDED)
#endif

#define MESSAGES(d, r) \
	:: atomic { want[AT(d, r)] && is_awake(d) -> \
		dispatcher_want(d, AT(d, r)) } \
	:: atomic { adopt[AT(d, r)] && is_awake(d) -> \
		dispatcher_adopt(AT(d, r)) } \
	:: atomic { done[AT(d, r)] && is_awake(d) -> \
		dispatcher_done(AT(d, r)) } \
	:: atomic { grant[AT(d, r)] -> take_grant(d, r) } \
	:: atomic { refuse[AT(d, r)] -> \
		refuse[AT(d, r)] = false; \
		if \
		:: request[r] == WAITING && to[r] == (d) -> \
			end(r) \
		:: else \
		fi } \
	:: atomic { cancel[AT(d, r)] -> \
		cancel[AT(d, r)] = false; \
		if \
		:: request[r] == RUNNING -> end(r) \
		:: else \
		fi } \
	/* Decisions. */ \
	:: atomic { is_awake(d) && queued[AT(d, r)] && is_first(d, r) && \
		(has_slot(d, r) || (r) == PROTECTED && is_late) && \
		knows_runner(d) && may_use(d) -> \
		queued[AT(d, r)] = false; \
		granted[AT(d, r)] = true; \
		grant[AT(d, r)] = true } \
	:: atomic { is_awake(d) && queued[AT(d, r)] && knows_leaving[d] -> \
		queued[AT(d, r)] = false; /* no runner */ \
		refuse[AT(d, r)] = true } \
	:: atomic { is_awake(d) && granted[AT(d, r)] && \
		!is_in_use(d, r) -> \
		granted[AT(d, r)] = false }

#define DISPATCHER(d) \
	/* Preempts lower-tier requests, queued ones first. */ \
	:: atomic { is_awake(d) && is_late && queued[AT(d, PROTECTED)] && \
		queued[AT(d, LOW)] -> \
		queued[AT(d, LOW)] = false; \
		refuse[AT(d, LOW)] = true } \
	:: atomic { is_awake(d) && is_late && queued[AT(d, PROTECTED)] && \
		granted[AT(d, LOW)] && !cancel[AT(d, LOW)] && \
		request[LOW] == RUNNING -> \
		cancel[AT(d, LOW)] = true } \
	:: atomic { is_awake(d) && is_late && queued[AT(d, PROTECTED)] && \
		!has_lower(d) && view_settled(d) -> \
		assert(leaving > 0 || !low_is_served); \
		queued[AT(d, PROTECTED)] = false; \
		refuse[AT(d, PROTECTED)] = true } \
	/* Reads the runner's load report. */ \
	:: atomic { is_awake(d) && !has_report[d] && \
		(queued[AT(d, LOW)] || queued[AT(d, PROTECTED)]) -> \
		has_report[d] = true; \
		knows_leaving[d] = leaving > 0 } \
	:: atomic { is_awake(d) && has_report[d] && leaving == 1 && \
		!knows_leaving[d] -> \
		knows_leaving[d] = true } \
	/* Changes of the daemon's own view of the zone. */ \
	:: atomic { is_changing && is_awake(d) && !has_moved[d] -> \
		has_moved[d] = true; \
		is_settled[d] = false } \
	:: atomic { is_awake(d) && !is_settled[d] && to[LOW] == 1 && \
		to[PROTECTED] == 1 && has_moved[1] && \
		(is_dead || has_moved[0]) && !adopt[AT(1, LOW)] && \
		!adopt[AT(1, PROTECTED)] -> \
		is_settled[d] = true }

/* A grant in flight to an owner that would use it. */
#define in_flight(d, r) (grant[AT(d, r)] && to[r] == (d) && \
			 request[r] == WAITING)
/* Every dispatcher knows that the runner is leaving; no such grant is left. */
#define is_leaving_known (leaving == 1 && \
	(is_dead || !has_report[0] || knows_leaving[0]) && \
	(!has_report[1] || knows_leaving[1]) && \
	!in_flight(0, LOW) && !in_flight(0, PROTECTED) && \
	!in_flight(1, LOW) && !in_flight(1, PROTECTED))

active proctype world() {
	has_report[0] = true;
	do
	REQUEST(LOW)
	REQUEST(PROTECTED)
	MESSAGES(0, LOW)
	MESSAGES(0, PROTECTED)
	MESSAGES(1, LOW)
	MESSAGES(1, PROTECTED)
	DISPATCHER(0)
	DISPATCHER(1)
	:: atomic { !is_late && request[PROTECTED] == WAITING ->
		is_late = true }
	:: atomic { !is_changing ->
		is_changing = true;
		is_paused = true }
	:: atomic { is_paused ->
		is_paused = false;
		/* Views may have changed meanwhile. */
#ifndef MUTANT_STALL_UNNOTICED
		is_settled[0] = false
#endif
		}
	:: atomic { !is_changing ->
		is_changing = true;
		is_dead = true;
		clear(AT(0, LOW));
		clear(AT(0, PROTECTED));
		forget(AT(0, LOW));
		forget(AT(0, PROTECTED)) }
	:: atomic { leaving == 0 -> leaving = 1 }
	:: atomic { is_leaving_known -> leaving = 2 }
	:: timeout ->
		/* No step is left to take, so no request may still wait. */
		assert(request[LOW] == ENDED && request[PROTECTED] == ENDED);
		break
	od
}
