#include "tests/lib_soak_cluster.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "platform/names.h"
#include "standin/lib_fetch.h"
#include "standin/lib_server.h"
#include "tests/lib_cluster.h"
#include "tests/lib_soak_plan.h"

enum {
	STORE_PORT = 7000,
	CALLER_PORT = 8000,
	PEER_PORT = 8001,
	ADMIN_PORT = 8002,
	READY_PORT = 8003,
	RUNNER_PORT = 9000,
	FIRST_DAEMON = 10, /* last byte of the address */
	FIRST_RUNNER = 100,
	RELAY_BLOCK = 9, /* third byte of the relays' addresses */
	READY_MS = 15000, /* limit until all daemons serve requests */
	POLL_US = 50000,
	STOP_MS = 3000,
	PROBE_MS = 1500,
};

int64_t soak_now_ms(void)
{
	return clock_now_us() / 1000;
}

char *soak_path(const soak_cluster_t *s, const char *file)
{
	return g_build_filename(s->dir, file, NULL);
}

void soak_set_state(soak_node_t *n, soak_state_t state)
{
	n->state = state;
	n->since_ms = soak_now_ms();
}

static char *daemon_ip(const soak_cluster_t *s, int i)
{
	return g_strdup_printf("127.%d.%d.%d", s->net, 1 + i % SOAK_ZONES,
			       FIRST_DAEMON + i);
}

static bool write_settings(const soak_cluster_t *s, int i)
{
	const soak_node_t *n = &s->daemons[i];
	g_autofree char *ip = daemon_ip(s, i);
	g_autofree char *seed = daemon_ip(s, 0);
	g_autofree char *other = daemon_ip(s, 1);
	g_autofree char *file = g_strdup_printf("%s.json", n->name);
	g_autofree char *path = soak_path(s, file);
	g_autofree char *text = g_strdup_printf(
		"{\"name\":\"%s\",\"zone\":\"z%d\",\"zones\":[\"z0\",\"z1\"],"
		"\"fleet\":true,\"tunnel_port_offset\":9,"
		"\"listen\":\"%s:%d\",\"ready_listen\":\"%s:%d\","
		"\"peer_listen\":\"%s:%d\",\"admin_listen\":\"%s:%d\","
		"\"platform\":\"%s\","
		"\"seed_addresses\":[\"%s:%d\",\"%s:%d\"],"
		"\"peer_secret\":\"a secret of the soak\","
		"\"operator_token\":\"a token of the soak's operator\","
		"\"heartbeat_ms\":600,\"heartbeat_timeout_ms\":2500,"
		"\"connect_timeout_ms\":400,\"platform_timeout_ms\":800,"
		"\"load_poll_ms\":0,\"drain_ms\":%d}\n",
		ip, i % SOAK_ZONES, ip, CALLER_PORT, ip, READY_PORT, ip,
		PEER_PORT, ip, ADMIN_PORT, n->relay_address, seed, CALLER_PORT,
		other, CALLER_PORT, SOAK_DRAIN_MS);

	return g_file_set_contents(path, text, -1, NULL);
}

bool soak_start_daemon(soak_cluster_t *s, int i)
{
	soak_node_t *n = &s->daemons[i];
	g_autofree char *file = g_strdup_printf("%s.json", n->name);
	g_autofree char *settings = soak_path(s, file);
	g_autofree char *log_file = g_strdup_printf("%s.log", n->name);
	g_autofree char *log = soak_path(s, log_file);
	const char *const args[] = { settings, NULL };

	n->starts++;
	soak_set_state(n, SOAK_UP);
	return write_settings(s, i) &&
	       process_start(&n->process, "papayad", args, log, false);
}

bool soak_start_runner(soak_cluster_t *s, int i, bool is_renamed)
{
	soak_node_t *n = &s->runners[i];
	bool is_writer = i % 2;
	g_autofree char *store =
		g_strdup_printf("127.%d.0.1:%d", s->net, STORE_PORT);
	g_autofree char *runs_file = g_strdup_printf("runner-%d.runs", i);
	g_autofree char *runs = soak_path(s, runs_file);
	g_autofree char *arrivals_file =
		g_strdup_printf("runner-%d.arrivals", i);
	g_autofree char *arrivals = soak_path(s, arrivals_file);
	g_autofree char *events = g_strdup_printf("%d", SOAK_EVENTS);
	const char *const args[] = {
		"--listen",    n->address,
		"--store",     store,
		"--advertise", n->relay_address,
		"--id",	       n->name,
		"--service",   is_writer ? "writer" : "desk",
		"--zone",      i / 2 % SOAK_ZONES ? "z1" : "z0",
		"--runs",      runs,
		"--arrivals",  arrivals,
		"--slots",     "6",
		"--events",    is_writer ? events : "0",
		NULL
	};

	if (is_renamed || !n->starts)
		g_snprintf(n->name, sizeof(n->name), "i-%d-%d", i, n->starts);
	n->starts++;
	soak_set_state(n, SOAK_UP);
	return process_start_standin(&n->process, "standin-runner", args);
}

static bool start_relay(process_t *p, const char *listen, const char *to)
{
	const char *const args[] = { "--listen", listen, "--to", to, NULL };

	return process_start_standin(p, "standin-relay", args);
}

static bool start_store(soak_cluster_t *s)
{
	g_autofree char *listen =
		g_strdup_printf("127.%d.0.1:%d", s->net, STORE_PORT);
	const char *const args[] = { "--listen", listen, NULL };

	return process_start_standin(&s->store, "standin-store", args);
}

