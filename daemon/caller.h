/*
 * A caller that waits for its response: the request of a connection, with
 * detection of a disconnect and of a caller that does not read its response.
 */
#ifndef DAEMON_CALLER_H
#define DAEMON_CALLER_H

#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"
#include "core/dedup.h"
#include "daemon/http_server.h"

typedef struct caller caller_t;

typedef struct caller_ops {
	/* The caller disconnected; its caller_t is already finished. */
	void (*disconnected)(void *ctx, caller_t *caller);
	/* All bytes sent were written to the socket. */
	void (*drained)(void *ctx, caller_t *caller);
} caller_ops_t;

struct caller {
	http_conn_t *conn; /* NULL once replied or disconnected */
	const caller_ops_t *ops;
	void *ctx;
	bool is_started; /* the head of a streamed response was sent */
	bool is_chunked; /* the streamed response is */
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

void caller_init(caller_t *c, http_conn_t *conn, const caller_ops_t *ops,
		 void *ctx);
/* For the server's callbacks: the caller left, or its output is written. */
void caller_on_left(http_conn_t *conn);
void caller_on_written(http_conn_t *conn);
/* Closes the connection if no response was completed. */
void caller_finish(caller_t *c);
/* Writes a whole response, without ending the request. */
void caller_write_reply(http_conn_t *conn, const response_head_t *head,
			str_t body);
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
