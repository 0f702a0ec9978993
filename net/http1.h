/*
 * Reads one HTTP/1.1 message after the other from a byte stream, over
 * http_parser, and refuses what two readers could understand differently.
 * evhttp accepts several such messages, so it is not used towards callers
 * and upstreams of the platform; see docs/ARCHITECTURE.md.
 */
#ifndef NET_HTTP1_H
#define NET_HTTP1_H

#include <glib.h>
#include <http_parser.h>
#include <stdbool.h>

#include "common/str.h"

enum {
	HTTP1_NO_LENGTH = -1,
	HTTP1_MAX_FRAMING = 16 * 1024, /* bytes in a row that are no body */
};

typedef struct http1_header {
	str_t name;
	str_t value;
} http1_header_t;

/* The start line and the headers; all views live as long as the head. */
typedef struct http1_head {
	GString *text; /* the bytes as they came */
	GArray *headers; /* http1_header_t */
	str_t method; /* requests */
	str_t target; /* requests */
	int status; /* responses */
	bool keeps_alive; /* the connection may be used again */
	bool is_chunked;
	int64_t content_length; /* HTTP1_NO_LENGTH when not stated */
} http1_head_t;

typedef enum http1_kind { HTTP1_REQUEST, HTTP1_RESPONSE } http1_kind_t;

typedef enum http1_result {
	HTTP1_MORE, /* all bytes are taken, the message goes on */
	HTTP1_END, /* the message is whole; bytes after it are not taken */
	HTTP1_STOPPED, /* a callback returned false */
	HTTP1_OVERSIZED, /* the head or the framing is over its limit */
	HTTP1_MALFORMED,
} http1_result_t;

typedef struct http1_ops {
	/* The head is whole. False stops the reader. */
	bool (*head)(void *ctx, const http1_head_t *head);
	/* Bytes of the body, without framing. False stops the reader. */
	bool (*body)(void *ctx, str_t bytes);
} http1_ops_t;

typedef struct http1_reader {
	http1_kind_t kind;
	size_t max_head; /* bytes */
	http1_ops_t ops;
	void *ctx;
	http_parser parser;
	http1_head_t head;
	str_t field; /* header whose value is read now */
	bool has_head;
	bool is_answer_to_head; /* responses: no body whatever the head says */
	bool is_whole;
	bool has_stopped;
	size_t framing; /* bytes of chunk headers and trailers, in a row */
} http1_reader_t;

void http1_reader_init(http1_reader_t *r, http1_kind_t kind, size_t max_head,
		       const http1_ops_t *ops, void *ctx);
void http1_reader_finish(http1_reader_t *r);
/* Gets ready for the next message of the connection. */
void http1_reader_reset(http1_reader_t *r);
/* Sets the limit of the head, bytes; for messages that begin from now on. */
void http1_reader_set_limit(http1_reader_t *r, size_t max_head);
/* Takes bytes; TAKEN is how many belonged to the message. */
http1_result_t http1_reader_feed(http1_reader_t *r, str_t bytes, size_t *taken);
/*
 * The stream ended in order. Returns HTTP1_END when that ends the message, as
 * it does for a response without a length.
 */
http1_result_t http1_reader_eof(http1_reader_t *r);
/* True while no byte of a message has come. */
bool http1_reader_is_idle(const http1_reader_t *r);

/* Finds a header by its name, in any case; NULL when there is none. */
const http1_header_t *http1_find(const http1_head_t *head, str_t name);
/* How often a header stands there. */
size_t http1_count(const http1_head_t *head, str_t name);
/* True for headers that concern one connection only. */
bool http1_is_hop_by_hop(const http1_head_t *head, str_t name);
/* Compares two names as HTTP does, in any case. */
bool http1_same_name(str_t a, str_t b);

#endif
