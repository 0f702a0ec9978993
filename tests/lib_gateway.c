#include "tests/lib_gateway.h"

#include <netinet/in.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/socket.h>

#include "common/log.h"
#include "platform/fleet_json.h"
#include "tests/lib_suite.h"
#include "tests/lib_task_fixture.h"

enum {
	LIMIT_US = 8 * G_USEC_PER_SEC,
	MAX_UNSENT = 128 * 1024, /* bytes of a trail; exceeded by one write */
	LIST_MS = 20, /* between looks at the runners' list by the fake store */
	VERDICT_MS = 2 * QUARANTINE_SETTLE_MS, /* with the next tick */
};

static const char config_text[] =
	"{\"version\":1,\"routes\":["
	"{\"name\":\"safe\",\"host\":\"h\",\"path_prefix\":\"/safe/\","
	"\"route_type\":\"safe\",\"timeout_ms\":700,\"service\":\"s\","
	"\"max_attempts\":2},"
	"{\"name\":\"thrice\",\"host\":\"h\",\"path_prefix\":\"/thrice/\","
	"\"route_type\":\"safe\",\"timeout_ms\":700,\"service\":\"s\","
	"\"max_attempts\":3},"
	"{\"name\":\"once\",\"host\":\"h\",\"path_prefix\":\"/once/\","
	"\"route_type\":\"unsafe\",\"timeout_ms\":700,\"service\":\"s\","
	"\"max_attempts\":1},"
	"{\"name\":\"patient\",\"host\":\"h\",\"path_prefix\":\"/patient/\","
	"\"route_type\":\"unsafe\",\"timeout_ms\":60000,\"service\":\"s\","
	"\"max_attempts\":1},"
	"{\"name\":\"stream\",\"host\":\"h\",\"path_prefix\":\"/stream/\","
	"\"route_type\":\"streaming\",\"timeout_ms\":2000,\"service\":\"s\","
	"\"max_attempts\":2,\"resumable\":true},"
	"{\"name\":\"long\",\"host\":\"h\",\"path_prefix\":\"/long/\","
	"\"route_type\":\"streaming\",\"timeout_ms\":2000,\"service\":\"s\","
	"\"max_attempts\":3,\"resumable\":true},"
	"{\"name\":\"split\",\"host\":\"h\",\"path_prefix\":\"/split/\","
	"\"route_type\":\"streaming\",\"timeout_ms\":2000,\"traffic_split\":["
	"{\"service\":\"s\",\"weight\":50},{\"service\":\"e\",\"weight\":50}],"
	"\"max_attempts\":2,\"resumable\":true},"
	"{\"name\":\"engine\",\"host\":\"h\",\"path_prefix\":\"/engine/\","
	"\"route_type\":\"streaming\",\"timeout_ms\":2000,\"service\":\"e\","
	"\"max_attempts\":2,\"resumable\":true},"
	"{\"name\":\"fixed\",\"host\":\"h\",\"path_prefix\":\"/fixed/\","
	"\"route_type\":\"streaming\",\"timeout_ms\":2000,\"service\":\"s\","
	"\"max_attempts\":2}],"
	"\"services\":[{\"name\":\"s\",\"max_conns\":100},"
	"{\"name\":\"e\",\"max_conns\":100,"
	"\"inference_engine\":{\"slots\":4,\"kv_capacity\":9999}}],"
	"\"limits\":{\"max_header_bytes\":1024,\"max_body_bytes\":2048,"
	"\"header_timeout_ms\":500,\"idle_timeout_ms\":600},"
	"\"tenants\":[{\"name\":\"team\",\"api_keys\":[\"key\"]},"
	"{\"name\":\"limited\",\"api_keys\":[\"low\"],\"rate_per_s\":1,"
	"\"burst\":1,\"unit\":\"tokens\",\"uncached_tokens\":5}]}";

