#include "platform/call_head.h"
#include "tests/lib_suite.h"

typedef struct parsed {
	http1_reader_t reader;
} parsed_t;

static bool accept_head(void *ctx, const http1_head_t *head)
{
	return true;
}

static bool accept_body(void *ctx, str_t bytes)
{
	return true;
}

static const http1_head_t *parse(parsed_t *p, http1_kind_t kind,
				 const char *text)
{
	static const http1_ops_t ops = { accept_head, accept_body };
	size_t taken;

	http1_reader_init(&p->reader, kind, 8192, &ops, p);
	http1_reader_feed(&p->reader, str_from(text), &taken);
	ck_assert(p->reader.has_head);
	return &p->reader.head;
}

/* Returns the text in BUF and frees BUF. */
static char *take_text(struct evbuffer *buf)
{
	size_t n = evbuffer_get_length(buf);
	char *text = g_strndup((char *)evbuffer_pullup(buf, -1), n);

	evbuffer_free(buf);
	return text;
}

#define REQUEST                                                           \
	"POST /p/q?x=1 HTTP/1.1\r\nHost: h:80\r\nX-Attempt-Id: 9c41\r\n"  \
	"X-Token-Usage: 1460,80\r\nX-Prefix-Hash: 5c:800,91:410,e4:2\r\n" \
	"X-Deadline-Ms: 15000\r\nX-Key: secret\r\nX-Tenant: other\r\n"    \
	"X-Hold: 1\r\nX-Pin-Ms: 4\r\nX-Kv-Backup: a\r\nKv-From: b\r\n"    \
	"X-Expect-Instance: i\r\nLast-Event-Id: 12\r\n"                   \
	"Connection: X-Mine\r\nX-Mine: 1\r\nX-Other: kept\r\n"            \
	"Content-Length: 0\r\n\r\n"

START_TEST(a_request_head_is_decoded)
{
	parsed_t p;
	call_head_t call;

	ck_assert(
		call_head_read(parse(&p, HTTP1_REQUEST, REQUEST), &call, NULL));
	ck_assert(str_eq(call.path, STR_LIT("/p/q")));
	ck_assert(str_eq(call.attempt_id, STR_LIT("9c41")));
	ck_assert(str_eq(call.api_key, STR_LIT("secret")));
	ck_assert(str_eq(call.last_event_id, STR_LIT("12")));
	ck_assert_int_eq(call.timeout_ms, 15000);
	ck_assert(call.has_tokens);
	ck_assert_uint_eq(call.prompt_tokens, 1460);
	ck_assert_uint_eq(call.max_output_tokens, 80);
	ck_assert_uint_ne(call.prefix_hash, 0);
	/* The last part is the request's own. */
	ck_assert_uint_eq(call.parts.n, 2);
	ck_assert_uint_eq(call.parts.ids[0], 0x5c);
	ck_assert_uint_eq(call.parts.ids[1], 0x91);
	http1_reader_finish(&p.reader);
}
END_TEST

/* Decodes a request with the prompt parts PARTS. */
static call_head_t call_with_parts(const char *parts)
{
	g_autofree char *text = g_strdup_printf("POST / HTTP/1.1\r\nHost: h\r\n"
						"X-Prefix-Hash: %s\r\n\r\n",
						parts);
	call_head_t call;
	parsed_t p;

	ck_assert(call_head_read(parse(&p, HTTP1_REQUEST, text), &call, NULL));
	http1_reader_finish(&p.reader);
	return call;
}

START_TEST(parts_of_a_prompt_are_told_apart)
{
	g_autoptr(GString) many = g_string_new("1:1");
	call_head_t call = call_with_parts("zz:1,5C:2,:3,"
					   "10000000000000000:4,e:5");

	ck_assert_uint_eq(call.parts.n, 3);
	ck_assert_uint_eq(call.parts.ids[1], 0x5c);
	/* Identifiers that are no numbers of 64 bits are hashed. */
	ck_assert_uint_ne(call.parts.ids[0], call.parts.ids[2]);
	ck_assert_uint_ne(call.parts.ids[2], 0);
	ck_assert_uint_eq(call_with_parts("e:5").parts.n, 0);
	ck_assert_uint_eq(call_with_parts("").parts.n, 0);
	ck_assert_uint_eq(call_with_parts(",,").parts.n, 0);
	for (int i = 0; i < PROMPT_MAX_PARTS * 2; i++)
		g_string_append(many, ",2:2");
	ck_assert_uint_eq(call_with_parts(many->str).parts.n, PROMPT_MAX_PARTS);
}
END_TEST

