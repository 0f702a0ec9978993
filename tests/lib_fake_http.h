/*
 * A small HTTP server on loopback for contract tests. Its handler receives
 * each request and sets the raw bytes of the answer, which may be truncated,
 * malformed, missing or sent slowly.
 */
#ifndef TESTS_LIB_FAKE_HTTP_H
#define TESTS_LIB_FAKE_HTTP_H

#include <event2/event.h>
#include <event2/listener.h>
#include <glib.h>

#include "common/str.h"

typedef struct fake_request {
	const char *method;
	const char *path; /* with the query */
	const char *head; /* request line and headers */
	str_t body;
} fake_request_t;

typedef enum fake_end {
	FAKE_CLOSE, /* close the connection after the answer's last byte */
	FAKE_HOLD, /* keep the connection open, send nothing more */
	FAKE_DRIP, /* repeat the answer's last byte endlessly */
} fake_end_t;

typedef struct fake_reply {
	GString *bytes; /* the raw answer */
	fake_end_t end;
} fake_reply_t;

typedef void (*fake_handler_fn)(void *ctx, const fake_request_t *request,
				fake_reply_t *reply);

typedef struct fake_http {
	struct event_base *base;
	struct evconnlistener *listener;
	GHashTable *conns;
	fake_handler_fn handler;
	void *ctx;
	char address[32]; /* IP:port */
	int requests; /* number received */
} fake_http_t;

void fake_http_init(fake_http_t *f, struct event_base *base,
		    fake_handler_fn handler, void *ctx);
/* Closes the listener and all connections. Safe to call twice. */
void fake_http_finish(fake_http_t *f);

/* Sets a complete answer with a status and a JSON body. */
void fake_reply_json(fake_reply_t *reply, int status, const char *body);

#endif
