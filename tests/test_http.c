#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <glib.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/socket.h>

#include "net/http.h"
#include "tests/lib_suite.h"

/* A raw server that answers every request with fixed bytes, then closes. */
typedef struct fake {
	struct event_base *base;
	struct evconnlistener *listener;
	const char *answer; /* NULL: close without one */
	bool is_silent; /* accepts and never answers */
	bool resets; /* right after the answer, with the request unread */
	int connections;
	int requests;
	char address[32];
} fake_t;

typedef struct result {
	struct event_base *base;
	http_call_t call;
	GString *body;
	int status;
	bool is_sending;
	int n_ends;
	err_t err;
	bool finish_in_data;
	bool forbids_sending;
	str_t request_body; /* "hello" if empty */
} result_t;

static void on_written(struct bufferevent *bev, void *arg)
{
	bufferevent_free(bev);
}

static void answer_and_reset(const fake_t *f, struct bufferevent *bev)
{
	struct linger at_once = { .l_onoff = 1 };
	int fd = bufferevent_getfd(bev);

	send(fd, f->answer, strlen(f->answer), 0);
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
	bufferevent_free(bev);
}

static void on_readable(struct bufferevent *bev, void *arg)
{
	fake_t *f = arg;
	struct evbuffer *in = bufferevent_get_input(bev);

	if (evbuffer_search(in, "\r\n\r\n", 4, NULL).pos < 0)
		return;
	f->requests++;
	evbuffer_drain(in, evbuffer_get_length(in));
	if (f->is_silent)
		return;
	if (f->resets) {
		answer_and_reset(f, bev);
		return;
	}
	if (!f->answer) {
		bufferevent_free(bev);
		return;
	}
	bufferevent_setcb(bev, NULL, on_written, NULL, f);
	evbuffer_add(bufferevent_get_output(bev), f->answer, strlen(f->answer));
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	bufferevent_free(bev);
}

static void on_accept(struct evconnlistener *l, evutil_socket_t fd,
		      struct sockaddr *sa, int len, void *arg)
{
	fake_t *f = arg;
	struct bufferevent *bev =
		bufferevent_socket_new(f->base, fd, BEV_OPT_CLOSE_ON_FREE);

	f->connections++;
	bufferevent_setcb(bev, on_readable, NULL, on_event, f);
	bufferevent_enable(bev, EV_READ | EV_WRITE);
}

