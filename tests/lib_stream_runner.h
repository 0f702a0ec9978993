/*
 * Runners of two services, each in a thread, that break off their answers in
 * many ways: "writer" sends streams, "desk" plain answers. They register
 * themselves in the store's stand-in and have releases.
 */
#ifndef TESTS_LIB_STREAM_RUNNER_H
#define TESTS_LIB_STREAM_RUNNER_H

#include <glib.h>
#include <stdbool.h>

#include "tests/lib_retry_ledger.h"

enum {
	STREAM_PIECES = 24, /* of a whole stream */
	STREAM_WIDE_STEP = 3, /* between the IDs of a stream under /wide/ */
	STREAM_RUNNER_PORT = 9000,
};

/* How runners spoil their answers; shares of 100. */
typedef struct stream_faults {
	int cuts; /* of streams: an end or a reset, mostly within an event */
	int failures; /* refusals, 500s, resets without an answer */
	int plain_failures; /* the same, of plain answers */
	int first_failures; /* of streams, at the first send of an attempt */
	int no_length; /* of streams, those that end with their connection */
	int second_answers; /* of whole answers, sent again at once */
	bool ends_kept; /* kept connections end with their runner */
	int late_copies; /* of whole answers, sent again before the next one */
} stream_faults_t;

typedef struct stream_runner {
	char ip[32];
	char id[32];
	const char *service;
	char zone[8];
	char release[8];
	const char *store; /* IP:port */
	const stream_faults_t *faults;
	retry_ledger_t *ledger;
	GThread *thread, *heartbeat;
	int listener;
	int64_t born_ms;
	int sequence;
	/* Set by one thread and read by others. */
	gint n_starts, is_leaving, is_over, has_left;
} stream_runner_t;

/* Starts the runner as a new incarnation with a new ID. */
void stream_runner_start(stream_runner_t *r, const char *release);
/*
 * Says that it leaves, serves on for MS milliseconds, and exits; its threads
 * have ended then, but for those of its connections.
 */
void stream_runner_leave(stream_runner_t *r, int ms);
/* Stops at once, without a word. */
void stream_runner_stop(stream_runner_t *r);

#endif
