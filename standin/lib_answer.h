/*
 * Incremental check that an answer is complete and belongs to its own
 * request; see "What the stand-ins add" in docs/UPSTREAMS.md.
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
	ANSWER_PLAIN, /* from a plain service (desk.c) */
} answer_kind_t;

typedef struct answer {
	answer_kind_t kind;
	const char *call; /* id of the call; not owned */
	char hash[9];
	uint32_t expected_tokens;
	uint32_t received_tokens; /* correct ones, so far */
	GString *buf; /* input not parsed yet */
	char outcome[16]; /* from an error event; "" when there was none */
	char reason[ANSWER_REASON_SIZE]; /* why the answer is wrong */
	bool is_wrong;
	bool is_done; /* the stream sent [DONE] */
} answer_t;

void answer_init(answer_t *a, answer_kind_t kind, const char *call, str_t text,
		 uint32_t tokens);
void answer_finish(answer_t *a);
void answer_feed(answer_t *a, str_t data);
/*
 * Checks that the answer is complete; sets is_wrong if it is not. Only for an
 * answer that ended normally and whose outcome is completed.
 */
void answer_check_complete(answer_t *a);

#endif
