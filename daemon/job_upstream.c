#define LOG_PART "job"

#include "daemon/job.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>

#include "common/log.h"

enum {
	MAX_EVENT_BYTES = 1 << 20, /* one server-sent event */
	MAX_RESUMES = 3,
	MAX_SENT_HEADERS = 96,
};

static void start_exchange(job_t *job, const http_request_t *request);
static void resume_stream(job_t *job, const err_t *err);

static void read_usage(job_t *job, json_t *root)
{
	json_t *usage = json_object_get(root, "usage");

	if (!json_is_object(usage))
		return;
	job->usage.prompt = (uint32_t)json_integer_value(
		json_object_get(usage, "prompt_tokens"));
	job->usage.output = (uint32_t)json_integer_value(
		json_object_get(usage, "completion_tokens"));
	job->usage.cached = (uint32_t)json_integer_value(
		json_object_get(usage, "cached_tokens"));
	job->usage.is_exact = true;
}

static void parse_usage(job_t *job, str_t text)
{
	json_t *root;

	/* Only the last event holds the usage; skip parsing the others. */
	if (!g_strstr_len(text.ptr, (gssize)text.len, "\"usage\""))
		return;
	root = json_loadb(text.ptr, text.len, 0, NULL);
	read_usage(job, root);
	json_decref(root);
}

/*
 * Whether an event is the error with which a daemon ends a stream that was cut
 * (caller_error_json). Runners' events may name an error, too.
 */
static bool is_cut_error(str_t data)
{
	json_t *root, *error;
	bool is_cut;

	/* Skip parsing the others. */
	if (!g_strstr_len(data.ptr, (gssize)data.len, "\"error\""))
		return false;
	root = json_loadb(data.ptr, data.len, 0, NULL);
	error = json_object_get(root, "error");
	is_cut = json_is_string(json_object_get(error, "outcome"));
	json_decref(root);
	return is_cut;
}

static void record_first_token(job_t *job)
{
	if (job->first_token_at)
		return;
	job->first_token_at = now_us();
	metrics_observe(&job->front->sup->metrics, "papaya_first_token_ms",
			NULL, (job->first_token_at - job->accepted_at) / 1000);
	job_notify_dispatcher(job, MESSAGE_FIRST_TOKEN, NULL);
}

static void on_event(void *ctx, str_t raw, str_t data)
{
	job_t *job = ctx;

	if (str_eq(data, STR_LIT("[DONE]"))) {
		job->has_done_event = true;
	} else if (data.len) {
		job->n_events++;
		record_first_token(job);
		if (!job->usage.is_exact)
			job->usage.output = job->n_events;
		parse_usage(job, data);
		job->has_cut_error = is_cut_error(data);
	}
	job_send_event(job, raw);
}

static bool on_sending(void *ctx)
{
	job_t *job = ctx;
	dedup_entry_t *claim = job->has_claim ? &job->claim : job->ticket_entry;

	/*
	 * A request accepted before a process stall may be older than the
	 * period for which its key is remembered: it must not be forwarded.
	 */
	if (job->is_forwarded_to_owner) {
		job->is_stale = job->stall_epoch !=
				supervisor_stall_epoch(job->front->sup);
		return !job->is_stale;
	}
	if (job->state == JOB_RUNNING)
		return true;
	if (job->is_dispatched)
		return false;
	if (claim && !dedup_mark_dispatched(
			     claim, supervisor_stall_epoch(job->front->sup))) {
		job->is_stale = true;
		return false;
	}
	job->is_dispatched = true;
	job->state = JOB_RUNNING;
	log_debug("request %s: dispatched to %s", job->id, job->runner.name);
	return true;
}

static bool is_event_stream(int status, const char *type)
{
	return status == HTTP_OK && type &&
	       g_str_has_prefix(type, "text/event-stream");
}

static void on_head(void *ctx, int status, struct evkeyvalq *headers)
{
	job_t *job = ctx;
	const char *type = evhttp_find_header(headers, "Content-Type");
	const char *retry = evhttp_find_header(headers, "Retry-After");

	if (job->resumes && job->is_sse) {
		job->is_resumed = is_event_stream(status, type);
		return;
	}
	job->status = status;
	g_free(job->content_type);
	job->content_type = g_strdup(type);
	job->is_sse = (job->is_engine || job->is_forwarded_to_owner) &&
		      is_event_stream(status, type);
	if (job->is_sse && !job->sse.partial)
		sse_init(&job->sse, MAX_EVENT_BYTES, on_event, job);
	job->forwarded_outcome =
		outcome_parse(evhttp_find_header(headers, "Papaya-Outcome"));
	job->forwarded_retry_ms =
		retry ? (uint32_t)CLAMP(atoi(retry), 0, 86400) * 1000 : 0;
}

