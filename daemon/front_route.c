/* Tells an operator where a request of the own interface would go. */
#include "daemon/front.h"
#include "daemon/route_query.h"

enum { US_PER_MS = 1000 };

static void fill_want(const front_t *f, const call_t *call,
		      const profile_t *profile, message_capacity_t *c)
{
	int tier = profile_tier_index(profile, str_from(call->tier));
	int64_t ms = call->deadline_ms;

	if (!ms)
		ms = profile->tiers[tier].need_ms;
	g_strlcpy(c->service, call->service, sizeof(c->service));
	g_strlcpy(c->tier, call->tier, sizeof(c->tier));
	g_strlcpy(c->want.team, call->team, sizeof(c->want.team));
	c->want.id.owner = f->sup->boot_id;
	c->want.prompt_tokens = call->prompt_tokens;
	c->want.output_tokens = call->output_tokens;
	c->want.prefix_hash = call->prefix_hash;
	c->want.deadline = now_us() + ms * US_PER_MS;
}

static void set_limit(const profile_t *profile, const call_t *call,
		      route_query_t *q)
{
	const profile_team_t *team =
		profile_find_team(profile, str_from(call->team));

	q->limit = team ? team->rate : 0;
	q->cost = 1;
}

/* Returns whether a dispatcher is to be asked. */
static bool find_service(front_t *f, const http1_head_t *head, GBytes *body,
			 route_query_t *q)
{
	const profile_service_t *service;
	call_error_t error;
	call_t call;
	bool found;

	if (!call_parse(&call, head, body, f->sup->settings, &error)) {
		route_query_refuse(q, error.status, error.message);
		return false;
	}
	found = !call.is_ticket_request && front_check(f, &call, &error);
	if (found) {
		service = front_service(f, &call);
		g_strlcpy(q->route, service->name, sizeof(q->route));
		q->config = service->version;
		q->services = 1;
		set_limit(front_profile(f, &call), &call, q);
		fill_want(f, &call, front_profile(f, &call), &q->capacity);
	} else if (call.is_ticket_request) {
		route_query_refuse(q, 200, "a ticket is issued here");
	} else {
		route_query_refuse(q, error.status, error.message);
	}
	call_finish(&call);
	return found;
}

static bool is_asked(front_t *f, route_query_t *q)
{
	g_autoptr(GBytes) body = NULL;
	route_request_t request;
	bool found = false;

	if (route_request_init(&request, q)) {
		body = g_bytes_new(request.body->data, request.body->len);
		found = find_service(f, &request.reader.head, body, q);
	}
	route_request_finish(&request);
	return found;
}

void front_on_route_query(front_t *f, route_query_t *q)
{
	task_id_t next = TASK_ADMIN;

	if (!f->config)
		route_query_refuse(q, 503, "no profile is in force yet");
	else if (is_asked(f, q))
		next = q->group[0] ? TASK_CAPACITY : TASK_PEERS;
	route_query_post(f->sup, next, q);
}
