#define _GNU_SOURCE
#include "tests/lib_crowd.h"

#include <arpa/inet.h>
#include <check.h>
#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	PATTERN_BYTES = 64 * 1024, /* at least; of the body's wire form */
	SETTLE_US = 800 * 1000, /* without progress, until a run ends */
	PAUSE_US = 5000,
	WATCH_TURNS = 16,
	MISSING_BYTES = 3, /* missing at the end of a body that stops short */
	DISCARD_BYTES = 4096,
};

typedef struct member {
	int fd; /* -1: closed for good */
	size_t sent, total; /* bytes on the wire */
	int returns; /* left */
	bool is_whole;
} member_t;

struct crowd {
	struct sockaddr_in address;
	crowd_shape_t shape;
	GString *head;
	GString *pattern; /* the body on the wire repeats this */
	size_t body_wire; /* bytes of the body on the wire, without its end */
	GArray *members;
	gint sent_all; /* connections; read by other threads */
};

static const char last_chunk[] = "0\r\n\r\n";

static void fill_head(crowd_t *c)
{
	const crowd_shape_t *s = &c->shape;

	if (s->head) {
		g_string_append(c->head, "X-Fill: ");
		while (c->head->len < s->head)
			g_string_append_c(c->head, 'a');
	} else if (s->announced) {
		g_string_append_printf(c->head, "Content-Length: %zu\r\n\r\n",
				       s->announced);
	} else {
		g_string_append(c->head, "Transfer-Encoding: chunked\r\n\r\n");
	}
}

static void fill_pattern(crowd_t *c)
{
	const crowd_shape_t *s = &c->shape;
	size_t chunk = s->announced ? PATTERN_BYTES : s->chunk;
	g_autofree char *bytes = g_strnfill(chunk, 'b');
	size_t period;

	while (c->pattern->len < PATTERN_BYTES) {
		if (!s->announced)
			g_string_append_printf(c->pattern, "%zx\r\n", chunk);
		g_string_append_len(c->pattern, bytes, (gssize)chunk);
		if (!s->announced)
			g_string_append(c->pattern, "\r\n");
	}
	period = chunk + 2 + (size_t)snprintf(NULL, 0, "%zx\r\n", chunk);
	c->body_wire = s->announced ? s->body : s->body / chunk * period;
}

static size_t wire_total(const crowd_t *c, bool is_whole)
{
	if (c->shape.is_silent)
		return 0;
	if (c->shape.head)
		return c->head->len;
	if (!is_whole)
		return c->head->len + c->body_wire - MISSING_BYTES;
	return c->head->len + c->body_wire +
	       (c->shape.announced ? 0 : strlen(last_chunk));
}

static int connect_socket(const crowd_t *c)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

	if (fd >= 0 &&
	    connect(fd, (const struct sockaddr *)&c->address,
		    sizeof(c->address)) &&
	    errno != EINPROGRESS) {
		close(fd);
		return -1;
	}
	return fd;
}

static void open_member(crowd_t *c, member_t *m)
{
	m->fd = connect_socket(c);
	ck_assert_int_ge(m->fd, 0);
	m->sent = 0;
	m->total = wire_total(c, m->is_whole);
}

static void reopen_member(crowd_t *c, member_t *m)
{
	close(m->fd);
	m->fd = -1;
	if (m->returns-- > 0)
		open_member(c, m);
}

/* The next bytes of a member's wire form that lie together in memory. */
static const char *next_bytes(const crowd_t *c, const member_t *m, size_t *n)
{
	size_t at = m->sent, in_pattern;

	if (at < c->head->len) {
		*n = c->head->len - at;
		return c->head->str + at;
	}
	at -= c->head->len;
	if (at >= c->body_wire) {
		*n = m->total - m->sent;
		return last_chunk + (at - c->body_wire);
	}
	in_pattern = at % c->pattern->len;
	*n = MIN(c->pattern->len - in_pattern, c->body_wire - at);
	return c->pattern->str + in_pattern;
}

