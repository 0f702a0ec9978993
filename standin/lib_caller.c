#include "standin/lib_caller.h"

#include <event2/buffer.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#include "standin/lib_server.h"

enum {
	CONNECT_TIMEOUT_MS = 2000,
	REPEAT_PAUSE_MS = 300, /* before a repeat */
	SLOW_READ_PAUSE_MS = 150, /* after each read of a slow reader */
	MAX_BODY = 8 << 20, /* bytes */
	TICKET_TIMEOUT_MS = 3000,
};

/* Headers and their formatted values, needed until http_call_start returns. */
typedef struct header_set {
	http_header_t list[CALLER_MAX_HEADERS];
	size_t n;
	char deadline[24];
	char bearer[MIX_NAME_SIZE + 8];
} header_set_t;

static void start_attempt(caller_t *c);

static void arm(struct event *timer, int64_t ms)
{
	struct timeval tv = { ms / 1000, ms % 1000 * 1000 };

	evtimer_add(timer, &tv);
}

static int64_t time_limit_ms(const caller_t *c)
{
	int64_t deadline_ms = c->kind->deadline_ms ? c->kind->deadline_ms :
						     c->env->default_limit_ms;

	return deadline_ms + c->env->grace_ms;
}

static void end_call(caller_t *c, call_result_t result, const char *reason)
{
	if (c->is_ended)
		return;
	c->is_ended = true;
	c->result = result;
	c->ended_us = clock_now_us();
	if (reason != c->reason)
		g_strlcpy(c->reason, reason, sizeof(c->reason));
	http_call_finish(&c->call);
	c->env->ended(c->env->ctx, c);
}

static bool is_guarded(const caller_t *c)
{
	return c->key[0] || c->ticket[0];
}

static void try_next_target(caller_t *c, int64_t pause_ms)
{
	c->is_in_progress = false;
	http_call_finish(&c->call);
	c->target = (c->target + 1) % c->env->n_targets;
	arm(c->repeat_timer, pause_ms);
}

static bool may_repeat(const caller_t *c)
{
	int64_t age_ms = (clock_now_us() - c->started_us) / 1000;

	return is_guarded(c) && c->attempts <= c->env->max_repeats &&
	       age_ms + REPEAT_PAUSE_MS <= c->env->repeat_window_ms;
}

/*
 * Repeats a guarded call, which is safe, on the next target. Ends any other
 * call, and one that is out of attempts or time.
 */
static void repeat_or_end(caller_t *c, call_result_t result, const char *reason)
{
	c->is_unanswered = result == CALL_BROKEN;
	if (!may_repeat(c)) {
		end_call(c, result, reason);
		return;
	}
	g_strlcpy(c->reason, reason, sizeof(c->reason));
	try_next_target(c, REPEAT_PAUSE_MS);
}

/*
 * Tries the next target after a failed connect: nothing was sent, so this is
 * safe for every call. Once all targets have failed, the caller knows that the
 * call did not run, unless the last attempt sent got no final answer.
 */
static void repeat_unsent(caller_t *c, const char *reason)
{
	if (++c->failed_connects < c->env->n_targets) {
		c->attempts--;
		try_next_target(c, 0);
	} else {
		end_call(c, c->is_unanswered ? CALL_BROKEN : CALL_NOT_RUN,
			 reason);
	}
}

static void end_completed(caller_t *c)
{
	double deadline_ms = c->kind->deadline_ms;

	answer_check_complete(&c->answer);
	c->ended_us = clock_now_us();
	if (c->answer.is_wrong)
		end_call(c, CALL_WRONG, c->answer.reason);
	else if (deadline_ms > 0 && caller_whole_ms(c) > deadline_ms)
		end_call(c, CALL_LATE, "");
	else
		end_call(c, CALL_COMPLETED, "");
}

static void end_by_outcome(caller_t *c, const char *outcome)
{
	char reason[ANSWER_REASON_SIZE];

	snprintf(reason, sizeof(reason), "status %d, outcome %s: %.60s",
		 c->status, outcome[0] ? outcome : "none", c->answer.buf->str);
	if (c->answer.is_wrong)
		end_call(c, CALL_WRONG, c->answer.reason);
	else if (!strcmp(outcome, "completed"))
		end_completed(c);
	else if (!strcmp(outcome, "not-run"))
		repeat_or_end(c, CALL_NOT_RUN, reason);
	else if (!strcmp(outcome, "failed"))
		end_call(c, CALL_FAILED, reason);
	else if (!strcmp(outcome, "unknown"))
		repeat_or_end(c, CALL_UNKNOWN, reason);
	else
		end_call(c, CALL_WRONG, reason);
}

