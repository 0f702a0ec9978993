/* papayactl route: asks on at the dispatcher's daemon, and prints both. */
#include <stdlib.h>
#include <string.h>

#include "ctl/ctl.h"
#include "tests/lib_fake_http.h"
#include "tests/lib_suite.h"

typedef struct scene {
	struct event_base *base;
	fake_http_t asked, dispatcher;
	int status; /* of the dispatcher's daemon */
	char *path; /* of the last request to it */
	char *question; /* body of the same */
	char *out, *err;
	size_t out_len, err_len;
} scene_t;

static void on_asked(void *ctx, const fake_request_t *request,
		     fake_reply_t *reply)
{
	scene_t *s = ctx;
	g_autofree char *json = g_strdup_printf(
		"{\"route\":\"r\",\"config\":7,\"team\":\"t\",\"rank\":\"17\","
		"\"services\":2,\"limit\":50.0,\"cost\":3,\"reserved\":0.2,"
		"\"dispatcher\":\"model#1/2\",\"zone\":\"z\",\"on\":\"d2\","
		"\"admin_address\":\"%s\",\"prompt_tokens\":10,"
		"\"output_tokens\":20,\"deadline_ms\":900}",
		s->dispatcher.address);

	fake_reply_json(reply, 200, json);
}

static void on_dispatcher(void *ctx, const fake_request_t *request,
			  fake_reply_t *reply)
{
	scene_t *s = ctx;

	g_free(s->path);
	g_free(s->question);
	s->path = g_strdup(request->path);
	s->question = g_strndup(request->body.ptr, request->body.len);
	fake_reply_json(
		reply, s->status,
		"{\"explanation\":{\"outcome\":\"refused\",\"reason\":\"the "
		"queue is full\",\"wait_ms\":400,\"queued\":9,\"running\":5,"
		"\"runners_known\":40,\"runners\":[{\"name\":\"i-1\","
		"\"verdict\":\"full\",\"start_ms\":30,\"end_ms\":80,"
		"\"running\":5,\"in_flight\":900,\"window\":1000.0,"
		"\"reported\":6.0,\"report_age_ms\":12,\"cached_tokens\":8,"
		"\"rate\":0.0}]}}");
}

static void begin(scene_t *s)
{
	memset(s, 0, sizeof(*s));
	s->status = 200;
	s->base = event_base_new();
	fake_http_init(&s->asked, s->base, on_asked, s);
	fake_http_init(&s->dispatcher, s->base, on_dispatcher, s);
}

static void end(scene_t *s)
{
	fake_http_finish(&s->asked);
	fake_http_finish(&s->dispatcher);
	event_base_loop(s->base, EVLOOP_NONBLOCK);
	event_base_free(s->base);
	g_free(s->path);
	g_free(s->question);
	free(s->out);
	free(s->err);
}

static int64_t clock_ms(void)
{
	return g_get_monotonic_time() / 1000;
}

static int run(scene_t *s)
{
	char *argv[] = { "papayactl", "route",	"--admin", s->asked.address,
			 "--token",   "secret", "-H",	   "Host: h",
			 "/model/x" };
	ctl_t ctl = { s->base, NULL, NULL, clock_ms };
	int code;

	ctl.out = open_memstream(&s->out, &s->out_len);
	ctl.err = open_memstream(&s->err, &s->err_len);
	code = ctl_run(&ctl, G_N_ELEMENTS(argv), argv);
	fclose(ctl.out);
	fclose(ctl.err);
	return code;
}

START_TEST(the_dispatchers_daemon_is_asked_for_the_runners)
{
	static const char *const wanted[] = {
		"route r, configuration 7, team t, rank 17",
		"split among 2 services",
		"50 units a second; this costs 3",
		"dispatcher model#1/2 of zone z on d2",
		"refused with 503: the queue is full, come back in about",
		"400 ms; 9 wait there",
		"40 runners known, 1 shown",
		"i-1",
	};
	scene_t s;

	begin(&s);
	ck_assert_int_eq(run(&s), CTL_OK);
	for (size_t i = 0; i < G_N_ELEMENTS(wanted); i++)
		ck_assert_msg(strstr(s.out, wanted[i]) != NULL, "%s: %s",
			      wanted[i], s.out);
	ck_assert_str_eq(s.path, "/admin/route?group=model%231%2F2");
	ck_assert_str_eq(s.question, "POST /model/x HTTP/1.1\r\nHost: h\r\n"
				     "Content-Length: 0\r\n\r\n");
	end(&s);
}
END_TEST

START_TEST(a_dispatchers_daemon_that_does_not_answer_is_an_error)
{
	scene_t s;

	begin(&s);
	s.status = 401;
	ck_assert_int_eq(run(&s), CTL_ERROR);
	ck_assert_ptr_nonnull(strstr(s.out, "dispatcher model#1/2"));
	ck_assert_ptr_nonnull(strstr(s.err, "status 401"));
	end(&s);
}
END_TEST

SUITE_MAIN("ctl_route", the_dispatchers_daemon_is_asked_for_the_runners,
	   a_dispatchers_daemon_that_does_not_answer_is_an_error)
