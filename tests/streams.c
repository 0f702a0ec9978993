/*
 * Streams and plain requests over several real daemons, whose runners break
 * off in many ways and change their release, while daemons are killed, stand
 * still or are told to stop, the store is away, and configurations change.
 * Callers take broken streams up at any daemon. Checks from outside that no
 * stream has a piece twice, out of order, missing, or of another release, and
 * that all daemons together keep to the retry budget.
 *
 * Prints a line of counts and "N passed, N failed"; its findings and the logs
 * stay in a folder when a check failed.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "net/http.h"
#include "platform/names.h"
#include "standin/lib_args.h"
#include "standin/lib_fetch.h"
#include "tests/lib_cluster.h"
#include "tests/lib_process.h"
#include "tests/lib_run_dir.h"
#include "tests/lib_stream_caller.h"
#include "tests/lib_stream_runner.h"

#define RETRY_RATIO 0.2

enum {
	DAEMONS = 3, /* where the command line names no number */
	WRITERS = 6,
	DESKS = 3,
	RUNNERS = WRITERS + DESKS,
	MAX_CALLERS = 64,
	MAX_DISTURBERS = 8,
	RETRY_SLACK = 30,
	RETRY_WINDOW_MS = 10000,
	SERIES_ROUNDS = 3, /* of restarts, within a window of the budget */
	DRAIN_MS = 8000,
	STORE_PORT = 7000,
	READY_MS = 15000,
	STOP_MS = 10000,
	LEAVE_MS = 3500, /* from a runner's word to its exit */
	ZONES = 2, /* where the command line names no number */
	MAX_ZONES = 3,
	CUT_SETTLE_MS = 3000, /* in which daemons notice a cut */
	CUT_MS = 8000, /* beside the new release */
	FAR_BLOCK = 9, /* third byte of what the shim cuts off */
	MAX_ATTEMPTS = 2, /* of a request, by its route */
	MAX_BEYOND = 3, /* requests that may run on more runners */
	MAX_LATE_DEADLINES = 20,
	SETTLE_MS = 8000, /* a route's timeout, and more */
};

typedef struct node {
	process_t process;
	char ip[STREAM_HOST_SIZE];
	int zone;
	GMutex lock; /* held while it is disturbed */
	bool runs_beside; /* its next process is of play_t.beside, if set */
} node_t;

typedef struct play {
	char *dir;
	int net, lock, version;
	process_t store;
	node_t daemons[STREAM_MAX_DAEMONS];
	int n_daemons, n_zones;
	const char *daemons_of; /* folder of all papayad; NULL: this build */
	const char *beside; /* of each other papayad; NULL: none */
	stream_runner_t runners[RUNNERS];
	stream_caller_t callers[MAX_CALLERS];
	stream_faults_t faults;
	retry_ledger_t writer, desk;
	stream_results_t results;
	int64_t until_ms;
	bool spares_daemons; /* no fault of a daemon */
	bool plays_series; /* of restarts, at many daemons at once */
	int no_deadline; /* of 100 requests, those that state none */
	bool plays_releases; /* beside a daemon that stands still; no other fault */
	int n_disturbers; /* faults of daemons at a time */
	bool cuts_zone; /* the last one, beside new releases */
	int n_tunnels; /* daemons that are cut off from runners, the last ones */
	bool has_near; /* they reach every second runner all the same */
	bool keeps_logs;
	bool keeps_connections; /* callers do, as long as they can */
} play_t;

static int64_t now_ms(void)
{
	return g_get_monotonic_time() / 1000;
}

static void sleep_ms(int ms)
{
	g_usleep((gulong)ms * 1000);
}

