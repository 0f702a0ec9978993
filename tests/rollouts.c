/*
 * Roll-outs over real daemons, runners and the store's stand-in: a good release
 * is completed and a bad one reverted in time, in calm, and while the conductor
 * is killed or stands still, the store is away or loses answers, and all
 * daemons restart. Checks from outside that the target gets no more than its
 * share of the requests before it is found good, nothing some time after many
 * bad answers, and that no request is lost at the completion, when the runners
 * of the other release stop at once.
 *
 * Prints a line for each story, and "N passed, N failed"; logs stay in a folder
 * when a story failed.
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

#define EXPOSURE 0.1

enum {
	DAEMONS = 3,
	RUNNERS = 4, /* of each release */
	CALLERS = 16,
	EXPOSURE_SLACK = 50,
	REVERT_MS = 5000,
	DURATION_S = 12,
	WORK_MS = 40,
	CALLER_PORT = 8000,
	STORE_PORT = 7000,
	RUNNER_PORT = 9000,
	READY_MS = 15000,
	STOP_MS = 3000,
	BEGIN_MS = 2500, /* of traffic before the order */
	MIN_TRIED = 100, /* runs of a good target before its completion */
	TEXT = 64, /* bytes of an address */
	/* Callers of killed daemons, and connections that are cut. */
	MAX_LOST_SHARE = 50, /* one in so many, in calm none */
};

/* What is done to a roll-out, so many ms after the order. */
typedef struct story {
	const char *name;
	const char *switches; /* of the target's runners; NULL: it is good */
	int64_t kill_at; /* the conductor; 0: never */
	int64_t pause_at; /* the conductor stands still for 3 s */
	int64_t away_at, back_at; /* the store */
	int lose_answers; /* of the store, from the order on */
	int64_t restart_at; /* all daemons are killed and started again */
} story_t;

static const int64_t ms_per_s = 1000;

static const story_t stories[] = {
	{ .name = "good" },
	{ .name = "fails", .switches = "{\"fail_share\":0.3}" },
	{ .name = "slow", .switches = "{\"slow_share\":0.5}" },
	{ .name = "good, conductor killed", .kill_at = 3000 },
	{ .name = "good, conductor killed while moving", .kill_at = 7600 },
	{ .name = "fails, conductor killed",
	  .switches = "{\"fail_share\":0.3}",
	  .kill_at = 800 },
	{ .name = "good, conductor stands still", .pause_at = 3000 },
	{ .name = "good, store away", .away_at = 2000, .back_at = 4500 },
	{ .name = "fails, store away",
	  .switches = "{\"fail_share\":0.2}",
	  .away_at = 700,
	  .back_at = 4000 },
	{ .name = "good, answers lost", .lose_answers = 6 },
	{ .name = "good, all restart", .restart_at = 2500 },
	{ .name = "slow, all restart",
	  .switches = "{\"slow_share\":0.5}",
	  .restart_at = 1500 },
};

typedef struct node {
	process_t process;
	char ip[TEXT];
	char address[TEXT];
} node_t;

typedef struct play {
	const story_t *story;
	char *dir;
	int net, lock;
	process_t store;
	node_t daemons[DAEMONS];
	node_t old[RUNNERS], target[RUNNERS];
	gint is_over; /* callers end */
	gint n_sent, n_served, n_failed, n_lost, n_refused;
	gint n_sent_in_window; /* between the order and its end */
	gint in_window;
	int64_t ordered_at;
	char state[16]; /* of the roll-out, in the store */
	int64_t decided_at;
	int exposed; /* runs of the target before the decision */
	int after; /* runs of a reverted target, REVERT_MS later */
} play_t;

static int64_t now_ms(void)
{
	return g_get_monotonic_time() / 1000;
}

static void sleep_ms(int64_t ms)
{
	g_usleep((gulong)MAX(ms, 0) * 1000);
}

