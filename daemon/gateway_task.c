/*
 * The gateway's task: listens for callers and passes messages of other tasks to
 * their requests. It replaces the front task in a daemon that serves a fleet.
 */
#define LOG_PART "gateway"

#include <inttypes.h>

#include "common/log.h"
#include "core/drain_plan.h"
#include "daemon/fleet_view.h"
#include "daemon/gateway.h"

enum {
	TICK_MS = 50,
	LATE_TICK_US = 2 * TICK_MS * 1000, /* since the last one */
	FLUSH_US = 200 * 1000, /* to send the last answers of a drain */
	/* A runner that left the list is forgotten after this time. */
	LEFT_RUNNER_KEEP_US = 60 * 1000 * 1000,
	MAX_STREAMS = 8192, /* whose release is remembered */
};

bool gateway_is_ready(const gateway_t *g)
{
	return g->fleet && g->has_runners;
}

static void admit_pending(gateway_t *g)
{
	g_autoptr(GList) relays = g_hash_table_get_keys(g->pending);

	for (GList *link = relays; link && gateway_is_ready(g);
	     link = link->next)
		relay_admit(link->data);
}

static void set_retry_quota(gateway_t *g, guint daemons)
{
	const settings_t *s = g->sup->settings;
	retry_quota_t quota = {
		.ratio = s->retry_ratio,
		.slack = s->retry_slack,
		.daemons = daemons,
	};

	if (daemons != g->retries.quota.daemons)
		log_event(
			"retry-quota",
			"daemons=%u was=%u ratio=%g slack=%g window_ms=%" PRId64,
			daemons, g->retries.quota.daemons, quota.ratio,
			quota.slack, s->retry_window_ms);
	retry_budget_set(&g->retries, &quota);
}

static void update_runner_filter(gateway_t *g, const vm_list_t *vms)
{
	runner_filter_begin(&g->runners);
	for (guint i = 0; i < vms->runners->len; i++) {
		const vm_list_runner_t *r =
			&g_array_index(vms->runners, vm_list_runner_t, i);

		runner_filter_add(&g->runners, r->runner.name,
				  r->runner.born_ms, r->runner.is_leaving);
	}
	runner_filter_end(&g->runners, now_us());
}

static void set_runner_zones(gateway_t *g, const vm_list_t *vms)
{
	g_hash_table_remove_all(g->runner_zones);
	for (guint i = 0; i < vms->runners->len; i++) {
		const vm_list_runner_t *r =
			&g_array_index(vms->runners, vm_list_runner_t, i);

		g_hash_table_insert(g->runner_zones, g_strdup(r->runner.name),
				    g_strdup(r->zone));
	}
}

static void export_stats(gateway_t *g)
{
	metrics_t *m = &g->sup->metrics;

	metrics_set(m, "papaya_requests_in_progress", NULL,
		    g_hash_table_size(g->relays));
	metrics_set(m, "papaya_quarantined_parts", NULL,
		    quarantine_count(&g->quarantine, now_us()));
	metrics_set(m, "papaya_held_answer_bytes", NULL, g->answers.held);
	http_server_export(&g->callers);
	gateway_paths_export(g);
	metrics_set(m, "papaya_upstream_connects_total", NULL,
		    g->pool.stats.connects);
	metrics_set(m, "papaya_upstream_reuses_total", NULL,
		    g->pool.stats.reuses);
	metrics_set(m, "papaya_upstream_skipped_total", NULL,
		    g->pool.stats.skipped);
	metrics_set(m, "papaya_upstream_out_of_turn_total", NULL,
		    g->pool.stats.unexpected_data);
}

/* A request accepted from now on could not be completed before the exit. */
static void stop_listening(gateway_t *g)
{
	if (!g->callers.listener)
		return;
	log_event("listener-closed", "callers=%u requests=%u",
		  http_server_connections(&g->callers),
		  g_hash_table_size(g->relays));
	http_server_stop_listening(&g->callers);
}

static drain_plan_t plan_of(const gateway_t *g)
{
	return drain_plan(g->sup->settings->drain_ms * 1000);
}

bool gateway_ends_before(const gateway_t *g, int64_t deadline)
{
	drain_plan_t plan = plan_of(g);

	return g->drain_since &&
	       now_us() - g->drain_since >= plan.accept_time &&
	       deadline > g->drain_since + plan.exit_after;
}

