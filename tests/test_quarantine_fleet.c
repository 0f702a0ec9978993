/*
 * A fleet of daemons with a quarantine each, before runners that crash when
 * they begin to answer on one part of a prompt. Random schedules check what the
 * users' rules state: from three seconds after the fifth crash, at most three
 * requests with that part reach a runner, and of the others with the same first
 * part at least half are served.
 */
#include "core/quarantine.h"
#include "tests/lib_suite.h"

#define MS INT64_C(1000) /* microseconds */
#define TICK (10 * MS)
#define JUDGE_GAP (50 * MS)
#define SECOND (1000 * MS)
#define DAY (30 * SECOND)
#define GRACE (3 * SECOND) /* after the fifth crash, a restart or a cut */
#define DOWN (3 * SECOND) /* until a crashed runner is back */

enum {
	CRASHES = 5, /* the rule counts after so many */
	MAX_ARRIVALS = 3,
	MAX_DAEMONS = 40,
	RUNNERS = 12,
	MAX_WORK = 4096,
	SCHEDULES = 200,
	GREY_RUNNERS = 5, /* of RUNNERS, with TROUBLE_RESETS */
	FIRST_PART = 1,
	CRASHING_PART = 9,
};

/* Something that happens at a later time. */
typedef struct work {
	int64_t at;
	enum { WORK_BEGIN, WORK_NOTICE, WORK_ENTRY, WORK_DISPROOF } kind;
	int daemon;
	/* BEGIN: a request's answer begins, unless the runner crashed before */
	int runner;
	uint64_t incarnation;
	int64_t sent_at;
	int sends;
	bool is_sound_notice;
	crash_report_t crash; /* BEGIN: of the request; NOTICE, DISPROOF */
	quarantine_entry_t entry;
} work_t;

typedef struct daemon {
	quarantine_t quarantine;
	int64_t disturbed_at; /* last restart or end of a cut */
	bool is_cut;
} daemon_t;

/* What may disturb the fleet in a schedule. */
typedef enum trouble {
	TROUBLE_NONE,
	TROUBLE_CUT,
	TROUBLE_RESTARTS,
	TROUBLE_RESETS,
} trouble_t;

typedef struct fleet_model {
	GRand *rand;
	int64_t now;
	int n_daemons;
	daemon_t daemons[MAX_DAEMONS];
	uint64_t incarnations[RUNNERS];
	int64_t down_until[RUNNERS]; /* since then it has been up */
	uint64_t last_incarnation, last_request;
	GArray *work;
	trouble_t trouble;
	int crashes;
	int64_t fifth_at;
	int late_arrivals; /* with the crashing part, counted by the rule */
	int sound, sound_refused; /* with the first part, after the fifth */
} fleet_model_t;

static bool chance(fleet_model_t *f, double per_second)
{
	return g_rand_double(f->rand) <
	       per_second * (double)TICK / (double)SECOND;
}

static int64_t delay(fleet_model_t *f, int least_ms, int most_ms)
{
	return f->now + g_rand_int_range(f->rand, least_ms, most_ms) * MS;
}

static bool is_in_touch(const fleet_model_t *f, int d)
{
	return !f->daemons[d].is_cut &&
	       f->now - f->daemons[d].disturbed_at > GRACE;
}

static bool is_linked(const fleet_model_t *f, int a, int b)
{
	return a != b && f->daemons[a].is_cut == f->daemons[b].is_cut;
}

/* Sends a notice of daemon FROM to all that it has links to. */
static void tell(fleet_model_t *f, int from, work_t notice)
{
	for (int d = 0; d < f->n_daemons; d++) {
		if (!is_linked(f, from, d))
			continue;
		notice.daemon = d;
		notice.at = delay(f, 2, 60);
		g_array_append_val(f->work, notice);
	}
}

typedef struct teller {
	fleet_model_t *fleet;
	int from;
} teller_t;

static void tell_entry(void *ctx, const quarantine_entry_t *entry, bool is_own)
{
	const teller_t *t = ctx;
	work_t notice = { .kind = WORK_ENTRY, .entry = *entry };

	tell(t->fleet, t->from, notice);
}

static void tell_quarantine(fleet_model_t *f, int from)
{
	teller_t t = { f, from };

	quarantine_each(&f->daemons[from].quarantine, f->now, tell_entry, &t);
}

