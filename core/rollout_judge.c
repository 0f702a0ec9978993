#include "core/rollout_judge.h"

#include <math.h>

enum {
	SHORTEST_US = 250, /* all shorter times share a bucket */
	BUCKETS_PER_DOUBLING = 2,
	/* Slots on either side whose answers show what a usual time is. */
	NEAR_SLOTS = 2,
	MIN_USUAL = 20, /* answers that show it; fewer: those of all slots */
	MIN_SOUND_ANSWERS = 30,
	/* A release may be bad only after a while, or under load. */
	RECENT_SLOTS = 8,
	LAST_SLOTS = 3,
	MIN_ALONE = 12, /* the same with nothing to compare with */
	MIN_BAD = 6, /* fewer bad answers never make it bad */
	/* A first event also waits for a prompt that others have cached. */
	FIRST_EVENT_BUCKETS = 2,
	NO_BUCKET = ROLLOUT_BUCKETS, /* no time is too long */
};

/* Of the test's statistic; one look in some ten thousand is above by chance. */
static const double max_score = 4.2;
/* A route alone is one test of several. */
static const double max_route_score = 4.6;
/* Without answers of current releases in the same time. */
static const double max_later_score = 6.5;
static const double min_excess = 0.05;
static const double min_route_excess = 0.1;
static const double min_later_excess = 0.15;
/* Of failures: few among many answers, but far beyond chance. */
static const double max_certain_score = 8;
static const double min_certain_excess = 0.01;
static const double min_alone_share = 0.2;

/* Answers of the current releases in one slot. */
typedef struct slot {
	uint32_t times[ROLLOUT_BUCKETS];
	uint32_t failed;
	uint32_t n; /* with those that failed */
} slot_t;

typedef struct group {
	uint64_t route;
	rollout_timing_t timing;
	slot_t *slots; /* ROLLOUT_SLOTS of them */
	slot_t all; /* the sum of them */
} group_t;

/* An answer of the target. */
typedef struct kept {
	uint64_t runner;
	uint16_t group;
	uint16_t slot;
	uint16_t bucket;
	bool has_failed;
} kept_t;

struct rollout_judge_state {
	int64_t began_at;
	int64_t slot;
	group_t groups[ROLLOUT_MAX_GROUPS];
	uint32_t n_groups;
	uint32_t last_slot; /* that has answers */
	kept_t kept[ROLLOUT_MAX_ANSWERS];
	uint32_t n_kept; /* so far; a ring once it is full */
};

uint32_t rollout_time_bucket(int64_t us)
{
	double doublings =
		us > SHORTEST_US ? log2((double)us / SHORTEST_US) : 0;

	return (uint32_t)MIN(doublings * BUCKETS_PER_DOUBLING,
			     ROLLOUT_BUCKETS - 1);
}

void rollout_judge_init(rollout_judge_t *j, int64_t slot, int64_t now)
{
	j->state = g_new0(struct rollout_judge_state, 1);
	j->state->slot = MAX(slot, 1);
	j->state->began_at = now;
}

void rollout_judge_finish(rollout_judge_t *j)
{
	if (!j->state)
		return;
	for (uint32_t i = 0; i < j->state->n_groups; i++)
		g_free(j->state->groups[i].slots);
	g_clear_pointer(&j->state, g_free);
}

/* Returns the index of the answer's group; ROLLOUT_MAX_GROUPS: no room. */
static uint32_t find_group(struct rollout_judge_state *s,
			   const rollout_answer_t *a)
{
	group_t *g;

	for (uint32_t i = 0; i < s->n_groups; i++)
		if (s->groups[i].route == a->route &&
		    s->groups[i].timing == a->timing)
			return i;
	if (s->n_groups == ROLLOUT_MAX_GROUPS)
		return ROLLOUT_MAX_GROUPS;
	g = &s->groups[s->n_groups];
	g->route = a->route;
	g->timing = a->timing;
	g->slots = g_new0(slot_t, ROLLOUT_SLOTS);
	return s->n_groups++;
}

static void count(slot_t *slot, const rollout_answer_t *a, uint32_t n)
{
	slot->n += n;
	if (a->has_failed)
		slot->failed += n;
	else
		slot->times[MIN(a->bucket, ROLLOUT_BUCKETS - 1)] += n;
}