/* Returns REQUEST's head as it is forwarded to a runner. */
static char *forwarded_head(const forward_params_t *terms)
{
	struct evbuffer *out = evbuffer_new();
	const http1_head_t *head;
	call_head_t call;
	parsed_t p;

	head = parse(&p, HTTP1_REQUEST, REQUEST);
	ck_assert(call_head_read(head, &call, NULL));
	call_head_write(out, head, &call, terms, 0);
	http1_reader_finish(&p.reader);
	return take_text(out);
}

START_TEST(headers_set_by_the_gateway_are_not_taken_from_callers)
{
	static const char *const dropped[] = { "secret",      "other",
					       "X-Hold",      "X-Pin",
					       "X-Kv-Backup", "Kv-From",
					       "X-Mine",      "Instance: i\r" };
	static const char *const expected[] = {
		"POST /p/q?x=1 HTTP/1.1\r\n",
		"X-Attempt-Id: 9c41\r\n",
		"X-Tenant: team\r\n",
		"X-Expect-Instance: r1\r\n",
		"X-Deadline-Ms: 900\r\n",
		"X-Other: kept\r\n",
		"Host: h:80\r\n",
		"X-Token-Usage: 1460,80\r\n",
		"Last-Event-Id: 12\r\n",
		"Content-Length: 0\r\n\r\n",
	};
	forward_params_t terms = { .team = "team",
				   .runner = "r1",
				   .remaining_ms = 900 };
	g_autofree char *text = forwarded_head(&terms);

	for (size_t i = 0; i < G_N_ELEMENTS(dropped); i++)
		ck_assert_msg(!strstr(text, dropped[i]), "forwarded: %s",
			      dropped[i]);
	for (size_t i = 0; i < G_N_ELEMENTS(expected); i++)
		ck_assert_msg(strstr(text, expected[i]) != NULL, "missing: %s",
			      expected[i]);
}
END_TEST

START_TEST(a_resumed_stream_names_the_last_event_forwarded)
{
	forward_params_t terms = { .runner = "r1",
				   .remaining_ms = 0,
				   .has_resume = true,
				   .resume_after = STR_LIT("31") };
	g_autofree char *text = forwarded_head(&terms);

	ck_assert_ptr_nonnull(strstr(text, "Last-Event-Id: 31\r\n"));
	ck_assert_ptr_null(strstr(text, "Last-Event-Id: 12"));
	ck_assert_ptr_nonnull(strstr(text, "X-Deadline-Ms: 1\r\n"));
	ck_assert_ptr_null(strstr(text, "X-Tenant"));
}
END_TEST

START_TEST(requests_with_invalid_headers_are_refused)
{
	static const char *const lines[] = {
		"",
		"Host: a\r\nHost: b\r\n",
		"Host: a\r\nX-Key: 1\r\nX-Key: 2\r\n",
		"Host: a\r\nX-Deadline-Ms: soon\r\n",
		"Host: a\r\nX-Token-Usage: 5\r\n",
		"Host: a\r\nX-Token-Usage: 5,x\r\n",
		"Host: a\r\nX-Token-Usage: 99999999999,1\r\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(lines); i++) {
		g_autofree char *text = g_strconcat("GET / HTTP/1.1\r\n",
						    lines[i], "\r\n", NULL);
		call_head_t call;
		err_t err = { 0 };
		parsed_t p;

		ck_assert_msg(!call_head_read(parse(&p, HTTP1_REQUEST, text),
					      &call, &err),
			      "accepted: %s", lines[i]);
		ck_assert_int_eq(err.code, ERR_INVALID);
		http1_reader_finish(&p.reader);
	}
}
END_TEST

