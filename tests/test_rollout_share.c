/*
 * What a target release gets stays within its share of the service's requests,
 * while conductors and daemons are killed and cut off, messages are lost and
 * late, and two daemons conduct at once.
 */
#include <string.h>

#include "core/rollout_share.h"
#include "tests/lib_suite.h"

enum {
	SEEDS = 100,
	DAEMONS = 12,
	CONDUCTORS = 3, /* which of them is used changes */
	TICKS = 3000,
	TICK_US = 10 * 1000,
	REPORT_TICKS = ROLLOUT_REPORT_MS * 1000 / TICK_US,
	CONDUCT_TICKS = 700,
	MAX_LEARN_TICKS = 100,
	MESSAGES = 64,
	MIN_JUDGED = 10, /* requests, or a release can't be judged */
};

static const double share = 0.1;
static const double slack = 50;

typedef struct daemon_model {
	char name[8];
	rollout_counts_t counts;
	rollout_lease_t lease;
	int cut_until; /* tick */
} daemon_model_t;

typedef struct conductor_model {
	rollout_budget_t budget;
	uint64_t term; /* its own, as confirmed; 0: it may lease nothing */
	int silent_until; /* tick; can't reach the store */
} conductor_model_t;

/* What a conductor answered, on its way to a daemon. */
typedef struct answer {
	int daemon; /* -1: none */
	uint64_t process; /* that the answer is for */
	uint64_t granter, granted;
	int64_t sent_at; /* of the report */
	int due; /* tick */
} answer_t;

typedef struct world {
	GRand *rand;
	daemon_model_t daemons[DAEMONS];
	conductor_model_t conductors[CONDUCTORS];
	answer_t answers[MESSAGES];
	/* The store's record. */
	uint64_t term, reserved, counted;
	uint64_t next_process;
	uint64_t requests, to_target;
	int tick;
} world_t;

static bool chance(world_t *w, double p)
{
	return g_rand_double(w->rand) < p;
}

static void start_daemon(world_t *w, int i)
{
	daemon_model_t *d = &w->daemons[i];

	*d = (daemon_model_t){ .counts.process = ++w->next_process };
	g_snprintf(d->name, sizeof(d->name), "d%d", i);
}

static void start_conductor(world_t *w, int i)
{
	conductor_model_t *c = &w->conductors[i];

	rollout_budget_finish(&c->budget);
	*c = (conductor_model_t){ .term = 0 };
	rollout_budget_init(&c->budget, ++w->next_process, share, slack);
}

/* Takes the record over, or enlarges the reservation, under a condition. */
static void write_record(world_t *w, conductor_model_t *c)
{
	uint64_t wanted;

	if (w->tick < c->silent_until)
		return;
	if (c->term != w->term || !c->term) {
		c->term = ++w->term;
		rollout_budget_begin(&c->budget, w->reserved, w->counted);
	}
	wanted = rollout_budget_wanted(&c->budget, 1);
	ck_assert_uint_ge(wanted, w->reserved);
	w->reserved = wanted;
	w->counted = c->budget.counted;
	/* The answer may be lost: the reservation is used up nevertheless. */
	if (chance(w, 0.9))
		rollout_budget_set_reserved(&c->budget, wanted);
	else
		c->term = 0;
}

static void send_answer(world_t *w, int i, const conductor_model_t *c,
			uint64_t granted)
{
	for (int k = 0; k < MESSAGES; k++) {
		if (w->answers[k].daemon >= 0)
			continue;
		w->answers[k] = (answer_t){
			.daemon = i,
			.process = w->daemons[i].counts.process,
			.granter = c->budget.granter,
			.granted = granted,
			.sent_at = (int64_t)w->tick * TICK_US,
			.due = w->tick + g_rand_int_range(w->rand, 0, 40),
		};
		return;
	}
}

/* Daemons learn at different times that another one conducts. */
static conductor_model_t *find_conductor(world_t *w, int i)
{
	int known = MAX(w->tick - i * MAX_LEARN_TICKS / DAEMONS, 0);

	return &w->conductors[known / CONDUCT_TICKS % CONDUCTORS];
}

