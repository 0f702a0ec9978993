/*
 * Open-loop load generator: a mix of calls arrives as a Poisson process, each
 * answer is checked, and outcomes are compared with the oracles of the
 * stand-ins. Exit status 1 if any answer was wrong or missing, if a call ran
 * twice, ran although its answer said that it did not, or completed without a
 * run; with --check-order, also if a protected call was refused while
 * lower-priority work was served.
 */
#include <inttypes.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "standin/lib_args.h"
#include "standin/lib_caller.h"
#include "standin/lib_fetch.h"
#include "standin/lib_server.h"

enum {
	MAX_OPEN = 20000, /* calls in progress; more arrivals are skipped */
	MAX_VIOLATIONS = 50, /* printed */
	LEAVE_MIN_MS = 5,
	LEAVE_MAX_MS = 800,
	ORDER_MARGIN_MS = 150, /* for answers and refusals in transit */
};

typedef struct load {
	struct event_base *base;
	struct event *arrival_timer;
	mix_t mix;
	caller_env_t env;
	GRand *rand;
	tally_t tally;
	json_t *calls; /* id -> result of the call */
	json_t *violations; /* {"id", "what"} each */
	int64_t start_us;
	int64_t end_us;
	double next_us; /* of the next arrival */
	double rate; /* calls per second */
	double seconds; /* of arrivals */
	double seed;
	double leave_share;
	double slow_share;
	double settle_ms; /* wait before the oracles are read */
	uint64_t n_started;
	uint64_t n_open;
	uint64_t n_skipped;
	uint64_t n_violations;
	bool is_arriving;
	bool is_priority_checked;
} load_t;

static void add_violation(load_t *l, const char *id, const char *what)
{
	l->n_violations++;
	if (l->n_violations <= MAX_VIOLATIONS)
		printf("violation: %s: %s\n", id, what);
	json_array_append_new(l->violations,
			      json_pack("{s:s,s:s}", "id", id, "what", what));
}

static void stop_when_idle(load_t *l)
{
	if (!l->is_arriving && !l->n_open)
		event_base_loopbreak(l->base);
}

static void on_ended(void *ctx, caller_t *c)
{
	load_t *l = ctx;
	json_t *entry = json_pack(
		"{s:s,s:s,s:b,s:s,s:i,s:s,s:s,s:f,s:f,s:f,s:b,s:s}", "tier",
		c->kind->tier, "service", c->kind->service, "protected",
		(int)c->kind->is_protected, "outcome",
		call_result_name(c->result), "attempts", (int)c->attempts,
		"key", c->key, "ticket", c->ticket, "start_ms",
		(double)(c->started_us - l->start_us) / 1000, "first_ms",
		caller_first_ms(c), "whole_ms", caller_whole_ms(c), "slow",
		(int)c->is_slow, "reason", c->reason);

	json_object_set_new(l->calls, c->id, entry);
	tally_add(&l->tally, c->kind->tier, c->result, caller_first_ms(c),
		  caller_whole_ms(c));
	if (c->result == CALL_WRONG || c->result == CALL_MISSING)
		add_violation(l, c->id, c->reason);
	l->n_open--;
	caller_free(c);
	stop_when_idle(l);
}

static void make_key(load_t *l, const mix_kind_t *kind, const char *id,
		     char key[CALLER_ID_SIZE])
{
	key[0] = '\0';
	if (kind->guard == MIX_GUARD_KEY)
		snprintf(key, CALLER_ID_SIZE, "k%08x-%.30s",
			 g_rand_int(l->rand), id);
	else if (kind->guard == MIX_GUARD_UUID)
		mix_make_uuid(key, clock_wall_ms(), l->rand);
}

static void start_call(load_t *l)
{
	const mix_kind_t *kind = mix_pick_kind(&l->mix, l->rand);
	const mix_team_t *team = mix_pick_team(&l->mix, l->rand);
	uint32_t tokens = mix_output_tokens(kind, l->rand);
	uint32_t target = g_rand_int(l->rand) % l->env.n_targets;
	char id[CALLER_ID_SIZE], key[CALLER_ID_SIZE];
	caller_t *c;

	snprintf(id, sizeof(id), "s%u-%" PRIu64, (unsigned int)l->seed,
		 ++l->n_started);
	make_key(l, kind, id, key);
	c = caller_new(&l->env, kind, team, id,
		       mix_make_text(&l->mix, kind, id, l->rand), tokens, key);
	c->target = target;
	if (g_rand_double(l->rand) < l->leave_share)
		c->leave_ms =
			g_rand_int_range(l->rand, LEAVE_MIN_MS, LEAVE_MAX_MS);
	c->is_slow = g_rand_double(l->rand) < l->slow_share;
	l->n_open++;
	caller_start(c);
}

