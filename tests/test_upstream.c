/*
 * Answers that come while the request's body is still being sent, and how the
 * end of the connection counts for them.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include "daemon/supervisor.h"
#include "daemon/upstream.h"
#include "tests/lib_suite.h"
#include "tests/lib_tcp.h"

#define HEAD "HTTP/1.1 200 OK\r\nConnection: close\r\n"
#define BODY "hello, world"

enum {
	REQUEST_BYTES = 4000000, /* far more than both sockets hold */
	RECEIVE_BUFFER = 16384,
	ROUNDS = 20, /* which error is reported first differs */
	LIMIT_US = 2 * G_USEC_PER_SEC,
};

/* What the upstream does once it has read the request's head. */
typedef enum ending {
	RESET_AT_ONCE, /* right after the bytes of the answer */
	RESET_LATER, /* once they were received */
	CLOSE_IN_ORDER, /* reads the request to its end */
} ending_t;

typedef struct exchange {
	struct event_base *base;
	upstream_pool_t pool;
	upstream_conn_t *conn;
	int listener;
	char address[32];
	GString *body; /* received of the answer */
	int n_ends;
	upstream_end_t end;
} exchange_t;

static bool on_head(void *ctx, const http1_head_t *head)
{
	return true;
}

static bool on_body(void *ctx, str_t bytes)
{
	exchange_t *x = ctx;

	g_string_append_len(x->body, bytes.ptr, (gssize)bytes.len);
	return true;
}

static void on_end(void *ctx, upstream_end_t end)
{
	exchange_t *x = ctx;

	x->n_ends++;
	x->end = end;
}

static void listen_on_loopback(exchange_t *x)
{
	struct sockaddr_in name = { .sin_family = AF_INET };
	socklen_t len = sizeof(name);
	int size = RECEIVE_BUFFER;

	name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	x->listener = socket(AF_INET, SOCK_STREAM, 0);
	setsockopt(x->listener, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	ck_assert(!bind(x->listener, (struct sockaddr *)&name, len));
	ck_assert(!listen(x->listener, 1));
	getsockname(x->listener, (struct sockaddr *)&name, &len);
	g_snprintf(x->address, sizeof(x->address), "127.0.0.1:%d",
		   ntohs(name.sin_port));
}

static void exchange_init(exchange_t *x)
{
	signal(SIGPIPE, SIG_IGN);
	*x = (exchange_t){ .base = event_base_new() };
	x->body = g_string_new("");
	upstream_pool_init(&x->pool, x->base, STR_LIT(""));
	listen_on_loopback(x);
}

static void exchange_finish(exchange_t *x)
{
	upstream_pool_finish(&x->pool);
	event_base_free(x->base);
	g_string_free(x->body, TRUE);
	close(x->listener);
}

static void start(exchange_t *x)
{
	static const upstream_ops_t ops = { on_head, on_body, on_end };
	static const char body[REQUEST_BYTES];
	struct evbuffer *request = evbuffer_new();

	evbuffer_add_printf(request,
			    "POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n",
			    REQUEST_BYTES);
	evbuffer_add(request, body, sizeof(body));
	x->conn = upstream_conn_start(&x->pool, x->address, NULL, false, false,
				      request, &ops, x);
	ck_assert(x->conn != NULL);
	evbuffer_free(request);
}

/* Runs the loop until the exchange has ended or N bytes have come. */
static void run_until(exchange_t *x, gsize n)
{
	int64_t give_up = now_us() + LIMIT_US;

	while (!x->n_ends && x->body->len < n && now_us() < give_up) {
		event_base_loop(x->base, EVLOOP_NONBLOCK);
		g_usleep(200);
	}
}

static void read_to_end(exchange_t *x, int fd)
{
	int64_t give_up = now_us() + LIMIT_US;
	char buf[RECEIVE_BUFFER];
	ssize_t n = -1;

	shutdown(fd, SHUT_WR);
	while (n != 0 && now_us() < give_up) {
		event_base_loop(x->base, EVLOOP_NONBLOCK);
		n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);
	}
	close(fd);
}