/* Answers what still runs; the answers need a moment to be sent. */
static void end_requests(gateway_t *g)
{
	g_autoptr(GList) relays = g_hash_table_get_values(g->relays);

	if (!relays)
		return;
	log_info("drain ended; ending %u requests that still run",
		 g_hash_table_size(g->relays));
	for (GList *link = relays; link; link = link->next)
		relay_end_unfinished(link->data);
}

/* Ends the daemon once no caller is connected, or at the drain's time limit. */
static void check_drain(gateway_t *g, int64_t now)
{
	drain_plan_t plan = plan_of(g);

	if (!g->drain_since || now - g->drain_since < plan.accept_time)
		return;
	stop_listening(g);
	http_server_close_idle(&g->callers);
	if (now - g->drain_since > plan.exit_after)
		end_requests(g);
	if ((!http_server_connections(&g->callers) &&
	     !tunnel_server_count(&g->tunnels)) ||
	    now - g->drain_since > plan.exit_after + FLUSH_US) {
		log_info("drain ended; closing %u caller connections",
			 http_server_connections(&g->callers));
		event_base_loopbreak(g->sup->base);
	}
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	gateway_t *g = arg;
	g_autoptr(GList) relays = g_hash_table_get_values(g->relays);
	int64_t now = now_us();

	g->is_tick_late = now - g->ticked_at > LATE_TICK_US;
	g->ticked_at = now;
	gateway_check_quarantine(g);
	for (GList *link = relays; link; link = link->next)
		relay_tick(link->data, now);
	gateway_check_rollouts(g);
	gateway_check_paths(g, now);
	export_stats(g);
	check_drain(g, now);
}

static relay_t *find_relay(gateway_t *g, uint64_t owner, uint64_t attempt)
{
	return owner == g->sup->boot_id ?
		       g_hash_table_lookup(g->relays, &attempt) :
		       NULL;
}

/* Returns a grant whose request no longer exists. */
static void return_grant(gateway_t *g, const message_t *grant)
{
	message_t m = *grant;

	m.type = MESSAGE_WITHDRAW;
	supervisor_post(g->sup, TASK_PEERS, &m);
}

static void handle_capacity(gateway_t *g, const message_t *m)
{
	const message_capacity_t *c = &m->capacity;
	relay_t *r = find_relay(g, c->want.id.owner, c->want.id.attempt);

	if (!r && m->type == MESSAGE_GRANT)
		return_grant(g, m);
	if (!r)
		return;
	if (m->type == MESSAGE_ROUTED)
		relay_on_routed(r, c->peer);
	else if (m->type == MESSAGE_GRANT)
		relay_on_grant(r, c);
	else if (m->type == MESSAGE_QUEUED)
		relay_on_queued(r);
	else if (m->type == MESSAGE_REFUSE)
		relay_on_refusal(r, c->reason, c->retry_after_ms);
}

static void handle_limit(gateway_t *g, const message_limit_t *answer)
{
	relay_t *r = find_relay(g, answer->owner, answer->attempt);

	if (r)
		relay_on_limit_answer(r, answer);
}

static void repeat_wants(gateway_t *g)
{
	g_autoptr(GList) relays = g_hash_table_get_values(g->relays);

	for (GList *link = relays; link; link = link->next)
		relay_on_view_change(link->data);
}

static void set_zone_partitioned(gateway_t *g, const char *zone,
				 bool is_partitioned)
{
	g_autoptr(GList) relays = g_hash_table_get_values(g->relays);

	zone_groups_set_partitioned(&g->groups, zone, is_partitioned);
	if (!is_partitioned) {
		g_hash_table_remove(g->partitioned_zones, zone);
		return;
	}
	g_hash_table_add(g->partitioned_zones, g_strdup(zone));
	for (GList *link = relays; link; link = link->next)
		relay_check_partition(link->data, now_us());
}

static void set_vms(gateway_t *g, vm_list_t *vms)
{
	vm_list_t *before = g->vms;

	g->vms = vm_list_ref(vms);
	gateway_on_releases(g, before);
	vm_list_unref(before);
}

