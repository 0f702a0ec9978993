#define LOG_PART "relay"

#include "common/log.h"
#include "daemon/relay.h"

#include <inttypes.h>

enum {
	RETRY_MS = 300, /* Retry-After of requests that did not run */
};

bool relay_is_success(const relay_t *r)
{
	return r->answer.status >= 200 && r->answer.status < 300;
}

/*
 * Tells whether a runner that is to go on with the stream begins with an event
 * that the caller has: IDs that are numbers rise over a stream.
 */
static bool is_repeated(const relay_t *r, str_t id)
{
	uint64_t number, last;

	return r->n_events == r->events_before && str_to_number(id, &number) &&
	       str_to_number(relay_last_event_id(r), &last) && number <= last;
}

static void record_event_time(relay_t *r)
{
	int64_t now = now_us();

	if (r->n_events++)
		r->longest_pause = MAX(r->longest_pause, now - r->event_at);
	else
		r->first_event_at = now;
	r->event_at = now;
	r->progress_at = now;
}

/* Forwards a complete event; keeps its id to resume the stream after it. */
static void on_event(void *ctx, str_t raw, str_t data)
{
	relay_t *r = ctx;
	str_t id = sse_id(raw);

	r->is_repeating |= is_repeated(r, id);
	if (r->is_repeating)
		return;
	ingress_write_chunk(r->caller, raw);
	/* A comment without id and data is a keep-alive, not progress. */
	if (!id.len && !data.len)
		return;
	record_event_time(r);
	r->is_past_last_id = !id.len;
	if (!id.len)
		return;
	g_string_truncate(r->last_event_id, 0);
	g_string_append_len(r->last_event_id, id.ptr, (gssize)id.len);
}

void relay_answer_init(relay_t *r, size_t max_event)
{
	sse_init(&r->sse, max_event, on_event, r);
}

/*
 * Tells whether the answer is for this attempt. A refusal doesn't always name
 * it; on a connection that was used before it may be a late copy of another
 * request's.
 */
static bool is_own_answer(const relay_t *r)
{
	if (r->answer.names_attempt)
		return r->answer.matches_attempt;
	return r->answer.is_not_run && !upstream_conn_is_reused(r->upstream);
}

/*
 * Tells whether an answer may be forwarded: it belongs to this attempt, has no
 * Content-Encoding, and carries the runner's seal if it is a success.
 */
static bool is_valid_answer(const relay_t *r)
{
	return r->is_own_answer && !r->answer.is_encoded &&
	       (!relay_is_success(r) || r->answer.is_sealed);
}

/*
 * Tells whether the answer is another request's, and this request's own may
 * still follow it. One that may be repeated rather goes to another runner.
 */
static bool is_late_copy(const relay_t *r)
{
	return r->answer.names_attempt && !r->answer.matches_attempt &&
	       upstream_conn_is_reused(r->upstream) &&
	       !fleet_may_repeat(r->route);
}

static bool skip_answer(relay_t *r)
{
	log_event("late-answer-skipped",
		  "request=%s runner=%s status=%d why=\"it names another "
		  "request\"",
		  r->id, r->runner.name, r->answer.status);
	r->has_answer = false;
	return upstream_conn_skip_answer(r->upstream);
}

static void begin_stream(relay_t *r)
{
	r->is_streaming = true;
	if (r->has_begun)
		return;
	r->has_begun = true;
	r->begun_status = r->answer.status;
	ingress_begin_stream(r->caller, r->answer_http_head);
}

static bool on_head(void *ctx, const http1_head_t *head)
{
	relay_t *r = ctx;

	r->answer_http_head = head;
	r->has_answer = true;
	r->heard_at = now_us();
	answer_head_read(head, r->call.attempt_id, &r->answer);
	r->is_own_answer = is_own_answer(r);
	if (is_late_copy(r))
		return skip_answer(r);
	/* One that names no attempt still states this runner's status. */
	if (r->is_own_answer || !r->answer.names_attempt)
		relay_read_runner_status(r);
	if (!is_valid_answer(r))
		return false;
	relay_report_alive(r);
	relay_on_way_heard(r);
	if (r->route->kind == FLEET_STREAM && relay_is_success(r))
		begin_stream(r);
	return true;
}

