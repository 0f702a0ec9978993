/*
 * More work waits than the engines can do. A fast engine reads a prompt in
 * less time than word of its first token takes to come back: its places must
 * be full all the same, or what waits is refused for nothing.
 */
#include "tests/lib_fixture.h"
#include "tests/lib_suite.h"

enum {
	SLOTS = 6,
	WAITING = 20, /* wants kept in the queue */
	TICKS = 400,
	STEP_MS = 5,
	READ_MS = 55, /* a prompt, one after the other */
	WORD_MS = 40, /* until the dispatcher hears of a first token */
	WRITE_MS = 300,
	PROMPT = 3000, /* tokens */
	WINDOW = 800000, /* tokens */
	OUTPUT = 100,
	FIRST = 100, /* number of the first attempt after the lesson */
};

typedef enum phase {
	PHASE_WAITING,
	PHASE_READING,
	PHASE_WRITING,
	PHASE_OVER,
} phase_t;

typedef struct job {
	phase_t phase;
	int64_t next_at;
} job_t;

static job_t jobs[MAX_ANSWERS];

/* Moves an attempt on; returns whether it holds a place. */
static bool advance(fixture_t *fixture, uint64_t a, int64_t *read_until)
{
	job_t *j = &jobs[a];

	if (j->phase == PHASE_WAITING &&
	    fixture_answer_kind(fixture, a) == ANSWER_GRANT) {
		j->phase = PHASE_READING;
		*read_until = MAX(*read_until, fixture->now) + READ_MS * MS;
		j->next_at = *read_until + WORD_MS * MS;
	} else if (j->phase == PHASE_READING && fixture->now >= j->next_at) {
		dispatcher_first_token(&fixture->d, (want_id_t){ OWNER, a },
				       fixture->now);
		j->phase = PHASE_WRITING;
		j->next_at = fixture->now + WRITE_MS * MS;
	} else if (j->phase == PHASE_WRITING && fixture->now >= j->next_at) {
		fixture_done(fixture, a, DONE_COMPLETED);
		j->phase = PHASE_OVER;
	}
	return j->phase == PHASE_READING || j->phase == PHASE_WRITING;
}

START_TEST(the_places_of_a_fast_engine_are_used)
{
	static fixture_t fixture;
	uint64_t n = FIRST;
	int64_t read_until = 0;
	double used = 0;

	memset(jobs, 0, sizeof(jobs));
	fixture = (fixture_t){ .config = { .engine_slots = SLOTS,
					   .window_tokens = WINDOW } };
	fixture_init(&fixture, true);
	fixture_set_runner(&fixture, "fast", false);
	fixture_calibrate(&fixture, 1, PROMPT, READ_MS * MS, OUTPUT,
			  WRITE_MS * MS);
	for (int t = 0; t < TICKS; t++) {
		while (fixture_stats(&fixture).queued < WAITING)
			fixture_submit(&fixture, n++, 1, PROMPT);
		for (uint64_t a = FIRST; a < n; a++)
			used += advance(&fixture, a, &read_until);
		fixture_tick(&fixture, STEP_MS * MS);
	}
	/* In the mean at least five of six. */
	ck_assert_msg(used / TICKS >= SLOTS - 1, "%.2f places used",
		      used / TICKS);
	dispatcher_finish(&fixture.d);
}
END_TEST

SUITE_MAIN("fast_engine_full", the_places_of_a_fast_engine_are_used)
