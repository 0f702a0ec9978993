/*
 * The gateway serves the routes that the platform's operators configure. It
 * reads callers' requests (ingress.c), has a dispatcher grant a runner for
 * each, and forwards request and answer (relay*.c) over persistent connections
 * (upstream.c). gateway_task.c listens for callers and handles the messages of
 * other tasks.
 */
#ifndef DAEMON_GATEWAY_H
#define DAEMON_GATEWAY_H

#include "core/byte_budget.h"
#include "core/fleet.h"
#include "core/hot_prefix.h"
#include "core/quarantine.h"
#include "core/retry_budget.h"
#include "core/runner_filter.h"
#include "core/runner_paths.h"
#include "core/stream_releases.h"
#include "core/zone_groups.h"
#include "daemon/http_server.h"
#include "daemon/supervisor.h"
#include "daemon/tunnel_server.h"
#include "daemon/upstream.h"
#include "net/sse.h"
#include "platform/call_head.h"

/* A caller's connection; its user is the relay of its request. */
typedef http_conn_t ingress_t;
typedef struct relay relay_t;

typedef struct gateway {
	supervisor_t *sup;
	http_server_t callers;
	GHashTable *relays; /* attempt number to relay_t */
	GHashTable *pending; /* set of relay_t that wait for gateway_is_ready */
	bool has_runners; /* a list of runners was received */
	int64_t runners_seen_at; /* the list was up to date; microseconds */
	upstream_pool_t pool;
	zone_groups_t groups; /* of the runners of each service */
	hot_prefix_t prefixes; /* prompt prefixes of recent requests */
	quarantine_t quarantine; /* prompt parts that crash runners */
	vm_list_t *vms; /* NULL until a list was received */
	stream_releases_t streams; /* that began here */
	GHashTable *rollouts; /* service to gateway_rollout_t */
	fleet_t *fleet; /* NULL until a configuration is in force */
	retry_budget_t retries;
	/* Of answers: received in part, or not yet read by callers. */
	byte_budget_t answers;
	/* status of runners, as known to this daemon */
	runner_filter_t runners;
	runner_paths_t paths; /* by which way runners are reached */
	GQueue trials; /* path_trial_t: of ways that failed */
	GHashTable *runner_addresses; /* set, of all listed runners */
	tunnel_server_t tunnels; /* of other daemons to runners */
	bool has_tunnels; /* daemons open tunnels for each other */
	GHashTable *runner_zones; /* name to zone, of all listed runners */
	GHashTable *partitioned_zones; /* set of names of partitioned zones */
	uint64_t last_attempt;
	struct event *tick;
	int64_t ticked_at; /* microseconds; the latest tick */
	/* That one came late: what arrived before it may be unread. */
	bool is_tick_late;
	int64_t drain_since; /* microseconds; 0: not draining */
} gateway_t;

/* ingress.c: a caller whose request is served. */

/* Makes requests of callers into relays; its context is the gateway. */
extern const http_server_ops_t ingress_ops;
/* Answers the request with an error made by this daemon. */
void ingress_answer_error(ingress_t *c, int status, int64_t retry_after_ms,
			  const char *why);
/* Answers with an upstream's complete answer; drains BODY. */
void ingress_answer(ingress_t *c, const http1_head_t *head,
		    struct evbuffer *body);
/* Sends the head of a streamed answer. */
void ingress_begin_stream(ingress_t *c, const http1_head_t *head);
/* Sends one chunk of a streamed answer. */
void ingress_write_chunk(ingress_t *c, str_t bytes);
/*
 * Ends a streamed answer. An incomplete one gets no last chunk, and the
 * connection is closed.
 */
void ingress_end_stream(ingress_t *c, bool is_whole);
/* Sets the relay that is cancelled when the caller leaves; NULL: none. */
void ingress_set_relay(ingress_t *c, relay_t *relay);
/* Bytes of answers that are not written to the socket yet. */
size_t ingress_backlog(const ingress_t *c);

/* relay*.c: one request that the gateway serves. */

/*
 * Starts serving a request; HEAD must be valid until it is answered. The relay
 * answers through C exactly once unless it is cancelled, possibly before this
 * returns, and is then freed.
 */
