/*
 * One caller that waits for an answer: an evhttp request, watched for the
 * caller's disconnect and for an answer that it leaves unread.
 */
#ifndef DAEMON_CALLER_H
#define DAEMON_CALLER_H

#include <event2/event.h>
#include <event2/http.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"
#include "core/rights.h"

typedef struct caller caller_t;

typedef struct caller_ops {
	/* The caller left; the caller_t is finished by then. */
	void (*gone)(void *ctx, caller_t *caller);
	/* All that was sent has been read. */
	void (*drained)(void *ctx, caller_t *caller);
} caller_ops_t;

struct caller {
	struct evhttp_request *req; /* NULL once answered or gone */
	struct event *closed;
	const caller_ops_t *ops;
	void *ctx;
	bool is_started; /* a stream's head was sent */
	int64_t behind_since; /* unread since then, monotonic; 0: not */
};

/* What an answer says besides its body. */
typedef struct caller_head {
	int status; /* HTTP status */
	const char *content_type; /* NULL for none */
	outcome_t outcome; /* OUTCOME_NONE for a stream's head */
	const char *request_id; /* NULL for none */
	uint32_t retry_after_ms; /* 0 for none */
} caller_head_t;

void caller_init(caller_t *c, struct event_base *base,
		 struct evhttp_request *req, const caller_ops_t *ops,
		 void *ctx);
/* Closes the connection if no answer was given. */
void caller_finish(caller_t *c);
/* Gives the whole answer. */
void caller_reply(caller_t *c, const caller_head_t *head, str_t body);
/* Gives an error as JSON; FIELD may be NULL. */
void caller_reply_error(caller_t *c, const caller_head_t *head,
			const char *field, const char *message);
/* Starts a stream, sends a piece, and ends it. */
void caller_start(caller_t *c, const caller_head_t *head);
void caller_send(caller_t *c, str_t bytes);
void caller_end(caller_t *c);
/* Bytes that wait to be read by the caller. */
size_t caller_backlog(const caller_t *c);

/* Writes an error object; the caller frees it with g_free. */
char *caller_error_json(const char *message, const char *field,
			outcome_t outcome, const char *request_id);

#endif
