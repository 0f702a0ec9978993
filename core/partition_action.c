#include "core/partition_action.h"

enum {
	/* Silence, as a part of the caller's wait; the rest is for a resend. */
	SILENCE_DIVISOR = 2,
};

partition_action_t partition_action(const partitioned_request_t *r, int64_t now)
{
	if (!r->is_sent)
		return PARTITION_REROUTE;
	if (!r->may_resend)
		return PARTITION_WAIT;
	/* Without a retry it fails at once, and its caller may try elsewhere. */
	if (!r->has_answer)
		return PARTITION_RESEND;
	if (!r->has_budget)
		return PARTITION_WAIT;
	if (r->is_unread ||
	    now - r->heard_at < r->caller_wait / SILENCE_DIVISOR)
		return PARTITION_WAIT;
	return PARTITION_RESEND;
}
