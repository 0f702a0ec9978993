#include "net/deflate.h"

#include <zlib.h>

enum { MIN_SIZE = 512 }; /* bytes; smaller texts gain too little */

GBytes *deflate_compress(GBytes *text, uint32_t *size)
{
	g_autoptr(GByteArray) compressed = g_byte_array_new();
	gsize len;
	const void *data = g_bytes_get_data(text, &len);
	uLongf compressed_len = compressBound(len);

	*size = 0;
	if (len < MIN_SIZE || len > DEFLATE_MAX_SIZE)
		return g_bytes_ref(text);
	g_byte_array_set_size(compressed, (guint)compressed_len);
	if (compress2(compressed->data, &compressed_len, data, len,
		      Z_BEST_SPEED) != Z_OK ||
	    compressed_len >= len)
		return g_bytes_ref(text);
	*size = (uint32_t)len;
	return g_bytes_new(compressed->data, compressed_len);
}

GBytes *deflate_decompress(GBytes *bytes, uint32_t size)
{
	g_autoptr(GByteArray) text = g_byte_array_new();
	gsize len;
	const void *data = g_bytes_get_data(bytes, &len);
	uLongf text_len = size;

	if (!size)
		return g_bytes_ref(bytes);
	if (size > DEFLATE_MAX_SIZE)
		return NULL;
	g_byte_array_set_size(text, size);
	if (uncompress(text->data, &text_len, data, len) != Z_OK ||
	    text_len != size)
		return NULL;
	return g_bytes_new(text->data, text_len);
}
