#include "daemon/upstream.h"

#include <errno.h>
#include <event2/bufferevent.h>
#include <stdlib.h>
#include <sys/socket.h>

#include "common/timeval.h"
#include "daemon/supervisor.h"
#include "net/http.h"
#include "net/tcp.h"
#include "net/tunnel.h"

enum {
	MAX_HEAD_BYTES = 64 * 1024, /* of an answer */
	CONNECT_TIMEOUT_MS = 400,
	DEFAULT_IDLE_MS = 2000, /* where the upstream states no timeout */
	MAX_IDLE_MS = 10000,
	IDLE_MARGIN_MS = 700, /* closed this long before the upstream does */
	REAP_INTERVAL_MS = 500,
	MAX_INTERIM_ANSWERS = 8, /* 1xx answers before the final one */
	MAX_IDLE_CONNECTIONS = 4, /* per upstream */
	FRESH_DIVISOR = 2, /* idle for less than its timeout / this */
	ADDRESS_SIZE = 64,
	KEY_SIZE = 2 * ADDRESS_SIZE + 1,
	/* Longest that a tunnel stays idle: its proxy may end meanwhile. */
	MAX_TUNNEL_IDLE_MS = 2000,
};

struct upstream_conn {
	upstream_pool_t *pool;
	char address[ADDRESS_SIZE];
	char proxy[ADDRESS_SIZE]; /* of the daemon in between; "": none */
	char key[KEY_SIZE]; /* of its queue of idle connections */
	struct bufferevent *bev;
	struct event *timer; /* connect timeout */
	http1_reader_t reader;
	upstream_ops_t ops;
	void *ctx;
	struct evbuffer *request; /* until the connection is established */
	struct evbuffer *received; /* through a tunnel, not yet parsed */
	upstream_way_t way; /* what failed, if it fails now */
	bool has_tunnel_end; /* the upstream ended its side in order */
	bool is_tunnel_broken; /* the upstream's connection broke */
	bool is_proxy_leaving;
	int64_t opened_at; /* microseconds, monotonic */
	int64_t idle_timeout; /* microseconds, by the last answer */
	int64_t idle_since; /* microseconds, monotonic */
	int64_t idle_until; /* no reuse after this; microseconds, monotonic */
	bool is_sent; /* the request's first byte may have been sent */
	/*
	 * A write failed. The system reports a reset only once: after a write
	 * took it, reads return an orderly end, which completes no answer.
	 */
	bool has_write_failed;
	bool is_busy; /* an exchange is in progress */
	bool is_reusable; /* the last answer allows another request */
	bool is_reused; /* it had an exchange before */
	bool is_interim; /* the head is a 1xx; the answer follows */
	bool is_skipped; /* the answer is dropped; the next one counts */
	bool has_skipped; /* an answer of this exchange was dropped */
	uint32_t n_interim;
	bool is_head_request;
	bool was_head_request; /* in an earlier exchange */
	bool is_retired; /* the reaper will free it */
};

static void free_conn(upstream_conn_t *u)
{
	bufferevent_free(u->bev);
	event_free(u->timer);
	http1_reader_finish(&u->reader);
	evbuffer_free(u->request);
	evbuffer_free(u->received);
	g_free(u);
}

static void on_reap(evutil_socket_t fd, short what, void *arg);

static void free_queue(void *data)
{
	g_queue_free(data);
}

void upstream_pool_init(upstream_pool_t *p, struct event_base *base,
			str_t secret)
{
	struct timeval period = timeval_from_ms(REAP_INTERVAL_MS);

	*p = (upstream_pool_t){ .base = base, .secret = secret };
	p->idle = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					free_queue);
	p->busy = g_hash_table_new(NULL, NULL);
	p->retired = g_ptr_array_new();
	p->reaper = event_new(base, -1, EV_PERSIST, on_reap, p);
	event_add(p->reaper, &period);
}

static void free_idle(upstream_pool_t *p, GQueue *queue)
{
	upstream_conn_t *u;

	while ((u = g_queue_pop_head(queue)))
		free_conn(u);
}

void upstream_pool_finish(upstream_pool_t *p)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, p->idle);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		free_idle(p, value);
	g_hash_table_iter_init(&iter, p->busy);
	while (g_hash_table_iter_next(&iter, &value, NULL))
		free_conn(value);
	for (guint i = 0; i < p->retired->len; i++)
		free_conn(p->retired->pdata[i]);
	g_ptr_array_unref(p->retired);
	g_hash_table_destroy(p->idle);
	g_hash_table_destroy(p->busy);
	event_free(p->reaper);
}

