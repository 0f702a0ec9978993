/*
 * Reactions to the failure detector. The roles of an unresponsive daemon move
 * to other daemons. When all linked daemons of a zone are unresponsive,
 * connections to some of its runners are tried. If these fail too, the zone is
 * taken to be partitioned, and nothing is sent to its runners until a daemon or
 * a runner of the zone answers again.
 */
#define LOG_PART "peers"

#include <errno.h>
#include <event2/bufferevent.h>
#include <inttypes.h>

#include "common/log.h"
#include "common/timeval.h"
#include "core/zone_verdict.h"
#include "daemon/peers.h"

enum {
	US_PER_MS = 1000,
	TICK_MS = 20, /* between checks of the failure detector */
	ZONE_PROBES = 2, /* runners probed at a time */
	PROBE_TIMEOUT_MS = 150, /* to connect */
	PROBE_INTERVAL_MS = 1000, /* between probes of a partitioned zone */
};

/* A probe of the runners of one unreachable zone. */
typedef struct zone_probe {
	peers_t *p;
	char zone[MEMBER_NAME_SIZE];
	struct bufferevent *bevs[ZONE_PROBES];
	int n_open; /* pending connections */
	int n_tried; /* connections of the latest probe */
	int64_t due_at; /* when the timer is to fire; us, monotonic clock */
	bool is_partitioned;
	struct event *timer; /* timeout of the probe, or start of the next */
} zone_probe_t;

/*
 * Logs what the verdict rests on. Daemons of the own zone that don't answer
 * either, or a late timer, show that this daemon itself is behind.
 */
static void log_verdict(const zone_probe_t *probe, const char *event,
			const char *why)
{
	const peers_t *p = probe->p;
	detector_count_t zone = detector_count(&p->detector, probe->zone);
	detector_count_t own = detector_count(&p->detector, p->self.zone);
	int64_t late = now_us() - probe->due_at;

	log_event(event,
		  "zone=%s unresponsive=%u linked=%u own_unresponsive=%u "
		  "own_linked=%u connections=%d late_ms=%" PRId64 " why=\"%s\"",
		  probe->zone, zone.unresponsive, zone.linked, own.unresponsive,
		  own.linked, probe->n_tried, MAX(late, 0) / US_PER_MS, why);
}

static void set_partitioned(zone_probe_t *probe, bool is_partitioned)
{
	static const task_id_t recipients[] = { TASK_CAPACITY, TASK_FRONT,
						TASK_PLATFORM };

	if (probe->is_partitioned == is_partitioned)
		return;
	probe->is_partitioned = is_partitioned;
	if (is_partitioned)
		log_verdict(probe, "zone-cut",
			    "no daemon or upstream of the zone answers");
	else
		log_verdict(probe, "zone-back",
			    "a daemon or upstream of the zone answers");
	for (size_t i = 0; i < G_N_ELEMENTS(recipients); i++) {
		message_t m = { .type = MESSAGE_ZONE_PARTITION,
				.contact.is_lost = is_partitioned };

		g_strlcpy(m.contact.name, probe->zone, sizeof(m.contact.name));
		supervisor_post(probe->p->sup, recipients[i], &m);
	}
}

static void close_connections(zone_probe_t *probe)
{
	for (int i = 0; i < ZONE_PROBES; i++) {
		if (probe->bevs[i])
			bufferevent_free(probe->bevs[i]);
		probe->bevs[i] = NULL;
	}
	probe->n_open = 0;
	event_del(probe->timer);
}

static void free_probe(void *data)
{
	zone_probe_t *probe = data;

	close_connections(probe);
	event_free(probe->timer);
	g_free(probe);
}

static void set_timer(zone_probe_t *probe, int64_t ms)
{
	struct timeval tv = timeval_from_ms(ms);

	probe->due_at = now_us() + ms * US_PER_MS;
	event_add(probe->timer, &tv);
}

static bool is_cut(const zone_probe_t *probe)
{
	const peers_t *p = probe->p;
	zone_evidence_t evidence = {
		.own = detector_count(&p->detector, p->self.zone),
		.late = now_us() - probe->due_at,
		.timeout = INT64_C(1) * PROBE_TIMEOUT_MS * US_PER_MS,
	};

	return zone_verdict_is_cut(&evidence);
}

static void probe_failed(zone_probe_t *probe)
{
	bool is_first = !probe->is_partitioned;

	close_connections(probe);
	if (is_first && !is_cut(probe)) {
		log_verdict(probe, "zone-unclear", "this daemon is behind");
		set_timer(probe, PROBE_TIMEOUT_MS);
		return;
	}
	set_partitioned(probe, true);
	set_timer(probe, PROBE_INTERVAL_MS);
}

static void probe_answered(zone_probe_t *probe)
{
	close_connections(probe);
	set_partitioned(probe, false);
}

static void on_connect(struct bufferevent *bev, short what, void *arg)
{
	zone_probe_t *probe = arg;
	int error = EVUTIL_SOCKET_ERROR();

	/* A refused or reset connection proves that the network works. */
	if ((what & BEV_EVENT_CONNECTED) || error == ECONNREFUSED ||
	    error == ECONNRESET)
		probe_answered(probe);
	else if (!--probe->n_open)
		probe_failed(probe);
}

