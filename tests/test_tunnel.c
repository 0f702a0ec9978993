/*
 * Tunnels to runners through another daemon: the protocol, and an exchange over
 * a real tunnel. The end of the proxy must not look like the end of an answer.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <event2/buffer.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include "daemon/supervisor.h"
#include "daemon/tunnel_server.h"
#include "daemon/upstream.h"
#include "net/tunnel.h"
#include "tests/lib_suite.h"
#include "tests/lib_tcp.h"

#define SECRET STR_LIT("the daemons' secret")
#define HEAD "HTTP/1.1 200 OK\r\n"
#define BODY "hello, world"

enum {
	LIMIT_US = 2 * G_USEC_PER_SEC,
	LARGE_BODY = 16 * 1024 * 1024, /* more than sockets hold */
};

typedef struct exchange {
	struct event_base *base;
	upstream_pool_t pool;
	tunnel_server_t proxy;
	char proxy_address[32], runner_address[32];
	int runner; /* listener */
	tunnel_reach_t reach;
	int n_connected, n_failed; /* connections of the proxy */
	GString *body;
	int n_ends;
	upstream_end_t end;
	upstream_way_t way;
	upstream_conn_t *conn;
} exchange_t;

static tunnel_reach_t on_reach(void *ctx, const char *address)
{
	return ((exchange_t *)ctx)->reach;
}

static void on_result(void *ctx, const char *address, bool is_connected)
{
	exchange_t *x = ctx;

	*(is_connected ? &x->n_connected : &x->n_failed) += 1;
	if (!is_connected)
		x->reach = TUNNEL_REACH_NO;
}

static bool on_head(void *ctx, const http1_head_t *head)
{
	return true;
}

static bool on_body(void *ctx, str_t bytes)
{
	g_string_append_len(((exchange_t *)ctx)->body, bytes.ptr,
			    (gssize)bytes.len);
	return true;
}

static void on_end(void *ctx, upstream_end_t end)
{
	exchange_t *x = ctx;

	x->n_ends++;
	x->end = end;
	x->way = upstream_conn_way(x->conn);
}

static int listen_on(char address[32])
{
	struct sockaddr_in name = { .sin_family = AF_INET };
	socklen_t len = sizeof(name);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ck_assert(!bind(fd, (struct sockaddr *)&name, len));
	ck_assert(!listen(fd, 4));
	getsockname(fd, (struct sockaddr *)&name, &len);
	g_snprintf(address, 32, "127.0.0.1:%d", ntohs(name.sin_port));
	return fd;
}

static void begin(exchange_t *x)
{
	static const tunnel_server_ops_t ops = { on_reach, on_result };
	err_t err = { 0 };

	signal(SIGPIPE, SIG_IGN);
	*x = (exchange_t){ .base = event_base_new(),
			   .body = g_string_new(NULL) };
	x->runner = listen_on(x->runner_address);
	/* A port that is free a moment later as well. */
	close(listen_on(x->proxy_address));
	ck_assert(tunnel_server_init(&x->proxy, x->base, x->proxy_address,
				     SECRET, &ops, x, &err));
	upstream_pool_init(&x->pool, x->base, SECRET);
}

static void finish(exchange_t *x)
{
	upstream_pool_finish(&x->pool);
	tunnel_server_finish(&x->proxy);
	event_base_free(x->base);
	close(x->runner);
	g_string_free(x->body, TRUE);
}

/* Sends a request with a body of LEN bytes, LARGE_BODY at most. */
static void send_body(exchange_t *x, size_t len)
{
	static const upstream_ops_t ops = { on_head, on_body, on_end };
	static char body[LARGE_BODY];
	struct evbuffer *request = evbuffer_new();

	evbuffer_add_printf(request, "GET / HTTP/1.1\r\n");
	if (len)
		evbuffer_add_printf(request, "Content-Length: %zu\r\n", len);
	evbuffer_add_printf(request, "\r\n");
	evbuffer_add(request, body, len);
	x->conn = upstream_conn_start(&x->pool, x->runner_address,
				      x->proxy_address, UPSTREAM_REUSE_ANY,
				      false, request, &ops, x);
	ck_assert_ptr_nonnull(x->conn);
	evbuffer_free(request);
}

static void send_request(exchange_t *x)
{
	send_body(x, 0);
}

static void run_until(exchange_t *x, const int *value)
{
	int64_t end = g_get_monotonic_time() + LIMIT_US;

	while (!*value && g_get_monotonic_time() < end) {
		event_base_loop(x->base, EVLOOP_NONBLOCK);
		g_usleep(500);
	}
	ck_assert_int_gt(*value, 0);
}

