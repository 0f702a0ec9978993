#include "core/topic_follow.h"
#include "tests/lib_suite.h"

enum { MAX_UPDATE_AGE = 700 };

static topic_follow_t listed(uint64_t next)
{
	topic_follow_t f = { .max_update_age = MAX_UPDATE_AGE };

	topic_follow_on_read(&f, next, 0);
	return f;
}

START_TEST(updates_keep_a_follower_from_reading)
{
	topic_follow_t f = listed(10);

	for (int64_t now = 400; now < 4000; now += 400) {
		topic_follow_on_update(&f, 10, 10, now);
		ck_assert(!topic_follow_is_due(&f, now + 400));
	}
}
END_TEST

START_TEST(follower_reads_without_updates)
{
	topic_follow_t f = listed(10);

	ck_assert(!topic_follow_is_due(&f, MAX_UPDATE_AGE - 1));
	ck_assert(topic_follow_is_due(&f, MAX_UPDATE_AGE));
}
END_TEST

START_TEST(readers_and_new_daemons_always_read)
{
	topic_follow_t f = { .max_update_age = MAX_UPDATE_AGE };

	ck_assert(topic_follow_is_due(&f, 0));
	f = listed(10);
	f.is_reader = true;
	ck_assert(topic_follow_is_due(&f, 1));
	f = listed(10);
	topic_follow_invalidate(&f);
	ck_assert(topic_follow_is_due(&f, 1));
}
END_TEST

START_TEST(updates_are_applied_in_order_or_read)
{
	static const struct {
		uint64_t from, next;
		topic_update_t expected;
		uint64_t known;
	} cases[] = {
		{ 10, 12, TOPIC_UPDATE_APPLY, 12 },
		{ 8, 11, TOPIC_UPDATE_APPLY, 11 },
		{ 10, 10, TOPIC_UPDATE_OLD, 10 },
		{ 7, 9, TOPIC_UPDATE_OLD, 10 },
		{ 11, 12, TOPIC_UPDATE_GAP, 10 },
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		topic_follow_t f = listed(10);

		ck_assert_int_eq(topic_follow_on_update(&f, cases[i].from,
							cases[i].next, 1),
				 cases[i].expected);
		ck_assert_uint_eq(f.next, cases[i].known);
	}
}
END_TEST

START_TEST(read_that_is_older_than_updates_changes_nothing)
{
	topic_follow_t f = listed(10);

	ck_assert_int_eq(topic_follow_on_update(&f, 10, 13, 1),
			 TOPIC_UPDATE_APPLY);
	ck_assert(!topic_follow_on_read(&f, 11, 2));
	ck_assert(!topic_follow_on_read(&f, 13, 2));
	ck_assert_uint_eq(f.next, 13);
	ck_assert(topic_follow_on_read(&f, 14, 3));
	topic_follow_invalidate(&f);
	ck_assert(topic_follow_on_read(&f, 12, 4));
	ck_assert_uint_eq(f.next, 12);
}
END_TEST

START_TEST(a_missed_record_is_not_counted_as_known)
{
	topic_follow_t f = listed(10);

	topic_follow_on_update(&f, 12, 13, 600);
	ck_assert(topic_follow_is_due(&f, MAX_UPDATE_AGE));
}
END_TEST

/* Of two readers one is ahead: the records between come from the other. */
START_TEST(missed_records_are_awaited_before_a_read)
{
	enum { WAIT = 300 * 1000, LONG = 10 * WAIT };
	topic_follow_t f = listed(10);

	f.max_update_age = LONG;
	ck_assert(!topic_follow_needs_list(&f));
	ck_assert_int_eq(topic_follow_on_update(&f, 12, 13, 1),
			 TOPIC_UPDATE_GAP);
	ck_assert(topic_follow_needs_list(&f));
	ck_assert_int_eq(topic_follow_on_update(&f, 13, 14, 100),
			 TOPIC_UPDATE_GAP);
	ck_assert(!topic_follow_is_due(&f, WAIT));
	ck_assert(topic_follow_is_due(&f, WAIT + 1));
	ck_assert_int_eq(topic_follow_on_update(&f, 10, 12, 200),
			 TOPIC_UPDATE_APPLY);
	ck_assert(!topic_follow_needs_list(&f));
	ck_assert(!topic_follow_is_due(&f, WAIT + 1));
}
END_TEST