/* Returns how the exchange ended after ANSWER, which has N bytes of a body. */
static upstream_end_t play(exchange_t *x, const char *answer, gsize n,
			   ending_t ending)
{
	char buf[RECEIVE_BUFFER];
	int fd;

	start(x);
	event_base_loop(x->base, EVLOOP_NONBLOCK);
	fd = accept(x->listener, NULL, NULL);
	event_base_loop(x->base, EVLOOP_NONBLOCK);
	ck_assert(recv(fd, buf, sizeof(buf), 0) > 0);
	ck_assert(send(fd, answer, strlen(answer), 0) > 0);
	if (ending != RESET_AT_ONCE)
		run_until(x, n);
	if (ending == CLOSE_IN_ORDER)
		read_to_end(x, fd);
	else
		tcp_reset(fd);
	run_until(x, G_MAXSIZE);
	ck_assert_msg(x->n_ends == 1, "%d ends were reported", x->n_ends);
	return x->end;
}

static void check_all(const char *answer, const char *body, ending_t ending,
		      upstream_end_t expected)
{
	for (int i = 0; i < ROUNDS; i++) {
		exchange_t x;
		upstream_end_t end;

		exchange_init(&x);
		end = play(&x, answer, strlen(body), ending);
		ck_assert_msg(end == expected, "round %d: end %d", i, end);
		if (end == UPSTREAM_COMPLETE)
			ck_assert_str_eq(x.body->str, body);
		exchange_finish(&x);
	}
}

/*
 * Guards against an answer without a length that is reset and counts as whole,
 * since a write took the error and the next read returned an orderly end.
 */
START_TEST(an_early_answer_that_is_reset_at_once_is_not_complete)
{
	check_all(HEAD "\r\n" BODY, BODY, RESET_AT_ONCE, UPSTREAM_BROKEN);
}
END_TEST

/* Guards against an exchange without an end after two errors at once. */
START_TEST(an_early_answer_that_is_reset_later_is_not_complete)
{
	check_all(HEAD "\r\n" BODY, BODY, RESET_LATER, UPSTREAM_BROKEN);
}
END_TEST

/* Guards against the loss of a whole answer to a request not read to its end. */
START_TEST(an_early_answer_that_ends_in_order_is_complete)
{
	check_all(HEAD "\r\n" BODY, BODY, CLOSE_IN_ORDER, UPSTREAM_COMPLETE);
}
END_TEST

/* Guards against the loss of an answer whose framing shows that it is whole. */
START_TEST(an_early_answer_with_a_length_is_complete_despite_a_reset)
{
	check_all(HEAD "Content-Length: 12\r\n\r\n" BODY, BODY, RESET_AT_ONCE,
		  UPSTREAM_COMPLETE);
}
END_TEST

/* Returns 0 if the peer's bytes end in order, or the error that ends them. */
static int receive_all(int fd)
{
	char bytes[RECEIVE_BUFFER];
	ssize_t n;

	while ((n = recv(fd, bytes, sizeof(bytes), 0)) > 0)
		;
	return n ? errno : 0;
}

/*
 * Guards against a request that was given up while the upstream can't be
 * reached, and that the system delivers seconds later.
 */
START_TEST(what_is_not_delivered_of_a_cancelled_request_is_dropped)
{
	exchange_t x;
	int fd;

	exchange_init(&x);
	start(&x);
	fd = accept(x.listener, NULL, NULL);
	ck_assert_int_ge(fd, 0);
	event_base_loop(x.base, EVLOOP_NONBLOCK);
	ck_assert(upstream_conn_is_sent(x.conn));
	upstream_conn_cancel(x.conn);
	event_base_loop(x.base, EVLOOP_NONBLOCK);
	ck_assert_int_eq(receive_all(fd), ECONNRESET);
	close(fd);
	exchange_finish(&x);
}
END_TEST

SUITE_MAIN("upstream", an_early_answer_that_is_reset_at_once_is_not_complete,
	   an_early_answer_that_is_reset_later_is_not_complete,
	   an_early_answer_that_ends_in_order_is_complete,
	   an_early_answer_with_a_length_is_complete_despite_a_reset,
	   what_is_not_delivered_of_a_cancelled_request_is_dropped)
