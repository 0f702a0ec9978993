/* The quarantine of prompt parts, driven by reports without a network. */
#include "core/quarantine.h"
#include "tests/lib_suite.h"

/* Microseconds. */
#define S (INT64_C(1000) * 1000)
#define MINUTE (60 * S)
#define SETTLE (QUARANTINE_SETTLE_MS * INT64_C(1000))

#define PARTS(...)                                                    \
	((prompt_parts_t){ .ids = { __VA_ARGS__ },                    \
			   .n = sizeof((uint64_t[]){ __VA_ARGS__ }) / \
				sizeof(uint64_t) })

static void count(void *ctx, const quarantine_entry_t *entry, bool is_own)
{
	++*(int *)ctx;
}

/* Judges what was reported; returns whether a quarantine begins. */
static bool judge(quarantine_t *q, int64_t now)
{
	int n = 0;

	quarantine_tick(q, now, count, &n);
	return n > 0;
}

static void report(quarantine_t *q, uint64_t runner, uint64_t request,
		   prompt_parts_t parts, int64_t now)
{
	crash_report_t report = { runner, request, parts, now };

	quarantine_add_report(q, &report, false, now);
}

/*
 * Reports that RUNNER crashed on REQUEST, long enough ago to be judged at NOW;
 * returns whether a quarantine begins.
 */
static bool crash(quarantine_t *q, uint64_t runner, uint64_t request,
		  prompt_parts_t parts, int64_t now)
{
	report(q, runner, request, parts, now - SETTLE);
	return judge(q, now);
}

static bool is_refused(const quarantine_t *q, prompt_parts_t parts, int64_t now)
{
	return quarantine_match(q, &parts, now) != NULL;
}

/* Crashes three runners with {1, 9}; 9 is the part that does it. */
static void hold(quarantine_t *q, int64_t now)
{
	ck_assert(!crash(q, 1, 1, PARTS(1, 9), now));
	ck_assert(!crash(q, 2, 1, PARTS(1, 9), now));
	ck_assert(crash(q, 3, 2, PARTS(1, 9), now));
}

START_TEST(a_part_is_held_after_three_crashes)
{
	quarantine_t q;

	quarantine_init(&q);
	hold(&q, 0);
	ck_assert(is_refused(&q, PARTS(1, 9), S));
	ck_assert(is_refused(&q, PARTS(1, 2, 9), S));
	/* Parts that go with it don't suffice. */
	ck_assert(!is_refused(&q, PARTS(1), S));
	ck_assert(!is_refused(&q, PARTS(1, 2), S));
	quarantine_finish(&q);
}
END_TEST

/* Guards against blaming a part for runners that one request took down. */
START_TEST(one_request_or_one_runner_is_not_enough)
{
	quarantine_t q;

	quarantine_init(&q);
	for (uint64_t i = 0; i < 8; i++)
		ck_assert(!crash(&q, i, 1, PARTS(1, 9), 0));
	quarantine_finish(&q);
	quarantine_init(&q);
	for (uint64_t i = 0; i < 8; i++)
		ck_assert(!crash(&q, 1, i, PARTS(1, 9), 0));
	quarantine_finish(&q);
}
END_TEST

/* The same report may come over several links. */
START_TEST(a_repeated_report_counts_once)
{
	quarantine_t q;

	quarantine_init(&q);
	for (int i = 0; i < 4; i++) {
		ck_assert(!crash(&q, 1, 1, PARTS(9), 0));
		ck_assert(!crash(&q, 2, 2, PARTS(9), 0));
	}
	quarantine_finish(&q);
}
END_TEST

START_TEST(a_crash_without_the_other_part_clears_it)
{
	quarantine_t q;

	quarantine_init(&q);
	hold(&q, 0);
	ck_assert(!is_refused(&q, PARTS(2, 9), S));
	ck_assert(quarantine_is_suspect(&q, &PARTS(2, 9), S));
	ck_assert(!quarantine_is_suspect(&q, &PARTS(2, 3), S));
	crash(&q, 4, 3, PARTS(2, 9), S);
	ck_assert(is_refused(&q, PARTS(5, 9), S));
	ck_assert(!is_refused(&q, PARTS(1, 5), S));
	quarantine_finish(&q);
}
END_TEST

