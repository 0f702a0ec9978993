/*
 * Stand-in for a model engine: see docs/UPSTREAMS.md. Switches
 * besides those of lib_server.h:
 *   "slow": F          all work takes F times as long
 *   "leaving": true    the load report says that it is leaving
 *   "stale": true      the load report is no longer updated
 *   "kill": true       aborts all requests and closes their
 *                      connections; acts once
 */
#include <stdio.h>
#include <stdlib.h>

#include "standin/lib_args.h"
#include "standin/lib_batch.h"
#include "standin/lib_cache.h"
#include "standin/lib_load_report.h"
#include "standin/lib_server.h"

enum {
	STEP_US = 4000,
	SAMPLE_US = 50000,
	KEEP_ENDED_US = 30000000, /* a stream can be resumed for this long */
	MAX_RUNS = 20000,
	MAX_OUTPUT = 8192, /* tokens */
	DEFAULT_OUTPUT = 16, /* tokens */
	ID_SIZE = 128,
};

typedef enum run_state {
	RUN_ACTIVE,
	RUN_COMPLETE,
	RUN_ABORTED,
} run_state_t;

/* One request, waiting or running, or ended and kept for a resume. */
typedef struct run {
	char id[ID_SIZE];
	char hash[9];
	char *prompt;
	size_t prompt_len;
	batch_item_t item;
	exchange_t *x; /* NULL when no client is connected */
	uint32_t sent; /* tokens, one per event */
	int64_t ended_us;
	int64_t disconnected_us; /* 0: connected, or linger_ms is 0 */
	run_state_t state;
	bool is_stream;
} run_t;

typedef struct totals {
	double prompt_useful, prompt_cancelled, prompt_killed; /* tokens */
	double output, output_useful; /* tokens */
	uint32_t completed, cancelled, killed; /* requests */
} totals_t;

typedef struct engine {
	server_t server;
	batch_t batch;
	cache_t cache;
	GHashTable *runs; /* id -> run_t, owned */
	load_report_t report;
	json_t *calls; /* id -> number of requests */
	json_t *orders; /* accepted ones, in order of arrival */
	totals_t totals;
	struct event *step_timer;
	int64_t last_step_us;
	int64_t last_sample_us;
	int64_t highest_fence; /* fencing token of an accepted order */
	int64_t last_run_ms; /* wall clock, arrival of the newest run */
	uint32_t next_id;
	double generation; /* of the hardware, for the load report */
	double report_lag_ms;
	double linger_ms; /* how long a run continues after a disconnect */
	bool is_fencing; /* rejects orders with an old fencing token */
} engine_t;

static void run_free(void *ptr)
{
	run_t *run = ptr;

	g_free(run->prompt);
	g_free(run);
}

static str_t prompt_of(const run_t *run)
{
	return (str_t){ run->prompt, run->prompt_len };
}

/*
 * Ends an active run before it completes. Counts the run and its wasted work as
 * cancelled if IS_CANCEL is set, else as killed.
 */
static void abort_run(engine_t *e, run_t *run, bool is_cancel)
{
	if (run->state != RUN_ACTIVE)
		return;
	run->state = RUN_ABORTED;
	run->ended_us = clock_now_us();
	batch_remove(&e->batch, &run->item);
	e->totals.output += run->item.decoded;
	if (is_cancel) {
		e->totals.prompt_cancelled += run->item.prefilled;
		e->totals.cancelled++;
	} else {
		e->totals.prompt_killed += run->item.prefilled;
		e->totals.killed++;
	}
}

/*
 * Called once the client is disconnected, by itself or by a switch. Aborts the
 * run at once, or lets it continue for linger_ms.
 */
static void detach_client(engine_t *e, run_t *run, bool is_cancel)
{
	run->x = NULL;
	if (e->linger_ms > 0)
		run->disconnected_us = clock_now_us();
	else
		abort_run(e, run, is_cancel);
}

static json_t *usage_json(const run_t *run)
{
	return json_pack("{s:i,s:i,s:i}", "prompt_tokens",
			 (int)run->item.prompt_tokens, "completion_tokens",
			 (int)run->item.max_tokens, "cached_tokens",
			 (int)run->item.cached_tokens);
}

