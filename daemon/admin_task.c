/* HTTP server for operators, health and readiness checks, and metrics. */
#define LOG_PART "admin"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <jansson.h>
#include <stdlib.h>

#include "common/log.h"
#include "daemon/admin_route.h"
#include "daemon/supervisor.h"
#include "net/http.h"

enum {
	MAX_HEADER_BYTES = 16 * 1024,
	MAX_BODY_BYTES = 64 * 1024,
};

typedef struct admin {
	supervisor_t *sup;
	struct evhttp *http;
	struct evhttp *ready_http; /* for the load balancer, or NULL */
	config_view_t *config;
	vm_list_t *vms;
	GArray *rollouts; /* rollout_state_t; NULL: none are followed */
	admin_routes_t routes;
	bool accepts_keys; /* idempotency keys, by MESSAGE_KEYS_READY */
} admin_t;

static void reply(struct evhttp_request *req, int status, const char *type,
		  const char *text)
{
	struct evbuffer *out = evbuffer_new();

	evhttp_add_header(evhttp_request_get_output_headers(req),
			  "Content-Type", type);
	evbuffer_add(out, text, strlen(text));
	evhttp_send_reply(req, status, NULL, out);
	evbuffer_free(out);
}

static void reply_json(struct evhttp_request *req, int status, json_t *root)
{
	char *text = json_dumps(root, JSON_COMPACT);

	reply(req, status, "application/json", text);
	free(text);
	json_decref(root);
}

static bool has_operator_token(const admin_t *a, struct evhttp_request *req)
{
	static const char scheme[] = "Bearer ";
	const char *value = evhttp_find_header(
		evhttp_request_get_input_headers(req), "Authorization");

	return value && g_str_has_prefix(value, scheme) &&
	       str_eq_const_time(str_from(value + sizeof(scheme) - 1),
				 str_from(a->sup->settings->operator_token));
}

static void add_document(json_t *docs, const char *kind, const char *name,
			 uint64_t version)
{
	g_autofree char *doc = g_strdup_printf("%s/%s", kind, name);

	json_array_append_new(docs, json_pack("{s:s, s:I}", "doc", doc,
					      "version", (json_int_t)version));
}

static json_t *list_documents(const admin_t *a)
{
	json_t *docs = json_array();
	GHashTableIter iter;
	profile_t *profile;
	profile_service_t *service;

	if (!a->config)
		return docs;
	g_hash_table_iter_init(&iter, a->config->profiles);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&profile))
		add_document(docs, "profile", profile->name, profile->version);
	g_hash_table_iter_init(&iter, a->config->services);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&service))
		add_document(docs, "service", service->name, service->version);
	return docs;
}

static void reply_config(admin_t *a, struct evhttp_request *req)
{
	reply_json(req, HTTP_OK,
		   json_pack("{s:s, s:s, s:o}", "name", a->sup->settings->name,
			     "zone", a->sup->settings->zone, "documents",
			     list_documents(a)));
}

static void reply_status(admin_t *a, struct evhttp_request *req)
{
	const metrics_t *m = &a->sup->metrics;

	reply_json(
		req, HTTP_OK,
		json_pack(
			"{s:s, s:s, s:b, s:b, s:I, s:I, s:I, s:o}", "name",
			a->sup->settings->name, "zone", a->sup->settings->zone,
			"draining", supervisor_is_draining(a->sup), "ready",
			a->config != NULL, "requests",
			(json_int_t)metrics_get(
				m, "papaya_requests_in_progress", NULL),
			"links",
			(json_int_t)metrics_get(m, "papaya_peer_links", NULL),
			"stalls",
			(json_int_t)metrics_get(m, "papaya_stalls_total", NULL),
			"documents", list_documents(a)));
}

static json_t *describe_rollout(const admin_t *a, const rollout_state_t *s)
{
	const rollout_finding_t *f = &s->finding;
	g_autofree char *label =
		g_strdup_printf("service=\"%s\"", s->order.service);
	rollout_stage_t applied = (rollout_stage_t)metrics_get(
		&a->sup->metrics, "papaya_rollout_applied_stage", label);

	return json_pack(
		"{s:s, s:s, s:I, s:b, s:s, s:s, s:b, s:s, s:I, s:I, s:I, s:I, "
		"s:i, s:i, s:f, s:f, s:i, s:i, s:i, s:I}",
		"service", s->order.service, "target", s->order.target,
		"duration_ms", (json_int_t)s->order.duration_ms, "conducts",
		s->is_conducted, "applied", rollout_stage_name(applied),
		"stage", s->is_conducted ? rollout_stage_name(s->stage) : "-",
		"settled", s->is_settled, "why", s->why, "term",
		(json_int_t)s->term, "requests", (json_int_t)s->requests,
		"budget", (json_int_t)s->budget, "leased",
		(json_int_t)s->leased, "answers", (int)f->answers, "bad",
		(int)f->bad, "excess", f->excess, "score", f->score,
		"target_runners", (int)s->view.target_runners, "other_runners",
		(int)s->view.other_runners, "waiting_for", (int)s->waiting_for,
		"left_ms", (json_int_t)s->left_ms);
}

static void reply_rollouts(admin_t *a, struct evhttp_request *req)
{
	json_t *rollouts = json_array();

	for (guint i = 0; a->rollouts && i < a->rollouts->len; i++)
		json_array_append_new(
			rollouts,
			describe_rollout(a,
					 &g_array_index(a->rollouts,
							rollout_state_t, i)));
	reply_json(req, HTTP_OK,
		   json_pack("{s:s, s:s, s:o}", "name", a->sup->settings->name,
			     "zone", a->sup->settings->zone, "rollouts",
			     rollouts));
}

