#include "net/peer.h"

#include <arpa/inet.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>

#include "common/timeval.h"
#include "net/peer_link.h"

#define LOG_PART "peer"
#include "common/log.h"

enum {
	RETRY_MIN_MS = 50,
	RETRY_MAX_MS = 2000,
	RETRY_MAX_DOUBLINGS = 6,
	/* Accepted connections that have not proved the secret, at most. */
	MAX_UNPROVED = 128,
	/* Peers known at a time, kept or not. */
	MAX_SLOTS = 1024,
	LISTEN_BACKLOG = 128,
};

/* What a connection that we made is for. */
typedef enum purpose {
	PURPOSE_LINK,
	PURPOSE_PROBE, /* asked for by peer_probe */
	PURPOSE_KNOCK, /* asks a lesser-named peer to connect to us */
} purpose_t;

typedef struct conn {
	peer_link_t link; /* first, so that callbacks find the conn */
	purpose_t purpose;
	bool is_proved;
} conn_t;

/* One peer that a link is kept to, or that connected by itself. */
typedef struct slot {
	struct peer_table *table;
	member_vm_t vm;
	bool is_kept;
	conn_t *conn; /* the link that is up */
	conn_t *trying; /* being connected and greeted */
	struct event *retry;
	unsigned int failures; /* in a row */
} slot_t;

struct peer_table {
	struct event_base *base;
	peer_config_t config;
	peer_ops_t ops;
	void *ctx;
	peer_link_env_t env;
	peer_stats_t stats;
	GRand *rand;
	struct evconnlistener *listener;
	GHashTable *slots; /* name -> slot_t, owned */
	GHashTable *conns; /* set of open conn_t */
	GPtrArray *closed; /* conn_t to be freed outside their callbacks */
	struct event *reap;
	uint32_t unproved; /* accepted and not proved */
};

static void try_later(slot_t *s);
static void drop_slot(struct peer_table *t, slot_t *s);

static conn_t *conn_new(struct peer_table *t, purpose_t purpose)
{
	conn_t *c = g_new0(conn_t, 1);

	c->purpose = purpose;
	g_hash_table_add(t->conns, c);
	return c;
}

/* Closes a connection; its memory goes once all callbacks have returned. */
static void conn_close(struct peer_table *t, conn_t *c)
{
	if (!c || !g_hash_table_remove(t->conns, c))
		return;
	if (c->link.side == PROOF_ACCEPTOR && !c->is_proved)
		t->unproved--;
	peer_link_finish(&c->link);
	g_ptr_array_add(t->closed, c);
	event_active(t->reap, 0, 0);
}

static void on_reap(evutil_socket_t fd, short what, void *ctx)
{
	struct peer_table *t = ctx;

	g_ptr_array_set_size(t->closed, 0);
}

static void slot_free(void *data)
{
	slot_t *s = data;

	if (s->retry)
		event_free(s->retry);
	g_free(s);
}

static slot_t *slot_find(const struct peer_table *t, str_t name)
{
	char buf[MEMBER_NAME_SIZE];

	if (!str_copy(buf, sizeof(buf), name))
		return NULL;
	return g_hash_table_lookup(t->slots, buf);
}

/* True when it is for us to connect to the peer. */
static bool is_connector(const slot_t *s)
{
	return strcmp(s->table->config.self.name, s->vm.name) < 0;
}

static void try_now(slot_t *s)
{
	struct peer_table *t = s->table;
	bool is_link = is_connector(s);
	err_t err;
	conn_t *c;

	if (s->conn || s->trying)
		return;
	event_del(s->retry);
	c = conn_new(t, is_link ? PURPOSE_LINK : PURPOSE_KNOCK);
	s->trying = c;
	if (peer_link_connect(&c->link, &t->env, &s->vm, !is_link, &err))
		return;
	s->trying = NULL;
	conn_close(t, c);
	try_later(s);
}

static void on_retry(evutil_socket_t fd, short what, void *ctx)
{
	try_now(ctx);
}

