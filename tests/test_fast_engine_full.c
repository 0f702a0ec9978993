/*
 * More work is queued than the engine can do. A fast engine processes a prompt
 * in less time than the report of its first token takes to arrive. Its slots
 * must be kept in use all the same, or queued work is refused needlessly.
 */
#include "tests/lib_fixture.h"
#include "tests/lib_suite.h"

enum {
	SLOTS = 6,
	QUEUED = 20, /* wants kept in the queue */
	TICKS = 400,
	STEP_MS = 5,
	PREFILL_MS = 55, /* of a prompt; one prompt at a time */
	REPORT_MS = 40, /* delay of a first token's report to the dispatcher */
	DECODE_MS = 300, /* of an answer */
	PROMPT_TOKENS = 3000,
	WINDOW_TOKENS = 800000,
	OUTPUT_TOKENS = 100,
	FIRST_ATTEMPT = 100, /* after the calibration */
};

typedef enum phase {
	PHASE_QUEUED,
	PHASE_PREFILL,
	PHASE_DECODE,
	PHASE_ENDED,
} phase_t;

typedef struct job {
	phase_t phase;
	int64_t next_at;
} job_t;

static job_t jobs[MAX_ANSWERS];

/* Advances an attempt's phase; returns whether it occupies a slot. */
static bool advance(fixture_t *fixture, uint64_t a, int64_t *prefill_until)
{
	job_t *j = &jobs[a];

	if (j->phase == PHASE_QUEUED &&
	    fixture_answer_kind(fixture, a) == ANSWER_GRANT) {
		j->phase = PHASE_PREFILL;
		*prefill_until =
			MAX(*prefill_until, fixture->now) + PREFILL_MS * MS;
		j->next_at = *prefill_until + REPORT_MS * MS;
	} else if (j->phase == PHASE_PREFILL && fixture->now >= j->next_at) {
		dispatcher_first_token(&fixture->d, (want_id_t){ OWNER, a },
				       fixture->now);
		j->phase = PHASE_DECODE;
		j->next_at = fixture->now + DECODE_MS * MS;
	} else if (j->phase == PHASE_DECODE && fixture->now >= j->next_at) {
		fixture_done(fixture, a, DONE_COMPLETED);
		j->phase = PHASE_ENDED;
	}
	return j->phase == PHASE_PREFILL || j->phase == PHASE_DECODE;
}

START_TEST(slots_of_a_fast_engine_are_used)
{
	static fixture_t fixture;
	uint64_t n = FIRST_ATTEMPT;
	int64_t prefill_until = 0;
	double used = 0;

	memset(jobs, 0, sizeof(jobs));
	fixture = (fixture_t){ .config = { .engine_slots = SLOTS,
					   .window_tokens = WINDOW_TOKENS } };
	fixture_init(&fixture, true);
	fixture_set_runner(&fixture, "fast", false);
	fixture_calibrate(&fixture, 1, PROMPT_TOKENS, PREFILL_MS * MS,
			  OUTPUT_TOKENS, DECODE_MS * MS);
	for (int t = 0; t < TICKS; t++) {
		while (fixture_stats(&fixture).queued < QUEUED)
			fixture_submit(&fixture, n++, 1, PROMPT_TOKENS);
		for (uint64_t a = FIRST_ATTEMPT; a < n; a++)
			used += advance(&fixture, a, &prefill_until);
		fixture_tick(&fixture, STEP_MS * MS);
	}
	/* On average, at least five of the six slots. */
	ck_assert_msg(used / TICKS >= SLOTS - 1, "%.2f slots used on average",
		      used / TICKS);
	dispatcher_finish(&fixture.d);
}
END_TEST

SUITE_MAIN("fast_engine_full", slots_of_a_fast_engine_are_used)
