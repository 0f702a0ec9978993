/*
 * Stand-in for the platform: log service, list of VMs and weight store.
 * Switches besides those of lib_server.h:
 *   "outage": true      every call is answered 503
 *   "log_outage": true  calls to the log are answered 503
 *   "lose_answers": N   the next N appends take effect, then the
 *                       connection closes without an answer
 *   "append_rate": N    replaces --append-rate
 */
#include <stdio.h>
#include <stdlib.h>

#include "standin/lib_args.h"
#include "standin/lib_record_log.h"
#include "standin/lib_server.h"

enum {
	MAX_RECORD = 1 << 20, /* bytes */
	MAX_LIMIT = 1000, /* records per read */
};

/* A token bucket with a burst of one second. */
typedef struct bucket {
	double tokens;
	int64_t at_us;
} bucket_t;

/* A list of VMs that becomes visible at a set time. */
typedef struct vm_list {
	json_t *vms;
	int64_t visible_from_ms;
} vm_list_t;

typedef struct platform {
	server_t server;
	GHashTable *logs; /* name -> record_log_t */
	GQueue lists; /* vm_list_t; the head is the visible one */
	bucket_t appends;
	bucket_t weights;
	uint64_t n_appended, n_refused, n_lost_answers, n_weights;
	double append_rate;
	double weight_rate;
	double retain_count;
	double retain_ms;
	double vms_lag_ms;
} platform_t;

static bool bucket_take(bucket_t *bucket, double rate)
{
	int64_t now = clock_now_us();

	bucket->tokens += (now - bucket->at_us) / 1e6 * rate;
	bucket->tokens = MIN(bucket->tokens, MAX(rate, 1));
	bucket->at_us = now;
	if (bucket->tokens < 1)
		return false;
	bucket->tokens -= 1;
	return true;
}

static void log_free(void *ptr)
{
	record_log_finish(ptr);
	g_free(ptr);
}

static record_log_t *find_log(platform_t *p, const char *name)
{
	record_log_t *log = g_hash_table_lookup(p->logs, name);

	if (!log) {
		log = g_new0(record_log_t, 1);
		record_log_init(log);
		g_hash_table_insert(p->logs, g_strdup(name), log);
	}
	record_log_expire(log, (int64_t)p->retain_count, (int64_t)p->retain_ms,
			  clock_wall_ms());
	return log;
}

static void handle_append(platform_t *p, exchange_t *x, record_log_t *log)
{
	double rate =
		server_fault_number(&p->server, "append_rate", p->append_rate);
	double lose_answers =
		server_fault_number(&p->server, "lose_answers", 0);
	str_t data = exchange_body(x);
	int64_t offset;

	if (data.len > MAX_RECORD) {
		exchange_reply_text(x, HTTP_ENTITYTOOLARGE, "{}");
		return;
	}
	if (!bucket_take(&p->appends, rate)) {
		p->n_refused++;
		exchange_reply_text(x, 429, "{\"error\":\"append rate\"}");
		return;
	}
	offset = record_log_append(log, data, clock_wall_ms());
	if (offset < 0) {
		exchange_reply_text(x, HTTP_BADREQUEST, "{}");
		return;
	}
	p->n_appended++;
	if (lose_answers >= 1) {
		json_object_set_new(p->server.faults, "lose_answers",
				    json_real(lose_answers - 1));
		p->n_lost_answers++;
		exchange_cut(x);
		return;
	}
	exchange_reply(x, HTTP_OK,
		       json_pack("{s:I}", "offset", (json_int_t)offset));
}

static void handle_log(platform_t *p, exchange_t *x)
{
	g_auto(GStrv) part = g_strsplit(exchange_path(x), "/", 6);

	if (server_fault_on(&p->server, "log_outage"))
		exchange_reply_text(x, HTTP_SERVUNAVAIL, "{}");
	else if (g_strv_length(part) != 5 || strcmp(part[4], "records"))
		exchange_reply_text(x, HTTP_NOTFOUND, "{}");
	else if (exchange_method(x) == EVHTTP_REQ_POST)
		handle_append(p, x, find_log(p, part[3]));
	else
		exchange_reply(x, HTTP_OK,
			       record_log_read(find_log(p, part[3]),
					       exchange_query(x, "from", 0),
					       CLAMP(exchange_query(x, "limit",
								    MAX_LIMIT),
						     1, MAX_LIMIT)));
}

static void vm_list_free(void *ptr)
{
	vm_list_t *list = ptr;

	json_decref(list->vms);
	g_free(list);
}

/* Takes ownership of VMS; the list becomes visible after LAG_MS. */
static void add_list(platform_t *p, json_t *vms, double lag_ms)
{
	vm_list_t *list = g_new0(vm_list_t, 1);

	list->vms = vms;
	list->visible_from_ms = clock_wall_ms() + (int64_t)lag_ms;
	g_queue_push_tail(&p->lists, list);
}

static void handle_vms(platform_t *p, exchange_t *x)
{
	int64_t now = clock_wall_ms();
	const vm_list_t *shown;

	while (p->lists.length > 1) {
		const vm_list_t *second = p->lists.head->next->data;

		if (second->visible_from_ms > now)
			break;
		vm_list_free(g_queue_pop_head(&p->lists));
	}
	shown = g_queue_peek_head(&p->lists);
	exchange_reply(x, HTTP_OK,
		       json_pack("{s:I,s:O}", "as_of_ms",
				 (json_int_t)(now - (int64_t)p->vms_lag_ms),
				 "vms", shown->vms));
}

