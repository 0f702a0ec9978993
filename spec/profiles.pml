/*
 * Publishing profiles and replaying them from the log: only one of several
 * concurrent publications wins, no daemon ever goes back to an older version,
 * and a publication that was reported to its operator as accepted is in force
 * in every zone and stays so.
 *
 * Bounds: one document, two zones with a daemon each, PUBLICATIONS by
 * concurrent operators and one snapshot, LOG_MAX records. Daemons crash at any
 * time and restart with empty state. A log outage or a network partition is a
 * reader that does not read, or an append that has not taken effect yet. An
 * append may take effect at any time after it was sent, or never, and its
 * answer is always lost. Records expire at any time, oldest first. The snapshot
 * is appended at any time after it was written. A relay between daemons takes
 * one step and may break after the documents.
 *
 * Names follow core/config_docs.h. Each macro whose name begins with MUTANT
 * drops one rule; see README.md.
 */
#ifndef PUBLICATIONS
#define PUBLICATIONS 2
#endif
#ifndef LOG_MAX
#define LOG_MAX (PUBLICATIONS + 1)
#endif
#define NO_OFFSET 15

mtype = { PUBLISH, SNAPSHOT };
mtype = { IDLE, IN_FLIGHT, LOGGED };
mtype = { PENDING, ACCEPTED, SUPERSEDED, OVERTAKEN, FAILED };

/* The log. */
byte log_next;
byte oldest;
mtype record_type[LOG_MAX];
byte record_base[LOG_MAX]; /* PUBLISH: base; SNAPSHOT: as_of */
byte record_nonce[LOG_MAX]; /* PUBLISH: number of the publication */

/* The state of a reader that has read every record; only for assertions. */
byte true_version;
byte true_offset[PUBLICATIONS + 1] = NO_OFFSET; /* of each version */
bool has_won[PUBLICATIONS];

/* Publications; the index is the nonce. */
mtype publication[PUBLICATIONS] = IDLE;
byte publication_base[PUBLICATIONS];
mtype verdict[PUBLICATIONS] = PENDING; /* as the operator's tool saw it */
byte confirmed_version; /* newest version that was reported as accepted */

/* The snapshot; its writer may pause before it appends it. */
mtype snapshot = IDLE;
byte snapshot_as_of;
byte snapshot_version;
byte snapshot_offset;

/* The replayed state of each daemon. */
bool is_ready[2]; /* serves requests under its documents */
bool is_complete[2]; /* there is no gap */
byte next[2]; /* next offset to read */
byte gap_end[2]; /* first offset after the gap; 0: no gap */
byte version[2];
byte offset[2] = NO_OFFSET;
byte deferred[2]; /* bits: offsets of publications that were read after a gap */

byte i; /* scratch */

/* Versions only increase; a version is the same publication everywhere. */
inline put_doc(d, v, o) {
	assert(v >= version[d]);
	assert(true_offset[v] == o);
	version[d] = v;
	offset[d] = o
}

/* Clears what is no longer used, to keep the search small. */
inline forget(p) {
	verdict[p] = OVERTAKEN;
	has_won[p] = false;
	publication_base[p] = 0
}

/* The operators' tools use the verdicts of daemon 1. */
inline set_verdict(d, o, v) {
	if
	:: (d) == 1 && verdict[record_nonce[o]] == PENDING ->
		verdict[record_nonce[o]] = v;
		if
		:: v == OVERTAKEN -> forget(record_nonce[o])
		:: else
		fi
	:: else
	fi
}

#ifdef MUTANT_RELAYED_JUDGED_BY_BASE
#define stands(d, o) false
#else
/* A relayed document already includes the effect of this record. */
#define stands(d, o) (offset[d] != NO_OFFSET && o <= offset[d])
#endif

#ifdef MUTANT_BASE_IGNORED
#define fits_base(d, o) true
#else
#define fits_base(d, o) (record_base[o] == version[d])
#endif

inline apply_publication(d, o) {
	if
	:: stands(d, o) && o == offset[d] -> set_verdict(d, o, ACCEPTED)
	:: stands(d, o) && o < offset[d] ->
		/* It lost, or won and was replaced: that can't be told apart. */
#ifdef MUTANT_OVERTAKEN_IS_SUPERSEDED
		set_verdict(d, o, SUPERSEDED)
#else
		set_verdict(d, o, OVERTAKEN)
#endif
	:: !stands(d, o) && fits_base(d, o) ->
		put_doc(d, version[d] + 1, o);
		set_verdict(d, o, ACCEPTED)
	:: !stands(d, o) && !fits_base(d, o) -> set_verdict(d, o, SUPERSEDED)
	fi
}

