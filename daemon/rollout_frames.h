/* Converts messages about roll-outs to peer frames and back. */
#ifndef DAEMON_ROLLOUT_FRAMES_H
#define DAEMON_ROLLOUT_FRAMES_H

#include "daemon/message.h"
#include "net/peer.h"

/* Sends ROLLOUT_REPORT or ROLLOUT_TOLD; false when it was not sent. */
bool rollout_frames_send(peer_t *peer, str_t to, const message_t *m);
/*
 * Reads such a frame that was received from PEER; false for other frames and
 * for fields that are out of range.
 */
bool rollout_frames_read(const Papaya__Frame *frame, const char *peer,
			 message_t *out);

#endif
