/*
 * Mutual authentication of the two ends of a connection by the peer secret:
 * HMAC-SHA256 over the side and both hello messages, each of which has a fresh
 * random challenge.
 */
#ifndef NET_PROOF_H
#define NET_PROOF_H

#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"
#include "net/peer.pb-c.h"

enum {
	PROOF_SIZE = 32, /* bytes */
	PROOF_CHALLENGE_SIZE = 32, /* bytes */
};

typedef enum proof_side {
	PROOF_CONNECTOR,
	PROOF_ACCEPTOR,
} proof_side_t;

/* Computes the proof that SIDE, which sent the hello OWN, sends its peer. */
void proof_compute(str_t secret, proof_side_t side, const Papaya__Hello *own,
		   const Papaya__Hello *other, uint8_t mac[PROOF_SIZE]);

/* Compares the proof MAC with the expected one, in constant time. */
bool proof_is_equal(const uint8_t expected[PROOF_SIZE], const uint8_t *mac,
		    size_t len);

#endif
