#define LOG_PART "intake"

#include "daemon/http_server.h"

#include <inttypes.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include "common/log.h"
#include "common/timeval.h"
#include "daemon/http_conn.h"

enum {
	BACKLOG = 512, /* connections that wait to be accepted */
	BYTES_PER_MB = 1000000,
	PERCENT = 100,
	US_PER_MS = 1000,
	ACCEPT_PAUSE_MS = 50, /* after a lack of descriptors */
	/* Callers get descriptors / this even if more are to be kept free. */
	LEAST_CONNECTIONS_DIVISOR = 4,
};

void http_server_log_given_up(const http_conn_t *c, const char *cause,
			      const char *why)
{
	const http_server_t *s = c->server;
	g_autofree char *label = g_strdup_printf("cause=\"%s\"", cause);

	log_sample("intake-given-up",
		   "peer=%s cause=%s bytes=%" PRIu64 " age_ms=%" PRId64
		   " held=%" PRIu64 " limit=%" PRIu64 " requests=%" PRIu64
		   " connections=%u limit_connections=%u why=\"%s\"",
		   c->peer, cause, c->intake.bytes,
		   (now_us() - c->intake.since) / US_PER_MS, s->intake.held,
		   s->intake.limits.bytes, s->requests.held,
		   s->intake.connections, s->intake.limits.connections, why);
	metrics_add(&s->sup->metrics, "papaya_intake_given_up_total", label, 1);
}

/* Bytes of complete requests, which are never refused to make room. */
static uint64_t answered_bytes(const http_server_t *s)
{
	return s->requests.held > s->intake.held ?
		       s->requests.held - s->intake.held :
		       0;
}

static bool is_taken_up(const http_server_t *s, uint64_t n)
{
	uint64_t answered = answered_bytes(s);

	return answered && answered + n > s->requests.limit;
}

static bool fits(const http_conn_t *c, size_t n, bool is_short_head)
{
	const http_server_t *s = c->server;

	return intake_budget_fits(&s->intake, &c->intake, n) &&
	       (is_short_head || s->requests.held == c->counted ||
		byte_budget_fits(&s->requests, n));
}

bool http_server_make_room(http_conn_t *c, size_t n, bool is_short_head)
{
	http_server_t *s = c->server;

	while (!fits(c, n, is_short_head)) {
		intake_t *victim = NULL;

		if (is_short_head || !is_taken_up(s, n))
			victim = intake_budget_victim(&s->intake, &c->intake, n,
						      now_us());
		http_server_log_given_up(
			victim ? victim->ctx : c, "memory",
			"requests take up the memory that they may");
		c->lacks_memory = !victim;
		if (!victim)
			return false;
		http_conn_reject(victim->ctx, 503, HTTP_NO_MEMORY_RETRY_MS,
				 "the daemon holds too many requests");
	}
	return true;
}

static void log_refused(const http_conn_t *c, uint64_t len)
{
	const byte_budget_t *b = &c->server->requests;

	log_event("body-refused",
		  "peer=%s bytes=%" PRIu64 " held=%" PRIu64 " limit=%" PRIu64
		  " why=\"requests take up the memory that they may\"",
		  c->peer, len, b->held, b->limit);
}

bool http_server_may_take(const http_conn_t *c, uint64_t len)
{
	bool may_take = !is_taken_up(c->server, len);

	if (!may_take)
		log_refused(c, len);
	return may_take;
}

static void name_peer(const struct sockaddr *address,
		      char out[HTTP_CONN_PEER_SIZE])
{
	const struct sockaddr_in *in = (const void *)address;
	char ip[INET_ADDRSTRLEN];

	if (address->sa_family != AF_INET ||
	    !evutil_inet_ntop(AF_INET, &in->sin_addr, ip, sizeof(ip)))
		g_strlcpy(out, "-", HTTP_CONN_PEER_SIZE);
	else
		g_snprintf(out, HTTP_CONN_PEER_SIZE, "%s:%u", ip,
			   ntohs(in->sin_port));
}

/* Closes a connection for a new one; false if all are being answered. */
static bool close_spare(http_server_t *s)
{
	intake_t *spare = intake_budget_spare(&s->intake, now_us());

	if (!spare)
		return false;
	http_server_log_given_up(spare->ctx, "connections",
				 "callers have the connections that they may");
	http_conn_free(spare->ctx);
	return true;
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int len, void *arg)
{
	http_server_t *s = arg;
	uint32_t upstreams = s->ops->upstreams(s->ctx);
	char peer[HTTP_CONN_PEER_SIZE];

	if (intake_budget_is_crowded(&s->intake, upstreams) &&
	    !close_spare(s)) {
		metrics_add(&s->sup->metrics,
			    "papaya_intake_refused_connections_total", NULL, 1);
		evutil_closesocket(fd);
		return;
	}
	name_peer(address, peer);
	http_conn_new(s, fd, peer);
}

