/*
 * Hand-over of the key table when daemons leave and join: a key that may have
 * been dispatched is never treated as one that was not.
 *
 * Bounds: three daemons of a zone and one key whose rendezvous order is daemon
 * 0, 1, 2. Initially daemons 1 and 2 are up and know each other and all
 * dispatches; daemon 0 has never run. There are CHANGES starts and drains in
 * total, and CRASHES crashes, each of any daemon at any time. Heartbeats and
 * hand-overs may be delayed by any time or lost; between one sender and one
 * receiver at most one hand-over is in transit.
 *
 * The model has no time: the hold-off period ("quiet" in names) never ends,
 * which is the worst case of a caller that repeats the key within the retry
 * horizon. So a daemon may run the key only if it knows that no other daemon
 * did. dispatch_right.pml checks how long the hold-off period must be.
 *
 * Assumptions, checked there as well: a daemon is declared dead only if it is,
 * and a daemon that stalled drops the messages that it had not read.
 *
 * Names follow core/member.h and core/handover.h. Each macro whose name begins
 * with MUTANT drops one rule; see README.md.
 */
#define N 3
#ifndef CHANGES
#define CHANGES 2
#endif
#ifndef CRASHES
#define CRASHES 2
#endif
#define at(d, e) ((d) * N + (e))
#define bit(e) (1 << (e))

mtype = { UNHEARD, LIVE, DRAINING, DEAD };

byte sent; /* dispatches of the key */
byte changes = CHANGES;
byte crashes = CRASHES;

bool up[N];
byte incarnation[N];
bool is_draining[N];
bool is_new[N]; /* its start is a gap: it is in the hold-off period */
bool has_key[N]; /* in its key table */

/* Daemon d's view of daemon e. */
mtype state[9] = UNHEARD;
byte heard[9]; /* incarnation in the last heartbeat */
bool has_handed_over[9];
bool gap[9]; /* e may have run the key without d's knowledge */

/*
 * d accepted the hand-over of a draining daemon that knew e too and so owes e
 * its keys itself: the incarnation of that daemon, by its number.
 */
byte owed_0[9], owed_1[9], owed_2[9];
byte owed_to[9]; /* e's incarnation in that daemon's view */

/* The last part of a hand-over from d to e. */
bool part[9];
bool part_leaving[9], part_has_key[9];
byte part_from[9], part_to[9]; /* incarnations */
byte part_members[9]; /* bits */
byte part_member_0[9], part_member_1[9], part_member_2[9];
byte part_gaps[9]; /* bits */
byte part_owed_0[9], part_owed_1[9], part_owed_2[9]; /* incarnations */

/* The hand-over that d accepted from e. */
byte accepted[9]; /* e's incarnation; 0: none accepted */
byte seen[9]; /* the members in e's view, bits */
byte seen_0[9], seen_1[9], seen_2[9];
bool is_established[9]; /* e had joined before it handed over */
/* Incarnations of the daemons that owe d its keys, by e's hand-over. */
byte due_0[9], due_1[9], due_2[9];
bool has_reported_gap[N]; /* a sender reported a gap */

byte i;

#define is_present(d, e) (state[at(d, e)] == LIVE || \
			  state[at(d, e)] == DRAINING)
#define member_is_candidate(d, e) ((d) == (e) && !is_draining[d] || \
				   (d) != (e) && state[at(d, e)] == LIVE)
#define known_incarnation(d, e) ((d) == (e) -> incarnation[d] : \
				 heard[at(d, e)])
#define member_mask(d) \
	((member_is_candidate(d, 0) -> 1 : 0) + \
	 (member_is_candidate(d, 1) -> 2 : 0) + \
	 (member_is_candidate(d, 2) -> 4 : 0))
#define member_incarnation(d, e) \
	(member_is_candidate(d, e) -> known_incarnation(d, e) : 0)

/* e is before d in the rendezvous order. */
#define precedes(e, d) ((e) < (d))
#define is_owner(d) (!is_draining[d] && \
	!(precedes(0, d) && (d) != 0 && member_is_candidate(d, 0)) && \
	!(precedes(1, d) && (d) != 1 && member_is_candidate(d, 1)))

#define key_owner(d, e) (member_is_candidate(d, e) && \
	((e) == 0 || !member_is_candidate(d, 0)) && \
	((e) != 2 || !member_is_candidate(d, 1)))

