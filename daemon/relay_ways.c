/*
 * By which way a request goes to its granted runner: on a connection of this
 * daemon's own, or through another daemon (core/runner_paths.h). Nothing was
 * sent while a connection is not established, so that trying another way needs
 * neither a retry nor another grant.
 */
#define LOG_PART "relay"

#include "common/log.h"
#include "daemon/relay.h"

enum {
	US_PER_MS = 1000,
	MAX_WAYS = 3, /* its own and two proxies */
	/* A request with less time left is not tried by another way. */
	MIN_TIME_US = 20 * US_PER_MS,
};

static void unref_body(const void *data, size_t len, void *body)
{
	g_bytes_unref(body);
}

/* The body isn't copied: REQUEST holds a reference to it until it is sent. */
static void add_body(struct evbuffer *request, GBytes *body)
{
	gsize len;
	const void *data = g_bytes_get_data(body, &len);

	if (len)
		evbuffer_add_reference(request, data, len, unref_body,
				       g_bytes_ref(body));
}

/*
 * A late copy of an answer to an earlier send has this request's id, so another
 * send needs a connection of its own. A request that may run only once can't be
 * sent again when its connection turns out to be closed.
 */
static upstream_reuse_t allowed_reuse(const relay_t *r)
{
	if (r->sends)
		return UPSTREAM_REUSE_NONE;
	if (fleet_may_repeat(r->route))
		return UPSTREAM_REUSE_ANY;
	return r->gateway->sup->settings->reuse_connections ?
		       UPSTREAM_REUSE_FRESH :
		       UPSTREAM_REUSE_NONE;
}

static struct evbuffer *write_request(const relay_t *r)
{
	forward_params_t params = {
		.team = r->team ? r->team->name : NULL,
		.runner = r->runner.name,
		.remaining_ms = (r->deadline - now_us()) / US_PER_MS,
		/* Until then, what the caller states in its request holds. */
		.has_resume = r->last_event_id->len > 0,
		.resume_after = { r->last_event_id->str,
				  r->last_event_id->len },
	};
	struct evbuffer *request = evbuffer_new();

	call_head_write(request, r->head, &r->call, &params,
			g_bytes_get_size(r->body));
	add_body(request, r->body);
	return request;
}

/* Sends by way of PROXY; NULL: on a connection of its own. */
static bool start_by(relay_t *r, const char *proxy)
{
	struct evbuffer *request = write_request(r);

	g_strlcpy(r->proxy, proxy ? proxy : "", sizeof(r->proxy));
	if (proxy) {
		log_sample("proxied", "request=%s runner=%s proxy=%s tried=%u",
			   r->id, r->runner.name, proxy, r->ways_tried);
		metrics_add(&r->gateway->sup->metrics,
			    "papaya_proxied_attempts_total", NULL, 1);
	}
	r->upstream = upstream_conn_start(
		&r->gateway->pool, r->runner.address, proxy, allowed_reuse(r),
		str_eq(r->call.method, STR_LIT("HEAD")), request,
		&relay_answer_ops, r);
	evbuffer_free(request);
	return r->upstream;
}

bool relay_start_exchange(relay_t *r)
{
	runner_paths_t *paths = &r->gateway->paths;
	const char *proxy = NULL;
	int64_t now = now_us();

	r->ways_tried = 0;
	r->is_proxy_lost = false;
	if (!runner_paths_is_direct(paths, r->runner.address, now))
		proxy = runner_paths_proxy(paths, r->runner.address, now);
	return start_by(r, proxy);
}

static void record_failure(relay_t *r, upstream_way_t failed)
{
	gateway_t *g = r->gateway;

	switch (failed) {
	case UPSTREAM_WAY_DIRECT:
		gateway_on_path_failure(g, r->runner.address);
		break;
	case UPSTREAM_WAY_REMOTE:
		gateway_on_runner_down(g, r->runner.address);
		break;
	case UPSTREAM_WAY_PROXY:
		runner_paths_on_proxy_failure(&g->paths, r->proxy, now_us());
		break;
	}
}

bool relay_try_other_way(relay_t *r, upstream_way_t failed)
{
	int64_t now = now_us();
	const char *proxy;

	record_failure(r, failed);
	if (failed == UPSTREAM_WAY_REMOTE || ++r->ways_tried >= MAX_WAYS ||
	    r->deadline - now <= MIN_TIME_US)
		return false;
	proxy = runner_paths_proxy(&r->gateway->paths, r->runner.address, now);
	return proxy && start_by(r, proxy);
}

void relay_on_way_heard(relay_t *r)
{
	if (!r->proxy[0])
		runner_paths_on_heard(&r->gateway->paths, now_us());
}
