#include "daemon/load_poll.h"

#include <jansson.h>

#include "daemon/supervisor.h"

enum {
	MAX_REPORT_BYTES = 64 * 1024,
	REPORT_TIMEOUT_MS = 1000,
};

void load_poll_init(load_poll_t *p, load_poll_fn fn, void *ctx)
{
	*p = (load_poll_t){ .fn = fn, .ctx = ctx, .body = g_string_new("") };
}

void load_poll_finish(load_poll_t *p)
{
	http_call_finish(&p->call);
	g_string_free(p->body, TRUE);
}

static void on_data(void *ctx, struct evbuffer *body)
{
	load_poll_t *p = ctx;
	size_t n = evbuffer_get_length(body);

	g_string_append_len(p->body, (char *)evbuffer_pullup(body, -1),
			    (gssize)n);
}

static uint32_t get_uint32(json_t *root, const char *key)
{
	json_int_t n = json_integer_value(json_object_get(root, key));

	return n > 0 && n <= UINT32_MAX ? (uint32_t)n : 0;
}

static void pass_report(load_poll_t *p)
{
	json_t *root = json_loadb(p->body->str, p->body->len, 0, NULL);
	const char *state = json_string_value(json_object_get(root, "state"));
	int64_t as_of_ms =
		json_integer_value(json_object_get(root, "as_of_ms"));
	int64_t lag_us = g_get_real_time() - as_of_ms * 1000;
	dispatcher_report_t report = {
		.as_of = now_us() - (as_of_ms && lag_us > 0 ? lag_us : 0),
		.running = get_uint32(root, "running"),
		.waiting = get_uint32(root, "waiting"),
		.waiting_prompt_tokens =
			get_uint32(root, "waiting_prompt_tokens"),
		.running_tokens = get_uint32(root, "running_tokens"),
		.is_leaving = state && !strcmp(state, "leaving"),
	};

	if (json_is_object(root))
		p->fn(p->ctx, &report);
	json_decref(root);
}

/* A status other than 200 means that the runner has no load report. */
static void pass_empty_report(load_poll_t *p)
{
	dispatcher_report_t none = { .as_of = now_us() };

	p->fn(p->ctx, &none);
}

static void on_end(void *ctx, int status, const err_t *err)
{
	load_poll_t *p = ctx;

	p->is_polling = false;
	http_call_finish(&p->call);
	if (err)
		p->fn(p->ctx, NULL);
	else if (status == HTTP_OK)
		pass_report(p);
	else
		pass_empty_report(p);
}

void load_poll_start(load_poll_t *p, struct event_base *base,
		     const char *address)
{
	static const http_call_ops_t ops = { NULL, NULL, on_data, on_end };
	http_request_t request = {
		.address = address,
		.method = EVHTTP_REQ_GET,
		.path = "/v1/load",
		.body = STR_LIT(""),
		.connect_timeout_ms = REPORT_TIMEOUT_MS,
		.idle_timeout_ms = REPORT_TIMEOUT_MS,
		.max_body = MAX_REPORT_BYTES,
	};

	if (p->is_polling)
		return;
	g_string_truncate(p->body, 0);
	p->is_polling =
		http_call_start(&p->call, base, &request, &ops, p, NULL);
}
