/* The soak's faults: how they begin and end, and the record of each. */
#ifndef TESTS_LIB_SOAK_FAULT_H
#define TESTS_LIB_SOAK_FAULT_H

#include "tests/lib_soak_cluster.h"

/* Where a fault acts; the checks accept failures that it explains. */
typedef enum soak_place {
	SOAK_ON_DAEMON, /* its process */
	SOAK_ON_STORE_LINK, /* a daemon's link to the store */
	SOAK_ON_STORE,
	SOAK_ON_RUNNER, /* its process, its answers or the link to it */
	SOAK_BY_RUNNER, /* notices in its answers; it still serves requests */
} soak_place_t;

typedef struct soak_fault_kind {
	const char *name;
	soak_place_t place;
	int weight; /* relative probability of being drawn */
	int min_ms, max_ms; /* bounds of its duration */
	/* Fault switches to set and to clear; NULL: the functions are used. */
	const char *on, *off;
	bool (*begin)(soak_cluster_t *s, soak_node_t *n);
	bool (*end)(soak_cluster_t *s, soak_node_t *n);
} soak_fault_kind_t;

typedef struct soak_fault {
	const soak_fault_kind_t *kind;
	int target; /* index of the daemon or runner */
	int64_t begin_ms;
	int64_t end_ms; /* planned end, later the actual end */
	bool is_over;
} soak_fault_t;

/* The kinds of fault are in two tables, each drawn from on its own. */
typedef enum soak_table {
	SOAK_FAULTS,
	SOAK_NOTICES, /* notices in runners' answers */
	SOAK_TABLES,
} soak_table_t;

/* True for a fault that can affect a runner's answers. */
bool soak_is_runner_fault(const soak_fault_t *f);
/*
 * Draws a kind, a target and a duration. Returns false if the target has a
 * fault already or is not up.
 */
bool soak_fault_draw(soak_cluster_t *s, soak_table_t table, GRand *rand,
		     soak_fault_t *out);
/* False for a fault of a daemon that got SIGTERM and is still running. */
bool soak_fault_may_end(soak_cluster_t *s, const soak_fault_t *f);
/* Both return false when the fault could not be set or removed. */
bool soak_fault_begin(soak_cluster_t *s, soak_fault_t *f);
bool soak_fault_end(soak_cluster_t *s, soak_fault_t *f);

#endif