static void connect_runner(zone_probe_t *probe, const char *address)
{
	struct sockaddr_storage name;
	int len = sizeof(name);
	struct bufferevent *bev;

	if (evutil_parse_sockaddr_port(address, (struct sockaddr *)&name, &len))
		return;
	bev = bufferevent_socket_new(probe->p->sup->base, -1,
				     BEV_OPT_CLOSE_ON_FREE |
					     BEV_OPT_DEFER_CALLBACKS);
	bufferevent_setcb(bev, NULL, NULL, on_connect, probe);
	if (bufferevent_socket_connect(bev, (struct sockaddr *)&name, len)) {
		bufferevent_free(bev);
		return;
	}
	probe->bevs[probe->n_open++] = bev;
}

/*
 * Connects to runners of the zone, starting at a random one. A zone without
 * runners does not become partitioned.
 */
static void start_probe(zone_probe_t *probe)
{
	const GArray *runners = probe->p->vms ? probe->p->vms->runners : NULL;
	guint n = runners ? runners->len : 0;
	guint first = n ? g_rand_int(probe->p->sup->rand) % n : 0;

	close_connections(probe);
	/* So that what is known of the own zone is as new as the outcome. */
	detector_ping_zone(&probe->p->detector, probe->p->self.zone, now_us());
	for (guint i = 0; i < n && probe->n_open < ZONE_PROBES; i++) {
		const vm_list_runner_t *r = &g_array_index(
			runners, vm_list_runner_t, (first + i) % n);

		if (!strcmp(r->zone, probe->zone) && !r->runner.is_leaving)
			connect_runner(probe, r->runner.address);
	}
	probe->n_tried = probe->n_open;
	if (probe->n_open)
		set_timer(probe, PROBE_TIMEOUT_MS);
}

static void on_probe_timer(evutil_socket_t fd, short what, void *arg)
{
	zone_probe_t *probe = arg;

	if (probe->n_open)
		probe_failed(probe);
	else
		start_probe(probe);
}

static void send_ping(void *ctx, const char *name)
{
	peers_t *p = ctx;
	Papaya__Frame frame = PAPAYA__FRAME__INIT;
	Papaya__Ping ping = PAPAYA__PING__INIT;

	frame.body_case = PAPAYA__FRAME__BODY_PING;
	frame.ping = &ping;
	peer_send(&p->peer, str_from(name), &frame);
}

static void on_unresponsive(void *ctx, const char *name, bool is_unresponsive)
{
	peers_t *p = ctx;
	message_t m = { .type = MESSAGE_PEER_UNRESPONSIVE,
			.contact.is_lost = is_unresponsive };

	log_event(is_unresponsive ? "peer-doubted" : "peer-answers", "peer=%s",
		  name);
	metrics_add(&p->sup->metrics, "papaya_peer_doubts_total", NULL,
		    is_unresponsive);
	g_strlcpy(m.contact.name, name, sizeof(m.contact.name));
	supervisor_post(p->sup, TASK_CAPACITY, &m);
	member_set_unresponsive(&p->member, str_from(name), is_unresponsive);
	peers_post_view_changed(p);
}

static void on_unreachable(void *ctx, const char *zone, bool is_unreachable)
{
	peers_t *p = ctx;
	zone_probe_t *probe = g_hash_table_lookup(p->zone_probes, zone);

	if (!is_unreachable && probe) {
		set_partitioned(probe, false);
		g_hash_table_remove(p->zone_probes, zone);
		return;
	}
	if (!is_unreachable || probe || !strcmp(zone, p->self.zone))
		return;
	probe = g_new0(zone_probe_t, 1);
	probe->p = p;
	g_strlcpy(probe->zone, zone, sizeof(probe->zone));
	probe->timer = evtimer_new(p->sup->base, on_probe_timer, probe);
	g_hash_table_insert(p->zone_probes, g_strdup(zone), probe);
	start_probe(probe);
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	peers_t *p = arg;

	detector_check(&p->detector, now_us());
}

/* The frame itself has been passed to the detector by its receiver. */
bool peers_on_ping(peers_t *p, const char *name, const Papaya__Frame *frame)
{
	Papaya__Frame answer = PAPAYA__FRAME__INIT;
	Papaya__Ping pong = PAPAYA__PING__INIT;

	if (frame->body_case != PAPAYA__FRAME__BODY_PING)
		return false;
	if (frame->ping->is_answer)
		return true;
	pong.is_answer = true;
	answer.body_case = PAPAYA__FRAME__BODY_PING;
	answer.ping = &pong;
	peer_send(&p->peer, str_from(name), &answer);
	return true;
}

void peers_detector_start(peers_t *p)
{
	static const detector_ops_t ops = { send_ping, on_unresponsive,
					    on_unreachable };

	detector_init(&p->detector, p->sup->settings->heartbeat_ms * 1000, &ops,
		      p);
	p->zone_probes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       free_probe);
	/*
	 * Outside a fleet only the membership decides which daemons are used.
	 */
	if (p->sup->settings->fleet)
		p->detector_timer =
			supervisor_add_timer(p->sup, TICK_MS, on_tick, p);
}

void peers_detector_finish(peers_t *p)
{
	if (p->detector_timer)
		event_free(p->detector_timer);
	g_hash_table_destroy(p->zone_probes);
	detector_finish(&p->detector);
}