void relay_start(gateway_t *g, ingress_t *c, const http1_head_t *head,
		 GBytes *body);
/*
 * gateway_task.c: true late in a drain, if the daemon will end before DEADLINE.
 * Requests that come then may not be completed here.
 */
bool gateway_ends_before(const gateway_t *g, int64_t deadline);
/* The daemon ends: answers the request, and frees the relay. */
void relay_end_unfinished(relay_t *r);
/* gateway_task.c: true once it received a configuration and the runners. */
bool gateway_is_ready(const gateway_t *g);
/* Admits a request, once the daemon is ready. */
void relay_admit(relay_t *r);
/* The connection ended, as WHY says: cancels the request, frees the relay. */
void relay_cancel(relay_t *r, const char *why);
/* All output to the caller is written: resumes reading the upstream. */
void relay_resume(relay_t *r);
/* Handlers of messages from other tasks. */
void relay_on_limit_answer(relay_t *r, const message_limit_t *answer);
/* The want was sent to DISPATCHER; "": this daemon. */
void relay_on_routed(relay_t *r, const char *dispatcher);
void relay_on_grant(relay_t *r, const message_capacity_t *grant);
void relay_on_refusal(relay_t *r, refuse_reason_t reason, uint32_t retry_ms);
/* The dispatcher has the repeated want in its queue. */
void relay_on_queued(relay_t *r);
/* Checks timeouts, repeats messages that may be lost; called every TICK_MS. */
void relay_tick(relay_t *r, int64_t now);
/* The set of daemons changed: repeats the want, dispatchers may have moved. */
void relay_on_view_change(relay_t *r);
/*
 * Acts on the partition of the zone of the request's runner, if there is one
 * (core/partition_action.h). Returns true if another runner was requested, or
 * the request answered and freed.
 */
bool relay_check_partition(relay_t *r, int64_t now);
void relay_free(relay_t *r);

/* relay_quarantine.c: prompt parts that crash runners. */

/* Judges what was reported lately; called every TICK_MS. */
void gateway_check_quarantine(gateway_t *g);
/* Handles another daemon's notice. */
void gateway_on_part_notice(gateway_t *g, const message_part_t *notice);
/* Tells a daemon, to which a link is up now, what is in quarantine. */
void gateway_send_quarantine(gateway_t *g, const char *peer);

/* gateway_paths.c: by which way runners are reached. */

/* Returns false with ERR set when it can't listen for tunnels. */
bool gateway_paths_init(gateway_t *g, err_t *err);
void gateway_paths_finish(gateway_t *g);
/* There is a new list of VMs. */
void gateway_set_proxies(gateway_t *g, const vm_list_t *vms);
/* A connection to the runner's address was established, or failed. */
void gateway_on_path_connected(gateway_t *g, const char *address);
void gateway_on_path_failure(gateway_t *g, const char *address);
/* A proxy that reaches other runners doesn't reach this one. */
void gateway_on_runner_down(gateway_t *g, const char *address);
/* Tries ways that failed again; called every TICK_MS. */
void gateway_check_paths(gateway_t *g, int64_t now);
void gateway_paths_export(const gateway_t *g);

/* gateway_route.c: tells an operator where a request would go. */

void gateway_on_route_query(gateway_t *g, route_query_t *q);

/* relay_release.c: streams that go on only on the release that began them. */

/* Handles the answer of a stream's recorder. */
void gateway_on_stream_answer(gateway_t *g, const message_streams_t *m);
/* A new list of runners: sends streams to be recorded that were not so far. */
void gateway_on_releases(gateway_t *g, const vm_list_t *before);

/* relay_rollout.c: a service's traffic moves to another release. */

void gateway_rollouts_init(gateway_t *g);
void gateway_rollouts_finish(gateway_t *g);
/* All orders (rollout_order_t) that operators gave. */
void gateway_on_rollout_orders(gateway_t *g, const GArray *orders);
/* There is a new list of VMs. */
void gateway_on_rollout_runners(gateway_t *g);
/* The conductor's answer to a report. */
void gateway_on_rollout_told(gateway_t *g, const message_rollout_t *m);
/* Reports to the conductor, and moves requests; called every TICK_MS. */
void gateway_check_rollouts(gateway_t *g);

#endif
