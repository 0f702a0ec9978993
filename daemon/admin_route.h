/*
 * Answers operators' questions of where a request would go, once the other
 * tasks have found it out. A bounded number is open at a time, each for a
 * limited time.
 */
#ifndef DAEMON_ADMIN_ROUTE_H
#define DAEMON_ADMIN_ROUTE_H

#include <event2/http.h>

#include "daemon/route_query.h"

typedef struct admin_routes {
	supervisor_t *sup;
	GHashTable *open; /* id to its evhttp_request */
	uint64_t last_id;
	struct event *timer; /* answers all open ones with an error */
} admin_routes_t;

void admin_routes_init(admin_routes_t *a, supervisor_t *sup);
/* Call it before the server is freed. */
void admin_routes_finish(admin_routes_t *a);
/* Handles POST /admin/route[?group=NAME]; the body is the request asked for. */
void admin_routes_ask(admin_routes_t *a, struct evhttp_request *req);
/* Answers the operator's request, unless its connection was closed. */
void admin_routes_answer(admin_routes_t *a, const route_query_t *q);

#endif