static void add_route(GString *text, const char *name, const char *kind,
		      const char *service, const char *more)
{
	g_string_append_printf(
		text,
		"%s{\"name\":\"%s\",\"host\":\"h\",\"path_prefix\":\"/%s/\","
		"\"route_type\":\"%s\",\"timeout_ms\":5000,"
		"\"latency_target_ms\":800,\"priority\":1,\"service\":\"%s\","
		"\"max_attempts\":%d%s}",
		text->str[text->len - 1] == '[' ? "" : ",", name, name, kind,
		service, MAX_ATTEMPTS, more);
}

/* Puts the next version in the store; it has a route that no other has. */
static bool publish(play_t *p)
{
	static const char stream[] =
		",\"resumable\":true,\"itl_target_ms\":300";
	g_autoptr(GString) text = g_string_new(NULL);
	g_autofree char *added = g_strdup_printf("v%d", ++p->version);
	fetch_t f = { .method = EVHTTP_REQ_POST,
		      .address = p->store.address,
		      .path = "/standin/put?topic=" TOPIC_OPERATOR
			      "&key=" KEY_CONFIG };
	bool ok;

	g_string_printf(text, "{\"version\":%d,\"routes\":[", p->version);
	add_route(text, "sheet", "streaming", "writer", stream);
	add_route(text, "wide", "streaming", "writer", stream);
	add_route(text, "plain", "safe", "desk", "");
	add_route(text, added, "safe", "desk", "");
	g_string_append(
		text,
		"],\"services\":[{\"name\":\"writer\",\"max_conns\":200,"
		"\"inference_engine\":{\"slots\":8,\"kv_capacity\":90000}},"
		"{\"name\":\"desk\",\"max_conns\":200}],\"limits\":{"
		"\"max_header_bytes\":16384,\"max_body_bytes\":65536,"
		"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
		"\"tenants\":[{\"name\":\"team\",\"api_keys\":[\"key\"]}]}");
	f.body = text->str;
	ok = fetch_run(&f) && f.status == HTTP_OK;
	free(f.text);
	return ok;
}

static bool start_store(play_t *p)
{
	g_autofree char *listen =
		g_strdup_printf("127.%d.0.1:%d", p->net, STORE_PORT);
	const char *const args[] = { "--listen", listen, NULL };

	return process_start_standin(&p->store, "standin-store", args);
}

/* Says what the daemon's shim cuts; see tests/shim/partition.c. */
static bool set_cut(const play_t *p, const node_t *n, const char *how)
{
	g_autofree char *path =
		g_strdup_printf("%s/%s.json.cut", p->dir, n->ip);

	return g_file_set_contents(path, how, -1, NULL);
}

static bool is_cut_off(const play_t *p, int daemon)
{
	return daemon >= p->n_daemons - p->n_tunnels;
}

/* Each start of a daemon takes the other of two builds. */
static char *choose_papayad(const play_t *p, node_t *n)
{
	const char *dir = p->daemons_of;
	g_autofree char *root = NULL;

	if (p->beside) {
		if (n->runs_beside)
			dir = p->beside;
		n->runs_beside = !n->runs_beside;
	}
	if (!dir)
		return g_strdup("papayad");
	root = g_canonicalize_filename(dir, NULL);
	return g_build_filename(root, "papayad", NULL);
}

