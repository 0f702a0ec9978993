/*
 * The platform's store comes back from a copy that is some seconds old: offsets
 * go back and are given out again. What the store says then replaces what was
 * known of it, while configurations never go back.
 */
#include <string.h>

#include "tests/lib_store_fixture.h"
#include "tests/lib_suite.h"

/* Puts versions 3, 7 and 11 in force; the store goes back to the first N. */
static void restore(store_fixture_t *f, size_t n)
{
	store_fixture_put_config(f, 3);
	store_fixture_put_config(f, 7);
	store_fixture_put_config(f, 11);
	ck_assert(store_fixture_await(f, &f->version, 11));
	store_fixture_go_back(f, STORE_CONFIG, n);
	f->epoch++;
}

/* Guards against a change whose record has an offset that was known before. */
START_TEST(a_change_after_the_store_went_back_is_in_force)
{
	store_fixture_t f;

	store_fixture_init(&f);
	restore(&f, 1);
	/* Written again, and one change more: as many records as before. */
	store_fixture_put_config(&f, 11);
	store_fixture_put_config(&f, 14);
	ck_assert(store_fixture_await(&f, &f.version, 14));
	ck_assert_int_eq(f.lowest_version, 0);
	store_fixture_finish(&f);
}
END_TEST

/* Guards against lists of daemons that still know what the store lost. */
START_TEST(a_list_of_the_old_store_does_not_hide_the_new_one)
{
	store_fixture_t f;

	store_fixture_init(&f);
	restore(&f, 1);
	f.has_old_peer = true;
	f.old_peer_next = 3;
	store_fixture_run(&f, STORE_FIXTURE_LIMIT_US / 3);
	store_fixture_put_config(&f, 14);
	ck_assert(store_fixture_await(&f, &f.version, 14));
	store_fixture_finish(&f);
}
END_TEST

/* Guards against daemons that don't read the store and are not told. */
START_TEST(a_reader_tells_the_others_of_the_new_epoch)
{
	store_fixture_t f;

	store_fixture_init(&f);
	restore(&f, 1);
	ck_assert(store_fixture_await(&f, &f.tells, 1));
	ck_assert_uint_eq(f.told_from.epoch, 1);
	ck_assert_uint_eq(f.told_from.next, 3);
	ck_assert_uint_eq(f.told_to.epoch, 2);
	ck_assert_uint_eq(f.told_to.next, 1);
	store_fixture_finish(&f);
}
END_TEST

/* Guards against daemons that are told and keep what they knew before. */
START_TEST(an_update_of_the_new_epoch_is_applied)
{
	message_t m = { .type = MESSAGE_TOPIC_UPDATE };
	message_t reader = { .type = MESSAGE_READER_ROLE, .number = false };
	message_record_t record;
	store_fixture_t f;

	store_fixture_init(&f);
	restore(&f, 3);
	f.epoch = 1;
	supervisor_post(&f.sup, TASK_PLATFORM, &reader);
	store_fixture_put_config(&f, 14);
	record.key = g_bytes_new_static("config", strlen("config"));
	record.value =
		g_bytes_new(f.topics[STORE_CONFIG].records[3].value,
			    strlen(f.topics[STORE_CONFIG].records[3].value));
	store_fixture_go_back(&f, STORE_CONFIG, 3);
	m.update.topic = STORE_CONFIG;
	m.update.from = (topic_position_t){ 1, 3 };
	m.update.to = (topic_position_t){ 2, 2 };
	m.update.records = message_records_new();
	g_array_append_val(m.update.records, record);
	supervisor_post(&f.sup, TASK_PLATFORM, &m);
	ck_assert(store_fixture_await(&f, &f.version, 14));
	store_fixture_finish(&f);
}
END_TEST

/* Guards against taking an old configuration from the copy. */
START_TEST(a_configuration_does_not_go_back)
{
	store_fixture_t f;

	store_fixture_init(&f);
	restore(&f, 2);
	store_fixture_run(&f, STORE_FIXTURE_LIMIT_US / 3);
	ck_assert_int_eq(f.version, 11);
	ck_assert_int_eq(f.lowest_version, 0);
	store_fixture_put_config(&f, 9);
	store_fixture_run(&f, STORE_FIXTURE_LIMIT_US / 3);
	ck_assert_int_eq(f.version, 11);
	ck_assert_int_eq(f.lowest_version, 0);
	store_fixture_finish(&f);
}
END_TEST

/* Guards against sending requests to a runner that said that it leaves. */
START_TEST(a_runner_that_leaves_is_not_ready_again)
{
	store_fixture_t f;

	store_fixture_init(&f);
	store_fixture_put_runner(&f, "i-1", 4, "ready");
	store_fixture_put_runner(&f, "i-2", 4, "ready");
	store_fixture_put_runner(&f, "i-1", 9, "draining");
	ck_assert(store_fixture_await(&f, &f.runners, 2));
	ck_assert(store_fixture_await(&f, &f.leaving, 1));
	store_fixture_go_back(&f, STORE_RUNNERS, 2);
	f.epoch++;
	store_fixture_run(&f, STORE_FIXTURE_LIMIT_US / 3);
	ck_assert_int_eq(f.leaving, 1);
	store_fixture_finish(&f);
}
END_TEST