static void report_first_event(relay_t *r)
{
	message_t m = { .type = MESSAGE_FIRST_TOKEN };

	g_strlcpy(m.capacity.peer, r->dispatcher, sizeof(m.capacity.peer));
	runner_group_name(&r->pick.group, m.capacity.service,
			  sizeof(m.capacity.service));
	m.capacity.want.id =
		(want_id_t){ r->gateway->sup->boot_id, r->attempt };
	m.capacity.done.says_leaving = r->says_leaving;
	m.capacity.done.limit =
		runner_filter_known_limit(&r->gateway->runners, r->runner.name);
	m.capacity.done.load = r->load;
	m.capacity.done.is_brittle = r->is_brittle;
	m.capacity.done.refusals_borne = r->refusals_borne;
	r->is_load_told = true;
	supervisor_post(r->gateway->sup, TASK_PEERS, &m);
}

static bool on_body(void *ctx, str_t bytes)
{
	relay_t *r = ctx;
	uint64_t before = r->n_events;
	bool is_sound;
	size_t max_backlog = byte_budget_backlog(
		&r->gateway->answers,
		(size_t)r->gateway->sup->settings->caller_backlog_kib * 1024);

	r->heard_at = now_us();
	if (!relay_make_room(r, bytes.len))
		return false;
	if (!r->is_streaming) {
		evbuffer_add(r->answer_body, bytes.ptr, bytes.len);
		return evbuffer_get_length(r->answer_body) <=
		       (size_t)r->gateway->sup->settings->max_answer_kib * 1024;
	}
	is_sound = sse_feed(&r->sse, bytes);
	relay_count_event(r);
	if (!is_sound || r->is_repeating)
		return false;
	if (!before && r->n_events) {
		relay_bind_release(r);
		relay_on_first_event(r);
		report_first_event(r);
		relay_report_sound(r);
	}
	if (!r->is_paused && ingress_backlog(r->caller) > max_backlog) {
		r->is_paused = true;
		upstream_conn_pause(r->upstream, true);
	}
	return true;
}

/* Logs a sample of the successes, and every error of a runner. */
static void log_answer(const relay_t *r)
{
	static const char format[] =
		"request=%s status=%d by=runner route=%s team=%s runner=%s "
		"config=%" PRIu64 " sent=%u events=%" PRIu64 " age_ms=%" PRId64
		" first_ms=%" PRId64 " pause_ms=%" PRId64
		" running=%u waiting=%u slots=%u pace=%u fingerprint=%" PRIx64
		" parts=%s";
	char parts[PROMPT_PARTS_TEXT_SIZE];
	int64_t age_ms = (now_us() - r->arrived_at) / 1000;
	int64_t first_ms = r->first_event_at ?
				   (r->first_event_at - r->arrived_at) / 1000 :
				   age_ms;
	int64_t pause_ms = r->longest_pause / 1000;
	const char *team = r->team ? r->team->name : "-";

	if (relay_is_success(r))
		log_sample("answered", format, r->id, r->answer.status,
			   r->route->name, team, r->runner.name,
			   r->fleet->version, r->sends, r->n_events, age_ms,
			   first_ms, pause_ms, r->load.running, r->load.waiting,
			   r->load.slots, r->load.pace, r->fingerprint,
			   prompt_parts_text(&r->call.parts, parts));
	else
		log_event("answered", format, r->id, r->answer.status,
			  r->route->name, team, r->runner.name,
			  r->fleet->version, r->sends, r->n_events, age_ms,
			  first_ms, pause_ms, r->load.running, r->load.waiting,
			  r->load.slots, r->load.pace, r->fingerprint,
			  prompt_parts_text(&r->call.parts, parts));
}

static void forward_answer(relay_t *r)
{
	ingress_t *caller = r->caller;

	log_answer(r);
	r->caller = NULL;
	if (r->has_begun)
		ingress_end_stream(caller, true);
	else
		ingress_answer(caller, r->answer_http_head, r->answer_body);
	relay_end(r);
}

/* The runner refused the request and states that it did not run. */
static void handle_refusal(relay_t *r)
{
	r->is_refused = !r->answer.is_other_runner;
	relay_report_done(r, DONE_FAILED);
	log_event("attempt-refused",
		  "request=%s runner=%s status=%d running=%u waiting=%u "
		  "slots=%u sent=%u named=%s",
		  r->id, r->runner.name, r->answer.status, r->answer.running,
		  r->answer.waiting, r->answer.slots, r->sends,
		  r->answer.names_attempt ? "yes" : "no");
	if (relay_retry(r))
		return;
	if (r->possible_runs)
		relay_fail(r, 502, 0, "runners failed and refused it");
	else
		relay_fail(r, 503, RETRY_MS, "the runners are full");
}