/* Closes a connection and removes it from the pool; the reaper frees it. */
static void retire(upstream_conn_t *u)
{
	upstream_pool_t *p = u->pool;
	GQueue *queue = g_hash_table_lookup(p->idle, u->key);

	if (u->is_retired)
		return;
	u->is_retired = true;
	g_hash_table_remove(p->busy, u);
	if (queue)
		g_queue_remove(queue, u);
	bufferevent_disable(u->bev, EV_READ | EV_WRITE);
	bufferevent_setcb(u->bev, NULL, NULL, NULL, NULL);
	event_del(u->timer);
	/* Close now, so that the peer doesn't wait until the reaper runs. */
	evutil_closesocket(bufferevent_getfd(u->bev));
	bufferevent_setfd(u->bev, -1);
	g_ptr_array_add(p->retired, u);
	event_active(p->reaper, EV_TIMEOUT, 0);
}

static void reap_idle(upstream_pool_t *p, GQueue *queue, int64_t now)
{
	upstream_conn_t *u;

	while ((u = g_queue_peek_head(queue)) && u->idle_until <= now)
		retire(u);
}

static void on_reap(evutil_socket_t fd, short what, void *arg)
{
	upstream_pool_t *p = arg;
	GHashTableIter iter;
	gpointer queue;

	g_hash_table_iter_init(&iter, p->idle);
	while (g_hash_table_iter_next(&iter, NULL, &queue)) {
		reap_idle(p, queue, now_us());
		if (g_queue_is_empty(queue))
			g_hash_table_iter_remove(&iter);
	}
	for (guint i = 0; i < p->retired->len; i++)
		free_conn(p->retired->pdata[i]);
	g_ptr_array_set_size(p->retired, 0);
}

static bool is_tunnel(const upstream_conn_t *u)
{
	return u->proxy[0] != '\0';
}

/* What was received of the upstream, and is not parsed yet. */
static struct evbuffer *input_of(const upstream_conn_t *u)
{
	return is_tunnel(u) ? u->received : bufferevent_get_input(u->bev);
}

static void end_exchange(upstream_conn_t *u, upstream_end_t end)
{
	upstream_ops_t ops = u->ops;
	void *ctx = u->ctx;

	if (!u->is_busy)
		return;
	u->is_busy = false;
	ops.end(ctx, end);
}

/*
 * Gives an exchange up: what the upstream has not received of the request must
 * not reach it later, for another one may have the request by then.
 */
static void abort_exchange(upstream_conn_t *u)
{
	if (!u->is_retired)
		tcp_reset_on_close(bufferevent_getfd(u->bev));
	retire(u);
}

static void fail_exchange(upstream_conn_t *u, upstream_end_t end)
{
	abort_exchange(u);
	end_exchange(u, end);
}

/*
 * Returns how long the connection may stay idle: the timeout that the answer's
 * Keep-Alive header states in seconds ("timeout=5"), less IDLE_MARGIN_MS, or a
 * default.
 */
static int64_t stated_idle_ms(const http1_head_t *head)
{
	const http1_header_t *h =
		http1_find_header(head, STR_LIT("keep-alive"));
	g_autofree char *text =
		h ? g_strndup(h->value.ptr, h->value.len) : NULL;
	const char *timeout = text ? strstr(text, "timeout=") : NULL;
	int64_t ms;

	if (!timeout)
		return DEFAULT_IDLE_MS;
	ms = g_ascii_strtoll(timeout + strlen("timeout="), NULL, 10) * 1000;
	return CLAMP(ms - IDLE_MARGIN_MS, 0, MAX_IDLE_MS);
}

static bool on_head(void *ctx, const http1_head_t *head)
{
	upstream_conn_t *u = ctx;

	u->is_interim = head->status < HTTP_STATUS_OK;
	if (u->is_interim)
		return head->status != HTTP_STATUS_SWITCHING_PROTOCOLS &&
		       ++u->n_interim <= MAX_INTERIM_ANSWERS;
	u->is_reusable = head->keeps_alive && !u->has_skipped;
	u->idle_timeout = stated_idle_ms(head) * 1000;
	if (is_tunnel(u))
		u->idle_timeout = MIN(u->idle_timeout,
				      MAX_TUNNEL_IDLE_MS * INT64_C(1000));
	return u->ops.head(u->ctx, head);
}

static bool on_body(void *ctx, str_t bytes)
{
	upstream_conn_t *u = ctx;

	return u->is_skipped || u->ops.body(u->ctx, bytes);
}