START_TEST(new_daemon_waits_for_the_list_of_another)
{
	topic_follow_t f = { .max_update_age = MAX_UPDATE_AGE,
			     .list_after = 1000 };

	ck_assert(!topic_follow_is_due(&f, 999));
	ck_assert(topic_follow_is_due(&f, 1000));
	ck_assert(topic_follow_on_list(&f, 10, 500));
	ck_assert(!topic_follow_is_due(&f, 1000));
	/* A second list that is older or the same changes nothing. */
	ck_assert(!topic_follow_on_list(&f, 10, 600));
	ck_assert(!topic_follow_on_list(&f, 9, 600));
	ck_assert_int_eq(topic_follow_on_update(&f, 10, 11, 700),
			 TOPIC_UPDATE_APPLY);
	/* Neither does one after the own list was invalidated. */
	topic_follow_invalidate(&f);
	ck_assert(!topic_follow_on_list(&f, 10, 800));
	ck_assert(topic_follow_on_list(&f, 11, 800));
}
END_TEST

/* A reader must not call the store more often when the store refuses it. */
START_TEST(a_failing_store_is_called_less_often)
{
	enum { SECOND = 1000 * 1000, MINUTE = 60 * SECOND, STEP = 100 * 1000 };
	static const struct {
		uint32_t daemons;
		int calls; /* in a minute, by one daemon, at most */
	} cases[] = { { 1, 40 }, { 20, 30 }, { 300, 8 } };

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		topic_follow_t f = listed(10);
		int calls = 0;

		f.is_reader = true;
		for (int64_t now = 1; now < MINUTE; now += STEP) {
			if (!topic_follow_is_due(&f, now))
				continue;
			topic_follow_on_failure(&f, cases[i].daemons, 0.5, now);
			calls++;
		}
		ck_assert_int_le(calls, cases[i].calls);
		/* A successful read ends the back-off. */
		topic_follow_on_read(&f, 11, MINUTE);
		ck_assert(topic_follow_is_due(&f, MINUTE + 1));
	}
}
END_TEST

/* Without a list, updates from other daemons cannot be applied. */
START_TEST(failed_call_without_a_list_is_retried_soon)
{
	enum { RETRIED_BY = 900 * 1000 };
	topic_follow_t f = listed(10);

	topic_follow_invalidate(&f);
	topic_follow_on_failure(&f, 300, 1, 0);
	topic_follow_on_failure(&f, 300, 1, RETRIED_BY / 3);
	ck_assert(topic_follow_is_due(&f, RETRIED_BY));
}
END_TEST

/* When a reader sends no updates, one daemon times out well before most. */
START_TEST(timeouts_of_many_daemons_are_spread)
{
	ck_assert_int_lt(topic_follow_max_update_age(1, 1), INT64_C(1500000));
	ck_assert_int_eq(topic_follow_max_update_age(1, 0),
			 topic_follow_max_update_age(300, 0));
	ck_assert_int_gt(topic_follow_max_update_age(300, 0.5) -
				 topic_follow_max_update_age(300, 0.4),
			 INT64_C(100000));
	ck_assert_int_lt(topic_follow_max_update_age(5000, 1),
			 INT64_C(3000000));
}
END_TEST

SUITE_MAIN("topic_follow", updates_keep_a_follower_from_reading,
	   follower_reads_without_updates, readers_and_new_daemons_always_read,
	   updates_are_applied_in_order_or_read,
	   read_that_is_older_than_updates_changes_nothing,
	   a_missed_record_is_not_counted_as_known,
	   missed_records_are_awaited_before_a_read,
	   new_daemon_waits_for_the_list_of_another,
	   a_failing_store_is_called_less_often,
	   failed_call_without_a_list_is_retried_soon,
	   timeouts_of_many_daemons_are_spread)
