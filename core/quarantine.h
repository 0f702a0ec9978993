/*
 * Quarantine of requests and prompt parts that crash runners (poison requests).
 * The fingerprint of a request counts as a part of its prompt that no other
 * request has; requests to plain services have only that. A daemon
 * reports each exchange that broke right after its answer began, and all
 * daemons keep the recent reports. A part is quarantined once enough runners
 * crashed on requests that have it, unless a request with that part was
 * answered since. All these crashes may have other parts in common as well: a
 * request is refused only if it has them all.
 *
 * A crash is judged when the reports of other daemons had time to arrive; that
 * of a runner that lately broke exchanges and lived, when it had time to answer
 * once more. What a daemon's answers disprove is told to the others.
 *
 * Does no I/O and reads no clock; times are microseconds of the monotonic
 * clock. The tables are bounded: the quarantine that ends first makes room.
 */
#ifndef CORE_QUARANTINE_H
#define CORE_QUARANTINE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/crash_reports.h"

enum {
	QUARANTINE_MAX_ENTRIES = 64,
	QUARANTINE_MAX_SURVIVORS = 128,
	/* Crashes of different runners that put a part into quarantine. */
	QUARANTINE_CRASHES = 3,
	/* Of different requests: one alone may be unlucky several times. */
	QUARANTINE_REQUESTS = 2,
	/* After the first report of a crash, until it is judged. */
	QUARANTINE_SETTLE_MS = 100,
	/* The same for a runner that lived after such a report. */
	QUARANTINE_SURVIVOR_SETTLE_MS = 1000,
};

/* A part in quarantine. */
typedef struct quarantine_entry {
	uint64_t part;
	prompt_parts_t common; /* parts of all crashes, PART included */
	int64_t until;
	uint32_t times; /* how often it was quarantined; sets the duration */
	bool is_own; /* began with the last report by this daemon */
} quarantine_entry_t;

/* A runner's incarnation that answered after a report of its crash. */
typedef struct quarantine_survivor {
	uint64_t runner;
	int64_t at;
	bool is_own; /* this daemon got the answer */
} quarantine_survivor_t;

/* An answer that begins, and the exchange that it belongs to. */
typedef struct quarantine_answer {
	uint64_t runner; /* hash of the incarnation, as this daemon knows it */
	int64_t connected_at; /* when its connection was begun */
	int64_t sent_at; /* when the request was sent */
} quarantine_answer_t;

typedef struct quarantine {
	crash_reports_t reports;
	GArray *survivors; /* of quarantine_survivor_t, the oldest first */
	GArray *entries; /* of quarantine_entry_t, ended ones included */
} quarantine_t;

void quarantine_init(quarantine_t *q);
void quarantine_finish(quarantine_t *q);

/* Returns the hash of a runner's incarnation, for reports. */
uint64_t quarantine_runner_hash(const char *name, int64_t born_ms);

/*
 * Adds a report, this daemon's own or another's, unless it is known or too old.
 */
void quarantine_add_report(quarantine_t *q, const crash_report_t *report,
			   bool is_own, int64_t now);
/*
 * Called for a part whose quarantine begins or ends. IS_OWN: it began with the
 * last report by this daemon. ENTRY is valid until it returns.
 */
typedef void (*quarantine_fn)(void *ctx, const quarantine_entry_t *entry,
			      bool is_own);
/*
 * Judges the reports that are old enough. Calls FN, which must not change Q, for
 * each quarantine that begins. To be called a few times in QUARANTINE_SETTLE_MS.
 */
void quarantine_tick(quarantine_t *q, int64_t now, quarantine_fn fn, void *ctx);
/*
 * A request with PARTS is being answered: none of them crashes runners. Ends
 * their quarantine, and calls FN, if it isn't NULL, for each that ends. Returns
 * whether that was news: a report had named one.
 */
bool quarantine_set_sound(quarantine_t *q, const prompt_parts_t *parts,
			  quarantine_fn fn, void *ctx);
/*
 * A runner answers: what was reported of it before the request was sent was no
 * crash, unless the runner may have been restarted meanwhile. Calls FN, if it
 * isn't NULL, for each quarantine that ends with it. Returns whether there was
 * anything.
 */
bool quarantine_set_alive(quarantine_t *q, const quarantine_answer_t *answer,
			  int64_t now, quarantine_fn fn, void *ctx);
/* Called for a report that an answer disproved. */
typedef void (*quarantine_disproof_fn)(void *ctx, const crash_report_t *report);
/* Calls FN, which must not change Q, for what was disproved since the last call. */
void quarantine_take_disproofs(quarantine_t *q, quarantine_disproof_fn fn,
			       void *ctx);
/*
 * Another daemon got an answer that disproves REPORT, which may not have come
 * yet. Calls FN, if it isn't NULL, for each quarantine that ends with it.
 */
void quarantine_set_disproved(quarantine_t *q, const crash_report_t *report,
			      int64_t now, quarantine_fn fn, void *ctx);
/*
 * Tells whether a runner's incarnation lately answered this daemon after a
 * report of its crash: it breaks exchanges for other reasons.
 */
bool quarantine_is_survivor(const quarantine_t *q, uint64_t runner,
			    int64_t now);
/* Adds another daemon's quarantine. Returns whether it was news. */
bool quarantine_add_entry(quarantine_t *q, const quarantine_entry_t *entry,
			  int64_t now);
/*
 * Returns the quarantine that refuses a request with PARTS now; NULL: none.
 * It is valid until Q changes.
 */
const quarantine_entry_t *quarantine_match(const quarantine_t *q,
					   const prompt_parts_t *parts,
					   int64_t now);
/*
 * Tells whether PARTS has a part that is in quarantine or will be, should the
 * reports that are not judged yet say the same; also where a request with these
 * is not refused, as it lacks others that the crashes have in common.
 */
bool quarantine_is_suspect(const quarantine_t *q, const prompt_parts_t *parts,
			   int64_t now);
/* Returns how many parts are in quarantine now. */
uint32_t quarantine_count(const quarantine_t *q, int64_t now);
/* Calls FN, which must not change Q, for each part in quarantine now. */
void quarantine_each(const quarantine_t *q, int64_t now, quarantine_fn fn,
		     void *ctx);

#endif