/* Accepts the proxy's connection and reads the request. */
static int accept_request(exchange_t *x)
{
	char buf[256];
	int fd, n_read = 0;

	run_until(x, &x->n_connected);
	fd = accept(x->runner, NULL, NULL);
	ck_assert_int_ge(fd, 0);
	for (int i = 0; i < 200 && !n_read; i++) {
		event_base_loop(x->base, EVLOOP_NONBLOCK);
		n_read = recv(fd, buf, sizeof(buf), MSG_DONTWAIT) > 0;
		g_usleep(1000);
	}
	ck_assert(n_read);
	return fd;
}

static void answer(int fd, const char *head)
{
	g_autofree char *text = g_strconcat(HEAD, head, "\r\n", BODY, NULL);

	ck_assert(tcp_send_all(fd, text, strlen(text)));
}

START_TEST(an_answer_comes_through_and_the_tunnel_is_used_again)
{
	exchange_t x;
	int fd;

	begin(&x);
	for (int i = 1; i <= 2; i++) {
		char buf[256];

		send_request(&x);
		if (i == 1)
			fd = accept_request(&x);
		else
			for (int k = 0; k < 500 && recv(fd, buf, sizeof(buf),
							MSG_DONTWAIT) <= 0;
			     k++) {
				event_base_loop(x.base, EVLOOP_NONBLOCK);
				g_usleep(1000);
			}
		x.n_ends = 0;
		answer(fd, "Content-Length: 12\r\n");
		run_until(&x, &x.n_ends);
		ck_assert_int_eq(x.end, UPSTREAM_COMPLETE);
	}
	ck_assert_str_eq(x.body->str, BODY BODY);
	ck_assert_int_eq(x.n_connected, 1);
	close(fd);
	finish(&x);
}
END_TEST

START_TEST(an_answer_may_end_with_the_runners_connection)
{
	exchange_t x;
	int fd;

	begin(&x);
	send_request(&x);
	fd = accept_request(&x);
	answer(fd, "Connection: close\r\n");
	close(fd);
	run_until(&x, &x.n_ends);
	ck_assert_int_eq(x.end, UPSTREAM_COMPLETE);
	ck_assert_str_eq(x.body->str, BODY);
	finish(&x);
}
END_TEST

/* Guards against: an answer that broke off looks complete. */
START_TEST(the_end_of_the_proxy_ends_no_answer)
{
	exchange_t x;
	int fd;

	begin(&x);
	send_request(&x);
	fd = accept_request(&x);
	answer(fd, "Connection: close\r\n");
	for (int i = 0; i < 200 && x.body->len < strlen(BODY); i++) {
		event_base_loop(x.base, EVLOOP_NONBLOCK);
		g_usleep(1000);
	}
	ck_assert_str_eq(x.body->str, BODY);
	ck_assert_int_eq(x.n_ends, 0);
	tunnel_server_finish(&x.proxy);
	x.proxy.listener = NULL;
	run_until(&x, &x.n_ends);
	ck_assert_int_eq(x.end, UPSTREAM_BROKEN);
	ck_assert_int_eq(x.way, UPSTREAM_WAY_PROXY);
	close(fd);
	finish(&x);
}
END_TEST

START_TEST(a_reset_by_the_runner_is_told)
{
	struct linger reset = { 1, 0 };
	exchange_t x;
	int fd;

	begin(&x);
	send_request(&x);
	fd = accept_request(&x);
	answer(fd, "Connection: close\r\n");
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	close(fd);
	run_until(&x, &x.n_ends);
	ck_assert_int_eq(x.end, UPSTREAM_BROKEN);
	ck_assert_int_eq(x.way, UPSTREAM_WAY_REMOTE);
	finish(&x);
}
END_TEST

/* Guards against: a reset stream without a length is taken for a whole one. */
START_TEST(a_reset_before_the_request_is_sent_looks_like_an_end)
{
	struct linger reset = { 1, 0 };
	exchange_t x;
	int fd;

	begin(&x);
	send_body(&x, LARGE_BODY);
	fd = accept_request(&x);
	answer(fd, "Connection: close\r\n");
	for (int i = 0; i < 200 && x.body->len < strlen(BODY); i++) {
		event_base_loop(x.base, EVLOOP_NONBLOCK);
		g_usleep(1000);
	}
	ck_assert_str_eq(x.body->str, BODY);
	ck_assert_int_eq(x.n_ends, 0);
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	close(fd);
	run_until(&x, &x.n_ends);
	ck_assert_int_eq(x.end, UPSTREAM_BROKEN);
	ck_assert_int_eq(x.way, UPSTREAM_WAY_REMOTE);
	finish(&x);
}
END_TEST

START_TEST(a_runner_that_is_down_is_told_from_a_proxy_that_is_cut_off)
{
	static const struct {
		tunnel_reach_t before;
		upstream_way_t way;
	} cases[] = { { TUNNEL_REACH_TRY, UPSTREAM_WAY_REMOTE },
		      { TUNNEL_REACH_NO, UPSTREAM_WAY_REMOTE },
		      { TUNNEL_REACH_UNKNOWN, UPSTREAM_WAY_PROXY } };
	exchange_t x;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		begin(&x);
		close(x.runner);
		x.reach = cases[i].before;
		send_request(&x);
		run_until(&x, &x.n_ends);
		ck_assert_int_eq(x.end, UPSTREAM_UNSENT);
		ck_assert_int_eq(x.way, cases[i].way);
		ck_assert_int_eq(x.n_failed,
				 cases[i].before == TUNNEL_REACH_TRY);
		x.runner = socket(AF_INET, SOCK_STREAM, 0);
		finish(&x);
	}
}
END_TEST

