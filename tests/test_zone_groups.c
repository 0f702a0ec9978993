/*
 * Requests stay in their zone: which dispatcher gets a request first, and
 * which one when the own zone refuses it, when the own zone has no runner, and
 * for a service with few runners.
 */
#include "core/zone_groups.h"
#include "tests/lib_suite.h"

enum { TRIES = 2000 };

static const zone_affinity_t none;

typedef struct fixture {
	zone_groups_t z;
	GRand *rand;
} fixture_t;

static void fixture_init(fixture_t *f)
{
	zone_groups_init(&f->z, "north");
	f->rand = g_rand_new_with_seed(7);
}

static void fixture_finish(fixture_t *f)
{
	zone_groups_finish(&f->z);
	g_rand_free(f->rand);
}

static void add(fixture_t *f, const char *service, const char *zone, int n)
{
	while (n-- > 0)
		zone_groups_add(&f->z, service, zone);
}

START_TEST(own_zone_gets_requests_first)
{
	fixture_t f;
	zone_pick_t pick;

	fixture_init(&f);
	add(&f, "model", "north", 40);
	add(&f, "model", "south", 40);
	for (int i = 0; i < TRIES; i++) {
		zone_groups_pick_first(&f.z, "model", &none, f.rand, &pick);
		ck_assert_str_eq(pick.zone, "");
		ck_assert_uint_eq(pick.group.count, runner_group_count(40));
		ck_assert_uint_lt(pick.group.index, pick.group.count);
		ck_assert(!pick.group.is_regional);
	}
	fixture_finish(&f);
}
END_TEST

START_TEST(a_refused_request_goes_to_another_zone_once)
{
	fixture_t f;
	zone_pick_t pick;
	int east = 0;

	fixture_init(&f);
	add(&f, "model", "north", 20);
	add(&f, "model", "south", 30);
	add(&f, "model", "east", 10);
	for (int i = 0; i < TRIES; i++) {
		zone_groups_pick_first(&f.z, "model", &none, f.rand, &pick);
		ck_assert(zone_groups_pick_next(&f.z, f.rand, &pick));
		ck_assert_str_ne(pick.zone, "");
		east += !strcmp(pick.zone, "east");
		ck_assert_uint_eq(
			pick.group.count,
			runner_group_count(!strcmp(pick.zone, "east") ? 10 :
									30));
		ck_assert(!zone_groups_pick_next(&f.z, f.rand, &pick));
	}
	/* In proportion to the number of runners: one in four. */
	ck_assert_int_gt(east, TRIES / 5);
	ck_assert_int_lt(east, TRIES / 3);
	fixture_finish(&f);
}
END_TEST

START_TEST(zone_without_runners_uses_other_zones)
{
	fixture_t f;
	zone_pick_t pick;

	fixture_init(&f);
	add(&f, "model", "south", 20);
	zone_groups_pick_first(&f.z, "model", &none, f.rand, &pick);
	ck_assert_str_eq(pick.zone, "south");
	fixture_finish(&f);
}
END_TEST

START_TEST(only_zone_tries_its_other_groups)
{
	fixture_t f;
	zone_pick_t pick;
	uint32_t first;

	fixture_init(&f);
	add(&f, "model", "north", 40);
	zone_groups_pick_first(&f.z, "model", &none, f.rand, &pick);
	first = pick.group.index;
	ck_assert(zone_groups_pick_next(&f.z, f.rand, &pick));
	ck_assert_str_eq(pick.zone, "");
	ck_assert_uint_ne(pick.group.index, first);
	ck_assert(!zone_groups_pick_next(&f.z, f.rand, &pick));
	fixture_finish(&f);
}
END_TEST

