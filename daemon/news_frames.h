/* What readers of the store tell other daemons, as frames. */
#ifndef DAEMON_NEWS_FRAMES_H
#define DAEMON_NEWS_FRAMES_H

#include "daemon/message.h"
#include "net/peer.h"

/* Sends news on the links of those names for which WANTS is true, or on all. */
void news_frames_send(peer_t *peer, const message_news_t *news,
		      bool (*wants)(void *ctx, const char *name), void *ctx);
/*
 * Reads a frame into a message that owns its records; false when one can't
 * be inflated.
 */
bool news_frames_read(const Papaya__StoreNews *frame, message_t *out);

#endif
