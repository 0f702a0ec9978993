/*
 * Which daemon may dispatch a request. Every request is dispatched at most
 * once, and the answer for a request that ran is never `not-run`.
 *
 * Bounds: two daemons of one home zone, one request with a caller's key or a
 * ticket, calls repeated through either daemon for R ticks. Times are ages and
 * countdowns that stop at their limits, so the search covers runs of any
 * length. A key with a creation time may do all that a plain key may, since
 * any call may end in `unknown`; so one kind represents both. Daemon 0 is
 * first in the rendezvous order, so daemon 1 owns the key only while it
 * considers daemon 0 dead or draining. Either daemon may pause at any time for
 * any time, crash and restart; daemon 0 may drain. Heartbeats, calls and
 * forwarded calls may be lost; a call to a paused daemon waits in its socket.
 *
 * Assumptions: callers send no copy of a key later than R after the first, and
 * a daemon that isn't paused learns of a peer's change of view within P, since
 * new connections inside a zone work.
 *
 * Names follow core/member.h and core/dedup.h; "quiet" is the hold-off period
 * there, MINT_MARGIN the key_age_margin. Each macro whose name begins with
 * MUTANT drops one rule; see README.md.
 */
#ifdef MUTANT_JOIN_NO_GAP
#define JOIN
#endif
#ifdef MUTANT_JOIN_QUIET
#define JOIN
#endif
#ifdef MUTANT_JOIN_AFTER_STALL
#define JOIN
#endif
#ifdef MUTANT_JOIN_NO_TABLE
#define JOIN
#endif
#ifdef MUTANT_JOIN_OLD_INCARNATION
#define JOIN
#endif
#ifdef JOIN /* daemon 1 hands over to a new incarnation of daemon 0 */
#define H 1
#define new_incarnation_matters true
#else
#define new_incarnation_matters (view != LIVE || hand_over)
#endif
#ifndef R
#define R 1 /* callers' retry horizon */
#endif
#ifndef H
#define H 2 /* heartbeat timeout */
#endif
#ifndef P
#define P 1 /* time until a peer knows of a change of view */
#endif
#define T (H + P) /* heartbeat timeout and propagation */
#ifndef D
#define D (2 * H) /* time that a copy may wait unread in two sockets */
#endif
#ifdef MUTANT_QUIET_SHORT
#define Q (R + T) /* without the copies that wait unread */
#endif
#ifndef Q
#define Q (R + T + D) /* hold-off period of newly owned keys */
#endif
#ifdef MUTANT_KEEP_SHORT
#define KEEP R /* without the copies that wait unread */
#endif
#ifndef KEEP
#define KEEP (R + D) /* time that an ended request stays in the table */
#endif
#ifdef MUTANT_MINT_MARGIN_SHORT
#define MINT_MARGIN (T - 1)
#endif
#ifndef MINT_MARGIN
#define MINT_MARGIN T /* keys created this long after a takeover run at once */
#endif

mtype = { KEY, TICKET };
mtype = { BEFORE, CALLING, OVER };
mtype = { UP, DOWN };
/* IMPORTED: handed over by another daemon, where it may still run. */
mtype = { NONE, WAITING, MARKED, SENT, IMPORTED };
mtype = { LIVE, DEAD, DRAINING };

mtype kind;
mtype caller = BEFORE; /* the key is created at the first call */
byte horizon; /* ticks left in which the caller may repeat */
byte sent; /* dispatches so far */

mtype state[2] = UP;
mtype entry[2] = NONE; /* the request's entry in the key table */
byte keep_left[2]; /* ticks until an entry in SENT or IMPORTED is removed */
bool inbox[2]; /* a copy of the call waits in the daemon's socket */
byte loop_age[2] = 1; /* ticks since its own last tick; 2 or more: paused */
byte quiet_left[2]; /* ticks left of the hold-off; Q when newly owned */
/* The key was created MINT_MARGIN or more after the takeover. */
bool is_created_later[2];

/* Daemon 1's view of daemon 0, and the time since its last heartbeat. */
mtype view = LIVE;
byte heard_age = 1;
bool is_deposed; /* daemon 0 does not know yet that it was declared dead */
byte deposed_age;
bool is_restart_unknown; /* daemon 1 doesn't know 0's new incarnation yet */
byte restart_age;
bool is_draining; /* daemon 0 */
bool hand_over; /* a hand-over to daemon 1 is in transit */
bool hand_over_is_quiet; /* daemon 0 drained in its own hold-off period */
bool hand_over_has_entry;
#ifdef JOIN
bool join; /* a hand-over to daemon 0 is in transit */
bool join_has_entry;
byte join_quiet; /* ticks left of the sender's own hold-off period */
#endif
bool ticket_valid = true; /* the process that issued it, daemon 0, lives */

