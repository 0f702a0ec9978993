/* Encoding and decoding of hand-over messages as frames between daemons. */
#ifndef NET_HANDOVER_FRAME_H
#define NET_HANDOVER_FRAME_H

#include <stdbool.h>
#include <stdint.h>

#include "core/handover.h"
#include "net/peer.pb-c.h"

/* Sends a frame to the peer NAME, as peer_send does; CTX holds the peer_t. */
typedef bool (*handover_frame_send_t)(void *ctx, str_t name,
				      const Papaya__Frame *frame);

bool handover_frame_send_part(handover_frame_send_t send, void *ctx, str_t name,
			      const handover_part_t *part);
bool handover_frame_send_ack(handover_frame_send_t send, void *ctx, str_t name,
			     uint64_t incarnation, uint32_t serial);
/* Decodes a hand-over frame from the peer FROM and passes it to H. */
void handover_frame_receive(handover_t *h, str_t from,
			    const Papaya__HandOver *msg, int64_t now);

#endif
