/*
 * Who may dispatch a request: at most one dispatch of each request, and
 * never the answer `not-run` for a request that ran.
 *
 * Bounds: two daemons of one home zone, one request that is a caller's key
 * or a ticket, calls repeated through either daemon for R ticks. Times are
 * ages and countdowns that stop at their limits, so the search covers runs
 * of any length. A key with a mint time may do all that a plain key may,
 * since any call may end in `unknown`; so one kind stands for both. Daemon 0 comes first in the
 * rendezvous order, so daemon 1 owns the key only while it holds daemon 0
 * for dead or draining. Either daemon may pause at any time for any time,
 * crash and restart; daemon 0 may drain. Heartbeats, calls and forwarded
 * calls may be lost; a call waits in the socket of a paused daemon.
 *
 * Assumed: callers send no copy of a key later than R after the first, and
 * an awake daemon learns of a peer's change of view within P, since new
 * connections inside a zone work.
 *
 * Names match core/member.h and core/dedup.h. Each macro whose name
 * begins with MUTANT drops one rule; see README.md.
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
#define P 1 /* propagation of a change of view */
#endif
#define T (H + P) /* heartbeat timeout with propagation */
#ifndef D
#define D (2 * H) /* a copy may wait unread in two sockets */
#endif
#ifdef MUTANT_QUIET_SHORT
#define Q (R + T) /* leaves out the copies that wait unread */
#endif
#ifndef Q
#define Q (R + T + D) /* quiet period of newly owned keys */
#endif
#ifdef MUTANT_KEEP_SHORT
#define KEEP R /* leaves out the copies that wait unread */
#endif
#ifndef KEEP
#define KEEP (R + D) /* an ended request stays in the table */
#endif
#ifdef MUTANT_MINT_MARGIN_SHORT
#define MINT_MARGIN (T - 1)
#endif
#ifndef MINT_MARGIN
#define MINT_MARGIN T /* keys minted this long after the take-over run */
#endif

mtype = { KEY, TICKET };
mtype = { BEFORE, CALLING, OVER };
mtype = { UP, DOWN };
mtype = { NONE, QUEUED, MARKED, SENT, REMOTE };
mtype = { LIVE, DEAD, DRAINING };

mtype kind;
mtype caller = BEFORE; /* the first call is also the mint time */
byte horizon; /* ticks left in which the caller may repeat */
byte sent; /* dispatches so far */

mtype state[2] = UP;
mtype right[2] = NONE; /* the rights table's entry for the request */
byte keep_left[2]; /* of SENT and REMOTE */
bool inbox[2]; /* a copy of the call waits in the daemon's socket */
byte loop_age[2] = 1; /* ticks since its own last tick; 2 and more: paused */
byte quiet_left[2]; /* Q when the key becomes newly owned, then down */
bool minted_later[2]; /* the mint time is MINT_MARGIN after the take-over */

/* Daemon 1's view of daemon 0, and when it last heard it. */
mtype view = LIVE;
byte heard_age = 1;
bool is_deposed; /* daemon 0 does not know yet that it was called dead */
byte deposed_age;
bool is_returned; /* daemon 1 does not know yet of a new incarnation */
byte returned_age;
bool is_draining; /* daemon 0 */
bool hand_over; /* the hand-over is on its way to daemon 1 */
bool hand_over_is_quiet; /* daemon 0 was still quiet when it drained */
bool hand_over_has_right;
#ifdef JOIN
bool join; /* a hand-over is on its way to daemon 0 */
bool join_has_right;
byte join_quiet; /* what was left of the giver's own quiet period */
#endif
bool ticket_valid = true; /* the process that issued it, daemon 0, lives */

#ifdef MUTANT_NO_STALL_CHECK
#define member_is_stalled(d) false
#else
#define member_is_stalled(d) (loop_age[d] > H)
#endif
#define ran (sent > 0 || right[0] == MARKED || right[1] == MARKED)
#define is_owner(d) ((d) == 0 && (kind == TICKET || !is_draining) || \
		     (d) == 1 && kind != TICKET && view != LIVE)

