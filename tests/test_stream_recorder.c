/*
 * All daemons are killed while two releases of a service are in service. The
 * next processes must know which release began a stream that a caller takes up,
 * and must not take the release that is left for the only one.
 */
#include "core/release_history.h"
#include "tests/lib_store_fixture.h"
#include "tests/lib_suite.h"

enum {
	STREAM = 0xabc,
	OTHER_STREAM = 0xdef,
	RELEASE = 7,
	RUN_US = 300 * 1000, /* for what must not happen */
	SETTLE_US = 500 * 1000, /* for words that others write */
};

static void post_notes(store_fixture_t *f)
{
	message_t m = { .type = MESSAGE_STREAM_NOTES };
	stream_release_t s = { STREAM, RELEASE };

	m.streams.begun = g_array_new(FALSE, FALSE, sizeof(stream_release_t));
	g_array_append_val(m.streams.begun, s);
	supervisor_post(&f->sup, TASK_PLATFORM, &m);
}

/* Asks as a daemon that knows of ONLY_RELEASE, or of several: 0. */
static void post_ask_beside(store_fixture_t *f, uint64_t stream,
			    uint64_t only_release)
{
	message_t m = { .type = MESSAGE_STREAM_ASK };

	m.streams.stream.stream = stream;
	m.streams.stream.release = only_release;
	m.streams.is_to_confirm = only_release != 0;
	supervisor_post(&f->sup, TASK_PLATFORM, &m);
}

/* Asks as an older build does, which doesn't say which release it knows of. */
static void post_ask(store_fixture_t *f, uint64_t stream, bool is_to_confirm)
{
	message_t m = { .type = MESSAGE_STREAM_ASK };

	m.streams.stream.stream = stream;
	m.streams.is_to_confirm = is_to_confirm;
	supervisor_post(&f->sup, TASK_PLATFORM, &m);
}

static void start(store_fixture_t *f)
{
	store_fixture_init(f);
	store_fixture_restart_as_seed(f);
	store_fixture_put_config(f, 1);
}

static void assert_answer(store_fixture_t *f, uint64_t stream, uint64_t release)
{
	int answers = f->stream_answers;

	post_ask(f, stream, false);
	ck_assert(store_fixture_await(f, &f->stream_answers, answers + 1));
	ck_assert_uint_eq(f->last_stream.stream, stream);
	ck_assert_uint_eq(f->last_stream.release, release);
}

START_TEST(a_recorder_answers_from_memory)
{
	store_fixture_t f;

	start(&f);
	post_notes(&f);
	post_ask(&f, STREAM, true);
	ck_assert(store_fixture_await(&f, &f.stream_answers, 1));
	ck_assert_uint_eq(f.last_stream.release, RELEASE);
	post_ask(&f, OTHER_STREAM, true);
	ck_assert(store_fixture_await(&f, &f.stream_answers, 2));
	ck_assert_uint_eq(f.last_stream.release, 0);
	store_fixture_finish(&f);
}
END_TEST

/* Guards against streams that nobody knows after all daemons were killed. */
START_TEST(streams_outlive_a_restart_of_all)
{
	store_fixture_t f;

	start(&f);
	post_notes(&f);
	ck_assert(store_fixture_await(&f, &f.stream_appends, 1));
	store_fixture_restart(&f);
	assert_answer(&f, STREAM, RELEASE);
	assert_answer(&f, OTHER_STREAM, 0);
	store_fixture_finish(&f);
}
END_TEST

START_TEST(streams_that_the_store_refuses_are_written_later)
{
	store_fixture_t f;

	start(&f);
	ck_assert(store_fixture_await(&f, &f.appends, 1));
	f.refused_appends = 1;
	post_notes(&f);
	ck_assert(store_fixture_await(&f, &f.stream_appends, 1));
	ck_assert_int_eq(f.refused_appends, 0);
	store_fixture_run(&f, RUN_US);
	ck_assert_int_eq(f.stream_appends, 1);
	store_fixture_finish(&f);
}
END_TEST

/* Guards against a store that comes back from a copy without the streams. */
START_TEST(streams_are_written_again_to_a_restored_store)
{
	store_fixture_t f;

	start(&f);
	post_notes(&f);
	ck_assert(store_fixture_await(&f, &f.stream_appends, 1));
	f.epoch = 2;
	store_fixture_go_back(&f, STORE_STREAMS, 0);
	ck_assert(store_fixture_await(&f, &f.stream_appends, 2));
	store_fixture_restart(&f);
	assert_answer(&f, STREAM, RELEASE);
	store_fixture_finish(&f);
}
END_TEST

