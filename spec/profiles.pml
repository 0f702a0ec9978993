/*
 * Publishing and folding profiles: one winner among racing publications, no
 * daemon ever in an older version, and a publication that its operator was
 * told is accepted is in force everywhere and stays so.
 *
 * Bounds: one document, two zones with a daemon each, PUBLICATIONS by racing
 * operators and one snapshot, LOG_MAX records. Daemons crash and start anew
 * with nothing at any time. A log outage or a cut is a reader that does not
 * read, or an append that has not taken effect yet; an append may take
 * effect at any time after it was sent, or never, and its answer is always
 * lost. Records expire at any time, oldest first. The snapshot is appended
 * any time after it was written. A relay between daemons takes one step and
 * may break after the documents.
 *
 * Names match core/config_docs.h. Each macro whose name begins with MUTANT
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
byte record_nonce[LOG_MAX]; /* PUBLISH: who published */

/* What a reader of every record would know, for the assertions only. */
byte true_version;
byte true_offset[PUBLICATIONS + 1] = NO_OFFSET; /* of each version */
bool has_won[PUBLICATIONS];

/* Publications; each is known by its nonce. */
mtype publication[PUBLICATIONS] = IDLE;
byte publication_base[PUBLICATIONS];
mtype judged[PUBLICATIONS] = PENDING; /* as the operator's tool saw it */
byte told_version; /* newest version that was told to be accepted */

/* The snapshot; its writer may pause before it appends it. */
mtype snapshot = IDLE;
byte snapshot_as_of;
byte snapshot_version;
byte snapshot_offset;

/* The fold of each daemon. */
bool is_ready[2]; /* serves requests under its documents */
bool is_whole[2];
byte next[2];
byte run_start[2];
byte version[2];
byte offset[2] = NO_OFFSET;
byte held[2]; /* a bit for each offset that was read past a gap */

byte i; /* scratch */

/* Versions only grow, and a version names one publication everywhere. */
inline put_doc(d, v, o) {
	assert(v >= version[d]);
	assert(true_offset[v] == o);
	version[d] = v;
	offset[d] = o
}

/* What matters no more is no part of the state. */
inline forget(p) {
	judged[p] = OVERTAKEN;
	has_won[p] = false;
	publication_base[p] = 0
}

/* The operators' tools follow the verdicts of daemon 1. */
inline judge(d, o, v) {
	if
	:: (d) == 1 && judged[record_nonce[o]] == PENDING ->
		judged[record_nonce[o]] = v;
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
/* A relayed document may already stand for this record. */
#define stands(d, o) (offset[d] != NO_OFFSET && o <= offset[d])
#endif

#ifdef MUTANT_BASE_IGNORED
#define fits_base(d, o) true
#else
#define fits_base(d, o) (record_base[o] == version[d])
#endif

inline fold_publish(d, o) {
	if
	:: stands(d, o) && o == offset[d] -> judge(d, o, ACCEPTED)
	:: stands(d, o) && o < offset[d] ->
		/* It lost, or it won and was replaced: one cannot tell. */
#ifdef MUTANT_OVERTAKEN_IS_SUPERSEDED
		judge(d, o, SUPERSEDED)
#else
		judge(d, o, OVERTAKEN)
#endif
	:: !stands(d, o) && fits_base(d, o) ->
		put_doc(d, version[d] + 1, o);
		judge(d, o, ACCEPTED)
	:: !stands(d, o) && !fits_base(d, o) -> judge(d, o, SUPERSEDED)
	fi
}

inline close_gap(d, as_of) {
	is_whole[d] = true;
	run_start[d] = 0;
	i = as_of;
	do
	:: i < LOG_MAX && (held[d] & (1 << i)) -> fold_publish(d, i); i++
	:: i < LOG_MAX && !(held[d] & (1 << i)) -> i++
	:: i >= LOG_MAX -> break
	od;
	held[d] = 0;
	i = 0
}

/* A snapshot must cover all that this reader cannot read any more. */
#ifdef MUTANT_SNAPSHOT_LATE
#define covers_gap(d, o) true
#else
#define covers_gap(d, o) (record_base[o] >= oldest && \
			  record_base[o] >= run_start[d])
#endif

