/*
 * Accepts requests from callers, validates them, and runs each as a job. Owns
 * the callers' listener, the tickets issued here, the retry budgets and the
 * jobs.
 */
#define LOG_PART "front"

#include "common/log.h"
#include "common/timeval.h"
#include "daemon/job.h"

enum {
	TICK_MS = 50,
	MAX_BUDGETS = 65536, /* pairs of team and tier */
	MAX_HEADER_BYTES = 32 * 1024,
	STALL_RETRY_MS = 2000, /* Retry-After after a process stall */
};

static const double retry_ratio = 0.2; /* retries per first attempt */

const profile_service_t *front_service(const front_t *f, const call_t *call)
{
	return config_view_service(f->config, call->service);
}

const profile_t *front_profile(const front_t *f, const call_t *call)
{
	const profile_service_t *service = front_service(f, call);

	return service ? config_view_profile(f->config, service->profile) :
			 NULL;
}

static bool has_key_or_ticket(const http1_head_t *head)
{
	return head && (http1_find_header(head, STR_LIT("Idempotency-Key")) ||
			http1_find_header(head, STR_LIT("Papaya-Ticket")));
}

/*
 * Returns the outcome to report for a refused request. With a key or ticket it
 * is UNKNOWN, since only the owner can state that the request was not run. It
 * is NOT_RUN for a malformed request (400) and for one whose ticket belongs to
 * another request (422), as neither can have run anywhere.
 */
static outcome_t refusal_outcome(const http1_head_t *head, int status)
{
	return has_key_or_ticket(head) && status != HTTP_BADREQUEST &&
			       status != 422 ?
		       OUTCOME_UNKNOWN :
		       OUTCOME_NOT_RUN;
}

void front_refuse(front_t *f, http_conn_t *conn, int status, const char *field,
		  const char *message, uint32_t retry_after_ms)
{
	static const caller_ops_t ops;
	response_head_t head = { .status = status,
				 .outcome = refusal_outcome(
					 http_conn_head(conn), status),
				 .retry_after_ms = retry_after_ms };
	caller_t c;

	metrics_add(&f->sup->metrics, "papaya_refused_requests_total", NULL, 1);
	caller_init(&c, conn, &ops, NULL);
	caller_reply_error(&c, &head, field, message);
}

bool front_is_authorized(const profile_team_t *team, const call_t *call)
{
	g_autofree char *hash = NULL;

	if (!team->key_sha256[0])
		return true;
	if (!call->credential)
		return false;
	hash = g_compute_checksum_for_string(G_CHECKSUM_SHA256,
					     call->credential, -1);
	return !g_ascii_strcasecmp(hash, team->key_sha256);
}

static bool check_team(const call_t *call, const profile_t *profile,
		       call_error_t *error)
{
	const profile_team_t *team =
		profile_find_team(profile, str_from(call->team));

	if (!team)
		return call_reject(error, 403, "Papaya-Team",
				   "the profile is closed to this team");
	if (!front_is_authorized(team, call))
		return call_reject(error, 401, "Authorization",
				   "the team's credential is expected");
	return true;
}

static bool check_service_kind(const profile_service_t *service,
			       const call_t *call, call_error_t *error)
{
	if (service->is_engine && !call->is_completion)
		return call_reject(error, HTTP_BADREQUEST, "path",
				   "this service is a model: use "
				   "/v1/completions");
	if (!service->is_engine && call->is_completion)
		return call_reject(error, HTTP_BADREQUEST, "model",
				   "this service is no model: use "
				   "/v1/services/");
	if (!service->is_idempotent && !call->is_safe && !call->key &&
	    !call->ticket)
		return call_reject(error, 428, "Idempotency-Key",
				   "this service's calls may not be repeated: "
				   "a key or a ticket is needed");
	return true;
}

bool front_check(front_t *f, call_t *call, call_error_t *error)
{
	const profile_service_t *service = front_service(f, call);
	const profile_t *profile = front_profile(f, call);

	if (!service || !profile)
		return call_reject(error, HTTP_NOTFOUND, "service",
				   "no such service is in force");
	if (!call->tier[0])
		g_strlcpy(call->tier, service->default_tier,
			  sizeof(call->tier));
	if (profile_tier_index(profile, str_from(call->tier)) < 0)
		return call_reject(error, HTTP_BADREQUEST, "Papaya-Tier",
				   "the profile has no such tier");
	return check_service_kind(service, call, error) &&
	       check_team(call, profile, error);
}