static bool start_daemon(play_t *p, node_t *n)
{
	g_autofree char *papayad = choose_papayad(p, n);
	g_autofree char *settings =
		g_strdup_printf("%s/%s.json", p->dir, n->ip);
	g_autofree char *log = g_strdup_printf("%s/%s.log", p->dir, n->ip);
	g_autofree char *text = g_strdup_printf(
		"{\"name\":\"%s\",\"zone\":\"z%d\",\"zones\":[%s],"
		"\"fleet\":true,\"tunnel_port_offset\":9,"
		"\"listen\":\"%s:%d\","
		"\"ready_listen\":\"%s:8003\",\"peer_listen\":\"%s:8001\","
		"\"admin_listen\":\"%s:8002\",\"platform\":\"%s\","
		"\"seed_addresses\":[\"%s:%d\"],"
		"\"peer_secret\":\"a secret of the streams' test\","
		"\"operator_token\":\"a token of the streams' test\","
		"\"heartbeat_ms\":600,\"heartbeat_timeout_ms\":2500,"
		"\"connect_timeout_ms\":400,\"platform_timeout_ms\":800,"
		"\"retry_ratio\":%g,\"retry_slack\":%d,"
		"\"retry_window_ms\":%d,\"load_poll_ms\":0,\"drain_ms\":%d}\n",
		n->ip, n->zone,
		p->n_zones == ZONES ? "\"z0\",\"z1\"" : "\"z0\",\"z1\",\"z2\"",
		n->ip, STREAM_CALLER_PORT, n->ip, n->ip, n->ip,
		p->store.address, p->daemons[0].ip, STREAM_CALLER_PORT,
		RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW_MS, DRAIN_MS);
	const char *const args[] = { settings, NULL };

	return g_file_set_contents(settings, text, -1, NULL) &&
	       process_start(&n->process, papayad, args, log, false);
}

static void start_runner(play_t *p, int i)
{
	stream_runner_t *r = &p->runners[i];

	bool is_far = p->n_tunnels && (!p->has_near || i % 2);

	g_snprintf(r->ip, sizeof(r->ip), "127.%d.%d.%d", p->net,
		   is_far ? FAR_BLOCK : 1 + i % p->n_zones, 100 + i);
	g_snprintf(r->zone, sizeof(r->zone), "z%d", i % p->n_zones);
	r->service = i < WRITERS ? "writer" : "desk";
	r->store = p->store.address;
	r->faults = &p->faults;
	r->ledger = i < WRITERS ? &p->writer : &p->desk;
	stream_runner_start(r, i / p->n_zones % 2 && !p->plays_releases ? "2" :
									  "1");
}

static bool is_ready(const node_t *n)
{
	g_autofree char *address =
		g_strdup_printf("%s:%d", n->ip, STREAM_CALLER_PORT);
	const http_header_t headers[] = { { "Host", "h" },
					  { HEADER_ATTEMPT_ID, "probe" },
					  { HEADER_DEADLINE, "1000" },
					  { HEADER_API_KEY, "key" } };
	fetch_t f = { .method = EVHTTP_REQ_GET,
		      .address = address,
		      .path = "/plain/probe",
		      .headers = headers,
		      .n_headers = G_N_ELEMENTS(headers),
		      .timeout_ms = 1000 };
	bool ok = fetch_run(&f) && f.status == HTTP_OK;

	free(f.text);
	return ok;
}

static bool start_all(play_t *p)
{
	int64_t give_up;

	p->net = cluster_claim_net(&p->lock);
	if (!p->net || !start_store(p) || !publish(p))
		return false;
	for (int i = 0; i < RUNNERS; i++)
		start_runner(p, i);
	for (int i = 0; i < p->n_daemons; i++) {
		node_t *n = &p->daemons[i];

		n->zone = i % p->n_zones;
		/* In each zone both builds. */
		n->runs_beside = i / p->n_zones % 2;
		g_snprintf(n->ip, sizeof(n->ip), "127.%d.%d.%d", p->net,
			   1 + n->zone, 10 + i);
		if (is_cut_off(p, i) && !set_cut(p, n, "rx"))
			return false;
	}
	for (int i = 0; i < p->n_daemons; i++)
		if (!start_daemon(p, &p->daemons[i]))
			return false;
	give_up = now_ms() + READY_MS;
	for (int i = 0; i < p->n_daemons;) {
		i += is_ready(&p->daemons[i]);
		if (now_ms() > give_up)
			return false;
	}
	return true;
}

static void note_pause(play_t *p)
{
	retry_ledger_on_pause(&p->writer, now_ms());
	retry_ledger_on_pause(&p->desk, now_ms());
}

