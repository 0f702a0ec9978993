#define LOG_PART "relay"

#include "daemon/relay.h"

#include <inttypes.h>

#include "common/log.h"
#include "common/timeval.h"

enum {
	US_PER_MS = 1000,
	NO_UPSTREAM_RETRY_MS = 500,
	REPEAT_WANT_US = 250 * US_PER_MS, /* the want or grant may be lost */
	MAX_SENDS = 4, /* including runners that refuse at once */
	/* A request with less time left is not sent again. */
	MIN_RETRY_TIME_US = 20 * US_PER_MS,
	DEFAULT_OUTPUT_TOKENS = 128,
	LEFT_OUTPUT_DIVISOR = 8,
};

static supervisor_t *supervisor_of(const relay_t *r)
{
	return r->gateway->sup;
}

const char *relay_dispatcher_name(const relay_t *r)
{
	return r->dispatcher[0] ? r->dispatcher : "own";
}

static const char *runner_name(const relay_t *r)
{
	return r->runner.name[0] ? r->runner.name : "-";
}

uint32_t relay_whole_output_tokens(const call_head_t *call)
{
	if (call->output_hint)
		return call->output_hint;
	return call->has_tokens ? call->max_output_tokens / 2 + 1 :
				  DEFAULT_OUTPUT_TOKENS;
}

str_t relay_last_event_id(const relay_t *r)
{
	if (r->last_event_id->len)
		return (str_t){ r->last_event_id->str, r->last_event_id->len };
	return relay_is_take_up(r) ? r->call.last_event_id : STR_LIT("");
}

/*
 * Returns the number of events that the caller has of the stream: their IDs
 * count them. 0 if there are none, or their IDs are no numbers.
 */
static uint32_t events_received(const relay_t *r)
{
	uint64_t n;

	if (!str_to_number(relay_last_event_id(r), &n))
		return 0;
	return (uint32_t)MIN(n, UINT32_MAX);
}

/*
 * Estimates the output that is left. An event has a token at least. What goes
 * on after its estimated end is taken to have a small part left.
 */
static uint32_t output_tokens_left(const relay_t *r)
{
	uint32_t whole = relay_whole_output_tokens(&r->call);
	uint32_t received = events_received(r);

	return MAX(received < whole ? whole - received : 0,
		   whole / LEFT_OUTPUT_DIVISOR + 1);
}

static void fill_capacity(const relay_t *r, message_capacity_t *c)
{
	const fleet_service_t *service =
		fleet_find_service(r->fleet, r->service);
	bool is_engine = service && service->is_engine;

	g_strlcpy(c->peer, r->dispatcher, sizeof(c->peer));
	runner_group_name(&r->pick.group, c->service, sizeof(c->service));
	if (!r->dispatches_locally)
		g_strlcpy(c->zone, r->pick.zone, sizeof(c->zone));
	c->is_local_only = r->dispatches_locally;
	g_snprintf(c->tier, sizeof(c->tier), "%u", r->rank);
	c->want.id = (want_id_t){ supervisor_of(r)->boot_id, r->attempt };
	if (r->team)
		g_strlcpy(c->want.team, r->team->name, sizeof(c->want.team));
	c->want.prompt_tokens = is_engine ? MAX(r->call.prompt_tokens, 1) : 1;
	c->want.output_tokens = is_engine ? r->output_tokens : 1;
	c->want.prefix_hash = r->call.prefix_hash;
	c->want.prefix_tokens = r->call.prefix_tokens;
	c->want.session_hash = r->call.session_hash;
	c->want.session_tokens = r->call.session_tokens;
	c->want.deadline = r->deadline;
	if (r->route->target_ms && !r->has_begun)
		c->want.target =
			r->arrived_at + r->route->target_ms * US_PER_MS;
	if (r->route->kind == FLEET_STREAM)
		c->want.max_pause_ms =
			(uint32_t)CLAMP(r->route->pause_ms, 0, UINT32_MAX);
	if (r->route->kind == FLEET_STREAM && !r->has_begun)
		c->want.start_by = r->arrived_at +
				   fleet_caller_wait_ms(r->route) * US_PER_MS;
	g_strlcpy(c->want.avoid, r->avoid, sizeof(c->want.avoid));
	c->want.release = r->release;
}

void relay_post_capacity(relay_t *r, message_type_t type, const done_t *done)
{
	message_t m = { .type = type };

	fill_capacity(r, &m.capacity);
	m.capacity.is_resent = r->is_resent;
	if (done)
		m.capacity.done = *done;
	if (r->state == RELAY_GRANTED)
		g_strlcpy(m.capacity.running_on, r->runner.name,
			  sizeof(m.capacity.running_on));
	supervisor_post(supervisor_of(r), TASK_PEERS, &m);
}