static bool put(const play_t *p, const char *key, const char *value)
{
	g_autofree char *path = g_strdup_printf(
		"/standin/put?topic=" TOPIC_OPERATOR "&key=%s", key);
	fetch_t f = { .method = EVHTTP_REQ_POST,
		      .address = p->store.address,
		      .path = path,
		      .body = value };
	bool ok = fetch_run(&f) && f.status == HTTP_OK;

	free(f.text);
	return ok;
}

static bool publish(const play_t *p)
{
	return put(p, KEY_CONFIG,
		   "{\"version\":1,\"routes\":[{\"name\":\"r1\",\"host\":\"h\","
		   "\"path_prefix\":\"/a/\",\"route_type\":\"safe\","
		   "\"timeout_ms\":4000,\"latency_target_ms\":800,"
		   "\"priority\":1,\"service\":\"desk\",\"max_attempts\":2}],"
		   "\"services\":[{\"name\":\"desk\",\"max_conns\":400}],"
		   "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":"
		   "65536,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}"
		   "}");
}

static bool start_store(play_t *p)
{
	g_autofree char *listen =
		g_strdup_printf("127.%d.0.1:%d", p->net, STORE_PORT);
	const char *const args[] = { "--listen", listen, NULL };

	return process_start_standin(&p->store, "standin-store", args);
}

static bool start_daemon(play_t *p, int i)
{
	node_t *n = &p->daemons[i];
	g_autofree char *settings =
		g_strdup_printf("%s/%s.json", p->dir, n->ip);
	g_autofree char *log = g_strdup_printf("%s/%s.log", p->dir, n->ip);
	g_autofree char *text = g_strdup_printf(
		"{\"name\":\"%s\",\"zone\":\"z%d\",\"zones\":[\"z0\",\"z1\"],"
		"\"fleet\":true,\"listen\":\"%s\","
		"\"ready_listen\":\"%s:8003\",\"peer_listen\":\"%s:8001\","
		"\"admin_listen\":\"%s:8002\",\"platform\":\"%s\","
		"\"seed_addresses\":[\"%s:8000\"],"
		"\"peer_secret\":\"a secret of the roll-outs' test\","
		"\"operator_token\":\"a token of the roll-outs' test\","
		"\"heartbeat_ms\":600,\"heartbeat_timeout_ms\":2500,"
		"\"connect_timeout_ms\":400,\"platform_timeout_ms\":800,"
		"\"rollouts\":true,\"rollout_exposure\":%g,"
		"\"rollout_exposure_slack\":%d,\"load_poll_ms\":0}\n",
		n->ip, i % 2, n->address, n->ip, n->ip, n->ip, p->store.address,
		p->daemons[0].ip, EXPOSURE, EXPOSURE_SLACK);
	const char *const args[] = { settings, NULL };

	/* Replacing a file waits for the disk. */
	return (g_file_test(settings, G_FILE_TEST_EXISTS) ||
		g_file_set_contents(settings, text, -1, NULL)) &&
	       process_start(&n->process, "papayad", args, log, false);
}

static bool start_runner(play_t *p, node_t *n, int i, const char *release)
{
	g_autofree char *id = g_strdup_printf("runner-%s-%d", release, i);
	g_autofree char *zone = g_strdup_printf("z%d", i % 2);
	g_autofree char *work = g_strdup_printf("%d", WORK_MS);
	const char *const args[] = { "--listen", n->address,  "--advertise",
				     n->address, "--store",   p->store.address,
				     "--id",	 id,	      "--zone",
				     zone,	 "--release", release,
				     "--slots",	 "8",	      "--work-ms",
				     work,	 NULL };

	return process_start_standin(&n->process, "standin-runner", args);
}

