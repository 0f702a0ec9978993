/*
 * What a process holds for requests that are not complete, under callers that
 * send much and stop short, that trickle, or that connect and send nothing.
 */
#include <string.h>

#include "core/intake_budget.h"
#include "tests/lib_suite.h"

enum { CROWD = 20 };

#define S 1000000L /* microseconds */
#define KB 1024L
#define MB (1024 * KB)

static const intake_limits_t limits = {
	.bytes = 10 * MB,
	.connections = CROWD + 2,
	.grace = 10 * S,
	.rate = 1 * KB,
};

/* Connections of a crowd, each with a request that is read in part. */
typedef struct scene {
	intake_budget_t budget;
	intake_t crowd[CROWD];
	intake_t ordinary;
} scene_t;

static void begin(scene_t *s, uint64_t bytes)
{
	memset(s, 0, sizeof(*s));
	intake_budget_init(&s->budget, &limits);
	for (int i = 0; i < CROWD; i++) {
		intake_budget_add(&s->budget, &s->crowd[i], s, 0);
		intake_budget_enter(&s->budget, &s->crowd[i], INTAKE_READING,
				    i);
		intake_budget_hold(&s->budget, &s->crowd[i], bytes, i);
	}
}

static void add_ordinary(scene_t *s, int64_t now)
{
	intake_budget_add(&s->budget, &s->ordinary, NULL, now);
	intake_budget_enter(&s->budget, &s->ordinary, INTAKE_READING, now);
}

START_TEST(bodies_that_stop_short_make_room_for_an_ordinary_one)
{
	scene_t s;
	int given_up = 0;

	begin(&s, 512 * KB);
	add_ordinary(&s, 2 * S);
	for (uint64_t bytes = 0; bytes < 4 * MB; bytes += 64 * KB) {
		int64_t now = 2 * S + (int64_t)bytes / KB;

		while (!intake_budget_fits(&s.budget, &s.ordinary, 64 * KB)) {
			intake_t *victim = intake_budget_victim(
				&s.budget, &s.ordinary, 64 * KB, now);

			ck_assert_ptr_eq(victim, &s.crowd[given_up++]);
			intake_budget_enter(&s.budget, victim, INTAKE_CLOSING,
					    now);
		}
		intake_budget_hold(&s.budget, &s.ordinary, bytes + 64 * KB,
				   now);
	}
	ck_assert_int_eq(given_up, 8);
	ck_assert_uint_le(s.budget.peak, limits.bytes);
}
END_TEST

START_TEST(the_largest_of_the_same_age_is_given_up_first)
{
	scene_t s;

	begin(&s, 100 * KB);
	add_ordinary(&s, 1 * S);
	intake_budget_hold(&s.budget, &s.ordinary, 100 * KB, S);
	intake_budget_hold(&s.budget, &s.crowd[7], 900 * KB, 10);
	ck_assert_ptr_eq(
		intake_budget_victim(&s.budget, &s.ordinary, KB, S + 10),
		&s.crowd[7]);
}
END_TEST

/* A huge body in a crowd of small ones pays itself. */
START_TEST(who_holds_most_for_longest_is_refused_itself)
{
	scene_t s;

	begin(&s, 1 * KB);
	intake_budget_hold(&s.budget, &s.crowd[0], 9 * MB, 0);
	ck_assert_ptr_null(
		intake_budget_victim(&s.budget, &s.crowd[0], KB, 1 * S));
	ck_assert_ptr_eq(
		intake_budget_victim(&s.budget, &s.crowd[1], KB, 1 * S),
		&s.crowd[0]);
}
END_TEST

/*
 * More bodies at once than fit, all of them in good time: the first ones are
 * completed, later large ones are refused, and small requests go on.
 */
START_TEST(bodies_that_come_in_good_time_are_given_up_for_small_ones_only)
{
	const int64_t now = 50000;
	scene_t s;

	begin(&s, 512 * KB);
	add_ordinary(&s, now);
	ck_assert(!intake_budget_fits(&s.budget, &s.ordinary, 64 * KB));
	s.ordinary.expected = 1 * MB;
	ck_assert_ptr_null(
		intake_budget_victim(&s.budget, &s.ordinary, 64 * KB, now));
	s.ordinary.expected = 0;
	ck_assert_ptr_null(
		intake_budget_victim(&s.budget, &s.ordinary, 64 * KB, now));
	s.ordinary.expected = 256 * KB;
	ck_assert_ptr_eq(
		intake_budget_victim(&s.budget, &s.ordinary, 64 * KB, now),
		&s.crowd[0]);
}
END_TEST

/* Many small bodies, more than fit: the first ones are completed. */
START_TEST(small_bodies_are_not_given_up_for_equals)
{
	const int64_t now = 50000;
	scene_t s;

	begin(&s, 256 * KB);
	for (size_t k = 0; k < G_N_ELEMENTS(s.crowd); k++)
		s.crowd[k].expected = 256 * KB;
	add_ordinary(&s, now);
	s.ordinary.expected = 256 * KB;
	ck_assert_ptr_null(
		intake_budget_victim(&s.budget, &s.ordinary, 64 * KB, now));
}
END_TEST

