/*
 * A conductor, its store and some daemons in simulated time. Good and bad
 * releases are rolled out while the conductor is killed at each step, frozen or
 * cut off, the store is away or its answers are lost, and daemons restart. In
 * each case a good release is completed and a bad one reverted in time, the
 * target gets no more than its share before it is found good, and nothing runs
 * on other releases at the completion.
 */
#include "tests/lib_rollout.h"
#include "tests/lib_suite.h"

enum { SEEDS = 10 };

#define BAD .failing = 0.3
#define LATER .slow = 0.5, .bad_from = 4000

static const story_t stories[] = {
	{ .name = "calm" },
	{ .name = "calm", BAD },
	{ .name = "calm", LATER },
	{ .name = "killed while trying", .kill_at = ROLLOUT_TRYING },
	{ .name = "killed while trying", .kill_at = ROLLOUT_TRYING, BAD },
	{ .name = "killed while moving", .kill_at = ROLLOUT_MOVING },
	{ .name = "killed when moved", .kill_at = ROLLOUT_MOVED },
	{ .name = "killed when reverting", .kill_at = ROLLOUT_TAKEN_BACK, BAD },
	{ .name = "killed when completed", .kill_at = ROLLOUT_DONE },
	{ .name = "frozen while trying", .freeze_at = ROLLOUT_TRYING },
	{ .name = "frozen while trying", .freeze_at = ROLLOUT_TRYING, LATER },
	{ .name = "frozen while moving", .freeze_at = ROLLOUT_MOVING },
	{ .name = "frozen when reverting",
	  .freeze_at = ROLLOUT_TAKEN_BACK,
	  BAD },
	{ .name = "store away at first", .store_away_to = 3000 },
	{ .name = "store away at first", .store_away_to = 3000, BAD },
	{ .name = "store away while trying",
	  .store_away_from = 2000,
	  .store_away_to = 5000 },
	{ .name = "store away while trying",
	  .store_away_from = 2000,
	  .store_away_to = 5000,
	  BAD },
	{ .name = "store away while moving",
	  .store_away_from = 9300,
	  .store_away_to = 11000 },
	{ .name = "answers of the store lost", .lost_answers = 0.3 },
	{ .name = "answers of the store lost", .lost_answers = 0.3, LATER },
	{ .name = "writes late", .late_writes = 0.3 },
	{ .name = "writes late", .late_writes = 0.3, BAD },
	{ .name = "all restart", .restart_at = 3000 },
	{ .name = "all restart", .restart_at = 3000, LATER },
	{ .name = "all restart while moving", .restart_at = 9500 },
	{ .name = "a daemon is cut off", .cut_at = 2000 },
	{ .name = "a daemon is cut off", .cut_at = 2000, BAD },
	{ .name = "a daemon is cut off while moving", .cut_at = 9600 },
	{ .name = "fails late", .failing = 0.3, .bad_from = 8000 },
	{ .name = "slow late", .slow = 0.5, .bad_from = 7500 },
	{ .name = "fails while moving",
	  .failing = 0.3,
	  .bad_from = 9300,
	  .is_unbounded = true },
	{ .name = "fails while moving, killed when reverting",
	  .failing = 0.3,
	  .bad_from = 9300,
	  .kill_at = ROLLOUT_TAKEN_BACK,
	  .is_unbounded = true },
	{ .name = "a daemon is cut off just before it is moved",
	  .cut_at = 10000 },
};

START_TEST(it_is_decided_rightly_and_in_time)
{
	static world_t w;

	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		rollout_play(&w, &stories[_i], seed);
		ck_assert_msg(w.decided_at && w.decided_at <= DURATION_MS * MS,
			      "%s, seed %u: decided at %d ms", w.story->name,
			      seed, (int)(w.decided_at / MS));
		ck_assert_msg(w.record.phase == (rollout_world_is_bad(&w) ?
							 ROLLOUT_REVERTED :
							 ROLLOUT_COMPLETED),
			      "%s, seed %u: %s, %s", w.story->name, seed,
			      rollout_phase_name(w.record.phase), w.record.why);
		ck_assert_msg(!w.running_at_end, "%s, seed %u: %u still ran",
			      w.story->name, seed, w.running_at_end);
		ck_assert(!w.story->kill_at || w.was_killed);
	}
}
END_TEST

