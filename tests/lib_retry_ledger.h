/*
 * What reached a service's runners, and whether requests were sent to a second
 * runner more often than the budget of all daemons allows. May be used by
 * several threads; times are milliseconds of the monotonic clock.
 */
#ifndef TESTS_LIB_RETRY_LEDGER_H
#define TESTS_LIB_RETRY_LEDGER_H

#include <glib.h>
#include <stdint.h>

typedef struct retry_ledger {
	GMutex lock;
	GArray *requests; /* int64_t: when callers sent them */
	GArray *repeats; /* int64_t: arrivals after a request's first */
	GHashTable *attempts; /* attempt ID to its arrivals */
	int n_arrivals;
	/*
	 * Runners were given more time than was left, by daemons that had run
	 * since the request was sent.
	 */
	int n_late_deadlines;
	int64_t paused_until; /* when a daemon was last found to stand still */
} retry_ledger_t;

/* Of a window: the repeats, and how many are allowed. */
typedef struct retry_window {
	int repeats;
	double allowed;
} retry_window_t;

void retry_ledger_init(retry_ledger_t *l);
void retry_ledger_finish(retry_ledger_t *l);
/* A caller sends the request ATTEMPT, for which it waits until DEADLINE. */
void retry_ledger_on_request(retry_ledger_t *l, const char *attempt,
			     int64_t deadline, int64_t now);
/* The request reaches a runner, which is told to work on it until UNTIL. */
void retry_ledger_on_arrival(retry_ledger_t *l, const char *attempt,
			     int64_t until, int64_t now);
/* RUNNER runs the request that reached it. */
void retry_ledger_on_run(retry_ledger_t *l, const char *attempt,
			 const char *runner);
/* A daemon stands still now. */
void retry_ledger_on_pause(retry_ledger_t *l, int64_t now);
/*
 * Returns the window of WINDOW milliseconds that exceeds its allowance by most,
 * or comes nearest to it: RATIO of the requests in that window, the one before
 * or half a window before, whichever has most, and SLACK.
 */
retry_window_t retry_ledger_worst(const retry_ledger_t *l, int64_t window,
				  double ratio, double slack);
/* Counts the attempts that ran on more than MOST different runners. */
int retry_ledger_count_beyond(const retry_ledger_t *l, guint most);

#endif
