#define LOG_PART "job"

#include "daemon/job.h"

#include <inttypes.h>

#include "common/log.h"
#include "core/dispatcher_explain.h"
#include "daemon/metrics.h"

enum {
	MAX_RETRY_MS = 3600 * 1000,
	LIMIT_TIMEOUT_US = 300 * 1000, /* then this daemon's counter is used */
};

static void on_disconnected(void *ctx, caller_t *caller)
{
	job_t *job = ctx;

	g_ptr_array_remove(job->callers, caller);
	if (!job->callers->len)
		job_on_last_disconnect(job);
	else
		job_update_backpressure(job);
}

static void on_drained(void *ctx, caller_t *caller)
{
	job_update_backpressure(ctx);
}

static const caller_ops_t caller_ops = { on_disconnected, on_drained };

static caller_t *add_caller(job_t *job, http_conn_t *conn)
{
	caller_t *c = g_new0(caller_t, 1);

	caller_init(c, conn, &caller_ops, job);
	g_ptr_array_add(job->callers, c);
	return c;
}

static void free_caller(void *data)
{
	caller_finish(data);
	g_free(data);
}

static void set_deadline(job_t *job, const profile_t *profile)
{
	int tier = profile_tier_index(profile, str_from(job->call.tier));
	int64_t deadline_ms = job->call.deadline_ms;

	if (tier >= 0) {
		job->is_protected = profile->tiers[tier].is_protected;
		if (!deadline_ms)
			deadline_ms = profile->tiers[tier].need_ms;
	}
	job->deadline = job->accepted_at + deadline_ms * 1000;
}

job_t *job_new(front_t *f, call_t *call, const profile_service_t *service,
	       const profile_t *profile, http_conn_t *conn)
{
	job_t *job = g_new0(job_t, 1);

	job->front = f;
	job->attempt = ++f->last_attempt;
	job->call = *call;
	job->state = JOB_AWAITING_OWNER;
	job->callers = g_ptr_array_new_with_free_func(free_caller);
	job->is_engine = service->is_engine;
	job->accepted_at = now_us();
	job->stall_epoch = supervisor_stall_epoch(f->sup);
	job->last_sent_at = job->accepted_at;
	job->answer = g_string_new("");
	job->usage.prompt = call->prompt_tokens;
	g_snprintf(job->id, sizeof(job->id), "%s-%016" PRIx64 "-%" PRIu64,
		   f->sup->settings->name, f->sup->boot_id, job->attempt);
	set_deadline(job, profile);
	g_strlcpy(job->profile, profile->name, sizeof(job->profile));
	g_hash_table_insert(f->jobs, &job->attempt, job);
	add_caller(job, conn);
	log_info("request %s: accepted for service %s, team %s, tier %s%s%s",
		 job->id, call->service, call->team, call->tier,
		 call->parent_id ? ", forwarded as " : "",
		 call->parent_id ? call->parent_id : "");
	return job;
}

void job_free(void *data)
{
	job_t *job = data;

	http_call_finish(&job->upstream);
	if (job->sse.partial)
		sse_finish(&job->sse);
	g_ptr_array_unref(job->callers);
	call_finish(&job->call);
	g_clear_pointer(&job->scoped_key, g_bytes_unref);
	g_string_free(job->answer, TRUE);
	g_free(job->content_type);
	g_free(job);
}

/* Sends a joining caller the part of the stream that others already have. */
static void send_stream_so_far(job_t *job, caller_t *c)
{
	response_head_t head = { .status = job->status,
				 .content_type = job->content_type,
				 .request_id = job->id };

	/* Without a kept event it is the first one that was too long. */
	if (!job->is_sse || (!job->answer->len && !job->is_answer_too_long))
		return;
	if (!job->is_answer_too_long) {
		caller_begin_stream(c, &head);
		caller_write_chunk(
			c, (str_t){ job->answer->str, job->answer->len });
		return;
	}
	head.status = 409;
	head.outcome = OUTCOME_UNKNOWN;
	caller_reply_error(c, &head, "Idempotency-Key",
			   "the answer so far is too long to be repeated");
	g_ptr_array_remove(job->callers, c);
}

void job_join(job_t *job, http_conn_t *conn)
{
	send_stream_so_far(job, add_caller(job, conn));
}

/*
 * Moves the callers of JOB to TARGET. Two requests with the same key had their
 * owner looked up at the same time; only TARGET runs.
 */
static void move_callers(job_t *job, job_t *target)
{
	while (job->callers->len) {
		caller_t *c = g_ptr_array_steal_index(job->callers, 0);

		c->ctx = target;
		g_ptr_array_add(target->callers, c);
		send_stream_so_far(target, c);
	}
	job_end_merged(job);
}