bool upstream_conn_skip_answer(upstream_conn_t *u)
{
	/* An answer to HEAD has no body, whatever its head states. */
	if (!u->is_reused || u->has_skipped || u->is_head_request ||
	    u->was_head_request)
		return false;
	u->is_skipped = true;
	u->has_skipped = true;
	u->pool->stats.skipped++;
	return true;
}

/*
 * The answer is complete. Keeps the connection if the answer allows it, the
 * request is sent to its end, and no data follows the answer.
 */
static void finish_exchange(upstream_conn_t *u)
{
	upstream_pool_t *p = u->pool;
	struct evbuffer *in = input_of(u);
	struct evbuffer *out = bufferevent_get_output(u->bev);
	GQueue *queue = g_hash_table_lookup(p->idle, u->key);

	if (evbuffer_get_length(in))
		p->stats.unexpected_data++;
	/* After an early answer, part of the request's body is still unsent. */
	if (!u->is_reusable || u->has_write_failed || evbuffer_get_length(in) ||
	    evbuffer_get_length(out) || u->idle_timeout <= 0 ||
	    u->is_proxy_leaving || u->has_tunnel_end || u->is_tunnel_broken ||
	    (queue && queue->length >= MAX_IDLE_CONNECTIONS)) {
		fail_exchange(u, UPSTREAM_COMPLETE);
		return;
	}
	if (!queue) {
		queue = g_queue_new();
		g_hash_table_insert(p->idle, g_strdup(u->key), queue);
	}
	g_hash_table_remove(p->busy, u);
	u->idle_since = now_us();
	u->idle_until = u->idle_since + u->idle_timeout;
	g_queue_push_tail(queue, u);
	bufferevent_enable(u->bev, EV_READ);
	end_exchange(u, UPSTREAM_COMPLETE);
}

static void read_tunnel(upstream_conn_t *u);

/* Parses the received bytes until the exchange is over. */
static void parse(upstream_conn_t *u)
{
	struct evbuffer *in = input_of(u);

	if (!u->is_busy) {
		u->pool->stats.unexpected_data++;
		retire(u);
		return;
	}
	while (!u->is_retired && u->is_busy && evbuffer_get_length(in)) {
		size_t n = evbuffer_get_length(in);
		str_t bytes = { (char *)evbuffer_pullup(in, -1), n };
		size_t consumed;
		http1_result_t result =
			http1_reader_feed(&u->reader, bytes, &consumed);

		if (u->is_retired)
			return;
		evbuffer_drain(in, consumed);
		if (result == HTTP1_END && (u->is_interim || u->is_skipped)) {
			u->is_skipped = false;
			http1_reader_reset(&u->reader);
			u->reader.is_head_response = u->is_head_request;
		} else if (result == HTTP1_END) {
			finish_exchange(u);
		} else if (result != HTTP1_MORE) {
			fail_exchange(u, UPSTREAM_MALFORMED);
		}
	}
}

static void on_read(struct bufferevent *bev, void *arg)
{
	upstream_conn_t *u = arg;

	if (is_tunnel(u))
		read_tunnel(u);
	else
		parse(u);
}

static void send_request(upstream_conn_t *u)
{
	u->is_sent = true;
	event_del(u->timer);
	bufferevent_write_buffer(u->bev, u->request);
	bufferevent_enable(u->bev, EV_READ | EV_WRITE);
}

static void on_eof(upstream_conn_t *u)
{
	if (!u->is_busy) {
		retire(u);
		return;
	}
	if (u->reader.has_head && !u->is_interim && !u->is_skipped &&
	    !u->has_write_failed && http1_reader_eof(&u->reader) == HTTP1_END) {
		u->is_reusable = false;
		finish_exchange(u);
		return;
	}
	fail_exchange(u, UPSTREAM_BROKEN);
}

/* Ends a tunnel without the upstream's orderly end. */
static void end_tunnel(upstream_conn_t *u)
{
	if (u->is_busy)
		fail_exchange(u, UPSTREAM_BROKEN);
	else
		retire(u);
}

