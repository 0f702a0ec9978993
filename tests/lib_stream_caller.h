/*
 * A caller, in a thread, that sends streams and plain requests to any of several
 * daemons and takes broken streams up at any of them. It checks each event
 * against those that it has of the stream.
 */
#ifndef TESTS_LIB_STREAM_CALLER_H
#define TESTS_LIB_STREAM_CALLER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "tests/lib_retry_ledger.h"

enum {
	STREAM_CALLER_PORT = 8000,
	STREAM_MAX_DAEMONS = 16,
	STREAM_HOST_SIZE = 32,
};

/* What callers share; counters are set with the lock held. */
typedef struct stream_results {
	GMutex lock;
	FILE *log; /* a line for each finding */
	int streams, whole, taken_up, plain, plain_whole;
	int out_of_order; /* streams with a piece missing, or twice */
	int joined; /* streams with pieces of two releases */
	int cut_short; /* streams that looked whole and lacked pieces */
	int mixed; /* answers that are not the request's */
} stream_results_t;

typedef struct stream_caller {
	char daemons[STREAM_MAX_DAEMONS][STREAM_HOST_SIZE]; /* IPs */
	int n_daemons;
	bool keeps_connections; /* one to each daemon, after whole answers */
	int fds[STREAM_MAX_DAEMONS]; /* those kept; 0: none */
	int no_deadline; /* of 100 requests, those that state none */
	int number;
	int64_t until_ms; /* monotonic: sends nothing new after it */
	stream_results_t *results;
	retry_ledger_t *writer, *desk;
	int n_sent;
} stream_caller_t;

/* Thread function: runs the stream_caller_t DATA until its time. */
void *stream_caller_run(void *data);

#endif
