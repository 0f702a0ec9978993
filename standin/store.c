/*
 * Stand-in for the store of the users' platform: logs and keyed topics, as
 * platform/store.h calls them. Operators and runners write through calls
 * below /standin/, to which the common switches (lib_server.h) do not apply:
 *   POST /standin/put?topic=T&key=K    the body is the value; empty: deletes K
 * Switches besides those of lib_server.h:
 *   "outage": true      calls are answered 503, and runners' entries too
 *   "lose_answers": N   the next N appends take effect, then the
 *                       connection closes without an answer
 *   "forget": true      deletes all history; acts once
 *   "restore_ms": N     comes back from a copy N ms old, in the next epoch; acts
 *                       once. The operators write their configuration again,
 *                       and the runners their entries.
 */
#include <stdio.h>
#include <stdlib.h>

#include "platform/names.h"
#include "standin/lib_args.h"
#include "standin/lib_server.h"
#include "standin/lib_topic.h"

enum {
	NAME_SIZE = 256, /* bytes of a topic or key */
	MAX_WAIT_MS = 30000, /* of a read */
	MAX_KIB = 1024, /* of a read */
	TICK_US = 100 * 1000, /* between checks for expired records */
	REWRITE_MS =
		500, /* after a return, until operators have written again */
	STATUS_FORBIDDEN = 403,
	STATUS_GONE = 410,
	STATUS_CONDITION = 412,
};

/* A read that waits for a record (long polling). */
typedef struct waiter {
	GList link;
	struct store *store;
	exchange_t *x;
	topic_t *topic;
	uint64_t from;
	int64_t max_kib;
	int64_t until_ms;
} waiter_t;

typedef struct store {
	server_t server;
	GHashTable *topics; /* name -> topic_t */
	GQueue waiters;
	struct event *timer;
	double keep_ms; /* how long records are kept */
	double entry_ms; /* until a runner's entry expires */
	uint64_t n_calls, n_lost_answers;
	uint64_t epoch;
	GBytes *lost_config; /* to be written again; NULL: none */
	int64_t rewrite_ms; /* when */
} store_t;

static void free_topic(void *data)
{
	topic_finish(data);
	g_free(data);
}

static topic_t *find_topic(store_t *s, const char *name)
{
	topic_t *t = g_hash_table_lookup(s->topics, name);

	if (!t) {
		t = g_new0(topic_t, 1);
		topic_init(t, g_str_has_prefix(name, "keyed."));
		g_hash_table_insert(s->topics, g_strdup(name), t);
	}
	return t;
}

static topic_t *topic_of_query(store_t *s, const exchange_t *x, char *name)
{
	if (!exchange_query_text(x, "topic", name, NAME_SIZE))
		return NULL;
	return find_topic(s, name);
}

static void reply_read(exchange_t *x, const topic_t *t, uint64_t from,
		       int64_t max_kib)
{
	g_autoptr(GByteArray) out = topic_read(t, from, (size_t)max_kib * 1024);

	exchange_reply_bytes(x, HTTP_OK,
			     (str_t){ (const char *)out->data, out->len });
}

static void free_waiter(waiter_t *w)
{
	g_queue_unlink(&w->store->waiters, &w->link);
	g_free(w);
}

/* Answers the reads whose record arrived or whose wait is over. */
static void answer_waiters(store_t *s)
{
	int64_t now = clock_wall_ms();
	GList *next;

	for (GList *l = s->waiters.head; l; l = next) {
		waiter_t *w = l->data;
		bool is_due = w->topic->next > w->from || now >= w->until_ms;

		next = l->next;
		if (!is_due || server_fault_on(&s->server, "hang"))
			continue;
		reply_read(w->x, w->topic, w->from, w->max_kib);
		free_waiter(w);
	}
}

static void handle_read(store_t *s, exchange_t *x, topic_t *t)
{
	uint64_t from = (uint64_t)exchange_query(x, "source", 0);
	int64_t max_kib =
		CLAMP(exchange_query(x, "max_kb", MAX_KIB), 1, MAX_KIB);
	int64_t wait_ms =
		CLAMP(exchange_query(x, "wait_ms", 0), 0, MAX_WAIT_MS);
	waiter_t *w;

	if (from < topic_first_offset(t) || from > t->next) {
		exchange_reply(x, STATUS_GONE,
			       json_pack("{s:I}", "first_offset",
					 (json_int_t)topic_first_offset(t)));
		return;
	}
	if (from < t->next || !wait_ms) {
		reply_read(x, t, from, max_kib);
		return;
	}
	w = g_new0(waiter_t, 1);
	w->store = s;
	w->x = x;
	w->topic = t;
	w->from = from;
	w->max_kib = max_kib;
	w->until_ms = clock_wall_ms() + wait_ms;
	w->link.data = w;
	x->user = w;
	g_queue_push_tail_link(&s->waiters, &w->link);
}

