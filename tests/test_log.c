/* Lines that a daemon writes to its log. */
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define LOG_PART "test"

#include "common/log.h"
#include "tests/lib_suite.h"

/* Guards against a line forged by a text that another writer chose. */
START_TEST(a_text_stays_within_its_line)
{
	struct event_base *base = event_base_new();
	char buf[1024] = "";
	int fds[2];

	log_init("info");
	ck_assert_int_eq(pipe(fds), 0);
	log_attach(base, fds[1]);
	log_event("odd", "key=%s",
		  "a\ntime=1 part=relay event=answered\r\x1b\x7f");
	log_detach();
	ck_assert_int_gt(read(fds[0], buf, sizeof(buf) - 1), 0);
	ck_assert_ptr_nonnull(
		strstr(buf, "key=a?time=1 part=relay event=answered???\n"));
	ck_assert_ptr_eq(strchr(buf, '\n'), buf + strlen(buf) - 1);
	close(fds[0]);
	close(fds[1]);
	event_base_free(base);
}
END_TEST

enum {
	WRITERS = 2,
	LINES = 2000, /* by each writer; less than the burst of their class */
	MAX_PADDING = 700, /* bytes */
	READ_SIZE = 1000, /* bytes taken at a time by the slow reader */
	READ_PAUSE_US = 200,
	WRITE_PAUSE_US = 1000,
};

/* A process that logs lines of all lengths, as fast as they are taken. */
static void write_lines(int fd, int writer)
{
	struct event_base *base = event_base_new();
	char padding[MAX_PADDING + 1];

	log_attach(base, fd);
	memset(padding, 'a' + writer, MAX_PADDING);
	padding[MAX_PADDING] = '\0';
	for (int i = 0; i < LINES; i++) {
		log_event("many", "n=%d padding=%s end=1", i,
			  padding + i % MAX_PADDING);
		if (i % 50)
			continue;
		event_base_loop(base, EVLOOP_NONBLOCK);
		usleep(WRITE_PAUSE_US);
	}
	log_detach();
	event_base_free(base);
}

static pid_t start_writer(const int *fds, int writer)
{
	pid_t pid = fork();

	ck_assert_int_ge(pid, 0);
	if (pid)
		return pid;
	close(fds[0]);
	write_lines(fds[1], writer);
	_exit(0);
}

static GString *read_slowly(int fd)
{
	GString *text = g_string_new(NULL);
	char buf[READ_SIZE];
	ssize_t n;

	while ((n = read(fd, buf, sizeof(buf))) > 0) {
		g_string_append_len(text, buf, n);
		usleep(READ_PAUSE_US);
	}
	return text;
}

/*
 * The pipe is full most of the time: a line that doesn't fit any more must not
 * be cut by one of the other process.
 */
START_TEST(lines_of_two_processes_stay_whole_at_a_slow_reader)
{
	g_auto(GStrv) lines = NULL;
	pid_t pids[WRITERS];
	GString *text;
	int fds[2], n = 0;

	log_init("info");
	ck_assert_int_eq(pipe(fds), 0);
	for (int i = 0; i < WRITERS; i++)
		pids[i] = start_writer(fds, i);
	close(fds[1]);
	text = read_slowly(fds[0]);
	for (int i = 0; i < WRITERS; i++) {
		int status = -1;

		ck_assert_int_eq(waitpid(pids[i], &status, 0), pids[i]);
		ck_assert_int_eq(status, 0);
	}
	ck_assert(g_str_has_suffix(text->str, "\n"));
	lines = g_strsplit(text->str, "\n", -1);
	for (; lines[n][0]; n++) {
		ck_assert_msg(g_str_has_prefix(lines[n], "time="), "%s",
			      lines[n]);
		ck_assert_ptr_null(strstr(lines[n] + 1, "time="));
		ck_assert_msg(g_str_has_suffix(lines[n], " end=1") ||
				      strstr(lines[n], "event=lines-dropped"),
			      "%s", lines[n]);
	}
	ck_assert_int_gt(n, LINES / 20);
	g_string_free(text, TRUE);
	close(fds[0]);
}
END_TEST

SUITE_MAIN("log", a_text_stays_within_its_line,
	   lines_of_two_processes_stay_whole_at_a_slow_reader)