static void pause_daemon(play_t *p, const node_t *n)
{
	process_signal(&n->process, SIGSTOP);
	sleep_ms(g_random_int_range(300, 3000));
	note_pause(p);
	process_signal(&n->process, SIGCONT);
}

/* A daemon is killed, told to stop, or stands still; then it serves again. */
static void disturb(play_t *p, node_t *n)
{
	switch (g_random_int_range(0, 3)) {
	case 0:
		process_kill(&n->process);
		break;
	case 1:
		pause_daemon(p, n);
		return;
	default:
		process_stop(&n->process, STOP_MS);
		break;
	}
	sleep_ms(g_random_int_range(100, 600));
	start_daemon(p, n);
}

static void disturb_daemon(play_t *p)
{
	node_t *n = &p->daemons[g_random_int_range(0, p->n_daemons)];

	if (!g_mutex_trylock(&n->lock))
		return;
	disturb(p, n);
	g_mutex_unlock(&n->lock);
}

/* Half of the daemons are killed, come back, and are killed again. */
static void restart_in_series(play_t *p)
{
	int first = g_random_int_range(0, p->n_daemons);

	for (int round = 0; round < SERIES_ROUNDS; round++) {
		for (int i = 0; i < (p->n_daemons + 1) / 2; i++) {
			node_t *n = &p->daemons[(first + i) % p->n_daemons];

			g_mutex_lock(&n->lock);
			process_kill(&n->process);
			start_daemon(p, n);
			g_mutex_unlock(&n->lock);
		}
		sleep_ms(g_random_int_range(1500, 3500));
	}
}

/* Beside what disturb_daemons does. */
static void *disturb_further(void *data)
{
	play_t *p = data;

	while (now_ms() < p->until_ms) {
		sleep_ms(g_random_int_range(500, 3000));
		disturb_daemon(p);
	}
	return NULL;
}

static void *disturb_daemons(void *data)
{
	play_t *p = data;

	while (now_ms() < p->until_ms && !p->spares_daemons) {
		sleep_ms(g_random_int_range(500, 3000));
		if (p->plays_series)
			restart_in_series(p);
		else
			disturb_daemon(p);
	}
	return NULL;
}

/* Runners leave or crash, and others of the other release take their place. */
static void *replace_runners(void *data)
{
	play_t *p = data;

	while (now_ms() < p->until_ms) {
		stream_runner_t *r =
			&p->runners[g_random_int_range(0, RUNNERS)];
		char other = r->release[0] == '1' ? '2' : '1';
		const char release[] = { other, '\0' };

		sleep_ms(g_random_int_range(1000, 4000));
		if (g_random_int_range(0, 3))
			stream_runner_leave(r, LEAVE_MS);
		else
			stream_runner_stop(r);
		stream_runner_start(r, release);
	}
	return NULL;
}

/*
 * A new release of the writers joins while one daemon stands still. Callers'
 * requests wait in its sockets meanwhile, take-ups of streams among them that
 * began on the new release.
 */
static void release_behind(play_t *p, node_t *n, const char *release)
{
	process_signal(&n->process, SIGSTOP);
	for (int i = 0; i < WRITERS / 2; i++) {
		stream_runner_stop(&p->runners[i]);
		stream_runner_start(&p->runners[i], release);
	}
	sleep_ms(g_random_int_range(700, 2400));
	note_pause(p);
	process_signal(&n->process, SIGCONT);
	sleep_ms(1500);
	for (int i = WRITERS / 2; i < WRITERS; i++) {
		stream_runner_stop(&p->runners[i]);
		stream_runner_start(&p->runners[i], release);
	}
}

/* Cuts the last zone off from the others and the store, or ends that. */
static void cut_zone(play_t *p, bool is_cut)
{
	const char how[] = { is_cut ? 'z' : 'n', (char)('0' + p->n_zones),
			     '\0' };

	for (int i = 0; i < p->n_daemons; i++)
		set_cut(p, &p->daemons[i], how);
}

