#include "net/peer_link.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#include "common/timeval.h"
#include "net/frame.h"

static const char step_connect[] = "connect to peer";
static const char step_handshake[] = "authenticate peer";
static const char step_read[] = "read from peer";

void peer_link_finish(peer_link_t *l)
{
	l->state = PEER_LINK_CLOSED;
	if (l->bev)
		bufferevent_free(l->bev);
	if (l->handshake_timer)
		event_free(l->handshake_timer);
	frame_free(l->hello);
	l->bev = NULL;
	l->handshake_timer = NULL;
	l->hello = NULL;
}

static void fail(peer_link_t *l, err_code_t code, const char *step,
		 const char *detail)
{
	err_t err;

	err_set(&err, code, step,
		l->vm.name[0] ? l->vm.name : l->vm.peer_address, "%s", detail);
	peer_link_finish(l);
	l->env->ops->closed(l->env->ctx, l, &err);
}

/* Closes the link because the peer violated the protocol. */
static void reject(peer_link_t *l, const char *step, const char *detail)
{
	l->env->stats->refused_frames++;
	fail(l, ERR_REFUSED, step, detail);
}

static void write_frame(peer_link_t *l, const Papaya__Frame *frame)
{
	size_t size = frame_size(frame);

	if (!frame_write(bufferevent_get_output(l->bev), frame))
		return;
	l->env->stats->frames_out++;
	l->env->stats->bytes_out += size;
}

/* Returns the own hello; its strings belong to the link and the config. */
static Papaya__Hello own_hello(peer_link_t *l)
{
	const member_vm_t *self = &l->env->config->self;
	Papaya__Hello hello = PAPAYA__HELLO__INIT;

	hello.version = PEER_PROTOCOL_VERSION;
	hello.name = (char *)self->name;
	hello.zone = (char *)self->zone;
	hello.incarnation = l->own_incarnation;
	hello.address = (char *)self->address;
	hello.peer_address = (char *)self->peer_address;
	hello.admin_address = (char *)self->admin_address;
	hello.challenge.data = l->challenge;
	hello.challenge.len = sizeof(l->challenge);
	hello.is_probe = l->is_probe;
	return hello;
}

static void send_hello(peer_link_t *l)
{
	Papaya__Frame frame = PAPAYA__FRAME__INIT;
	Papaya__Hello hello = own_hello(l);

	frame.body_case = PAPAYA__FRAME__BODY_HELLO;
	frame.hello = &hello;
	write_frame(l, &frame);
}

static void send_proof(peer_link_t *l)
{
	Papaya__Frame frame = PAPAYA__FRAME__INIT;
	Papaya__Proof proof = PAPAYA__PROOF__INIT;
	Papaya__Hello hello = own_hello(l);
	uint8_t mac[PROOF_SIZE];

	proof_compute(l->env->config->secret, l->side, &hello, l->hello->hello,
		      mac);
	proof.mac.data = mac;
	proof.mac.len = sizeof(mac);
	frame.body_case = PAPAYA__FRAME__BODY_PROOF;
	frame.proof = &proof;
	write_frame(l, &frame);
}

static bool is_proof_valid(peer_link_t *l, const Papaya__Proof *proof)
{
	Papaya__Hello hello = own_hello(l);
	proof_side_t other =
		l->side == PROOF_CONNECTOR ? PROOF_ACCEPTOR : PROOF_CONNECTOR;
	uint8_t mac[PROOF_SIZE];

	proof_compute(l->env->config->secret, other, l->hello->hello, &hello,
		      mac);
	return proof_is_equal(mac, proof->mac.data, proof->mac.len);
}

static bool copy_name(char *buf, const char *text)
{
	return str_copy(buf, MEMBER_NAME_SIZE, str_from(text));
}