static void fake_init(fake_t *f, struct event_base *base)
{
	signal(SIGPIPE, SIG_IGN);
	struct sockaddr_in sin = { .sin_family = AF_INET,
				   .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t len = sizeof(sin);

	f->base = base;
	f->listener = evconnlistener_new_bind(
		base, on_accept, f, LEV_OPT_CLOSE_ON_FREE, 16,
		(struct sockaddr *)&sin, sizeof(sin));
	ck_assert_ptr_nonnull(f->listener);
	getsockname(evconnlistener_get_fd(f->listener), (struct sockaddr *)&sin,
		    &len);
	g_snprintf(f->address, sizeof(f->address), "127.0.0.1:%d",
		   ntohs(sin.sin_port));
}

static bool on_sending(void *ctx)
{
	result_t *r = ctx;

	r->is_sending = true;
	return !r->forbids_sending;
}

static void on_data(void *ctx, struct evbuffer *body)
{
	result_t *r = ctx;
	size_t n = evbuffer_get_length(body);

	g_string_append_len(r->body, (char *)evbuffer_pullup(body, -1), n);
	if (r->finish_in_data) {
		http_call_finish(&r->call);
		event_base_loopexit(r->base, NULL);
	}
}

static void on_end(void *ctx, int status, const err_t *err)
{
	result_t *r = ctx;

	r->n_ends++;
	r->status = status;
	if (err)
		r->err = *err;
	http_call_finish(&r->call);
	event_base_loopexit(r->base, NULL);
}

static void run(result_t *r, const char *address, enum evhttp_cmd_type method,
		int64_t idle_ms)
{
	static const http_call_ops_t ops = { on_sending, NULL, on_data,
					     on_end };
	http_request_t request = {
		.address = address,
		.method = method,
		.path = "/x",
		.body = r->request_body.len ? r->request_body :
					      STR_LIT("hello"),
		.connect_timeout_ms = 1000,
		.idle_timeout_ms = idle_ms,
		.max_body = 64,
	};
	err_t err = { 0 };

	r->body = g_string_new("");
	ck_assert(http_call_start(&r->call, r->base, &request, &ops, r, &err));
	event_base_dispatch(r->base);
	/* Run the deferred callbacks. */
	event_base_loop(r->base, EVLOOP_NONBLOCK);
}

START_TEST(distinguishes_a_complete_answer_from_every_other_end)
{
	static const struct {
		const char *answer;
		bool is_silent;
		err_code_t code;
		const char *body;
	} cases[] = {
		{ "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false,
		  ERR_NONE, "ok" },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		  "2\r\nok\r\n0\r\n\r\n",
		  false, ERR_NONE, "ok" },
		{ "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", false,
		  ERR_CLOSED, "ok" },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		  "2\r\nok\r\n",
		  false, ERR_CLOSED, "ok" },
		{ "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nok", false,
		  ERR_LIMIT, "" },
		{ "garbage\r\n\r\n", false, ERR_INVALID, "" },
		{ NULL, false, ERR_CLOSED, "" },
		{ NULL, true, ERR_TIMEOUT, "" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct event_base *base = event_base_new();
		fake_t f = { .answer = cases[i].answer,
			     .is_silent = cases[i].is_silent };
		result_t r = { .base = base };

		fake_init(&f, base);
		run(&r, f.address, EVHTTP_REQ_POST, 200);
		ck_assert_msg(r.err.code == cases[i].code, "case %zu: %s %s", i,
			      err_code_name(r.err.code), r.err.detail);
		ck_assert_str_eq(r.body->str, cases[i].body);
		ck_assert_int_eq(r.n_ends, 1);
		ck_assert(r.is_sending);
		ck_assert_int_eq(f.requests, 1);
		evconnlistener_free(f.listener);
		g_string_free(r.body, TRUE);
		event_base_free(base);
	}
}
END_TEST

/* Guards against an answer that ends within its head and counts as whole. */
START_TEST(a_head_that_breaks_off_is_no_answer)
{
	static const char *const answers[] = {
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-A: b\r\n\r\n",
		"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(answers); i++) {
		for (size_t n = 0; n < strlen(answers[i]); n++) {
			g_autofree char *cut = g_strndup(answers[i], n);
			struct event_base *base = event_base_new();
			fake_t f = { .answer = n ? cut : NULL };
			result_t r = { .base = base };

			fake_init(&f, base);
			run(&r, f.address, EVHTTP_REQ_POST, 200);
			ck_assert_msg(r.err.code != ERR_NONE,
				      "answer %zu: whole after %zu bytes", i,
				      n);
			evconnlistener_free(f.listener);
			g_string_free(r.body, TRUE);
			event_base_free(base);
		}
	}
}
END_TEST

/* Guards against an early answer that is reset and counts as whole. */
START_TEST(an_early_answer_that_is_reset_is_not_complete)
{
	enum { BYTES = 4000000, ROUNDS = 20 };
	g_autofree char *bytes = g_malloc0(BYTES);

	for (int i = 0; i < ROUNDS; i++) {
		struct event_base *base = event_base_new();
		fake_t f = { .answer = "HTTP/1.1 200 OK\r\n\r\nhello",
			     .resets = true };
		result_t r = { .base = base, .request_body = { bytes, BYTES } };

		fake_init(&f, base);
		run(&r, f.address, EVHTTP_REQ_POST, 200);
		ck_assert_int_eq(r.n_ends, 1);
		ck_assert_int_ne(r.err.code, ERR_NONE);
		evconnlistener_free(f.listener);
		g_string_free(r.body, TRUE);
		event_base_free(base);
	}
}
END_TEST

typedef struct part {
	const char *answer; /* cut */
	bool resets; /* else the connection is closed */
} part_t;

