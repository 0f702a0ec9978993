/*
 * A team's limit in a fleet whose counter moves while daemons are cut off, killed
 * and frozen: random schedules, and the limit as the operators state it, summed
 * over all daemons that ever lived.
 */
#include <string.h>

#include "core/limit.h"
#include "core/limit_lease.h"
#include "tests/lib_suite.h"

enum {
	MS = 1000,
	SECOND = 1000 * MS,
	MAX_DAEMONS = 16,
	ZONES = 3,
	ASK_TIMEOUT_US = 150 * MS,
	STEP_US = 10 * MS,
	END_US = 60 * SECOND,
	STEPS = END_US / STEP_US,
	WINDOW_STEPS = 8 * SECOND / STEP_US,
	WARM_UP_US = 10 * SECOND,
	SEEDS = 60,
	PERCENT = 100,
	QUIET_PERCENT = 20,
};

static const limit_quota_t whole = { .rate = 150000, .burst = 150000 };
static const limit_tolerance_t tolerance = { .overrun = 0.1,
					     .slack = 140000,
					     .window_s = 8 };

typedef struct fleet fleet_t;

typedef struct node {
	fleet_t *fleet;
	int index;
	char name[8];
	uint64_t process;
	bool is_up;
	int64_t frozen_until;
	limit_lease_t lease;
	limit_t counted, own, spare;
	int host; /* in its view; -1: none */
} node_t;

typedef struct event {
	int64_t at;
	uint64_t order;
	void (*run)(fleet_t *f, const struct event *e);
	node_t *from, *to;
	uint64_t process; /* of TO when it was sent; messages die with it */
	uint32_t roles;
	limit_stamp_t stamp;
	uint32_t cost;
} event_t;

struct fleet {
	GRand *rand;
	GSequence *events;
	uint64_t order, processes;
	int64_t now;
	node_t nodes[MAX_DAEMONS];
	int n_nodes;
	int side[MAX_DAEMONS]; /* daemons of one side reach each other */
	double admitted[STEPS];
	double asked, refused; /* units of all requests after the warm-up */
	int demand_percent; /* of the rate */
	bool alternates; /* it asks little for some seconds, then so much */
	bool is_quiet;
	int64_t turns_at;
	bool has_trouble;
};

static gint by_time(gconstpointer a, gconstpointer b, gpointer data)
{
	const event_t *x = a, *y = b;

	if (x->at != y->at)
		return x->at < y->at ? -1 : 1;
	return x->order < y->order ? -1 : x->order > y->order;
}

static void schedule(fleet_t *f, const event_t *e)
{
	event_t *copy = g_memdup2(e, sizeof(*e));

	copy->order = f->order++;
	g_sequence_insert_sorted(f->events, copy, by_time, NULL);
}

static bool reaches(const fleet_t *f, const node_t *a, const node_t *b)
{
	return a->is_up && b->is_up && f->side[a->index] == f->side[b->index];
}

/* Sends a message; some are much later than others. */
static void send_message(fleet_t *f, event_t *e)
{
	int64_t delay = g_rand_int_range(f->rand, 1 * MS, 20 * MS);

	if (!reaches(f, e->from, e->to))
		return;
	if (f->has_trouble && g_rand_int_range(f->rand, 0, PERCENT) < 5)
		delay += g_rand_int_range(f->rand, 0, 2 * SECOND);
	e->at = MAX(f->now + delay, e->to->frozen_until);
	e->process = e->to->process;
	schedule(f, e);
}

static bool is_lost(const event_t *e)
{
	return !e->to->is_up || e->to->process != e->process;
}

static bool is_frozen(const fleet_t *f, const node_t *n)
{
	return n->frozen_until > f->now;
}

static void deliver_stamp(fleet_t *f, const event_t *e)
{
	if (!is_lost(e))
		limit_lease_on_stamp(&e->to->lease, e->from->name, &e->stamp,
				     f->now);
}

static void deliver_lend(fleet_t *f, const event_t *e)
{
	event_t answer = { .run = deliver_stamp, .from = e->to, .to = e->from };

	if (is_lost(e))
		return;
	limit_lease_on_lend(&e->to->lease, e->from->name, e->roles, &e->stamp,
			    f->now);
	answer.stamp = limit_lease_stamp(&e->to->lease, f->now);
	send_message(f, &answer);
}

