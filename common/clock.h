/* The monotonic clock that timeouts and leases use. */
#ifndef COMMON_CLOCK_H
#define COMMON_CLOCK_H

#include <stdint.h>

/*
 * Returns monotonic time in microseconds. It includes the time for which the VM
 * was suspended, so that whatever expired meanwhile counts as expired.
 */
int64_t clock_boottime_us(void);

#endif
