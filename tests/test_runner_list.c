#include "core/runner_list.h"
#include "tests/lib_suite.h"

static const int64_t SECOND = 1000000;
static const int64_t GRACE_PERIOD = 2000000;

static void set(runner_list_t *l, const char *id, bool is_leaving)
{
	listed_runner_t runner = { .is_leaving = is_leaving };

	g_strlcpy(runner.id, id, sizeof(runner.id));
	runner_list_set(l, &runner);
}

static void count(void *ctx, const listed_runner_t *runner)
{
	(*(int *)ctx)++;
}

static int size(const runner_list_t *l)
{
	int n = 0;

	runner_list_each(l, count, &n);
	return n;
}

START_TEST(dropped_at_once_while_the_store_is_available)
{
	runner_list_t l;

	runner_list_init(&l, GRACE_PERIOD);
	set(&l, "a", false);
	ck_assert(runner_list_apply_due(&l, SECOND));
	ck_assert(!runner_list_apply_due(&l, SECOND));
	runner_list_remove(&l, STR_LIT("a"), SECOND);
	ck_assert(runner_list_apply_due(&l, SECOND));
	ck_assert_int_eq(size(&l), 0);
	runner_list_finish(&l);
}
END_TEST

START_TEST(entries_that_expired_in_an_outage_have_a_grace_period)
{
	runner_list_t l;

	runner_list_init(&l, GRACE_PERIOD);
	set(&l, "stays", false);
	set(&l, "dies", false);
	runner_list_apply_due(&l, SECOND);
	runner_list_set_outage(&l, true, 2 * SECOND);
	runner_list_set_outage(&l, false, 10 * SECOND);
	runner_list_remove(&l, STR_LIT("stays"), 10 * SECOND);
	runner_list_remove(&l, STR_LIT("dies"), 10 * SECOND);
	ck_assert(!runner_list_apply_due(&l, 11 * SECOND));
	ck_assert_int_eq(size(&l), 2);
	set(&l, "stays", false);
	ck_assert(runner_list_apply_due(&l, 12 * SECOND));
	ck_assert_int_eq(size(&l), 1);
	runner_list_finish(&l);
}
END_TEST

/* The store refuses this daemon and serves the others. */
START_TEST(removal_reported_by_a_reader_of_a_stable_store_is_applied)
{
	runner_list_t l;

	runner_list_init(&l, GRACE_PERIOD);
	set(&l, "a", false);
	set(&l, "b", false);
	runner_list_apply_due(&l, SECOND);
	runner_list_on_update(&l, true, 2 * SECOND);
	runner_list_set_outage(&l, true, 2 * SECOND);
	ck_assert(!runner_list_is_stable(&l, 2 * SECOND));
	runner_list_on_update(&l, true, 3 * SECOND);
	runner_list_remove(&l, STR_LIT("a"), 3 * SECOND);
	ck_assert(runner_list_apply_due(&l, 3 * SECOND));
	ck_assert_int_eq(size(&l), 1);
	/* Now nobody can read it for two seconds. */
	runner_list_set_outage(&l, true, 4 * SECOND);
	runner_list_on_update(&l, false, 5 * SECOND);
	runner_list_remove(&l, STR_LIT("b"), 5 * SECOND);
	ck_assert(!runner_list_apply_due(&l, 6 * SECOND));
	ck_assert(!runner_list_apply_due(&l, 5 * SECOND + GRACE_PERIOD - 1));
	ck_assert(runner_list_apply_due(&l, 5 * SECOND + GRACE_PERIOD));
	runner_list_finish(&l);
}
END_TEST

/*
 * Guards against requests to a runner that left: the outage ended for this
 * daemon when another one read the store, not when its own call succeeded.
 */
