/* Numbers that never come twice, whatever seed the settings name. */
#ifndef COMMON_UNIQUE_H
#define COMMON_UNIQUE_H

#include <stdint.h>

/* Returns 64 bits from the system's generator. Ends the process without. */
uint64_t unique_id(void);

#endif
