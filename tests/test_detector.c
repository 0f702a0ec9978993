/* Detection of unresponsive daemons and unreachable zones. */
#include "core/detector.h"
#include "tests/lib_suite.h"

#define MS INT64_C(1000)

enum {
	HEARTBEAT_MS = 600,
	TICK_MS = 10,
	MAX_HOSTS = 4,
};

/* Four daemons: "a0" and "a1" of zone za, "b0" and "b1" of zone zb. */
typedef struct world {
	detector_t r;
	int64_t now;
	int64_t delay[MAX_HOSTS]; /* of answers; below 0: no answer */
	int64_t answer_at[MAX_HOSTS]; /* 0: no answer is due */
	int n_pings, n_unresponsive, n_responsive, n_unreachable;
} world_t;

static const char *const names[MAX_HOSTS] = { "a0", "a1", "b0", "b1" };
static const char *const zones[MAX_HOSTS] = { "za", "za", "zb", "zb" };

static int index_of(const char *name)
{
	return (name[0] - 'a') * 2 + name[1] - '0';
}

static void expect_answer(world_t *w, int i)
{
	if (w->delay[i] >= 0 && !w->answer_at[i])
		w->answer_at[i] = w->now + w->delay[i];
}

static void on_ping(void *ctx, const char *name)
{
	world_t *w = ctx;

	w->n_pings++;
	expect_answer(w, index_of(name));
}

static void on_unresponsive(void *ctx, const char *name, bool is_unresponsive)
{
	world_t *w = ctx;

	*(is_unresponsive ? &w->n_unresponsive : &w->n_responsive) += 1;
}

static void on_unreachable(void *ctx, const char *zone, bool is_unreachable)
{
	world_t *w = ctx;

	w->n_unreachable += is_unreachable;
}

static void begin(world_t *w)
{
	static const detector_ops_t ops = { on_ping, on_unresponsive,
					    on_unreachable };

	*w = (world_t){ .now = 1000 * MS };
	detector_init(&w->r, HEARTBEAT_MS * MS, &ops, w);
	for (int i = 0; i < MAX_HOSTS; i++) {
		w->delay[i] = 4 * MS;
		detector_link_up(&w->r, names[i], zones[i], w->now);
	}
}

static void send_request(world_t *w, int i)
{
	detector_request_sent(&w->r, names[i], w->now);
	expect_answer(w, i);
}

static void run(world_t *w, int64_t ms)
{
	int64_t end = w->now + ms * MS;

	while (w->now < end) {
		w->now += TICK_MS * MS;
		for (int i = 0; i < MAX_HOSTS; i++) {
			if (!w->answer_at[i] || w->answer_at[i] > w->now)
				continue;
			detector_received(&w->r, names[i], w->answer_at[i]);
			w->answer_at[i] = 0;
		}
		detector_check(&w->r, w->now);
	}
}

/* Sends requests that are answered, so that round-trip times are known. */
static void measure_round_trips(world_t *w)
{
	for (int n = 0; n < 20; n++) {
		for (int i = 0; i < MAX_HOSTS; i++)
			send_request(w, i);
		run(w, 50);
	}
}

START_TEST(answering_daemon_is_not_unresponsive)
{
	static world_t w;

	begin(&w);
	measure_round_trips(&w);
	run(&w, 5000);
	ck_assert_int_eq(w.n_unresponsive, 0);
	/* Idle links are pinged at intervals. */
	ck_assert_int_gt(w.n_pings, 0);
	detector_finish(&w.r);
}
END_TEST

START_TEST(only_the_daemon_without_answers_is_unresponsive)
{
	static world_t w;

	begin(&w);
	measure_round_trips(&w);
	w.delay[0] = -1;
	send_request(&w, 0);
	run(&w, 100);
	ck_assert(detector_is_unresponsive(&w.r, "a0"));
	ck_assert(!detector_is_unresponsive(&w.r, "a1"));
	run(&w, 200);
	ck_assert_int_eq(w.n_unresponsive, 1);
	ck_assert(!detector_is_unreachable(&w.r, "za"));
	detector_finish(&w.r);
}
END_TEST

