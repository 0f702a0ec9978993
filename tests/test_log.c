/* Lines that a daemon writes to its log. */
#include <string.h>
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

SUITE_MAIN("log", a_text_stays_within_its_line)
