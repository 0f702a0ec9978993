/* Converts learned speeds of runners to frames and back. */
#ifndef DAEMON_SPEED_FRAMES_H
#define DAEMON_SPEED_FRAMES_H

#include "daemon/message.h"
#include "net/peer.h"

/* Sends learned speeds to the daemon TO; false when it isn't linked. */
bool speed_frames_send(peer_t *peer, str_t to, const message_speeds_t *speeds);
/*
 * Reads learned speeds; digests with fields out of range are left out. Returns
 * false for other frames, and when nothing is left.
 */
bool speed_frames_read(const Papaya__Frame *frame, message_t *out);

#endif