static void on_data(void *ctx, struct evbuffer *body)
{
	job_t *job = ctx;
	size_t len = evbuffer_get_length(body);
	str_t bytes = { (char *)evbuffer_pullup(body, -1), len };

	if (!job->is_sse) {
		g_string_append_len(job->answer, bytes.ptr, (gssize)bytes.len);
		return;
	}
	/* The text of a refusal is no part of the stream. */
	if (job->resumes && !job->is_resumed)
		return;
	if (!sse_feed(&job->sse, bytes))
		job_fail(job, OUTCOME_UNKNOWN, 502,
			 "the upstream sent an event without end", 0);
}

static void retry_unsent(job_t *job, const err_t *err)
{
	front_t *f = job->front;
	done_t done = { .result = DONE_UNREACHABLE };
	const profile_t *profile = front_profile(f, &job->call);
	int tier = profile ? profile_tier_index(profile,
						str_from(job->call.tier)) :
			     0;
	char text[ERR_DETAIL_SIZE * 2];

	log_info("request %s: not sent to its runner: %s", job->id,
		 err_text(err, text, sizeof(text)));
	http_call_finish(&job->upstream);
	job_notify_dispatcher(job, MESSAGE_DONE, &done);
	g_strlcpy(job->avoid, job->runner.name, sizeof(job->avoid));
	if (!team_retry_take(&f->retry, str_from(job->call.team),
			     (uint32_t)tier)) {
		/* The result is reported; job_fail() must not do it again. */
		job->state = JOB_AWAITING_GRANT;
		job->is_routed = false;
		job_fail(job, OUTCOME_NOT_RUN, HTTP_SERVUNAVAIL,
			 "the runner refused the connection", JOB_RETRY_MS);
		return;
	}
	job_request_runner(job);
}

static void end_forward(job_t *job, const err_t *err)
{
	bool is_complete =
		job->is_sse ? job->has_done_event || job->has_cut_error :
			      !err && job->forwarded_outcome != OUTCOME_NONE;

	if (is_complete)
		job_relay_response(job);
	else
		job_fail(job, OUTCOME_UNKNOWN, 502,
			 "the connection to the owner of the key broke",
			 JOB_RETRY_MS);
}

static void end_unstreamed(job_t *job, const err_t *err)
{
	if (!err) {
		if (job->is_engine)
			parse_usage(job, (str_t){ job->answer->str,
						  job->answer->len });
		job_complete(job);
	} else if (err->code == ERR_LIMIT) {
		job_fail(job, OUTCOME_FAILED, 502,
			 "the upstream's answer is too long", 0);
	} else {
		job_fail(job, OUTCOME_UNKNOWN,
			 err->code == ERR_TIMEOUT ? 504 : 502,
			 "the upstream was asked and did not answer in full",
			 0);
	}
}

static void on_end(void *ctx, int status, const err_t *err)
{
	job_t *job = ctx;

	if (job->state == JOB_ENDED)
		return;
	if (job->is_forwarded_to_owner)
		end_forward(job, err);
	else if (job->is_stale)
		job_fail(job, OUTCOME_UNKNOWN, HTTP_SERVUNAVAIL,
			 "this daemon stood still and lost the key",
			 JOB_RETRY_MS);
	else if (!job->is_dispatched)
		retry_unsent(job, err);
	else if (job->is_sse && job->has_done_event)
		job_complete(job);
	else if (job->is_sse)
		resume_stream(job, err);
	else
		end_unstreamed(job, err);
}

static void start_exchange(job_t *job, const http_request_t *request)
{
	static const http_call_ops_t ops = { on_sending, on_head, on_data,
					     on_end };
	err_t err = { 0 };

	http_call_finish(&job->upstream);
	if (http_call_start(&job->upstream, job->front->sup->base, request,
			    &ops, job, &err))
		return;
	if (job->is_forwarded_to_owner || job->is_dispatched)
		job_fail(job, OUTCOME_UNKNOWN, 502,
			 "the upstream's address "
			 "can't be used",
			 JOB_RETRY_MS);
	else
		retry_unsent(job, &err);
}

/*
 * Resumes the stream after its last complete event, on the same runner. Once
 * dispatched, a request must not be sent again.
 */
