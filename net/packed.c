#include "net/packed.h"

#include <zlib.h>

enum { LEAST_SIZE = 512 }; /* bytes; less is not worth the time */

GBytes *packed_pack(GBytes *text, uint32_t *size)
{
	gsize len;
	const void *data = g_bytes_get_data(text, &len);
	uLongf packed_len = compressBound(len);
	g_autofree Bytef *packed = NULL;

	*size = 0;
	if (len < LEAST_SIZE || len > PACKED_MAX_SIZE)
		return g_bytes_ref(text);
	packed = g_malloc(packed_len);
	if (compress2(packed, &packed_len, data, len, Z_BEST_SPEED) != Z_OK ||
	    packed_len >= len)
		return g_bytes_ref(text);
	*size = (uint32_t)len;
	return g_bytes_new(packed, packed_len);
}

GBytes *packed_unpack(GBytes *bytes, uint32_t size)
{
	gsize len;
	const void *data = g_bytes_get_data(bytes, &len);
	uLongf text_len = size;
	g_autofree Bytef *text = NULL;

	if (!size)
		return g_bytes_ref(bytes);
	if (size > PACKED_MAX_SIZE)
		return NULL;
	text = g_malloc(size);
	if (uncompress(text, &text_len, data, len) != Z_OK || text_len != size)
		return NULL;
	return g_bytes_new_take(g_steal_pointer(&text), text_len);
}
