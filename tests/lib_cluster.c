#include "tests/lib_cluster.h"

#include <arpa/inet.h>
#include <glib/gstdio.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "standin/lib_fetch.h"

enum {
	FIRST_NET = 20,
	LAST_NET = 250,
	LOCK_PORT = 6999,
	PLATFORM_PORT = 7000,
	CALLER_PORT = 8000,
	PEER_PORT = 8001,
	ADMIN_PORT = 8002,
	RUNNER_PORT = 9000,
	PORT_STEP = 1000, /* as in tests/shim/connect.c */
	FROM_CALLERS = CLUSTER_ZONES, /* zone of origin of callers */
	FIRST_DAEMON = 10, /* last byte of the address */
	FIRST_RUNNER = 100,
	READY_TRIES = 1500,
	READY_PAUSE_US = 10000,
	STOP_MS = 4000,
	OUTPUT_SIZE = 4096, /* bytes */
	PUBLISH_LIMIT_MS = 20000,
};

static const char *const zone_names[CLUSTER_ZONES] = { "north", "south" };
static const char *const services[CLUSTER_RUNNERS] = { "itinerary-model",
						       "seat-lookup",
						       "booking-desk" };
static const char *const programs[CLUSTER_RUNNERS] = { "standin-engine",
						       "standin-desk",
						       "standin-desk" };

char *cluster_path(const cluster_t *c, const char *file)
{
	return g_build_filename(c->dir, file, NULL);
}

bool cluster_write(const cluster_t *c, const char *file, const char *text)
{
	g_autofree char *path = cluster_path(c, file);

	return g_file_set_contents(path, text, -1, NULL);
}

int cluster_claim_net(int *lock)
{
	int span = LAST_NET - FIRST_NET;
	int start = (int)(getpid() % span);

	for (int i = 0; i < span; i++) {
		struct sockaddr_in addr = { .sin_family = AF_INET,
					    .sin_port = htons(LOCK_PORT) };
		int net = FIRST_NET + (start + i) % span;
		char ip[CLUSTER_TEXT];

		snprintf(ip, sizeof(ip), "127.%d.0.9", net);
		inet_pton(AF_INET, ip, &addr.sin_addr);
		*lock = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		if (*lock >= 0 &&
		    !bind(*lock, (struct sockaddr *)&addr, sizeof(addr)))
			return net;
		close(*lock);
	}
	fprintf(stderr, "cluster: no free loopback addresses\n");
	return 0;
}

static void set_address(const cluster_t *c, char out[CLUSTER_TEXT], int zone,
			int host, int port)
{
	snprintf(out, CLUSTER_TEXT, "127.%d.%d.%d:%d", c->net, zone + 1, host,
		 port);
}

static void init_nodes(cluster_t *c, int z)
{
	cluster_zone_t *zone = &c->zones[z];

	snprintf(zone->platform_address, CLUSTER_TEXT, "127.%d.0.%d:%d", c->net,
		 FIRST_DAEMON + z, PLATFORM_PORT);
	for (int i = 0; i < CLUSTER_SLOTS; i++) {
		cluster_node_t *n = &zone->daemons[i];

		snprintf(n->name, CLUSTER_TEXT, "%s-%d", zone_names[z], i + 1);
		set_address(c, n->address, z, FIRST_DAEMON + i, CALLER_PORT);
		set_address(c, n->peer_address, z, FIRST_DAEMON + i, PEER_PORT);
		set_address(c, n->admin_address, z, FIRST_DAEMON + i,
			    ADMIN_PORT);
		n->is_listed = i < CLUSTER_DAEMONS;
	}
	for (int i = 0; i < CLUSTER_RUNNERS; i++) {
		cluster_node_t *n = &zone->runners[i];

		snprintf(n->name, CLUSTER_TEXT, "%s-%s", services[i],
			 zone_names[z]);
		set_address(c, n->address, z, FIRST_RUNNER + i, RUNNER_PORT);
		n->is_listed = true;
	}
}

static json_t *vm_json(const cluster_node_t *n, int z, const char *service)
{
	json_t *vm = json_pack("{s:s,s:s,s:s,s:s,s:s,s:s}", "name", n->name,
			       "kind", service ? "runner" : "entry", "region",
			       "great-lakes", "zone", zone_names[z], "state",
			       n->is_leaving ? "leaving" : "live", "address",
			       n->address);

	if (service) {
		json_object_set_new(vm, "service", json_string(service));
		json_object_set_new(vm, "generation", json_integer(1));
		json_object_set_new(vm, "fencing", json_true());
	} else {
		json_object_set_new(vm, "peer_address",
				    json_string(n->peer_address));
		json_object_set_new(vm, "admin_address",
				    json_string(n->admin_address));
	}
	return vm;
}