static void name_runners(play_t *p)
{
	for (int i = 0; i < RUNNERS; i++) {
		g_snprintf(p->old[i].address, TEXT, "127.%d.2.%d:%d", p->net,
			   10 + i, RUNNER_PORT);
		g_snprintf(p->target[i].address, TEXT, "127.%d.2.%d:%d", p->net,
			   50 + i, RUNNER_PORT);
	}
}

static int count_runs(const node_t *runners)
{
	int n = 0;

	for (int i = 0; i < RUNNERS; i++) {
		json_t *root;

		if (!runners[i].process.pid)
			continue;
		root = fetch_json(runners[i].address, "/standin/oracle");
		n += (int)json_integer_value(json_object_get(root, "runs"));
		json_decref(root);
	}
	return n;
}

static int send_call(play_t *p, GRand *rand, const char *id)
{
	const node_t *n = &p->daemons[g_rand_int_range(rand, 0, DAEMONS)];
	const http_header_t headers[] = { { "Host", "h" },
					  { HEADER_ATTEMPT_ID, id },
					  { HEADER_DEADLINE, "3000" } };
	fetch_t f = { .method = EVHTTP_REQ_GET,
		      .address = n->address,
		      .path = "/a/x",
		      .headers = headers,
		      .n_headers = G_N_ELEMENTS(headers),
		      .timeout_ms = 4000 };
	int status;

	fetch_run(&f);
	status = f.is_whole ? f.status : 0;
	free(f.text);
	return status;
}

static void count_answer(play_t *p, int status)
{
	gint *count = &p->n_lost;

	if (status == HTTP_OK)
		count = &p->n_served;
	else if (status == HTTP_INTERNAL)
		count = &p->n_failed;
	else if (status == HTTP_SERVUNAVAIL)
		count = &p->n_refused;
	g_atomic_int_inc(count);
}

static void *run_caller(void *data)
{
	play_t *p = data;
	g_autoptr(GRand) rand = g_rand_new();

	while (!g_atomic_int_get(&p->is_over)) {
		g_autofree char *id = g_strdup_printf(
			"%08x%08x", g_rand_int(rand), g_rand_int(rand));
		int status;

		g_atomic_int_inc(&p->n_sent);
		if (g_atomic_int_get(&p->in_window))
			g_atomic_int_inc(&p->n_sent_in_window);
		status = send_call(p, rand, id);
		count_answer(p, status);
		sleep_ms(status == HTTP_OK ? 5 : 60);
	}
	return NULL;
}

static bool await_ready(play_t *p)
{
	int64_t give_up = now_ms() + READY_MS;
	g_autoptr(GRand) rand = g_rand_new();
	int ok = 0;

	while (ok < 4 * DAEMONS && now_ms() < give_up) {
		if (send_call(p, rand, "ready") == HTTP_OK)
			ok++;
		else
			sleep_ms(100);
	}
	return ok >= 4 * DAEMONS;
}

static bool start_all(play_t *p)
{
	p->net = cluster_claim_net(&p->lock);
	if (!p->net || !start_store(p) || !publish(p))
		return false;
	for (int i = 0; i < DAEMONS; i++) {
		node_t *n = &p->daemons[i];

		g_snprintf(n->ip, sizeof(n->ip), "127.%d.1.%d", p->net, 10 + i);
		g_snprintf(n->address, sizeof(n->address), "%s:%d", n->ip,
			   CALLER_PORT);
	}
	name_runners(p);
	for (int i = 0; i < RUNNERS; i++)
		if (!start_runner(p, &p->old[i], i, "1"))
			return false;
	for (int i = 0; i < DAEMONS; i++)
		if (!start_daemon(p, i))
			return false;
	return await_ready(p);
}

