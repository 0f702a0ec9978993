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

#endif
