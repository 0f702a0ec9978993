/*
 * Frames on a byte stream: a protobuf-c message after a 4-byte big-endian
 * length, which is checked before memory is allocated for the message.
 */
#ifndef NET_FRAME_H
#define NET_FRAME_H

#include <event2/buffer.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "net/peer.pb-c.h"

enum { FRAME_PREFIX_SIZE = 4 }; /* bytes */

typedef enum frame_result {
	FRAME_OK,
	FRAME_PARTIAL, /* more bytes are needed */
	FRAME_BAD_LENGTH, /* the length is over the limit, or zero */
	FRAME_MALFORMED, /* not a protobuf-c message, or of an unknown type */
} frame_result_t;

/* Returns the encoded size of a frame, length prefix included. */
size_t frame_size(const Papaya__Frame *frame);

/* Appends a frame; returns false, with OUT unchanged, when out of memory. */
bool frame_write(struct evbuffer *out, const Papaya__Frame *frame);

/*
 * Reads the first frame, of at most MAX bytes, from IN. With FRAME_OK, free
 * *FRAME with frame_free; otherwise it is NULL and IN is unchanged.
 */
frame_result_t frame_read(struct evbuffer *in, uint32_t max,
			  Papaya__Frame **frame);
void frame_free(Papaya__Frame *frame);

/* Describes a result, for error messages. */
const char *frame_result_text(frame_result_t result);

#endif
