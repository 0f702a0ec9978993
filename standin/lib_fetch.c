#include "standin/lib_fetch.h"

#include <glib.h>

enum { DEFAULT_TIMEOUT_MS = 5000, MAX_BODY = 64 << 20 /* bytes */ };

typedef struct fetch_state {
	fetch_t *fetch;
	struct event_base *base;
	struct evbuffer *body;
} fetch_state_t;

static void copy_header(struct evkeyvalq *headers, const char *name, char *out)
{
	const char *value = evhttp_find_header(headers, name);

	g_strlcpy(out, value ? value : "", FETCH_HEADER_SIZE);
}

static void on_head(void *ctx, int status, struct evkeyvalq *headers)
{
	fetch_state_t *r = ctx;

	r->fetch->status = status;
	copy_header(headers, "Papaya-Outcome", r->fetch->outcome);
	copy_header(headers, "Papaya-Request-Id", r->fetch->request_id);
	copy_header(headers, "Retry-After", r->fetch->retry_after);
}

static void on_data(void *ctx, struct evbuffer *body)
{
	fetch_state_t *r = ctx;

	evbuffer_add_buffer(r->body, body);
}

static void on_end(void *ctx, int status, const err_t *err)
{
	fetch_state_t *r = ctx;

	r->fetch->is_whole = !err;
	if (err)
		r->fetch->err = *err;
	event_base_loopbreak(r->base);
}

bool fetch_run(fetch_t *f)
{
	static const http_call_ops_t ops = { NULL, on_head, on_data, on_end };
	int64_t ms = f->timeout_ms ? f->timeout_ms : DEFAULT_TIMEOUT_MS;
	struct timeval tv = { ms / 1000, ms % 1000 * 1000 };
	fetch_state_t r = { f, event_base_new(), evbuffer_new() };
	http_request_t request = {
		.address = f->address,
		.method = f->method,
		.path = f->path,
		.headers = f->headers,
		.n_headers = f->n_headers,
		.body = str_from(f->body),
		.connect_timeout_ms = ms,
		.idle_timeout_ms = ms,
		.max_body = MAX_BODY,
	};
	http_call_t call = { 0 };

	f->is_whole = false;
	f->status = 0;
	event_base_loopexit(r.base, &tv);
	if (http_call_start(&call, r.base, &request, &ops, &r, &f->err)) {
		event_base_dispatch(r.base);
		http_call_finish(&call);
	}
	/* A cancelled call frees itself in the event loop. */
	event_base_loop(r.base, EVLOOP_NONBLOCK);
	evbuffer_add(r.body, "", 1);
	f->text = g_strdup((const char *)evbuffer_pullup(r.body, -1));
	evbuffer_free(r.body);
	event_base_free(r.base);
	return f->is_whole;
}

json_t *fetch_json(const char *address, const char *path)
{
	fetch_t f = { .method = EVHTTP_REQ_GET,
		      .address = address,
		      .path = path };
	json_t *json = NULL;

	if (fetch_run(&f) && f.status == HTTP_OK)
		json = json_loads(f.text, 0, NULL);
	g_free(f.text);
	return json;
}

bool fetch_set_faults(const char *address, const char *switches)
{
	fetch_t f = { .method = EVHTTP_REQ_POST,
		      .address = address,
		      .path = "/standin/faults",
		      .body = switches };
	bool ok = fetch_run(&f) && f.status == HTTP_OK;

	g_free(f.text);
	return ok;
}