/*
 * Returns the age of a key, or -1 (unknown) when its timestamp is further in
 * the future than the clock skew allows.
 */
static int64_t key_age(const job_t *job, int64_t age)
{
	int64_t skew = job->front->sup->settings->clock_skew_ms * 1000;

	return age < -skew ? -1 : MAX(age, 0);
}

void job_look_up_owner(job_t *job)
{
	front_t *f = job->front;
	const call_t *call = &job->call;
	message_t m = { .type = MESSAGE_LOCATE,
			.locate = { .attempt = job->attempt, .key_age = -1 } };
	uint64_t boot_id;

	if (call->ticket) {
		call_ticket_daemon(call->ticket, m.locate.ticket_daemon,
				   sizeof(m.locate.ticket_daemon), &boot_id);
	} else {
		int64_t created_ms = call_key_created_ms(call->key);
		int64_t age = g_get_real_time() - created_ms * 1000;

		m.locate.scoped = g_bytes_ref(job->scoped_key);
		m.locate.fingerprint = call->fingerprint;
		m.locate.key_age = created_ms < 0 ? -1 : key_age(job, age);
		call_key_zone(call->key, f->sup->settings->zones,
			      m.locate.key_zone, sizeof(m.locate.key_zone));
	}
	supervisor_post(f->sup, TASK_PEERS, &m);
}

void job_claim_ticket(job_t *job)
{
	front_t *f = job->front;
	dedup_verdict_t verdict;

	verdict = dedup_claim(
		&f->tickets, job->scoped_key, true, job->call.fingerprint,
		supervisor_stall_epoch(f->sup), &job->ticket_entry);
	if (verdict == DEDUP_NEW) {
		job->ticket_entry->user_data = job;
		job_check_limit(job);
		return;
	}
	job->ticket_entry = NULL;
	job_fail(job, OUTCOME_UNKNOWN, 410, "no such ticket", 0);
}

static void start_with_claim(job_t *job, const message_locate_t *found)
{
	job->has_claim = true;
	job->claim = (dedup_entry_t){ .state = DEDUP_WAITING,
				      .epoch = found->epoch };
	job_check_limit(job);
}

/* Joins the attempt that claimed the key first, to get the same response. */
static void join_running_attempt(job_t *job, uint64_t attempt)
{
	job_t *target = g_hash_table_lookup(job->front->jobs, &attempt);

	/*
	 * The other attempt has ended. A new lookup finds its response, or
	 * claims the key if that attempt was not dispatched.
	 */
	if (!target || target->state == JOB_ENDED)
		job_look_up_owner(job);
	else
		move_callers(job, target);
}

static void apply_claim_verdict(job_t *job, const message_locate_t *found)
{
	switch (found->verdict) {
	case DEDUP_NEW:
		start_with_claim(job, found);
		break;
	case DEDUP_JOIN:
		join_running_attempt(job, found->joined);
		break;
	case DEDUP_REPLAY:
		job_reply_stored(job, &found->answer);
		break;
	case DEDUP_MISMATCH:
		job_fail(job, OUTCOME_NOT_RUN, 422,
			 "the key names another request", 0);
		break;
	default:
		job_fail(job, OUTCOME_NOT_RUN, HTTP_SERVUNAVAIL,
			 "the table of keys is full", JOB_RETRY_MS);
		break;
	}
}

static void fail_in_holdoff(job_t *job, const member_owner_t *owner)
{
	int64_t wait_ms = (owner->holdoff_until - now_us()) / 1000;

	job_fail(job, OUTCOME_UNKNOWN, HTTP_SERVUNAVAIL,
		 "an earlier call with this key may have run on a daemon "
		 "that is gone",
		 (uint32_t)CLAMP(wait_ms, JOB_RETRY_MS, MAX_RETRY_MS));
}

void job_on_owner_found(job_t *job, const message_locate_t *found)
{
	const member_owner_t *owner = &found->owner;

	if (job->state != JOB_AWAITING_OWNER)
		return;
	switch (owner->kind) {
	case MEMBER_OWNER_SELF:
		apply_claim_verdict(job, found);
		return;
	case MEMBER_OWNER_HOLDOFF:
		fail_in_holdoff(job, owner);
		return;
	case MEMBER_OWNER_PEER:
	case MEMBER_OWNER_ZONE:
		if (job->call.hops >= CALL_MAX_HOPS)
			break;
		job_forward(job, owner->vm.address);
		return;
	case MEMBER_OWNER_NONE:
		break;
	}
	/* An earlier request with the key may have run on that daemon. */
	job_fail(job, OUTCOME_UNKNOWN, HTTP_SERVUNAVAIL,
		 "the owner of the key or ticket can't be reached",
		 JOB_RETRY_MS);
}