void rollout_judge_add(rollout_judge_t *j, const rollout_answer_t *answer,
		       uint32_t n, int64_t now)
{
	struct rollout_judge_state *s = j->state;
	uint32_t i = find_group(s, answer);
	int64_t slot =
		CLAMP((now - s->began_at) / s->slot, 0, ROLLOUT_SLOTS - 1);
	kept_t kept = { .runner = answer->runner,
			.group = (uint16_t)i,
			.slot = (uint16_t)slot,
			.bucket = (uint16_t)MIN(answer->bucket,
						ROLLOUT_BUCKETS - 1),
			.has_failed = answer->has_failed };

	if (i == ROLLOUT_MAX_GROUPS)
		return;
	s->last_slot = MAX(s->last_slot, (uint32_t)slot);
	if (!answer->is_target) {
		count(&s->groups[i].slots[slot], answer, n);
		count(&s->groups[i].all, answer, n);
		return;
	}
	for (uint32_t k = 0; k < MIN(n, ROLLOUT_MAX_ANSWERS); k++)
		s->kept[s->n_kept++ % ROLLOUT_MAX_ANSWERS] = kept;
}

/* From which times on an answer counts as slow. */
typedef enum slow_rule {
	SLOW_NEVER, /* only failures are bad */
	SLOW_BEYOND_MOST, /* twice the 90th percentile of current releases */
	SLOW_BEYOND_HALF, /* nearly three times their median */
	SLOW_RULES,
} slow_rule_t;

/* Returns the bucket that a share of the slot's times don't exceed. */
static uint32_t percentile(const slot_t *slot, double share)
{
	uint32_t n = slot->n - slot->failed;
	uint32_t sum = 0;

	for (uint32_t i = 0; i < ROLLOUT_BUCKETS; i++) {
		sum += slot->times[i];
		if (n && sum >= share * n)
			return i;
	}
	return NO_BUCKET;
}

/* Sums up the answers around a slot, or all if these are few. */
static void sum_near(const group_t *g, uint32_t slot, slot_t *out)
{
	uint32_t first = slot > NEAR_SLOTS ? slot - NEAR_SLOTS : 0;
	uint32_t last = MIN(slot + NEAR_SLOTS, ROLLOUT_SLOTS - 1);

	*out = (slot_t){ .n = 0 };
	for (uint32_t i = first; i <= last; i++) {
		out->n += g->slots[i].n;
		out->failed += g->slots[i].failed;
		for (uint32_t b = 0; b < ROLLOUT_BUCKETS; b++)
			out->times[b] += g->slots[i].times[b];
	}
	if (out->n - out->failed < MIN_USUAL)
		*out = g->all;
}

/* Returns the last bucket of a group and slot that doesn't count as slow. */
static uint32_t longest_usual(const group_t *g, uint32_t slot, slow_rule_t rule)
{
	uint32_t margin =
		g->timing == ROLLOUT_FIRST_EVENT ? FIRST_EVENT_BUCKETS : 0;
	slot_t near;

	if (rule == SLOW_NEVER)
		return NO_BUCKET;
	sum_near(g, slot, &near);
	if (near.n - near.failed < MIN_USUAL)
		return NO_BUCKET;
	if (rule == SLOW_BEYOND_MOST)
		return percentile(&near, 0.9) + 2 + margin;
	return percentile(&near, 0.5) + 3 + margin;
}

static uint32_t count_bad(const slot_t *slot, uint32_t usual)
{
	uint32_t bad = slot->failed;

	for (uint32_t i = usual + 1; i < ROLLOUT_BUCKETS; i++)
		bad += slot->times[i];
	return bad;
}

/* Which answers a test looks at. */
typedef struct test {
	slow_rule_t rule;
	uint64_t route; /* 0: all routes */
	uint32_t first_slot; /* earlier ones don't count */
	uint64_t left_out; /* runner whose answers don't count; 0: none */
} test_t;

/* The answers of the target in one group and slot. */
typedef struct cell {
	uint32_t n, bad;
} cell_t;

/* Sums over groups and slots. */
typedef struct sums {
	uint32_t n, bad; /* of the target */
	double expected, variance; /* of its bad ones, if it is no worse */
	double by_current; /* bad ones at the current releases' rate */
} sums_t;

/* Adds a group and slot where current releases had N answers, BAD bad ones. */
static void add_cell(sums_t *sums, const cell_t *cell, uint32_t n, uint32_t bad)
{
	double all = (double)cell->n + n;
	double all_bad = (double)cell->bad + bad;
	double share = cell->n / all;

	sums->n += cell->n;
	sums->bad += cell->bad;
	sums->expected += share * all_bad;
	if (all > 1)
		sums->variance +=
			share * n / all * all_bad * (all - all_bad) / (all - 1);
	sums->by_current += cell->n * (double)bad / n;
}

