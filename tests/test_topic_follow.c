#include "core/topic_follow.h"
#include "tests/lib_suite.h"

#define MS INT64_C(1000)

enum { MAX_UPDATE_AGE = 700 };

static const int64_t SECOND = 1000000;

/* A position in the first epoch. */
static topic_position_t at(uint64_t next)
{
	return (topic_position_t){ 1, next };
}

/* A position in the second epoch, after the store came back from a copy. */
static topic_position_t later(uint64_t next)
{
	return (topic_position_t){ 2, next };
}

static topic_follow_t listed(uint64_t next)
{
	topic_follow_t f = { .max_update_age = MAX_UPDATE_AGE };

	topic_follow_on_own_list(&f, at(next), 0);
	return f;
}

/* Reads from what is known up to NEXT; returns whether to apply the records. */
static bool read_up_to(topic_follow_t *f, uint64_t next, int64_t now)
{
	return topic_follow_on_read(f, f->known, at(next), now) ==
	       TOPIC_READ_APPLY;
}

START_TEST(updates_keep_a_follower_from_reading)
{
	topic_follow_t f = listed(10);

	for (int64_t now = 400; now < 4000; now += 400) {
		topic_follow_on_update(&f, at(10), at(10), now);
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
	topic_follow_invalidate(&f, 1);
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

		ck_assert_int_eq(topic_follow_on_update(&f, at(cases[i].from),
							at(cases[i].next), 1),
				 cases[i].expected);
		ck_assert_uint_eq(f.known.next, cases[i].known);
	}
}
END_TEST

START_TEST(read_that_is_older_than_updates_changes_nothing)
{
	topic_follow_t f = listed(10);

	ck_assert_int_eq(topic_follow_on_update(&f, at(10), at(13), 1),
			 TOPIC_UPDATE_APPLY);
	ck_assert(!read_up_to(&f, 11, 2));
	ck_assert(!read_up_to(&f, 13, 2));
	ck_assert_uint_eq(f.known.next, 13);
	ck_assert(read_up_to(&f, 14, 3));
	topic_follow_invalidate(&f, 1);
	ck_assert(topic_follow_on_own_list(&f, at(12), 4));
	ck_assert_uint_eq(f.known.next, 12);
}
END_TEST

START_TEST(a_missed_record_is_not_counted_as_known)
{
	topic_follow_t f = listed(10);

	topic_follow_on_update(&f, at(12), at(13), 600);
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
	ck_assert_int_eq(topic_follow_on_update(&f, at(12), at(13), 1),
			 TOPIC_UPDATE_GAP);
	ck_assert(topic_follow_needs_list(&f));
	ck_assert_int_eq(topic_follow_on_update(&f, at(13), at(14), 100),
			 TOPIC_UPDATE_GAP);
	ck_assert(!topic_follow_is_due(&f, WAIT));
	ck_assert(topic_follow_is_due(&f, WAIT + 1));
	ck_assert_int_eq(topic_follow_on_update(&f, at(10), at(12), 200),
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
	ck_assert(topic_follow_on_list(&f, at(10), 500));
	ck_assert(!topic_follow_is_due(&f, 1000));
	/* A second list that is older or the same changes nothing. */
	ck_assert(!topic_follow_on_list(&f, at(10), 600));
	ck_assert(!topic_follow_on_list(&f, at(9), 600));
	ck_assert_int_eq(topic_follow_on_update(&f, at(10), at(11), 700),
			 TOPIC_UPDATE_APPLY);
	/* Neither does one after the own list was invalidated. */
	topic_follow_invalidate(&f, 1);
	ck_assert(!topic_follow_on_list(&f, at(10), 800));
	ck_assert(topic_follow_on_list(&f, at(11), 800));
}
END_TEST

/* A reader must not call the store more often when the store refuses it. */
START_TEST(a_failing_store_is_called_less_often)
{
	enum { MINUTE = 60 * 1000 * 1000, STEP = 100 * 1000 };
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
		read_up_to(&f, 11, MINUTE);
		ck_assert(topic_follow_is_due(&f, MINUTE + 1));
	}
}
END_TEST

/* The topic was read at one second; calls fail from then until nine seconds. */
static void fail_for_long(topic_follow_t *f)
{
	ck_assert(!topic_follow_note_read(f, SECOND));
	for (int i = 1; i <= 8; i++)
		topic_follow_on_failure(f, 300, 1, (1 + i) * SECOND);
}

