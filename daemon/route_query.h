/*
 * An operator's question of where a request would go now, and why. It passes
 * through the tasks as a request's want would: the front or the gateway finds
 * route and service, the peers task the dispatcher, the capacity task what that
 * would decide; the admin task answers. Nothing is sent, queued or counted.
 */
#ifndef DAEMON_ROUTE_QUERY_H
#define DAEMON_ROUTE_QUERY_H

#include <jansson.h>

#include "core/dispatcher_explain.h"
#include "daemon/supervisor.h"
#include "net/http1.h"

enum { ROUTE_QUERY_WHY_SIZE = 160, ROUTE_QUERY_MAX_BYTES = 64 * 1024 };

/* Reference counted; whoever handles it may write to it. */
struct route_query {
	uint64_t id; /* the admin task's */
	GBytes *request; /* the request in question, as a caller sends it */
	/* Asks about this dispatcher of this daemon; "": the request's own. */
	char group[MEMBER_NAME_SIZE];
	/* What was found. */
	int status; /* of the answer made without a dispatcher; 0: none */
	char why[ROUTE_QUERY_WHY_SIZE];
	char route[MEMBER_NAME_SIZE];
	uint64_t config; /* version that decided */
	/* The want; its peer is the daemon of the dispatcher. */
	message_capacity_t capacity;
	bool has_rollout; /* of the service; the target's runners are ignored */
	uint32_t services; /* that the route splits its requests among */
	double limit; /* of the team, units a second; 0: none */
	uint32_t cost; /* in that limit */
	double reserved; /* share of the limit kept for more urgent routes */
	char admin_address[MEMBER_NAME_SIZE]; /* of the dispatcher's daemon */
	bool is_explained; /* the dispatcher set EXPLANATION */
	dispatcher_explanation_t explanation;
};

/* Returns a new question. REQUEST is at most ROUTE_QUERY_MAX_BYTES long. */
route_query_t *route_query_new(uint64_t id, GBytes *request, const char *group);

/* The request in question, decoded. */
typedef struct route_request {
	http1_reader_t reader;
	GByteArray *body;
} route_request_t;

/*
 * Decodes the request; its body may be missing. False with the answer set if a
 * caller would get 400. OUT is to be finished in either case.
 */
bool route_request_init(route_request_t *out, route_query_t *q);
void route_request_finish(route_request_t *r);

/* Sets the answer that a caller would get. */
void route_query_refuse(route_query_t *q, int status, const char *why);
/* Passes the question to a task, or back to the admin task as the answer. */
void route_query_post(supervisor_t *sup, task_id_t to, route_query_t *q);
/* Returns what was found as JSON. */
json_t *route_query_json(const route_query_t *q);

#endif
