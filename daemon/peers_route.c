#include "daemon/frames.h"
#include "daemon/peers.h"

enum { NO_RUNNER_RETRY_MS = 1000 };

bool peers_is_for_owner(message_type_t type)
{
	return type == MESSAGE_GRANT || type == MESSAGE_REFUSE ||
	       type == MESSAGE_CANCEL || type == MESSAGE_QUEUED;
}

/* A ticket is good at the daemon that issued it, and nowhere else. */
static void locate_ticket(peers_t *p, const message_locate_t *asked,
			  message_t *out)
{
	member_owner_t *owner = &out->locate.owner;
	member_state_t state;
	bool found;

	*out = (message_t){ .type = MESSAGE_LOCATED, .locate = *asked };
	found = member_find(&p->member, str_from(asked->ticket_daemon),
			    &owner->vm, &state, NULL);
	owner->kind = found && state != MEMBER_DEAD ? MEMBER_OWNER_PEER :
						      MEMBER_OWNER_NONE;
}

void peers_locate(peers_t *p, const message_locate_t *asked)
{
	message_t m;

	peers_follow_epoch(p);
	if (asked->ticket_daemon[0])
		locate_ticket(p, asked, &m);
	else
		keys_locate(&p->keys, asked, &m);
	supervisor_post(p->sup, TASK_FRONT, &m);
}

static void answer_routed(peers_t *p, const message_t *m, const char *peer)
{
	message_t routed = *m;

	routed.type = MESSAGE_ROUTED;
	g_strlcpy(routed.capacity.peer, peer, sizeof(routed.capacity.peer));
	supervisor_post(p->sup, TASK_FRONT, &routed);
}

static void refuse_route(peers_t *p, const message_t *m)
{
	message_t refuse = *m;

	refuse.type = MESSAGE_REFUSE;
	refuse.capacity.reason = REFUSE_NO_RUNNER;
	refuse.capacity.retry_after_ms = NO_RUNNER_RETRY_MS;
	supervisor_post(p->sup, TASK_FRONT, &refuse);
}

void peers_route_want(peers_t *p, const message_t *m)
{
	const message_capacity_t *c = &m->capacity;
	bool is_own = !c->zone[0] || !strcmp(c->zone, p->self.zone);
	str_t zone = is_own ? str_from(p->self.zone) : str_from(c->zone);
	member_vm_t vm;
	bool found = !p->sup->settings->alone && !c->is_alone &&
		     member_dispatcher(&p->member, zone, str_from(c->service),
				       0, now_us(), &vm);

	if (found && strcmp(vm.name, p->self.name) &&
	    frames_send_capacity(&p->peer, str_from(vm.name), m, now_us())) {
		answer_routed(p, m, vm.name);
		return;
	}
	if (!is_own) {
		refuse_route(p, m);
		return;
	}
	answer_routed(p, m, "");
	message_t local = *m;
	local.capacity.peer[0] = '\0';
	supervisor_post(p->sup, TASK_CAPACITY, &local);
}

void peers_pass_on(peers_t *p, const message_t *m)
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

void peers_route_limit(peers_t *p, const message_t *asked)
{
	char role[sizeof("limit/") + MEMBER_NAME_SIZE];
	message_t m = *asked;
	member_vm_t vm = { 0 };
	bool found;

	g_snprintf(role, sizeof(role), "limit/%s", asked->limit.team);
	found = !m.limit.is_fallback &&
		member_dispatcher(&p->member, str_from(p->self.zone),
				  str_from(role), 0, now_us(), &vm);
	if (found && !str_eq(str_from(vm.name), str_from(p->self.name))) {
		if (frames_send_limit(&p->peer, str_from(vm.name), &m))
			return;
		m.limit.is_fallback = true;
	}
	supervisor_post(p->sup, TASK_LIMITS, &m);
}

void peers_pass_limit_on(peers_t *p, const message_t *m)
{
	if (m->limit.peer[0])
		frames_send_limit(&p->peer, str_from(m->limit.peer), m);
	else
		supervisor_post(p->sup,
				m->type == MESSAGE_LIMIT_ANSWER ? TASK_FRONT :
								  TASK_LIMITS,
				m);
}
