#include "net/packed.h"

#include <zlib.h>

enum { LEAST_SIZE = 512 }; /* bytes; less is not worth the time */

GBytes *packed_pack(GBytes *text, uint32_t *size)
{
	g_autoptr(GByteArray) packed = g_byte_array_new();
	gsize len;
	const void *data = g_bytes_get_data(text, &len);
	uLongf packed_len = compressBound(len);

	*size = 0;
	if (len < LEAST_SIZE || len > PACKED_MAX_SIZE)
		return g_bytes_ref(text);
	g_byte_array_set_size(packed, (guint)packed_len);
	if (compress2(packed->data, &packed_len, data, len, Z_BEST_SPEED) !=
		    Z_OK ||
	    packed_len >= len)
		return g_bytes_ref(text);
	*size = (uint32_t)len;
	return g_bytes_new(packed->data, packed_len);
}

GBytes *packed_unpack(GBytes *bytes, uint32_t size)
{
	g_autoptr(GByteArray) text = g_byte_array_new();
	gsize len;
	const void *data = g_bytes_get_data(bytes, &len);
	uLongf text_len = size;

	if (!size)
		return g_bytes_ref(bytes);
	if (size > PACKED_MAX_SIZE)
		return NULL;
	g_byte_array_set_size(text, size);
	if (uncompress(text->data, &text_len, data, len) != Z_OK ||
	    text_len != size)
		return NULL;
	return g_bytes_new(text->data, text_len);
}
