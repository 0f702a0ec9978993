/*
 * Writes records to the topic of the daemons' entries in the platform's store,
 * one call at a time. A call that fails, or can't begin, is logged and
 * reported, and the next one must wait for a while.
 */
#ifndef DAEMON_RECORD_WRITER_H
#define DAEMON_RECORD_WRITER_H

#include "platform/store.h"

typedef struct record_writer {
	store_t *store;
	const char *what; /* "the record of ...", for the log */
	void (*on_failure)(void *ctx); /* the record was not written */
	void *ctx;
	bool is_writing;
	int64_t retry_at; /* after a failure: no call before */
} record_writer_t;

/* WHAT must stay valid. */
void record_writer_init(record_writer_t *w, store_t *store, const char *what,
			void (*on_failure)(void *ctx), void *ctx);
/* Tells whether the next write may begin. */
bool record_writer_is_ready(const record_writer_t *w, int64_t now);
/* Writes a record. ON_FAILURE may be called before this returns. */
void record_writer_begin(record_writer_t *w, str_t key, str_t value);

#endif
