/* Random numbers that never repeat, independent of the seed in the settings. */
#ifndef COMMON_UNIQUE_H
#define COMMON_UNIQUE_H

#include <stdint.h>

/*
 * Returns 64 bits from the system's random number generator. Aborts the process
 * if that fails.
 */
uint64_t unique_id(void);

#endif
