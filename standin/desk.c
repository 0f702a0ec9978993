/*
 * Stand-in for a plain service with N slots and a service time, which counts
 * the runs of each call. A run continues after its caller disconnects, as in
 * real services of this kind. Switches besides those of lib_server.h:
 *   "slow": F             runs take F times as long
 *   "close_after_run": N  the next N runs close the connection
 *                         without an answer
 *   "fail_after_run": N   the next N runs answer 500
 *   "leaving": true       the load report says that it is leaving
 */
#include <stdio.h>
#include <stdlib.h>

#include "standin/lib_args.h"
#include "standin/lib_server.h"

enum { ID_SIZE = 128, MAX_WAITING = 10000 /* runs */ };

typedef struct run {
	GList link;
	struct desk *desk;
	exchange_t *x; /* NULL once the caller disconnected */
	struct event *timer;
	char call[ID_SIZE];
	char hash[9];
} run_t;

typedef struct desk {
	server_t server;
	GQueue waiting;
	GQueue running;
	GRand *rand;
	/* Number of runs by id of the call, by key and by id of the request. */
	json_t *calls;
	json_t *keys;
	json_t *requests;
	json_int_t runs; /* in total */
	int64_t last_run_ms; /* wall clock, arrival of the newest run */
	double slots;
	double service_ms;
	double jitter; /* maximum deviation, as a share of service_ms */
	bool has_no_load_report;
} desk_t;

static void start_runs(desk_t *d);

static void run_free(run_t *run)
{
	if (run->timer)
		event_free(run->timer);
	g_free(run);
}

/* Uses up one count of the switch NAME; false when none is left. */
static bool consume_fault(desk_t *d, const char *name)
{
	double n = server_fault_number(&d->server, name, 0);

	if (n < 1)
		return false;
	json_object_set_new(d->server.faults, name, json_real(n - 1));
	return true;
}

static void answer(desk_t *d, run_t *run)
{
	exchange_t *x = run->x;
	bool is_closing = consume_fault(d, "close_after_run");
	bool is_failing = !is_closing && consume_fault(d, "fail_after_run");

	if (!x)
		return;
	if (is_closing)
		exchange_cut(x);
	else if (is_failing)
		exchange_reply_text(x, HTTP_INTERNAL, "{\"error\":\"fault\"}");
	else
		exchange_reply(x, HTTP_OK,
			       json_pack("{s:s,s:I,s:s}", "call", run->call,
					 "run", d->runs, "echo", run->hash));
}

static void on_run_end(evutil_socket_t fd, short what, void *ctx)
{
	run_t *run = ctx;
	desk_t *d = run->desk;

	g_queue_unlink(&d->running, &run->link);
	answer(d, run);
	run_free(run);
	start_runs(d);
}

static void start_run(desk_t *d, run_t *run)
{
	double spread = g_rand_double_range(d->rand, -d->jitter, d->jitter);
	double ms = d->service_ms * (1 + spread) *
		    server_fault_number(&d->server, "slow", 1);
	struct timeval tv = { (time_t)(ms / 1000),
			      (suseconds_t)((int64_t)(ms * 1000) % 1000000) };

	g_queue_push_tail_link(&d->running, &run->link);
	run->timer = evtimer_new(d->server.base, on_run_end, run);
	evtimer_add(run->timer, &tv);
}

static void start_runs(desk_t *d)
{
	while (d->waiting.length && d->running.length < d->slots) {
		run_t *run = g_queue_peek_head(&d->waiting);

		g_queue_unlink(&d->waiting, &run->link);
		start_run(d, run);
	}
}

static void count_run(desk_t *d, exchange_t *x, run_t *run)
{
	const char *key = exchange_header(x, "Idempotency-Key");
	const char *request = exchange_header(x, "X-Request-Id");

	d->runs++;
	d->last_run_ms = clock_wall_ms();
	if (run->call[0])
		json_increment(d->calls, run->call);
	if (key)
		json_increment(d->keys, key);
	if (request)
		json_increment(d->requests, request);
}

