/*
 * A configuration that a daemon has from another one before it reads it in the
 * store. What it then tells the others must still have it: they take what it
 * read for everything up to there.
 */
#include "tests/lib_store_fixture.h"
#include "tests/lib_suite.h"

enum {
	HEARTBEAT_US = 300 * 1000, /* between peers' statements */
	HEARTBEATS = 6, /* until it has to be in force */
};

/* Lists version 3; version 14 comes from a daemon while the store is down. */
static void begin(store_fixture_t *f)
{
	store_fixture_init(f);
	store_fixture_put_config(f, 3);
	ck_assert(store_fixture_await(f, &f->version, 3));
	f->is_down = true;
	ck_assert(store_fixture_await(f, &f->refused[STORE_CONFIG], 1));
	store_fixture_relay_config(f, 14);
	ck_assert(store_fixture_await(f, &f->version, 14));
	f->configs_told = 0;
}

/*
 * Guards against daemons that stay at an old configuration: who read the new one
 * had it already, and told them of its place in the store alone.
 */
START_TEST(a_configuration_known_before_it_is_read_is_told)
{
	store_fixture_t f;

	begin(&f);
	store_fixture_put_config(&f, 14);
	f.is_down = false;
	ck_assert(store_fixture_await(&f, &f.configs_told, 1));
	store_fixture_finish(&f);
}
END_TEST

/* Guards against configurations that are told again and again. */
START_TEST(a_configuration_is_told_once)
{
	store_fixture_t f;

	begin(&f);
	store_fixture_put_config(&f, 14);
	store_fixture_put_config(&f, 14);
	f.is_down = false;
	ck_assert(store_fixture_await(&f, &f.configs_told, 1));
	store_fixture_put_config(&f, 14);
	store_fixture_run(&f, STORE_FIXTURE_LIMIT_US / 3);
	ck_assert_int_eq(f.configs_told, 1);
	store_fixture_finish(&f);
}
END_TEST

/* Another daemon read up to two records, and says that nothing is new. */
static void skip_second_record(store_fixture_t *f)
{
	message_t m = { .type = MESSAGE_TOPIC_UPDATE };

	m.update.topic = STORE_CONFIG;
	m.update.from = (topic_position_t){ 1, 1 };
	m.update.to = (topic_position_t){ 1, 2 };
	m.update.records = message_records_new();
	supervisor_post(&f->sup, TASK_PLATFORM, &m);
}

static void state_version(store_fixture_t *f, int version)
{
	message_t m = { .type = MESSAGE_CONFIG_STATED,
			.number = (uint64_t)version };

	supervisor_post(&f->sup, TASK_PLATFORM, &m);
}

/*
 * Guards against a daemon that stays at an old configuration: an update, of an
 * older build say, covers the new one without having it.
 */
START_TEST(a_configuration_that_was_lost_on_the_way_is_listed)
{
	message_t role = { .type = MESSAGE_READER_ROLE };
	store_fixture_t f;

	store_fixture_init(&f);
	store_fixture_put_config(&f, 3);
	ck_assert(store_fixture_await(&f, &f.version, 3));
	supervisor_post(&f.sup, TASK_PLATFORM, &role);
	f.is_down = true;
	store_fixture_run(&f, HEARTBEAT_US);
	skip_second_record(&f);
	store_fixture_put_config(&f, 14);
	f.is_down = false;
	for (int i = 0; i < HEARTBEATS && f.version != 14; i++) {
		state_version(&f, 14);
		skip_second_record(&f);
		store_fixture_run(&f, HEARTBEAT_US);
	}
	ck_assert_int_eq(f.version, 14);
	store_fixture_finish(&f);
}
END_TEST

SUITE_MAIN("relayed_config", a_configuration_known_before_it_is_read_is_told,
	   a_configuration_is_told_once,
	   a_configuration_that_was_lost_on_the_way_is_listed)