inline fold_snapshot(d, o) {
	if
	:: !is_whole[d] && covers_gap(d, o) ->
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
	:: else /* passed */
	fi
}

/* Records before the oldest were never read, and cannot be any more. */
inline open_gap(d) {
	if
	:: oldest > next[d] ->
#ifndef MUTANT_GAP_IGNORED
		is_whole[d] = false;
#endif
		next[d] = oldest;
		run_start[d] = (is_whole[d] -> 0 : oldest);
		held[d] = 0
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
		:: record_type[next[d]] == PUBLISH && is_whole[d] ->
			fold_publish(d, next[d])
		:: else ->
			/* Its base means nothing to a reader with a gap. */
#ifdef MUTANT_FOLD_IN_GAP
			fold_publish(d, next[d])
#else
			held[d] = held[d] | (1 << next[d])
#endif
		fi;
		next[d]++
	:: else
	fi
}

/* Daemon D takes what daemon E knows. */
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
	:: config_docs_note_relayed(d, e)
#ifndef WHOLE_RELAYS
	:: true /* the link broke after the documents */
#endif
	fi
}

inline config_docs_note_relayed(d, e) {
	if
#ifdef MUTANT_RELAY_FROM_GAP
	:: true ->
#else
	:: is_whole[e] ->
#endif
		if
		:: !is_whole[d] && next[e] >= run_start[d] ->
			close_gap(d, next[e])
		:: else
		fi;
		if
		:: is_whole[d] && next[e] > next[d] ->
			next[d] = next[e]
		:: else
		fi
	:: else
	fi;
	/* A peer that is starting itself knows nothing that counts. */
	if
#ifdef MUTANT_READY_BY_UNREADY_PEER
	:: true -> be_ready(d)
#else
	:: is_ready[e] -> be_ready(d)
	:: else
#endif
	fi
}

inline be_ready(d) {
	is_ready[d] = true;
	assert(version[d] >= told_version)
}

/* It crashes, and a new daemon starts in its place with nothing. */
inline restart(d) {
	is_ready[d] = false;
	is_whole[d] = true;
	next[d] = 0;
	run_start[d] = 0;
	version[d] = 0;
	offset[d] = NO_OFFSET;
	held[d] = 0
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

/* What can be read no more is no part of the state. */
inline expire() {
	if
	:: (held[0] & (1 << oldest)) || (held[1] & (1 << oldest))
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

/* The operator reads the version at some daemon, and publishes. */
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
	/* What the operator is told. */ \
	:: atomic { judged[p] == ACCEPTED && EVERYWHERE(p) -> \
		assert(has_won[p]); \
		told_version = (own_version(p) > told_version -> \
				own_version(p) : told_version); \
		assert(!is_ready[0] || version[0] >= told_version); \
		assert(!is_ready[1] || version[1] >= told_version); \
		forget(p) } \
	:: atomic { judged[p] == SUPERSEDED -> \
		assert(!has_won[p]); \
		forget(p) }

#ifdef MUTANT_ACCEPTED_EARLY
#define EVERYWHERE(p) (in_force(0, p) || in_force(1, p))
#else
#define EVERYWHERE(p) (in_force(0, p) && in_force(1, p))
#endif

/* The answer to an append is lost: only the nonce in the log can tell. */
#ifdef MUTANT_LOST_IS_FAILED
#define LOST(p) \
	:: atomic { publication[p] != IDLE && judged[p] == PENDING -> \
		judged[p] = FAILED } \
	:: atomic { judged[p] == FAILED && has_won[p] -> assert(false) }
#else
#define LOST(p)
#endif

#ifdef MUTANT_READY_BEFORE_END
#define has_read_all(d) true
#else
#define has_read_all(d) (is_whole[d] && next[d] == log_next)
#endif

#define DAEMON(d) \
	:: atomic { restart(d) } \
	:: atomic { next[d] < log_next || next[d] < oldest -> \
		config_docs_apply(d) } \
	:: atomic { true -> config_docs_add_relayed(d, 1 - d) } \
	:: atomic { !is_ready[d] && has_read_all(d) -> be_ready(d) } \
	:: atomic { is_ready[d] && is_whole[d] && snapshot == IDLE && \
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