static void handle(void *state, const message_t *m)
{
	gateway_t *g = state;

	switch (m->type) {
	case MESSAGE_FLEET:
		fleet_unref(g->fleet);
		g->fleet = fleet_ref(m->fleet);
		admit_pending(g);
		break;
	case MESSAGE_VMS:
		set_vms(g, m->vms);
		gateway_on_rollout_runners(g);
		update_runner_filter(g, m->vms);
		set_runner_zones(g, m->vms);
		gateway_set_proxies(g, m->vms);
		fleet_view_count_runners(m->vms, &g->groups);
		set_retry_quota(g, m->vms->daemons->len);
		g->has_runners = true;
		admit_pending(g);
		break;
	case MESSAGE_RUNNERS_SEEN:
		g->runners_seen_at = (int64_t)m->number;
		break;
	case MESSAGE_ROUTED:
	case MESSAGE_GRANT:
	case MESSAGE_REFUSE:
	case MESSAGE_QUEUED:
		handle_capacity(g, m);
		break;
	case MESSAGE_LIMIT_ANSWER:
		handle_limit(g, &m->limit);
		break;
	case MESSAGE_VIEW_CHANGED:
		repeat_wants(g);
		break;
	case MESSAGE_ZONE_PARTITION:
		set_zone_partitioned(g, m->contact.name, m->contact.is_lost);
		break;
	case MESSAGE_PART_NOTICE:
		gateway_on_part_notice(g, &m->part);
		break;
	case MESSAGE_STREAM_ANSWER:
		gateway_on_stream_answer(g, &m->streams);
		break;
	case MESSAGE_ROLLOUT_ORDERS:
		gateway_on_rollout_orders(g, m->rollout_orders);
		break;
	case MESSAGE_ROLLOUT_TOLD:
		gateway_on_rollout_told(g, &m->rollout);
		break;
	case MESSAGE_LINK_UP:
		gateway_send_quarantine(g, m->contact.name);
		break;
	case MESSAGE_ROUTE_QUERY:
		gateway_on_route_query(g, m->query);
		break;
	case MESSAGE_DRAIN:
		g->drain_since = now_us();
		g->callers.is_draining = true;
		tunnel_server_leave(&g->tunnels);
		break;
	default:
		break;
	}
}

static void *start(supervisor_t *sup, err_t *err)
{
	static const retry_quota_t none = { 0 };
	gateway_t *g = g_new0(gateway_t, 1);

	g->sup = sup;
	if (!http_server_init(&g->callers, sup, &ingress_ops, g, &g->answers,
			      err)) {
		g_free(g);
		return NULL;
	}
	if (!gateway_paths_init(g, err)) {
		http_server_finish(&g->callers);
		g_free(g);
		return NULL;
	}
	byte_budget_init(&g->answers, g->callers.memory);
	g->relays = g_hash_table_new(g_int64_hash, g_int64_equal);
	g->pending = g_hash_table_new(NULL, NULL);
	g->runner_zones =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g->partitioned_zones =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	zone_groups_init(&g->groups, sup->settings->zone);
	quarantine_init(&g->quarantine);
	stream_releases_init(&g->streams, MAX_STREAMS);
	gateway_rollouts_init(g);
	upstream_pool_init(&g->pool, sup->base,
			   str_from(sup->settings->peer_secret));
	retry_budget_init(&g->retries, &none);
	runner_filter_init(&g->runners, LEFT_RUNNER_KEEP_US);
	g->ticked_at = now_us();
	g->tick = supervisor_add_timer(sup, TICK_MS, on_tick, g);
	/*
	 * After a restart of this task: has the store task, which has the ID
	 * TASK_PLATFORM in a fleet, send the configuration and VM list again.
	 */
	supervisor_post(sup, TASK_PLATFORM,
			&(message_t){ .type = MESSAGE_VIEW_CHANGED });
	return g;
}

static void stop(void *state)
{
	gateway_t *g = state;
	g_autoptr(GList) relays = g_hash_table_get_values(g->relays);
	g_autoptr(GList) pending = g_hash_table_get_keys(g->pending);

	for (GList *link = relays; link; link = link->next)
		relay_free(link->data);
	for (GList *link = pending; link; link = link->next)
		relay_free(link->data);
	http_server_finish(&g->callers);
	event_free(g->tick);
	upstream_pool_finish(&g->pool);
	gateway_paths_finish(g);
	quarantine_finish(&g->quarantine);
	stream_releases_finish(&g->streams);
	gateway_rollouts_finish(g);
	vm_list_unref(g->vms);
	retry_budget_finish(&g->retries);
	runner_filter_finish(&g->runners);
	g_hash_table_destroy(g->relays);
	g_hash_table_destroy(g->pending);
	g_hash_table_destroy(g->runner_zones);
	g_hash_table_destroy(g->partitioned_zones);
	zone_groups_finish(&g->groups);
	fleet_unref(g->fleet);
	g_free(g);
}

const task_spec_t gateway_task = { "gateway", 2, start, handle, stop };
