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
	CASE_NO_CUT = 1, /* no request is broken or of unknown outcome */
	CASE_ORDER =
		2, /* no protected call refused while lower work is served */
	CASE_PUBLISH =
		8, /* a publication during the fault is in force in 6 s */
	CASE_NO_RECOVERY = 16, /* no recovery check after the fault */
	CASE_ALL_WHOLE = 32, /* every call is completed */
} case_flag_t;

struct case_run;

/* Deviations of a case from the usual run; zero for the usual value. */
typedef struct case_tuning {
	const char *load_args; /* additional, separated by spaces */
	const char *mix; /* a file of lib_case_files.c */
	const char *engine_args;
	const char *desk_args;
	const char *daemon_settings; /* additional, ",\"NAME\":VALUE" */
	double rate; /* calls per second */
	double seconds; /* of arrivals */
	bool is_relayed; /* callers reach the daemons through a relay */
} case_tuning_t;

typedef struct fault_case {
	const char *name;
	uint32_t flags; /* of case_flag_t */
	void (*begin)(struct case_run *r); /* NULL: nothing fails */
	void (*end)(struct case_run *r); /* NULL: the fault stays */
	void (*check)(struct case_run *r); /* after the load; may be NULL */
	case_tuning_t tuning;
} fault_case_t;

typedef struct case_run {
	const fault_case_t *fault;
	cluster_t cluster;
	uint32_t seed;
	process_t load;
	json_t *result; /* of the load; set when it ended */
	int64_t began_ms; /* wall clock, start of the fault */
	int64_t versions[CLUSTER_ZONES][CLUSTER_SLOTS]; /* newest seen */
	int victim_zone; /* for end() */
	int victim_slot;
	char reason[CASE_REASON_SIZE]; /* empty until the run fails */
} case_run_t;

/* Records the first failure of a run; later ones are ignored. */
void case_fail(case_run_t *r, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
/* Fails the run unless OK. */
void case_expect(case_run_t *r, bool ok, const char *what);

/* Sleeps; fails the run if a daemon shows an older version meanwhile. */
void case_pause(case_run_t *r, int64_t ms);
/* Publishes the profile again; it has to be in force in every zone in 6 s. */
void case_publish(case_run_t *r);
/* Waits up to 6 s until every running daemon has VERSION of the profile. */
bool case_await_version(case_run_t *r, int64_t version);
/* Returns how many calls of the load ended with this outcome. */
int64_t case_count(const case_run_t *r, const char *outcome);
/* Returns the slot of the daemon in ZONE that dispatches for a service. */
int case_find_dispatcher(case_run_t *r, int zone, const char *service);
/* Waits until a daemon has received the callers' keys that it owns. */
void case_await_keys(case_run_t *r, int zone, int slot);
/* Returns a daemon's version of the profile; -1 without an answer. */
int64_t case_version_at(const case_run_t *r, int zone, int slot);

/* Runs a case from start to end in DIR; true when nothing failed. */
bool case_execute(case_run_t *r, const fault_case_t *fault, const char *dir,
		  uint32_t seed);

#endif