inline close_gap(d, as_of) {
	is_complete[d] = true;
	gap_end[d] = 0;
	i = as_of;
	do
	:: i < LOG_MAX && (deferred[d] & (1 << i)) -> apply_publication(d, i); i++
	:: i < LOG_MAX && !(deferred[d] & (1 << i)) -> i++
	:: i >= LOG_MAX -> break
	od;
	deferred[d] = 0;
	i = 0
}

/* A snapshot must cover all records that this reader can no longer read. */
#ifdef MUTANT_SNAPSHOT_LATE
#define covers_gap(d, o) true
#else
#define covers_gap(d, o) (record_base[o] >= oldest && \
			  record_base[o] >= gap_end[d])
#endif

inline fold_snapshot(d, o) {
	if
	:: !is_complete[d] && covers_gap(d, o) ->
		if
#ifdef MUTANT_SNAPSHOT_LOWERS
		:: snapshot_version > 0 ->
#else
		:: snapshot_version > version[d] ->
#endif
			put_doc(d, snapshot_version, snapshot_offset)
		:: else
		fi;
		close_gap(d, record_base[o])
	:: else /* ignored */
	fi
}

/* Opens a gap if records expired before this daemon read them. */
inline open_gap(d) {
	if
	:: oldest > next[d] ->
#ifndef MUTANT_GAP_IGNORED
		is_complete[d] = false;
#endif
		next[d] = oldest;
		gap_end[d] = (is_complete[d] -> 0 : oldest);
		deferred[d] = 0
	:: else
	fi
}

inline config_docs_apply(d) {
	open_gap(d);
	if
	:: next[d] < log_next ->
		if
		:: record_type[next[d]] == SNAPSHOT ->
			fold_snapshot(d, next[d])
		:: record_type[next[d]] == PUBLISH && is_complete[d] ->
			apply_publication(d, next[d])
		:: else ->
			/* A reader with a gap can't compare its base. */
#ifdef MUTANT_FOLD_IN_GAP
			apply_publication(d, next[d])
#else
			deferred[d] = deferred[d] | (1 << next[d])
#endif
		fi;
		next[d]++
	:: else
	fi
}

/* Daemon D takes over the documents of daemon E. */
inline config_docs_add_relayed(d, e) {
	if
#ifdef MUTANT_RELAY_LOWERS
	:: version[e] > 0 && version[e] != version[d] ->
#else
	:: version[e] > version[d] ->
#endif
		put_doc(d, version[e], offset[e])
	:: else
	fi;
	if
	:: config_docs_end_relay(d, e)
#ifndef WHOLE_RELAYS
	:: true /* the link broke after the documents */
#endif
	fi
}

inline config_docs_end_relay(d, e) {
	if
#ifdef MUTANT_RELAY_FROM_GAP
	:: true ->
#else
	:: is_complete[e] ->
#endif
		if
		:: !is_complete[d] && next[e] >= gap_end[d] ->
			close_gap(d, next[e])
		:: else
		fi;
		if
		:: is_complete[d] && next[e] > next[d] ->
			next[d] = next[e]
		:: else
		fi
	:: else
	fi;
	/* A peer that isn't ready itself may have outdated documents. */
	if
#ifdef MUTANT_READY_BY_UNREADY_PEER
	:: true -> set_ready(d)
#else
	:: is_ready[e] -> set_ready(d)
	:: else
#endif
	fi
}

inline set_ready(d) {
	is_ready[d] = true;
	assert(version[d] >= confirmed_version)
}

/* The daemon crashes and is replaced by one with empty state. */
inline restart(d) {
	is_ready[d] = false;
	is_complete[d] = true;
	next[d] = 0;
	gap_end[d] = 0;
	version[d] = 0;
	offset[d] = NO_OFFSET;
	deferred[d] = 0
}