static void end_attempt(caller_t *c, const err_t *err)
{
	bool is_stream = c->kind->is_stream && c->status == HTTP_OK;
	char reason[ANSWER_REASON_SIZE];

	if (is_stream && c->answer.outcome[0]) {
		end_by_outcome(c, c->answer.outcome);
	} else if (is_stream && (c->answer.is_done || !err)) {
		end_completed(c);
	} else if (err) {
		snprintf(reason, sizeof(reason), "%s: %.90s", err->step,
			 err->detail);
		if (http_call_is_sent(&c->call))
			repeat_or_end(c, CALL_BROKEN, reason);
		else
			repeat_unsent(c, reason);
	} else {
		end_by_outcome(c, c->outcome);
	}
}

static void handle_ticket(caller_t *c, const err_t *err)
{
	json_t *root = json_loads(c->ticket_body->str, 0, NULL);
	const char *ticket = json_string_value(json_object_get(root, "ticket"));

	c->is_awaiting_ticket = false;
	http_call_finish(&c->call);
	if (ticket)
		g_strlcpy(c->ticket, ticket, sizeof(c->ticket));
	json_decref(root);
	if (ticket)
		start_attempt(c);
	else if (c->attempts++ < c->env->max_repeats + c->env->n_targets) {
		try_next_target(c, REPEAT_PAUSE_MS);
	} else {
		/*
		 * Without a ticket the call was not sent, so it did not run.
		 * It counts as broken if the ticket's exchange failed.
		 */
		end_call(c, err ? CALL_BROKEN : CALL_NOT_RUN,
			 "no ticket received");
	}
}

/*
 * Marks the exchange as open and restarts the timer after which a guarded call
 * without data is repeated.
 */
static void await_answer(caller_t *c)
{
	c->is_in_progress = true;
	if (c->env->silence_timeout_ms && !c->is_slow)
		arm(c->repeat_timer, c->env->silence_timeout_ms);
}

static void on_head(void *ctx, int status, struct evkeyvalq *headers)
{
	caller_t *c = ctx;
	const char *outcome = evhttp_find_header(headers, "Papaya-Outcome");

	c->status = status;
	c->failed_connects = 0;
	g_strlcpy(c->outcome, outcome ? outcome : "", sizeof(c->outcome));
	/* Only status 200 has a stream as its body; errors are one object. */
	if (status != HTTP_OK && c->answer.kind == ANSWER_STREAM)
		c->answer.kind = ANSWER_WHOLE;
}

static void on_data(void *ctx, struct evbuffer *body)
{
	caller_t *c = ctx;
	size_t len = evbuffer_get_length(body);
	str_t data = { (const char *)evbuffer_pullup(body, -1), len };

	if (c->is_awaiting_ticket) {
		g_string_append_len(c->ticket_body, data.ptr, (gssize)len);
		evbuffer_drain(body, len);
		return;
	}
	answer_feed(&c->answer, data);
	evbuffer_drain(body, len);
	await_answer(c);
	/* Keep-alive comments don't count as the first token. */
	if (!c->first_us && (!c->kind->is_stream || c->answer.received_tokens))
		c->first_us = clock_now_us();
	if (c->is_slow && !c->is_paused) {
		c->is_paused = true;
		http_call_pause(&c->call, true);
		arm(c->repeat_timer, SLOW_READ_PAUSE_MS);
	}
}

static void on_end(void *ctx, int status, const err_t *err)
{
	caller_t *c = ctx;

	evtimer_del(c->repeat_timer);
	c->is_paused = false;
	c->is_in_progress = false;
	if (c->is_awaiting_ticket)
		handle_ticket(c, err);
	else
		end_attempt(c, err);
}

static void add_header(header_set_t *h, const char *name, const char *value)
{
	h->list[h->n++] = (http_header_t){ name, value };
}

static void make_headers(const caller_t *c, header_set_t *h)
{
	int64_t left_ms =
		c->kind->deadline_ms - (clock_now_us() - c->started_us) / 1000;

	h->n = 0;
	snprintf(h->deadline, sizeof(h->deadline), "%lld",
		 (long long)MAX(left_ms, 1));
	add_header(h, "Papaya-Team", c->team->name);
	add_header(h, "Papaya-Tier", c->kind->tier);
	add_header(h, "Content-Type", "application/json");
	if (c->kind->deadline_ms)
		add_header(h, "Papaya-Deadline-Ms", h->deadline);
	if (c->team->key[0]) {
		snprintf(h->bearer, sizeof(h->bearer), "Bearer %s",
			 c->team->key);
		add_header(h, "Authorization", h->bearer);
	}
	if (c->key[0])
		add_header(h, "Idempotency-Key", c->key);
	if (c->ticket[0])
		add_header(h, "Papaya-Ticket", c->ticket);
}