static rollout_t new_rollout(void)
{
	rollout_order_t order = { "s", "v2", DURATION_MS };
	rollout_t r;

	rollout_init(&r, &order, 7, ROLLOUT_SHARE, ROLLOUT_SLACK, 0);
	return r;
}

/* The store was away for the whole time. */
START_TEST(a_late_conductor_reverts)
{
	rollout_t r = new_rollout();
	rollout_view_t view = { 1, 1, 1 };
	rollout_record_t out;

	rollout_tick(&r, &view, DURATION_MS * MS);
	ck_assert(!rollout_next_record(&r, &out, DURATION_MS * MS, 0));
	rollout_on_record(&r, NULL, true, DURATION_MS * MS, 0);
	ck_assert(rollout_next_record(&r, &out, DURATION_MS * MS, 0));
	ck_assert_int_eq(out.phase, ROLLOUT_REVERTED);
	rollout_finish(&r);
}
END_TEST

START_TEST(a_withdrawn_order_is_reverted)
{
	rollout_t r = new_rollout();
	rollout_view_t view = { 1, 1, 1 };
	rollout_record_t out;

	rollout_on_record(&r, NULL, true, 1, 0);
	rollout_withdraw(&r);
	rollout_tick(&r, &view, 2);
	ck_assert(rollout_next_record(&r, &out, 2, 0));
	ck_assert_int_eq(out.phase, ROLLOUT_REVERTED);
	ck_assert_str_eq(out.why, "the order was withdrawn");
	rollout_finish(&r);
}
END_TEST

START_TEST(a_release_that_all_runners_have_is_completed)
{
	rollout_t r = new_rollout();
	rollout_view_t view = { 1, 1, 0 };
	rollout_report_t report = { .order = r.order_id };
	rollout_record_t out;

	rollout_on_record(&r, NULL, true, 1, 0);
	ck_assert(rollout_next_record(&r, &out, 1, 0));
	rollout_on_written(&r, &out, 2);
	rollout_tick(&r, &view, 3);
	ck_assert_int_ne(rollout_on_report(&r, "d", &report, 3).stage,
			 ROLLOUT_MOVED);
	rollout_tick(&r, &view, 2000 * MS);
	ck_assert_int_eq(rollout_on_report(&r, "d", &report, 2000 * MS).stage,
			 ROLLOUT_MOVED);
	ck_assert(rollout_next_record(&r, &out, 2001 * MS, 0));
	ck_assert_int_eq(out.phase, ROLLOUT_COMPLETED);
	rollout_finish(&r);
}
END_TEST

/* The list of runners lacks some for a moment, as a conductor takes over. */
START_TEST(a_release_that_was_tried_is_not_completed_at_once)
{
	rollout_t r = new_rollout();
	rollout_view_t view = { 1, 1, 0 };
	rollout_record_t record = { .order = r.order_id,
				    .term = 3,
				    .conductor = 9,
				    .budget = 200,
				    .counted = 4000,
				    .ends_ms = 6000 };
	rollout_record_t out;

	rollout_on_record(&r, &record, false, 1, 0);
	ck_assert(rollout_next_record(&r, &out, 1, 0));
	rollout_on_written(&r, &out, 2);
	rollout_tick(&r, &view, 3);
	rollout_tick(&r, &view, 2000 * MS);
	ck_assert(!rollout_next_record(&r, &out, 2001 * MS, 0) ||
		  out.phase == ROLLOUT_IN_PROGRESS);
	rollout_finish(&r);
}
END_TEST

