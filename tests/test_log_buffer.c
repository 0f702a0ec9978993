#include "common/log_buffer.h"

#include <fcntl.h>
#include <unistd.h>

#include "tests/lib_suite.h"

enum { MAX = 1000 };

static const int64_t SECOND = 1000000;

/* Adds lines of 9 bytes and a newline; returns how many were accepted. */
static int add(log_buffer_t *b, log_class_t class, int n, int64_t now)
{
	int n_accepted = 0;

	while (n--)
		n_accepted += log_buffer_add(b, class, "123456789", now);
	return n_accepted;
}

START_TEST(a_stalled_reader_only_causes_dropped_lines)
{
	log_buffer_t b;

	log_buffer_init(&b, MAX);
	ck_assert_int_eq(add(&b, LOG_CLASS_KEEP, 150, SECOND), 100);
	ck_assert_uint_eq(b.text->len, MAX);
	ck_assert_uint_eq(log_buffer_take_dropped(&b, 2 * SECOND), 50);
	ck_assert_uint_eq(log_buffer_take_dropped(&b, 4 * SECOND), 0);
	log_buffer_written(&b, MAX);
	ck_assert_int_eq(add(&b, LOG_CLASS_KEEP, 1, SECOND), 1);
	log_buffer_finish(&b);
}
END_TEST

START_TEST(a_write_takes_whole_lines)
{
	log_buffer_t b;

	log_buffer_init(&b, MAX);
	add(&b, LOG_CLASS_KEEP, 5, SECOND);
	ck_assert_uint_eq(log_buffer_chunk(&b, 0, 50), 50);
	ck_assert_uint_eq(log_buffer_chunk(&b, 0, 49), 40);
	ck_assert_uint_eq(log_buffer_chunk(&b, 0, 10), 10);
	/* What is left of a line that was written in part goes first. */
	ck_assert_uint_eq(log_buffer_chunk(&b, 3, 29), 27);
	/* A line that is too long goes alone. */
	ck_assert_uint_eq(log_buffer_chunk(&b, 10, 4), 10);
	log_buffer_finish(&b);
}
END_TEST

START_TEST(samples_fill_at_most_half_of_the_buffer)
{
	log_buffer_t b;

	log_buffer_init(&b, MAX);
	ck_assert_int_eq(add(&b, LOG_CLASS_SAMPLE, 80, SECOND), 50);
	ck_assert_int_eq(add(&b, LOG_CLASS_KEEP, 80, SECOND), 50);
	log_buffer_finish(&b);
}
END_TEST

START_TEST(the_rate_of_samples_is_bounded)
{
	log_buffer_t b;
	int n_accepted = 0;

	log_buffer_init(&b, (size_t)64 << 20);
	for (int i = 0; i < 100; i++)
		n_accepted += add(&b, LOG_CLASS_SAMPLE, 100,
				  SECOND + (int64_t)i * SECOND / 10);
	ck_assert_int_ge(n_accepted, 200);
	ck_assert_int_le(n_accepted, 100 + 20 * 10);
	log_buffer_finish(&b);
}
END_TEST

/* A pipe that nobody reads: writing must return at once. */
START_TEST(a_full_pipe_does_not_block)
{
	struct event_base *base = event_base_new();
	int ends[2];

	ck_assert(!pipe(ends));
	log_init("info");
	log_attach(base, ends[1]);
	for (int i = 0; i < 20000; i++)
		log_event_write(G_LOG_LEVEL_INFO, LOG_CLASS_KEEP, "test",
				"line", "number=%d text=%0200d", i, 0);
	event_base_loop(base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
	ck_assert_uint_gt(log_dropped(LOG_CLASS_KEEP), 0);
	log_detach();
	event_base_free(base);
	close(ends[0]);
	close(ends[1]);
}
END_TEST

SUITE_MAIN("log_buffer", a_stalled_reader_only_causes_dropped_lines,
	   a_write_takes_whole_lines, samples_fill_at_most_half_of_the_buffer,
	   the_rate_of_samples_is_bounded, a_full_pipe_does_not_block)
