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
	/* Accepted connections whose handshake isn't done. */
	MAX_UNAUTHENTICATED = 128,
	/* Includes peers to which this daemon keeps no link. */
	MAX_PEER_ENTRIES = 1024,
	LISTEN_BACKLOG = 128,
};

/* The purpose of a connection that this daemon made. */
typedef enum purpose {
	PURPOSE_LINK,
	PURPOSE_PROBE, /* made by peer_probe */
	PURPOSE_CONNECT_REQUEST, /* makes a lesser-named peer connect here */
} purpose_t;

typedef struct conn {
	peer_link_t link; /* first: callbacks cast it to conn_t */
	purpose_t purpose;
	bool is_authenticated;
} conn_t;

/* A peer to which a link is kept, or which connected on its own. */
typedef struct peer_entry {
	struct peer_table *table;
	member_vm_t vm;
	bool is_kept;
	conn_t *conn; /* the link that is up */
	conn_t *pending; /* connecting or in its handshake */
	struct event *retry;
	unsigned int failures; /* in a row */
} peer_entry_t;

struct peer_table {
	struct event_base *base;
	peer_config_t config;
	peer_ops_t ops;
	void *ctx;
	peer_link_env_t env;
	peer_stats_t stats;
	GRand *rand;
	struct evconnlistener *listener;
	GHashTable *entries; /* name -> peer_entry_t, owned */
	GHashTable *conns; /* set of open conn_t */
	/* Closed conn_t; on_reap frees them outside their callbacks. */
	GPtrArray *closed;
	struct event *reap;
	uint32_t unauthenticated; /* accepted, handshake not done */
};

static void schedule_retry(peer_entry_t *e);
static void drop_entry(struct peer_table *t, peer_entry_t *e);

static conn_t *conn_new(struct peer_table *t, purpose_t purpose)
{
	conn_t *c = g_new0(conn_t, 1);

	c->purpose = purpose;
	g_hash_table_add(t->conns, c);
	return c;
}

/* Closes a connection; it is freed later, when its callbacks have returned. */
static void conn_close(struct peer_table *t, conn_t *c)
{
	if (!c || !g_hash_table_remove(t->conns, c))
		return;
	if (c->link.side == PROOF_ACCEPTOR && !c->is_authenticated)
		t->unauthenticated--;
	peer_link_finish(&c->link);
	g_ptr_array_add(t->closed, c);
	event_active(t->reap, 0, 0);
}

static void on_reap(evutil_socket_t fd, short what, void *ctx)
{
	struct peer_table *t = ctx;

	g_ptr_array_set_size(t->closed, 0);
}

static void entry_free(void *data)
{
	peer_entry_t *e = data;

	if (e->retry)
		event_free(e->retry);
	g_free(e);
}

static peer_entry_t *entry_find(const struct peer_table *t, str_t name)
{
	char buf[MEMBER_NAME_SIZE];

	if (!str_copy(buf, sizeof(buf), name))
		return NULL;
	return g_hash_table_lookup(t->entries, buf);
}

/* Returns true when this daemon, not the peer, makes the link. */
static bool makes_link(const peer_entry_t *e)
{
	return strcmp(e->table->config.self.name, e->vm.name) < 0;
}

static void connect_now(peer_entry_t *e)
{
	struct peer_table *t = e->table;
	bool is_link = makes_link(e);
	err_t err;
	conn_t *c;

	if (e->conn || e->pending)
		return;
	event_del(e->retry);
	c = conn_new(t, is_link ? PURPOSE_LINK : PURPOSE_CONNECT_REQUEST);
	e->pending = c;
	if (peer_link_connect(&c->link, &t->env, &e->vm, !is_link, &err))
		return;
	e->pending = NULL;
	conn_close(t, c);
	schedule_retry(e);
}

static void on_retry(evutil_socket_t fd, short what, void *ctx)
{
	connect_now(ctx);
}

/* Retries after a delay drawn from the upper half of an exponential backoff. */
static void schedule_retry(peer_entry_t *e)
{
	unsigned int doublings = MIN(e->failures, RETRY_MAX_DOUBLINGS);
	int delay = MIN(RETRY_MIN_MS << doublings, RETRY_MAX_MS);
	struct timeval tv;

	if (e->conn || e->pending)
		return;
	e->failures++;
	delay = g_rand_int_range(e->table->rand, delay / 2, delay + 1);
	tv = timeval_from_ms(delay);
	event_add(e->retry, &tv);
}

