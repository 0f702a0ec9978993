/*
 * The peers task. Keeps links to other daemons, tracks the membership, finds
 * the owners of keys, and forwards messages between owners and dispatchers.
 */
#define LOG_PART "peers"

#include <inttypes.h>

#include "common/log.h"
#include "common/unique.h"
#include "daemon/fleet_view.h"
#include "daemon/frames.h"
#include "daemon/peers.h"
#include "daemon/speed_frames.h"
#include "daemon/vm_frames.h"

enum {
	/*
	 * A daemon that was heard within this time counts as possibly serving
	 * behind a network partition.
	 */
	PARTITION_MEMORY_US = 30 * G_USEC_PER_SEC,
	MAX_MEMBERS = 1024,
	MAX_BACKLOG = 4 << 20, /* unsent bytes per link */
	/* To hand over all keys, counted from the end of the last request. */
	HANDOVER_TIMEOUT_US = 10 * G_USEC_PER_SEC,
};

bool peers_is_own_zone(void *ctx, const char *name)
{
	peers_t *p = ctx;
	member_vm_t vm;

	return member_find(&p->member, str_from(name), &vm, NULL, NULL) &&
	       !strcmp(vm.zone, p->self.zone);
}

static void on_probe(void *ctx, const member_vm_t *vm)
{
	peers_t *p = ctx;

	log_info("probing suspect daemon %s by a new connection", vm->name);
	peer_probe(&p->peer, vm);
}

static void post_owner_lost(peers_t *p, const char *name)
{
	message_t m = { .type = MESSAGE_OWNER_LOST };

	g_strlcpy(m.capacity.peer, name, sizeof(m.capacity.peer));
	supervisor_post(p->sup, TASK_CAPACITY, &m);
	supervisor_post(p->sup, TASK_LIMITS, &m);
}

/* Records the incarnation of a live daemon; handles its restart or death. */
static void update_incarnation(void *ctx, const member_vm_t *vm,
			       member_state_t state, uint64_t incarnation,
			       int64_t heard_age)
{
	peers_t *p = ctx;
	uint64_t *known = g_hash_table_lookup(p->incarnations, vm->name);

	if (state == MEMBER_LIVE && !known) {
		log_event("peer-live", "peer=%s zone=%s", vm->name, vm->zone);
	} else if (state == MEMBER_LIVE && *known != incarnation) {
		log_event("peer-restarted", "peer=%s zone=%s", vm->name,
			  vm->zone);
		post_owner_lost(p, vm->name);
	} else if (state == MEMBER_DEAD && known) {
		log_event("peer-dead", "peer=%s zone=%s heard_age_ms=%" PRId64,
			  vm->name, vm->zone, heard_age / 1000);
		g_hash_table_remove(p->incarnations, vm->name);
		post_owner_lost(p, vm->name);
	}
	if (state == MEMBER_LIVE)
		g_hash_table_insert(
			p->incarnations, g_strdup(vm->name),
			g_memdup2(&incarnation, sizeof(incarnation)));
}

void peers_post_view_changed(peers_t *p)
{
	supervisor_post(p->sup, TASK_FRONT,
			&(message_t){ .type = MESSAGE_VIEW_CHANGED });
	peers_post_limit_hosts(p);
}

static void on_changed(void *ctx)
{
	peers_t *p = ctx;

	member_each(&p->member, update_incarnation, p, now_us());
	peers_post_view_changed(p);
}

/* Frames to and from the daemon may have been lost before. */
static void post_link_up(peers_t *p, const char *name)
{
	message_t m = { .type = MESSAGE_LINK_UP };

	g_strlcpy(m.contact.name, name, sizeof(m.contact.name));
	supervisor_post(p->sup, TASK_CAPACITY, &m);
	supervisor_post(p->sup, TASK_FRONT, &m);
}

