/* Polls the load that a runner reports over HTTP, one request at a time. */
#ifndef DAEMON_LOAD_POLL_H
#define DAEMON_LOAD_POLL_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>

#include "core/dispatcher.h"
#include "net/http.h"

/*
 * Gets the result of a poll: the report, which is empty if the runner has none;
 * or NULL if the runner didn't answer. Not called for an answer that can't be
 * parsed.
 */
typedef void (*load_poll_fn)(void *ctx, const dispatcher_report_t *report);

typedef struct load_poll {
	load_poll_fn fn;
	void *ctx;
	http_call_t call;
	GString *body; /* of the report being received */
	bool is_polling;
} load_poll_t;

void load_poll_init(load_poll_t *p, load_poll_fn fn, void *ctx);
/* Ends a poll that is running; FN is not called. */
void load_poll_finish(load_poll_t *p);
/* Starts a poll of the runner at ADDRESS, IP:port, unless one is running. */
void load_poll_start(load_poll_t *p, struct event_base *base,
		     const char *address);

#endif