/* Guards against holding what all requests share when runners crash anyway. */
START_TEST(a_part_that_is_answered_in_between_is_not_held)
{
	quarantine_t q;
	prompt_parts_t sound = PARTS(1);

	quarantine_init(&q);
	ck_assert(!quarantine_set_sound(&q, &sound, NULL, NULL));
	for (uint64_t i = 1; i <= 12; i++) {
		ck_assert(!crash(&q, i, i, PARTS(1, 100 + i), 0));
		ck_assert(quarantine_set_sound(&q, &sound, NULL, NULL));
		ck_assert(!quarantine_set_sound(&q, &sound, NULL, NULL));
	}
	quarantine_finish(&q);
}
END_TEST

START_TEST(a_sound_part_is_told_from_the_one_that_crashes)
{
	quarantine_t q;
	prompt_parts_t sound = PARTS(1, 2);

	quarantine_init(&q);
	hold(&q, 0);
	ck_assert(quarantine_set_sound(&q, &sound, NULL, NULL));
	ck_assert(is_refused(&q, PARTS(9), S));
	ck_assert(!is_refused(&q, PARTS(1, 2), S));
	ck_assert_uint_eq(quarantine_count(&q, S), 1);
	/* Nor is it needed when the answer came before the third crash. */
	quarantine_finish(&q);
	quarantine_init(&q);
	crash(&q, 1, 1, PARTS(1, 9), 0);
	crash(&q, 2, 2, PARTS(1, 9), 0);
	quarantine_set_sound(&q, &sound, NULL, NULL);
	ck_assert(crash(&q, 3, 3, PARTS(1, 9), 0));
	ck_assert(is_refused(&q, PARTS(7, 9), S));
	quarantine_finish(&q);
}
END_TEST

START_TEST(an_answer_ends_a_wrong_quarantine)
{
	quarantine_t q;
	prompt_parts_t parts = PARTS(1, 9);
	int ended = 0;

	quarantine_init(&q);
	hold(&q, 0);
	ck_assert(quarantine_set_sound(&q, &parts, count, &ended));
	ck_assert_int_eq(ended, 2); /* both parts were held */
	ck_assert(!is_refused(&q, PARTS(1, 9), S));
	quarantine_finish(&q);
}
END_TEST

/* Guards against taking a runner's broken connections for crashes. */
/* A request that is sent at SENT_AT to runner N is answered at NOW. */
static bool answer(quarantine_t *q, uint64_t n, int64_t connected_at,
		   int64_t sent_at, int64_t now, int *ended)
{
	quarantine_answer_t answer = { n, connected_at, sent_at };

	return quarantine_set_alive(q, &answer, now, count, ended);
}

START_TEST(a_runner_that_answers_again_did_not_crash)
{
	quarantine_t q;
	int ended = 0;

	quarantine_init(&q);
	hold(&q, S);
	/* What was sent before the break says nothing. */
	ck_assert(!answer(&q, 2, 0, S / 2, S, &ended));
	ck_assert(is_refused(&q, PARTS(1, 9), S));
	ck_assert_int_eq(ended, 0);
	ck_assert(answer(&q, 2, 0, 2 * S, 2 * S, &ended));
	ck_assert(!is_refused(&q, PARTS(1, 9), 2 * S));
	ck_assert(!answer(&q, 2, 0, 2 * S, 2 * S, &ended));
	ck_assert_int_eq(ended, 2);
	ck_assert(crash(&q, 4, 4, PARTS(1, 9), 2 * S));
	quarantine_finish(&q);
}
END_TEST

/*
 * Guards against a quarantine that ends as its runners are back under their old
 * names, before the list of runners tells of their restart.
 */
START_TEST(a_restarted_runner_disproves_nothing)
{
	quarantine_t q;
	int ended = 0;

	quarantine_init(&q);
	hold(&q, S);
	for (uint64_t n = 1; n <= 3; n++)
		ck_assert(!answer(&q, n, 3 * S, 3 * S, 3 * S, &ended));
	ck_assert(is_refused(&q, PARTS(1, 9), 3 * S));
	ck_assert_int_eq(ended, 0);
	/* None is back so soon: the connection alone was reset. */
	ck_assert(answer(&q, 2, S, S, S + SETTLE, &ended));
	ck_assert(!is_refused(&q, PARTS(1, 9), S + SETTLE));
	quarantine_finish(&q);
}
END_TEST

