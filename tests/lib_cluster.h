/*
 * A small deployment of real processes on loopback addresses: platform,
 * daemons and runners in zones, and relays on every link between zones and
 * to the platform.
 */
#ifndef TESTS_LIB_CLUSTER_H
#define TESTS_LIB_CLUSTER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "tests/lib_process.h"

enum {
	CLUSTER_ZONES = 2,
	CLUSTER_DAEMONS = 3, /* per zone */
	CLUSTER_RUNNERS = 3, /* per zone: engine, lookup desk, booking desk */
	CLUSTER_SPARES = 3, /* per zone: daemons that start later */
	CLUSTER_SLOTS = CLUSTER_DAEMONS + CLUSTER_SPARES,
	CLUSTER_TEXT = 64, /* bytes of an address or name */
};

#define CLUSTER_TOKEN "a token of the fault tests"

typedef enum cluster_runner {
	CLUSTER_ENGINE,
	CLUSTER_LOOKUP,
	CLUSTER_BOOKING,
} cluster_runner_t;

typedef struct cluster_node {
	process_t process;
	char name[CLUSTER_TEXT];
	char address[CLUSTER_TEXT]; /* for callers; of a runner, its own */
	char peer_address[CLUSTER_TEXT];
	char admin_address[CLUSTER_TEXT];
	bool is_listed; /* in the VM list */
	bool is_leaving; /* marked so in the VM list */
} cluster_node_t;

typedef struct cluster_zone {
	cluster_node_t daemons[CLUSTER_SLOTS];
	cluster_node_t runners[CLUSTER_RUNNERS];
	/* Links from this zone to each zone, its own included. */
	process_t relays[CLUSTER_ZONES];
	process_t platform_relay;
	char platform_address[CLUSTER_TEXT]; /* through platform_relay */
} cluster_zone_t;

typedef struct cluster {
	char *dir; /* settings, logs and results */
	int net; /* second byte of its loopback addresses 127.NET.*.* */
	int lock; /* socket that reserves the net for this run */
	uint32_t seed;
	process_t platform;
	process_t caller_relay; /* links from callers to every daemon */
	cluster_zone_t zones[CLUSTER_ZONES];
	char *extra_settings; /* JSON members for daemons, or NULL */
	char *runner_args[CLUSTER_RUNNERS]; /* separated by spaces, or NULL */
} cluster_t;

/*
 * Reserves a second byte of loopback addresses (127.NET.*.*) that no other run
 * is using. LOCK receives the socket that holds the reservation. Returns 0 if
 * none is free.
 */
int cluster_claim_net(int *lock);
/*
 * Assigns addresses to all processes, whose files go into DIR. Returns false
 * with the reason on standard error.
 */
bool cluster_init(cluster_t *c, const char *dir, uint32_t seed);
/*
 * Starts all processes except the spares and waits until the stand-ins listen;
 * for the daemons there is cluster_await_ready.
 */
bool cluster_start(cluster_t *c);
/* Stops daemons by SIGKILL, other processes by SIGTERM; keeps the logs. */
void cluster_finish(cluster_t *c);

bool cluster_start_daemon(cluster_t *c, int zone, int slot);
/* Waits until the daemon answers /readyz. */
bool cluster_await_ready(const cluster_t *c, int zone, int slot);
/* Sends the VM list to the platform, from is_listed and is_leaving. */
bool cluster_send_vms(const cluster_t *c);
/*
 * Publishes FILE of the cluster's dir with papayactl, based on version BASE or,
 * if BASE is NULL, on the newest. Returns papayactl's exit status, or -1 if it
 * did not start or exceeded a time limit; OUTPUT is to be freed.
 */
int cluster_publish(const cluster_t *c, const char *doc, const char *file,
		    const char *base, char **output);
/* cluster_publish in two steps, for concurrent publications. */
bool cluster_publish_start(const cluster_t *c, process_t *p, const char *doc,
			   const char *file, const char *base);
int cluster_publish_end(process_t *p, char **output);
bool cluster_write(const cluster_t *c, const char *file, const char *text);
char *cluster_path(const cluster_t *c, const char *file);
/*
 * Returns the comma-separated addresses of running daemons, direct or through
 * the callers' relay.
 */
char *cluster_targets(const cluster_t *c, bool is_relayed);
/*
 * Returns the comma-separated addresses of all runners, which count their runs
 * (/standin/oracle).
 */
char *cluster_oracles(const cluster_t *c);

/* Sets fault switches on the relays between ZONE and others, both ways. */
bool cluster_set_zone_links(const cluster_t *c, int zone, const char *switches);
/* Sets fault switches on the relay for links within ZONE. */
bool cluster_set_local_links(const cluster_t *c, int zone,
			     const char *switches);

#endif
