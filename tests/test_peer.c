#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <glib.h>
#include <signal.h>
#include <unistd.h>

#include "net/frame.h"
#include "net/peer.h"
#include "net/peer_link.h"
#include "net/proof.h"
#include "tests/lib_suite.h"

enum {
	WAIT_MS = 8000,
	CONNECT_TIMEOUT_MS = 150,
	SILENCE_TIMEOUT_MS = 400,
	MAX_BACKLOG = 64 * 1024,
	PORT = 7300,
};

static const char secret[] = "between daemons";

/* A daemon under test, with what its callbacks received. */
typedef struct node {
	peer_t peer;
	member_vm_t vm;
	peer_config_t config;
	int ups, downs, frames, probes_ok, probes_failed;
	uint64_t last_incarnation, last_attempt;
	member_vm_t last_vm;
	err_t last_err;
} node_t;

static struct event_base *base;

/* Runs the loop until COND holds; fails the test after WAIT_MS. */
#define WAIT(cond)                                                      \
	do {                                                            \
		int left_ = WAIT_MS;                                    \
                                                                        \
		while (!(cond) && left_-- > 0) {                        \
			event_base_loop(base, EVLOOP_NONBLOCK);         \
			g_usleep(1000);                                 \
		}                                                       \
		ck_assert_msg(cond, "timed out waiting for %s", #cond); \
	} while (0)

/* Runs the loop for about MS milliseconds. */
static void run_for(int ms)
{
	for (; ms > 0; ms--) {
		event_base_loop(base, EVLOOP_NONBLOCK);
		g_usleep(1000);
	}
}

/* Loopback addresses that only this process uses. */
static void set_address(char *buf, int n)
{
	unsigned int pid = (unsigned int)getpid();

	g_snprintf(buf, MEMBER_NAME_SIZE, "127.%u.%u.%d:%d",
		   1 + (pid >> 8) % 250, pid & 255, n + 1, PORT);
}

static void on_up(void *ctx, const member_vm_t *vm, uint64_t incarnation)
{
	node_t *n = ctx;

	n->ups++;
	n->last_vm = *vm;
	n->last_incarnation = incarnation;
}

static void on_down(void *ctx, const char *name, const err_t *err)
{
	node_t *n = ctx;

	n->downs++;
	n->last_err = *err;
}

static void on_frame(void *ctx, const char *name, const Papaya__Frame *frame)
{
	node_t *n = ctx;

	n->frames++;
	if (frame->body_case == PAPAYA__FRAME__BODY_GRANT)
		n->last_attempt = frame->grant->attempt;
}

static void on_probed(void *ctx, const char *name, bool is_ok)
{
	node_t *n = ctx;

	if (is_ok)
		n->probes_ok++;
	else
		n->probes_failed++;
}

static const peer_ops_t ops = { on_up, on_down, on_frame, on_probed };

static member_vm_t vm_of(char name, int n)
{
	member_vm_t vm = { .zone = "z1",
			   .address = "127.0.0.1:80",
			   .admin_address = "127.0.0.1:81" };

	vm.name[0] = name;
	set_address(vm.peer_address, n);
	return vm;
}

static void node_start(node_t *n, char name, uint64_t incarnation)
{
	err_t err = { 0 };

	n->vm = vm_of(name, name - 'a');
	n->config = (peer_config_t){
		.self = n->vm,
		.incarnation = incarnation,
		.secret = STR_LIT(secret),
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.silence_timeout_ms = SILENCE_TIMEOUT_MS,
		.max_backlog = MAX_BACKLOG,
		.seed = (uint64_t)name,
	};
	ck_assert_msg(peer_init(&n->peer, base, &n->config, &ops, n, &err),
		      "%s", err.detail);
}

static peer_stats_t stats_of(const node_t *n)
{
	peer_stats_t stats;

	peer_stats(&n->peer, &stats);
	return stats;
}

static bool send_grant(node_t *n, const char *to, uint64_t attempt,
		       size_t padding)
{
	Papaya__Frame frame = PAPAYA__FRAME__INIT;
	Papaya__Grant grant = PAPAYA__GRANT__INIT;
	g_autofree char *runner = g_strnfill(padding, 'r');

	grant.attempt = attempt;
	grant.runner = runner;
	frame.body_case = PAPAYA__FRAME__BODY_GRANT;
	frame.grant = &grant;
	if (!to)
		return peer_send_all(&n->peer, &frame) > 0;
	return peer_send(&n->peer, str_from(to), &frame);
}

static void setup(void)
{
	signal(SIGPIPE, SIG_IGN);
	base = event_base_new();
}

static void teardown(void)
{
	event_base_free(base);
}

/* A frame with one unknown field. */
static const uint8_t empty[] = { 0, 0, 0, 3, 0xf8, 0x07, 0x01 };

/* Faults of a peer that the test controls. */
typedef enum fault {
	FAULT_NONE,
	FAULT_OVERSIZED,
	FAULT_OVERSIZED_HELLO,
	FAULT_ZERO_LENGTH,
	FAULT_GARBAGE,
	FAULT_HTTP,
	FAULT_EMPTY_FRAME,
	FAULT_HALF_OPEN,
	FAULT_HALF_PREFIX,
	FAULT_NO_PROOF,
	FAULT_WRONG_VERSION,
	FAULT_NO_NAME,
	FAULT_LONG_NAME,
	FAULT_SELF,
	FAULT_GREATER_NAME,
	FAULT_SHORT_CHALLENGE,
	FAULT_PROOF_FIRST,
	FAULT_FRAME_FIRST,
	FAULT_FRAME_FOR_PROOF,
	FAULT_WRONG_SECRET,
	FAULT_SHORT_PROOF,
	FAULT_WRONG_SIDE,
	FAULT_REPLAY,
	FAULT_HELLO_AGAIN,
	FAULT_OVERSIZED_LATER,
	FAULT_GARBAGE_LATER,
	FAULT_EMPTY_LATER,
} fault_t;

/* A peer whose frames the test sends itself. */
typedef struct raw {
	fault_t fault;
	proof_side_t side;
	const char *name;
	uint64_t incarnation;
	bool is_probe;
	bool reads_nothing; /* after the handshake */
	bool is_closed, has_hello, has_proof;
	uint8_t challenge[PROOF_CHALLENGE_SIZE];
	uint8_t mac[PROOF_SIZE]; /* the proof sent, or one to replay */
	struct evconnlistener *listener;
	struct bufferevent *bev;
} raw_t;

static void raw_write(raw_t *r, const void *data, size_t len)
{
	bufferevent_write(r->bev, data, len);
}

static Papaya__Hello raw_hello(raw_t *r)
{
	static char long_name[MEMBER_NAME_SIZE + 1];
	Papaya__Hello hello = PAPAYA__HELLO__INIT;

	memset(long_name, 'a', MEMBER_NAME_SIZE);
	hello.version =
		PEER_PROTOCOL_VERSION + (r->fault == FAULT_WRONG_VERSION);
	hello.name = (char *)(r->fault == FAULT_NO_NAME	  ? "" :
			      r->fault == FAULT_LONG_NAME ? long_name :
							    r->name);
	hello.zone = (char *)"z1";
	hello.incarnation = r->incarnation;
	hello.challenge.data = r->challenge;
	hello.challenge.len =
		sizeof(r->challenge) - (r->fault == FAULT_SHORT_CHALLENGE);
	hello.is_probe = r->is_probe;
	return hello;
}

static void raw_send(raw_t *r, const Papaya__Frame *frame)
{
	frame_write(bufferevent_get_output(r->bev), frame);
}

static void raw_send_hello(raw_t *r)
{
	Papaya__Frame frame = PAPAYA__FRAME__INIT;
	Papaya__Hello hello = raw_hello(r);

	frame.body_case = PAPAYA__FRAME__BODY_HELLO;
	frame.hello = &hello;
	raw_send(r, &frame);
}

static void raw_send_proof(raw_t *r)
{
	Papaya__Frame frame = PAPAYA__FRAME__INIT;
	Papaya__Proof proof = PAPAYA__PROOF__INIT;

	proof.mac.data = r->mac;
	proof.mac.len = sizeof(r->mac) - (r->fault == FAULT_SHORT_PROOF);
	frame.body_case = PAPAYA__FRAME__BODY_PROOF;
	frame.proof = &proof;
	raw_send(r, &frame);
}

static void raw_send_heartbeat(raw_t *r)
{
	Papaya__Frame frame = PAPAYA__FRAME__INIT;
	Papaya__Heartbeat beat = PAPAYA__HEARTBEAT__INIT;

	frame.body_case = PAPAYA__FRAME__BODY_HEARTBEAT;
	frame.heartbeat = &beat;
	raw_send(r, &frame);
}

static void raw_make_proof(raw_t *r, const Papaya__Hello *other)
{
	Papaya__Hello hello = raw_hello(r);
	str_t key = r->fault == FAULT_WRONG_SECRET ? STR_LIT("guess") :
						     STR_LIT(secret);
	proof_side_t side = r->side;

	if (r->fault == FAULT_WRONG_SIDE)
		side = side == PROOF_CONNECTOR ? PROOF_ACCEPTOR :
						 PROOF_CONNECTOR;
	if (r->fault != FAULT_REPLAY)
		proof_compute(key, side, &hello, other, r->mac);
}

static void raw_send_opening(raw_t *r)
{
	static const uint8_t huge[] = { 0x7f, 0xff, 0xff, 0xff };
	static const uint8_t long_hello[] = { 0, 0, 0x10, 0x01 };
	static const uint8_t zero[FRAME_PREFIX_SIZE];
	static const uint8_t garbage[] = { 0, 0, 0, 4, 0xff, 0xff, 1, 2 };
	static const char http[] = "GET / HTTP/1.1\r\n\r\n";

	switch (r->fault) {
	case FAULT_OVERSIZED:
		raw_write(r, huge, sizeof(huge));
		break;
	case FAULT_OVERSIZED_HELLO:
		raw_write(r, long_hello, sizeof(long_hello));
		break;
	case FAULT_ZERO_LENGTH:
		raw_write(r, zero, sizeof(zero));
		break;
	case FAULT_GARBAGE:
		raw_write(r, garbage, sizeof(garbage));
		break;
	case FAULT_HTTP:
		raw_write(r, http, sizeof(http) - 1);
		break;
	case FAULT_EMPTY_FRAME:
		raw_write(r, empty, sizeof(empty));
		break;
	case FAULT_HALF_OPEN:
		break;
	case FAULT_HALF_PREFIX:
		raw_write(r, zero, 2);
		break;
	case FAULT_PROOF_FIRST:
		raw_send_proof(r);
		break;
	case FAULT_FRAME_FIRST:
		raw_send_heartbeat(r);
		break;
	default:
		raw_send_hello(r);
	}
}

static void raw_on_hello(raw_t *r, const Papaya__Hello *hello)
{
	r->has_hello = true;
	raw_make_proof(r, hello);
	if (r->side == PROOF_ACCEPTOR)
		raw_send_opening(r);
	else if (r->fault == FAULT_FRAME_FOR_PROOF)
		raw_send_heartbeat(r);
	else if (r->fault != FAULT_NO_PROOF)
		raw_send_proof(r);
}

static void raw_on_proof(raw_t *r)
{
	static const uint8_t huge[] = { 0, 0x10, 0, 1 };
	static const uint8_t garbage[] = { 0, 0, 0, 4, 0xff, 0xff, 1, 2 };

	r->has_proof = true;
	if (r->side == PROOF_ACCEPTOR && r->fault != FAULT_NO_PROOF)
		raw_send_proof(r);
	if (r->fault == FAULT_HELLO_AGAIN)
		raw_send_hello(r);
	if (r->fault == FAULT_OVERSIZED_LATER)
		raw_write(r, huge, sizeof(huge));
	if (r->fault == FAULT_GARBAGE_LATER)
		raw_write(r, garbage, sizeof(garbage));
	if (r->fault == FAULT_EMPTY_LATER)
		raw_write(r, empty, sizeof(empty));
	if (r->reads_nothing)
		bufferevent_disable(r->bev, EV_READ);
}

static void raw_on_readable(struct bufferevent *bev, void *ctx)
{
	raw_t *r = ctx;
	Papaya__Frame *frame;

	while (frame_read(bufferevent_get_input(bev), PEER_MAX_FRAME, &frame) ==
	       FRAME_OK) {
		if (frame->body_case == PAPAYA__FRAME__BODY_HELLO)
			raw_on_hello(r, frame->hello);
		else if (frame->body_case == PAPAYA__FRAME__BODY_PROOF)
			raw_on_proof(r);
		frame_free(frame);
	}
}

static void raw_on_event(struct bufferevent *bev, short what, void *ctx)
{
	raw_t *r = ctx;

	if (what & BEV_EVENT_CONNECTED)
		raw_send_opening(r);
	else
		r->is_closed = true;
}

static void raw_attach(raw_t *r, evutil_socket_t fd)
{
	if (r->fault != FAULT_REPLAY)
		evutil_secure_rng_get_bytes(r->challenge, sizeof(r->challenge));
	r->bev = bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(r->bev, raw_on_readable, NULL, raw_on_event, r);
	bufferevent_enable(r->bev, EV_READ | EV_WRITE);
}

static void raw_connect(raw_t *r, const node_t *to)
{
	struct sockaddr_storage addr;
	int len = sizeof(addr);

	r->side = PROOF_CONNECTOR;
	raw_attach(r, -1);
	evutil_parse_sockaddr_port(to->vm.peer_address,
				   (struct sockaddr *)&addr, &len);
	bufferevent_socket_connect(r->bev, (struct sockaddr *)&addr, len);
}

static void raw_on_accept(struct evconnlistener *listener, evutil_socket_t fd,
			  struct sockaddr *addr, int len, void *ctx)
{
	raw_t *r = ctx;

	if (r->bev)
		bufferevent_free(r->bev);
	raw_attach(r, fd);
}

static void raw_listen(raw_t *r, const member_vm_t *vm)
{
	struct sockaddr_storage addr;
	int len = sizeof(addr);

	r->side = PROOF_ACCEPTOR;
	evutil_parse_sockaddr_port(vm->peer_address, (struct sockaddr *)&addr,
				   &len);
	r->listener = evconnlistener_new_bind(base, raw_on_accept, r,
					      LEV_OPT_CLOSE_ON_FREE |
						      LEV_OPT_REUSEABLE,
					      8, (struct sockaddr *)&addr, len);
	ck_assert_ptr_nonnull(r->listener);
}

static void raw_finish(raw_t *r)
{
	if (r->bev)
		bufferevent_free(r->bev);
	if (r->listener)
		evconnlistener_free(r->listener);
}

START_TEST(links_come_up_and_carry_frames)
{
	node_t a = { 0 }, b = { 0 };

	setup();
	node_start(&a, 'a', 11);
	node_start(&b, 'b', 12);
	ck_assert(!send_grant(&a, "b", 1, 0));
	peer_keep(&a.peer, &b.vm);
	peer_keep(&b.peer, &a.vm);
	WAIT(a.ups == 1 && b.ups == 1);
	ck_assert_str_eq(a.last_vm.name, "b");
	ck_assert_str_eq(a.last_vm.peer_address, b.vm.peer_address);
	ck_assert_str_eq(b.last_vm.admin_address, "127.0.0.1:81");
	ck_assert_uint_eq(a.last_incarnation, 12);
	ck_assert_uint_eq(b.last_incarnation, 11);
	ck_assert(send_grant(&a, "b", 7, 3));
	ck_assert(send_grant(&b, NULL, 8, 900000 % MAX_BACKLOG));
	WAIT(a.frames == 1 && b.frames == 1);
	ck_assert_uint_eq(b.last_attempt, 7);
	ck_assert_uint_eq(a.last_attempt, 8);
	ck_assert_uint_eq(stats_of(&a).links_up, 1);
	ck_assert_uint_eq(stats_of(&a).bytes_out, stats_of(&b).bytes_in);
	ck_assert_uint_eq(stats_of(&a).bytes_in, stats_of(&b).bytes_out);
	peer_drop(&a.peer, STR_LIT("b"));
	ck_assert(!peer_is_up(&a.peer, STR_LIT("b")));
	WAIT(b.downs == 1);
	ck_assert_int_eq(a.downs, 0);
	ck_assert_int_eq(b.last_err.code, ERR_CLOSED);
	peer_finish(&a.peer);
	peer_finish(&b.peer);
	teardown();
}
END_TEST

typedef struct fault_case {
	const char *what;
	fault_t fault;
	bool is_counted; /* counted as a refused frame */
	bool comes_up; /* linked before it is closed */
	const char *name;
} fault_case_t;

static void check_connector_fault(const fault_case_t *c)
{
	node_t m = { 0 };
	raw_t good = { .name = "a", .incarnation = 1 };
	raw_t bad = { .name = c->name ? c->name : "a",
		      .incarnation = 1,
		      .fault = c->fault };

	setup();
	node_start(&m, 'm', 1);
	if (c->fault == FAULT_REPLAY) {
		raw_connect(&good, &m);
		WAIT(m.ups == 1);
		memcpy(bad.mac, good.mac, sizeof(bad.mac));
		memcpy(bad.challenge, good.challenge, sizeof(bad.challenge));
		peer_drop(&m.peer, STR_LIT("a"));
		m.ups = 0;
	}
	raw_connect(&bad, &m);
	WAIT(bad.is_closed);
	run_for(5);
	ck_assert_msg(m.ups == c->comes_up,
		      "%s: wrong number of links established", c->what);
	ck_assert_msg(m.downs == c->comes_up, "%s: wrong number of links lost",
		      c->what);
	ck_assert_msg(m.frames == 0, "%s: frame accepted", c->what);
	ck_assert_msg(c->fault != FAULT_SELF || !bad.has_hello,
		      "%s: was sent a hello", c->what);
	ck_assert_msg(bad.has_proof == c->comes_up,
		      "%s: unexpected or missing proof", c->what);
	ck_assert_msg(stats_of(&m).refused_frames == c->is_counted,
		      "%s: %d refused frames counted", c->what,
		      (int)stats_of(&m).refused_frames);
	ck_assert_msg(stats_of(&m).links_up == 0, "%s: link left open",
		      c->what);
	raw_finish(&good);
	raw_finish(&bad);
	peer_finish(&m.peer);
	teardown();
}

START_TEST(faulty_connectors_are_closed_and_counted)
{
	static const fault_case_t cases[] = {
		{ "oversized", FAULT_OVERSIZED, true, false, NULL },
		{ "oversized hello", FAULT_OVERSIZED_HELLO, true, false, NULL },
		{ "zero length", FAULT_ZERO_LENGTH, true, false, NULL },
		{ "garbage", FAULT_GARBAGE, true, false, NULL },
		{ "another protocol", FAULT_HTTP, true, false, NULL },
		{ "frame without body", FAULT_EMPTY_FRAME, true, false, NULL },
		{ "half-open", FAULT_HALF_OPEN, false, false, NULL },
		{ "half a prefix", FAULT_HALF_PREFIX, false, false, NULL },
		{ "no proof", FAULT_NO_PROOF, false, false, NULL },
		{ "wrong version", FAULT_WRONG_VERSION, true, false, NULL },
		{ "no name", FAULT_NO_NAME, true, false, NULL },
		{ "long name", FAULT_LONG_NAME, true, false, NULL },
		{ "self-connect", FAULT_SELF, true, false, "m" },
		{ "greater name", FAULT_GREATER_NAME, true, false, "z" },
		{ "short challenge", FAULT_SHORT_CHALLENGE, true, false, NULL },
		{ "proof first", FAULT_PROOF_FIRST, true, false, NULL },
		{ "frame first", FAULT_FRAME_FIRST, true, false, NULL },
		{ "frame before proof", FAULT_FRAME_FOR_PROOF, true, false,
		  NULL },
		{ "wrong secret", FAULT_WRONG_SECRET, true, false, NULL },
		{ "short proof", FAULT_SHORT_PROOF, true, false, NULL },
		{ "proof of the other side", FAULT_WRONG_SIDE, true, false,
		  NULL },
		{ "replayed proof", FAULT_REPLAY, true, false, NULL },
		{ "second hello", FAULT_HELLO_AGAIN, true, true, NULL },
		{ "oversized on the link", FAULT_OVERSIZED_LATER, true, true,
		  NULL },
		{ "frame without body on the link", FAULT_EMPTY_LATER, true,
		  true, NULL },
		{ "garbage on the link", FAULT_GARBAGE_LATER, true, true,
		  NULL },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		check_connector_fault(&cases[i]);
}
END_TEST

START_TEST(faulty_acceptors_are_refused_and_tried_again)
{
	static const fault_case_t cases[] = {
		{ "good", FAULT_NONE, false, true, NULL },
		{ "half-open", FAULT_HALF_OPEN, false, false, NULL },
		{ "garbage", FAULT_GARBAGE, true, false, NULL },
		{ "another daemon", FAULT_SELF, true, false, "z" },
		{ "our own name", FAULT_SELF, true, false, "m" },
		{ "wrong version", FAULT_WRONG_VERSION, true, false, NULL },
		{ "wrong secret", FAULT_WRONG_SECRET, true, false, NULL },
		{ "our side's proof", FAULT_WRONG_SIDE, true, false, NULL },
		{ "replayed proof", FAULT_REPLAY, true, false, NULL },
		{ "no proof", FAULT_NO_PROOF, false, false, NULL },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const fault_case_t *c = &cases[i];
		raw_t raw = { .name = c->name ? c->name : "x",
			      .fault = c->fault,
			      .incarnation = 5 };
		member_vm_t vm = vm_of('x', 'x' - 'a');
		node_t m = { 0 };

		setup();
		node_start(&m, 'm', 1);
		raw_listen(&raw, &vm);
		peer_keep(&m.peer, &vm);
		if (c->comes_up)
			WAIT(m.ups == 1);
		else
			WAIT(stats_of(&m).connects >= 2);
		ck_assert_msg(m.ups == c->comes_up,
			      "%s: wrong number of links established", c->what);
		ck_assert_msg((stats_of(&m).refused_frames > 0) ==
				      c->is_counted,
			      "%s: refused frames miscounted", c->what);
		raw_finish(&raw);
		peer_finish(&m.peer);
		teardown();
	}
}
END_TEST

START_TEST(silent_link_is_closed)
{
	node_t m = { 0 };
	raw_t raw = { .name = "a", .incarnation = 1 };

	setup();
	node_start(&m, 'm', 1);
	raw_connect(&raw, &m);
	WAIT(m.ups == 1);
	WAIT(m.downs == 1 && raw.is_closed);
	ck_assert_int_eq(m.last_err.code, ERR_TIMEOUT);
	ck_assert_str_eq(m.last_err.peer, "a");
	raw_finish(&raw);
	peer_finish(&m.peer);
	teardown();
}
END_TEST

START_TEST(newer_connection_replaces_the_link)
{
	static const uint64_t incarnations[] = { 1, 2 };

	for (size_t i = 0; i < G_N_ELEMENTS(incarnations); i++) {
		node_t m = { 0 };
		raw_t old = { .name = "a", .incarnation = 1 };
		raw_t new = { .name = "a", .incarnation = incarnations[i] };

		setup();
		node_start(&m, 'm', 1);
		raw_connect(&old, &m);
		WAIT(m.ups == 1);
		raw_connect(&new, &m);
		WAIT(m.ups == 2 && old.is_closed);
		ck_assert_int_eq(m.downs, 1);
		ck_assert_uint_eq(m.last_incarnation, incarnations[i]);
		ck_assert(!new.is_closed);
		ck_assert_uint_eq(stats_of(&m).links_up, 1);
		raw_finish(&old);
		raw_finish(&new);
		peer_finish(&m.peer);
		teardown();
	}
}
END_TEST

START_TEST(backlog_is_bounded)
{
	node_t m = { 0 };
	raw_t raw = { .name = "a", .incarnation = 1, .reads_nothing = true };
	int sent = 0;

	setup();
	node_start(&m, 'm', 1);
	raw_connect(&raw, &m);
	WAIT(m.ups == 1 && raw.has_proof);
	while (sent < 4096 && send_grant(&m, "a", 1, MAX_BACKLOG / 8)) {
		sent++;
		event_base_loop(base, EVLOOP_NONBLOCK);
	}
	ck_assert_int_lt(sent, 4096);
	ck_assert_uint_eq(stats_of(&m).dropped_backlog, 1);
	/* Larger than the frame size limit. */
	ck_assert(!send_grant(&m, "a", 1, PEER_MAX_FRAME));
	raw_finish(&raw);
	peer_finish(&m.peer);
	teardown();
}
END_TEST

START_TEST(restarted_peer_is_linked_again)
{
	node_t a = { 0 }, b = { 0 };

	setup();
	node_start(&a, 'a', 1);
	node_start(&b, 'b', 1);
	peer_keep(&a.peer, &b.vm);
	WAIT(a.ups == 1 && b.ups == 1);
	peer_finish(&b.peer);
	WAIT(a.downs == 1);
	run_for(100);
	node_start(&b, 'b', 2);
	WAIT(a.ups == 2 && b.ups == 2);
	ck_assert_uint_eq(a.last_incarnation, 2);
	/* A changed own incarnation replaces the link, with a new handshake. */
	peer_set_incarnation(&a.peer, 9);
	WAIT(b.last_incarnation == 9 && a.ups == 3);
	ck_assert_int_eq(a.downs, 2);
	peer_set_incarnation(&b.peer, 8);
	WAIT(a.last_incarnation == 8 && b.ups == 4);
	ck_assert(peer_is_up(&a.peer, STR_LIT("b")));
	peer_finish(&a.peer);
	peer_finish(&b.peer);
	teardown();
}
END_TEST

START_TEST(greater_name_sends_a_connect_request)
{
	node_t a = { 0 }, b = { 0 };

	setup();
	node_start(&a, 'a', 1);
	node_start(&b, 'b', 1);
	peer_keep(&b.peer, &a.vm);
	WAIT(a.ups == 1 && b.ups == 1);
	ck_assert_int_eq(a.probes_ok + b.probes_ok, 0);
	peer_finish(&a.peer);
	peer_finish(&b.peer);
	teardown();
}
END_TEST

START_TEST(released_link_stays_until_it_breaks)
{
	node_t a = { 0 }, b = { 0 };

	setup();
	node_start(&a, 'a', 1);
	node_start(&b, 'b', 1);
	peer_keep(&a.peer, &b.vm);
	WAIT(a.ups == 1 && b.ups == 1);
	peer_release(&a.peer, STR_LIT("b"));
	ck_assert(send_grant(&a, "b", 7, 0));
	WAIT(b.frames == 1);
	peer_drop(&b.peer, STR_LIT("a"));
	WAIT(a.downs == 1);
	run_for(200);
	ck_assert_int_eq(a.ups, 1);
	/* The peer is neither kept nor linked, so releasing it does nothing. */
	peer_release(&a.peer, STR_LIT("b"));
	peer_finish(&a.peer);
	peer_finish(&b.peer);
	teardown();
}
END_TEST

START_TEST(probe_needs_a_proof)
{
	static const struct {
		const char *what;
		fault_t fault;
		bool is_ok;
		bool listens;
		const char *name;
	} cases[] = {
		{ "living", FAULT_NONE, true, true, "b" },
		{ "nobody", FAULT_NONE, false, false, "b" },
		{ "half-open", FAULT_HALF_OPEN, false, true, "b" },
		{ "wrong secret", FAULT_WRONG_SECRET, false, true, "b" },
		{ "no proof", FAULT_NO_PROOF, false, true, "b" },
		{ "another daemon", FAULT_NONE, false, true, "c" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		raw_t raw = { .name = cases[i].name,
			      .incarnation = 5,
			      .fault = cases[i].fault,
			      .is_probe = true };
		member_vm_t vm = vm_of('b', 1);
		node_t m = { 0 };

		setup();
		node_start(&m, 'm', 1);
		if (cases[i].listens)
			raw_listen(&raw, &vm);
		peer_probe(&m.peer, &vm);
		WAIT(m.probes_ok + m.probes_failed == 1);
		ck_assert_msg(m.probes_ok == cases[i].is_ok, "%s",
			      cases[i].what);
		ck_assert_int_eq(m.ups, 0);
		raw_finish(&raw);
		peer_finish(&m.peer);
		teardown();
	}
}
END_TEST

START_TEST(probe_of_a_daemon_disturbs_no_link)
{
	node_t a = { 0 }, b = { 0 };

	setup();
	node_start(&a, 'a', 1);
	node_start(&b, 'b', 1);
	peer_keep(&a.peer, &b.vm);
	WAIT(a.ups == 1 && b.ups == 1);
	peer_probe(&a.peer, &b.vm);
	peer_probe(&b.peer, &a.vm);
	WAIT(a.probes_ok == 1 && b.probes_ok == 1);
	ck_assert_int_eq(a.downs + b.downs, 0);
	ck_assert_int_eq(a.ups + b.ups, 2);
	peer_finish(&a.peer);
	peer_finish(&b.peer);
	teardown();
}
END_TEST

START_TEST(bad_addresses_are_errors)
{
	static const char *const addresses[] = { "", "host:1", "1.2.3.4:99999",
						 "127.0.0.1:x" };

	for (size_t i = 0; i < G_N_ELEMENTS(addresses); i++) {
		peer_config_t config = { .secret = STR_LIT(secret) };
		err_t err = { 0 };
		peer_t peer;

		setup();
		g_strlcpy(config.self.peer_address, addresses[i],
			  sizeof(config.self.peer_address));
		ck_assert(!peer_init(&peer, base, &config, &ops, NULL, &err));
		ck_assert_str_eq(err.step, "listen for peers");
		teardown();
	}
}
END_TEST

SUITE_MAIN("peer", links_come_up_and_carry_frames,
	   faulty_connectors_are_closed_and_counted,
	   faulty_acceptors_are_refused_and_tried_again, silent_link_is_closed,
	   newer_connection_replaces_the_link, backlog_is_bounded,
	   restarted_peer_is_linked_again, greater_name_sends_a_connect_request,
	   released_link_stays_until_it_breaks, probe_needs_a_proof,
	   probe_of_a_daemon_disturbs_no_link, bad_addresses_are_errors)
