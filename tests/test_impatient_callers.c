/*
 * More streams than the runners can start in time: callers that get no first
 * event disconnect long before the route's deadline. A request that cannot
 * start by then must be refused early enough for the caller to retry.
 */
#include "core/queue.h"
#include "tests/lib_bed.h"
#include "tests/lib_suite.h"

/* Submits attempt 2, whose caller disconnects in three seconds. */
static void submit_impatient_want(bed_t *bed)
{
	want_t want;

	bed_init_taken(bed);
	want = bed_make_want(bed, 2, 1, 1);
	want.start_by = bed->now + 3 * SECOND;
	dispatcher_want(&bed->d, &want, bed->now);
}

START_TEST(refused_before_its_caller_disconnects)
{
	bed_t bed = { 0 };

	submit_impatient_want(&bed);
	for (int i = 0; i < 27; i++)
		bed_tick(&bed, 100 * MS);
	ck_assert_int_eq(bed_kind(&bed, 2), ANSWER_NONE);
	bed_tick(&bed, 100 * MS);
	bed_tick(&bed, 20 * MS);
	/* No speed is measured yet; the caller still has time to retry. */
	ck_assert_int_eq(bed_kind(&bed, 2), ANSWER_REFUSE);
	dispatcher_finish(&bed.d);
}
END_TEST

START_TEST(request_that_starts_in_time_may_run_to_its_deadline)
{
	bed_t bed = { 0 };

	submit_impatient_want(&bed);
	bed_tick(&bed, SECOND);
	bed_done(&bed, 1, DONE_COMPLETED);
	ck_assert_int_eq(bed_kind(&bed, 2), ANSWER_GRANT);
	for (int i = 0; i < 40; i++)
		bed_tick(&bed, 100 * MS);
	ck_assert_uint_eq(bed.answers[2].answers, 1);
	dispatcher_finish(&bed.d);
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