static void on_link_up(void *ctx, const member_vm_t *vm, uint64_t incarnation)
{
	peers_t *p = ctx;

	log_info("link to %s is up", vm->name);
	member_on_heartbeat(&p->member, vm, incarnation, false, now_us());
	member_set_link_lost(&p->member, str_from(vm->name), false, now_us());
	detector_link_up(&p->detector, vm->name, vm->zone, now_us());
	post_link_up(p, vm->name);
	peers_post_view_changed(p);
}

/* Sets has_broken_link for a live daemon of the own zone without a link. */
static void check_link(void *ctx, const member_vm_t *vm, member_state_t state,
		       uint64_t incarnation, int64_t heard_age)
{
	peers_t *p = ctx;

	if (state == MEMBER_LIVE && !strcmp(vm->zone, p->self.zone) &&
	    !peer_is_up(&p->peer, str_from(vm->name)))
		p->has_broken_link = true;
}

/*
 * Posts to the capacity task whether the own zone's membership is stable. While
 * it isn't, or a live daemon has no link, two daemons may dispatch for the same
 * service.
 */
static void post_view_stable(peers_t *p)
{
	message_t m = { .type = MESSAGE_VIEW_STABLE };
	bool is_stable;

	p->has_broken_link = false;
	member_each(&p->member, check_link, p, now_us());
	is_stable =
		!p->has_broken_link && member_is_stable(&p->member, now_us());
	m.number = is_stable;
	supervisor_post(p->sup, TASK_CAPACITY, &m);
}

static void on_link_down(void *ctx, const char *name, const err_t *err)
{
	peers_t *p = ctx;
	char text[ERR_DETAIL_SIZE * 2];

	log_info("link to %s is down: %s", name,
		 err ? err_text(err, text, sizeof(text)) : "closed");
	/* The next host takes its roles before it is known to be dead. */
	if (p->sup->settings->fleet && g_hash_table_contains(p->linked, name))
		member_set_link_lost(&p->member, str_from(name), true,
				     now_us());
	detector_link_down(&p->detector, name, now_us());
	post_view_stable(p);
	/* Wants sent over the link may be lost; the front sends them again. */
	peers_post_view_changed(p);
}

static void receive_gossip(peers_t *p, const char *reporter,
			   const Papaya__Heard *heard, int64_t now)
{
	member_gossip_t gossip = {
		.name = str_from(heard->name),
		.incarnation = heard->incarnation,
		.age = heard->age_ms == UINT32_MAX ?
			       -1 :
			       (int64_t)heard->age_ms * 1000,
		.is_dead = heard->is_dead,
		.is_asked = heard->is_asked,
	};

	member_on_gossip(&p->member, str_from(reporter), &gossip, now);
}

static void receive_heartbeat(peers_t *p, const char *name,
			      const Papaya__Heartbeat *hb)
{
	int64_t now = now_us();
	member_vm_t vm;

	if (!member_find(&p->member, str_from(name), &vm, NULL, NULL))
		return;
	member_on_heartbeat(&p->member, &vm, hb->incarnation, hb->draining,
			    now);
	for (size_t i = 0; i < hb->n_heard; i++)
		receive_gossip(p, name, hb->heard[i], now);
	if (hb->no_vms && p->vms)
		vm_frames_send(&p->peer, str_from(name), p->vms);
	if (p->sup->settings->fleet && hb->config_next > p->config_next) {
		message_t m = { .type = MESSAGE_CONFIG_STATED,
				.number = hb->config_next };

		supervisor_post(p->sup, TASK_PLATFORM, &m);
	}
	if (hb->config_next < p->config_next) {
		message_t m = { .type = MESSAGE_CONFIG_REQUEST,
				.docs.next = hb->config_next };

		g_strlcpy(m.docs.peer, name, sizeof(m.docs.peer));
		supervisor_post(p->sup, TASK_PLATFORM, &m);
	}
}