/* Runners are granted in turn, so that a retry reaches another one. */
static int pick_runner(const gateway_fixture_t *fixture, const message_t *m)
{
	if (fixture->follows_pools)
		return strchr(m->capacity.service, '~') != NULL;
	return fixture->wants % FIXTURE_RUNNERS;
}

static void answer_want(gateway_fixture_t *fixture, const message_t *m)
{
	message_t answer = *m;
	const raw_runner_t *r = &fixture->runners[pick_runner(fixture, m)];

	fixture->wants++;
	fixture->last_want = *m;
	if (fixture->is_mute)
		return;
	answer.type = fixture->refuses ? MESSAGE_REFUSE : MESSAGE_GRANT;
	answer.capacity.reason = REFUSE_DEADLINE;
	answer.capacity.retry_after_ms = 1500;
	g_strlcpy(answer.capacity.runner.name, r->name,
		  sizeof(answer.capacity.runner.name));
	g_strlcpy(answer.capacity.runner.address, r->address,
		  sizeof(answer.capacity.runner.address));
	answer.capacity.runner.release = r->release;
	supervisor_post(&fixture->sup, TASK_FRONT, &answer);
}

static void answer_limit(gateway_fixture_t *fixture, const message_t *m)
{
	message_t answer = *m;

	fixture->limits++;
	fixture->last_limit = *m;
	if (fixture->is_limiter_mute)
		return;
	answer.type = MESSAGE_LIMIT_ANSWER;
	answer.limit.is_ok = !fixture->limit_refuses;
	answer.limit.is_young = fixture->is_limiter_young;
	answer.limit.retry_after_ms = 2500;
	supervisor_post(&fixture->sup, TASK_FRONT, &answer);
}

void gateway_grant_last(gateway_fixture_t *fixture)
{
	message_t want = fixture->last_want;
	bool is_mute = fixture->is_mute;

	fixture->is_mute = false;
	answer_want(fixture, &want);
	fixture->is_mute = is_mute;
}

void gateway_allow_last(gateway_fixture_t *fixture)
{
	message_t asked = fixture->last_limit;
	bool is_mute = fixture->is_limiter_mute;

	fixture->is_limiter_mute = false;
	answer_limit(fixture, &asked);
	fixture->is_limiter_mute = is_mute;
}

static void record_pause(gateway_fixture_t *fixture, uint32_t pause_ms)
{
	if (!pause_ms)
		return;
	if (!fixture->first_pause_ms)
		fixture->first_pause_ms = pause_ms;
	fixture->last_pause_ms = pause_ms;
}

static void record_rollout(gateway_fixture_t *fixture,
			   const message_rollout_t *m)
{
	fixture->rollout_reports++;
	fixture->last_rollout = *m;
	fixture->last_rollout.tallies = NULL;
	for (guint i = 0; i < m->tallies->len; i++) {
		const rollout_tally_t *t =
			&g_array_index(m->tallies, rollout_tally_t, i);

		if (!t->answer.is_target)
			continue;
		fixture->target_answers += (int)t->n;
		fixture->target_failures +=
			t->answer.has_failed ? (int)t->n : 0;
	}
}

static void record_notes(gateway_fixture_t *fixture, const GArray *begun)
{
	for (guint i = 0; i < begun->len; i++) {
		int n = fixture->streams_noted++;

		if (n < FIXTURE_NOTED)
			fixture->noted[n] =
				g_array_index(begun, stream_release_t, i);
	}
}