/* Daemon D sends a request to a runner that is up, unless it refuses it. */
static bool send(fleet_model_t *f, int d, const crash_report_t *request,
		 int sends)
{
	int runner = g_rand_int_range(f->rand, 0, RUNNERS);
	work_t begin = { .kind = WORK_BEGIN, .daemon = d, .runner = runner };

	if (quarantine_match(&f->daemons[d].quarantine, &request->parts,
			     f->now))
		return false;
	if (f->now < f->down_until[runner])
		return true;
	begin.at = delay(f, 30, 600);
	begin.sent_at = f->now;
	begin.incarnation = f->incarnations[runner];
	begin.crash = *request;
	begin.sends = sends;
	g_array_append_val(f->work, begin);
	if (prompt_parts_find(&request->parts, CRASHING_PART) >= 0 &&
	    f->crashes >= CRASHES && f->now > f->fifth_at + GRACE &&
	    is_in_touch(f, d))
		f->late_arrivals++;
	return true;
}

static void report(fleet_model_t *f, const work_t *begin)
{
	work_t notice = { .kind = WORK_NOTICE, .crash = begin->crash };
	quarantine_t *q = &f->daemons[begin->daemon].quarantine;

	notice.crash.runner = begin->incarnation;
	notice.crash.at = f->now;
	tell(f, begin->daemon, notice);
	quarantine_add_report(q, &notice.crash, true, f->now);
	if (!begin->sends &&
	    !quarantine_is_suspect(q, &begin->crash.parts, f->now))
		send(f, begin->daemon, &begin->crash, 1);
}

/* The runner crashes; a tenth of what it runs had just begun as well. */
static void crash_runner(fleet_model_t *f, const work_t *begin)
{
	f->crashes++;
	if (f->crashes == CRASHES)
		f->fifth_at = f->now;
	f->incarnations[begin->runner] = ++f->last_incarnation;
	f->down_until[begin->runner] = f->now + DOWN;
	report(f, begin);
	for (guint i = 0; i < f->work->len; i++) {
		work_t other = g_array_index(f->work, work_t, i);

		if (other.kind == WORK_BEGIN &&
		    other.incarnation == begin->incarnation &&
		    g_rand_int_range(f->rand, 0, 10) == 0)
			report(f, &other);
	}
}

/* Some runners reset half of their answers before any output, and live. */
static bool is_reset(fleet_model_t *f, const work_t *begin)
{
	return f->trouble == TROUBLE_RESETS && begin->runner < GREY_RUNNERS &&
	       g_rand_boolean(f->rand);
}

static void tell_disproof(void *ctx, const crash_report_t *report)
{
	const teller_t *t = ctx;
	work_t notice = { .kind = WORK_DISPROOF, .crash = *report };

	tell(t->fleet, t->from, notice);
}

/* Half of the connections are kept since the runner, or the daemon, started. */
static int64_t connected_at(fleet_model_t *f, const work_t *begin)
{
	if (f->trouble != TROUBLE_RESETS || g_rand_boolean(f->rand))
		return begin->sent_at;
	return MAX(f->down_until[begin->runner],
		   f->daemons[begin->daemon].disturbed_at);
}

static void begin_answer(fleet_model_t *f, const work_t *begin)
{
	quarantine_t *q = &f->daemons[begin->daemon].quarantine;
	work_t notice = { .kind = WORK_NOTICE,
			  .is_sound_notice = true,
			  .crash = begin->crash };
	quarantine_answer_t answer = { begin->incarnation,
				       connected_at(f, begin), begin->sent_at };
	teller_t t = { f, begin->daemon };

	if (f->incarnations[begin->runner] != begin->incarnation)
		return;
	if (quarantine_set_alive(q, &answer, f->now, NULL, NULL))
		quarantine_take_disproofs(q, tell_disproof, &t);
	if (prompt_parts_find(&begin->crash.parts, CRASHING_PART) >= 0)
		crash_runner(f, begin);
	else if (is_reset(f, begin))
		report(f, begin);
	else if (quarantine_set_sound(q, &begin->crash.parts, NULL, NULL))
		tell(f, begin->daemon, notice);
}

static void do_work(fleet_model_t *f, const work_t *w)
{
	quarantine_t *q = &f->daemons[w->daemon].quarantine;

	if (w->kind == WORK_BEGIN)
		begin_answer(f, w);
	else if (w->kind == WORK_ENTRY)
		quarantine_add_entry(q, &w->entry, f->now);
	else if (w->kind == WORK_DISPROOF)
		quarantine_set_disproved(q, &w->crash, f->now, NULL, NULL);
	else if (w->is_sound_notice)
		quarantine_set_sound(q, &w->crash.parts, NULL, NULL);
	else
		quarantine_add_report(q, &w->crash, false, f->now);
}