/* Sends what one turn allows; false if the peer has closed. */
static bool send_turn(crowd_t *c, member_t *m, bool *progress)
{
	const char *bytes;
	ssize_t got;
	size_t n;

	if (m->sent >= m->total)
		return true;
	bytes = next_bytes(c, m, &n);
	n = MIN(n, m->total - m->sent);
	if (c->shape.piece)
		n = MIN(n, c->shape.piece);
	got = send(m->fd, bytes, n, MSG_NOSIGNAL);
	if (got < 0)
		return errno == EAGAIN || errno == ENOTCONN;
	m->sent += (size_t)got;
	if (m->sent == m->total)
		g_atomic_int_inc(&c->sent_all);
	*progress = true;
	return true;
}

/* Reads what came and drops it; false if the peer has closed. */
static bool read_turn(member_t *m)
{
	char bytes[DISCARD_BYTES];
	ssize_t got = recv(m->fd, bytes, sizeof(bytes), 0);

	return got > 0 || (got < 0 && (errno == EAGAIN || errno == ENOTCONN));
}

static bool run_turn(crowd_t *c)
{
	bool progress = false;

	for (guint i = 0; i < c->members->len; i++) {
		member_t *m = &g_array_index(c->members, member_t, i);

		if (m->fd < 0)
			continue;
		if (!send_turn(c, m, &progress) || !read_turn(m)) {
			reopen_member(c, m);
			progress = true;
		}
	}
	return progress;
}

crowd_t *crowd_new(const char *ip, int port, const char *head,
		   const crowd_shape_t *shape)
{
	crowd_t *c = g_new0(crowd_t, 1);

	c->address.sin_family = AF_INET;
	c->address.sin_port = htons((uint16_t)port);
	inet_pton(AF_INET, ip, &c->address.sin_addr);
	c->shape = *shape;
	c->head = g_string_new(head);
	c->pattern = g_string_new(NULL);
	c->members = g_array_new(FALSE, TRUE, sizeof(member_t));
	fill_head(c);
	if (!shape->head && !shape->is_silent)
		fill_pattern(c);
	return c;
}

/* The crowd's sockets are this process's. */
static void raise_limit(void)
{
	struct rlimit limit;

	getrlimit(RLIMIT_NOFILE, &limit);
	limit.rlim_cur = limit.rlim_max;
	setrlimit(RLIMIT_NOFILE, &limit);
}

static void open_all(crowd_t *c)
{
	raise_limit();
	for (int i = 0; i < c->shape.connections; i++) {
		member_t m = {
			.returns = c->shape.returns,
			.is_whole = c->shape.whole && i % c->shape.whole == 0,
		};

		open_member(c, &m);
		g_array_append_val(c->members, m);
	}
}

void crowd_run(crowd_t *c, void (*watch)(void *ctx), void *ctx)
{
	gint64 last_progress = g_get_monotonic_time();

	if (!c->members->len)
		open_all(c);
	for (int turn = 0;; turn++) {
		if (run_turn(c))
			last_progress = g_get_monotonic_time();
		else
			g_usleep(PAUSE_US);
		if (turn % WATCH_TURNS == 0)
			watch(ctx);
		if (g_get_monotonic_time() - last_progress > SETTLE_US)
			return;
	}
}

void crowd_go_on(crowd_t *c, const gint *is_over)
{
	open_all(c);
	while (!g_atomic_int_get(is_over))
		if (!run_turn(c))
			g_usleep(PAUSE_US);
}

int crowd_open(const crowd_t *c)
{
	int n = 0;

	for (guint i = 0; i < c->members->len; i++)
		n += g_array_index(c->members, member_t, i).fd >= 0;
	return n;
}

int crowd_sent_all(const crowd_t *c)
{
	return g_atomic_int_get(&c->sent_all);
}

void crowd_free(crowd_t *c)
{
	for (guint i = 0; i < c->members->len; i++) {
		const member_t *m = &g_array_index(c->members, member_t, i);

		if (m->fd >= 0)
			close(m->fd);
	}
	g_array_unref(c->members);
	g_string_free(c->head, TRUE);
	g_string_free(c->pattern, TRUE);
	g_free(c);
}