/* e may have dispatched its keys without d's knowledge. */
#define member_gap(d, e) (gap[at(d, e)] || \
	state[at(d, e)] == DRAINING && !has_handed_over[at(d, e)])
#define causes_holdoff(d, e) (precedes(e, d) && (d) != (e) && \
		      !member_is_candidate(d, e) && member_gap(d, e))
#define is_quiet(d) (is_new[d] || causes_holdoff(d, 0) || causes_holdoff(d, 1))

inline depart(d, e) {
	if
	:: has_handed_over[at(d, e)]
	:: else -> gap[at(d, e)] = true
	fi
}

inline member_on_heartbeat(d, e) {
	if
	:: state[at(d, e)] == UNHEARD || state[at(d, e)] == DEAD ||
	   heard[at(d, e)] != incarnation[e] ->
#ifndef MUTANT_RESTART_LEAVES_NO_GAP
		if
		:: is_present(d, e) -> depart(d, e)
		:: else
		fi;
#endif
		heard[at(d, e)] = incarnation[e];
		has_handed_over[at(d, e)] = false;
		state[at(d, e)] = LIVE
	:: else
	fi;
	if
	:: is_draining[e] && state[at(d, e)] == LIVE ->
		state[at(d, e)] = DRAINING;
		has_handed_over[at(d, e)] = false
	:: else
	fi
}

inline send_keys(d, e) {
	part[at(d, e)] = true;
	part_leaving[at(d, e)] = is_draining[d];
	/* The key is sent only to its owner in the sender's view. */
	part_has_key[at(d, e)] = has_key[d] && key_owner(d, e);
	part_from[at(d, e)] = incarnation[d];
	part_to[at(d, e)] = heard[at(d, e)];
	part_members[at(d, e)] = member_mask(d);
	part_member_0[at(d, e)] = member_incarnation(d, 0);
	part_member_1[at(d, e)] = member_incarnation(d, 1);
	part_member_2[at(d, e)] = member_incarnation(d, 2);
#ifndef MUTANT_SHARES_NOT_OWED
	if
	:: owed_to[at(d, e)] == heard[at(d, e)] ->
		part_owed_0[at(d, e)] = owed_0[at(d, e)];
		part_owed_1[at(d, e)] = owed_1[at(d, e)];
		part_owed_2[at(d, e)] = owed_2[at(d, e)]
	:: else
	fi;
#endif
	part_gaps[at(d, e)] =
		(is_new[d] -> bit(d) : 0) +
		((d) != 0 && member_gap(d, 0) -> 1 : 0) +
		((d) != 1 && member_gap(d, 1) -> 2 : 0) +
		((d) != 2 && member_gap(d, 2) -> 4 : 0)
}

inline drop_part(d, e) {
	part[at(d, e)] = false;
	part_leaving[at(d, e)] = false;
	part_has_key[at(d, e)] = false;
	part_from[at(d, e)] = 0;
	part_to[at(d, e)] = 0;
	part_members[at(d, e)] = 0;
	part_member_0[at(d, e)] = 0;
	part_member_1[at(d, e)] = 0;
	part_member_2[at(d, e)] = 0;
	part_gaps[at(d, e)] = 0;
	part_owed_0[at(d, e)] = 0;
	part_owed_1[at(d, e)] = 0;
	part_owed_2[at(d, e)] = 0
}

/* d's view of member e is the same as in the hand-over from g. */
#define same_member(d, g, e, value) ((e) == (g) || \
	(value) == member_incarnation(d, e))

#ifdef MUTANT_VIEWS_NOT_COMPARED
#define is_same_view(d, g) true
#else
#define is_same_view(d, g) \
	(same_member(d, g, 0, part_member_0[at(g, d)]) && \
	 same_member(d, g, 1, part_member_1[at(g, d)]) && \
	 same_member(d, g, 2, part_member_2[at(g, d)]))
#endif

inline add_gap(d, e) {
	if
	:: (d) == (e) -> is_new[d] = true
	:: else -> gap[at(d, e)] = true
	fi
}