#ifdef MUTANT_NO_QUIET
#define is_quiet(d) false
#else
#define is_quiet(d) (quiet_left[d] > 0)
#endif
/* Nothing can be dispatched any more. */
#define is_over (caller == OVER && !inbox[0] && !inbox[1] && \
		 right[0] != QUEUED && right[0] != MARKED && \
		 right[1] != QUEUED && right[1] != MARKED)

inline answer_not_run() {
	assert(!ran)
}

inline drop_hand_over() {
	hand_over = false;
	hand_over_has_right = false;
	hand_over_is_quiet = false
}

inline drop_join() {
#if defined(JOIN) && !defined(MUTANT_JOIN_OLD_INCARNATION)
	join = false;
	join_has_right = false;
	join_quiet = 0
#else
	skip
#endif
}

inline newly_own(d) {
	quiet_left[d] = Q;
	minted_later[d] = false
}

/* The undispatched right lapses and every key is newly owned. */
inline member_begin_incarnation(d) {
	if
	:: right[d] == QUEUED ->
		right[d] = NONE;
		answer_not_run()
	:: else
	fi;
	newly_own(d);
	loop_age[d] = 1;
#ifndef MUTANT_READ_AFTER_STALL
	/* A call that waited unread may be older than any horizon. */
	inbox[d] = false;
#endif
	if
	:: (d) == 0 ->
		is_deposed = false;
		deposed_age = 0;
		drop_join();
		if
		:: new_incarnation_matters && view != DRAINING &&
			!is_returned ->
			is_returned = true;
			returned_age = 0
		:: else
		fi
	:: else ->
#ifndef MUTANT_HAND_OVER_AFTER_STALL
		/* What waits on old links may be of any age. */
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
	minted_later[d] = false;
	right[d] = NONE;
	keep_left[d] = 0;
	inbox[d] = false;
	if
	:: (d) == 0 ->
		is_returned = false;
		returned_age = 0;
		is_deposed = false;
		deposed_age = 0;
		is_draining = false;
		ticket_valid = false;
		drop_join()
	:: else ->
		drop_hand_over();
		view = DEAD;
		heard_age = 1;
		is_returned = false;
		returned_age = 0;
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
		/* A peer that held it for draining hears the new incarnation. */
		if
		:: new_incarnation_matters ->
			is_returned = true;
			returned_age = 0
		:: else
		fi
	:: else ->
		/* It knows no peer yet, so it takes every key for its own. */
		is_returned = state[0] != DOWN;
		returned_age = 0
	fi
}

/* Looks up or makes the request's right for a call that came in. */
inline dedup_begin(d) {
	if
	:: kind == TICKET ->
		if
#ifdef MUTANT_TICKET_ANY_INCARNATION
		:: right[d] == NONE -> right[d] = QUEUED
#else
		:: right[d] == NONE && ticket_valid -> right[d] = QUEUED
#endif
		:: else /* joins, or `unknown` */
		fi
	:: else ->
		if
		:: right[d] != NONE /* joins, or the kept answer */
		:: right[d] == NONE && is_quiet(d) && !minted_later[d]
			/* `unknown` */
		:: right[d] == NONE && (!is_quiet(d) || minted_later[d]) ->
			if
			:: right[d] = QUEUED
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
		dedup_begin(d)
	:: else ->
		inbox[d] = false;
		if
		:: state[1 - (d)] != DOWN -> inbox[1 - (d)] = true
		:: true /* lost: `unknown` */
		fi
	fi
}

/* The mark precedes the first byte; a pause may come between the two. */
inline dedup_mark_dispatched(d) {
	if
	:: member_is_stalled(d) -> member_begin_incarnation(d)
	:: else -> right[d] = MARKED
	fi
}

inline send(d) {
	sent++;
	assert(sent <= 1);
	right[d] = SENT;
	keep_left[d] = KEEP
}

inline member_handed_over() {
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
		/* A table that is not complete proves nothing. */
		if
		:: !hand_over_is_quiet -> quiet_left[1] = 0
		:: else
		fi;
#endif
#ifndef MUTANT_HAND_OVER_NO_TABLE
		if
		:: hand_over_has_right && right[1] == NONE ->
			right[1] = REMOTE;
			keep_left[1] = KEEP
		:: else
		fi
#endif
	:: else
	fi;
	drop_hand_over()
}