START_TEST(an_outage_ends_with_the_first_read_of_any_daemon)
{
	runner_list_t l;

	runner_list_init(&l, GRACE_PERIOD);
	set(&l, "a", false);
	set(&l, "b", false);
	runner_list_apply_due(&l, SECOND);
	runner_list_set_outage(&l, false, SECOND);
	runner_list_set_outage(&l, true, 2 * SECOND);
	runner_list_on_update(&l, false, 10 * SECOND);
	/* Its own calls go on failing for a while, and then succeed. */
	runner_list_set_outage(&l, true, 10 * SECOND + SECOND / 2);
	runner_list_on_update(&l, false, 11 * SECOND);
	runner_list_set_outage(&l, true, 11 * SECOND + SECOND / 2);
	runner_list_set_outage(&l, false, 12 * SECOND);
	runner_list_remove(&l, STR_LIT("a"), 12 * SECOND);
	ck_assert(runner_list_apply_due(&l, 12 * SECOND));
	/* Nor does the next one begin with one failed call of its own. */
	runner_list_set_outage(&l, true, 12 * SECOND + SECOND / 2);
	runner_list_on_update(&l, true, 13 * SECOND);
	runner_list_remove(&l, STR_LIT("b"), 13 * SECOND);
	ck_assert(runner_list_apply_due(&l, 13 * SECOND));
	runner_list_finish(&l);
}
END_TEST

/*
 * Guards against runners given up after a cut, as a daemon beyond it tells of
 * their expiry: that daemon saw no outage, but they could not register.
 */
START_TEST(entries_that_expired_in_a_cut_have_a_grace_period)
{
	runner_list_t l;

	runner_list_init(&l, GRACE_PERIOD);
	set(&l, "a", false);
	runner_list_apply_due(&l, SECOND);
	runner_list_on_update(&l, true, SECOND);
	runner_list_set_outage(&l, true, 3 * SECOND);
	runner_list_on_update(&l, true, 7 * SECOND);
	runner_list_remove(&l, STR_LIT("a"), 7 * SECOND);
	runner_list_on_update(&l, true, 7 * SECOND + SECOND / 2);
	ck_assert(!runner_list_apply_due(&l, 8 * SECOND));
	ck_assert_int_eq(size(&l), 1);
	ck_assert(runner_list_apply_due(&l, 7 * SECOND + GRACE_PERIOD));
	runner_list_finish(&l);
}
END_TEST

/* Other daemons receive only changes: an entry's return must count as one. */
START_TEST(entry_that_returns_in_time_is_a_change)
{
	listed_runner_t runner = { .id = "a", .service = "s" };
	runner_list_t l;

	runner_list_init(&l, GRACE_PERIOD);
	ck_assert_int_eq(runner_list_set(&l, &runner), RUNNER_ENTRY_NEW);
	ck_assert_int_eq(runner_list_set(&l, &runner), RUNNER_ENTRY_KNOWN);
	runner_list_set_outage(&l, true, SECOND);
	runner_list_remove(&l, STR_LIT("a"), SECOND);
	ck_assert_int_eq(runner_list_set(&l, &runner), RUNNER_ENTRY_NEW);
	ck_assert_int_eq(runner_list_set(&l, &runner), RUNNER_ENTRY_KNOWN);
	runner_list_finish(&l);
}
END_TEST

/* The list came from a daemon that could not read the store either. */
START_TEST(started_during_an_outage_of_the_store)
{
	runner_list_t l;

	runner_list_init(&l, GRACE_PERIOD);
	set(&l, "a", false);
	runner_list_on_update(&l, false, SECOND);
	runner_list_apply_due(&l, SECOND);
	runner_list_set_outage(&l, true, 3 * SECOND);
	/* The store is available again; its list is still empty. */
	runner_list_set_outage(&l, false, 9 * SECOND);
	runner_list_begin(&l);
	runner_list_end(&l, 9 * SECOND);
	ck_assert(!runner_list_apply_due(&l, 10 * SECOND));
	ck_assert_int_eq(size(&l), 1);
	set(&l, "a", false);
	ck_assert(!runner_list_apply_due(&l, 12 * SECOND));
	ck_assert_int_eq(size(&l), 1);
	runner_list_finish(&l);
}
END_TEST

START_TEST(full_list_drops_missing_runners)
{
	runner_list_t l;

	runner_list_init(&l, GRACE_PERIOD);
	set(&l, "a", false);
	set(&l, "b", false);
	runner_list_apply_due(&l, SECOND);
	runner_list_begin(&l);
	set(&l, "b", true);
	runner_list_end(&l, 2 * SECOND);
	ck_assert(runner_list_apply_due(&l, 2 * SECOND));
	ck_assert_int_eq(size(&l), 1);
	runner_list_finish(&l);
}
END_TEST