/* The draining daemon g knew e, so g itself hands e's keys over to e. */
inline note_owed(d, g, e, value) {
	if
	:: (e) != (d) && (value) != 0 ->
		if
		:: owed_to[at(d, e)] != (value) ->
			owed_to[at(d, e)] = value;
			owed_0[at(d, e)] = 0;
			owed_1[at(d, e)] = 0;
			owed_2[at(d, e)] = 0
		:: else
		fi;
		if
		:: (g) == 0 -> owed_0[at(d, e)] = part_from[at(g, d)]
		:: (g) == 1 -> owed_1[at(d, e)] = part_from[at(g, d)]
		:: (g) == 2 -> owed_2[at(d, e)] = part_from[at(g, d)]
		fi
	:: else
	fi
}

/* Adds the sender's own gap and those that it knows of. */
inline accept_leaving(d, g) {
	note_owed(d, g, 0, part_member_0[at(g, d)]);
	note_owed(d, g, 1, part_member_1[at(g, d)]);
	note_owed(d, g, 2, part_member_2[at(g, d)]);
	for (i : 0 .. N - 1) {
		if
		:: part_gaps[at(g, d)] & bit(i) -> add_gap(d, i)
		:: else
		fi
	}
	has_handed_over[at(d, g)] = true;
	state[at(d, g)] = DRAINING
}

inline accept_source(d, g) {
	accepted[at(d, g)] = part_from[at(g, d)];
	seen[at(d, g)] = part_members[at(g, d)];
	seen_0[at(d, g)] = part_member_0[at(g, d)];
	seen_1[at(d, g)] = part_member_1[at(g, d)];
	seen_2[at(d, g)] = part_member_2[at(g, d)];
	due_0[at(d, g)] = part_owed_0[at(g, d)];
	due_1[at(d, g)] = part_owed_1[at(g, d)];
	due_2[at(d, g)] = part_owed_2[at(g, d)];
	/*
	 * A sender that is new itself has dispatched nothing yet. Earlier
	 * dispatches are reported by the daemons that it waits for; the
	 * receiver then waits for them too.
	 */
#ifndef MUTANT_JOIN_WITHOUT_GAPS
	if
	:: (part_gaps[at(g, d)] & (7 - bit(g))) != 0 -> has_reported_gap[d] = true
	:: else
	fi;
#endif
#ifndef MUTANT_JOIN_AMONG_NEW
	is_established[at(d, g)] = (part_gaps[at(g, d)] & bit(g)) == 0
#else
	is_established[at(d, g)] = true
#endif
}

#define is_accepted(d, e, value) ((value) == 0 || \
	(d) == (e) && (value) == incarnation[d] || \
	(d) != (e) && accepted[at(d, e)] == (value))

#ifdef MUTANT_NOT_CLOSED
#define is_closed(d, g) true
#else
#define is_closed(d, g) (accepted[at(d, g)] == 0 || \
	(seen[at(d, g)] & bit(d)) && \
	is_accepted(d, 0, seen_0[at(d, g)]) && \
	is_accepted(d, 1, seen_1[at(d, g)]) && \
	is_accepted(d, 2, seen_2[at(d, g)]) && \
	is_accepted(d, 0, due_0[at(d, g)]) && \
	is_accepted(d, 1, due_1[at(d, g)]) && \
	is_accepted(d, 2, due_2[at(d, g)]))
#endif
#define is_awaited(d, e) ((d) != (e) && member_is_candidate(d, e) && \
			  accepted[at(d, e)] != heard[at(d, e)])
#ifdef MUTANT_JOINS_ALONE
#define has_giver(d) true
#else
#define has_giver(d) (is_established[at(d, 0)] || is_established[at(d, 1)] || \
		      is_established[at(d, 2)])
#endif

/* Clears what is no longer used, to keep the search small. */
inline forget_source(d, e) {
	accepted[at(d, e)] = 0;
	is_established[at(d, e)] = false;
	seen[at(d, e)] = 0;
	seen_0[at(d, e)] = 0;
	seen_1[at(d, e)] = 0;
	seen_2[at(d, e)] = 0;
	due_0[at(d, e)] = 0;
	due_1[at(d, e)] = 0;
	due_2[at(d, e)] = 0
}

