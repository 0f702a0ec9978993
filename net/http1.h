/*
 * Incremental HTTP/1.1 reader for a stream of messages, using http_parser. It
 * rejects ambiguous messages, which two parsers could interpret differently
 * (request smuggling). evhttp accepts several of them, so it is not used
 * towards callers and a fleet's upstreams; see docs/ARCHITECTURE.md.
 */
#ifndef NET_HTTP1_H
#define NET_HTTP1_H

#include <glib.h>
#include <http_parser.h>
#include <stdbool.h>

#include "common/str.h"

enum {
	HTTP1_NO_LENGTH = -1,
	HTTP1_MIN_STATUS = 100, /* RFC 9110, section 15 */
	HTTP1_MAX_STATUS = 599,
	HTTP1_MAX_FRAMING = 16 * 1024, /* bytes; see framing_bytes */
};

typedef struct http1_header {
	str_t name;
	str_t value;
} http1_header_t;

/* Start line and headers; all views are valid as long as the head. */
typedef struct http1_head {
	GString *text; /* the bytes as received */
	GArray *headers; /* http1_header_t */
	str_t method; /* requests */
	str_t target; /* requests */
	int status; /* responses; HTTP1_MIN_STATUS to HTTP1_MAX_STATUS */
	bool keeps_alive; /* the connection may be used again */
	bool takes_chunks; /* its sender reads chunked messages: HTTP/1.1 */
	bool is_chunked;
	int64_t content_length; /* HTTP1_NO_LENGTH when not stated */
} http1_head_t;

typedef enum http1_kind { HTTP1_REQUEST, HTTP1_RESPONSE } http1_kind_t;

typedef enum http1_result {
	HTTP1_MORE, /* all bytes consumed; the message is incomplete */
	HTTP1_END, /* message complete; bytes after it not consumed */
	HTTP1_STOPPED, /* a callback returned false */
	HTTP1_OVERSIZED, /* the head or the framing exceeds its limit */
	HTTP1_MALFORMED,
} http1_result_t;

typedef struct http1_ops {
	/* The head is complete. Return false to stop the reader. */
	bool (*head)(void *ctx, const http1_head_t *head);
	/* Bytes of the body, without framing. Return false to stop. */
	bool (*body)(void *ctx, str_t bytes);
} http1_ops_t;

typedef struct http1_reader {
	http1_kind_t kind;
	size_t max_head; /* bytes */
	http1_ops_t ops;
	void *ctx;
	http_parser parser;
	http1_head_t head;
	str_t field; /* name of the header being read */
	bool has_head;
	bool is_head_response; /* response to HEAD: it has no body */
	bool is_whole;
	bool has_stopped;
	/*
	 * Bytes parsed since the last feed that had bytes of the body; those of
	 * the head count too.
	 */
	size_t framing_bytes;
} http1_reader_t;

void http1_reader_init(http1_reader_t *r, http1_kind_t kind, size_t max_head,
		       const http1_ops_t *ops, void *ctx);
void http1_reader_finish(http1_reader_t *r);
/* Prepares for the next message of the connection. */
void http1_reader_reset(http1_reader_t *r);
/* Frees the memory of a long head; call it between two messages. */
void http1_reader_shrink(http1_reader_t *r);
/* Sets the size limit of the head, in bytes, for subsequent messages. */
void http1_reader_set_limit(http1_reader_t *r, size_t max_head);
/* Feeds bytes; TAKEN is set to the number that the message consumed. */
http1_result_t http1_reader_feed(http1_reader_t *r, str_t bytes, size_t *taken);
/*
 * Feeds the end of the stream. Returns HTTP1_END if that completes the message,
 * as it does for a response without a length; else HTTP1_MALFORMED.
 */
http1_result_t http1_reader_eof(http1_reader_t *r);
/* True while no byte of a message was received. */
bool http1_reader_is_idle(const http1_reader_t *r);

/* Finds a header by name, case-insensitively; NULL when there is none. */
const http1_header_t *http1_find_header(const http1_head_t *head, str_t name);
/* Counts the headers of a name. */
size_t http1_count_headers(const http1_head_t *head, str_t name);
/* True for hop-by-hop headers, the ones listed in Connection included. */
bool http1_is_hop_by_hop(const http1_head_t *head, str_t name);
/* Compares two names case-insensitively. */
bool http1_name_equal(str_t a, str_t b);

#endif
