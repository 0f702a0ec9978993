/*
 * Measures the cost of the links between daemons: bytes and processor time
 * per second and daemon, for several numbers of daemons. All run in one
 * process over loopback, each with its own membership, and send only
 * heartbeats.
 */
#include <event2/event.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

#include "core/member.h"
#include "net/peer.h"

enum {
	HEARTBEAT_US = 500 * 1000,
	HEARTBEAT_TIMEOUT_US = 3000 * 1000,
	SILENCE_TIMEOUT_MS = 3000,
	HOLDOFF_US = 60 * 1000 * 1000,
	CONNECT_TIMEOUT_MS = 1000,
	WARM_UP_S = 5,
	DEFAULT_MEASURE_S = 5,
	PEER_PORT = 7400,
	MAX_FILES = 16384,
	SEED = 7,
};

typedef enum gossip_mode {
	MODE_ALL, /* each heartbeat lists all peers of the zone */
	MODE_NEWS, /* lists only peers that changed or were asked about */
	MODE_MESH, /* as MODE_NEWS, with links to all daemons of all zones */
} gossip_mode_t;

typedef struct bench {
	struct event_base *base;
	GPtrArray *vms; /* member_vm_t */
	char **zones;
	gossip_mode_t mode;
} bench_t;

typedef struct node {
	bench_t *bench;
	const member_vm_t *vm;
	member_t member;
	peer_t peer;
	struct event *timer;
	GPtrArray *heard; /* Papaya__Heard, of the heartbeat being sent */
} node_t;

static const char secret[] = "bench";

static void on_up(void *ctx, const member_vm_t *vm, uint64_t incarnation)
{
	node_t *n = ctx;

	member_on_heartbeat(&n->member, vm, incarnation, false,
			    g_get_monotonic_time());
}

static void on_down(void *ctx, const char *name, const err_t *err)
{
}

static void apply_heard(node_t *n, str_t from, const Papaya__Heard *heard,
			int64_t now)
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

	member_on_gossip(&n->member, from, &gossip, now);
}

static void on_frame(void *ctx, const char *name, const Papaya__Frame *frame)
{
	node_t *n = ctx;
	int64_t now = g_get_monotonic_time();
	member_vm_t vm;

	if (frame->body_case != PAPAYA__FRAME__BODY_HEARTBEAT ||
	    !member_find(&n->member, str_from(name), &vm, NULL, NULL))
		return;
	member_on_heartbeat(&n->member, &vm, frame->heartbeat->incarnation,
			    false, now);
	for (size_t i = 0; i < frame->heartbeat->n_heard; i++)
		apply_heard(n, str_from(name), frame->heartbeat->heard[i], now);
}

static void on_probed(void *ctx, const char *name, bool is_ok)
{
	node_t *n = ctx;

	member_on_probe_result(&n->member, str_from(name), is_ok,
			       g_get_monotonic_time());
}

static void on_probe(void *ctx, const member_vm_t *vm)
{
	node_t *n = ctx;

	peer_probe(&n->peer, vm);
}

static void on_link(void *ctx, const member_vm_t *vm)
{
	node_t *n = ctx;

	peer_keep(&n->peer, vm);
}

static void add_heard(node_t *n, const member_gossip_t *gossip)
{
	Papaya__Heard *heard = g_new(Papaya__Heard, 1);

	papaya__heard__init(heard);
	heard->name = (char *)gossip->name.ptr;
	heard->incarnation = gossip->incarnation;
	heard->age_ms = (uint32_t)(gossip->age / 1000);
	heard->is_dead = gossip->is_dead;
	heard->is_asked = gossip->is_asked;
	g_ptr_array_add(n->heard, heard);
}

static void on_gossip(void *ctx, const member_gossip_t *gossip)
{
	add_heard(ctx, gossip);
}

static void on_each(void *ctx, const member_vm_t *vm, member_state_t state,
		    uint64_t incarnation, int64_t heard_age)
{
	member_gossip_t gossip = { .name = str_from(vm->name),
				   .incarnation = incarnation,
				   .age = heard_age };

	/* MODE_ALL is measured with a single zone, so all peers are in it. */
	if (heard_age >= 0)
		add_heard(ctx, &gossip);
}

