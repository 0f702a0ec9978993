/* State of the front task, shared with its jobs. */
#ifndef DAEMON_FRONT_H
#define DAEMON_FRONT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/team_retry.h"
#include "core/dedup.h"
#include "daemon/call.h"
#include "daemon/http_server.h"
#include "daemon/supervisor.h"

typedef struct front {
	supervisor_t *sup;
	http_server_t http;
	struct event *timer;
	config_view_t *config; /* NULL until a configuration is in force */
	dedup_t tickets; /* issued by this daemon */
	team_retry_t retry; /* retry budgets */
	GHashTable *jobs; /* attempt number to job_t, owned */
	uint64_t last_attempt;
	bool is_draining;
	int64_t drain_deadline; /* monotonic */
} front_t;

/* Return the service of a request and that service's profile, or NULL. */
const profile_service_t *front_service(const front_t *f, const call_t *call);
const profile_t *front_profile(const front_t *f, const call_t *call);
/*
 * Checks service, tier and team of a request, and sets its tier if it names
 * none; false with ERROR set if it is to be refused.
 */
bool front_check(front_t *f, call_t *call, call_error_t *error);

/* True when the credential is valid or the team requires none. */
bool front_is_authorized(const profile_team_t *team, const call_t *call);
/* Refuses a request that is complete; FIELD may be NULL. */
void front_refuse(front_t *f, http_conn_t *conn, int status, const char *field,
		  const char *message, uint32_t retry_after_ms);

/* front_ticket.c: tickets issued by this daemon. */

/* Answers with a new ticket. */
void front_issue_ticket(front_t *f, http_conn_t *conn, const call_t *call);
/*
 * Handles a ticket that was used before: sends the stored response, adds the
 * caller to the running job, or refuses a request that differs from the first.
 * Returns false when the ticket was not used here.
 */
bool front_reply_to_repeat(front_t *f, http_conn_t *conn, const call_t *call,
			   GBytes *scoped_key);
/* Answers 410: the ticket can't be used. */
void front_refuse_ticket(front_t *f, http_conn_t *conn);
/* Returns whether this process issued the ticket. */
bool front_is_own_ticket(const front_t *f, const char *ticket);
/* True when no daemon can run the ticket: it is malformed, lost or expired. */
bool front_is_unusable_ticket(const front_t *f, const call_t *call,
			      GBytes *scoped_key);

/* front_route.c: tells an operator where a request would go. */
void front_on_route_query(front_t *f, route_query_t *q);

#endif