static void start_job(front_t *f, http_conn_t *conn, call_t *call,
		      GBytes *scoped_key)
{
	const profile_service_t *service = front_service(f, call);
	const profile_t *profile = front_profile(f, call);
	int tier = profile_tier_index(profile, str_from(call->tier));
	job_t *job;

	team_retry_count_first(&f->retry, str_from(call->team), (uint32_t)tier);
	job = job_new(f, call, service, profile, conn);
	if (!scoped_key) {
		job_check_limit(job);
		return;
	}
	job->scoped_key = g_bytes_ref(scoped_key);
	if (job->call.ticket && front_is_own_ticket(f, job->call.ticket))
		job_claim_ticket(job);
	else
		job_look_up_owner(job);
}

static bool check_request_limit(front_t *f, http_conn_t *conn)
{
	if (g_hash_table_size(f->jobs) < f->sup->settings->max_requests)
		return true;
	front_refuse(f, conn, HTTP_SERVUNAVAIL, NULL,
		     "too many requests in progress", JOB_RETRY_MS);
	return false;
}

/* Replies to requests that need no job; false when a job is needed. */
static bool reply_without_job(front_t *f, http_conn_t *conn, const call_t *call,
			      GBytes *scoped_key)
{
	if (call->ticket && front_reply_to_repeat(f, conn, call, scoped_key))
		return true;
	if (call->ticket && front_is_unusable_ticket(f, call, scoped_key)) {
		front_refuse_ticket(f, conn);
		return true;
	}
	return !check_request_limit(f, conn);
}

static void accept_call(front_t *f, http_conn_t *conn, call_t *call)
{
	g_autoptr(GBytes) scoped_key = NULL;
	const char *key = call->key ? call->key : call->ticket;
	call_error_t error;

	if (call->is_ticket_request) {
		front_issue_ticket(f, conn, call);
		call_finish(call);
		return;
	}
	if (!front_check(f, call, &error)) {
		front_refuse(f, conn, error.status, error.field, error.message,
			     0);
		call_finish(call);
		return;
	}
	if (key)
		scoped_key = dedup_scope(str_from(call->team), str_from(key));
	if (reply_without_job(f, conn, call, scoped_key))
		call_finish(call);
	else
		start_job(f, conn, call, scoped_key);
}

static void on_request(void *ctx, http_conn_t *conn, const http1_head_t *head,
		       GBytes *body)
{
	front_t *f = ctx;
	call_error_t error;
	call_t call;

	if (f->is_draining) {
		front_refuse(f, conn, HTTP_SERVUNAVAIL, NULL,
			     "this VM is leaving; ask another", 1);
		return;
	}
	if (!f->config) {
		front_refuse(f, conn, HTTP_SERVUNAVAIL, NULL,
			     "no profile is in force yet", JOB_RETRY_MS);
		return;
	}
	if (supervisor_stalled_recently(f->sup) && has_key_or_ticket(head)) {
		front_refuse(f, conn, HTTP_SERVUNAVAIL, NULL,
			     "this VM stood still; ask again", STALL_RETRY_MS);
		return;
	}
	if (!call_parse(&call, head, body, f->sup->settings, &error)) {
		front_refuse(f, conn, error.status, error.field, error.message,
			     0);
		return;
	}
	accept_call(f, conn, &call);
}

/*
 * A request whose head isn't complete may have a key, under which it may have
 * run before.
 */
static outcome_t incomplete_outcome(const http1_head_t *head, int status)
{
	bool is_refused_always =
		status == HTTP_BADREQUEST ||
		status == HTTP_STATUS_REQUEST_HEADER_FIELDS_TOO_LARGE;

	if (!head && !is_refused_always)
		return OUTCOME_UNKNOWN;
	return refusal_outcome(head, status);
}

static void on_refusal(void *ctx, http_conn_t *conn, int status,
		       int64_t retry_after_ms, const char *why)
{
	front_t *f = ctx;
	outcome_t outcome = incomplete_outcome(http_conn_head(conn), status);
	g_autofree char *text = caller_error_json(why, NULL, outcome, NULL);
	response_head_t head = { .status = status,
				 .content_type = "application/json",
				 .outcome = outcome,
				 .retry_after_ms = (uint32_t)retry_after_ms };

	metrics_add(&f->sup->metrics, "papaya_refused_requests_total", NULL, 1);
	caller_write_reply(conn, &head, str_from(text));
}