/* Guards against daemons that a new one can't find, as the store lost them. */
START_TEST(a_daemon_writes_its_entry_again)
{
	store_fixture_t f;

	store_fixture_init(&f);
	ck_assert(store_fixture_await(&f, &f.appends, 1));
	store_fixture_run(&f, STORE_FIXTURE_LIMIT_US / 10);
	store_fixture_go_back(&f, STORE_DAEMONS, 0);
	f.epoch++;
	ck_assert(store_fixture_await(&f, &f.appends, 2));
	store_fixture_run(&f, STORE_FIXTURE_LIMIT_US / 3);
	ck_assert_int_eq(f.appends, 2);
	/* A copy that has the entry needs no other one. */
	f.epoch++;
	store_fixture_run(&f, STORE_FIXTURE_LIMIT_US / 3);
	ck_assert_int_eq(f.appends, 2);
	store_fixture_finish(&f);
}
END_TEST

/* The reader tells that the entry is in the store. */
static void send_own_entry(store_fixture_t *f)
{
	const char *text = f->topics[STORE_DAEMONS].records[0].value;
	message_t m = { .type = MESSAGE_TOPIC_UPDATE };
	message_record_t record = {
		.key = g_bytes_new_static("d", 1),
		.value = g_bytes_new(text, strlen(text)),
	};

	m.update.topic = STORE_DAEMONS;
	m.update.from = (topic_position_t){ 1, 0 };
	m.update.to = (topic_position_t){ 1, 1 };
	m.update.records = message_records_new();
	g_array_append_val(m.update.records, record);
	supervisor_post(&f->sup, TASK_PLATFORM, &m);
}

/* Guards against the same at daemons that don't read the store themselves. */
START_TEST(a_daemon_that_is_told_writes_its_entry_again)
{
	message_t reader = { .type = MESSAGE_READER_ROLE, .number = false };
	message_t m = { .type = MESSAGE_TOPIC_UPDATE };
	message_record_t lost;
	store_fixture_t f;

	store_fixture_init(&f);
	ck_assert(store_fixture_await(&f, &f.appends, 1));
	send_own_entry(&f);
	supervisor_post(&f.sup, TASK_PLATFORM, &reader);
	store_fixture_run(&f, STORE_FIXTURE_LIMIT_US / 10);
	lost.key = g_bytes_new_static("d", 1);
	lost.value = g_bytes_new_static("", 0);
	m.update.topic = STORE_DAEMONS;
	m.update.from = (topic_position_t){ 1, 1 };
	m.update.to = (topic_position_t){ 2, 0 };
	m.update.records = message_records_new();
	g_array_append_val(m.update.records, lost);
	supervisor_post(&f.sup, TASK_PLATFORM, &m);
	ck_assert(store_fixture_await(&f, &f.appends, 2));
	store_fixture_finish(&f);
}
END_TEST

/* Another daemon sends version 14 itself, not as an update of the store. */
static void relay_config(store_fixture_t *f)
{
	message_t m = { .type = MESSAGE_CONFIG_RELAYED };
	config_doc_t doc = { .version = 14, .name = FLEET_PROFILE };
	fake_record_t *record;

	store_fixture_put_config(f, 14);
	record =
		&f->topics[STORE_CONFIG].records[f->topics[STORE_CONFIG].n - 1];
	doc.body = g_bytes_new(record->value, strlen(record->value));
	store_fixture_go_back(f, STORE_CONFIG, f->topics[STORE_CONFIG].n - 1);
	m.docs.docs = message_docs_new();
	g_array_append_val(m.docs.docs, doc);
	supervisor_post(&f->sup, TASK_PLATFORM, &m);
}

/* Guards against handing an older configuration on under a newer version. */
START_TEST(the_configuration_in_force_is_what_is_handed_on)
{
	message_t m = { .type = MESSAGE_CONFIG_REQUEST };
	store_fixture_t f;

	store_fixture_init(&f);
	restore(&f, 1);
	relay_config(&f);
	ck_assert(store_fixture_await(&f, &f.version, 14));
	supervisor_post(&f.sup, TASK_PLATFORM, &m);
	ck_assert(store_fixture_await(&f, &f.sent_version, 14));
	store_fixture_finish(&f);
}
END_TEST

SUITE_MAIN("restored_store", a_change_after_the_store_went_back_is_in_force,
	   a_list_of_the_old_store_does_not_hide_the_new_one,
	   a_reader_tells_the_others_of_the_new_epoch,
	   an_update_of_the_new_epoch_is_applied,
	   a_configuration_does_not_go_back,
	   a_runner_that_leaves_is_not_ready_again,
	   a_daemon_writes_its_entry_again,
	   a_daemon_that_is_told_writes_its_entry_again,
	   the_configuration_in_force_is_what_is_handed_on)