/*
 * Guards against crashes that count as resets as their runners are back under
 * their old names within a second.
 */
START_TEST(a_runner_restarted_within_a_second_disproves_nothing)
{
	const int64_t back = S + 4 * SETTLE;
	quarantine_t q;
	int ended = 0;

	quarantine_init(&q);
	hold(&q, S);
	for (uint64_t n = 1; n <= 3; n++)
		ck_assert(!answer(&q, n, back, back, back, &ended));
	ck_assert(is_refused(&q, PARTS(1, 9), back));
	/* A connection from before the break is proof at any time. */
	ck_assert(answer(&q, 1, 0, back, back, &ended));
	ck_assert(!is_refused(&q, PARTS(1, 9), back));
	quarantine_finish(&q);
}
END_TEST

START_TEST(crashes_far_apart_are_not_related)
{
	quarantine_t q;

	quarantine_init(&q);
	for (uint64_t i = 1; i <= 8; i++)
		ck_assert(!crash(&q, i, i, PARTS(9), (int64_t)i * 40 * S));
	quarantine_finish(&q);
}
END_TEST

START_TEST(a_quarantine_ends_and_one_crash_renews_it)
{
	quarantine_t q;

	quarantine_init(&q);
	hold(&q, 0);
	ck_assert(is_refused(&q, PARTS(1, 9), 4 * MINUTE));
	ck_assert(!is_refused(&q, PARTS(1, 9), 6 * MINUTE));
	ck_assert_uint_eq(quarantine_count(&q, 6 * MINUTE), 0);
	ck_assert(crash(&q, 7, 7, PARTS(1, 9), 6 * MINUTE));
	/* Twice as long. */
	ck_assert(is_refused(&q, PARTS(1, 9), 15 * MINUTE));
	ck_assert(!is_refused(&q, PARTS(1, 9), 17 * MINUTE));
	quarantine_finish(&q);
}
END_TEST

static void copy_entry(void *ctx, const quarantine_entry_t *entry, bool is_own)
{
	quarantine_add_entry(ctx, entry, 10 * S);
}

/* Guards against daemons that start and know nothing of earlier crashes. */
START_TEST(a_quarantine_is_passed_on)
{
	quarantine_t q, other;

	quarantine_init(&q);
	quarantine_init(&other);
	hold(&q, 0);
	quarantine_each(&q, 10 * S, copy_entry, &other);
	ck_assert(is_refused(&other, PARTS(1, 9), 11 * S));
	ck_assert(!is_refused(&other, PARTS(1), 11 * S));
	/* The receiver narrows it by what it sees itself. */
	crash(&other, 8, 8, PARTS(2, 9), 11 * S);
	ck_assert(is_refused(&other, PARTS(9), 12 * S));
	/* Known, or ended: no news. */
	quarantine_each(&q, 10 * S, copy_entry, &other);
	ck_assert(!quarantine_add_entry(
		&other, &(quarantine_entry_t){ 5, PARTS(5), 9 * S, 1, false },
		10 * S));
	ck_assert(!quarantine_add_entry(
		&other, &(quarantine_entry_t){ .part = 5, .until = MINUTE },
		10 * S));
	quarantine_finish(&q);
	quarantine_finish(&other);
}
END_TEST

/*
 * Guards against blaming a sound part that is in a request beside the one that
 * crashes the runner: the other report of that crash may come later.
 */