static void on_timer(evutil_socket_t fd, short what, void *ctx)
{
	node_t *n = ctx;
	Papaya__Frame frame = PAPAYA__FRAME__INIT;
	Papaya__Heartbeat beat = PAPAYA__HEARTBEAT__INIT;
	int64_t now = g_get_monotonic_time();

	member_tick(&n->member, now);
	if (n->bench->mode != MODE_MESH)
		member_each_link(&n->member, on_link, n, now);
	g_ptr_array_set_size(n->heard, 0);
	if (n->bench->mode == MODE_ALL)
		member_each(&n->member, on_each, n, now);
	else
		member_each_gossip(&n->member, on_gossip, n, now);
	beat.incarnation = member_incarnation(&n->member);
	beat.config_next = 123456;
	beat.heard = (Papaya__Heard **)n->heard->pdata;
	beat.n_heard = n->heard->len;
	frame.body_case = PAPAYA__FRAME__BODY_HEARTBEAT;
	frame.heartbeat = &beat;
	peer_send_all(&n->peer, &frame);
}

static void node_start(node_t *n, bench_t *b, guint i)
{
	static const peer_ops_t peer_ops = { on_up, on_down, on_frame,
					     on_probed };
	static const member_ops_t member_ops = { .probe = on_probe };
	static const member_config_t member_config = { HEARTBEAT_TIMEOUT_US,
						       HOLDOFF_US, 0, 1024 };
	const struct timeval every = { 0, HEARTBEAT_US };
	uint64_t incarnation = ((uint64_t)g_random_int() << 32) | i;
	str_t zones[MEMBER_MAX_ZONES];
	peer_config_t config = {
		.secret = STR_LIT(secret),
		.incarnation = incarnation,
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.silence_timeout_ms = SILENCE_TIMEOUT_MS,
		.max_backlog = 1 << 20,
		.seed = i,
	};
	uint32_t n_zones = 0;
	err_t err;

	for (; b->zones[n_zones]; n_zones++)
		zones[n_zones] = str_from(b->zones[n_zones]);
	n->bench = b;
	n->vm = b->vms->pdata[i];
	n->heard = g_ptr_array_new_with_free_func(g_free);
	config.self = *n->vm;
	member_init(&n->member, &member_config, n->vm, incarnation, zones,
		    n_zones, &member_ops, n, g_get_monotonic_time());
	if (!peer_init(&n->peer, b->base, &config, &peer_ops, n, &err)) {
		fprintf(stderr, "%s: %s\n", err.step, err.detail);
		exit(EXIT_FAILURE);
	}
	for (guint k = 0; k < b->vms->len && b->mode == MODE_MESH; k++)
		peer_keep(&n->peer, b->vms->pdata[k]);
	n->timer = event_new(b->base, -1, EV_PERSIST, on_timer, n);
	event_add(n->timer, &every);
}

static void set_vm_lists(node_t *nodes, const bench_t *b)
{
	GArray *vms = g_array_new(FALSE, FALSE, sizeof(member_vm_t));

	for (guint i = 0; i < b->vms->len; i++)
		g_array_append_vals(vms, b->vms->pdata[i], 1);
	for (guint i = 0; i < b->vms->len; i++)
		member_set_list(&nodes[i].member, (member_vm_t *)vms->data,
				vms->len, g_get_monotonic_time());
	g_array_unref(vms);
}

static void node_finish(node_t *n)
{
	event_free(n->timer);
	peer_finish(&n->peer);
	member_finish(&n->member);
	g_ptr_array_unref(n->heard);
}

static void run_for(struct event_base *base, int seconds)
{
	const struct timeval tv = { seconds, 0 };

	event_base_loopexit(base, &tv);
	event_base_dispatch(base);
}

static double cpu_seconds(void)
{
	struct rusage ru;

	getrusage(RUSAGE_SELF, &ru);
	return (double)(ru.ru_utime.tv_sec + ru.ru_stime.tv_sec) +
	       (double)(ru.ru_utime.tv_usec + ru.ru_stime.tv_usec) / 1e6;
}