static void fake_handle(void *state, const message_t *m)
{
	gateway_fixture_t *fixture = state;

	switch (m->type) {
	case MESSAGE_WANT:
		answer_want(fixture, m);
		break;
	case MESSAGE_LIMIT_ASK:
		answer_limit(fixture, m);
		break;
	case MESSAGE_FIRST_TOKEN:
		fixture->first_tokens++;
		fixture->last_first_token = *m;
		break;
	case MESSAGE_PART_NOTICE:
		fixture->part_notices++;
		fixture->notices_of[m->part.kind]++;
		fixture->last_part_notice = m->part;
		if (m->part.kind == PART_NOTICE_CRASH)
			fixture->last_crash_notice = m->part;
		break;
	case MESSAGE_STREAM_ASK:
		fixture->stream_asks++;
		fixture->last_ask = m->streams.stream;
		fixture->was_ask_from_memory = m->streams.is_to_confirm;
		break;
	case MESSAGE_ROLLOUT_REPORT:
		record_rollout(fixture, &m->rollout);
		break;
	case MESSAGE_STREAM_NOTES:
		record_notes(fixture, m->streams.begun);
		break;
	case MESSAGE_WITHDRAW:
		fixture->withdraws++;
		break;
	case MESSAGE_DONE:
		fixture->dones++;
		fixture->last_done = m->capacity.done.result;
		fixture->last_is_brittle = m->capacity.done.is_brittle;
		fixture->last_is_refused = m->capacity.done.is_refused;
		fixture->last_refusals_borne = m->capacity.done.refusals_borne;
		fixture->has_leaving_notice |= m->capacity.done.says_leaving;
		record_pause(fixture, m->capacity.done.pause_ms);
		break;
	default:
		break;
	}
}

static void store_handle(void *state, const message_t *m)
{
	gateway_fixture_t *fixture = state;

	if (m->type != MESSAGE_PART_NOTICE)
		return;
	fixture->part_records++;
	fixture->last_part_record = m->part;
}

static const task_spec_t fake_peers = { "peers", 2, task_fixture_start,
					fake_handle, task_fixture_stop };
static const task_spec_t fake_store = { "store", 0, task_fixture_start,
					store_handle, task_fixture_stop };
static const task_spec_t *const specs[TASK_COUNT] = {
	[TASK_PLATFORM] = &fake_store,
	[TASK_PEERS] = &fake_peers,
	[TASK_CAPACITY] = &task_fixture_idle,
	[TASK_LIMITS] = &task_fixture_idle,
	[TASK_FRONT] = &gateway_task,
	[TASK_ACCOUNTS] = &task_fixture_idle,
	[TASK_ADMIN] = &task_fixture_idle,
};

/* Returns the X-Attempt-Id of the request whose head is TEXT, or "". */
static char *attempt_of(const char *text)
{
	const char *at = strstr(text, "X-Attempt-Id: ");
	const char *end = at ? strstr(at, "\r\n") : NULL;

	at = at ? at + strlen("X-Attempt-Id: ") : "";
	return g_strndup(at, end ? (gsize)(end - at) : 0);
}

static void drop_conn(raw_runner_t *r, struct bufferevent *bev, bool resets)
{
	struct linger at_once = { .l_onoff = 1, .l_linger = 0 };

	if (resets)
		setsockopt(bufferevent_getfd(bev), SOL_SOCKET, SO_LINGER,
			   &at_once, sizeof(at_once));
	g_hash_table_remove(r->conns, bev);
}

static void on_reply_sent(struct bufferevent *bev, void *arg)
{
	drop_conn(arg, bev, false);
}

/* State of sending a runner's trail on one connection. */
typedef struct trailing {
	raw_runner_t *runner;
	struct bufferevent *bev;
	struct event *timer;
	int n;
} trailing_t;

static void on_trail(evutil_socket_t fd, short what, void *arg)
{
	trailing_t *t = arg;
	const trail_t *trail = &t->runner->trail;
	struct timeval delay = { 0, trail->every_ms * 1000 };
	size_t unsent = evbuffer_get_length(bufferevent_get_output(t->bev));

	/* An endless trail must not fill this process's memory. */
	if (unsent < MAX_UNSENT) {
		bufferevent_write(t->bev, trail->bytes.ptr, trail->bytes.len);
		t->runner->n_trailed += trail->bytes.len;
	}
	if (!trail->times || ++t->n < trail->times)
		event_add(t->timer, &delay);
}