static void report(world_t *w, int i)
{
	daemon_model_t *d = &w->daemons[i];
	conductor_model_t *c = find_conductor(w, i);

	rollout_lease_tick(&d->lease, (int64_t)w->tick * TICK_US);
	d->counts.granter = d->lease.granter;
	d->counts.used = d->lease.used;
	d->counts.returned = d->lease.returned;
	if (w->tick < d->cut_until || chance(w, 0.1))
		return;
	rollout_budget_report(&c->budget, d->name, &d->counts);
	write_record(w, c);
	if (c->term && chance(w, 0.9))
		send_answer(w, i, c,
			    rollout_budget_lease(&c->budget, d->name,
						 chance(w, 0.1) ? 1 : 0.2, 1));
}

static void deliver(world_t *w)
{
	for (int k = 0; k < MESSAGES; k++) {
		answer_t *a = &w->answers[k];

		if (a->daemon < 0 || w->tick < a->due)
			continue;
		if (w->daemons[a->daemon].counts.process == a->process)
			rollout_lease_set(&w->daemons[a->daemon].lease,
					  a->granter, a->granted, a->sent_at,
					  (int64_t)w->tick * TICK_US);
		a->daemon = -1;
	}
}

/* Kills and cuts something now and then. */
static void disturb(world_t *w)
{
	int i = g_rand_int_range(w->rand, 0, DAEMONS);
	int c = g_rand_int_range(w->rand, 0, CONDUCTORS);

	if (chance(w, 0.003))
		start_daemon(w, i);
	if (chance(w, 0.003))
		w->daemons[i].cut_until = w->tick + 300;
	if (chance(w, 0.003))
		start_conductor(w, c);
	if (chance(w, 0.003))
		w->conductors[c].silent_until = w->tick + 200;
}

static void send_requests(world_t *w)
{
	for (int i = 0; i < DAEMONS; i++) {
		daemon_model_t *d = &w->daemons[i];

		if (!chance(w, 0.05 * (1 + i % 4)))
			continue;
		d->counts.requests++;
		w->requests++;
		w->to_target += rollout_lease_take(&d->lease,
						   (int64_t)w->tick * TICK_US);
		ck_assert_uint_le(w->to_target, w->reserved);
		ck_assert_double_le((double)w->to_target,
				    share * (double)w->requests + slack);
	}
}

static void init_world(world_t *w, guint32 seed)
{
	*w = (world_t){ .rand = g_rand_new_with_seed(seed) };
	for (int i = 0; i < DAEMONS; i++)
		start_daemon(w, i);
	for (int i = 0; i < CONDUCTORS; i++)
		start_conductor(w, i);
	for (int k = 0; k < MESSAGES; k++)
		w->answers[k].daemon = -1;
}

static void finish_world(world_t *w)
{
	for (int i = 0; i < CONDUCTORS; i++)
		rollout_budget_finish(&w->conductors[i].budget);
	g_rand_free(w->rand);
}

static void run_world(world_t *w, bool is_disturbed)
{
	for (w->tick = 0; w->tick < TICKS; w->tick++) {
		if (is_disturbed)
			disturb(w);
		deliver(w);
		send_requests(w);
		for (int i = 0; i < DAEMONS; i++)
			if (w->tick % REPORT_TICKS == i)
				report(w, i);
	}
}

START_TEST(the_bound_holds_whatever_is_killed_or_cut_off)
{
	world_t w;

	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		init_world(&w, seed);
		run_world(&w, true);
		ck_assert_uint_ge(w.to_target, MIN_JUDGED);
		finish_world(&w);
	}
}
END_TEST

/* Otherwise a release could not be judged. */
START_TEST(half_of_the_share_is_used_in_calm)
{
	rollout_budget_t b;
	rollout_lease_t lease = { .granter = 0 };
	rollout_counts_t counts = { .process = 7 };
	int64_t now = 0;

	rollout_budget_init(&b, 1, share, slack);
	rollout_budget_begin(&b, 0, 0);
	for (int i = 0; i < 10000; i++, now += TICK_US) {
		counts.requests++;
		rollout_lease_take(&lease, now);
		if (i % REPORT_TICKS)
			continue;
		counts.granter = lease.granter;
		counts.used = lease.used;
		counts.returned = lease.returned;
		rollout_budget_report(&b, "d", &counts);
		rollout_budget_set_reserved(&b, rollout_budget_wanted(&b, 1));
		rollout_lease_set(&lease, 1,
				  rollout_budget_lease(&b, "d", 0.2, 1), now,
				  now);
	}
	ck_assert_uint_ge(lease.used, 10000 * share / 2);
	ck_assert_uint_le(lease.used, 10000 * share + slack);
	rollout_budget_finish(&b);
}
END_TEST