START_TEST(one_cause_of_a_crash_is_enough)
{
	quarantine_t q;

	quarantine_init(&q);
	ck_assert(!crash(&q, 1, 1, PARTS(1, 9), 0));
	ck_assert(!crash(&q, 2, 2, PARTS(1, 9), 0));
	report(&q, 3, 3, PARTS(1, 5), S);
	ck_assert(!judge(&q, S + SETTLE / 2));
	report(&q, 3, 4, PARTS(1, 9), S + SETTLE / 2);
	/* A second try need not wait for the judgement. */
	ck_assert(quarantine_is_suspect(&q, &PARTS(9), S + SETTLE / 2));
	ck_assert(!quarantine_is_suspect(&q, &PARTS(5, 7), S + SETTLE / 2));
	ck_assert(judge(&q, S + SETTLE));
	ck_assert(is_refused(&q, PARTS(1, 9), 2 * S));
	ck_assert(!is_refused(&q, PARTS(1, 5), 2 * S));
	ck_assert(!is_refused(&q, PARTS(1, 7), 2 * S));
	/* Whichever report of the crash was first. */
	quarantine_finish(&q);
	quarantine_init(&q);
	report(&q, 1, 1, PARTS(1, 5), 0);
	report(&q, 1, 2, PARTS(2, 9), 0);
	ck_assert(!crash(&q, 2, 3, PARTS(1, 9), S));
	ck_assert(crash(&q, 3, 4, PARTS(1, 9), S));
	ck_assert(is_refused(&q, PARTS(1, 9), 2 * S));
	ck_assert(!is_refused(&q, PARTS(1, 7), 2 * S));
	quarantine_finish(&q);
}
END_TEST

START_TEST(tables_are_bounded)
{
	prompt_parts_t parts = { .n = PROMPT_MAX_PARTS };
	quarantine_t q;

	quarantine_init(&q);
	for (uint64_t i = 0; i < 400; i++) {
		for (uint32_t p = 0; p < parts.n; p++)
			parts.ids[p] = i / 4 * PROMPT_MAX_PARTS + p;
		crash(&q, i, i, parts, (int64_t)i);
	}
	ck_assert_uint_le(q.reports.records->len, CRASH_REPORTS_MAX);
	ck_assert_uint_eq(q.entries->len, QUARANTINE_MAX_ENTRIES);
	quarantine_finish(&q);
}
END_TEST

/* Guards against holding nothing because one request was beside another. */
START_TEST(a_request_beside_the_crashing_one_is_told_apart)
{
	quarantine_t q;

	quarantine_init(&q);
	for (uint64_t i = 1; i <= 3; i++) {
		report(&q, i, i, PARTS(9), -SETTLE);
		report(&q, i, 10 + i, PARTS(5), -SETTLE);
	}
	judge(&q, 0);
	/* Either may be the cause, and no request is both. */
	ck_assert(!is_refused(&q, PARTS(9), S));
	ck_assert(!is_refused(&q, PARTS(5), S));
	crash(&q, 4, 4, PARTS(9), S);
	ck_assert(is_refused(&q, PARTS(9), S));
	ck_assert(!is_refused(&q, PARTS(5), S));
	quarantine_finish(&q);
}
END_TEST

START_TEST(a_runner_that_answers_after_a_report_is_a_survivor)
{
	quarantine_t q;

	int ended = 0;

	quarantine_init(&q);
	ck_assert(!quarantine_is_survivor(&q, 1, 0));
	report(&q, 1, 1, PARTS(9), 0);
	/* An answer to a request from before the report proves nothing. */
	ck_assert(!answer(&q, 1, -1, -1, S, &ended));
	ck_assert(!quarantine_is_survivor(&q, 1, S));
	ck_assert(answer(&q, 1, -1, 1, S, &ended));
	ck_assert(quarantine_is_survivor(&q, 1, 2 * S));
	ck_assert(!quarantine_is_survivor(&q, 2, 2 * S));
	ck_assert(!quarantine_is_survivor(&q, 1, 2 * S + MINUTE));
	quarantine_finish(&q);
}
END_TEST

/* Another daemon got an answer after the report of RUNNER's crash at AT. */
static void hear_disproof(quarantine_t *q, uint64_t runner, uint64_t request,
			  int64_t at, int64_t now, int *ended)
{
	crash_report_t report = { runner, request, PARTS(1, 9), at };

	quarantine_set_disproved(q, &report, now, count, ended);
}

/* Guards against a quarantine that ends only where its runners answer. */
START_TEST(a_disproof_by_another_daemon_ends_a_quarantine)
{
	quarantine_t q;
	int ended = 0;

	quarantine_init(&q);
	hold(&q, S);
	hear_disproof(&q, 2, 1, S - SETTLE, S, &ended);
	ck_assert_int_eq(ended, 2);
	ck_assert(!is_refused(&q, PARTS(1, 9), S));
	quarantine_finish(&q);
}
END_TEST