/* A caller's request at a random daemon, with the parts A and B. */
static void arrive(fleet_model_t *f, uint64_t a, uint64_t b)
{
	crash_report_t request = { .request = ++f->last_request,
				   .parts = { .ids = { a, b }, .n = 2 } };
	int d = g_rand_int_range(f->rand, 0, f->n_daemons);
	bool is_sent = send(f, d, &request, 0);

	if (a != FIRST_PART || b == CRASHING_PART || f->crashes < CRASHES)
		return;
	f->sound++;
	f->sound_refused += !is_sent;
}

static void restart(fleet_model_t *f, int d)
{
	quarantine_finish(&f->daemons[d].quarantine);
	quarantine_init(&f->daemons[d].quarantine);
	f->daemons[d].disturbed_at = f->now;
	tell_quarantine(f, d ? 0 : 1);
}

static void set_cut(fleet_model_t *f, bool is_cut)
{
	for (int d = 0; d < f->n_daemons / 3; d++) {
		f->daemons[d].is_cut = is_cut;
		f->daemons[d].disturbed_at = f->now;
	}
	for (int d = 0; !is_cut && d < f->n_daemons; d++)
		tell_quarantine(f, d);
}

static void disturb(fleet_model_t *f, trouble_t trouble)
{
	if (trouble == TROUBLE_RESTARTS && chance(f, 0.5))
		restart(f, g_rand_int_range(f->rand, 0, f->n_daemons));
	if (trouble == TROUBLE_CUT && f->now == 2 * SECOND)
		set_cut(f, true);
	if (trouble == TROUBLE_CUT && f->now == 12 * SECOND)
		set_cut(f, false);
}

static void on_quarantine(void *ctx, const quarantine_entry_t *entry,
			  bool is_own)
{
	if (is_own)
		tell_entry(ctx, entry, is_own);
}

static void judge(fleet_model_t *f)
{
	for (int d = 0; d < f->n_daemons; d++) {
		teller_t t = { f, d };

		quarantine_tick(&f->daemons[d].quarantine, f->now,
				on_quarantine, &t);
	}
}

static void tick(fleet_model_t *f, double crashing_per_second)
{
	if (f->now % JUDGE_GAP == 0)
		judge(f);
	if (chance(f, crashing_per_second))
		arrive(f, g_rand_boolean(f->rand) ? FIRST_PART : 2,
		       CRASHING_PART);
	if (chance(f, 3))
		arrive(f, FIRST_PART,
		       (uint64_t)g_rand_int_range(f->rand, 100, 120));
	if (chance(f, 20))
		arrive(f, (uint64_t)g_rand_int_range(f->rand, 10, 40),
		       (uint64_t)g_rand_int_range(f->rand, 100, 600));
	for (guint i = 0; i < f->work->len;) {
		work_t w = g_array_index(f->work, work_t, i);

		if (w.at > f->now) {
			i++;
			continue;
		}
		g_array_remove_index_fast(f->work, i);
		do_work(f, &w);
	}
}

static void check_arrivals(const fleet_model_t *f, uint32_t seed)
{
	ck_assert_msg(f->late_arrivals <= MAX_ARRIVALS,
		      "seed %u: %d requests with the part reached runners",
		      seed, f->late_arrivals);
}

static void check_sound(const fleet_model_t *f, uint32_t seed)
{
	ck_assert_msg(f->sound_refused * 2 <= f->sound,
		      "seed %u: %d of %d sound requests were refused", seed,
		      f->sound_refused, f->sound);
}

typedef void (*check_fn)(const fleet_model_t *f, uint32_t seed);