static void post_limit(job_t *job, message_type_t type)
{
	message_t m = { .type = type };
	message_limit_t *l = &m.limit;

	l->attempt = job->attempt;
	l->owner = job->front->sup->boot_id;
	l->is_fallback = job->is_limit_fallback;
	g_strlcpy(l->team, job->call.team, sizeof(l->team));
	g_strlcpy(l->profile, job->profile, sizeof(l->profile));
	g_strlcpy(l->peer, job->limiter, sizeof(l->peer));
	supervisor_post(job->front->sup, TASK_PEERS, &m);
}

static bool has_limit(const job_t *job)
{
	const profile_t *profile = front_profile(job->front, &job->call);
	const profile_team_t *team =
		profile ? profile_find_team(profile, str_from(job->call.team)) :
			  NULL;

	return team && (team->rate > 0 || team->concurrency);
}

/*
 * Only the daemon that owns the request checks the limit: a refusal reports the
 * outcome NOT_RUN, which no other daemon can state.
 */
void job_check_limit(job_t *job)
{
	if (!has_limit(job)) {
		job_request_runner(job);
		return;
	}
	job->state = JOB_AWAITING_LIMIT;
	job->limit_requested_at = now_us();
	post_limit(job, MESSAGE_LIMIT_ASK);
}

void job_on_limit_answer(job_t *job, const message_limit_t *answer)
{
	if (!answer->is_ok) {
		job_fail(job, OUTCOME_NOT_RUN, 429,
			 "the team's limit is reached",
			 MAX(answer->retry_after_ms, 1));
		return;
	}
	job->holds_concurrency = true;
	job->is_limit_fallback = answer->is_fallback;
	g_strlcpy(job->limiter, answer->peer, sizeof(job->limiter));
	job_request_runner(job);
}

void job_release_limit(job_t *job)
{
	if (job->holds_concurrency)
		post_limit(job, MESSAGE_LIMIT_RELEASE);
	job->holds_concurrency = false;
}

/*
 * Falls back to this daemon's own counter when the limiter does not answer: its
 * process may be paused, or its answer lost.
 */
static void check_limit_timeout(job_t *job, int64_t now)
{
	if (job->state != JOB_AWAITING_LIMIT || job->is_limit_fallback ||
	    now - job->limit_requested_at < LIMIT_TIMEOUT_US)
		return;
	job->is_limit_fallback = true;
	post_limit(job, MESSAGE_LIMIT_ASK);
}

static void fill_capacity(const job_t *job, message_capacity_t *c)
{
	const call_t *call = &job->call;

	g_strlcpy(c->peer, job->dispatcher, sizeof(c->peer));
	g_strlcpy(c->service, call->service, sizeof(c->service));
	g_strlcpy(c->tier, call->tier, sizeof(c->tier));
	g_strlcpy(c->zone, job->zone, sizeof(c->zone));
	c->hops = job->zones_tried;
	c->want.id = (want_id_t){ job->front->sup->boot_id, job->attempt };
	g_strlcpy(c->want.team, call->team, sizeof(c->want.team));
	c->want.prompt_tokens = call->prompt_tokens;
	c->want.output_tokens = call->output_tokens;
	c->want.prefix_hash = call->prefix_hash;
	c->want.deadline = job->deadline;
	g_strlcpy(c->want.avoid, job->avoid, sizeof(c->want.avoid));
}

static void post_capacity(job_t *job, message_type_t type, const done_t *done)
{
	message_t m = { .type = type };

	fill_capacity(job, &m.capacity);
	m.capacity.is_resent = job->is_resent;
	if (done)
		m.capacity.done = *done;
	if (job->state == JOB_SENDING || job->state == JOB_RUNNING)
		g_strlcpy(m.capacity.running_on, job->runner.name,
			  sizeof(m.capacity.running_on));
	supervisor_post(job->front->sup, TASK_PEERS, &m);
}

void job_request_runner(job_t *job)
{
	job->state = JOB_AWAITING_GRANT;
	job->is_resent = false;
	post_capacity(job, MESSAGE_WANT, NULL);
}

void job_notify_dispatcher(job_t *job, message_type_t type, const done_t *done)
{
	if (job->is_routed && !job->is_forwarded_to_owner)
		post_capacity(job, type, done);
}

void job_on_routed(job_t *job, const char *dispatcher)
{
	bool has_moved = job->is_routed && strcmp(job->dispatcher, dispatcher);

	/* The old dispatcher may still run and must not count the attempt. */
	if (has_moved)
		job_notify_dispatcher(job, MESSAGE_WITHDRAW, NULL);
	job->is_routed = true;
	g_strlcpy(job->dispatcher, dispatcher, sizeof(job->dispatcher));
}