bool soak_publish(soak_cluster_t *s)
{
	g_autofree char *text = soak_config(++s->version);
	fetch_t f = { .method = EVHTTP_REQ_POST,
		      .address = s->store.address,
		      .path = "/standin/put?topic=" TOPIC_OPERATOR
			      "&key=" KEY_CONFIG,
		      .body = text };
	bool ok = fetch_run(&f) && f.status == HTTP_OK;

	free(f.text);
	return ok;
}

int soak_probe(const soak_cluster_t *s, int daemon, const char *path)
{
	static int n_probes;
	g_autofree char *attempt = g_strdup_printf("probe-%d", ++n_probes);
	const http_header_t headers[] = { { "Host", SOAK_HOST },
					  { HEADER_ATTEMPT_ID, attempt },
					  { HEADER_DEADLINE, "1500" },
					  { HEADER_API_KEY, "key-one" } };
	fetch_t f = { .method = EVHTTP_REQ_GET,
		      .address = s->daemons[daemon].address,
		      .path = path,
		      .headers = headers,
		      .n_headers = G_N_ELEMENTS(headers),
		      .timeout_ms = PROBE_MS };
	int status = fetch_run(&f) ? f.status : 0;

	free(f.text);
	return status;
}

static bool start_daemon_node(soak_cluster_t *s, int i)
{
	soak_node_t *n = &s->daemons[i];
	g_autofree char *ip = daemon_ip(s, i);

	n->index = i;
	g_snprintf(n->name, sizeof(n->name), "daemon-%d", i);
	g_snprintf(n->address, sizeof(n->address), "%s:%d", ip, CALLER_PORT);
	g_snprintf(n->relay_address, sizeof(n->relay_address),
		   "127.%d.%d.%d:%d", s->net, RELAY_BLOCK, FIRST_DAEMON + i,
		   STORE_PORT);
	return start_relay(&n->relay, n->relay_address, s->store.address) &&
	       soak_start_daemon(s, i);
}

static bool start_runner_node(soak_cluster_t *s, int i)
{
	soak_node_t *n = &s->runners[i];

	n->index = i;
	g_snprintf(n->address, sizeof(n->address), "127.%d.%d.%d:%d", s->net,
		   1 + i / 2 % SOAK_ZONES, FIRST_RUNNER + i, RUNNER_PORT);
	g_snprintf(n->relay_address, sizeof(n->relay_address),
		   "127.%d.%d.%d:%d", s->net, RELAY_BLOCK, FIRST_RUNNER + i,
		   RUNNER_PORT);
	return start_relay(&n->relay, n->relay_address, n->address) &&
	       soak_start_runner(s, i, false);
}

/* Waits until every daemon serves requests. */
static bool await_serving(const soak_cluster_t *s)
{
	int64_t end = soak_now_ms() + READY_MS;
	int i = 0;

	while (i < SOAK_DAEMONS && soak_now_ms() < end) {
		if (soak_probe(s, i, "/plain/x") == HTTP_OK)
			i++;
		else
			g_usleep(POLL_US);
	}
	if (i < SOAK_DAEMONS)
		fprintf(stderr, "soak: %s did not serve a request in time\n",
			s->daemons[i].name);
	return i == SOAK_DAEMONS;
}

bool soak_cluster_start(soak_cluster_t *s, const char *dir)
{
	memset(s, 0, sizeof(*s));
	s->dir = g_strdup(dir);
	s->net = cluster_claim_net(&s->lock);
	if (!s->net || !start_store(s) || !soak_publish(s))
		return false;
	for (int i = 0; i < SOAK_RUNNERS; i++)
		if (!start_runner_node(s, i))
			return false;
	for (int i = 0; i < SOAK_DAEMONS; i++)
		if (!start_daemon_node(s, i))
			return false;
	return await_serving(s);
}

bool soak_start_load(soak_cluster_t *s, double rate, double seconds,
		     uint32_t seed)
{
	g_autoptr(GString) daemons = g_string_new(NULL);
	g_autofree char *out = soak_path(s, "calls");
	g_autofree char *log = soak_path(s, "load.log");
	g_autofree char *rate_text = g_strdup_printf("%g", rate);
	g_autofree char *seconds_text = g_strdup_printf("%g", seconds);
	g_autofree char *seed_text = g_strdup_printf("%u", seed);
	const char *args[] = { "--daemons", NULL,	  "--out",
			       out,	    "--rate",	  rate_text,
			       "--seconds", seconds_text, "--seed",
			       seed_text,   NULL };

	for (int i = 0; i < SOAK_DAEMONS; i++)
		g_string_append_printf(daemons, "%s%s", i ? "," : "",
				       s->daemons[i].address);
	args[1] = daemons->str;
	return process_start(&s->load, "tests/soak_load", args, log, false);
}

static void stop_node(soak_node_t *n)
{
	process_stop(&n->process, STOP_MS);
	process_stop(&n->relay, STOP_MS);
}

void soak_cluster_finish(soak_cluster_t *s)
{
	process_stop(&s->load, STOP_MS);
	for (int i = 0; i < SOAK_DAEMONS; i++)
		process_signal(&s->daemons[i].process, SIGTERM);
	for (int i = 0; i < SOAK_DAEMONS; i++)
		stop_node(&s->daemons[i]);
	for (int i = 0; i < SOAK_RUNNERS; i++)
		stop_node(&s->runners[i]);
	process_stop(&s->store, STOP_MS);
	close(s->lock);
	g_free(s->dir);
}
