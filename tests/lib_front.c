#include "tests/lib_front.h"

#include <netinet/in.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/log.h"
#include "tests/lib_suite.h"
#include "tests/lib_task_fixture.h"

enum { LIMIT_US = 10 * G_USEC_PER_SEC };

static const char profile_text[] =
	"{\"tiers\":[{\"name\":\"holds\",\"protected\":true,\"need_ms\":2000},"
	"{\"name\":\"drafts\",\"need_ms\":5000}],"
	"\"teams\":{\"agents\":{\"key_sha256\":"
	/* SHA-256 of "secret" */
	"\"2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b\"},"
	"\"small\":{\"concurrency\":1}}}";

static void answer_want(front_fixture_t *fixture, const message_t *m)
{
	message_t routed = { .type = MESSAGE_ROUTED, .capacity = m->capacity };
	message_t answer = { .type = MESSAGE_GRANT, .capacity = m->capacity };
	const char *address = fixture->grant_address;

	fixture->wants++;
	routed.capacity.peer[0] = '\0';
	supervisor_post(&fixture->sup, TASK_FRONT, &routed);
	answer.capacity.peer[0] = '\0';
	if (fixture->is_mute)
		return;
	if (fixture->refuses) {
		answer.type = MESSAGE_REFUSE;
		answer.capacity.reason = fixture->refuse;
		answer.capacity.retry_after_ms = 1500;
	}
	g_strlcpy(answer.capacity.runner.name, "runner",
		  sizeof(answer.capacity.runner.name));
	g_strlcpy(answer.capacity.runner.address,
		  address ? address : fixture->runner.address,
		  sizeof(answer.capacity.runner.address));
	supervisor_post(&fixture->sup, TASK_FRONT, &answer);
}

void front_answer_locate(front_fixture_t *fixture,
			 const message_locate_t *asked)
{
	message_t m = { .type = MESSAGE_LOCATED, .locate = *asked };
	message_locate_t *l = &m.locate;
	dedup_entry_t *entry = NULL;

	l->owner = fixture->owner;
	l->scoped = asked->scoped ? g_bytes_ref(asked->scoped) : NULL;
	if (l->owner.kind == MEMBER_OWNER_SELF && asked->scoped) {
		l->epoch = supervisor_stall_epoch(&fixture->sup);
		l->verdict = dedup_claim(&fixture->keys, asked->scoped, false,
					 asked->fingerprint, l->epoch, &entry);
	}
	if (entry && l->verdict == DEDUP_NEW)
		entry->user_data = (void *)(uintptr_t)asked->attempt;
	if (entry && l->verdict == DEDUP_JOIN)
		l->joined = (uint64_t)(uintptr_t)entry->user_data;
	if (entry && l->verdict == DEDUP_REPLAY) {
		l->answer = entry->answer;
		l->answer.content_type = g_strdup(entry->answer.content_type);
		if (l->answer.body)
			g_bytes_ref(l->answer.body);
	}
	supervisor_post(&fixture->sup, TASK_FRONT, &m);
}

static void store_locate(front_fixture_t *fixture,
			 const message_locate_t *asked)
{
	if (fixture->last_locate.scoped)
		g_bytes_unref(fixture->last_locate.scoped);
	fixture->last_locate = *asked;
	g_bytes_ref(asked->scoped);
}

static void end_key(front_fixture_t *fixture, const message_claim_t *ended)
{
	dedup_entry_t *entry = dedup_find(&fixture->keys, ended->scoped);

	ck_assert_ptr_nonnull(entry);
	if (!ended->is_dispatched) {
		dedup_release(&fixture->keys, entry, 0);
		return;
	}
	ck_assert(dedup_mark_dispatched(entry, entry->epoch));
	dedup_end(&fixture->keys, entry, &ended->answer, 0);
}