static void begin_trail(raw_runner_t *r, struct bufferevent *bev)
{
	trailing_t *t = g_new0(trailing_t, 1);
	struct timeval delay = { 0, r->trail.every_ms * 1000 };

	t->runner = r;
	t->bev = bev;
	t->timer = evtimer_new(r->fixture->base, on_trail, t);
	event_add(t->timer, &delay);
	/* g_hash_table_insert would free BEV as the duplicate key. */
	g_hash_table_steal(r->conns, bev);
	g_hash_table_insert(r->conns, bev, t);
}

static void free_trail(void *data)
{
	trailing_t *t = data;

	if (!t)
		return;
	event_free(t->timer);
	g_free(t);
}

static void answer(raw_runner_t *r, struct bufferevent *bev, const char *head)
{
	const reply_t *reply = &r->replies[r->n_requests++];
	g_autofree char *id = attempt_of(head);
	g_auto(GStrv) parts =
		g_strsplit(reply->bytes ? reply->bytes : "", "@", -1);
	g_autofree char *bytes = g_strjoinv(id, parts);

	bufferevent_write(bev, bytes, strlen(bytes));
	if (r->trail.bytes.len && !g_hash_table_lookup(r->conns, bev) &&
	    (!r->trails_first_only || r->n_connects == 1))
		begin_trail(r, bev);
	if (reply->end == REPLY_CLOSE && !bytes[0])
		drop_conn(r, bev, false);
	else if (reply->end == REPLY_CLOSE)
		bufferevent_setcb(bev, NULL, on_reply_sent, NULL, r);
	if (reply->end == REPLY_RESET) {
		/* A bufferevent allows it only from its own callback. */
		evbuffer_unfreeze(bufferevent_get_output(bev), 1);
		evbuffer_write(bufferevent_get_output(bev),
			       bufferevent_getfd(bev));
		drop_conn(r, bev, true);
	}
}

static void on_runner_read(struct bufferevent *bev, void *arg)
{
	raw_runner_t *r = arg;
	struct evbuffer *in = bufferevent_get_input(bev);
	size_t n = evbuffer_get_length(in);
	g_autofree char *text = g_strndup((char *)evbuffer_pullup(in, -1), n);

	if (!strstr(text, "\r\n\r\n"))
		return;
	evbuffer_drain(in, n);
	g_string_append(r->heads, text);
	answer(r, bev, text);
}

static void on_runner_event(struct bufferevent *bev, short what, void *arg)
{
	raw_runner_t *r = arg;

	r->n_closed++;
	drop_conn(r, bev, false);
}

static void free_bev(void *data)
{
	bufferevent_free(data);
}

static void on_runner_accept(struct evconnlistener *listener,
			     evutil_socket_t fd, struct sockaddr *address,
			     int len, void *arg)
{
	raw_runner_t *r = arg;
	struct bufferevent *bev = bufferevent_socket_new(r->fixture->base, fd,
							 BEV_OPT_CLOSE_ON_FREE);

	r->n_connects++;
	g_hash_table_insert(r->conns, bev, NULL);
	bufferevent_setcb(bev, on_runner_read, NULL, on_runner_event, r);
	bufferevent_enable(bev, EV_READ | EV_WRITE);
}

static void runner_init(gateway_fixture_t *fixture, int i)
{
	raw_runner_t *r = &fixture->runners[i];
	struct sockaddr_in name = { .sin_family = AF_INET };
	socklen_t len = sizeof(name);

	name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	r->fixture = fixture;
	r->heads = g_string_new("");
	r->conns = g_hash_table_new_full(NULL, NULL, free_bev, free_trail);
	g_snprintf(r->name, sizeof(r->name), "i-%d", i);
	r->listener = evconnlistener_new_bind(
		fixture->base, on_runner_accept, r, LEV_OPT_CLOSE_ON_FREE, 16,
		(struct sockaddr *)&name, sizeof(name));
	getsockname(evconnlistener_get_fd(r->listener),
		    (struct sockaddr *)&name, &len);
	g_snprintf(r->address, sizeof(r->address), "127.0.0.1:%d",
		   ntohs(name.sin_port));
}