/* Reads the roll-out's state from the store. */
static void read_state(play_t *p)
{
	json_t *root = fetch_json(p->store.address,
				  "/log-newest?topic=" TOPIC_STATUS "&part=0");
	const json_t *entry =
		json_array_get(json_object_get(root, "entries"), 0);
	const char *value = json_string_value(json_object_get(entry, "value"));
	g_autofree guchar *text = NULL;
	json_t *status;
	gsize len;

	if (!value) {
		json_decref(root);
		return;
	}
	text = g_base64_decode(value, &len);
	status = json_loadb((char *)text, len, 0, NULL);
	g_strlcpy(p->state,
		  json_string_value(json_object_get(status, "state")) ?: "",
		  sizeof(p->state));
	json_decref(status);
	json_decref(root);
}

static bool is_decided(const play_t *p)
{
	return !strcmp(p->state, "completed") || !strcmp(p->state, "reverted");
}

/* The daemon that says last in its log that it conducts. */
static int find_conductor(const play_t *p)
{
	int found = 0;

	for (int i = 0; i < DAEMONS; i++) {
		g_autofree char *log =
			g_strdup_printf("%s/%s.log", p->dir, p->daemons[i].ip);
		g_autofree char *text = NULL;
		const char *yes, *no;

		if (!g_file_get_contents(log, &text, NULL, NULL))
			continue;
		yes = g_strrstr(text, "conducts=yes");
		no = g_strrstr(text, "conducts=no");
		if (yes && (!no || no < yes))
			found = i;
	}
	return found;
}

static void restart_all(play_t *p)
{
	for (int i = 0; i < DAEMONS; i++)
		process_kill(&p->daemons[i].process);
	for (int i = 0; i < DAEMONS; i++)
		start_daemon(p, i);
}

/* Does what is due between two ages of the roll-out. */
static void disturb(play_t *p, int64_t from, int64_t to)
{
	const story_t *s = p->story;
	int i = find_conductor(p);

	if (s->kill_at > from && s->kill_at <= to) {
		process_kill(&p->daemons[i].process);
		start_daemon(p, i);
	}
	if (s->pause_at > from && s->pause_at <= to)
		process_signal(&p->daemons[i].process, SIGSTOP);
	if (s->pause_at && s->pause_at + 3000 > from &&
	    s->pause_at + 3000 <= to)
		for (int k = 0; k < DAEMONS; k++)
			process_signal(&p->daemons[k].process, SIGCONT);
	if (s->away_at > from && s->away_at <= to)
		fetch_set_faults(p->store.address, "{\"outage\":true}");
	if (s->back_at > from && s->back_at <= to)
		fetch_set_faults(p->store.address, "{\"outage\":false}");
	if (s->restart_at > from && s->restart_at <= to)
		restart_all(p);
}

static bool order(play_t *p)
{
	g_autofree char *text = g_strdup_printf(
		"{\"service\":\"desk\",\"target\":\"2\",\"duration_s\":%d}",
		DURATION_S);
	g_autofree char *lost = g_strdup_printf("{\"lose_answers\":%d}",
						p->story->lose_answers);

	if (p->story->lose_answers)
		fetch_set_faults(p->store.address, lost);
	if (!put(p, KEY_ROLLOUT_PREFIX "desk", text))
		return false;
	p->ordered_at = now_ms();
	g_atomic_int_set(&p->in_window, 1);
	for (int i = 0; i < RUNNERS; i++) {
		if (!start_runner(p, &p->target[i], i, "2"))
			return false;
		if (p->story->switches)
			fetch_set_faults(p->target[i].address,
					 p->story->switches);
	}
	return true;
}

/* At the completion the other release's runners stop without a word. */
static void stop_old(play_t *p)
{
	for (int i = 0; i < RUNNERS; i++)
		process_kill(&p->old[i].process);
}

static void follow(play_t *p)
{
	int64_t age = 0, before;

	while (age < (DURATION_S + 1) * ms_per_s) {
		before = age;
		sleep_ms(50);
		age = now_ms() - p->ordered_at;
		disturb(p, before, age);
		if (is_decided(p))
			continue;
		read_state(p);
		if (!is_decided(p))
			continue;
		p->decided_at = age;
		p->exposed = count_runs(p->target);
		if (!strcmp(p->state, "completed"))
			stop_old(p);
	}
	g_atomic_int_set(&p->in_window, 0);
}