/*
 * Guards against an old configuration after an outage: another daemon's read
 * ends the wait of the one that reads for all.
 */
START_TEST(a_reader_does_not_wait_when_another_daemon_could_read)
{
	topic_follow_t f = listed(10);

	f.is_reader = true;
	fail_for_long(&f);
	ck_assert(!topic_follow_is_due(&f, 10 * SECOND));
	ck_assert(topic_follow_note_read(&f, 10 * SECOND));
	topic_follow_end_wait(&f, 10 * SECOND);
	ck_assert(topic_follow_is_due(&f, 10 * SECOND));
}
END_TEST

/* Guards against calls of all daemons at once when the store is back. */
START_TEST(others_than_the_reader_wait_for_its_updates)
{
	topic_follow_t f = listed(10);

	f.max_update_age = SECOND;
	fail_for_long(&f);
	ck_assert(topic_follow_note_read(&f, 10 * SECOND));
	topic_follow_end_wait(&f, 10 * SECOND);
	ck_assert(!topic_follow_is_due(&f, 11 * SECOND - 1));
	ck_assert(topic_follow_is_due(&f, 11 * SECOND));
}
END_TEST

/* The store refuses this daemon and serves others: its calls stay rare. */
START_TEST(reads_of_others_do_not_end_the_wait_when_they_never_stopped)
{
	topic_follow_t f = listed(10);

	f.is_reader = true;
	topic_follow_note_read(&f, SECOND);
	for (int i = 1; i <= 8; i++) {
		topic_follow_on_failure(&f, 300, 1, (1 + i) * SECOND);
		ck_assert(!topic_follow_note_read(&f, (1 + i) * SECOND + 1));
	}
}
END_TEST

/*
 * Guards against seconds without a call after an outage: the calls of the
 * daemons of a small zone failed together, again and again.
 */
START_TEST(daemons_whose_calls_failed_together_call_apart)
{
	enum { DAEMONS = 5, FAILURES = 8 };
	enum { MAX_GAP = 700 * 1000, SPAN = 2100 * 1000 };
	topic_follow_t f;
	int64_t retry[DAEMONS];

	for (int i = 0; i < DAEMONS; i++) {
		f = listed(10);
		for (int k = 0; k < FAILURES; k++)
			topic_follow_on_failure(&f, DAEMONS,
						(double)i / (DAEMONS - 1), 0);
		retry[i] = f.retry_at;
		ck_assert_int_gt(retry[i], 0);
		if (i)
			ck_assert_int_le(retry[i] - retry[i - 1], MAX_GAP);
	}
	ck_assert_int_lt(retry[0], MAX_GAP);
	ck_assert_int_gt(retry[DAEMONS - 1], SPAN);
}
END_TEST