static char *vms_text(const cluster_t *c)
{
	json_t *list = json_array();
	char *text;

	for (int z = 0; z < CLUSTER_ZONES; z++) {
		const cluster_zone_t *zone = &c->zones[z];

		for (int i = 0; i < CLUSTER_SLOTS; i++)
			if (zone->daemons[i].is_listed)
				json_array_append_new(
					list,
					vm_json(&zone->daemons[i], z, NULL));
		for (int i = 0; i < CLUSTER_RUNNERS; i++)
			if (zone->runners[i].is_listed)
				json_array_append_new(list,
						      vm_json(&zone->runners[i],
							      z, services[i]));
	}
	text = json_dumps(list, JSON_INDENT(1));
	json_decref(list);
	return text;
}

static bool write_settings(const cluster_t *c, int z, int slot)
{
	const cluster_node_t *n = &c->zones[z].daemons[slot];
	g_autofree char *file = g_strdup_printf("%s.json", n->name);
	g_autofree char *text = g_strdup_printf(
		"{\"name\":\"%s\",\"zone\":\"%s\","
		"\"zones\":[\"north\",\"south\"],\"listen\":\"%s\","
		"\"peer_listen\":\"%s\",\"admin_listen\":\"%s\","
		"\"platform\":\"%s\","
		"\"seeds\":[\"%s north %s\",\"%s south %s\"],"
		"\"peer_secret\":\"a secret of the fault tests\","
		"\"operator_token\":\"" CLUSTER_TOKEN "\","
		"\"log_level\":\"debug\",\"heartbeat_ms\":100,"
		"\"heartbeat_timeout_ms\":500,\"retry_horizon_ms\":2000,"
		"\"clock_skew_ms\":50,\"config_poll_ms\":200,"
		"\"vms_poll_ms\":200,\"load_poll_ms\":200,"
		"\"accounts_ms\":1000,\"platform_timeout_ms\":800,"
		"\"connect_timeout_ms\":300,\"upstream_idle_ms\":4000,"
		"\"keepalive_ms\":1000,\"slow_caller_ms\":3000%s}\n",
		n->name, zone_names[z], n->address, n->peer_address,
		n->admin_address, c->zones[z].platform_address,
		c->zones[0].daemons[0].name,
		c->zones[0].daemons[0].peer_address,
		c->zones[1].daemons[0].name,
		c->zones[1].daemons[0].peer_address,
		c->extra_settings ? c->extra_settings : "");

	return cluster_write(c, file, text);
}

bool cluster_init(cluster_t *c, const char *dir, uint32_t seed)
{
	memset(c, 0, sizeof(*c));
	c->dir = g_strdup(dir);
	c->seed = seed;
	c->net = cluster_claim_net(&c->lock);
	if (!c->net)
		return false;
	for (int z = 0; z < CLUSTER_ZONES; z++)
		init_nodes(c, z);
	return true;
}

static bool start_platform(cluster_t *c)
{
	g_autofree char *listen =
		g_strdup_printf("127.%d.0.1:%d", c->net, PLATFORM_PORT);
	g_autofree char *path = cluster_path(c, "vms.json");
	const char *const args[] = { "--listen", listen, "--vms", path, NULL };
	char *text = vms_text(c);
	bool ok = cluster_write(c, "vms.json", text);

	free(text);
	return ok &&
	       process_start_standin(&c->platform, "standin-platform", args);
}

static bool start_relay(process_t *p, const char *listen, const char *to)
{
	const char *const args[] = { "--listen", listen, "--to", to, NULL };

	return process_start_standin(p, "standin-relay", args);
}

/* Appends ADDRESS to TO, and its relay's address to LISTEN. */
static void add_relayed(GString *listen, GString *to, const char *address,
			int from_zone)
{
	const char *colon = strrchr(address, ':');
	int port = (int)strtol(colon + 1, NULL, 10);

	g_string_append_printf(listen, "%s%.*s:%d", listen->len ? "," : "",
			       (int)(colon - address), address,
			       port + PORT_STEP * (from_zone + 1));
	g_string_append_printf(to, "%s%s", to->len ? "," : "", address);
}