static void check_part(const part_t *part, str_t request_body)
{
	struct event_base *base = event_base_new();
	fake_t f = { .answer = part->answer, .resets = part->resets };
	result_t r = { .base = base, .request_body = request_body };

	fake_init(&f, base);
	run(&r, f.address, EVHTTP_REQ_POST, 200);
	ck_assert_int_eq(r.n_ends, 1);
	ck_assert_msg(r.err.code != ERR_NONE, "%zu bytes sent, %s: %s",
		      request_body.len, part->resets ? "reset" : "closed",
		      part->answer);
	ck_assert_int_eq(f.requests, 1);
	evconnlistener_free(f.listener);
	g_string_free(r.body, TRUE);
	event_base_free(base);
}

/* Guards against: a part of an early answer counts as whole. */
START_TEST(a_part_of_an_early_answer_is_an_error_whatever_its_framing)
{
	static const part_t parts[] = {
		{ "HTTP/1.1 200 OK\r\n\r\npart", true },
		{ "HTTP/1.0 200 OK\r\n\r\npart", true },
		{ "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
		  "data: one\n\n",
		  true },
		{ "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", true },
		{ "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", false },
		{ "HTTP/1.0 200 OK\r\nContent-Length: 9\r\n\r\npart", false },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		  "4\r\npart\r\n",
		  true },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		  "4\r\npart\r\n",
		  false },
	};
	/* Sent before the answer; as much as a socket may hold; far more. */
	static const size_t uploads[] = { 2, 300000, 4000000 };
	enum { ROUNDS = 5 };
	g_autofree char *bytes = g_malloc0(4000000);

	for (size_t i = 0; i < G_N_ELEMENTS(parts); i++)
		for (size_t k = 0; k < G_N_ELEMENTS(uploads) * ROUNDS; k++)
			check_part(&parts[i],
				   (str_t){ bytes, uploads[k / ROUNDS] });
}
END_TEST

/* Guards against: a status that HTTP doesn't know counts as an answer. */
START_TEST(an_answer_whose_status_is_none_is_invalid)
{
	static const char *const statuses[] = { "000", "20",   "099", "600",
						"999", "1000", "101" };

	for (size_t i = 0; i < G_N_ELEMENTS(statuses); i++) {
		g_autofree char *answer = g_strdup_printf(
			"HTTP/1.1 %s X\r\nContent-Length: 2\r\n\r\nok",
			statuses[i]);
		struct event_base *base = event_base_new();
		fake_t f = { .answer = answer };
		result_t r = { .base = base };

		fake_init(&f, base);
		run(&r, f.address, EVHTTP_REQ_POST, 200);
		ck_assert_int_eq(r.n_ends, 1);
		ck_assert_msg(r.err.code == ERR_INVALID, "%s: %s", statuses[i],
			      err_code_name(r.err.code));
		ck_assert_str_eq(r.body->str, "");
		evconnlistener_free(f.listener);
		g_string_free(r.body, TRUE);
		event_base_free(base);
	}
}
END_TEST

/* Guards against: an interim answer is taken for the final one. */
START_TEST(interim_answers_are_skipped)
{
	static const char *const interims[] = {
		"HTTP/1.1 100 Continue\r\n\r\n",
		"HTTP/1.1 102 Processing\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(interims); i++) {
		g_autofree char *answer =
			g_strconcat(interims[i], interims[i],
				    "HTTP/1.1 201 Created\r\n"
				    "Content-Length: 2\r\n\r\nok",
				    NULL);
		struct event_base *base = event_base_new();
		fake_t f = { .answer = answer };
		result_t r = { .base = base };

		fake_init(&f, base);
		run(&r, f.address, EVHTTP_REQ_POST, 200);
		ck_assert_int_eq(r.n_ends, 1);
		ck_assert_msg(r.err.code == ERR_NONE, "%s: %s", interims[i],
			      r.err.detail);
		ck_assert_int_eq(r.status, 201);
		ck_assert_str_eq(r.body->str, "ok");
		evconnlistener_free(f.listener);
		g_string_free(r.body, TRUE);
		event_base_free(base);
	}
}
END_TEST

