#include <glib.h>

#include "platform/platform_client.h"
#include "tests/lib_fake_http.h"
#include "tests/lib_suite.h"

enum { TIMEOUT_MS = 200 };

#define HEAD(n) "HTTP/1.1 200 OK\r\nContent-Length: " #n "\r\n\r\n"

typedef struct fixture {
	struct event_base *base;
	fake_http_t fake;
	platform_client_t client;
	/* What the fake answers: raw bytes, or a JSON body. */
	const char *raw;
	const char *json;
	int status;
	fake_end_t end;
	char path[128];
	char body[128];
	/* What the callback received. */
	int calls;
	err_code_t code;
	uint64_t offset, oldest, next;
	size_t n, n_runners;
	char data[64];
	member_vm_t vm;
	vm_list_runner_t runner;
	bool finishes_client;
} fixture_t;

static void handle(void *ctx, const fake_request_t *request,
		   fake_reply_t *reply)
{
	fixture_t *f = ctx;

	g_strlcpy(f->path, request->path, sizeof(f->path));
	g_strlcpy(f->body, request->body.ptr, sizeof(f->body));
	if (f->raw)
		g_string_assign(reply->bytes, f->raw);
	else
		fake_reply_json(reply, f->status ? f->status : 200, f->json);
	reply->end = f->end;
}

static void setup(fixture_t *f)
{
	platform_client_config_t config = { .timeout_ms = TIMEOUT_MS,
					    .max_pending = 2 };

	memset(f, 0, sizeof(*f));
	f->base = event_base_new();
	fake_http_init(&f->fake, f->base, handle, f);
	config.address = f->fake.address;
	platform_client_init(&f->client, f->base, &config);
}

static void teardown(fixture_t *f)
{
	platform_client_finish(&f->client);
	fake_http_finish(&f->fake);
	event_base_free(f->base);
}

static void on_result(fixture_t *f, const err_t *err)
{
	f->calls++;
	f->code = err ? err->code : ERR_NONE;
	if (f->finishes_client)
		platform_client_finish(&f->client);
	event_base_loopbreak(f->base);
}

static void on_append(void *ctx, uint64_t offset, const err_t *err)
{
	fixture_t *f = ctx;

	f->offset = offset;
	on_result(f, err);
}

static void on_read(void *ctx, const platform_record_t *records, size_t n,
		    uint64_t oldest, uint64_t next, const err_t *err)
{
	fixture_t *f = ctx;

	f->n = n;
	f->oldest = oldest;
	f->next = next;
	if (n)
		str_copy(f->data, sizeof(f->data), records[n - 1].data);
	on_result(f, err);
}

static void on_vms(void *ctx, const member_vm_t *entries, size_t n,
		   const vm_list_runner_t *runners, size_t n_runners,
		   const err_t *err)
{
	fixture_t *f = ctx;

	f->n = n;
	f->n_runners = n_runners;
	if (n)
		f->vm = entries[0];
	if (n_runners)
		f->runner = runners[0];
	on_result(f, err);
}

static void append(fixture_t *f)
{
	ck_assert(platform_client_append(&f->client, "config", STR_LIT("hello"),
					 on_append, f, NULL));
	event_base_dispatch(f->base);
}

static void read_log(fixture_t *f, uint32_t limit)
{
	ck_assert(platform_client_read(&f->client, "config", 5, limit, on_read,
				       f, NULL));
	event_base_dispatch(f->base);
}

START_TEST(appends_and_reads)
{
	fixture_t f;

	setup(&f);
	f.json = "{\"offset\":17}";
	append(&f);
	ck_assert_uint_eq(f.offset, 17);
	ck_assert_str_eq(f.path, "/v1/logs/config/records");
	ck_assert_str_eq(f.body, "hello");
	f.json = "{\"oldest\":3,\"next\":9,\"records\":["
		 "{\"offset\":5,\"time_ms\":4,\"data\":\"a\\u0000b\"},"
		 "{\"offset\":8,\"time_ms\":4,\"data\":\"c\"}]}";
	read_log(&f, 10);
	ck_assert_str_eq(f.path, "/v1/logs/config/records?from=5&limit=10");
	ck_assert_int_eq(f.code, ERR_NONE);
	ck_assert_uint_eq(f.n, 2);
	ck_assert_uint_eq(f.oldest, 3);
	ck_assert_uint_eq(f.next, 9);
	ck_assert_str_eq(f.data, "c");
	teardown(&f);
}
END_TEST