static peer_stats_t sum_stats(const node_t *nodes, guint n)
{
	peer_stats_t sum = { 0 };

	for (guint i = 0; i < n; i++) {
		peer_stats_t one;

		peer_stats(&nodes[i].peer, &one);
		sum.bytes_out += one.bytes_out;
		sum.frames_out += one.frames_out;
		sum.connects += one.connects;
		sum.links_up += one.links_up;
	}
	return sum;
}

static void fill_vms(bench_t *b, int n, int n_zones)
{
	unsigned int pid = (unsigned int)getpid();

	for (int i = 0; i < n; i++) {
		member_vm_t *vm = g_new0(member_vm_t, 1);

		g_snprintf(vm->name, sizeof(vm->name), "zone-%d-entry-%02d",
			   i % n_zones, i / n_zones);
		g_snprintf(vm->zone, sizeof(vm->zone), "%s",
			   b->zones[i % n_zones]);
		g_snprintf(vm->peer_address, sizeof(vm->peer_address),
			   "127.%u.%u.%d:%d", 1 + (pid >> 8) % 250, pid & 255,
			   i + 1, PEER_PORT);
		g_ptr_array_add(b->vms, vm);
	}
}

static void measure(int n, int n_zones, gossip_mode_t mode, int seconds)
{
	static const char *const names[] = { "all", "news", "mesh" };
	char *zones[] = { "zone-0", "zone-1", "zone-2", NULL };
	bench_t b = { .base = event_base_new(),
		      .mode = mode,
		      .zones = zones,
		      .vms = g_ptr_array_new_with_free_func(g_free) };
	g_autofree node_t *nodes = g_new0(node_t, n);
	peer_stats_t before, after;
	double cpu_s;

	zones[n_zones] = NULL;
	fill_vms(&b, n, n_zones);
	for (int i = 0; i < n; i++)
		node_start(&nodes[i], &b, (guint)i);
	set_vm_lists(nodes, &b);
	run_for(b.base, WARM_UP_S);
	before = sum_stats(nodes, (guint)n);
	cpu_s = cpu_seconds();
	run_for(b.base, seconds);
	cpu_s = cpu_seconds() - cpu_s;
	after = sum_stats(nodes, (guint)n);
	printf("%5d %5d %6s %7.1f %11.0f %9.1f %9.2f %8d\n", n, n_zones,
	       names[mode], (double)after.links_up / n,
	       (double)(after.bytes_out - before.bytes_out) / n / seconds,
	       (double)(after.bytes_out - before.bytes_out) /
		       (double)(after.frames_out - before.frames_out),
	       cpu_s * 1000 / n / seconds,
	       (int)(after.connects - before.connects));
	fflush(stdout);
	for (int i = 0; i < n; i++)
		node_finish(&nodes[i]);
	g_ptr_array_unref(b.vms);
	event_base_free(b.base);
}

int main(int argc, char **argv)
{
	static const int sizes[] = { 5, 13, 27, 54 };
	struct rlimit files = { MAX_FILES, MAX_FILES };
	int seconds = argc > 1 ? atoi(argv[1]) : DEFAULT_MEASURE_S;

	if (seconds <= 0) {
		fprintf(stderr, "usage: %s [SECONDS]\n", argv[0]);
		return EXIT_FAILURE;
	}
	signal(SIGPIPE, SIG_IGN);
	setrlimit(RLIMIT_NOFILE, &files);
	g_random_set_seed(SEED);
	printf("%5s %5s %6s %7s %11s %9s %9s %8s\n", "n", "zones", "mode",
	       "links", "bytes_out/s", "bytes/frm", "cpu_ms/s", "connects");
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		measure(sizes[i], 1, MODE_ALL, seconds);
		measure(sizes[i], 1, MODE_NEWS, seconds);
	}
	measure(54, 3, MODE_MESH, seconds);
	measure(54, 3, MODE_NEWS, seconds);
	return EXIT_SUCCESS;
}
