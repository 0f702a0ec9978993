/*
 * Moves of a waiting request from one dispatcher to another: when it is
 * refused, waits for too long, or the dispatcher can't be used. The want is
 * withdrawn first, and the next one has a new attempt number, so a late grant
 * of the dispatcher before is returned.
 */
#define LOG_PART "relay"

#include <inttypes.h>

#include "common/log.h"
#include "daemon/relay.h"

enum {
	US_PER_MS = 1000,
	/* Longest wait at a dispatcher: latency target / this. */
	WAIT_TARGET_DIVISOR = 4,
	MIN_WAIT_US = 50 * US_PER_MS,
	MAX_WAIT_US = 300 * US_PER_MS,
	MAX_UNANSWERED_WANTS = 2, /* after these, a dispatcher is silent */
};

static void count_move(const relay_t *r, const char *why)
{
	g_autofree char *label = g_strdup_printf("why=\"%s\"", why);

	metrics_add(&r->gateway->sup->metrics, "papaya_dispatcher_moves_total",
		    label, 1);
}

static void move_to(relay_t *r, const zone_pick_t *next)
{
	/* The old dispatcher may have the want, though no answer came. */
	relay_post_capacity(r, MESSAGE_WITHDRAW, NULL);
	r->pick = *next;
	r->dispatches_locally = false;
	relay_request_runner(r);
}

/*
 * Goes to the next dispatcher that may have runners within reach, as this one
 * can't be reached, has none or is silent. False if there is no other.
 */
static bool go_to_usable_dispatcher(relay_t *r, bool is_silent)
{
	zone_pick_t next = r->pick;

	if (!zone_groups_pick_usable(&r->gateway->groups, r->gateway->sup->rand,
				     is_silent, &next))
		return false;
	count_move(r, is_silent ? "silent" : "unusable");
	log_sample("dispatcher-unusable",
		   "request=%s service=%s zone=%s dispatcher=%s next_zone=%s "
		   "age_ms=%" PRId64 " left_ms=%" PRId64 " why=\"%s\"",
		   r->id, r->service, r->pick.zone[0] ? r->pick.zone : "own",
		   relay_dispatcher_name(r), next.zone[0] ? next.zone : "own",
		   (now_us() - r->arrived_at) / US_PER_MS,
		   (r->deadline - now_us()) / US_PER_MS,
		   is_silent ? "no answer" : "not reached, or no runner works");
	move_to(r, &next);
	return true;
}

static void dispatch_locally(relay_t *r, int64_t now)
{
	log_event("dispatcher-silent",
		  "request=%s dispatcher=%s waited_ms=%" PRId64
		  " why=\"no answer; dispatched by this daemon\"",
		  r->id, relay_dispatcher_name(r),
		  (now - r->arrived_at) / US_PER_MS);
	relay_post_capacity(r, MESSAGE_WITHDRAW, NULL);
	r->dispatches_locally = true;
	r->is_routed = false;
	r->dispatcher[0] = '\0';
}

void relay_repeat_unanswered(relay_t *r, int64_t now)
{
	if (++r->unanswered_wants > MAX_UNANSWERED_WANTS &&
	    !r->dispatches_locally) {
		/* This daemon can dispatch for its own zone only. */
		if (r->pick.zone[0] && go_to_usable_dispatcher(r, true))
			return;
		dispatch_locally(r, now);
	}
	relay_repeat_want(r, now);
}

bool relay_try_after_refusal(relay_t *r, refuse_reason_t reason)
{
	if (reason == REFUSE_NO_RUNNER)
		return go_to_usable_dispatcher(r, false);
	if (!zone_groups_pick_next(&r->gateway->groups, r->gateway->sup->rand,
				   &r->pick))
		return false;
	count_move(r, "refused");
	relay_request_runner(r);
	return true;
}

/* How long a request waits at one dispatcher before it tries another. */
static int64_t dispatcher_timeout(const relay_t *r)
{
	int64_t target = r->route->target_ms * US_PER_MS;

	if (!target)
		return MAX_WAIT_US;
	return CLAMP(target / WAIT_TARGET_DIVISOR, MIN_WAIT_US, MAX_WAIT_US);
}

/*
 * Other groups of runners or other zones may have free runners. Queues are
 * ordered by the requests' own times, so a request doesn't lose its place by
 * moving.
 */
bool relay_try_next_dispatcher(relay_t *r, int64_t now)
{
	zone_pick_t next = r->pick;

	if (r->dispatches_locally || r->pick.is_prefix_owner ||
	    now - r->wait_started_at < dispatcher_timeout(r))
		return false;
	/* Look for another dispatcher only once in this wait. */
	r->wait_started_at = INT64_MAX;
	if (!zone_groups_leave(&r->gateway->groups, r->gateway->sup->rand,
			       &next))
		return false;
	count_move(r, "waited");
	log_sample("dispatcher-left",
		   "request=%s dispatcher=%s why=\"no grant in time\"", r->id,
		   relay_dispatcher_name(r));
	move_to(r, &next);
	return true;
}
