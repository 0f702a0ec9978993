#include "net/frame.h"

#include <arpa/inet.h>
#include <string.h>

size_t frame_size(const Papaya__Frame *frame)
{
	return FRAME_PREFIX_SIZE + papaya__frame__get_packed_size(frame);
}

bool frame_write(struct evbuffer *out, const Papaya__Frame *frame)
{
	size_t size = frame_size(frame);
	uint32_t prefix = htonl((uint32_t)(size - FRAME_PREFIX_SIZE));
	struct evbuffer_iovec vec;

	if (evbuffer_reserve_space(out, (ev_ssize_t)size, &vec, 1) != 1)
		return false;
	memcpy(vec.iov_base, &prefix, sizeof(prefix));
	papaya__frame__pack(frame, (uint8_t *)vec.iov_base + FRAME_PREFIX_SIZE);
	vec.iov_len = size;
	return !evbuffer_commit_space(out, &vec, 1);
}

frame_result_t frame_read(struct evbuffer *in, uint32_t max,
			  Papaya__Frame **frame)
{
	uint32_t len;
	const uint8_t *bytes;

	*frame = NULL;
	if (evbuffer_copyout(in, &len, sizeof(len)) < (ev_ssize_t)sizeof(len))
		return FRAME_PARTIAL;
	len = ntohl(len);
	if (!len || len > max)
		return FRAME_BAD_LENGTH;
	if (evbuffer_get_length(in) < FRAME_PREFIX_SIZE + (size_t)len)
		return FRAME_PARTIAL;
	bytes = evbuffer_pullup(in, FRAME_PREFIX_SIZE + (ev_ssize_t)len);
	if (!bytes)
		return FRAME_MALFORMED;
	*frame = papaya__frame__unpack(NULL, len, bytes + FRAME_PREFIX_SIZE);
	if (!*frame)
		return FRAME_MALFORMED;
	if ((*frame)->body_case == PAPAYA__FRAME__BODY__NOT_SET) {
		frame_free(*frame);
		*frame = NULL;
		return FRAME_MALFORMED;
	}
	evbuffer_drain(in, FRAME_PREFIX_SIZE + (size_t)len);
	return FRAME_OK;
}

void frame_free(Papaya__Frame *frame)
{
	if (frame)
		papaya__frame__free_unpacked(frame, NULL);
}

const char *frame_result_text(frame_result_t result)
{
	static const char *const texts[] = {
		[FRAME_OK] = "whole frame",
		[FRAME_PARTIAL] = "partial frame",
		[FRAME_BAD_LENGTH] = "frame length out of range",
		[FRAME_MALFORMED] = "malformed frame",
	};

	return texts[result];
}
