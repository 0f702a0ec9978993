#include "daemon/route_query.h"

enum { US_PER_MS = 1000, MAX_HEAD_BYTES = 32 * 1024 };

route_query_t *route_query_new(uint64_t id, GBytes *request, const char *group)
{
	route_query_t *q = g_rc_box_new0(route_query_t);

	q->id = id;
	q->request = g_bytes_ref(request);
	g_strlcpy(q->group, group, sizeof(q->group));
	return q;
}

static void clear(void *data)
{
	route_query_t *q = data;

	g_bytes_unref(q->request);
}

void route_query_unref(route_query_t *q)
{
	g_rc_box_release_full(q, clear);
}

static bool on_head(void *ctx, const http1_head_t *head)
{
	return true;
}

static bool on_body(void *ctx, str_t bytes)
{
	route_request_t *r = ctx;

	g_byte_array_append(r->body, (const guint8 *)bytes.ptr,
			    (guint)bytes.len);
	return true;
}

bool route_request_init(route_request_t *out, route_query_t *q)
{
	static const http1_ops_t ops = { on_head, on_body };
	gsize len, taken;
	const char *bytes = g_bytes_get_data(q->request, &len);
	http1_result_t result;

	out->body = g_byte_array_new();
	http1_reader_init(&out->reader, HTTP1_REQUEST, MAX_HEAD_BYTES, &ops,
			  out);
	result = http1_reader_feed(&out->reader, (str_t){ bytes, len }, &taken);
	if (out->reader.has_head &&
	    (result == HTTP1_END || result == HTTP1_MORE))
		return true;
	route_query_refuse(q, 400, "the request can't be read");
	return false;
}

void route_request_finish(route_request_t *r)
{
	http1_reader_finish(&r->reader);
	g_byte_array_unref(r->body);
}

void route_query_refuse(route_query_t *q, int status, const char *why)
{
	q->status = status;
	g_strlcpy(q->why, why, sizeof(q->why));
}

void route_query_post(supervisor_t *sup, task_id_t to, route_query_t *q)
{
	message_t m = { .type = MESSAGE_ROUTE_QUERY,
			.query = g_rc_box_acquire(q) };

	supervisor_post(sup, to, &m);
}

/* Returns milliseconds; -1: not known. */
static json_int_t age_ms(int64_t age)
{
	return age < 0 ? -1 : age / US_PER_MS;
}

static json_t *runner_json(const explained_runner_t *r)
{
	return json_pack(
		"{s:s,s:s,s:I,s:I,s:I,s:i,s:I,s:f,s:f,s:I,s:i,s:i,s:I,s:f}",
		"name", r->name, "verdict", explain_verdict_name(r->verdict),
		"start_ms", (json_int_t)(r->start / US_PER_MS), "end_ms",
		(json_int_t)(r->end / US_PER_MS), "blocked_ms",
		(json_int_t)(r->blocked / US_PER_MS), "running",
		(int)r->running, "in_flight", (json_int_t)r->tokens, "window",
		r->window, "reported", r->reported, "report_age_ms",
		age_ms(r->report_age), "pace", (int)r->pace, "cached_tokens",
		(int)r->cached_tokens, "cached_age_ms", age_ms(r->cached_age),
		"rate", r->rate);
}

static json_t *explanation_json(const dispatcher_explanation_t *e)
{
	static const char *const outcomes[] = {
		[EXPLAIN_GRANT] = "granted at once",
		[EXPLAIN_QUEUE] = "waits",
		[EXPLAIN_REFUSE] = "refused",
	};
	json_t *runners = json_array();

	for (uint32_t i = 0; i < e->n; i++)
		json_array_append_new(runners, runner_json(&e->runners[i]));
	return json_pack(
		"{s:s,s:s*,s:I,s:i,s:i,s:i,s:o}", "outcome",
		outcomes[e->outcome], "reason",
		e->outcome == EXPLAIN_REFUSE ? refuse_reason_text(e->reason) :
					       NULL,
		"wait_ms", (json_int_t)(e->wait / US_PER_MS), "queued",
		(int)e->queued, "running", (int)e->running, "runners_known",
		(int)e->n_runners, "runners", runners);
}

static void add_dispatcher(json_t *root, const route_query_t *q)
{
	const message_capacity_t *c = &q->capacity;

	json_object_update_new(
		root,
		json_pack("{s:s,s:s,s:s,s:s,s:i,s:i,s:I}", "dispatcher",
			  c->service, "zone", c->zone, "on", c->peer,
			  "admin_address", q->admin_address, "prompt_tokens",
			  (int)c->want.prompt_tokens, "output_tokens",
			  (int)c->want.output_tokens, "deadline_ms",
			  (json_int_t)((c->want.deadline - now_us()) /
				       US_PER_MS)));
}

json_t *route_query_json(const route_query_t *q)
{
	const message_capacity_t *c = &q->capacity;
	json_t *root = json_pack(
		"{s:s,s:I,s:s,s:s,s:i,s:f,s:i,s:f}", "route", q->route,
		"config", (json_int_t)q->config, "team", c->want.team, "rank",
		c->tier, "services", (int)q->services, "limit", q->limit,
		"cost", (int)q->cost, "reserved", q->reserved);

	if (q->has_rollout)
		json_object_set_new(root, "rollout", json_true());
	if (q->status) {
		json_object_set_new(root, "status", json_integer(q->status));
		json_object_set_new(root, "why", json_string(q->why));
	} else {
		add_dispatcher(root, q);
	}
	if (q->is_explained)
		json_object_set_new(root, "explanation",
				    explanation_json(&q->explanation));
	return root;
}
