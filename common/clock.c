#include "common/clock.h"

#include <time.h>

enum { NS_PER_US = 1000, US_PER_S = 1000 * 1000 };

int64_t clock_boottime_us(void)
{
	struct timespec t;

	clock_gettime(CLOCK_BOOTTIME, &t);
	return (int64_t)t.tv_sec * US_PER_S + t.tv_nsec / NS_PER_US;
}