/* No descriptor is free: pauses, as the listener would be ready at once. */
static void on_accept_error(struct evconnlistener *listener, void *arg)
{
	http_server_t *s = arg;
	struct timeval pause = timeval_from_ms(ACCEPT_PAUSE_MS);

	log_event("accept-failed", "connections=%u why=\"%s\"",
		  s->intake.connections,
		  evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
	if (close_spare(s))
		return;
	evconnlistener_disable(listener);
	event_add(s->resume, &pause);
}

static void on_resume(evutil_socket_t fd, short what, void *arg)
{
	http_server_t *s = arg;

	if (s->listener)
		evconnlistener_enable(s->listener);
}

static uint32_t max_connections(const settings_t *settings)
{
	struct rlimit files;
	uint64_t limit, least;

	if (settings->intake_connections)
		return (uint32_t)settings->intake_connections;
	if (getrlimit(RLIMIT_NOFILE, &files))
		return UINT32_MAX;
	limit = MIN(files.rlim_cur, UINT32_MAX);
	least = limit / LEAST_CONNECTIONS_DIVISOR;
	if (limit < least + (uint64_t)settings->intake_reserve)
		return (uint32_t)least;
	return (uint32_t)(limit - (uint64_t)settings->intake_reserve);
}

static void set_bounds(http_server_t *s)
{
	const settings_t *settings = s->sup->settings;
	double memory = settings->memory_mb * BYTES_PER_MB;
	intake_limits_t bounds = {
		.bytes = (uint64_t)(memory * (double)settings->intake_percent /
				    PERCENT),
		.connections = max_connections(settings),
		.grace = settings->intake_grace_ms * US_PER_MS,
		.rate = (uint64_t)settings->intake_rate,
	};

	s->memory = (uint64_t)memory;
	intake_budget_init(&s->intake, &bounds);
	byte_budget_init(&s->requests, s->memory);
}

static bool listen_for_callers(http_server_t *s, err_t *err)
{
	const char *address = s->sup->settings->listen;
	struct sockaddr_storage name;
	int len = sizeof(name);

	if (evutil_parse_sockaddr_port(address, (struct sockaddr *)&name, &len))
		return err_set(err, ERR_INVALID, "listen for callers", address,
			       "IP:port is expected");
	s->listener = evconnlistener_new_bind(
		s->sup->base, on_accept, s,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE |
			LEV_OPT_CLOSE_ON_EXEC,
		BACKLOG, (struct sockaddr *)&name, len);
	if (!s->listener)
		return err_set(err, ERR_SYSTEM, "listen for callers", address,
			       "the address can't be bound");
	evconnlistener_set_error_cb(s->listener, on_accept_error);
	return true;
}

bool http_server_init(http_server_t *s, supervisor_t *sup,
		      const http_server_ops_t *ops, void *ctx,
		      byte_budget_t *answers, err_t *err)
{
	*s = (http_server_t){
		.sup = sup, .ops = ops, .ctx = ctx, .answers = answers
	};
	set_bounds(s);
	if (!listen_for_callers(s, err))
		return false;
	s->resume = evtimer_new(sup->base, on_resume, s);
	return true;
}

void http_server_finish(http_server_t *s)
{
	http_server_stop_listening(s);
	for (int i = 0; i < INTAKE_STATES; i++) {
		const GList *link;

		while ((link = s->intake.by_state[i].head))
			http_conn_free(((intake_t *)link->data)->ctx);
	}
	event_free(s->resume);
}

void http_server_stop_listening(http_server_t *s)
{
	if (s->listener)
		evconnlistener_free(s->listener);
	s->listener = NULL;
}

void http_server_close_idle(http_server_t *s)
{
	static const intake_state_t idle[] = { INTAKE_NEW, INTAKE_KEPT };

	for (size_t i = 0; i < G_N_ELEMENTS(idle); i++) {
		GList *next, *link = s->intake.by_state[idle[i]].head;

		for (; link; link = next) {
			next = link->next;
			http_conn_close_idle(((intake_t *)link->data)->ctx);
		}
	}
}

uint32_t http_server_connections(const http_server_t *s)
{
	return s->intake.connections;
}

void http_server_export(const http_server_t *s)
{
	metrics_t *m = &s->sup->metrics;

	metrics_set(m, "papaya_callers", NULL, s->intake.connections);
	metrics_set(m, "papaya_held_body_bytes", NULL, s->requests.held);
	metrics_set(m, "papaya_intake_bytes", NULL, s->intake.held);
	metrics_set(m, "papaya_intake_peak_bytes", NULL, s->intake.peak);
	metrics_set(m, "papaya_intake_limit_bytes", NULL,
		    s->intake.limits.bytes);
}
