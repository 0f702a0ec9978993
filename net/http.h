/*
 * One outgoing HTTP exchange on a connection of its own, using evhttp. A
 * connection is never reused. So no request is retried automatically, a
 * refused connection proves that nothing was sent, and no request is sent on
 * an idle connection whose state a middlebox has dropped.
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

/* An outgoing request; its views are used only during http_call_start. */
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
	 * Called once connected, before the first byte is sent. If it returns
	 * false, nothing is sent and the exchange ends with ERR_REFUSED. May be
	 * NULL. Called inside evhttp: it must not call http_call functions.
	 */
	bool (*may_send)(void *ctx);
	/* Status and headers were received. May be NULL. */
	void (*head)(void *ctx, int status, struct evkeyvalq *headers);
	/* A piece of the body; BODY is drained afterwards. May be NULL. */
	void (*data)(void *ctx, struct evbuffer *body);
	/*
	 * The exchange ended; ERR is NULL when the whole response was received.
	 * Called once; http_call_finish may be called from it.
	 */
	void (*end)(void *ctx, int status, const err_t *err);
} http_call_ops_t;

/* Private; freed once evhttp no longer uses it. */
struct http_exchange;

typedef struct http_call {
	struct http_exchange *exchange; /* NULL when there is none */
} http_call_t;

/*
 * Starts an exchange. Returns false with ERR set, without any callback, when
 * the address is malformed or memory is short.
 */
bool http_call_start(http_call_t *call, struct event_base *base,
		     const http_request_t *request, const http_call_ops_t *ops,
		     void *ctx, err_t *err);
/* Closes the exchange at once; no callback follows. Safe to call twice. */
void http_call_finish(http_call_t *call);
/* Pauses or resumes reading, to slow the sender down. */
void http_call_pause(http_call_t *call, bool is_paused);
/* True once the first byte of the request may have been sent. */
bool http_call_is_sent(const http_call_t *call);

/* Splits "IP:port". Returns false with ERR set when it is malformed. */
bool http_split_address(const char *address, char *ip, size_t ip_size,
			uint16_t *port, err_t *err);

#endif