static void on_frame(void *ctx, const char *name, const Papaya__Frame *frame)
{
	peers_t *p = ctx;
	message_t m;

	detector_received(&p->detector, name, now_us());
	if (frame->body_case == PAPAYA__FRAME__BODY_HEARTBEAT) {
		receive_heartbeat(p, name, frame->heartbeat);
		return;
	}
	if (frame->body_case == PAPAYA__FRAME__BODY_DOCUMENTS) {
		frames_read_documents(frame->documents, name, &m);
		supervisor_post(p->sup, TASK_PLATFORM, &m);
		return;
	}
	if (frame->body_case == PAPAYA__FRAME__BODY_VM_LIST) {
		m = (message_t){ .type = MESSAGE_VMS_RELAYED,
				 .vms = vm_frames_read(frame->vm_list) };
		supervisor_post(p->sup, TASK_PLATFORM, &m);
		return;
	}
	if (peers_on_store_frame(p, name, frame) ||
	    peers_on_part_frame(p, name, frame) ||
	    peers_on_stream_frame(p, name, frame) ||
	    peers_on_rollout_frame(p, name, frame) ||
	    peers_on_ping(p, name, frame))
		return;
	if (speed_frames_read(frame, &m)) {
		supervisor_post(p->sup, TASK_CAPACITY, &m);
		return;
	}
	if (key_table_receive(&p->keys, name, frame))
		return;
	if (frames_read_limit(frame, name, &m)) {
		supervisor_post(p->sup,
				m.type == MESSAGE_LIMIT_ANSWER ? TASK_FRONT :
								 TASK_LIMITS,
				&m);
		return;
	}
	if (frames_read_lease(frame, name, &m)) {
		supervisor_post(p->sup, TASK_LIMITS, &m);
		return;
	}
	if (!frames_read_capacity(frame, name, now_us(), &m)) {
		metrics_add(&p->sup->metrics, "papaya_foreign_frames_total",
			    NULL, 1);
		return;
	}
	if (m.type == MESSAGE_WANT)
		peers_receive_want(p, &m);
	else
		supervisor_post(p->sup,
				peers_is_for_owner(m.type) ? TASK_FRONT :
							     TASK_CAPACITY,
				&m);
}

static void on_probe_result(void *ctx, const char *name, bool is_ok)
{
	peers_t *p = ctx;

	log_info("suspect daemon %s %s", name,
		 is_ok ? "answered on a new connection" :
			 "did not answer on a new connection");
	member_on_probe_result(&p->member, str_from(name), is_ok, now_us());
}

static void add_heard(void *ctx, const member_gossip_t *gossip)
{
	GPtrArray *all = ctx;
	Papaya__Heard *heard = g_new(Papaya__Heard, 1);

	papaya__heard__init(heard);
	heard->name = (char *)gossip->name.ptr;
	heard->incarnation = gossip->incarnation;
	heard->age_ms =
		gossip->age < 0 ? UINT32_MAX : (uint32_t)(gossip->age / 1000);
	heard->is_dead = gossip->is_dead;
	heard->is_asked = gossip->is_asked;
	g_ptr_array_add(all, heard);
}

static void send_heartbeats(peers_t *p)
{
	Papaya__Frame frame = PAPAYA__FRAME__INIT;
	Papaya__Heartbeat hb = PAPAYA__HEARTBEAT__INIT;
	g_autoptr(GPtrArray) heard = g_ptr_array_new_with_free_func(g_free);

	member_each_gossip(&p->member, add_heard, heard, now_us());
	hb.draining = p->is_draining;
	hb.incarnation = member_incarnation(&p->member);
	hb.config_next = p->config_next;
	/*
	 * A fleet's daemon requests the list from one peer instead; see
	 * peers_request_lists.
	 */
	hb.no_vms = !p->vms && !p->sup->settings->fleet;
	hb.heard = (Papaya__Heard **)heard->pdata;
	hb.n_heard = heard->len;
	frame.body_case = PAPAYA__FRAME__BODY_HEARTBEAT;
	frame.heartbeat = &hb;
	peer_send_all(&p->peer, &frame);
}

