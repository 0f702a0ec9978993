/*
 * The configuration that a platform's operators have put into effect: routes,
 * services, teams and limits. Reference counted, and immutable once built. Does
 * no I/O and reads no clock.
 */
#ifndef CORE_FLEET_H
#define CORE_FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"

enum { FLEET_NAME_SIZE = 64 /* bytes, including the NUL */ };

/* Name of the profile that applies to all services of a fleet. */
#define FLEET_PROFILE "fleet"

/* Whether a route's requests may be repeated, and how they are answered. */
typedef enum fleet_route_kind {
	FLEET_SAFE, /* may run more than once */
	FLEET_UNSAFE, /* may run at most once */
	FLEET_STREAM, /* answered by a series of events */
} fleet_route_kind_t;

/* One of the services that a route splits its requests among. */
typedef struct fleet_share {
	char service[FLEET_NAME_SIZE];
	uint32_t weight;
} fleet_share_t;

typedef struct fleet_route {
	char *name;
	char *host; /* lower case, without a port */
	char *prefix; /* begins and ends with a slash */
	fleet_route_kind_t kind;
	int64_t timeout_ms; /* of a request as a whole; 0: none */
	/* latency target: an answer within it has its full value; 0: none */
	int64_t target_ms;
	/*
	 * inter-token latency target: longest pause between events that is
	 * still in time
	 */
	int64_t pause_ms;
	uint32_t priority; /* 0 is the most urgent */
	/* how many upstreams may be tried with a request */
	uint32_t max_attempts;
	bool is_anonymous; /* needs no key */
	bool is_resumable; /* another upstream can continue a stream */
	GArray *shares; /* of fleet_share_t, at least one */
} fleet_route_t;

typedef struct fleet_service {
	char name[FLEET_NAME_SIZE];
	char *health_path;
	uint32_t max_conns; /* per upstream, from all callers together */
	bool is_engine;
	uint32_t slots; /* engines: concurrent requests; 0: not stated */
	uint32_t cache_tokens; /* engines: KV cache capacity, in tokens */
} fleet_service_t;

typedef struct fleet_team {
	char name[FLEET_NAME_SIZE];
	bool has_priority;
	uint32_t priority; /* takes precedence over the route's */
	double rate; /* units per second, over all daemons; 0: no limit */
	double burst; /* units */
	bool counts_tokens; /* the unit is a token, else a request */
	uint32_t default_tokens; /* cost of a request without token counts */
} fleet_team_t;

/* Limits on the size of callers' requests and on the time they take. */
typedef struct fleet_limits {
	uint32_t max_header_bytes;
	uint32_t max_body_bytes;
	int64_t header_timeout_ms;
	int64_t idle_timeout_ms;
} fleet_limits_t;

typedef struct fleet {
	uint64_t version;
	GPtrArray *routes; /* of fleet_route_t, owned */
	uint32_t priorities; /* bit N is set when a route has priority N */
	GHashTable *by_host; /* host to routes, the longest prefix first */
	GHashTable *services; /* name to fleet_service_t */
	GPtrArray *teams; /* of fleet_team_t, owned */
	GHashTable *keys; /* caller's key to fleet_team_t */
	fleet_limits_t limits;
} fleet_t;

fleet_t *fleet_new(uint64_t version);
fleet_t *fleet_ref(fleet_t *f);
void fleet_unref(fleet_t *f);

/* Each takes ownership of the object and the strings in it. */
void fleet_add_route(fleet_t *f, fleet_route_t *route);
void fleet_add_service(fleet_t *f, fleet_service_t *service);
void fleet_add_team(fleet_t *f, fleet_team_t *team);
void fleet_add_key(fleet_t *f, const char *key, fleet_team_t *team);
void fleet_route_free(fleet_route_t *route);

/*
 * Returns HOST's route with the longest prefix of PATH; NULL when none matches.
 */
const fleet_route_t *fleet_find_route(const fleet_t *f, str_t host, str_t path);
const fleet_service_t *fleet_find_service(const fleet_t *f, const char *name);
/* Returns the team that a key belongs to; NULL for an unknown key. */
const fleet_team_t *fleet_find_team_by_key(const fleet_t *f, str_t key);
/*
 * Picks one of the route's services by weight. SPREAD, a hash of the request,
 * determines which.
 */
const char *fleet_pick_service(const fleet_route_t *route, uint64_t spread);
/*
 * Returns the rank of a request, 0 for the most urgent: by its team's priority,
 * then by its route's.
 */
uint32_t fleet_rank(const fleet_team_t *team, const fleet_route_t *route);
/*
 * Returns how long callers of a streaming route wait for an event, also for the
 * first one, before they leave.
 */
int64_t fleet_caller_wait_ms(const fleet_route_t *route);
/*
 * Returns how long a stream may last, with the time that daemons need to learn
 * of a change in the list of runners.
 */
int64_t fleet_longest_stream_ms(const fleet_t *f);
/*
 * Returns the share of a team's limit, 0 to 1, that the route's requests must
 * leave to more urgent routes.
 */
double fleet_reserved_share(const fleet_t *f, const fleet_route_t *route);
/* Tells whether the route's requests may run again from their start. */
bool fleet_may_repeat(const fleet_route_t *route);

#endif