/* Ends the hold-off since the daemon's start, unless a gap was reported. */
inline try_join(d) {
	if
	:: is_new[d] && !has_reported_gap[d] && has_giver(d) &&
	   !is_awaited(d, 0) && !is_awaited(d, 1) && !is_awaited(d, 2) &&
	   is_closed(d, 0) && is_closed(d, 1) && is_closed(d, 2) ->
		is_new[d] = false;
		for (i : 0 .. N - 1) {
			forget_source(d, i)
		}
	:: else
	fi
}

inline receive(d, g) {
	if
	:: part_to[at(g, d)] == incarnation[d] &&
	   part_from[at(g, d)] == heard[at(d, g)] && is_present(d, g) ->
#ifndef MUTANT_NO_TABLE
		if
		:: part_has_key[at(g, d)] -> has_key[d] = true
		:: else
		fi;
#endif
		if
		:: part_leaving[at(g, d)] && !is_same_view(d, g)
		:: else ->
			if
			:: is_new[d] -> accept_source(d, g)
			:: else
			fi;
			if
			:: part_leaving[at(g, d)] -> accept_leaving(d, g)
			:: else
			fi;
			try_join(d)
		fi
	:: else
	fi;
	drop_part(g, d)
}

inline forget(d, e) {
	state[at(d, e)] = UNHEARD;
	heard[at(d, e)] = 0;
	has_handed_over[at(d, e)] = false;
	gap[at(d, e)] = false;
	forget_source(d, e);
	owed_to[at(d, e)] = 0;
	owed_0[at(d, e)] = 0;
	owed_1[at(d, e)] = 0;
	owed_2[at(d, e)] = 0;
	drop_part(e, d)
}

inline crash(d) {
	crashes--;
	up[d] = false;
	is_draining[d] = false;
	is_new[d] = false;
	has_key[d] = false;
	has_reported_gap[d] = false;
	for (i : 0 .. N - 1) {
		forget(d, i)
	}
}

inline start(d) {
	changes--;
	up[d] = true;
	incarnation[d]++;
	is_new[d] = true
}

/* The owner runs the key, knowing that no other daemon did. */
inline claim(d) {
	has_key[d] = true;
	sent++;
	assert(sent <= 1)
}

#ifdef MUTANT_DRAINING_CLAIMS
#define may_claim(d) ((is_owner(d) || is_draining[d]) && \
		      !has_key[d] && !is_quiet(d))
#else
#define may_claim(d) (is_owner(d) && !has_key[d] && !is_quiet(d))
#endif

/* Other hand-overs never arrive, or change nothing at the receiver. */
#define has_effect(d, e) (up[e] && incarnation[e] == heard[at(d, e)] && \
			 (is_draining[d] || is_new[e]))

#define PAIR(d, e) \
	:: atomic { up[d] && up[e] -> member_on_heartbeat(d, e) } \
	:: atomic { up[d] && is_present(d, e) && \
		(!up[e] || incarnation[e] != heard[at(d, e)]) -> \
		state[at(d, e)] = DEAD; depart(d, e) } \
	:: atomic { up[d] && state[at(d, e)] == LIVE && !part[at(d, e)] && \
		has_effect(d, e) -> send_keys(d, e) } \
	:: atomic { part[at(d, e)] -> drop_part(d, e) } /* lost */ \
	:: atomic { up[e] && part[at(d, e)] -> receive(e, d) }

#define DAEMON(d) \
	:: atomic { up[d] && crashes > 0 -> crash(d) } \
	:: atomic { !up[d] && changes > 0 -> start(d) } \
	:: atomic { up[d] && !is_draining[d] && changes > 0 -> \
		changes--; is_draining[d] = true } \
	:: atomic { up[d] && is_new[d] -> try_join(d) } \
	:: atomic { up[d] && may_claim(d) -> claim(d) }

init {
	atomic {
		up[1] = true;
		up[2] = true;
		incarnation[1] = 1;
		incarnation[2] = 1;
		state[at(1, 2)] = LIVE;
		heard[at(1, 2)] = 1;
		state[at(2, 1)] = LIVE;
		heard[at(2, 1)] = 1
	}
end:
	do
	DAEMON(0)
	DAEMON(1)
	DAEMON(2)
	PAIR(0, 1)
	PAIR(0, 2)
	PAIR(1, 0)
	PAIR(1, 2)
	PAIR(2, 0)
	PAIR(2, 1)
	od
}
