/*
 * The front task alone: real callers and runners over HTTP, and fakes in
 * place of the other tasks.
 */
#include <netinet/in.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/log.h"
#include "daemon/job.h"
#include "tests/lib_fake_http.h"
#include "tests/lib_suite.h"

enum { MAX_CALLS = 4, LIMIT_US = 10 * G_USEC_PER_SEC };

/* One caller of a test. */
typedef struct client {
	http_call_t call;
	GString *body;
	int status;
	outcome_t outcome;
	char retry_after[16];
	err_t err;
	bool is_ended;
} client_t;

/* The daemon under test with everything around it. */
typedef struct bed {
	struct event_base *base;
	settings_t settings;
	supervisor_t sup;
	fake_http_t runner;
	const char *runner_answer; /* raw bytes; NULL: close without any */
	fake_end_t runner_end;
	const char *resume_answer; /* to a resume */
	char resume_path[160]; /* of the last resume */
	client_t clients[MAX_CALLS];
	/* What the fake peers task does and saw. */
	member_owner_t owner;
	rights_t keys;
	const char *grant_address; /* NULL: the fake runner's */
	refuse_reason_t refuse;
	bool refuses;
	bool is_locate_mute; /* keeps what is asked instead of answering */
	message_locate_t located; /* what was asked last, kept */
	bool is_mute; /* neither grants nor refuses */
	bool is_limiter_mute; /* the zone's counter does not answer */
	int wants;
	int dones;
	int withdraws;
	done_result_t last_done;
	accounts_sum_t sum;
} bed_t;

static bed_t *current;

static const char profile_text[] =
	"{\"tiers\":[{\"name\":\"holds\",\"protected\":true,\"need_ms\":2000},"
	"{\"name\":\"drafts\",\"need_ms\":5000}],"
	"\"teams\":{\"agents\":{\"key_sha256\":"
	/* SHA-256 of "secret" */
	"\"2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b\"},"
	"\"small\":{\"concurrency\":1}}}";

static void *fake_start(supervisor_t *sup, err_t *err)
{
	return current;
}

static void fake_stop(void *state)
{
}

static void answer_want(bed_t *bed, const message_t *m)
{
	message_t routed = { .type = MESSAGE_ROUTED, .capacity = m->capacity };
	message_t answer = { .type = MESSAGE_GRANT, .capacity = m->capacity };
	const char *address = bed->grant_address;

	bed->wants++;
	routed.capacity.peer[0] = '\0';
	supervisor_post(&bed->sup, TASK_FRONT, &routed);
	answer.capacity.peer[0] = '\0';
	if (bed->is_mute)
		return;
	if (bed->refuses) {
		answer.type = MESSAGE_REFUSE;
		answer.capacity.reason = bed->refuse;
		answer.capacity.retry_after_ms = 1500;
	}
	g_strlcpy(answer.capacity.runner.name, "runner",
		  sizeof(answer.capacity.runner.name));
	g_strlcpy(answer.capacity.runner.address,
		  address ? address : bed->runner.address,
		  sizeof(answer.capacity.runner.address));
	supervisor_post(&bed->sup, TASK_FRONT, &answer);
}

static void answer_locate(bed_t *bed, const message_locate_t *asked)
{
	message_t m = { .type = MESSAGE_LOCATED, .locate = *asked };
	message_locate_t *l = &m.locate;
	rights_entry_t *entry = NULL;

	l->owner = bed->owner;
	l->scoped = asked->scoped ? g_bytes_ref(asked->scoped) : NULL;
	if (l->owner.kind == MEMBER_OWNER_SELF && asked->scoped) {
		l->epoch = supervisor_epoch(&bed->sup);
		l->verdict = rights_begin(&bed->keys, asked->scoped, false,
					  asked->fingerprint, l->epoch, &entry);
	}
	if (entry && l->verdict == RIGHTS_NEW)
		entry->work = (void *)(uintptr_t)asked->attempt;
	if (entry && l->verdict == RIGHTS_JOIN)
		l->joined = (uint64_t)(uintptr_t)entry->work;
	if (entry && l->verdict == RIGHTS_KEPT) {
		l->answer = entry->answer;
		l->answer.content_type = g_strdup(entry->answer.content_type);
		if (l->answer.body)
			g_bytes_ref(l->answer.body);
	}
	supervisor_post(&bed->sup, TASK_FRONT, &m);
}

static void keep_locate(bed_t *bed, const message_locate_t *asked)
{
	if (bed->located.scoped)
		g_bytes_unref(bed->located.scoped);
	bed->located = *asked;
	g_bytes_ref(asked->scoped);
}

static void end_key(bed_t *bed, const message_key_t *ended)
{
	rights_entry_t *entry = rights_find(&bed->keys, ended->scoped);

	ck_assert_ptr_nonnull(entry);
	if (!ended->is_dispatched) {
		rights_release(&bed->keys, entry, 0);
		return;
	}
	ck_assert(rights_mark_dispatched(entry, entry->epoch));
	rights_end(&bed->keys, entry, &ended->answer, 0);
}

