/* Length-counted strings that don't own their bytes. */
#ifndef COMMON_STR_H
#define COMMON_STR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

/* A view of LEN bytes at PTR, which are owned elsewhere. */
typedef struct str {
	const char *ptr;
	size_t len;
} str_t;

#define STR_LIT(s) ((str_t){ (s), sizeof(s) - 1 })

/* Returns a view of a NUL-terminated string; NULL gives the empty view. */
static inline str_t str_from(const char *s)
{
	return (str_t){ s ? s : "", s ? strlen(s) : 0 };
}

/* Tells whether two views hold the same bytes. */
static inline bool str_eq(str_t a, str_t b)
{
	return a.len == b.len && !memcmp(a.ptr, b.ptr, a.len);
}

/*
 * Copies a view into a fixed-size buffer and NUL-terminates it. Returns false,
 * with an empty string in the buffer, when the view doesn't fit or contains a
 * NUL byte.
 */
bool str_copy(char *buf, size_t size, str_t s);

/*
 * Like str_eq(), for comparing secrets: the time taken depends on the length of
 * B alone. B is the expected value, A the one received.
 */
bool str_eq_const_time(str_t a, str_t b);

/* Parses a decimal number without a sign; false if S isn't one. */
bool str_to_number(str_t s, uint64_t *out);

/* Returns a 64-bit hash of the bytes (XXH3, seed 0). */
unsigned long long str_hash(str_t s);

#endif
