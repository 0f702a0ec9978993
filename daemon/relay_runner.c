/*
 * Handles the status that runners state in their answers: the runner is
 * leaving, or wants no requests from this VM for some time. This daemon acts on
 * it whatever the VM list or a dispatcher state, and reports it to the
 * dispatcher.
 */
#define LOG_PART "relay"

#include <inttypes.h>

#include "common/log.h"
#include "core/partition_action.h"
#include "daemon/relay.h"

enum {
	US_PER_MS = 1000,
	RETRY_MS = 500, /* Retry-After when no usable runner was granted */
	MAX_DECLINES = 8, /* per request; the dispatcher gets each grant back */
};

static metrics_t *metrics_of(const relay_t *r)
{
	return &r->gateway->sup->metrics;
}

/* Cancels an exchange whose request is unsent; requests another runner. */
static void reroute_unsent(relay_t *r, done_result_t result, const char *why)
{
	relay_cancel_exchange(r);
	log_event("attempt-unsent",
		  "request=%s runner=%s pause_ms=%u why=\"%s\"", r->id,
		  r->runner.name, r->pause_ms, why);
	relay_report_done(r, result);
	if (!relay_retry(r))
		relay_fail(r, r->possible_runs || r->has_begun ? 502 : 503,
			   r->possible_runs || r->has_begun ?
				   0 :
				   MAX(RETRY_MS, r->pause_ms),
			   why);
}

void relay_reroute_unsent(relay_t *r, const char *why)
{
	if (r->upstream && !upstream_conn_is_sent(r->upstream))
		reroute_unsent(r, DONE_CANCELLED, why);
}

/* Moves requests that are still connecting to RUNNER to another one. */
static void reroute_all_unsent(gateway_t *g, const char *runner,
			       uint32_t pause_ms)
{
	g_autoptr(GList) relays = g_hash_table_get_values(g->relays);

	for (GList *link = relays; link; link = link->next) {
		relay_t *r = link->data;

		if (r->state != RELAY_GRANTED || !r->upstream ||
		    upstream_conn_is_sent(r->upstream) ||
		    strcmp(r->runner.name, runner))
			continue;
		r->pause_ms = pause_ms;
		reroute_unsent(r, DONE_CANCELLED,
			       "the runner asked for a pause");
	}
}

static void record_leaving(relay_t *r, const char *why)
{
	log_event("runner-leaving",
		  "request=%s runner=%s born=%" PRId64 " status=%d why=\"%s\"",
		  r->id, r->runner.name, r->runner.born_ms, r->answer.status,
		  why);
	metrics_add(metrics_of(r), "papaya_runner_leaving_total", NULL, 1);
	r->says_leaving = true;
	runner_filter_set_leaving(&r->gateway->runners, r->runner.name,
				  r->runner.born_ms, now_us());
}

static void record_pause(relay_t *r)
{
	int64_t applied_ms = runner_filter_pause(
		&r->gateway->runners, r->runner.name, r->runner.born_ms,
		r->answer.pause_ms, now_us());

	log_event("runner-pause",
		  "request=%s runner=%s born=%" PRId64 " pause_ms=%" PRId64
		  " stated_ms=%" PRId64 " why=\"%s\"",
		  r->id, r->runner.name, r->runner.born_ms, applied_ms,
		  r->answer.pause_ms,
		  applied_ms == r->answer.pause_ms ?
			  "its answer asks for it" :
			  "its answer states an invalid or too long pause");
	metrics_add(metrics_of(r), "papaya_runner_pauses_total", NULL, 1);
	r->pause_ms = (uint32_t)applied_ms;
	reroute_all_unsent(r->gateway, r->runner.name, r->pause_ms);
}

/* Returns what the answer's head says of the runner's limit. */
static runner_limit_t stated_limit(const relay_t *r)
{
	runner_limit_t limit = { .state = RUNNER_LIMIT_LIFTED,
				 .at = r->progress_at };

	if (!r->answer.has_rate_limit)
		return limit;
	limit.state = RUNNER_LIMIT_NAMED;
	limit.at = now_us();
	limit.rate = r->answer.rate_limit == ANSWER_RATE_LIMIT_UNREADABLE ?
			     RUNNER_LIMIT_DEFAULT_RATE :
			     r->answer.rate_limit;
	return limit;
}

static void record_limit(relay_t *r)
{
	runner_filter_t *filter = &r->gateway->runners;
	runner_limit_t known =
		runner_filter_known_limit(filter, r->runner.name);
	runner_limit_t stated = stated_limit(r);
	bool is_named = stated.state == RUNNER_LIMIT_NAMED;

	metrics_add(metrics_of(r), "papaya_runner_limits_total", NULL,
		    is_named);
	if (!is_named && known.state != RUNNER_LIMIT_NAMED)
		return;
	if (!runner_filter_limit(filter, r->runner.name, r->runner.born_ms,
				 &stated))
		return;
	log_event("runner-limit",
		  "request=%s runner=%s born=%" PRId64 " status=%d state=%s "
		  "rate=%g stated=%g dispatcher=%s",
		  r->id, r->runner.name, r->runner.born_ms, r->answer.status,
		  is_named ? "named" : "lifted", stated.rate,
		  r->answer.rate_limit, relay_dispatcher_name(r));
}

static void record_load(relay_t *r)
{
	const answer_head_t *a = &r->answer;

	if (a->is_load_unreadable)
		metrics_add(metrics_of(r), "papaya_runner_loads_invalid_total",
			    NULL, 1);
	if (!a->has_load)
		return;
	metrics_add(metrics_of(r), "papaya_runner_loads_total", NULL, 1);
	r->load = (runner_load_t){ now_us(), a->running, a->waiting, a->slots,
				   a->pace };
}