inline append_publication(p) {
	record_type[log_next] = PUBLISH;
	record_base[log_next] = publication_base[p];
	record_nonce[log_next] = p;
	if
	:: publication_base[p] == true_version ->
		true_version++;
		true_offset[true_version] = log_next;
		has_won[p] = true
	:: else
	fi;
	publication[p] = LOGGED;
	log_next++
}

inline append_snapshot() {
	record_type[log_next] = SNAPSHOT;
	record_base[log_next] = snapshot_as_of;
	snapshot = LOGGED;
	snapshot_as_of = 0;
	log_next++
}

/* Removes the oldest record, and clears what can't be read any more. */
inline expire() {
	if
	:: (deferred[0] & (1 << oldest)) || (deferred[1] & (1 << oldest))
	:: else ->
		if
		:: record_type[oldest] == SNAPSHOT ->
			snapshot_version = 0;
			snapshot_offset = 0
		:: else
		fi;
		record_type[oldest] = 0;
		record_base[oldest] = 0;
		record_nonce[oldest] = 0
	fi;
	oldest++
}

#define own_version(p) (publication_base[p] + 1)
#define in_force(d, p) (is_ready[d] && version[d] >= own_version(p))

/* The operator reads the version at one of the daemons and publishes. */
#define PUBLICATION(p, is_next) \
	:: atomic { publication[p] == IDLE && is_next && is_ready[0] -> \
		publication_base[p] = version[0]; \
		publication[p] = IN_FLIGHT } \
	:: atomic { publication[p] == IDLE && is_next && is_ready[1] && \
		version[0] != version[1] -> \
		publication_base[p] = version[1]; \
		publication[p] = IN_FLIGHT } \
	:: atomic { publication[p] == IN_FLIGHT && log_next < LOG_MAX -> \
		append_publication(p) } \
	LOST(p) \
	/* The result that is reported to the operator. */ \
	:: atomic { verdict[p] == ACCEPTED && EVERYWHERE(p) -> \
		assert(has_won[p]); \
		confirmed_version = (own_version(p) > confirmed_version -> \
				own_version(p) : confirmed_version); \
		assert(!is_ready[0] || version[0] >= confirmed_version); \
		assert(!is_ready[1] || version[1] >= confirmed_version); \
		forget(p) } \
	:: atomic { verdict[p] == SUPERSEDED -> \
		assert(!has_won[p]); \
		forget(p) }

#ifdef MUTANT_ACCEPTED_EARLY
#define EVERYWHERE(p) (in_force(0, p) || in_force(1, p))
#else
#define EVERYWHERE(p) (in_force(0, p) && in_force(1, p))
#endif

/* An append's answer is lost: only its nonce in the log shows the result. */
#ifdef MUTANT_LOST_IS_FAILED
#define LOST(p) \
	:: atomic { publication[p] != IDLE && verdict[p] == PENDING -> \
		verdict[p] = FAILED } \
	:: atomic { verdict[p] == FAILED && has_won[p] -> assert(false) }
#else
#define LOST(p)
#endif

#ifdef MUTANT_READY_BEFORE_END
#define has_read_all(d) true
#else
#define has_read_all(d) (is_complete[d] && next[d] == log_next)
#endif

#define DAEMON(d) \
	:: atomic { restart(d) } \
	:: atomic { next[d] < log_next || next[d] < oldest -> \
		config_docs_apply(d) } \
	:: atomic { true -> config_docs_add_relayed(d, 1 - d) } \
	:: atomic { !is_ready[d] && has_read_all(d) -> set_ready(d) } \
	:: atomic { is_ready[d] && is_complete[d] && snapshot == IDLE && \
		next[d] > 0 -> \
		snapshot = IN_FLIGHT; \
		snapshot_as_of = next[d]; \
		snapshot_version = version[d]; \
		snapshot_offset = offset[d] }

active proctype world() {
	/* The log is empty and the first daemons have read it. */
	atomic {
		restart(0);
		restart(1);
		is_ready[0] = true;
		is_ready[1] = true
	}
	do
	DAEMON(0)
	DAEMON(1)
	PUBLICATION(0, true)
	PUBLICATION(1, publication[0] != IDLE)
#if PUBLICATIONS > 2
	PUBLICATION(2, publication[1] != IDLE)
#endif
	:: atomic { snapshot == IN_FLIGHT && log_next < LOG_MAX ->
		append_snapshot() }
	:: atomic { oldest < log_next -> expire() }
	od
}