static bool send_request(caller_t *c, const char *path, const char *body,
			 int64_t idle_ms)
{
	static const http_call_ops_t ops = { NULL, on_head, on_data, on_end };
	header_set_t headers;
	http_request_t request = {
		.address = c->env->targets[c->target],
		.method = EVHTTP_REQ_POST,
		.path = path,
		.headers = headers.list,
		.body = str_from(body),
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.idle_timeout_ms = idle_ms,
		.max_body = MAX_BODY,
	};
	err_t err;

	make_headers(c, &headers);
	request.n_headers = headers.n;
	return http_call_start(&c->call, c->env->base, &request, &ops, c, &err);
}

static void request_ticket(caller_t *c)
{
	c->is_awaiting_ticket = true;
	g_string_truncate(c->ticket_body, 0);
	if (!send_request(c, "/v1/tickets", "{}", TICKET_TIMEOUT_MS))
		end_call(c, CALL_BROKEN,
			 "the ticket request cannot be started");
}

static answer_kind_t kind_of_answer(const mix_kind_t *kind)
{
	if (!kind->is_engine)
		return ANSWER_PLAIN;
	return kind->is_stream ? ANSWER_STREAM : ANSWER_WHOLE;
}

static void start_attempt(caller_t *c)
{
	const mix_kind_t *kind = c->kind;
	g_autofree char *path =
		kind->is_engine ? g_strdup("/v1/completions") :
				  g_strdup_printf("/v1/services/%s%s",
						  kind->service, kind->path);

	if (kind->guard == MIX_GUARD_TICKET && !c->ticket[0]) {
		request_ticket(c);
		return;
	}
	c->attempts++;
	c->status = 0;
	c->outcome[0] = '\0';
	answer_finish(&c->answer);
	answer_init(&c->answer, kind_of_answer(kind), c->id, str_from(c->text),
		    c->tokens);
	if (send_request(c, path, c->body, time_limit_ms(c)))
		await_answer(c);
	else
		end_call(c, CALL_BROKEN, "the request cannot be started");
}

static void on_limit(evutil_socket_t fd, short what, void *ctx)
{
	end_call(ctx, CALL_MISSING, "no final answer by the time limit");
}

static void on_leave(evutil_socket_t fd, short what, void *ctx)
{
	end_call(ctx, CALL_LEFT, "");
}

static void on_repeat_timer(evutil_socket_t fd, short what, void *ctx)
{
	caller_t *c = ctx;

	if (c->is_paused) {
		c->is_paused = false;
		http_call_pause(&c->call, false);
	} else if (!c->is_in_progress) {
		start_attempt(c);
	} else if (may_repeat(c)) {
		c->is_unanswered = true;
		try_next_target(c, 0);
	}
}

static char *make_body(const caller_t *c)
{
	json_t *body;
	char *text;

	if (!c->kind->is_engine)
		return g_strdup(c->text);
	body = json_pack("{s:s,s:s,s:i,s:b}", "model", c->kind->service,
			 "prompt", c->text, "max_tokens", (int)c->tokens,
			 "stream", (int)c->kind->is_stream);
	text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	return text;
}

caller_t *caller_new(const caller_env_t *env, const mix_kind_t *kind,
		     const mix_team_t *team, const char *id, char *text,
		     uint32_t tokens, const char *key)
{
	caller_t *c = g_new0(caller_t, 1);

	c->env = env;
	c->kind = kind;
	c->team = team;
	c->text = text;
	c->tokens = tokens;
	g_strlcpy(c->id, id, sizeof(c->id));
	g_strlcpy(c->key, key, sizeof(c->key));
	c->body = make_body(c);
	c->ticket_body = g_string_new(NULL);
	c->limit_timer = evtimer_new(env->base, on_limit, c);
	c->leave_timer = evtimer_new(env->base, on_leave, c);
	c->repeat_timer = evtimer_new(env->base, on_repeat_timer, c);
	return c;
}

void caller_start(caller_t *c)
{
	c->started_us = clock_now_us();
	arm(c->limit_timer, time_limit_ms(c));
	if (c->leave_ms)
		arm(c->leave_timer, c->leave_ms);
	start_attempt(c);
}

void caller_free(caller_t *c)
{
	http_call_finish(&c->call);
	answer_finish(&c->answer);
	event_free(c->limit_timer);
	event_free(c->leave_timer);
	event_free(c->repeat_timer);
	g_string_free(c->ticket_body, TRUE);
	g_free(c->text);
	free(c->body);
	g_free(c);
}

double caller_first_ms(const caller_t *c)
{
	return c->first_us ? (c->first_us - c->started_us) / 1000.0 : -1;
}

double caller_whole_ms(const caller_t *c)
{
	return (c->ended_us - c->started_us) / 1000.0;
}
