/* Detection of unresponsive daemons and unreachable zones. */
#include "core/detector.h"
#include "tests/lib_suite.h"

#define MS INT64_C(1000)

enum {
	HEARTBEAT_MS = 600,
	TICK_MS = 10,
	N_DAEMONS = 4,
};

/* Four daemons: "a0" and "a1" of zone za, "b0" and "b1" of zone zb. */
typedef struct detector_sim {
	detector_t detector;
	int64_t now;
	int64_t delay[N_DAEMONS]; /* of answers, us; negative: no answer */
	int64_t answer_at[N_DAEMONS]; /* time of the next one; 0: none */
	int n_pings, n_unresponsive, n_responsive, n_unreachable;
} detector_sim_t;

static const char *const names[N_DAEMONS] = { "a0", "a1", "b0", "b1" };
static const char *const zones[N_DAEMONS] = { "za", "za", "zb", "zb" };

static int index_of(const char *name)
{
	return (name[0] - 'a') * 2 + name[1] - '0';
}

static void expect_answer(detector_sim_t *s, int i)
{
	if (s->delay[i] >= 0 && !s->answer_at[i])
		s->answer_at[i] = s->now + s->delay[i];
}

static void on_ping(void *ctx, const char *name)
{
	detector_sim_t *s = ctx;

	s->n_pings++;
	expect_answer(s, index_of(name));
}

static void on_unresponsive(void *ctx, const char *name, bool is_unresponsive)
{
	detector_sim_t *s = ctx;

	*(is_unresponsive ? &s->n_unresponsive : &s->n_responsive) += 1;
}

static void on_unreachable(void *ctx, const char *zone, bool is_unreachable)
{
	detector_sim_t *s = ctx;

	s->n_unreachable += is_unreachable;
}

static void sim_init(detector_sim_t *s)
{
	static const detector_ops_t ops = { on_ping, on_unresponsive,
					    on_unreachable };

	*s = (detector_sim_t){ .now = 1000 * MS };
	detector_init(&s->detector, HEARTBEAT_MS * MS, &ops, s);
	for (int i = 0; i < N_DAEMONS; i++) {
		s->delay[i] = 4 * MS;
		detector_link_up(&s->detector, names[i], zones[i], s->now);
	}
}

static void send_request(detector_sim_t *s, int i)
{
	detector_request_sent(&s->detector, names[i], s->now);
	expect_answer(s, i);
}

static void sim_run(detector_sim_t *s, int64_t ms)
{
	int64_t end = s->now + ms * MS;

	while (s->now < end) {
		s->now += TICK_MS * MS;
		for (int i = 0; i < N_DAEMONS; i++) {
			if (!s->answer_at[i] || s->answer_at[i] > s->now)
				continue;
			detector_received(&s->detector, names[i],
					  s->answer_at[i]);
			s->answer_at[i] = 0;
		}
		detector_check(&s->detector, s->now);
	}
}

/* Sends requests that are answered, so that round-trip times are known. */
static void measure_round_trips(detector_sim_t *s)
{
	for (int n = 0; n < 20; n++) {
		for (int i = 0; i < N_DAEMONS; i++)
			send_request(s, i);
		sim_run(s, 50);
	}
}

START_TEST(answering_daemon_is_not_unresponsive)
{
	static detector_sim_t s;

	sim_init(&s);
	measure_round_trips(&s);
	sim_run(&s, 5000);
	ck_assert_int_eq(s.n_unresponsive, 0);
	/* Idle links are pinged at intervals. */
	ck_assert_int_gt(s.n_pings, 0);
	detector_finish(&s.detector);
}
END_TEST

START_TEST(only_the_daemon_without_answers_is_unresponsive)
{
	static detector_sim_t s;

	sim_init(&s);
	measure_round_trips(&s);
	s.delay[0] = -1;
	send_request(&s, 0);
	sim_run(&s, 100);
	ck_assert(detector_is_unresponsive(&s.detector, "a0"));
	ck_assert(!detector_is_unresponsive(&s.detector, "a1"));
	sim_run(&s, 200);
	ck_assert_int_eq(s.n_unresponsive, 1);
	ck_assert(!detector_is_unreachable(&s.detector, "za"));
	detector_finish(&s.detector);
}
END_TEST

START_TEST(partitioned_zone_is_detected_in_a_few_round_trips)
{
	static detector_sim_t s;

	sim_init(&s);
	measure_round_trips(&s);
	s.delay[2] = s.delay[3] = -1;
	send_request(&s, 2);
	sim_run(&s, 200);
	ck_assert(detector_is_unreachable(&s.detector, "zb"));
	ck_assert(!detector_is_unreachable(&s.detector, "za"));
	/* The zone must answer for a while before it is reachable again. */
	s.delay[2] = s.delay[3] = 4 * MS;
	sim_run(&s, 200);
	ck_assert(detector_is_unreachable(&s.detector, "zb"));
	sim_run(&s, 600);
	ck_assert(!detector_is_unreachable(&s.detector, "zb"));
	ck_assert_int_eq(s.n_unreachable, 1);
	ck_assert_int_eq(s.n_responsive, 2);
	detector_finish(&s.detector);
}
END_TEST