static void on_list_timer(evutil_socket_t fd, short what, void *arg)
{
	gateway_fixture_t *fixture = arg;
	message_t m = { .type = MESSAGE_RUNNERS_SEEN,
			.number = (uint64_t)now_us() };

	if (!fixture->is_list_old)
		supervisor_post(&fixture->sup, TASK_FRONT, &m);
}

void gateway_fixture_init(gateway_fixture_t *fixture)
{
	err_t err = { 0 };

	memset(fixture, 0, sizeof(*fixture));
	task_fixture_set_state(fixture);
	signal(SIGPIPE, SIG_IGN);
	log_init("error");
	fixture->base = event_base_new();
	for (int i = 0; i < FIXTURE_RUNNERS; i++)
		runner_init(fixture, i);
	task_fixture_parse_settings(&fixture->settings,
				    "\"platform\":\"127.0.0.1:1\","
				    "\"drain_ms\":3500,\"retry_ratio\":10");
	supervisor_init(&fixture->sup, fixture->base, &fixture->settings);
	ck_assert_msg(supervisor_start(&fixture->sup, specs, &err), "%s",
		      err.detail);
	event_base_loop(fixture->base, EVLOOP_NONBLOCK);
	fixture->list_timer = supervisor_add_timer(&fixture->sup, LIST_MS,
						   on_list_timer, fixture);
	on_list_timer(-1, 0, fixture);
}

void gateway_set_only_release(gateway_fixture_t *fixture, uint64_t release)
{
	static const member_vm_t self = { .name = "d", .zone = "z" };
	message_t vms = { .type = MESSAGE_VMS,
			  .vms = vm_list_new(&self, 1, NULL, 0) };

	vm_list_set_release(vms.vms, "s", release);
	supervisor_post(&fixture->sup, TASK_FRONT, &vms);
	event_base_loop(fixture->base, EVLOOP_NONBLOCK);
}

void gateway_answer_ask(gateway_fixture_t *fixture, uint64_t release)
{
	message_t m = { .type = MESSAGE_STREAM_ANSWER };

	m.streams.stream = fixture->last_ask;
	m.streams.stream.release = release;
	supervisor_post(&fixture->sup, TASK_FRONT, &m);
}

void gateway_fixture_configure(gateway_fixture_t *fixture)
{
	message_t m = { .type = MESSAGE_FLEET };
	err_t err = { 0 };

	m.fleet = fleet_json_parse_config(str_from(config_text), &err);
	ck_assert_msg(m.fleet != NULL, "%s", err.detail);
	if (fixture->max_body_bytes)
		m.fleet->limits.max_body_bytes = fixture->max_body_bytes;
	supervisor_post(&fixture->sup, TASK_FRONT, &m);
	gateway_set_only_release(fixture, 0);
}

void gateway_fixture_begin(gateway_fixture_t *fixture, const reply_t *first,
			   const reply_t *second)
{
	gateway_fixture_init(fixture);
	gateway_fixture_configure(fixture);
	fixture->runners[0].replies = first;
	fixture->runners[1].replies = second;
}

void gateway_restart_runners(gateway_fixture_t *fixture, const reply_t *replies)
{
	static int n;

	for (int i = 0; i < FIXTURE_RUNNERS; i++) {
		raw_runner_t *r = &fixture->runners[i];

		g_snprintf(r->name, sizeof(r->name), "i-%d", ++n);
		r->replies = replies;
		r->n_requests = 0;
	}
}

int gateway_count_arrivals(const gateway_fixture_t *fixture)
{
	int n = 0;

	for (int i = 0; i < FIXTURE_RUNNERS; i++)
		n += fixture->runners[i].n_requests;
	return n;
}

void gateway_await_verdict(gateway_fixture_t *fixture)
{
	gateway_run(fixture, VERDICT_MS);
	/* Ticks that are overdue, if this process was held up. */
	event_base_loop(fixture->base, EVLOOP_NONBLOCK);
}