/* Guards against streams joined from a release that left with the daemons. */
START_TEST(a_new_process_knows_of_releases_that_have_left)
{
	store_fixture_t f;

	start(&f);
	store_fixture_put_release(&f, "i-1", "v1");
	store_fixture_put_release(&f, "i-2", "v2");
	ck_assert(store_fixture_await(&f, &f.part_appends, 1));
	ck_assert_uint_eq(f.only_release, 0);
	store_fixture_put(&f, STORE_RUNNERS, "i-1", g_strdup(""));
	f.lists = 0;
	store_fixture_restart(&f);
	store_fixture_run(&f, RUN_US);
	ck_assert_int_ge(f.lists, 1);
	ck_assert_int_eq(f.runners, 1);
	ck_assert_uint_eq(f.only_release, 0);
	store_fixture_finish(&f);
}
END_TEST

/* Guards against take-ups that are refused though there is one release. */
START_TEST(a_new_process_knows_of_a_release_that_is_the_only_one)
{
	store_fixture_t f;

	start(&f);
	store_fixture_put_release(&f, "i-1", "v1");
	ck_assert(store_fixture_await(&f, &f.part_appends, 1));
	store_fixture_restart(&f);
	for (int i = 0; i < 10 && !f.only_release; i++)
		store_fixture_run(&f, RUN_US);
	ck_assert_uint_eq(f.only_release, release_history_hash("s", "v1"));
	store_fixture_finish(&f);
}
END_TEST

/*
 * Guards against streams joined from two releases: a request was sent to a
 * second release's runner while another daemon was its recorder, and this one
 * had read the first word only.
 */
START_TEST(a_later_word_in_the_store_replaces_an_earlier_one)
{
	store_fixture_t f;

	start(&f);
	store_fixture_put_stream(&f, STREAM, RELEASE);
	store_fixture_put_stream(&f, OTHER_STREAM, RELEASE);
	assert_answer(&f, OTHER_STREAM, RELEASE);
	store_fixture_put_stream(&f, STREAM, RELEASE + 1);
	assert_answer(&f, STREAM, RELEASE + 1);
	/* Its own notes are later than what was read. */
	post_notes(&f);
	store_fixture_run(&f, RUN_US);
	assert_answer(&f, STREAM, RELEASE);
	store_fixture_finish(&f);
}
END_TEST

/*
 * Guards against streams joined from two releases: the words on a request's two
 * sends came by two recorders, which wrote them in the other order.
 */
START_TEST(the_last_send_counts_in_whatever_order_it_is_written)
{
	store_fixture_t f;

	start(&f);
	store_fixture_put_stream(&f, stream_releases_key(STREAM, 1),
				 RELEASE + 1);
	store_fixture_put_stream(&f, STREAM, RELEASE);
	assert_answer(&f, STREAM, RELEASE + 1);
	/* A late note of the first send changes nothing. */
	post_notes(&f);
	store_fixture_run(&f, RUN_US);
	assert_answer(&f, STREAM, RELEASE + 1);
	store_fixture_finish(&f);
}
END_TEST

/*
 * Guards against streams joined from two releases: this recorder was told of the
 * first send of a request only, and another one of the release that began it.
 */
START_TEST(a_note_of_one_send_is_no_answer_until_the_store_was_read)
{
	store_fixture_t f;

	start(&f);
	post_notes(&f);
	post_ask(&f, STREAM, false);
	store_fixture_run(&f, RUN_US);
	ck_assert_int_eq(f.stream_answers, 0);
	store_fixture_put_stream(
		&f, stream_releases_key(STREAM, STREAM_RELEASES_BEGUN),
		RELEASE + 1);
	ck_assert(store_fixture_await(&f, &f.stream_answers, 1));
	ck_assert_uint_eq(f.last_stream.release, RELEASE + 1);
	store_fixture_finish(&f);
}
END_TEST

/* Guards against take-ups that wait for a word that can't follow. */
START_TEST(the_release_that_began_a_stream_is_told_at_once)
{
	store_fixture_t f;
	int64_t asked_at;

	start(&f);
	store_fixture_put_stream(
		&f, stream_releases_key(STREAM, STREAM_RELEASES_BEGUN),
		RELEASE);
	asked_at = now_us();
	assert_answer(&f, STREAM, RELEASE);
	ck_assert_int_lt(now_us() - asked_at, SETTLE_US);
	store_fixture_finish(&f);
}
END_TEST

/*
 * Guards against streams joined from two releases: a daemon that had not heard of
 * the second one asked a recorder that had just started, which knew nothing yet.
 */
START_TEST(a_new_recorder_reads_the_store_before_it_knows_nothing)
{
	store_fixture_t f;

	start(&f);
	store_fixture_put_stream(
		&f, stream_releases_key(STREAM, STREAM_RELEASES_BEGUN),
		RELEASE);
	store_fixture_restart(&f);
	post_ask(&f, STREAM, true);
	ck_assert(store_fixture_await(&f, &f.stream_answers, 1));
	ck_assert_uint_eq(f.last_stream.release, RELEASE);
	store_fixture_finish(&f);
}
END_TEST