static http_limits_t limits(void *ctx)
{
	const settings_t *s = ((const front_t *)ctx)->sup->settings;

	return (http_limits_t){
		.max_header_bytes = MAX_HEADER_BYTES,
		.max_body_bytes = (uint64_t)s->max_body_kib * 1024,
		.idle_timeout_ms = s->caller_idle_ms,
	};
}

static void on_left(void *ctx, http_conn_t *conn, const char *why)
{
	caller_on_left(conn);
}

static void on_written(void *ctx, http_conn_t *conn)
{
	caller_on_written(conn);
}

static uint32_t count_upstreams(void *ctx)
{
	const front_t *f = ctx;
	GHashTableIter iter;
	const job_t *job;
	uint32_t n = 0;

	g_hash_table_iter_init(&iter, f->jobs);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&job))
		n += job->upstream.exchange != NULL;
	return n;
}

static const http_server_ops_t server_ops = {
	.limits = limits,
	.request = on_request,
	.refuse = on_refusal,
	.left = on_left,
	.written = on_written,
	.upstreams = count_upstreams,
};

static void apply_config(front_t *f, config_view_t *config)
{
	if (f->config == config)
		return;
	config_view_unref(f->config);
	f->config = config_view_ref(config);
}

static void count_unmatched_answer(front_t *f)
{
	metrics_add(&f->sup->metrics, "papaya_foreign_answers_total", NULL, 1);
}

/*
 * Finds the job that a message is addressed to. Returns NULL if the job has
 * ended, or if the message is addressed to an earlier process of this daemon.
 */
static job_t *find_job(front_t *f, uint64_t owner, uint64_t attempt)
{
	job_t *job = owner == f->sup->boot_id ?
			     g_hash_table_lookup(f->jobs, &attempt) :
			     NULL;

	if (!job || job->state == JOB_ENDED) {
		count_unmatched_answer(f);
		return NULL;
	}
	return job;
}

/*
 * Returns a grant that has no job; it would reserve capacity until it expires.
 */
static void return_grant(front_t *f, const message_t *m)
{
	message_t back = *m;

	back.type = MESSAGE_WITHDRAW;
	supervisor_post(f->sup, TASK_PEERS, &back);
}

static void handle_capacity(front_t *f, const message_t *m)
{
	const message_capacity_t *c = &m->capacity;
	job_t *job = find_job(f, c->want.id.owner, c->want.id.attempt);

	if (m->type == MESSAGE_ROUTED) {
		if (job)
			job_on_routed(job, c->peer);
		return;
	}
	if (!job || (job->is_routed && strcmp(job->dispatcher, c->peer))) {
		if (m->type == MESSAGE_GRANT)
			return_grant(f, m);
		if (job)
			count_unmatched_answer(f);
		return;
	}
	if (m->type == MESSAGE_GRANT)
		job_on_grant(job, &c->runner);
	else if (m->type == MESSAGE_REFUSE)
		job_on_refusal(job, c->reason, c->retry_after_ms);
	else
		job_on_preemption(job);
}

/*
 * Handles the answer to a limit check. When no job waits for it, releases what
 * the limiter admitted.
 */
static void handle_limit(front_t *f, const message_t *m)
{
	job_t *job = find_job(f, m->limit.owner, m->limit.attempt);
	message_t back = *m;

	if (job && job->state == JOB_AWAITING_LIMIT) {
		job_on_limit_answer(job, &m->limit);
		return;
	}
	back.type = MESSAGE_LIMIT_RELEASE;
	if (m->limit.is_ok)
		supervisor_post(f->sup, TASK_PEERS, &back);
}

/*
 * Handles the result of an owner lookup. When its job has ended, releases the
 * claim that was made for it.
 */
