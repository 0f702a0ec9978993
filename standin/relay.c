/*
 * TCP proxy that injects faults on links between processes. One process may
 * relay several addresses: --listen A,B --to X,Y. Switches by
 * POST /standin/faults on --control:
 *   "cut": true         closes every connection and refuses new ones
 *   "blackhole": true   no data passes on any connection, old or new
 *   "silence": true     open connections pass no more data, new ones work;
 *                       acts once
 *   "mute_to": true     data from callers is held back while it is on
 *   "mute_from": true   data from the targets is held back
 *   "reset": true       resets every open connection; acts once
 *   "delay_ms": N       data is delayed by this much
 * Turning "blackhole" off closes the connections that it stalled.
 */
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <stdio.h>
#include <stdlib.h>

#include "net/http.h"
#include "standin/lib_args.h"
#include "standin/lib_server.h"

enum {
	MAX_LINKS = 2000,
	MAX_ROUTES = 64,
	MAX_BUFFERED = 1 << 20 /* bytes a direction */
};

struct tcp_link;

/* One direction of a link: reads from IN, writes to OUT. */
typedef struct relay_dir {
	struct tcp_link *link;
	struct bufferevent *in;
	struct bufferevent *out;
	struct event *timer;
	bool is_eof; /* IN is at its end */
} relay_dir_t;

typedef struct tcp_link {
	GList list;
	struct relay *relay;
	relay_dir_t dirs[2]; /* caller to target, and back */
	bool is_silent; /* no data passes, closes go unnoticed */
} tcp_link_t;

/* One address that is relayed. */
typedef struct route {
	struct relay *relay;
	struct evconnlistener *listener; /* NULL while cut */
	struct sockaddr_in from;
	struct sockaddr_in to;
} route_t;

typedef struct relay {
	server_t control;
	route_t routes[MAX_ROUTES];
	size_t n_routes;
	GQueue links;
	uint64_t n_accepted, n_bytes;
} relay_t;

static void link_free(tcp_link_t *link)
{
	g_queue_unlink(&link->relay->links, &link->list);
	for (int i = 0; i < 2; i++) {
		bufferevent_free(link->dirs[i].in);
		event_free(link->dirs[i].timer);
	}
	g_free(link);
}

/* Forwards received data; at end of file, closes once all is written. */
static void forward(relay_dir_t *dir)
{
	struct evbuffer *out = bufferevent_get_output(dir->out);

	dir->link->relay->n_bytes +=
		evbuffer_get_length(bufferevent_get_input(dir->in));
	bufferevent_write_buffer(dir->out, bufferevent_get_input(dir->in));
	if (dir->is_eof && !evbuffer_get_length(out))
		link_free(dir->link);
}

/* True while a switch holds this direction back. */
static bool is_muted(const relay_dir_t *dir)
{
	const server_t *s = &dir->link->relay->control;

	return server_fault_on(s, dir == &dir->link->dirs[0] ? "mute_to" :
							       "mute_from");
}

/*
 * Forwards after "delay_ms", or at once if it is 0, which may free the link.
 * Does nothing on a silent link or while the direction is muted.
 */
static void schedule_forward(relay_dir_t *dir)
{
	double ms =
		server_fault_number(&dir->link->relay->control, "delay_ms", 0);
	struct timeval tv = { (time_t)(ms / 1000),
			      (suseconds_t)((int64_t)(ms * 1000) % 1000000) };

	if (dir->link->is_silent || is_muted(dir))
		return;
	if (ms <= 0)
		forward(dir);
	else if (!evtimer_pending(dir->timer, NULL))
		evtimer_add(dir->timer, &tv);
}

static void on_timer(evutil_socket_t fd, short what, void *ctx)
{
	forward(ctx);
}

static void on_read(struct bufferevent *bev, void *ctx)
{
	schedule_forward(ctx);
}