static void handle_append(store_t *s, exchange_t *x, topic_t *t)
{
	double lose_answers =
		server_fault_number(&s->server, "lose_answers", 0);
	uint64_t first = t->next;
	int64_t at = exchange_query(x, "at", -1);

	if (at >= 0 && (uint64_t)at != t->next) {
		exchange_reply(
			x, STATUS_CONDITION,
			json_pack("{s:I}", "end_offset", (json_int_t)t->next));
		return;
	}
	if (!topic_append(t, exchange_body(x), clock_wall_ms())) {
		exchange_reply_text(x, HTTP_BADREQUEST, "{}");
		return;
	}
	if (lose_answers >= 1) {
		json_object_set_new(s->server.faults, "lose_answers",
				    json_real(lose_answers - 1));
		s->n_lost_answers++;
		exchange_cut(x);
	} else {
		exchange_reply(x, HTTP_OK,
			       json_pack("{s:I,s:I}", "offset",
					 (json_int_t)first, "end_offset",
					 (json_int_t)t->next));
	}
	answer_waiters(s);
}

static void handle_list(exchange_t *x, const topic_t *t)
{
	char after[NAME_SIZE];
	bool has_after = exchange_query_text(x, "after", after, sizeof(after));

	exchange_reply(x, HTTP_OK, topic_list(t, has_after ? after : NULL));
}

static void on_http(void *ctx, exchange_t *x)
{
	store_t *s = ctx;
	char name[NAME_SIZE];
	topic_t *t = topic_of_query(s, x, name);
	g_autofree char *epoch =
		g_strdup_printf("%" G_GUINT64_FORMAT, s->epoch);

	s->n_calls++;
	exchange_set_header(x, HEADER_STORE_EPOCH, epoch);
	if (server_fault_on(&s->server, "outage"))
		exchange_reply_text(x, HTTP_SERVUNAVAIL, "{}");
	else if (!t)
		exchange_reply_text(x, HTTP_BADREQUEST, "{}");
	else if (exchange_is(x, EVHTTP_REQ_GET, "/log-read"))
		handle_read(s, x, t);
	else if (exchange_is(x, EVHTTP_REQ_GET, "/log-newest"))
		handle_list(x, t);
	else if (!exchange_is(x, EVHTTP_REQ_POST, "/log-append"))
		exchange_reply_text(x, HTTP_NOTFOUND, "{}");
	else if (!strcmp(name, TOPIC_OPERATOR) || !strcmp(name, TOPIC_RUNNERS))
		exchange_reply_text(x, STATUS_FORBIDDEN, "{}");
	else
		handle_append(s, x, t);
}

static bool on_control(void *ctx, exchange_t *x)
{
	store_t *s = ctx;
	char name[NAME_SIZE], key[NAME_SIZE];
	topic_t *t = topic_of_query(s, x, name);

	if (!exchange_is(x, EVHTTP_REQ_POST, "/standin/put") || !t ||
	    !exchange_query_text(x, "key", key, sizeof(key)))
		return false;
	/* An outage rejects runners' entries but not operators' writes. */
	if (!strcmp(name, TOPIC_RUNNERS) &&
	    server_fault_on(&s->server, "outage")) {
		exchange_reply_text(x, HTTP_SERVUNAVAIL, "{}");
		return true;
	}
	topic_put(t, str_from(key), exchange_body(x), clock_wall_ms());
	if (!strcmp(name, TOPIC_OPERATOR))
		g_clear_pointer(&s->lost_config, g_bytes_unref);
	exchange_reply_text(x, HTTP_OK, "{}");
	answer_waiters(s);
	return true;
}

/* Breaks the connections of all waiting reads. */
static void cut_waiters(store_t *s)
{
	waiter_t *w;

	while ((w = g_queue_peek_head(&s->waiters))) {
		exchange_cut(w->x);
		free_waiter(w);
	}
}

