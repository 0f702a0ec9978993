#include "common/str.h"

#include <xxhash.h>

bool str_copy(char *buf, size_t size, str_t s)
{
	buf[0] = '\0';
	if (s.len >= size || memchr(s.ptr, '\0', s.len))
		return false;
	memcpy(buf, s.ptr, s.len);
	buf[s.len] = '\0';
	return true;
}

unsigned long long str_hash(str_t s)
{
	return XXH3_64bits(s.ptr, s.len);
}