static uint32_t count_kept(const struct rollout_judge_state *s)
{
	return MIN(s->n_kept, ROLLOUT_MAX_ANSWERS);
}

static bool is_tested(const struct rollout_judge_state *s, const test_t *t,
		      const kept_t *k)
{
	return (!t->route || s->groups[k->group].route == t->route) &&
	       k->slot >= t->first_slot &&
	       (!t->left_out || k->runner != t->left_out);
}

/* The longest usual times of a test, by group and slot. */
typedef struct limits {
	uint8_t buckets[ROLLOUT_MAX_GROUPS][ROLLOUT_SLOTS];
} limits_t;

static void find_limits(const struct rollout_judge_state *s, slow_rule_t rule,
			limits_t *out)
{
	for (uint32_t g = 0; g < s->n_groups; g++)
		for (uint32_t i = 0; i <= s->last_slot; i++)
			out->buckets[g][i] = (uint8_t)MIN(
				longest_usual(&s->groups[g], i, rule),
				NO_BUCKET);
}

static bool is_bad(const limits_t *limits, const kept_t *k)
{
	return k->has_failed || k->bucket > limits->buckets[k->group][k->slot];
}

static void fill_cells(const struct rollout_judge_state *s, const test_t *t,
		       const limits_t *limits, cell_t cells[][ROLLOUT_SLOTS])
{
	for (uint32_t i = 0; i < count_kept(s); i++) {
		const kept_t *k = &s->kept[i];

		if (!is_tested(s, t, k))
			continue;
		cells[k->group][k->slot].n++;
		cells[k->group][k->slot].bad += is_bad(limits, k);
	}
}

/*
 * Compares with answers of the same slot where there are any, and else with all
 * of the group: SAME and LATER get the sums of the two.
 */
static void sum_up(const struct rollout_judge_state *s, const test_t *t,
		   const limits_t *limits, sums_t *same, sums_t *later)
{
	cell_t(*cells)[ROLLOUT_SLOTS] =
		g_malloc0_n(ROLLOUT_MAX_GROUPS, sizeof(*cells));

	*same = *later = (sums_t){ .n = 0 };
	fill_cells(s, t, limits, cells);
	for (uint32_t g = 0; g < s->n_groups; g++) {
		for (uint32_t i = t->first_slot; i <= s->last_slot; i++) {
			const slot_t *slot = &s->groups[g].slots[i];
			const slot_t *all = &s->groups[g].all;
			uint32_t usual = limits->buckets[g][i];

			if (cells[g][i].n && slot->n)
				add_cell(same, &cells[g][i], slot->n,
					 count_bad(slot, usual));
			else if (cells[g][i].n && all->n)
				add_cell(later, &cells[g][i], all->n,
					 count_bad(all, usual));
		}
	}
	g_free(cells);
}

/* Subtracts half a bad answer: the continuity correction. */
static double score_of(const sums_t *sums)
{
	double beyond = sums->bad - sums->expected - 0.5;

	return sums->variance > 0 ? beyond / sqrt(sums->variance) : 0;
}

static double excess_of(const sums_t *sums)
{
	return sums->n ? (sums->bad - sums->by_current) / sums->n : 0;
}

static bool has_several_runners(const struct rollout_judge_state *s)
{
	for (uint32_t i = 1; i < count_kept(s); i++)
		if (s->kept[i].runner != s->kept[0].runner)
			return true;
	return false;
}

/* Returns the runner of the target with the most bad answers; 0: none. */
static uint64_t find_worst(const struct rollout_judge_state *s, const test_t *t,
			   const limits_t *limits)
{
	g_autoptr(GHashTable) bad =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, NULL);
	uint64_t worst = 0;
	uint32_t most = 0;

	for (uint32_t i = 0; i < count_kept(s); i++) {
		const kept_t *k = &s->kept[i];
		uint32_t n =
			GPOINTER_TO_UINT(g_hash_table_lookup(bad, &k->runner));

		if (!is_tested(s, t, k))
			continue;
		n += is_bad(limits, k);
		g_hash_table_insert(bad, (gpointer)&k->runner,
				    GUINT_TO_POINTER(n));
		if (n > most) {
			most = n;
			worst = k->runner;
		}
	}
	/* A single runner's faults can't be told from its release's. */
	return has_several_runners(s) ? worst : 0;
}