static void handle_frame(upstream_conn_t *u, tunnel_frame_t frame)
{
	switch (frame) {
	case TUNNEL_OPEN:
		send_request(u);
		break;
	case TUNNEL_UNREACHABLE:
		u->way = UPSTREAM_WAY_REMOTE;
		fail_exchange(u, UPSTREAM_UNSENT);
		break;
	case TUNNEL_UNAVAILABLE:
		fail_exchange(u, UPSTREAM_UNSENT);
		break;
	case TUNNEL_END:
		u->way = UPSTREAM_WAY_REMOTE;
		u->has_tunnel_end = true;
		break;
	case TUNNEL_BROKEN:
		u->way = UPSTREAM_WAY_REMOTE;
		u->is_tunnel_broken = true;
		break;
	case TUNNEL_LEAVING:
		u->is_proxy_leaving = true;
		break;
	default:
		break;
	}
}

/* Takes the frames of a tunnel; its data is parsed like a connection's. */
static void read_tunnel(upstream_conn_t *u)
{
	struct evbuffer *in = bufferevent_get_input(u->bev);
	tunnel_frame_t frame;
	tunnel_result_t result;

	while (!u->is_retired &&
	       (result = tunnel_read(in, &frame, u->received)) != TUNNEL_MORE) {
		bool is_first = frame == TUNNEL_OPEN ||
				frame == TUNNEL_UNREACHABLE ||
				frame == TUNNEL_UNAVAILABLE;

		if (result == TUNNEL_MALFORMED || is_first == u->is_sent) {
			fail_exchange(u, u->is_sent ? UPSTREAM_MALFORMED :
						      UPSTREAM_UNSENT);
			return;
		}
		handle_frame(u, frame);
	}
	if (!u->is_retired && evbuffer_get_length(u->received))
		parse(u);
	if (u->is_retired)
		return;
	if (u->is_tunnel_broken)
		end_tunnel(u);
	else if (u->has_tunnel_end)
		on_eof(u);
	else if (u->is_proxy_leaving && !u->is_busy)
		retire(u);
}

static void on_connected(upstream_conn_t *u)
{
	tcp_detect_dead_peer(bufferevent_getfd(u->bev));
	if (!is_tunnel(u)) {
		send_request(u);
		return;
	}
	tunnel_write_hello(bufferevent_get_output(u->bev), u->pool->secret,
			   u->address);
	bufferevent_enable(u->bev, EV_READ | EV_WRITE);
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	upstream_conn_t *u = arg;

	if (what & BEV_EVENT_CONNECTED) {
		on_connected(u);
		return;
	}
	if (!u->is_sent) {
		fail_exchange(u, UPSTREAM_UNSENT);
		return;
	}
	/* The end of the proxy is not that of the upstream. */
	if (is_tunnel(u) && what & BEV_EVENT_EOF) {
		end_tunnel(u);
		return;
	}
	if (what & BEV_EVENT_WRITING)
		u->has_write_failed = true;
	/*
	 * The upstream may have answered before it stopped reading: read on,
	 * unless this callback reports an error of reading as well.
	 */
	if (u->is_busy && !(what & BEV_EVENT_READING))
		return;
	if (what & BEV_EVENT_EOF)
		on_eof(u);
	else if (u->is_busy)
		fail_exchange(u, UPSTREAM_BROKEN);
	else
		retire(u);
}

static void on_connect_timeout(evutil_socket_t fd, short what, void *arg)
{
	upstream_conn_t *u = arg;

	if (!u->is_sent)
		fail_exchange(u, UPSTREAM_UNSENT);
}