/* Waits for an exponential delay, of which the later half is random. */
static void try_later(slot_t *s)
{
	unsigned int doublings = MIN(s->failures, RETRY_MAX_DOUBLINGS);
	int delay = MIN(RETRY_MIN_MS << doublings, RETRY_MAX_MS);
	struct timeval tv;

	if (s->conn || s->trying)
		return;
	s->failures++;
	delay = g_rand_int_range(s->table->rand, delay / 2, delay + 1);
	tv = timeval_from_ms(delay);
	event_add(s->retry, &tv);
}

static slot_t *slot_get(struct peer_table *t, const member_vm_t *vm)
{
	slot_t *s = slot_find(t, str_from(vm->name));

	if (s) {
		s->vm = *vm;
		return s;
	}
	if (g_hash_table_size(t->slots) >= MAX_SLOTS)
		return NULL;
	s = g_new0(slot_t, 1);
	s->table = t;
	s->vm = *vm;
	s->retry = evtimer_new(t->base, on_retry, s);
	g_hash_table_insert(t->slots, s->vm.name, s);
	return s;
}

static void drop_slot(struct peer_table *t, slot_t *s)
{
	if (s->conn) {
		conn_close(t, s->conn);
		t->stats.links_up--;
	}
	conn_close(t, s->trying);
	g_hash_table_remove(t->slots, s->vm.name);
}

/* Closes the link of a peer and says so; S may be gone afterwards. */
static void link_down(slot_t *s, const err_t *err)
{
	struct peer_table *t = s->table;
	char name[MEMBER_NAME_SIZE];

	g_strlcpy(name, s->vm.name, sizeof(name));
	conn_close(t, s->conn);
	s->conn = NULL;
	t->stats.links_up--;
	s->failures = 0;
	t->ops.down(t->ctx, name, err);
}

static void link_up(struct peer_table *t, conn_t *c)
{
	slot_t *s = slot_get(t, &c->link.vm);
	err_t err;

	if (s && s->conn) {
		err_set(&err, ERR_CLOSED, "keep peer link", c->link.vm.name,
			"replaced by a newer connection");
		link_down(s, &err);
		s = slot_get(t, &c->link.vm);
	}
	if (!s) {
		t->stats.refused_frames++;
		conn_close(t, c);
		return;
	}
	if (s->trying == c)
		s->trying = NULL;
	s->conn = c;
	s->failures = 0;
	event_del(s->retry);
	t->stats.links_up++;
	t->ops.up(t->ctx, &c->link.vm, c->link.incarnation);
}

/* An accepted connection only asked whether we live. */
static void on_asked(struct peer_table *t, conn_t *c)
{
	slot_t *s;

	if (strcmp(t->config.self.name, c->link.vm.name) > 0)
		return;
	s = slot_get(t, &c->link.vm);
	if (s)
		try_now(s);
}

static void on_proved(void *ctx, peer_link_t *link)
{
	struct peer_table *t = ctx;
	conn_t *c = (conn_t *)link;

	c->is_proved = true;
	if (link->side == PROOF_ACCEPTOR) {
		t->unproved--;
		if (link->is_probe) {
			on_asked(t, c);
		} else if (strcmp(link->vm.name, t->config.self.name) < 0) {
			link_up(t, c);
		} else {
			t->stats.refused_frames++;
			conn_close(t, c);
		}
	} else if (c->purpose == PURPOSE_LINK) {
		link_up(t, c);
	} else {
		slot_t *s = slot_find(t, str_from(link->vm.name));
		bool is_probe = c->purpose == PURPOSE_PROBE;

		conn_close(t, c);
		if (s && s->trying == c) {
			s->trying = NULL;
			try_later(s);
		}
		if (is_probe)
			t->ops.probed(t->ctx, link->vm.name, true);
	}
}

static void on_frame(void *ctx, peer_link_t *link, const Papaya__Frame *frame)
{
	struct peer_table *t = ctx;

	t->ops.frame(t->ctx, link->vm.name, frame);
}

