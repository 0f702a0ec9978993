#define LOG_PART "tunnel"

#include "daemon/tunnel_server.h"

#include <event2/bufferevent.h>
#include <inttypes.h>
#include <stdlib.h>
#include <sys/socket.h>

#include "common/log.h"
#include "common/timeval.h"
#include "net/tcp.h"
#include "net/tunnel.h"

enum {
	BACKLOG = 128,
	MAX_TUNNELS = 512,
	/* Shorter than the other daemon waits for the tunnel. */
	CONNECT_TIMEOUT_MS = 250,
	HELLO_TIMEOUT_MS = 1000,
	FLUSH_TIMEOUT_MS = 5000, /* for the last bytes */
	MOST_HELD = 64 * 1024, /* bytes a direction, before reading stops */
	LEAST_HELD = 16 * 1024, /* and goes on */
};

typedef enum tunnel_state {
	TUNNEL_AWAITS_HELLO,
	TUNNEL_CONNECTING,
	TUNNEL_IS_OPEN,
	TUNNEL_CLOSING, /* sends the client its last frames */
} tunnel_state_t;

typedef struct tunnel {
	tunnel_server_t *server;
	GList link;
	tunnel_state_t state;
	char address[TUNNEL_ADDRESS_SIZE]; /* of the runner */
	struct bufferevent *client, *runner; /* the runner's may be NULL */
	struct event *timer; /* end of the present state */
	/*
	 * A write to the runner failed. The system reports a reset only once:
	 * after a write took it, reads return an orderly end.
	 */
	bool has_write_failed;
} tunnel_t;

static void tunnel_free(tunnel_t *t)
{
	g_queue_unlink(&t->server->tunnels, &t->link);
	bufferevent_free(t->client);
	if (t->runner)
		bufferevent_free(t->runner);
	event_free(t->timer);
	g_free(t);
}

static void start_timer(tunnel_t *t, int64_t ms)
{
	struct timeval limit = timeval_from_ms(ms);

	event_add(t->timer, &limit);
}

/* Ends the tunnel once its client has all frames, FRAME as the last. */
static void close_with(tunnel_t *t, tunnel_frame_t frame)
{
	t->state = TUNNEL_CLOSING;
	if (t->runner)
		bufferevent_free(t->runner);
	t->runner = NULL;
	tunnel_write(bufferevent_get_output(t->client), frame);
	bufferevent_setwatermark(t->client, EV_WRITE, 0, 0);
	bufferevent_disable(t->client, EV_READ);
	start_timer(t, FLUSH_TIMEOUT_MS);
}

static void refuse(tunnel_t *t, tunnel_reach_t reach, const char *why)
{
	t->server->n_refused++;
	log_event("tunnel-refused", "runner=%s reaches_others=%s why=\"%s\"",
		  t->address, reach == TUNNEL_REACH_NO ? "yes" : "no", why);
	close_with(t, reach == TUNNEL_REACH_NO ? TUNNEL_UNREACHABLE :
						 TUNNEL_UNAVAILABLE);
}

/* Reads no more from IN while OUT holds too much. */
static void bound_held(struct bufferevent *in, struct bufferevent *out)
{
	if (evbuffer_get_length(bufferevent_get_output(out)) > MOST_HELD)
		bufferevent_disable(in, EV_READ);
}

static void forward_to_runner(tunnel_t *t)
{
	evbuffer_add_buffer(bufferevent_get_output(t->runner),
			    bufferevent_get_input(t->client));
	bound_held(t->client, t->runner);
}

static void forward_to_client(tunnel_t *t)
{
	tunnel_write_data(bufferevent_get_output(t->client),
			  bufferevent_get_input(t->runner));
	bound_held(t->runner, t->client);
}

static void on_runner_read(struct bufferevent *bev, void *arg)
{
	forward_to_client(arg);
}

/* The runner took what was held: the client may send more. */
static void on_runner_written(struct bufferevent *bev, void *arg)
{
	tunnel_t *t = arg;

	bufferevent_enable(t->client, EV_READ);
}

