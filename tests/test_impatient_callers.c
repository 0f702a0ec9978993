/*
 * More streams than the runners can start in time: callers that get no first
 * event disconnect long before the route's deadline. A request that cannot
 * start by then must be refused early enough for the caller to retry.
 */
#include "core/queue.h"
#include "tests/lib_fixture.h"
#include "tests/lib_suite.h"

/* Submits attempt 2, whose caller disconnects in three seconds. */
static void submit_impatient_want(fixture_t *fixture)
{
	want_t want;

	fixture_init_busy(fixture);
	want = fixture_make_want(fixture, 2, 1, 1);
	want.start_by = fixture->now + 3 * SECOND;
	dispatcher_want(&fixture->d, &want, fixture->now);
}

START_TEST(refused_before_its_caller_disconnects)
{
	fixture_t fixture = { 0 };

	submit_impatient_want(&fixture);
	for (int i = 0; i < 27; i++)
		fixture_tick(&fixture, 100 * MS);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 2), ANSWER_NONE);
	fixture_tick(&fixture, 100 * MS);
	fixture_tick(&fixture, 20 * MS);
	/* No speed is measured yet; the caller still has time to retry. */
	ck_assert_int_eq(fixture_answer_kind(&fixture, 2), ANSWER_REFUSE);
	dispatcher_finish(&fixture.d);
}
END_TEST

START_TEST(request_that_starts_in_time_may_run_to_its_deadline)
{
	fixture_t fixture = { 0 };

	submit_impatient_want(&fixture);
	fixture_tick(&fixture, SECOND);
	fixture_done(&fixture, 1, DONE_COMPLETED);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 2), ANSWER_GRANT);
	for (int i = 0; i < 40; i++)
		fixture_tick(&fixture, 100 * MS);
	ck_assert_uint_eq(fixture.answers[2].answers, 1);
	dispatcher_finish(&fixture.d);
}
END_TEST

typedef struct waiting {
	uint32_t tier;
	uint64_t cost;
} waiting_t;

START_TEST(queued_work_counts_by_weight)
{
	static const dispatcher_tier_t tiers[] = { { false, 64 },
						   { false, 1 } };
	static const waiting_t waiting[] = { { 0, 5000 }, { 1, 300 } };
	queue_entry_t entries[G_N_ELEMENTS(waiting)] = { { 0 } };
	queue_t q;

	queue_init(&q, 1000);
	queue_set_tiers(&q, tiers, G_N_ELEMENTS(tiers));
	for (size_t i = 0; i < G_N_ELEMENTS(waiting); i++) {
		entries[i].tier = waiting[i].tier;
		entries[i].team = STR_LIT("t");
		entries[i].cost = waiting[i].cost;
		entries[i].deadline = entries[i].due = SECOND;
		queue_push(&q, &entries[i]);
	}
	/*
	 * The whole urgent tier is served before the other tier's 400 tokens.
	 */
	ck_assert_uint_eq(queue_tokens_ahead(&q, 1, 100), 300 + 5000);
	/* The other tier gets a 64th of what the urgent tier gets. */
	ck_assert_uint_eq(queue_tokens_ahead(&q, 0, 1400), 5000 + 100);
	for (size_t i = 0; i < G_N_ELEMENTS(waiting); i++)
		queue_remove(&q, &entries[i]);
	queue_finish(&q);
}
END_TEST

SUITE_MAIN("impatient_callers", refused_before_its_caller_disconnects,
	   request_that_starts_in_time_may_run_to_its_deadline,
	   queued_work_counts_by_weight)
