/* The clock of all decisions. */
#ifndef COMMON_CLOCK_H
#define COMMON_CLOCK_H

#include <stdint.h>

/*
 * Steady time in microseconds. It counts the time for which the VM was
 * suspended, so that what ran out meanwhile is seen to have run out.
 */
int64_t clock_steady_us(void);

#endif
