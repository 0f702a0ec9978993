/*
 * Routes reports of roll-outs to the daemon that conducts them, which follows
 * from the name of the role, and its answers back.
 */
#include "daemon/peers.h"
#include "daemon/rollout_frames.h"

static const char role[] = "rollouts";

/* Finds the conductor; false when it is this daemon, or none is known. */
static bool find_conductor(peers_t *p, member_vm_t *out)
{
	return member_regional_host(&p->member, STR_LIT(role), now_us(), out) &&
	       strcmp(out->name, p->self.name) != 0;
}

void peers_link_conductor(peers_t *p)
{
	member_vm_t vm;

	if (!p->sup->settings->rollouts)
		return;
	/* The lookup records that the link to the host is needed. */
	find_conductor(p, &vm);
	member_link_standby(&p->member, STR_LIT(role), now_us());
}

void peers_post_rollout_host(peers_t *p)
{
	message_t m = { .type = MESSAGE_ROLLOUT_HOST };

	if (!p->sup->settings->rollouts || !p->sup->settings->fleet)
		return;
	m.number = member_is_regional_host(&p->member, STR_LIT(role));
	supervisor_post(p->sup, TASK_PLATFORM, &m);
}

/* Passes on a message, with what it refers to, to a task of this daemon. */
static void post_copy(peers_t *p, task_id_t to, const message_t *m)
{
	message_t copy = *m;

	if (copy.type == MESSAGE_ROLLOUT_REPORT && copy.rollout.tallies)
		g_array_ref(copy.rollout.tallies);
	supervisor_post(p->sup, to, &copy);
}

void peers_route_rollout(peers_t *p, const message_t *m)
{
	member_vm_t vm;

	if (m->type == MESSAGE_ROLLOUT_TOLD && m->rollout.peer[0])
		rollout_frames_send(&p->peer, str_from(m->rollout.peer), m);
	else if (m->type == MESSAGE_ROLLOUT_TOLD)
		post_copy(p, TASK_FRONT, m);
	else if (find_conductor(p, &vm))
		rollout_frames_send(&p->peer, str_from(vm.name), m);
	else
		post_copy(p, TASK_PLATFORM, m);
}

bool peers_on_rollout_frame(peers_t *p, const char *name,
			    const Papaya__Frame *frame)
{
	message_t m;

	if (!rollout_frames_read(frame, name, &m))
		return false;
	supervisor_post(p->sup,
			m.type == MESSAGE_ROLLOUT_TOLD ? TASK_FRONT :
							 TASK_PLATFORM,
			&m);
	return true;
}