/* A reverted target gets nothing more. */
static void check_reverted(play_t *p)
{
	int64_t quiet_at = p->ordered_at + p->decided_at + REVERT_MS;
	int runs;

	if (strcmp(p->state, "reverted") != 0)
		return;
	sleep_ms(quiet_at - now_ms());
	runs = count_runs(p->target);
	sleep_ms(ms_per_s);
	p->after = count_runs(p->target) - runs;
}

static void stop_all(play_t *p)
{
	for (int i = 0; i < DAEMONS; i++)
		process_kill(&p->daemons[i].process);
	for (int i = 0; i < RUNNERS; i++) {
		process_stop(&p->old[i].process, STOP_MS);
		process_stop(&p->target[i].process, STOP_MS);
	}
	process_stop(&p->store, STOP_MS);
	close(p->lock);
}

static bool is_disturbed(const story_t *s)
{
	return s->kill_at || s->pause_at || s->restart_at;
}

static bool check(const play_t *p)
{
	bool is_bad = p->story->switches != NULL;
	double most = EXPOSURE * p->n_sent_in_window + EXPOSURE_SLACK;
	int most_lost = is_disturbed(p->story) ? p->n_sent / MAX_LOST_SHARE : 0;
	bool ok = !strcmp(p->state, is_bad ? "reverted" : "completed") &&
		  p->decided_at <= DURATION_S * ms_per_s &&
		  (is_bad ? p->exposed <= most : p->exposed >= MIN_TRIED) &&
		  !p->after && p->n_lost <= most_lost;

	printf("%s %s: %s after %d ms, sent=%d in_window=%d exposed=%d "
	       "most=%.0f after=%d served=%d failed=%d refused=%d lost=%d\n",
	       ok ? "ok" : "FAILED", p->story->name,
	       p->state[0] ? p->state : "no state", (int)p->decided_at,
	       p->n_sent, p->n_sent_in_window, p->exposed, most, p->after,
	       p->n_served, p->n_failed, p->n_refused, p->n_lost);
	fflush(stdout);
	return ok;
}

static bool run_story(const story_t *story)
{
	play_t p = { .story = story, .state = "" };
	GThread *callers[CALLERS];
	bool ok;

	p.dir = g_dir_make_tmp("papaya-rollouts-XXXXXX", NULL);
	ok = start_all(&p);
	for (int i = 0; ok && i < CALLERS; i++)
		callers[i] = g_thread_new("caller", run_caller, &p);
	if (ok) {
		sleep_ms(BEGIN_MS);
		ok = order(&p);
		follow(&p);
		check_reverted(&p);
		g_atomic_int_set(&p.is_over, 1);
		for (int i = 0; i < CALLERS; i++)
			g_thread_join(callers[i]);
		ok = check(&p) && ok;
	} else {
		printf("FAILED %s: a process did not start\n", story->name);
	}
	stop_all(&p);
	if (ok)
		run_dir_remove(p.dir);
	else
		printf("logs: %s\n", p.dir);
	g_free(p.dir);
	return ok;
}

int main(int argc, char **argv)
{
	const char *only = NULL;
	int n_passed = 0, n_failed = 0;
	const arg_row_t rows[] = {
		{ "only", ARG_TEXT, &only, "the name of one story" },
	};

	signal(SIGPIPE, SIG_IGN);
	args_read(argc, argv, rows, G_N_ELEMENTS(rows));
	for (size_t i = 0; i < G_N_ELEMENTS(stories); i++) {
		if (only && strcmp(only, stories[i].name) != 0)
			continue;
		if (run_story(&stories[i]))
			n_passed++;
		else
			n_failed++;
	}
	printf("%d passed, %d failed\n", n_passed, n_failed);
	return n_failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
