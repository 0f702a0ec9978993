/*
 * Stand-in for a runner of the users' platform: it keeps its entry in the
 * store and runs a limited number of requests at once. A plain runner answers
 * once; with --events it streams events, one every --event-ms.
 * Switches besides those of lib_server.h:
 *   "close_after_run": N  the next N runs close without an answer
 *   "fail_after_run": N   the next N runs answer 500
 *   "fail_share": P       a share P of the runs (0 to 1) answer 500
 *   "slow_share": P       a share P of the runs take five times as long
 *   "unhealthy": true     the health check fails, nothing else changes
 *   "mute_store": true    its entry is not renewed
 *   "leaving": true       its entry says that it leaves; exits --drain-ms later
 *   "says_leaving": true  its answers say that it leaves, its entry does not
 *   "pause_next": N       the next N requests are refused, each with a
 *                         request to pause for "pause_ms"
 *   "brittle": N          its answers say that it bears N refusals in a
 *                         second; it lets one request wait, and exits when it
 *                         refuses more
 * With --runs it logs each run; with --arrivals, each request received and each
 * notice that it sends.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "common/timeval.h"
#include "net/http.h"
#include "platform/names.h"
#include "standin/lib_args.h"
#include "standin/lib_server.h"

enum {
	ID_SIZE = 128, /* bytes of an attempt's id */
	MAX_WAITING = 40, /* requests */
	MAX_WAITING_BRITTLE = 1,
	SECOND_MS = 1000,
	STATUS_MISDIRECTED = 421, /* meant for another runner */
	PATH_SIZE = 256,
	SLOWNESS = 5, /* factor, of runs by "slow_share" */
	STORE_TIMEOUT_MS = 1000, /* to connect, and without data */
};

typedef struct run {
	GList link;
	struct runner *runner;
	exchange_t *x; /* NULL once the caller disconnected */
	struct event *timer;
	char attempt[ID_SIZE];
	char team[ID_SIZE]; /* that the caller belongs to; empty: none */
	int next_event; /* counted from 1 */
} run_t;

typedef struct runner {
	server_t server;
	const char *store, *service, *zone, *id, *advertise, *release;
	GQueue waiting, running;
	const char *runs_path; /* NULL: runs are not logged */
	/* A line "ATTEMPT TEAM" per run, flushed so that it outlives a kill. */
	FILE *runs_file;
	const char *arrivals_path; /* NULL: not logged */
	/*
	 * A line "MS WHAT ATTEMPT PAUSE_MS" each, WHAT being "start", "arrive",
	 * "leaving" or "pause"; MS is monotonic.
	 */
	FILE *arrivals_file;
	uint64_t n_runs;
	http_call_t store_call; /* writes the entry */
	struct event *heartbeat;
	int64_t started_ms; /* wall clock */
	int64_t leave_at_ms; /* 0: does not leave */
	int64_t sequence; /* of the next write of the entry */
	/* Since when it counts the requests that it had no room for. */
	int64_t refused_at_ms;
	int n_refused;
	double slots, work_ms, events, event_ms, heartbeat_ms, drain_ms;
} runner_t;

static void start_runs(runner_t *r);
static void schedule_event(run_t *run);

static void set_timer(struct event *timer, double ms)
{
	const struct timeval tv = timeval_from_ms((int64_t)ms);

	evtimer_add(timer, &tv);
}

/* Uses up one count of the switch NAME; false when none is left. */
static bool consume_fault(runner_t *r, const char *name)
{
	double n = server_fault_number(&r->server, name, 0);

	if (n < 1)
		return false;
	json_object_set_new(r->server.faults, name, json_real(n - 1));
	return true;
}

/* True for the share of all calls that the switch NAME states. */
static bool has_share(runner_t *r, const char *name)
{
	return g_random_double() < server_fault_number(&r->server, name, 0);
}

static void run_free(run_t *run)
{
	if (run->x)
		run->x->user = NULL;
	if (run->timer)
		event_free(run->timer);
	g_free(run);
}

static void end_run(run_t *run)
{
	runner_t *r = run->runner;

	g_queue_unlink(&r->running, &run->link);
	run_free(run);
	start_runs(r);
}