/* Reads a hello into VM; returns a description of the error, or NULL. */
static const char *read_hello(const peer_link_t *l, const Papaya__Hello *hello,
			      member_vm_t *vm)
{
	*vm = (member_vm_t){ .is_leaving = false };
	if (hello->version != PEER_PROTOCOL_VERSION)
		return "protocol version differs from ours";
	if (hello->challenge.len != PROOF_CHALLENGE_SIZE)
		return "challenge has the wrong length";
	if (!copy_name(vm->name, hello->name) || !vm->name[0] ||
	    !copy_name(vm->zone, hello->zone) || !vm->zone[0] ||
	    !copy_name(vm->address, hello->address) ||
	    !copy_name(vm->peer_address, hello->peer_address) ||
	    !copy_name(vm->admin_address, hello->admin_address))
		return "name, zone or address is empty or too long";
	if (!strcmp(vm->name, l->env->config->self.name))
		return "peer has the same name as this daemon";
	if (l->side == PROOF_CONNECTOR && strcmp(vm->name, l->vm.name))
		return "a daemon of another name answered at this address";
	if (l->side == PROOF_CONNECTOR && hello->is_probe != l->is_probe)
		return "peer disagrees on whether this is a probe";
	return NULL;
}

/*
 * The connector sends its proof first, so that the acceptor sends its own
 * proof only to a peer that knows the secret.
 */
static void on_hello(peer_link_t *l, Papaya__Frame *frame)
{
	const Papaya__Hello *hello = frame->hello;
	member_vm_t vm;
	const char *problem = read_hello(l, hello, &vm);

	if (problem) {
		frame_free(frame);
		reject(l, step_handshake, problem);
		return;
	}
	l->hello = frame;
	l->vm = vm;
	l->incarnation = hello->incarnation;
	l->is_probe = hello->is_probe;
	l->state = PEER_LINK_AWAIT_PROOF;
	if (l->side == PROOF_CONNECTOR)
		send_proof(l);
	else
		send_hello(l);
}

static void on_proof(peer_link_t *l, const Papaya__Proof *proof)
{
	struct timeval silence =
		timeval_from_ms(l->env->config->silence_timeout_ms);

	if (!is_proof_valid(l, proof)) {
		reject(l, step_handshake, "proof of the peer secret is wrong");
		return;
	}
	if (l->side == PROOF_ACCEPTOR)
		send_proof(l);
	l->state = PEER_LINK_UP;
	event_del(l->handshake_timer);
	bufferevent_set_timeouts(l->bev, &silence, NULL);
	l->env->ops->authenticated(l->env->ctx, l);
}

/* Handles a frame and frees it. */
static void on_frame(peer_link_t *l, Papaya__Frame *frame)
{
	bool is_hello = frame->body_case == PAPAYA__FRAME__BODY_HELLO;
	bool is_proof = frame->body_case == PAPAYA__FRAME__BODY_PROOF;

	if (l->state == PEER_LINK_AWAIT_HELLO && is_hello) {
		on_hello(l, frame);
		return;
	}
	if (l->state == PEER_LINK_AWAIT_PROOF && is_proof)
		on_proof(l, frame->proof);
	else if (l->state != PEER_LINK_UP || l->is_probe)
		reject(l, step_handshake,
		       "unexpected frame in the handshake or on a probe");
	else if (is_hello || is_proof)
		reject(l, step_read,
		       "hello or proof after the handshake was done");
	else
		l->env->ops->frame(l->env->ctx, l, frame);
	frame_free(frame);
}

static void on_readable(struct bufferevent *bev, void *ctx)
{
	peer_link_t *l = ctx;
	struct evbuffer *in = bufferevent_get_input(bev);
	Papaya__Frame *frame;
	frame_result_t result;

	while (l->state != PEER_LINK_CLOSED) {
		size_t len = evbuffer_get_length(in);
		uint32_t max = l->state == PEER_LINK_UP ?
				       PEER_MAX_FRAME :
				       PEER_LINK_MAX_HANDSHAKE;

		result = frame_read(in, max, &frame);
		if (result == FRAME_PARTIAL)
			return;
		if (result != FRAME_OK) {
			reject(l, step_read, frame_result_text(result));
			return;
		}
		l->env->stats->frames_in++;
		l->env->stats->bytes_in += len - evbuffer_get_length(in);
		on_frame(l, frame);
	}
}

static void set_no_delay(struct bufferevent *bev)
{
	int on = 1;

	setsockopt(bufferevent_getfd(bev), IPPROTO_TCP, TCP_NODELAY, &on,
		   sizeof(on));
}