void relay_new_attempt(relay_t *r)
{
	if (r->attempt)
		g_hash_table_steal(r->gateway->relays, &r->attempt);
	r->attempt = ++r->gateway->last_attempt;
	g_hash_table_insert(r->gateway->relays, &r->attempt, r);
}

/* Drops what was received of an answer that isn't forwarded. */
static void drop_answer(relay_t *r)
{
	evbuffer_drain(r->answer_body, evbuffer_get_length(r->answer_body));
	sse_reset(&r->sse);
	relay_count_event(r);
}

void relay_request_runner(relay_t *r)
{
	if (!relay_choose_pool(r))
		return;
	drop_answer(r);
	r->load = (runner_load_t){ 0 };
	r->is_load_told = false;
	r->is_brittle = false;
	r->is_refused = false;
	r->connection_ms = 0;
	relay_new_attempt(r);
	r->state = RELAY_AWAITING_GRANT;
	r->output_tokens = output_tokens_left(r);
	r->requested_at = now_us();
	r->wait_started_at = r->requested_at;
	r->stall_epoch = supervisor_stall_epoch(supervisor_of(r));
	r->is_resent = false;
	r->unanswered_wants = 0;
	r->is_routed = false;
	r->dispatcher[0] = '\0';
	relay_post_capacity(r, MESSAGE_WANT, NULL);
}

void relay_repeat_want(relay_t *r, int64_t now)
{
	r->requested_at = now;
	r->is_resent = true;
	relay_post_capacity(r, MESSAGE_WANT, NULL);
}

void relay_report_done(relay_t *r, done_result_t result)
{
	done_t done = { .result = result };

	relay_on_done(r, result);
	done.prompt_tokens = r->call.prompt_tokens;
	done.output_tokens = r->output_tokens;
	done.says_leaving = r->says_leaving;
	done.pause_ms = r->pause_ms;
	done.limit =
		runner_filter_known_limit(&r->gateway->runners, r->runner.name);
	if (!r->is_load_told)
		done.load = r->load;
	done.connection_ms = r->connection_ms;
	done.is_brittle = r->is_brittle;
	done.refusals_borne = r->refusals_borne;
	done.is_refused = r->is_refused;
	relay_post_capacity(r, MESSAGE_DONE, &done);
}

void relay_free(relay_t *r)
{
	if (r->upstream)
		upstream_conn_cancel(r->upstream);
	if (r->attempt)
		g_hash_table_steal(r->gateway->relays, &r->attempt);
	g_hash_table_remove(r->gateway->pending, r);
	event_free(r->timer);
	drop_answer(r);
	evbuffer_free(r->answer_body);
	sse_finish(&r->sse);
	g_string_free(r->last_event_id, TRUE);
	g_bytes_unref(r->body);
	g_free(r->id);
	fleet_unref(r->fleet);
	g_free(r);
}

void relay_end(relay_t *r)
{
	if (r->caller)
		ingress_set_relay(r->caller, NULL);
	relay_free(r);
}

static void record_own_answer(relay_t *r, int status, const char *why)
{
	g_autofree char *label = g_strdup_printf("status=\"%d\"", status);

	log_event("answered",
		  "request=%s status=%d by=daemon why=\"%s\" route=%s "
		  "team=%s service=%s rank=%u config=%" PRIu64
		  " dispatcher=%s runner=%s sent=%u ran=%u events=%" PRIu64
		  " age_ms=%" PRId64 " left_ms=%" PRId64,
		  r->id, status, why, r->route ? r->route->name : "-",
		  r->team ? r->team->name : "-", r->service ? r->service : "-",
		  r->rank, r->fleet ? r->fleet->version : 0,
		  relay_dispatcher_name(r), runner_name(r), r->sends,
		  r->possible_runs, r->n_events,
		  (now_us() - r->arrived_at) / US_PER_MS,
		  r->deadline ? (r->deadline - now_us()) / US_PER_MS : 0);
	metrics_add(&supervisor_of(r)->metrics, "papaya_own_answers_total",
		    label, 1);
}

void relay_fail(relay_t *r, int status, int64_t retry_after_ms, const char *why)
{
	ingress_t *caller = r->caller;

	record_own_answer(r, status, why);
	r->caller = NULL;
	if (r->has_begun)
		ingress_end_stream(caller, false);
	else
		ingress_answer_error(caller, status, retry_after_ms, why);
	relay_end(r);
}

void relay_cancel_exchange(relay_t *r)
{
	if (!r->upstream)
		return;
	r->sends += upstream_conn_is_sent(r->upstream);
	upstream_conn_cancel(r->upstream);
	r->upstream = NULL;
}

