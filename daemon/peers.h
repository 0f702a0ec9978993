/* The peers task: links to other daemons, membership and key ownership. */
#ifndef DAEMON_PEERS_H
#define DAEMON_PEERS_H

#include "core/detector.h"
#include "daemon/key_table.h"
#include "daemon/supervisor.h"
#include "net/peer.h"

typedef struct peers {
	supervisor_t *sup;
	member_vm_t self;
	member_t member;
	peer_t peer;
	key_table_t keys;
	vm_list_t *vms; /* the platform's VM list; NULL until received */
	GHashTable *incarnations; /* live daemon's name to its incarnation */
	struct event *timer;
	/*
	 * First offset of the configuration log that is not applied yet; in a
	 * fleet, the version in force.
	 */
	uint64_t config_next;
	uint64_t epoch; /* stall epoch of the current incarnation */
	int64_t started_at; /* monotonic */
	/* When to end without a complete hand-over; 0: still serving. */
	int64_t handover_deadline;
	bool is_draining;
	bool has_broken_link; /* to a live daemon of the own zone */
	/* Names of the dispatchers that serve all zones. */
	GPtrArray *regional_dispatchers;
	GHashTable *linked; /* name of a daemon to whether its link is needed */
	uint32_t live_daemons; /* in all zones, at the last heartbeat */
	detector_t detector; /* failure detector for daemons and zones */
	struct event *detector_timer;
	GHashTable *zone_probes; /* unreachable zone to its zone_probe_t */
} peers_t;

/*
 * Makes the front task look up the dispatchers of its waiting and running
 * requests again.
 */
void peers_post_view_changed(peers_t *p);
/*
 * Takes a new incarnation when this daemon stalled or was declared dead by
 * others.
 */
void peers_check_incarnation(peers_t *p);

/* Tells whether a daemon is in this one's zone; CTX is the peers_t. */
bool peers_is_own_zone(void *ctx, const char *name);

/* peers_updates.c: exchange of the platform store's records. */

/*
 * Posts a received update or a request for lists to the store task; false for
 * other frames.
 */
bool peers_on_store_frame(peers_t *p, const char *name,
			  const Papaya__Frame *frame);
/*
 * Sends an update to the daemon that it names, to the own zone when it is
 * relayed, or else on all links.
 */
void peers_send_update(peers_t *p, const message_update_t *update);
/*
 * Requests the lists of topics from one linked daemon, chosen at random. Any
 * one will do: each has the same lists, or none yet.
 */
void peers_request_lists(peers_t *p, uint32_t topics);
/* Posts to the store task whether this daemon is the fleet's store reader. */
void peers_post_reader(peers_t *p);

/* peers_parts.c: exchange of notices of prompt parts that crash runners. */

/*
 * Posts a received notice to the front task, and sends one from another zone to
 * the daemons of the own one; false for other frames.
 */
bool peers_on_part_frame(peers_t *p, const char *name,
			 const Papaya__Frame *frame);
/* Sends a notice to the daemon that it names, or on all links. */
void peers_send_part(peers_t *p, const message_part_t *notice);

/* peers_streams.c: which release began a stream. */

/* Sends streams that have begun to their recorders. */
void peers_send_stream_notes(peers_t *p, const GArray *begun);
/* Sends a question to the stream's recorder, or an answer to who asked. */
void peers_route_stream(peers_t *p, const message_t *m);
/* Posts a received message to its task; false for other frames. */
bool peers_on_stream_frame(peers_t *p, const char *name,
			   const Papaya__Frame *frame);
/* Keeps links to the recorders. */
void peers_link_recorders(peers_t *p);

/* peers_rollouts.c: reports of roll-outs to the daemon that conducts them. */

/* Sends a report to the conductor, or its answer to the reporting daemon. */
void peers_route_rollout(peers_t *p, const message_t *m);
/* Posts a received message to its task; false for other frames. */
bool peers_on_rollout_frame(peers_t *p, const char *name,
			    const Papaya__Frame *frame);
/* Posts to the store task whether this daemon conducts roll-outs. */
void peers_post_rollout_host(peers_t *p);
/* Keeps links to the conductor, and to the host of its role if it is lost. */
void peers_link_conductor(peers_t *p);

/* peers_detector.c: detection of unresponsive daemons and partitioned zones. */

void peers_detector_start(peers_t *p);
void peers_detector_finish(peers_t *p);
/* Handles a ping frame and answers a request; false for other frames. */
bool peers_on_ping(peers_t *p, const char *name, const Papaya__Frame *frame);

/* peers_route.c: routing to key owners, dispatchers and limiters. */

/* True for messages that a dispatcher sends to the owner of a request. */
bool peers_is_for_owner(message_type_t type);
/* Finds the owner of a key or ticket; claims a key that this daemon owns. */
void peers_locate(peers_t *p, const message_locate_t *request);
/*
 * Sends a want to the dispatcher of its zone. When the own zone's dispatcher
 * can't be reached, this daemon dispatches the request itself. The worst
 * effect is a longer wait.
 */
void peers_route_want(peers_t *p, const message_t *m);
/* Finds the dispatcher of a request that an operator asks about. */
void peers_on_route_query(peers_t *p, route_query_t *q);
/*
 * Posts a want of another daemon to the capacity task; as one that others may
 * dispatch too, if this daemon isn't the dispatcher's host in its own view.
 */
void peers_receive_want(peers_t *p, message_t *m);
/*
 * Sends learned speeds to the dispatcher's host, or if that is this daemon, to
 * the daemon of this zone that would be next.
 */
void peers_send_speeds(peers_t *p, const message_speeds_t *speeds);
/*
 * Forwards a message to the daemon that it names, or to a task of this daemon
 * when it names none.
 */
void peers_forward(peers_t *p, const message_t *m);
/*
 * Sends a reservation against a team's limit to the daemon that enforces the
 * limit. When that daemon can't be reached, this daemon enforces its own share
 * of the limit.
 */
void peers_route_limit(peers_t *p, const message_t *request);
/* Posts to the limits task which daemons host a fleet's limiter roles. */
void peers_post_limit_hosts(peers_t *p);
/*
 * Keeps links to the hosts of a fleet's regional roles, so that the links are
 * up before the first request needs them.
 */
void peers_link_roles(peers_t *p);
/* Forwards a limiter's answer or a release, as peers_forward does. */
void peers_forward_limit(peers_t *p, const message_t *m);

#endif