static void handle_weights(platform_t *p, exchange_t *x)
{
	if (!bucket_take(&p->weights, p->weight_rate)) {
		exchange_reply_text(x, 429, "{\"error\":\"weight rate\"}");
		return;
	}
	p->n_weights++;
	exchange_reply_text(x, HTTP_OK, "{\"weights\":\"0\"}");
}

static void on_http(void *ctx, exchange_t *x)
{
	platform_t *p = ctx;
	const char *path = exchange_path(x);

	if (server_fault_on(&p->server, "outage"))
		exchange_reply_text(x, HTTP_SERVUNAVAIL, "{}");
	else if (g_str_has_prefix(path, "/v1/logs/"))
		handle_log(p, x);
	else if (exchange_is(x, EVHTTP_REQ_GET, "/v1/vms"))
		handle_vms(p, x);
	else if (g_str_has_prefix(path, "/v1/weights/"))
		handle_weights(p, x);
	else
		exchange_reply_text(x, HTTP_NOTFOUND, "{}");
}

/* PUT /standin/vms */
static bool on_control(void *ctx, exchange_t *x)
{
	platform_t *p = ctx;
	str_t body = exchange_body(x);
	json_t *vms;

	if (!exchange_is(x, EVHTTP_REQ_PUT, "/standin/vms"))
		return false;
	vms = json_loadb(body.ptr, body.len, 0, NULL);
	if (!json_is_array(vms)) {
		json_decref(vms);
		exchange_reply_text(x, HTTP_BADREQUEST, "{}");
		return true;
	}
	add_list(p, vms, p->vms_lag_ms);
	exchange_reply_text(x, HTTP_OK, "{}");
	return true;
}

static void on_closed(void *ctx, exchange_t *x)
{
}

static json_t *on_oracle(void *ctx)
{
	const platform_t *p = ctx;
	json_t *logs = json_object();
	GHashTableIter iter;
	void *name, *value;

	g_hash_table_iter_init(&iter, p->logs);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const record_log_t *log = value;

		json_object_set_new(
			logs, name,
			json_pack("{s:I,s:I}", "oldest",
				  (json_int_t)record_log_oldest(log), "next",
				  (json_int_t)log->next));
	}
	return json_pack("{s:o,s:I,s:I,s:I,s:I}", "logs", logs, "appended",
			 (json_int_t)p->n_appended, "refused",
			 (json_int_t)p->n_refused, "lost_answers",
			 (json_int_t)p->n_lost_answers, "weights",
			 (json_int_t)p->n_weights);
}

static json_t *load_vms(const char *path)
{
	json_error_t error;
	json_t *vms;

	if (!path)
		return json_array();
	vms = json_load_file(path, 0, &error);
	if (json_is_object(vms)) {
		json_t *list = json_incref(json_object_get(vms, "vms"));

		json_decref(vms);
		vms = list;
	}
	if (!json_is_array(vms)) {
		fprintf(stderr,
			"platform: %s: cannot read a JSON list of VMs\n", path);
		exit(EXIT_FAILURE);
	}
	return vms;
}

static void platform_finish(platform_t *p)
{
	server_finish(&p->server);
	g_hash_table_destroy(p->logs);
	g_queue_clear_full(&p->lists, vm_list_free);
}

int main(int argc, char **argv)
{
	platform_t p = { .append_rate = 300, .weight_rate = 2 };
	const char *listen = "127.0.0.1:0";
	const char *vms = NULL;
	err_t err;
	const arg_row_t rows[] = {
		{ "listen", ARG_TEXT, &listen, "IP:port, port 0 for any" },
		{ "vms", ARG_TEXT, &vms, "JSON file with the list of VMs" },
		{ "vms-lag-ms", ARG_NUMBER, &p.vms_lag_ms,
		  "until a new list of VMs is visible" },
		{ "append-rate", ARG_NUMBER, &p.append_rate,
		  "appends per second" },
		{ "weight-rate", ARG_NUMBER, &p.weight_rate,
		  "weight reads per second" },
		{ "retain-count", ARG_NUMBER, &p.retain_count,
		  "records kept per log; 0: all" },
		{ "retain-ms", ARG_NUMBER, &p.retain_ms,
		  "how long records are kept; 0: for ever" },
	};
	const server_ops_t ops = { on_http, on_closed, on_oracle, NULL,
				   on_control };

	args_read(argc, argv, rows, G_N_ELEMENTS(rows));
	g_queue_init(&p.lists);
	add_list(&p, load_vms(vms), 0);
	if (!server_init(&p.server, listen, &ops, &p, &err)) {
		fprintf(stderr, "platform: %s: %s\n", err.step, err.detail);
		return EXIT_FAILURE;
	}
	p.logs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				       log_free);
	p.appends = (bucket_t){ MAX(p.append_rate, 1), clock_now_us() };
	p.weights = (bucket_t){ MAX(p.weight_rate, 1), clock_now_us() };
	server_run(&p.server);
	platform_finish(&p);
	return EXIT_SUCCESS;
}
