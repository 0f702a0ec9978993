#include "net/sse.h"
#include "tests/lib_suite.h"

static void append_event(void *ctx, str_t raw, str_t data)
{
	g_string_append_printf(ctx, "[%.*s]", (int)data.len, data.ptr);
}

START_TEST(events_are_found_wherever_the_input_is_split)
{
	static const char text[] = "data: one\n\n: note\n\nevent: x\r\n"
				   "data:two\r\n\r\ndata: [DONE]\n\ndata: cu";

	for (size_t cut = 0; cut < sizeof(text); cut++) {
		g_autoptr(GString) seen = g_string_new("");
		sse_t s;

		sse_init(&s, 64, append_event, seen);
		ck_assert(sse_feed(&s, (str_t){ text, cut }));
		ck_assert(sse_feed(
			&s, (str_t){ text + cut, sizeof(text) - 1 - cut }));
		ck_assert_str_eq(seen->str, "[one][][two][[DONE]]");
		sse_reset(&s);
		ck_assert(sse_feed(&s, STR_LIT("data: end\n\n")));
		ck_assert(g_str_has_suffix(seen->str, "[end]"));
		sse_finish(&s);
	}
}
END_TEST

START_TEST(an_event_over_the_limit_is_refused)
{
	g_autoptr(GString) seen = g_string_new("");
	sse_t s;

	sse_init(&s, 8, append_event, seen);
	ck_assert(sse_feed(&s, STR_LIT("data: 12")));
	ck_assert(!sse_feed(&s, STR_LIT("3")));
	sse_finish(&s);
}
END_TEST

SUITE_MAIN("sse", events_are_found_wherever_the_input_is_split,
	   an_event_over_the_limit_is_refused)
