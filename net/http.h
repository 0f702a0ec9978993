/*
 * One outgoing HTTP exchange on a connection of its own, over evhttp. A
 * connection is never used twice: nothing can be sent again by itself, a
 * refused connection provably sent nothing, and a connection that a
 * middlebox forgot is never picked up again.
 */
#ifndef NET_HTTP_H
#define NET_HTTP_H

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/err.h"
#include "common/str.h"

typedef struct http_header {
	const char *name;
	const char *value;
} http_header_t;

/* What is asked; all views need to live only during http_call_start. */
typedef struct http_request {
	const char *address; /* IP:port */
	enum evhttp_cmd_type method;
	const char *path; /* with the query */
	const http_header_t *headers;
	size_t n_headers;
	str_t body;
	int64_t connect_timeout_ms;
	int64_t idle_timeout_ms; /* between two reads */
	size_t max_body; /* bytes; 0 for no limit (data is streamed) */
} http_request_t;

typedef struct http_call_ops {
	/*
	 * Connected: the first byte is about to leave. False forbids it: the
	 * exchange then ends with ERR_REFUSED and sent nothing. May be NULL.
	 * Runs inside evhttp: it may only take note and decide.
	 */
	bool (*sending)(void *ctx);
	/* Status and headers came. May be NULL. */
	void (*head)(void *ctx, int status, struct evkeyvalq *headers);
	/* A piece of the body; the callback drains BODY. May be NULL. */
	void (*data)(void *ctx, struct evbuffer *body);
	/*
	 * The exchange ended, ERR NULL when the whole answer came. Called
	 * once; http_call_finish may be called from it.
	 */
	void (*end)(void *ctx, int status, const err_t *err);
} http_call_ops_t;

/* Private; the exchange itself lives as long as evhttp may still use it. */
struct http_exchange;

typedef struct http_call {
	struct http_exchange *exchange; /* NULL when there is none */
} http_call_t;

/*
 * Starts an exchange. Returns false with ERR set, and no callback follows,
 * when the address is malformed or memory is short.
 */
bool http_call_start(http_call_t *call, struct event_base *base,
		     const http_request_t *request, const http_call_ops_t *ops,
		     void *ctx, err_t *err);
/* Closes the exchange at once; no callback follows. Safe to call twice. */
void http_call_finish(http_call_t *call);
/* Stops or resumes reading, for a slow consumer. */
void http_call_pause(http_call_t *call, bool is_paused);
/* True once the first byte of the request may have left. */
bool http_call_is_sent(const http_call_t *call);

/* Splits "IP:port". Returns false with ERR set when it is not that. */
bool http_split_address(const char *address, char *ip, size_t ip_size,
			uint16_t *port, err_t *err);

#endif