static void handle_run(desk_t *d, exchange_t *x)
{
	run_t *run = g_new0(run_t, 1);

	run->desk = d;
	run->x = x;
	run->link.data = run;
	x->user = run;
	call_id_of(exchange_body(x), run->call, sizeof(run->call));
	answer_hash(exchange_body(x), run->hash);
	count_run(d, x, run);
	g_queue_push_tail_link(&d->waiting, &run->link);
	start_runs(d);
}

static void handle_load(desk_t *d, exchange_t *x)
{
	bool is_leaving = server_fault_on(&d->server, "leaving");

	if (d->has_no_load_report) {
		exchange_reply_text(x, HTTP_NOTFOUND, "{}");
		return;
	}
	exchange_reply(x, HTTP_OK,
		       json_pack("{s:I,s:s,s:i}", "as_of_ms",
				 (json_int_t)clock_wall_ms(), "state",
				 is_leaving ? "leaving" : "live", "running",
				 (int)(d->running.length + d->waiting.length)));
}

static void on_http(void *ctx, exchange_t *x)
{
	desk_t *d = ctx;

	if (exchange_is(x, EVHTTP_REQ_GET, "/v1/load"))
		handle_load(d, x);
	else if (d->waiting.length >= MAX_WAITING)
		exchange_reply_text(x, HTTP_SERVUNAVAIL, "{}");
	else
		handle_run(d, x);
}

static void on_closed(void *ctx, exchange_t *x)
{
	run_t *run = x->user;

	if (run)
		run->x = NULL;
}

static json_t *on_oracle(void *ctx)
{
	const desk_t *d = ctx;

	return json_pack("{s:O,s:O,s:O,s:I,s:I}", "calls", d->calls, "keys",
			 d->keys, "requests", d->requests, "runs", d->runs,
			 "last_run_ms", (json_int_t)d->last_run_ms);
}

static void free_runs(GQueue *queue)
{
	run_t *run;

	while ((run = g_queue_peek_head(queue))) {
		g_queue_unlink(queue, &run->link);
		run_free(run);
	}
}

static void desk_finish(desk_t *d)
{
	free_runs(&d->waiting);
	free_runs(&d->running);
	server_finish(&d->server);
	g_rand_free(d->rand);
	json_decref(d->calls);
	json_decref(d->keys);
	json_decref(d->requests);
}

int main(int argc, char **argv)
{
	desk_t d = { .slots = 8, .service_ms = 20, .jitter = 0.2 };
	const char *listen = "127.0.0.1:0";
	double seed = 1;
	err_t err;
	const arg_row_t rows[] = {
		{ "listen", ARG_TEXT, &listen, "IP:port, port 0 for any" },
		{ "slots", ARG_NUMBER, &d.slots, "concurrent runs" },
		{ "service-ms", ARG_NUMBER, &d.service_ms,
		  "mean time of a run" },
		{ "jitter", ARG_NUMBER, &d.jitter,
		  "maximum deviation from it, as a share" },
		{ "seed", ARG_NUMBER, &seed, "seed of the jitter" },
		{ "no-load", ARG_FLAG, &d.has_no_load_report,
		  "answers GET /v1/load with 404" },
	};
	const server_ops_t ops = { on_http, on_closed, on_oracle, NULL, NULL };

	args_read(argc, argv, rows, G_N_ELEMENTS(rows));
	if (!server_init(&d.server, listen, &ops, &d, &err)) {
		fprintf(stderr, "desk: %s: %s\n", err.step, err.detail);
		return EXIT_FAILURE;
	}
	d.rand = g_rand_new_with_seed((guint32)seed);
	d.calls = json_object();
	d.keys = json_object();
	d.requests = json_object();
	server_run(&d.server);
	desk_finish(&d);
	return EXIT_SUCCESS;
}
