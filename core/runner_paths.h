/*
 * Decides by which way this daemon reaches a runner: by a connection of its own
 * or through another daemon, a proxy. The links between a daemon and runners
 * may fail while all else works. Then a connection of its own fails, and one
 * through a proxy doesn't; a runner that neither reaches is down. A daemon that
 * reaches no runner by itself uses proxies for all, and looks from time to time
 * whether its own way works again. Does no I/O and reads no clock; times are
 * microseconds of the monotonic clock.
 */
#ifndef CORE_RUNNER_PATHS_H
#define CORE_RUNNER_PATHS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum { RUNNER_PATHS_NAME_SIZE = 64 }; /* bytes, with the NUL */

/* A daemon that may be a proxy. */
typedef struct runner_proxy {
	char name[RUNNER_PATHS_NAME_SIZE];
	char address[RUNNER_PATHS_NAME_SIZE]; /* IP:port of its tunnels */
	bool is_in_own_zone;
	uint32_t listing; /* number of the last list that has it */
	int64_t avoided_until; /* it was of no use; 0: may be used */
} runner_proxy_t;

typedef struct runner_paths {
	char self[RUNNER_PATHS_NAME_SIZE];
	GHashTable *proxies; /* address to runner_proxy_t */
	uint32_t listing; /* number of the current list of proxies */
	GHashTable *failing; /* runner address to failing_t */
	int64_t sign_at; /* when a runner was last heard directly */
	int64_t failing_since; /* of the oldest in FAILING; 0: none */
} runner_paths_t;

void runner_paths_init(runner_paths_t *p, const char *self);
void runner_paths_finish(runner_paths_t *p);
/* Replaces the list of proxies; what is known of those listed again is kept. */
void runner_paths_begin_proxies(runner_paths_t *p);
void runner_paths_add_proxy(runner_paths_t *p, const char *name,
			    const char *address, bool is_in_own_zone);
void runner_paths_end_proxies(runner_paths_t *p);

/* Whether a connection of its own is to be tried first. */
bool runner_paths_is_direct(runner_paths_t *p, const char *runner, int64_t now);
/* Whether no runner is reached directly. */
bool runner_paths_is_cut_off(const runner_paths_t *p);
/* Whether a runner was heard directly lately, so that others can be judged. */
bool runner_paths_is_connected(const runner_paths_t *p, int64_t now);
/*
 * Returns the address of the proxy to use for the runner, or NULL if there is
 * none. Those of the own zone come first; runners are spread over them.
 */
const char *runner_paths_proxy(const runner_paths_t *p, const char *runner,
			       int64_t now);

/* The runner was connected, or answered, directly. */
void runner_paths_on_connected(runner_paths_t *p, const char *runner,
			       int64_t now);
void runner_paths_on_heard(runner_paths_t *p, int64_t now);
/* A connection of its own failed. Returns whether that is news. */
bool runner_paths_on_failure(runner_paths_t *p, const char *runner,
			     int64_t now);
/* A proxy that reaches other runners doesn't reach this one: it is down. */
void runner_paths_on_down(runner_paths_t *p, const char *runner);
/* The proxy can't be used now. */
void runner_paths_on_proxy_failure(runner_paths_t *p, const char *address,
				   int64_t now);
/*
 * Returns the address of a runner that may be reached directly again and is to
 * be tried now, or NULL. It counts as tried.
 */
const char *runner_paths_next_trial(runner_paths_t *p, int64_t now);

#endif
