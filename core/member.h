/*
 * Membership of a zone's daemons. Decides which daemon owns a caller's key and
 * which one hosts a dispatcher.
 *
 * This module does no I/O and reads no clock: the caller passes the time in
 * (microseconds, monotonic), and probes are requested through a callback.
 */
#ifndef CORE_MEMBER_H
#define CORE_MEMBER_H

#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"

enum {
	MEMBER_NAME_SIZE = 64, /* bytes, with the NUL */
	MEMBER_MAX_ZONES = 32,
	MEMBER_ZONE_LINKS = 2, /* working links to every other zone */
	MEMBER_MAX_ZONE_LINKS = 8, /* links to a zone attempted at a time */
};

typedef struct member_config {
	/* A peer without a heartbeat for this long is suspected and probed. */
	int64_t heartbeat_timeout;
	/*
	 * Hold-off period (Q): for this long after taking over a key, a daemon
	 * answers "unknown", as the key may have run on its previous owner.
	 */
	int64_t holdoff_period;
	/*
	 * For keys that contain their creation time: the hold-off covers those
	 * created up to this long after the takeover. It is the time (T) until
	 * all daemons know of a death, plus the clock skew.
	 */
	int64_t key_age_margin;
	uint32_t max_members;
} member_config_t;

/* A VM that runs a daemon, from the platform's list or the settings' seeds. */
typedef struct member_vm {
	char name[MEMBER_NAME_SIZE];
	char zone[MEMBER_NAME_SIZE];
	char address[MEMBER_NAME_SIZE]; /* IP:port for callers */
	char peer_address[MEMBER_NAME_SIZE];
	char admin_address[MEMBER_NAME_SIZE];
	bool is_leaving;
} member_vm_t;

typedef enum member_state {
	MEMBER_LISTED, /* listed, but no heartbeat is known of */
	MEMBER_LIVE,
	MEMBER_SUSPECT, /* heartbeat timed out; probe in progress */
	MEMBER_DRAINING, /* completes running requests, owns no keys */
	MEMBER_DEAD,
} member_state_t;

typedef enum member_owner_kind {
	MEMBER_OWNER_SELF, /* run the request here */
	MEMBER_OWNER_PEER, /* forward the request to the peer */
	/* Owned here, but it may have run elsewhere: answer "unknown". */
	MEMBER_OWNER_HOLDOFF,
	MEMBER_OWNER_ZONE, /* forward it to any daemon of the home zone */
	MEMBER_OWNER_NONE, /* no daemon of the home zone is known */
} member_owner_kind_t;

typedef struct member_owner {
	member_owner_kind_t kind;
	member_vm_t vm; /* PEER, ZONE: forward to it */
	int64_t holdoff_until; /* HOLDOFF: end of the hold-off */
} member_owner_t;

typedef struct member_ops {
	/* Opens a new connection to VM; report to member_on_probe_result. */
	void (*probe)(void *ctx, const member_vm_t *vm);
	/* Called when the set of live members changed. */
	void (*changed)(void *ctx);
} member_ops_t;

struct member_table;

typedef struct member {
	struct member_table *table;
} member_t;

/*
 * ZONES are all configured zones in the order of the settings, which must be
 * the same on every daemon. SELF is this daemon and its own zone. At the start
 * every owned key is in the hold-off period.
 */
void member_init(member_t *m, const member_config_t *config,
		 const member_vm_t *self, uint64_t incarnation,
		 const str_t *zones, uint32_t n_zones, const member_ops_t *ops,
		 void *ctx, int64_t now);
void member_finish(member_t *m);

/*
 * Replaces the platform's list of VMs. The list lags behind, so a member that
 * is missing from it does not count as dead for that.
 */
void member_set_list(member_t *m, const member_vm_t *vms, uint32_t n,
		     int64_t now);
/*
 * A heartbeat arrived directly from the peer VM. An incarnation of the own zone
 * that was declared dead here stays dead (member_each reports it with a small
 * heard_age). The next heartbeat reports it in Heard.is_dead, and the peer then
 * starts a new incarnation.
 */
void member_on_heartbeat(member_t *m, const member_vm_t *vm,
			 uint64_t incarnation, bool is_draining, int64_t now);
/* REPORTER received a heartbeat directly from NAME, AGE microseconds ago. */
void member_on_peer_report(member_t *m, str_t reporter, str_t name,
			   uint64_t incarnation, int64_t age, int64_t now);