/*
 * A crowd that comes back at full speed, all of it in good time, against a body
 * of ordinary size: each piece of it finds room.
 */
START_TEST(a_small_body_is_completed_beside_a_crowd_that_comes_back)
{
	int64_t now = 90000;
	scene_t s;

	begin(&s, 512 * KB);
	add_ordinary(&s, now);
	s.ordinary.expected = 256 * KB;
	for (uint64_t bytes = 0; bytes < 256 * KB; bytes += 16 * KB) {
		now += 100;
		while (!intake_budget_fits(&s.budget, &s.ordinary, 16 * KB)) {
			intake_t *victim = intake_budget_victim(
				&s.budget, &s.ordinary, 16 * KB, now);

			ck_assert_ptr_nonnull(victim);
			/* It comes back, and sends all that fits. */
			intake_budget_enter(&s.budget, victim, INTAKE_READING,
					    now);
			victim->expected = 1 * MB;
			intake_budget_hold(&s.budget, victim, 490 * KB, now);
		}
		intake_budget_hold(&s.budget, &s.ordinary, bytes + 16 * KB,
				   now);
		/* The others ask as well, in vain as they are large. */
		ck_assert_ptr_ne(intake_budget_victim(&s.budget, &s.crowd[9],
						      600 * KB, now),
				 &s.ordinary);
	}
}
END_TEST

/* Piece by piece, but too slowly: it is not held to be on time. */
START_TEST(a_body_that_comes_slowly_is_given_up)
{
	scene_t s;

	begin(&s, 512 * KB);
	intake_budget_hold(&s.budget, &s.crowd[3], 513 * KB, 3 * S);
	for (int i = 0; i < CROWD; i++)
		if (i != 3)
			intake_budget_enter(&s.budget, &s.crowd[i],
					    INTAKE_SERVED, 3 * S);
	add_ordinary(&s, 3 * S);
	ck_assert_ptr_eq(
		intake_budget_victim(&s.budget, &s.ordinary, 9 * MB, 3 * S),
		&s.crowd[3]);
}
END_TEST

START_TEST(a_single_body_fits_whatever_the_limit)
{
	scene_t s;

	memset(&s, 0, sizeof(s));
	intake_budget_init(&s.budget, &limits);
	add_ordinary(&s, 0);
	ck_assert(intake_budget_fits(&s.budget, &s.ordinary, 100 * MB));
	intake_budget_hold(&s.budget, &s.ordinary, 100 * MB, 0);
	ck_assert(intake_budget_fits(&s.budget, &s.ordinary, 1 * MB));
	/* Any other is refused, or takes its place. */
	intake_budget_add(&s.budget, &s.crowd[0], NULL, 0);
	ck_assert(!intake_budget_fits(&s.budget, &s.crowd[0], 1));
	ck_assert_ptr_eq(intake_budget_victim(&s.budget, &s.crowd[0], 1, S),
			 &s.ordinary);
}
END_TEST

START_TEST(what_ends_is_not_held)
{
	scene_t s;

	begin(&s, 100 * KB);
	ck_assert_uint_eq(s.budget.held, 100UL * KB * CROWD);
	intake_budget_hold(&s.budget, &s.crowd[0], 10 * KB, S);
	intake_budget_enter(&s.budget, &s.crowd[1], INTAKE_SERVED, S);
	intake_budget_remove(&s.budget, &s.crowd[2]);
	ck_assert_uint_eq(s.budget.held, 100UL * KB * (CROWD - 3) + 10UL * KB);
	ck_assert_uint_eq(s.budget.connections, CROWD - 1);
	for (int i = 0; i < CROWD; i++)
		if (i != 2)
			intake_budget_remove(&s.budget, &s.crowd[i]);
	ck_assert_uint_eq(s.budget.held, 0);
	ck_assert_uint_eq(s.budget.connections, 0);
}
END_TEST

START_TEST(connections_are_given_up_in_order_of_use)
{
	static const intake_state_t order[] = { INTAKE_CLOSING, INTAKE_NEW,
						INTAKE_KEPT, INTAKE_READING };
	intake_t conns[G_N_ELEMENTS(order) + 1];
	intake_budget_t b;
	size_t n = G_N_ELEMENTS(conns);

	intake_budget_init(&b, &limits);
	for (size_t i = 0; i < n; i++)
		intake_budget_add(&b, &conns[i], NULL, 0);
	intake_budget_enter(&b, &conns[4], INTAKE_SERVED, 0);
	for (size_t i = 0; i < G_N_ELEMENTS(order); i++)
		intake_budget_enter(&b, &conns[i], order[i], S);
	for (size_t i = 0; i < G_N_ELEMENTS(order); i++) {
		ck_assert_ptr_eq(intake_budget_spare(&b, 2 * S), &conns[i]);
		intake_budget_remove(&b, &conns[i]);
	}
	ck_assert_ptr_null(intake_budget_spare(&b, 2 * S));
}
END_TEST