static void on_connected(tunnel_t *t)
{
	t->state = TUNNEL_IS_OPEN;
	t->server->n_opened++;
	event_del(t->timer);
	tcp_detect_dead_peer(bufferevent_getfd(t->runner));
	bufferevent_enable(t->runner, EV_READ | EV_WRITE);
	tunnel_write(bufferevent_get_output(t->client), TUNNEL_OPEN);
	if (t->server->is_leaving)
		tunnel_write(bufferevent_get_output(t->client), TUNNEL_LEAVING);
	t->server->ops->result(t->server->ctx, t->address, true);
	forward_to_runner(t);
}

static void on_connect_failure(tunnel_t *t, const char *why)
{
	tunnel_server_t *s = t->server;
	tunnel_reach_t reach;

	s->ops->result(s->ctx, t->address, false);
	reach = s->ops->reach(s->ctx, t->address);
	refuse(t, reach == TUNNEL_REACH_TRY ? TUNNEL_REACH_UNKNOWN : reach,
	       why);
}

static void on_runner_event(struct bufferevent *bev, short what, void *arg)
{
	tunnel_t *t = arg;

	if (what & BEV_EVENT_CONNECTED) {
		on_connected(t);
		return;
	}
	if (t->state == TUNNEL_CONNECTING) {
		on_connect_failure(t, "the connection failed");
		return;
	}
	if (what & BEV_EVENT_WRITING)
		t->has_write_failed = true;
	/* It may have answered before it stopped reading: read on. */
	if (what & BEV_EVENT_WRITING && !(what & BEV_EVENT_READING)) {
		bufferevent_disable(bev, EV_WRITE);
		return;
	}
	forward_to_client(t);
	close_with(t, what & BEV_EVENT_EOF && !t->has_write_failed ?
			      TUNNEL_END :
			      TUNNEL_BROKEN);
}

static void connect_runner(tunnel_t *t)
{
	struct sockaddr_storage name;
	int len = sizeof(name);

	t->state = TUNNEL_CONNECTING;
	if (evutil_parse_sockaddr_port(t->address, (struct sockaddr *)&name,
				       &len)) {
		refuse(t, TUNNEL_REACH_UNKNOWN, "IP:port is expected");
		return;
	}
	t->runner = bufferevent_socket_new(t->server->base, -1,
					   BEV_OPT_CLOSE_ON_FREE |
						   BEV_OPT_DEFER_CALLBACKS);
	bufferevent_setwatermark(t->runner, EV_READ, 0, MOST_HELD);
	bufferevent_setwatermark(t->runner, EV_WRITE, LEAST_HELD, 0);
	bufferevent_setcb(t->runner, on_runner_read, on_runner_written,
			  on_runner_event, t);
	start_timer(t, CONNECT_TIMEOUT_MS);
	/* A failure is reported to on_runner_event. */
	bufferevent_socket_connect(t->runner, (struct sockaddr *)&name, len);
}

static void on_hello(tunnel_t *t)
{
	tunnel_server_t *s = t->server;
	tunnel_reach_t reach;

	if (s->is_leaving || s->tunnels.length > MAX_TUNNELS) {
		refuse(t, TUNNEL_REACH_UNKNOWN,
		       s->is_leaving ? "this daemon is stopping" :
				       "too many tunnels are open");
		return;
	}
	reach = s->ops->reach(s->ctx, t->address);
	if (reach != TUNNEL_REACH_TRY)
		refuse(t, reach, "no connection is tried now");
	else
		connect_runner(t);
}

static void read_hello(tunnel_t *t)
{
	switch (tunnel_read_hello(bufferevent_get_input(t->client),
				  t->server->secret, t->address)) {
	case TUNNEL_READ:
		on_hello(t);
		break;
	case TUNNEL_MALFORMED:
		log_event("tunnel-malformed", "why=\"no daemon sent this\"");
		tunnel_free(t);
		break;
	default:
		break;
	}
}