static void lend(void *ctx, const char *peer, uint32_t roles,
		 const limit_stamp_t *stamp)
{
	node_t *n = ctx;
	event_t e = { .run = deliver_lend,
		      .from = n,
		      .to = &n->fleet->nodes[atoi(peer + 1)],
		      .roles = roles,
		      .stamp = *stamp };

	send_message(n->fleet, &e);
}

static void update_fractions(fleet_t *f, node_t *n)
{
	double held = limit_lease_held(&n->lease, 0, f->now);
	bool is_own = limit_lease_use(&n->lease, 0) == LIMIT_SHARE_OWN;

	limit_set_fraction(&n->counted, MIN(held / f->n_nodes, 1), f->now);
	limit_set_fraction(&n->own, is_own ? 1.0 / f->n_nodes : 0, f->now);
}

static void start_limit(limit_t *l, limit_quota_t quota, double fraction,
			int64_t now)
{
	limit_init(l, 4, now);
	l->starts_empty = true;
	limit_set_fraction(l, fraction, now);
	limit_set(l, STR_LIT("t"), quota.rate, quota.burst, 0);
}

static void start_node(fleet_t *f, node_t *n)
{
	n->process = ++f->processes;
	n->is_up = true;
	n->frozen_until = 0;
	limit_lease_init(&n->lease, n->name, n->process, f->now);
	limit_lease_set_daemons(&n->lease, f->n_nodes);
	start_limit(&n->counted, limit_add_tolerance(whole, &tolerance), 0,
		    f->now);
	start_limit(&n->own, limit_add_tolerance(whole, &tolerance), 0, f->now);
	start_limit(&n->spare, limit_spare(whole, &tolerance, f->n_nodes), 1,
		    f->now);
	n->host = -1;
}

static void stop_node(node_t *n)
{
	n->is_up = false;
	limit_lease_finish(&n->lease);
	limit_finish(&n->counted);
	limit_finish(&n->own);
	limit_finish(&n->spare);
}

static void revive(fleet_t *f, const event_t *e)
{
	if (!e->to->is_up)
		start_node(f, e->to);
}

/* The first daemon that it takes for reachable; the view is late. */
static void look_for_host(fleet_t *f, const event_t *e)
{
	node_t *n = e->to;
	event_t again = *e;

	if (n->is_up) {
		n->host = -1;
		for (int i = f->n_nodes - 1; i >= 0; i--)
			if (&f->nodes[i] == n || reaches(f, n, &f->nodes[i]))
				n->host = i;
		limit_lease_set_host(&n->lease, 0, f->nodes[n->host].name);
	}
	again.at = f->now + g_rand_int_range(f->rand, 100 * MS, 3 * SECOND);
	schedule(f, &again);
}

static void tick_node(fleet_t *f, const event_t *e)
{
	event_t again = *e;

	if (e->to->is_up && !is_frozen(f, e->to)) {
		limit_lease_tick(&e->to->lease, lend, e->to, f->now);
		update_fractions(f, e->to);
	}
	again.at = f->now + LIMIT_LEASE_TICK_US;
	schedule(f, &again);
}

static bool take(fleet_t *f, limit_t *l, uint32_t cost)
{
	limit_cost_t usage = { .cost = cost };
	uint32_t retry_ms;

	if (!limit_take_cost(l, STR_LIT("t"), &usage, f->now, &retry_ms))
		return false;
	limit_release(l, STR_LIT("t"));
	f->admitted[f->now / STEP_US] += cost;
	return true;
}

static void settle(fleet_t *f, uint32_t cost, bool is_admitted)
{
	if (f->now < WARM_UP_US)
		return;
	f->asked += cost;
	f->refused += is_admitted ? 0 : cost;
}

/* No counter answers for the request, or it has only just begun to count. */
static void ask_self(fleet_t *f, const event_t *e)
{
	if (is_lost(e))
		return;
	update_fractions(f, e->to);
	settle(f, e->cost,
	       take(f, &e->to->own, e->cost) ||
		       take(f, &e->to->spare, e->cost));
}

static void ask(fleet_t *f, node_t *n, uint32_t cost)
{
	event_t later = { .at = f->now + ASK_TIMEOUT_US,
			  .run = ask_self,
			  .to = n,
			  .process = n->process,
			  .cost = cost };
	node_t *host = n->host < 0 ? NULL : &f->nodes[n->host];

	if (!host || !reaches(f, n, host) || is_frozen(f, host)) {
		schedule(f, &later);
		return;
	}
	update_fractions(f, host);
	if (take(f, &host->counted, cost)) {
		settle(f, cost, true);
		return;
	}
	later.at = f->now;
	ask_self(f, &later);
}

