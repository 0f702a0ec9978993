/*
 * What the operators of a platform have put in force, typed: routes,
 * services, teams and limits. Immutable and reference counted once built;
 * pure.
 */
#ifndef CORE_FLEET_H
#define CORE_FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"

enum { FLEET_NAME_SIZE = 64 /* bytes, with the NUL */ };

/* The profile that all services of a fleet run under. */
#define FLEET_PROFILE "fleet"

/* What a route's requests bear. */
typedef enum fleet_kind {
	FLEET_SAFE, /* may run more than once */
	FLEET_UNSAFE, /* may run once at most */
	FLEET_STREAM, /* answered by a series of events */
} fleet_kind_t;

/* One of the services that a route's requests are split over. */
typedef struct fleet_share {
	char service[FLEET_NAME_SIZE];
	uint32_t weight;
} fleet_share_t;

typedef struct fleet_route {
	char *name;
	char *host; /* lower case, without a port */
	char *prefix; /* begins and ends with a slash */
	fleet_kind_t kind;
	int64_t timeout_ms; /* longest time that a request is kept; 0: none */
	int64_t target_ms; /* time within which an answer is fully useful */
	int64_t pause_ms; /* longest useful pause between events */
	uint32_t priority; /* 0 is the most urgent */
	uint32_t max_attempts; /* upstreams that may run one request */
	bool is_anonymous; /* no key is asked for */
	bool is_resumable; /* streams may go on at another upstream */
	GArray *shares; /* fleet_share_t, at least one */
} fleet_route_t;

typedef struct fleet_service {
	char name[FLEET_NAME_SIZE];
	char *health_path;
	uint32_t max_conns; /* an upstream, from all callers together */
	bool is_engine;
	uint32_t slots; /* engines: requests at once; 0: not stated */
	uint32_t cache_tokens; /* engines: memory, in tokens */
} fleet_service_t;

typedef struct fleet_team {
	char name[FLEET_NAME_SIZE];
	bool has_priority;
	uint32_t priority; /* goes before the route's */
	double rate; /* units a second over all daemons; 0: no limit */
	double burst; /* units */
	bool counts_tokens; /* units are tokens; else requests */
	uint32_t default_tokens; /* cost of a request that states none */
} fleet_team_t;

/* What a caller may send, and how slowly. */
typedef struct fleet_limits {
	uint32_t max_header_bytes;
	uint32_t max_body_bytes;
	int64_t header_timeout_ms;
	int64_t idle_timeout_ms;
} fleet_limits_t;

typedef struct fleet {
	uint64_t version;
	GPtrArray *routes; /* fleet_route_t */
	uint32_t priorities; /* a bit for each that a route has */
	GHashTable *by_host; /* host to GPtrArray, the longest prefix first */
	GHashTable *services; /* name to fleet_service_t */
	GPtrArray *teams; /* fleet_team_t */
	GHashTable *keys; /* caller's key to fleet_team_t */
	fleet_limits_t limits;
} fleet_t;

fleet_t *fleet_new(uint64_t version);
fleet_t *fleet_ref(fleet_t *f);
void fleet_unref(fleet_t *f);

/* Each takes over a new object; its strings are owned by it. */
void fleet_add_route(fleet_t *f, fleet_route_t *route);
void fleet_add_service(fleet_t *f, fleet_service_t *service);
void fleet_add_team(fleet_t *f, fleet_team_t *team);
void fleet_add_key(fleet_t *f, const char *key, fleet_team_t *team);
void fleet_route_free(fleet_route_t *route);

/* The route with the longest prefix of PATH at HOST; NULL when none fits. */
const fleet_route_t *fleet_find_route(const fleet_t *f, str_t host, str_t path);
const fleet_service_t *fleet_find_service(const fleet_t *f, const char *name);
/* The team that holds a key; NULL when nobody does. */
const fleet_team_t *fleet_find_key(const fleet_t *f, str_t key);
/* Picks one of the route's services by weight, the same for equal SPREAD. */
const char *fleet_pick_service(const fleet_route_t *route, uint64_t spread);
/* The rank of a request, 0 the most urgent: the team's, then the route's. */
uint32_t fleet_rank(const fleet_team_t *team, const fleet_route_t *route);
/*
 * How long callers of a streaming route wait for an event, the first one
 * included, before they leave.
 */
int64_t fleet_patience_ms(const fleet_route_t *route);
/*
 * The part of its team's limit that a request of the route leaves to more
 * urgent routes, 0 to 1.
 */
double fleet_reserve(const fleet_t *f, const fleet_route_t *route);
/* Tells whether a request of the route may run a second time from its start. */
bool fleet_may_repeat(const fleet_route_t *route);

#endif
