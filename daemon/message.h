/*
 * The typed messages that the daemon's tasks send to each other. Posting a
 * message passes its ownership to the supervisor.
 */
#ifndef DAEMON_MESSAGE_H
#define DAEMON_MESSAGE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/err.h"
#include "core/accounts.h"
#include "core/config_docs.h"
#include "core/dispatcher.h"
#include "core/fleet.h"
#include "core/limit_lease.h"
#include "core/member.h"
#include "core/profile.h"
#include "core/quarantine.h"
#include "core/rollout.h"
#include "core/speed_digest.h"
#include "core/stream_releases.h"
#include "core/topic_follow.h"
#include "core/dedup.h"
#include "platform/platform_client.h"

/* The current version of every document, parsed; immutable, refcounted. */
typedef struct config_view {
	GHashTable *services; /* name to profile_service_t */
	GHashTable *profiles; /* name to profile_t */
} config_view_t;

config_view_t *config_view_new(void);
config_view_t *config_view_ref(config_view_t *v);
void config_view_unref(config_view_t *v);
/* Both return NULL when V is NULL or has no such name. */
const profile_service_t *config_view_service(const config_view_t *v,
					     const char *name);
const profile_t *config_view_profile(const config_view_t *v, const char *name);

/* The platform's VM list; immutable, refcounted. */
typedef struct vm_list {
	GArray *daemons; /* member_vm_t */
	GArray *runners; /* vm_list_runner_t */
	/*
	 * Service to the hash of the only release that its streams can be of;
	 * services with several, or of which that isn't known, are missing.
	 */
	GHashTable *releases;
} vm_list_t;

vm_list_t *vm_list_new(const member_vm_t *daemons, size_t n_daemons,
		       const vm_list_runner_t *runners, size_t n_runners);
vm_list_t *vm_list_ref(vm_list_t *v);
void vm_list_unref(vm_list_t *v);
/* Sets a service's only release, before the list is passed on; 0: none. */
void vm_list_set_release(vm_list_t *v, const char *service, uint64_t release);
/* Returns it; 0 when V is NULL or doesn't have it. */
uint64_t vm_list_release(const vm_list_t *v, const char *service);