/* A repeated order is the same one; what was decided stays. */
START_TEST(a_decided_order_stays_decided)
{
	rollout_t r = new_rollout();
	rollout_record_t record = { .order = r.order_id,
				    .phase = ROLLOUT_REVERTED,
				    .term = 4,
				    .conductor = 9 };
	rollout_report_t report = { .order = r.order_id };
	rollout_record_t out;

	rollout_on_record(&r, &record, false, 1, 0);
	ck_assert(rollout_is_settled(&r));
	ck_assert(!rollout_next_record(&r, &out, 1, 0));
	ck_assert_int_eq(rollout_on_report(&r, "d", &report, 1).stage,
			 ROLLOUT_TAKEN_BACK);
	rollout_finish(&r);
}
END_TEST

/* An earlier order's record has its own budget, and the last term. */
START_TEST(a_new_order_begins_anew)
{
	rollout_t r = new_rollout();
	rollout_record_t record = { .order = r.order_id + 1,
				    .phase = ROLLOUT_COMPLETED,
				    .term = 4,
				    .conductor = 9,
				    .budget = 1000 };
	rollout_record_t out;

	rollout_on_record(&r, &record, true, 1, 0);
	ck_assert(!rollout_is_settled(&r));
	/* The record may be of an order that isn't known here yet. */
	ck_assert(!rollout_next_record(&r, &out, 1, 0));
	rollout_set_orders_read(&r, 1000 * MS);
	ck_assert(rollout_next_record(&r, &out, 1000 * MS, 0));
	ck_assert_uint_eq(out.term, 5);
	ck_assert_uint_eq(out.budget, 0);
	ck_assert_int_eq(out.phase, ROLLOUT_IN_PROGRESS);
	rollout_finish(&r);
}
END_TEST

/* Two daemons conduct for a while: the later term stays. */
START_TEST(a_conductor_that_was_replaced_has_no_say)
{
	rollout_t r = new_rollout();
	rollout_record_t own, other;
	rollout_report_t report = { .order = r.order_id };

	rollout_on_record(&r, NULL, true, 1, 0);
	ck_assert(rollout_next_record(&r, &own, 1, 0));
	rollout_on_written(&r, &own, 2);
	ck_assert_uint_eq(rollout_on_report(&r, "d", &report, 3).term, 1);
	other = own;
	other.term++;
	other.conductor++;
	rollout_on_record(&r, &other, true, 4, 0);
	ck_assert_uint_eq(rollout_on_report(&r, "d", &report, 5).term, 0);
	/* It doesn't take it back at once, or both would do so in turn. */
	ck_assert(!rollout_next_record(&r, &own, 6, 0));
	rollout_finish(&r);
}
END_TEST

START_TEST(a_pool_names_its_service)
{
	char pool[ROLLOUT_POOL_SIZE], service[FLEET_NAME_SIZE];

	rollout_pool_name("model", "v2", pool);
	ck_assert(rollout_pool_service(pool, service));
	ck_assert_str_eq(service, "model");
	ck_assert(!rollout_pool_service("model", service));
	ck_assert(!rollout_pool_service("model~of-many-x", service));
	ck_assert(!rollout_pool_service("~12345678", service));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("rollout");
	TCase *tests = tcase_create("all");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_set_timeout(tests, 60);
	tcase_add_loop_test(tests, it_is_decided_rightly_and_in_time, 0,
			    G_N_ELEMENTS(stories));
	tcase_add_test(tests, a_late_conductor_reverts);
	tcase_add_test(tests, a_withdrawn_order_is_reverted);
	tcase_add_test(tests, a_release_that_all_runners_have_is_completed);
	tcase_add_test(tests,
		       a_release_that_was_tried_is_not_completed_at_once);
	tcase_add_test(tests, a_decided_order_stays_decided);
	tcase_add_test(tests, a_new_order_begins_anew);
	tcase_add_test(tests, a_conductor_that_was_replaced_has_no_say);
	tcase_add_test(tests, a_pool_names_its_service);
	suite_add_tcase(suite, tests);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? 1 : 0;
}
