/*
 * A set of sequence numbers, kept as ranges: numbers that come in order cost
 * nothing, whatever their count. Pure.
 */
#ifndef CORE_SEQ_SET_H
#define CORE_SEQ_SET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Both ends are in it. */
typedef struct seq_range {
	uint64_t first;
	uint64_t last;
} seq_range_t;

typedef struct seq_set {
	GArray *ranges; /* of seq_range_t; rising, apart by a hole each */
} seq_set_t;

void seq_set_init(seq_set_t *s);
void seq_set_finish(seq_set_t *s);
/* Returns false when the number was there already. */
bool seq_set_add(seq_set_t *s, uint64_t seq);
/*
 * Puts a range behind all that is there. Returns false, and changes nothing,
 * when it is not behind or its ends are the wrong way round.
 */
bool seq_set_append(seq_set_t *s, seq_range_t range);
bool seq_set_has(const seq_set_t *s, uint64_t seq);
bool seq_set_is_empty(const seq_set_t *s);
/* 0 when empty. */
uint64_t seq_set_least(const seq_set_t *s);
/* Numbers missing between the least and the greatest. */
uint64_t seq_set_holes(const seq_set_t *s);

#endif
