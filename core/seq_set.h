/*
 * A set of sequence numbers, stored as ranges: consecutive numbers take
 * constant memory, whatever their count. Does no I/O and reads no clock.
 */
#ifndef CORE_SEQ_SET_H
#define CORE_SEQ_SET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Includes both ends. */
typedef struct seq_range {
	uint64_t first;
	uint64_t last;
} seq_range_t;

typedef struct seq_set {
	GArray *ranges; /* of seq_range_t; ascending, never adjacent */
} seq_set_t;

void seq_set_init(seq_set_t *s);
void seq_set_finish(seq_set_t *s);
/* Returns false when the set contained the number already. */
bool seq_set_add(seq_set_t *s, uint64_t seq);
/*
 * Appends a range. Returns false, and changes nothing, when it doesn't begin
 * after the last range or its ends are reversed.
 */
bool seq_set_append(seq_set_t *s, seq_range_t range);
bool seq_set_has(const seq_set_t *s, uint64_t seq);
bool seq_set_is_empty(const seq_set_t *s);
/* Returns the least number; 0 when the set is empty. */
uint64_t seq_set_least(const seq_set_t *s);
/* Returns how many numbers are missing between the least and the greatest. */
uint64_t seq_set_holes(const seq_set_t *s);

#endif
