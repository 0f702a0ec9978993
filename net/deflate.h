/*
 * Compression (zlib) of large texts that are sent to every peer: a
 * configuration is sent over more than a hundred links at once.
 */
#ifndef NET_DEFLATE_H
#define NET_DEFLATE_H

#include <glib.h>
#include <stdint.h>

/* Size limit of a text and of its compressed form, in bytes. */
enum { DEFLATE_MAX_SIZE = 8 * 1024 * 1024 };

/*
 * Returns the compressed text, with SIZE set to the length of TEXT; or TEXT
 * with SIZE 0 when it is under 512 bytes, over the limit, or would not shrink.
 * The result is a new reference either way.
 */
GBytes *deflate_compress(GBytes *text, uint32_t *size);
/*
 * Decompresses what deflate_compress returned; SIZE 0 means that BYTES are not
 * compressed. Returns a new reference, or NULL when BYTES don't decompress to
 * exactly SIZE bytes or SIZE exceeds the limit.
 */
GBytes *deflate_decompress(GBytes *bytes, uint32_t size);

#endif