static void on_closed(void *ctx, peer_link_t *link, const err_t *err)
{
	struct peer_table *t = ctx;
	conn_t *c = (conn_t *)link;
	slot_t *s = slot_find(t, str_from(link->vm.name));
	char text[ERR_DETAIL_SIZE];

	log_debug("%s", err_text(err, text, sizeof(text)));
	conn_close(t, c);
	if (s && s->conn == c) {
		link_down(s, err);
		s = slot_find(t, str_from(link->vm.name));
	} else if (s && s->trying == c) {
		s->trying = NULL;
	} else {
		s = NULL;
	}
	if (s && s->is_kept)
		try_later(s);
	else if (s && !s->conn && !s->trying)
		drop_slot(t, s);
	if (c->purpose == PURPOSE_PROBE && link->side == PROOF_CONNECTOR)
		t->ops.probed(t->ctx, link->vm.name, false);
}

static const peer_link_ops_t link_ops = { on_proved, on_frame, on_closed };

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *addr, int len, void *ctx)
{
	struct peer_table *t = ctx;
	char from[INET_ADDRSTRLEN] = "";
	conn_t *c;
	err_t err;

	if (t->unproved >= MAX_UNPROVED) {
		t->stats.refused_frames++;
		evutil_closesocket(fd);
		return;
	}
	if (addr->sa_family == AF_INET)
		evutil_inet_ntop(AF_INET,
				 &((struct sockaddr_in *)addr)->sin_addr, from,
				 sizeof(from));
	t->unproved++;
	c = conn_new(t, PURPOSE_LINK);
	if (!peer_link_accept(&c->link, &t->env, fd, from, &err))
		conn_close(t, c);
}

static bool start_listening(struct peer_table *t, err_t *err)
{
	const char *address = t->config.self.peer_address;
	struct sockaddr_storage addr;
	int len = sizeof(addr);

	if (evutil_parse_sockaddr_port(address, (struct sockaddr *)&addr, &len))
		return err_set(err, ERR_INVALID, "listen for peers", address,
			       "not an IP address and port");
	t->listener = evconnlistener_new_bind(
		t->base, on_accept, t,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE |
			LEV_OPT_CLOSE_ON_EXEC,
		LISTEN_BACKLOG, (struct sockaddr *)&addr, len);
	if (t->listener)
		return true;
	return err_set(err, ERR_SYSTEM, "listen for peers", address, "%s",
		       evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
}

bool peer_init(peer_t *p, struct event_base *base, const peer_config_t *config,
	       const peer_ops_t *ops, void *ctx, err_t *err)
{
	struct peer_table *t = g_new0(struct peer_table, 1);

	p->table = t;
	t->base = base;
	t->config = *config;
	t->ops = *ops;
	t->ctx = ctx;
	t->env = (peer_link_env_t){ base, &t->config, &link_ops, t, &t->stats };
	t->rand = g_rand_new_with_seed((guint32)config->seed);
	t->slots =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, slot_free);
	t->conns = g_hash_table_new(NULL, NULL);
	t->closed = g_ptr_array_new_with_free_func(g_free);
	t->reap = event_new(base, -1, 0, on_reap, t);
	if (start_listening(t, err))
		return true;
	peer_finish(p);
	return false;
}

void peer_finish(peer_t *p)
{
	struct peer_table *t = p->table;
	GHashTableIter iter;
	void *key;

	if (!t)
		return;
	if (t->listener)
		evconnlistener_free(t->listener);
	g_hash_table_destroy(t->slots);
	g_hash_table_iter_init(&iter, t->conns);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		conn_t *c = key;

		peer_link_finish(&c->link);
		g_free(c);
	}
	g_hash_table_destroy(t->conns);
	g_ptr_array_unref(t->closed);
	event_free(t->reap);
	g_rand_free(t->rand);
	g_free(t);
	p->table = NULL;
}