/* An answer that its caller reads slowly is not cut off for a newcomer. */
START_TEST(answers_that_are_being_written_are_not_given_up)
{
	intake_t writing, silent;
	intake_budget_t b;

	intake_budget_init(&b, &limits);
	intake_budget_add(&b, &writing, NULL, 0);
	intake_budget_enter(&b, &writing, INTAKE_WRITING, 0);
	ck_assert_ptr_null(intake_budget_spare(&b, 9 * S));
	intake_budget_add(&b, &silent, NULL, 9 * S);
	ck_assert_ptr_eq(intake_budget_spare(&b, 9 * S), &silent);
	intake_budget_enter(&b, &writing, INTAKE_CLOSING, 9 * S);
	ck_assert_ptr_eq(intake_budget_spare(&b, 9 * S), &writing);
}
END_TEST

/* Heads that stop short come back at once: the newcomer is not read yet. */
START_TEST(a_connection_that_has_just_come_outlives_heads_without_an_end)
{
	scene_t s;

	begin(&s, 12 * KB);
	intake_budget_add(&s.budget, &s.ordinary, NULL, S);
	ck_assert_ptr_eq(intake_budget_spare(&s.budget, S + 1000), &s.crowd[0]);
	ck_assert_ptr_eq(intake_budget_spare(&s.budget, 2 * S), &s.ordinary);
}
END_TEST

/* A head that stops short is closed before a connection in recent use. */
START_TEST(a_kept_connection_outlives_an_older_request_without_an_end)
{
	scene_t s;

	begin(&s, 12 * KB);
	intake_budget_add(&s.budget, &s.ordinary, NULL, 0);
	intake_budget_enter(&s.budget, &s.ordinary, INTAKE_KEPT, 3 * S);
	ck_assert_ptr_eq(intake_budget_spare(&s.budget, 5 * S), &s.crowd[0]);
	for (int i = 0; i < CROWD; i++)
		intake_budget_enter(&s.budget, &s.crowd[i], INTAKE_READING,
				    4 * S);
	ck_assert_ptr_eq(intake_budget_spare(&s.budget, 5 * S), &s.ordinary);
}
END_TEST

START_TEST(silent_connections_leave_room_for_another)
{
	intake_t conns[CROWD + 2];
	intake_budget_t b;

	intake_budget_init(&b, &limits);
	for (int i = 0; i < CROWD; i++) {
		ck_assert(!intake_budget_is_crowded(&b, 0));
		intake_budget_add(&b, &conns[i], NULL, i);
	}
	/* Connections to runners count as well. */
	ck_assert(!intake_budget_is_crowded(&b, 1));
	ck_assert(intake_budget_is_crowded(&b, 2));
	ck_assert_ptr_eq(intake_budget_spare(&b, S), &conns[0]);
}
END_TEST

START_TEST(a_trickle_does_not_last_forever)
{
	scene_t s;

	memset(&s, 0, sizeof(s));
	intake_budget_init(&s.budget, &limits);
	add_ordinary(&s, 5 * S);
	ck_assert_int_eq(intake_budget_due(&s.budget, &s.ordinary, 0), 15 * S);
	/* A byte a second gains a millisecond each. */
	ck_assert_int_lt(intake_budget_due(&s.budget, &s.ordinary, 60), 16 * S);
	/* The time follows the size. */
	ck_assert_int_eq(intake_budget_due(&s.budget, &s.ordinary, 100 * KB),
			 115 * S);
	s.budget.limits.rate = 0;
	ck_assert_int_eq(intake_budget_due(&s.budget, &s.ordinary, 0),
			 INT64_MAX);
}
END_TEST

SUITE_MAIN("intake_budget",
	   bodies_that_stop_short_make_room_for_an_ordinary_one,
	   the_largest_of_the_same_age_is_given_up_first,
	   who_holds_most_for_longest_is_refused_itself,
	   bodies_that_come_in_good_time_are_given_up_for_small_ones_only,
	   small_bodies_are_not_given_up_for_equals,
	   a_small_body_is_completed_beside_a_crowd_that_comes_back,
	   a_body_that_comes_slowly_is_given_up,
	   a_single_body_fits_whatever_the_limit, what_ends_is_not_held,
	   connections_are_given_up_in_order_of_use,
	   a_kept_connection_outlives_an_older_request_without_an_end,
	   answers_that_are_being_written_are_not_given_up,
	   a_connection_that_has_just_come_outlives_heads_without_an_end,
	   silent_connections_leave_room_for_another,
	   a_trickle_does_not_last_forever)