static void send_requests(fleet_t *f, const event_t *e)
{
	event_t again = *e;
	int percent = f->is_quiet ? QUIET_PERCENT : f->demand_percent;
	double budget = whole.rate * STEP_US / SECOND * percent / PERCENT;

	if (f->alternates && f->now >= f->turns_at) {
		f->is_quiet = !f->is_quiet;
		f->turns_at = f->now +
			      g_rand_int_range(f->rand, 2 * SECOND, 8 * SECOND);
	}

	while (budget > 0) {
		node_t *n = &f->nodes[g_rand_int_range(f->rand, 0, f->n_nodes)];
		uint32_t cost = (uint32_t)g_rand_int_range(f->rand, 200, 4000);

		if (g_rand_double(f->rand) * cost < budget && n->is_up &&
		    !is_frozen(f, n))
			ask(f, n, cost);
		budget -= cost;
	}
	again.at = f->now + STEP_US;
	schedule(f, &again);
}

static void heal(fleet_t *f, const event_t *e)
{
	memset(f->side, 0, sizeof(f->side));
}

/* Cuts off a zone, or single daemons from all others. */
static void cut(fleet_t *f, const event_t *e)
{
	bool is_zone = g_rand_boolean(f->rand);
	int zone = g_rand_int_range(f->rand, 0, ZONES);
	event_t end = { .run = heal };

	for (int i = 0; i < f->n_nodes; i++) {
		bool is_alone = g_rand_int_range(f->rand, 0, PERCENT) < 40;

		f->side[i] = is_zone ? i % ZONES == zone : is_alone * (i + 1);
	}
	end.at = f->now + g_rand_int_range(f->rand, SECOND, 9 * SECOND);
	schedule(f, &end);
}

static void kill_some(fleet_t *f, const event_t *e)
{
	int share = g_rand_int_range(f->rand, 10, PERCENT + 1);

	for (int i = 0; i < f->n_nodes; i++) {
		event_t start = { .run = revive, .to = &f->nodes[i] };

		if (!f->nodes[i].is_up ||
		    g_rand_int_range(f->rand, 0, PERCENT) >= share)
			continue;
		stop_node(&f->nodes[i]);
		start.at = f->now + g_rand_int_range(f->rand, 300 * MS, SECOND);
		schedule(f, &start);
	}
}

static void freeze_some(fleet_t *f, const event_t *e)
{
	for (int i = 0; i < f->n_nodes; i++)
		if (g_rand_int_range(f->rand, 0, PERCENT) < 30)
			f->nodes[i].frozen_until =
				f->now +
				g_rand_int_range(f->rand, 500 * MS, 5 * SECOND);
}

static void schedule_trouble(fleet_t *f)
{
	static void (*const troubles[])(fleet_t * f,
					const event_t *e) = { cut, kill_some,
							      freeze_some };

	for (int64_t at = WARM_UP_US; at < END_US;
	     at += g_rand_int_range(f->rand, 300 * MS, 6 * SECOND))
		schedule(
			f,
			&(event_t){
				.at = at,
				.run = troubles[g_rand_int_range(
					f->rand, 0, G_N_ELEMENTS(troubles))] });
}

static void check_windows(const fleet_t *f, uint32_t seed)
{
	double allowed = (whole.rate * tolerance.window_s + whole.burst) *
				 (1 + tolerance.overrun) +
			 tolerance.slack;

	for (int from = 0; from + WINDOW_STEPS <= STEPS; from++) {
		double sum = 0;

		for (int i = from; i < from + WINDOW_STEPS; i++)
			sum += f->admitted[i];
		ck_assert_msg(sum <= allowed,
			      "seed %u, from %.2f s: %.0f units, %.0f allowed",
			      seed, (double)from * STEP_US / SECOND, sum,
			      allowed);
	}
}