static void handle_located(front_t *f, const message_locate_t *found)
{
	job_t *job = find_job(f, f->sup->boot_id, found->attempt);
	message_t m = { .type = MESSAGE_CLAIM_ENDED };

	if (job && job->state == JOB_AWAITING_OWNER) {
		job_on_owner_found(job, found);
		return;
	}
	if (found->owner.kind != MEMBER_OWNER_SELF || !found->scoped ||
	    found->verdict != DEDUP_NEW)
		return;
	m.claim.scoped = g_bytes_ref(found->scoped);
	m.claim.fingerprint = found->fingerprint;
	supervisor_post(f->sup, TASK_PEERS, &m);
}

static void for_each_job(front_t *f, void (*fn)(job_t *job))
{
	GHashTableIter iter;
	job_t *job;

	g_hash_table_iter_init(&iter, f->jobs);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&job))
		fn(job);
}

static void drain(front_t *f)
{
	f->is_draining = true;
	f->drain_deadline = now_us() + f->sup->settings->drain_ms * 1000;
	http_server_stop_listening(&f->http);
	f->http.is_draining = true;
}

static void handle(void *state, const message_t *m)
{
	front_t *f = state;

	switch (m->type) {
	case MESSAGE_CONFIG:
		apply_config(f, m->config);
		break;
	case MESSAGE_LOCATED:
		handle_located(f, &m->locate);
		break;
	case MESSAGE_ROUTED:
	case MESSAGE_GRANT:
	case MESSAGE_REFUSE:
	case MESSAGE_CANCEL:
		handle_capacity(f, m);
		break;
	case MESSAGE_LIMIT_ANSWER:
		handle_limit(f, m);
		break;
	case MESSAGE_VIEW_CHANGED:
		for_each_job(f, job_on_view_change);
		break;
	case MESSAGE_ROUTE_QUERY:
		front_on_route_query(f, m->query);
		break;
	case MESSAGE_DRAIN:
		drain(f);
		break;
	default:
		break;
	}
}

static gboolean is_ended(gpointer key, gpointer value, gpointer data)
{
	return ((job_t *)value)->state == JOB_ENDED;
}

static void check_drained(front_t *f)
{
	guint left = g_hash_table_size(f->jobs);

	if (!f->is_draining || (left && now_us() < f->drain_deadline))
		return;
	log_info("drain ended with %u requests unfinished", left);
	f->drain_deadline = INT64_MAX;
	f->is_draining = false;
	supervisor_post(f->sup, TASK_PEERS,
			&(message_t){ .type = MESSAGE_DRAINED });
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	front_t *f = arg;
	int64_t now = now_us();
	GHashTableIter iter;
	job_t *job;

	g_hash_table_iter_init(&iter, f->jobs);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&job))
		job_tick(job, now);
	g_hash_table_foreach_remove(f->jobs, is_ended, NULL);
	dedup_expire(&f->tickets, now);
	metrics_set(&f->sup->metrics, "papaya_requests_in_progress", NULL,
		    g_hash_table_size(f->jobs));
	metrics_set(&f->sup->metrics, "papaya_tickets", NULL,
		    g_hash_table_size(f->tickets.entries));
	http_server_export(&f->http);
	check_drained(f);
}

static void init_tables(front_t *f)
{
	const settings_t *s = f->sup->settings;
	dedup_config_t config = {
		.max_entries = (uint32_t)s->max_keys,
		.max_bytes = (uint64_t)s->max_kept_kib * 1024,
		.answer_ttl = settings_key_ttl_ms(s) * 1000,
		.ticket_ttl = s->ticket_life_ms * 1000,
	};

	dedup_init(&f->tickets, &config);
	team_retry_init(&f->retry, retry_ratio, MAX_BUDGETS,
			g_rand_int(f->sup->rand));
	f->jobs = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					job_free);
}

static void *start(supervisor_t *sup, err_t *err)
{
	front_t *f = g_new0(front_t, 1);

	f->sup = sup;
	if (!http_server_init(&f->http, sup, &server_ops, f, NULL, err)) {
		g_free(f);
		return NULL;
	}
	init_tables(f);
	f->timer = supervisor_add_timer(sup, TICK_MS, on_timer, f);
	return f;
}

static void stop(void *state)
{
	front_t *f = state;

	event_free(f->timer);
	g_hash_table_destroy(f->jobs);
	http_server_finish(&f->http);
	dedup_finish(&f->tickets);
	team_retry_finish(&f->retry);
	config_view_unref(f->config);
	g_free(f);
}

const task_spec_t front_task = { "front", 2, start, handle, stop };