/* BEV has nothing left to write; closes the link if its source has ended. */
static void on_write(struct bufferevent *bev, void *ctx)
{
	const relay_dir_t *dir = ctx;
	tcp_link_t *link = dir->link;
	const relay_dir_t *other = &link->dirs[dir == &link->dirs[0] ? 1 : 0];

	if (other->is_eof && !link->is_silent &&
	    !evtimer_pending(other->timer, NULL))
		link_free(link);
}

static void on_event(struct bufferevent *bev, short what, void *ctx)
{
	relay_dir_t *dir = ctx;

	if (dir->link->is_silent || !(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
		return;
	dir->is_eof = true;
	if (what & BEV_EVENT_ERROR)
		link_free(dir->link);
	else
		schedule_forward(dir);
}

static void set_up_direction(tcp_link_t *link, int i, struct bufferevent *in,
			     struct bufferevent *out)
{
	relay_dir_t *dir = &link->dirs[i];

	dir->link = link;
	dir->in = in;
	dir->out = out;
	dir->timer = evtimer_new(link->relay->control.base, on_timer, dir);
	bufferevent_setcb(in, on_read, on_write, on_event, dir);
	bufferevent_setwatermark(in, EV_READ, 0, MAX_BUFFERED);
	bufferevent_enable(in, EV_READ | EV_WRITE);
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *addr, int len, void *ctx)
{
	route_t *route = ctx;
	relay_t *r = route->relay;
	struct event_base *base = r->control.base;
	struct bufferevent *in, *out;
	tcp_link_t *link;

	if (r->links.length >= MAX_LINKS) {
		evutil_closesocket(fd);
		return;
	}
	r->n_accepted++;
	in = bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE);
	out = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
	link = g_new0(tcp_link_t, 1);
	link->relay = r;
	link->list.data = link;
	link->is_silent = server_fault_on(&r->control, "blackhole");
	g_queue_push_tail_link(&r->links, &link->list);
	set_up_direction(link, 0, in, out);
	set_up_direction(link, 1, out, in);
	if (link->is_silent) {
		bufferevent_disable(in, EV_READ | EV_WRITE);
		return;
	}
	if (bufferevent_socket_connect(out, (struct sockaddr *)&route->to,
				       sizeof(route->to)))
		link_free(link);
}

static bool open_routes(relay_t *r)
{
	for (size_t i = 0; i < r->n_routes; i++) {
		route_t *route = &r->routes[i];

		if (!route->listener)
			route->listener = evconnlistener_new_bind(
				r->control.base, on_accept, route,
				LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
				(struct sockaddr *)&route->from,
				sizeof(route->from));
		if (!route->listener)
			return false;
	}
	return true;
}

static void close_routes(relay_t *r)
{
	for (size_t i = 0; i < r->n_routes; i++)
		g_clear_pointer(&r->routes[i].listener, evconnlistener_free);
}

static void silence_links(relay_t *r)
{
	for (GList *l = r->links.head; l; l = l->next) {
		tcp_link_t *link = l->data;

		link->is_silent = true;
		for (int i = 0; i < 2; i++) {
			bufferevent_disable(link->dirs[i].in,
					    EV_READ | EV_WRITE);
			evtimer_del(link->dirs[i].timer);
		}
	}
}

/* Closes all links, or only the silenced ones. */
static void close_links(relay_t *r, bool is_all)
{
	for (GList *l = r->links.head, *next; l; l = next) {
		tcp_link_t *link = l->data;

		next = l->next;
		if (is_all || link->is_silent)
			link_free(link);
	}
}

static void reset_links(relay_t *r)
{
	/* With a linger time of 0, close sends a reset. */
	const struct linger zero_linger = { .l_onoff = 1, .l_linger = 0 };

	for (GList *l = r->links.head; l; l = l->next)
		for (int i = 0; i < 2; i++) {
			tcp_link_t *link = l->data;

			setsockopt(bufferevent_getfd(link->dirs[i].in),
				   SOL_SOCKET, SO_LINGER, &zero_linger,
				   sizeof(zero_linger));
		}
	close_links(r, true);
}

/* True if there is data to forward, or an end of file was read. */
static bool has_pending(const relay_dir_t *dir)
{
	return dir->is_eof ||
	       evbuffer_get_length(bufferevent_get_input(dir->in));
}

/* Forwards held data in directions that are no longer muted. */
static void forward_held(relay_t *r, int direction)
{
	for (GList *l = r->links.head, *next; l; l = next) {
		tcp_link_t *link = l->data;

		next = l->next;
		if (has_pending(&link->dirs[direction]))
			schedule_forward(&link->dirs[direction]);
	}
}

static void on_faults(void *ctx)
{
	relay_t *r = ctx;
	server_t *s = &r->control;
	bool is_cut = server_fault_on(s, "cut");

	if (is_cut) {
		close_links(r, true);
		close_routes(r);
	} else {
		open_routes(r);
	}
	if (server_fault_on(s, "blackhole") || server_fault_on(s, "silence"))
		silence_links(r);
	else if (json_object_get(s->faults, "blackhole"))
		close_links(r, false);
	if (!server_fault_on(s, "blackhole"))
		json_object_del(s->faults, "blackhole");
	if (server_fault_on(s, "reset"))
		reset_links(r);
	json_object_del(s->faults, "reset");
	forward_held(r, 0);
	forward_held(r, 1);
}

static void on_http(void *ctx, exchange_t *x)
{
	exchange_reply_text(x, HTTP_NOTFOUND, "{}");
}

static void on_closed(void *ctx, exchange_t *x)
{
}

static json_t *on_oracle(void *ctx)
{
	const relay_t *r = ctx;

	return json_pack("{s:I,s:I,s:I}", "accepted", (json_int_t)r->n_accepted,
			 "bytes", (json_int_t)r->n_bytes, "open",
			 (json_int_t)r->links.length);
}

static bool read_address(const char *text, struct sockaddr_in *addr)
{
	int len = sizeof(*addr);

	return text &&
	       !evutil_parse_sockaddr_port(text, (struct sockaddr *)addr, &len);
}

static bool read_routes(relay_t *r, const char *from, const char *to)
{
	g_auto(GStrv) listen = g_strsplit(from ? from : "", ",", -1);
	g_auto(GStrv) target = g_strsplit(to ? to : "", ",", -1);
	guint n = g_strv_length(listen);

	if (!n || n > MAX_ROUTES || n != g_strv_length(target))
		return false;
	for (guint i = 0; i < n; i++) {
		route_t *route = &r->routes[r->n_routes++];

		route->relay = r;
		if (!read_address(listen[i], &route->from) ||
		    !read_address(target[i], &route->to))
			return false;
	}
	return true;
}

int main(int argc, char **argv)
{
	relay_t r = { 0 };
	const char *listen = NULL, *to = NULL, *control = "127.0.0.1:0";
	err_t err;
	const arg_row_t rows[] = {
		{ "listen", ARG_TEXT, &listen, "IP:port,... to relay from" },
		{ "to", ARG_TEXT, &to,
		  "IP:port,... to relay to, in the same order" },
		{ "control", ARG_TEXT, &control, "IP:port of the switches" },
	};
	const server_ops_t ops = { on_http, on_closed, on_oracle, on_faults,
				   NULL };

	args_read(argc, argv, rows, G_N_ELEMENTS(rows));
	if (!read_routes(&r, listen, to)) {
		fprintf(stderr, "relay: --listen and --to need the same number "
				"of IP:port addresses\n");
		return EXIT_FAILURE;
	}
	g_queue_init(&r.links);
	if (!server_init(&r.control, control, &ops, &r, &err) ||
	    !open_routes(&r)) {
		fprintf(stderr,
			"relay: cannot listen on --control or --listen\n");
		return EXIT_FAILURE;
	}
	server_run(&r.control);
	close_links(&r, true);
	close_routes(&r);
	server_finish(&r.control);
	return EXIT_SUCCESS;
}
