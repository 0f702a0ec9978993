/*
 * One fault case on a small deployment: load runs, a fault begins and ends,
 * and what must always hold is checked from outside.
 */
#ifndef TESTS_LIB_CASE_H
#define TESTS_LIB_CASE_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "tests/lib_cluster.h"

enum { CASE_REASON_SIZE = 512 };

/* What a case may not show besides what no case may. */
typedef enum case_flag {
	CASE_NO_CUT = 1, /* no request is broken or of unknown end */
	CASE_ORDER = 2, /* no protected refusal while lower work is served */
	CASE_PUBLISH = 8, /* a publication amid the fault is in force in 6 s */
	CASE_NO_RECOVERY = 16, /* nothing is asked after the fault */
	CASE_ALL_WHOLE = 32, /* every call is completed */
} case_flag_t;

struct case_run;

/* What a case changes in the usual run; zero for the usual value. */
typedef struct case_tuning {
	const char *load_args; /* more of them, by a space */
	const char *mix; /* a file of lib_case_files.c */
	const char *engine_args;
	const char *desk_args;
	const char *daemon_settings; /* more of them, ",\"NAME\":VALUE" */
	double rate; /* calls a second */
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
	json_t *result; /* of the load, once it ended */
	int64_t began_ms; /* wall clock, of the fault */
	int64_t versions[CLUSTER_ZONES][CLUSTER_SLOTS]; /* newest seen */
	int victim_zone; /* for end() */
	int victim_slot;
	char reason[CASE_REASON_SIZE]; /* empty while all is well */
} case_run_t;

/* Notes the first failure of a run. */
void case_fail(case_run_t *r, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
/* Fails the run unless OK. */
void case_expect(case_run_t *r, bool ok, const char *what);

/* Sleeps; meanwhile no daemon may fall back to an older version. */
void case_pause(case_run_t *r, int64_t ms);
/* Publishes the profile again; it has to be in force in every zone in 6 s. */
void case_publish(case_run_t *r);
/* Waits up to 6 s until every running daemon has VERSION of the profile. */
bool case_await_version(case_run_t *r, int64_t version);
/* Returns how many calls of the load ended so. */
int64_t case_count(const case_run_t *r, const char *outcome);
/* Finds the daemon of a zone that grants a service's runners; its slot. */
int case_find_dispatcher(case_run_t *r, int zone, const char *service);
/* Waits until a daemon has the callers' keys that are its own. */
void case_await_keys(case_run_t *r, int zone, int slot);
/* The profile's version at a daemon, or -1 when it does not say. */
int64_t case_version_at(const case_run_t *r, int zone, int slot);

/* Runs a case from start to end in DIR; true when nothing failed. */
bool case_execute(case_run_t *r, const fault_case_t *fault, const char *dir,
		  uint32_t seed);

#endif
