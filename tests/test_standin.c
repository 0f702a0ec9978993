/* Checks that the stand-ins conform to docs/UPSTREAMS.md. */
#include <glib.h>
#include <glib/gstdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin/lib_answer.h"
#include "standin/lib_fetch.h"
#include "tests/lib_process.h"
#include "tests/lib_suite.h"

static const char stream_body[] =
	"{\"model\":\"m\",\"prompt\":\"call=a;draft\",\"max_tokens\":4,"
	"\"stream\":true}";
static const char whole_body[] =
	"{\"model\":\"m\",\"prompt\":\"draft call=b;\",\"max_tokens\":3}";

/* One call and its expected answer; cases run in order. */
typedef struct case_row {
	enum evhttp_cmd_type method;
	const char *path;
	const char *body;
	const char *header; /* name, or NULL */
	const char *value;
	int status; /* 0: the answer must be incomplete */
	const char *part; /* expected within the body; NULL: any */
} case_row_t;

static const char *const no_args[] = { NULL };

static void start(process_t *p, const char *name, const char *const *args)
{
	ck_assert_msg(process_start_standin(p, name, args), "%s", name);
}

static char *send_case(const process_t *p, const case_row_t *row, int *status)
{
	const http_header_t header = { row->header, row->value };
	fetch_t f = { .method = row->method,
		      .address = p->address,
		      .path = row->path,
		      .body = row->body,
		      .headers = &header,
		      .n_headers = row->header ? 1 : 0 };

	*status = fetch_run(&f) ? f.status : 0;
	return f.text;
}

static void run_cases(const process_t *p, const case_row_t *rows, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		int status;
		g_autofree char *text = send_case(p, &rows[i], &status);

		ck_assert_msg(status == rows[i].status,
			      "case %zu: status %d: %s", i, status, text);
		ck_assert_msg(!rows[i].part || strstr(text, rows[i].part),
			      "case %zu: %s", i, text);
	}
}

START_TEST(engine_serves_its_endpoints)
{
	static const case_row_t rows[] = {
		{ EVHTTP_REQ_POST, "/v1/completions", stream_body,
		  "X-Request-Id", "r1", 200, "data: [DONE]\n\n" },
		{ EVHTTP_REQ_POST, "/v1/completions", whole_body, NULL, NULL,
		  200, "\"completion_tokens\":3" },
		{ EVHTTP_REQ_POST, "/v1/completions", "{}", NULL, NULL, 400,
		  NULL },
		{ EVHTTP_REQ_POST, "/v1/completions", "{", NULL, NULL, 400,
		  NULL },
		{ EVHTTP_REQ_GET, "/v1/requests/r1/stream?from=3", NULL, NULL,
		  NULL, 200, "\"usage\"" },
		{ EVHTTP_REQ_GET, "/v1/requests/r1/stream?from=9", NULL, NULL,
		  NULL, 404, NULL },
		{ EVHTTP_REQ_GET, "/v1/requests/none/stream?from=0", NULL, NULL,
		  NULL, 404, NULL },
		{ EVHTTP_REQ_POST, "/v1/requests/r1/cancel", "", NULL, NULL,
		  200, NULL },
		{ EVHTTP_REQ_GET, "/v1/load", NULL, NULL, NULL, 200,
		  "\"state\":\"live\"" },
		{ EVHTTP_REQ_GET, "/v1/cache/events?from=0", NULL, NULL, NULL,
		  200, "\"next\"" },
		{ EVHTTP_REQ_POST, "/v1/orders",
		  "{\"order\":\"load\",\"fence\":7}", NULL, NULL, 200, NULL },
		{ EVHTTP_REQ_POST, "/v1/orders",
		  "{\"order\":\"load\",\"fence\":6}", NULL, NULL, 409, NULL },
		{ EVHTTP_REQ_POST, "/v1/orders",
		  "{\"order\":\"load\",\"fence\":7}", NULL, NULL, 200, NULL },
		{ EVHTTP_REQ_GET, "/standin/oracle", NULL, NULL, NULL, 200,
		  "\"calls\":{\"a\":1,\"b\":1}" },
		{ EVHTTP_REQ_GET, "/v1/nothing", NULL, NULL, NULL, 404, NULL },
	};
	process_t p;

	start(&p, "standin-engine", no_args);
	run_cases(&p, rows, G_N_ELEMENTS(rows));
	ck_assert_int_eq(process_stop(&p, 5000), 0);
}
END_TEST