#ifdef JOIN
/* Daemon 0 knows now what daemon 1 knew. */
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
		:: join_has_right && right[0] == NONE ->
			right[0] = REMOTE;
			keep_left[0] = KEEP
		:: else
		fi;
#endif
		join = false;
		join_has_right = false;
		join_quiet = 0
	:: else
	fi
}
#endif

#define is_ready(d) (!inbox[d] && \
	((d) == 0 && !(is_deposed && deposed_age >= P) || \
	 (d) == 1 && !(is_returned && returned_age >= P)))

/* A daemon that was awake has done what was due, and ticks. */
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
	:: keep_left[d] == 0 && (right[d] == SENT || right[d] == REMOTE) ->
		right[d] = NONE
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
	:: is_returned && returned_age < P -> returned_age++
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
		minted_later[0] = quiet_left[0] + MINT_MARGIN <= Q;
		minted_later[1] = quiet_left[1] + MINT_MARGIN <= Q
	:: else
	fi;
	inbox[d] = true
}

#ifdef MUTANT_MARK_AFTER_SEND
/* The connection breaks before the mark is set. */
#define DISPATCH(d) \
	:: atomic { state[d] == UP && right[d] == QUEUED && \
		!member_is_stalled(d) -> send(d); right[d] = QUEUED }
#else
#define DISPATCH(d) \
	:: atomic { state[d] == UP && right[d] == QUEUED -> \
		dedup_mark_dispatched(d) } \
	:: atomic { state[d] == UP && right[d] == MARKED -> send(d) }
#endif

#define DAEMON(d) \
	:: atomic { state[d] != DOWN -> crash(d) } \
	:: atomic { state[d] == DOWN -> restart(d) } \
	/* A call comes in, or a copy of it. */ \
	:: atomic { caller != OVER && state[d] != DOWN && !inbox[d] -> \
		call(d) } \
	:: atomic { state[d] == UP && inbox[d] -> receive(d) } \
	DISPATCH(d) \
	/* Given up on: deadline or shed. */ \
	:: atomic { state[d] == UP && right[d] == QUEUED && \
		!member_is_stalled(d) -> \
		right[d] = NONE; \
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
		/* No heartbeat for H, and a new connection fails too. */
		:: atomic { state[1] == UP && view == LIVE &&
			(state[0] == DOWN || loop_age[0] > 1) &&
			heard_age > H && !member_is_stalled(1) ->
			view = DEAD;
			heard_age = 1;
			newly_own(1);
			is_deposed = state[0] == UP;
			deposed_age = 0 }
		/* Daemon 0 learns that it was called dead. */
		:: atomic { state[0] == UP && is_deposed ->
#ifdef MUTANT_RETURN_SAME_INCARNATION
			is_deposed = false;
			is_returned = true;
			returned_age = 0
#else
			member_begin_incarnation(0)
#endif
			}
		/* Daemon 1 hears the new incarnation. */
		:: atomic { state[1] == UP && is_returned &&
			state[0] == UP ->
			is_returned = false;
			returned_age = 0;
#if defined(JOIN) && !defined(MUTANT_JOIN_AFTER_STALL)
			/* Incarnations may have come and gone meanwhile. */
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
			/* What the incarnation before ran is not known here. */
			if
			:: view == LIVE -> newly_own(1)
			:: else
			fi;
#endif
			join = kind == KEY;
			join_has_right = right[1] != NONE;
			join_quiet = quiet_left[1];
#endif
			view = LIVE;
			heard_age = 1 }
#ifdef JOIN
		:: atomic { state[0] == UP && join -> take_join() }
#endif
		/* Daemon 0 drains and hands its key table over. */
		:: atomic { state[0] == UP && !is_draining && kind == KEY &&
			!member_is_stalled(0) && view == LIVE &&
			state[1] != DOWN ->
			is_draining = true;
			hand_over = true;
			hand_over_has_right = right[0] != NONE;
			hand_over_is_quiet = is_quiet(0) }
		:: atomic { state[1] == UP && hand_over ->
			member_handed_over() }
		:: atomic { hand_over -> drop_hand_over() } /* lost */
		fi
	od
}