/* Starts the writers inside or outside of the last zone as a release. */
static void replace_writers(play_t *p, bool is_inside, const char *release)
{
	for (int i = 0; i < WRITERS; i++) {
		if ((i % p->n_zones == p->n_zones - 1) != is_inside)
			continue;
		stream_runner_stop(&p->runners[i]);
		stream_runner_start(&p->runners[i], release);
	}
}

/*
 * A new release of the writers joins outside of a zone that is cut off. Streams
 * that began there are taken up in it, where it isn't known.
 */
static void release_outside(play_t *p, const char *release)
{
	cut_zone(p, true);
	sleep_ms(CUT_SETTLE_MS);
	replace_writers(p, false, release);
	sleep_ms(CUT_MS);
	cut_zone(p, false);
	sleep_ms(CUT_SETTLE_MS);
	replace_writers(p, true, release);
}

static void *play_releases(void *data)
{
	play_t *p = data;

	for (int i = 0; now_ms() < p->until_ms; i++) {
		/* Longer than a stream may last: one release is known. */
		sleep_ms(SETTLE_MS);
		if (p->cuts_zone)
			release_outside(p, i % 2 ? "1" : "2");
		else
			release_behind(p, &p->daemons[i % p->n_daemons],
				       i % 2 ? "1" : "2");
	}
	return NULL;
}

static void *disturb_store(void *data)
{
	play_t *p = data;

	while (now_ms() < p->until_ms) {
		sleep_ms(g_random_int_range(3000, 8000));
		publish(p);
		sleep_ms(g_random_int_range(500, 3000));
		fetch_set_faults(p->store.address, "{\"outage\":true}");
		sleep_ms(g_random_int_range(500, 4000));
		fetch_set_faults(p->store.address, "{\"outage\":false}");
	}
	return NULL;
}

/* Cuts come, go, and treat open connections in other ways. */
static void *change_cuts(void *data)
{
	static const char *const ways[] = { "rx", "rl", "rs", "nl" };
	play_t *p = data;

	while (now_ms() < p->until_ms) {
		int k = g_random_int_range(p->n_daemons - p->n_tunnels,
					   p->n_daemons);

		sleep_ms(g_random_int_range(1000, 4000));
		set_cut(p, &p->daemons[k],
			ways[g_random_int_range(0, G_N_ELEMENTS(ways))]);
	}
	return NULL;
}

static void run_all(play_t *p, int n_callers)
{
	GThread *callers[MAX_CALLERS];
	GThread *others[3] = { NULL };
	GThread *cuts = NULL;
	GThread *further[MAX_DISTURBERS] = { NULL };

	if (p->plays_releases) {
		others[0] = g_thread_new("releases", play_releases, p);
	} else {
		others[0] = g_thread_new("daemons", disturb_daemons, p);
		others[1] = g_thread_new("runners", replace_runners, p);
		others[2] = g_thread_new("store", disturb_store, p);
	}
	for (int i = 0; i < p->n_disturbers; i++)
		further[i] = g_thread_new("further", disturb_further, p);
	if (p->n_tunnels)
		cuts = g_thread_new("cuts", change_cuts, p);

	for (int i = 0; i < n_callers; i++) {
		stream_caller_t *c = &p->callers[i];

		for (int k = 0; k < p->n_daemons; k++)
			g_strlcpy(c->daemons[k], p->daemons[k].ip,
				  sizeof(c->daemons[k]));
		c->n_daemons = p->n_daemons;
		c->number = i;
		c->keeps_connections = p->keeps_connections;
		c->no_deadline = p->no_deadline;
		c->until_ms = p->until_ms;
		c->results = &p->results;
		c->writer = &p->writer;
		c->desk = &p->desk;
		callers[i] = g_thread_new("caller", stream_caller_run, c);
	}
	for (int i = 0; i < n_callers; i++)
		g_thread_join(callers[i]);
	for (size_t i = 0; i < G_N_ELEMENTS(others) && others[i]; i++)
		g_thread_join(others[i]);
	for (int i = 0; i < p->n_disturbers; i++)
		g_thread_join(further[i]);
	if (cuts)
		g_thread_join(cuts);
}