static void fake_handle(void *state, const message_t *m)
{
	bed_t *bed = state;

	switch (m->type) {
	case MESSAGE_LOCATE:
		if (bed->is_locate_mute)
			keep_locate(bed, &m->locate);
		else
			answer_locate(bed, &m->locate);
		break;
	case MESSAGE_KEY_ENDED:
		end_key(bed, &m->key);
		break;
	case MESSAGE_WANT:
		answer_want(bed, m);
		break;
	case MESSAGE_LIMIT_ASK:
	case MESSAGE_LIMIT_RELEASE:
		if (!bed->is_limiter_mute || m->limit.is_fallback)
			supervisor_post(&bed->sup, TASK_LIMITS, m);
		break;
	case MESSAGE_LIMIT_ANSWER:
		supervisor_post(&bed->sup, TASK_FRONT, m);
		break;
	case MESSAGE_DONE:
		bed->dones++;
		bed->last_done = m->capacity.done.result;
		break;
	case MESSAGE_WITHDRAW:
		bed->withdraws++;
		break;
	case MESSAGE_ACCOUNT:
		bed->sum.offered += m->account.delta.offered;
		bed->sum.in_need += m->account.delta.in_need;
		bed->sum.not_run += m->account.delta.not_run;
		bed->sum.cancelled += m->account.delta.cancelled;
		bed->sum.unknown += m->account.delta.unknown;
		bed->sum.prompt_useful += m->account.delta.prompt_useful;
		break;
	default:
		break;
	}
}

static const task_spec_t fake_task = { "fake", 9, fake_start, fake_handle,
				       fake_stop };

static const task_spec_t *const specs[TASK_COUNT] = {
	[TASK_PLATFORM] = &fake_task, [TASK_PEERS] = &fake_task,
	[TASK_CAPACITY] = &fake_task, [TASK_LIMITS] = &limits_task,
	[TASK_FRONT] = &front_task,   [TASK_ACCOUNTS] = &fake_task,
	[TASK_ADMIN] = &fake_task,
};

static void on_runner(void *ctx, const fake_request_t *request,
		      fake_reply_t *reply)
{
	bed_t *bed = ctx;
	const char *bytes = strstr(request->path, "/stream?from=") ?
				    bed->resume_answer :
				    bed->runner_answer;

	if (strstr(request->path, "/stream?from="))
		g_strlcpy(bed->resume_path, request->path,
			  sizeof(bed->resume_path));
	if (bytes)
		g_string_assign(reply->bytes, bytes);
	reply->end = bed->runner_end;
}