static void schedule_arrival(load_t *l)
{
	int64_t wait;
	struct timeval tv;

	l->next_us += -log(1 - g_rand_double(l->rand)) / l->rate * 1e6;
	wait = MAX((int64_t)l->next_us - clock_now_us(), 0);
	tv = (struct timeval){ wait / 1000000, wait % 1000000 };
	evtimer_add(l->arrival_timer, &tv);
}

static void on_arrival(evutil_socket_t fd, short what, void *ctx)
{
	load_t *l = ctx;

	if (clock_now_us() >= l->end_us) {
		l->is_arriving = false;
		stop_when_idle(l);
		return;
	}
	if (l->n_open < MAX_OPEN)
		start_call(l);
	else
		l->n_skipped++;
	schedule_arrival(l);
}

/* Sums the runs of each call; false when an oracle cannot be read. */
static bool sum_oracles(load_t *l, const char *addresses, json_t *runs)
{
	g_auto(GStrv) list = g_strsplit(addresses, ",", -1);
	bool has_all_oracles = true;

	for (char **address = list; *address; address++) {
		json_t *oracle = fetch_json(*address, "/standin/oracle");
		const char *id;
		json_t *count;

		if (!oracle) {
			printf("oracle %s cannot be read\n", *address);
			has_all_oracles = false;
		}
		json_object_foreach (json_object_get(oracle, "calls"), id,
				     count) {
			json_int_t n =
				json_integer_value(json_object_get(runs, id));

			json_object_set_new(
				runs, id,
				json_integer(n + json_integer_value(count)));
		}
		json_decref(oracle);
	}
	return has_all_oracles;
}

static void verify_call(load_t *l, const char *id, json_t *entry,
			json_int_t runs, bool has_all_oracles)
{
	const char *outcome =
		json_string_value(json_object_get(entry, "outcome"));
	bool is_done =
		!strcmp(outcome, "completed") || !strcmp(outcome, "late");

	json_object_set_new(entry, "runs", json_integer(runs));
	if (runs > 1)
		add_violation(l, id, "ran more than once");
	if (runs && !strcmp(outcome, "not-run"))
		add_violation(l, id, "ran although the answer said not-run");
	if (!runs && is_done && has_all_oracles)
		add_violation(l, id,
			      "completed, but no oracle has a run of it");
}

static void verify(load_t *l, const char *addresses)
{
	json_t *runs = json_object();
	bool has_all_oracles;
	const char *id;
	json_t *entry;

	g_usleep((gulong)(l->settle_ms * 1000));
	has_all_oracles = sum_oracles(l, addresses, runs);
	json_object_foreach (l->calls, id, entry)
		verify_call(l, id, entry,
			    json_integer_value(json_object_get(runs, id)),
			    has_all_oracles);
	json_decref(runs);
}

static double number(json_t *entry, const char *name)
{
	return json_number_value(json_object_get(entry, name));
}

static bool text_is(json_t *entry, const char *name, const char *text)
{
	return !strcmp(json_string_value(json_object_get(entry, name)), text);
}

/*
 * True when the unprotected call LOW completed and was in progress from
 * ORDER_MARGIN_MS before END_MS until as long after: a runner of the service
 * served it then. Calls that read slowly don't count.
 */
static bool was_served_at(json_t *low, double end_ms)
{
	double start = number(low, "start_ms");

	return !json_is_true(json_object_get(low, "protected")) &&
	       !json_is_true(json_object_get(low, "slow")) &&
	       (text_is(low, "outcome", "completed") ||
		text_is(low, "outcome", "late")) &&
	       start + ORDER_MARGIN_MS < end_ms &&
	       start + number(low, "whole_ms") > end_ms + ORDER_MARGIN_MS;
}

static void check_refusal(load_t *l, const char *id, json_t *refused)
{
	const char *service =
		json_string_value(json_object_get(refused, "service"));
	double end = number(refused, "start_ms") + number(refused, "whole_ms");
	const char *low_id;
	json_t *low;

	json_object_foreach (l->calls, low_id, low) {
		if (!text_is(low, "service", service) ||
		    !was_served_at(low, end))
			continue;
		add_violation(l, id,
			      "refused while lower-priority work was served");
		return;
	}
}

/*
 * Checks that no protected call was refused while unprotected ones
 * were served.
 */
static void check_priority_order(load_t *l)
{
	const char *id;
	json_t *entry;

	json_object_foreach (l->calls, id, entry)
		if (text_is(entry, "outcome", "not-run") &&
		    json_is_true(json_object_get(entry, "protected")))
			check_refusal(l, id, entry);
}

static bool write_result(load_t *l, const char *path)
{
	json_t *result = json_pack(
		"{s:I,s:f,s:f,s:I,s:I,s:o,s:O,s:O}", "seed",
		(json_int_t)l->seed, "seconds", l->seconds, "rate", l->rate,
		"started", (json_int_t)l->n_started, "skipped",
		(json_int_t)l->n_skipped, "tiers", tally_json(&l->tally),
		"calls", l->calls, "violations", l->violations);
	bool ok = !json_dump_file(result, path, JSON_INDENT(1));

	if (!ok)
		fprintf(stderr, "load: cannot write %s\n", path);
	json_decref(result);
	return ok;
}