static void answer_plain(run_t *run)
{
	runner_t *r = run->runner;
	exchange_t *x = run->x;

	run->x = NULL;
	if (!x)
		return;
	if (consume_fault(r, "close_after_run"))
		exchange_cut(x);
	else if (consume_fault(r, "fail_after_run") ||
		 has_share(r, "fail_share"))
		exchange_reply_text(x, HTTP_INTERNAL, "{}");
	else
		exchange_reply(x, HTTP_OK,
			       json_pack("{s:s,s:s}", "attempt", run->attempt,
					 "runner", r->id));
}

/* Sends one event; false when the stream is over. */
static bool send_event(run_t *run)
{
	runner_t *r = run->runner;
	g_autofree char *text =
		g_strdup_printf("id: %d\ndata: %s %d\n\n", run->next_event,
				run->attempt, run->next_event);
	exchange_t *x = run->x;

	if (!x || !exchange_chunk(x, str_from(text))) {
		run->x = NULL;
		return false;
	}
	if (run->next_event++ < (int)r->events)
		return true;
	run->x = NULL;
	exchange_end(x);
	return false;
}

static void on_run_timer(evutil_socket_t fd, short what, void *ctx)
{
	run_t *run = ctx;
	runner_t *r = run->runner;

	if (!r->events) {
		answer_plain(run);
		end_run(run);
		return;
	}
	if (run->x && consume_fault(r, "close_after_run")) {
		exchange_cut(run->x);
		run->x = NULL;
	}
	if (send_event(run))
		schedule_event(run);
	else
		end_run(run);
}

static void schedule_event(run_t *run)
{
	set_timer(run->timer, run->runner->event_ms);
}

static void start_run(runner_t *r, run_t *run)
{
	g_queue_push_tail_link(&r->running, &run->link);
	r->n_runs++;
	if (r->runs_file) {
		fprintf(r->runs_file, "%s %s\n", run->attempt, run->team);
		fflush(r->runs_file);
	}
	if (r->events)
		exchange_stream(run->x);
	run->timer = evtimer_new(r->server.base, on_run_timer, run);
	set_timer(run->timer,
		  r->work_ms * (has_share(r, "slow_share") ? SLOWNESS : 1));
}

static void start_runs(runner_t *r)
{
	while (r->waiting.length && r->running.length < r->slots) {
		run_t *run = g_queue_peek_head(&r->waiting);

		g_queue_unlink(&r->waiting, &run->link);
		start_run(r, run);
	}
}

static void write_arrival(runner_t *r, const char *what, const char *attempt,
			  int pause_ms)
{
	if (!r->arrivals_file)
		return;
	fprintf(r->arrivals_file, "%" PRId64 " %s %s %d\n",
		clock_now_us() / 1000, what, attempt, pause_ms);
	fflush(r->arrivals_file);
}

static void refuse(exchange_t *x, int status)
{
	exchange_set_header(x, HEADER_NOT_RUN, "1");
	exchange_reply_text(x, status, "{}");
}

static void accept_request(runner_t *r, exchange_t *x, const char *attempt)
{
	const char *last = exchange_header(x, HEADER_LAST_EVENT_ID);
	const char *team = exchange_header(x, HEADER_TEAM);
	run_t *run = g_new0(run_t, 1);

	run->runner = r;
	run->x = x;
	run->link.data = run;
	run->next_event = 1 + (last ? atoi(last) : 0);
	g_strlcpy(run->attempt, attempt, sizeof(run->attempt));
	x->user = run;
	g_strlcpy(run->team, team ? team : "", sizeof(run->team));
	exchange_set_header(x, HEADER_ATTEMPT_ID, attempt);
	exchange_set_header(x, HEADER_SEAL, r->id);
	g_queue_push_tail_link(&r->waiting, &run->link);
	start_runs(r);
}

static void refuse_with_pause(runner_t *r, exchange_t *x, const char *attempt)
{
	double ms = server_fault_number(&r->server, "pause_ms", 0);
	g_autofree char *seconds = g_strdup_printf("%.3f", ms / 1000);

	write_arrival(r, "pause", attempt, (int)ms);
	exchange_set_header(x, HEADER_RETRY_AFTER, seconds);
	refuse(x, HTTP_SERVUNAVAIL);
}

/* Called for every request with an attempt, whatever status it gets. */
static void add_leaving_header(runner_t *r, exchange_t *x, const char *attempt)
{
	if (!r->leave_at_ms && !server_fault_on(&r->server, "says_leaving"))
		return;
	exchange_set_header(x, HEADER_LEAVING, "1");
	write_arrival(r, "leaving", attempt, 0);
}