START_TEST(engine_accepts_old_orders_without_fencing)
{
	static const char *const args[] = { "--no-fencing", NULL };
	static const case_row_t rows[] = {
		{ EVHTTP_REQ_POST, "/v1/orders",
		  "{\"order\":\"role\",\"fence\":7}", NULL, NULL, 200, NULL },
		{ EVHTTP_REQ_POST, "/v1/orders",
		  "{\"order\":\"role\",\"fence\":6}", NULL, NULL, 200, NULL },
	};
	process_t p;

	start(&p, "standin-engine", args);
	run_cases(&p, rows, G_N_ELEMENTS(rows));
	ck_assert_int_eq(process_stop(&p, 5000), 0);
}
END_TEST

START_TEST(engine_caches_prefixes_and_accounts_prompts)
{
	g_autofree char *shared = g_strnfill(1024, 'x');
	g_autofree char *body = g_strdup_printf(
		"{\"prompt\":\"%s call=c;\",\"max_tokens\":2}", shared);
	const case_row_t rows[] = {
		{ EVHTTP_REQ_POST, "/v1/completions", body, NULL, NULL, 200,
		  "\"cached_tokens\":0" },
		{ EVHTTP_REQ_POST, "/v1/completions", body, NULL, NULL, 200,
		  "\"cached_tokens\":256" },
		{ EVHTTP_REQ_GET, "/standin/oracle", NULL, NULL, NULL, 200,
		  "\"prompt_tokens\":{\"done\":260.0,\"useful\":260.0" },
	};
	static const char *const args[] = { "--cache-lag-ms", "0",
					    "--cache-gap", "0", NULL };
	static const case_row_t events[] = {
		{ EVHTTP_REQ_GET, "/v1/cache/events?from=0", NULL, NULL, NULL,
		  200, "\"next\":5" },
		{ EVHTTP_REQ_GET, "/v1/cache/events?from=5", NULL, NULL, NULL,
		  200, "\"events\":[]" },
	};
	process_t p;

	start(&p, "standin-engine", args);
	run_cases(&p, rows, G_N_ELEMENTS(rows));
	run_cases(&p, events, G_N_ELEMENTS(events));
	ck_assert_int_eq(process_stop(&p, 5000), 0);
}
END_TEST

/* Polls the oracle until its answer contains PART. */
static void await_oracle(const process_t *p, const char *part)
{
	static const case_row_t row = { .method = EVHTTP_REQ_GET,
					.path = "/standin/oracle" };

	for (int i = 0; i < 500; i++) {
		int status;
		g_autofree char *text = send_case(p, &row, &status);

		if (strstr(text, part))
			return;
		g_usleep(10000);
	}
	ck_abort_msg("the oracle never contained %s", part);
}

START_TEST(engine_cancels_when_the_caller_closes)
{
	static const char *const args[] = { "--decode", "1", NULL };
	process_t p;
	fetch_t f = { .method = EVHTTP_REQ_POST,
		      .path = "/v1/completions",
		      .body = stream_body,
		      .timeout_ms = 100 };

	start(&p, "standin-engine", args);
	f.address = p.address;
	ck_assert(!fetch_run(&f));
	g_free(f.text);
	await_oracle(&p, "\"cancelled\":1");
	await_oracle(&p, "\"wasted_cancelled\":3.0");
	ck_assert_int_eq(process_stop(&p, 5000), 0);
}
END_TEST

START_TEST(engine_applies_fault_switches)
{
	static const case_row_t rows[] = {
		{ EVHTTP_REQ_POST, "/standin/faults", "{\"status\":503}", NULL,
		  NULL, 200, NULL },
		{ EVHTTP_REQ_POST, "/v1/completions", stream_body, NULL, NULL,
		  503, NULL },
		{ EVHTTP_REQ_POST, "/standin/faults",
		  "{\"status\":0,\"cut_after\":1}", NULL, NULL, 200, NULL },
		{ EVHTTP_REQ_POST, "/v1/completions", stream_body, NULL, NULL,
		  0, NULL },
		{ EVHTTP_REQ_POST, "/v1/completions", whole_body, NULL, NULL, 0,
		  NULL },
		{ EVHTTP_REQ_POST, "/standin/faults",
		  "{\"cut_after\":0,\"delay_ms\":30}", NULL, NULL, 200, NULL },
		{ EVHTTP_REQ_POST, "/v1/completions", stream_body, NULL, NULL,
		  200, "[DONE]" },
		{ EVHTTP_REQ_POST, "/v1/completions", whole_body, NULL, NULL,
		  200, NULL },
		{ EVHTTP_REQ_POST, "/standin/faults",
		  "{\"delay_ms\":0,\"silence\":true,\"kill\":true}", NULL, NULL,
		  200, NULL },
		{ EVHTTP_REQ_POST, "/v1/completions", whole_body, NULL, NULL,
		  200, NULL },
		{ EVHTTP_REQ_POST, "/standin/faults", "[]", NULL, NULL, 400,
		  NULL },
	};
	static const char *const args[] = { "--decode", "20", NULL };
	process_t p;

	start(&p, "standin-engine", args);
	run_cases(&p, rows, G_N_ELEMENTS(rows));
	ck_assert(fetch_set_faults(p.address, "{\"leaving\":true}"));
	for (int i = 0; i < 500; i++) {
		json_t *load = fetch_json(p.address, "/v1/load");
		const char *state =
			json_string_value(json_object_get(load, "state"));
		bool is_leaving = state && !strcmp(state, "leaving");

		json_decref(load);
		if (is_leaving)
			break;
		ck_assert_int_lt(i, 499);
		g_usleep(10000);
	}
	ck_assert_int_eq(process_stop(&p, 5000), 0);
}
END_TEST

