/* Tells an operator where a request of a fleet's route would go. */
#include "daemon/relay.h"
#include "daemon/route_query.h"

enum { US_PER_MS = 1000 };

/* Finds route, service and team; false if a caller would be refused. */
static bool find_route(const gateway_t *g, const call_head_t *call,
		       route_query_t *q, const fleet_route_t **route,
		       const fleet_team_t **team)
{
	const fleet_t *fleet = g->fleet;

	*route = fleet_find_route(fleet, call->host, call->path);
	q->config = fleet->version;
	if (!*route) {
		route_query_refuse(q, 404, "no route fits");
		return false;
	}
	g_strlcpy(q->route, (*route)->name, sizeof(q->route));
	q->services = (*route)->shares->len;
	*team = call->api_key.len ?
			fleet_find_team_by_key(fleet, call->api_key) :
			NULL;
	if (*team || (*route)->is_anonymous || !fleet->teams->len)
		return true;
	route_query_refuse(q, 401, "the key is not known");
	return false;
}

static void set_limit(const gateway_t *g, const call_head_t *call,
		      const fleet_route_t *route, const fleet_team_t *team,
		      route_query_t *q)
{
	g_strlcpy(q->capacity.want.team, team->name,
		  sizeof(q->capacity.want.team));
	q->limit = team->rate;
	q->cost = relay_limit_cost(team, call);
	q->reserved = fleet_reserved_share(g->fleet, route);
}

/* Picks the dispatcher as for a request, but on copies of what that changes. */
static void pick_dispatcher(const gateway_t *g, const call_head_t *call,
			    const char *service, zone_pick_t *out)
{
	hot_prefix_t prefixes = g->prefixes;
	GRand *rand = g_rand_copy(g->sup->rand);

	relay_pick_group(&g->groups, &prefixes, call, service, rand, out);
	g_rand_free(rand);
}

static void fill_want(const gateway_t *g, const call_head_t *call,
		      const fleet_route_t *route, const char *service,
		      message_capacity_t *c)
{
	const fleet_service_t *s = fleet_find_service(g->fleet, service);
	bool is_engine = s && s->is_engine;
	int64_t ms = route->timeout_ms;
	int64_t now = now_us();
	want_t *w = &c->want;

	if (call->timeout_ms && (!ms || call->timeout_ms < ms))
		ms = call->timeout_ms;
	if (!ms)
		ms = g->sup->settings->max_deadline_ms;
	w->id.owner = g->sup->boot_id;
	w->prompt_tokens = is_engine ? MAX(call->prompt_tokens, 1) : 1;
	w->output_tokens = is_engine ? relay_whole_output_tokens(call) : 1;
	w->prefix_hash = call->prefix_hash;
	w->prefix_tokens = call->prefix_tokens;
	w->session_hash = call->session_hash;
	w->session_tokens = call->session_tokens;
	w->deadline = now + ms * US_PER_MS;
	if (route->target_ms)
		w->target = now + route->target_ms * US_PER_MS;
	if (route->kind == FLEET_STREAM)
		w->start_by = now + fleet_caller_wait_ms(route) * US_PER_MS;
}

/* Returns whether a dispatcher is to be asked. */
static bool find_dispatcher(gateway_t *g, const call_head_t *call,
			    route_query_t *q)
{
	message_capacity_t *c = &q->capacity;
	const fleet_route_t *route;
	const fleet_team_t *team;
	const char *service;
	zone_pick_t pick;

	if (!find_route(g, call, q, &route, &team))
		return false;
	if (team)
		set_limit(g, call, route, team, q);
	if (quarantine_match(&g->quarantine, &call->parts, now_us())) {
		route_query_refuse(q, 503,
				   "a part of its prompt crashes runners");
		return false;
	}
	service = fleet_pick_service(route, str_hash(call->attempt_id));
	g_snprintf(c->tier, sizeof(c->tier), "%u", fleet_rank(team, route));
	q->has_rollout =
		g->rollouts && g_hash_table_contains(g->rollouts, service);
	fill_want(g, call, route, service, c);
	pick_dispatcher(g, call, service, &pick);
	runner_group_name(&pick.group, c->service, sizeof(c->service));
	g_strlcpy(c->zone, pick.zone, sizeof(c->zone));
	if (q->group[0])
		g_strlcpy(c->service, q->group, sizeof(c->service));
	return true;
}

void gateway_on_route_query(gateway_t *g, route_query_t *q)
{
	task_id_t next = TASK_ADMIN;
	route_request_t request;
	call_head_t call = { 0 };
	err_t err = { 0 };

	if (!gateway_is_ready(g))
		route_query_refuse(q, 503, "no configuration is known yet");
	else if (route_request_init(&request, q) &&
		 !call_head_read(&request.reader.head, &call, &err))
		route_query_refuse(q, 400, err.detail);
	else if (!q->status && find_dispatcher(g, &call, q))
		next = q->group[0] ? TASK_CAPACITY : TASK_PEERS;
	if (gateway_is_ready(g))
		route_request_finish(&request);
	route_query_post(g->sup, next, q);
}
