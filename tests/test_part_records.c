/*
 * All daemons are killed at once while a prompt part that crashes runners is in
 * quarantine. The next processes must know of it before they send requests, and
 * of no quarantine that has ended.
 */
#include <inttypes.h>

#include "common/log.h"
#include "daemon/part_records.h"
#include "tests/lib_store_fixture.h"
#include "tests/lib_suite.h"

enum {
	PART = 0xabc,
	OTHER_PART = 0xdef,
	US_PER_MS = 1000,
	LEFT_US = 60 * 1000 * 1000,
	SHORT_US = 300 * 1000,
	RUN_US = 300 * 1000, /* for what must not happen */
};

static void post(store_fixture_t *f, part_notice_kind_t kind, int64_t left_us)
{
	message_t m = { .type = MESSAGE_PART_NOTICE, .part.kind = kind };

	m.part.entry.part = PART;
	prompt_parts_add(&m.part.entry.common, PART);
	prompt_parts_add(&m.part.entry.common, OTHER_PART);
	m.part.entry.until = g_get_monotonic_time() + left_us;
	m.part.entry.times = 2;
	if (kind == PART_NOTICE_SOUND)
		prompt_parts_add(&m.part.crash.parts, PART);
	supervisor_post(&f->sup, TASK_PLATFORM, &m);
}

/* Starts the task and waits until it has listed the topic of the records. */
static void start(store_fixture_t *f)
{
	store_fixture_init(f);
	store_fixture_restart_as_seed(f);
	ck_assert(store_fixture_await(f, &f->appends, 1));
}

/* Starts the task anew; after its entry it has read the records, too. */
static void restart(store_fixture_t *f)
{
	int appends = f->appends;

	store_fixture_restart(f);
	ck_assert(store_fixture_await(f, &f->appends, appends + 1));
}

static void begin(store_fixture_t *f, int64_t left_us)
{
	start(f);
	post(f, PART_NOTICE_QUARANTINE, left_us);
	ck_assert(store_fixture_await(f, &f->part_appends, 1));
}

START_TEST(a_quarantine_outlives_a_restart_of_all)
{
	store_fixture_t f;
	int64_t left;

	begin(&f, LEFT_US);
	ck_assert_int_eq(f.quarantined, 0);
	restart(&f);
	ck_assert(store_fixture_await(&f, &f.quarantined, 1));
	ck_assert_uint_eq(f.last_quarantined.part, PART);
	ck_assert_uint_eq(f.last_quarantined.times, 2);
	ck_assert_uint_eq(f.last_quarantined.common.n, 2);
	ck_assert_int_ge(
		prompt_parts_find(&f.last_quarantined.common, OTHER_PART), 0);
	left = f.last_quarantined.until - g_get_monotonic_time();
	ck_assert_int_le(left, LEFT_US);
	ck_assert_int_gt(left, LEFT_US / 2);
	store_fixture_finish(&f);
}
END_TEST

/* Guards against refusals of sound requests by all later processes. */
START_TEST(a_quarantine_that_ended_early_does_not_return)
{
	store_fixture_t f;

	begin(&f, LEFT_US);
	store_fixture_run(&f, RUN_US);
	post(&f, PART_NOTICE_SOUND, 0);
	ck_assert(store_fixture_await(&f, &f.part_appends, 2));
	restart(&f);
	store_fixture_run(&f, RUN_US);
	ck_assert_int_eq(f.quarantined, 0);
	store_fixture_finish(&f);
}
END_TEST

START_TEST(a_quarantine_whose_time_is_over_does_not_return)
{
	store_fixture_t f;

	begin(&f, SHORT_US);
	store_fixture_run(&f, SHORT_US);
	restart(&f);
	store_fixture_run(&f, RUN_US);
	ck_assert_int_eq(f.quarantined, 0);
	store_fixture_finish(&f);
}
END_TEST

START_TEST(a_record_that_the_store_refuses_is_written_later)
{
	store_fixture_t f;

	start(&f);
	f.refused_appends = 1;
	post(&f, PART_NOTICE_QUARANTINE, LEFT_US);
	ck_assert(store_fixture_await(&f, &f.part_appends, 1));
	ck_assert_int_eq(f.refused_appends, 0);
	store_fixture_finish(&f);
}
END_TEST