/* Guards against refusing all that share a part, for one report of a reset. */
START_TEST(a_disproved_report_widens_no_quarantine)
{
	quarantine_t q;
	int ended = 0;

	quarantine_init(&q);
	hold(&q, S);
	crash(&q, 4, 4, PARTS(1, 5), S + SETTLE);
	ck_assert(is_refused(&q, PARTS(1, 6), S + SETTLE));
	ck_assert(answer(&q, 4, 0, S + SETTLE, S + 2 * SETTLE, &ended));
	ck_assert(!is_refused(&q, PARTS(1, 6), S + 2 * SETTLE));
	ck_assert(is_refused(&q, PARTS(1, 9), S + 2 * SETTLE));
	ck_assert_int_eq(ended, 0);
	quarantine_finish(&q);
}
END_TEST

/* Guards against a report that comes later, or again, than its disproof. */
START_TEST(a_disproof_may_overtake_its_report)
{
	quarantine_t q;
	int ended = 0;

	quarantine_init(&q);
	for (uint64_t i = 1; i <= 8; i++) {
		hear_disproof(&q, i, i, 0, SETTLE / 2, &ended);
		ck_assert(!crash(&q, i, i, PARTS(1, 9), SETTLE));
		ck_assert(!crash(&q, i, i, PARTS(1, 9), 2 * SETTLE));
	}
	ck_assert(!judge(&q, 30 * S));
	/* The same request may well crash the runner later. */
	for (uint64_t i = 1; i <= 3; i++)
		report(&q, i, i, PARTS(1, 9), 30 * S);
	ck_assert(judge(&q, 32 * S));
	quarantine_finish(&q);
}
END_TEST

/* Guards against a report that was read late, after a pause of the process. */
START_TEST(a_disproof_of_a_delayed_report_counts)
{
	quarantine_t q;
	int ended = 0;

	quarantine_init(&q);
	hold(&q, 10 * S);
	hear_disproof(&q, 3, 2, 5 * S, 10 * S, &ended);
	ck_assert_int_eq(ended, 2);
	quarantine_finish(&q);
}
END_TEST

/* Guards against the word of a daemon that hasn't heard of the answer yet. */
START_TEST(a_quarantine_on_a_disproved_report_is_not_taken_over)
{
	quarantine_t q, other;
	int ended = 0;

	quarantine_init(&q);
	quarantine_init(&other);
	hold(&q, 10 * S);
	crash(&other, 1, 1, PARTS(1, 9), 10 * S);
	crash(&other, 2, 1, PARTS(1, 9), 10 * S);
	hear_disproof(&other, 3, 2, 10 * S - SETTLE, 10 * S, &ended);
	quarantine_each(&q, 10 * S, copy_entry, &other);
	ck_assert(!is_refused(&other, PARTS(1, 9), 10 * S));
	/* It is, where the others suffice. */
	crash(&other, 4, 3, PARTS(1, 9), 10 * S);
	quarantine_each(&q, 10 * S, copy_entry, &other);
	ck_assert(is_refused(&other, PARTS(1, 9), 10 * S));
	quarantine_finish(&q);
	quarantine_finish(&other);
}
END_TEST

/* Runners 1 to 3 break an exchange each, and answer. */
static void survive(quarantine_t *q, int64_t now)
{
	int ended = 0;

	for (uint64_t n = 1; n <= 3; n++) {
		report(q, n, 10 + n, PARTS(1, 9), now);
		hear_disproof(q, n, 10 + n, now, now, &ended);
	}
}

/* Guards against judging runners that often reset before they can answer. */
START_TEST(a_runner_that_lived_has_time_to_answer_again)
{
	quarantine_t q;
	int ended = 0;

	quarantine_init(&q);
	survive(&q, 0);
	for (uint64_t n = 1; n <= 3; n++)
		report(&q, n, n, PARTS(1, 9), S);
	ck_assert(!judge(&q, S + 5 * SETTLE));
	for (uint64_t n = 1; n <= 3; n++)
		ck_assert(answer(&q, n, 0, S + SETTLE, S + 6 * SETTLE, &ended));
	ck_assert(!judge(&q, 3 * S));
	quarantine_finish(&q);
}
END_TEST