void relay_on_attempt_lost(relay_t *r, const char *why)
{
	char parts[PROMPT_PARTS_TEXT_SIZE];

	log_event("attempt-lost",
		  "request=%s runner=%s status=%d events=%" PRIu64
		  " sent=%u fingerprint=%" PRIx64 " parts=%s why=\"%s\"",
		  r->id, r->runner.name, r->has_answer ? r->answer.status : 0,
		  r->n_events, r->sends, r->fingerprint,
		  prompt_parts_text(&r->call.parts, parts), why);
	r->possible_runs++;
	relay_report_done(r, r->is_proxy_lost ? DONE_CANCELLED : DONE_BROKEN);
	if (!relay_retry(r))
		relay_fail(r, 502, 0, why);
}

/*
 * Handles a 5xx answer: tries another runner, which may succeed, or else
 * forwards the answer.
 */
static void handle_failure(relay_t *r)
{
	r->possible_runs++;
	relay_report_done(r, DONE_FAILED);
	if (r->has_begun || !fleet_may_repeat(r->route) || !relay_retry(r))
		forward_answer(r);
}

/*
 * Tells whether a runner's stream ended before its first event, by the end of
 * its connection alone: that is how it looks when the runner crashed.
 */
static bool ended_before_output(const relay_t *r)
{
	const http1_head_t *head = r->answer_http_head;

	return r->is_streaming && r->n_events == r->events_before &&
	       !head->is_chunked && head->content_length == HTTP1_NO_LENGTH;
}

/* Tells whether the answer is the stream that has begun, or its rest. */
static bool is_taken_up(const relay_t *r)
{
	return r->is_streaming && r->answer.status == r->begun_status;
}

/* Tells whether the answer shows that the runner doesn't crash on it. */
static bool is_proof_of_run(const relay_t *r)
{
	return !r->n_events &&
	       (relay_is_success(r) || r->route->kind != FLEET_STREAM);
}

static void handle_complete(relay_t *r)
{
	if (!is_valid_answer(r)) {
		relay_on_attempt_lost(r, "the answer is not the runner's");
		return;
	}
	if (r->answer.is_not_run) {
		handle_refusal(r);
		return;
	}
	if (r->has_begun && !is_taken_up(r)) {
		relay_on_attempt_lost(r, "the stream was not taken up again");
		return;
	}
	if (r->answer.status >= 500) {
		if (is_proof_of_run(r))
			relay_report_sound(r);
		handle_failure(r);
		return;
	}
	if (r->is_streaming && r->sse.partial->len) {
		relay_on_attempt_lost(r, "the stream ended within an event");
		return;
	}
	if (ended_before_output(r)) {
		relay_report_crash(r);
		relay_on_attempt_lost(r, "the stream ended before an event");
		return;
	}
	r->possible_runs++;
	if (is_proof_of_run(r))
		relay_report_sound(r);
	relay_report_done(r,
			  relay_is_success(r) ? DONE_COMPLETED : DONE_FAILED);
	forward_answer(r);
}

static void on_end(void *ctx, upstream_end_t end)
{
	relay_t *r = ctx;
	upstream_way_t way = upstream_conn_way(r->upstream);

	if (end == UPSTREAM_COMPLETE)
		r->connection_ms = upstream_conn_fresh_ms(r->upstream);
	r->was_reused = upstream_conn_is_reused(r->upstream);
	r->upstream = NULL;
	r->is_paused = false;
	r->sends += end != UPSTREAM_UNSENT;
	switch (end) {
	case UPSTREAM_COMPLETE:
		handle_complete(r);
		break;
	case UPSTREAM_UNSENT:
		if (relay_try_other_way(r, way))
			break;
		log_event("attempt-unsent",
			  "request=%s runner=%s dispatcher=%s pause_ms=0 "
			  "why=\"no connection to the runner\"",
			  r->id, r->runner.name, relay_dispatcher_name(r));
		relay_report_done(r, DONE_UNREACHABLE);
		if (!relay_retry(r))
			relay_fail(r, r->possible_runs ? 502 : 503,
				   r->possible_runs ? 0 : RETRY_MS,
				   "no runner can be reached");
		break;
	case UPSTREAM_BROKEN:
		r->is_proxy_lost = way == UPSTREAM_WAY_PROXY;
		if (!r->is_proxy_lost)
			relay_report_crash(r);
		relay_on_attempt_lost(r, "the connection broke");
		break;
	case UPSTREAM_MALFORMED:
		relay_on_attempt_lost(r, "the answer can't be used");
		break;
	}
}

const upstream_ops_t relay_answer_ops = { on_head, on_body, on_end };