START_TEST(a_session_stays_with_its_group)
{
	fixture_t f;
	zone_pick_t first, pick;
	uint32_t seen = 0;

	fixture_init(&f);
	add(&f, "model", "north", 64);
	for (uint64_t session = 1; session <= 100; session++) {
		zone_affinity_t affinity = { .session = session };

		zone_groups_pick_first(&f.z, "model", &affinity, f.rand,
				       &first);
		zone_groups_pick_first(&f.z, "model", &affinity, f.rand, &pick);
		ck_assert_uint_eq(pick.group.index, first.group.index);
		seen |= 1U << pick.group.index;
	}
	ck_assert_uint_eq(seen, (1U << first.group.count) - 1);
	fixture_finish(&f);
}
END_TEST

/* Seen from every zone, also when runners of other groups come and go. */
START_TEST(prefix_has_one_owner_group_over_all_zones)
{
	fixture_t f, other;
	int own = 0, moved = 0;

	fixture_init(&f);
	add(&f, "model", "north", 30);
	add(&f, "model", "south", 60);
	fixture_init(&other);
	g_strlcpy(other.z.own_zone, "south", sizeof(other.z.own_zone));
	add(&other, "model", "south", 59);
	add(&other, "model", "north", 30);
	for (uint64_t prefix = 1; prefix <= TRIES; prefix++) {
		zone_affinity_t affinity = { .prefix = prefix };
		zone_pick_t here, there;

		zone_groups_pick_first(&f.z, "model", &affinity, f.rand, &here);
		zone_groups_pick_first(&other.z, "model", &affinity, other.rand,
				       &there);
		own += !here.zone[0];
		moved += (!here.zone[0]) != !strcmp(there.zone, "north") ||
			 here.group.index != there.group.index;
		if (!here.zone[0])
			continue;
		/* When the owner group refuses, the own zone is next. */
		ck_assert(zone_groups_pick_next(&f.z, f.rand, &here));
		ck_assert_str_eq(here.zone, "");
	}
	/* A third of the runners are in the own zone. */
	ck_assert_int_gt(own, TRIES * 28 / 100);
	ck_assert_int_lt(own, TRIES * 38 / 100);
	ck_assert_int_lt(moved, TRIES / 50);
	fixture_finish(&f);
	fixture_finish(&other);
}
END_TEST

/* Its dispatcher can't be reached, as no link to it is up. */
START_TEST(a_request_returns_from_a_zone_that_cannot_be_reached)
{
	fixture_t f;
	zone_pick_t pick;

	fixture_init(&f);
	add(&f, "model", "north", 20);
	add(&f, "model", "south", 30);
	zone_groups_pick_first(&f.z, "model", &none, f.rand, &pick);
	/* It may leave again, as nobody refused it. */
	for (int i = 0; i < 3; i++) {
		ck_assert(zone_groups_leave(&f.z, f.rand, &pick));
		ck_assert_str_eq(pick.zone, "south");
		ck_assert(zone_groups_pick_usable(&f.z, f.rand, false, &pick));
		ck_assert_str_eq(pick.zone, "");
	}
	/* The own zone refuses it, another can't be reached, it refuses. */
	ck_assert(zone_groups_pick_next(&f.z, f.rand, &pick));
	ck_assert(zone_groups_pick_usable(&f.z, f.rand, false, &pick));
	ck_assert_str_eq(pick.zone, "");
	ck_assert(!zone_groups_pick_next(&f.z, f.rand, &pick));
	fixture_finish(&f);
}
END_TEST

START_TEST(a_request_tries_each_zone_that_can_be_reached)
{
	fixture_t f;
	zone_pick_t pick;
	char second[ZONE_GROUPS_NAME_SIZE];

	fixture_init(&f);
	add(&f, "model", "north", 20);
	add(&f, "model", "south", 30);
	add(&f, "model", "east", 30);
	zone_groups_pick_first(&f.z, "model", &none, f.rand, &pick);
	ck_assert(zone_groups_leave(&f.z, f.rand, &pick));
	g_strlcpy(second, pick.zone, sizeof(second));
	ck_assert(zone_groups_pick_usable(&f.z, f.rand, false, &pick));
	ck_assert_str_ne(pick.zone, second);
	ck_assert_str_ne(pick.zone, "");
	ck_assert(zone_groups_pick_usable(&f.z, f.rand, false, &pick));
	ck_assert_str_eq(pick.zone, "");
	fixture_finish(&f);
}
END_TEST