void peers_check_incarnation(peers_t *p)
{
	uint64_t epoch = supervisor_stall_epoch(p->sup);
	uint64_t incarnation;

	if (epoch == p->epoch && !member_is_stalled(&p->member, now_us()))
		return;
	if (epoch == p->epoch)
		supervisor_count_stall(p->sup);
	p->epoch = supervisor_stall_epoch(p->sup);
	incarnation = unique_id();
	member_begin_incarnation(&p->member, incarnation, now_us());
	detector_restart_timers(&p->detector, now_us());
	peer_set_incarnation(&p->peer, incarnation);
	key_table_reset(&p->keys);
	log_warn("this daemon stalled or was declared dead by peers; "
		 "it took a new incarnation, and the keys it owns are in the "
		 "hold-off period (answered \"unknown\")");
}

static void export_stats(peers_t *p)
{
	metrics_t *m = &p->sup->metrics;
	peer_stats_t stats;

	peer_stats(&p->peer, &stats);
	metrics_set(m, "papaya_peer_links", NULL, stats.links_up);
	metrics_set(m, "papaya_peer_bytes_in_total", NULL, stats.bytes_in);
	metrics_set(m, "papaya_peer_bytes_out_total", NULL, stats.bytes_out);
	metrics_set(m, "papaya_peer_frames_in_total", NULL, stats.frames_in);
	metrics_set(m, "papaya_peer_frames_out_total", NULL, stats.frames_out);
	metrics_set(m, "papaya_peer_refused_frames_total", NULL,
		    stats.refused_frames);
	metrics_set(m, "papaya_peer_dropped_backlog_total", NULL,
		    stats.dropped_backlog);
}

/*
 * Ends the drain once other daemons own all keys of this one, or when the time
 * for the hand-over is up.
 */
static void check_handover(peers_t *p)
{
	bool is_done = key_table_is_handed_over(&p->keys);

	if (!p->handover_deadline ||
	    (!is_done && now_us() < p->handover_deadline))
		return;
	log_info("hand-over of keys %s", is_done ? "completed" : "timed out");
	p->handover_deadline = 0;
	supervisor_post(p->sup, TASK_ACCOUNTS,
			&(message_t){ .type = MESSAGE_DRAINED });
}

static void connect_seeds(peers_t *p)
{
	member_vm_t vm;

	for (char **seed = p->sup->settings->seeds; *seed; seed++)
		if (settings_parse_seed(*seed, &vm, NULL) &&
		    strcmp(vm.name, p->self.name))
			peer_keep(&p->peer, &vm);
	for (char **seed = p->sup->settings->seed_addresses; *seed; seed++)
		if (settings_seed_to_vm(p->sup->settings, *seed, &vm) &&
		    strcmp(vm.name, p->self.name))
			peer_keep(&p->peer, &vm);
}

static void keep_link(void *ctx, const member_vm_t *vm)
{
	peers_t *p = ctx;

	g_hash_table_insert(p->linked, g_strdup(vm->name),
			    GINT_TO_POINTER(true));
	peer_keep(&p->peer, vm);
}

/*
 * Keeps the links that the membership needs and releases all others. With no
 * link up, connects to the seeds.
 */
static void update_links(peers_t *p)
{
	peer_stats_t stats;
	GHashTableIter iter;
	void *name, *is_needed;

	g_hash_table_iter_init(&iter, p->linked);
	while (g_hash_table_iter_next(&iter, NULL, NULL))
		g_hash_table_iter_replace(&iter, GINT_TO_POINTER(false));
	member_each_link(&p->member, keep_link, p, now_us());
	g_hash_table_iter_init(&iter, p->linked);
	while (g_hash_table_iter_next(&iter, &name, &is_needed)) {
		if (is_needed)
			continue;
		peer_release(&p->peer, str_from(name));
		member_set_link_lost(&p->member, str_from(name), false,
				     now_us());
		g_hash_table_iter_remove(&iter);
	}
	peer_stats(&p->peer, &stats);
	if (!stats.links_up)
		connect_seeds(p);
}

