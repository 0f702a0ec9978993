/*
 * What becomes of a request whose runner is in a zone that is taken to be
 * partitioned. The zone may well be reachable: the verdict comes from a failure
 * detector that prefers to be early (core/detector.h). So a request that gets
 * its answer is given up on its own silence only, not on that of its zone. Reads
 * no clock; times are microseconds of the monotonic clock.
 */
#ifndef CORE_PARTITION_ACTION_H
#define CORE_PARTITION_ACTION_H

#include <stdbool.h>
#include <stdint.h>

typedef enum partition_action {
	PARTITION_WAIT, /* for the runner, or the end of the partition */
	PARTITION_REROUTE, /* nothing was sent: another runner takes it */
	PARTITION_RESEND, /* give the exchange up, send it to another runner */
} partition_action_t;

typedef struct partitioned_request {
	bool is_sent; /* its first byte may have left */
	bool may_resend; /* another runner may get it */
	bool has_budget; /* and a retry is left for it */
	bool has_answer; /* a head arrived, from this runner or an earlier one */
	/* What arrived may be unread: its caller is slow, or this process late. */
	bool is_unread;
	int64_t heard_at; /* when bytes of its answer last arrived, or it was sent */
	int64_t caller_wait; /* how long its caller waits for the next ones */
} partitioned_request_t;

partition_action_t partition_action(const partitioned_request_t *r,
				    int64_t now);

#endif