static void set_finding(rollout_finding_t *f, const test_t *t,
			const sums_t *sums, bool is_bad_one)
{
	double score = score_of(sums);

	if (f->verdict == ROLLOUT_BAD ||
	    (!is_bad_one && score <= f->score && f->bad))
		return;
	f->verdict = is_bad_one ? ROLLOUT_BAD : f->verdict;
	f->bad = sums->bad;
	f->excess = excess_of(sums);
	f->score = score;
	f->route = t->route;
	f->by_time = t->rule != SLOW_NEVER;
}

/* Runners that have just started are slow at times, but don't fail. */
static bool is_certain(const test_t *t, const sums_t *sums)
{
	return t->rule == SLOW_NEVER && sums->bad >= MIN_BAD &&
	       score_of(sums) >= max_certain_score &&
	       excess_of(sums) >= min_certain_excess;
}

static bool condemns(const sums_t *sums, double score, double excess)
{
	return sums->bad >= MIN_BAD && score_of(sums) >= score &&
	       excess_of(sums) >= excess;
}

/* Runs a test without the target's worst runner. */
static void run_test(const struct rollout_judge_state *s, test_t t,
		     const limits_t *limits, rollout_finding_t *f)
{
	sums_t same, later;

	t.left_out = find_worst(s, &t, limits);
	sum_up(s, &t, limits, &same, &later);
	set_finding(f, &t, &same,
		    condemns(&same, t.route ? max_route_score : max_score,
			     t.route ? min_route_excess : min_excess) ||
			    is_certain(&t, &same));
	set_finding(f, &t, &later,
		    condemns(&later, max_later_score, min_later_excess));
}

static bool is_first_of_route(const struct rollout_judge_state *s, uint32_t i)
{
	for (uint32_t k = 0; k < i; k++)
		if (s->groups[k].route == s->groups[i].route)
			return false;
	return true;
}

/*
 * Returns the number of the target's comparable answers. A stream's pace isn't
 * counted as an answer of its own.
 */
static uint32_t count_answers(const struct rollout_judge_state *s)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < count_kept(s); i++) {
		const group_t *g = &s->groups[s->kept[i].group];

		n += g->timing != ROLLOUT_PACE && g->all.n >= MIN_USUAL;
	}
	return n;
}

/*
 * Without answers of current releases, as after a change of conductor in the
 * move, only a large share of failures is bad.
 */
static void judge_alone(const struct rollout_judge_state *s,
			rollout_finding_t *f)
{
	limits_t limits;
	test_t t = { .rule = SLOW_NEVER };
	uint32_t n = 0, bad = 0;

	find_limits(s, SLOW_NEVER, &limits);
	t.left_out = find_worst(s, &t, &limits);
	for (uint32_t i = 0; i < count_kept(s); i++) {
		const kept_t *k = &s->kept[i];

		if (s->groups[k->group].all.n || !is_tested(s, &t, k))
			continue;
		n++;
		bad += k->has_failed;
	}
	if (bad < MIN_ALONE || bad < min_alone_share * n)
		return;
	f->verdict = ROLLOUT_BAD;
	f->bad = bad;
	f->excess = (double)bad / n;
}

/* Runs the tests of all routes together and of each one, from a slot on. */
static void run_tests(const struct rollout_judge_state *s, slow_rule_t rule,
		      uint32_t first_slot, const limits_t *limits,
		      rollout_finding_t *f)
{
	test_t t = { .rule = rule, .first_slot = first_slot };

	run_test(s, t, limits, f);
	for (uint32_t i = 0; i < s->n_groups; i++) {
		t.route = s->groups[i].route;
		if (is_first_of_route(s, i))
			run_test(s, t, limits, f);
	}
}

rollout_finding_t rollout_judge_find(const rollout_judge_t *j)
{
	const struct rollout_judge_state *s = j->state;
	rollout_finding_t f = { .answers = count_answers(s) };
	limits_t limits;

	for (slow_rule_t rule = 0; rule < SLOW_RULES; rule++) {
		find_limits(s, rule, &limits);
		run_tests(s, rule, 0, &limits, &f);
		if (s->last_slot >= RECENT_SLOTS)
			run_tests(s, rule, s->last_slot - RECENT_SLOTS + 1,
				  &limits, &f);
		if (s->last_slot >= LAST_SLOTS)
			run_tests(s, rule, s->last_slot - LAST_SLOTS + 1,
				  &limits, &f);
	}
	if (f.verdict != ROLLOUT_BAD)
		judge_alone(s, &f);
	if (f.verdict != ROLLOUT_BAD && f.answers >= MIN_SOUND_ANSWERS)
		f.verdict = ROLLOUT_SOUND;
	return f;
}