#ifdef MUTANT_NO_STALL_CHECK
#define member_is_stalled(d) false
#else
#define member_is_stalled(d) (loop_age[d] > H)
#endif
#define ran (sent > 0 || entry[0] == MARKED || entry[1] == MARKED)
#define is_owner(d) ((d) == 0 && (kind == TICKET || !is_draining) || \
		     (d) == 1 && kind != TICKET && view != LIVE)

#ifdef MUTANT_NO_QUIET
#define is_quiet(d) false
#else
#define is_quiet(d) (quiet_left[d] > 0)
#endif
/* No further dispatch is possible. */
#define is_over (caller == OVER && !inbox[0] && !inbox[1] && \
		 entry[0] != WAITING && entry[0] != MARKED && \
		 entry[1] != WAITING && entry[1] != MARKED)

inline answer_not_run() {
	assert(!ran)
}

inline drop_hand_over() {
	hand_over = false;
	hand_over_has_entry = false;
	hand_over_is_quiet = false
}

inline drop_join() {
#if defined(JOIN) && !defined(MUTANT_JOIN_OLD_INCARNATION)
	join = false;
	join_has_entry = false;
	join_quiet = 0
#else
	skip
#endif
}

inline newly_own(d) {
	quiet_left[d] = Q;
	is_created_later[d] = false
}

/* An undispatched claim becomes invalid, and every key is newly owned. */
inline member_begin_incarnation(d) {
	if
	:: entry[d] == WAITING ->
		entry[d] = NONE;
		answer_not_run()
	:: else
	fi;
	newly_own(d);
	loop_age[d] = 1;
#ifndef MUTANT_READ_AFTER_STALL
	/* A call that waited unread may be older than the retry horizon. */
	inbox[d] = false;
#endif
	if
	:: (d) == 0 ->
		is_deposed = false;
		deposed_age = 0;
		drop_join();
		if
		:: new_incarnation_matters && view != DRAINING &&
			!is_restart_unknown ->
			is_restart_unknown = true;
			restart_age = 0
		:: else
		fi
	:: else ->
#ifndef MUTANT_HAND_OVER_AFTER_STALL
		/* Messages that wait on old connections may be of any age. */
		drop_hand_over()
#else
		skip
#endif
	fi
}

inline crash(d) {
	state[d] = DOWN;
	loop_age[d] = 1;
	quiet_left[d] = 0;
	is_created_later[d] = false;
	entry[d] = NONE;
	keep_left[d] = 0;
	inbox[d] = false;
	if
	:: (d) == 0 ->
		is_restart_unknown = false;
		restart_age = 0;
		is_deposed = false;
		deposed_age = 0;
		is_draining = false;
		ticket_valid = false;
		drop_join()
	:: else ->
		drop_hand_over();
		view = DEAD;
		heard_age = 1;
		is_restart_unknown = false;
		restart_age = 0;
		is_deposed = false;
		deposed_age = 0
	fi
}

inline restart(d) {
	state[d] = UP;
	member_begin_incarnation(d);
#ifdef MUTANT_START_NOT_QUIET
	quiet_left[d] = 0;
#endif
	if
	:: (d) == 0 ->
		/* A peer that considers it draining learns of the restart. */
		if
		:: new_incarnation_matters ->
			is_restart_unknown = true;
			restart_age = 0
		:: else
		fi
	:: else ->
		/* It knows no peer yet, so it considers every key its own. */
		is_restart_unknown = state[0] != DOWN;
		restart_age = 0
	fi
}

/* Looks up or creates the request's entry for a call that arrived. */
inline dedup_claim(d) {
	if
	:: kind == TICKET ->
		if
#ifdef MUTANT_TICKET_ANY_INCARNATION
		:: entry[d] == NONE -> entry[d] = WAITING
#else
		:: entry[d] == NONE && ticket_valid -> entry[d] = WAITING
#endif
		:: else /* joins the request, or `unknown` */
		fi
	:: else ->
		if
		:: entry[d] != NONE /* joins the request, or the kept answer */
		:: entry[d] == NONE && is_quiet(d) && !is_created_later[d]
			/* `unknown` */
		:: entry[d] == NONE && (!is_quiet(d) || is_created_later[d]) ->
			if
			:: entry[d] = WAITING
			:: answer_not_run() /* refused at once */
			fi
		fi
	fi
}