static void on_client_read(struct bufferevent *bev, void *arg)
{
	tunnel_t *t = arg;

	if (t->state == TUNNEL_AWAITS_HELLO)
		read_hello(t);
	else if (t->state == TUNNEL_IS_OPEN)
		forward_to_runner(t);
}

/* The client took what was held: the runner may send more. */
static void on_client_written(struct bufferevent *bev, void *arg)
{
	tunnel_t *t = arg;

	/* The callback may be of what was written before the last frames. */
	if (t->state == TUNNEL_CLOSING &&
	    !evbuffer_get_length(bufferevent_get_output(bev)))
		tunnel_free(t);
	else if (t->state == TUNNEL_IS_OPEN)
		bufferevent_enable(t->runner, EV_READ);
}

/* The other daemon gave the request up, or is gone. */
static void on_client_event(struct bufferevent *bev, short what, void *arg)
{
	tunnel_t *t = arg;

	if (t->runner)
		tcp_reset_on_close(bufferevent_getfd(t->runner));
	tunnel_free(t);
}

static void on_timeout(evutil_socket_t fd, short what, void *arg)
{
	tunnel_t *t = arg;

	if (t->state == TUNNEL_CONNECTING)
		on_connect_failure(t, "no connection in time");
	else
		tunnel_free(t);
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int len, void *arg)
{
	tunnel_server_t *s = arg;
	tunnel_t *t = g_new0(tunnel_t, 1);

	t->server = s;
	t->link.data = t;
	g_queue_push_tail_link(&s->tunnels, &t->link);
	t->timer = evtimer_new(s->base, on_timeout, t);
	tcp_detect_dead_peer(fd);
	t->client = bufferevent_socket_new(
		s->base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	bufferevent_setwatermark(t->client, EV_READ, 0, MOST_HELD);
	bufferevent_setwatermark(t->client, EV_WRITE, LEAST_HELD, 0);
	bufferevent_setcb(t->client, on_client_read, on_client_written,
			  on_client_event, t);
	bufferevent_enable(t->client, EV_READ | EV_WRITE);
	start_timer(t, HELLO_TIMEOUT_MS);
}

bool tunnel_server_init(tunnel_server_t *s, struct event_base *base,
			const char *address, str_t secret,
			const tunnel_server_ops_t *ops, void *ctx, err_t *err)
{
	struct sockaddr_storage name;
	int len = sizeof(name);

	*s = (tunnel_server_t){
		.base = base, .secret = secret, .ops = ops, .ctx = ctx
	};
	g_queue_init(&s->tunnels);
	if (!address)
		return true;
	if (evutil_parse_sockaddr_port(address, (struct sockaddr *)&name, &len))
		return err_set(err, ERR_INVALID, "listen for tunnels", address,
			       "IP:port is expected");
	s->listener = evconnlistener_new_bind(
		base, on_accept, s,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE |
			LEV_OPT_CLOSE_ON_EXEC,
		BACKLOG, (struct sockaddr *)&name, len);
	if (!s->listener)
		return err_set(err, ERR_SYSTEM, "listen for tunnels", address,
			       "the address can't be bound");
	return true;
}

void tunnel_server_finish(tunnel_server_t *s)
{
	tunnel_t *t;

	if (s->listener)
		evconnlistener_free(s->listener);
	while ((t = g_queue_peek_head(&s->tunnels)))
		tunnel_free(t);
}

void tunnel_server_leave(tunnel_server_t *s)
{
	s->is_leaving = true;
	for (GList *link = s->tunnels.head; link; link = link->next) {
		tunnel_t *t = link->data;

		if (t->state == TUNNEL_IS_OPEN)
			tunnel_write(bufferevent_get_output(t->client),
				     TUNNEL_LEAVING);
	}
}

uint32_t tunnel_server_count(const tunnel_server_t *s)
{
	return s->tunnels.length;
}