static bool start_links(cluster_t *c, int from, int to_zone)
{
	g_autoptr(GString) listen = g_string_new(NULL);
	g_autoptr(GString) to = g_string_new(NULL);
	const cluster_zone_t *zone = &c->zones[to_zone];

	for (int i = 0; i < CLUSTER_SLOTS; i++) {
		const cluster_node_t *n = &zone->daemons[i];

		add_relayed(listen, to, n->address, from);
		add_relayed(listen, to, n->peer_address, from);
		add_relayed(listen, to, n->admin_address, from);
	}
	for (int i = 0; i < CLUSTER_RUNNERS; i++)
		add_relayed(listen, to, zone->runners[i].address, from);
	return start_relay(&c->zones[from].relays[to_zone], listen->str,
			   to->str);
}

static bool start_caller_relay(cluster_t *c)
{
	g_autoptr(GString) listen = g_string_new(NULL);
	g_autoptr(GString) to = g_string_new(NULL);

	for (int z = 0; z < CLUSTER_ZONES; z++)
		for (int i = 0; i < CLUSTER_SLOTS; i++)
			add_relayed(listen, to, c->zones[z].daemons[i].address,
				    FROM_CALLERS);
	return start_relay(&c->caller_relay, listen->str, to->str);
}

static bool start_runner(cluster_t *c, int z, int i)
{
	cluster_node_t *n = &c->zones[z].runners[i];
	g_autofree char *line =
		g_strdup_printf("--listen %s %s", n->address,
				c->runner_args[i] ? c->runner_args[i] : "");
	g_auto(GStrv) args = g_strsplit(g_strstrip(line), " ", -1);

	return process_start_standin(&n->process, programs[i],
				     (const char *const *)args);
}

bool cluster_start_daemon(cluster_t *c, int zone, int slot)
{
	cluster_node_t *n = &c->zones[zone].daemons[slot];
	g_autofree char *file = g_strdup_printf("%s.json", n->name);
	g_autofree char *log_file = g_strdup_printf("%s.log", n->name);
	g_autofree char *settings = cluster_path(c, file);
	g_autofree char *log = cluster_path(c, log_file);
	g_autofree char *net = g_strdup_printf("%d", c->net);
	g_autofree char *number = g_strdup_printf("%d", zone + 1);
	g_autofree char *shim = g_build_filename(process_build_dir(), "tests",
						 "libshim.so", NULL);
	const char *const args[] = { settings, NULL };
	bool ok;

	if (!write_settings(c, zone, slot))
		return false;
	g_setenv("PAPAYA_SHIM_NET", net, TRUE);
	g_setenv("PAPAYA_SHIM_ZONE", number, TRUE);
	g_setenv("LD_PRELOAD", shim, TRUE);
	ok = process_start(&n->process, "papayad", args, log, false);
	g_unsetenv("LD_PRELOAD");
	return ok;
}

bool cluster_await_ready(const cluster_t *c, int zone, int slot)
{
	const cluster_node_t *n = &c->zones[zone].daemons[slot];

	for (int i = 0; i < READY_TRIES; i++) {
		fetch_t f = { .method = EVHTTP_REQ_GET,
			      .address = n->admin_address,
			      .path = "/readyz" };
		bool ok = fetch_run(&f) && f.status == HTTP_OK;

		g_free(f.text);
		if (ok)
			return true;
		g_usleep(READY_PAUSE_US);
	}
	fprintf(stderr, "cluster: %s did not become ready in time\n", n->name);
	return false;
}

static bool start_zone(cluster_t *c, int z)
{
	g_autofree char *platform =
		g_strdup_printf("127.%d.0.1:%d", c->net, PLATFORM_PORT);
	cluster_zone_t *zone = &c->zones[z];

	if (!start_relay(&zone->platform_relay, zone->platform_address,
			 platform))
		return false;
	for (int to = 0; to < CLUSTER_ZONES; to++)
		if (!start_links(c, z, to))
			return false;
	for (int i = 0; i < CLUSTER_RUNNERS; i++)
		if (!start_runner(c, z, i))
			return false;
	for (int i = 0; i < CLUSTER_DAEMONS; i++)
		if (!cluster_start_daemon(c, z, i))
			return false;
	return true;
}

