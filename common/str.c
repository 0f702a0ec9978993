#include "common/str.h"

#include <glib.h>
#include <xxhash.h>

enum { MAX_DIGITS = 20 }; /* of a 64-bit number */

bool str_copy(char *buf, size_t size, str_t s)
{
	buf[0] = '\0';
	if (s.len >= size || memchr(s.ptr, '\0', s.len))
		return false;
	memcpy(buf, s.ptr, s.len);
	buf[s.len] = '\0';
	return true;
}

bool str_eq_const_time(str_t a, str_t b)
{
	volatile unsigned char diff = a.len != b.len;

	for (size_t i = 0; i < b.len; i++)
		diff |= (unsigned char)((i < a.len ? a.ptr[i] : 0) ^ b.ptr[i]);
	return !diff;
}

unsigned long long str_hash(str_t s)
{
	return XXH3_64bits(s.ptr, s.len);
}

bool str_to_number(str_t s, uint64_t *out)
{
	char text[MAX_DIGITS + 1];
	guint64 value;

	if (!str_copy(text, sizeof(text), s) ||
	    !g_ascii_string_to_unsigned(text, 10, 0, G_MAXUINT64, &value, NULL))
		return false;
	*out = value;
	return true;
}
