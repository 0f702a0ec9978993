/*
 * A configuration that a daemon has from another one before it reads it in the
 * store. What it then tells the others must still have it: they take what it
 * read for everything up to there.
 */
#include "tests/lib_store_fixture.h"
#include "tests/lib_suite.h"

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

SUITE_MAIN("relayed_config", a_configuration_known_before_it_is_read_is_told,
	   a_configuration_is_told_once)