/* Guards against runners that reset answers and hide a crashing request. */
START_TEST(crashes_of_runners_that_lived_before_are_counted)
{
	quarantine_t q;

	quarantine_init(&q);
	survive(&q, 0);
	for (uint64_t n = 1; n <= 3; n++)
		report(&q, n, n, PARTS(1, 9), S);
	ck_assert(judge(&q, 2 * S));
	ck_assert(is_refused(&q, PARTS(1, 9), 2 * S));
	quarantine_finish(&q);
}
END_TEST

/* Guards against daemons that report no crash, as another saw an answer. */
START_TEST(a_survivor_is_one_only_where_it_answered)
{
	quarantine_t q;
	int ended = 0;

	quarantine_init(&q);
	survive(&q, 0);
	ck_assert(!quarantine_is_survivor(&q, 1, S));
	report(&q, 1, 1, PARTS(9), S);
	ck_assert(answer(&q, 1, 0, S + SETTLE, S + SETTLE, &ended));
	ck_assert(quarantine_is_survivor(&q, 1, 2 * S));
	quarantine_finish(&q);
}
END_TEST

static void count_disproof(void *ctx, const crash_report_t *report)
{
	ck_assert_uint_eq(report->runner, 1);
	ck_assert_uint_eq(report->request, 1);
	++*(int *)ctx;
}

/* Guards against daemons that tell each other the same without end. */
START_TEST(a_disproof_is_told_once_by_who_got_the_answer)
{
	quarantine_t q;
	int ended = 0, told = 0;

	quarantine_init(&q);
	report(&q, 1, 1, PARTS(9), 0);
	ck_assert(answer(&q, 1, 0, 1, SETTLE, &ended));
	quarantine_take_disproofs(&q, count_disproof, &told);
	ck_assert_int_eq(told, 1);
	ck_assert(!answer(&q, 1, 0, SETTLE, 2 * SETTLE, &ended));
	quarantine_take_disproofs(&q, count_disproof, &told);
	hear_disproof(&q, 2, 2, 0, SETTLE, &ended);
	quarantine_take_disproofs(&q, count_disproof, &told);
	ck_assert_int_eq(told, 1);
	quarantine_finish(&q);
}
END_TEST

/* Guards against resets that push the reports of crashes out of the table. */
START_TEST(disproved_reports_make_room_first)
{
	quarantine_t q;
	int ended = 0;

	quarantine_init(&q);
	report(&q, 1, 1, PARTS(9), 0);
	report(&q, 2, 1, PARTS(9), 0);
	for (uint64_t i = 0; i < UINT64_C(2) * CRASH_REPORTS_MAX; i++)
		hear_disproof(&q, 100 + i, i, 0, 0, &ended);
	ck_assert_uint_eq(q.reports.records->len, CRASH_REPORTS_MAX);
	ck_assert(crash(&q, 3, 3, PARTS(9), S));
	quarantine_finish(&q);
}
END_TEST

SUITE_MAIN("quarantine", a_part_is_held_after_three_crashes,
	   one_request_or_one_runner_is_not_enough,
	   a_repeated_report_counts_once,
	   a_crash_without_the_other_part_clears_it,
	   a_part_that_is_answered_in_between_is_not_held,
	   a_sound_part_is_told_from_the_one_that_crashes,
	   an_answer_ends_a_wrong_quarantine,
	   a_runner_that_answers_again_did_not_crash,
	   a_restarted_runner_disproves_nothing,
	   a_runner_restarted_within_a_second_disproves_nothing,
	   crashes_far_apart_are_not_related,
	   a_quarantine_ends_and_one_crash_renews_it, a_quarantine_is_passed_on,
	   one_cause_of_a_crash_is_enough, tables_are_bounded,
	   a_request_beside_the_crashing_one_is_told_apart,
	   a_runner_that_answers_after_a_report_is_a_survivor,
	   a_disproof_by_another_daemon_ends_a_quarantine,
	   a_disproved_report_widens_no_quarantine,
	   a_disproof_may_overtake_its_report,
	   a_disproof_of_a_delayed_report_counts,
	   a_quarantine_on_a_disproved_report_is_not_taken_over,
	   a_runner_that_lived_has_time_to_answer_again,
	   crashes_of_runners_that_lived_before_are_counted,
	   a_survivor_is_one_only_where_it_answered,
	   a_disproof_is_told_once_by_who_got_the_answer,
	   disproved_reports_make_room_first)