/*
 * A peer of the own zone declared INCARNATION of NAME dead. If that is this
 * daemon, member_is_stalled returns true until it starts a new incarnation,
 * because the peers have taken over its keys.
 */
void member_on_declared_dead(member_t *m, str_t name, uint64_t incarnation);
/* Result of the probe (a new connection) of the suspected member NAME. */
void member_on_probe_result(member_t *m, str_t name, bool is_ok, int64_t now);
/*
 * The draining daemon NAME handed its keys over to this one. Its departure then
 * starts no hold-off here, except for dispatches that NAME itself did not know
 * about: those may have happened until SINCE.
 */
void member_on_handed_over(member_t *m, str_t name, uint64_t incarnation,
			   int64_t since, int64_t now);
/*
 * Every live daemon of the zone handed over the keys that this one took over.
 * No owned key was dispatched without this daemon's knowledge after SINCE, so
 * the hold-off period is counted from there.
 */
void member_on_joined(member_t *m, int64_t since);
/*
 * A gap in the zone's knowledge: until AGE microseconds ago, keys of daemon
 * NAME may have been dispatched without its peers knowing.
 */
typedef struct member_gap {
	str_t name;
	int64_t age;
	/*
	 * Set if NAME is draining and has not handed its keys over to the
	 * daemon that reports the gap; 0 otherwise.
	 */
	uint64_t leaving_incarnation;
} member_gap_t;

/*
 * Calls FN for each gap of the own zone that is younger than the hold-off
 * period, including the one from this daemon's own start.
 */
void member_each_gap(const member_t *m,
		     void (*fn)(void *ctx, const member_gap_t *gap), void *ctx,
		     int64_t now);
/*
 * Adds a gap that a peer reported. If the table has no room for it, it counts
 * as a gap of this daemon itself. The gap of a draining daemon is ignored if
 * this daemon knows that incarnation as draining too: it then waits for the
 * keys itself.
 */
void member_add_gap(member_t *m, const member_gap_t *gap, int64_t now);
/* Calls FN for each daemon of the own zone that may own keys, with this one. */
void member_each_candidate(const member_t *m,
			   void (*fn)(void *ctx, str_t name,
				      uint64_t incarnation),
			   void *ctx);
bool member_is_draining(const member_t *m);
/*
 * Returns the time since when this daemon knows of all dispatches of its keys:
 * the start of this incarnation, an earlier time set by member_on_joined, or a
 * later one after draining or a gap that the table has no room for.
 */
int64_t member_known_since(const member_t *m);
int64_t member_holdoff_period(const member_t *m);
int64_t member_heartbeat_timeout(const member_t *m);
const member_vm_t *member_self(const member_t *m);
/* Checks heartbeat timeouts and probes; call it at every heartbeat. */
void member_tick(member_t *m, int64_t now);

/*
 * Returns true if more than the heartbeat timeout has passed since the last
 * tick (the process was stalled), or if peers declared this incarnation dead.
 * The caller must then start a new incarnation with member_begin_incarnation
 * before it sends anything.
 */
bool member_is_stalled(const member_t *m, int64_t now);
void member_begin_incarnation(member_t *m, uint64_t incarnation, int64_t now);

/* A heartbeat's report on another daemon of the zone. */
typedef struct member_gossip {
	str_t name;
	uint64_t incarnation;
	int64_t age; /* of the last direct heartbeat; -1: none */
	bool is_dead; /* the sender declared this incarnation dead */
	bool is_asked; /* request for reports: the sender may suspect it soon */
} member_gossip_t;

/*
 * Calls FN for each report of the next heartbeat: members without a recent
 * heartbeat, those that a peer requested a report on, new members, and dead
 * incarnations that still send heartbeats. In a stable zone there are none.
 */
void member_each_gossip(member_t *m,
			void (*fn)(void *ctx, const member_gossip_t *gossip),
			void *ctx, int64_t now);
/* Processes a report from REPORTER's heartbeat. */
void member_on_gossip(member_t *m, str_t reporter,
		      const member_gossip_t *gossip, int64_t now);

/*
 * Calls FN for each daemon that a link must be kept to: all daemons of the own
 * zone, MEMBER_ZONE_LINKS working ones of each other zone (chosen by rendezvous
 * hashing), and the hosts of dispatchers in use.
 */
