#include "daemon/admin_route.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <stdlib.h>

#include "common/timeval.h"

enum { MAX_OPEN = 8, TIMEOUT_MS = 1000 };

static void reply(struct evhttp_request *req, int status, json_t *root)
{
	struct evbuffer *out = evbuffer_new();
	char *text = json_dumps(root, JSON_COMPACT);

	/* JSON can't hold a name that isn't UTF-8. */
	if (!text)
		status = HTTP_INTERNAL;
	evhttp_connection_set_closecb(evhttp_request_get_connection(req), NULL,
				      NULL);
	evhttp_add_header(evhttp_request_get_output_headers(req),
			  "Content-Type", "application/json");
	if (text)
		evbuffer_add(out, text, strlen(text));
	evhttp_send_reply(req, status, NULL, out);
	evbuffer_free(out);
	free(text);
	json_decref(root);
}

static void reply_error(struct evhttp_request *req, int status,
			const char *message)
{
	reply(req, status, json_pack("{s:{s:s}}", "error", "message", message));
}

/* A question was lost, as a task was restarted: answers all that are open. */
static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	admin_routes_t *a = arg;
	GHashTableIter iter;
	struct evhttp_request *req;

	g_hash_table_iter_init(&iter, a->open);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&req)) {
		g_hash_table_iter_remove(&iter);
		reply_error(req, HTTP_SERVUNAVAIL, "no answer in time");
	}
}

static gboolean is_of_connection(void *key, void *value, void *conn)
{
	return evhttp_request_get_connection(value) == conn;
}

static void on_close(struct evhttp_connection *conn, void *arg)
{
	admin_routes_t *a = arg;

	g_hash_table_foreach_remove(a->open, is_of_connection, conn);
}

void admin_routes_init(admin_routes_t *a, supervisor_t *sup)
{
	*a = (admin_routes_t){ .sup = sup };
	a->open = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					NULL);
	a->timer = evtimer_new(sup->base, on_timer, a);
}

void admin_routes_finish(admin_routes_t *a)
{
	GHashTableIter iter;
	struct evhttp_request *req;

	g_hash_table_iter_init(&iter, a->open);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&req))
		evhttp_connection_set_closecb(
			evhttp_request_get_connection(req), NULL, NULL);
	g_hash_table_destroy(a->open);
	event_free(a->timer);
}

static GBytes *take_body(struct evhttp_request *req)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(in);
	char *copy = g_malloc(len + 1);

	evbuffer_remove(in, copy, len);
	return g_bytes_new_take(copy, len);
}

/* Reads the query's member group; "" if there is none. */
static void read_group(struct evhttp_request *req, char out[MEMBER_NAME_SIZE])
{
	const char *query =
		evhttp_uri_get_query(evhttp_request_get_evhttp_uri(req));
	struct evkeyvalq members;
	const char *group;

	out[0] = '\0';
	if (!query || evhttp_parse_query_str(query, &members))
		return;
	group = evhttp_find_header(&members, "group");
	g_strlcpy(out, group ? group : "", MEMBER_NAME_SIZE);
	evhttp_clear_headers(&members);
}

void admin_routes_ask(admin_routes_t *a, struct evhttp_request *req)
{
	struct timeval limit = timeval_from_ms(TIMEOUT_MS);
	g_autoptr(GBytes) body = take_body(req);
	char group[MEMBER_NAME_SIZE];
	route_query_t *q;

	if (g_hash_table_size(a->open) >= MAX_OPEN) {
		reply_error(req, HTTP_SERVUNAVAIL, "too many questions");
		return;
	}
	read_group(req, group);
	q = route_query_new(++a->last_id, body, group);
	g_hash_table_insert(a->open, g_memdup2(&q->id, sizeof(q->id)), req);
	evhttp_connection_set_closecb(evhttp_request_get_connection(req),
				      on_close, a);
	event_add(a->timer, &limit);
	route_query_post(a->sup, TASK_FRONT, q);
	route_query_unref(q);
}

void admin_routes_answer(admin_routes_t *a, const route_query_t *q)
{
	struct evhttp_request *req = g_hash_table_lookup(a->open, &q->id);

	if (!req)
		return;
	g_hash_table_remove(a->open, &q->id);
	reply(req, HTTP_OK, route_query_json(q));
}