START_TEST(no_zone_with_a_runner_ends_the_search)
{
	fixture_t f;
	zone_pick_t pick;
	int n = 0;

	fixture_init(&f);
	add(&f, "model", "north", 40);
	add(&f, "model", "south", 30);
	zone_groups_pick_first(&f.z, "model", &none, f.rand, &pick);
	while (zone_groups_pick_usable(&f.z, f.rand, false, &pick))
		n++;
	/* The other groups of the own zone, then the other zone. */
	ck_assert_int_eq(n, (int)runner_group_count(40));
	fixture_finish(&f);
}
END_TEST

/* One group of the own zone has no runner that works, the other is full. */
START_TEST(a_group_without_runners_is_not_drawn_again)
{
	fixture_t f;

	fixture_init(&f);
	add(&f, "model", "north", 24);
	add(&f, "model", "south", 24);
	for (uint64_t session = 0; session <= 100; session++) {
		zone_affinity_t affinity = { .session = session };
		zone_pick_t pick;
		uint32_t bad;

		zone_groups_pick_first(&f.z, "model", &affinity, f.rand, &pick);
		bad = pick.group.index;
		ck_assert(zone_groups_pick_usable(&f.z, f.rand, false, &pick));
		ck_assert_uint_ne(pick.group.index, bad);
		ck_assert(zone_groups_leave(&f.z, f.rand, &pick));
		ck_assert_str_eq(pick.zone, "south");
		ck_assert(zone_groups_pick_usable(&f.z, f.rand, false, &pick));
		ck_assert_str_eq(pick.zone, "");
		ck_assert_uint_ne(pick.group.index, bad);
	}
	fixture_finish(&f);
}
END_TEST

START_TEST(a_refusal_leads_to_no_group_without_runners)
{
	fixture_t f;
	zone_pick_t pick;

	fixture_init(&f);
	add(&f, "model", "north", 24);
	zone_groups_pick_first(&f.z, "model", &none, f.rand, &pick);
	ck_assert(zone_groups_pick_usable(&f.z, f.rand, false, &pick));
	/* The other of the two groups is the one that was left just now. */
	ck_assert(!zone_groups_pick_next(&f.z, f.rand, &pick));
	fixture_finish(&f);
}
END_TEST

/* Each stay there costs time, so it isn't tried again. */
START_TEST(a_silent_zone_is_left_for_good)
{
	fixture_t f;
	zone_pick_t pick;

	fixture_init(&f);
	add(&f, "model", "north", 10);
	add(&f, "model", "south", 30);
	zone_groups_pick_first(&f.z, "model", &none, f.rand, &pick);
	ck_assert(zone_groups_leave(&f.z, f.rand, &pick));
	ck_assert_str_eq(pick.zone, "south");
	ck_assert(zone_groups_pick_usable(&f.z, f.rand, true, &pick));
	ck_assert_str_eq(pick.zone, "");
	ck_assert(!zone_groups_leave(&f.z, f.rand, &pick));
	fixture_finish(&f);
}
END_TEST

START_TEST(a_request_leaves_its_zone_in_vain_only_so_often)
{
	fixture_t f;
	zone_pick_t pick;
	int n = 0;

	fixture_init(&f);
	add(&f, "model", "north", 10);
	add(&f, "model", "south", 30);
	zone_groups_pick_first(&f.z, "model", &none, f.rand, &pick);
	while (n < 100 && zone_groups_leave(&f.z, f.rand, &pick)) {
		n++;
		ck_assert(zone_groups_pick_usable(&f.z, f.rand, false, &pick));
		ck_assert_str_eq(pick.zone, "");
	}
	ck_assert_int_le(n, 4);
	fixture_finish(&f);
}
END_TEST

