#include "tests/lib_fake_http.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

enum { DRIP_US = 5000 };

typedef struct conn {
	fake_http_t *server;
	struct bufferevent *bev;
	struct event *drip_timer;
	char last_byte;
	bool is_answered;
} conn_t;

static void free_conn(void *p)
{
	conn_t *c = p;

	if (c->drip_timer)
		event_free(c->drip_timer);
	bufferevent_free(c->bev);
	g_free(c);
}

static void on_drip(evutil_socket_t fd, short what, void *ctx)
{
	conn_t *c = ctx;

	bufferevent_write(c->bev, &c->last_byte, 1);
}

static void on_written(struct bufferevent *bev, void *ctx)
{
	conn_t *c = ctx;

	if (c->is_answered && !evbuffer_get_length(bufferevent_get_output(bev)))
		g_hash_table_remove(c->server->conns, c);
}

static void on_event(struct bufferevent *bev, short what, void *ctx)
{
	conn_t *c = ctx;

	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		g_hash_table_remove(c->server->conns, c);
}

static void start_drip(conn_t *c, const fake_reply_t *reply)
{
	const struct timeval step = { 0, DRIP_US };

	c->last_byte = reply->bytes->str[reply->bytes->len - 1];
	c->drip_timer = event_new(c->server->base, -1, EV_PERSIST, on_drip, c);
	event_add(c->drip_timer, &step);
}

static void answer(conn_t *c, const fake_request_t *request)
{
	fake_reply_t reply = { .bytes = g_string_new("") };

	c->server->requests++;
	c->server->handler(c->server->ctx, request, &reply);
	bufferevent_write(c->bev, reply.bytes->str, reply.bytes->len);
	if (reply.end == FAKE_DRIP)
		start_drip(c, &reply);
	c->is_answered = reply.end == FAKE_CLOSE;
	if (c->is_answered && !reply.bytes->len)
		g_hash_table_remove(c->server->conns, c);
	g_string_free(reply.bytes, TRUE);
}

static void on_read(struct bufferevent *bev, void *ctx)
{
	static const char length_header[] = "\r\nContent-Length:";
	conn_t *c = ctx;
	struct evbuffer *in = bufferevent_get_input(bev);
	size_t n = evbuffer_get_length(in);
	/* A body may hold NUL bytes, which g_strndup would stop at. */
	g_autofree char *text = g_malloc0(n + 1);
	char *body;
	const char *length;
	size_t body_len;

	evbuffer_copyout(in, text, n);
	body = strstr(text, "\r\n\r\n");
	if (!body)
		return;
	*body = '\0';
	body += 4;
	length = strcasestr(text, length_header);
	body_len =
		length ? strtoul(length + strlen(length_header), NULL, 10) : 0;
	if (evbuffer_get_length(in) < (size_t)(body - text) + body_len)
		return;
	g_auto(GStrv) words = g_strsplit(text, " ", 3);
	fake_request_t request = {
		words[0], words[1], text, { body, body_len }
	};

	evbuffer_drain(in, evbuffer_get_length(in));
	answer(c, &request);
}

static void on_accept(struct evconnlistener *l, evutil_socket_t fd,
		      struct sockaddr *addr, int len, void *ctx)
{
	fake_http_t *f = ctx;
	conn_t *c = g_new0(conn_t, 1);

	c->server = f;
	c->bev = bufferevent_socket_new(f->base, fd, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(c->bev, on_read, on_written, on_event, c);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
	g_hash_table_add(f->conns, c);
}

void fake_http_init(fake_http_t *f, struct event_base *base,
		    fake_handler_fn handler, void *ctx)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	socklen_t len = sizeof(sin);

	/* As in the daemon: a client may reset its connection. */
	signal(SIGPIPE, SIG_IGN);
	memset(f, 0, sizeof(*f));
	f->base = base;
	f->handler = handler;
	f->ctx = ctx;
	f->conns = g_hash_table_new_full(NULL, NULL, free_conn, NULL);
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	f->listener = evconnlistener_new_bind(
		base, on_accept, f, LEV_OPT_CLOSE_ON_FREE, -1,
		(struct sockaddr *)&sin, sizeof(sin));
	g_assert(f->listener);
	getsockname(evconnlistener_get_fd(f->listener), (struct sockaddr *)&sin,
		    &len);
	snprintf(f->address, sizeof(f->address), "127.0.0.1:%u",
		 ntohs(sin.sin_port));
}

void fake_http_finish(fake_http_t *f)
{
	g_clear_pointer(&f->listener, evconnlistener_free);
	g_clear_pointer(&f->conns, g_hash_table_unref);
}

void fake_reply_json(fake_reply_t *reply, int status, const char *body)
{
	g_string_printf(reply->bytes,
			"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
			"Content-Length: %zu\r\n\r\n%s",
			status, strlen(body), body);
}
