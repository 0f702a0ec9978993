/* Converts messages about streams' releases to frames and back. */
#ifndef DAEMON_STREAM_FRAMES_H
#define DAEMON_STREAM_FRAMES_H

#include "daemon/message.h"
#include "net/peer.h"

/* Sends the streams that have begun; false when there is no link. */
bool stream_frames_send_notes(peer_t *peer, str_t to, const GArray *begun);
/* Sends a question or an answer; false when there is no link. */
bool stream_frames_send(peer_t *peer, str_t to, const message_t *m);
/*
 * Reads a frame that was received from PEER. Returns false for other frames and
 * for fields that are out of range.
 */
bool stream_frames_read(const Papaya__Frame *frame, const char *peer,
			message_t *out);

#endif