static void load_run(load_t *l)
{
	int64_t now = clock_now_us();

	l->start_us = now;
	l->next_us = (double)now;
	l->end_us = now + (int64_t)(l->seconds * 1e6);
	l->is_arriving = true;
	l->arrival_timer = evtimer_new(l->base, on_arrival, l);
	schedule_arrival(l);
	event_base_dispatch(l->base);
	event_free(l->arrival_timer);
	/* Cancelled calls free themselves in the event loop. */
	event_base_loop(l->base, EVLOOP_NONBLOCK);
}

static void load_init(load_t *l, const char *targets)
{
	signal(SIGPIPE, SIG_IGN);
	setvbuf(stdout, NULL, _IOLBF, 0);
	l->base = event_base_new();
	l->rand = g_rand_new_with_seed((guint32)l->seed);
	l->calls = json_object();
	l->violations = json_array();
	tally_init(&l->tally);
	l->env.base = l->base;
	l->env.targets = g_strsplit(targets, ",", -1);
	l->env.n_targets = g_strv_length(l->env.targets);
	l->env.ended = on_ended;
	l->env.ctx = l;
}

static void load_finish(load_t *l)
{
	g_strfreev(l->env.targets);
	tally_finish(&l->tally);
	json_decref(l->calls);
	json_decref(l->violations);
	g_rand_free(l->rand);
	event_base_free(l->base);
}

int main(int argc, char **argv)
{
	load_t l = { .rate = 20, .seconds = 5, .seed = 1, .settle_ms = 300 };
	const char *targets = NULL, *mix = NULL, *out = NULL, *oracles = NULL;
	double repeats = 2, grace_ms = 5000, limit_ms = 30000;
	double horizon_ms = 60000, patience_ms = 0;
	bool ok = true;
	const arg_row_t rows[] = {
		{ "targets", ARG_TEXT, &targets, "IP:port,... of daemons" },
		{ "mix", ARG_TEXT, &mix,
		  "JSON file; default: the built-in mix" },
		{ "rate", ARG_NUMBER, &l.rate, "calls per second" },
		{ "seconds", ARG_NUMBER, &l.seconds, "how long calls arrive" },
		{ "seed", ARG_NUMBER, &l.seed, "seed of all random choices" },
		{ "leave-share", ARG_NUMBER, &l.leave_share,
		  "share of callers that disconnect early" },
		{ "slow-share", ARG_NUMBER, &l.slow_share,
		  "share of callers that read slowly" },
		{ "repeats", ARG_NUMBER, &repeats,
		  "maximum, of a call with a key or a ticket" },
		{ "horizon-ms", ARG_NUMBER, &horizon_ms,
		  "from a call's start; no repeats after it" },
		{ "patience-ms", ARG_NUMBER, &patience_ms,
		  "without data until such a call repeats; 0: off" },
		{ "grace-ms", ARG_NUMBER, &grace_ms,
		  "after the deadline, until the call counts as missing" },
		{ "limit-ms", ARG_NUMBER, &limit_ms,
		  "time limit of calls without a deadline" },
		{ "settle-ms", ARG_NUMBER, &l.settle_ms,
		  "wait before --verify" },
		{ "verify", ARG_TEXT, &oracles,
		  "IP:port,... of engines and desks, whose runs are checked" },
		{ "check-order", ARG_FLAG, &l.is_priority_checked,
		  "checks that no protected call is refused "
		  "while lower-priority work is served" },
		{ "out", ARG_TEXT, &out, "JSON file for the result" },
	};

	args_read(argc, argv, rows, G_N_ELEMENTS(rows));
	if (!targets || l.rate <= 0 || !mix_load(&l.mix, mix)) {
		fprintf(stderr, "load: --targets, a --rate above 0 and a "
				"valid --mix are needed\n");
		return EXIT_FAILURE;
	}
	l.env.max_repeats = (uint32_t)repeats;
	l.env.repeat_window_ms = (int64_t)horizon_ms;
	l.env.silence_timeout_ms = (int64_t)patience_ms;
	l.env.grace_ms = (int64_t)grace_ms;
	l.env.default_limit_ms = (int64_t)limit_ms;
	load_init(&l, targets);
	load_run(&l);
	if (oracles)
		verify(&l, oracles);
	if (l.is_priority_checked)
		check_priority_order(&l);
	tally_print(&l.tally);
	printf("%" PRIu64 " calls, %" PRIu64 " violations\n", l.n_started,
	       l.n_violations);
	if (out)
		ok = write_result(&l, out);
	ok = ok && !l.n_violations;
	load_finish(&l);
	return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