void relay_release_grant(relay_t *r, done_result_t result)
{
	if (r->state == RELAY_AWAITING_GRANT)
		relay_post_capacity(r, MESSAGE_WITHDRAW, NULL);
	else if (r->state == RELAY_GRANTED)
		relay_report_done(r, result);
	relay_cancel_exchange(r);
}

void relay_cancel(relay_t *r, const char *why)
{
	r->caller = NULL;
	relay_release_grant(r, DONE_CANCELLED);
	log_event("caller-left",
		  "request=%s runner=%s sent=%u events=%" PRIu64
		  " age_ms=%" PRId64 " why=\"%s\"",
		  r->id, runner_name(r), r->sends, r->n_events,
		  (now_us() - r->arrived_at) / US_PER_MS, why);
	relay_end(r);
}

/* Ends a request before its answer: 503 only if it hasn't run. */
static void end_request(relay_t *r, const char *why_run, const char *why_not)
{
	r->possible_runs += r->upstream && upstream_conn_is_sent(r->upstream);
	relay_release_grant(r, DONE_CANCELLED);
	if (r->possible_runs || r->has_begun)
		relay_fail(r, 504, 0, why_run);
	else
		relay_fail(r, 503, NO_UPSTREAM_RETRY_MS, why_not);
}

void relay_on_deadline(evutil_socket_t fd, short what, void *arg)
{
	relay_t *r = arg;

	if (r->state == RELAY_AWAITING_READY)
		relay_fail_unready(r);
	else
		end_request(r, "the time is up",
			    "no upstream was free in time");
}

void relay_end_unfinished(relay_t *r)
{
	end_request(r, "the daemon is stopping", "the daemon is stopping");
}

static bool has_retry_time(const relay_t *r)
{
	return r->deadline - now_us() > MIN_RETRY_TIME_US;
}

/* Takes one retry from the budget that all daemons share, and logs it. */
static bool take_retry(relay_t *r)
{
	retry_budget_t *budget = &r->gateway->retries;
	bool is_taken = retry_budget_take(budget, r->service);

	log_event(is_taken ? "retry" : "retry-denied",
		  "request=%s service=%s sent=%u ran=%u left=%.1f most=%.1f "
		  "daemons=%u why=\"%s\"",
		  r->id, r->service, r->sends, r->possible_runs,
		  retry_budget_left(budget, r->service),
		  retry_budget_most(budget), budget->quota.daemons,
		  is_taken ? "another runner may serve it" :
			     "the retry budget is used up");
	metrics_add(&supervisor_of(r)->metrics,
		    is_taken ? "papaya_retries_total" :
			       "papaya_retries_denied_total",
		    NULL, 1);
	return is_taken;
}

/* Whether it may go to another runner after so many sends and runs. */
static bool may_go_on(const relay_t *r, uint32_t sends, uint32_t runs)
{
	return sends < MAX_SENDS && !r->is_past_last_id &&
	       runs < r->route->max_attempts &&
	       (!runs || fleet_may_repeat(r->route)) && has_retry_time(r) &&
	       !relay_is_quarantined(r);
}

bool relay_may_resend(const relay_t *r)
{
	return may_go_on(r, r->sends + 1, r->possible_runs + 1);
}

bool relay_has_retry(const relay_t *r)
{
	return retry_budget_left(&r->gateway->retries, r->service) >= 1;
}

bool relay_retry(relay_t *r)
{
	g_strlcpy(r->avoid, r->runner.name, sizeof(r->avoid));
	if (!may_go_on(r, r->sends, r->possible_runs))
		return false;
	/* A grant that was not used leaves the retry that was taken for it. */
	if (r->retries_taken < r->sends) {
		if (!take_retry(r))
			return false;
		r->retries_taken = r->sends;
	}
	relay_request_runner(r);
	return true;
}

static void send_upstream(relay_t *r)
{
	r->has_answer = false;
	r->is_streaming = false;
	r->events_before = r->n_events;
	r->is_repeating = false;
	r->says_leaving = false;
	r->pause_ms = 0;
	r->state = RELAY_GRANTED;
	r->progress_at = now_us();
	r->heard_at = r->progress_at;
	relay_on_sent(r);
	if (relay_start_exchange(r))
		return;
	relay_report_done(r, DONE_UNREACHABLE);
	if (!relay_retry(r))
		relay_fail(r, 503, NO_UPSTREAM_RETRY_MS,
			   "no upstream can be reached");
}

bool relay_is_stale(const relay_t *r)
{
	return r->stall_epoch != supervisor_stall_epoch(supervisor_of(r));
}

