/*
 * Reports of runners that crashed as they began to answer, and what they say of
 * one part of prompts. One crash breaks many exchanges, which several daemons
 * report; only one of them need be the cause. So a crash may be due to any part
 * of any of its reports, unless the part turned out to be sound. A report is
 * disproved when its runner answers afterwards; it is kept, so that a copy of it
 * that comes later is known.
 *
 * Does no I/O and reads no clock; times are microseconds of the monotonic
 * clock. At most CRASH_REPORTS_MAX are kept; the oldest makes room, first of the
 * disproved ones.
 */
#ifndef CORE_CRASH_REPORTS_H
#define CORE_CRASH_REPORTS_H

#include <glib.h>

#include "core/prompt_parts.h"

enum { CRASH_REPORTS_MAX = 128 };

/* An exchange that broke after its answer began and before any output. */
typedef struct crash_report {
	uint64_t runner; /* hash of the runner's incarnation */
	uint64_t request; /* hash of the caller's attempt */
	prompt_parts_t parts;
	int64_t at;
} crash_report_t;

/* A report, and what is known of it since. */
typedef struct crash_record {
	crash_report_t crash;
	uint32_t sound_mask; /* bit I: part I was answered since */
	int64_t received_at;
	bool is_own; /* of this daemon */
	bool is_judged; /* it counts as evidence, with others of its crash */
	bool is_disproved; /* the runner lives: it counts no more */
	bool is_untold; /* disproved here; the other daemons don't know */
} crash_record_t;

typedef struct crash_reports {
	GArray *records; /* crash_record_t, the oldest first */
} crash_reports_t;

/* The crashes that speak against one part. */
typedef struct crash_evidence {
	uint32_t n_runners; /* different ones */
	uint32_t n_requests; /* different ones */
	prompt_parts_t common; /* parts that all these crashes may be due to */
	int64_t latest_at;
} crash_evidence_t;

void crash_reports_init(crash_reports_t *r);
void crash_reports_finish(crash_reports_t *r);
/* Adds a report, unless it is known. */
void crash_reports_add(crash_reports_t *r, const crash_report_t *report,
		       bool is_own, int64_t now);
/* Removes the reports of crashes before a time. */
void crash_reports_remove_before(crash_reports_t *r, int64_t time);
/* Returns record I, valid until a report is added or removed. */
crash_record_t *crash_reports_get(const crash_reports_t *r, guint i);
/*
 * Returns the record of the crash that REPORT is about; NULL: none. It is valid
 * until a report is added or removed.
 */
crash_record_t *crash_reports_find(const crash_reports_t *r,
				   const crash_report_t *report);
/* Tells whether a disproved report of a crash in a time spoke against PART. */
bool crash_reports_was_wrong(const crash_reports_t *r, uint64_t part,
			     int64_t from, int64_t to);
/* Marks a part as sound in all reports. Returns whether that is news. */
bool crash_reports_set_sound(crash_reports_t *r, uint64_t part);
/*
 * Returns what the crashes with a judged report say of a part; with
 * HAS_UNJUDGED, those without one, too.
 */
crash_evidence_t crash_reports_evidence(const crash_reports_t *r, uint64_t part,
					bool has_unjudged);

#endif