/*
 * Guards against streams joined from two releases: a daemon that had stood still
 * while the second one joined took a recorder that had just started, and couldn't
 * read the store, at its word that nobody knows the stream.
 */
START_TEST(a_recorder_that_knows_of_another_release_confirms_none)
{
	uint64_t first = release_history_hash("s", "v1");
	store_fixture_t f;

	start(&f);
	store_fixture_put_release(&f, "i-1", "v1");
	ck_assert(store_fixture_await(&f, &f.part_appends, 1));
	store_fixture_restart(&f);
	for (int i = 0; i < 10 && f.only_release != first; i++)
		store_fixture_run(&f, RUN_US);
	post_ask_beside(&f, OTHER_STREAM, first);
	ck_assert(store_fixture_await(&f, &f.stream_answers, 1));
	ck_assert_uint_eq(f.last_stream.release, 0);
	store_fixture_put_release(&f, "i-2", "v2");
	for (int i = 0; i < 10 && f.only_release; i++)
		store_fixture_run(&f, RUN_US);
	post_ask_beside(&f, STREAM, first);
	store_fixture_run(&f, INT64_C(2) * RUN_US);
	ck_assert_int_eq(f.stream_answers, 1);
	store_fixture_finish(&f);
}
END_TEST

/*
 * Guards against streams joined from two releases: the second one served and left
 * while this process stood still, and it read of both at once.
 */
START_TEST(a_release_that_came_and_left_between_two_reads_counts)
{
	store_fixture_t f;

	start(&f);
	store_fixture_put_release(&f, "i-1", "v1");
	ck_assert(store_fixture_await(&f, &f.part_appends, 1));
	store_fixture_restart(&f);
	for (int i = 0; i < 10 && !f.only_release; i++)
		store_fixture_run(&f, RUN_US);
	ck_assert_uint_eq(f.only_release, release_history_hash("s", "v1"));
	store_fixture_put_release(&f, "i-2", "v2");
	store_fixture_put(&f, STORE_RUNNERS, "i-2", g_strdup(""));
	for (int i = 0; i < 10 && f.only_release; i++)
		store_fixture_run(&f, RUN_US);
	ck_assert_uint_eq(f.only_release, 0);
	store_fixture_finish(&f);
}
END_TEST

START_TEST(all_words_on_a_stream_have_one_recorder)
{
	for (uint64_t stream = 1; stream < 1000; stream += 37)
		for (uint64_t n = 1; n <= 16; n++)
			ck_assert_uint_eq(stream_releases_key(~stream, 2) % n,
					  ~stream % n);
	ck_assert_uint_ne(stream_releases_key(STREAM, 1),
			  stream_releases_key(STREAM, 2));
	ck_assert_uint_eq(stream_releases_key(STREAM, 0), STREAM);
}
END_TEST

/*
 * Guards against take-ups that are refused while daemons of two builds run side
 * by side: the recorder looks for a key under which the other build notes nothing.
 */
START_TEST(words_on_a_stream_keep_the_keys_that_the_build_before_reads)
{
	ck_assert_uint_eq(STREAM_RELEASES_BEGUN, 3);
	ck_assert_uint_eq(stream_releases_key(STREAM, 0), STREAM);
	ck_assert_uint_eq(stream_releases_key(STREAM, 1), 0x6757566a7e88daec);
	ck_assert_uint_eq(stream_releases_key(STREAM, STREAM_RELEASES_BEGUN),
			  0x3a76c1e337c404ac);
}
END_TEST

SUITE_MAIN("stream_recorder", all_words_on_a_stream_have_one_recorder,
	   words_on_a_stream_keep_the_keys_that_the_build_before_reads,
	   a_note_of_one_send_is_no_answer_until_the_store_was_read,
	   the_release_that_began_a_stream_is_told_at_once,
	   a_new_recorder_reads_the_store_before_it_knows_nothing,
	   a_recorder_that_knows_of_another_release_confirms_none,
	   a_release_that_came_and_left_between_two_reads_counts,
	   the_last_send_counts_in_whatever_order_it_is_written,
	   a_later_word_in_the_store_replaces_an_earlier_one,
	   a_recorder_answers_from_memory, streams_outlive_a_restart_of_all,
	   streams_that_the_store_refuses_are_written_later,
	   streams_are_written_again_to_a_restored_store,
	   a_new_process_knows_of_releases_that_have_left,
	   a_new_process_knows_of_a_release_that_is_the_only_one)
