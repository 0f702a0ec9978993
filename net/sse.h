/* Splits a byte stream into server-sent events; partial events are buffered. */
#ifndef NET_SSE_H
#define NET_SSE_H

#include <glib.h>
#include <stdbool.h>

#include "common/str.h"

/*
 * One whole event: RAW with its closing empty line, DATA the content of its
 * first data line (empty for a comment). The views are valid until it returns.
 */
typedef void (*sse_event_fn)(void *ctx, str_t raw, str_t data);

typedef struct sse {
	GString *partial;
	size_t max_event; /* bytes */
	sse_event_fn fn;
	void *ctx;
} sse_t;

void sse_init(sse_t *s, size_t max_event, sse_event_fn fn, void *ctx);
void sse_finish(sse_t *s);
/* Feeds bytes; returns false when the partial event exceeds max_event. */
bool sse_feed(sse_t *s, str_t bytes);
/* The content of an event's first id line; empty when it has none. */
str_t sse_id(str_t raw);
/* Drops a partial event; call it before resuming after the last whole event. */
void sse_reset(sse_t *s);

#endif
