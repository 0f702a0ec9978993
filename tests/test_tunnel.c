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
	UPLOAD_BYTES = 4000000, /* far more than all sockets hold */
	RECEIVE_BUFFER = 16384, /* of the runner */
	ROUNDS = 20, /* which error is reported first differs */
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

static void send_bytes(exchange_t *x, struct evbuffer *request)
{
	static const upstream_ops_t ops = { on_head, on_body, on_end };

	x->conn = upstream_conn_start(&x->pool, x->runner_address,
				      x->proxy_address, UPSTREAM_REUSE_ANY,
				      false, request, &ops, x);
	ck_assert_ptr_nonnull(x->conn);
	evbuffer_free(request);
}

static void send_request(exchange_t *x)
{
	struct evbuffer *request = evbuffer_new();

	evbuffer_add_printf(request, "GET / HTTP/1.1\r\n\r\n");
	send_bytes(x, request);
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

/* Guards against: an answer that its runner cut is put down to the proxy. */
START_TEST(a_runner_that_ends_within_its_answer_is_told)
{
	exchange_t x;
	int fd;

	begin(&x);
	send_request(&x);
	fd = accept_request(&x);
	answer(fd, "Content-Length: 13\r\n");
	close(fd);
	run_until(&x, &x.n_ends);
	ck_assert_int_eq(x.end, UPSTREAM_BROKEN);
	ck_assert_int_eq(x.way, UPSTREAM_WAY_REMOTE);
	finish(&x);
}
END_TEST

static void send_upload(exchange_t *x)
{
	struct evbuffer *request = evbuffer_new();
	g_autofree char *body = g_malloc0(UPLOAD_BYTES);
	int size = RECEIVE_BUFFER;

	setsockopt(x->runner, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	evbuffer_add_printf(request,
			    "POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n",
			    UPLOAD_BYTES);
	evbuffer_add(request, body, UPLOAD_BYTES);
	send_bytes(x, request);
}

/* What the runner does after its answer, with most of the upload unread. */
typedef enum ending {
	RESET_AT_ONCE, /* right after the answer's bytes */
	RESET_LATER, /* once they were received */
	CLOSE_UNREAD, /* closes, which resets since bytes are unread */
	END_IN_ORDER, /* ends its side, and reads the upload to its end */
} ending_t;

static void run_until_received(exchange_t *x, size_t n)
{
	int64_t end = g_get_monotonic_time() + LIMIT_US;

	while (x->body->len < n && g_get_monotonic_time() < end) {
		event_base_loop(x->base, EVLOOP_NONBLOCK);
		g_usleep(200);
	}
	ck_assert_uint_ge(x->body->len, n);
}

static void read_upload_to_end(exchange_t *x, int fd)
{
	int64_t end = g_get_monotonic_time() + LIMIT_US;
	char buf[RECEIVE_BUFFER];
	ssize_t n = -1;

	shutdown(fd, SHUT_WR);
	while (n != 0 && g_get_monotonic_time() < end) {
		event_base_loop(x->base, EVLOOP_NONBLOCK);
		n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);
	}
	close(fd);
}

/* Answers an upload early with HEADERS and BODY; returns how that ended. */
static upstream_end_t play_early_answer(exchange_t *x, const char *headers,
					ending_t ending)
{
	int fd;

	send_upload(x);
	fd = accept_request(x);
	answer(fd, headers);
	if (ending == RESET_LATER)
		run_until_received(x, 1);
	if (ending == END_IN_ORDER)
		read_upload_to_end(x, fd);
	else if (ending == CLOSE_UNREAD)
		close(fd);
	else
		tcp_reset(fd);
	run_until(x, &x->n_ends);
	return x->end;
}

static void check_early_answer(const char *headers, ending_t ending,
			       upstream_end_t expected)
{
	for (int i = 0; i < ROUNDS; i++) {
		exchange_t x;
		upstream_end_t end;

		begin(&x);
		end = play_early_answer(&x, headers, ending);
		ck_assert_msg(end == expected, "\"%s\", round %d: end %d",
			      headers, i, end);
		if (end == UPSTREAM_COMPLETE)
			ck_assert_str_eq(x.body->str, BODY);
		else
			ck_assert_int_eq(x.way, UPSTREAM_WAY_REMOTE);
		finish(&x);
	}
}

/*
 * Guards against: a part of an answer looks whole, as its reset was reported to
 * a write of the proxy and the next read returned an orderly end.
 */
START_TEST(an_early_answer_that_is_reset_is_not_complete)
{
	static const ending_t endings[] = { RESET_AT_ONCE, RESET_LATER,
					    CLOSE_UNREAD };

	for (size_t i = 0; i < G_N_ELEMENTS(endings); i++)
		check_early_answer("Connection: close\r\n", endings[i],
				   UPSTREAM_BROKEN);
}
END_TEST

/* Guards against: a part looks whole although its framing says otherwise. */
START_TEST(an_early_answer_that_its_framing_shows_cut_is_not_complete)
{
	check_early_answer("Content-Length: 13\r\n", RESET_AT_ONCE,
			   UPSTREAM_BROKEN);
	check_early_answer("Transfer-Encoding: chunked\r\n\r\n"
			   "ff\r\npart",
			   RESET_AT_ONCE, UPSTREAM_BROKEN);
}
END_TEST

/* Guards against: a whole answer is lost, as its request wasn't read. */
START_TEST(an_early_answer_that_is_whole_comes_through)
{
	check_early_answer("Connection: close\r\n", END_IN_ORDER,
			   UPSTREAM_COMPLETE);
	check_early_answer("Content-Length: 12\r\n", RESET_AT_ONCE,
			   UPSTREAM_COMPLETE);
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

/*
 * By a reset: what the proxy has not delivered must not reach the runner later.
 */
START_TEST(the_other_daemons_end_closes_the_runners_connection)
{
	exchange_t x;
	char buf[16];
	ssize_t n = 1;
	int error = 0;
	int fd;

	begin(&x);
	send_request(&x);
	fd = accept_request(&x);
	upstream_conn_cancel(x.conn);
	for (int i = 0; i < 500 && n > 0; i++) {
		event_base_loop(x.base, EVLOOP_NONBLOCK);
		n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);
		error = n < 0 ? errno : 0;
		if (error == EAGAIN)
			n = 1;
		g_usleep(1000);
	}
	ck_assert_int_le(n, 0);
	ck_assert_int_eq(error, ECONNRESET);
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

/* Runs for a while, so that what was sent arrives. */
static void run_for(exchange_t *x, int ms)
{
	int64_t end = g_get_monotonic_time() + ms * INT64_C(1000);

	while (g_get_monotonic_time() < end) {
		event_base_loop(x->base, EVLOOP_NONBLOCK);
		g_usleep(500);
	}
}

enum { LONG_BYTES = 4 << 20, SLOW_MS = 50, STILL_MS = 6000 };

/* Numbered lines, so that a missing or a repeated part shows. */
static GString *make_long_body(void)
{
	GString *body = g_string_sized_new(LONG_BYTES + 16);

	while (body->len < LONG_BYTES)
		g_string_append_printf(body, "%zu\n", body->len);
	return body;
}

/* Sends what the connection takes of TEXT from *SENT on. */
static void send_some(int fd, const GString *text, size_t *sent)
{
	ssize_t n = send(fd, text->str + *sent, text->len - *sent,
			 MSG_DONTWAIT | MSG_NOSIGNAL);

	if (n > 0)
		*sent += (size_t)n;
}

/*
 * Sends a long answer without a length to a reader that pauses again and again.
 * Returns the runner's connection, with the answer sent to its end.
 */
static int send_to_slow_reader(exchange_t *x, const GString *body)
{
	size_t sent = 0;
	int fd;

	begin(x);
	send_request(x);
	fd = accept_request(x);
	ck_assert(tcp_send_all(fd, HEAD "\r\n", strlen(HEAD "\r\n")));
	for (int i = 0; sent < body->len && i < 1000; i++) {
		upstream_conn_pause(x->conn, i % 2 == 0);
		for (int k = 0; k < 20; k++) {
			send_some(fd, body, &sent);
			event_base_loop(x->base, EVLOOP_NONBLOCK);
		}
		g_usleep(500);
	}
	ck_assert_uint_eq(sent, body->len);
	return fd;
}

/* Guards against parts that are lost or come twice with a slow reader. */
START_TEST(a_long_answer_to_a_slow_reader_is_whole)
{
	GString *body = make_long_body();
	exchange_t x;
	int fd = send_to_slow_reader(&x, body);

	upstream_conn_pause(x.conn, true);
	close(fd);
	run_for(&x, SLOW_MS);
	ck_assert_int_eq(x.n_ends, 0);
	upstream_conn_pause(x.conn, false);
	run_until(&x, &x.n_ends);
	ck_assert_int_eq(x.end, UPSTREAM_COMPLETE);
	ck_assert(g_string_equal(x.body, body));
	finish(&x);
	g_string_free(body, TRUE);
}
END_TEST

/*
 * Guards against an answer that a proxy gives up since its reader stands still
 * for seconds, as its caller does.
 */
START_TEST(a_reader_that_stands_still_for_seconds_gets_all)
{
	GString *body = make_long_body();
	exchange_t x;
	int fd = send_to_slow_reader(&x, body);

	upstream_conn_pause(x.conn, true);
	close(fd);
	run_for(&x, STILL_MS);
	ck_assert_int_eq(x.n_ends, 0);
	upstream_conn_pause(x.conn, false);
	run_until(&x, &x.n_ends);
	ck_assert_int_eq(x.end, UPSTREAM_COMPLETE);
	ck_assert(g_string_equal(x.body, body));
	finish(&x);
	g_string_free(body, TRUE);
}
END_TEST

/* Guards against a reset that looks like an end to a reader that paused. */
START_TEST(a_reset_before_a_slow_reader_has_all_ends_no_answer)
{
	GString *body = make_long_body();
	exchange_t x;
	int fd = send_to_slow_reader(&x, body);

	upstream_conn_pause(x.conn, true);
	tcp_reset(fd);
	run_for(&x, SLOW_MS);
	upstream_conn_pause(x.conn, false);
	run_until(&x, &x.n_ends);
	ck_assert_int_eq(x.end, UPSTREAM_BROKEN);
	ck_assert(g_str_has_prefix(body->str, x.body->str));
	finish(&x);
	g_string_free(body, TRUE);
}
END_TEST

/* Guards against a whole answer from a proxy that ends before a slow reader. */
START_TEST(the_end_of_the_proxy_before_a_slow_reader_ends_no_answer)
{
	GString *body = make_long_body();
	exchange_t x;
	int fd = send_to_slow_reader(&x, body);

	upstream_conn_pause(x.conn, true);
	tunnel_server_finish(&x.proxy);
	x.proxy.listener = NULL;
	run_for(&x, SLOW_MS);
	upstream_conn_pause(x.conn, false);
	run_until(&x, &x.n_ends);
	ck_assert_int_eq(x.end, UPSTREAM_BROKEN);
	ck_assert(g_str_has_prefix(body->str, x.body->str));
	close(fd);
	finish(&x);
	g_string_free(body, TRUE);
}
END_TEST

/* Guards against answers that a proxy cuts by stopping in good order. */
START_TEST(a_proxy_that_leaves_carries_an_answer_to_its_end)
{
	exchange_t x;
	int fd;

	begin(&x);
	send_request(&x);
	fd = accept_request(&x);
	ck_assert(tcp_send_all(fd, HEAD "\r\nhello", strlen(HEAD) + 7));
	run_for(&x, SLOW_MS);
	tunnel_server_leave(&x.proxy);
	run_for(&x, SLOW_MS);
	ck_assert_int_eq(x.n_ends, 0);
	ck_assert(tcp_send_all(fd, ", world", 7));
	close(fd);
	run_until(&x, &x.n_ends);
	ck_assert_int_eq(x.end, UPSTREAM_COMPLETE);
	ck_assert_str_eq(x.body->str, BODY);
	finish(&x);
}
END_TEST

/* Waits for a tunnel at X's runner, which stands for the proxy here. */
static int accept_tunnel(exchange_t *x)
{
	char buf[256];
	int fd;

	begin(x);
	g_strlcpy(x->proxy_address, x->runner_address,
		  sizeof(x->proxy_address));
	send_request(x);
	run_for(x, SLOW_MS);
	fd = accept(x->runner, NULL, NULL);
	ck_assert_int_ge(fd, 0);
	ck_assert_int_gt(tcp_receive(fd, buf, sizeof(buf), LIMIT_US / 1000), 0);
	return fd;
}

static void write_out(struct evbuffer *out, int fd)
{
	size_t len = evbuffer_get_length(out);

	ck_assert(tcp_send_all(fd, evbuffer_pullup(out, -1), len));
	evbuffer_free(out);
}

/* Guards against a killed proxy whose last bytes look like an answer's end. */
START_TEST(a_tunnel_that_is_cut_anywhere_ends_no_answer)
{
	static const char text[] = HEAD "\r\n" BODY;
	const size_t lengths[] = { 1, 3, 3 + 10, 3 + strlen(text),
				   3 + strlen(text) + 2 };

	for (size_t i = 0; i < G_N_ELEMENTS(lengths) * 2; i++) {
		struct evbuffer *out = evbuffer_new();
		struct evbuffer *data = evbuffer_new();
		struct evbuffer *cut = evbuffer_new();
		exchange_t x;
		int fd = accept_tunnel(&x);

		tunnel_write(cut, TUNNEL_OPEN);
		evbuffer_add_printf(data, "%s", text);
		tunnel_write_data(out, data);
		tunnel_write(out, TUNNEL_END);
		evbuffer_remove_buffer(out, cut, lengths[i / 2]);
		write_out(cut, fd);
		run_for(&x, SLOW_MS);
		ck_assert_int_eq(x.n_ends, 0);
		if (i % 2)
			close(fd);
		else
			tcp_reset(fd);
		run_until(&x, &x.n_ends);
		ck_assert_msg(x.end == UPSTREAM_BROKEN, "case %zu: end %d", i,
			      x.end);
		evbuffer_free(out);
		evbuffer_free(data);
		finish(&x);
	}
}
END_TEST

SUITE_MAIN("tunnel", an_answer_comes_through_and_the_tunnel_is_used_again,
	   an_answer_may_end_with_the_runners_connection,
	   the_end_of_the_proxy_ends_no_answer, a_reset_by_the_runner_is_told,
	   a_runner_that_ends_within_its_answer_is_told,
	   an_early_answer_that_is_reset_is_not_complete,
	   an_early_answer_that_its_framing_shows_cut_is_not_complete,
	   an_early_answer_that_is_whole_comes_through,
	   a_runner_that_is_down_is_told_from_a_proxy_that_is_cut_off,
	   a_proxy_that_leaves_opens_no_tunnel,
	   the_other_daemons_end_closes_the_runners_connection,
	   only_daemons_open_tunnels, frames_may_come_in_pieces,
	   a_long_answer_to_a_slow_reader_is_whole,
	   a_reader_that_stands_still_for_seconds_gets_all,
	   a_reset_before_a_slow_reader_has_all_ends_no_answer,
	   the_end_of_the_proxy_before_a_slow_reader_ends_no_answer,
	   a_proxy_that_leaves_carries_an_answer_to_its_end,
	   a_tunnel_that_is_cut_anywhere_ends_no_answer)
