/*
 * Measures the cost of the dispatcher's decisions: nanoseconds per want from
 * its arrival over grant and first token to its end, with a constant number
 * of wants queued, and bytes of memory per queued or running want.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>

#include "core/dispatcher.h"

enum {
	WARM_UP = 20000, /* decisions before the measurement */
	DECISIONS = 200000,
	QUEUED_PER_TEAM = 2,
	MIN_QUEUED = 1000,
	MEAN_TOKENS = 500, /* mean prompt tokens of a want */
	WINDOW_TOKENS = 16000, /* per runner */
	STEP_US = 50, /* simulated time per decision */
	MAX_RING = 1 << 17, /* grants that have not ended yet */
};

typedef struct bench {
	dispatcher_t dispatcher;
	want_id_t *granted; /* ring of grants that have not ended */
	uint32_t head, tail;
	uint64_t next_id;
	GRand *rand;
	uint32_t teams;
	int64_t now;
	uint64_t refused;
} bench_t;

static void on_grant(void *ctx, const want_t *want,
		     const dispatcher_runner_t *runner)
{
	bench_t *b = ctx;

	b->granted[b->tail++ % MAX_RING] = want->id;
}

static void on_refuse(void *ctx, const want_t *want, refuse_reason_t reason,
		      uint32_t retry_after_ms)
{
	bench_t *b = ctx;

	b->refused++;
}

static void on_cancel(void *ctx, const want_t *want)
{
}

static void submit_want(bench_t *b)
{
	want_t want = {
		.id = { 1, b->next_id++ },
		.tier = (uint32_t)g_rand_int_range(b->rand, 0, 3),
		.prompt_tokens =
			(uint32_t)g_rand_int_range(b->rand, 1, 2 * MEAN_TOKENS),
		.output_tokens = 10,
		.prefix_hash = (uint64_t)g_rand_int_range(b->rand, 1, 5000),
		.deadline = b->now + G_USEC_PER_SEC * INT64_C(36000),
	};

	g_snprintf(want.team, sizeof(want.team), "team-%d",
		   g_rand_int_range(b->rand, 0, (gint32)b->teams));
	dispatcher_want(&b->dispatcher, &want, b->now);
}

static void finish_oldest(bench_t *b)
{
	want_id_t id = b->granted[b->head++ % MAX_RING];
	done_t done = { .result = DONE_COMPLETED,
			.prompt_tokens = MEAN_TOKENS,
			.output_tokens = 10 };

	b->now += STEP_US;
	dispatcher_first_token(&b->dispatcher, id, b->now);
	dispatcher_done(&b->dispatcher, id, &done, b->now + STEP_US);
}

static void set_up(bench_t *b, uint32_t runners, uint32_t teams,
		   dispatcher_policy_t policy)
{
	static const dispatcher_ops_t ops = { on_grant, on_refuse, on_cancel };
	static const dispatcher_tier_t tiers[] = {
		{ .is_protected = true, .weight = 1 },
		{ .is_protected = false, .weight = 3 },
		{ .is_protected = false, .weight = 1 },
	};
	dispatcher_config_t config = {
		.is_engine = true,
		.max_wants = 200000,
		.max_running = 200000,
		.window_tokens = WINDOW_TOKENS,
		.grant_timeout = G_USEC_PER_SEC * INT64_C(36000),
		.seed = 1,
		.policy = policy,
	};

	*b = (bench_t){ .teams = teams, .now = G_USEC_PER_SEC };
	b->rand = g_rand_new_with_seed(1);
	b->granted = g_new0(want_id_t, MAX_RING);
	dispatcher_init(&b->dispatcher, &config, &ops, b, b->now);
	dispatcher_set_tiers(&b->dispatcher, tiers, G_N_ELEMENTS(tiers));
	for (uint32_t i = 0; i < runners; i++) {
		dispatcher_runner_t runner = { .generation = i % 3 };

		g_snprintf(runner.name, sizeof(runner.name), "runner-%u", i);
		dispatcher_set_runner(&b->dispatcher, &runner, b->now);
	}
}

static uint32_t count_queued(const bench_t *b)
{
	dispatcher_stats_t stats;

	dispatcher_stats(&b->dispatcher, &stats);
	return stats.queued;
}

/*
 * Submits queue_length wants; with the ledger policy, which queues only once
 * the runners are full, submits until so many are queued.
 */
static void fill_queue(bench_t *b, dispatcher_policy_t policy)
{
	uint32_t queue_length = MAX(MIN_QUEUED, QUEUED_PER_TEAM * b->teams);

	if (policy != DISPATCHER_POLICY_LEDGER)
		for (uint32_t i = 0; i < queue_length; i++)
			submit_want(b);
	else
		while (count_queued(b) < queue_length)
			submit_want(b);
}

static size_t bytes_in_use(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

static void run_decisions(bench_t *b, uint32_t n)
{
	for (uint32_t i = 0; i < n; i++) {
		if (b->head == b->tail)
			submit_want(b);
		finish_oldest(b);
		submit_want(b);
		if (i % 100 == 0)
			dispatcher_tick(&b->dispatcher, b->now);
	}
}

static void measure(const char *name, dispatcher_policy_t policy,
		    uint32_t runners, uint32_t teams)
{
	size_t before = bytes_in_use(), bytes;
	dispatcher_stats_t stats;
	int64_t start, us;
	bench_t b;

	set_up(&b, runners, teams, policy);
	fill_queue(&b, policy);
	dispatcher_stats(&b.dispatcher, &stats);
	bytes = bytes_in_use() - before - MAX_RING * sizeof(want_id_t);
	run_decisions(&b, WARM_UP);
	start = g_get_monotonic_time();
	run_decisions(&b, DECISIONS);
	us = g_get_monotonic_time() - start;
	printf("%-12s %8u %8u %9u %9u %12.0f %12zu\n", name, runners, teams,
	       stats.queued, stats.running, (double)us * 1000 / DECISIONS,
	       bytes / MAX(stats.queued + stats.running, 1));
	dispatcher_finish(&b.dispatcher);
	g_rand_free(b.rand);
	g_free(b.granted);
}

int main(void)
{
	static const uint32_t runners[] = { 10, 100, 1000 };
	static const uint32_t teams[] = { 5, 1000, 24000 };

	printf("%-12s %8s %8s %9s %9s %12s %12s\n", "policy", "runners",
	       "teams", "waiting", "running", "ns/decision", "bytes/want");
	for (size_t r = 0; r < G_N_ELEMENTS(runners); r++)
		for (size_t t = 0; t < G_N_ELEMENTS(teams); t++)
			measure("ledger", DISPATCHER_POLICY_LEDGER, runners[r],
				teams[t]);
	for (size_t r = 0; r < G_N_ELEMENTS(runners); r++)
		measure("two-choices", DISPATCHER_POLICY_TWO_CHOICES,
			runners[r], 5);
	return EXIT_SUCCESS;
}