static void play(uint32_t seed, trouble_t trouble, double crashing_per_second,
		 check_fn check)
{
	fleet_model_t f = { .rand = g_rand_new_with_seed(seed),
			    .trouble = trouble };

	f.work = g_array_new(FALSE, FALSE, sizeof(work_t));
	f.n_daemons = g_rand_int_range(f.rand, 3, MAX_DAEMONS + 1);
	for (int d = 0; d < f.n_daemons; d++) {
		quarantine_init(&f.daemons[d].quarantine);
		f.daemons[d].disturbed_at = -GRACE - 1;
	}
	for (int i = 0; i < RUNNERS; i++)
		f.incarnations[i] = ++f.last_incarnation;
	for (; f.now < DAY; f.now += TICK) {
		disturb(&f, trouble);
		tick(&f, crashing_per_second);
	}
	check(&f, seed);
	for (int d = 0; d < f.n_daemons; d++)
		quarantine_finish(&f.daemons[d].quarantine);
	g_array_unref(f.work);
	g_rand_free(f.rand);
}

static void check_both(const fleet_model_t *f, uint32_t seed)
{
	check_arrivals(f, seed);
	check_sound(f, seed);
}

static void play_all(trouble_t trouble, check_fn check)
{
	for (uint32_t seed = 1; seed <= SCHEDULES; seed++)
		play(seed, trouble, seed % 2 ? 1 : 4, check);
}

/* Guards against requests that crash runners all over a fleet. */
START_TEST(a_crashing_part_is_kept_from_all_runners)
{
	play_all(TROUBLE_NONE, check_both);
}
END_TEST

/* Guards against two sides of a cut that each know of too few crashes. */
START_TEST(a_crashing_part_is_kept_from_runners_beside_a_cut)
{
	play_all(TROUBLE_CUT, check_both);
}
END_TEST

/* Guards against daemons that start and know nothing of the part. */
START_TEST(a_crashing_part_is_kept_from_runners_while_daemons_restart)
{
	play_all(TROUBLE_RESTARTS, check_both);
}
END_TEST

/* Guards against runners that reset answers, and hide those that crash. */
START_TEST(a_crashing_part_is_kept_from_runners_beside_resets)
{
	play_all(TROUBLE_RESETS, check_arrivals);
}
END_TEST

/* Guards against reports of resets that widen a true quarantine. */
START_TEST(sound_requests_are_served_beside_resets)
{
	play_all(TROUBLE_RESETS, check_sound);
}
END_TEST

/* A line of three daemons' logs. */
typedef struct log_line {
	int64_t ms;
	int daemon;
	enum { LOG_REPORTED, LOG_ANSWERED } kind;
	uint64_t runner, request;
} log_line_t;

/* Six runners that break some of their answers, and never end. */
static const log_line_t resets[] = {
	{ 447, 0, LOG_REPORTED, 1, 1 },	  { 527, 0, LOG_ANSWERED, 1, 2 },
	{ 676, 2, LOG_ANSWERED, 1, 3 },	  { 728, 1, LOG_ANSWERED, 1, 4 },
	{ 1479, 0, LOG_REPORTED, 0, 5 },  { 1485, 2, LOG_ANSWERED, 0, 6 },
	{ 1497, 1, LOG_ANSWERED, 0, 7 },  { 1526, 1, LOG_REPORTED, 0, 7 },
	{ 1535, 0, LOG_ANSWERED, 0, 8 },  { 1554, 0, LOG_REPORTED, 0, 8 },
	{ 1560, 0, LOG_ANSWERED, 0, 9 },  { 1603, 2, LOG_ANSWERED, 0, 10 },
	{ 1657, 2, LOG_REPORTED, 1, 11 }, { 1690, 0, LOG_REPORTED, 2, 12 },
	{ 1698, 2, LOG_ANSWERED, 2, 13 }, { 1736, 2, LOG_REPORTED, 2, 14 },
	{ 1741, 2, LOG_ANSWERED, 2, 15 }, { 1808, 0, LOG_ANSWERED, 2, 16 },
	{ 1952, 2, LOG_ANSWERED, 1, 17 }, { 1990, 0, LOG_ANSWERED, 1, 18 },
	{ 2147, 2, LOG_REPORTED, 3, 19 }, { 2154, 2, LOG_ANSWERED, 3, 20 },
	{ 2308, 0, LOG_ANSWERED, 3, 21 }, { 2325, 1, LOG_REPORTED, 2, 22 },
	{ 2331, 0, LOG_ANSWERED, 2, 23 }, { 2532, 0, LOG_REPORTED, 4, 24 },
	{ 2538, 1, LOG_ANSWERED, 4, 25 }, { 2668, 2, LOG_ANSWERED, 2, 26 },
	{ 2826, 1, LOG_ANSWERED, 2, 27 }, { 2922, 1, LOG_REPORTED, 3, 28 },
	{ 2968, 2, LOG_ANSWERED, 4, 29 }, { 3079, 2, LOG_ANSWERED, 3, 30 },
	{ 3209, 0, LOG_REPORTED, 1, 31 }, { 3305, 0, LOG_ANSWERED, 3, 32 },
	{ 4235, 0, LOG_ANSWERED, 1, 33 }, { 4881, 0, LOG_REPORTED, 5, 34 },
	{ 4882, 0, LOG_REPORTED, 1, 34 }, { 4888, 1, LOG_ANSWERED, 1, 35 },
	{ 4888, 1, LOG_REPORTED, 1, 35 }, { 4894, 0, LOG_ANSWERED, 1, 36 },
	{ 4894, 0, LOG_REPORTED, 1, 36 }, { 4900, 1, LOG_ANSWERED, 1, 37 },
	{ 4909, 1, LOG_REPORTED, 1, 38 }, { 4909, 1, LOG_REPORTED, 4, 38 },
	{ 4970, 1, LOG_ANSWERED, 1, 39 }, { 5014, 1, LOG_REPORTED, 1, 39 },
};

