#include "core/runner_group.h"
#include "daemon/frames.h"
#include "daemon/peers.h"
#include "daemon/speed_frames.h"
#include "daemon/route_query.h"

enum {
	NO_RUNNER_RETRY_MS = 1000,
};

bool peers_is_for_owner(message_type_t type)
{
	return type == MESSAGE_GRANT || type == MESSAGE_REFUSE ||
	       type == MESSAGE_CANCEL || type == MESSAGE_QUEUED;
}

/*
 * The owner of a ticket is always the daemon that issued it; a ticket whose
 * daemon is dead or unknown has none.
 */
static void locate_ticket(peers_t *p, const message_locate_t *request,
			  message_t *out)
{
	member_owner_t *owner = &out->locate.owner;
	member_state_t state;
	bool found;

	*out = (message_t){ .type = MESSAGE_LOCATED, .locate = *request };
	found = member_find(&p->member, str_from(request->ticket_daemon),
			    &owner->vm, &state, NULL);
	owner->kind = found && state != MEMBER_DEAD ? MEMBER_OWNER_PEER :
						      MEMBER_OWNER_NONE;
}

void peers_locate(peers_t *p, const message_locate_t *request)
{
	message_t m;

	peers_check_incarnation(p);
	if (request->ticket_daemon[0])
		locate_ticket(p, request, &m);
	else
		key_table_locate(&p->keys, request, &m);
	supervisor_post(p->sup, TASK_FRONT, &m);
}

static void post_routed(peers_t *p, const message_t *m, const char *peer)
{
	message_t routed = *m;

	routed.type = MESSAGE_ROUTED;
	g_strlcpy(routed.capacity.peer, peer, sizeof(routed.capacity.peer));
	supervisor_post(p->sup, TASK_FRONT, &routed);
}

static void post_refusal(peers_t *p, const message_t *m)
{
	message_t refuse = *m;

	refuse.type = MESSAGE_REFUSE;
	refuse.capacity.reason = REFUSE_NO_RUNNER;
	refuse.capacity.retry_after_ms = NO_RUNNER_RETRY_MS;
	supervisor_post(p->sup, TASK_FRONT, &refuse);
}

/*
 * Finds the daemon that dispatches for a want. False when none is known or
 * linked, or when this daemon must dispatch the request itself.
 */
static bool find_dispatcher(peers_t *p, const message_capacity_t *c, str_t zone,
			    member_vm_t *out)
{
	str_t name = str_from(c->service);
	runner_group_t group;

	if (p->sup->settings->alone || c->is_local_only)
		return false;
	if (p->sup->settings->fleet && runner_group_parse(c->service, &group) &&
	    group.is_regional)
		return member_regional_dispatcher_host(&p->member, name,
						       now_us(), out);
	return member_dispatcher_host(&p->member, zone, name, now_us(), out);
}

void peers_receive_want(peers_t *p, message_t *m)
{
	message_capacity_t *c = &m->capacity;
	member_vm_t host;

	/*
	 * The sender may have lost its link to the host that this daemon, and
	 * others, still use.
	 */
	c->is_local_only =
		p->sup->settings->fleet &&
		find_dispatcher(p, c, str_from(p->self.zone), &host) &&
		strcmp(host.name, p->self.name) != 0;
	supervisor_post(p->sup, TASK_CAPACITY, m);
}

void peers_route_want(peers_t *p, const message_t *m)
{
	const message_capacity_t *c = &m->capacity;
	bool is_own = !c->zone[0] || !strcmp(c->zone, p->self.zone);
	str_t zone = is_own ? str_from(p->self.zone) : str_from(c->zone);
	member_vm_t vm;
	bool found = find_dispatcher(p, c, zone, &vm);
	bool is_host = found && !strcmp(vm.name, p->self.name);

	if (found && !is_host &&
	    frames_send_capacity(&p->peer, str_from(vm.name), m, now_us())) {
		/*
		 * A want of a request that already runs gets no answer, so the
		 * detector must not wait for one.
		 */
		if (!c->running_on[0])
			detector_request_sent(&p->detector, vm.name, now_us());
		post_routed(p, m, vm.name);
		return;
	}
	if (!is_own) {
		post_refusal(p, m);
		return;
	}
	post_routed(p, m, "");
	message_t local = *m;
	local.capacity.peer[0] = '\0';
	local.capacity.is_local_only = !p->sup->settings->alone && !is_host;
	supervisor_post(p->sup, TASK_CAPACITY, &local);
}

