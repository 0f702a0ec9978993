/*
 * A caller that waits for its response: an evhttp request, with detection of
 * a disconnect and of a caller that does not read its response.
 */
#ifndef DAEMON_CALLER_H
#define DAEMON_CALLER_H

#include <event2/event.h>
#include <event2/http.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"
#include "core/dedup.h"

typedef struct caller caller_t;

typedef struct caller_ops {
	/* The caller disconnected; its caller_t is already finished. */
	void (*disconnected)(void *ctx, caller_t *caller);
	/* All bytes sent were written to the socket. */
	void (*drained)(void *ctx, caller_t *caller);
} caller_ops_t;

struct caller {
	struct evhttp_request *req; /* NULL once replied or disconnected */
	struct event *closed; /* waits for EV_CLOSED on the socket */
	const caller_ops_t *ops;
	void *ctx;
	bool is_started; /* the head of a streamed response was sent */
	int64_t unwritten_since; /* oldest unwritten send, monotonic; 0: none */
};

/* Status and headers of a response. */
typedef struct response_head {
	int status; /* HTTP status */
	const char *content_type; /* NULL for none */
	outcome_t outcome; /* OUTCOME_NONE for the head of a stream */
	const char *request_id; /* NULL for none */
	uint32_t retry_after_ms; /* 0 for none */
} response_head_t;

void caller_init(caller_t *c, struct event_base *base,
		 struct evhttp_request *req, const caller_ops_t *ops,
		 void *ctx);
/* Closes the connection if no response was completed. */
void caller_finish(caller_t *c);
/* Sends a whole response. */
void caller_reply(caller_t *c, const response_head_t *head, str_t body);
/* Sends an error response as JSON; FIELD may be NULL. */
void caller_reply_error(caller_t *c, const response_head_t *head,
			const char *field, const char *message);
/* Start a streamed response, send a chunk of it, and end it. */
void caller_begin_stream(caller_t *c, const response_head_t *head);
void caller_write_chunk(caller_t *c, str_t bytes);
void caller_end_stream(caller_t *c);
/* Returns how many bytes wait to be written to the caller's socket. */
size_t caller_backlog(const caller_t *c);

/* Formats an error object as JSON; free the result with g_free. */
char *caller_error_json(const char *message, const char *field,
			outcome_t outcome, const char *request_id);

#endif