typedef enum message_type {
	MESSAGE_CONFIG, /* platform to all: the current documents */
	MESSAGE_CONFIG_NEXT, /* platform to peers: next offset or version */
	MESSAGE_CONFIG_STATED, /* peers to store: a peer has this version */
	MESSAGE_CONFIG_REQUEST, /* peers to platform: a peer is behind */
	MESSAGE_CONFIG_SEND, /* platform to peers: documents for a peer */
	MESSAGE_CONFIG_RELAYED, /* peers to platform: from another daemon */
	MESSAGE_FLEET, /* platform to front: routes, services and teams */
	MESSAGE_VMS, /* platform to all: the VM list */
	/* store to front: when the runners' list was new */
	MESSAGE_RUNNERS_SEEN,
	MESSAGE_VMS_RELAYED, /* peers to platform: from another daemon */
	MESSAGE_TOPIC_UPDATE, /* store to peers and back: a topic's update */
	MESSAGE_READER_ROLE, /* peers to store: is this daemon a reader? */
	MESSAGE_LOCATE, /* front to peers: who owns this key? */
	MESSAGE_LOCATED, /* peers to front; if owned here, also claimed */
	MESSAGE_CLAIM_ENDED, /* front to peers: a claimed request ended */
	MESSAGE_WANT, /* front to peers to capacity */
	MESSAGE_ROUTED, /* peers to front: the dispatcher of a want */
	MESSAGE_GRANT, /* capacity to peers to front */
	MESSAGE_REFUSE, /* likewise */
	MESSAGE_CANCEL, /* likewise */
	MESSAGE_QUEUED, /* likewise: the want is queued, not lost */
	MESSAGE_WITHDRAW, /* front to peers to capacity */
	MESSAGE_FIRST_TOKEN, /* likewise */
	MESSAGE_DONE, /* likewise */
	MESSAGE_LIMIT_ASK, /* front to peers to limits */
	MESSAGE_LIMIT_ANSWER, /* limits to peers to front */
	MESSAGE_LIMIT_RELEASE, /* front to peers to limits */
	MESSAGE_LIMIT_HOSTS, /* peers to limits: who hosts the limiter roles */
	MESSAGE_LIMIT_LEND, /* limits to peers to limits: shares are lent */
	MESSAGE_LIMIT_STAMP, /* likewise: the stamp for the next lease */
	/*
	 * front to peers and back: requests and prompt parts that crash
	 * runners; front to store: a record is to be written (QUARANTINE) or
	 * deleted (SOUND); store to front: a record was read
	 */
	MESSAGE_PART_NOTICE,
	MESSAGE_STREAM_NOTES, /* front to peers to store: streams began */
	MESSAGE_STREAM_ASK, /* likewise: which release began this one? */
	MESSAGE_STREAM_ANSWER, /* store to peers to front */
	/* capacity to peers and back: learned speeds of runners */
	MESSAGE_SPEEDS,
	MESSAGE_ROLLOUT_ORDERS, /* store to front: all orders of roll-outs */
	MESSAGE_ROLLOUT_HOST, /* peers to store: does this daemon conduct? */
	MESSAGE_ROLLOUT_REPORT, /* front to peers to store, which conducts */
	MESSAGE_ROLLOUT_TOLD, /* store to peers to front: the answer to it */
	MESSAGE_ROLLOUT_STATES, /* store to admin: all roll-outs */
	/* peers to capacity, front: a link to a daemon is up */
	MESSAGE_LINK_UP,
	MESSAGE_OWNER_LOST, /* peers to capacity, limits: incarnation ended */
	MESSAGE_REQUEST_LISTS, /* store to peers: request a daemon's lists */
	MESSAGE_LISTS_REQUESTED, /* peers to store: a daemon requests lists */
	/* peers to capacity, front: is a zone partitioned? */
	MESSAGE_ZONE_PARTITION,
	MESSAGE_PEER_UNRESPONSIVE, /* peers to capacity: daemon unresponsive? */
	MESSAGE_DAEMON_COUNT, /* peers to limits, store: live, known daemons */
	MESSAGE_VIEW_STABLE, /* peers to capacity: is the membership stable? */
	MESSAGE_KEYS_READY, /* peers to admin: are keys accepted? */
	/*
	 * peers to front: dispatchers may have moved or lost wants: resend all;
	 * gateway to store, when it starts: resend the fleet and the VM list
	 */
	MESSAGE_VIEW_CHANGED,
	MESSAGE_ACCOUNT, /* front to accounts */
	MESSAGE_APPEND, /* accounts to platform */
	MESSAGE_APPENDED, /* platform to accounts */
	/* admin to front to peers to capacity, and back to admin */
	MESSAGE_ROUTE_QUERY,
	MESSAGE_DRAIN, /* supervisor to all */
	MESSAGE_DRAINED, /* front to peers to accounts: drain is done */
} message_type_t;

/* Documents received from or sent to a peer. */
typedef struct message_docs {
	char peer[MEMBER_NAME_SIZE];
	/*
	 * Next offset of the configuration log, in a fleet the version in
	 * force: the peer's in CONFIG_REQUEST, else the sender's.
	 */
	uint64_t next;
	GArray *docs; /* config_doc_t; each holds a reference to its body */
} message_docs_t;

/* A record of the platform's store; owns key and value. */
typedef struct message_record {
	GBytes *key;
	GBytes *value; /* empty: the key was deleted */
} message_record_t;

/* Records read from a topic, for daemons that don't read it themselves. */
typedef struct message_update {
	uint32_t topic;
	topic_position_t from, to; /* of the first record; past the last */
	bool is_stable; /* no recent store outage at the sender */
	bool is_from_other_zone; /* received from another zone */
	bool is_relayed; /* read by another daemon; sent to the own zone only */
	bool is_list; /* received: the newest record of every key */
	char peer[MEMBER_NAME_SIZE]; /* the only receiver; "": all */
	char sender[MEMBER_NAME_SIZE]; /* received: the daemon that sent it */
	GArray *records; /* message_record_t */
	GBytes *batch; /* a full list, encoded; NULL: none */
	uint32_t batch_size; /* before compression; 0: not compressed */
} message_update_t;

