/*
 * Bound on the bytes of one kind, such as answers, that a process holds for all
 * its requests together. Does no I/O.
 */
#ifndef CORE_BYTE_BUDGET_H
#define CORE_BYTE_BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct byte_budget {
	uint64_t limit; /* bytes */
	uint64_t held; /* bytes */
	uint64_t peak; /* the most that was ever held */
} byte_budget_t;

/* What one request holds of an upstream's answer. */
typedef struct byte_holder {
	const char *upstream;
	uint64_t bytes;
} byte_holder_t;

/* MEMORY is that of the whole process, in bytes. */
void byte_budget_init(byte_budget_t *b, uint64_t memory);
void byte_budget_add(byte_budget_t *b, uint64_t n);
void byte_budget_remove(byte_budget_t *b, uint64_t n);
/* Tells whether N more bytes are within the limit. */
bool byte_budget_fits(const byte_budget_t *b, uint64_t n);
/*
 * Returns how much of a stream may wait for its reader before the upstream is
 * paused: MOST, and little once half of the limit is held.
 */
size_t byte_budget_backlog(const byte_budget_t *b, size_t most);
/*
 * Chooses whose answer is given up when the limit is reached: of the upstream
 * that holds most, its largest. So an upstream whose answers don't end pays for
 * that itself. Returns an index, or N if nobody holds anything.
 */
size_t byte_budget_victim(const byte_holder_t *holders, size_t n);

#endif