START_TEST(an_answers_origin_and_flags_are_read)
{
	static const struct {
		const char *text;
		bool is_named, is_ours, is_sealed, is_not_run, is_encoded;
	} cases[] = {
		{ "200 OK\r\nX-Attempt-Id: 9c\r\nX-Server-Seal: s\r\n", true,
		  true, true, false, false },
		{ "200 OK\r\nX-Attempt-Id: other\r\nX-Server-Seal: s\r\n", true,
		  false, true, false, false },
		{ "200 OK\r\nX-Server-Seal: s\r\n", false, false, true, false,
		  false },
		{ "503 Full\r\nX-Not-Executed: 1\r\n", false, false, false,
		  true, false },
		{ "503 Full\r\nX-Attempt-Id: 9c\r\nX-Not-Executed: 1\r\n", true,
		  true, false, true, false },
		{ "421 Other\r\nX-Instance-Id: i\r\n", false, false, false,
		  true, false },
		{ "200 OK\r\nX-Attempt-Id: 9c\r\nX-Server-Seal: s\r\n"
		  "Content-Encoding: gzip\r\n",
		  true, true, true, false, true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *text =
			g_strconcat("HTTP/1.1 ", cases[i].text,
				    "Content-Length: 0\r\n\r\n", NULL);
		answer_head_t a;
		parsed_t p;

		answer_head_read(parse(&p, HTTP1_RESPONSE, text), STR_LIT("9c"),
				 &a);
		ck_assert_msg(a.names_attempt == cases[i].is_named &&
				      a.matches_attempt == cases[i].is_ours &&
				      a.is_sealed == cases[i].is_sealed &&
				      a.is_not_run == cases[i].is_not_run &&
				      a.is_encoded == cases[i].is_encoded,
			      "case %zu", i);
		http1_reader_finish(&p.reader);
	}
}
END_TEST

START_TEST(notices_of_leaving_and_pauses_are_read)
{
	static const struct {
		const char *text;
		bool is_leaving;
		int64_t pause_ms;
	} cases[] = {
		{ "200 OK\r\nServer-Leaving: 1\r\n", true, 0 },
		{ "500 Error\r\nserver-leaving: 1\r\n", true, 0 },
		{ "200 OK\r\nServer-Leaving: 0\r\n", false, 0 },
		{ "200 OK\r\n", false, 0 },
		{ "503 Full\r\nRetry-After: 3\r\n", false, 3000 },
		{ "503 Full\r\nRetry-After: 0.25\r\n", false, 250 },
		{ "503 Full\r\nRetry-After: 1.9999\r\n", false, 2000 },
		{ "503 Full\r\nRetry-After: 0\r\n", false, 0 },
		{ "503 Full\r\nRetry-After: 31536000\r\n", false,
		  INT64_C(31536000000) },
		{ "503 Full\r\nRetry-After: -1\r\n", false,
		  ANSWER_PAUSE_UNREADABLE },
		{ "503 Full\r\nRetry-After: soon\r\n", false,
		  ANSWER_PAUSE_UNREADABLE },
		{ "503 Full\r\nRetry-After: 1.x\r\n", false,
		  ANSWER_PAUSE_UNREADABLE },
		{ "503 Full\r\nRetry-After: Fri, 04 Dec 2026 10:00:00 GMT"
		  "\r\n",
		  false, ANSWER_PAUSE_UNREADABLE },
		{ "503 Full\r\nRetry-After: 2\r\nServer-Leaving: 1\r\n", true,
		  2000 },
		{ "429 Many\r\nRetry-After: 3\r\n", false, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *text =
			g_strconcat("HTTP/1.1 ", cases[i].text,
				    "Content-Length: 0\r\n\r\n", NULL);
		answer_head_t a;
		parsed_t p;

		answer_head_read(parse(&p, HTTP1_RESPONSE, text), STR_LIT("9c"),
				 &a);
		ck_assert_msg(a.is_leaving == cases[i].is_leaving &&
				      a.pause_ms == cases[i].pause_ms,
			      "case %zu: %d, %d ms", i, a.is_leaving,
			      (int)a.pause_ms);
		http1_reader_finish(&p.reader);
	}
}
END_TEST

START_TEST(a_rate_limit_is_read_from_an_answer)
{
	static const struct {
		const char *text;
		bool has_limit;
		double rate;
	} cases[] = {
		{ "200 OK\r\n", false, 0 },
		{ "200 OK\r\nServer-Limit: 2\r\n", true, 2 },
		{ "500 Error\r\nserver-limit: 1.3\r\n", true, 1.3 },
		{ "503 Full\r\nServer-Limit: 0\r\n", true, 0 },
		{ "200 OK\r\nServer-Limit: -1\r\n", true,
		  ANSWER_RATE_LIMIT_UNREADABLE },
		{ "200 OK\r\nServer-Limit: 1e9\r\n", true,
		  ANSWER_RATE_LIMIT_UNREADABLE },
		{ "200 OK\r\nServer-Limit: 1.2.3\r\n", true,
		  ANSWER_RATE_LIMIT_UNREADABLE },
		{ "200 OK\r\nServer-Limit: .\r\n", true,
		  ANSWER_RATE_LIMIT_UNREADABLE },
		{ "200 OK\r\nServer-Limit: \r\n", true,
		  ANSWER_RATE_LIMIT_UNREADABLE },
		{ "200 OK\r\nServer-Limit: few\r\n", true,
		  ANSWER_RATE_LIMIT_UNREADABLE },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *text =
			g_strconcat("HTTP/1.1 ", cases[i].text,
				    "Content-Length: 0\r\n\r\n", NULL);
		answer_head_t a;
		parsed_t p;

		answer_head_read(parse(&p, HTTP1_RESPONSE, text), STR_LIT("9c"),
				 &a);
		ck_assert_msg(a.has_rate_limit == cases[i].has_limit &&
				      a.rate_limit == cases[i].rate,
			      "case %zu: %d, %g", i, a.has_rate_limit,
			      a.rate_limit);
		http1_reader_finish(&p.reader);
	}
}
END_TEST

START_TEST(a_brittle_runner_says_what_it_bears)
{
	static const struct {
		const char *text;
		bool is_brittle;
		uint32_t borne;
	} cases[] = {
		{ "200 OK\r\n", false, 0 },
		{ "200 OK\r\nServer-Brittle: 12\r\n", true, 12 },
		{ "503 Full\r\nserver-brittle: 0\r\n", true, 0 },
		{ "500 Error\r\nServer-Brittle: some\r\n", true, 0 },
		{ "200 OK\r\nServer-Brittle: -3\r\n", true, 0 },
		{ "200 OK\r\nServer-Brittle: 99999999999\r\n", true,
		  UINT32_MAX },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *text =
			g_strconcat("HTTP/1.1 ", cases[i].text,
				    "Content-Length: 0\r\n\r\n", NULL);
		answer_head_t a;
		parsed_t p;

		answer_head_read(parse(&p, HTTP1_RESPONSE, text), STR_LIT("9c"),
				 &a);
		ck_assert_msg(a.is_brittle == cases[i].is_brittle &&
				      a.refusals_borne == cases[i].borne,
			      "case %zu: %d, %u", i, a.is_brittle,
			      a.refusals_borne);
		http1_reader_finish(&p.reader);
	}
}
END_TEST

START_TEST(load_is_read_from_an_answer)
{
	parsed_t p;
	answer_head_t a;

	answer_head_read(parse(&p, HTTP1_RESPONSE,
			       "HTTP/1.1 200 OK\r\nX-Server-Load: 3,10,8\r\n"
			       "Content-Length: 0\r\n\r\n"),
			 STR_LIT("9c"), &a);
	ck_assert(a.has_load);
	ck_assert_uint_eq(a.running, 3);
	ck_assert_uint_eq(a.waiting, 10);
	ck_assert_uint_eq(a.slots, 8);
	http1_reader_finish(&p.reader);
}
END_TEST

START_TEST(an_implausible_load_is_ignored)
{
	static const struct {
		const char *text;
		bool has_load;
		uint32_t pace;
	} cases[] = {
		{ "3,10,8", true, 0 },	    { "3, 10, 8, 250", true, 250 },
		{ "0,0,0,68", true, 68 },   { "3,10,8,100,7", true, 100 },
		{ "3,10", false, 0 },	    { "", false, 0 },
		{ "-3,10,8", false, 0 },    { "3,10,8,-100", false, 0 },
		{ "3,10,8,0", false, 0 },   { "3,10,8,99999", false, 0 },
		{ "3,10,8,1.5", false, 0 }, { "3;10;8", false, 0 },
		{ "3,10,8,", false, 0 },    { "3,10,99999999999", false, 0 },
		{ "few,10,8", false, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *text = g_strconcat(
			"HTTP/1.1 200 OK\r\nX-Server-Load: ", cases[i].text,
			"\r\nContent-Length: 0\r\n\r\n", NULL);
		answer_head_t a;
		parsed_t p;

		answer_head_read(parse(&p, HTTP1_RESPONSE, text), STR_LIT("9c"),
				 &a);
		ck_assert_msg(a.has_load == cases[i].has_load &&
				      a.is_load_unreadable != a.has_load &&
				      a.pace == cases[i].pace,
			      "case %zu: %d, %u", i, a.has_load, a.pace);
		http1_reader_finish(&p.reader);
	}
}
END_TEST

START_TEST(an_answer_of_the_gateway_has_retry_after)
{
	struct evbuffer *out = evbuffer_new();
	g_autofree char *text = NULL;

	answer_own_write(out, 503, STR_LIT("9c"), 1250, STR_LIT("{}"), false,
			 true);
	text = take_text(out);
	ck_assert_ptr_nonnull(strstr(text, "HTTP/1.1 503 "));
	ck_assert_ptr_nonnull(strstr(text, "Retry-After: 1.250\r\n"));
	ck_assert_ptr_nonnull(strstr(text, "X-Attempt-Id: 9c\r\n"));
	ck_assert_ptr_nonnull(strstr(text, "Connection: close\r\n"));
	ck_assert_ptr_nonnull(strstr(text, "Content-Length: 2\r\n"));
}
END_TEST

SUITE_MAIN("call_head", a_request_head_is_decoded,
	   parts_of_a_prompt_are_told_apart,
	   headers_set_by_the_gateway_are_not_taken_from_callers,
	   a_resumed_stream_names_the_last_event_forwarded,
	   requests_with_invalid_headers_are_refused,
	   an_answers_origin_and_flags_are_read,
	   notices_of_leaving_and_pauses_are_read,
	   a_rate_limit_is_read_from_an_answer,
	   a_brittle_runner_says_what_it_bears, load_is_read_from_an_answer,
	   an_implausible_load_is_ignored,
	   an_answer_of_the_gateway_has_retry_after)
