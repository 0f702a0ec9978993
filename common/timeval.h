/* Durations for libevent. */
#ifndef COMMON_TIMEVAL_H
#define COMMON_TIMEVAL_H

#include <stdint.h>
#include <sys/time.h>

/* Returns MS milliseconds, not negative, as a struct timeval. */
static inline struct timeval timeval_from_ms(int64_t ms)
{
	return (struct timeval){ .tv_sec = ms / 1000,
				 .tv_usec = (ms % 1000) * 1000 };
}

#endif