/* Goes back by AGE_MS, in the next epoch. */
static void restore(store_t *s, double age_ms)
{
	int64_t now = clock_wall_ms();
	GHashTableIter iter;
	void *topic;

	g_clear_pointer(&s->lost_config, g_bytes_unref);
	s->lost_config = topic_get(find_topic(s, TOPIC_OPERATOR), KEY_CONFIG);
	s->rewrite_ms = now + REWRITE_MS;
	s->epoch++;
	cut_waiters(s);
	g_hash_table_iter_init(&iter, s->topics);
	while (g_hash_table_iter_next(&iter, NULL, &topic))
		topic_restore(topic, now - (int64_t)age_ms);
}

static void write_config_again(store_t *s)
{
	gsize len;
	const char *text;

	if (!s->lost_config || clock_wall_ms() < s->rewrite_ms)
		return;
	text = g_bytes_get_data(s->lost_config, &len);
	topic_put(find_topic(s, TOPIC_OPERATOR), STR_LIT(KEY_CONFIG),
		  (str_t){ text, len }, clock_wall_ms());
	g_clear_pointer(&s->lost_config, g_bytes_unref);
}

static void on_faults(void *ctx)
{
	store_t *s = ctx;
	double age_ms = server_fault_number(&s->server, "restore_ms", 0);
	GHashTableIter iter;
	void *topic;

	if (age_ms > 0) {
		restore(s, age_ms);
		json_object_del(s->server.faults, "restore_ms");
	}
	if (!server_fault_on(&s->server, "forget"))
		return;
	g_hash_table_iter_init(&iter, s->topics);
	while (g_hash_table_iter_next(&iter, NULL, &topic))
		topic_expire(topic, G_MAXINT64);
	json_object_del(s->server.faults, "forget");
}

static void on_tick(evutil_socket_t fd, short what, void *ctx)
{
	store_t *s = ctx;
	int64_t now = clock_wall_ms();
	GHashTableIter iter;
	void *topic;

	topic_drop_stale(find_topic(s, TOPIC_RUNNERS),
			 now - (int64_t)s->entry_ms, now);
	g_hash_table_iter_init(&iter, s->topics);
	while (g_hash_table_iter_next(&iter, NULL, &topic))
		topic_expire(topic, now - (int64_t)s->keep_ms);
	write_config_again(s);
	answer_waiters(s);
}

static void on_closed(void *ctx, exchange_t *x)
{
	if (x->user)
		free_waiter(x->user);
}

static json_t *on_oracle(void *ctx)
{
	store_t *s = ctx;

	return json_pack("{s:I,s:I}", "calls", (json_int_t)s->n_calls,
			 "lost_answers", (json_int_t)s->n_lost_answers);
}

static void store_run(store_t *s)
{
	const struct timeval tv = { 0, TICK_US };
	waiter_t *w;

	s->topics = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					  free_topic);
	s->timer = event_new(s->server.base, -1, EV_PERSIST, on_tick, s);
	evtimer_add(s->timer, &tv);
	server_run(&s->server);
	event_free(s->timer);
	while ((w = g_queue_peek_head(&s->waiters)))
		free_waiter(w);
	g_clear_pointer(&s->lost_config, g_bytes_unref);
	server_finish(&s->server);
	g_hash_table_destroy(s->topics);
}

int main(int argc, char **argv)
{
	store_t s = { .keep_ms = 300000, .entry_ms = 3600, .epoch = 1 };
	const char *listen = "127.0.0.1:0";
	err_t err;
	const arg_row_t rows[] = {
		{ "listen", ARG_TEXT, &listen, "IP:port, port 0 for any" },
		{ "keep-ms", ARG_NUMBER, &s.keep_ms,
		  "how long records are kept" },
		{ "entry-ms", ARG_NUMBER, &s.entry_ms,
		  "until a runner's entry expires if not renewed" },
	};
	const server_ops_t ops = { on_http, on_closed, on_oracle, on_faults,
				   on_control };

	args_read(argc, argv, rows, G_N_ELEMENTS(rows));
	g_queue_init(&s.waiters);
	if (!server_init(&s.server, listen, &ops, &s, &err)) {
		fprintf(stderr, "store: %s: %s\n", err.step, err.detail);
		return EXIT_FAILURE;
	}
	store_run(&s);
	return EXIT_SUCCESS;
}