inline receive(d) {
	if
	:: member_is_stalled(d) -> member_begin_incarnation(d)
	:: else
	fi;
	if
	:: !inbox[d] /* `unknown` */
	:: inbox[d] && is_owner(d) ->
		inbox[d] = false;
		dedup_claim(d)
	:: else ->
		inbox[d] = false;
		if
		:: state[1 - (d)] != DOWN -> inbox[1 - (d)] = true
		:: true /* lost: `unknown` */
		fi
	fi
}

/* The mark is set before the first byte is sent; a pause may come between. */
inline dedup_mark_dispatched(d) {
	if
	:: member_is_stalled(d) -> member_begin_incarnation(d)
	:: else -> entry[d] = MARKED
	fi
}

inline send(d) {
	sent++;
	assert(sent <= 1);
	entry[d] = SENT;
	keep_left[d] = KEEP
}

inline member_on_handed_over() {
	if
	:: member_is_stalled(1) -> member_begin_incarnation(1)
	:: else
	fi;
	if
	:: !hand_over
	:: hand_over && view != DEAD ->
		view = DRAINING;
		heard_age = 1;
		newly_own(1);
#ifdef MUTANT_HAND_OVER_QUIET
		quiet_left[1] = 0;
#else
		/* An incomplete table proves nothing about absent keys. */
		if
		:: !hand_over_is_quiet -> quiet_left[1] = 0
		:: else
		fi;
#endif
#ifndef MUTANT_HAND_OVER_NO_TABLE
		if
		:: hand_over_has_entry && entry[1] == NONE ->
			entry[1] = IMPORTED;
			keep_left[1] = KEEP
		:: else
		fi
#endif
	:: else
	fi;
	drop_hand_over()
}

#ifdef JOIN
/* Daemon 0 takes over what daemon 1 knew. */
inline take_join() {
	if
	:: member_is_stalled(0) -> member_begin_incarnation(0)
	:: else
	fi;
	if
	:: join ->
#ifdef MUTANT_JOIN_QUIET
		quiet_left[0] = 0;
#else
		quiet_left[0] = (join_quiet < quiet_left[0] ->
				 join_quiet : quiet_left[0]);
#endif
#ifndef MUTANT_JOIN_NO_TABLE
		if
		:: join_has_entry && entry[0] == NONE ->
			entry[0] = IMPORTED;
			keep_left[0] = KEEP
		:: else
		fi;
#endif
		join = false;
		join_has_entry = false;
		join_quiet = 0
	:: else
	fi
}
#endif

#define is_ready(d) (!inbox[d] && \
	((d) == 0 && !(is_deposed && deposed_age >= P) || \
	 (d) == 1 && !(is_restart_unknown && restart_age >= P)))

/* A daemon that isn't paused has processed all that was due, and ticks. */
inline tick(d) {
	if
	:: state[d] == UP && is_ready(d) ->
		if
		:: member_is_stalled(d) -> member_begin_incarnation(d)
		:: else
		fi;
		loop_age[d] = 1
	:: state[d] == UP ->
		loop_age[d] = (loop_age[d] <= H -> loop_age[d] + 1 : H + 1)
	:: state[d] == DOWN
	fi;
	if
	:: quiet_left[d] > 0 -> quiet_left[d]--
	:: else
	fi;
	if
	:: keep_left[d] > 0 -> keep_left[d]--
	:: keep_left[d] == 0 && (entry[d] == SENT || entry[d] == IMPORTED) ->
		entry[d] = NONE
	:: else
	fi
}

inline tick_all() {
	tick(0);
	tick(1);
	if
	:: loop_age[0] == 1 && loop_age[1] == 1 && state[0] == UP ->
		heard_age = 1
	:: view == LIVE && heard_age <= H -> heard_age++ /* lost */
	:: view != LIVE || heard_age > H
	fi;
	if
	:: is_deposed && deposed_age < P -> deposed_age++
	:: else
	fi;
	if
	:: is_restart_unknown && restart_age < P -> restart_age++
	:: else
	fi;
	if
	:: caller == CALLING && horizon > 0 -> horizon--
	:: caller == CALLING && horizon == 0 -> caller = OVER
	:: else
	fi
}

