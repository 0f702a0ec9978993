/*
 * The soak's deployment: real daemons in fleet mode, the stand-ins of the
 * store and of runners, and a relay on every link that may fail.
 */
#ifndef TESTS_LIB_SOAK_CLUSTER_H
#define TESTS_LIB_SOAK_CLUSTER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "tests/lib_process.h"

enum {
	SOAK_ZONES = 2,
	SOAK_DAEMONS = 6,
	SOAK_RUNNERS = 6,
	SOAK_TEXT = 64, /* bytes of an address or name */
	SOAK_DRAIN_MS = 8000, /* drain time: from SIGTERM to a daemon's exit */
};

typedef enum soak_state {
	SOAK_DOWN,
	SOAK_UP,
	SOAK_PAUSED, /* by SIGSTOP */
	SOAK_LEAVING, /* told to leave (daemons by SIGTERM), may still drain */
} soak_state_t;

typedef struct soak_node {
	process_t process;
	process_t relay; /* to the store, or in front of the runner */
	char name[SOAK_TEXT]; /* runners: name at the latest start */
	char address[SOAK_TEXT];
	char relay_address[SOAK_TEXT];
	int index;
	int starts;
	soak_state_t state;
	int64_t since_ms; /* start of the state */
	bool is_busy; /* a fault is active */
} soak_node_t;

typedef struct soak_cluster {
	char *dir; /* logs and results */
	int net; /* second byte of its addresses */
	int lock; /* socket that reserves the net for this run */
	process_t store;
	bool is_store_busy;
	int version; /* of the configuration */
	process_t load;
	soak_node_t daemons[SOAK_DAEMONS];
	soak_node_t runners[SOAK_RUNNERS];
} soak_cluster_t;

/* Milliseconds of the monotonic clock, which all processes share. */
int64_t soak_now_ms(void);
/*
 * Starts all processes and waits until every daemon serves requests. Returns
 * false if a process did not start or a daemon did not serve in time.
 */
bool soak_cluster_start(soak_cluster_t *s, const char *dir);
/* Stops all processes of the cluster, by process id. */
void soak_cluster_finish(soak_cluster_t *s);
/* Writes a daemon's settings and starts it. */
bool soak_start_daemon(soak_cluster_t *s, int i);
/* Starts a runner, under its previous name or a new one. */
bool soak_start_runner(soak_cluster_t *s, int i, bool is_renamed);
/* Puts the next version of the configuration in the store. */
bool soak_publish(soak_cluster_t *s);
/* Starts the callers, with RATE calls per second for SECONDS. */
bool soak_start_load(soak_cluster_t *s, double rate, double seconds,
		     uint32_t seed);
void soak_set_state(soak_node_t *n, soak_state_t state);
char *soak_path(const soak_cluster_t *s, const char *file);
/* Returns the status of a GET of PATH at a daemon; 0: no complete answer. */
int soak_probe(const soak_cluster_t *s, int daemon, const char *path);

#endif