static void fake_handle(void *state, const message_t *m)
{
	front_fixture_t *fixture = state;

	switch (m->type) {
	case MESSAGE_LOCATE:
		if (fixture->is_locate_mute)
			store_locate(fixture, &m->locate);
		else
			front_answer_locate(fixture, &m->locate);
		break;
	case MESSAGE_CLAIM_ENDED:
		end_key(fixture, &m->claim);
		break;
	case MESSAGE_WANT:
		answer_want(fixture, m);
		break;
	case MESSAGE_LIMIT_ASK:
	case MESSAGE_LIMIT_RELEASE:
		if (!fixture->is_limiter_mute || m->limit.is_fallback)
			supervisor_post(&fixture->sup, TASK_LIMITS, m);
		break;
	case MESSAGE_LIMIT_ANSWER:
		supervisor_post(&fixture->sup, TASK_FRONT, m);
		break;
	case MESSAGE_DONE:
		fixture->dones++;
		fixture->last_done = m->capacity.done.result;
		fixture->last_output = m->capacity.done.output_tokens;
		break;
	case MESSAGE_WITHDRAW:
		fixture->withdraws++;
		break;
	case MESSAGE_ACCOUNT:
		fixture->sum.offered += m->account.delta.offered;
		fixture->sum.in_need += m->account.delta.in_need;
		fixture->sum.not_run += m->account.delta.not_run;
		fixture->sum.cancelled += m->account.delta.cancelled;
		fixture->sum.unknown += m->account.delta.unknown;
		fixture->sum.prompt_useful += m->account.delta.prompt_useful;
		break;
	default:
		break;
	}
}

static const task_spec_t fake_task = { "fake", 9, task_fixture_start,
				       fake_handle, task_fixture_stop };

static const task_spec_t *const specs[TASK_COUNT] = {
	[TASK_PLATFORM] = &fake_task, [TASK_PEERS] = &fake_task,
	[TASK_CAPACITY] = &fake_task, [TASK_LIMITS] = &limits_task,
	[TASK_FRONT] = &front_task,   [TASK_ACCOUNTS] = &fake_task,
	[TASK_ADMIN] = &fake_task,
};

static void on_runner(void *ctx, const fake_request_t *request,
		      fake_reply_t *reply)
{
	front_fixture_t *fixture = ctx;
	const char *bytes = strstr(request->path, "/stream?from=") ?
				    fixture->resume_answer :
				    fixture->runner_answer;

	fixture->is_last_hop = strstr(request->head, "Papaya-Hops: 2");
	if (strstr(request->path, "/stream?from="))
		g_strlcpy(fixture->resume_path, request->path,
			  sizeof(fixture->resume_path));
	if (bytes)
		g_string_assign(reply->bytes, bytes);
	reply->end = fixture->runner_end;
}