START_TEST(a_session_returns_to_its_group)
{
	zone_affinity_t affinity = { .session = 5 };
	fixture_t f;
	zone_pick_t first, pick;

	fixture_init(&f);
	add(&f, "model", "north", 64);
	add(&f, "model", "south", 64);
	zone_groups_pick_first(&f.z, "model", &affinity, f.rand, &first);
	for (int i = 0; i < TRIES; i++) {
		pick = first;
		ck_assert(zone_groups_leave(&f.z, f.rand, &pick));
		ck_assert(zone_groups_pick_usable(&f.z, f.rand, false, &pick));
		ck_assert_uint_eq(pick.group.index, first.group.index);
	}
	fixture_finish(&f);
}
END_TEST

START_TEST(a_zone_that_is_cut_off_is_not_tried)
{
	fixture_t f;
	zone_pick_t pick;
	int moved = 0;

	fixture_init(&f);
	add(&f, "model", "north", 10);
	add(&f, "model", "south", 30);
	add(&f, "model", "east", 30);
	for (uint64_t prefix = 1; prefix <= TRIES; prefix++) {
		zone_affinity_t affinity = { .prefix = prefix };
		zone_pick_t before;

		zone_groups_pick_first(&f.z, "model", &affinity, f.rand,
				       &before);
		zone_groups_set_partitioned(&f.z, "south", true);
		zone_groups_pick_first(&f.z, "model", &affinity, f.rand, &pick);
		ck_assert_str_ne(pick.zone, "south");
		/* Other prefixes stay where they are cached. */
		if (strcmp(before.zone, "south") != 0)
			moved += strcmp(before.zone, pick.zone) != 0 ||
				 before.group.index != pick.group.index;
		zone_groups_pick_first(&f.z, "model", &none, f.rand, &pick);
		ck_assert(zone_groups_leave(&f.z, f.rand, &pick));
		ck_assert_str_eq(pick.zone, "east");
		zone_groups_set_partitioned(&f.z, "south", false);
	}
	ck_assert_int_eq(moved, 0);
	zone_groups_set_partitioned(&f.z, "south", true);
	zone_groups_set_partitioned(&f.z, "east", true);
	zone_groups_pick_first(&f.z, "model", &none, f.rand, &pick);
	ck_assert(!zone_groups_leave(&f.z, f.rand, &pick));
	fixture_finish(&f);
}
END_TEST

static void count_call(void *ctx, const char *dispatcher)
{
	ck_assert_str_eq(dispatcher, "desk@");
	++*(int *)ctx;
}

START_TEST(few_runners_have_one_dispatcher_over_all_zones)
{
	fixture_t f;
	zone_pick_t pick;
	int n = 0;

	fixture_init(&f);
	add(&f, "desk", "north", 1);
	add(&f, "desk", "south", 1);
	add(&f, "model", "north", 40);
	zone_groups_pick_first(&f.z, "desk", &none, f.rand, &pick);
	ck_assert(pick.group.is_regional);
	ck_assert_str_eq(pick.zone, "");
	ck_assert(!zone_groups_pick_next(&f.z, f.rand, &pick));
	zone_groups_each_regional(&f.z, count_call, &n);
	ck_assert_int_eq(n, 1);
	zone_groups_pick_first(&f.z, "unknown", &none, f.rand, &pick);
	ck_assert_uint_eq(pick.group.count, 1);
	fixture_finish(&f);
}
END_TEST

SUITE_MAIN("zone_groups", own_zone_gets_requests_first,
	   a_refused_request_goes_to_another_zone_once,
	   zone_without_runners_uses_other_zones,
	   only_zone_tries_its_other_groups, a_session_stays_with_its_group,
	   prefix_has_one_owner_group_over_all_zones,
	   a_request_returns_from_a_zone_that_cannot_be_reached,
	   a_request_tries_each_zone_that_can_be_reached,
	   no_zone_with_a_runner_ends_the_search,
	   a_group_without_runners_is_not_drawn_again,
	   a_refusal_leads_to_no_group_without_runners,
	   a_silent_zone_is_left_for_good,
	   a_request_leaves_its_zone_in_vain_only_so_often,
	   a_session_returns_to_its_group, a_zone_that_is_cut_off_is_not_tried,
	   few_runners_have_one_dispatcher_over_all_zones)
