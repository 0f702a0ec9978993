#include "core/byte_budget.h"
#include "tests/lib_suite.h"

enum {
	MEMORY = 5 * 1024 * 1024,
	LIMIT = 1024 * 1024,
	BACKLOG = 256 * 1024,
	SMALL = 32 * 1024,
};

START_TEST(bytes_fit_up_to_the_limit)
{
	byte_budget_t b;

	byte_budget_init(&b, MEMORY);
	ck_assert(byte_budget_fits(&b, LIMIT));
	ck_assert(!byte_budget_fits(&b, LIMIT + 1));
	byte_budget_add(&b, LIMIT);
	ck_assert(!byte_budget_fits(&b, 1));
	byte_budget_remove(&b, 10);
	ck_assert(byte_budget_fits(&b, 10));
	ck_assert_uint_eq(b.peak, LIMIT);
}
END_TEST

/* Guards against many slow readers whose streams fill the memory. */
START_TEST(streams_are_paused_earlier_when_much_is_held)
{
	byte_budget_t b;

	byte_budget_init(&b, MEMORY);
	ck_assert_uint_eq(byte_budget_backlog(&b, BACKLOG), BACKLOG);
	byte_budget_add(&b, LIMIT / 2 + 1);
	ck_assert_uint_lt(byte_budget_backlog(&b, BACKLOG), SMALL);
	ck_assert_uint_eq(byte_budget_backlog(&b, 1024), 1024);
}
END_TEST

/* Guards against a sound upstream that pays for a faulty one. */
START_TEST(the_upstream_that_holds_most_pays)
{
	static const byte_holder_t holders[] = {
		{ "sound", 900 },  { "faulty", 400 }, { "faulty", 500 },
		{ "faulty", 450 }, { "idle", 0 },
	};
	static const byte_holder_t none[] = { { "a", 0 }, { "b", 0 } };

	ck_assert_uint_eq(byte_budget_victim(holders, 5), 2);
	ck_assert_uint_eq(byte_budget_victim(holders, 2), 0);
	ck_assert_uint_eq(byte_budget_victim(none, 2), 2);
	ck_assert_uint_eq(byte_budget_victim(none, 0), 0);
}
END_TEST

SUITE_MAIN("byte_budget", bytes_fit_up_to_the_limit,
	   streams_are_paused_earlier_when_much_is_held,
	   the_upstream_that_holds_most_pays)