START_TEST(an_append_fault_states_whether_it_may_have_taken_effect)
{
	static const struct {
		const char *name;
		const char *raw;
		const char *json;
		int status;
		fake_end_t end;
		err_code_t code;
		bool is_unknown;
	} cases[] = {
		{ "rate", NULL, "{}", 429, 0, ERR_REFUSED, false },
		{ "outage", NULL, "{}", 503, 0, ERR_UNAVAILABLE, false },
		{ "bad request", NULL, "{}", 400, 0, ERR_REFUSED, false },
		{ "error", NULL, "{}", 500, 0, ERR_CLOSED, true },
		{ "gateway", NULL, "{}", 504, 0, ERR_CLOSED, true },
		{ "garbage", NULL, "{\"offset\":", 200, 0, ERR_CLOSED, true },
		{ "type", NULL, "{\"offset\":\"1\"}", 200, 0, ERR_CLOSED,
		  true },
		{ "cut body", HEAD(20) "{\"offset\":1", NULL, 0, 0, ERR_CLOSED,
		  true },
		{ "closed at once", "", NULL, 0, 0, ERR_CLOSED, true },
		{ "answer lost", "", NULL, 0, FAKE_HOLD, ERR_TIMEOUT, true },
		{ "stuck in the body", HEAD(20) "{", NULL, 0, FAKE_HOLD,
		  ERR_TIMEOUT, true },
		{ "drips for ever", HEAD(3000) "{ ", NULL, 0, FAKE_DRIP,
		  ERR_TIMEOUT, true },
		{ "oversize", HEAD(100000) "{", NULL, 0, FAKE_HOLD, ERR_CLOSED,
		  true },
		{ "bad head", "nonsense\r\n\r\n", NULL, 0, 0, ERR_CLOSED,
		  true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		fixture_t f;
		err_t err = { .code = cases[i].code };

		setup(&f);
		f.raw = cases[i].raw;
		f.json = cases[i].json;
		f.status = cases[i].status;
		f.end = cases[i].end;
		append(&f);
		ck_assert_msg(f.code == cases[i].code, "%s: %s", cases[i].name,
			      err_code_name(f.code));
		ck_assert(platform_append_is_unknown(&err) ==
			  cases[i].is_unknown);
		/* An append is never sent a second time. */
		ck_assert_int_eq(f.fake.requests, 1);
		ck_assert_int_eq(f.calls, 1);
		teardown(&f);
	}
}
END_TEST

START_TEST(a_refused_connection_took_no_effect)
{
	fixture_t f;
	err_t err;

	setup(&f);
	fake_http_finish(&f.fake);
	append(&f);
	err.code = f.code;
	ck_assert_int_eq(f.code, ERR_REFUSED);
	ck_assert(!platform_append_is_unknown(&err));
	teardown(&f);
}
END_TEST

START_TEST(a_read_fault_gives_an_error_and_no_records)
{
	static const struct {
		const char *raw;
		const char *json;
		int status;
		err_code_t code;
	} cases[] = {
		{ NULL, "{}", 503, ERR_UNAVAILABLE },
		{ NULL, "{}", 429, ERR_REFUSED },
		{ NULL, "{}", 200, ERR_INVALID },
		{ NULL, "[]", 200, ERR_INVALID },
		{ NULL, "{\"oldest\":0,\"next\":1", 200, ERR_INVALID },
		{ NULL, "{\"oldest\":0,\"next\":9,\"records\":1}", 200,
		  ERR_INVALID },
		{ NULL, "{\"oldest\":0,\"next\":9,\"records\":[{}]}", 200,
		  ERR_INVALID },
		/*
		 * Offsets before the requested one, past the end, not
		 * increasing.
		 */
		{ NULL,
		  "{\"oldest\":0,\"next\":9,\"records\":[{\"offset\":4,"
		  "\"data\":\"\"}]}",
		  200, ERR_INVALID },
		{ NULL,
		  "{\"oldest\":0,\"next\":9,\"records\":[{\"offset\":9,"
		  "\"data\":\"\"}]}",
		  200, ERR_INVALID },
		{ NULL,
		  "{\"oldest\":0,\"next\":9,\"records\":[{\"offset\":6,"
		  "\"data\":\"\"},{\"offset\":6,\"data\":\"\"}]}",
		  200, ERR_INVALID },
		{ HEAD(90) "{\"oldest\":0", NULL, 0, ERR_CLOSED },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		fixture_t f;

		setup(&f);
		f.raw = cases[i].raw;
		f.json = cases[i].json;
		f.status = cases[i].status;
		read_log(&f, 10);
		ck_assert_msg(f.code == cases[i].code, "case %zu: %s", i,
			      err_code_name(f.code));
		ck_assert_uint_eq(f.n, 0);
		teardown(&f);
	}
}
END_TEST

START_TEST(a_page_too_long_is_read_one_record_at_a_time)
{
	fixture_t f;

	setup(&f);
	f.raw = HEAD(99000000) "{";
	f.end = FAKE_HOLD;
	read_log(&f, 50);
	ck_assert_int_eq(f.fake.requests, 2);
	ck_assert_str_eq(f.path, "/v1/logs/config/records?from=5&limit=1");
	ck_assert_int_eq(f.code, ERR_LIMIT);
	ck_assert_int_eq(f.calls, 1);
	teardown(&f);
}
END_TEST

#define ENTRY(name, state, address)                                        \
	"{\"name\":\"" name                                                \
	"\",\"kind\":\"entry\",\"zone\":\"z\",\"state\":\"" state          \
	"\",\"address\":\"" address "\",\"peer_address\":\"127.0.0.1:2\"," \
	"\"admin_address\":\"127.0.0.1:3\"}"

START_TEST(reads_the_vm_list_and_leaves_out_malformed_entries)
{
	fixture_t f;

	setup(&f);
	f.json = "{\"as_of_ms\":1,\"vms\":[" ENTRY("a", "leaving", "127.0.0.1:1") "," ENTRY(
		"b", "gone",
		"127.0.0.1:1") "," ENTRY("c", "live",
					 "127.0.0.1") ",7,{\"kind\":\"other\"},"
						      "{\"name\":\"e\",\"kind\":\"runner\",\"zone\":\"z\","
						      "\"state\":\"live\",\"address\":\"127.0.0.1:9\",\"service\":"
						      "\"s\",\"generation\":2,\"fencing\":true}]}";
	ck_assert(platform_client_list_vms(&f.client, on_vms, &f, NULL));
	event_base_dispatch(f.base);
	ck_assert_int_eq(f.code, ERR_NONE);
	ck_assert_uint_eq(f.n, 1);
	ck_assert_str_eq(f.vm.name, "a");
	ck_assert(f.vm.is_leaving);
	ck_assert_str_eq(f.vm.admin_address, "127.0.0.1:3");
	ck_assert_uint_eq(f.n_runners, 1);
	ck_assert_str_eq(f.runner.service, "s");
	ck_assert_uint_eq(f.runner.runner.generation, 2);
	ck_assert(f.runner.has_fencing);
	teardown(&f);
}
END_TEST

START_TEST(exchanges_in_progress_are_bounded_and_dropped_at_finish)
{
	fixture_t f;
	err_t err;

	setup(&f);
	f.raw = "";
	f.end = FAKE_HOLD;
	for (int i = 0; i < 2; i++)
		ck_assert(platform_client_append(&f.client, "l", STR_LIT("x"),
						 on_append, &f, &err));
	ck_assert(!platform_client_append(&f.client, "l", STR_LIT("x"),
					  on_append, &f, &err));
	ck_assert_int_eq(err.code, ERR_LIMIT);
	event_base_loop(f.base, EVLOOP_ONCE);
	platform_client_finish(&f.client);
	event_base_loop(f.base, EVLOOP_NONBLOCK);
	ck_assert_int_eq(f.calls, 0);
	teardown(&f);
}
END_TEST

START_TEST(a_callback_may_finish_the_client)
{
	fixture_t f;

	setup(&f);
	f.json = "{\"offset\":17}";
	f.finishes_client = true;
	append(&f);
	ck_assert_int_eq(f.calls, 1);
	teardown(&f);
}
END_TEST

SUITE_MAIN("platform_client", appends_and_reads,
	   an_append_fault_states_whether_it_may_have_taken_effect,
	   a_refused_connection_took_no_effect,
	   a_read_fault_gives_an_error_and_no_records,
	   a_page_too_long_is_read_one_record_at_a_time,
	   reads_the_vm_list_and_leaves_out_malformed_entries,
	   exchanges_in_progress_are_bounded_and_dropped_at_finish,
	   a_callback_may_finish_the_client)