/* Returns which part of what was asked after the warm-up was refused. */
static double play(uint32_t seed, int demand_percent, bool has_trouble)
{
	g_autofree fleet_t *f = g_new0(fleet_t, 1);

	f->rand = g_rand_new_with_seed(seed);
	f->events = g_sequence_new(g_free);
	f->now = SECOND;
	f->demand_percent = demand_percent;
	f->has_trouble = has_trouble;
	f->alternates = demand_percent > PERCENT;
	f->n_nodes = g_rand_int_range(f->rand, 3, MAX_DAEMONS + 1);
	for (int i = 0; i < f->n_nodes; i++) {
		node_t *n = &f->nodes[i];
		event_t e = { .at = f->now + i, .to = n };

		*n = (node_t){ .fleet = f, .index = i };
		g_snprintf(n->name, sizeof(n->name), "d%d", i);
		start_node(f, n);
		e.run = look_for_host;
		schedule(f, &e);
		e.run = tick_node;
		schedule(f, &e);
	}
	schedule(f, &(event_t){ .at = f->now, .run = send_requests });
	if (has_trouble)
		schedule_trouble(f);
	while (f->now < END_US) {
		GSequenceIter *first = g_sequence_get_begin_iter(f->events);
		event_t e = *(event_t *)g_sequence_get(first);

		g_sequence_remove(first);
		f->now = e.at;
		if (f->now < END_US)
			e.run(f, &e);
	}
	check_windows(f, seed);
	for (int i = 0; i < f->n_nodes; i++)
		if (f->nodes[i].is_up)
			stop_node(&f->nodes[i]);
	g_sequence_free(f->events);
	g_rand_free(f->rand);
	return f->refused / f->asked;
}

/* Guards against several counters that admit a whole limit each. */
START_TEST(a_hot_team_keeps_to_its_limit_through_any_trouble)
{
	for (uint32_t seed = 1; seed <= SEEDS; seed++)
		play(seed, 600, true);
}
END_TEST

START_TEST(a_team_below_its_limit_is_not_refused_in_calm)
{
	for (uint32_t seed = 1; seed <= SEEDS / 4; seed++)
		ck_assert_double_le(play(seed, 70, false), 0.001);
}
END_TEST

/*
 * Guards against a limit that nobody may use: a trouble, one in 3 s on average,
 * takes no share away for longer than a lease of 1.2 s.
 */
START_TEST(a_team_below_its_limit_is_mostly_served_in_trouble)
{
	double sum = 0;

	for (uint32_t seed = 1; seed <= SEEDS; seed++)
		sum += play(seed, 70, true);
	ck_assert_double_le(sum / SEEDS, 1.2 / 3);
}
END_TEST

static void lend_nothing(void *ctx, const char *peer, uint32_t roles,
			 const limit_stamp_t *stamp)
{
	ck_assert_uint_eq(roles, 0);
}

/* Guards against a process of a large fleet that lends what is lent already. */
START_TEST(a_process_that_knows_no_daemons_lends_and_uses_nothing)
{
	limit_lease_t l;
	limit_stamp_t stamp = { 7, 0, SECOND };

	limit_lease_init(&l, "d0", 1, 0);
	limit_lease_set_host(&l, 0, "d1");
	for (int64_t now = 0; now < WARM_UP_US; now += LIMIT_LEASE_TICK_US) {
		limit_lease_on_stamp(&l, "d1", &stamp, now);
		limit_lease_tick(&l, lend_nothing, NULL, now);
		ck_assert_int_eq(limit_lease_use(&l, 0), LIMIT_SHARE_WAITING);
	}
	limit_lease_set_daemons(&l, 300);
	limit_lease_set_host(&l, 0, "");
	limit_lease_tick(&l, lend_nothing, NULL, END_US);
	ck_assert_int_eq(limit_lease_use(&l, 0), LIMIT_SHARE_OWN);
	limit_lease_finish(&l);
}
END_TEST

/* A lender and its counter, with the time that a message takes. */
typedef struct lease_pair {
	limit_lease_t lender, counter;
	GArray *messages; /* lease_message_t */
	int64_t now;
	int64_t late; /* by which the next message of the lender is late */
	int64_t lend_at; /* arrival of its last one; none overtakes another */
	int frames; /* to the counter */
} lease_pair_t;

typedef struct lease_message {
	int64_t at;
	bool is_stamp; /* to the lender */
	uint32_t roles;
	limit_stamp_t stamp;
} lease_message_t;

enum { TRANSIT_US = 2 * MS };