static int free_port(void)
{
	struct sockaddr_in sin = { .sin_family = AF_INET,
				   .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t len = sizeof(sin);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	ck_assert_int_eq(bind(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	getsockname(fd, (struct sockaddr *)&sin, &len);
	close(fd);
	return ntohs(sin.sin_port);
}

static void parse_settings(bed_t *bed)
{
	g_autofree char *text = g_strdup_printf(
		"{\"name\":\"d1\",\"zone\":\"z1\",\"zones\":[\"z1\"],"
		"\"listen\":\"127.0.0.1:%d\",\"peer_listen\":\"127.0.0.1:1\","
		"\"admin_listen\":\"127.0.0.1:1\","
		"\"platform\":\"127.0.0.1:1\","
		"\"peer_secret\":\"0123456789abcdef\","
		"\"operator_token\":\"0123456789abcdef\",\"seed\":7,"
		"\"max_keys\":16,\"max_body_kib\":4,\"max_answer_kib\":4}",
		free_port());
	err_t err = { 0 };

	ck_assert_msg(settings_parse(&bed->settings, str_from(text), "t", &err),
		      "%s", err.detail);
}

static void add_service(config_view_t *view, const char *doc, const char *body)
{
	profile_service_t *s = g_new0(profile_service_t, 1);
	err_t err = { 0 };

	ck_assert_msg(profile_service_parse(s, str_from(doc), 1, str_from(body),
					    &err),
		      "%s", err.detail);
	g_hash_table_insert(view->services, s->name, s);
}

static config_view_t *make_config(void)
{
	config_view_t *view = config_view_new();
	profile_t *profile = g_new0(profile_t, 1);
	err_t err = { 0 };

	ck_assert_msg(profile_parse(profile, STR_LIT("profile/p"), 1,
				    str_from(profile_text), &err),
		      "%s", err.detail);
	g_hash_table_insert(view->profiles, profile->name, profile);
	add_service(view, "service/model",
		    "{\"profile\":\"p\",\"kind\":\"engine\",\"idempotent\":"
		    "true,\"default_tier\":\"drafts\"}");
	add_service(view, "service/desk",
		    "{\"profile\":\"p\",\"kind\":\"plain\",\"idempotent\":"
		    "false,\"default_tier\":\"holds\"}");
	return view;
}

static const rights_config_t key_config = { 16, 4096, G_USEC_PER_SEC * 60L,
					    G_USEC_PER_SEC };

static void bed_init(bed_t *bed)
{
	message_t config = { .type = MESSAGE_CONFIG };
	err_t err = { 0 };

	memset(bed, 0, sizeof(*bed));
	current = bed;
	signal(SIGPIPE, SIG_IGN);
	log_init("error");
	bed->base = event_base_new();
	bed->owner.kind = MEMBER_OWNER_SELF;
	rights_init(&bed->keys, &key_config);
	bed->runner_answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
	fake_http_init(&bed->runner, bed->base, on_runner, bed);
	parse_settings(bed);
	supervisor_init(&bed->sup, bed->base, &bed->settings);
	ck_assert(supervisor_start(&bed->sup, specs, &err));
	config.config = make_config();
	supervisor_post(&bed->sup, TASK_FRONT, &config);
	config.config = config_view_ref(config.config);
	supervisor_post(&bed->sup, TASK_LIMITS, &config);
	event_base_loop(bed->base, EVLOOP_NONBLOCK);
}

static void bed_finish(bed_t *bed)
{
	for (int i = 0; i < MAX_CALLS; i++) {
		http_call_finish(&bed->clients[i].call);
		if (bed->clients[i].body)
			g_string_free(bed->clients[i].body, TRUE);
	}
	supervisor_finish(&bed->sup);
	rights_finish(&bed->keys);
	fake_http_finish(&bed->runner);
	event_base_loop(bed->base, EVLOOP_NONBLOCK);
	event_base_free(bed->base);
	settings_finish(&bed->settings);
}

static void on_head(void *ctx, int status, struct evkeyvalq *headers)
{
	client_t *c = ctx;
	const char *retry = evhttp_find_header(headers, "Retry-After");

	c->status = status;
	c->outcome =
		outcome_parse(evhttp_find_header(headers, "Papaya-Outcome"));
	g_strlcpy(c->retry_after, retry ? retry : "", sizeof(c->retry_after));
}

static void on_data(void *ctx, struct evbuffer *body)
{
	client_t *c = ctx;
	size_t n = evbuffer_get_length(body);

	g_string_append_len(c->body, (char *)evbuffer_pullup(body, -1),
			    (gssize)n);
}

static void on_end(void *ctx, int status, const err_t *err)
{
	client_t *c = ctx;

	c->is_ended = true;
	if (err)
		c->err = *err;
}

/* Sends a request; HEADERS is "Name: value" lines. */
static client_t *send_call(bed_t *bed, int i, enum evhttp_cmd_type method,
			   const char *path, const char *headers,
			   const char *body)
{
	static const http_call_ops_t ops = { NULL, on_head, on_data, on_end };
	client_t *c = &bed->clients[i];
	g_auto(GStrv) lines = g_strsplit(headers, "\n", -1);
	http_header_t list[8];
	size_t n = 0;

	for (char **line = lines; *line && **line; line++) {
		char *colon = strstr(*line, ": ");

		*colon = '\0';
		list[n++] = (http_header_t){ *line, colon + 2 };
	}
	http_request_t request = {
		.address = bed->settings.listen,
		.method = method,
		.path = path,
		.headers = list,
		.n_headers = n,
		.body = str_from(body),
		.connect_timeout_ms = 2000,
		.idle_timeout_ms = 8000,
	};
	http_call_finish(&c->call);
	if (c->body)
		g_string_free(c->body, TRUE);
	memset(c, 0, sizeof(*c));
	c->body = g_string_new("");
	ck_assert(
		http_call_start(&c->call, bed->base, &request, &ops, c, NULL));
	return c;
}

static void run_until(bed_t *bed, const bool *flag)
{
	gint64 limit = g_get_monotonic_time() + LIMIT_US;

	while (!*flag && g_get_monotonic_time() < limit)
		event_base_loop(bed->base, EVLOOP_ONCE);
	ck_assert(*flag);
}

static void run_while_wants(bed_t *bed, int wants)
{
	gint64 limit = g_get_monotonic_time() + LIMIT_US;

	while (bed->wants < wants && g_get_monotonic_time() < limit)
		event_base_loop(bed->base, EVLOOP_ONCE);
	ck_assert_int_ge(bed->wants, wants);
}

static client_t *ask(bed_t *bed, int i, enum evhttp_cmd_type method,
		     const char *path, const char *headers, const char *body)
{
	client_t *c = send_call(bed, i, method, path, headers, body);

	run_until(bed, &c->is_ended);
	return c;
}

#define COMPLETIONS "/v1/completions"
#define HOLDS "/v1/services/desk/holds"
#define PROMPT "{\"model\":\"model\",\"prompt\":\"abcdefgh\"}"
#define STREAM "{\"model\":\"model\",\"prompt\":\"abcdefgh\",\"stream\":true}"
#define SSE_HEAD "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"

START_TEST(refuses_what_is_malformed_and_dispatches_nothing)
{
	static const struct {
		enum evhttp_cmd_type method;
		const char *path, *headers, *body;
		int status;
		const char *field;
	} cases[] = {
		{ EVHTTP_REQ_GET, "/nowhere", "", "", 404, "path" },
		{ EVHTTP_REQ_GET, COMPLETIONS, "", "", 405, "method" },
		{ EVHTTP_REQ_POST, COMPLETIONS, "", "", 400, "body" },
		{ EVHTTP_REQ_POST, COMPLETIONS, "", "[]", 400, "body" },
		{ EVHTTP_REQ_POST, COMPLETIONS, "", "{\"prompt\":\"x\"}", 400,
		  "model" },
		{ EVHTTP_REQ_POST, COMPLETIONS, "",
		  "{\"model\":\"model\",\"prompt\":7}", 400, "prompt" },
		{ EVHTTP_REQ_POST, COMPLETIONS, "",
		  "{\"model\":\"model\",\"prompt\":\"x\",\"max_tokens\":0}",
		  400, "max_tokens" },
		{ EVHTTP_REQ_POST, COMPLETIONS, "",
		  "{\"model\":\"model\",\"prompt\":\"x\",\"stream\":1}", 400,
		  "stream" },
		{ EVHTTP_REQ_POST, COMPLETIONS, "",
		  "{\"model\":\"model\",\"model\":\"model\"}", 400, "body" },
		{ EVHTTP_REQ_POST, COMPLETIONS, "",
		  "{\"model\":\"none\",\"prompt\":\"x\"}", 404, "service" },
		{ EVHTTP_REQ_POST, COMPLETIONS, "",
		  "{\"model\":\"desk\",\"prompt\":\"x\"}", 400, "model" },
		{ EVHTTP_REQ_GET, "/v1/services/model/x", "", "", 400, "path" },
		{ EVHTTP_REQ_GET, "/v1/services/", "", "", 400, "path" },
		{ EVHTTP_REQ_POST, COMPLETIONS, "Papaya-Tier: gold", PROMPT,
		  400, "Papaya-Tier" },
		{ EVHTTP_REQ_POST, COMPLETIONS, "Papaya-Team: a/b", PROMPT, 400,
		  "Papaya-Team" },
		{ EVHTTP_REQ_POST, COMPLETIONS, "Papaya-Deadline-Ms: soon",
		  PROMPT, 400, "Papaya-Deadline-Ms" },
		{ EVHTTP_REQ_POST, COMPLETIONS, "Papaya-Deadline-Ms: 0", PROMPT,
		  400, "Papaya-Deadline-Ms" },
		{ EVHTTP_REQ_POST, COMPLETIONS, "Papaya-Team: agents", PROMPT,
		  401, "Authorization" },
		{ EVHTTP_REQ_POST, COMPLETIONS,
		  "Papaya-Team: agents\nAuthorization: Bearer wrong", PROMPT,
		  401, "Authorization" },
		{ EVHTTP_REQ_POST, COMPLETIONS, "Authorization: Basic x",
		  PROMPT, 401, "Authorization" },
		{ EVHTTP_REQ_POST, HOLDS, "", "x", 428, "Idempotency-Key" },
		{ EVHTTP_REQ_POST, HOLDS,
		  "Idempotency-Key: k\nPapaya-Ticket: t", "x", 400,
		  "Papaya-Ticket" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *field =
			g_strdup_printf("\"field\":\"%s\"", cases[i].field);
		bed_t bed;
		client_t *c;

		bed_init(&bed);
		c = ask(&bed, 0, cases[i].method, cases[i].path,
			cases[i].headers, cases[i].body);
		ck_assert_msg(c->status == cases[i].status, "case %zu: %d %s",
			      i, c->status, c->body->str);
		ck_assert_msg(strstr(c->body->str, field) != NULL,
			      "case %zu: %s", i, c->body->str);
		ck_assert_int_eq(c->outcome, OUTCOME_NOT_RUN);
		ck_assert_int_eq(bed.runner.requests, 0);
		ck_assert_int_eq(bed.wants, 0);
		bed_finish(&bed);
	}
}
END_TEST

START_TEST(tells_how_every_exchange_with_a_runner_ended)
{
	static const struct {
		const char *body, *answer, *resume;
		fake_end_t end;
		int status;
		outcome_t outcome;
		const char *text;
		done_result_t done;
		int requests;
	} cases[] = {
		{ PROMPT, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		  NULL, FAKE_CLOSE, 200, OUTCOME_COMPLETED, "ok",
		  DONE_COMPLETED, 1 },
		{ PROMPT, "HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\nno",
		  NULL, FAKE_CLOSE, 500, OUTCOME_FAILED, "no", DONE_FAILED, 1 },
		{ PROMPT, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
		  NULL, FAKE_CLOSE, 502, OUTCOME_UNKNOWN, "unknown",
		  DONE_BROKEN, 1 },
		{ PROMPT, NULL, NULL, FAKE_CLOSE, 502, OUTCOME_UNKNOWN,
		  "unknown", DONE_BROKEN, 1 },
		{ PROMPT, "HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\nlong",
		  NULL, FAKE_CLOSE, 502, OUTCOME_FAILED, "too long",
		  DONE_CANCELLED, 1 },
		{ STREAM, SSE_HEAD "data: {\"a\":1}\n\ndata: [DONE]\n\n", NULL,
		  FAKE_CLOSE, 200, OUTCOME_NONE,
		  "data: {\"a\":1}\n\ndata: [DONE]\n\n", DONE_COMPLETED, 1 },
		{ STREAM, SSE_HEAD "data: {\"a\":1}\n\ndata: {\"b",
		  SSE_HEAD "data: {\"b\":2}\n\ndata: [DONE]\n\n", FAKE_CLOSE,
		  200, OUTCOME_NONE,
		  "data: {\"a\":1}\n\ndata: {\"b\":2}\n\ndata: [DONE]\n\n",
		  DONE_COMPLETED, 2 },
		{ STREAM, SSE_HEAD "data: {\"a\":1}\n\n",
		  "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n", FAKE_CLOSE,
		  200, OUTCOME_NONE, "\"outcome\":\"unknown\"", DONE_BROKEN,
		  0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		bed_t bed;
		client_t *c;

		bed_init(&bed);
		bed.runner_answer = cases[i].answer;
		bed.resume_answer = cases[i].resume;
		bed.runner_end = cases[i].end;
		c = ask(&bed, 0, EVHTTP_REQ_POST, COMPLETIONS, "",
			cases[i].body);
		ck_assert_msg(c->status == cases[i].status, "case %zu: %d %s",
			      i, c->status, c->body->str);
		ck_assert_msg(c->outcome == cases[i].outcome, "case %zu: %s", i,
			      outcome_name(c->outcome));
		ck_assert_msg(strstr(c->body->str, cases[i].text) != NULL,
			      "case %zu: %s", i, c->body->str);
		ck_assert_int_eq(c->err.code, ERR_NONE);
		event_base_loop(bed.base, EVLOOP_NONBLOCK);
		ck_assert_int_eq(bed.dones, 1);
		ck_assert_int_eq(bed.last_done, cases[i].done);
		ck_assert_uint_eq(bed.sum.offered, 1);
		if (cases[i].resume)
			ck_assert(g_str_has_suffix(bed.resume_path,
						   "/stream?from=1"));
		if (cases[i].requests)
			ck_assert_int_eq(bed.runner.requests,
					 cases[i].requests);
		bed_finish(&bed);
	}
}
END_TEST

START_TEST(a_whole_stream_gets_no_error_at_its_deadline)
{
	bed_t bed;
	client_t *c;

	bed_init(&bed);
	bed.runner_answer = SSE_HEAD "data: {\"a\":1}\n\ndata: [DONE]\n\n";
	bed.runner_end = FAKE_HOLD;
	c = ask(&bed, 0, EVHTTP_REQ_POST, COMPLETIONS,
		"Papaya-Deadline-Ms: 300", STREAM);
	ck_assert_int_eq(c->status, 200);
	ck_assert_ptr_eq(strstr(c->body->str, "error"), NULL);
	event_base_loop(bed.base, EVLOOP_NONBLOCK);
	ck_assert_int_eq(bed.last_done, DONE_COMPLETED);
	bed_finish(&bed);
}
END_TEST

START_TEST(a_refused_want_is_not_run_with_when_to_come_back)
{
	bed_t bed;
	client_t *c;

	bed_init(&bed);
	bed.refuses = true;
	bed.refuse = REFUSE_DEADLINE;
	c = ask(&bed, 0, EVHTTP_REQ_POST, COMPLETIONS, "", STREAM);
	ck_assert_int_eq(c->status, 503);
	ck_assert_int_eq(c->outcome, OUTCOME_NOT_RUN);
	ck_assert_str_eq(c->retry_after, "2");
	ck_assert_int_eq(bed.runner.requests, 0);
	bed_finish(&bed);
}
END_TEST

START_TEST(a_runner_that_refuses_the_connection_is_no_dispatch)
{
	bed_t bed;
	client_t *c;
	g_autofree char *closed = NULL;

	bed_init(&bed);
	closed = g_strdup_printf("127.0.0.1:%d", free_port());
	bed.grant_address = closed;
	c = ask(&bed, 0, EVHTTP_REQ_POST, HOLDS, "Idempotency-Key: k", "x");
	ck_assert_int_eq(c->outcome, OUTCOME_NOT_RUN);
	ck_assert_int_eq(bed.last_done, DONE_UNREACHABLE);
	ck_assert_int_ge(bed.wants, 2);
	/* The key was not used up. */
	bed.grant_address = NULL;
	c = ask(&bed, 0, EVHTTP_REQ_POST, HOLDS, "Idempotency-Key: k", "x");
	ck_assert_int_eq(c->outcome, OUTCOME_COMPLETED);
	ck_assert_int_eq(bed.runner.requests, 1);
	bed_finish(&bed);
}
END_TEST

START_TEST(a_key_runs_once_and_repeats_get_its_answer)
{
	bed_t bed;
	client_t *a, *b;

	bed_init(&bed);
	a = send_call(&bed, 0, EVHTTP_REQ_POST, HOLDS, "Idempotency-Key: k",
		      "x");
	b = send_call(&bed, 1, EVHTTP_REQ_POST, HOLDS, "Idempotency-Key: k",
		      "x");
	run_until(&bed, &a->is_ended);
	run_until(&bed, &b->is_ended);
	ck_assert_int_eq(a->outcome, OUTCOME_COMPLETED);
	ck_assert_str_eq(b->body->str, "ok");
	a = ask(&bed, 2, EVHTTP_REQ_POST, HOLDS, "Idempotency-Key: k", "x");
	ck_assert_int_eq(a->outcome, OUTCOME_COMPLETED);
	ck_assert_str_eq(a->body->str, "ok");
	a = ask(&bed, 2, EVHTTP_REQ_POST, HOLDS, "Idempotency-Key: k", "y");
	ck_assert_int_eq(a->status, 422);
	ck_assert_int_eq(bed.runner.requests, 1);
	a = ask(&bed, 2, EVHTTP_REQ_POST, HOLDS,
		"Idempotency-Key: k\nPapaya-Team: other", "x");
	ck_assert_int_eq(a->outcome, OUTCOME_COMPLETED);
	ck_assert_int_eq(bed.runner.requests, 2);
	bed_finish(&bed);
}
END_TEST

START_TEST(an_ended_unknown_is_never_sent_again)
{
	bed_t bed;
	client_t *c;

	bed_init(&bed);
	bed.runner_answer = NULL;
	for (int i = 0; i < 3; i++) {
		c = ask(&bed, 0, EVHTTP_REQ_POST, HOLDS, "Idempotency-Key: k",
			"x");
		ck_assert_int_eq(c->outcome, OUTCOME_UNKNOWN);
	}
	ck_assert_int_eq(bed.runner.requests, 1);
	bed_finish(&bed);
}
END_TEST

START_TEST(keys_of_other_owners_are_answered_unknown_when_out_of_reach)
{
	static const struct {
		member_owner_kind_t kind;
		const char *headers;
	} cases[] = {
		{ MEMBER_OWNER_QUIET, "Idempotency-Key: k" },
		{ MEMBER_OWNER_NONE, "Idempotency-Key: k" },
		{ MEMBER_OWNER_PEER, "Idempotency-Key: k" },
		{ MEMBER_OWNER_PEER, "Idempotency-Key: k\nPapaya-Hops: 1" },
		{ MEMBER_OWNER_NONE, "Papaya-Ticket: d9:1:2" },
		{ MEMBER_OWNER_SELF, "Papaya-Ticket: d1:1:2" },
		{ MEMBER_OWNER_SELF, "Papaya-Ticket: nonsense" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		bed_t bed;
		client_t *c;

		bed_init(&bed);
		bed.owner.kind = cases[i].kind;
		g_snprintf(bed.owner.vm.address, sizeof(bed.owner.vm.address),
			   "127.0.0.1:%d", free_port());
		c = ask(&bed, 0, EVHTTP_REQ_POST, HOLDS, cases[i].headers, "x");
		ck_assert_msg(c->outcome == OUTCOME_UNKNOWN, "case %zu: %s", i,
			      c->body->str);
		ck_assert_int_eq(bed.runner.requests, 0);
		bed_finish(&bed);
	}
}
END_TEST

START_TEST(a_ticket_runs_once_for_its_team)
{
	bed_t bed;
	client_t *c;
	g_autofree char *header = NULL;
	g_autofree char *foreign = NULL;
	char *end;

	bed_init(&bed);
	c = ask(&bed, 0, EVHTTP_REQ_POST, "/v1/tickets", "", "");
	ck_assert_int_eq(c->status, 200);
	c->body->str[c->body->len - 2] = '\0';
	end = c->body->str + strlen("{\"ticket\":\"");
	header = g_strconcat("Papaya-Ticket: ", end, NULL);
	foreign = g_strconcat(header, "\nPapaya-Team: other", NULL);
	c = ask(&bed, 1, EVHTTP_REQ_POST, HOLDS, foreign, "x");
	ck_assert_int_eq(c->outcome, OUTCOME_UNKNOWN);
	ck_assert_int_eq(bed.runner.requests, 0);
	for (int i = 0; i < 2; i++) {
		c = ask(&bed, 1, EVHTTP_REQ_POST, HOLDS, header, "x");
		ck_assert_int_eq(c->outcome, OUTCOME_COMPLETED);
	}
	ck_assert_int_eq(bed.runner.requests, 1);
	bed_finish(&bed);
}
END_TEST

START_TEST(a_caller_who_leaves_the_queue_is_dropped)
{
	bed_t bed;

	bed_init(&bed);
	bed.is_mute = true;
	send_call(&bed, 0, EVHTTP_REQ_POST, COMPLETIONS, "", PROMPT);
	run_while_wants(&bed, 1);
	http_call_finish(&bed.clients[0].call);
	while (!bed.withdraws)
		event_base_loop(bed.base, EVLOOP_ONCE);
	event_base_loop(bed.base, EVLOOP_NONBLOCK);
	ck_assert_uint_eq(bed.sum.cancelled, 1);
	ck_assert_int_eq(bed.runner.requests, 0);
	bed_finish(&bed);
}
END_TEST

START_TEST(late_and_foreign_answers_are_dropped_and_counted)
{
	bed_t bed;
	client_t *c;
	message_t foreign = { .type = MESSAGE_GRANT };

	bed_init(&bed);
	foreign.capacity.want.id = (want_id_t){ bed.sup.boot, 77 };
	supervisor_post(&bed.sup, TASK_FRONT, &foreign);
	foreign.capacity.want.id = (want_id_t){ bed.sup.boot + 1, 1 };
	supervisor_post(&bed.sup, TASK_FRONT, &foreign);
	c = ask(&bed, 0, EVHTTP_REQ_POST, COMPLETIONS, "", PROMPT);
	ck_assert_int_eq(c->outcome, OUTCOME_COMPLETED);
	ck_assert_int_eq(bed.runner.requests, 1);
	ck_assert_uint_eq(metrics_get(&bed.sup.metrics,
				      "papaya_foreign_answers_total", NULL),
			  2);
	bed_finish(&bed);
}
END_TEST

START_TEST(a_key_that_waited_through_a_stall_is_not_sent)
{
	bed_t bed;
	client_t *c;

	bed_init(&bed);
	bed.is_mute = true;
	c = send_call(&bed, 0, EVHTTP_REQ_POST, HOLDS, "Idempotency-Key: k",
		      "x");
	run_while_wants(&bed, 1);
	supervisor_count_stall(&bed.sup);
	bed.is_mute = false;
	supervisor_post(&bed.sup, TASK_FRONT,
			&(message_t){ .type = MESSAGE_VIEW_CHANGED });
	run_until(&bed, &c->is_ended);
	ck_assert_int_eq(c->outcome, OUTCOME_UNKNOWN);
	ck_assert_int_eq(bed.runner.requests, 0);
	bed_finish(&bed);
}
END_TEST

START_TEST(draining_refuses_new_work_and_finishes_the_old)
{
	bed_t bed;
	client_t *c;

	bed_init(&bed);
	bed.is_mute = true;
	c = send_call(&bed, 0, EVHTTP_REQ_POST, COMPLETIONS, "", PROMPT);
	run_while_wants(&bed, 1);
	supervisor_drain(&bed.sup);
	bed.is_mute = false;
	supervisor_post(&bed.sup, TASK_FRONT,
			&(message_t){ .type = MESSAGE_VIEW_CHANGED });
	run_until(&bed, &c->is_ended);
	ck_assert_int_eq(c->outcome, OUTCOME_COMPLETED);
	c = ask(&bed, 1, EVHTTP_REQ_POST, COMPLETIONS, "", PROMPT);
	ck_assert_int_eq(c->err.code, ERR_REFUSED);
	bed_finish(&bed);
}
END_TEST

START_TEST(a_team_s_concurrency_is_bounded)
{
	bed_t bed;
	client_t *c;

	bed_init(&bed);
	bed.is_mute = true;
	send_call(&bed, 0, EVHTTP_REQ_POST, COMPLETIONS, "Papaya-Team: small",
		  PROMPT);
	run_while_wants(&bed, 1);
	c = ask(&bed, 1, EVHTTP_REQ_POST, COMPLETIONS, "Papaya-Team: small",
		PROMPT);
	ck_assert_int_eq(c->status, 429);
	ck_assert_int_eq(c->outcome, OUTCOME_NOT_RUN);
	ck_assert_str_ne(c->retry_after, "");
	bed_finish(&bed);
}
END_TEST

START_TEST(a_silent_limiter_is_replaced_by_an_own_share)
{
	bed_t bed;
	client_t *c;

	bed_init(&bed);
	bed.is_limiter_mute = true;
	bed.is_mute = true;
	send_call(&bed, 0, EVHTTP_REQ_POST, COMPLETIONS, "Papaya-Team: small",
		  PROMPT);
	run_while_wants(&bed, 1);
	c = ask(&bed, 1, EVHTTP_REQ_POST, COMPLETIONS, "Papaya-Team: small",
		PROMPT);
	ck_assert_int_eq(c->status, 429);
	bed_finish(&bed);
}
END_TEST

START_TEST(the_owner_counts_a_key_s_limit_and_repeats_join)
{
	bed_t bed;
	client_t *a, *b, *c;

	bed_init(&bed);
	bed.is_mute = true;
	a = send_call(&bed, 0, EVHTTP_REQ_POST, HOLDS,
		      "Papaya-Team: small\nIdempotency-Key: one", "x");
	run_while_wants(&bed, 1);
	b = ask(&bed, 1, EVHTTP_REQ_POST, HOLDS,
		"Papaya-Team: small\nIdempotency-Key: two", "x");
	ck_assert_int_eq(b->status, 429);
	ck_assert_int_eq(b->outcome, OUTCOME_NOT_RUN);
	c = send_call(&bed, 2, EVHTTP_REQ_POST, HOLDS,
		      "Papaya-Team: small\nIdempotency-Key: one", "x");
	bed.is_mute = false;
	supervisor_post(&bed.sup, TASK_FRONT,
			&(message_t){ .type = MESSAGE_VIEW_CHANGED });
	run_until(&bed, &a->is_ended);
	run_until(&bed, &c->is_ended);
	ck_assert_int_eq(a->outcome, OUTCOME_COMPLETED);
	ck_assert_int_eq(c->outcome, OUTCOME_COMPLETED);
	b = ask(&bed, 1, EVHTTP_REQ_POST, HOLDS,
		"Papaya-Team: small\nIdempotency-Key: two", "x");
	ck_assert_int_eq(b->outcome, OUTCOME_COMPLETED);
	ck_assert_int_eq(bed.runner.requests, 2);
	bed_finish(&bed);
}
END_TEST

START_TEST(a_key_is_never_called_not_run_by_one_who_can_t_know)
{
	bed_t bed;
	client_t *c;
	config_view_t *empty;
	message_t m = { .type = MESSAGE_CONFIG };

	bed_init(&bed);
	empty = config_view_new();
	m.config = empty;
	supervisor_post(&bed.sup, TASK_FRONT, &m);
	event_base_loop(bed.base, EVLOOP_NONBLOCK);
	c = ask(&bed, 0, EVHTTP_REQ_POST, HOLDS, "Idempotency-Key: k", "x");
	ck_assert_int_eq(c->status, 404);
	ck_assert_int_eq(c->outcome, OUTCOME_UNKNOWN);
	bed_finish(&bed);
}
END_TEST

START_TEST(a_grant_that_nobody_takes_is_given_back)
{
	bed_t bed;
	client_t *c;
	message_t late = { .type = MESSAGE_GRANT };

	bed_init(&bed);
	late.capacity.want.id = (want_id_t){ bed.sup.boot, 77 };
	g_strlcpy(late.capacity.peer, "d2", MEMBER_NAME_SIZE);
	supervisor_post(&bed.sup, TASK_FRONT, &late);
	c = ask(&bed, 0, EVHTTP_REQ_POST, COMPLETIONS, "", PROMPT);
	ck_assert_int_eq(c->outcome, OUTCOME_COMPLETED);
	ck_assert_int_eq(bed.withdraws, 1);
	/* From a dispatcher that was not asked. */
	bed.is_mute = true;
	send_call(&bed, 0, EVHTTP_REQ_POST, COMPLETIONS, "", PROMPT);
	run_while_wants(&bed, 2);
	late.capacity.want.id.attempt = 2;
	g_strlcpy(late.capacity.runner.address, bed.runner.address,
		  DISPATCHER_NAME_SIZE);
	supervisor_post(&bed.sup, TASK_FRONT, &late);
	/* For the same attempt of another daemon. */
	late.capacity.peer[0] = '\0';
	late.capacity.want.id.owner++;
	supervisor_post(&bed.sup, TASK_FRONT, &late);
	while (bed.withdraws < 3)
		event_base_loop(bed.base, EVLOOP_ONCE);
	ck_assert_int_eq(bed.runner.requests, 1);
	bed_finish(&bed);
}
END_TEST

START_TEST(a_call_whose_owner_was_not_found_in_time_is_unknown)
{
	bed_t bed;
	client_t *c;

	bed_init(&bed);
	bed.is_locate_mute = true;
	c = ask(&bed, 0, EVHTTP_REQ_POST, HOLDS,
		"Idempotency-Key: k\nPapaya-Deadline-Ms: 100", "x");
	ck_assert_int_eq(c->outcome, OUTCOME_UNKNOWN);
	bed_finish(&bed);
}
END_TEST

START_TEST(a_claim_that_comes_too_late_is_given_back)
{
	bed_t bed;
	client_t *c;
	message_t late = { .type = MESSAGE_LOCATED };

	bed_init(&bed);
	bed.is_locate_mute = true;
	c = ask(&bed, 0, EVHTTP_REQ_POST, HOLDS,
		"Idempotency-Key: k\nPapaya-Deadline-Ms: 100", "x");
	ck_assert_int_eq(c->status, 503);
	late.locate = bed.located;
	answer_locate(&bed, &late.locate);
	for (int i = 0; i < 5; i++)
		event_base_loop(bed.base, EVLOOP_ONCE);
	ck_assert_uint_eq(g_hash_table_size(bed.keys.entries), 0);
	bed.is_locate_mute = false;
	c = ask(&bed, 0, EVHTTP_REQ_POST, HOLDS, "Idempotency-Key: k", "x");
	ck_assert_int_eq(c->outcome, OUTCOME_COMPLETED);
	g_bytes_unref(bed.located.scoped);
	bed_finish(&bed);
}
END_TEST

START_TEST(a_call_read_just_after_a_stall_is_not_taken)
{
	bed_t bed;
	client_t *c;

	bed_init(&bed);
	supervisor_count_stall(&bed.sup);
	c = ask(&bed, 0, EVHTTP_REQ_POST, HOLDS, "Idempotency-Key: k", "x");
	ck_assert_int_eq(c->outcome, OUTCOME_UNKNOWN);
	ck_assert_int_eq(bed.wants, 0);
	c = ask(&bed, 0, EVHTTP_REQ_POST, COMPLETIONS, "", PROMPT);
	ck_assert_int_eq(c->outcome, OUTCOME_COMPLETED);
	bed_finish(&bed);
}
END_TEST

START_TEST(a_call_that_waited_through_a_stall_is_not_forwarded)
{
	bed_t bed;
	client_t *c;

	bed_init(&bed);
	bed.is_locate_mute = true;
	bed.owner.kind = MEMBER_OWNER_PEER;
	g_strlcpy(bed.owner.vm.address, bed.runner.address,
		  sizeof(bed.owner.vm.address));
	c = send_call(&bed, 0, EVHTTP_REQ_POST, HOLDS, "Idempotency-Key: k",
		      "x");
	while (!bed.located.attempt)
		event_base_loop(bed.base, EVLOOP_ONCE);
	supervisor_count_stall(&bed.sup);
	answer_locate(&bed, &bed.located);
	run_until(&bed, &c->is_ended);
	ck_assert_int_eq(c->outcome, OUTCOME_UNKNOWN);
	ck_assert_int_eq(bed.runner.requests, 0);
	g_bytes_unref(bed.located.scoped);
	bed_finish(&bed);
}
END_TEST

SUITE_MAIN("front", refuses_what_is_malformed_and_dispatches_nothing,
	   tells_how_every_exchange_with_a_runner_ended,
	   a_whole_stream_gets_no_error_at_its_deadline,
	   a_refused_want_is_not_run_with_when_to_come_back,
	   a_runner_that_refuses_the_connection_is_no_dispatch,
	   a_key_runs_once_and_repeats_get_its_answer,
	   an_ended_unknown_is_never_sent_again,
	   keys_of_other_owners_are_answered_unknown_when_out_of_reach,
	   a_ticket_runs_once_for_its_team,
	   a_caller_who_leaves_the_queue_is_dropped,
	   late_and_foreign_answers_are_dropped_and_counted,
	   a_key_that_waited_through_a_stall_is_not_sent,
	   draining_refuses_new_work_and_finishes_the_old,
	   a_team_s_concurrency_is_bounded,
	   a_silent_limiter_is_replaced_by_an_own_share,
	   the_owner_counts_a_key_s_limit_and_repeats_join,
	   a_key_is_never_called_not_run_by_one_who_can_t_know,
	   a_grant_that_nobody_takes_is_given_back,
	   a_call_whose_owner_was_not_found_in_time_is_unknown,
	   a_claim_that_comes_too_late_is_given_back,
	   a_call_read_just_after_a_stall_is_not_taken,
	   a_call_that_waited_through_a_stall_is_not_forwarded)
