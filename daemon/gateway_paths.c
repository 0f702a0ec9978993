/*
 * The ways by which the gateway reaches runners: keeps what
 * core/runner_paths.h knows up to date, tries own connections again, and serves
 * as a proxy for other daemons.
 */
#define LOG_PART "paths"

#include <arpa/inet.h>
#include <event2/bufferevent.h>

#include "common/log.h"
#include "common/timeval.h"
#include "daemon/gateway.h"
#include "net/http.h"

enum {
	TRIAL_TIMEOUT_MS = 400,
	MAX_TRIALS = 8, /* at the same time */
};

/* A connection that only shows whether a runner can be reached. */
typedef struct path_trial {
	gateway_t *gateway;
	GList link;
	char address[RUNNER_PATHS_NAME_SIZE];
	struct bufferevent *bev;
	struct event *timer;
} path_trial_t;

static void trial_free(path_trial_t *t)
{
	g_queue_unlink(&t->gateway->trials, &t->link);
	bufferevent_free(t->bev);
	event_free(t->timer);
	g_free(t);
}

/* Sets OUT to the address at which a daemon opens tunnels; false: none. */
static bool tunnel_address(const settings_t *s, const char *peer_address,
			   char out[RUNNER_PATHS_NAME_SIZE])
{
	char ip[MEMBER_NAME_SIZE];
	uint16_t port;

	if (!s->tunnel_port_offset ||
	    !http_split_address(peer_address, ip, sizeof(ip), &port, NULL))
		return false;
	g_snprintf(out, RUNNER_PATHS_NAME_SIZE, "%s:%" G_GINT64_FORMAT, ip,
		   port + s->tunnel_port_offset);
	return true;
}

/* Whether the daemon listens there for something else. */
static bool is_taken(const settings_t *s, const char *address)
{
	return !strcmp(address, s->listen) ||
	       !strcmp(address, s->admin_listen) ||
	       !g_strcmp0(address, s->ready_listen);
}

static void log_path(const gateway_t *g, const char *address, const char *way,
		     const char *why)
{
	log_event(
		"runner-path",
		"runner=%s way=%s failing=%u cut_off=%s proxies=%u why=\"%s\"",
		address, way, g_hash_table_size(g->paths.failing),
		runner_paths_is_cut_off(&g->paths) ? "yes" : "no",
		g_hash_table_size(g->paths.proxies), why);
}

void gateway_on_path_connected(gateway_t *g, const char *address)
{
	bool was_failing = g_hash_table_contains(g->paths.failing, address);

	runner_paths_on_connected(&g->paths, address, now_us());
	if (was_failing)
		log_path(g, address, "direct", "a connection was established");
}

void gateway_on_path_failure(gateway_t *g, const char *address)
{
	if (!runner_paths_on_failure(&g->paths, address, now_us()))
		return;
	/* Those that are open may be as dead as the way. */
	upstream_pool_drop_idle(&g->pool, address);
	log_path(g, address, "proxy", "an own connection failed");
}

void gateway_on_runner_down(gateway_t *g, const char *address)
{
	runner_paths_on_down(&g->paths, address);
	log_path(g, address, "none", "a proxy reaches others only");
}

static void end_trial(path_trial_t *t, bool is_connected)
{
	if (is_connected)
		gateway_on_path_connected(t->gateway, t->address);
	trial_free(t);
}

static void on_trial_event(struct bufferevent *bev, short what, void *arg)
{
	end_trial(arg, what & BEV_EVENT_CONNECTED);
}

static void on_trial_timeout(evutil_socket_t fd, short what, void *arg)
{
	end_trial(arg, false);
}

static void begin_trial(gateway_t *g, const char *address)
{
	struct timeval limit = timeval_from_ms(TRIAL_TIMEOUT_MS);
	struct sockaddr_storage name;
	int len = sizeof(name);
	path_trial_t *t;

	if (evutil_parse_sockaddr_port(address, (struct sockaddr *)&name, &len))
		return;
	t = g_new0(path_trial_t, 1);
	t->gateway = g;
	g_strlcpy(t->address, address, sizeof(t->address));
	t->link.data = t;
	g_queue_push_tail_link(&g->trials, &t->link);
	t->timer = evtimer_new(g->sup->base, on_trial_timeout, t);
	event_add(t->timer, &limit);
	t->bev = bufferevent_socket_new(g->sup->base, -1,
					BEV_OPT_CLOSE_ON_FREE |
						BEV_OPT_DEFER_CALLBACKS);
	bufferevent_setcb(t->bev, NULL, NULL, on_trial_event, t);
	bufferevent_socket_connect(t->bev, (struct sockaddr *)&name, len);
}