enum { LOG_DAEMONS = 3, LOG_END_MS = 5200, ANSWER_MS = 4 };

/* The daemons of the log; DAEMON had what it says, the others hear of it. */
typedef struct log_model {
	quarantine_t quarantines[LOG_DAEMONS];
	int quarantined;
} log_model_t;

static void count_quarantine(void *ctx, const quarantine_entry_t *entry,
			     bool is_own)
{
	++*(int *)ctx;
}

static void log_report(log_model_t *m, const log_line_t *line)
{
	crash_report_t crash = { .runner = line->runner,
				 .request = line->request,
				 .parts = { .ids = { 1, 2 }, .n = 2 },
				 .at = line->ms * MS };

	for (int d = 0; d < LOG_DAEMONS; d++)
		quarantine_add_report(&m->quarantines[d], &crash,
				      d == line->daemon, crash.at);
}

typedef struct disproof_teller {
	log_model_t *model;
	int from;
	int64_t now;
} disproof_teller_t;

static void tell_log_disproof(void *ctx, const crash_report_t *report)
{
	const disproof_teller_t *t = ctx;

	for (int d = 0; d < LOG_DAEMONS; d++)
		if (d != t->from)
			quarantine_set_disproved(&t->model->quarantines[d],
						 report, t->now, NULL, NULL);
}

static void log_answer(log_model_t *m, const log_line_t *line)
{
	quarantine_answer_t answer = { line->runner,
				       (line->ms - ANSWER_MS) * MS,
				       (line->ms - ANSWER_MS) * MS };

	quarantine_t *q = &m->quarantines[line->daemon];
	disproof_teller_t t = { m, line->daemon, line->ms * MS };

	if (quarantine_set_alive(q, &answer, line->ms * MS, NULL, NULL))
		quarantine_take_disproofs(q, tell_log_disproof, &t);
}

/* Guards against a quarantine of what all requests share, without a crash. */
START_TEST(resets_of_live_runners_quarantine_nothing)
{
	log_model_t m = { .quarantined = 0 };
	guint next = 0;

	for (int d = 0; d < LOG_DAEMONS; d++)
		quarantine_init(&m.quarantines[d]);
	for (int64_t ms = 0; ms < LOG_END_MS; ms++) {
		for (; next < G_N_ELEMENTS(resets) && resets[next].ms <= ms;
		     next++) {
			if (resets[next].kind == LOG_REPORTED)
				log_report(&m, &resets[next]);
			else
				log_answer(&m, &resets[next]);
		}
		for (int d = 0; d < LOG_DAEMONS; d++)
			quarantine_tick(&m.quarantines[d], ms * MS,
					count_quarantine, &m.quarantined);
	}
	ck_assert_int_eq(m.quarantined, 0);
	for (int d = 0; d < LOG_DAEMONS; d++)
		quarantine_finish(&m.quarantines[d]);
}
END_TEST

SUITE_MAIN("quarantine_fleet", a_crashing_part_is_kept_from_all_runners,
	   a_crashing_part_is_kept_from_runners_beside_a_cut,
	   a_crashing_part_is_kept_from_runners_while_daemons_restart,
	   a_crashing_part_is_kept_from_runners_beside_resets,
	   sound_requests_are_served_beside_resets,
	   resets_of_live_runners_quarantine_nothing)