static void decline_stale_grant(relay_t *r)
{
	log_event("grant-declined",
		  "request=%s runner=%s dispatcher=%s why=\"the process "
		  "stalled after the want was sent\"",
		  r->id, r->runner.name, relay_dispatcher_name(r));
	relay_post_capacity(r, MESSAGE_WITHDRAW, NULL);
	if (has_retry_time(r))
		relay_request_runner(r);
	else
		relay_fail(r, r->possible_runs || r->has_begun ? 504 : 503,
			   r->possible_runs || r->has_begun ?
				   0 :
				   NO_UPSTREAM_RETRY_MS,
			   "the time passed while the process stood still");
}

void relay_on_grant(relay_t *r, const message_capacity_t *grant)
{
	if (r->state != RELAY_AWAITING_GRANT)
		return;
	r->runner = grant->runner;
	r->granted_limit = grant->limit;
	r->is_routed = true;
	g_strlcpy(r->dispatcher, grant->peer, sizeof(r->dispatcher));
	if (relay_is_stale(r)) {
		decline_stale_grant(r);
		return;
	}
	metrics_observe(&supervisor_of(r)->metrics, "papaya_wait_ms", NULL,
			(now_us() - r->arrived_at) / US_PER_MS);
	if (relay_refuse_quarantined(r) || relay_decline_if_unusable(r))
		return;
	log_sample("granted",
		   "request=%s runner=%s dispatcher=%s wait_ms=%" PRId64, r->id,
		   r->runner.name, relay_dispatcher_name(r),
		   (now_us() - r->requested_at) / US_PER_MS);
	send_upstream(r);
}

static const char *refuse_reason_text(refuse_reason_t reason)
{
	static const char *const texts[REFUSE_REASONS] = {
		[REFUSE_DEADLINE] = "it could not finish in time",
		[REFUSE_QUEUE_FULL] = "the queue is full",
		[REFUSE_SHED] = "it gave way to more urgent work",
		[REFUSE_NO_RUNNER] = "the service has no runner",
		[REFUSE_EXPIRED] = "its time passed while it waited",
		[REFUSE_PAUSED] = "the runners asked for a pause",
		[REFUSE_NO_RELEASE] =
			"no runner of the stream's release serves",
		[REFUSE_TOO_LARGE] = "it exceeds the runners' memory",
	};

	return texts[reason];
}

void relay_on_queued(relay_t *r)
{
	r->unanswered_wants = 0;
}

void relay_on_refusal(relay_t *r, refuse_reason_t reason, uint32_t retry_ms)
{
	if (r->state != RELAY_AWAITING_GRANT)
		return;
	if (has_retry_time(r) &&
	    (relay_leave_pool(r) || relay_try_after_refusal(r, reason)))
		return;
	r->state = RELAY_ENDED;
	if (r->possible_runs || r->has_begun)
		relay_fail(r, 502, 0, refuse_reason_text(reason));
	else
		relay_fail(r, 503, MAX(retry_ms, 1),
			   refuse_reason_text(reason));
}

void relay_on_routed(relay_t *r, const char *dispatcher)
{
	if (r->is_routed && strcmp(r->dispatcher, dispatcher) != 0) {
		/* The previous dispatcher must not count it any longer. */
		relay_post_capacity(r, MESSAGE_WITHDRAW, NULL);
		r->unanswered_wants = 0;
	}
	r->is_routed = true;
	g_strlcpy(r->dispatcher, dispatcher, sizeof(r->dispatcher));
}

void relay_on_view_change(relay_t *r)
{
	if (r->state == RELAY_AWAITING_GRANT || r->state == RELAY_GRANTED)
		relay_repeat_want(r, now_us());
}

void relay_tick(relay_t *r, int64_t now)
{
	if (relay_refuse_quarantined(r) || relay_check_partition(r, now))
		return;
	if (r->state == RELAY_AWAITING_RELEASE) {
		relay_check_release_timeout(r, now);
	} else if (r->state == RELAY_AWAITING_LIMIT) {
		relay_check_limit_timeout(r, now);
	} else if (r->state == RELAY_AWAITING_GRANT &&
		   relay_try_next_dispatcher(r, now)) {
		return;
	} else if (r->state == RELAY_AWAITING_GRANT &&
		   now - r->requested_at > REPEAT_WANT_US) {
		relay_repeat_unanswered(r, now);
	} else if (r->state == RELAY_GRANTED && r->is_streaming &&
		   !r->is_paused &&
		   now - r->progress_at >
			   supervisor_of(r)->settings->upstream_idle_ms *
				   US_PER_MS) {
		relay_cancel_exchange(r);
		relay_on_attempt_lost(r, "no event came for too long");
	}
}

void relay_resume(relay_t *r)
{
	if (!r->is_paused || !r->upstream)
		return;
	r->is_paused = false;
	r->heard_at = now_us();
	upstream_conn_pause(r->upstream, false);
}