static void stop_all(play_t *p)
{
	for (int i = 0; i < p->n_daemons; i++)
		process_kill(&p->daemons[i].process);
	for (int i = 0; i < RUNNERS; i++)
		if (p->runners[i].listener > 0)
			stream_runner_stop(&p->runners[i]);
	process_stop(&p->store, STOP_MS);
	close(p->lock);
}

/* Prints the counts of a service; returns the number of broken rules. */
static int report_budget(const char *service, const retry_ledger_t *l)
{
	retry_window_t w = retry_ledger_worst(l, RETRY_WINDOW_MS, RETRY_RATIO,
					      RETRY_SLACK);
	int beyond = retry_ledger_count_beyond(l, MAX_ATTEMPTS);

	printf("%s: requests=%u arrivals=%d repeats=%u worst_window=%d "
	       "allowed=%.1f beyond_attempts=%d late_deadlines=%d\n",
	       service, l->requests->len, l->n_arrivals, l->repeats->len,
	       w.repeats, w.allowed, beyond, l->n_late_deadlines);
	return (w.repeats > w.allowed) + (beyond > MAX_BEYOND) +
	       (l->n_late_deadlines > MAX_LATE_DEADLINES);
}

static int report(const play_t *p)
{
	const stream_results_t *r = &p->results;
	int broken = r->out_of_order + r->joined + r->cut_short + r->mixed;

	printf("streams=%d whole=%d taken_up=%d plain=%d plain_whole=%d "
	       "order=%d joined=%d cut_short=%d mixed=%d\n",
	       r->streams, r->whole, r->taken_up, r->plain, r->plain_whole,
	       r->out_of_order, r->joined, r->cut_short, r->mixed);
	broken += report_budget("writer", &p->writer);
	broken += report_budget("desk", &p->desk);
	return broken;
}

static bool run_play(play_t *p, double seconds, int n_callers)
{
	g_autofree char *log = NULL;
	bool is_ok;

	p->dir = g_dir_make_tmp("papaya-streams-XXXXXX", NULL);
	log = g_build_filename(p->dir, "findings", NULL);
	p->results.log = fopen(log, "w");
	g_mutex_init(&p->results.lock);
	retry_ledger_init(&p->writer);
	retry_ledger_init(&p->desk);
	is_ok = start_all(p);
	if (is_ok) {
		p->until_ms = now_ms() + (int64_t)(seconds * 1000);
		run_all(p, n_callers);
	} else {
		fprintf(stderr, "streams: a process did not start\n");
	}
	stop_all(p);
	fclose(p->results.log);
	is_ok = is_ok && !report(p);
	if (is_ok && !p->keeps_logs)
		run_dir_remove(p->dir);
	else
		printf("logs: %s\n", p->dir);
	return is_ok;
}

