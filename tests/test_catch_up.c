/* What is sent to daemons that are behind, while they can't take it in. */
#include "core/catch_up.h"
#include "daemon/message.h"
#include "tests/lib_store_fixture.h"
#include "tests/lib_suite.h"

#define MS INT64_C(1000)

enum {
	SIZE = 300 * 1000, /* bytes of a large configuration */
	HEARTBEAT_MS = 600,
	PEERS = 138,
	RUN_MS = 10000,
	MAX_BYTES = 8 * 1000 * 1000, /* far below the memory of a small VM */
	STATEMENTS = 20,
};

static const int64_t start = 1000 * MS;

/*
 * Guards against a process that goes beyond its memory: all others state an old
 * version with each heartbeat, as the new one is on its way to them.
 */
START_TEST(many_that_stay_behind_are_sent_little)
{
	catch_up_t c;
	size_t bytes = 0;

	catch_up_init(&c);
	for (int64_t ms = 0; ms < RUN_MS; ms += HEARTBEAT_MS)
		for (int i = 0; i < PEERS; i++) {
			g_autofree char *name = g_strdup_printf("d%d", i);

			if (catch_up_may_send(&c, name, 7, SIZE,
					      start + ms * MS + i))
				bytes += SIZE;
		}
	ck_assert_uint_gt(bytes, 0);
	ck_assert_uint_le(bytes, MAX_BYTES);
	catch_up_finish(&c);
}
END_TEST

START_TEST(one_that_is_behind_is_sent_each_version)
{
	catch_up_t c;

	catch_up_init(&c);
	ck_assert(catch_up_may_send(&c, "a", 7, SIZE, start));
	ck_assert(!catch_up_may_send(&c, "a", 7, SIZE, start + 2000 * MS));
	ck_assert(catch_up_may_send(&c, "a", 8, SIZE, start + 2000 * MS));
	ck_assert(catch_up_may_send(&c, "a", 8, SIZE, start + 8000 * MS));
	catch_up_finish(&c);
}
END_TEST

START_TEST(small_ones_go_to_all_soon)
{
	catch_up_t c;

	catch_up_init(&c);
	ck_assert(catch_up_may_send(&c, "a", 7, 1000, start));
	ck_assert(!catch_up_may_send(&c, "b", 7, 1000, start));
	ck_assert(catch_up_may_send(&c, "b", 7, 1000, start + 2 * MS));
	catch_up_finish(&c);
}
END_TEST

/* Guards against the same in the task that sends it. */
START_TEST(a_daemon_that_states_an_old_version_again_is_sent_it_once)
{
	message_t m = { .type = MESSAGE_CONFIG_REQUEST };
	store_fixture_t f;

	store_fixture_init(&f);
	store_fixture_put_config(&f, 3);
	ck_assert(store_fixture_await(&f, &f.version, 3));
	g_strlcpy(m.docs.peer, "peer", sizeof(m.docs.peer));
	for (int i = 0; i < STATEMENTS; i++)
		supervisor_post(&f.sup, TASK_PLATFORM, &m);
	ck_assert(store_fixture_await(&f, &f.sent_version, 3));
	store_fixture_run(&f, 100 * MS);
	ck_assert_int_eq(f.configs_sent, 1);
	store_fixture_finish(&f);
}
END_TEST

SUITE_MAIN("catch_up", many_that_stay_behind_are_sent_little,
	   one_that_is_behind_is_sent_each_version, small_ones_go_to_all_soon,
	   a_daemon_that_states_an_old_version_again_is_sent_it_once)