START_TEST(a_proxy_that_leaves_opens_no_tunnel)
{
	exchange_t x;

	begin(&x);
	tunnel_server_leave(&x.proxy);
	send_request(&x);
	run_until(&x, &x.n_ends);
	ck_assert_int_eq(x.end, UPSTREAM_UNSENT);
	ck_assert_int_eq(x.way, UPSTREAM_WAY_PROXY);
	finish(&x);
}
END_TEST

START_TEST(the_other_daemons_end_closes_the_runners_connection)
{
	exchange_t x;
	char buf[16];
	ssize_t n = 1;
	int fd;

	begin(&x);
	send_request(&x);
	fd = accept_request(&x);
	upstream_conn_cancel(x.conn);
	for (int i = 0; i < 500 && n > 0; i++) {
		event_base_loop(x.base, EVLOOP_NONBLOCK);
		n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);
		if (n < 0 && errno == EAGAIN)
			n = 1;
		g_usleep(1000);
	}
	ck_assert_int_le(n, 0);
	ck_assert_uint_eq(tunnel_server_count(&x.proxy), 0);
	close(fd);
	finish(&x);
}
END_TEST

START_TEST(only_daemons_open_tunnels)
{
	static const char *const lines[] = { "GET / HTTP/1.1\n",
					     "papaya-tunnel/1 1.2.3.4:5 00\n",
					     "papaya-tunnel/1 1.2.3.4:5\n" };
	char address[TUNNEL_ADDRESS_SIZE];
	struct evbuffer *b = evbuffer_new();

	for (size_t i = 0; i < G_N_ELEMENTS(lines); i++) {
		evbuffer_add_printf(b, "%s", lines[i]);
		ck_assert_int_eq(tunnel_read_hello(b, SECRET, address),
				 TUNNEL_MALFORMED);
	}
	tunnel_write_hello(b, STR_LIT("another secret"), "1.2.3.4:5");
	ck_assert_int_eq(tunnel_read_hello(b, SECRET, address),
			 TUNNEL_MALFORMED);
	tunnel_write_hello(b, SECRET, "1.2.3.4:5");
	ck_assert_int_eq(tunnel_read_hello(b, SECRET, address), TUNNEL_READ);
	ck_assert_str_eq(address, "1.2.3.4:5");
	for (int i = 0; i < TUNNEL_MAX_HELLO; i++)
		evbuffer_add_printf(b, "xx");
	ck_assert_int_eq(tunnel_read_hello(b, SECRET, address),
			 TUNNEL_MALFORMED);
	evbuffer_free(b);
}
END_TEST

START_TEST(frames_may_come_in_pieces)
{
	struct evbuffer *all = evbuffer_new(), *in = evbuffer_new();
	struct evbuffer *data = evbuffer_new();
	tunnel_frame_t frame;
	int n = 0;
	char byte;

	for (int i = 0; i < 40000; i++)
		evbuffer_add_printf(data, "x");
	tunnel_write(all, TUNNEL_OPEN);
	tunnel_write_data(all, data);
	tunnel_write(all, TUNNEL_END);
	ck_assert_uint_eq(evbuffer_get_length(data), 0);
	while (evbuffer_remove(all, &byte, 1) == 1) {
		evbuffer_add(in, &byte, 1);
		n += tunnel_read(in, &frame, data) == TUNNEL_READ;
	}
	ck_assert_int_eq(n, 5);
	ck_assert_int_eq(frame, TUNNEL_END);
	ck_assert_uint_eq(evbuffer_get_length(data), 40000);
	evbuffer_add(in, "?\0\0", 3);
	ck_assert_int_eq(tunnel_read(in, &frame, data), TUNNEL_MALFORMED);
	evbuffer_free(all);
	evbuffer_free(in);
	evbuffer_free(data);
}
END_TEST

SUITE_MAIN("tunnel", an_answer_comes_through_and_the_tunnel_is_used_again,
	   an_answer_may_end_with_the_runners_connection,
	   the_end_of_the_proxy_ends_no_answer, a_reset_by_the_runner_is_told,
	   a_reset_before_the_request_is_sent_looks_like_an_end,
	   a_runner_that_is_down_is_told_from_a_proxy_that_is_cut_off,
	   a_proxy_that_leaves_opens_no_tunnel,
	   the_other_daemons_end_closes_the_runners_connection,
	   only_daemons_open_tunnels, frames_may_come_in_pieces)