/* An entry of incarnation BORN_MS, the SEQUENCE-th that it wrote. */
static runner_entry_t set_entry(runner_list_t *l, int64_t born_ms,
				uint64_t sequence, bool is_leaving)
{
	listed_runner_t runner = { .id = "a",
				   .born_ms = born_ms,
				   .sequence = sequence,
				   .is_leaving = is_leaving };

	return runner_list_set(l, &runner);
}

static void init_in_first_epoch(runner_list_t *l)
{
	runner_list_init(l, GRACE_PERIOD);
	runner_list_set_epoch(l, 1, 0);
}

static void copy(void *ctx, const listed_runner_t *runner)
{
	*(listed_runner_t *)ctx = *runner;
}

static bool is_leaving(const runner_list_t *l)
{
	listed_runner_t runner = { .is_leaving = false };

	runner_list_each(l, copy, &runner);
	return runner.is_leaving;
}

/* Guards against requests to a runner whose leaving the store has lost. */
START_TEST(an_old_copy_does_not_undo_a_leaving)
{
	runner_list_t l;

	init_in_first_epoch(&l);
	set_entry(&l, 5, 1, false);
	set_entry(&l, 5, 9, true);
	runner_list_set_epoch(&l, 2, SECOND);
	ck_assert_int_eq(set_entry(&l, 5, 1, false), RUNNER_ENTRY_OLD);
	ck_assert(is_leaving(&l));
	/* Nor does an earlier incarnation come back. */
	ck_assert_int_eq(set_entry(&l, 4, 99, false), RUNNER_ENTRY_OLD);
	ck_assert(is_leaving(&l));
	/* What it writes itself counts, as does a later incarnation. */
	ck_assert_int_eq(set_entry(&l, 5, 10, false), RUNNER_ENTRY_NEW);
	ck_assert(!is_leaving(&l));
	runner_list_set_epoch(&l, 3, SECOND);
	ck_assert_int_eq(set_entry(&l, 6, 1, false), RUNNER_ENTRY_NEW);
	runner_list_finish(&l);
	/* Without numbers, a leaving stands. */
	init_in_first_epoch(&l);
	set_entry(&l, 0, 0, true);
	runner_list_set_epoch(&l, 2, SECOND);
	ck_assert_int_eq(set_entry(&l, 0, 0, false), RUNNER_ENTRY_OLD);
	runner_list_finish(&l);
}
END_TEST

/* Guards against requests to a runner that left in the time the store lost. */
START_TEST(an_old_copy_does_not_bring_a_runner_back)
{
	runner_list_t l;

	init_in_first_epoch(&l);
	set_entry(&l, 5, 8, false);
	runner_list_remove(&l, STR_LIT("a"), SECOND);
	runner_list_apply_due(&l, SECOND);
	ck_assert_int_eq(size(&l), 0);
	runner_list_set_epoch(&l, 2, 2 * SECOND);
	ck_assert_int_eq(set_entry(&l, 5, 8, false), RUNNER_ENTRY_OLD);
	ck_assert_int_eq(set_entry(&l, 5, 7, false), RUNNER_ENTRY_OLD);
	ck_assert_int_eq(size(&l), 0);
	ck_assert_int_eq(set_entry(&l, 5, 9, false), RUNNER_ENTRY_NEW);
	ck_assert_int_eq(size(&l), 1);
	runner_list_finish(&l);
}
END_TEST

/* Guards against requests to a leaving runner after a late write (review/3). */
START_TEST(a_late_write_does_not_undo_a_leaving)
{
	runner_list_t l;

	init_in_first_epoch(&l);
	set_entry(&l, 5, 11, false);
	set_entry(&l, 5, 14, true);
	runner_list_apply_due(&l, SECOND);
	ck_assert_int_eq(set_entry(&l, 5, 12, false), RUNNER_ENTRY_OLD);
	/* A write may also be carried out twice. */
	ck_assert_int_eq(set_entry(&l, 5, 14, false), RUNNER_ENTRY_OLD);
	ck_assert(is_leaving(&l));
	ck_assert(!runner_list_apply_due(&l, SECOND));
	ck_assert_int_eq(set_entry(&l, 5, 15, true), RUNNER_ENTRY_KNOWN);
	runner_list_finish(&l);
}
END_TEST

