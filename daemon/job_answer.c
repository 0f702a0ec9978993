#define LOG_PART "job"

#include "daemon/job.h"

#include "common/log.h"

/* Prompt tokens that the engine computed, without those in its prefix cache. */
static uint32_t computed_prompt_tokens(const job_t *job)
{
	if (!job->is_engine || job->usage.cached > job->usage.prompt)
		return 0;
	return job->usage.prompt - job->usage.cached;
}

static void post_account(job_t *job, outcome_t outcome, bool is_caller_gone,
			 waste_cause_t cause)
{
	bool is_in_time = now_us() <= job->deadline;
	accounts_sum_t *sum;
	message_t m = { .type = MESSAGE_ACCOUNT };

	if (job->is_forwarded_to_owner)
		return;
	g_strlcpy(m.account.key.service, job->call.service,
		  sizeof(m.account.key.service));
	g_strlcpy(m.account.key.tier, job->call.tier,
		  sizeof(m.account.key.tier));
	g_strlcpy(m.account.key.team, job->call.team,
		  sizeof(m.account.key.team));
	sum = &m.account.delta;
	sum->offered = 1;
	if (is_caller_gone)
		sum->cancelled = 1;
	else if (outcome == OUTCOME_COMPLETED && is_in_time)
		sum->in_need = 1;
	else if (outcome == OUTCOME_COMPLETED)
		sum->late = 1;
	else if (outcome == OUTCOME_NOT_RUN)
		sum->not_run = 1;
	else if (outcome == OUTCOME_FAILED)
		sum->failed = 1;
	else
		sum->unknown = 1;
	if (sum->in_need) {
		sum->prompt_useful = computed_prompt_tokens(job);
		sum->output_useful = job->usage.output;
	} else if (job->is_dispatched) {
		sum->prompt_wasted[cause] = computed_prompt_tokens(job);
		sum->output_wasted[cause] = job->usage.output;
	}
	supervisor_post(job->front->sup, TASK_ACCOUNTS, &m);
}

static void report_done(job_t *job, done_result_t result)
{
	done_t done = { .result = result,
			.prompt_tokens = job->usage.prompt,
			.output_tokens = job->usage.output,
			.cached_tokens = job->usage.cached };

	if (job->state == JOB_SENDING || job->state == JOB_RUNNING)
		job_notify_dispatcher(job, MESSAGE_DONE, &done);
	else
		job_notify_dispatcher(job, MESSAGE_WITHDRAW, NULL);
}

static void post_claim_ended(job_t *job, const dedup_answer_t *answer)
{
	message_t m = { .type = MESSAGE_CLAIM_ENDED };

	m.claim.scoped = g_bytes_ref(job->scoped_key);
	m.claim.fingerprint = job->call.fingerprint;
	m.claim.is_dispatched = job->is_dispatched;
	m.claim.answer = *answer;
	m.claim.answer.content_type = g_strdup(answer->content_type);
	if (answer->body)
		g_bytes_ref(answer->body);
	supervisor_post(job->front->sup, TASK_PEERS, &m);
	job->has_claim = false;
}

/*
 * Ends the claim of the job's key or ticket: stores the final response for
 * retries, or releases the claim of a request that was not dispatched.
 */
static void finish_claim(job_t *job, const dedup_answer_t *answer)
{
	front_t *f = job->front;

	if (job->has_claim)
		post_claim_ended(job, answer);
	if (!job->ticket_entry)
		return;
	if (job->is_dispatched)
		dedup_end(&f->tickets, job->ticket_entry, answer, now_us());
	else
		dedup_release(&f->tickets, job->ticket_entry, now_us());
	job->ticket_entry = NULL;
}

