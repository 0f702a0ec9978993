#include "daemon/part_frames.h"
#include "daemon/peers.h"

bool peers_on_part_frame(peers_t *p, const char *name,
			 const Papaya__Frame *frame)
{
	message_t m;

	if (!part_frames_read(frame, now_us(), &m))
		return false;
	/* The sender has links to only a few daemons of another zone. */
	if (!peers_is_own_zone(p, name))
		part_frames_send(&p->peer, &m.part, now_us(), peers_is_own_zone,
				 p);
	supervisor_post(p->sup, TASK_FRONT, &m);
	return true;
}

void peers_send_part(peers_t *p, const message_part_t *notice)
{
	part_frames_send(&p->peer, notice, now_us(), NULL, NULL);
}
