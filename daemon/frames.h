/* Turns messages between tasks into peer frames and back. */
#ifndef DAEMON_FRAMES_H
#define DAEMON_FRAMES_H

#include "daemon/message.h"
#include "net/peer.h"

/*
 * Sends a message about capacity (WANT, GRANT, REFUSE, CANCEL, WITHDRAW,
 * FIRST_TOKEN, DONE) to a peer. Returns false when it was not sent.
 */
bool frames_send_capacity(peer_t *peer, str_t to, const message_t *m,
			  int64_t now);
/*
 * Reads such a frame that came from PEER. Returns false for other frames and
 * for fields that are out of range.
 */
bool frames_read_capacity(const Papaya__Frame *frame, const char *peer,
			  int64_t now, message_t *out);
/* Sends LIMIT_ASK, LIMIT_ANSWER or LIMIT_RELEASE to a peer. */
bool frames_send_limit(peer_t *peer, str_t to, const message_t *m);
/* Reads such a frame; false for other frames and bad fields. */
bool frames_read_limit(const Papaya__Frame *frame, const char *peer,
		       message_t *out);
/* Sends documents; they go in several frames when they are many. */
bool frames_send_documents(peer_t *peer, const message_docs_t *docs);
/* Reads documents; the caller finishes OUT. */
void frames_read_documents(const Papaya__Documents *frame, const char *peer,
			   message_t *out);

#endif