static void append_token(GString *out, const run_t *run, uint32_t i)
{
	g_string_append_printf(out, "%s%s:%u", i ? " " : "", run->hash, i);
}

static void append_event(GString *out, const run_t *run, uint32_t i)
{
	bool is_last = i + 1 == run->item.max_tokens;

	g_string_append_printf(
		out,
		"data: {\"id\":\"%s\",\"choices\":[{\"index\":0,\"text\":\"",
		run->id);
	append_token(out, run, i);
	g_string_append_printf(out, "\",\"finish_reason\":%s}]",
			       is_last ? "\"length\"" : "null");
	if (is_last) {
		json_t *usage = usage_json(run);
		char *text = json_dumps(usage, JSON_COMPACT);

		g_string_append_printf(out, ",\"usage\":%s", text);
		free(text);
		json_decref(usage);
	}
	g_string_append(out, "}\n\n");
	if (is_last)
		g_string_append(out, "data: [DONE]\n\n");
}

/* Sends the pending events; false when a switch cut the stream. */
static bool send_events(run_t *run)
{
	g_autoptr(GString) out = g_string_new(NULL);
	uint32_t ready = (uint32_t)run->item.decoded;

	if (run->sent >= ready)
		return true;
	while (run->sent < ready)
		append_event(out, run, run->sent++);
	return exchange_chunk(run->x, (str_t){ out->str, out->len });
}

static void reply_whole(run_t *run)
{
	g_autoptr(GString) text = g_string_new(NULL);
	exchange_t *x = run->x;

	for (uint32_t i = 0; i < run->item.max_tokens; i++)
		append_token(text, run, i);
	run->x = NULL;
	exchange_reply(x, HTTP_OK,
		       json_pack("{s:s,s:[{s:i,s:s,s:s}],s:o}", "id", run->id,
				 "choices", "index", 0, "text", text->str,
				 "finish_reason", "length", "usage",
				 usage_json(run)));
}

static void complete_run(engine_t *e, run_t *run)
{
	run->state = RUN_COMPLETE;
	run->ended_us = clock_now_us();
	batch_remove(&e->batch, &run->item);
	e->totals.prompt_useful += run->item.prefilled;
	e->totals.output += run->item.max_tokens;
	e->totals.output_useful += run->item.max_tokens;
	e->totals.completed++;
}

static void on_admitted(void *ctx, batch_item_t *item)
{
	engine_t *e = ctx;
	uint32_t cached = cache_lookup(&e->cache, prompt_of(item->user));

	item->cached_tokens = MIN(cached, item->prompt_tokens - 1);
}

static void on_prefilled(void *ctx, batch_item_t *item)
{
	engine_t *e = ctx;

	cache_insert(&e->cache, prompt_of(item->user), clock_now_us());
}

static void on_decoded(void *ctx, batch_item_t *item)
{
	engine_t *e = ctx;
	run_t *run = item->user;
	bool is_complete = batch_item_is_complete(item);

	if (run->x && run->is_stream && !send_events(run))
		detach_client(e, run, false);
	if (run->state != RUN_ACTIVE)
		return;
	if (!is_complete)
		return;
	complete_run(e, run);
	if (!run->x)
		return;
	if (run->is_stream)
		exchange_end(g_steal_pointer(&run->x));
	else
		reply_whole(run);
}

static void take_sample(engine_t *e, int64_t now)
{
	const load_sample_t sample = {
		.at_us = now,
		.wall_ms = clock_wall_ms(),
		.running = e->batch.running.length,
		.waiting = e->batch.waiting.length,
		.waiting_tokens = batch_waiting_tokens(&e->batch),
		.running_tokens = e->batch.kv_used,
		.is_leaving = server_fault_on(&e->server, "leaving"),
	};

	load_report_add(&e->report, &sample);
	e->last_sample_us = now;
}

/*
 * Aborts runs whose client disconnected linger_ms ago or earlier; frees runs
 * that ended more than KEEP_ENDED_US ago.
 */
