/* What readers of the store tell other daemons, as frames. */
#ifndef DAEMON_NEWS_FRAMES_H
#define DAEMON_NEWS_FRAMES_H

#include "daemon/message.h"
#include "net/peer.h"

/*
 * Sends news to the daemon they are for, or on the links of those names for
 * which WANTS is true.
 */
void news_frames_send(peer_t *peer, const message_news_t *news,
		      bool (*wants)(void *ctx, const char *name), void *ctx);
/*
 * Reads a frame into a message that owns its records; false when one can't
 * be inflated.
 */
bool news_frames_read(const Papaya__StoreNews *frame, message_t *out);
/* Returns records packed for a list, with their length in SIZE. */
GBytes *news_frames_pack(const GArray *records, uint32_t *size);

#endif