static void reply_metrics(admin_t *a, struct evhttp_request *req)
{
	g_autoptr(GString) text = g_string_new(NULL);

	metrics_print(&a->sup->metrics, text);
	reply(req, HTTP_OK, "text/plain; version=0.0.4", text->str);
}

static void reply_ready(admin_t *a, struct evhttp_request *req)
{
	bool is_ready =
		a->config && a->accepts_keys && !supervisor_is_draining(a->sup);

	reply(req, is_ready ? HTTP_OK : HTTP_SERVUNAVAIL, "text/plain",
	      is_ready ? "ready\n" : "not ready\n");
}

static bool is_route_question(const char *path)
{
	return !strcmp(path, "/admin/route") ||
	       g_str_has_prefix(path, "/admin/route?");
}

static void handle_operator_request(admin_t *a, struct evhttp_request *req,
				    const char *path)
{
	bool is_post = evhttp_request_get_command(req) == EVHTTP_REQ_POST;

	if (!has_operator_token(a, req)) {
		reply(req, 401, "application/json",
		      "{\"error\":{\"message\":\"the operator's credential is "
		      "expected\",\"field\":\"Authorization\"}}");
		return;
	}
	if (!strcmp(path, "/admin/config") && !is_post) {
		reply_config(a, req);
	} else if (!strcmp(path, "/admin/status") && !is_post) {
		reply_status(a, req);
	} else if (!strcmp(path, "/admin/rollouts") && !is_post) {
		reply_rollouts(a, req);
	} else if (is_route_question(path) && is_post) {
		admin_routes_ask(&a->routes, req);
	} else if (!strcmp(path, "/admin/drain") && is_post) {
		supervisor_drain(a->sup);
		reply_json(req, 202, json_pack("{s:b}", "draining", 1));
	} else {
		reply(req, HTTP_NOTFOUND, "application/json",
		      "{\"error\":{\"message\":\"no such call\","
		      "\"field\":\"path\"}}");
	}
}

static void on_request(struct evhttp_request *req, void *arg)
{
	admin_t *a = arg;
	const char *path = evhttp_request_get_uri(req);

	if (!strcmp(path, "/healthz"))
		reply(req, HTTP_OK, "text/plain", "ok\n");
	else if (!strcmp(path, "/readyz"))
		reply_ready(a, req);
	else if (!strcmp(path, "/metrics"))
		reply_metrics(a, req);
	else
		handle_operator_request(a, req, path);
}

/* The load balancer configures the path of its check: accept any path. */
static void on_ready_request(struct evhttp_request *req, void *arg)
{
	reply_ready(arg, req);
}

static struct evhttp *new_server(struct event_base *base)
{
	struct evhttp *http = evhttp_new(base);

	evhttp_set_max_headers_size(http, MAX_HEADER_BYTES);
	evhttp_set_max_body_size(http, MAX_BODY_BYTES);
	return http;
}

static bool listen_at(struct evhttp *http, const char *address, err_t *err)
{
	char ip[MEMBER_NAME_SIZE];
	uint16_t port;

	if (!http_split_address(address, ip, sizeof(ip), &port, err))
		return false;
	if (!evhttp_bind_socket(http, ip, port))
		return true;
	return err_set(err, ERR_SYSTEM, "bind admin or readiness listener",
		       address, "the address can't be bound");
}

static void handle(void *state, const message_t *m)
{
	admin_t *a = state;

	if (m->type == MESSAGE_CONFIG && a->config != m->config) {
		config_view_unref(a->config);
		a->config = config_view_ref(m->config);
	} else if (m->type == MESSAGE_ROLLOUT_STATES) {
		g_clear_pointer(&a->rollouts, g_array_unref);
		a->rollouts = g_array_ref(m->rollout_states);
	} else if (m->type == MESSAGE_KEYS_READY) {
		a->accepts_keys = m->number || a->sup->settings->fleet;
	} else if (m->type == MESSAGE_ROUTE_QUERY) {
		admin_routes_answer(&a->routes, m->query);
	}
}

static void stop(void *state)
{
	admin_t *a = state;

	admin_routes_finish(&a->routes);
	if (a->ready_http)
		evhttp_free(a->ready_http);
	evhttp_free(a->http);
	config_view_unref(a->config);
	g_clear_pointer(&a->rollouts, g_array_unref);
	g_free(a);
}

static void *start(supervisor_t *sup, err_t *err)
{
	admin_t *a = g_new0(admin_t, 1);
	const char *ready_listen = sup->settings->ready_listen;

	a->sup = sup;
	admin_routes_init(&a->routes, sup);
	/* A fleet's routes use no keys, so readiness does not wait for them. */
	a->accepts_keys = sup->settings->fleet;
	a->http = new_server(sup->base);
	evhttp_set_gencb(a->http, on_request, a);
	if (ready_listen[0]) {
		a->ready_http = new_server(sup->base);
		evhttp_set_gencb(a->ready_http, on_ready_request, a);
	}
	if (listen_at(a->http, sup->settings->admin_listen, err) &&
	    (!a->ready_http || listen_at(a->ready_http, ready_listen, err)))
		return a;
	stop(a);
	return NULL;
}

const task_spec_t admin_task = { "admin", 3, start, handle, stop };