static void parse_settings(front_fixture_t *fixture)
{
	g_autofree char *text = g_strdup_printf(
		"{\"name\":\"d1\",\"zone\":\"z1\",\"zones\":[\"z1\"],"
		"\"listen\":\"127.0.0.1:%d\",\"peer_listen\":\"127.0.0.1:1\","
		"\"admin_listen\":\"127.0.0.1:1\","
		"\"platform\":\"127.0.0.1:1\","
		"\"peer_secret\":\"0123456789abcdef\","
		"\"operator_token\":\"0123456789abcdef\",\"seed\":7,"
		"\"max_keys\":16,\"max_body_kib\":4,\"max_answer_kib\":4,"
		"\"keepalive_ms\":100,\"slow_caller_ms\":300,"
		"\"caller_backlog_kib\":16}",
		task_fixture_free_port());
	err_t err = { 0 };

	ck_assert_msg(
		settings_parse(&fixture->settings, str_from(text), "t", &err),
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

static const dedup_config_t key_config = { 16, 4096, G_USEC_PER_SEC * 60L,
					   G_USEC_PER_SEC };

void front_fixture_init(front_fixture_t *fixture)
{
	message_t config = { .type = MESSAGE_CONFIG };
	err_t err = { 0 };

	memset(fixture, 0, sizeof(*fixture));
	task_fixture_set_state(fixture);
	signal(SIGPIPE, SIG_IGN);
	log_init("error");
	fixture->base = event_base_new();
	fixture->owner.kind = MEMBER_OWNER_SELF;
	dedup_init(&fixture->keys, &key_config);
	fixture->runner_answer =
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
	fake_http_init(&fixture->runner, fixture->base, on_runner, fixture);
	parse_settings(fixture);
	supervisor_init(&fixture->sup, fixture->base, &fixture->settings);
	ck_assert(supervisor_start(&fixture->sup, specs, &err));
	config.config = make_config();
	supervisor_post(&fixture->sup, TASK_FRONT, &config);
	config.config = config_view_ref(config.config);
	supervisor_post(&fixture->sup, TASK_LIMITS, &config);
	event_base_loop(fixture->base, EVLOOP_NONBLOCK);
}

void front_fixture_finish(front_fixture_t *fixture)
{
	for (int i = 0; i < MAX_CLIENTS; i++) {
		http_call_finish(&fixture->clients[i].call);
		if (fixture->clients[i].body)
			g_string_free(fixture->clients[i].body, TRUE);
	}
	supervisor_finish(&fixture->sup);
	dedup_finish(&fixture->keys);
	fake_http_finish(&fixture->runner);
	event_base_loop(fixture->base, EVLOOP_NONBLOCK);
	event_base_free(fixture->base);
	settings_finish(&fixture->settings);
}

static void on_head(void *ctx, int status, struct evkeyvalq *headers)
{
	front_client_t *c = ctx;
	const char *retry = evhttp_find_header(headers, "Retry-After");

	c->status = status;
	c->outcome =
		outcome_parse(evhttp_find_header(headers, "Papaya-Outcome"));
	g_strlcpy(c->retry_after, retry ? retry : "", sizeof(c->retry_after));
}

static void on_data(void *ctx, struct evbuffer *body)
{
	front_client_t *c = ctx;
	size_t n = evbuffer_get_length(body);

	g_string_append_len(c->body, (char *)evbuffer_pullup(body, -1),
			    (gssize)n);
}

static void on_end(void *ctx, int status, const err_t *err)
{
	front_client_t *c = ctx;

	c->is_ended = true;
	if (err)
		c->err = *err;
}

front_client_t *front_send(front_fixture_t *fixture, int i,
			   enum evhttp_cmd_type method, const char *path,
			   const char *headers, const char *body)
{
	static const http_call_ops_t ops = { NULL, on_head, on_data, on_end };
	front_client_t *c = &fixture->clients[i];
	g_auto(GStrv) lines = g_strsplit(headers, "\n", -1);
	http_header_t list[8];
	size_t n = 0;

	for (char **line = lines; *line && **line; line++) {
		char *colon = strstr(*line, ": ");

		*colon = '\0';
		list[n++] = (http_header_t){ *line, colon + 2 };
	}
	http_request_t request = {
		.address = fixture->settings.listen,
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
	ck_assert(http_call_start(&c->call, fixture->base, &request, &ops, c,
				  NULL));
	return c;
}

void front_run_until(front_fixture_t *fixture, const bool *flag)
{
	gint64 limit = g_get_monotonic_time() + LIMIT_US;

	while (!*flag && g_get_monotonic_time() < limit)
		event_base_loop(fixture->base, EVLOOP_ONCE);
	ck_assert(*flag);
}

void front_await_wants(front_fixture_t *fixture, int wants)
{
	task_fixture_await_count(fixture->base, &fixture->wants, wants,
				 LIMIT_US);
}

front_client_t *front_request(front_fixture_t *fixture, int i,
			      enum evhttp_cmd_type method, const char *path,
			      const char *headers, const char *body)
{
	front_client_t *c = front_send(fixture, i, method, path, headers, body);

	front_run_until(fixture, &c->is_ended);
	return c;
}