static void expire_runs(engine_t *e, int64_t now)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, e->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		run_t *run = value;

		if (run->state == RUN_ACTIVE && run->disconnected_us &&
		    now - run->disconnected_us >=
			    (int64_t)(e->linger_ms * 1000))
			abort_run(e, run, true);
		if (run->state != RUN_ACTIVE && !run->x &&
		    now - run->ended_us > KEEP_ENDED_US)
			g_hash_table_iter_remove(&iter);
	}
}

static void on_step(evutil_socket_t fd, short what, void *ctx)
{
	engine_t *e = ctx;
	int64_t now = clock_now_us();
	double slow = MAX(server_fault_number(&e->server, "slow", 1), 0.01);

	batch_step(&e->batch, (now - e->last_step_us) / 1e6 / slow);
	e->last_step_us = now;
	if (now - e->last_sample_us < SAMPLE_US)
		return;
	expire_runs(e, now);
	if (!server_fault_on(&e->server, "stale"))
		take_sample(e, now);
}

static bool read_prompt(run_t *run, json_t *body)
{
	json_t *prompt = json_object_get(body, "prompt");
	json_t *max = json_object_get(body, "max_tokens");
	json_int_t n = max ? json_integer_value(max) : DEFAULT_OUTPUT;

	if (!json_is_string(prompt) || n < 1 || n > MAX_OUTPUT)
		return false;
	run->prompt_len = json_string_length(prompt);
	run->prompt = g_strndup(json_string_value(prompt), run->prompt_len);
	run->item.prompt_tokens =
		MAX(1, (uint32_t)((run->prompt_len + CACHE_TOKEN_BYTES - 1) /
				  CACHE_TOKEN_BYTES));
	run->item.max_tokens = (uint32_t)n;
	run->is_stream = json_is_true(json_object_get(body, "stream"));
	answer_hash(prompt_of(run), run->hash);
	return true;
}

static run_t *read_run(engine_t *e, exchange_t *x)
{
	str_t text = exchange_body(x);
	json_t *body = json_loadb(text.ptr, text.len, 0, NULL);
	const char *id = exchange_header(x, "X-Request-Id");
	run_t *run = g_new0(run_t, 1);

	if (id)
		g_strlcpy(run->id, id, sizeof(run->id));
	else
		snprintf(run->id, sizeof(run->id), "run-%u", e->next_id++);
	if (!read_prompt(run, body)) {
		run_free(run);
		run = NULL;
	}
	json_decref(body);
	return run;
}

static void count_call(engine_t *e, const run_t *run)
{
	char call[ID_SIZE];

	if (call_id_of(prompt_of(run), call, sizeof(call)))
		json_increment(e->calls, call);
}

static void handle_completion(engine_t *e, exchange_t *x)
{
	run_t *run;

	if (g_hash_table_size(e->runs) >= MAX_RUNS) {
		exchange_reply_text(x, HTTP_SERVUNAVAIL, "{}");
		return;
	}
	run = read_run(e, x);
	if (!run || run->item.prompt_tokens + run->item.max_tokens >
			    e->batch.config.kv_tokens) {
		if (run)
			run_free(run);
		exchange_reply_text(x, HTTP_BADREQUEST,
				    "{\"error\":\"prompt or max_tokens\"}");
		return;
	}
	count_call(e, run);
	e->last_run_ms = clock_wall_ms();
	run->item.user = run;
	run->x = x;
	x->user = run;
	if (g_hash_table_contains(e->runs, run->id)) {
		run_t *old = g_hash_table_lookup(e->runs, run->id);

		abort_run(e, old, true);
		if (old->x)
			exchange_cut(g_steal_pointer(&old->x));
	}
	g_hash_table_replace(e->runs, run->id, run);
	batch_add(&e->batch, &run->item);
	if (run->is_stream)
		exchange_stream(x);
}

static void handle_cancel(engine_t *e, exchange_t *x, run_t *run)
{
	abort_run(e, run, true);
	if (run->x && run->x != x)
		exchange_cut(g_steal_pointer(&run->x));
	exchange_reply_text(x, HTTP_OK, "{}");
}