void job_on_grant(job_t *job, const dispatcher_runner_t *runner)
{
	if (job->state != JOB_AWAITING_GRANT)
		return;
	job->runner = *runner;
	job->state = JOB_SENDING;
	metrics_observe(&job->front->sup->metrics, "papaya_wait_ms", NULL,
			(now_us() - job->accepted_at) / 1000);
	log_info("request %s: granted runner %s", job->id, runner->name);
	job_dispatch(job);
}

/* Selects the next zone to request a runner from; false after the last. */
static bool next_zone(job_t *job)
{
	const settings_t *s = job->front->sup->settings;
	guint n = g_strv_length(s->zones);
	guint own = 0;

	while (strcmp(s->zones[own], s->zone))
		own++;
	if (++job->zones_tried >= n)
		return false;
	g_strlcpy(job->zone, s->zones[(own + job->zones_tried) % n],
		  sizeof(job->zone));
	job->is_routed = false;
	return true;
}

void job_on_refusal(job_t *job, refuse_reason_t reason, uint32_t retry_after_ms)
{
	bool may_overflow = reason == REFUSE_NO_RUNNER ||
			    (job->is_protected && reason != REFUSE_EXPIRED);

	if (job->state != JOB_AWAITING_GRANT)
		return;
	if (may_overflow && next_zone(job)) {
		job_request_runner(job);
		return;
	}
	job->is_routed = false;
	job_fail(job, OUTCOME_NOT_RUN, HTTP_SERVUNAVAIL,
		 refuse_reason_text(reason), MAX(retry_after_ms, 1));
}

void job_on_preemption(job_t *job)
{
	if (job->state != JOB_RUNNING || !job->is_engine)
		return;
	job_fail(job, OUTCOME_FAILED, HTTP_SERVUNAVAIL,
		 "cancelled to make room for a more urgent tier", JOB_RETRY_MS);
}

/*
 * Repeats the want: another daemon may be the dispatcher now, and messages in
 * flight may be lost.
 */
void job_on_view_change(job_t *job)
{
	if (job->is_forwarded_to_owner || job->state < JOB_AWAITING_GRANT ||
	    job->state == JOB_ENDED)
		return;
	job->is_resent = true;
	post_capacity(job, MESSAGE_WANT, NULL);
}

static void send_keepalive(job_t *job, int64_t now)
{
	static const char comment[] = ": keep-alive\n\n";

	job->last_sent_at = now;
	for (guint i = 0; i < job->callers->len; i++) {
		caller_t *c = g_ptr_array_index(job->callers, i);

		if (c->is_started)
			caller_write_chunk(c, STR_LIT(comment));
	}
}

/* Disconnects callers that have not read their response for too long. */
static void drop_slow_callers(job_t *job, int64_t now)
{
	int64_t limit = job->front->sup->settings->slow_caller_ms * 1000;

	for (guint i = job->callers->len; i-- > 0;) {
		caller_t *c = g_ptr_array_index(job->callers, i);

		if (!c->unwritten_since || now - c->unwritten_since < limit)
			continue;
		log_info("request %s: caller too slow; disconnecting it",
			 job->id);
		g_ptr_array_remove_index(job->callers, i);
	}
	if (!job->callers->len)
		job_on_last_disconnect(job);
}

/* A dispatched request to a plain service is not ended at its deadline. */
static void end_past_deadline(job_t *job)
{
	if (!job->is_dispatched)
		job_fail(job, OUTCOME_NOT_RUN, HTTP_SERVUNAVAIL,
			 refuse_reason_text(REFUSE_EXPIRED), JOB_RETRY_MS);
	else if (job->is_engine && job->has_done_event)
		job_complete(job); /* only the connection's end is missing */
	else if (job->is_engine)
		job_fail(job, OUTCOME_FAILED, 504,
			 "cancelled: its deadline passed", JOB_RETRY_MS);
}

void job_tick(job_t *job, int64_t now)
{
	const settings_t *s = job->front->sup->settings;

	if (job->state == JOB_ENDED)
		return;
	/* The owner of a forwarded request enforces its deadline. */
	if (now >= job->deadline && !job->is_forwarded_to_owner) {
		end_past_deadline(job);
		if (job->state == JOB_ENDED)
			return;
	}
	check_limit_timeout(job, now);
	if (job->is_sse && now - job->last_sent_at > s->keepalive_ms * 1000)
		send_keepalive(job, now);
	drop_slow_callers(job, now);
}