void gateway_fixture_finish(gateway_fixture_t *fixture)
{
	for (int i = 0; i < FIXTURE_CALLERS; i++)
		gateway_close_caller(fixture, i);
	event_free(fixture->list_timer);
	supervisor_finish(&fixture->sup);
	for (int i = 0; i < FIXTURE_RUNNERS; i++) {
		evconnlistener_free(fixture->runners[i].listener);
		g_hash_table_destroy(fixture->runners[i].conns);
		g_string_free(fixture->runners[i].heads, TRUE);
	}
	event_base_loop(fixture->base, EVLOOP_NONBLOCK);
	event_base_free(fixture->base);
	settings_finish(&fixture->settings);
}

static void on_caller_read(struct bufferevent *bev, void *arg)
{
	raw_caller_t *c = arg;
	struct evbuffer *in = bufferevent_get_input(bev);
	size_t n = evbuffer_get_length(in);

	g_string_append_len(c->received, (char *)evbuffer_pullup(in, -1),
			    (gssize)n);
	evbuffer_drain(in, n);
}

static void on_caller_event(struct bufferevent *bev, short what, void *arg)
{
	raw_caller_t *c = arg;

	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		c->is_closed = true;
}

static void connect_caller(gateway_fixture_t *fixture, raw_caller_t *c)
{
	struct sockaddr_storage name;
	int len = sizeof(name);

	evutil_parse_sockaddr_port(fixture->settings.listen,
				   (struct sockaddr *)&name, &len);
	c->received = g_string_new("");
	c->bev = bufferevent_socket_new(fixture->base, -1,
					BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(c->bev, on_caller_read, NULL, on_caller_event, c);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
	bufferevent_socket_connect(c->bev, (struct sockaddr *)&name, len);
}

void gateway_send(gateway_fixture_t *fixture, int i, const char *text)
{
	raw_caller_t *c = &fixture->callers[i];

	if (!c->bev)
		connect_caller(fixture, c);
	bufferevent_write(c->bev, text, strlen(text));
}

void gateway_close_caller(gateway_fixture_t *fixture, int i)
{
	raw_caller_t *c = &fixture->callers[i];

	if (!c->bev)
		return;
	bufferevent_free(c->bev);
	g_string_free(c->received, TRUE);
	*c = (raw_caller_t){ NULL };
}

static bool is_over(gint64 limit)
{
	return g_get_monotonic_time() > limit;
}

void gateway_await(gateway_fixture_t *fixture, int i, const char *text)
{
	raw_caller_t *c = &fixture->callers[i];
	gint64 limit = g_get_monotonic_time() + LIMIT_US;

	while (!strstr(c->received->str, text) && !c->is_closed &&
	       !is_over(limit))
		event_base_loop(fixture->base, EVLOOP_ONCE);
	ck_assert_msg(strstr(c->received->str, text) != NULL,
		      "caller %d waits for \"%s\" and has \"%s\"", i, text,
		      c->received->str);
}

void gateway_await_close(gateway_fixture_t *fixture, int i)
{
	gint64 limit = g_get_monotonic_time() + LIMIT_US;

	while (!fixture->callers[i].is_closed && !is_over(limit))
		event_base_loop(fixture->base, EVLOOP_ONCE);
	ck_assert_msg(fixture->callers[i].is_closed, "caller %d is not closed",
		      i);
}

void gateway_await_count(gateway_fixture_t *fixture, const int *value, int n)
{
	task_fixture_await_count(fixture->base, value, n, LIMIT_US);
}

void gateway_run(gateway_fixture_t *fixture, int64_t ms)
{
	gint64 limit = g_get_monotonic_time() + ms * 1000;

	while (!is_over(limit))
		event_base_loop(fixture->base, EVLOOP_ONCE);
}

int gateway_count(const gateway_fixture_t *fixture, int i, const char *text)
{
	const char *at = fixture->callers[i].received->str;
	int n = 0;

	while ((at = strstr(at, text))) {
		at += strlen(text);
		n++;
	}
	return n;
}