static void count_outcome(job_t *job, outcome_t outcome)
{
	g_autofree char *labels = g_strdup_printf(
		"service=\"%s\",tier=\"%s\",outcome=\"%s\"", job->call.service,
		job->call.tier, outcome_name(outcome));

	metrics_add(&job->front->sup->metrics, "papaya_requests_total", labels,
		    1);
	log_info("request %s: %s after %lld ms", job->id, outcome_name(outcome),
		 (long long)(now_us() - job->accepted_at) / 1000);
}

/* Ends the job; the front's next timer tick frees it. */
static void end(job_t *job)
{
	job_release_limit(job);
	http_call_finish(&job->upstream);
	g_ptr_array_set_size(job->callers, 0);
	job->state = JOB_ENDED;
}

static void reply_all(job_t *job, const response_head_t *head, str_t body)
{
	for (guint i = 0; i < job->callers->len; i++) {
		caller_t *c = g_ptr_array_index(job->callers, i);

		if (c->is_started)
			caller_end_stream(c);
		else
			caller_reply(c, head, body);
	}
}

void job_complete(job_t *job)
{
	bool is_ok = job->status < HTTP_BADREQUEST;
	outcome_t outcome = is_ok ? OUTCOME_COMPLETED : OUTCOME_FAILED;
	str_t body = { job->answer->str, job->answer->len };
	response_head_t head = { .status = job->status,
				 .content_type = job->content_type,
				 .outcome = outcome,
				 .request_id = job->id };
	g_autoptr(GBytes) stored_body = job->is_answer_too_long ?
						NULL :
						g_bytes_new(body.ptr, body.len);
	dedup_answer_t answer = { outcome, job->status, job->content_type,
				  stored_body };

	reply_all(job, &head, body);
	finish_claim(job, &answer);
	post_account(job, outcome, false,
		     is_ok ? WASTE_DEADLINE : WASTE_RUNNER_FAILED);
	report_done(job, is_ok ? DONE_COMPLETED : DONE_FAILED);
	count_outcome(job, outcome);
	end(job);
}

static void end_stream_with_error(caller_t *c, const char *json)
{
	g_autofree char *event = g_strdup_printf("data: %s\n\n", json);

	caller_write_chunk(c, str_from(event));
	caller_end_stream(c);
}

static waste_cause_t waste_cause(const job_t *job, outcome_t outcome)
{
	if (now_us() >= job->deadline)
		return WASTE_DEADLINE;
	if (outcome == OUTCOME_UNKNOWN)
		return WASTE_RUNNER_FAILED;
	return WASTE_PREEMPTED;
}

/*
 * Turns NOT_RUN into UNKNOWN for a request with a key or ticket that this job
 * holds no claim for: an earlier request with the key may have run on
 * another daemon.
 */
static outcome_t provable_outcome(const job_t *job, outcome_t outcome)
{
	bool has_key = job->call.key || job->call.ticket;

	if (outcome != OUTCOME_NOT_RUN || !has_key || job->has_claim ||
	    job->ticket_entry)
		return outcome;
	return OUTCOME_UNKNOWN;
}

void job_fail(job_t *job, outcome_t wanted, int status, const char *message,
	      uint32_t retry_after_ms)
{
	outcome_t outcome = provable_outcome(job, wanted);
	g_autofree char *json =
		caller_error_json(message, NULL, outcome, job->id);
	g_autoptr(GBytes) stored_body = g_bytes_new(json, strlen(json));
	dedup_answer_t answer = { outcome, status, "application/json",
				  stored_body };
	response_head_t head = { .status = status,
				 .content_type = "application/json",
				 .outcome = outcome,
				 .request_id = job->id,
				 .retry_after_ms = retry_after_ms };

	log_info("request %s: %s: %s", job->id, outcome_name(outcome), message);
	for (guint i = 0; i < job->callers->len; i++) {
		caller_t *c = g_ptr_array_index(job->callers, i);

		if (c->is_started)
			end_stream_with_error(c, json);
		else
			caller_reply(c, &head, str_from(json));
	}
	finish_claim(job, &answer);
	post_account(job, outcome, false, waste_cause(job, outcome));
	report_done(job,
		    outcome == OUTCOME_UNKNOWN ? DONE_BROKEN : DONE_CANCELLED);
	count_outcome(job, outcome);
	end(job);
}