void peers_send_speeds(peers_t *p, const message_speeds_t *speeds)
{
	message_capacity_t c = { .is_local_only = false };
	member_vm_t vm;

	g_strlcpy(c.service, speeds->service, sizeof(c.service));
	if (find_dispatcher(p, &c, str_from(p->self.zone), &vm) &&
	    strcmp(vm.name, p->self.name) != 0) {
		speed_frames_send(&p->peer, str_from(vm.name), speeds);
		return;
	}
	if (member_next_host(&p->member, str_from(speeds->service), &vm))
		speed_frames_send(&p->peer, str_from(vm.name), speeds);
}

void peers_on_route_query(peers_t *p, route_query_t *q)
{
	message_capacity_t *c = &q->capacity;
	bool is_own = !c->zone[0] || !strcmp(c->zone, p->self.zone);
	str_t zone = is_own ? str_from(p->self.zone) : str_from(c->zone);
	member_vm_t vm;
	bool found = find_dispatcher(p, c, zone, &vm);

	if (!found && !is_own) {
		route_query_refuse(q, 503, "no daemon of that zone is linked");
		route_query_post(p->sup, TASK_ADMIN, q);
		return;
	}
	if (!found)
		vm = p->self;
	g_strlcpy(c->zone, vm.zone, sizeof(c->zone));
	g_strlcpy(c->peer, vm.name, sizeof(c->peer));
	g_strlcpy(q->admin_address, vm.admin_address, sizeof(q->admin_address));
	route_query_post(
		p->sup,
		strcmp(vm.name, p->self.name) ? TASK_ADMIN : TASK_CAPACITY, q);
}

void peers_forward(peers_t *p, const message_t *m)
{
	const char *peer = m->capacity.peer;

	if (peer[0])
		frames_send_capacity(&p->peer, str_from(peer), m, now_us());
	else
		supervisor_post(p->sup,
				peers_is_for_owner(m->type) ? TASK_FRONT :
							      TASK_CAPACITY,
				m);
}

/* Finds the daemon with the Ith of the fleet's LIMIT_ROLES limiter roles. */
static bool find_fleet_limiter(peers_t *p, uint32_t i, member_vm_t *out)
{
	char role[MEMBER_NAME_SIZE];

	g_snprintf(role, sizeof(role), "limits-%u", i);
	return member_regional_host(&p->member, str_from(role), now_us(), out);
}

static bool find_limiter(peers_t *p, const char *team, member_vm_t *out)
{
	char role[sizeof("limit/") + MEMBER_NAME_SIZE];

	if (p->sup->settings->fleet)
		return find_fleet_limiter(p, limit_role(str_from(team)), out);
	g_snprintf(role, sizeof(role), "limit/%s", team);
	return member_zone_host(&p->member, str_from(p->self.zone),
				str_from(role), 0, now_us(), out);
}

void peers_link_roles(peers_t *p)
{
	member_vm_t vm;

	/* Each lookup records that the link to the host is needed. */
	for (uint32_t i = 0; i < LIMIT_ROLES; i++)
		find_fleet_limiter(p, i, &vm);
	peers_link_recorders(p);
	peers_link_conductor(p);
	for (guint i = 0; i < p->regional_dispatchers->len; i++) {
		str_t role = str_from(p->regional_dispatchers->pdata[i]);

		member_regional_host(&p->member, role, now_us(), &vm);
		member_link_standby(&p->member, role, now_us());
	}
}

void peers_post_limit_hosts(peers_t *p)
{
	message_t m = { .type = MESSAGE_LIMIT_HOSTS };
	member_vm_t vm;

	if (!p->sup->settings->fleet)
		return;
	for (uint32_t i = 0; i < LIMIT_ROLES; i++)
		if (find_fleet_limiter(p, i, &vm))
			g_strlcpy(m.limit_hosts.hosts[i], vm.name,
				  sizeof(m.limit_hosts.hosts[i]));
	supervisor_post(p->sup, TASK_LIMITS, &m);
}

void peers_route_limit(peers_t *p, const message_t *request)
{
	message_t m = *request;
	member_vm_t vm = { 0 };
	bool found = !m.limit.is_fallback &&
		     find_limiter(p, request->limit.team, &vm);

	if (found && !str_eq(str_from(vm.name), str_from(p->self.name))) {
		if (frames_send_limit(&p->peer, str_from(vm.name), &m)) {
			detector_request_sent(&p->detector, vm.name, now_us());
			return;
		}
		m.limit.is_fallback = true;
	}
	m.limit.is_fallback |= !found && p->sup->settings->fleet;
	supervisor_post(p->sup, TASK_LIMITS, &m);
}

void peers_forward_limit(peers_t *p, const message_t *m)
{
	if (m->limit.peer[0])
		frames_send_limit(&p->peer, str_from(m->limit.peer), m);
	else
		supervisor_post(p->sup,
				m->type == MESSAGE_LIMIT_ANSWER ? TASK_FRONT :
								  TASK_LIMITS,
				m);
}
