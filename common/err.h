/* Errors that carry the step that failed and the peer involved. */
#ifndef COMMON_ERR_H
#define COMMON_ERR_H

#include <stdbool.h>

typedef enum err_code {
	ERR_NONE,
	ERR_INVALID, /* malformed or out-of-range input */
	ERR_REFUSED, /* the peer refused the connection or the request */
	ERR_TIMEOUT, /* no answer within the time allowed */
	ERR_CLOSED, /* the peer closed the connection early */
	ERR_LIMIT, /* a limit of this program was reached */
	ERR_UNAVAILABLE, /* a required resource is not available now */
	ERR_CONFLICT, /* another writer has written since the read */
	ERR_SYSTEM, /* the operating system reported an error */
} err_code_t;

enum {
	ERR_PEER_SIZE = 64, /* bytes, with the NUL */
	ERR_DETAIL_SIZE = 192, /* bytes, with the NUL */
};

/* An error; the caller provides the memory. */
typedef struct err {
	err_code_t code;
	const char *step; /* static string: what was being done */
	char peer[ERR_PEER_SIZE]; /* address or name; empty when local */
	char detail[ERR_DETAIL_SIZE];
} err_t;

/* Fills an error; ERR may be NULL. */
void err_fill(err_t *err, err_code_t code, const char *step, const char *peer,
	      const char *fmt, ...) __attribute__((format(printf, 5, 6)));

/*
 * Fills an error and evaluates to false, so that a failing function can end
 * with `return err_set(...)`. It is a macro so that static analysis sees the
 * value.
 */
#define err_set(...)                   \
	__extension__({                \
		err_fill(__VA_ARGS__); \
		false;                 \
	})

/* Writes "step: detail (peer PEER)" into BUF and returns BUF. */
const char *err_text(const err_t *err, char *buf, unsigned int size);

/* Returns the code's name in lower case. */
const char *err_code_name(err_code_t code);

#endif