void job_relay_response(job_t *job)
{
	response_head_t head = { .status = job->status,
				 .content_type = job->content_type,
				 .outcome = job->forwarded_outcome,
				 .request_id = job->id,
				 .retry_after_ms = job->forwarded_retry_ms };

	reply_all(job, &head, (str_t){ job->answer->str, job->answer->len });
	count_outcome(job, job->forwarded_outcome);
	end(job);
}

/*
 * True for a request that continues without callers: one that must not be
 * interrupted, or whose caller may retry it with its key or ticket.
 */
static bool continues_without_callers(const job_t *job)
{
	if (job->is_forwarded_to_owner || !job->is_dispatched)
		return false;
	return job->ticket_entry || job->has_claim || !job->is_engine;
}

void job_on_last_disconnect(job_t *job)
{
	dedup_answer_t none = { OUTCOME_UNKNOWN, HTTP_SERVUNAVAIL, NULL, NULL };

	if (job->state == JOB_ENDED)
		return;
	if (continues_without_callers(job)) {
		job_update_backpressure(job);
		return;
	}
	finish_claim(job, &none);
	post_account(job, OUTCOME_NONE, true, WASTE_CALLER_LEFT);
	report_done(job, DONE_CANCELLED);
	log_info("request %s: caller disconnected", job->id);
	end(job);
}

static void store_event(job_t *job, str_t raw)
{
	size_t max = (size_t)job->front->sup->settings->max_answer_kib * 1024;

	if ((!job->ticket_entry && !job->has_claim) || job->is_answer_too_long)
		return;
	if (job->answer->len + raw.len > max) {
		job->is_answer_too_long = true;
		return;
	}
	g_string_append_len(job->answer, raw.ptr, (gssize)raw.len);
}

void job_send_event(job_t *job, str_t raw)
{
	response_head_t head = { .status = job->status,
				 .content_type = job->content_type,
				 .request_id = job->id };

	store_event(job, raw);
	job->last_sent_at = now_us();
	for (guint i = 0; i < job->callers->len; i++) {
		caller_t *c = g_ptr_array_index(job->callers, i);

		caller_begin_stream(c, &head);
		caller_write_chunk(c, raw);
	}
	job_update_backpressure(job);
}

static void reply_stored(caller_t *c, const dedup_answer_t *answer)
{
	response_head_t head = { .status = answer->status,
				 .content_type = answer->content_type,
				 .outcome = answer->outcome };
	gsize len = 0;
	const char *body;

	if (answer->body) {
		body = g_bytes_get_data(answer->body, &len);
		caller_reply(c, &head, (str_t){ body ? body : "", len });
		return;
	}
	if (answer->outcome == OUTCOME_UNKNOWN) {
		head.status = HTTP_SERVUNAVAIL;
		head.retry_after_ms = JOB_RETRY_MS;
		caller_reply_error(c, &head, "Idempotency-Key",
				   "it may still run on another daemon");
		return;
	}
	head.status = 410;
	caller_reply_error(c, &head, "Idempotency-Key",
			   "the request ended; its answer was too long to be "
			   "kept");
}

void job_reply_stored(job_t *job, const dedup_answer_t *answer)
{
	for (guint i = 0; i < job->callers->len; i++)
		reply_stored(g_ptr_array_index(job->callers, i), answer);
	end(job);
}

void job_end_merged(job_t *job)
{
	end(job);
}

void job_reply_stored_to(http_conn_t *conn, const dedup_answer_t *answer)
{
	static const caller_ops_t ops;
	caller_t c;

	caller_init(&c, conn, &ops, NULL);
	reply_stored(&c, answer);
}
