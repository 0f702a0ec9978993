/* Converts notices of prompt parts that crash runners to frames and back. */
#ifndef DAEMON_PART_FRAMES_H
#define DAEMON_PART_FRAMES_H

#include "daemon/message.h"
#include "net/peer.h"

/*
 * Sends a notice to the daemon that it names. When it names none, sends it on
 * the links of those daemons for which FILTER is true, or on all links when
 * FILTER is NULL.
 */
void part_frames_send(peer_t *peer, const message_part_t *notice, int64_t now,
		      bool (*filter)(void *ctx, const char *name), void *ctx);
/*
 * Reads a notice. Returns false for other frames and for fields that are out
 * of range.
 */
bool part_frames_read(const Papaya__Frame *frame, int64_t now, message_t *out);

#endif