/* Refuses for want of room; a brittle runner bears only so many in a second. */
static void refuse_full(runner_t *r, exchange_t *x)
{
	double borne = server_fault_number(&r->server, "brittle", -1);
	int64_t now = clock_now_us() / 1000;

	if (now - r->refused_at_ms >= SECOND_MS) {
		r->refused_at_ms = now;
		r->n_refused = 0;
	}
	refuse(x, HTTP_SERVUNAVAIL);
	if (borne >= 0 && ++r->n_refused > borne)
		exit(EXIT_FAILURE);
}

static guint max_waiting(runner_t *r)
{
	return server_fault_number(&r->server, "brittle", -1) >= 0 ?
		       MAX_WAITING_BRITTLE :
		       MAX_WAITING;
}

static void add_brittle_header(runner_t *r, exchange_t *x)
{
	double borne = server_fault_number(&r->server, "brittle", -1);
	g_autofree char *text = g_strdup_printf("%d", (int)borne);

	if (borne >= 0)
		exchange_set_header(x, HEADER_BRITTLE, text);
}

static void on_http(void *ctx, exchange_t *x)
{
	runner_t *r = ctx;
	const char *attempt = exchange_header(x, HEADER_ATTEMPT_ID);
	const char *expected = exchange_header(x, HEADER_EXPECT_RUNNER);
	g_autofree char *load =
		g_strdup_printf("%u,%u,%d", r->running.length,
				r->waiting.length, (int)r->slots);

	exchange_set_header(x, HEADER_RUNNER, r->id);
	exchange_set_header(x, HEADER_LOAD, load);
	add_brittle_header(r, x);
	if (attempt && strlen(attempt) < ID_SIZE &&
	    (!expected || !strcmp(expected, r->id))) {
		write_arrival(r, "arrive", attempt, 0);
		add_leaving_header(r, x, attempt);
	}
	if (exchange_is(x, EVHTTP_REQ_GET, "/health"))
		exchange_reply_text(
			x,
			r->leave_at_ms || server_fault_on(&r->server,
							  "unhealthy") ?
				HTTP_SERVUNAVAIL :
				HTTP_OK,
			"{}");
	else if (expected && strcmp(expected, r->id))
		refuse(x, STATUS_MISDIRECTED);
	else if (!attempt || strlen(attempt) >= ID_SIZE)
		refuse(x, HTTP_BADREQUEST);
	else if (consume_fault(r, "pause_next"))
		refuse_with_pause(r, x, attempt);
	else if (r->waiting.length >= max_waiting(r))
		refuse_full(r, x);
	else
		accept_request(r, x, attempt);
}

/* A run continues after its caller disconnects, unless it streams. */
static void on_closed(void *ctx, exchange_t *x)
{
	run_t *run = x->user;

	if (run)
		run->x = NULL;
}

static json_t *on_oracle(void *ctx)
{
	const runner_t *r = ctx;

	return json_pack("{s:s,s:I,s:I}", "id", r->id, "runs",
			 (json_int_t)r->n_runs, "running",
			 (json_int_t)r->running.length);
}

static void on_stored(void *ctx, int status, const err_t *err)
{
	runner_t *r = ctx;

	http_call_finish(&r->store_call);
	/* Leave once the store has accepted the entry that says so. */
	if (status == HTTP_OK && !r->leave_at_ms &&
	    server_fault_on(&r->server, "leaving"))
		r->leave_at_ms = clock_wall_ms() + (int64_t)r->drain_ms;
}

/* Renews the store entry; cancels a write that is still in progress. */
static void renew_entry(runner_t *r)
{
	static const http_call_ops_t ops = { NULL, NULL, NULL, on_stored };
	bool is_leaving = server_fault_on(&r->server, "leaving");
	json_t *entry = json_pack(
		"{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:I,s:I}", "service", r->service,
		"address", r->advertise, "zone", r->zone, "version", r->release,
		"slots", (int)r->slots, "state",
		is_leaving ? "draining" : "ready", "warmup_left_ms", 0,
		"sequence", (json_int_t)r->sequence++, "born",
		(json_int_t)r->started_ms);
	char *text = json_dumps(entry, JSON_COMPACT);
	char path[PATH_SIZE];
	http_request_t request = {
		.address = r->store,
		.method = EVHTTP_REQ_POST,
		.path = path,
		.body = str_from(text),
		.connect_timeout_ms = STORE_TIMEOUT_MS,
		.idle_timeout_ms = STORE_TIMEOUT_MS,
	};

	g_snprintf(path, sizeof(path), "/standin/put?topic=%s&key=%s",
		   TOPIC_RUNNERS, r->id);
	http_call_finish(&r->store_call);
	if (!http_call_start(&r->store_call, r->server.base, &request, &ops, r,
			     NULL))
		fprintf(stderr, "runner: cannot start a call to the store\n");
	json_decref(entry);
	free(text);
}