/* Guards against a quarantine that is lost with the store's last seconds. */
START_TEST(a_record_that_the_store_lost_is_written_again)
{
	store_fixture_t f;

	begin(&f, LEFT_US);
	store_fixture_run(&f, RUN_US);
	store_fixture_go_back(&f, STORE_DAEMONS, 0);
	f.epoch++;
	ck_assert(store_fixture_await(&f, &f.part_appends, 2));
	restart(&f);
	ck_assert(store_fixture_await(&f, &f.quarantined, 1));
	store_fixture_finish(&f);
}
END_TEST

/* Other writers may leave anything under these keys. */
START_TEST(damaged_records_are_ignored)
{
	/* "@" is replaced by a time that is still to come, in Unix ms. */
	static const char *const damaged[] = {
		"{",
		"[[[[[[[[]]]]]]]]",
		"{\"part\":1,\"common\":[\"abc\"],\"until_ms\":@,\"times\":1}",
		"{\"part\":\"x\",\"common\":[\"x\"],\"until_ms\":@,\"times\":1}",
		"{\"part\":\"abc\",\"common\":[],\"until_ms\":@,\"times\":1}",
		"{\"part\":\"abc\",\"common\":[\"abc\",7],\"until_ms\":@,"
		"\"times\":1}",
		"{\"part\":\"abc\",\"common\":[\"def\"],\"until_ms\":@,"
		"\"times\":1}",
		"{\"part\":\"abc\",\"common\":[\"abc\"],\"until_ms\":@,"
		"\"times\":0}",
		"{\"part\":\"abc\",\"common\":[\"abc\"],\"until_ms\":@,"
		"\"times\":4294967296}",
		"{\"part\":\"abc\",\"common\":[\"abc\"],\"until_ms\":@000,"
		"\"times\":1}",
		"{\"part\":\"abc\",\"common\":[\"abc\"],\"until_ms\":9e99,"
		"\"times\":1}",
	};
	g_autofree char *until = g_strdup_printf(
		"%" PRId64, (g_get_real_time() + LEFT_US) / US_PER_MS);
	store_fixture_t f;

	begin(&f, LEFT_US);
	for (size_t i = 0; i < G_N_ELEMENTS(damaged); i++) {
		g_autofree char *key = g_strdup_printf("part/x%zu", i);
		g_auto(GStrv) pieces = g_strsplit(damaged[i], "@", -1);

		store_fixture_put(&f, STORE_DAEMONS, key,
				  g_strjoinv(until, pieces));
	}
	restart(&f);
	ck_assert(store_fixture_await(&f, &f.quarantined, 1));
	store_fixture_run(&f, RUN_US);
	ck_assert_int_eq(f.quarantined, 1);
	store_fixture_finish(&f);
}
END_TEST

/* Guards against a record that is given up since no call could be made. */
START_TEST(a_write_that_cannot_begin_is_tried_again)
{
	struct event_base *base = event_base_new();
	message_part_t notice = { .kind = PART_NOTICE_QUARANTINE,
				  .entry = { .part = PART, .times = 1 } };
	topic_records_t topic;
	part_records_t p;
	store_t store;

	log_init("error");
	topic_records_init(&topic);
	store_init(&store, base, "nowhere", 100);
	part_records_init(&p, NULL, &store, &topic);
	notice.entry.until = g_get_monotonic_time() + LEFT_US;
	prompt_parts_add(&notice.entry.common, PART);
	part_records_on_notice(&p, &notice);
	part_records_tick(&p, 0, 1);
	ck_assert(!p.writer.is_writing);
	ck_assert(p.is_due[PART % PART_RECORDS_MAX]);
	ck_assert_int_gt(p.writer.retry_at, 1);
	part_records_finish(&p);
	store_finish(&store);
	topic_records_finish(&topic);
	event_base_free(base);
}
END_TEST

SUITE_MAIN("part_records", a_quarantine_outlives_a_restart_of_all,
	   a_quarantine_that_ended_early_does_not_return,
	   a_quarantine_whose_time_is_over_does_not_return,
	   a_record_that_the_store_refuses_is_written_later,
	   a_record_that_the_store_lost_is_written_again,
	   damaged_records_are_ignored,
	   a_write_that_cannot_begin_is_tried_again)