/* Without a list, updates from other daemons cannot be applied. */
START_TEST(failed_call_without_a_list_is_retried_soon)
{
	enum { RETRIED_BY = 900 * 1000 };
	topic_follow_t f = listed(10);

	topic_follow_invalidate(&f, 1);
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

/* Guards against records that are never read as their offsets were known. */
START_TEST(a_read_of_a_later_epoch_needs_a_list)
{
	topic_follow_t f = listed(10);

	ck_assert_int_eq(topic_follow_on_read(&f, at(10), later(12), 1),
			 TOPIC_READ_LIST);
	ck_assert(topic_follow_is_due(&f, 1));
	ck_assert(topic_follow_needs_list(&f));
	/* Other daemons' lists of the first epoch are old, however long. */
	ck_assert(!topic_follow_on_list(&f, at(10), 2));
	ck_assert(!topic_follow_on_list(&f, at(99), 2));
	ck_assert(!topic_follow_on_own_list(&f, at(99), 2));
	ck_assert(topic_follow_on_own_list(&f, later(4), 3));
	ck_assert_uint_eq(f.known.next, 4);
	ck_assert(!topic_follow_needs_list(&f));
	/* An answer to a read from before says nothing of the second epoch. */
	ck_assert_int_eq(topic_follow_on_read(&f, at(10), later(12), 4),
			 TOPIC_READ_OLD);
	ck_assert_int_eq(topic_follow_on_read(&f, at(10), at(12), 4),
			 TOPIC_READ_OLD);
	ck_assert_int_eq(topic_follow_on_read(&f, later(4), later(5), 5),
			 TOPIC_READ_APPLY);
}
END_TEST

START_TEST(a_list_of_a_later_epoch_replaces_a_longer_one)
{
	topic_follow_t f = listed(10);

	ck_assert(topic_follow_on_list(&f, later(2), 1));
	ck_assert_uint_eq(f.known.epoch, 2);
	ck_assert(!topic_follow_on_list(&f, at(12), 2));
	/* Missing records, with the epoch known from the store's answer. */
	f = listed(10);
	topic_follow_invalidate(&f, 2);
	ck_assert(!topic_follow_on_list(&f, at(11), 3));
	ck_assert(topic_follow_on_list(&f, later(2), 3));
}
END_TEST

START_TEST(an_update_over_epochs_is_for_one_position)
{
	topic_follow_t f = listed(10);

	ck_assert_int_eq(topic_follow_on_update(&f, at(10), later(7), 1),
			 TOPIC_UPDATE_APPLY);
	ck_assert_int_eq(topic_follow_on_update(&f, at(10), at(11), 2),
			 TOPIC_UPDATE_OLD);
	ck_assert_int_eq(topic_follow_on_update(&f, later(7), later(8), 3),
			 TOPIC_UPDATE_APPLY);
	/* To more or fewer records of the first epoch it can't be applied. */
	f = listed(11);
	ck_assert_int_eq(topic_follow_on_update(&f, at(10), later(7), 1),
			 TOPIC_UPDATE_GAP);
	ck_assert(topic_follow_needs_list(&f));
	f = listed(9);
	ck_assert_int_eq(topic_follow_on_update(&f, at(10), later(7), 1),
			 TOPIC_UPDATE_GAP);
	/* Nor can one within the second epoch. */
	f = listed(7);
	ck_assert_int_eq(topic_follow_on_update(&f, later(7), later(8), 1),
			 TOPIC_UPDATE_GAP);
	/* Who has listed the second epoch needs what follows it only. */
	f = listed(10);
	ck_assert(topic_follow_on_own_list(&f, later(6), 1));
	ck_assert_int_eq(topic_follow_on_update(&f, at(10), later(7), 2),
			 TOPIC_UPDATE_GAP);
}
END_TEST

/* Stores and daemons that don't state an epoch. */
START_TEST(positions_without_an_epoch_are_of_the_known_one)
{
	topic_follow_t f = listed(10);
	topic_position_t unstated = { 0, 12 };

	ck_assert_int_eq(topic_follow_on_read(&f, at(10), unstated, 1),
			 TOPIC_READ_APPLY);
	ck_assert_uint_eq(f.known.epoch, 1);
	topic_follow_invalidate(&f, 2);
	ck_assert(topic_follow_on_own_list(&f, unstated, 2));
	ck_assert_uint_eq(f.known.epoch, 2);
}
END_TEST

/* Guards against a daemon that stays behind since an update lacked a record. */
START_TEST(who_stays_behind_others_lists_the_topic)
{
	topic_follow_t f = { .is_listed = true };
	int64_t now = 5000 * MS;

	ck_assert(!topic_follow_on_lag(&f, 3, now));
	ck_assert(!topic_follow_on_lag(&f, 3, now + 600 * MS));
	/* Updates are late: what is lacking may be among them. */
	ck_assert(!topic_follow_on_lag(&f, 3, now + 700 * MS));
	ck_assert(f.is_listed);
	f.updated_at = now + 800 * MS;
	f.missing_since = now + 800 * MS;
	ck_assert(!topic_follow_on_lag(&f, 3, now + 900 * MS));
	f.missing_since = 0;
	ck_assert(topic_follow_on_lag(&f, 3, now + 900 * MS));
	ck_assert(!f.is_listed);
	/* What came meanwhile begins a new wait. */
	f.is_listed = true;
	ck_assert(!topic_follow_on_lag(&f, 14, now + 1500 * MS));
	ck_assert(f.is_listed);
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
	   a_reader_does_not_wait_when_another_daemon_could_read,
	   others_than_the_reader_wait_for_its_updates,
	   reads_of_others_do_not_end_the_wait_when_they_never_stopped,
	   daemons_whose_calls_failed_together_call_apart,
	   failed_call_without_a_list_is_retried_soon,
	   timeouts_of_many_daemons_are_spread,
	   a_read_of_a_later_epoch_needs_a_list,
	   a_list_of_a_later_epoch_replaces_a_longer_one,
	   an_update_over_epochs_is_for_one_position,
	   positions_without_an_epoch_are_of_the_known_one,
	   who_stays_behind_others_lists_the_topic)