START_TEST(never_sends_a_request_twice_by_itself)
{
	static const enum evhttp_cmd_type methods[] = { EVHTTP_REQ_GET,
							EVHTTP_REQ_POST,
							EVHTTP_REQ_PUT };

	for (size_t i = 0; i < G_N_ELEMENTS(methods); i++) {
		struct event_base *base = event_base_new();
		fake_t f = { .answer = NULL };
		result_t r = { .base = base };

		fake_init(&f, base);
		run(&r, f.address, methods[i], 500);
		ck_assert_int_eq(r.err.code, ERR_CLOSED);
		ck_assert_int_eq(f.connections, 1);
		ck_assert_int_eq(f.requests, 1);
		evconnlistener_free(f.listener);
		g_string_free(r.body, TRUE);
		event_base_free(base);
	}
}
END_TEST

START_TEST(a_refused_connection_sent_nothing)
{
	struct event_base *base = event_base_new();
	fake_t f = { 0 };
	result_t r = { .base = base };

	fake_init(&f, base);
	evconnlistener_free(f.listener);
	run(&r, f.address, EVHTTP_REQ_POST, 500);
	ck_assert_int_eq(r.err.code, ERR_REFUSED);
	ck_assert(!r.is_sending);
	ck_assert_int_eq(r.n_ends, 1);
	g_string_free(r.body, TRUE);
	event_base_free(base);
}
END_TEST

START_TEST(finishing_inside_a_callback_prevents_further_ones)
{
	struct event_base *base = event_base_new();
	fake_t f = { .answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
			       "ok" };
	result_t r = { .base = base, .finish_in_data = true };

	fake_init(&f, base);
	run(&r, f.address, EVHTTP_REQ_GET, 500);
	ck_assert_int_eq(r.n_ends, 0);
	ck_assert_str_eq(r.body->str, "ok");
	evconnlistener_free(f.listener);
	g_string_free(r.body, TRUE);
	event_base_free(base);
}
END_TEST

START_TEST(a_request_that_its_callback_forbids_is_not_sent)
{
	struct event_base *base = event_base_new();
	fake_t f = { .answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" };
	result_t r = { .base = base, .forbids_sending = true };

	fake_init(&f, base);
	run(&r, f.address, EVHTTP_REQ_POST, 500);
	ck_assert_int_eq(r.err.code, ERR_REFUSED);
	ck_assert(r.is_sending);
	ck_assert_int_eq(r.n_ends, 1);
	/* Anything that had been sent would have arrived by now. */
	event_base_loopexit(base, &(struct timeval){ 0, 100000 });
	event_base_dispatch(base);
	ck_assert_int_eq(f.requests, 0);
	evconnlistener_free(f.listener);
	g_string_free(r.body, TRUE);
	event_base_free(base);
}
END_TEST

START_TEST(refuses_addresses_that_are_not_ip_and_port)
{
	static const char *const bad[] = { "",
					   "127.0.0.1",
					   "127.0.0.1:",
					   "127.0.0.1:0",
					   "127.0.0.1:70000",
					   "1:2x" };

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		char ip[32];
		uint16_t port;
		err_t err = { 0 };

		ck_assert(!http_split_address(bad[i], ip, sizeof(ip), &port,
					      &err));
		ck_assert_int_eq(err.code, ERR_INVALID);
	}
}
END_TEST

SUITE_MAIN("http", distinguishes_a_complete_answer_from_every_other_end,
	   a_head_that_breaks_off_is_no_answer,
	   an_early_answer_that_is_reset_is_not_complete,
	   a_part_of_an_early_answer_is_an_error_whatever_its_framing,
	   an_answer_whose_status_is_none_is_invalid,
	   interim_answers_are_skipped, never_sends_a_request_twice_by_itself,
	   a_refused_connection_sent_nothing,
	   finishing_inside_a_callback_prevents_further_ones,
	   a_request_that_its_callback_forbids_is_not_sent,
	   refuses_addresses_that_are_not_ip_and_port)