START_TEST(partitioned_zone_is_detected_in_a_few_round_trips)
{
	static world_t w;

	begin(&w);
	measure_round_trips(&w);
	w.delay[2] = w.delay[3] = -1;
	send_request(&w, 2);
	run(&w, 200);
	ck_assert(detector_is_unreachable(&w.r, "zb"));
	ck_assert(!detector_is_unreachable(&w.r, "za"));
	/* The zone must answer for a while before it is reachable again. */
	w.delay[2] = w.delay[3] = 4 * MS;
	run(&w, 200);
	ck_assert(detector_is_unreachable(&w.r, "zb"));
	run(&w, 600);
	ck_assert(!detector_is_unreachable(&w.r, "zb"));
	ck_assert_int_eq(w.n_unreachable, 1);
	ck_assert_int_eq(w.n_responsive, 2);
	detector_finish(&w.r);
}
END_TEST

START_TEST(idle_partitioned_zone_is_detected)
{
	static world_t w;

	begin(&w);
	measure_round_trips(&w);
	w.delay[2] = w.delay[3] = -1;
	run(&w, HEARTBEAT_MS * 3 / 2 + 100);
	ck_assert(detector_is_unreachable(&w.r, "zb"));
	detector_finish(&w.r);
}
END_TEST

START_TEST(slow_link_gets_a_longer_timeout)
{
	static world_t w;

	begin(&w);
	w.delay[0] = 120 * MS;
	for (int n = 0; n < 20; n++) {
		send_request(&w, 0);
		run(&w, 200);
	}
	w.n_unresponsive = 0;
	w.delay[0] = 140 * MS;
	for (int n = 0; n < 20; n++) {
		send_request(&w, 0);
		run(&w, 200);
	}
	ck_assert_int_eq(w.n_unresponsive, 0);
	detector_finish(&w.r);
}
END_TEST

START_TEST(closed_links_make_no_zone_unreachable)
{
	static world_t w;

	begin(&w);
	measure_round_trips(&w);
	detector_link_down(&w.r, "b0", w.now);
	detector_link_down(&w.r, "b1", w.now);
	ck_assert(!detector_is_unreachable(&w.r, "zb"));
	/* An unresponsive daemon stays so until it is linked again. */
	w.delay[0] = -1;
	send_request(&w, 0);
	run(&w, 200);
	detector_link_down(&w.r, "a0", w.now);
	ck_assert(detector_is_unresponsive(&w.r, "a0"));
	detector_link_up(&w.r, "a0", "za", w.now);
	ck_assert(!detector_is_unresponsive(&w.r, "a0"));
	detector_finish(&w.r);
}
END_TEST

START_TEST(stall_makes_no_peer_unresponsive)
{
	static world_t w;

	begin(&w);
	measure_round_trips(&w);
	send_request(&w, 0);
	w.answer_at[0] = 0;
	w.now += 4000 * MS;
	detector_restart_timers(&w.r, w.now);
	detector_check(&w.r, w.now);
	ck_assert_int_eq(w.n_unresponsive, 0);
	detector_finish(&w.r);
}
END_TEST

START_TEST(daemon_that_never_returns_is_removed)
{
	static world_t w;

	begin(&w);
	w.delay[3] = -1;
	run(&w, INT64_C(62) * 1000);
	ck_assert_uint_eq(g_hash_table_size(w.r.peers), MAX_HOSTS - 1);
	ck_assert(!detector_is_unresponsive(&w.r, "b1"));
	ck_assert_int_eq(w.n_unresponsive, 1);
	ck_assert_int_eq(w.n_responsive, 1);
	detector_finish(&w.r);
}
END_TEST

SUITE_MAIN("detector", answering_daemon_is_not_unresponsive,
	   only_the_daemon_without_answers_is_unresponsive,
	   partitioned_zone_is_detected_in_a_few_round_trips,
	   idle_partitioned_zone_is_detected, slow_link_gets_a_longer_timeout,
	   closed_links_make_no_zone_unreachable,
	   stall_makes_no_peer_unresponsive,
	   daemon_that_never_returns_is_removed)
