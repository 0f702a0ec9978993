/* Counts what evbuffers hold against a byte_budget_t. */
#ifndef DAEMON_HELD_BYTES_H
#define DAEMON_HELD_BYTES_H

#include <event2/buffer.h>

#include "core/byte_budget.h"

/* Counts the buffer's bytes from now on; it is empty. */
void held_bytes_watch(byte_budget_t *b, struct evbuffer *buffer);
/* Call it before the buffer is freed: what it holds no longer counts. */
void held_bytes_forget(byte_budget_t *b, struct evbuffer *buffer);

#endif
