/* Frames with updates of the platform store's topics, sent between daemons. */
#ifndef DAEMON_UPDATE_FRAMES_H
#define DAEMON_UPDATE_FRAMES_H

#include "daemon/message.h"
#include "net/peer.h"

/*
 * Sends an update to the daemon that it names. When it names none, sends it on
 * the links of those daemons for which FILTER is true, or on all links when
 * FILTER is NULL.
 */
void update_frames_send(peer_t *peer, const message_update_t *update,
			bool (*filter)(void *ctx, const char *name), void *ctx);
/*
 * Reads a frame into a message that owns its records. False when a value or a
 * list can't be decompressed or parsed; OUT then holds nothing to be freed.
 */
bool update_frames_read(const Papaya__StoreNews *frame, message_t *out);
/*
 * Serializes and compresses the records of a list. SIZE is set to the length
 * before compression, or 0 when they are not compressed.
 */
GBytes *update_frames_encode(const GArray *records, uint32_t *size);

#endif