/* Guards against requests to a runner that left, after a late write. */
START_TEST(a_late_write_does_not_bring_a_runner_back)
{
	runner_list_t l;

	init_in_first_epoch(&l);
	set_entry(&l, 5, 8, false);
	runner_list_remove(&l, STR_LIT("a"), SECOND);
	runner_list_apply_due(&l, SECOND);
	ck_assert_int_eq(set_entry(&l, 5, 7, false), RUNNER_ENTRY_OLD);
	ck_assert_int_eq(set_entry(&l, 5, 8, false), RUNNER_ENTRY_OLD);
	ck_assert_int_eq(size(&l), 0);
	runner_list_finish(&l);
}
END_TEST

/* Guards against a late write that keeps a runner beyond its removal. */
START_TEST(a_late_write_does_not_end_a_pending_removal)
{
	runner_list_t l;

	init_in_first_epoch(&l);
	set_entry(&l, 5, 8, false);
	runner_list_apply_due(&l, SECOND);
	runner_list_set_outage(&l, true, SECOND);
	runner_list_set_outage(&l, false, 2 * SECOND);
	runner_list_remove(&l, STR_LIT("a"), 2 * SECOND);
	ck_assert_int_eq(set_entry(&l, 5, 7, false), RUNNER_ENTRY_OLD);
	ck_assert(runner_list_apply_due(&l, 5 * SECOND));
	ck_assert_int_eq(size(&l), 0);
	runner_list_finish(&l);
}
END_TEST

/* Guards against the entry of a process that ended in place of its successor's. */
START_TEST(a_late_write_of_an_earlier_incarnation_is_ignored)
{
	runner_list_t l;

	init_in_first_epoch(&l);
	set_entry(&l, 5, 90, false);
	/* Each incarnation counts its entries anew. */
	ck_assert_int_eq(set_entry(&l, 6, 1, false), RUNNER_ENTRY_NEW);
	ck_assert_int_eq(set_entry(&l, 5, 91, true), RUNNER_ENTRY_OLD);
	ck_assert(!is_leaving(&l));
	ck_assert_int_eq(set_entry(&l, 6, 2, false), RUNNER_ENTRY_KNOWN);
	runner_list_finish(&l);
}
END_TEST

/* A runner that was silent for too long lives, and registers again. */
START_TEST(a_removed_runner_registers_again_with_its_next_entry)
{
	runner_list_t l;

	init_in_first_epoch(&l);
	set_entry(&l, 5, 8, false);
	runner_list_remove(&l, STR_LIT("a"), SECOND);
	runner_list_apply_due(&l, SECOND);
	ck_assert_int_eq(set_entry(&l, 5, 9, false), RUNNER_ENTRY_NEW);
	ck_assert_int_eq(size(&l), 1);
	runner_list_finish(&l);
}
END_TEST

/* Runners that registered in the time that the store lost write again. */
START_TEST(runners_that_a_copy_lacks_have_a_grace_period)
{
	runner_list_t l;

	init_in_first_epoch(&l);
	set_entry(&l, 5, 1, false);
	runner_list_apply_due(&l, SECOND);
	runner_list_set_epoch(&l, 2, 2 * SECOND);
	runner_list_begin(&l);
	runner_list_end(&l, 2 * SECOND);
	ck_assert(!runner_list_apply_due(&l, 3 * SECOND));
	ck_assert_int_eq(size(&l), 1);
	ck_assert(runner_list_apply_due(&l, 5 * SECOND));
	ck_assert_int_eq(size(&l), 0);
	runner_list_finish(&l);
}
END_TEST

SUITE_MAIN("runner_list", entry_that_returns_in_time_is_a_change,
	   started_during_an_outage_of_the_store,
	   dropped_at_once_while_the_store_is_available,
	   entries_that_expired_in_an_outage_have_a_grace_period,
	   removal_reported_by_a_reader_of_a_stable_store_is_applied,
	   an_outage_ends_with_the_first_read_of_any_daemon,
	   entries_that_expired_in_a_cut_have_a_grace_period,
	   full_list_drops_missing_runners, an_old_copy_does_not_undo_a_leaving,
	   an_old_copy_does_not_bring_a_runner_back,
	   a_late_write_does_not_undo_a_leaving,
	   a_late_write_does_not_bring_a_runner_back,
	   a_late_write_does_not_end_a_pending_removal,
	   a_late_write_of_an_earlier_incarnation_is_ignored,
	   a_removed_runner_registers_again_with_its_next_entry,
	   runners_that_a_copy_lacks_have_a_grace_period)