int main(int argc, char **argv)
{
	static play_t play;
	double seconds = 30, callers = 24, seed = 1;
	double cuts = 20, failures = 8, plain_failures = 30;
	double daemons = DAEMONS, no_deadline = 0, zones = ZONES, tunnels = 0;
	double disturbers = 0;
	double first_failures = 0, no_length = 0;
	double second_answers = 0, late_copies = 0;
	bool ends_kept = false;
	const arg_row_t rows[] = {
		{ "seconds", ARG_NUMBER, &seconds, "how long callers send" },
		{ "callers", ARG_NUMBER, &callers, "at once, 64 at most" },
		{ "seed", ARG_NUMBER, &seed, "of the faults" },
		{ "cuts", ARG_NUMBER, &cuts, "of 100 streams, by runners" },
		{ "failures", ARG_NUMBER, &failures,
		  "of 100 streams refused, failed or reset" },
		{ "plain-failures", ARG_NUMBER, &plain_failures,
		  "of 100 plain requests" },
		{ "daemons", ARG_NUMBER, &daemons, "16 at most" },
		{ "no-deadline", ARG_NUMBER, &no_deadline,
		  "of 100 requests, those that state no deadline" },
		{ "zones", ARG_NUMBER, &zones, "2 or 3" },
		{ "first-failures", ARG_NUMBER, &first_failures,
		  "of 100 streams, those refused, spoilt, or reset after the "
		  "head of the answer, at their first runner" },
		{ "no-length", ARG_NUMBER, &no_length,
		  "of 100 streams, those that end with their connection" },
		{ "second-answers", ARG_NUMBER, &second_answers,
		  "of 100 whole answers, those sent twice" },
		{ "late-copies", ARG_NUMBER, &late_copies,
		  "of 100 whole answers, those sent again before the next" },
		{ "disturbers", ARG_NUMBER, &disturbers,
		  "further faults of daemons at a time, 8 at most" },
		{ "tunnels", ARG_NUMBER, &tunnels,
		  "daemons that reach runners only through other daemons" },
		{ "tunnels-some", ARG_FLAG, &play.has_near,
		  "they reach every second runner all the same" },
		{ "keep-connections", ARG_FLAG, &play.keeps_connections,
		  "callers use one to each daemon as long as they can" },
		{ "cut-zone", ARG_FLAG, &play.cuts_zone,
		  "with --releases: they join outside of a zone that is cut "
		  "off, in place of a daemon that stands still" },
		{ "end-kept", ARG_FLAG, &ends_kept,
		  "kept connections end with their runner, as those of a "
		  "process do" },
		{ "keep-logs", ARG_FLAG, &play.keeps_logs,
		  "also of a play without findings" },
		{ "series", ARG_FLAG, &play.plays_series,
		  "half of the daemons are killed at once, again and again" },
		{ "releases", ARG_FLAG, &play.plays_releases,
		  "new releases join while a daemon stands still; no other "
		  "fault of daemons, runners' entries or the store" },
		{ "daemons-of", ARG_TEXT, &play.daemons_of,
		  "folder of the papayad that the daemons run" },
		{ "beside", ARG_TEXT, &play.beside,
		  "folder of another papayad; each start of a daemon runs the "
		  "other one" },
		{ "spare-daemons", ARG_FLAG, &play.spares_daemons,
		  "daemons are neither killed nor stopped" },
	};
	g_autofree char *shim = NULL;
	bool is_ok;

	signal(SIGPIPE, SIG_IGN);
	args_read(argc, argv, rows, G_N_ELEMENTS(rows));
	g_random_set_seed((guint32)seed);
	play.faults = (stream_faults_t){
		.cuts = (int)cuts,
		.failures = (int)failures,
		.plain_failures = (int)plain_failures,
		.first_failures = (int)first_failures,
		.no_length = (int)no_length,
		.second_answers = (int)second_answers,
		.late_copies = (int)late_copies,
		.ends_kept = ends_kept,
	};
	play.n_zones = CLAMP((int)zones, ZONES, MAX_ZONES);
	play.n_daemons = CLAMP((int)daemons, 1, STREAM_MAX_DAEMONS);
	play.n_disturbers = CLAMP((int)disturbers, 0, MAX_DISTURBERS);
	play.n_tunnels = CLAMP((int)tunnels, 0, play.n_daemons - 1);
	play.no_deadline = (int)no_deadline;
	if (play.n_tunnels || play.cuts_zone) {
		shim = g_build_filename(process_build_dir(), "tests",
					"libpartition.so", NULL);
		g_setenv("LD_PRELOAD", shim, TRUE);
	}
	is_ok = run_play(&play, seconds, MIN((int)callers, MAX_CALLERS));
	printf("%d passed, %d failed\n", is_ok, !is_ok);
	return is_ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