static void handle_resume(engine_t *e, exchange_t *x, run_t *run)
{
	int64_t from = exchange_query(x, "from", 0);

	if (run->state == RUN_ABORTED || from < 0 ||
	    from > run->item.max_tokens) {
		exchange_reply_text(x, HTTP_NOTFOUND, "{}");
		return;
	}
	if (run->x)
		exchange_cut(g_steal_pointer(&run->x));
	run->x = x;
	x->user = run;
	run->is_stream = true;
	run->disconnected_us = 0;
	run->sent = (uint32_t)from;
	exchange_stream(x);
	if (!send_events(run)) {
		detach_client(e, run, false);
	} else if (run->state == RUN_COMPLETE) {
		exchange_end(g_steal_pointer(&run->x));
	}
}

static void handle_order(engine_t *e, exchange_t *x)
{
	str_t text = exchange_body(x);
	json_t *order = json_loadb(text.ptr, text.len, 0, NULL);
	json_int_t fence = json_integer_value(json_object_get(order, "fence"));

	if (!json_is_string(json_object_get(order, "order"))) {
		json_decref(order);
		exchange_reply_text(x, HTTP_BADREQUEST, "{}");
		return;
	}
	if (e->is_fencing && fence < e->highest_fence) {
		json_decref(order);
		exchange_reply_text(x, 409, "{\"error\":\"old fence\"}");
		return;
	}
	e->highest_fence = MAX(e->highest_fence, fence);
	json_array_append_new(e->orders, order);
	exchange_reply_text(x, HTTP_OK, "{}");
}

/* Handles /v1/requests/ID/cancel and /v1/requests/ID/stream. */
static bool handle_known_run(engine_t *e, exchange_t *x)
{
	g_auto(GStrv) part = g_strsplit(exchange_path(x), "/", 6);
	run_t *run;

	if (g_strv_length(part) != 5 || strcmp(part[2], "requests"))
		return false;
	run = g_hash_table_lookup(e->runs, part[3]);
	if (!run)
		return false;
	if (!strcmp(part[4], "cancel"))
		handle_cancel(e, x, run);
	else if (!strcmp(part[4], "stream"))
		handle_resume(e, x, run);
	else
		return false;
	return true;
}

static void on_http(void *ctx, exchange_t *x)
{
	engine_t *e = ctx;

	if (exchange_is(x, EVHTTP_REQ_POST, "/v1/completions"))
		handle_completion(e, x);
	else if (exchange_is(x, EVHTTP_REQ_GET, "/v1/load"))
		exchange_reply(
			x, HTTP_OK,
			load_report_json(&e->report, (int)e->generation));
	else if (exchange_is(x, EVHTTP_REQ_GET, "/v1/cache/events"))
		exchange_reply(x, HTTP_OK,
			       cache_events(&e->cache,
					    exchange_query(x, "from", 0),
					    clock_now_us()));
	else if (exchange_is(x, EVHTTP_REQ_POST, "/v1/orders"))
		handle_order(e, x);
	else if (!handle_known_run(e, x))
		exchange_reply_text(x, HTTP_NOTFOUND, "{}");
}

static void on_closed(void *ctx, exchange_t *x)
{
	engine_t *e = ctx;
	run_t *run = x->user;

	if (!run || run->x != x)
		return;
	detach_client(e, run, true);
}

static json_t *on_oracle(void *ctx)
{
	const engine_t *e = ctx;
	const totals_t *t = &e->totals;
	double done = t->prompt_useful + t->prompt_cancelled + t->prompt_killed;

	for (const GList *l = e->batch.running.head; l; l = l->next)
		done += ((const batch_item_t *)l->data)->prefilled;
	return json_pack(
		"{s:O,s:{s:f,s:f,s:f,s:f},s:f,s:f,s:i,s:i,s:i,s:i,s:i,s:O,s:I}",
		"calls", e->calls, "prompt_tokens", "done", done, "useful",
		t->prompt_useful, "wasted_cancelled", t->prompt_cancelled,
		"wasted_killed", t->prompt_killed, "output_tokens", t->output,
		"output_tokens_useful", t->output_useful, "completed",
		(int)t->completed, "cancelled", (int)t->cancelled, "killed",
		(int)t->killed, "running", (int)e->batch.running.length,
		"waiting", (int)e->batch.waiting.length, "orders", e->orders,
		"last_run_ms", (json_int_t)e->last_run_ms);
}

