/* Which daemons and zones answer just now. */
#include "core/detector.h"
#include "tests/lib_suite.h"

#define MS INT64_C(1000)

enum {
	HEARTBEAT_MS = 600,
	TICK_MS = 10,
	MAX_HOSTS = 4,
};

/* Daemons by letter: "a0" and "a1" of zone za, "b0" and "b1" of zone zb. */
typedef struct world {
	detector_t r;
	int64_t now;
	int64_t delay[MAX_HOSTS]; /* of answers; below 0: none */
	int64_t answer_at[MAX_HOSTS]; /* 0: none is on its way */
	int pings, doubts, ends, silences;
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

	w->pings++;
	expect_answer(w, index_of(name));
}

static void on_doubted(void *ctx, const char *name, bool is_unresponsive)
{
	world_t *w = ctx;

	*(is_unresponsive ? &w->doubts : &w->ends) += 1;
}

static void on_silent(void *ctx, const char *zone, bool is_silent)
{
	world_t *w = ctx;

	w->silences += is_silent;
}

static void begin(world_t *w)
{
	static const detector_ops_t ops = { on_ping, on_doubted, on_silent };

	*w = (world_t){ .now = 1000 * MS };
	detector_init(&w->r, HEARTBEAT_MS * MS, &ops, w);
	for (int i = 0; i < MAX_HOSTS; i++) {
		w->delay[i] = 4 * MS;
		detector_link_up(&w->r, names[i], zones[i], w->now);
	}
}

static void ask(world_t *w, int i)
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

/* Questions that are answered, so that round trips are known. */
static void teach(world_t *w)
{
	for (int n = 0; n < 20; n++) {
		for (int i = 0; i < MAX_HOSTS; i++)
			ask(w, i);
		run(w, 50);
	}
}

START_TEST(who_answers_is_not_doubted)
{
	static world_t w;

	begin(&w);
	teach(&w);
	run(&w, 5000);
	ck_assert_int_eq(w.doubts, 0);
	/* Idle links are asked now and then. */
	ck_assert_int_gt(w.pings, 0);
	detector_finish(&w.r);
}
END_TEST

START_TEST(one_that_is_silent_is_doubted_alone)
{
	static world_t w;

	begin(&w);
	teach(&w);
	w.delay[0] = -1;
	ask(&w, 0);
	run(&w, 100);
	ck_assert(detector_is_unresponsive(&w.r, "a0"));
	ck_assert(!detector_is_unresponsive(&w.r, "a1"));
	run(&w, 200);
	ck_assert_int_eq(w.doubts, 1);
	ck_assert(!detector_is_unreachable(&w.r, "za"));
	detector_finish(&w.r);
}
END_TEST

START_TEST(a_zone_that_is_cut_off_is_known_in_a_few_round_trips)
{
	static world_t w;

	begin(&w);
	teach(&w);
	w.delay[2] = w.delay[3] = -1;
	ask(&w, 2);
	run(&w, 200);
	ck_assert(detector_is_unreachable(&w.r, "zb"));
	ck_assert(!detector_is_unreachable(&w.r, "za"));
	/* Its return is known as soon, but must last. */
	w.delay[2] = w.delay[3] = 4 * MS;
	run(&w, 200);
	ck_assert(detector_is_unreachable(&w.r, "zb"));
	run(&w, 600);
	ck_assert(!detector_is_unreachable(&w.r, "zb"));
	ck_assert_int_eq(w.silences, 1);
	ck_assert_int_eq(w.ends, 2);
	detector_finish(&w.r);
}
END_TEST

START_TEST(a_zone_that_nobody_asks_is_noticed_by_its_heartbeats)
{
	static world_t w;

	begin(&w);
	teach(&w);
	w.delay[2] = w.delay[3] = -1;
	run(&w, HEARTBEAT_MS * 3 / 2 + 100);
	ck_assert(detector_is_unreachable(&w.r, "zb"));
	detector_finish(&w.r);
}
END_TEST

START_TEST(a_slow_link_gets_the_time_that_it_needs)
{
	static world_t w;

	begin(&w);
	w.delay[0] = 120 * MS;
	for (int n = 0; n < 20; n++) {
		ask(&w, 0);
		run(&w, 200);
	}
	w.doubts = 0;
	w.delay[0] = 140 * MS;
	for (int n = 0; n < 20; n++) {
		ask(&w, 0);
		run(&w, 200);
	}
	ck_assert_int_eq(w.doubts, 0);
	detector_finish(&w.r);
}
END_TEST

START_TEST(a_link_that_was_closed_says_nothing_against_a_zone)
{
	static world_t w;

	begin(&w);
	teach(&w);
	detector_link_down(&w.r, "b0", w.now);
	detector_link_down(&w.r, "b1", w.now);
	ck_assert(!detector_is_unreachable(&w.r, "zb"));
	/* One that fell silent first stays doubted until it is back. */
	w.delay[0] = -1;
	ask(&w, 0);
	run(&w, 200);
	detector_link_down(&w.r, "a0", w.now);
	ck_assert(detector_is_unresponsive(&w.r, "a0"));
	detector_link_up(&w.r, "a0", "za", w.now);
	ck_assert(!detector_is_unresponsive(&w.r, "a0"));
	detector_finish(&w.r);
}
END_TEST

START_TEST(a_process_that_stood_still_doubts_itself)
{
	static world_t w;

	begin(&w);
	teach(&w);
	ask(&w, 0);
	w.answer_at[0] = 0;
	w.now += 4000 * MS;
	detector_restart_timers(&w.r, w.now);
	detector_check(&w.r, w.now);
	ck_assert_int_eq(w.doubts, 0);
	detector_finish(&w.r);
}
END_TEST

START_TEST(who_is_gone_for_good_is_forgotten)
{
	static world_t w;

	begin(&w);
	w.delay[3] = -1;
	run(&w, INT64_C(62) * 1000);
	ck_assert_uint_eq(g_hash_table_size(w.r.hosts), MAX_HOSTS - 1);
	ck_assert(!detector_is_unresponsive(&w.r, "b1"));
	ck_assert_int_eq(w.doubts, 1);
	ck_assert_int_eq(w.ends, 1);
	detector_finish(&w.r);
}
END_TEST

SUITE_MAIN("detector", who_answers_is_not_doubted,
	   one_that_is_silent_is_doubted_alone,
	   a_zone_that_is_cut_off_is_known_in_a_few_round_trips,
	   a_zone_that_nobody_asks_is_noticed_by_its_heartbeats,
	   a_slow_link_gets_the_time_that_it_needs,
	   a_link_that_was_closed_says_nothing_against_a_zone,
	   a_process_that_stood_still_doubts_itself,
	   who_is_gone_for_good_is_forgotten)