void relay_read_runner_status(relay_t *r)
{
	/*
	 * Another runner has the address. Its answer states its own status,
	 * not that of the runner that was granted, which no longer runs there.
	 */
	if (r->answer.is_other_runner) {
		record_leaving(r, "another runner has its address");
		return;
	}
	record_load(r);
	r->is_brittle = r->answer.is_brittle;
	r->refusals_borne = r->answer.refusals_borne;
	if (r->answer.is_leaving)
		record_leaving(r, "its answer says so");
	if (r->answer.pause_ms)
		record_pause(r);
	record_limit(r);
}

static bool is_partitioned(const relay_t *r)
{
	const char *zone;

	if (!g_hash_table_size(r->gateway->partitioned_zones))
		return false;
	zone = g_hash_table_lookup(r->gateway->runner_zones, r->runner.name);
	return zone &&
	       g_hash_table_contains(r->gateway->partitioned_zones, zone);
}

static partition_action_t find_partition_action(const relay_t *r, int64_t now)
{
	partitioned_request_t request = {
		.is_sent = upstream_conn_is_sent(r->upstream),
		.may_resend = relay_may_resend(r),
		.has_budget = relay_has_retry(r),
		.has_answer = r->has_answer || r->has_begun,
		.is_unread = r->is_paused || r->gateway->is_tick_late,
		.heard_at = r->heard_at,
		.caller_wait = fleet_caller_wait_ms(r->route) * US_PER_MS,
	};

	return partition_action(&request, now);
}

bool relay_check_partition(relay_t *r, int64_t now)
{
	if (r->state != RELAY_GRANTED || !r->upstream || !is_partitioned(r))
		return false;
	switch (find_partition_action(r, now)) {
	case PARTITION_WAIT:
		return false;
	case PARTITION_REROUTE:
		reroute_unsent(r, DONE_UNREACHABLE,
			       "the runner's zone does not answer");
		break;
	case PARTITION_RESEND:
		relay_cancel_exchange(r);
		relay_on_attempt_lost(r, "the runner's zone does not answer");
		break;
	}
	return true;
}

static const char *unusable_text(runner_use_t use)
{
	static const char *const texts[] = {
		[RUNNER_LISTED_LEAVING] = "the daemon's list says it leaves",
		[RUNNER_REPORTED_LEAVING] = "the runner said that it leaves",
		[RUNNER_PAUSED] = "the runner asked for a pause",
		[RUNNER_PARTITIONED] = "the runner's zone does not answer",
		[RUNNER_LIMITED] = "the dispatcher doesn't know its limit",
		[RUNNER_OTHER_RELEASE] = "the stream began on another release",
		[RUNNER_RELEASE_HELD] = "its release is not used now",
	};

	return texts[use];
}

static done_result_t decline_result(runner_use_t use)
{
	if (use == RUNNER_PAUSED || use == RUNNER_LIMITED ||
	    use == RUNNER_OTHER_RELEASE || use == RUNNER_RELEASE_HELD)
		return DONE_CANCELLED;
	return use == RUNNER_PARTITIONED ? DONE_UNREACHABLE : DONE_LEAVING;
}

/* Returns whether the granted runner may be used now. */
static runner_status_t granted_status(const relay_t *r, int64_t now)
{
	const runner_filter_t *filter = &r->gateway->runners;
	runner_limit_t limit =
		runner_filter_known_limit(filter, r->runner.name);
	runner_status_t s = runner_filter_status(filter, r->runner.name, now);

	if (s.use != RUNNER_USABLE)
		return s;
	if (is_partitioned(r)) {
		s.use = RUNNER_PARTITIONED;
	} else if (r->release && r->runner.release != r->release) {
		s.use = RUNNER_OTHER_RELEASE;
	} else if (!relay_may_send(r)) {
		s.use = RUNNER_RELEASE_HELD;
	} else if (!runner_limit_allows(&limit, &r->granted_limit)) {
		s.use = RUNNER_LIMITED;
		s.reported_at = limit.at;
	}
	return s;
}

bool relay_decline_if_unusable(relay_t *r)
{
	int64_t now = now_us();
	runner_status_t s = granted_status(r, now);
	bool is_paused = s.use == RUNNER_PAUSED;
	int64_t left_ms = (s.paused_until - now) / US_PER_MS + 1;

	if (s.use == RUNNER_USABLE) {
		runner_filter_limit(&r->gateway->runners, r->runner.name,
				    r->runner.born_ms, &r->granted_limit);
		return false;
	}
	log_event("grant-declined",
		  "request=%s runner=%s dispatcher=%s notice_age_ms=%" PRId64
		  " pause_ms=%" PRId64 " why=\"%s\"",
		  r->id, r->runner.name, relay_dispatcher_name(r),
		  s.reported_at ? (now - s.reported_at) / US_PER_MS : -1,
		  is_paused ? left_ms : 0, unusable_text(s.use));
	r->state = RELAY_GRANTED;
	r->says_leaving = s.use == RUNNER_REPORTED_LEAVING;
	r->pause_ms = is_paused ? (uint32_t)left_ms : 0;
	relay_report_done(r, decline_result(s.use));
	if (++r->declined_grants > MAX_DECLINES || !relay_retry(r))
		relay_fail(r, r->possible_runs || r->has_begun ? 502 : 503,
			   r->possible_runs ? 0 : MAX(RETRY_MS, r->pause_ms),
			   unusable_text(s.use));
	return true;
}