/* A lookup of the owner of a key or ticket, and its result. */
typedef struct message_locate {
	uint64_t attempt;
	GBytes *scoped; /* team and key; unused for a ticket */
	uint64_t fingerprint; /* of the request; unused for a ticket */
	char key_zone[MEMBER_NAME_SIZE]; /* zone prefix of the key, or "" */
	int64_t key_age; /* age of the key in microseconds, or -1 */
	char ticket_daemon[MEMBER_NAME_SIZE]; /* "" for a key */
	member_owner_t owner; /* LOCATED */
	/* LOCATED, for a key that this daemon owns: */
	dedup_verdict_t verdict;
	uint64_t epoch; /* NEW: the stall epoch in which it was claimed */
	uint64_t joined; /* JOIN: the attempt in progress */
	dedup_answer_t answer; /* REPLAY: holds its own references */
} message_locate_t;

/* The outcome of a request whose key this daemon claimed. */
typedef struct message_claim {
	GBytes *scoped;
	uint64_t fingerprint;
	bool is_dispatched; /* false: abandoned, the key may be claimed again */
	dedup_answer_t answer; /* holds its own references */
} message_claim_t;

/* A message between a request's owner and a dispatcher. */
typedef struct message_capacity {
	char peer[MEMBER_NAME_SIZE]; /* the other daemon; "" for this one */
	char service[MEMBER_NAME_SIZE];
	char tier[MEMBER_NAME_SIZE];
	/* WANT: zone of the dispatcher to use; "": the own zone */
	char zone[MEMBER_NAME_SIZE];
	char running_on[MEMBER_NAME_SIZE]; /* WANT: runner of its grant */
	want_t want; /* its times are on the local clock */
	dispatcher_runner_t runner; /* GRANT */
	refuse_reason_t reason; /* REFUSE */
	uint32_t retry_after_ms; /* REFUSE */
	runner_limit_t limit; /* GRANT: the runner's, known to the dispatcher */
	/* DONE; FIRST_TOKEN: only says_leaving, limit and load */
	done_t done;
	uint32_t hops; /* WANT */
	/*
	 * WANT: this daemon dispatches for itself, since no dispatcher responds
	 * or can be reached.
	 */
	bool is_local_only;
	bool is_resent; /* WANT: resent; the first or its reply may be lost */
} message_capacity_t;

/* A reservation against a team's limit. */
typedef struct message_limit {
	char peer[MEMBER_NAME_SIZE]; /* the other daemon; "" for this one */
	uint64_t attempt;
	uint64_t owner; /* boot ID of the requesting daemon */
	char team[MEMBER_NAME_SIZE];
	char profile[MEMBER_NAME_SIZE]; /* defines the limit */
	uint32_t cost; /* units of the limit, 0 counts as 1; ASK */
	uint32_t reserve; /* percent kept free for more urgent work; ASK */
	bool is_fallback; /* the team's limiter is unreachable */
	bool is_ok; /* ANSWER */
	/*
	 * The counter has begun just now; ANSWER: or shares of the limit are
	 * on their way, so that the same request may be admitted soon.
	 */
	bool is_young;
	uint32_t retry_after_ms; /* ANSWER */
} message_limit_t;

/* A lease of shares of limits, or the stamp for the next one. */
typedef struct message_lease {
	char peer[MEMBER_NAME_SIZE]; /* the other daemon */
	uint32_t roles; /* bit mask; LEND */
	limit_stamp_t stamp;
} message_lease_t;

/* The daemons that host the limiter roles, as this daemon sees it. */
typedef struct message_limit_hosts {
	char hosts[LIMIT_ROLES][MEMBER_NAME_SIZE]; /* "": none is reachable */
} message_limit_hosts_t;

typedef enum part_notice_kind {
	PART_NOTICE_CRASH, /* a runner crashed as it began to answer */
	PART_NOTICE_SOUND, /* a request with these parts is being answered */
	PART_NOTICE_QUARANTINE, /* a part is in quarantine */
	PART_NOTICE_ALIVE, /* a runner answered after such a report */
	PART_NOTICE_KINDS,
} part_notice_kind_t;

/* What a daemon knows of prompt parts that crash runners. */
typedef struct message_part {
	char peer[MEMBER_NAME_SIZE]; /* the only receiver; "": all */
	part_notice_kind_t kind;
	crash_report_t crash; /* CRASH, ALIVE; SOUND: only its parts */
	quarantine_entry_t entry; /* QUARANTINE */
} message_part_t;

