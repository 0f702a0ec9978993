/*
 * Large texts that go to every peer, deflated by zlib: a configuration is
 * sent over more than a hundred links at once.
 */
#ifndef NET_PACKED_H
#define NET_PACKED_H

#include <glib.h>
#include <stdint.h>

/* Bytes that a text may have, and its deflated form too. */
enum { PACKED_MAX_SIZE = 8 * 1024 * 1024 };

/*
 * Returns the text deflated, with SIZE set to its length; or the text itself
 * with SIZE 0 when that is no longer. A new reference either way.
 */
GBytes *packed_pack(GBytes *text, uint32_t *size);
/* Undoes it; NULL when BYTES are not a deflated text of SIZE bytes. */
GBytes *packed_unpack(GBytes *bytes, uint32_t size);

#endif
