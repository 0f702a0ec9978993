/* Rendezvous hashing: the node with the highest weight has the key. */
#ifndef CORE_RENDEZVOUS_H
#define CORE_RENDEZVOUS_H

#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"

/* A node as a candidate for one key; plain data. */
typedef struct rendezvous {
	uint64_t weight;
	str_t name; /* decides between equal weights */
} rendezvous_t;

/* Weighs the node NAME for KEY; NAME must outlive the result. */
rendezvous_t rendezvous_weigh(str_t name, str_t key);
/* Tells whether A has the key rather than B. */
bool rendezvous_beats(const rendezvous_t *a, const rendezvous_t *b);

#endif