static void send_lend(void *ctx, const char *peer, uint32_t roles,
		      const limit_stamp_t *stamp)
{
	lease_pair_t *p = ctx;
	lease_message_t m = { .roles = roles, .stamp = *stamp };

	p->lend_at = MAX(p->lend_at, p->now + TRANSIT_US + p->late);
	m.at = p->lend_at;
	p->late = 0;
	p->frames++;
	g_array_append_val(p->messages, m);
}

static void receive(lease_pair_t *p, const lease_message_t *m)
{
	lease_message_t answer = { .at = p->now + TRANSIT_US,
				   .is_stamp = true };

	if (m->is_stamp) {
		limit_lease_on_stamp(&p->lender, "d1", &m->stamp, p->now);
		return;
	}
	limit_lease_on_lend(&p->counter, "d0", m->roles, &m->stamp, p->now);
	answer.stamp = limit_lease_stamp(&p->counter, p->now);
	g_array_append_val(p->messages, answer);
}

static void receive_due(lease_pair_t *p)
{
	for (guint i = 0; i < p->messages->len; i++) {
		lease_message_t m =
			g_array_index(p->messages, lease_message_t, i);

		if (m.at > p->now)
			continue;
		g_array_remove_index_fast(p->messages, i--);
		receive(p, &m);
	}
}

static void lease_pair_init(lease_pair_t *p, uint32_t daemons)
{
	*p = (lease_pair_t){ .now = 0 };
	p->messages = g_array_new(FALSE, FALSE, sizeof(lease_message_t));
	limit_lease_init(&p->lender, "d0", 1, 0);
	limit_lease_init(&p->counter, "d1", 2, 0);
	limit_lease_set_daemons(&p->lender, daemons);
	limit_lease_set_daemons(&p->counter, daemons);
	limit_lease_set_host(&p->lender, 0, "d1");
	limit_lease_set_host(&p->counter, 0, "d1");
}

static void lease_pair_finish(lease_pair_t *p)
{
	limit_lease_finish(&p->lender);
	limit_lease_finish(&p->counter);
	g_array_unref(p->messages);
}

/* Lets a millisecond pass; returns the shares that the counter has then. */
static uint32_t lease_pair_step(lease_pair_t *p)
{
	p->now += MS;
	receive_due(p);
	if (p->now % LIMIT_LEASE_TICK_US == 0) {
		limit_lease_tick(&p->lender, send_lend, p, p->now);
		limit_lease_tick(&p->counter, lend_nothing, NULL, p->now);
	}
	return limit_lease_held(&p->counter, 0, p->now);
}

/*
 * All daemons start at once: until shares are lent, their teams' requests wait,
 * so that is to be shorter than it was with leases of 8 ms a daemon; a counter
 * is to get no more than some 600 frames a second in a fleet of any size, and to
 * have its lenders' shares all the time, also when a renewal is late by 0.2 s.
 */
START_TEST(shares_are_lent_soon_after_a_start_at_any_size)
{
	static const struct {
		uint32_t daemons;
		int most_ms; /* until they are lent */
	} cases[] = { { 10, 500 },  { 48, 500 },   { 80, 600 },
		      { 106, 700 }, { 300, 1400 }, { 1000, 3700 } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		lease_pair_t p;
		int64_t lent_at = 0;

		lease_pair_init(&p, cases[i].daemons);
		while (!lent_at && p.now < END_US)
			if (lease_pair_step(&p) > 1)
				lent_at = p.now;
		ck_assert_int_gt(lent_at, 0);
		ck_assert_int_le(lent_at / MS, cases[i].most_ms);
		p.frames = 0;
		for (int64_t end = p.now + END_US; p.now < end;) {
			if (p.now == end - END_US / 2)
				p.late = INT64_C(200) * MS;
			ck_assert_uint_eq(lease_pair_step(&p), 2);
		}
		ck_assert_int_le((int64_t)p.frames * cases[i].daemons,
				 (int64_t)650 * (END_US / SECOND));
		lease_pair_finish(&p);
	}
}
END_TEST

SUITE_MAIN("limit_fleet",
	   a_process_that_knows_no_daemons_lends_and_uses_nothing,
	   shares_are_lent_soon_after_a_start_at_any_size,
	   a_hot_team_keeps_to_its_limit_through_any_trouble,
	   a_team_below_its_limit_is_not_refused_in_calm,
	   a_team_below_its_limit_is_mostly_served_in_trouble)
