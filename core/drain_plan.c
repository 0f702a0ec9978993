#include "core/drain_plan.h"

#include <glib.h>

enum {
	MAX_ACCEPT_US = 2600 * 1000,
	ACCEPT_QUARTERS = 3, /* but at most 3/4 of the grace period */
	MAX_MARGIN_US = 700 * 1000, /* between the exit and the kill */
	MARGIN_DIVISOR = 8, /* but at most 1/8 of the grace period */
};

drain_plan_t drain_plan(int64_t grace)
{
	return (drain_plan_t){
		.accept_time = MIN(MAX_ACCEPT_US, grace * ACCEPT_QUARTERS / 4),
		.exit_after =
			grace - MIN(MAX_MARGIN_US, grace / MARGIN_DIVISOR),
	};
}
