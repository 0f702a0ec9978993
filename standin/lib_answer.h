/*
 * Checks that an answer is whole and belongs to its own request; see "What
 * the stand-ins add" in docs/UPSTREAMS.md. Fed piece by piece.
 */
#ifndef STANDIN_LIB_ANSWER_H
#define STANDIN_LIB_ANSWER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"

enum { ANSWER_REASON_SIZE = 128 };

typedef enum answer_kind {
	ANSWER_STREAM,
	ANSWER_WHOLE, /* a completion in one object */
	ANSWER_PLAIN, /* a desk's */
} answer_kind_t;

typedef struct answer {
	answer_kind_t kind;
	const char *call; /* id; belongs to the caller */
	char hash[9];
	uint32_t tokens; /* expected */
	uint32_t seen;
	GString *buf; /* not parsed yet */
	char outcome[16]; /* from an error event; "" when there was none */
	char reason[ANSWER_REASON_SIZE]; /* why it is wrong */
	bool is_wrong;
	bool is_done; /* the stream said [DONE] */
} answer_t;

void answer_init(answer_t *a, answer_kind_t kind, const char *call, str_t text,
		 uint32_t tokens);
void answer_finish(answer_t *a);
void answer_feed(answer_t *a, str_t data);
/*
 * The exchange ended as it should. Sets is_wrong unless the answer is whole;
 * call it only for an answer that claims to be completed.
 */
void answer_close(answer_t *a);

#endif