START_TEST(servers_hang_and_refuse_on_switches)
{
	static const char *const names[] = { "standin-engine", "standin-desk",
					     "standin-platform" };

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		process_t p;
		fetch_t f = { .path = "/v1/load",
			      .method = EVHTTP_REQ_GET,
			      .timeout_ms = 100 };

		start(&p, names[i], no_args);
		f.address = p.address;
		ck_assert(fetch_set_faults(p.address, "{\"hang\":true}"));
		ck_assert(!fetch_run(&f));
		g_free(f.text);
		ck_assert(fetch_set_faults(p.address, "{\"hang\":false,"
						      "\"refuse_ms\":60000}"));
		f.timeout_ms = 0;
		ck_assert(!fetch_run(&f));
		ck_assert_int_eq(f.err.code, ERR_REFUSED);
		g_free(f.text);
		ck_assert_int_eq(process_stop(&p, 5000), 0);
	}
}
END_TEST

START_TEST(desk_records_each_run)
{
	static const case_row_t rows[] = {
		{ EVHTTP_REQ_POST, "/holds", "call=a;seat=1", "Idempotency-Key",
		  "k1", 200, "{\"call\":\"a\",\"run\":1,\"echo\":\"" },
		{ EVHTTP_REQ_PUT, "/holds", "call=a;seat=1", "Idempotency-Key",
		  "k1", 200, "\"run\":2" },
		{ EVHTTP_REQ_GET, "/seats", NULL, NULL, NULL, 200,
		  "\"echo\":\"e3b0c442\"" },
		{ EVHTTP_REQ_GET, "/v1/load", NULL, NULL, NULL, 200,
		  "\"running\":0" },
		{ EVHTTP_REQ_POST, "/standin/faults", "{\"close_after_run\":1}",
		  NULL, NULL, 200, NULL },
		{ EVHTTP_REQ_POST, "/holds", "call=b;", NULL, NULL, 0, NULL },
		{ EVHTTP_REQ_POST, "/standin/faults", "{\"fail_after_run\":1}",
		  NULL, NULL, 200, NULL },
		{ EVHTTP_REQ_POST, "/holds", "call=c;", NULL, NULL, 500, NULL },
		{ EVHTTP_REQ_POST, "/holds", "call=c;", NULL, NULL, 200, NULL },
		{ EVHTTP_REQ_GET, "/standin/oracle", NULL, NULL, NULL, 200,
		  "\"calls\":{\"a\":2,\"b\":1,\"c\":2},\"keys\":{\"k1\":2}" },
	};
	process_t p;

	start(&p, "standin-desk", no_args);
	run_cases(&p, rows, G_N_ELEMENTS(rows));
	ck_assert_int_eq(process_stop(&p, 5000), 0);
}
END_TEST