START_TEST(idle_partitioned_zone_is_detected)
{
	static detector_sim_t s;

	sim_init(&s);
	measure_round_trips(&s);
	s.delay[2] = s.delay[3] = -1;
	sim_run(&s, HEARTBEAT_MS * 3 / 2 + 100);
	ck_assert(detector_is_unreachable(&s.detector, "zb"));
	detector_finish(&s.detector);
}
END_TEST

START_TEST(slow_link_gets_a_longer_timeout)
{
	static detector_sim_t s;

	sim_init(&s);
	s.delay[0] = 120 * MS;
	for (int n = 0; n < 20; n++) {
		send_request(&s, 0);
		sim_run(&s, 200);
	}
	s.n_unresponsive = 0;
	s.delay[0] = 140 * MS;
	for (int n = 0; n < 20; n++) {
		send_request(&s, 0);
		sim_run(&s, 200);
	}
	ck_assert_int_eq(s.n_unresponsive, 0);
	detector_finish(&s.detector);
}
END_TEST

START_TEST(closed_links_make_no_zone_unreachable)
{
	static detector_sim_t s;

	sim_init(&s);
	measure_round_trips(&s);
	detector_link_down(&s.detector, "b0", s.now);
	detector_link_down(&s.detector, "b1", s.now);
	ck_assert(!detector_is_unreachable(&s.detector, "zb"));
	/* An unresponsive daemon stays so until it is linked again. */
	s.delay[0] = -1;
	send_request(&s, 0);
	sim_run(&s, 200);
	detector_link_down(&s.detector, "a0", s.now);
	ck_assert(detector_is_unresponsive(&s.detector, "a0"));
	detector_link_up(&s.detector, "a0", "za", s.now);
	ck_assert(!detector_is_unresponsive(&s.detector, "a0"));
	detector_finish(&s.detector);
}
END_TEST

START_TEST(stall_makes_no_peer_unresponsive)
{
	static detector_sim_t s;

	sim_init(&s);
	measure_round_trips(&s);
	send_request(&s, 0);
	s.answer_at[0] = 0;
	s.now += 4000 * MS;
	detector_restart_timers(&s.detector, s.now);
	detector_check(&s.detector, s.now);
	ck_assert_int_eq(s.n_unresponsive, 0);
	detector_finish(&s.detector);
}
END_TEST

START_TEST(daemon_that_never_returns_is_removed)
{
	static detector_sim_t s;

	sim_init(&s);
	s.delay[3] = -1;
	sim_run(&s, INT64_C(62) * 1000);
	ck_assert_uint_eq(g_hash_table_size(s.detector.peers), N_DAEMONS - 1);
	ck_assert(!detector_is_unresponsive(&s.detector, "b1"));
	ck_assert_int_eq(s.n_unresponsive, 1);
	ck_assert_int_eq(s.n_responsive, 1);
	detector_finish(&s.detector);
}
END_TEST

/* Guards against lost daemons that pass for a lag of this one. */
START_TEST(daemons_without_a_link_are_not_counted)
{
	static detector_sim_t s;
	detector_count_t count;

	sim_init(&s);
	measure_round_trips(&s);
	s.delay[0] = -1;
	send_request(&s, 0);
	sim_run(&s, 100);
	count = detector_count(&s.detector, "za");
	ck_assert_uint_eq(count.linked, 2);
	ck_assert_uint_eq(count.unresponsive, 1);
	detector_link_down(&s.detector, "a0", s.now);
	count = detector_count(&s.detector, "za");
	ck_assert_uint_eq(count.linked, 1);
	ck_assert_uint_eq(count.unresponsive, 0);
	detector_link_up(&s.detector, "a0", "za", s.now);
	ck_assert_uint_eq(detector_count(&s.detector, "za").linked, 2);
	detector_finish(&s.detector);
}
END_TEST

SUITE_MAIN("detector", answering_daemon_is_not_unresponsive,
	   only_the_daemon_without_answers_is_unresponsive,
	   partitioned_zone_is_detected_in_a_few_round_trips,
	   idle_partitioned_zone_is_detected, slow_link_gets_a_longer_timeout,
	   closed_links_make_no_zone_unreachable,
	   stall_makes_no_peer_unresponsive,
	   daemon_that_never_returns_is_removed,
	   daemons_without_a_link_are_not_counted)
