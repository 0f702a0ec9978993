#include "core/drain_plan.h"

#include <glib.h>

enum {
	MAX_LINGER_US = 2600 * 1000,
	LINGER_QUARTERS = 3, /* of a short grace */
	MAX_MARGIN_US = 700 * 1000, /* between the end and the kill */
	MARGIN_PART = 8, /* of a short grace */
};

drain_plan_t drain_plan(int64_t grace)
{
	return (drain_plan_t){
		.linger = MIN(MAX_LINGER_US, grace * LINGER_QUARTERS / 4),
		.limit = grace - MIN(MAX_MARGIN_US, grace / MARGIN_PART),
	};
}
