/*
 * Unique identifiers: 64 random bits that don't depend on the seed in the
 * settings, so that they don't repeat in other processes or after a restart.
 */
#ifndef COMMON_UNIQUE_H
#define COMMON_UNIQUE_H

#include <stdint.h>

/*
 * Returns 64 bits from the system's random number generator. Aborts the process
 * if that fails.
 */
uint64_t unique_id(void);

#endif
