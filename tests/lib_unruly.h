/*
 * One real daemon on loopback addresses with little memory and few
 * descriptors, behind either of its interfaces: that of published profiles, or
 * that of a fleet's routes.
 */
#ifndef TESTS_LIB_UNRULY_H
#define TESTS_LIB_UNRULY_H

#include <stdbool.h>
#include <stddef.h>

#include "tests/lib_process.h"

enum {
	UNRULY_MEMORY_MB = 112, /* of the smallest VMs */
	UNRULY_DESCRIPTORS = 512, /* limit of the daemon's process */
	UNRULY_PORT = 8000,
	/* Bytes of the answer of a fleet's runner to /desk/large. */
	UNRULY_LARGE_ANSWER = 4 * 1000 * 1000,
};

typedef struct unruly {
	bool is_fleet;
	char *dir;
	int net, lock;
	process_t platform; /* or the fleet's store */
	process_t desk; /* runner of published profiles */
	process_t daemon;
	char ip[32];
	int listener; /* of the fleet's runner */
	int most_descriptors; /* of the daemon, by unruly_watch */
} unruly_t;

/*
 * Starts all processes; returns when the daemon serves. SETTINGS is appended to
 * the daemon's, as ",\"key\":value"; "" for none.
 */
void unruly_init(unruly_t *u, bool is_fleet);
void unruly_init_with(unruly_t *u, bool is_fleet, const char *settings);
void unruly_finish(unruly_t *u);
/* Start line and headers of a request, without those of its body. */
const char *unruly_head(const unruly_t *u);
/* Connects to the daemon; sends are bounded in time. */
int unruly_connect(const unruly_t *u);
/*
 * Sends an ordinary request with a body of LEN bytes; returns the status of its
 * answer, 0 if that is not whole.
 */
int unruly_call(const unruly_t *u, size_t len);
/* Notes how many descriptors the daemon has open; CTX is an unruly_t. */
void unruly_watch(void *ctx);
bool unruly_is_alive(unruly_t *u);
/* Peak resident size of the daemon so far, in MB. */
int unruly_peak_mb(const unruly_t *u);

#endif