START_TEST(a_lease_ends_when_the_conductor_is_silent)
{
	rollout_lease_t l = { .granter = 0 };

	ck_assert(!rollout_lease_take(&l, 1));
	rollout_lease_set(&l, 5, 3, 1000, 2000);
	ck_assert(rollout_lease_take(&l, 2000));
	ck_assert(!rollout_lease_take(&l, 1000 + ROLLOUT_LEASE_US));
	rollout_lease_tick(&l, 1000 + ROLLOUT_LEASE_US);
	ck_assert_uint_eq(l.returned, 2);
	/* What was given back stays so. */
	rollout_lease_set(&l, 5, 3, 2000000, 2000000);
	ck_assert(!rollout_lease_take(&l, 2000001));
	rollout_lease_set(&l, 5, 4, 2000000, 2000000);
	ck_assert(rollout_lease_take(&l, 2000001));
	ck_assert(!rollout_lease_take(&l, 2000002));
}
END_TEST

/* The answer reached a process that stood still for longer than the lease. */
START_TEST(a_late_answer_leases_nothing)
{
	rollout_lease_t l = { .granter = 0 };

	rollout_lease_set(&l, 5, 3, 0, INT64_C(2) * ROLLOUT_LEASE_US);
	ck_assert(!rollout_lease_take(&l, INT64_C(2) * ROLLOUT_LEASE_US));
	ck_assert_uint_eq(l.returned, 3);
}
END_TEST

/* Another process conducted in between, and the daemon had its leases. */
START_TEST(who_conducts_again_leases_anew)
{
	rollout_counts_t counts = { .process = 7, .requests = 1 };
	rollout_lease_t lease = { .granter = 0 };
	rollout_budget_t b;
	int sent = 0;

	rollout_budget_init(&b, 2, share, slack);
	rollout_budget_begin(&b, 0, 0);
	rollout_budget_set_reserved(&b, 30);
	rollout_budget_report(&b, "d", &counts);
	counts.requests = 1001;
	rollout_budget_report(&b, "d", &counts);
	rollout_lease_set(&lease, b.granter,
			  rollout_budget_lease(&b, "d", 1, 1), 1, 1);
	while (rollout_lease_take(&lease, 2))
		sent++;
	ck_assert_int_eq(sent, 30);
	rollout_lease_set(&lease, 99, 0, 3, 3);
	rollout_budget_begin(&b, 30, 1000);
	rollout_lease_set(&lease, b.granter,
			  rollout_budget_lease(&b, "d", 1, 1), 4, 4);
	ck_assert(!rollout_lease_take(&lease, 5));
	rollout_budget_finish(&b);
}
END_TEST

START_TEST(the_next_conductor_has_only_what_it_reserves)
{
	rollout_counts_t counts = { .process = 7, .requests = 1 };
	rollout_budget_t b;

	rollout_budget_init(&b, 2, share, slack);
	rollout_budget_begin(&b, 20, 0);
	rollout_budget_report(&b, "d", &counts);
	counts.requests = 1001;
	rollout_budget_report(&b, "d", &counts);
	ck_assert_uint_eq(rollout_budget_lease(&b, "d", 1, 1), 0);
	ck_assert_uint_gt(rollout_budget_wanted(&b, 1), 20);
	rollout_budget_set_reserved(&b, 25);
	counts.requests = 2001;
	rollout_budget_report(&b, "d", &counts);
	ck_assert_uint_eq(rollout_budget_lease(&b, "d", 1, 1), 5);
	rollout_budget_finish(&b);
}
END_TEST

SUITE_MAIN("rollout_share", the_bound_holds_whatever_is_killed_or_cut_off,
	   half_of_the_share_is_used_in_calm,
	   a_lease_ends_when_the_conductor_is_silent,
	   a_late_answer_leases_nothing, who_conducts_again_leases_anew,
	   the_next_conductor_has_only_what_it_reserves)