inline call(d) {
	if
	:: caller == BEFORE ->
		caller = CALLING;
		horizon = R;
		is_created_later[0] = quiet_left[0] + MINT_MARGIN <= Q;
		is_created_later[1] = quiet_left[1] + MINT_MARGIN <= Q
	:: else
	fi;
	inbox[d] = true
}

#ifdef MUTANT_MARK_AFTER_SEND
/* The connection breaks before the mark is set. */
#define DISPATCH(d) \
	:: atomic { state[d] == UP && entry[d] == WAITING && \
		!member_is_stalled(d) -> send(d); entry[d] = WAITING }
#else
#define DISPATCH(d) \
	:: atomic { state[d] == UP && entry[d] == WAITING -> \
		dedup_mark_dispatched(d) } \
	:: atomic { state[d] == UP && entry[d] == MARKED -> send(d) }
#endif

#define DAEMON(d) \
	:: atomic { state[d] != DOWN -> crash(d) } \
	:: atomic { state[d] == DOWN -> restart(d) } \
	/* A call arrives, or a copy of it. */ \
	:: atomic { caller != OVER && state[d] != DOWN && !inbox[d] -> \
		call(d) } \
	:: atomic { state[d] == UP && inbox[d] -> receive(d) } \
	DISPATCH(d) \
	/* Dropped before dispatch: deadline passed, or load was shed. */ \
	:: atomic { state[d] == UP && entry[d] == WAITING && \
		!member_is_stalled(d) -> \
		entry[d] = NONE; \
		answer_not_run() }

active proctype world() {
	if
	:: kind = KEY
	:: kind = TICKET
	fi;
	do
	:: atomic { is_over -> break }
	:: else ->
		if
		:: atomic { true -> tick_all() }
		DAEMON(0)
		DAEMON(1)
		/*
		 * A daemon of another zone that cannot reach the home zone
		 * answers `unknown`: an earlier call through a third zone
		 * may have run.
		 */
#ifdef MUTANT_FOREIGN_NOT_RUN
		:: atomic { caller == CALLING -> answer_not_run() }
#endif
		/* Declared dead: no heartbeat for H, and a new connection failed. */
		:: atomic { state[1] == UP && view == LIVE &&
			(state[0] == DOWN || loop_age[0] > 1) &&
			heard_age > H && !member_is_stalled(1) ->
			view = DEAD;
			heard_age = 1;
			newly_own(1);
			is_deposed = state[0] == UP;
			deposed_age = 0 }
		/* Daemon 0 learns that it was declared dead. */
		:: atomic { state[0] == UP && is_deposed ->
#ifdef MUTANT_RETURN_SAME_INCARNATION
			is_deposed = false;
			is_restart_unknown = true;
			restart_age = 0
#else
			member_begin_incarnation(0)
#endif
			}
		/* Daemon 1 learns of the new incarnation. */
		:: atomic { state[1] == UP && is_restart_unknown &&
			state[0] == UP ->
			is_restart_unknown = false;
			restart_age = 0;
#if defined(JOIN) && !defined(MUTANT_JOIN_AFTER_STALL)
			/* Other incarnations may have started and ended since. */
			if
			:: member_is_stalled(1) -> member_begin_incarnation(1)
			:: else
			fi;
#endif
#ifndef MUTANT_HAND_OVER_OLD_INCARNATION
			drop_hand_over();
#endif
#ifdef JOIN
#ifndef MUTANT_JOIN_NO_GAP
			/* What the previous incarnation ran is not known here. */
			if
			:: view == LIVE -> newly_own(1)
			:: else
			fi;
#endif
			join = kind == KEY;
			join_has_entry = entry[1] != NONE;
			join_quiet = quiet_left[1];
#endif
			view = LIVE;
			heard_age = 1 }
#ifdef JOIN
		:: atomic { state[0] == UP && join -> take_join() }
#endif
		/* Daemon 0 drains and hands over its key table. */
		:: atomic { state[0] == UP && !is_draining && kind == KEY &&
			!member_is_stalled(0) && view == LIVE &&
			state[1] != DOWN ->
			is_draining = true;
			hand_over = true;
			hand_over_has_entry = entry[0] != NONE;
			hand_over_is_quiet = is_quiet(0) }
		:: atomic { state[1] == UP && hand_over ->
			member_on_handed_over() }
		:: atomic { hand_over -> drop_hand_over() } /* lost */
		fi
	od
}