static void on_faults(void *ctx)
{
	engine_t *e = ctx;
	GHashTableIter iter;
	void *value;

	if (!server_fault_on(&e->server, "kill"))
		return;
	json_object_del(e->server.faults, "kill");
	g_hash_table_iter_init(&iter, e->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		run_t *run = value;

		abort_run(e, run, false);
		if (run->x)
			exchange_cut(g_steal_pointer(&run->x));
	}
}

static void engine_start(engine_t *e, const batch_config_t *batch,
			 const cache_config_t *cache)
{
	const batch_ops_t ops = { on_admitted, on_prefilled, on_decoded };
	const struct timeval step = { 0, STEP_US };

	batch_init(&e->batch, batch, &ops, e);
	cache_init(&e->cache, cache);
	e->runs =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, run_free);
	load_report_init(&e->report, (int64_t)(e->report_lag_ms * 1000));
	e->calls = json_object();
	e->orders = json_array();
	e->last_step_us = clock_now_us();
	take_sample(e, e->last_step_us);
	e->step_timer = event_new(e->server.base, -1, EV_PERSIST, on_step, e);
	event_add(e->step_timer, &step);
}

static void engine_finish(engine_t *e)
{
	event_free(e->step_timer);
	server_finish(&e->server);
	g_hash_table_destroy(e->runs);
	cache_finish(&e->cache);
	load_report_finish(&e->report);
	json_decref(e->calls);
	json_decref(e->orders);
}

int main(int argc, char **argv)
{
	engine_t e = { .generation = 1, .report_lag_ms = 500 };
	const char *listen = "127.0.0.1:0";
	double prefill = 8000, decode = 60, half = 16, slots = 16;
	double kv = 64000, cache = 32000, cache_lag = 500, gap = 7;
	bool no_fencing = false;
	err_t err;
	const arg_row_t rows[] = {
		{ "listen", ARG_TEXT, &listen, "IP:port, port 0 for any" },
		{ "prefill", ARG_NUMBER, &prefill, "prompt tokens a second" },
		{ "decode", ARG_NUMBER, &decode,
		  "tokens a second of a single sequence" },
		{ "half-batch", ARG_NUMBER, &half,
		  "other sequences that halve the decoding rate" },
		{ "slots", ARG_NUMBER, &slots, "concurrent sequences" },
		{ "kv-tokens", ARG_NUMBER, &kv, "capacity of the KV memory" },
		{ "cache-tokens", ARG_NUMBER, &cache,
		  "capacity of the prefix cache" },
		{ "cache-lag-ms", ARG_NUMBER, &cache_lag,
		  "delay of cache events" },
		{ "cache-gap", ARG_NUMBER, &gap,
		  "every Nth cache event is omitted" },
		{ "report-lag-ms", ARG_NUMBER, &e.report_lag_ms,
		  "delay of the load report" },
		{ "linger-ms", ARG_NUMBER, &e.linger_ms,
		  "how long a request runs on after a disconnect" },
		{ "generation", ARG_NUMBER, &e.generation,
		  "of the hardware, in the load report" },
		{ "no-fencing", ARG_FLAG, &no_fencing,
		  "accepts orders with an old fencing token" },
	};
	const server_ops_t ops = { on_http, on_closed, on_oracle, on_faults,
				   NULL };

	args_read(argc, argv, rows, G_N_ELEMENTS(rows));
	e.is_fencing = !no_fencing;
	if (!server_init(&e.server, listen, &ops, &e, &err)) {
		fprintf(stderr, "engine: %s: %s\n", err.step, err.detail);
		return EXIT_FAILURE;
	}
	engine_start(&e,
		     &(batch_config_t){ prefill, decode, half, (uint32_t)slots,
					(uint32_t)kv },
		     &(cache_config_t){ (uint32_t)cache,
					(int64_t)(cache_lag * 1000),
					(uint32_t)gap });
	server_run(&e.server);
	engine_finish(&e);
	return EXIT_SUCCESS;
}
