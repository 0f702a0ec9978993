/*
 * The store carries a runner's write out late, after the runner has left, at
 * daemons that are told of changes by another one.
 */
#include "tests/lib_store_fixture.h"
#include "tests/lib_suite.h"

/* Starts the task; two runners are listed, each with entry 4. */
static void list_two_runners(store_fixture_t *f)
{
	store_fixture_init(f);
	store_fixture_put_runner(f, "i-1", 4, "ready");
	store_fixture_put_runner(f, "i-2", 4, "ready");
	ck_assert(store_fixture_await(f, &f->runners, 2));
}

/*
 * Guards against a late write that brings a runner back, once a daemon that was
 * told of its removal reads the store itself.
 */
START_TEST(a_removal_is_sent_with_the_runners_latest_entry)
{
	store_fixture_t f;

	list_two_runners(&f);
	store_fixture_put_runner(&f, "i-1", 9, "ready");
	store_fixture_run(&f, STORE_FIXTURE_LIMIT_US / 10);
	store_fixture_put(&f, STORE_RUNNERS, "i-1", g_strdup(""));
	ck_assert(store_fixture_await(&f, &f.removals, 1));
	ck_assert_int_eq(f.last_sequence, 9);
	ck_assert(store_fixture_await(&f, &f.runners, 1));
	store_fixture_finish(&f);
}
END_TEST

/* The same for an entry and a removal that are read at once. */
START_TEST(a_removal_is_sent_with_an_entry_read_beside_it)
{
	store_fixture_t f;

	list_two_runners(&f);
	store_fixture_put_runner(&f, "i-1", 9, "ready");
	store_fixture_put(&f, STORE_RUNNERS, "i-1", g_strdup(""));
	ck_assert(store_fixture_await(&f, &f.removals, 1));
	ck_assert_int_eq(f.last_sequence, 9);
	store_fixture_finish(&f);
}
END_TEST

/* The same for a runner whose removal shows only in a new list. */
START_TEST(a_missing_runner_is_sent_with_its_latest_entry)
{
	store_fixture_t f;

	store_fixture_init(&f);
	store_fixture_put_runner(&f, "i-2", 4, "ready");
	store_fixture_put_runner(&f, "i-1", 4, "ready");
	store_fixture_put_runner(&f, "i-1", 9, "ready");
	ck_assert(store_fixture_await(&f, &f.runners, 2));
	store_fixture_go_back(&f, STORE_RUNNERS, 1);
	f.epoch++;
	ck_assert(store_fixture_await(&f, &f.removals, 1));
	ck_assert_int_eq(f.last_sequence, 9);
	store_fixture_finish(&f);
}
END_TEST

/* Guards against a runner that a told daemon uses again after a late write. */
START_TEST(a_late_write_before_the_latest_entry_is_ignored)
{
	store_fixture_t f;
	message_t reader = { .type = MESSAGE_READER_ROLE, .number = true };
	message_t told = { .type = MESSAGE_READER_ROLE, .number = false };
	message_t m = { .type = MESSAGE_TOPIC_UPDATE };
	message_record_t last, gone;

	list_two_runners(&f);
	supervisor_post(&f.sup, TASK_PLATFORM, &told);
	store_fixture_put_runner(&f, "i-1", 9, "ready");
	store_fixture_put(&f, STORE_RUNNERS, "i-1", g_strdup(""));
	last.key = g_bytes_new_static("i-1", 3);
	last.value = g_bytes_new(f.topics[STORE_RUNNERS].records[2].value,
				 f.topics[STORE_RUNNERS].records[2].len);
	gone.key = g_bytes_new_static("i-1", 3);
	gone.value = g_bytes_new(NULL, 0);
	m.update.topic = STORE_RUNNERS;
	m.update.from = (topic_position_t){ 1, 2 };
	m.update.to = (topic_position_t){ 1, 4 };
	m.update.is_stable = true;
	m.update.records = message_records_new();
	g_array_append_val(m.update.records, last);
	g_array_append_val(m.update.records, gone);
	supervisor_post(&f.sup, TASK_PLATFORM, &m);
	ck_assert(store_fixture_await(&f, &f.runners, 1));
	store_fixture_put_runner(&f, "i-1", 7, "ready");
	supervisor_post(&f.sup, TASK_PLATFORM, &reader);
	store_fixture_run(&f, STORE_FIXTURE_LIMIT_US / 6);
	ck_assert_int_eq(f.runners, 1);
	store_fixture_finish(&f);
}
END_TEST

SUITE_MAIN("late_entry", a_removal_is_sent_with_the_runners_latest_entry,
	   a_removal_is_sent_with_an_entry_read_beside_it,
	   a_missing_runner_is_sent_with_its_latest_entry,
	   a_late_write_before_the_latest_entry_is_ignored)