static void on_heartbeat(evutil_socket_t fd, short what, void *ctx)
{
	runner_t *r = ctx;

	if (r->leave_at_ms && clock_wall_ms() >= r->leave_at_ms) {
		event_base_loopbreak(r->server.base);
		return;
	}
	if (!server_fault_on(&r->server, "mute_store"))
		renew_entry(r);
	set_timer(r->heartbeat, r->heartbeat_ms);
}

static void free_runs(GQueue *queue)
{
	run_t *run;

	while ((run = g_queue_peek_head(queue))) {
		g_queue_unlink(queue, &run->link);
		run_free(run);
	}
}

static void runner_run(runner_t *r)
{
	r->started_ms = clock_wall_ms();
	write_arrival(r, "start", r->id, 0);
	r->heartbeat = evtimer_new(r->server.base, on_heartbeat, r);
	set_timer(r->heartbeat, 0);
	server_run(&r->server);
	http_call_finish(&r->store_call);
	event_free(r->heartbeat);
	free_runs(&r->waiting);
	free_runs(&r->running);
	server_finish(&r->server);
	if (r->runs_file)
		fclose(r->runs_file);
	if (r->arrivals_file)
		fclose(r->arrivals_file);
}

int main(int argc, char **argv)
{
	runner_t r = { .slots = 8,
		       .work_ms = 15,
		       .event_ms = 20,
		       .heartbeat_ms = 1200,
		       .drain_ms = 3000,
		       .service = "desk",
		       .zone = "z1",
		       .release = "1",
		       .id = "runner-1" };
	const char *listen = "127.0.0.1:0";
	err_t err;
	const arg_row_t rows[] = {
		{ "listen", ARG_TEXT, &listen, "IP:port, port 0 for any" },
		{ "store", ARG_TEXT, &r.store, "IP:port of the store" },
		{ "advertise", ARG_TEXT, &r.advertise, "IP:port in its entry" },
		{ "service", ARG_TEXT, &r.service,
		  "service that it belongs to" },
		{ "zone", ARG_TEXT, &r.zone,
		  "availability zone that it is in" },
		{ "id", ARG_TEXT, &r.id, "id of the runner" },
		{ "release", ARG_TEXT, &r.release, "of its software" },
		{ "slots", ARG_NUMBER, &r.slots, "concurrent runs" },
		{ "work-ms", ARG_NUMBER, &r.work_ms,
		  "time of a run, or until its first event" },
		{ "events", ARG_NUMBER, &r.events,
		  "events per stream; 0: plain answers" },
		{ "event-ms", ARG_NUMBER, &r.event_ms,
		  "time between two events" },
		{ "heartbeat-ms", ARG_NUMBER, &r.heartbeat_ms,
		  "time between two writes of its entry" },
		{ "runs", ARG_TEXT, &r.runs_path,
		  "file that each run is appended to" },
		{ "arrivals", ARG_TEXT, &r.arrivals_path,
		  "file that requests and notices are appended to" },
		{ "drain-ms", ARG_NUMBER, &r.drain_ms,
		  "how long it serves on once it is leaving" },
	};
	const server_ops_t ops = { on_http, on_closed, on_oracle, NULL, NULL };

	args_read(argc, argv, rows, G_N_ELEMENTS(rows));
	if (!r.store || !r.advertise) {
		fprintf(stderr, "runner: --store and --advertise are needed\n");
		return EXIT_FAILURE;
	}
	if (r.runs_path && !(r.runs_file = fopen(r.runs_path, "a"))) {
		perror(r.runs_path);
		return EXIT_FAILURE;
	}
	if (r.arrivals_path &&
	    !(r.arrivals_file = fopen(r.arrivals_path, "a"))) {
		perror(r.arrivals_path);
		return EXIT_FAILURE;
	}
	g_queue_init(&r.waiting);
	g_queue_init(&r.running);
	if (!server_init(&r.server, listen, &ops, &r, &err)) {
		fprintf(stderr, "runner: %s: %s\n", err.step, err.detail);
		return EXIT_FAILURE;
	}
	runner_run(&r);
	return EXIT_SUCCESS;
}
