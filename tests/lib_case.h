/*
 * One fault case on a small deployment: load runs, a fault begins and ends,
 * and the invariants are checked from outside the daemons.
 */
#ifndef TESTS_LIB_CASE_H
#define TESTS_LIB_CASE_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "tests/lib_cluster.h"

enum { CASE_REASON_SIZE = 512 };

/* Requirements of a case in addition to those of all cases. */
typedef enum case_flag {
	/* No call ends as "broken" or "unknown". */
	CASE_NONE_BROKEN = 1,
	/* No protected call is refused while lower tiers are served. */
	CASE_PRIORITY_ORDER = 2,
	/* A profile published during the fault is in force within 6 s. */
	CASE_PUBLISH = 8,
	/* Skips the recovery check after the fault. */
	CASE_NO_RECOVERY = 16,
	/* Every call is completed, in time or late. */
	CASE_ALL_COMPLETED = 32,
} case_flag_t;

struct case_run;

/* Options of a case that differ from the defaults; 0 or NULL: default. */
typedef struct case_options {
	const char *load_args; /* additional, of standin-load, by spaces */
	const char *mix; /* file with the mix of calls, of lib_case_files.c */
	const char *engine_args; /* additional, of standin-engine */
	const char *desk_args; /* of standin-desk, for booking-desk */
	const char *daemon_settings; /* additional, ",\"NAME\":VALUE" */
	double rate; /* calls per second */
	double seconds; /* of arrivals */
	bool is_relayed; /* callers reach the daemons through a relay */
} case_options_t;

typedef struct fault_case {
	const char *name;
	uint32_t flags; /* of case_flag_t */
	void (*begin)(struct case_run *r); /* NULL: no fault */
	void (*end)(struct case_run *r); /* NULL: the fault lasts */
	void (*check)(struct case_run *r); /* after the load; may be NULL */
	case_options_t options;
} fault_case_t;

typedef struct case_run {
	const fault_case_t *fault;
	cluster_t cluster;
	uint32_t seed;
	process_t load;
	json_t *result; /* of the latest load; NULL until one has ended */
	int64_t fault_begin_ms; /* wall clock, start of the fault */
	/* Newest profile version seen of each daemon. */
	int64_t versions[CLUSTER_ZONES][CLUSTER_SLOTS];
	int victim_zone; /* of the daemon that begin() acted on, for end() */
	int victim_slot;
	char reason[CASE_REASON_SIZE]; /* empty until the run fails */
} case_run_t;

/* Records the first failure of a run; later ones are ignored. */
void case_fail(case_run_t *r, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
/* Fails the run unless OK. */
void case_expect(case_run_t *r, bool ok, const char *what);

/* Sleeps; fails the run if a daemon's profile version decreases meanwhile. */
void case_sleep(case_run_t *r, int64_t ms);
/* Publishes the profile again; it must be in force in every zone within 6 s. */
void case_publish(case_run_t *r);
/* Waits up to 6 s until every running daemon has VERSION of the profile. */
bool case_await_version(case_run_t *r, int64_t version);
/* Returns the number of the load's calls that ended with OUTCOME. */
int64_t case_count(const case_run_t *r, const char *outcome);
/* Returns the slot of the daemon in ZONE that is a service's dispatcher. */
int case_find_dispatcher(case_run_t *r, int zone, const char *service);
/* Waits until a daemon has received the idempotency keys that it owns. */
void case_await_keys(case_run_t *r, int zone, int slot);
/* Returns a daemon's version of the profile; -1 without an answer. */
int64_t case_version_at(const case_run_t *r, int zone, int slot);

/* Runs a case from start to end in DIR; true when nothing failed. */
bool case_execute(case_run_t *r, const fault_case_t *fault, const char *dir,
		  uint32_t seed);

#endif
