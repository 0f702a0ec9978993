/*
 * The store can't be called for some seconds, and other daemons read it again
 * before this one does.
 */
#include "tests/lib_store_fixture.h"
#include "tests/lib_suite.h"

enum {
	EXPIRY_US = 1600 * 1000, /* until an entry expires, at least */
	GRACE_US = 2300 * 1000, /* for runners to register after an outage */
	UPDATE_GAP_US = 300 * 1000, /* between what other daemons send */
	PROMPT_US = 700 * 1000, /* a removal counts, or a call is made */
	LONG_DELAY_CALLS = 4, /* failed in a row: the next one waits for long */
};

static void set_reader(store_fixture_t *f, bool is_reader)
{
	message_t m = { .type = MESSAGE_READER_ROLE, .number = is_reader };

	supervisor_post(&f->sup, TASK_PLATFORM, &m);
}

/* Lists two runners; then CALLS for TOPIC fail, and entries may expire. */
static void begin_outage(store_fixture_t *f, int topic, int calls)
{
	store_fixture_put_runner(f, "i-1", 4, "ready");
	store_fixture_put_runner(f, "i-2", 4, "ready");
	ck_assert(store_fixture_await(f, &f->runners, 2));
	f->is_down = true;
	while (f->refused[topic] < calls)
		ck_assert(store_fixture_await(f, &f->refused[topic],
					      f->refused[topic] + 1));
	store_fixture_run(f, EXPIRY_US);
}

/* The store is back, with version 14, as the daemon's delay has just begun. */
static void change_after_an_outage(store_fixture_t *f)
{
	store_fixture_put_config(f, 3);
	ck_assert(store_fixture_await(f, &f->version, 3));
	begin_outage(f, STORE_CONFIG, LONG_DELAY_CALLS);
	ck_assert(store_fixture_await(f, &f->refused[STORE_CONFIG],
				      f->refused[STORE_CONFIG] + 1));
	store_fixture_run(f, UPDATE_GAP_US / 3);
	f->is_down = false;
	store_fixture_put_config(f, 14);
}

/* Another daemon sends, for US microseconds, that nothing has changed. */
static void send_nothing_new(store_fixture_t *f, int64_t us)
{
	for (; us > 0; us -= UPDATE_GAP_US) {
		store_fixture_send_runners(f, 2, 2, NULL, false);
		store_fixture_run(f, UPDATE_GAP_US);
	}
}

/*
 * Guards against requests to a runner that left after the store was back: the
 * daemon is told so by others, and doesn't call the store itself.
 */
START_TEST(a_removal_after_an_outage_counts_at_daemons_that_are_told)
{
	store_fixture_t f;

	store_fixture_init(&f);
	set_reader(&f, false);
	begin_outage(&f, STORE_RUNNERS, 1);
	f.is_down = false;
	send_nothing_new(&f, GRACE_US + UPDATE_GAP_US);
	ck_assert_int_eq(f.runners, 2);
	store_fixture_send_runners(&f, 2, 3, "i-1", false);
	store_fixture_run(&f, PROMPT_US);
	ck_assert_int_eq(f.runners, 1);
	store_fixture_finish(&f);
}
END_TEST

/* Guards against runners given up whose entries expired in the outage. */
START_TEST(runners_have_time_to_register_after_an_outage)
{
	store_fixture_t f;

	store_fixture_init(&f);
	set_reader(&f, false);
	begin_outage(&f, STORE_RUNNERS, 1);
	store_fixture_send_runners(&f, 2, 3, "i-1", false);
	store_fixture_run(&f, PROMPT_US);
	ck_assert_int_eq(f.runners, 2);
	store_fixture_finish(&f);
}
END_TEST

/*
 * Guards against an old configuration after an outage: the daemon that reads for
 * all waits out its own delay, though another one has shown that the store is
 * back.
 */
START_TEST(a_reader_calls_at_once_when_told_that_the_store_is_back)
{
	store_fixture_t f;

	store_fixture_init(&f);
	change_after_an_outage(&f);
	store_fixture_send_runners(&f, 2, 2, NULL, false);
	store_fixture_run(&f, PROMPT_US);
	ck_assert_int_eq(f.version, 14);
	store_fixture_finish(&f);
}
END_TEST

/*
 * Guards against a zone that finds late that it can reach the store again: the
 * link to another zone shows that the cut is over.
 */
START_TEST(the_store_is_called_soon_when_another_zone_is_back)
{
	message_t m = { .type = MESSAGE_ZONE_PARTITION };
	store_fixture_t f;

	store_fixture_init(&f);
	set_reader(&f, false);
	change_after_an_outage(&f);
	supervisor_post(&f.sup, TASK_PLATFORM, &m);
	store_fixture_run(&f, PROMPT_US);
	ck_assert_int_eq(f.version, 14);
	store_fixture_finish(&f);
}
END_TEST

SUITE_MAIN("store_outage",
	   a_removal_after_an_outage_counts_at_daemons_that_are_told,
	   runners_have_time_to_register_after_an_outage,
	   a_reader_calls_at_once_when_told_that_the_store_is_back,
	   the_store_is_called_soon_when_another_zone_is_back)
