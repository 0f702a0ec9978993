/* Converts messages between tasks to peer frames and back. */
#ifndef DAEMON_FRAMES_H
#define DAEMON_FRAMES_H

#include "daemon/message.h"
#include "net/peer.h"

/*
 * Sends a message about capacity (WANT, GRANT, REFUSE, CANCEL, QUEUED,
 * WITHDRAW, FIRST_TOKEN, DONE) to a peer. Returns false when it was not sent.
 */
bool frames_send_capacity(peer_t *peer, str_t to, const message_t *m,
			  int64_t now);
/*
 * Reads a frame about capacity that was received from PEER. Returns false for
 * other frames and for fields that are out of range.
 */
bool frames_read_capacity(const Papaya__Frame *frame, const char *peer,
			  int64_t now, message_t *out);
/*
 * Sends LIMIT_ASK, LIMIT_ANSWER or LIMIT_RELEASE to a peer. Returns false when
 * it was not sent.
 */
bool frames_send_limit(peer_t *peer, str_t to, const message_t *m);
/*
 * Reads a frame about limits that was received from PEER. Returns false for
 * other frames and for fields that are too long.
 */
bool frames_read_limit(const Papaya__Frame *frame, const char *peer,
		       message_t *out);
/* Sends LIMIT_LEND or LIMIT_STAMP to the peer that the message names. */
bool frames_send_lease(peer_t *peer, const message_t *m);
/* Reads such a frame that was received from PEER; false for other frames. */
bool frames_read_lease(const Papaya__Frame *frame, const char *peer,
		       message_t *out);
/*
 * Sends documents, split over several frames when they exceed half the
 * largest frame. Returns false when a frame was not sent.
 */
bool frames_send_documents(peer_t *peer, const message_docs_t *docs);
/*
 * Reads documents, skipping those with a name or nonce that is too long. The
 * caller releases OUT with message_finish().
 */
void frames_read_documents(const Papaya__Documents *frame, const char *peer,
			   message_t *out);

#endif