static void on_event(struct bufferevent *bev, short what, void *ctx)
{
	peer_link_t *l = ctx;
	const char *step = l->state == PEER_LINK_CONNECTING ? step_connect :
			   l->state == PEER_LINK_UP	    ? step_read :
							      step_handshake;

	if (what & BEV_EVENT_CONNECTED) {
		set_no_delay(bev);
		l->env->stats->connects++;
		l->state = PEER_LINK_AWAIT_HELLO;
		send_hello(l);
	} else if (what & BEV_EVENT_TIMEOUT) {
		fail(l, ERR_TIMEOUT, step,
		     "nothing received within the silence timeout");
	} else if (what & BEV_EVENT_EOF) {
		fail(l, ERR_CLOSED, step, "peer closed the connection");
	} else if (what & BEV_EVENT_ERROR) {
		int code = EVUTIL_SOCKET_ERROR();

		fail(l, ERR_SYSTEM, step, evutil_socket_error_to_string(code));
	}
}

static void on_handshake_timeout(evutil_socket_t fd, short what, void *ctx)
{
	peer_link_t *l = ctx;

	fail(l, ERR_TIMEOUT,
	     l->state == PEER_LINK_CONNECTING ? step_connect : step_handshake,
	     "handshake not done within the connect timeout");
}

static bool start(peer_link_t *l, const peer_link_env_t *env,
		  evutil_socket_t fd, err_t *err)
{
	struct timeval timeout =
		timeval_from_ms(env->config->connect_timeout_ms);

	l->env = env;
	l->own_incarnation = env->config->incarnation;
	evutil_secure_rng_get_bytes(l->challenge, sizeof(l->challenge));
	l->bev = bufferevent_socket_new(env->base, fd, BEV_OPT_CLOSE_ON_FREE);
	l->handshake_timer = evtimer_new(env->base, on_handshake_timeout, l);
	if (!l->bev || !l->handshake_timer) {
		peer_link_finish(l);
		return err_set(err, ERR_SYSTEM, step_connect, l->vm.name,
			       "out of memory");
	}
	bufferevent_setcb(l->bev, on_readable, NULL, on_event, l);
	event_add(l->handshake_timer, &timeout);
	bufferevent_enable(l->bev, EV_READ | EV_WRITE);
	return true;
}

bool peer_link_connect(peer_link_t *l, const peer_link_env_t *env,
		       const member_vm_t *vm, bool is_probe, err_t *err)
{
	struct sockaddr_storage addr;
	int len = sizeof(addr);

	*l = (peer_link_t){ .side = PROOF_CONNECTOR,
			    .vm = *vm,
			    .is_probe = is_probe };
	if (evutil_parse_sockaddr_port(vm->peer_address,
				       (struct sockaddr *)&addr, &len)) {
		l->state = PEER_LINK_CLOSED;
		return err_set(err, ERR_INVALID, step_connect, vm->name,
			       "not an IP address and port: %s",
			       vm->peer_address);
	}
	if (!start(l, env, -1, err))
		return false;
	if (!bufferevent_socket_connect(l->bev, (struct sockaddr *)&addr, len))
		return true;
	peer_link_finish(l);
	return err_set(err, ERR_SYSTEM, step_connect, vm->name, "%s",
		       evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
}

bool peer_link_accept(peer_link_t *l, const peer_link_env_t *env,
		      evutil_socket_t fd, const char *from, err_t *err)
{
	*l = (peer_link_t){ .side = PROOF_ACCEPTOR,
			    .state = PEER_LINK_AWAIT_HELLO };
	copy_name(l->vm.peer_address, from);
	if (!start(l, env, fd, err))
		return false;
	set_no_delay(l->bev);
	return true;
}

bool peer_link_send(peer_link_t *l, const Papaya__Frame *frame)
{
	size_t size = frame_size(frame);
	size_t backlog;

	if (l->state != PEER_LINK_UP ||
	    size > FRAME_PREFIX_SIZE + (size_t)PEER_MAX_FRAME)
		return false;
	backlog = evbuffer_get_length(bufferevent_get_output(l->bev));
	if (backlog + size > (size_t)l->env->config->max_backlog) {
		l->env->stats->dropped_backlog++;
		return false;
	}
	write_frame(l, frame);
	return true;
}
