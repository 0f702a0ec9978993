#include "net/tunnel.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

enum {
	HEADER_BYTES = 3,
	MAX_DATA_BYTES = 16 * 1024, /* of a frame that is written */
};

static const char magic[] = "papaya-tunnel/1";

/* The proof is of this address: it opens no connection to another one. */
static char *prove(str_t secret, const char *address)
{
	return g_compute_hmac_for_string(G_CHECKSUM_SHA256,
					 (const guchar *)secret.ptr, secret.len,
					 address, (gssize)strlen(address));
}

void tunnel_write_hello(struct evbuffer *out, str_t secret, const char *address)
{
	g_autofree char *proof = prove(secret, address);

	evbuffer_add_printf(out, "%s %s %s\n", magic, address, proof);
}

tunnel_result_t tunnel_read_hello(struct evbuffer *in, str_t secret,
				  char address[TUNNEL_ADDRESS_SIZE])
{
	size_t held = evbuffer_get_length(in);
	char *line = evbuffer_readln(in, NULL, EVBUFFER_EOL_LF);
	g_autofree char *proof = NULL;
	g_auto(GStrv) words = NULL;

	if (!line)
		return held > TUNNEL_MAX_HELLO ? TUNNEL_MALFORMED : TUNNEL_MORE;
	words = g_strsplit(line, " ", -1);
	free(line);
	if (g_strv_length(words) != 3 || strcmp(words[0], magic) != 0 ||
	    strlen(words[1]) >= TUNNEL_ADDRESS_SIZE)
		return TUNNEL_MALFORMED;
	proof = prove(secret, words[1]);
	if (strcmp(proof, words[2]) != 0)
		return TUNNEL_MALFORMED;
	g_strlcpy(address, words[1], TUNNEL_ADDRESS_SIZE);
	return TUNNEL_READ;
}

static void write_header(struct evbuffer *out, tunnel_frame_t frame, size_t len)
{
	const unsigned char header[HEADER_BYTES] = { (unsigned char)frame,
						     (unsigned char)(len >> 8),
						     (unsigned char)len };

	evbuffer_add(out, header, sizeof(header));
}

void tunnel_write(struct evbuffer *out, tunnel_frame_t frame)
{
	write_header(out, frame, 0);
}

void tunnel_write_data(struct evbuffer *out, struct evbuffer *data)
{
	size_t len;

	while ((len = evbuffer_get_length(data))) {
		len = MIN(len, MAX_DATA_BYTES);
		write_header(out, TUNNEL_DATA, len);
		evbuffer_remove_buffer(data, out, len);
	}
}

static bool is_known(tunnel_frame_t frame)
{
	switch (frame) {
	case TUNNEL_OPEN:
	case TUNNEL_UNREACHABLE:
	case TUNNEL_UNAVAILABLE:
	case TUNNEL_DATA:
	case TUNNEL_END:
	case TUNNEL_BROKEN:
	case TUNNEL_LEAVING:
		return true;
	default:
		return false;
	}
}

tunnel_result_t tunnel_read(struct evbuffer *in, tunnel_frame_t *frame,
			    struct evbuffer *data)
{
	unsigned char header[HEADER_BYTES];
	size_t len;

	if (evbuffer_copyout(in, header, sizeof(header)) < HEADER_BYTES)
		return TUNNEL_MORE;
	*frame = (tunnel_frame_t)header[0];
	len = (size_t)header[1] << 8 | header[2];
	if (!is_known(*frame) || (len && *frame != TUNNEL_DATA))
		return TUNNEL_MALFORMED;
	if (evbuffer_get_length(in) < HEADER_BYTES + len)
		return TUNNEL_MORE;
	evbuffer_drain(in, HEADER_BYTES);
	evbuffer_remove_buffer(in, data, len);
	return TUNNEL_READ;
}