static void post_daemon_count(peers_t *p)
{
	message_t m = { .type = MESSAGE_DAEMON_COUNT };

	member_count(&p->member, PARTITION_MEMORY_US, now_us(), &m.daemons.live,
		     &m.daemons.known);
	p->live_daemons = m.daemons.live;
	supervisor_post(p->sup, TASK_LIMITS, &m);
	if (p->sup->settings->fleet)
		supervisor_post(p->sup, TASK_PLATFORM, &m);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	peers_t *p = arg;

	peers_check_incarnation(p);
	member_tick(&p->member, now_us());
	post_view_stable(p);
	peers_post_reader(p);
	peers_post_rollout_host(p);
	post_daemon_count(p);
	peers_post_limit_hosts(p);
	if (p->sup->settings->fleet)
		peers_link_roles(p);
	update_links(p);
	send_heartbeats(p);
	key_table_tick(&p->keys);
	check_handover(p);
	export_stats(p);
}

static void add_regional(void *ctx, const char *dispatcher)
{
	g_ptr_array_add(ctx, g_strdup(dispatcher));
}

/* Lists the dispatchers that serve all zones. */
static void update_regional(peers_t *p, const vm_list_t *vms)
{
	zone_groups_t groups;

	g_ptr_array_set_size(p->regional_dispatchers, 0);
	zone_groups_init(&groups, p->self.zone);
	fleet_view_count_runners(vms, &groups);
	zone_groups_each_regional(&groups, add_regional,
				  p->regional_dispatchers);
	zone_groups_finish(&groups);
}

static void set_vm_list(peers_t *p, const vm_list_t *vms)
{
	const member_vm_t *list = (const member_vm_t *)vms->daemons->data;

	update_regional(p, vms);
	member_set_list(&p->member, list, vms->daemons->len, now_us());
	update_links(p);
}

static void drain(peers_t *p)
{
	p->is_draining = true;
	member_set_draining(&p->member, true, now_us());
	send_heartbeats(p);
}

static void handle(void *state, const message_t *m)
{
	peers_t *p = state;

	switch (m->type) {
	case MESSAGE_CONFIG_NEXT:
		p->config_next = m->number;
		break;
	case MESSAGE_CONFIG_SEND:
		frames_send_documents(&p->peer, &m->docs);
		break;
	case MESSAGE_VMS:
		vm_list_unref(p->vms);
		p->vms = vm_list_ref(m->vms);
		set_vm_list(p, m->vms);
		break;
	case MESSAGE_TOPIC_UPDATE:
		peers_send_update(p, &m->update);
		break;
	case MESSAGE_PART_NOTICE:
		peers_send_part(p, &m->part);
		break;
	case MESSAGE_STREAM_NOTES:
		peers_send_stream_notes(p, m->streams.begun);
		break;
	case MESSAGE_SPEEDS:
		peers_send_speeds(p, &m->speeds);
		break;
	case MESSAGE_STREAM_ASK:
	case MESSAGE_STREAM_ANSWER:
		peers_route_stream(p, m);
		break;
	case MESSAGE_ROLLOUT_REPORT:
	case MESSAGE_ROLLOUT_TOLD:
		peers_route_rollout(p, m);
		break;
	case MESSAGE_REQUEST_LISTS:
		peers_request_lists(p, m->lists.topics);
		break;
	case MESSAGE_LOCATE:
		peers_locate(p, &m->locate);
		break;
	case MESSAGE_CLAIM_ENDED:
		key_table_on_request_end(&p->keys, &m->claim);
		break;
	case MESSAGE_ROUTE_QUERY:
		peers_on_route_query(p, m->query);
		break;
	case MESSAGE_WANT:
		peers_route_want(p, m);
		break;
	case MESSAGE_GRANT:
	case MESSAGE_REFUSE:
	case MESSAGE_CANCEL:
	case MESSAGE_QUEUED:
	case MESSAGE_WITHDRAW:
	case MESSAGE_FIRST_TOKEN:
	case MESSAGE_DONE:
		peers_forward(p, m);
		break;
	case MESSAGE_LIMIT_ASK:
		peers_route_limit(p, m);
		break;
	case MESSAGE_LIMIT_ANSWER:
	case MESSAGE_LIMIT_RELEASE:
		peers_forward_limit(p, m);
		break;
	case MESSAGE_LIMIT_LEND:
	case MESSAGE_LIMIT_STAMP:
		frames_send_lease(&p->peer, m);
		break;
	case MESSAGE_DRAIN:
		drain(p);
		break;
	case MESSAGE_DRAINED:
		p->handover_deadline = now_us() + HANDOVER_TIMEOUT_US;
		break;
	default:
		break;
	}
}