void gateway_check_paths(gateway_t *g, int64_t now)
{
	const char *address;

	while (g->trials.length < MAX_TRIALS &&
	       (address = runner_paths_next_trial(&g->paths, now)))
		begin_trial(g, address);
}

void gateway_set_proxies(gateway_t *g, const vm_list_t *vms)
{
	const settings_t *s = g->sup->settings;

	g_hash_table_remove_all(g->runner_addresses);
	for (guint i = 0; i < vms->runners->len; i++)
		g_hash_table_add(g->runner_addresses,
				 g_strdup(g_array_index(vms->runners,
							vm_list_runner_t, i)
						  .runner.address));
	runner_paths_begin_proxies(&g->paths);
	for (guint i = 0; i < vms->daemons->len; i++) {
		const member_vm_t *vm =
			&g_array_index(vms->daemons, member_vm_t, i);
		char address[RUNNER_PATHS_NAME_SIZE];

		/* All daemons have the same ports. */
		if (g->has_tunnels && strcmp(vm->name, s->name) != 0 &&
		    tunnel_address(s, vm->peer_address, address))
			runner_paths_add_proxy(&g->paths, vm->name, address,
					       !strcmp(vm->zone, s->zone));
	}
	runner_paths_end_proxies(&g->paths);
}

/* A proxy says that a runner is down only if it reaches others itself. */
static tunnel_reach_t reach(void *ctx, const char *address)
{
	gateway_t *g = ctx;

	if (!g_hash_table_contains(g->runner_addresses, address))
		return TUNNEL_REACH_UNKNOWN;
	if (!g_hash_table_contains(g->paths.failing, address) &&
	    !runner_paths_is_cut_off(&g->paths))
		return TUNNEL_REACH_TRY;
	return runner_paths_is_connected(&g->paths, now_us()) ?
		       TUNNEL_REACH_NO :
		       TUNNEL_REACH_UNKNOWN;
}

static void on_tunnel_result(void *ctx, const char *address, bool is_connected)
{
	if (is_connected)
		gateway_on_path_connected(ctx, address);
	else
		gateway_on_path_failure(ctx, address);
}

bool gateway_paths_init(gateway_t *g, err_t *err)
{
	static const tunnel_server_ops_t ops = { reach, on_tunnel_result };
	const settings_t *s = g->sup->settings;
	char address[RUNNER_PATHS_NAME_SIZE];
	bool is_on = tunnel_address(s, s->peer_listen, address);

	if (is_on && is_taken(s, address)) {
		log_event("tunnels-off",
			  "address=%s why=\"this daemon listens there for "
			  "something else\"",
			  address);
		is_on = false;
	}
	g->has_tunnels = is_on;
	if (!tunnel_server_init(&g->tunnels, g->sup->base,
				is_on ? address : NULL,
				str_from(s->peer_secret), &ops, g, err))
		return false;
	runner_paths_init(&g->paths, s->name);
	g_queue_init(&g->trials);
	g->runner_addresses =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return true;
}

void gateway_paths_finish(gateway_t *g)
{
	path_trial_t *t;

	tunnel_server_finish(&g->tunnels);
	while ((t = g_queue_peek_head(&g->trials)))
		trial_free(t);
	runner_paths_finish(&g->paths);
	g_hash_table_destroy(g->runner_addresses);
}

void gateway_paths_export(const gateway_t *g)
{
	metrics_t *m = &g->sup->metrics;

	metrics_set(m, "papaya_runner_paths_failing", NULL,
		    g_hash_table_size(g->paths.failing));
	metrics_set(m, "papaya_cut_off", NULL,
		    runner_paths_is_cut_off(&g->paths));
	metrics_set(m, "papaya_tunnels", NULL,
		    tunnel_server_count(&g->tunnels));
	metrics_set(m, "papaya_tunnels_opened_total", NULL,
		    g->tunnels.n_opened);
	metrics_set(m, "papaya_tunnels_refused_total", NULL,
		    g->tunnels.n_refused);
}