START_TEST(platform_keeps_logs_vms_and_weights)
{
	static const char records[] = "/v1/logs/config/records";
	static const case_row_t rows[] = {
		{ EVHTTP_REQ_POST, records, "one", NULL, NULL, 200,
		  "{\"offset\":0}" },
		{ EVHTTP_REQ_POST, records, "two", NULL, NULL, 200, NULL },
		{ EVHTTP_REQ_POST, records, "three", NULL, NULL, 200, NULL },
		{ EVHTTP_REQ_POST, records, "\xff\xfe", NULL, NULL, 400, NULL },
		{ EVHTTP_REQ_GET, "/v1/logs/config/records?from=0&limit=1",
		  NULL, NULL, NULL, 200,
		  "\"oldest\":1,\"next\":3,\"records\":[{\"offset\":1" },
		{ EVHTTP_REQ_GET, "/v1/logs/config/records?from=2&limit=9",
		  NULL, NULL, NULL, 200, "\"data\":\"three\"}]}" },
		{ EVHTTP_REQ_GET, "/v1/logs/other/records?from=0", NULL, NULL,
		  NULL, 200, "{\"oldest\":0,\"next\":0,\"records\":[]}" },
		{ EVHTTP_REQ_POST, "/standin/faults",
		  "{\"lose_answers\":1,\"append_rate\":1}", NULL, NULL, 200,
		  NULL },
		{ EVHTTP_REQ_POST, records, "four", NULL, NULL, 0, NULL },
		{ EVHTTP_REQ_POST, records, "five", NULL, NULL, 429, NULL },
		{ EVHTTP_REQ_GET, "/v1/logs/config/records?from=3", NULL, NULL,
		  NULL, 200, "\"data\":\"four\"}]}" },
		{ EVHTTP_REQ_POST, "/standin/faults", "{\"log_outage\":true}",
		  NULL, NULL, 200, NULL },
		{ EVHTTP_REQ_POST, records, "six", NULL, NULL, 503, NULL },
		{ EVHTTP_REQ_GET, records, NULL, NULL, NULL, 503, NULL },
		{ EVHTTP_REQ_GET, "/v1/vms", NULL, NULL, NULL, 200,
		  "\"vms\":[]" },
		{ EVHTTP_REQ_PUT, "/standin/vms", "[{\"name\":\"v\"}]", NULL,
		  NULL, 200, NULL },
		{ EVHTTP_REQ_GET, "/v1/vms", NULL, NULL, NULL, 200,
		  "\"vms\":[{\"name\":\"v\"}]" },
		{ EVHTTP_REQ_PUT, "/standin/vms", "{}", NULL, NULL, 400, NULL },
		{ EVHTTP_REQ_GET, "/v1/weights/m", NULL, NULL, NULL, 200,
		  NULL },
		{ EVHTTP_REQ_GET, "/v1/weights/m", NULL, NULL, NULL, 429,
		  NULL },
		{ EVHTTP_REQ_POST, "/standin/faults", "{\"outage\":true}", NULL,
		  NULL, 200, NULL },
		{ EVHTTP_REQ_GET, "/v1/vms", NULL, NULL, NULL, 503, NULL },
	};
	static const char *const args[] = { "--retain-count", "2",
					    "--weight-rate", "0.001", NULL };
	process_t p;

	start(&p, "standin-platform", args);
	run_cases(&p, rows, G_N_ELEMENTS(rows));
	ck_assert_int_eq(process_stop(&p, 5000), 0);
}
END_TEST

/* Starts a relay to TO on a new address; P gets its control address. */
static void start_relay(process_t *p, const char *to, char *listen, size_t size)
{
	for (int i = 0; i < 50; i++) {
		const char *const args[] = { "--listen", listen, "--to", to,
					     NULL };

		g_snprintf(listen, size, "127.0.0.1:%d",
			   g_random_int_range(20000, 32000));
		if (process_start_standin(p, "standin-relay", args))
			return;
	}
	ck_abort_msg("no port for the relay");
}

START_TEST(relay_breaks_links)
{
	static const struct {
		const char *switches;
		bool is_reached;
	} cases[] = {
		{ "{}", true },
		{ "{\"delay_ms\":20}", true },
		{ "{\"delay_ms\":0,\"cut\":true}", false },
		{ "{\"cut\":false}", true },
		{ "{\"blackhole\":true}", false },
		{ "{\"blackhole\":false}", true },
		{ "{\"silence\":true}", true },
	};
	char listen[PROCESS_ADDRESS_SIZE];
	process_t desk, relay;

	start(&desk, "standin-desk", no_args);
	start_relay(&relay, desk.address, listen, sizeof(listen));
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		fetch_t f = { .method = EVHTTP_REQ_GET,
			      .address = listen,
			      .path = "/seats",
			      .timeout_ms = cases[i].is_reached ? 5000 : 200 };

		ck_assert(fetch_set_faults(relay.address, cases[i].switches));
		ck_assert_msg(fetch_run(&f) == cases[i].is_reached, "case %zu",
			      i);
		g_free(f.text);
	}
	ck_assert_int_eq(process_stop(&relay, 5000), 0);
	ck_assert_int_eq(process_stop(&desk, 5000), 0);
}
END_TEST