static peer_entry_t *entry_get(struct peer_table *t, const member_vm_t *vm)
{
	peer_entry_t *e = entry_find(t, str_from(vm->name));

	if (e) {
		e->vm = *vm;
		return e;
	}
	if (g_hash_table_size(t->entries) >= MAX_PEER_ENTRIES)
		return NULL;
	e = g_new0(peer_entry_t, 1);
	e->table = t;
	e->vm = *vm;
	e->retry = evtimer_new(t->base, on_retry, e);
	g_hash_table_insert(t->entries, e->vm.name, e);
	return e;
}

static void drop_entry(struct peer_table *t, peer_entry_t *e)
{
	if (e->conn) {
		conn_close(t, e->conn);
		t->stats.links_up--;
	}
	conn_close(t, e->pending);
	g_hash_table_remove(t->entries, e->vm.name);
}

/* Closes a peer's link and calls ops.down, which may free E. */
static void link_down(peer_entry_t *e, const err_t *err)
{
	struct peer_table *t = e->table;
	char name[MEMBER_NAME_SIZE];

	g_strlcpy(name, e->vm.name, sizeof(name));
	conn_close(t, e->conn);
	e->conn = NULL;
	t->stats.links_up--;
	e->failures = 0;
	t->ops.down(t->ctx, name, err);
}

static void link_up(struct peer_table *t, conn_t *c)
{
	peer_entry_t *e = entry_get(t, &c->link.vm);
	err_t err;

	if (e && e->conn) {
		err_set(&err, ERR_CLOSED, "keep peer link", c->link.vm.name,
			"replaced by a newer connection");
		link_down(e, &err);
		e = entry_get(t, &c->link.vm);
	}
	if (!e) {
		t->stats.refused_frames++;
		conn_close(t, c);
		return;
	}
	if (e->pending == c)
		e->pending = NULL;
	e->conn = c;
	e->failures = 0;
	event_del(e->retry);
	t->stats.links_up++;
	t->ops.up(t->ctx, &c->link.vm, c->link.incarnation);
}

/*
 * A peer made a probe connection. If the link to it is for this daemon to
 * make, connects now.
 */
static void on_probe_received(struct peer_table *t, conn_t *c)
{
	peer_entry_t *e;

	if (strcmp(t->config.self.name, c->link.vm.name) > 0)
		return;
	e = entry_get(t, &c->link.vm);
	if (e)
		connect_now(e);
}

static void on_authenticated(void *ctx, peer_link_t *link)
{
	struct peer_table *t = ctx;
	conn_t *c = (conn_t *)link;

	c->is_authenticated = true;
	if (link->side == PROOF_ACCEPTOR) {
		t->unauthenticated--;
		if (link->is_probe) {
			on_probe_received(t, c);
		} else if (strcmp(link->vm.name, t->config.self.name) < 0) {
			link_up(t, c);
		} else {
			t->stats.refused_frames++;
			conn_close(t, c);
		}
	} else if (c->purpose == PURPOSE_LINK) {
		link_up(t, c);
	} else {
		peer_entry_t *e = entry_find(t, str_from(link->vm.name));
		bool is_probe = c->purpose == PURPOSE_PROBE;

		conn_close(t, c);
		if (e && e->pending == c) {
			e->pending = NULL;
			schedule_retry(e);
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
	peer_entry_t *e = entry_find(t, str_from(link->vm.name));
	char text[ERR_DETAIL_SIZE];

	log_debug("%s", err_text(err, text, sizeof(text)));
	conn_close(t, c);
	if (e && e->conn == c) {
		link_down(e, err);
		e = entry_find(t, str_from(link->vm.name));
	} else if (e && e->pending == c) {
		e->pending = NULL;
	} else {
		e = NULL;
	}
	if (e && e->is_kept)
		schedule_retry(e);
	else if (e && !e->conn && !e->pending)
		drop_entry(t, e);
	if (c->purpose == PURPOSE_PROBE && link->side == PROOF_CONNECTOR)
		t->ops.probed(t->ctx, link->vm.name, false);
}

static const peer_link_ops_t link_ops = { on_authenticated, on_frame,
					  on_closed };

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *addr, int len, void *ctx)
{
	struct peer_table *t = ctx;
	char from[INET_ADDRSTRLEN] = "";
	conn_t *c;
	err_t err;

	if (t->unauthenticated >= MAX_UNAUTHENTICATED) {
		t->stats.refused_frames++;
		evutil_closesocket(fd);
		return;
	}
	if (addr->sa_family == AF_INET)
		evutil_inet_ntop(AF_INET,
				 &((struct sockaddr_in *)addr)->sin_addr, from,
				 sizeof(from));
	t->unauthenticated++;
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
	t->entries = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   entry_free);
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
	g_hash_table_destroy(t->entries);
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
	peer_entry_t *e;

	if (!strcmp(vm->name, t->config.self.name))
		return;
	e = entry_get(t, vm);
	if (!e || e->is_kept)
		return;
	e->is_kept = true;
	if (makes_link(e))
		connect_now(e);
	else
		schedule_retry(e);
}

