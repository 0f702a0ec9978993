/*
 * The protocol by which a daemon reaches a runner through another daemon. The
 * client connects to the proxy and sends one line: the runner's address and a
 * proof that it knows the secret that all daemons share. The proxy answers with
 * frames, and once it has a connection (TUNNEL_OPEN) it passes the client's
 * bytes on unchanged. What the runner sends comes in frames, so that the client
 * can tell the runner's orderly end (TUNNEL_END) from that of the proxy.
 *
 * A frame is its type (1 byte), the length of its data (2 bytes, big-endian)
 * and the data, which only TUNNEL_DATA has.
 */
#ifndef NET_TUNNEL_H
#define NET_TUNNEL_H

#include <event2/buffer.h>
#include <stdbool.h>

#include "common/str.h"

enum {
	TUNNEL_ADDRESS_SIZE = 64, /* IP:port, with the NUL */
	TUNNEL_MAX_HELLO = 256, /* bytes of the client's line */
};

typedef enum tunnel_frame {
	TUNNEL_NONE = 0,
	TUNNEL_OPEN = 'O', /* the runner is connected */
	/* The proxy reaches other runners, but not this one. */
	TUNNEL_UNREACHABLE = 'U',
	/* The proxy reaches no runner, or is busy: another one may do. */
	TUNNEL_UNAVAILABLE = 'X',
	TUNNEL_DATA = 'D',
	TUNNEL_END = 'E', /* the runner ended its side in order */
	TUNNEL_BROKEN = 'B', /* the runner's connection broke */
	TUNNEL_LEAVING = 'L', /* the proxy ends soon: use it for nothing new */
} tunnel_frame_t;

typedef enum tunnel_result {
	TUNNEL_MORE, /* no whole frame or line is there */
	TUNNEL_READ,
	TUNNEL_MALFORMED,
} tunnel_result_t;

void tunnel_write_hello(struct evbuffer *out, str_t secret,
			const char *address);
/* Takes the line; MALFORMED if it is none, or its proof is wrong. */
tunnel_result_t tunnel_read_hello(struct evbuffer *in, str_t secret,
				  char address[TUNNEL_ADDRESS_SIZE]);
/* Writes a frame without data. */
void tunnel_write(struct evbuffer *out, tunnel_frame_t frame);
/* Moves all of DATA into frames. */
void tunnel_write_data(struct evbuffer *out, struct evbuffer *data);
/* Takes one frame; adds its data to DATA. */
tunnel_result_t tunnel_read(struct evbuffer *in, tunnel_frame_t *frame,
			    struct evbuffer *data);

#endif
