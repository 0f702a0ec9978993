/*
 * Bounds what a process holds for requests that are not complete yet, and
 * chooses which of them to give up when the bound is reached. Does no I/O;
 * times are microseconds of the monotonic clock.
 */
#ifndef CORE_INTAKE_BUDGET_H
#define CORE_INTAKE_BUDGET_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* One connection whose request is not complete. The caller owns it. */
typedef struct intake {
	uint64_t bytes; /* held for it */
	int64_t since; /* when its request began */
	GSequenceIter *link; /* NULL: holds nothing */
	void *ctx; /* passed back when it is chosen */
} intake_t;

typedef struct intake_budget {
	uint64_t limit; /* bytes, over all */
	uint64_t held;
	GSequence *by_cost; /* intakes that hold something */
} intake_budget_t;

void intake_budget_init(intake_budget_t *b, uint64_t limit);
void intake_budget_finish(intake_budget_t *b);
/* Sets what an intake holds; 0 removes it. */
void intake_budget_set(intake_budget_t *b, intake_t *i, uint64_t bytes,
		       int64_t now);
/* Returns whether N more bytes fit. */
bool intake_budget_fits(const intake_budget_t *b, uint64_t n);
/*
 * Returns the intake to give up so that EXCEPT can go on: the one that has held
 * the most for the longest. NULL if EXCEPT itself is that one.
 */
intake_t *intake_budget_victim(const intake_budget_t *b, const intake_t *except,
			       int64_t now);

#endif