/* Returns whether the upstream has sent nothing that wasn't read yet. */
static bool is_silent(const upstream_conn_t *u)
{
	char byte;
	ssize_t n = recv(bufferevent_getfd(u->bev), &byte, sizeof(byte),
			 MSG_PEEK | MSG_DONTWAIT);

	if (evbuffer_get_length(bufferevent_get_input(u->bev)) ||
	    evbuffer_get_length(u->received))
		return false;
	return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

static bool is_fresh(const upstream_conn_t *u, int64_t now)
{
	return now - u->idle_since < u->idle_timeout / FRESH_DIVISOR &&
	       is_silent(u);
}

uint32_t upstream_conn_fresh_ms(const upstream_conn_t *u)
{
	if (u->is_retired)
		return 0;
	return (uint32_t)(u->idle_timeout / FRESH_DIVISOR / 1000);
}

/* The connection that was used last is tried first. */
static upstream_conn_t *take_idle(upstream_pool_t *p, const char *key,
				  upstream_reuse_t reuse)
{
	GQueue *queue = g_hash_table_lookup(p->idle, key);
	int64_t now = now_us();
	upstream_conn_t *u;

	if (!queue || reuse == UPSTREAM_REUSE_NONE)
		return NULL;
	while ((u = g_queue_peek_tail(queue))) {
		if (u->idle_until <= now) {
			retire(u);
			continue;
		}
		if (reuse == UPSTREAM_REUSE_FRESH && !is_fresh(u, now))
			return NULL;
		g_queue_pop_tail(queue);
		return u;
	}
	return NULL;
}

static bool connect_to(upstream_conn_t *u)
{
	struct sockaddr_storage address;
	int len = sizeof(address);
	struct timeval limit = timeval_from_ms(CONNECT_TIMEOUT_MS);

	if (evutil_parse_sockaddr_port(is_tunnel(u) ? u->proxy : u->address,
				       (struct sockaddr *)&address, &len))
		return false;
	event_add(u->timer, &limit);
	u->pool->stats.connects++;
	return !bufferevent_socket_connect(u->bev, (struct sockaddr *)&address,
					   len);
}

/* Names the connections to an address by the same way. */
static void make_key(char key[KEY_SIZE], const char *address, const char *proxy)
{
	g_snprintf(key, KEY_SIZE, "%s%s%s", proxy ? proxy : "",
		   proxy ? " " : "", address);
}

static upstream_conn_t *new_conn(upstream_pool_t *p, const char *address,
				 const char *proxy, const char *key)
{
	static const http1_ops_t ops = { on_head, on_body };
	upstream_conn_t *u = g_new0(upstream_conn_t, 1);

	u->pool = p;
	u->opened_at = now_us();
	g_strlcpy(u->address, address, sizeof(u->address));
	g_strlcpy(u->proxy, proxy ? proxy : "", sizeof(u->proxy));
	g_strlcpy(u->key, key, sizeof(u->key));
	u->way = proxy ? UPSTREAM_WAY_PROXY : UPSTREAM_WAY_DIRECT;
	u->bev = bufferevent_socket_new(
		p->base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	u->timer = evtimer_new(p->base, on_connect_timeout, u);
	u->request = evbuffer_new();
	u->received = evbuffer_new();
	http1_reader_init(&u->reader, HTTP1_RESPONSE, MAX_HEAD_BYTES, &ops, u);
	bufferevent_setcb(u->bev, on_read, NULL, on_event, u);
	return u;
}

upstream_conn_t *upstream_conn_start(upstream_pool_t *p, const char *address,
				     const char *proxy, upstream_reuse_t reuse,
				     bool is_head_request,
				     struct evbuffer *request,
				     const upstream_ops_t *ops, void *ctx)
{
	char key[KEY_SIZE];
	upstream_conn_t *u;
	bool is_new;

	make_key(key, address, proxy);
	u = take_idle(p, key, reuse);
	is_new = !u;
	if (is_new)
		u = new_conn(p, address, proxy, key);
	u->ops = *ops;
	u->ctx = ctx;
	u->is_busy = true;
	u->is_reusable = false;
	u->has_write_failed = false;
	u->is_interim = false;
	u->is_skipped = false;
	u->has_skipped = false;
	u->n_interim = 0;
	u->was_head_request |= u->is_head_request;
	u->is_head_request = is_head_request;
	http1_reader_reset(&u->reader);
	u->reader.is_head_response = is_head_request;
	evbuffer_add_buffer(u->request, request);
	g_hash_table_add(p->busy, u);
	u->is_reused = !is_new;
	if (!is_new) {
		p->stats.reuses++;
		send_request(u);
		return u;
	}
	if (connect_to(u))
		return u;
	u->is_busy = false;
	retire(u);
	return NULL;
}

void upstream_conn_cancel(upstream_conn_t *u)
{
	u->is_busy = false;
	abort_exchange(u);
}

void upstream_conn_pause(upstream_conn_t *u, bool is_paused)
{
	if (is_paused)
		bufferevent_disable(u->bev, EV_READ);
	else
		bufferevent_enable(u->bev, EV_READ);
}

void upstream_pool_drop_idle(upstream_pool_t *p, const char *address)
{
	GQueue *queue = g_hash_table_lookup(p->idle, address);
	upstream_conn_t *u;

	while (queue && (u = g_queue_peek_head(queue)))
		retire(u);
}

upstream_way_t upstream_conn_way(const upstream_conn_t *u)
{
	return u->way;
}

bool upstream_conn_is_sent(const upstream_conn_t *u)
{
	return u->is_sent;
}

int64_t upstream_conn_opened_at(const upstream_conn_t *u)
{
	return u->opened_at;
}

bool upstream_conn_is_reused(const upstream_conn_t *u)
{
	return u->is_reused;
}