void peer_release(peer_t *p, str_t name)
{
	peer_entry_t *e = entry_find(p->table, name);

	if (!e)
		return;
	e->is_kept = false;
	if (!e->conn)
		drop_entry(p->table, e);
}

void peer_drop(peer_t *p, str_t name)
{
	peer_entry_t *e = entry_find(p->table, name);

	if (e)
		drop_entry(p->table, e);
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

/* Closes accepted connections whose handshake uses the old incarnation. */
static void close_unauthenticated(struct peer_table *t)
{
	g_autoptr(GPtrArray) conns = g_ptr_array_new();
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, t->conns);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const conn_t *c = key;

		if (c->link.side == PROOF_ACCEPTOR && !c->is_authenticated)
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
	err_set(&err, ERR_CLOSED, "restart peer handshake", "",
		"this daemon has a new incarnation");
	close_unauthenticated(t);
	g_hash_table_iter_init(&iter, t->entries);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		g_ptr_array_add(names, g_strdup(key));
	for (guint i = 0; i < names->len; i++) {
		str_t name = str_from(names->pdata[i]);
		peer_entry_t *e = entry_find(t, name);

		if (e) {
			conn_close(t, e->pending);
			e->pending = NULL;
		}
		if (e && e->conn)
			link_down(e, &err);
		e = entry_find(t, name);
		if (e && e->is_kept)
			schedule_retry(e);
		else if (e && !e->conn)
			drop_entry(t, e);
	}
}

bool peer_send(peer_t *p, str_t name, const Papaya__Frame *frame)
{
	peer_entry_t *e = entry_find(p->table, name);

	return e && e->conn && peer_link_send(&e->conn->link, frame);
}

uint32_t peer_send_where(peer_t *p, const Papaya__Frame *frame,
			 bool (*filter)(void *ctx, const char *name), void *ctx)
{
	GHashTableIter iter;
	void *value;
	uint32_t n = 0;

	g_hash_table_iter_init(&iter, p->table->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		peer_entry_t *e = value;

		n += e->conn && (!filter || filter(ctx, e->vm.name)) &&
		     peer_link_send(&e->conn->link, frame);
	}
	return n;
}

uint32_t peer_send_all(peer_t *p, const Papaya__Frame *frame)
{
	return peer_send_where(p, frame, NULL, NULL);
}

bool peer_pick_random(peer_t *p, char name[MEMBER_NAME_SIZE])
{
	GHashTableIter iter;
	void *value;
	int32_t n = 0;

	g_hash_table_iter_init(&iter, p->table->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const peer_entry_t *e = value;

		/* Reservoir sampling: the nth replaces the pick at 1/n. */
		if (e->conn && !g_rand_int_range(p->table->rand, 0, ++n))
			g_strlcpy(name, e->vm.name, MEMBER_NAME_SIZE);
	}
	return n > 0;
}

bool peer_is_up(const peer_t *p, str_t name)
{
	peer_entry_t *e = entry_find(p->table, name);

	return e && e->conn;
}

void peer_stats(const peer_t *p, peer_stats_t *out)
{
	*out = p->table->stats;
}