static void init_member(peers_t *p, uint64_t incarnation)
{
	static const member_ops_t ops = { on_probe, on_changed };
	const settings_t *s = p->sup->settings;
	/*
	 * Within this time all daemons learn of a daemon's death: the heartbeat
	 * timeout, the probe and the gossip.
	 */
	int64_t timeout = 2 * (s->heartbeat_timeout_ms + s->heartbeat_ms) +
			  s->connect_timeout_ms;
	member_config_t config = {
		.heartbeat_timeout = s->heartbeat_timeout_ms * 1000,
		.holdoff_period = (settings_key_ttl_ms(s) + timeout) * 1000,
		.key_age_margin = (timeout + s->clock_skew_ms) * 1000,
		.max_members = MAX_MEMBERS,
	};
	str_t zones[MEMBER_MAX_ZONES];
	uint32_t n = 0;

	for (char **zone = s->zones; *zone; zone++)
		zones[n++] = str_from(*zone);
	member_init(&p->member, &config, &p->self, incarnation, zones, n, &ops,
		    p, now_us());
}

static bool init_peer(peers_t *p, uint64_t incarnation, err_t *err)
{
	static const peer_ops_t ops = { on_link_up, on_link_down, on_frame,
					on_probe_result };
	const settings_t *s = p->sup->settings;
	peer_config_t config = {
		.self = p->self,
		.incarnation = incarnation,
		.secret = str_from(s->peer_secret),
		.connect_timeout_ms = s->connect_timeout_ms,
		.silence_timeout_ms = s->heartbeat_timeout_ms,
		.max_backlog = MAX_BACKLOG,
		.seed = g_rand_int(p->sup->rand),
	};

	return peer_init(&p->peer, p->sup->base, &config, &ops, p, err);
}

static void *start(supervisor_t *sup, err_t *err)
{
	peers_t *p = g_new0(peers_t, 1);
	uint64_t incarnation = unique_id();

	p->sup = sup;
	p->epoch = supervisor_stall_epoch(sup);
	p->started_at = now_us();
	settings_own_vm(sup->settings, &p->self);
	if (!init_peer(p, incarnation, err)) {
		g_free(p);
		return NULL;
	}
	p->incarnations =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	p->regional_dispatchers = g_ptr_array_new_with_free_func(g_free);
	p->linked =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	init_member(p, incarnation);
	peers_detector_start(p);
	key_table_init(&p->keys, sup, &p->member, &p->peer);
	connect_seeds(p);
	p->timer = supervisor_add_timer(sup, sup->settings->heartbeat_ms,
					on_timer, p);
	return p;
}

static void stop(void *state)
{
	peers_t *p = state;

	event_free(p->timer);
	peers_detector_finish(p);
	key_table_finish(&p->keys);
	peer_finish(&p->peer);
	member_finish(&p->member);
	vm_list_unref(p->vms);
	g_hash_table_destroy(p->incarnations);
	g_hash_table_destroy(p->linked);
	g_ptr_array_unref(p->regional_dispatchers);
	g_free(p);
}

const task_spec_t peers_task = { "peers", 2, start, handle, stop };