void member_each_link(member_t *m, void (*fn)(void *ctx, const member_vm_t *vm),
		      void *ctx, int64_t now);

/* Sets whether this daemon itself is draining. */
void member_set_draining(member_t *m, bool is_draining, int64_t now);

/* The home zone of a key, from its prefix "ZONE/" or else from its hash. */
str_t member_home_zone(const member_t *m, str_t key);
/*
 * Finds the owner of a caller's key. SCOPED is the key with its team's scope.
 * KEY_AGE is the time since the creation time that the key contains, or -1 if
 * it contains none. A draining daemon owns no keys.
 */
void member_key_owner(const member_t *m, str_t scoped, str_t home_zone,
		      int64_t key_age, int64_t now, member_owner_t *out);
/*
 * Finds the host of a role in a zone (a dispatcher or a team's limiter), by
 * this daemon's view of the members. ROLE and GROUP together select the host.
 * Returns false if there is none, or if the host is in another zone and has no
 * link yet; member_each_link then includes it from now on.
 */
bool member_zone_host(member_t *m, str_t zone, str_t role, uint32_t group,
		      int64_t now, member_vm_t *out);
/*
 * Finds the host of a role that exists once for all zones, by this daemon's
 * view of the members. The host is in the first reachable zone, in an order
 * derived from the role's name, so a partitioned zone gets a host of its own.
 * Returns false while there is no link yet to a host in another zone.
 */
bool member_regional_host(member_t *m, str_t role, int64_t now,
			  member_vm_t *out);
/*
 * Keeps a link to the daemon that would become the role's host if the zone of
 * the current host became unreachable.
 */
void member_link_standby(member_t *m, str_t role, int64_t now);
/*
 * Marks a daemon that leaves pings unanswered. This daemon then selects it as
 * host for no dispatcher or role. It keeps its keys and counts as live.
 */
void member_set_unresponsive(member_t *m, str_t name, bool is_unresponsive);
/*
 * Like member_zone_host and member_regional_host, for a dispatcher: leaves out
 * daemons whose link is lost, even before they are known to be dead, so that
 * requests fail over to the next host at once.
 */
bool member_dispatcher_host(member_t *m, str_t zone, str_t dispatcher,
			    int64_t now, member_vm_t *out);
bool member_regional_dispatcher_host(member_t *m, str_t dispatcher, int64_t now,
				     member_vm_t *out);
/*
 * Finds the daemon of the own zone that would host a dispatcher if this one
 * didn't; false if there is none.
 */
bool member_next_host(const member_t *m, str_t dispatcher, member_vm_t *out);
/*
 * Sets whether the link to a daemon is lost: set it when the link ends, and
 * clear it when a new one is up or none is needed. It is cleared with a new
 * incarnation, and after some heartbeat timeouts: a dead daemon is detected by
 * then, and one that only this daemon can't reach still hosts for all others.
 */
void member_set_link_lost(member_t *m, str_t name, bool is_lost, int64_t now);
/*
 * Returns true if this daemon is the role's host; requests no link. Unlike
 * member_regional_host, it doesn't pass over unresponsive daemons.
 */
bool member_is_regional_host(const member_t *m, str_t role);
/*
 * Counts the daemons of all zones, including this one. LIVE are those that are
 * reachable. KNOWN adds those that may still serve requests on the other side
 * of a network partition: a heartbeat from them arrived within WINDOW. Other
 * zones have links to only a few of their daemons; the other daemons of such a
 * zone are assumed to be in the same condition as these.
 */
void member_count(const member_t *m, int64_t window, int64_t now,
		  uint32_t *live, uint32_t *known);
/* Finds a daemon by name. */
bool member_find(const member_t *m, str_t name, member_vm_t *out,
		 member_state_t *state, uint64_t *incarnation);
/*
 * Returns true if no member of the own zone is suspected, and none has joined,
 * left or changed its state within the heartbeat timeout.
 */
bool member_is_stable(const member_t *m, int64_t now);
/* Calls FN for every known daemon except this one. */
void member_each(const member_t *m,
		 void (*fn)(void *ctx, const member_vm_t *vm,
			    member_state_t state, uint64_t incarnation,
			    int64_t heard_age),
		 void *ctx, int64_t now);
uint64_t member_incarnation(const member_t *m);
/* Number of members rejected because the table was full. */
uint64_t member_n_rejected(const member_t *m);

#endif