bool cluster_start(cluster_t *c)
{
	if (!start_platform(c) || !start_caller_relay(c))
		return false;
	for (int z = 0; z < CLUSTER_ZONES; z++)
		if (!start_zone(c, z))
			return false;
	return true;
}

static void stop_zone(cluster_zone_t *zone)
{
	for (int i = 0; i < CLUSTER_SLOTS; i++)
		process_kill(&zone->daemons[i].process);
	for (int i = 0; i < CLUSTER_RUNNERS; i++)
		process_stop(&zone->runners[i].process, STOP_MS);
	for (int i = 0; i < CLUSTER_ZONES; i++)
		process_stop(&zone->relays[i], STOP_MS);
	process_stop(&zone->platform_relay, STOP_MS);
}

void cluster_finish(cluster_t *c)
{
	for (int z = 0; z < CLUSTER_ZONES; z++)
		stop_zone(&c->zones[z]);
	process_stop(&c->caller_relay, STOP_MS);
	process_stop(&c->platform, STOP_MS);
	if (c->lock >= 0)
		close(c->lock);
	g_free(c->dir);
	g_free(c->extra_settings);
	for (int i = 0; i < CLUSTER_RUNNERS; i++)
		g_free(c->runner_args[i]);
}

bool cluster_send_vms(const cluster_t *c)
{
	char *text = vms_text(c);
	fetch_t f = { .method = EVHTTP_REQ_PUT,
		      .address = c->platform.address,
		      .path = "/standin/vms",
		      .body = text };
	bool ok = fetch_run(&f) && f.status == HTTP_OK;

	g_free(f.text);
	free(text);
	return ok;
}

char *cluster_targets(const cluster_t *c, bool is_relayed)
{
	g_autoptr(GString) direct = g_string_new(NULL);
	g_autoptr(GString) relayed = g_string_new(NULL);

	for (int z = 0; z < CLUSTER_ZONES; z++)
		for (int i = 0; i < CLUSTER_SLOTS; i++)
			if (c->zones[z].daemons[i].process.pid)
				add_relayed(relayed, direct,
					    c->zones[z].daemons[i].address,
					    FROM_CALLERS);
	return g_strdup(is_relayed ? relayed->str : direct->str);
}

char *cluster_oracles(const cluster_t *c)
{
	g_autoptr(GString) out = g_string_new(NULL);

	for (int z = 0; z < CLUSTER_ZONES; z++)
		for (int i = 0; i < CLUSTER_RUNNERS; i++)
			g_string_append_printf(out, "%s%s", out->len ? "," : "",
					       c->zones[z].runners[i].address);
	return g_strdup(out->str);
}

bool cluster_set_zone_links(const cluster_t *c, int zone, const char *switches)
{
	bool ok = true;

	for (int z = 0; z < CLUSTER_ZONES; z++)
		if (z != zone)
			ok = ok &&
			     fetch_set_faults(c->zones[zone].relays[z].address,
					      switches) &&
			     fetch_set_faults(c->zones[z].relays[zone].address,
					      switches);
	return ok;
}

bool cluster_set_local_links(const cluster_t *c, int zone, const char *switches)
{
	return fetch_set_faults(c->zones[zone].relays[zone].address, switches);
}

bool cluster_publish_start(const cluster_t *c, process_t *p, const char *doc,
			   const char *file, const char *base)
{
	g_autofree char *path = cluster_path(c, file);
	const char *args[] = { "publish",
			       "--platform",
			       c->platform.address,
			       "--doc",
			       doc,
			       "--by",
			       "fault-tests",
			       "--token",
			       CLUSTER_TOKEN,
			       "--wait-ms",
			       "6000",
			       path,
			       base ? "--base" : NULL,
			       base,
			       NULL };

	return process_start(p, "papayactl", args, NULL, true);
}

int cluster_publish_end(process_t *p, char **output)
{
	char buf[OUTPUT_SIZE];
	size_t n = 0;
	ssize_t got;

	while (n + 1 < sizeof(buf) &&
	       (got = read(p->out, buf + n, sizeof(buf) - 1 - n)) > 0)
		n += (size_t)got;
	buf[n] = '\0';
	*output = g_strdup(buf);
	return process_wait(p, PUBLISH_LIMIT_MS);
}

int cluster_publish(const cluster_t *c, const char *doc, const char *file,
		    const char *base, char **output)
{
	process_t p;

	*output = NULL;
	if (!cluster_publish_start(c, &p, doc, file, base))
		return -1;
	return cluster_publish_end(&p, output);
}