static void resume_stream(job_t *job, const err_t *err)
{
	const settings_t *s = job->front->sup->settings;
	g_autofree char *path = g_strdup_printf(
		"/v1/requests/%s/stream?from=%u", job->id, job->n_events);
	http_request_t request = {
		.address = job->runner.address,
		.method = EVHTTP_REQ_GET,
		.path = path,
		.body = STR_LIT(""),
		.connect_timeout_ms = s->connect_timeout_ms,
		.idle_timeout_ms = s->upstream_idle_ms,
	};

	if (job->resumes++ >= MAX_RESUMES) {
		job_fail(job, OUTCOME_UNKNOWN, 502,
			 "the upstream's stream broke and could not be resumed",
			 0);
		return;
	}
	metrics_add(&job->front->sup->metrics, "papaya_resumes_total", NULL, 1);
	log_info("request %s: resuming stream at event %u", job->id,
		 job->n_events);
	job->is_resumed = false;
	sse_reset(&job->sse);
	start_exchange(job, &request);
}

static size_t add_call_headers(const call_t *call, http_header_t *headers)
{
	size_t n = 0;

	for (guint i = 0; i + 1 < call->headers->len && n < MAX_SENT_HEADERS;
	     i += 2)
		headers[n++] =
			(http_header_t){ g_ptr_array_index(call->headers, i),
					 g_ptr_array_index(call->headers,
							   i + 1) };
	return n;
}

static str_t body_view(const call_t *call)
{
	gsize len;
	const char *body = g_bytes_get_data(call->body, &len);

	return (str_t){ body ? body : "", len };
}

void job_dispatch(job_t *job)
{
	const settings_t *s = job->front->sup->settings;
	const call_t *call = &job->call;
	http_header_t headers[MAX_SENT_HEADERS + 1];
	size_t n = add_call_headers(call, headers);
	bool is_stream = call->is_completion && call->is_stream;
	int64_t left_ms = (job->deadline - now_us()) / 1000;

	headers[n++] = (http_header_t){ "X-Request-Id", job->id };
	http_request_t request = {
		.address = job->runner.address,
		.method = call->method,
		.path = call->path,
		.headers = headers,
		.n_headers = n,
		.body = body_view(call),
		.connect_timeout_ms = s->connect_timeout_ms,
		/*
		 * A response that is not streamed may send its first byte only
		 * at the deadline.
		 */
		.idle_timeout_ms = is_stream ?
					   s->upstream_idle_ms :
					   MAX(left_ms, s->upstream_idle_ms),
		.max_body = is_stream ? 0 : (size_t)s->max_answer_kib * 1024,
	};
	start_exchange(job, &request);
}

/* Forwards a request to the daemon that owns its key or issued its ticket. */
void job_forward(job_t *job, const char *address)
{
	const settings_t *s = job->front->sup->settings;
	const call_t *call = &job->call;
	int64_t left_ms = MAX((job->deadline - now_us()) / 1000, 1);
	http_header_t headers[MAX_SENT_HEADERS + 8];
	size_t n = add_call_headers(call, headers);
	g_autofree char *left = g_strdup_printf("%" PRId64, left_ms);
	char hops[12];
	g_autofree char *authorization =
		call->credential ?
			g_strconcat("Bearer ", call->credential, NULL) :
			NULL;

	job->is_forwarded_to_owner = true;
	job->state = JOB_RUNNING;
	g_snprintf(hops, sizeof(hops), "%u", call->hops + 1);
	headers[n++] = (http_header_t){ "Papaya-Hops", hops };
	headers[n++] = (http_header_t){ "X-Request-Id", job->id };
	headers[n++] = (http_header_t){ "Papaya-Team", call->team };
	headers[n++] = (http_header_t){ "Papaya-Tier", call->tier };
	headers[n++] = (http_header_t){ "Papaya-Deadline-Ms", left };
	if (call->ticket)
		headers[n++] = (http_header_t){ "Papaya-Ticket", call->ticket };
	if (authorization)
		headers[n++] =
			(http_header_t){ "Authorization", authorization };
	http_request_t request = {
		.address = address,
		.method = call->method,
		.path = call->uri,
		.headers = headers,
		.n_headers = n,
		.body = body_view(call),
		.connect_timeout_ms = s->connect_timeout_ms,
		.idle_timeout_ms = left_ms + s->upstream_idle_ms,
	};
	log_info("request %s: forwarding to owner at %s", job->id, address);
	start_exchange(job, &request);
}

void job_update_backpressure(job_t *job)
{
	size_t limit =
		(size_t)job->front->sup->settings->caller_backlog_kib * 1024;
	bool is_behind = false;

	for (guint i = 0; i < job->callers->len; i++)
		is_behind |= caller_backlog(g_ptr_array_index(job->callers,
							      i)) > limit;
	if (is_behind == job->is_paused)
		return;
	job->is_paused = is_behind;
	http_call_pause(&job->upstream, is_behind);
}
