/* Rendezvous hashing: the node with the highest weight owns the key. */
#ifndef CORE_RENDEZVOUS_H
#define CORE_RENDEZVOUS_H

#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"

/* A candidate node for one key. */
typedef struct rendezvous {
	uint64_t weight; /* hash of name and key */
	str_t name; /* breaks ties: the lesser name wins */
} rendezvous_t;

/* Computes the weight of node NAME for KEY; NAME must outlive the result. */
rendezvous_t rendezvous_weigh(str_t name, str_t key);
/* Tells whether A takes precedence over B for the key. */
bool rendezvous_precedes(const rendezvous_t *a, const rendezvous_t *b);

#endif