/* Streams that began, or one stream that is asked for. */
typedef struct message_streams {
	char peer[MEMBER_NAME_SIZE]; /* who asked; "": this daemon */
	GArray *begun; /* NOTES: of stream_release_t */
	/*
	 * ASK: the only release that the asker knows of, or 0. ANSWER: the one
	 * that began the stream; 0: not known.
	 */
	stream_release_t stream;
	/* ASK: the asker knows of one release only; an older build, not which. */
	bool is_to_confirm;
} message_streams_t;

/* Learned speeds of the runners of one dispatcher. */
typedef struct message_speeds {
	char service[MEMBER_NAME_SIZE]; /* the dispatcher's name */
	GArray *digests; /* runner_digest_t */
} message_speeds_t;

/* How many equal answers a daemon counted. */
typedef struct rollout_tally {
	rollout_answer_t answer;
	uint32_t n;
} rollout_tally_t;

/* A daemon's report on a roll-out, or the conductor's answer to it. */
typedef struct message_rollout {
	char peer[MEMBER_NAME_SIZE]; /* the daemon; "": this one */
	char service[FLEET_NAME_SIZE];
	rollout_report_t report; /* REPORT */
	rollout_told_t told; /* TOLD */
	GArray *tallies; /* REPORT: of rollout_tally_t */
} message_rollout_t;

/* What the conductor knows of a roll-out; another daemon: only the order. */
typedef struct rollout_state {
	rollout_order_t order;
	bool is_conducted; /* by this daemon */
	bool is_settled; /* the decision is stored */
	rollout_stage_t stage;
	uint64_t term;
	uint64_t requests, budget, leased;
	rollout_finding_t finding;
	rollout_view_t view;
	uint32_t waiting_for; /* daemons, before the next stage */
	int64_t left_ms;
	char why[ROLLOUT_WHY_SIZE];
} rollout_state_t;

typedef struct message_account {
	accounts_key_t key;
	accounts_sum_t delta;
} message_account_t;

typedef struct message_append {
	uint64_t seq;
	GBytes *data;
	bool is_ok; /* APPENDED */
} message_append_t;

typedef struct route_query route_query_t; /* daemon/route_query.h */

/* Drops a reference; the last one frees it. */
void route_query_unref(route_query_t *q);

typedef struct message {
	message_type_t type;
	union {
		config_view_t *config;
		fleet_t *fleet;
		vm_list_t *vms;
		struct {
			uint32_t live; /* this daemon included */
			/* also those that may serve behind a partition */
			uint32_t known;
		} daemons; /* DAEMON_COUNT */
		/*
		 * CONFIG_NEXT, READER_ROLE, VIEW_STABLE, KEYS_READY,
		 * ROLLOUT_HOST
		 */
		uint64_t number;
		struct {
			char name[MEMBER_NAME_SIZE]; /* zone or daemon */
			/* the zone is partitioned, the daemon unresponsive */
			bool is_lost;
		} contact; /* ZONE_PARTITION, PEER_UNRESPONSIVE, LINK_UP */
		message_update_t update;
		struct {
			uint32_t topics; /* bit mask */
			char peer[MEMBER_NAME_SIZE]; /* the requester */
		} lists; /* REQUEST_LISTS, LISTS_REQUESTED */
		/* CONFIG_REQUEST, CONFIG_SEND, CONFIG_RELAYED */
		message_docs_t docs;
		message_locate_t locate;
		message_claim_t claim;
		message_capacity_t capacity;
		message_limit_t limit;
		message_lease_t lease;
		message_limit_hosts_t limit_hosts;
		message_part_t part;
		message_streams_t streams;
		message_speeds_t speeds;
		GArray *rollout_orders; /* of rollout_order_t */
		GArray *rollout_states; /* of rollout_state_t */
		message_rollout_t rollout;
		message_account_t account;
		message_append_t append;
		route_query_t *query;
	};
} message_t;

/* Releases the contents of a message, but doesn't free the message itself. */
void message_finish(message_t *m);
/* Returns an array of config_doc_t that unrefs their bodies when freed. */
GArray *message_docs_new(void);
/* Returns an array of message_record_t that frees its records when freed. */
GArray *message_records_new(void);

#endif