void peer_keep(peer_t *p, const member_vm_t *vm)
{
	struct peer_table *t = p->table;
	slot_t *s;

	if (!strcmp(vm->name, t->config.self.name))
		return;
	s = slot_get(t, vm);
	if (!s || s->is_kept)
		return;
	s->is_kept = true;
	if (is_connector(s))
		try_now(s);
	else
		try_later(s);
}

void peer_release(peer_t *p, str_t name)
{
	slot_t *s = slot_find(p->table, name);

	if (!s)
		return;
	s->is_kept = false;
	if (!s->conn)
		drop_slot(p->table, s);
}

void peer_drop(peer_t *p, str_t name)
{
	slot_t *s = slot_find(p->table, name);

	if (s)
		drop_slot(p->table, s);
}

void peer_probe(peer_t *p, const member_vm_t *vm)
{
	struct peer_table *t = p->table;
	conn_t *c = conn_new(t, PURPOSE_PROBE);
	err_t err;

	if (peer_link_connect(&c->link, &t->env, vm, true, &err))
		return;
	conn_close(t, c);
	t->ops.probed(t->ctx, vm->name, false);
}

/* Closes what was greeted, but not proved, with the old incarnation. */
static void close_unproved(struct peer_table *t)
{
	g_autoptr(GPtrArray) conns = g_ptr_array_new();
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, t->conns);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const conn_t *c = key;

		if (c->link.side == PROOF_ACCEPTOR && !c->is_proved)
			g_ptr_array_add(conns, key);
	}
	for (guint i = 0; i < conns->len; i++)
		conn_close(t, conns->pdata[i]);
}

void peer_set_incarnation(peer_t *p, uint64_t incarnation)
{
	struct peer_table *t = p->table;
	g_autoptr(GPtrArray) names = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	void *key;
	err_t err;

	t->config.incarnation = incarnation;
	err_set(&err, ERR_CLOSED, "greet peer anew", "", "new incarnation");
	close_unproved(t);
	g_hash_table_iter_init(&iter, t->slots);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		g_ptr_array_add(names, g_strdup(key));
	for (guint i = 0; i < names->len; i++) {
		str_t name = str_from(names->pdata[i]);
		slot_t *s = slot_find(t, name);

		if (s) {
			conn_close(t, s->trying);
			s->trying = NULL;
		}
		if (s && s->conn)
			link_down(s, &err);
		s = slot_find(t, name);
		if (s && s->is_kept)
			try_later(s);
		else if (s && !s->conn)
			drop_slot(t, s);
	}
}

bool peer_send(peer_t *p, str_t name, const Papaya__Frame *frame)
{
	slot_t *s = slot_find(p->table, name);

	return s && s->conn && peer_link_send(&s->conn->link, frame);
}

uint32_t peer_send_where(peer_t *p, const Papaya__Frame *frame,
			 bool (*wants)(void *ctx, const char *name), void *ctx)
{
	GHashTableIter iter;
	void *value;
	uint32_t n = 0;

	g_hash_table_iter_init(&iter, p->table->slots);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		slot_t *s = value;

		n += s->conn && (!wants || wants(ctx, s->vm.name)) &&
		     peer_link_send(&s->conn->link, frame);
	}
	return n;
}

uint32_t peer_send_all(peer_t *p, const Papaya__Frame *frame)
{
	return peer_send_where(p, frame, NULL, NULL);
}

bool peer_draw(peer_t *p, char name[MEMBER_NAME_SIZE])
{
	GHashTableIter iter;
	void *value;
	int32_t n = 0;

	g_hash_table_iter_init(&iter, p->table->slots);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const slot_t *s = value;

		/* The nth replaces what was drawn with a chance of 1/n. */
		if (s->conn && !g_rand_int_range(p->table->rand, 0, ++n))
			g_strlcpy(name, s->vm.name, MEMBER_NAME_SIZE);
	}
	return n > 0;
}

bool peer_is_up(const peer_t *p, str_t name)
{
	slot_t *s = slot_find(p->table, name);

	return s && s->conn;
}

void peer_stats(const peer_t *p, peer_stats_t *out)
{
	*out = p->table->stats;
}