START_TEST(answers_are_checked)
{
	/* The hash of "p" starts with 148de9c5. */
#define EVENT(text) "data: {\"choices\":[{\"text\":\"" text "\"}]}\n\n"
	static const struct {
		answer_kind_t kind;
		const char *data;
		bool is_wrong;
	} cases[] = {
		{ ANSWER_STREAM,
		  EVENT("148de9c5:0") ": keep-alive\n\n" EVENT(
			  " 148de9c5:1") "data: [DONE]\n\n",
		  false },
		{ ANSWER_STREAM, EVENT("148de9c5:0") EVENT(" 148de9c5:1"),
		  true },
		{ ANSWER_STREAM, EVENT("148de9c5:0") "data: [DONE]\n\n", true },
		{ ANSWER_STREAM,
		  EVENT("148de9c5:1") EVENT(" 148de9c5:0") "data: [DONE]\n\n",
		  true },
		{ ANSWER_STREAM,
		  EVENT("248de9c5:0") EVENT(" 248de9c5:1") "data: [DONE]\n\n",
		  true },
		{ ANSWER_STREAM,
		  EVENT("148de9c5:0 148de9c5:1") "data: [DONE]\n\n" EVENT("x"),
		  true },
		{ ANSWER_WHOLE,
		  "{\"choices\":[{\"text\":\"148de9c5:0 148de9c5:1\"}]}",
		  false },
		{ ANSWER_WHOLE, "{\"choices\":[{\"text\":\"148de9c5:0\"}]}",
		  true },
		{ ANSWER_PLAIN, "{\"call\":\"c\",\"echo\":\"148de9c5\"}",
		  false },
		{ ANSWER_PLAIN, "{\"call\":\"d\",\"echo\":\"148de9c5\"}",
		  true },
		{ ANSWER_PLAIN, "{\"call\":\"c\",\"echo\":\"148d", true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		str_t data = str_from(cases[i].data);
		answer_t a;

		answer_init(&a, cases[i].kind, "c", STR_LIT("p"), 2);
		for (size_t at = 0; at < data.len; at += 7)
			answer_feed(&a, (str_t){ data.ptr + at,
						 MIN(7, data.len - at) });
		answer_check_complete(&a);
		ck_assert_msg(a.is_wrong == cases[i].is_wrong, "case %zu: %s",
			      i, a.reason);
		answer_finish(&a);
	}
}
END_TEST

START_TEST(load_compares_with_oracles)
{
	static const struct {
		const char *switches;
		int status;
	} cases[] = {
		{ "{}", 0 },
		{ "{\"cut_after\":3}", 0 }, /* broken, and counted as broken */
		{ "{\"cut_after\":0,\"status\":200}",
		  1 }, /* not the call's answer */
	};
	static const char mix[] =
		"{\"kinds\":[{\"service\":\"m\",\"tier\":\"t\",\"share\":1,"
		"\"engine\":true,\"stream\":true,\"prompt\":[10,100],"
		"\"output\":[5,9]}],\"teams\":[{\"name\":\"a\"}]}";
	g_autofree char *path = NULL;
	process_t engine;

	ck_assert_int_ge(g_file_open_tmp(NULL, &path, NULL), 0);
	ck_assert(g_file_set_contents(path, mix, -1, NULL));
	start(&engine, "standin-engine", no_args);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *seed = g_strdup_printf("%zu", i + 1);
		const char *const args[] = {
			"--targets", engine.address, "--mix",	  path,
			"--seconds", "0.5",	     "--seed",	  seed,
			"--verify",  engine.address, "--repeats", "0",
			NULL
		};
		process_t load;

		ck_assert(fetch_set_faults(engine.address, cases[i].switches));
		ck_assert(process_start(&load, "standin-load", args,
					"/dev/null", false));
		ck_assert_msg(process_wait(&load, 30000) == cases[i].status,
			      "case %zu", i);
	}
	ck_assert_int_eq(process_stop(&engine, 5000), 0);
	g_remove(path);
}
END_TEST

SUITE_MAIN("standin", engine_serves_its_endpoints,
	   engine_accepts_old_orders_without_fencing,
	   engine_caches_prefixes_and_accounts_prompts,
	   engine_cancels_when_the_caller_closes, engine_applies_fault_switches,
	   servers_hang_and_refuse_on_switches, desk_records_each_run,
	   platform_keeps_logs_vms_and_weights, relay_breaks_links,
	   answers_are_checked, load_compares_with_oracles)
